// Tests of teams with a whole daemon on a stand-in of the store: configuration, callers' interface, term, and messages
// of other daemons.

#include "controller/Controller.h"
#include "tests/controller/StoreStandIn.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <memory>
#include <thread>
#include <unistd.h>

namespace sapphiredale::controller {

class TeamDaemonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TeamDaemonTest);
    CPPUNIT_TEST(keysFollowTheConfiguration);
    CPPUNIT_TEST_SUITE_END();

    /// A daemon on its own thread. It ends with the signal that ends the real one. A process has only one at a time,
    /// since the loop of a daemon needs the signals for itself.
    class Daemon {
    public:
        Daemon(const std::string& name, const std::string& store)
        {
            constexpr int listeners = 4;
            for (int port = 25000; port < 27000 && !m_thread.joinable(); port += listeners) {
                const auto address = [port](int i) { return "127.0.0.1:" + std::to_string(port + i); };
                m_settings.m_daemon = DaemonId(name);
                m_settings.m_failureDomain = FailureDomainId("z");
                m_settings.m_store = store;
                m_settings.m_callers = address(0);
                m_settings.m_readiness = address(1);
                m_settings.m_inner = address(2);
                m_settings.m_operators = address(3);
                observability::EventLogSettings log;
                // A port that is in use is no fault of the daemon.
                log.m_minimum = observability::Severity::Error;
                log.m_file = "/dev/null";
                m_controller = std::make_unique<Controller>(m_settings, 1, valueOf(observability::EventLog::open(log)),
                    [this] { return SiteSettingsResult(m_settings); });
                if (succeeded(m_controller->start()))
                    m_thread = std::thread([this] { m_controller->run(); });
            }
            CPPUNIT_ASSERT(m_thread.joinable());
        }
        ~Daemon() { m_thread.join(); }
        Daemon(const Daemon&) = delete;
        Daemon& operator=(const Daemon&) = delete;

        const std::string& callers() const { return m_settings.m_callers; }
        const std::string& inner() const { return m_settings.m_inner; }
        const std::string& operators() const { return m_settings.m_operators; }

    private:
        SiteSettings m_settings;
        std::unique_ptr<Controller> m_controller;
        std::thread m_thread;
    };

    /// A daemon and its store, which the loop of the test runs.
    struct Cell {
        Cell()
            : m_store(m_context)
            , m_daemon(std::make_unique<Daemon>("d1", m_store.address()))
        {
        }
        ~Cell()
        {
            ::kill(::getpid(), SIGTERM);
            // The daemon releases its term in the store before it ends.
            std::atomic<bool> hasEnded = false;
            std::thread loop([&] {
                while (!hasEnded)
                    m_context.run_one_for(std::chrono::milliseconds(2));
            });
            m_daemon.reset();
            hasEnded = true;
            loop.join();
        }
        Cell(const Cell&) = delete;
        Cell& operator=(const Cell&) = delete;

        void configure(int version, const std::string& tenants)
        {
            m_store.put(userplatform::operatorTopic, 0, userplatform::configurationKey,
                R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"q","host":"h","path_prefix":"/q/",
                "timeout_ms":2000,"service":"s"}],"tenants":)"
                    + tenants + "}");
        }

        std::string send(const std::string& address, const std::string& head, const std::string& body)
        {
            const std::string request = head + "\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
            const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
            boost::asio::ip::tcp::socket socket(m_context);
            socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
            boost::asio::write(socket, boost::asio::buffer(request));
            std::string answer;
            bool isEnded = false;
            boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer),
                [&](boost::system::error_code, std::size_t) { isEnded = true; });
            runUntil(m_context, [&] { return isEnded; });
            return answer;
        }

        std::string call(const std::string& method, const std::string& key)
        {
            return send(m_daemon->callers(), method + " /q/0123456789abcdef HTTP/1.1\r\nAuthorization: Bearer " + key,
                method == "POST" ? R"({"spec":"","steps":[{"count":1}]})" : "");
        }

        unsigned status(const std::string& method, const std::string& key)
        {
            const std::string answer = call(method, key);
            constexpr std::size_t statusPosition = 9; // after "HTTP/1.1 "
            return answer.size() < statusPosition + 3
                ? 0
                : static_cast<unsigned>(std::stoul(answer.substr(statusPosition, 3)));
        }

        /// Repeats the call until it is answered so; fails after 30 s.
        void awaitStatus(const std::string& method, const std::string& key, unsigned expected)
        {
            const TimePoint limit = bootNow() + std::chrono::seconds(30);
            unsigned seen = 0;
            while ((seen = status(method, key)) != expected && bootNow() < limit)
                m_context.run_for(std::chrono::milliseconds(20));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(method + ' ' + key, expected, seen);
        }

        bool showsLimit(const std::string& millis)
        {
            const std::string metrics = send(m_daemon->operators(), "GET /metrics HTTP/1.1", "");
            return metrics.find(R"(sapphire_team_limit{team="a",resource="cpu_millis"} )" + millis + '\n')
                != std::string::npos;
        }

        boost::asio::io_context m_context;
        StoreStandIn m_store;
        std::unique_ptr<Daemon> m_daemon;
    };

