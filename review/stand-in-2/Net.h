// HTTP/1.1 servers and calls of the stand-ins, on one event loop.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace review2 {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Milliseconds = std::chrono::milliseconds;

/// Milliseconds of the steady clock.
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

/// Milliseconds since 1970.
inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

struct Request {
    std::string m_method;
    std::string m_target;
    std::string m_body;
    std::string m_expectedInstance;

    std::string path() const { return m_target.substr(0, m_target.find('?')); }
    /// Parameter of the query; empty if it is absent.
    std::string parameter(const std::string& name) const
    {
        for (auto at = m_target.find('?'); at != std::string::npos; at = m_target.find('&', at + 1)) {
            if (m_target.compare(at + 1, name.size() + 1, name + '=') == 0) {
                const auto begin = at + name.size() + 2;
                return m_target.substr(begin, m_target.find('&', begin) - begin);
            }
        }
        return {};
    }
    std::uint64_t number(const std::string& name, std::uint64_t fallback = 0) const
    {
        const std::string text = parameter(name);
        return text.empty() ? fallback : std::stoull(text);
    }
};

using Respond = std::function<void(unsigned status, std::string body)>;
using Handler = std::function<void(const Request&, Respond)>;

/// Answers calls on one address. close() ends all connections, as the end of a process does.
class Server {
public:
    Server(asio::io_context& context, const std::string& ip, std::uint16_t port, Handler handler)
        : m_context(context)
        , m_handler(std::move(handler))
        , m_endpoint(asio::ip::make_address(ip), port)
        , m_acceptor(context)
    {
        open();
    }
    ~Server() { close(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::string address() const { return m_endpoint.address().to_string() + ':' + std::to_string(m_endpoint.port()); }

    void open()
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(m_endpoint);
        m_acceptor.listen();
        m_endpoint = m_acceptor.local_endpoint();
        accept();
    }

    void close()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        for (const auto& session : std::exchange(m_sessions, {}))
            session->end();
    }

private:
    struct Session : std::enable_shared_from_this<Session> {
        Session(Server& server, tcp::socket socket)
            : m_server(&server)
            , m_socket(std::move(socket))
        {
            error_code ignored;
            m_socket.set_option(tcp::no_delay(true), ignored);
        }
        void end()
        {
            m_server = nullptr;
            error_code ignored;
            m_socket.close(ignored);
        }
        void read()
        {
            m_parser = std::make_unique<http::request_parser<http::string_body>>();
            m_parser->body_limit(std::uint64_t { 16 } << 20);
            http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
                if (self->m_server == nullptr)
                    return;
                if (error)
                    return self->leave();
                self->handle();
            });
        }
        void handle()
        {
            const auto message = m_parser->release();
            Request request { std::string(message.method_string()), std::string(message.target()), message.body(),
                std::string(message["X-Sapphiredale-Expect-Instance"]) };
            m_server->m_handler(request, [self = shared_from_this()](unsigned status, std::string body) {
                if (self->m_server != nullptr)
                    self->write(status, std::move(body));
            });
        }
        void write(unsigned status, std::string body)
        {
            m_response = {};
            m_response.version(11);
            m_response.result(status);
            m_response.set(http::field::content_type, "application/json");
            m_response.body() = std::move(body);
            m_response.keep_alive(true);
            m_response.prepare_payload();
            http::async_write(m_socket, m_response, [self = shared_from_this()](error_code error, std::size_t) {
                if (self->m_server == nullptr)
                    return;
                if (error)
                    return self->leave();
                self->read();
            });
        }
        void leave()
        {
            m_server->m_sessions.erase(shared_from_this());
            end();
        }

        Server* m_server;
        tcp::socket m_socket;
        beast::flat_buffer m_buffer;
        std::unique_ptr<http::request_parser<http::string_body>> m_parser;
        http::response<http::string_body> m_response;
    };

    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (error)
                return;
            const auto session = std::make_shared<Session>(*this, std::move(socket));
            m_sessions.insert(session);
            session->read();
            accept();
        });
    }

    asio::io_context& m_context;
    Handler m_handler;
    tcp::endpoint m_endpoint;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Session>> m_sessions;
};

/// Sends one call on a connection of its own. The status is 0 when there is no answer in time.
class Call : public std::enable_shared_from_this<Call> {
public:
    using Done = std::function<void(unsigned status, std::string body)>;

    static void send(asio::io_context& context, const std::string& address, const std::string& method,
        const std::string& target, const std::string& host, const std::string& body, Milliseconds timeout, Done done)
    {
        const auto call = std::make_shared<Call>(context, std::move(done));
        call->m_request.method_string(method);
        call->m_request.target(target);
        call->m_request.version(11);
        call->m_request.set(http::field::host, host);
        call->m_request.set(http::field::content_type, "application/json");
        call->m_request.set("X-Sapphiredale-Deadline-Ms", std::to_string(timeout.count()));
        call->m_request.body() = body;
        call->m_request.keep_alive(false);
        call->m_request.prepare_payload();
        const auto colon = address.rfind(':');
        const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        call->m_stream.expires_after(timeout);
        call->m_stream.async_connect(endpoint, [call](error_code error) { call->connected(error); });
    }

    Call(asio::io_context& context, Done done)
        : m_stream(context)
        , m_done(std::move(done))
    {
    }

private:
    void connected(error_code error)
    {
        if (error)
            return m_done(0, error.message());
        http::async_write(m_stream, m_request, [self = shared_from_this()](error_code failed, std::size_t) {
            if (failed)
                return self->m_done(0, failed.message());
            http::async_read(self->m_stream, self->m_buffer, self->m_response, [self](error_code unread, std::size_t) {
                if (unread)
                    return self->m_done(0, unread.message());
                self->m_done(self->m_response.result_int(), self->m_response.body());
            });
        });
    }

    beast::tcp_stream m_stream;
    Done m_done;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    beast::flat_buffer m_buffer;
};

} // namespace review2
