// Tests of the list of running minions.

#include "daemon/MinionDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::daemon {

class MinionDirectoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MinionDirectoryTest);
    CPPUNIT_TEST(minionsOfLeavingWorkersAreLeftOut);
    CPPUNIT_TEST(equalListsHaveEqualGenerations);
    CPPUNIT_TEST(finalStatesAndFullReportsRemoveMinions);
    CPPUNIT_TEST_SUITE_END();

    static ClusterFile file()
    {
        ClusterFile result;
        WorkloadSpec service;
        service.m_name = WorkloadId("desk");
        service.m_minion = MinionSpec {};
        result.m_workloads.push_back(service);
        return result;
    }

    static WorkerReport report(const std::string& worker, std::vector<TaskReport> tasks, bool full = true)
    {
        return { WorkerId(worker), IncarnationId("i"), 1, full, std::move(tasks) };
    }

    static TaskReport minion(const std::string& task, TaskState state = TaskState::Running)
    {
        TaskReport result;
        result.m_task = TaskId(task);
        result.m_state = state;
        result.m_address = "127.0.0.1:9";
        return result;
    }

public:
    // Guards against invariant 6: a minion on a leaving worker must disappear from the list that all daemons route by.
    void minionsOfLeavingWorkersAreLeftOut()
    {
        MinionDirectory directory;
        directory.setFile(file());
        directory.reported(report("w1", { minion("desk/0") }));
        directory.reported(report("w2", { minion("desk/1"), minion("other/0") }));
        const peer::MinionsReply before = directory.list(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, before.m_rows.size());
        directory.setLeavingWorkers({ WorkerId("w1") });
        const peer::MinionsReply after = directory.list(before.m_generation);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, after.m_rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("desk/1"), after.m_rows.front().m_minion.value());
        directory.setLeavingWorkers({});
        CPPUNIT_ASSERT_EQUAL(before.m_generation, directory.generation());
    }

    // Guards against a change of scheduler after which every daemon fetches the same list again.
    void equalListsHaveEqualGenerations()
    {
        MinionDirectory first;
        MinionDirectory second;
        first.setFile(file());
        second.setFile(file());
        first.reported(report("w1", { minion("desk/0") }));
        first.reported(report("w2", { minion("desk/1") }));
        second.reported(report("w2", { minion("desk/1") }));
        second.reported(report("w1", { minion("desk/0") }));
        CPPUNIT_ASSERT_EQUAL(first.generation(), second.generation());
        CPPUNIT_ASSERT(second.list(first.generation()).m_unchanged);
    }

    // Guards against requests that are routed to a minion that has ended.
    void finalStatesAndFullReportsRemoveMinions()
    {
        MinionDirectory directory;
        directory.setFile(file());
        directory.reported(report("w1", { minion("desk/0"), minion("desk/1") }));
        directory.reported(report("w1", { minion("desk/0", TaskState::Stopped) }, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, directory.list(0).m_rows.size());
        directory.reported(report("w1", {}));
        CPPUNIT_ASSERT(directory.list(0).m_rows.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MinionDirectoryTest);

} // namespace sapphiredale::daemon
