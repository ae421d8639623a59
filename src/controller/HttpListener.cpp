// Acceptor and sessions of HttpListener.

#include "controller/HttpListener.h"

#include "controller/Clock.h"
#include "daemon/Settings.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iterator>
#include <optional>
#include <unordered_set>

namespace sapphiredale::controller {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    /// Budget of a listener that shares none: that of a host with 120 MB.
    constexpr std::size_t defaultBudgetBytes = (std::size_t { 120 } << 20) / ConnectionBudget::memoryShare;
    /// Space beyond the header limit for the size lines of chunks and the line ends in the buffer of a connection.
    constexpr std::size_t bufferReserve = 1024;
    /// Memory of a connection without buffers: session, parser, timer and socket.
    constexpr std::size_t sessionBytes = 2048;
    /// Memory of a header field beside its text.
    constexpr std::size_t fieldBytes = 64;
    /// A request that was handed on is held as its text, decoded, encoded as a record and as a message to the store.
    constexpr std::size_t copiesOfRequest = 4;
    /// Pause after a failed accept, such as when file descriptors are exhausted.
    constexpr Duration acceptPause = std::chrono::milliseconds(50);

} // namespace

class HttpListener::Impl : public std::enable_shared_from_this<HttpListener::Impl> {
public:
    Impl(asio::io_context& context, std::string deadlineHeader, RequestHandler handler,
        std::shared_ptr<ConnectionBudget> budget)
        : m_context(context)
        , m_budget(budget ? std::move(budget) : std::make_shared<ConnectionBudget>(defaultBudgetBytes))
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

    class Session : public ConnectionBudget::Holder, public std::enable_shared_from_this<Session> {
    public:
        Session(std::shared_ptr<Impl> server, tcp::socket socket)
            : m_server(std::move(server))
            , m_stream(std::move(socket))
        {
            m_server->m_sessions.insert(this);
            m_server->m_budget->enter(*this, bootNow());
        }
        ~Session() override
        {
            m_server->m_budget->leave(*this);
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
            if (updateHeld())
                awaitRequest();
        }

        bool canGiveWay() const override { return !m_isActive && !m_isAnswering; }
        bool isReading() const override { return m_isReading; }
        void giveWay() override { m_stream.close(); }

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
            m_parser.reset();
            m_buffer.shrink_to_fit();
            updateHeld();
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
            const ListenerLimits& limits = m_server->m_limits;
            m_isReading = true;
            m_parser.emplace();
            m_parser->eager(true);
            m_parser->header_limit(static_cast<std::uint32_t>(limits.m_maxHeaderBytes));
            m_parser->body_limit(limits.m_maxBodyBytes);
            // The parser limits neither chunk extensions nor trailers, and needs each of them whole in the buffer.
            m_headerBytes = 0;
            m_heldFieldBytes = 0;
            m_maxHeaderBytes = limits.m_maxHeaderBytes;
            m_parser->on_chunk_header(m_chunkHeaderHandler);
            m_buffer.max_size(std::max(m_buffer.size(), limits.m_maxHeaderBytes + bufferReserve));
            // One time limit for the whole request, whatever the pauses between its bytes.
            m_stream.expires_after(limits.m_requestTimeout);
            readMore();
        }