public:
    // Guards against a daemon that does not take over keys, that serves calls before it has a configuration, that does
    // not tell other daemons the team of a job and the refused teams, or whose scheduler does not learn the limits of
    // teams and their changes.
    void keysFollowTheConfiguration()
    {
        Cell cell;
        CPPUNIT_ASSERT_EQUAL(503U, cell.status("POST", "key-a"));
        cell.configure(
            1, R"([{"name":"a","api_keys":["key-a"],"max_count":{"cpu":4000}},{"name":"b","api_keys":["key-b"]}])");
        cell.awaitStatus("POST", "key-a", 200);
        cell.awaitStatus("GET", "key-a", 200);
        CPPUNIT_ASSERT(cell.showsLimit("4000"));
        CPPUNIT_ASSERT_EQUAL(403U, cell.status("GET", "key-b"));
        CPPUNIT_ASSERT_EQUAL(403U, cell.status("DELETE", "key-b"));
        const std::string refusal = cell.call("GET", "key-c");
        CPPUNIT_ASSERT_MESSAGE(refusal, refusal.starts_with("HTTP/1.1 401"));
        CPPUNIT_ASSERT_MESSAGE(refusal, refusal.find("WWW-Authenticate: Bearer\r\n") != std::string::npos);
        const std::string state = cell.send(cell.m_daemon->inner(),
            std::string("POST ") + inner::statePath + " HTTP/1.1", inner::encodeName("0123456789abcdef"));
        CPPUNIT_ASSERT_MESSAGE(state, state.find(R"("team":"a")") != std::string::npos);
        const std::string hello
            = cell.send(cell.m_daemon->inner(), std::string("POST ") + inner::helloPath + " HTTP/1.1",
                inner::encode(inner::Hello { DaemonId("d2"), "127.0.0.1:1", false, false }));
        CPPUNIT_ASSERT_MESSAGE(hello, hello.ends_with(R"({"refused":[]})"));
        cell.configure(
            3, R"([{"name":"a","api_keys":["key-a3"],"max_count":{"cpu":8000}},{"name":"b","api_keys":["key-b"]}])");
        cell.configure(2, R"([{"name":"a","api_keys":["key-a"]},{"name":"b","api_keys":["key-b"]}])");
        cell.awaitStatus("GET", "key-a", 401);
        CPPUNIT_ASSERT_EQUAL(401U, cell.status("DELETE", "key-a"));
        CPPUNIT_ASSERT(cell.showsLimit("8000"));
        // The job goes on after its key was removed, until its team cancels it.
        CPPUNIT_ASSERT_EQUAL(200U, cell.status("GET", "key-a3"));
        CPPUNIT_ASSERT_EQUAL(200U, cell.status("DELETE", "key-a3"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamDaemonTest);

} // namespace sapphiredale::controller
