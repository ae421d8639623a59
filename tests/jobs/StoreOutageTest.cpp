// Tests of operation during a store outage of some seconds, in which started jobs end or reach their next step.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class StoreOutageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreOutageTest);
    CPPUNIT_TEST(endIsShownOnceItIsStored);
    CPPUNIT_TEST(endThatASuccessorDoesNotKnowWasNotShown);
    CPPUNIT_TEST(failureIsShownOnceItIsStored);
    CPPUNIT_TEST(jobThatIsCancelledInAnOutageStaysCancelled);
    CPPUNIT_TEST(laterStepsStartWhileTheStoreIsAway);
    CPPUNIT_TEST(placesThatCannotBeRecordedAreGivenUp);
    CPPUNIT_TEST_SUITE_END();

    static JobRecord shortJob() { return SimulatedCell::job("j", { SimulatedCell::step(2, 1000, milliseconds(500)) }); }

    /// A cell whose job ends while the store is away.
    static SimulatedCell cellWithUnstoredEnd()
    {
        SimulatedCell cell = startedCell(3);
        cell.accept(shortJob());
        cell.run(milliseconds(200));
        cell.m_isStoreUp = false;
        cell.run(milliseconds(600));
        return cell;
    }

public:
    // Guards against a caller that is told of an end which only the scheduler knows, and against one that waits longer
    // than the store does.
    void endIsShownOnceItIsStored()
    {
        SimulatedCell cell = cellWithUnstoredEnd();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), cell.m_scheduler->counters().m_doneRuns);
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
        cell.endFaults();
        cell.run(milliseconds(500));
        CPPUNIT_ASSERT(cell.m_store.at(JobId("j")).m_state == JobState::Done);
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against tasks of a job that start again after its caller was told that it is done, when the scheduler and
    // the workers that hold its ends are lost in the outage.
    void endThatASuccessorDoesNotKnowWasNotShown()
    {
        SimulatedCell cell = cellWithUnstoredEnd();
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
        const std::uint64_t starts = cell.m_starts;
        for (const auto& entry : std::map(cell.m_workers))
            cell.restartWorker(entry.first, { 32000, 131072, 0 });
        cell.m_isStoreUp = true;
        cell.listAll();
        cell.takeOver();
        cell.run(seconds(20));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT(cell.m_store.at(JobId("j")).m_state == JobState::Done);
        // The tasks run again, which shows that the scenario loses the ends.
        CPPUNIT_ASSERT_EQUAL(starts + 2, cell.m_starts);
        assertNoViolation(cell);
    }

    // Guards against a job that a successor finishes after its caller was told that it has failed.
    void failureIsShownOnceItIsStored()
    {
        SimulatedCell cell = startedCell(3);
        JobRecord job = shortJob();
        job.m_policy.m_maxAttempts = 1;
        cell.m_failingJobs.insert(JobId("j"));
        cell.accept(job);
        for (const TimePoint end = cell.m_now + seconds(1); cell.m_now < end && cell.running("j") == 0;)
            cell.run(SimulatedCell::tick);
        cell.m_isStoreUp = false;
        cell.run(milliseconds(600));
        CPPUNIT_ASSERT(cell.m_scheduler->counters().m_failedRuns > 0);
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
        cell.endFaults();
        cell.run(milliseconds(500));
        CPPUNIT_ASSERT(cell.m_store.at(JobId("j")).m_state == JobState::Failed);
        CPPUNIT_ASSERT(cell.state("j") == JobState::Failed);
    }

    // Guards against second steps that wait for the end of the outage.
    void laterStepsStartWhileTheStoreIsAway()
    {
        SimulatedCell cell = startedCell(3);
        StepSpec second = SimulatedCell::step(2, 1000, milliseconds(500));
        second.m_dependsOn = { 0 };
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(2, 1000, milliseconds(500)), second }));
        cell.run(milliseconds(200));
        cell.m_isStoreUp = false;
        cell.run(milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), cell.m_scheduler->counters().m_doneRuns);
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
        // A successor knows where the second step may run.
        CPPUNIT_ASSERT(cell.m_store.at(JobId("j")).m_places.contains({ 0, 1 }));
        cell.endFaults();
        cell.takeOver();
        cell.run(seconds(1));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against tasks that reserve capacity for the whole outage although they cannot start.
    void placesThatCannotBeRecordedAreGivenUp()
    {
        SimulatedCell cell = startedCell(2);
        cell.m_isStoreUp = false;
        cell.accept(shortJob());
        cell.run(milliseconds(100));
        for (const auto& [id, worker] : cell.m_scheduler->workers())
            CPPUNIT_ASSERT(worker.m_runs.empty());
        cell.endFaults();
        cell.run(seconds(1));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against a cancelled job that is shown as done because its tasks end before the stop reaches them.
    void jobThatIsCancelledInAnOutageStaysCancelled()
    {
        SimulatedCell cell = startedCell(3);
        cell.accept(shortJob());
        cell.run(milliseconds(200));
        cell.m_isStoreUp = false;
        cell.cancel(JobId("j"));
        cell.run(milliseconds(600));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Cancelled);
        cell.endFaults();
        cell.run(milliseconds(500));
        CPPUNIT_ASSERT(cell.m_store.at(JobId("j")).m_state == JobState::Cancelled);
        CPPUNIT_ASSERT(cell.state("j") == JobState::Cancelled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreOutageTest);

} // namespace sapphiredale::jobs
