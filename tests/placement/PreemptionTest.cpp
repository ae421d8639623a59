// Tests of preemption: urgent work, cheapest victims, bounds, and shares that are reclaimed.

#include "tests/placement/CellFixture.h"

#include <algorithm>

namespace sapphiredale::placement {

class PreemptionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PreemptionTest);
    CPPUNIT_TEST(urgentWorkStartsInAFullCell);
    CPPUNIT_TEST(slowCheckpointBecomesAStop);
    CPPUNIT_TEST(cheapestVictimsArePreempted);
    CPPUNIT_TEST(preemptionsOfATaskAreBounded);
    CPPUNIT_TEST(equalPriorityDoesNotPreempt);
    CPPUNIT_TEST(borrowedShareIsReclaimed);
    CPPUNIT_TEST(firmWorkBorrowsOnlyWhatNobodyIsGuaranteed);
    CPPUNIT_TEST(urgentWorkAtTheTeamLimitTakesFromItsOwnTeam);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against urgent work that waits for a full cell, and against a start before the victim's final report.
    void urgentWorkStartsInAFullCell()
    {
        ClusterFile file = testFile();
        addWorkload(file, "whole", "batch", "red", { 4000, 16384, 0 });
        addWorkload(file, "alarm", "urgent", "blue", { 1000, 1024, 0 });
        CellFixture cell(file, 3);
        cell.submit("fill", "whole", 3);
        cell.step();
        for (const StartTask& start : cell.all<StartTask>())
            cell.report(start.m_task.value(), TaskState::Running);
        cell.submit("now", "alarm");
        cell.step();
        const auto checkpoints = cell.all<CheckpointTask>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), checkpoints.size());
        CPPUNIT_ASSERT(cell.all<StartTask>().empty());
        CPPUNIT_ASSERT_EQUAL(std::string("waiting-for-claim"), cell.explain("now/0").m_reason);
        cell.report(checkpoints[0].m_task.value(), TaskState::Checkpointing);
        cell.step();
        CPPUNIT_ASSERT(cell.all<StartTask>().empty());
        cell.report(checkpoints[0].m_task.value(), TaskState::Stopped);
        cell.step();
        const auto starts = cell.all<StartTask>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
        CPPUNIT_ASSERT(starts[0].m_task == TaskId("now/0") && starts[0].m_worker == checkpoints[0].m_worker);
        CPPUNIT_ASSERT(cell.explain(checkpoints[0].m_task.value().c_str()).m_state == Explanation::State::Waiting);
        cell.assertCapacity();
    }

    // Guards against urgent work that waits longer than 1.9 s because a victim checkpoints slowly.
    void slowCheckpointBecomesAStop()
    {
        ClusterFile file = testFile();
        addWorkload(file, "whole", "batch", "red", { 4000, 16384, 0 });
        addWorkload(file, "alarm", "urgent", "blue", { 1000, 1024, 0 });
        CellFixture cell(file, 1);
        cell.submit("fill", "whole");
        cell.step();
        cell.report("fill/0", TaskState::Running);
        cell.submit("now", "alarm");
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<CheckpointTask>().size());
        CPPUNIT_ASSERT(cell.m_cell.nextWake() <= cell.m_now + std::chrono::milliseconds(1000));
        cell.step(std::chrono::milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StopTask>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cell.counted(Reason::CheckpointTooSlow));
    }

    // Guards against the preemption of large work where small work suffices, and of more work than is needed.
    void cheapestVictimsArePreempted()
    {
        ClusterFile file = testFile();
        addWorkload(file, "large", "batch", "red", { 3000, 12000, 0 });
        addWorkload(file, "little", "batch", "red", { 1000, 1000, 0 });
        addWorkload(file, "alarm", "urgent", "blue", { 1000, 1024, 0 });
        CellFixture cell(file, 4);
        cell.submit("l", "large", 4);
        cell.step();
        cell.submit("s", "little", 4);
        cell.step();
        for (const auto& [task, start] : std::map(cell.m_started))
            cell.report(task, TaskState::Running);
        cell.submit("now", "alarm");
        cell.step();
        const auto checkpoints = cell.all<CheckpointTask>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), checkpoints.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s/"), checkpoints[0].m_task.value().substr(0, 2));
    }

    // Guards against a task that never finishes because it is preempted repeatedly.
    void preemptionsOfATaskAreBounded()
    {
        ClusterFile file = testFile();
        addWorkload(file, "whole", "batch", "red", { 4000, 16384, 0 });
        addWorkload(file, "alarm", "urgent", "blue", { 4000, 1024, 0 });
        CellFixture cell(file, 1);
        cell.submit("fill", "whole");
        for (int i = 0; i < 4; ++i) {
            cell.step();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StartTask>().size());
            cell.report("fill/0", TaskState::Running);
            const std::string job = "now" + std::to_string(i);
            cell.submit(job.c_str(), "alarm");
            cell.step();
            CPPUNIT_ASSERT_EQUAL(std::size_t(i < 3 ? 1 : 0), cell.all<CheckpointTask>().size());
            if (i == 3)
                return;
            cell.report("fill/0", TaskState::Stopped);
            cell.step();
            cell.report(job + "/0", TaskState::Ended);
        }
    }

    // Guards against tasks of equal priority that preempt each other endlessly.
    void equalPriorityDoesNotPreempt()
    {
        ClusterFile file = testFile();
        addWorkload(file, "whole", "batch", "red", { 4000, 16384, 0 });
        CellFixture cell(file, 2);
        cell.submit("a", "whole", 2);
        cell.step();
        cell.submit("b", "whole", 2);
        for (int i = 0; i < 200; ++i) {
            cell.step(std::chrono::seconds(10));
            CPPUNIT_ASSERT(cell.all<CheckpointTask>().empty() && cell.all<StopTask>().empty());
        }
    }

    // Guards against a guaranteed share that its team cannot get while another team borrows it, and against reclaiming
    // more than the share.
    void borrowedShareIsReclaimed()
    {
        ClusterFile file = testFile();
        addWorkload(file, "red-work", "batch", "red", { 4000, 16384, 0 });
        addWorkload(file, "blue-work", "batch", "blue", { 4000, 16384, 0 });
        CellFixture cell(file, 4);
        cell.submit("borrower", "red-work", 4);
        cell.step();
        for (const StartTask& start : cell.all<StartTask>())
            cell.report(start.m_task.value(), TaskState::Running);
        cell.submit("owner", "blue-work", 4);
        std::size_t reclaimed = 0;
        for (int i = 0; i < 100; ++i) {
            cell.step(std::chrono::seconds(1));
            for (const CheckpointTask& checkpoint : cell.all<CheckpointTask>()) {
                ++reclaimed;
                cell.report(checkpoint.m_task.value(), TaskState::Stopped);
            }
        }
        // Each team is guaranteed two of the four workers.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reclaimed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), cell.counted(Reason::ReclaimedShare));
    }

    // Guards against a guarantee that cannot be restored because work that cannot be preempted occupies it.
    void firmWorkBorrowsOnlyWhatNobodyIsGuaranteed()
    {
        ClusterFile file = testFile();
        addWorkload(file, "firm-work", "firm", "red", { 4000, 16384, 0 });
        addWorkload(file, "blue-work", "batch", "blue", { 4000, 16384, 0 });
        // Five workers: two guaranteed to each team, one to nobody.
        CellFixture cell(file, 5);
        cell.submit("f", "firm-work", 5);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cell.all<StartTask>().size());
        CPPUNIT_ASSERT_EQUAL(std::string("unreclaimable-share"), cell.explain("f/4").m_reason);
        cell.submit("b", "blue-work", 2);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cell.all<StartTask>().size());
    }

    // Guards against urgent work that waits for its own team's batch work at the limit of the quota.
    void urgentWorkAtTheTeamLimitTakesFromItsOwnTeam()
    {
        ClusterFile file = testFile();
        file.m_teams[0].m_limit = { 4000, 16384, 0 };
        addWorkload(file, "half", "batch", "red", { 2000, 8192, 0 });
        addWorkload(file, "alarm", "urgent", "red", { 2000, 8192, 0 });
        CellFixture cell(file, 4);
        cell.submit("fill", "half", 3);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cell.all<StartTask>().size());
        CPPUNIT_ASSERT_EQUAL(std::string("quota"), cell.explain("fill/2").m_reason);
        for (const StartTask& start : cell.all<StartTask>())
            cell.report(start.m_task.value(), TaskState::Running);
        cell.submit("now", "alarm");
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<CheckpointTask>().size());
        cell.report(cell.all<CheckpointTask>()[0].m_task.value(), TaskState::Stopped);
        cell.step();
        CPPUNIT_ASSERT(cell.all<StartTask>().front().m_task == TaskId("now/0"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PreemptionTest);

} // namespace sapphiredale::placement
