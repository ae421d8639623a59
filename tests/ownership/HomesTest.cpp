// Tests of homes: moves between files, cut-off domains, quotas and the text of records.

#include "ownership/QuotaShares.h"
#include "ownership/StreamRecordCodec.h"
#include "tests/ownership/World.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::ownership {

namespace {

    const std::vector<std::string> threeDomains { "hal", "lab", "lok" };

    /// One daemon per domain, so that a domain is cut off with its only daemon.
    void startThree(World& world, const ClusterFile& file)
    {
        for (const std::string& domain : threeDomains)
            world.addNode(domain + "-d", domain);
        world.configure(file, 1);
        world.run(seconds(20));
    }

    std::string domainOf(const World& world, const TaskId& task) { return world.workerOf(task).value().substr(0, 3); }

    std::vector<TaskId> instancesOf(const ClusterFile& file, const std::string& workload, const std::string& domain)
    {
        std::vector<TaskId> tasks;
        for (const WorkloadSpec& spec : file.m_workloads) {
            for (std::uint32_t i = 0; spec.m_name.value() == workload && i < spec.m_instances; ++i) {
                const TaskId task = instanceTask(spec.m_name, i);
                if (homeOfInstance(file, spec, task) == FailureDomainId(domain))
                    tasks.push_back(task);
            }
        }
        return tasks;
    }

} // namespace

class HomesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HomesTest);
    CPPUNIT_TEST(movedInstanceWaitsForTheRelease);
    CPPUNIT_TEST(removedInstanceIsReleasedBeforeItReturnsElsewhere);
    CPPUNIT_TEST(waitingInstancesStayWithACutOffDomain);
    CPPUNIT_TEST(movingInstancesLapseMoveAndReturn);
    CPPUNIT_TEST(voidTakeoverDoesNotCount);
    CPPUNIT_TEST(lostDomainLosesItsInstances);
    CPPUNIT_TEST(releaseBeforeItsMoveIsRemembered);
    CPPUNIT_TEST(quotaPartsSumToTheWhole);
    CPPUNIT_TEST(recordsSurviveTheirText);
    CPPUNIT_TEST(malformedRecordsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two copies while the home of an instance moves by a new file and the old home learns of it late.
    void movedInstanceWaitsForTheRelease()
    {
        World world;
        ClusterFile file = World::file(2, threeDomains);
        file.m_workloads[0].m_failureDomains = { FailureDomainId("hal") };
        startThree(world, file);
        const TaskId monitor("monitor/0");
        CPPUNIT_ASSERT_EQUAL(std::string("hal"), domainOf(world, monitor));

        ClusterFile moved = file;
        moved.m_workloads[0].m_failureDomains = { FailureDomainId("lab") };
        world.scheduler("lab-d").configure({ moved, 2, {}, {} }, world.m_now);
        world.run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::string("hal"), domainOf(world, monitor));
        CPPUNIT_ASSERT_EQUAL(
            std::string("home-not-released"), world.scheduler("lab-d").explain(monitor, world.m_now).m_reason);
        world.configure(moved, 2);
        world.run(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::string("lab"), domainOf(world, monitor));
        CPPUNIT_ASSERT(world.scheduler("lab-d").pendingMoves().empty());
    }

    // Guards against a second copy when a file drops an instance, a later file declares it in another domain, and the
    // first domain has seen neither.
    void removedInstanceIsReleasedBeforeItReturnsElsewhere()
    {
        World world;
        ClusterFile file = World::file(2, threeDomains);
        file.m_workloads[0].m_failureDomains = { FailureDomainId("hal") };
        startThree(world, file);
        ClusterFile without = file;
        without.m_workloads[0].m_instances = 0;
        ClusterFile again = file;
        again.m_workloads[0].m_failureDomains = { FailureDomainId("lab") };
        world.scheduler("lab-d").configure({ without, 2, {}, {} }, world.m_now);
        world.scheduler("lab-d").configure({ again, 3, {}, {} }, world.m_now);
        world.run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::string("hal"), domainOf(world, TaskId("monitor/0")));
        world.configure(without, 2);
        world.configure(again, 3);
        world.run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::string("lab"), domainOf(world, TaskId("monitor/0")));
    }

    // Guards against a long-lived monitor that is duplicated because its domain cannot be reached for hours.
    void waitingInstancesStayWithACutOffDomain()
    {
        World world;
        const ClusterFile file = World::file(3, threeDomains);
        startThree(world, file);
        for (const std::string& domain : threeDomains) {
            for (const TaskId& task : instancesOf(file, "monitor", domain)) {
                world.m_nodes.at(domain + "-d").m_cutOff = true;
                world.run(std::chrono::hours(2));
                CPPUNIT_ASSERT_EQUAL(domain, domainOf(world, task));
                CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(task));
                world.m_nodes.at(domain + "-d").m_cutOff = false;
                world.run(seconds(60));
            }
        }
    }

    // Guards against two copies of an instance with onDomainLoss "moveAfterLoss", and against one that stays away:
    // it stops in the cut-off domain, starts in another one, and returns after the partition.
    void movingInstancesLapseMoveAndReturn()
    {
        World world;
        const ClusterFile file = World::file(3, threeDomains);
        startThree(world, file);
        int verified = 0;
        for (const std::string& domain : threeDomains) {
            const std::vector<TaskId> tasks = instancesOf(file, "mover", domain);
            world.m_nodes.at(domain + "-d").m_cutOff = true;
            world.run(seconds(300));
            for (const TaskId& task : tasks) {
                CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(task));
                CPPUNIT_ASSERT(domainOf(world, task) != domain);
                ++verified;
            }
            // The domain reaches the others again before it can read who has taken over its instances.
            world.m_nodes.at(domain + "-d").m_logBlocked = true;
            world.m_nodes.at(domain + "-d").m_cutOff = false;
            world.run(seconds(60));
            for (const TaskId& task : tasks)
                CPPUNIT_ASSERT(domainOf(world, task) != domain);
            world.m_nodes.at(domain + "-d").m_logBlocked = false;
            world.run(seconds(120));
            for (const TaskId& task : tasks)
                CPPUNIT_ASSERT_EQUAL(domain, domainOf(world, task));
        }
        CPPUNIT_ASSERT_EQUAL(4, verified);
    }

    // Guards against a takeover whose record reaches the log only after the home domain has come back.
    void voidTakeoverDoesNotCount()
    {
        World world;
        const ClusterFile file = World::file(3, threeDomains);
        startThree(world, file);
        for (const std::string& domain : threeDomains) {
            const std::vector<TaskId> tasks = instancesOf(file, "mover", domain);
            for (const TaskId& task : tasks) {
                const StreamRecord late { RecordId("late-" + task.value()),
                    HomeTaken { task, FailureDomainId("elsewhere"), 1, RecordId("outdated") } };
                world.m_streams[FailureDomainId(domain)].push_back(late);
            }
            world.run(seconds(3));
            for (const TaskId& task : tasks)
                world.m_workers.at(world.workerOf(task)).finish(task, TaskState::Failed);
            world.run(seconds(30));
            for (const TaskId& task : tasks)
                CPPUNIT_ASSERT_EQUAL(domain, domainOf(world, task));
        }
    }

    // Guards against instances that stay down although the operator has declared their domain lost.
    void lostDomainLosesItsInstances()
    {
        World world;
        ClusterFile file = World::file(3, threeDomains);
        startThree(world, file);
        for (std::size_t i = 0; i < threeDomains.size(); ++i) {
            const std::vector<TaskId> tasks = instancesOf(file, "monitor", threeDomains[i]);
            if (tasks.empty())
                continue;
            world.kill(threeDomains[i] + "-d");
            for (auto& [name, worker] : world.m_workers) {
                if (name.value().starts_with(threeDomains[i]))
                    world.m_deadWorkers.insert(name);
            }
            world.run(seconds(600));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.running(tasks[0]));
            file.m_failureDomains[i].m_lost = true;
            world.configure(file, 2);
            world.run(seconds(10));
            for (const TaskId& task : tasks)
                CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(task));
            return;
        }
        CPPUNIT_FAIL("no domain is the home of a monitor");
    }

    // Guards against an instance that waits for ever because its release was read before the move became known.
    void releaseBeforeItsMoveIsRemembered()
    {
        HomeMap homes;
        const TaskId task("monitor/0");
        const FailureDomainId hal("hal");
        const FailureDomainId lab("lab");
        homes.released(hal, task, 5);
        homes.addMoves({ { task, hal, lab, 5 } });
        CPPUNIT_ASSERT(homes.mayStart(task));
        homes.addMoves({ { task, hal, lab, 7 }, { task, lab, hal, 8 } });
        CPPUNIT_ASSERT(!homes.mayStart(task));
        CPPUNIT_ASSERT(homes.owedBy(lab).empty());
        homes.released(hal, task, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, homes.owedBy(lab).size());
        homes.released(lab, task, 8);
        CPPUNIT_ASSERT(homes.mayStart(task));
    }

    // Guards against quota parts whose sum is more, or less, than the declared quota of a team.
    void quotaPartsSumToTheWhole()
    {
        JitterSource random(20261204);
        for (int round = 0; round < 2000; ++round) {
            std::vector<std::int64_t> weights(1 + static_cast<std::size_t>(random.below(Duration(8)).count()));
            for (std::int64_t& weight : weights)
                weight = random.below(Duration(round % 3 ? 7 : std::int64_t { 1 } << 40)).count();
            weights[0] += 1;
            const std::int64_t total = random.below(Duration(round % 2 ? 11 : std::int64_t { 1 } << 40)).count();
            const auto parts = divideByLargestRemainder(total, weights);
            std::int64_t sum = 0;
            std::int64_t weightSum = 0;
            for (std::size_t i = 0; i < parts.size(); ++i) {
                sum += parts[i];
                weightSum += weights[i];
            }
            CPPUNIT_ASSERT_EQUAL(total, sum);
            for (std::size_t i = 0; i < parts.size(); ++i) {
                const double exact
                    = static_cast<double>(total) * static_cast<double>(weights[i]) / static_cast<double>(weightSum);
                CPPUNIT_ASSERT(std::abs(static_cast<double>(parts[i]) - exact) < 1.001);
            }
        }
        ClusterFile file = World::file(3, threeDomains);
        file.m_teams[0].m_limit = { 1000, 1001, 1 };
        std::swap(file.m_failureDomains[0], file.m_failureDomains[2]);
        Resources sum;
        for (const std::string& domain : threeDomains)
            sum += fileForDomain(file, FailureDomainId(domain)).m_teams[0].m_limit;
        CPPUNIT_ASSERT(sum == (Resources { 1000, 1001, 0 }));
    }

    // Guards against a record that another version or daemon reads differently from what was written.
    void recordsSurviveTheirText()
    {
        const RecordId id("a@1-7");
        const std::vector<StreamRecord> records { { id,
                                                      JobAccepted { { JobId("hal.x"), WorkloadId("score"), 70000 } } },
            { id, JobEnded { JobId("hal.x"), JobOutcome::Cancelled, "line\n\"quoted\" \x01" } },
            { id, TaskEnded { TaskId("hal.x/3"), 2, TaskState::Stopped, WorkerId("w") } },
            { id, HomeReleased { TaskId("m/0"), std::uint64_t { 1 } << 63, 0 } },
            { id, HomeTaken { TaskId("m/0"), FailureDomainId("lab"), 3, RecordId() } }, { id, DomainPresent { 12 } } };
        for (const StreamRecord& record : records) {
            std::string text = encodeRecord(record);
            CPPUNIT_ASSERT(text.find('\n') == std::string::npos);
            text.insert(1, "\"added\":[{\"later\":null}],");
            const Result<StreamRecord> read = decodeRecord(text);
            CPPUNIT_ASSERT(succeeded(read));
            CPPUNIT_ASSERT(valueOf(read) == record);
        }
        const StreamRecord longDetail { id, JobEnded { JobId("j"), JobOutcome::Failed, std::string(100000, '\x02') } };
        CPPUNIT_ASSERT(encodeRecord(longDetail).size() <= maxRecordBytes);
        CPPUNIT_ASSERT(succeeded(decodeRecord(encodeRecord(longDetail))));
    }

    // Guards against a reader that accepts or crashes on records that are damaged or of an unknown kind.
    void malformedRecordsAreRefused()
    {
        for (const char* text : { "", "[]", "{", "{\"id\":\"a\"}", "{\"id\":3,\"type\":\"domainPresent\",\"epoch\":1}",
                 "{\"id\":\"a\",\"type\":\"domainPresent\",\"epoch\":-1}",
                 "{\"id\":\"a\",\"type\":\"jobAccepted\",\"job\":\"j\",\"workload\":\"w\",\"tasks\":4294967296}",
                 R"({"id":"a","type":"taskEnded","task":"t","attempt":1,"state":"running","worker":"w"})" }) {
            const Result<StreamRecord> read = decodeRecord(text);
            CPPUNIT_ASSERT_MESSAGE(text, !succeeded(read) && errorOf(read).m_kind == ErrorKind::InvalidRequest);
        }
        CPPUNIT_ASSERT(errorOf(decodeRecord("{\"id\":\"a\",\"type\":\"later\"}")).m_kind == ErrorKind::NotFound);
        CPPUNIT_ASSERT(!succeeded(decodeRecord(std::string(maxRecordBytes + 1, ' '))));
        CPPUNIT_ASSERT(!succeeded(decodeRecord("{\"a\":" + std::string(5000, '['))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomesTest);

} // namespace sapphiredale::ownership
