// Worker client against the stand-in: fencing, idempotence and long polls.

#include "tests/platform/StandinFixture.h"

namespace sapphiredale::platform {

class WorkerClientTest : public StandinFixture {
    CPPUNIT_TEST_SUITE(WorkerClientTest);
    CPPUNIT_TEST(aSecondHolderIsRefused);
    CPPUNIT_TEST(staleEpochAndOtherIncarnationAreRefused);
    CPPUNIT_TEST(aRestartedWorkerGrantsNothingDuringTheLastLease);
    CPPUNIT_TEST(aRepeatedStartStartsNothing);
    CPPUNIT_TEST(startsBeyondTheCapacityAreRefused);
    CPPUNIT_TEST(aLongPollEndsWithAChangeAndDoesNotBlockCommands);
    CPPUNIT_TEST(aKilledWorkerEndsTheCallWithAnUnknownOutcome);
    CPPUNIT_TEST(aPartitionCutsOffOnlyTheNamedDaemon);
    CPPUNIT_TEST(aDelayedCommandOfAFormerHolderIsRefused);
    CPPUNIT_TEST(anIdleLeaseExchangeStaysSmall);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two owners of one worker.
    void aSecondHolderIsRefused()
    {
        auto first = worker("d1");
        auto second = worker("d2");
        grantIn(lease(first, leaseRequest("d1", 5)));
        const auto answer = lease(second, leaseRequest("d2", 6));
        CPPUNIT_ASSERT(succeeded(answer));
        const auto& refusal = std::get<LeaseRefusal>(valueOf(answer));
        CPPUNIT_ASSERT(refusal.m_holder == DaemonId("d1"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), refusal.m_epoch);
        CPPUNIT_ASSERT(refusal.m_expiresIn > Duration::zero());
        const auto released = await<ReleaseAnswer>([&](auto handler) {
            first.release({ DaemonId("d1"), 5 }, forever, handler);
        });
        CPPUNIT_ASSERT(succeeded(released) && std::holds_alternative<Unit>(valueOf(released)));
        grantIn(lease(second, leaseRequest("d2", 6)));
    }

    // Guards against commands of a former owner, and of the present owner to a worker that has lost its tasks.
    void staleEpochAndOtherIncarnationAreRefused()
    {
        auto client = worker();
        const auto grant = grantIn(lease(client, leaseRequest("d1", 5)));
        CommandRequest request { DaemonId("d1"), 4, grant.m_report.m_incarnation, { startCommand("j/0") } };
        const auto stale = command(client, request);
        CPPUNIT_ASSERT(succeeded(stale));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), std::get<StaleEpochRefusal>(valueOf(stale)).m_epoch);

