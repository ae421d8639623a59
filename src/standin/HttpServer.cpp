// Accepting, reading and answering.

#include "standin/HttpServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>

namespace sapphiredale::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    /// Largest request body: a job of a group or a forwarded request stays far below it.
    constexpr std::uint64_t maxRequestBytes = 64ULL << 20;
    constexpr std::size_t chunkBytes = 16 << 10;

    using Parser = http::request_parser<http::string_body>;

    HttpRequest convert(Parser& parser)
    {
        auto message = parser.release();
        HttpRequest request;
        request.m_method = std::string(message.method_string());
        const std::string target(message.target());
        const std::size_t mark = target.find('?');
        request.m_path = target.substr(0, mark);
        if (mark != std::string::npos)
            request.m_query = target.substr(mark + 1);
        for (const auto& field : message)
            request.m_headers.emplace_back(field.name_string(), field.value());
        request.m_body = std::move(message.body());
        return request;
    }

    std::string headOf(const HttpReply& reply)
    {
        std::string head = "HTTP/1.1 " + std::to_string(reply.m_status) + ' '
            + std::string(http::obsolete_reason(static_cast<http::status>(reply.m_status))) + "\r\n";
        for (const auto& [name, value] : reply.m_headers)
            head.append(name).append(": ").append(value).append("\r\n");
        if (reply.m_close)
            head += "Connection: close\r\n";
        if (reply.m_chunked)
            head += "Transfer-Encoding: chunked\r\n";
        else
            head += "Content-Length: " + std::to_string(reply.m_body.size()) + "\r\n";
        return head + "\r\n";
    }

    std::string chunkedBody(std::string_view body)
    {
        std::string encoded;
        while (!body.empty()) {
            const std::string_view chunk = body.substr(0, chunkBytes);
            char size[20];
            const auto end = std::to_chars(size, size + sizeof size, chunk.size(), 16).ptr;
            encoded.append(size, end).append("\r\n").append(chunk).append("\r\n");
            body.remove_prefix(chunk.size());
        }
        return encoded + "0\r\n\r\n";
    }

    std::string wireForm(const HttpReply& reply)
    {
        std::string text = headOf(reply);
        std::string body = reply.m_chunked ? chunkedBody(reply.m_body) : reply.m_body;
        if (reply.m_cutAfter && *reply.m_cutAfter < body.size())
            body.resize(*reply.m_cutAfter);
        return text += body;
    }

    /// Calls a function when the scope ends, also when a suspended coroutine is destroyed.
    class ScopeExit {
    public:
        explicit ScopeExit(std::function<void()> function)
            : m_function(std::move(function))
        {
        }
        ~ScopeExit() { m_function(); }
        ScopeExit(const ScopeExit&) = delete;
        ScopeExit& operator=(const ScopeExit&) = delete;

    private:
        std::function<void()> m_function;
    };

} // namespace

std::string HttpRequest::header(std::string_view name) const
{
    for (const auto& [key, value] : m_headers) {
        if (beast::iequals(key, name))
            return value;
    }
    return {};
}

std::string HttpRequest::parameter(std::string_view name) const
{
    std::string_view rest = m_query;
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : std::string(pair.substr(equals + 1));
    }
    return {};
}

std::uint64_t HttpRequest::number(std::string_view name, std::uint64_t otherwise) const
{
    const std::string text = parameter(name);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? value : otherwise;
}

HttpServer::HttpServer(asio::io_context& context, HttpHandler handler, Hooks hooks)
    : m_context(context)
    , m_handler(std::move(handler))
    , m_hooks(std::move(hooks))
    , m_acceptor(asio::make_strand(context))
{
}

Result<std::string> HttpServer::listen(const std::string& address, std::uint16_t port)
{
    boost::system::error_code error;
    const auto parsed = asio::ip::make_address(address, error);
    if (error || !parsed.is_loopback())
        return Error { ErrorKind::InvalidRequest, "\"" + address + "\" is not a loopback address" };
    const tcp::endpoint endpoint(parsed, port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error { ErrorKind::Internal,
            "cannot listen on " + address + ":" + std::to_string(port) + ": " + error.message() };
    const auto bound = m_acceptor.local_endpoint(error);
    asio::co_spawn(
        m_acceptor.get_executor(), [self = shared_from_this()] { return self->accept(); }, asio::detached);
    return (parsed.is_v6() ? "[" + address + "]" : address) + ":" + std::to_string(bound.port());
}

void HttpServer::close()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
    }
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
    });
    closeConnections();
}

void HttpServer::closeConnections()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& weak : m_connections) {
        if (const auto connection = weak.lock())
            connection->close();
    }
    m_connections.clear();
}

asio::awaitable<void> HttpServer::accept()
{
    for (;;) {
        auto [error, socket] = co_await m_acceptor.async_accept(asio::make_strand(m_context), asTuple);
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            co_return;
        if (error)
            continue;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto executor = socket.get_executor();
        auto connection = std::make_shared<Connection>(std::move(socket));
        track(connection);
        asio::co_spawn(
            executor, [self = shared_from_this(), connection] { return self->serve(connection); }, asio::detached);
    }
}

void HttpServer::track(const std::shared_ptr<Connection>& connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_closed)
        connection->close();
    std::erase_if(m_connections, [](const auto& weak) { return weak.expired(); });
    m_connections.push_back(connection);
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<Connection> connection)
{
    if (m_hooks.m_opened && !m_hooks.m_opened(*connection))
        co_return;
    const ScopeExit closed([this, &connection] {
        if (m_hooks.m_closed)
            m_hooks.m_closed(*connection);
    });
    beast::flat_buffer buffer;
    for (;;) {
        Parser parser;
        parser.body_limit(maxRequestBytes);
        const auto [error, bytes] = co_await http::async_read(connection->socket(), buffer, parser, asTuple);
        if (error)
            break;
        const bool keepAlive = parser.get().keep_alive();
        HttpRequest request = convert(parser);
        if (!co_await serveRequest(*connection, std::move(request), keepAlive))
            break;
    }
    boost::system::error_code ignored;
    connection->socket().close(ignored);
}

asio::awaitable<bool> HttpServer::serveRequest(Connection& connection, HttpRequest request, bool keepAlive)
{
    if (std::string daemon = request.header("Sapphire-Daemon"); !daemon.empty())
        connection.setDaemon(std::move(daemon));
    connection.watchPeer();
    HttpReply reply;
    try {
        reply = co_await m_handler(request, connection);
    } catch (const std::exception& exception) {
        reply = HttpReply();
        reply.m_status = 500;
        reply.m_body = exception.what();
    }
    connection.stopWatching();
    if (reply.m_drop || connection.peerClosed())
        co_return false;
    reply.m_close = reply.m_close || !keepAlive;
    const std::string text = wireForm(reply);
    const auto [error, bytes] = co_await asio::async_write(connection.socket(), asio::buffer(text), asTuple);
    co_return !error && !reply.m_close && !reply.m_cutAfter;
}

} // namespace sapphiredale::standin
