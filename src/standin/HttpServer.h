// HTTP/1.1 server of the stand-in: one listener, keep-alive connections, one handler.
#pragma once

#include "model/Result.h"
#include "standin/Connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::standin {

/// A received request.
struct HttpRequest {
    std::string m_method;
    /// Path without the query.
    std::string m_path;
    std::string m_query;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;

    /// Value of a header, compared without case; empty when absent.
    std::string header(std::string_view name) const;
    /// Value of a query parameter; empty when absent. No percent decoding.
    std::string parameter(std::string_view name) const;
    /// Non-negative number in a query parameter, or the default.
    std::uint64_t number(std::string_view name, std::uint64_t otherwise) const;
};

/// An answer and what happens to it on the way.
struct HttpReply {
    unsigned m_status = 200;
    std::string m_body;
    std::vector<std::pair<std::string, std::string>> m_headers;
    /// Close the connection without an answer.
    bool m_drop = false;
    /// Close the connection after this many bytes of the body.
    std::optional<std::size_t> m_cutAfter;
    bool m_chunked = false;
    bool m_close = false;

    static HttpReply dropped()
    {
        HttpReply reply;
        reply.m_drop = true;
        return reply;
    }
};

/// Makes the answer to a request. The references are valid until the answer has been returned.
using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(const HttpRequest&, Connection&)>;

/// One listener with its connections; each connection runs on a strand of its own.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    struct Hooks {
        /// Called for each new connection; false closes it at once. May be empty.
        std::function<bool(Connection&)> m_opened;
        /// Called when a connection that m_opened admitted has ended. May be empty.
        std::function<void(Connection&)> m_closed;
    };

    HttpServer(boost::asio::io_context&, HttpHandler, Hooks = {});

    /// Binds the address and accepts connections. A port of zero takes any free port.
    Result<std::string> listen(const std::string& address, std::uint16_t port);
    /// Closes the listener and all connections; requests in progress get no answer.
    void close();
    /// Closes the connections and keeps the listener.
    void closeConnections();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection>);
    boost::asio::awaitable<bool> serveRequest(Connection&, HttpRequest, bool keepAlive);
    void track(const std::shared_ptr<Connection>&);

    boost::asio::io_context& m_context;
    HttpHandler m_handler;
    Hooks m_hooks;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    bool m_closed = false;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

} // namespace sapphiredale::standin
