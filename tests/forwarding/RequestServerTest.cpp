// Tests of the data path through real sockets: what reaches the minion, what reaches the caller, and what becomes of
// the slots.

#include "tests/forwarding/ForwardingKit.h"

#include <sstream>

namespace sapphiredale::forwarding {

class RequestServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestServerTest);
    CPPUNIT_TEST(forwardsAndStripsHopByHopFields);
    CPPUNIT_TEST(crossedAnswerIsNeverDelivered);
    CPPUNIT_TEST(truncatedAnswerIsAnError);
    CPPUNIT_TEST(duplicateAnswerIsDiscarded);
    CPPUNIT_TEST(lateAnswerReachesNobody);
    CPPUNIT_TEST(disconnectKeepsTheSlotUntilTheMinionIsDone);
    CPPUNIT_TEST(refusalBeforeTheStartIsRetriedOrSaidTruthfully);
    CPPUNIT_TEST(requestThatMayHaveRunIsNotRepeated);
    CPPUNIT_TEST(streamsLargeBodiesBothWays);
    CPPUNIT_TEST(limitsAreEnforced);
    CPPUNIT_TEST(slowCallerIsDisconnected);
    CPPUNIT_TEST(queuedRequestsWaitForTheSlot);
    CPPUNIT_TEST(claimedRequestRunsOnce);
    CPPUNIT_TEST(peerHopIsNotForwardedAgain);
    CPPUNIT_TEST(drainCutsNothing);
    CPPUNIT_TEST(localPathsAreHandled);
    CPPUNIT_TEST(slowBodyOfLocalPathIsDisconnected);
    CPPUNIT_TEST(requestThatDoesNotFitIsRefused);
    CPPUNIT_TEST(everyCallerGetsItsOwnAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { start({}); }

    // Guards against a request that reaches the minion without its epoch, with fields of the hop before, or changed.
    void forwardsAndStripsHopByHopFields()
    {
        FakeMinion minion([](const TextRequest& request) {
            CPPUNIT_ASSERT_EQUAL(std::string("7"), std::string(request["Sapphire-Epoch"]));
            CPPUNIT_ASSERT_EQUAL(std::string("/match?x=1"), std::string(request.target()));
            CPPUNIT_ASSERT_EQUAL(std::string("yes"), std::string(request["X-End"]));
            CPPUNIT_ASSERT(request.find("X-Hop") == request.end() && request.find("Keep-Alive") == request.end());
            return FakeMinion::answer(request, "echo " + request.body(), 201, "Keep-Alive: 5\r\nX-Answer: 1\r\n");
        });
        m_hooks->hold("m", minion.address(), 2);
        Caller caller(m_server->callerPort());
        for (int i = 0; i < 3; ++i) {
            const TextResponse response = caller.exchange("POST", "/v1/services/desk/match?x=1", "ring",
                "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: yes\r\nKeep-Alive: 3\r\nSapphire-Epoch: 99\r\n");
            CPPUNIT_ASSERT_EQUAL(201U, response.result_int());
            CPPUNIT_ASSERT_EQUAL(std::string("echo ring"), response.body());
            CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(response["X-Answer"]));
            CPPUNIT_ASSERT(response.find("Keep-Alive") == response.end());
        }
        CPPUNIT_ASSERT_EQUAL(1U, minion.connections());
    }

    // Guards against the answer of another request, and against a slot that is free while its request still runs.
    void crossedAnswerIsNeverDelivered()
    {
        Gate gate;
        FakeMinion minion([&](const TextRequest&) {
            return "HTTP/1.1 200 OK\r\nSapphire-Request-Id: another\r\nContent-Length: 6\r\n\r\nsecret";
        });
        m_hooks->hold("m", minion.address(), 1);
        Caller caller(m_server->callerPort());
        const TextResponse response = caller.exchange("POST", path, "x");
        CPPUNIT_ASSERT_EQUAL(502U, response.result_int());
        CPPUNIT_ASSERT(response.body().find("may-have-run") != std::string::npos);
        CPPUNIT_ASSERT(response.body().find("secret") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, m_server->counters().m_crossedAnswers);
        // The minion closes because nobody sends any more, and only then the slot is free.
        CPPUNIT_ASSERT(eventually([&] { return m_hooks->freeSlots() == 1; }));
    }

    // Guards against a part of a body that is passed on as the answer, for small bodies, large ones, and bodies whose
    // length only the end of the connection would tell.
    void truncatedAnswerIsAnError()
    {
        FakeMinion minion([](const TextRequest& request) {
            const std::string id = "Sapphire-Request-Id: " + std::string(request["Sapphire-Request-Id"]) + "\r\n";
            const std::string start = "HTTP/1.1 200 OK\r\nX-Close: 1\r\n" + id;
            if (request.target() == "/small")
                return start + "Content-Length: 10\r\n\r\npart";
            if (request.target() == "/large")
                return start + "Content-Length: 100000\r\n\r\n" + std::string(50000, 'p');
            if (request.target() == "/chunked")
                return start + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
            return start + "\r\npart";
        });
        m_hooks->hold("m", minion.address(), 2);
        for (const std::string target : { "small", "open" }) {
            Caller caller(m_server->callerPort());
            const TextResponse response = caller.exchange("POST", "/v1/services/desk/" + target, "x");
            CPPUNIT_ASSERT_EQUAL(502U, response.result_int());
            CPPUNIT_ASSERT(response.body().find("answer-truncated") != std::string::npos);
        }
        for (const std::string target : { "large", "chunked" }) {
            Caller caller(m_server->callerPort());
            caller.sendRequest("POST", "/v1/services/desk/" + target, "x");
            boost::system::error_code error;
            caller.read(error);
            CPPUNIT_ASSERT(error);
        }
        CPPUNIT_ASSERT(eventually([&] { return m_hooks->freeSlots() == 2; }));
    }

    // Guards against a second answer on a connection that is taken for the answer of the next request.
    void duplicateAnswerIsDiscarded()
    {
        FakeMinion minion([](const TextRequest& request) {
            const std::string text = FakeMinion::answer(request, std::string(request.body()));
            return text + text;
        });
        m_hooks->hold("m", minion.address(), 1);
        Caller caller(m_server->callerPort());
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), caller.exchange("POST", path, std::to_string(i)).body());
    }

    // Guards against an answer after the deadline that reaches the next request, and against a slot that is given away
    // while the minion still works on the former one.
    void lateAnswerReachesNobody()
    {
        Gate gate;
        FakeMinion minion([&](const TextRequest& request) {
            if (request.body() == "slow")
                gate.wait();
            return FakeMinion::answer(request, request.body());
        });
        m_hooks->hold("m", minion.address(), 1);
        Caller caller(m_server->callerPort());
        const TextResponse late = caller.exchange("POST", path, "slow", deadlineIn(100));
        CPPUNIT_ASSERT_EQUAL(504U, late.result_int());
        CPPUNIT_ASSERT(late.body().find("may-have-run") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0U, m_hooks->freeSlots());
        const TextResponse queued = caller.exchange("POST", path, "waits", deadlineIn(100));
        CPPUNIT_ASSERT_EQUAL(504U, queued.result_int());
        CPPUNIT_ASSERT(queued.body().find("not-run") != std::string::npos);
        gate.open();
        CPPUNIT_ASSERT(eventually([&] { return m_hooks->freeSlots() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string("next"), caller.exchange("POST", path, "next").body());
        CPPUNIT_ASSERT_EQUAL(2U, minion.started());
    }

    // Guards against a caller that goes away and leaves its slot either occupied for ever or free too early.
    void disconnectKeepsTheSlotUntilTheMinionIsDone()
    {
        Gate gate;
        FakeMinion minion([&](const TextRequest& request) {
            gate.wait();
            return FakeMinion::answer(request, "");
        });
        m_hooks->hold("m", minion.address(), 1);
        Caller running(m_server->callerPort());
        running.sendRequest("POST", path, "x");
        CPPUNIT_ASSERT(eventually([&] { return minion.started() == 1; }));
        Caller waiting(m_server->callerPort());
        waiting.sendRequest("POST", path, "x");
        CPPUNIT_ASSERT(eventually([&] { return m_hooks->queued() == 1; }));
        waiting.close();
        running.close();
        CPPUNIT_ASSERT(eventually([&] { return m_server->counters().m_callerGone == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_hooks->queued());
        CPPUNIT_ASSERT_EQUAL(0U, m_hooks->freeSlots());
        gate.open();
        CPPUNIT_ASSERT(eventually([&] { return m_hooks->freeSlots() == 1; }));
        CPPUNIT_ASSERT_EQUAL(1U, minion.started());
    }

    // Guards against a refusal that is passed on although another minion is free, and against "not run" said wrongly.
    void refusalBeforeTheStartIsRetriedOrSaidTruthfully()
    {
        std::string reason = "stale-epoch";
        FakeMinion refusing([&](const TextRequest& request) {
            return FakeMinion::answer(request, "", 409, "Sapphire-Refusal: " + reason + "\r\n");
        });
        FakeMinion good([](const TextRequest& request) { return FakeMinion::answer(request, request.body()); });
        for (const std::string next : { "stale-epoch", "busy", "leaving" }) {
            start({});
            reason = next;
            m_hooks->hold("bad", refusing.address(), 8);
            Caller caller(m_server->callerPort());
            const TextResponse refused = caller.exchange("POST", path, "x", deadlineIn(60));
            CPPUNIT_ASSERT(refused.result_int() >= 503);
            CPPUNIT_ASSERT(refused.body().find("\"not-run\"") != std::string::npos);
            CPPUNIT_ASSERT(refused.find("Sapphire-Refusal") == refused.end());
            m_hooks->hold("bad", refusing.address(), 8);
            m_hooks->hold("good", good.address(), 8);
            for (int i = 0; i < 5; ++i)
                CPPUNIT_ASSERT_EQUAL(std::string("y"), caller.exchange("POST", path, "y").body());
        }
        CPPUNIT_ASSERT_EQUAL(15U, good.started());
    }

    // Guards against a repetition of a POST whose connection broke after it was sent; a GET may be repeated.
    void requestThatMayHaveRunIsNotRepeated()
    {
        FakeMinion dying([](const TextRequest&) { return std::string(); });
        m_hooks->hold("dying", dying.address(), 8);
        Caller caller(m_server->callerPort());
        const TextResponse response = caller.exchange("POST", path, "x");
        CPPUNIT_ASSERT_EQUAL(502U, response.result_int());
        CPPUNIT_ASSERT(response.find("Retry-After") == response.end());
        CPPUNIT_ASSERT_EQUAL(1U, dying.started());
        FakeMinion good([](const TextRequest& request) { return FakeMinion::answer(request, "good"); });
        m_hooks->hold("good", good.address(), 8);
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("good"), caller.exchange("GET", path).body());
        dying.stop();
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("good"), caller.exchange("POST", path, "x").body());
    }

    // Guards against bodies that are changed, cut or reordered on their way through the bounded buffers.
    void streamsLargeBodiesBothWays()
    {
        FakeMinion minion([](const TextRequest& request) {
            if (request.target() == "/chunked") {
                std::string text = "HTTP/1.1 200 OK\r\nSapphire-Request-Id: "
                    + std::string(request["Sapphire-Request-Id"]) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
                for (std::size_t i = 0; i < request.body().size(); i += 7777) {
                    std::ostringstream size;
                    const std::string part = request.body().substr(i, 7777);
                    size << std::hex << part.size();
                    text += size.str() + "\r\n" + part + "\r\n";
                }
                return text + "0\r\n\r\n";
            }
            return FakeMinion::answer(request, request.body());
        });
        m_hooks->hold("m", minion.address(), 2);
        std::string body;
        for (int i = 0; body.size() < 3000000; ++i)
            body += std::to_string(i) + ",";
        Caller caller(m_server->callerPort());
        CPPUNIT_ASSERT(body == caller.exchange("POST", path, body).body());
        CPPUNIT_ASSERT(body == caller.exchange("PUT", "/v1/services/desk/chunked", body).body());
        caller.send("POST " + std::string(path) + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (std::size_t i = 0; i < body.size(); i += 50000) {
            std::ostringstream size;
            const std::string part = body.substr(i, 50000);
            size << std::hex << part.size();
            caller.send(size.str() + "\r\n" + part + "\r\n");
        }
        caller.send("0\r\n\r\n");
        CPPUNIT_ASSERT(body == caller.read().body());
        const TextResponse none = caller.exchange("GET", path);
        CPPUNIT_ASSERT_EQUAL(200U, none.result_int());
    }

    // Guards against requests beyond the limits that use memory or reach a minion.
    void limitsAreEnforced()
    {
        RequestServerSettings settings;
        settings.m_maxBody = 50000;
        start(settings);
        FakeMinion minion([](const TextRequest& request) { return FakeMinion::answer(request, ""); });
        m_hooks->hold("m", minion.address(), 2);
        const auto statusOf = [&](const std::string& text) {
            Caller caller(m_server->callerPort());
            caller.send(text);
            return caller.read().result_int();
        };
        const std::string post = "POST " + std::string(path) + " HTTP/1.1\r\n";
        CPPUNIT_ASSERT_EQUAL(413U, statusOf(post + "Content-Length: 50001\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400U, statusOf(post + "X: " + std::string(20000, 'x') + "\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400U, statusOf("nonsense\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400U, statusOf(post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400U, statusOf(post + "Sapphire-Deadline: soon\r\nContent-Length: 0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(504U, statusOf(post + "Sapphire-Deadline: 1000\r\nContent-Length: 0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(404U, statusOf("GET /v1/services/other/x HTTP/1.1\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(0U, minion.started());
        CPPUNIT_ASSERT_EQUAL(100U, statusOf(post + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"));
    }

    // Guards against callers that hold connections or slots by sending their request byte by byte or not at all.
    void slowCallerIsDisconnected()
    {
        RequestServerSettings settings;
        settings.m_headerTimeout = std::chrono::milliseconds(80);
        settings.m_stallTimeout = std::chrono::milliseconds(80);
        start(settings);
        FakeMinion minion([](const TextRequest& request) { return FakeMinion::answer(request, ""); });
        m_hooks->hold("m", minion.address(), 1);
        Caller header(m_server->callerPort());
        header.send("GET /v1/serv");
        CPPUNIT_ASSERT_EQUAL(408U, header.read().result_int());
        Caller body(m_server->callerPort());
        body.send("POST " + std::string(path) + " HTTP/1.1\r\nContent-Length: 10\r\n\r\nxx");
        CPPUNIT_ASSERT_EQUAL(408U, body.read().result_int());
        CPPUNIT_ASSERT_EQUAL(0U, minion.started());
        CPPUNIT_ASSERT_EQUAL(1U, m_hooks->freeSlots());
    }

    // Guards against a sender that holds its place as long as it sends a byte now and then.
    void slowBodyOfLocalPathIsDisconnected()
    {
        RequestServerSettings settings;
        settings.m_requestTimeout = std::chrono::milliseconds(300);
        settings.m_bufferSize = 4;
        start(settings);
        Caller caller(m_server->callerPort());
        caller.send("POST /v1/jobs HTTP/1.1\r\nContent-Length: 1000\r\n\r\n");
        const TimePoint limit = steadyNow() + std::chrono::seconds(60);
        while (m_server->counters().m_callerTimeouts == 0 && steadyNow() < limit) {
            caller.send("xxxx");
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_server->counters().m_callerTimeouts);
    }

    // Guards against bodies that together take more memory than the host has.
    void requestThatDoesNotFitIsRefused()
    {
        RequestServerSettings settings;
        settings.m_budget = std::make_shared<RequestBudget>(60000);
        start(settings);
        Caller caller(m_server->callerPort());
        caller.send("POST /v1/jobs HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(200000, 'x'));
        CPPUNIT_ASSERT_EQUAL(503U, caller.read().result_int());
        const TimePoint limit = steadyNow() + std::chrono::seconds(60);
        while (settings.m_budget->usedBytes() > 0 && steadyNow() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), settings.m_budget->usedBytes());
    }

    // Guards against more requests on a minion than slots, and against a queued request that is forgotten.
    void queuedRequestsWaitForTheSlot()
    {
        FakeMinion minion([](const TextRequest& request) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            return FakeMinion::answer(request, request.body());
        });
        m_hooks->hold("m", minion.address(), 2);
        runCallers(8, 25, [](Caller& caller, const std::string& body) {
            CPPUNIT_ASSERT_EQUAL(body, caller.exchange("POST", path, body).body());
        });
        CPPUNIT_ASSERT_EQUAL(200U, minion.started());
        CPPUNIT_ASSERT(minion.maxInFlight() <= 2);
        CPPUNIT_ASSERT_EQUAL(2U, m_hooks->freeSlots());
    }

    // Guards against a second run of a non-repeatable request, and against a key that a refused request uses up.
    void claimedRequestRunsOnce()
    {
        FakeMinion minion(
            [](const TextRequest& request) { return FakeMinion::answer(request, "ran " + request.body()); });
        const std::string fields = deadlineIn(20000) + "Idempotency-Key: k1\r\n";
        Caller caller(m_server->callerPort());
        const TextResponse refused = caller.exchange("POST", path, "x", fields);
        CPPUNIT_ASSERT_EQUAL(503U, refused.result_int());
        m_hooks->hold("m", minion.address(), 2);
        CPPUNIT_ASSERT_EQUAL(std::string("ran x"), caller.exchange("POST", path, "x", fields).body());
        const TextResponse again = caller.exchange("POST", path, "x", fields);
        CPPUNIT_ASSERT_EQUAL(std::string("ran x"), again.body());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(again["Sapphire-Replayed"]));
        CPPUNIT_ASSERT_EQUAL(1U, minion.started());
        CPPUNIT_ASSERT_EQUAL(400U, caller.exchange("POST", path, "x", "Idempotency-Key: k2\r\n").result_int());
    }

    // Guards against requests that circle between daemons, and against a peer's "not run" that is not retried.
    void peerHopIsNotForwardedAgain()
    {
        FakeMinion minion([](const TextRequest& request) { return FakeMinion::answer(request, request.body()); });
        RequestServerSettings settings;
        settings.m_peerAddress = "127.0.0.1:0";
        TestHooks peerHooks;
        RequestServer peer(settings, peerHooks);
        CPPUNIT_ASSERT(succeeded(peer.start()));
        const std::string self = "127.0.0.1:" + std::to_string(peer.peerPort());
        m_hooks->peer("p", self, 4);
        peerHooks.peer("loop", self, 4);
        Caller caller(m_server->callerPort());
        const TextResponse refused = caller.exchange("POST", path, "x", deadlineIn(300));
        CPPUNIT_ASSERT_EQUAL(504U, refused.result_int());
        CPPUNIT_ASSERT(refused.body().find("\"not-run\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1U, peerHooks.refusals(ErrorKind::NoMinion));
        peerHooks.hold("m", minion.address(), 1);
        m_hooks->peer("p", self, 4);
        // The identifier is that of the entry daemon on the whole way, and a caller cannot choose it.
        const TextResponse response = caller.exchange(
            "POST", path, "y", "Sapphire-Hop: 1\r\nSapphire-Request-Id: forged\r\n" + deadlineIn(10000));
        CPPUNIT_ASSERT_EQUAL(std::string("y"), response.body());
        CPPUNIT_ASSERT(response["Sapphire-Request-Id"] != "forged");
        CPPUNIT_ASSERT_EQUAL(1U, minion.started());
    }

    // Guards against a planned stop that cuts a request in flight, queued, or arriving on an open connection.
    void drainCutsNothing()
    {
        Gate gate;
        FakeMinion minion([&](const TextRequest& request) {
            gate.wait();
            return FakeMinion::answer(request, request.body());
        });
        m_hooks->hold("m", minion.address(), 1);
        std::vector<std::unique_ptr<Caller>> callers;
        for (int i = 0; i < 4; ++i) {
            callers.push_back(std::make_unique<Caller>(m_server->callerPort()));
            callers.back()->sendRequest("POST", path, std::to_string(i), deadlineIn(60000));
        }
        Caller idle(m_server->callerPort());
        CPPUNIT_ASSERT(eventually([&] { return minion.started() == 1 && m_hooks->queued() == 3; }));
        std::atomic<bool> drained { false };
        std::jthread drainer([&] { drained = m_server->drain(std::chrono::minutes(1)); });
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        gate.open();
        for (int i = 0; i < 4; ++i) {
            const TextResponse response = callers[static_cast<std::size_t>(i)]->read();
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), response.body());
            CPPUNIT_ASSERT_EQUAL(std::string("close"), std::string(response["Connection"]));
        }
        callers.clear();
        boost::system::error_code error;
        idle.read(error);
        CPPUNIT_ASSERT(error == http::error::end_of_stream);
        idle.close();
        drainer.join();
        CPPUNIT_ASSERT(drained);
    }

    // Guards against a path of the daemon that loses its body, and against an unknown path that is forwarded.
    void localPathsAreHandled()
    {
        Caller caller(m_server->callerPort());
        CPPUNIT_ASSERT_EQUAL(std::string("POST /v1/jobs job"), caller.exchange("POST", "/v1/jobs", "job").body());
        const TextResponse unknown = caller.exchange("GET", "/v1/else");
        CPPUNIT_ASSERT_EQUAL(404U, unknown.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("application/problem+json"), std::string(unknown["Content-Type"]));
    }

    // Guards against exchanged answers and lost slots when callers, failures, refusals and cancellations mix.
    void everyCallerGetsItsOwnAnswer()
    {
        std::atomic<unsigned> counter { 0 };
        const auto behave = [&](const TextRequest& request) {
            const unsigned kind = counter++ % 17;
            if (kind == 3)
                return FakeMinion::answer(request, "", 503, "Sapphire-Refusal: busy\r\n");
            if (kind == 7)
                return std::string();
            if (kind == 11)
                return std::string("HTTP/1.1 200 OK\r\nSapphire-Request-Id: other\r\nContent-Length: 3\r\n\r\nbad");
            return FakeMinion::answer(request, request.body());
        };
        FakeMinion first(behave);
        FakeMinion second(behave);
        m_hooks->hold("first", first.address(), 3);
        m_hooks->hold("second", second.address(), 3);
        std::atomic<unsigned> good { 0 };
        runCallers(12, 40, [&](Caller& caller, const std::string& body) {
            const TextResponse response = caller.exchange("POST", path, body, deadlineIn(20000));
            if (response.result_int() == 200) {
                CPPUNIT_ASSERT_EQUAL(body, response.body());
                ++good;
            } else {
                CPPUNIT_ASSERT(response.body().find("runState") != std::string::npos);
            }
        });
        CPPUNIT_ASSERT(good > 300);
        CPPUNIT_ASSERT(first.maxInFlight() <= 3 && second.maxInFlight() <= 3);
        m_hooks->hold("first", first.address(), 3);
        m_hooks->hold("second", second.address(), 3);
        CPPUNIT_ASSERT(eventually([&] { return m_hooks->outstanding() == 0; }));
    }

private:
    static constexpr const char* path = "/v1/services/desk/match";

    static std::string deadlineIn(int milliseconds)
    {
        const auto now = std::chrono::system_clock::now() + std::chrono::milliseconds(milliseconds);
        return "Sapphire-Deadline: "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count())
            + "\r\n";
    }

    /// Runs callers in threads, each with one connection and a distinct body per request.
    template <typename F> void runCallers(int count, int requests, F exchange)
    {
        std::vector<std::thread> threads;
        std::mutex mutex;
        std::string failures;
        for (int i = 0; i < count; ++i) {
            threads.emplace_back([&, i] {
                try {
                    Caller caller(m_server->callerPort());
                    for (int j = 0; j < requests; ++j)
                        exchange(caller, "body " + std::to_string(i) + " " + std::to_string(j));
                } catch (const std::exception& failure) {
                    const std::lock_guard lock(mutex);
                    failures += failure.what();
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }

    void start(const RequestServerSettings& settings, const routing::RouterSettings& routerSettings = {})
    {
        m_server.reset();
        m_hooks = std::make_unique<TestHooks>(routerSettings);
        m_server = std::make_unique<RequestServer>(settings, *m_hooks);
        CPPUNIT_ASSERT(succeeded(m_server->start()));
    }

    std::unique_ptr<TestHooks> m_hooks;
    std::unique_ptr<RequestServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestServerTest);

} // namespace sapphiredale::forwarding
