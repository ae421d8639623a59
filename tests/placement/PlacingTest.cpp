// Tests of placement within capacity, of results, and of recovery from reports.

#include "tests/placement/CellFixture.h"

namespace sapphiredale::placement {

class PlacingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacingTest);
    CPPUNIT_TEST(capacityIsNeverExceeded);
    CPPUNIT_TEST(stopFreesOnlyAtTheFinalReport);
    CPPUNIT_TEST(runningTasksAreTakenOverAtRecovery);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a worker that is given more than it can hold, and against a queue that does not drain.
    void capacityIsNeverExceeded()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 1500, 4096, 0 });
        addWorkload(file, "web", "service", "blue", { 1000, 8192, 0 });
        CellFixture cell(file, 4);
        CPPUNIT_ASSERT(succeeded(cell.m_cell.submitInstance(TaskId("web/0"), WorkloadId("web"), cell.m_now)));
        CPPUNIT_ASSERT(succeeded(cell.submit("j1", "small", 20)));
        std::size_t started = 0;
        std::size_t finished = 0;
        for (int round = 0; round < 40; ++round) {
            cell.step();
            cell.assertCapacity();
            for (const StartTask& start : cell.all<StartTask>()) {
                ++started;
                cell.report(start.m_task.value(), TaskState::Running);
                if (start.m_task != TaskId("web/0"))
                    cell.report(start.m_task.value(), TaskState::Ended);
            }
            finished += cell.all<FinishJob>().size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(21), started);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), finished);
        CPPUNIT_ASSERT(cell.explain("web/0").m_state == Explanation::State::Running);
    }

    // Guards against the reuse of resources that a stopping task still occupies.
    void stopFreesOnlyAtTheFinalReport()
    {
        ClusterFile file = testFile();
        addWorkload(file, "whole", "batch", "red", { 4000, 16384, 0 });
        CellFixture cell(file, 1);
        cell.submit("a", "whole");
        cell.submit("b", "whole");
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StartTask>().size());
        CPPUNIT_ASSERT(cell.m_cell.cancelJob(JobId("a"), cell.m_now));
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StopTask>().size());
        CPPUNIT_ASSERT(cell.all<StartTask>().empty());
        CPPUNIT_ASSERT(cell.explain("a/0").m_state == Explanation::State::Stopping);
        cell.report("a/0", TaskState::Stopped);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StartTask>().size());
    }

    // Guards against a second start of a task that already runs, and of one that has already ended, after a failover.
    void runningTasksAreTakenOverAtRecovery()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 1000, 4096, 0 });
        addWorkload(file, "web", "service", "blue", { 1000, 8192, 0 });
        CellFixture cell(file, 2);
        const auto report = [&](const char* task, const char* worker, TaskState state, std::uint32_t attempt) {
            TaskReport message { TaskId(task), attempt, state, {}, { 1000, 4096, 0 }, {}, {} };
            cell.m_cell.taskReported(WorkerId(worker), message, cell.m_now);
        };
        report("j/0", "w0", TaskState::Running, 2);
        report("j/1", "w1", TaskState::Ended, 1);
        report("web/0", "w1", TaskState::Running, 5);
        cell.submit("j", "small", 3);
        cell.m_cell.submitInstance(TaskId("web/0"), WorkloadId("web"), cell.m_now);
        report("j/1", "w1", TaskState::Ended, 1);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StartTask>().size());
        CPPUNIT_ASSERT(cell.all<StartTask>().front().m_task == TaskId("j/2"));
        CPPUNIT_ASSERT(cell.explain("j/0").m_worker == WorkerId("w0"));
        CPPUNIT_ASSERT(cell.explain("j/1").m_state == Explanation::State::Finished);
        report("j/0", "w0", TaskState::Ended, 2);
        cell.report("j/2", TaskState::Ended);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<FinishJob>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacingTest);

} // namespace sapphiredale::placement