        request.m_epoch = 5;
        control("workers", R"({"workers":["w1"],"action":"restart"})");
        const auto other = command(client, request);
        CPPUNIT_ASSERT(succeeded(other));
        const IncarnationId present = std::get<IncarnationRefusal>(valueOf(other)).m_incarnation;
        CPPUNIT_ASSERT(present != grant.m_report.m_incarnation);
    }

    // Guards against two domain schedulers: the holder still counts the lease of a worker that has restarted, so the
    // worker must not grant another one before that lease has expired.
    void aRestartedWorkerGrantsNothingDuringTheLastLease()
    {
        auto client = worker();
        grantIn(lease(client, leaseRequest("d1", 5)));
        control("workers", R"({"workers":["w1"],"action":"restart"})");
        const auto refused = lease(client, leaseRequest("d2", 6));
        CPPUNIT_ASSERT(succeeded(refused));
        CPPUNIT_ASSERT(std::get<LeaseRefusal>(valueOf(refused)).m_expiresIn > Duration::zero());

        auto other = worker("d1", "w2");
        WorkerLeaseRequest shortLease = leaseRequest("d1", 5);
        shortLease.m_ttl = std::chrono::milliseconds(50);
        const auto before = grantIn(lease(other, shortLease));
        control("workers", R"({"workers":["w2"],"action":"restart"})");
        auto answer = lease(other, leaseRequest("d2", 6));
        while (succeeded(answer) && std::holds_alternative<LeaseRefusal>(valueOf(answer)))
            answer = lease(other, leaseRequest("d2", 6));
        const auto after = grantIn(answer);
        CPPUNIT_ASSERT(after.m_report.m_incarnation != before.m_report.m_incarnation);
        CPPUNIT_ASSERT(after.m_report.m_tasks.empty());
    }

    // Guards against a second start of a task whose first answer was lost.
    void aRepeatedStartStartsNothing()
    {
        auto client = worker();
        const auto grant = grantIn(lease(client, leaseRequest("d1", 1)));
        const CommandRequest request { DaemonId("d1"), 1, grant.m_report.m_incarnation, { startCommand("s/0") } };
        CPPUNIT_ASSERT(resultsIn(command(client, request)).front().m_ok);
        const auto repeated = resultsIn(command(client, request));
        CPPUNIT_ASSERT(repeated.front().m_ok);
        CPPUNIT_ASSERT(repeated.front().m_reason == "starting" || repeated.front().m_reason == "running");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), grantIn(lease(client, leaseRequest("d1", 1))).m_report.m_tasks.size());
        CPPUNIT_ASSERT(show("violations").find("\"counts\":{}") != std::string::npos);
    }

    // Guards against a stand-in that hides a scheduler's overload.
    void startsBeyondTheCapacityAreRefused()
    {
        auto client = worker();
        const auto grant = grantIn(lease(client, leaseRequest("d1", 1)));
        const auto results = resultsIn(command(client,
            { DaemonId("d1"), 1, grant.m_report.m_incarnation,
                { startCommand("j/0", "", 3000), startCommand("j/1", "", 1001), startCommand("j/2", "", 1000) } }));
        CPPUNIT_ASSERT(results[0].m_ok && !results[1].m_ok && results[2].m_ok);
        CPPUNIT_ASSERT_EQUAL(std::string("capacity"), results[1].m_reason);
        CPPUNIT_ASSERT(show("violations").find("\"capacity-exceeded\":1") != std::string::npos);
    }

    // Guards against a change that waits for the end of the long poll, and against a command queued behind it. Either
    // would block for an hour.
    void aLongPollEndsWithAChangeAndDoesNotBlockCommands()
    {
        auto client = worker();
        const auto grant = grantIn(lease(client, leaseRequest("d1", 1)));
        const WorkerLeaseRequest renewal = leaseRequest("d1", 1, grant.m_report.m_sequence, forever);
        auto poll = start<WorkerLeaseAnswer>([&](auto handler) { client.lease(renewal, forever * 2, handler); });
        resultsIn(
            command(client, { DaemonId("d1"), 1, grant.m_report.m_incarnation, { startCommand("j/0", "run=1ms") } }));
        WorkerLeaseGrant changed = grantIn(poll.get());
        CPPUNIT_ASSERT(!changed.m_report.m_full);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changed.m_report.m_tasks.size());
        while (changed.m_report.m_tasks.front().m_state != TaskState::Ended)
            changed = grantIn(lease(client, leaseRequest("d1", 1, changed.m_report.m_sequence, forever)));
        // A final state is reported until it is acknowledged.
        WorkerLeaseRequest full = leaseRequest("d1", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), grantIn(lease(client, full)).m_report.m_tasks.size());
        full.m_acknowledged = { { TaskId("j/0"), 1 } };
        CPPUNIT_ASSERT(grantIn(lease(client, full)).m_report.m_tasks.empty());
    }

    // Guards against "not run" for a command that a worker may have executed before it died.
    void aKilledWorkerEndsTheCallWithAnUnknownOutcome()
    {
        auto client = worker();
        const auto grant = grantIn(lease(client, leaseRequest("d1", 1)));
        control("workers", R"({"workers":["w1"],"action":"kill"})");
        const auto answer
            = command(client, { DaemonId("d1"), 1, grant.m_report.m_incarnation, { startCommand("j/0") } });
        CPPUNIT_ASSERT(!succeeded(answer));
        CPPUNIT_ASSERT(!definitelyNotRun(errorOf(answer)));
    }

    // Guards against a partition that reaches daemons other than those named, and against one that answers.
    void aPartitionCutsOffOnlyTheNamedDaemon()
    {
        control("partitions", R"({"name":"p","daemons":["d1"],"parts":["workers"]})");
        auto cut = worker("d1");
        auto other = worker("d2", "w2");
        const auto silent = await<WorkerLeaseAnswer>(
            [&](auto handler) { cut.lease(leaseRequest("d1", 1), std::chrono::milliseconds(50), handler); });
        CPPUNIT_ASSERT(!succeeded(silent));
        CPPUNIT_ASSERT(errorOf(silent).m_kind == ErrorKind::DeadlineExceededMayHaveRun);
        grantIn(lease(other, leaseRequest("d2", 1)));
        control("reset", "{}");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), grantIn(lease(cut, leaseRequest("d1", 3))).m_epoch);
    }

    // Guards against a paused sender: its command arrives after another daemon has taken over.
    void aDelayedCommandOfAFormerHolderIsRefused()
    {
        auto former = worker("d1");
        auto next = worker("d2");
        WorkerLeaseRequest shortLease = leaseRequest("d1", 1);
        shortLease.m_ttl = Duration::zero();
        const auto grant = grantIn(lease(former, shortLease));
        control("partitions", R"({"name":"p","daemons":["d1"],"mode":"delay"})");
        auto late = start<CommandAnswer>([&](auto handler) {
            former.command(
                { DaemonId("d1"), 1, grant.m_report.m_incarnation, { startCommand("j/0") } }, forever, handler);
        });
        grantIn(lease(next, leaseRequest("d2", 2)));
        control("reset", "{}");
        const auto answer = late.get();
        CPPUNIT_ASSERT(succeeded(answer));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), std::get<StaleEpochRefusal>(valueOf(answer)).m_epoch);
    }

    // Guards the traffic budget of docs/design.md, section 2.10: 5 KB/s for 100 workers with one exchange in 7 s each
    // leaves 350 bytes for an exchange.
    void anIdleLeaseExchangeStaysSmall()
    {
        auto client = worker("d1");
        WorkerLeaseRequest request = leaseRequest("aalst-hal-entry-1", 1000, 0, std::chrono::milliseconds(1));
        request.m_ttl = std::chrono::seconds(20);
        request.m_since = grantIn(lease(client, request)).m_report.m_sequence;
        const std::uint64_t before = m_traffic.sent(ClientKind::Worker) + m_traffic.received(ClientKind::Worker);
        grantIn(lease(client, request));
        const std::uint64_t after = m_traffic.sent(ClientKind::Worker) + m_traffic.received(ClientKind::Worker);
        std::cout << " [" << after - before << " bytes] ";
        CPPUNIT_ASSERT(after > before);
        CPPUNIT_ASSERT(after - before < 350);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerClientTest);

} // namespace sapphiredale::platform
