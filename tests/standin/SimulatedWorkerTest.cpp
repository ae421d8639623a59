// The stand-in's lease register, workers and log with a time that the test controls.

#include "standin/SimulatedWorker.h"
#include "standin/HostDirectory.h"
#include "standin/LogStore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::standin {

class SimulatedWorkerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SimulatedWorkerTest);
    CPPUNIT_TEST(theRegisterGrantsOneLeaseAtATime);
    CPPUNIT_TEST(aTaskWithoutExternalContactIsStopped);
    CPPUNIT_TEST(useLagsAndDiffersFromTheDeclaration);
    CPPUNIT_TEST(aCheckpointKeepsProgressAndFreesTheCapacity);
    CPPUNIT_TEST(failuresFollowTheProgramAndTheFault);
    CPPUNIT_TEST(aTaskOnTwoWorkersIsAViolation);
    CPPUNIT_TEST(retentionAndRateLimitDropAndRefuse);
    CPPUNIT_TEST(theHostListLags);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a register that grants an old epoch, two leases at once or a renewal after a release.
    void theRegisterGrantsOneLeaseAtATime()
    {
        LeaseRegister reg;
        CPPUNIT_ASSERT(!reg.acquire(DaemonId("a"), 0, seconds(10), at(0)));
        CPPUNIT_ASSERT(reg.acquire(DaemonId("a"), 3, seconds(10), at(0)));
        CPPUNIT_ASSERT(!reg.acquire(DaemonId("b"), 4, seconds(10), at(9)));
        CPPUNIT_ASSERT(!reg.acquire(DaemonId("a"), 4, seconds(10), at(9)));
        CPPUNIT_ASSERT(reg.acquire(DaemonId("a"), 3, seconds(10), at(9)));
        CPPUNIT_ASSERT(!reg.acquire(DaemonId("b"), 3, seconds(10), at(19)));
        CPPUNIT_ASSERT(reg.acquire(DaemonId("b"), 4, seconds(10), at(19)));
        CPPUNIT_ASSERT(!reg.obeys(DaemonId("a"), 3) && !reg.obeys(DaemonId("a"), 4) && reg.obeys(DaemonId("b"), 4));
        CPPUNIT_ASSERT(!reg.acquire(DaemonId("a"), 3, seconds(10), at(99)));
        CPPUNIT_ASSERT(reg.release(DaemonId("b"), 4));
        CPPUNIT_ASSERT(!reg.obeys(DaemonId("b"), 4));
        CPPUNIT_ASSERT(!reg.acquire(DaemonId("b"), 4, seconds(10), at(20)));
        CPPUNIT_ASSERT(reg.acquire(DaemonId("a"), 5, seconds(10), at(20)));
    }

    // Guards against a lapse stop that comes early, late or not at all.
    void aTaskWithoutExternalContactIsStopped()
    {
        auto worker = makeWorker("w1");
        const auto sender = takeLease(*worker);
        begin(*worker, sender, "s/0", "", 30);
        begin(*worker, sender, "s/1", "", 0);
        worker->advance(at(1));
        worker->lease({ sender.m_holder, 1, seconds(1000), true, {} }, at(20));
        worker->lease({ sender.m_holder, 1, seconds(1000), false, {} }, at(40));
        worker->advance(at(49));
        CPPUNIT_ASSERT(stateOf(*worker, "s/0") == TaskState::Running);
        worker->advance(at(50));
        CPPUNIT_ASSERT(stateOf(*worker, "s/0") == TaskState::Stopped);
        CPPUNIT_ASSERT(stateOf(*worker, "s/1") == TaskState::Running);
    }

    // Guards against a stand-in whose reports are as exact and prompt as the declaration.
    void useLagsAndDiffersFromTheDeclaration()
    {
        auto worker = makeWorker("w1");
        const auto sender = takeLease(*worker);
        begin(*worker, sender, "j/0", "usage=1.5");
        worker->advance(at(1));
        CPPUNIT_ASSERT(reportOf(*worker, "j/0").m_usage.isZero());
        worker->advance(at(7));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1500), reportOf(*worker, "j/0").m_usage.m_cpuMillis);
        CPPUNIT_ASSERT(worker->throttle(sender, { TaskId("j/0"), 1 }, 700, at(8)).m_ok);
        worker->advance(at(9));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1500), reportOf(*worker, "j/0").m_usage.m_cpuMillis);
        worker->advance(at(14));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(700), reportOf(*worker, "j/0").m_usage.m_cpuMillis);
    }

    // Guards against a checkpoint that loses the progress or holds the capacity.
    void aCheckpointKeepsProgressAndFreesTheCapacity()
    {
        auto worker = makeWorker("w1");
        const auto sender = takeLease(*worker);
        begin(*worker, sender, "j/0", "run=100s");
        worker->advance(at(1));
        CPPUNIT_ASSERT(worker->checkpoint(sender, { TaskId("j/0"), 1 }, at(61)).m_ok);
        CPPUNIT_ASSERT(stateOf(*worker, "j/0") == TaskState::Checkpointing);
        worker->advance(at(62));
        CPPUNIT_ASSERT(stateOf(*worker, "j/0") == TaskState::Stopped);
        CPPUNIT_ASSERT(worker->assigned().isZero());

        auto other = makeWorker("w2");
        const auto otherSender = takeLease(*other);
        begin(*other, otherSender, "j/0", "run=100s");
        other->advance(at(1));
        other->advance(at(40));
        CPPUNIT_ASSERT(stateOf(*other, "j/0") == TaskState::Running);
        other->advance(at(42));
        CPPUNIT_ASSERT(stateOf(*other, "j/0") == TaskState::Ended);
    }

    // Guards against failures that depend on anything but program, fault and seed.
    void failuresFollowTheProgramAndTheFault()
    {
        auto worker = makeWorker("w1");
        const auto sender = takeLease(*worker);
        begin(*worker, sender, "j/0", "run=1s fail=1");
        begin(*worker, sender, "j/1", "run=1s fail=0");
        worker->advance(at(1));
        WorkerFaults faults;
        faults.m_failStarts = true;
        worker->setFaults(faults);
        begin(*worker, sender, "j/2", "run=1s fail=0");
        worker->advance(at(5));
        CPPUNIT_ASSERT(stateOf(*worker, "j/0") == TaskState::Failed);
        CPPUNIT_ASSERT(stateOf(*worker, "j/1") == TaskState::Ended);
        CPPUNIT_ASSERT(stateOf(*worker, "j/2") == TaskState::Failed);
    }

    // Guards against a check of invariant 2 that cannot fail.
    void aTaskOnTwoWorkersIsAViolation()
    {
        auto first = makeWorker("w1");
        auto second = makeWorker("w2");
        const auto sender = takeLease(*first);
        begin(*first, sender, "j/0", "");
        first->kill();
        begin(*second, takeLease(*second), "j/0", "");
        CPPUNIT_ASSERT(m_violations.counts().empty());
        first->restart(at(0));
        // A restarted worker grants nothing before the last lease has expired.
        CPPUNIT_ASSERT(!first->lease({ DaemonId("b"), 2, seconds(1000), true, {} }, at(999)));
        begin(*first, takeLease(*first, at(1000)), "j/0", "");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_violations.counts()["task-running-twice"]);
    }

    // Guards against a log that retains everything and accepts every append.
    void retentionAndRateLimitDropAndRefuse()
    {
        LogSettings settings;
        settings.m_retainedRecords = 2;
        settings.m_appendsPerSecond = 1;
        LogStore log(settings);
        CPPUNIT_ASSERT(log.append("s", { "a", "b", "c" }) == std::optional<std::uint64_t>(0));
        CPPUNIT_ASSERT(!log.append("s", { "d" }));
        const StoredPage page = log.read("s", 0, 1000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), page.m_earliest);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), page.m_records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), page.m_records.front().m_data);
    }

    // Guards against a host list that shows the truth at once.
    void theHostListLags()
    {
        HostDirectory hosts(seconds(2));
        hosts.add("h", FailureDomainId("d"));
        CPPUNIT_ASSERT(hosts.set("h", ListedState::Gone, at(10)));
        CPPUNIT_ASSERT(hosts.view(at(11), WallTime()).m_hosts.front().m_state == ListedState::Live);
        CPPUNIT_ASSERT(hosts.view(at(12), WallTime()).m_hosts.front().m_state == ListedState::Gone);
        CPPUNIT_ASSERT(!hosts.set("unknown", ListedState::Gone, at(10)));
    }

