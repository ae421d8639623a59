// Tests of waits that the ordinary course of a cell might never end; docs/platform.md lists the waits and what ends
// them.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class WaitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WaitTest);
    CPPUNIT_TEST(workThatIsNeverStartedIsAViolation);
    CPPUNIT_TEST(workThatCannotRunIsNoViolation);
    CPPUNIT_TEST(jobWithOneOccurrenceRunsWhenItIsDue);
    CPPUNIT_TEST(occurrenceDueBeforeOrAfterATakeoverRuns);
    CPPUNIT_TEST(tasksOfOneDueOccurrenceAreCounted);
    CPPUNIT_TEST_SUITE_END();

    /// A job of one task in two steps with this many occurrences, the first of which is due in a while.
    static JobRecord jobDueIn(
        const SimulatedCell& cell, const std::string& id, Duration time, std::uint32_t occurrences)
    {
        StepSpec second = SimulatedCell::step(1, 1000, milliseconds(100));
        second.m_dependsOn = { 0 };
        JobRecord job = SimulatedCell::job(id, { SimulatedCell::step(1, 1000, milliseconds(100)), second });
        job.m_spec.m_occurrences = occurrences;
        job.m_spec.m_firstDueMs = cell.wallMs() + std::chrono::duration_cast<milliseconds>(time).count();
        job.m_spec.m_intervalMs = 1000;
        return job;
    }

public:
    // Guards against a simulation that does not notice work which the scheduler has forgotten.
    void workThatIsNeverStartedIsAViolation()
    {
        SimulatedCell cell = startedCell(4);
        JobRecord job = SimulatedCell::job("j", { SimulatedCell::step(1, 1000, milliseconds(100)) });
        job.m_spec.m_steps.front().m_requiredLabel = "no-worker-has-it";
        cell.accept(job);
        // The scheduler has another idea of the job than its caller.
        cell.m_accepted.at(JobId("j")).m_spec.m_steps.front().m_requiredLabel.clear();
        cell.run(SimulatedCell::maxIdleWait - seconds(1));
        assertNoViolation(cell);
        cell.run(seconds(3));
        CPPUNIT_ASSERT(cell.m_violations.contains("could run and is not started: j, step 0.0"));
    }

    void workThatCannotRunIsNoViolation()
    {
        SimulatedCell cell = startedCell(4);
        JobRecord unplaceable = SimulatedCell::job("label", { SimulatedCell::step(1, 1000, milliseconds(100)) });
        unplaceable.m_spec.m_steps.front().m_requiredLabel = "no-worker-has-it";
        cell.accept(unplaceable);
        JobRecord refused = SimulatedCell::job("refused", { SimulatedCell::step(1, 1000, milliseconds(100)) });
        refused.m_policy.m_advice = AdvicePolicy { milliseconds(30), milliseconds(2), seconds(2) };
        cell.m_onlyAllowed[refused.m_job] = {};
        cell.accept(refused);
        cell.accept(SimulatedCell::job("large", { SimulatedCell::step(1, 33000, milliseconds(100)) }));
        JobRecord later = SimulatedCell::job("later", { SimulatedCell::step(1, 1000, milliseconds(100)) });
        later.m_spec.m_occurrences = 2;
        later.m_spec.m_firstDueMs = cell.wallMs() + 3600'000;
        later.m_spec.m_intervalMs = 1000;
        cell.accept(later);
        cell.run(SimulatedCell::maxIdleWait + seconds(3));
        assertNoViolation(cell);
    }

    // Guards against a job that never runs: its one occurrence was not due when it was accepted, and only jobs with
    // several were looked at again.
    void jobWithOneOccurrenceRunsWhenItIsDue()
    {
        for (const std::uint32_t occurrences : { 1, 2 }) {
            SimulatedCell cell = startedCell(4);
            cell.accept(jobDueIn(cell, "j", seconds(4), occurrences));
            cell.run(seconds(3));
            CPPUNIT_ASSERT(cell.state("j") == JobState::Queued);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cell.m_starts);
            cell.run(seconds(4));
            CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
            assertNoViolation(cell);
        }
    }

    // Guards against the same in the next term, whether the occurrence is due by then or not.
    void occurrenceDueBeforeOrAfterATakeoverRuns()
    {
        for (const Duration time : { milliseconds(500), milliseconds(4000) }) {
            SimulatedCell cell = startedCell(4);
            cell.accept(jobDueIn(cell, "j", time, 1));
            cell.m_scheduler.reset();
            cell.run(seconds(1));
            cell.takeOver();
            cell.run(seconds(5));
            CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
            assertNoViolation(cell);
        }
    }

    // Guards against a due occurrence that the metrics of teams do not count.
    void tasksOfOneDueOccurrenceAreCounted()
    {
        SimulatedCell cell = startedCell(4);
        cell.setTeams({ { TeamId("t"), 1, {} } });
        JobRecord job = jobDueIn(cell, "j", seconds(1), 1);
        job.m_team = TeamId("t");
        job.m_spec.m_steps.front().m_requiredLabel = "no-worker-has-it";
        cell.accept(job);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cell.m_scheduler->teamUses().front().m_waitingTasks);
        cell.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cell.m_scheduler->teamUses().front().m_waitingTasks);
        cell.cancel(JobId("j"));
        cell.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cell.m_scheduler->teamUses().front().m_waitingTasks);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitTest);

} // namespace sapphiredale::jobs
