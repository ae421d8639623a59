// HTTP client based on Beast. The operations are asynchronous only to have a deadline; one call runs them to the end.

#include "cli/ControlClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>
#include <optional>

namespace sapphiredale::cli {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    /// A list of 10,000 tasks has about 3 MB.
    constexpr std::uint64_t maxAnswerBytes = std::uint64_t { 64 } << 20U;

    class Exchange {
    public:
        Exchange(
            const std::string& host, const std::string& port, std::uint32_t timeoutSeconds, const HttpRequest& request)
            : m_resolver(m_context)
            , m_stream(m_context)
        {
            m_request.method_string(request.m_method);
            m_request.target(request.m_target);
            m_request.version(11);
            m_request.set(http::field::host, host + ':' + port);
            m_request.set(http::field::user_agent, "sapphirectl");
            m_request.set(http::field::connection, "close");
            for (const auto& [name, value] : request.m_headers)
                m_request.set(name, value);
            m_request.body() = request.m_body;
            m_request.prepare_payload();
            m_parser.body_limit(maxAnswerBytes);
            m_deadline = std::chrono::steady_clock::now() + std::chrono::seconds(timeoutSeconds);
            m_resolver.async_resolve(host, port, [this](beast::error_code error, const auto& endpoints) {
                if (error)
                    return fail(error, "cannot resolve the address");
                connect(endpoints);
            });
        }

        HttpResult run()
        {
            m_context.run_until(m_deadline);
            if (m_result)
                return std::move(*m_result);
            return TransportError { m_isSent, m_isSent ? "no answer in time" : "no connection in time" };
        }

    private:
        void connect(const asio::ip::tcp::resolver::results_type& endpoints)
        {
            m_stream.async_connect(endpoints, [this](beast::error_code error, const auto&) {
                if (error)
                    return fail(error, "cannot connect");
                m_isSent = true;
                http::async_write(m_stream, m_request, [this](beast::error_code writeError, std::size_t) {
                    // A daemon that refuses a body early answers before it has read all of it.
                    m_writeError = writeError;
                    read();
                });
            });
        }

        void read()
        {
            http::async_read(m_stream, m_buffer, m_parser, [this](beast::error_code error, std::size_t) {
                if (error)
                    return fail(m_writeError ? m_writeError : error, "the connection ended before the answer");
                const auto& message = m_parser.get();
                HttpAnswer answer;
                answer.m_status = message.result_int();
                answer.m_entityTag = std::string(message[http::field::etag]);
                std::erase(answer.m_entityTag, '"');
                answer.m_freshness = std::string(message["Sapphire-Freshness"]);
                answer.m_body = message.body();
                m_result = std::move(answer);
            });
        }

        void fail(beast::error_code error, const std::string& what)
        {
            m_result = TransportError { m_isSent, what + ": " + error.message() };
        }

        asio::io_context m_context;
        asio::ip::tcp::resolver m_resolver;
        beast::tcp_stream m_stream;
        std::chrono::steady_clock::time_point m_deadline;
        http::request<http::string_body> m_request;
        beast::flat_buffer m_buffer;
        http::response_parser<http::string_body> m_parser;
        beast::error_code m_writeError;
        bool m_isSent = false;
        std::optional<HttpResult> m_result;
    };

} // namespace

HttpResult sendHttp(
    const std::string& host, const std::string& port, std::uint32_t timeoutSeconds, const HttpRequest& request)
{
    try {
        return Exchange(host, port, timeoutSeconds, request).run();
    } catch (const std::exception& error) {
        return TransportError { true, error.what() };
    }
}

} // namespace sapphiredale::cli
