// A daemon on the users' platform under clients, a store and an adviser that send endless, oversized or slow input or
// read nothing. Each test guards against the end of the process by lack of memory or descriptors, and against ordinary
// callers without answers afterwards.

#include "tests/controller/StoreStandIn.h"
#include "tests/overload/ClientCrowd.h"
#include "tests/overload/OverloadedProcess.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <iostream>
#include <memory>

namespace sapphiredale::overload {

namespace json = boost::json;
using controller::StoreStandIn;

namespace {

    constexpr std::size_t kib = 1024;
    constexpr std::size_t mib = 1024 * kib;
    constexpr std::size_t maxHeaderBytes = 16384;
    constexpr std::size_t maxBodyBytes = 262144;

    const std::string queuePath = "/short/";
    const std::string jobPath = queuePath + "00112233445566aa";
    const std::string jobBody = R"({"spec":"","steps":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":100}]})";
    const std::string chunkedHead
        = "POST " + jobPath + " HTTP/1.1\r\nHost: " + callersHost + "\r\nTransfer-Encoding: chunked\r\n\r\n";

    const Input trailersInput { chunkedHead + "0\r\n", "X-Trailer: " + repeated("a", 1000) + "\r\n", 16 * mib };
    const Input extensionInput { chunkedHead + "5;", repeated("a", 16 * kib), 16 * mib };
    /// Each chunk is within the limits by itself.
    const Input extensionsInput { chunkedHead, "1;" + repeated("a", 8 * kib) + "\r\nx\r\n", 16 * mib };
    const Input requestLineInput { "GET /", repeated("a", 16 * kib), 16 * mib };
    const Input headersInput { "GET / HTTP/1.1\r\n", "X-Header: " + repeated("a", 1000) + "\r\n", 16 * mib };

    /// The store on a thread of its own.
    class Store {
    public:
        explicit Store(const std::string& configuration)
            : m_store(m_context)
            , m_guard(boost::asio::make_work_guard(m_context))
        {
            m_store.put("keyed.op", 0, "config", configuration);
            m_thread = std::thread([this] { m_context.run(); });
        }
        ~Store()
        {
            m_context.stop();
            m_thread.join();
        }
        Store(const Store&) = delete;
        Store& operator=(const Store&) = delete;

        const std::string& address() const { return m_store.address(); }
        /// Appends to the topic of jobs get this fault.
        void setJobsFault(StoreStandIn::Fault fault)
        {
            std::promise<void> isSet;
            boost::asio::post(m_context, [&] {
                for (std::uint32_t part = 0; part < jobParts; ++part)
                    m_store.part("keyed.jobs", part).m_fault = fault;
                isSet.set_value();
            });
            isSet.get_future().wait();
        }

    private:
        static constexpr std::uint32_t jobParts = 16;

        boost::asio::io_context m_context;
        StoreStandIn m_store;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
        std::thread m_thread;
    };

    std::string configuration(int requestTimeoutMs)
    {
        return json::serialize(json::object { { "version", 1 },
            { "routes",
                json::array { json::object { { "name", "short" }, { "host", callersHost }, { "path_prefix", queuePath },
                    { "kind", "unsafe" }, { "timeout_ms", 3000 }, { "target_latency_ms", 250 }, { "priority", 0 },
                    { "service", "pool" }, { "max_attempts", 4 }, { "slack_factor", 1.5 } } } },
            { "services", json::array {} },
            { "limits",
                { { "max_header_bytes", maxHeaderBytes }, { "max_body_bytes", maxBodyBytes },
                    { "header_timeout_ms", requestTimeoutMs }, { "idle_timeout_ms", 15000 } } } });
    }

    struct Addresses {
        std::string m_callers = freeAddress();
        std::string m_readiness = freeAddress();
        std::string m_inner = freeAddress();
        std::string m_operators = freeAddress();
    };

    std::string settings(const Addresses& own, const std::string& store, const std::string& adviser)
    {
        json::object object { { "daemon", "front-0" }, { "failureDomain", "z0" },
            { "listeners",
                { { "callers", own.m_callers }, { "readiness", own.m_readiness }, { "inner", own.m_inner },
                    { "operators", own.m_operators } } },
            { "store", store }, { "host", { { "cores", 0.25 }, { "linkMbps", 1000.0 } } } };
        if (!adviser.empty())
            object["adviser"] = adviser;
        return json::serialize(object);
    }

    /// A daemon with a store, both without load.
    class Site {
    public:
        explicit Site(int requestTimeoutMs = 20000)
            : m_store(configuration(requestTimeoutMs))
            , m_daemon("sapphired", "--site_settings", settings(m_own, m_store.address(), {}))
        {
            CPPUNIT_ASSERT(isAnswered(m_own.m_callers, "POST", jobPath, jobBody, 200));
            m_descriptors = m_daemon.descriptors();
        }

        const Addresses& own() const { return m_own; }
        Store& store() { return m_store; }
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
            CPPUNIT_ASSERT(isAnswered(m_own.m_callers, "POST", jobPath, jobBody, 200));
            CPPUNIT_ASSERT(isAnswered(m_own.m_callers, "GET", queuePath, "", 200));
            CPPUNIT_ASSERT(isAnswered(m_own.m_operators, "GET", "/metrics", "", 200));
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
        const Addresses m_own;
        Store m_store;
        OverloadedProcess m_daemon;
        std::size_t m_descriptors = 0;
    };

} // namespace

class SiteOverloadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SiteOverloadTest);
    CPPUNIT_TEST(endlessTrailers);
    CPPUNIT_TEST(endlessChunkExtension);
    CPPUNIT_TEST(manyChunkExtensions);
    CPPUNIT_TEST(endlessRequestLineAndHeaders);
    CPPUNIT_TEST(otherListenersWithstandEndlessInput);
    CPPUNIT_TEST(connectionsThatHoldWhatTheyMay);
    CPPUNIT_TEST(largeRequestsThatWaitForTheStore);
    CPPUNIT_TEST(connectionsThatReadNothing);
    CPPUNIT_TEST(slowSendersLoseTheirPlaces);
    CPPUNIT_TEST(endlessAnswersOfStoreAndAdviser);
    CPPUNIT_TEST_SUITE_END();

public:
    void endlessTrailers()
    {
        Site site;
        site.withstands(site.own().m_callers, 8, trailersInput, "endless trailers");
    }

    void endlessChunkExtension()
    {
        Site site;
        site.withstands(site.own().m_callers, 8, extensionInput, "endless chunk extension");
    }

    void manyChunkExtensions()
    {
        Site site;
        site.withstands(site.own().m_callers, 8, extensionsInput, "many chunk extensions");
    }

    void endlessRequestLineAndHeaders()
    {
        Site site;
        site.withstands(site.own().m_callers, 8, requestLineInput, "endless request line");
        site.withstands(site.own().m_callers, 8, headersInput, "endless headers");
    }

    void otherListenersWithstandEndlessInput()
    {
        Site site;
        for (const std::string& address : { site.own().m_readiness, site.own().m_inner, site.own().m_operators }) {
            site.withstands(address, 8, trailersInput, "endless trailers");
            site.withstands(address, 8, extensionInput, "endless chunk extension");
        }
    }

    // 600 clients within the limits of a connection hold 160 MB together.
    void connectionsThatHoldWhatTheyMay()
    {
        Site site;
        const std::string head = "POST " + jobPath + " HTTP/1.1\r\nHost: " + callersHost
            + "\r\nContent-Length: " + std::to_string(maxBodyBytes) + "\r\nX-Padding: ";
        const std::string padding = repeated("a", maxHeaderBytes - head.size() - 100);
        site.withstands(site.own().m_callers, 600,
            { head + padding + "\r\n\r\n", repeated("a", 4 * kib), maxHeaderBytes - 100 + maxBodyBytes - 4 * kib },
            "connections that hold what they may");
    }

    // Requests that were received completely and wait in the daemon.
    void largeRequestsThatWaitForTheStore()
    {
        Site site;
        site.store().setJobsFault(StoreStandIn::Fault::IsSilent);
        const std::string body = R"({"spec":")" + repeated("a", maxBodyBytes - kib)
            + R"(","steps":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":100}]})";
        {
            ClientCrowd crowd(site.own().m_callers, 400);
            const std::string request = "POST " + jobPath + " HTTP/1.1\r\nHost: " + callersHost
                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            crowd.send({ request, "", request.size() });
            site.assertBounded("requests that wait for the store");
        }
        site.store().setJobsFault(StoreStandIn::Fault::None);
        site.assertServes();
    }

    void connectionsThatReadNothing()
    {
        Site site;
        const std::string request = std::string("GET /metrics HTTP/1.1\r\nHost: ") + callersHost + "\r\n\r\n";
        ClientCrowd crowd(site.own().m_operators, 200, 4096);
        crowd.send({ "", repeated(request, 1000), 4000 * request.size() });
        site.assertBounded("connections that read nothing");
        // The crowd stays connected, and loses its places all the same.
        site.assertServes();
    }

    void slowSendersLoseTheirPlaces()
    {
        Site site(1000);
        ClientCrowd crowd(site.own().m_callers, 300);
        crowd.drip("POST " + jobPath + " HTTP/1.1\r\nHost: " + callersHost + "\r\nContent-Length: 1000\r\n\r\n", 5);
        site.assertBounded("slow senders");
        site.assertServes();
    }

    void endlessAnswersOfStoreAndAdviser()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const Input answers[] = { { head + "0\r\n", trailersInput.m_filler, 16 * mib },
            { head + "5;", extensionInput.m_filler, 16 * mib }, { head, extensionsInput.m_filler, 16 * mib },
            { head, "10000\r\n" + repeated("a", 64 * kib) + "\r\n", 16 * mib },
            { "HTTP/1.1 200 OK\r\n", headersInput.m_filler, 16 * mib } };
        for (const Input& answer : answers) {
            const EndlessServer server(answer);
            const Addresses own;
            OverloadedProcess daemon("sapphired", "--site_settings", settings(own, server.address(), server.address()));
            CPPUNIT_ASSERT(server.waitForAnswers(8));
            CPPUNIT_ASSERT(daemon.isAlive());
            std::cerr << "  endless answers: peak " << daemon.peakKb() << " KiB\n";
            if (boundsMemory)
                CPPUNIT_ASSERT_MESSAGE("KiB at peak: " + std::to_string(daemon.peakKb()), daemon.peakKb() <= maxPeakKb);
            CPPUNIT_ASSERT(daemon.descriptors() <= maxDescriptors);
            // Without a store there is no configuration.
            CPPUNIT_ASSERT(isAnswered(own.m_callers, "GET", queuePath, "", 503));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteOverloadTest);

} // namespace sapphiredale::overload