private:
    class NoMinions final : public MinionLauncher {
    public:
        Result<std::shared_ptr<MinionPort>> launch(const TaskId&, const FailureDomainId&, MinionShape) override
        {
            return Error { ErrorKind::Internal, "no minions here" };
        }
    };

    static Duration seconds(int count) { return std::chrono::seconds(count); }
    static TimePoint at(int second) { return TimePoint(std::chrono::seconds(second)); }

    std::unique_ptr<SimulatedWorker> makeWorker(const std::string& name)
    {
        const WorkerSurroundings surroundings { m_settings, 7, m_registry, m_violations, m_launcher };
        return std::make_unique<SimulatedWorker>(
            WorkerIdentity { WorkerId(name), FailureDomainId("d"), RackId("r"), { 4000, 1024, 0 } }, surroundings);
    }

    static SimulatedWorker::Sender takeLease(SimulatedWorker& worker, TimePoint now = at(0))
    {
        CPPUNIT_ASSERT(worker.lease({ DaemonId("a"), 1, seconds(1000), true, {} }, now));
        return { DaemonId("a"), 1, worker.incarnation() };
    }

    static void begin(SimulatedWorker& worker, const SimulatedWorker::Sender& sender, const std::string& task,
        const std::string& program, std::uint32_t lapseStopSeconds = 0)
    {
        const StartCall call { { 1000, 16, 0 }, program, lapseStopSeconds, std::nullopt };
        const CommandOutcome outcome = worker.start(sender, { TaskId(task), 1 }, call, at(0));
        CPPUNIT_ASSERT_MESSAGE(outcome.m_reason, outcome.m_ok);
    }

    static TaskReport reportOf(const SimulatedWorker& worker, const std::string& task)
    {
        for (const TaskReport& report : worker.report(0).m_tasks) {
            if (report.m_task == TaskId(task))
                return report;
        }
        CPPUNIT_FAIL("no such task");
        return {};
    }

    static TaskState stateOf(const SimulatedWorker& worker, const std::string& task)
    {
        return reportOf(worker, task).m_state;
    }

    TaskSettings m_settings;
    Violations m_violations;
    TaskRegistry m_registry { m_violations };
    NoMinions m_launcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SimulatedWorkerTest);

} // namespace sapphiredale::standin
