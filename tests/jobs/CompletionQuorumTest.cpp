// Tests of operation during a store outage of some seconds, in which started jobs end or reach their next step.

#include "jobs/CompletionQuorum.h"
#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class CompletionQuorumTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CompletionQuorumTest);
    CPPUNIT_TEST(endNeedsAMajorityOfTheDaemons);
    CPPUNIT_TEST(storedEndsAreForgotten);
    CPPUNIT_TEST(endIsShownWhileTheStoreIsAway);
    CPPUNIT_TEST(shownEndSurvivesItsSchedulerAndItsWorker);
    CPPUNIT_TEST(endsOfOtherStatesAreNotOffered);
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
    void endNeedsAMajorityOfTheDaemons()
    {
        CompletionQuorum disclosure;
        const std::set<JobId> unstored { JobId("a"), JobId("b") };
        const std::vector<JobId> a { JobId("a") };
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), disclosure.unconfirmed("d1", unstored, 10).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), disclosure.unconfirmed("d1", unstored, 1).size());
        CPPUNIT_ASSERT(disclosure.confirmed("d1", a, 7).empty());
        CPPUNIT_ASSERT(disclosure.unconfirmed("d1", unstored, 10) == std::vector<JobId> { JobId("b") });
        // The same daemon counts once.
        CPPUNIT_ASSERT(disclosure.confirmed("d1", a, 7).empty());
        CPPUNIT_ASSERT(disclosure.confirmed("d2", a, 7).empty());
        CPPUNIT_ASSERT(disclosure.confirmed("d3", a, 7) == a);
    }

    void storedEndsAreForgotten()
    {
        CompletionQuorum disclosure;
        const std::set<JobId> unstored { JobId("a") };
        CPPUNIT_ASSERT(disclosure.confirmed("d1", { JobId("a") }, 5).empty());
        disclosure.keep({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), disclosure.unconfirmed("d1", unstored, 10).size());
    }

    // Guards against a caller that learns of the end of its job only after the outage.
    void endIsShownWhileTheStoreIsAway()
    {
        SimulatedCell cell = cellWithUnstoredEnd();
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
        CPPUNIT_ASSERT(cell.m_scheduler->unstoredCompletions() == std::set<JobId> { JobId("j") });
        CPPUNIT_ASSERT(cell.m_scheduler->publishCompletion(JobId("j")));
        CPPUNIT_ASSERT(!cell.m_scheduler->publishCompletion(JobId("j")));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        cell.endFaults();
        cell.run(milliseconds(500));
        CPPUNIT_ASSERT(cell.m_scheduler->unstoredCompletions().empty());
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against tasks of a published job that start again when the scheduler and the workers that hold its ends
    // are lost in the outage.
    void shownEndSurvivesItsSchedulerAndItsWorker()
    {
        for (const bool isNoted : { true, false }) {
            SimulatedCell cell = cellWithUnstoredEnd();
            CPPUNIT_ASSERT(cell.m_scheduler->publishCompletion(JobId("j")));
            const std::uint64_t starts = cell.m_starts;
            for (const auto& entry : std::map(cell.m_workers))
                cell.restartWorker(entry.first, { 32000, 131072, 0 });
            cell.m_isStoreUp = true;
            cell.listAll();
            cell.takeOver();
            if (isNoted)
                cell.m_scheduler->restorePublishedCompletion(JobId("j"), cell.m_now);
            cell.run(seconds(20));
            CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
            CPPUNIT_ASSERT(cell.m_store.at(JobId("j")).m_state == JobState::Done);
            // Without the note the tasks run again, which shows that the scenario provokes the fault.
            CPPUNIT_ASSERT_EQUAL(starts + (isNoted ? 0 : 2), cell.m_starts);
        }
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
        CPPUNIT_ASSERT(cell.m_scheduler->unstoredCompletions().contains(JobId("j")));
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

    void endsOfOtherStatesAreNotOffered()
    {
        SimulatedCell cell = startedCell(3);
        cell.accept(shortJob());
        cell.run(milliseconds(200));
        cell.m_isStoreUp = false;
        cell.cancel(JobId("j"));
        cell.run(milliseconds(600));
        CPPUNIT_ASSERT(cell.m_scheduler->unstoredCompletions().empty());
        CPPUNIT_ASSERT(!cell.m_scheduler->publishCompletion(JobId("j")));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Cancelled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionQuorumTest);

} // namespace sapphiredale::jobs