        void readMore()
        {
            http::async_read_some(
                m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
                    self->m_server->m_budget->touch(*self, bootNow());
                    if (error || self->m_parser->is_done())
                        return self->received(error);
                    if (self->updateHeld())
                        self->readMore();
                    else
                        self->m_stream.close();
                });
        }

        /// Text of the request line and of the fields, trailers included.
        std::size_t textOfFields() const
        {
            const auto& message = m_parser->get();
            std::size_t bytes = message.target().size();
            for (const auto& field : message)
                bytes += field.name_string().size() + field.value().size();
            return bytes;
        }

        /// Tells the budget what the connection holds; false when it has to be closed.
        bool updateHeld()
        {
            std::size_t bytes = sessionBytes + m_buffer.capacity() + m_handedOnBytes + m_response.body().capacity();
            if (m_parser && m_parser->is_header_done()) {
                if (m_heldFieldBytes == 0) {
                    const auto& fields = m_parser->get();
                    m_heldFieldBytes = textOfFields()
                        + fieldBytes * static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
                }
                bytes += m_heldFieldBytes + m_parser->get().body().capacity();
            }
            return m_server->m_budget->hold(*this, bytes, bootNow());
        }

        void refuse(ConnectionEnd reason, ServerResponse answer)
        {
            m_server->m_budget->report(reason);
            respond(std::move(answer));
        }

        void received(error_code error)
        {
            m_isReading = false;
            m_stream.expires_never();
            m_keepAlive = false;
            if (error == http::error::body_limit)
                return refuse(ConnectionEnd::BodyLimit, { 413, R"({"error":"the body is too large"})" });
            if (error == http::error::header_limit || error == http::error::buffer_overflow)
                return refuse(ConnectionEnd::HeaderLimit, { 431, R"({"error":"the header is too large"})" });
            if (error == beast::error::timeout)
                return refuse(
                    ConnectionEnd::RequestTime, { 408, R"({"error":"the request was not received in time"})" });
            if (error == http::error::end_of_stream || error == http::error::partial_message
                || (error && error.category() == asio::error::get_system_category()))
                return;
            if (error)
                return respond({ 400, R"({"error":"the request is malformed"})" });
            if (m_headerBytes + textOfFields() > m_maxHeaderBytes)
                return refuse(ConnectionEnd::HeaderLimit, { 431, R"({"error":"the header is too large"})" });
            // A complete request does not give way; it is answered that it has not run.
            m_isAnswering = true;
            m_handedOnBytes = copiesOfRequest * m_parser->get().body().size();
            if (!updateHeld()) {
                m_handedOnBytes = 0;
                // The request has not been handed on, so "not run" is true.
                ServerResponse answer { 503, R"({"error":"overloaded","detail":"not run"})" };
                answer.m_retryAfterSeconds = 1;
                return refuse(ConnectionEnd::Memory, std::move(answer));
            }
            m_isAnswering = false;
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
            m_handedOnBytes = 0;
            m_parser.reset();
            m_isAnswering = true;
            updateHeld();
            m_stream.expires_after(m_server->m_limits.m_answerTimeout);
            http::async_write(m_stream, m_response,
                [self = shared_from_this()](error_code error, std::size_t) { self->written(error); });
        }

        void written(error_code error)
        {
            m_stream.expires_never();
            m_isAnswering = false;
            if (m_isActive) {
                m_isActive = false;
                --m_server->m_active;
            }
            m_server->m_budget->touch(*this, bootNow());
            m_response = {};
            if (error == beast::error::timeout)
                m_server->m_budget->report(ConnectionEnd::AnswerTime);
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
        /// Bytes of chunk extensions in the present request, and the limit of those and of its header.
        std::size_t m_headerBytes = 0;
        std::size_t m_maxHeaderBytes = 0;
        std::function<void(std::uint64_t, beast::string_view, error_code&)> m_chunkHeaderHandler
            = [this](std::uint64_t, beast::string_view extensions, error_code& error) {
                  m_headerBytes += extensions.size();
                  if (m_headerBytes > m_maxHeaderBytes)
                      error = http::error::header_limit;
              };
        /// Memory of the header's fields; zero until the header is complete.
        std::size_t m_heldFieldBytes = 0;
        /// Memory that a request takes elsewhere in this process until it is answered.
        std::size_t m_handedOnBytes = 0;
        bool m_isReading = false;
        bool m_isAnswering = false;
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
            if (self->m_sessions.size() < self->m_limits.m_maxConnections || self->closeQuietConnection())
                std::make_shared<Session>(self, std::move(socket))->start();
            self->accept();
        });
    }

    /// Closes the connection that has been quiet for longest, to make place for another. False when there is none.
    bool closeQuietConnection()
    {
        m_budget->report(ConnectionEnd::ConnectionLimit);
        const TimePoint now = bootNow();
        Session* quietest = nullptr;
        for (Session* session : m_sessions) {
            if (session->canGiveWay() && m_budget->isQuiet(*session, now)
                && (quietest == nullptr || m_budget->lastActive(*session) < m_budget->lastActive(*quietest)))
                quietest = session;
        }
        if (quietest == nullptr)
            return false;
        quietest->giveWay();
        return true;
    }

    asio::io_context& m_context;
    const std::shared_ptr<ConnectionBudget> m_budget;
    const std::string m_deadlineHeader;
    RequestHandler m_handler;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    ListenerLimits m_limits;
    std::unordered_set<Session*> m_sessions;
    std::size_t m_active = 0;
    bool m_isDraining = false;
};

HttpListener::HttpListener(asio::io_context& context, std::string deadlineHeader, RequestHandler handler,
    std::shared_ptr<ConnectionBudget> budget)
    : m_impl(std::make_shared<Impl>(context, std::move(deadlineHeader), std::move(handler), std::move(budget)))
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
