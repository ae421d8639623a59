// HTTP client based on Beast. The operations are asynchronous only to have a deadline: blocking reads of Asio ignore
// the time limits of a socket. Each call runs them to the end in the calling thread.

#include "load/HttpConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace sapphiredale::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;

namespace {

    /// A list of 100,000 executions has about 16 MB.
    constexpr std::uint64_t maxBodyBytes = std::uint64_t { 256 } << 20U;

    std::string_view toView(beast::string_view text) { return { text.data(), text.size() }; }

    error_code parseAddress(const std::string& address, asio::ip::tcp::endpoint& endpoint)
    {
        const std::size_t colon = address.rfind(':');
        if (colon == std::string::npos)
            return make_error_code(asio::error::invalid_argument);
        std::uint16_t port = 0;
        const char* end = address.data() + address.size();
        if (std::from_chars(address.data() + colon + 1, end, port).ptr != end)
            return make_error_code(asio::error::invalid_argument);
        error_code error;
        endpoint = { asio::ip::make_address(address.substr(0, colon), error), port };
        return error;
    }

} // namespace

std::string_view HttpAnswer::header(std::string_view name) const
{
    for (const auto& [key, value] : m_headers) {
        if (beast::iequals({ key.data(), key.size() }, { name.data(), name.size() }))
            return value;
    }
    return {};
}

struct HttpConnection::Connection {
    /// Runs one asynchronous operation to its end.
    template <typename Start> error_code run(Start start)
    {
        error_code result;
        start([&result](error_code error, auto&&...) { result = error; });
        m_context.restart();
        m_context.run();
        return result;
    }

    asio::io_context m_context;
    beast::tcp_stream m_stream { m_context };
    beast::flat_buffer m_buffer;
};

HttpConnection::HttpConnection(std::string address, std::chrono::milliseconds timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{
}

HttpConnection::~HttpConnection() = default;
HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;

HttpResult HttpConnection::call(const HttpCall& call)
{
    // The connection is kept only after a complete response.
    std::unique_ptr<Connection> connection = std::move(m_connection);
    if (!connection) {
        asio::ip::tcp::endpoint endpoint;
        error_code error = parseAddress(m_address, endpoint);
        connection = std::make_unique<Connection>();
        connection->m_stream.expires_after(m_timeout);
        if (!error)
            error = connection->run(
                [&](auto handler) { connection->m_stream.async_connect(endpoint, std::move(handler)); });
        if (error)
            return HttpFailure { false, error.message() };
    }
    http::request<http::string_body> request;
    request.method_string({ call.m_method.data(), call.m_method.size() });
    request.target({ call.m_target.data(), call.m_target.size() });
    request.version(11);
    request.set(http::field::host, m_address);
    for (const auto& [name, value] : call.m_headers)
        request.set(name, value);
    request.body() = call.m_body;
    request.prepare_payload();
    connection->m_stream.expires_after(m_timeout);
    const error_code writeError
        = connection->run([&](auto handler) { http::async_write(connection->m_stream, request, std::move(handler)); });
    // A server that refuses a body early answers before it has read all of it.
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    const error_code error = connection->run([&](auto handler) {
        http::async_read(connection->m_stream, connection->m_buffer, parser, std::move(handler));
    });
    if (error)
        return HttpFailure { true, (writeError ? writeError : error).message() };
    const auto& message = parser.get();
    HttpAnswer answer;
    answer.m_status = message.result_int();
    for (const auto& field : message)
        answer.m_headers.emplace_back(std::string(toView(field.name_string())), std::string(toView(field.value())));
    answer.m_body = message.body();
    if (message.keep_alive() && !writeError)
        m_connection = std::move(connection);
    return answer;
}

} // namespace sapphiredale::load
