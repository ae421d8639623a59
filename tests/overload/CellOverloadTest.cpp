// A daemon of the own cell under clients, operators, peers and platform services that send endless or slow input or
// read nothing. Each test guards against the end of the process by lack of memory or descriptors, and against ordinary
// callers without answers afterwards.

#include "tests/overload/ClientCrowd.h"
#include "tests/overload/OverloadedProcess.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace sapphiredale::overload {

namespace json = boost::json;

namespace {

    constexpr std::size_t kib = 1024;
    constexpr std::size_t mib = 1024 * kib;

    const std::string jobsHead = "POST /v1/jobs HTTP/1.1\r\nHost: cell.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string serviceHead = "POST /v1/services/none/x HTTP/1.1\r\nHost: cell.example\r\nSapphire-Team: "
                                    "none\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string trailer = "X-Trailer: " + repeated("a", 1000) + "\r\n";
    const std::string extension = repeated("a", 16 * kib);
    const std::string chunkWithExtension = "1;" + repeated("a", 8 * kib) + "\r\nx\r\n";
    constexpr std::size_t clientBytes = 16 * mib;

    struct Addresses {
        std::string m_callers = freeAddress();
        std::string m_operators = freeAddress();
        std::string m_peers = freeAddress();
        std::string m_relay = freeAddress();
    };

    std::string settings(const Addresses& own, const std::string& log, const std::string& hostList)
    {
        return json::serialize(
            json::object { { "daemon", "entry-1" }, { "failureDomain", "aalst-hal" }, { "region", "vlaanderen" },
                { "listeners",
                    { { "callers", own.m_callers }, { "operators", own.m_operators }, { "peers", own.m_peers },
                        { "relay", own.m_relay } } },
                { "platform", { { "log", log }, { "hostList", hostList }, { "retentionSeconds", 3600 } } },
                { "limits", { { "headerTimeoutMs", 1000 } } } });
    }

    std::uint16_t portOf(const std::string& address)
    {
        return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    }

    /// A daemon with the stand-in of the platform, without load.
    class Cell {
    public:
        Cell()
            : m_standin("sapphire-standin", "--settings",
                json::serialize(json::object { { "address", "127.0.0.1" }, { "logPort", portOf(m_log) },
                    { "hostsPort", portOf(m_hosts) }, { "workersPort", 0 }, { "controlPort", 0 } }))
            , m_daemon("sapphired", "--settings", settings(m_own, m_log, m_hosts))
        {
            CPPUNIT_ASSERT(isAnswered(m_own.m_operators, "GET", "/healthz", "", 200));
            CPPUNIT_ASSERT(isAnswered(m_own.m_callers, "GET", "/v1/services/none/x", "", 404));
            m_descriptors = m_daemon.descriptors();
        }

        const Addresses& own() const { return m_own; }
        OverloadedProcess& daemon() { return m_daemon; }

        /// To be called while the crowd is connected.
        void assertBounded(const std::string& input)
        {
            CPPUNIT_ASSERT_MESSAGE("the daemon ended", m_daemon.isAlive());
            const std::size_t peak = m_daemon.peakKb();
            std::cerr << "  " << input << ": peak " << peak << " KiB, " << m_daemon.descriptors() << " descriptors\n";
            if (boundsMemory)
                CPPUNIT_ASSERT_MESSAGE(input + ", KiB at peak: " + std::to_string(peak), peak <= maxPeakKb);
            CPPUNIT_ASSERT(m_daemon.descriptors() <= maxDescriptors);
        }

        /// To be called when no crowd is connected, or one that must have lost its places.
        void assertServes()
        {
            CPPUNIT_ASSERT(m_daemon.waitForDescriptors(m_descriptors + spareDescriptors));
            CPPUNIT_ASSERT(isAnswered(m_own.m_operators, "GET", "/healthz", "", 200));
            CPPUNIT_ASSERT(isAnswered(m_own.m_callers, "GET", "/v1/services/none/x", "", 404));
            CPPUNIT_ASSERT(m_daemon.isAlive());
        }

        void withstands(const std::string& address, std::size_t clients, const Input& input, const std::string& name)
        {
            {
                ClientCrowd crowd(address, clients);
                crowd.send(input);
                assertBounded(name);
            }
            assertServes();
        }

    private:
        const std::string m_log = freeAddress();
        const std::string m_hosts = freeAddress();
        const Addresses m_own;
        OverloadedProcess m_standin;
        OverloadedProcess m_daemon;
        std::size_t m_descriptors = 0;
    };

} // namespace

class CellOverloadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CellOverloadTest);
    CPPUNIT_TEST(endlessTrailers);
    CPPUNIT_TEST(endlessChunkExtensions);
    CPPUNIT_TEST(connectionsThatHoldWhatTheyMay);
    CPPUNIT_TEST(connectionsThatReadNothing);
    CPPUNIT_TEST(slowSendersLoseTheirPlaces);
    CPPUNIT_TEST(unfinishedMessagesOfPeers);
    CPPUNIT_TEST(endlessAnswersOfThePlatform);
    CPPUNIT_TEST_SUITE_END();

