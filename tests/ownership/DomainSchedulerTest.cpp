// Tests of the domain scheduler with simulated workers, network and log; each brings about one failure.

#include "tests/ownership/World.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::ownership {

class DomainSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DomainSchedulerTest);
    CPPUNIT_TEST(servicesAndJobsRun);
    CPPUNIT_TEST_SUITE_END();

    static placement::JobRequest job(const std::string& name, std::uint32_t tasks = 1)
    {
        return { JobId("hal." + name), WorkloadId("score"), tasks };
    }
    static TaskId task(const std::string& name) { return TaskId(name); }

public:
    // Guards against a scheduler that does not start what the file and the callers declare.
    void servicesAndJobsRun()
    {
        World world;
        world.addNode("a");
        world.configure(World::file(3), 1);
        world.run(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), world.owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(task("monitor/1")));

        world.scheduler("a").submitJob(1, job("j1", 2), world.m_now);
        world.run(seconds(2));
        CPPUNIT_ASSERT(succeeded(world.m_nodes.at("a").m_replies.at(1).m_result));
        for (const char* name : { "hal.j1/0", "hal.j1/1" }) {
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(task(name)));
            world.m_workers.at(world.workerOf(task(name))).finish(task(name), TaskState::Ended);
        }
        world.run(seconds(20));
        CPPUNIT_ASSERT(world.scheduler("a").jobs().ended(JobId("hal.j1")));
        for (const auto& [name, worker] : world.m_workers)
            CPPUNIT_ASSERT(!worker.m_tasks.contains(task("hal.j1/0")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainSchedulerTest);

} // namespace sapphiredale::ownership
