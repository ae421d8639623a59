// Tests of the placement of tasks with accelerators and of gangs in a pool that small tasks keep full.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class GangReservationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GangReservationTest);
    CPPUNIT_TEST(smallTasksLeaveWholeWorkersFree);
    CPPUNIT_TEST(gangStartsInAPoolThatSmallTasksKeepFull);
    CPPUNIT_TEST(gangWithAdviceStartsInAPoolThatSmallTasksKeepFull);
    CPPUNIT_TEST(largeGangReservesBesideASmallOne);
    CPPUNIT_TEST(reservationEndsWithItsJob);
    CPPUNIT_TEST(gangStartsAgainOnTheNextProcessOfItsWorker);
    CPPUNIT_TEST(gangStartsAfterItsWorkersRestartOneByOne);
    CPPUNIT_TEST(waitingGangStartsOnTheNextProcessOfItsWorker);
    CPPUNIT_TEST(ticketsIssuedBeforeARestartAreNotUsed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t workers = 8;

    static SimulatedCell cellWithAccelerators()
    {
        SimulatedCell cell(workers);
        for (auto& [id, worker] : cell.m_workers)
            worker.m_description.m_capacity = { 128000, 524288, 8 };
        cell.listAll();
        cell.takeOver();
        cell.run(milliseconds(50));
        return cell;
    }

    static StepSpec acceleratedStep(std::uint32_t count, std::int64_t accelerators, Duration estimate)
    {
        StepSpec step = SimulatedCell::step(count, 11000, estimate);
        step.m_need.m_accelerators = accelerators;
        return step;
    }

    static JobRecord gang(std::uint32_t count)
    {
        StepSpec step = acceleratedStep(count, 8, seconds(1));
        step.m_isGang = true;
        JobRecord record = SimulatedCell::job("gang", { step });
        record.m_policy.m_slackFactor = 8;
        return record;
    }

    /// Accepts jobs of 1-accelerator tasks that keep the pool full until the gang is done; false after 20 s.
    static bool isDoneUnderLoad(SimulatedCell& cell, const AdvicePolicy* advice)
    {
        std::uint32_t number = 0;
        for (int i = 0; i < 200; ++i) {
            JobRecord filler = SimulatedCell::job(
                "f" + std::to_string(1000 + number++), { acceleratedStep(9, 1, milliseconds(700 + 37 * (i % 9))) });
            if (advice != nullptr)
                filler.m_policy.m_advice = *advice;
            cell.accept(filler);
            if (i == 10) {
                JobRecord record = gang(3);
                if (advice != nullptr)
                    record.m_policy.m_advice = *advice;
                cell.accept(record);
            }
            cell.run(milliseconds(100));
            if (i > 10 && cell.state("gang") == JobState::Done)
                return true;
        }
        return false;
    }

    /// A gang of tasks of 7 cores that the adviser allows on these workers only.
    static void acceptAdvisedGang(
        SimulatedCell& cell, std::uint32_t count, Duration estimate, const std::set<WorkerId>& allowed)
    {
        StepSpec step = SimulatedCell::step(count, 7000, estimate);
        step.m_isGang = true;
        JobRecord record = SimulatedCell::job("gang", { step });
        record.m_policy.m_advice = AdvicePolicy { milliseconds(420), milliseconds(6), seconds(2) };
        cell.m_onlyAllowed[record.m_job] = allowed;
        cell.accept(record);
    }

public:
    // The adviser used to be asked about the workers with the most room, so that tasks with one accelerator broke up
    // one whole worker after the other.
    void smallTasksLeaveWholeWorkersFree()
    {
        SimulatedCell cell = cellWithAccelerators();
        cell.m_allowedShare = 1;
        for (int i = 0; i < 8; ++i) {
            JobRecord record = SimulatedCell::job("s" + std::to_string(i), { acceleratedStep(1, 1, seconds(20)) });
            record.m_policy.m_advice = AdvicePolicy { milliseconds(20), milliseconds(1), seconds(2) };
            cell.accept(record);
            cell.run(milliseconds(200));
        }
        const auto used = std::count_if(cell.m_workers.begin(), cell.m_workers.end(),
            [](const auto& entry) { return entry.second.used().m_accelerators > 0; });
        CPPUNIT_ASSERT(used <= 2);
        assertNoViolation(cell);
    }

    void gangStartsInAPoolThatSmallTasksKeepFull()
    {
        SimulatedCell cell = cellWithAccelerators();
        CPPUNIT_ASSERT(isDoneUnderLoad(cell, nullptr));
        assertNoViolation(cell);
    }

    void gangWithAdviceStartsInAPoolThatSmallTasksKeepFull()
    {
        SimulatedCell cell = cellWithAccelerators();
        const AdvicePolicy advice { milliseconds(100), milliseconds(2), seconds(2) };
        CPPUNIT_ASSERT(isDoneUnderLoad(cell, &advice));
        assertNoViolation(cell);
    }

    // The limit of reservations used to include the gang itself, so that a gang of more than a quarter of the pool
    // waited until no other one had a reservation.
    void largeGangReservesBesideASmallOne()
    {
        SimulatedCell cell = cellWithAccelerators();
        cell.accept(SimulatedCell::job("s", { acceleratedStep(workers, 8, seconds(4)) }));
        cell.run(milliseconds(3800));
        StepSpec small = acceleratedStep(1, 8, seconds(1));
        small.m_isGang = true;
        cell.accept(SimulatedCell::job("a", { small }));
        cell.run(milliseconds(50));
        cell.accept(gang(4));
        cell.run(milliseconds(100));
        const auto reserved = std::count_if(cell.m_scheduler->workers().begin(), cell.m_scheduler->workers().end(),
            [](const auto& entry) { return entry.second.m_reservedFor != nullptr; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(5), reserved);
    }

    void reservationEndsWithItsJob()
    {
        SimulatedCell cell = cellWithAccelerators();
        cell.accept(SimulatedCell::job("s", { acceleratedStep(workers, 8, seconds(4)) }));
        // Workers are kept free only when they will have room soon.
        cell.run(milliseconds(3800));
        cell.accept(gang(3));
        cell.run(milliseconds(100));
        const auto reserved = [&] {
            return std::count_if(cell.m_scheduler->workers().begin(), cell.m_scheduler->workers().end(),
                [](const auto& entry) { return entry.second.m_reservedFor != nullptr; });
        };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(3), reserved());
        cell.cancel(JobId("gang"));
        cell.run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), reserved());
        assertNoViolation(cell);
    }

    // Guards against a gang that never starts again since its ticket is for an earlier process of the worker, and no
    // other one is requested.
    void gangStartsAgainOnTheNextProcessOfItsWorker()
    {
        SimulatedCell cell = startedCell(workers);
        const std::set<WorkerId> allowed { WorkerId("w103") };
        acceptAdvisedGang(cell, 2, seconds(4), allowed);
        cell.run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("gang"));
        cell.crashWorker(*allowed.begin());
        cell.run(seconds(15));
        CPPUNIT_ASSERT(cell.state("gang") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against the same when the gang needs several workers that restart one after the other.
    void gangStartsAfterItsWorkersRestartOneByOne()
    {
        SimulatedCell cell = startedCell(workers);
        const std::set<WorkerId> allowed { WorkerId("w102"), WorkerId("w103") };
        acceptAdvisedGang(cell, 6, seconds(4), allowed);
        cell.run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(6U, cell.running("gang"));
        for (const WorkerId& id : allowed) {
            cell.crashWorker(id);
            cell.run(seconds(6));
        }
        cell.run(seconds(20));
        CPPUNIT_ASSERT(cell.state("gang") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against a gang that has waited for room, with a ticket, while its worker restarted.
    void waitingGangStartsOnTheNextProcessOfItsWorker()
    {
        SimulatedCell cell = startedCell(workers);
        cell.accept(SimulatedCell::job("filler", { SimulatedCell::step(workers, 30000, seconds(8)) }));
        cell.run(seconds(1));
        const std::set<WorkerId> allowed { WorkerId("w105") };
        acceptAdvisedGang(cell, 2, seconds(1), allowed);
        cell.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("gang"));
        cell.crashWorker(*allowed.begin());
        cell.run(seconds(20));
        CPPUNIT_ASSERT(cell.state("gang") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against a start that the worker refuses, since the adviser was asked about its earlier process and the
    // answer arrived after the restart was known.
    void ticketsIssuedBeforeARestartAreNotUsed()
    {
        SimulatedCell cell = startedCell(workers);
        acceptAdvisedGang(cell, 2, seconds(1), { WorkerId("w103") });
        cell.run(milliseconds(200));
        cell.restartWorker(WorkerId("w103"), { 32000, 131072, 0 });
        cell.listAll();
        cell.run(seconds(10));
        CPPUNIT_ASSERT(cell.state("gang") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cell.m_scheduler->counters().m_refusedStarts);
        assertNoViolation(cell);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangReservationTest);

} // namespace sapphiredale::jobs
