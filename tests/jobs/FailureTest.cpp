// Tests of failed runs: whether the worker or the task is at fault, and what the cell does about it.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class FailureTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FailureTest);
    CPPUNIT_TEST(jobsThatCannotBeDoneLeaveTheWorkersInUse);
    CPPUNIT_TEST(wideJobsThatCannotBeDoneLeaveTheWorkersInUse);
    CPPUNIT_TEST(workerThatFailsEverythingGetsLittleWork);
    CPPUNIT_TEST_SUITE_END();

    /// Accepts small jobs at short intervals, and returns how many of them are done 2 s after the last one.
    static int doneOf(SimulatedCell& cell, const std::string& prefix, int count)
    {
        for (int i = 0; i < count; ++i) {
            cell.accept(
                SimulatedCell::job(prefix + std::to_string(i), { SimulatedCell::step(6, 1000, milliseconds(200)) }));
            cell.run(milliseconds(80));
        }
        cell.run(seconds(2));
        int done = 0;
        for (int i = 0; i < count; ++i)
            done += cell.state(prefix + std::to_string(i)) == JobState::Done ? 1 : 0;
        return done;
    }

public:
    // Guards against a quarantine of sound workers because of two jobs whose tasks fail wherever they run.
    void jobsThatCannotBeDoneLeaveTheWorkersInUse()
    {
        SimulatedCell cell = startedCell(6);
        for (const char* name : { "bad0", "bad1" }) {
            cell.m_failingJobs.insert(JobId(name));
            JobRecord job = SimulatedCell::job(name, { SimulatedCell::step(6, 1000, milliseconds(200)) });
            job.m_policy.m_maxAttempts = 4;
            cell.accept(job);
        }
        CPPUNIT_ASSERT_EQUAL(40, doneOf(cell, "good", 40));
        CPPUNIT_ASSERT(cell.state("bad0") == JobState::Failed);
        CPPUNIT_ASSERT(cell.state("bad1") == JobState::Failed);
        assertNoViolation(cell);
    }

    // Guards against a quarantine of all workers at once, by jobs that are spread over all of them and cannot be done.
    void wideJobsThatCannotBeDoneLeaveTheWorkersInUse()
    {
        SimulatedCell cell = startedCell(6);
        for (const char* name : { "bad0", "bad1", "bad2" }) {
            cell.m_failingJobs.insert(JobId(name));
            cell.accept(SimulatedCell::job(name, { SimulatedCell::step(24, 7000, milliseconds(200)) }));
            cell.run(milliseconds(300));
        }
        CPPUNIT_ASSERT_EQUAL(20, doneOf(cell, "good", 20));
        assertNoViolation(cell);
    }

    // Guards against jobs that fail because each of their tasks is tried on a worker that fails everything.
    void workerThatFailsEverythingGetsLittleWork()
    {
        SimulatedCell cell = startedCell(6);
        SimulatedWorker& bad = cell.m_workers.begin()->second;
        bad.m_failsTasks = true;
        CPPUNIT_ASSERT_EQUAL(40, doneOf(cell, "good", 40));
        // Each failure is listed by the worker once; six tasks of some three jobs fail before it is quarantined.
        CPPUNIT_ASSERT(cell.m_scheduler->counters().m_failedRuns <= 18);
        assertNoViolation(cell);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureTest);

} // namespace sapphiredale::jobs
