// Acceptor and sessions of HttpListener.

#include "controller/HttpListener.h"

#include "controller/Clock.h"
#include "daemon/Settings.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <unordered_set>

namespace sapphiredale::controller {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    /// Timeout for sending a response.
    constexpr Duration writeTimeout = std::chrono::seconds(10);
    /// Pause after a failed accept, such as when file descriptors are exhausted.
    constexpr Duration acceptPause = std::chrono::milliseconds(50);

} // namespace

class HttpListener::Impl : public std::enable_shared_from_this<HttpListener::Impl> {
public:
    Impl(asio::io_context& context, std::string deadlineHeader, RequestHandler handler)
        : m_context(context)
        , m_deadlineHeader(std::move(deadlineHeader))
        , m_handler(std::move(handler))
        , m_acceptor(context)
        , m_acceptTimer(context)
    {
    }

    Result<Unit> open(const std::string& address)
    {
        daemon::Endpoint endpoint;
        if (!daemon::parseEndpoint(address, endpoint))
            return Error { ErrorKind::Internal, "\"" + address + "\" is not an address and port" };
        error_code error;
        const auto ip = asio::ip::make_address(endpoint.m_address, error);
        if (!error)
            m_acceptor.open(ip.is_v6() ? tcp::v6() : tcp::v4(), error);
        if (!error)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            m_acceptor.bind({ ip, endpoint.m_port }, error);
        if (!error)
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error) {
            // Allows another open() with a different address.
            error_code ignored;
            m_acceptor.close(ignored);
            return Error { ErrorKind::Internal, "cannot listen on " + address + ": " + error.message() };
        }
        accept();
        return Unit {};
    }

    void close()
    {
        m_isDraining = true;
        error_code ignored;
        m_acceptor.close(ignored);
        m_acceptTimer.cancel();
        for (Session* session : std::vector<Session*>(m_sessions.begin(), m_sessions.end()))
            session->closeIfIdle();
    }

    class Session : public std::enable_shared_from_this<Session> {
    public:
        Session(std::shared_ptr<Impl> server, tcp::socket socket)
            : m_server(std::move(server))
            , m_stream(std::move(socket))
        {
            m_server->m_sessions.insert(this);
        }
        ~Session()
        {
            if (m_isActive)
                --m_server->m_active;
            m_server->m_sessions.erase(this);
        }
        Session(const Session&) = delete;
        Session& operator=(const Session&) = delete;

        void start()
        {
            error_code ignored;
            m_stream.socket().set_option(tcp::no_delay(true), ignored);
            awaitRequest();
        }

        void closeIfIdle()
        {
            if (!m_isActive && !m_isReading)
                m_stream.close();
        }

    private:
        void awaitRequest()
        {
            if (m_buffer.size() > 0)
                return read();
            m_stream.expires_after(m_server->m_limits.m_idleTimeout);
            m_timer.expires_after(m_server->m_limits.m_idleTimeout);
            m_timer.async_wait([weak = weak_from_this()](error_code error) {
                const auto self = weak.lock();
                if (!error && self && !self->m_isReading && !self->m_isActive)
                    self->m_stream.close();
            });
            m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
                self->m_timer.cancel();
                if (!error && self->m_stream.socket().is_open())
                    self->read();
            });
        }

        void read()
        {
            m_isReading = true;
            m_parser.emplace();
            m_parser->header_limit(static_cast<std::uint32_t>(m_server->m_limits.m_maxHeaderBytes));
            m_parser->body_limit(m_server->m_limits.m_maxBodyBytes);
            m_stream.expires_after(m_server->m_limits.m_requestTimeout);
            http::async_read(m_stream, m_buffer, *m_parser,
                [self = shared_from_this()](error_code error, std::size_t) { self->received(error); });
        }

        void received(error_code error)
        {
            m_isReading = false;
            m_stream.expires_never();
            m_keepAlive = false;
            if (error == http::error::body_limit)
                return respond({ 413, R"({"error":"the body is too large"})" });
            if (error == http::error::header_limit)
                return respond({ 431, R"({"error":"the header is too large"})" });
            if (error == beast::error::timeout)
                return respond({ 408, R"({"error":"the request was not received in time"})" });
            if (error == http::error::end_of_stream || error == http::error::partial_message
                || (error && error.category() == asio::error::get_system_category()))
                return;
            if (error)
                return respond({ 400, R"({"error":"the request is malformed"})" });
            auto message = m_parser->release();
            m_keepAlive = message.keep_alive();
            m_isActive = true;
            ++m_server->m_active;
            ServerRequest request;
            request.m_method = message.method_string();
            request.m_target = message.target();
            request.m_host = message[http::field::host];
            request.m_deadline = message[m_server->m_deadlineHeader];
            if (message.count(http::field::authorization) == 1)
                request.m_authorization = message[http::field::authorization];
            request.m_body = std::move(message.body());
            request.m_receivedAt = bootNow();
            m_server->m_handler(std::move(request),
                [self = shared_from_this()](ServerResponse response) { self->respond(std::move(response)); });
        }

        void respond(ServerResponse answer)
        {
            m_response = {};
            m_response.version(11); // HTTP/1.1
            m_response.result(answer.m_status);
            m_response.set(http::field::content_type, answer.m_contentType);
            if (answer.m_retryAfterSeconds > 0)
                m_response.set(http::field::retry_after, std::to_string(answer.m_retryAfterSeconds));
            if (!answer.m_authenticate.empty())
                m_response.set(http::field::www_authenticate, answer.m_authenticate);
            m_response.body() = std::move(answer.m_body);
            m_keepAlive = m_keepAlive && !m_server->m_isDraining;
            m_response.keep_alive(m_keepAlive);
            m_response.prepare_payload();
            m_stream.expires_after(writeTimeout);
            http::async_write(m_stream, m_response,
                [self = shared_from_this()](error_code error, std::size_t) { self->written(error); });
        }

        void written(error_code error)
        {
            m_stream.expires_never();
            if (m_isActive) {
                m_isActive = false;
                --m_server->m_active;
            }
            if (error)
                return;
            if (m_keepAlive)
                return awaitRequest();
            error_code ignored;
            m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        }

        std::shared_ptr<Impl> m_server;
        beast::tcp_stream m_stream;
        asio::steady_timer m_timer { m_stream.get_executor() };
        beast::flat_buffer m_buffer;
        std::optional<http::request_parser<http::string_body>> m_parser;
        http::response<http::string_body> m_response;
        bool m_isReading = false;
        /// Whether a request has been read and not answered yet.
        bool m_isActive = false;
        bool m_keepAlive = false;
    };

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (!self->m_acceptor.is_open())
                return;
            if (error) {
                self->m_acceptTimer.expires_after(acceptPause);
                self->m_acceptTimer.async_wait([self](error_code stopped) {
                    if (!stopped)
                        self->accept();
                });
                return;
            }
            if (self->m_sessions.size() < self->m_limits.m_maxConnections)
                std::make_shared<Session>(self, std::move(socket))->start();
            self->accept();
        });
    }

    asio::io_context& m_context;
    const std::string m_deadlineHeader;
    RequestHandler m_handler;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    ListenerLimits m_limits;
    std::unordered_set<Session*> m_sessions;
    std::size_t m_active = 0;
    bool m_isDraining = false;
};

HttpListener::HttpListener(asio::io_context& context, std::string deadlineHeader, RequestHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(deadlineHeader), std::move(handler)))
{
}

HttpListener::~HttpListener() { m_impl->close(); }

Result<Unit> HttpListener::open(const std::string& address) { return m_impl->open(address); }

void HttpListener::setLimits(const ListenerLimits& limits) { m_impl->m_limits = limits; }

void HttpListener::beginDrain() { m_impl->m_isDraining = true; }

void HttpListener::close() { m_impl->close(); }

std::size_t HttpListener::activeRequests() const { return m_impl->m_active; }

std::size_t HttpListener::connections() const { return m_impl->m_sessions.size(); }

} // namespace sapphiredale::controller
