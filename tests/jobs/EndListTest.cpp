// Tests of workers that have more unacknowledged ends than one report lists.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class EndListTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EndListTest);
    CPPUNIT_TEST(runsWithUnlistedEndsAreNotStartedAgain);
    CPPUNIT_TEST(successorWaitsForUnlistedEnds);
    CPPUNIT_TEST(successorWaitsForUnlistedEndsBeyondTheLeaseOfTheLastTerm);
    CPPUNIT_TEST(stoppedRunWithUnlistedEndIsNotStartedAgain);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t listedEnds = 10;
    static constexpr std::uint32_t tasks = 30;

    /// A cell whose only worker has ended the tasks of job "j" in an outage of the store, and lists some of the ends.
    static SimulatedCell cellWithUnlistedEnds()
    {
        SimulatedCell cell = startedCell(1);
        cell.m_listedEnds = listedEnds;
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(tasks, 1000, milliseconds(400)) }));
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(tasks, cell.running("j"));
        cell.m_isStoreUp = false;
        cell.run(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(tasks), cell.m_workers.begin()->second.m_ended.size());
        return cell;
    }

    static void assertEachRanOnce(SimulatedCell& cell)
    {
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(tasks), cell.m_starts);
        assertNoViolation(cell);
    }

public:
    // Guards against a second run of tasks that have succeeded, while a report lists only the first of the ends.
    void runsWithUnlistedEndsAreNotStartedAgain()
    {
        SimulatedCell cell = cellWithUnlistedEnds();
        cell.run(seconds(5));
        cell.m_isStoreUp = true;
        cell.run(seconds(2));
        assertEachRanOnce(cell);
    }

    // Guards against a successor that takes the first ends of a worker for all of them.
    void successorWaitsForUnlistedEnds()
    {
        SimulatedCell cell = cellWithUnlistedEnds();
        cell.takeOver();
        cell.run(seconds(2));
        cell.m_isStoreUp = true;
        cell.run(seconds(2));
        assertEachRanOnce(cell);
    }

    // Guards against a successor that gives unlisted ends up when the leases of the last term are over, although the
    // worker answers and its own lease goes on.
    void successorWaitsForUnlistedEndsBeyondTheLeaseOfTheLastTerm()
    {
        SimulatedCell cell = cellWithUnlistedEnds();
        cell.takeOver();
        cell.run(SimulatedCell::lease + seconds(4));
        cell.m_isStoreUp = true;
        cell.run(seconds(2));
        assertEachRanOnce(cell);
    }

    // Guards against a task that counts as stopped and starts again, although its run succeeded just before the stop.
    void stoppedRunWithUnlistedEndIsNotStartedAgain()
    {
        JobScheduler scheduler({});
        TimePoint now(seconds(100));
        SimulatedCell cell(2);
        const WorkerDescription worker = cell.m_workers.begin()->second.m_description;
        scheduler.workerListed(worker, now);
        scheduler.workerReported(worker.m_worker, { 1, now, {}, {} }, now);
        scheduler.addJob(SimulatedCell::job("j", { SimulatedCell::step(1, 1000, milliseconds(500)) }), {}, 0, now);
        scheduler.step(0, now, {});
        scheduler.stored(scheduler.takeChanges().m_number);
        const std::vector<SchedulerAction> actions = scheduler.step(0, now, {});
        const RunName run = std::get<StartOrder>(actions.at(0)).m_run;
        scheduler.startAnswered(worker.m_worker, run, StartOutcome::Unknown, now);
        scheduler.workerReported(worker.m_worker, { 1, now + milliseconds(10), {}, {} }, now + milliseconds(20));
        now += milliseconds(30);
        scheduler.step(0, now, {});
        scheduler.stopAnswered(worker.m_worker, run, true, now, now);
        now += milliseconds(10);
        WorkerReport report { 1, now, {}, { { 1, { { JobId("other"), {} }, 1 }, RunEnd::Done, {} } } };
        report.m_listsAllEnds = false;
        scheduler.workerReported(worker.m_worker, report, now);
        CPPUNIT_ASSERT(scheduler.worker(worker.m_worker)->m_runs.contains(run));
        now += milliseconds(10);
        scheduler.workerReported(worker.m_worker, { 1, now, {}, { { 2, run, RunEnd::Done, {} } } }, now);
        scheduler.stored(scheduler.takeChanges().m_number);
        CPPUNIT_ASSERT(scheduler.state(JobId("j")) == JobState::Done);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndListTest);

} // namespace sapphiredale::jobs