public:
    void endlessTrailers()
    {
        Cell cell;
        for (const std::string& address : { cell.own().m_callers, cell.own().m_operators })
            cell.withstands(address, 8, { jobsHead + "0\r\n", trailer, clientBytes }, "endless trailers");
        for (const std::string& address : { cell.own().m_callers, cell.own().m_relay })
            cell.withstands(address, 8, { serviceHead + "0\r\n", trailer, clientBytes }, "endless trailers, service");
    }

    void endlessChunkExtensions()
    {
        Cell cell;
        for (const std::string& address : { cell.own().m_callers, cell.own().m_operators }) {
            cell.withstands(address, 8, { jobsHead + "5;", extension, clientBytes }, "endless chunk extension");
            cell.withstands(address, 8, { jobsHead, chunkWithExtension, clientBytes }, "many chunk extensions");
        }
        for (const std::string& address : { cell.own().m_callers, cell.own().m_relay })
            cell.withstands(
                address, 8, { serviceHead + "5;", extension, clientBytes }, "endless chunk extension, service");
    }

    // 300 clients within the limit of a body that the daemon handles itself hold 300 MB together.
    void connectionsThatHoldWhatTheyMay()
    {
        Cell cell;
        const std::string head
            = "POST /v1/jobs HTTP/1.1\r\nHost: cell.example\r\nContent-Length: " + std::to_string(mib) + "\r\n\r\n";
        cell.withstands(cell.own().m_callers, 300, { head, repeated("a", 16 * kib), mib - 16 * kib },
            "connections that hold what they may");
        const std::string operatorsHead = "PUT /v1/configuration HTTP/1.1\r\nHost: cell.example\r\nContent-Length: "
            + std::to_string(2 * mib) + "\r\n\r\n";
        cell.withstands(cell.own().m_operators, 150, { operatorsHead, repeated("a", 16 * kib), 2 * mib - 16 * kib },
            "operators that hold what they may");
    }

    void connectionsThatReadNothing()
    {
        Cell cell;
        const std::string request = "GET /metrics HTTP/1.1\r\nHost: cell.example\r\n\r\n";
        ClientCrowd crowd(cell.own().m_operators, 100, 4096);
        crowd.send({ "", repeated(request, 1000), 4000 * request.size() });
        cell.assertBounded("connections that read nothing");
        // The crowd stays connected, and loses its places all the same.
        cell.assertServes();
    }

    void slowSendersLoseTheirPlaces()
    {
        Cell cell;
        ClientCrowd crowd(cell.own().m_callers, 200);
        crowd.drip("POST /v1/jobs HTTP/1.1\r\nHost: cell.example\r\nContent-Length: 1000\r\n\r\n", 30);
        cell.assertBounded("slow senders");
        // A sender that goes on may hold its place for the time limit of a request, 30 s, and no longer.
        cell.assertServes();
    }

    // The head of an nng connection of the push protocol, and a message of 1 MiB that never ends.
    void unfinishedMessagesOfPeers()
    {
        Cell cell;
        const std::string hello { '\0', 'S', 'P', '\0', '\0', '\x50', '\0', '\0' };
        const std::string length { '\0', '\0', '\0', '\0', '\0', '\x10', '\0', '\0' };
        cell.withstands(cell.own().m_peers, 200, { hello + length, repeated("a", 16 * kib), mib - 16 * kib },
            "unfinished messages of peers");
    }

    void endlessAnswersOfThePlatform()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const Input answers[] = { { head + "0\r\n", trailer, clientBytes }, { head + "5;", extension, clientBytes },
            { head, chunkWithExtension, clientBytes }, { "HTTP/1.1 200 OK\r\n", trailer, clientBytes } };
        for (const Input& answer : answers) {
            const EndlessServer server(answer);
            const Addresses own;
            OverloadedProcess daemon("sapphired", "--settings", settings(own, server.address(), server.address()));
            CPPUNIT_ASSERT(server.waitForAnswers(6));
            CPPUNIT_ASSERT(daemon.isAlive());
            std::cerr << "  endless answers: peak " << daemon.peakKb() << " KiB\n";
            if (boundsMemory)
                CPPUNIT_ASSERT_MESSAGE("KiB at peak: " + std::to_string(daemon.peakKb()), daemon.peakKb() <= maxPeakKb);
            CPPUNIT_ASSERT(daemon.descriptors() <= maxDescriptors);
            CPPUNIT_ASSERT(isAnswered(own.m_operators, "GET", "/healthz", "", 200));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellOverloadTest);

} // namespace sapphiredale::overload
