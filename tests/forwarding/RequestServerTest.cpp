// Tests of the data path through real sockets: what reaches the minion, what reaches the caller, and what becomes of
// the slots.

#include "tests/forwarding/ForwardingKit.h"

namespace sapphiredale::forwarding {

class RequestServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestServerTest);
    CPPUNIT_TEST(forwardsAndStripsHopByHopFields);
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

private:
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
