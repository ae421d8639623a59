// Minion client and the stand-in's minions: slots, epochs, connections and the faults of answers.

#include "tests/platform/StandinFixture.h"

namespace sapphiredale::platform {

class MinionTest : public StandinFixture {
    CPPUNIT_TEST_SUITE(MinionTest);
    CPPUNIT_TEST(requestsOfAnotherEpochAreRefused);
    CPPUNIT_TEST(aNewHolderLearnsOfRequestsInFlight);
    CPPUNIT_TEST(aLeavingMinionTellsItsHolderAtOnce);
    CPPUNIT_TEST(aFullMinionRefusesAndRecordsIt);
    CPPUNIT_TEST(aKeyThatRunsTwiceIsAViolation);
    CPPUNIT_TEST(answersAreCutLostAndSwapped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        StandinFixture::setUp();
        auto client = worker();
        WorkerLeaseGrant grant = grantIn(lease(client, leaseRequest("d1", 1)));
        WorkerCommand command = startCommand("tp/0");
        std::get<StartCommand>(command.m_operation).m_minion = MinionLimits { 2, 4 };
        resultsIn(platform::command(client, { DaemonId("d1"), 1, grant.m_report.m_incarnation, { command } }));
        do
            grant = grantIn(lease(client, leaseRequest("d1", 1, grant.m_report.m_sequence, forever)));
        while (grant.m_report.m_tasks.front().m_address.empty());
        m_address = grant.m_report.m_tasks.front().m_address;
        m_minion = std::make_unique<HttpMinionControl>(m_clients->m_context, settings(m_address));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), leaseMinion("d1", 1, Duration::zero()).m_epoch);
    }

    void tearDown() override
    {
        m_minion.reset();
        StandinFixture::tearDown();
    }

    // Guards against a request of a former holder that runs after a takeover.
    void requestsOfAnotherEpochAreRefused()
    {
        const std::string first = request("r1", 1, "/echo?bytes=5");
        CPPUNIT_ASSERT_MESSAGE(first, first.find("\r\n\r\nr1 r1") != std::string::npos);
        const std::string refused = request("r2", 2, "/echo");
        CPPUNIT_ASSERT(refused.starts_with("HTTP/1.1 409"));
        CPPUNIT_ASSERT(refused.find("Sapphire-Refusal: stale-epoch") != std::string::npos);
        CPPUNIT_ASSERT(refused.find("Sapphire-Request-Id: r2") != std::string::npos);
        CPPUNIT_ASSERT(show("executions").find("\"r2\"") == std::string::npos);
    }

    // Guards against a new holder that fills slots which requests of the former one still occupy.
    void aNewHolderLearnsOfRequestsInFlight()
    {
        auto running = std::async(std::launch::async, [this] { return request("r1", 1, "/work?hang=1"); });
        while (show("executions").find("\"r1\"") == std::string::npos)
            std::this_thread::yield();
        leaseMinion("d1", 1, Duration::zero(), Duration::zero());
        CPPUNIT_ASSERT_EQUAL(1U, leaseMinion("d2", 2, Duration::zero()).m_inFlight);
        control("minions", R"({"minions":["tp/0"],"action":"vanish"})");
        CPPUNIT_ASSERT(running.get().empty());
    }

    // Guards against a notice that waits for the end of the long poll, which would block for an hour.
    void aLeavingMinionTellsItsHolderAtOnce()
    {
        auto poll = start<MinionLeaseAnswer>([this](auto handler) {
            m_minion->lease({ DaemonId("d1"), 1, std::chrono::minutes(10), forever }, forever * 2, handler);
        });
        control("minions", R"({"minions":["tp/0"],"action":"leave"})");
        const auto answer = poll.get();
        CPPUNIT_ASSERT(succeeded(answer));
        CPPUNIT_ASSERT(std::get<MinionLeaseGrant>(valueOf(answer)).m_leaving);
        CPPUNIT_ASSERT(request("r1", 1, "/echo").find("Sapphire-Refusal: leaving") != std::string::npos);
    }

    // Guards against a check of slots and connections that cannot fail.
    void aFullMinionRefusesAndRecordsIt()
    {
        std::vector<std::future<std::string>> running;
        for (const char* id : { "r1", "r2" })
            running.push_back(std::async(std::launch::async, [this, id] { return request(id, 1, "/work?hang=1"); }));
        while (show("executions").find("\"r1\"") == std::string::npos
            || show("executions").find("\"r2\"") == std::string::npos)
            std::this_thread::yield();
        CPPUNIT_ASSERT(request("r3", 1, "/echo").find("Sapphire-Refusal: busy") != std::string::npos);
        CPPUNIT_ASSERT(show("violations").find("\"slots-exceeded\":1") != std::string::npos);
        control("minions", R"({"minions":["tp/0"],"action":"die"})");
        for (auto& request : running)
            CPPUNIT_ASSERT(request.get().empty());
    }

    // Guards against a check of invariant 5 that cannot fail.
    void aKeyThatRunsTwiceIsAViolation()
    {
        request("r1", 1, "/echo", "Idempotency-Key: k\r\n");
        CPPUNIT_ASSERT(show("violations").find("\"counts\":{}") != std::string::npos);
        request("r2", 1, "/echo", "Idempotency-Key: k\r\n");
        CPPUNIT_ASSERT(show("violations").find("\"request-run-twice\":1") != std::string::npos);
    }

    // Guards against faults that are accepted and have no effect.
    void answersAreCutLostAndSwapped()
    {
        control("minions", R"({"minions":["tp/0"],"cutAnswers":1})");
        const std::string cut = request("r1", 1, "/echo?bytes=100");
        CPPUNIT_ASSERT(cut.find("Content-Length: 100") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(50), cut.size() - cut.find("\r\n\r\n") - 4);
        control("minions", R"({"minions":["tp/0"],"loseAnswers":1})");
        CPPUNIT_ASSERT(request("r2", 1, "/echo").empty());
        control("minions", R"({"minions":["tp/0"],"swapAnswers":1})");
        CPPUNIT_ASSERT(request("r3", 1, "/echo").find("Sapphire-Request-Id: r2") != std::string::npos);
        CPPUNIT_ASSERT(request("r4", 1, "/echo").find("Sapphire-Request-Id: r4") != std::string::npos);
        const std::string executions = show("executions");
        CPPUNIT_ASSERT(executions.find("\"outcome\":\"cut\"") != std::string::npos);
        CPPUNIT_ASSERT(executions.find("\"outcome\":\"lost\"") != std::string::npos);
    }

private:
    MinionLeaseGrant leaseMinion(
        const std::string& holder, std::uint64_t epoch, Duration wait, Duration ttl = std::chrono::minutes(10))
    {
        const auto answer = await<MinionLeaseAnswer>([&](auto handler) {
            m_minion->lease({ DaemonId(holder), epoch, ttl, wait }, forever, handler);
        });
        CPPUNIT_ASSERT(succeeded(answer));
        CPPUNIT_ASSERT(std::holds_alternative<MinionLeaseGrant>(valueOf(answer)));
        return std::get<MinionLeaseGrant>(valueOf(answer));
    }

    std::string request(
        const std::string& id, std::uint64_t epoch, const std::string& target, const std::string& headers = {})
    {
        return httpExchange(m_address,
            "GET " + target + " HTTP/1.1\r\nSapphire-Epoch: " + std::to_string(epoch) + "\r\nSapphire-Request-Id: " + id
                + "\r\n" + headers);
    }

    std::string m_address;
    std::unique_ptr<HttpMinionControl> m_minion;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MinionTest);

} // namespace sapphiredale::platform
