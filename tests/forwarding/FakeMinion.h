// A minion for the tests: one thread per connection, and a behaviour per test that writes the bytes of the answer.
#pragma once

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace sapphiredale::forwarding {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using TextRequest = http::request<http::string_body>;
using TextResponse = http::response<http::string_body>;

/// A gate that a behaviour waits at until the test opens it.
class Gate {
public:
    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        m_changed.notify_all();
    }
    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_open; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_open = false;
};

class FakeMinion {
public:
    /// Returns the bytes to send; an empty text closes the connection without an answer, and a text with a field
    /// "X-Close" closes it afterwards.
    using Behaviour = std::function<std::string(const TextRequest&)>;

    explicit FakeMinion(Behaviour behaviour)
        : m_behaviour(std::move(behaviour))
        , m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_port(m_acceptor.local_endpoint().port())
        , m_thread([this] { acceptLoop(); })
    {
    }

    ~FakeMinion() { stop(); }

    /// Closes every connection and the listener, as a process that ends.
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        // The acceptor is woken by a connection, because a close from another thread is a data race.
        tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect({ boost::asio::ip::address_v4::loopback(), m_port }, ignored);
        m_thread.join();
        m_acceptor.close(ignored);
        {
            const std::lock_guard lock(m_mutex);
            for (Connection& connection : m_connections)
                connection.m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        }
        for (Connection& connection : m_connections)
            connection.m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    unsigned started() const { return m_started; }
    unsigned maxInFlight() const { return m_maxInFlight; }
    unsigned inFlight() const { return m_inFlight; }
    unsigned connections() const { return m_opened; }

    /// The usual answer: 200 with the identifier of the request.
    static std::string answer(
        const TextRequest& request, const std::string& body, unsigned status = 200, const std::string& fields = "")
    {
        return "HTTP/1.1 " + std::to_string(status)
            + " Text\r\nSapphire-Request-Id: " + std::string(request["Sapphire-Request-Id"])
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
    }

private:
    struct Connection {
        explicit Connection(tcp::socket socket)
            : m_socket(std::move(socket))
        {
        }
        tcp::socket m_socket;
        std::thread m_thread;
    };

    void acceptLoop()
    {
        while (!m_stopped) {
            tcp::socket socket(m_context);
            boost::system::error_code error;
            m_acceptor.accept(socket, error);
            if (error || m_stopped)
                continue;
            ++m_opened;
            const std::lock_guard lock(m_mutex);
            Connection& connection = m_connections.emplace_back(std::move(socket));
            connection.m_thread = std::thread([this, &connection] { serve(connection.m_socket); });
        }
    }

    void serve(tcp::socket& socket)
    {
        boost::system::error_code error;
        boost::beast::flat_buffer buffer;
        while (!error) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            http::read(socket, buffer, parser, error);
            if (error)
                break;
            ++m_started;
            const unsigned now = ++m_inFlight;
            unsigned most = m_maxInFlight;
            while (now > most && !m_maxInFlight.compare_exchange_weak(most, now)) { }
            const std::string text = m_behaviour(parser.get());
            --m_inFlight;
            if (text.empty())
                break;
            boost::asio::write(socket, boost::asio::buffer(text), error);
            if (text.find("X-Close") != std::string::npos)
                break;
        }
        const std::lock_guard lock(m_mutex);
        socket.shutdown(tcp::socket::shutdown_both, error);
    }

    Behaviour m_behaviour;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::mutex m_mutex;
    std::list<Connection> m_connections;
    std::atomic<unsigned> m_started { 0 };
    std::atomic<unsigned> m_inFlight { 0 };
    std::atomic<unsigned> m_maxInFlight { 0 };
    std::atomic<unsigned> m_opened { 0 };
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace sapphiredale::forwarding
