// HTTP/1.1 server of the controller: whole requests in, whole answers out, on one event loop.
#pragma once

#include "model/Result.h"
#include "model/Time.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::controller {

/// Bounds on clients; may change while the listener is open.
struct ListenerLimits {
    std::size_t m_maxHeaderBytes = 16384;
    std::size_t m_maxBodyBytes = 262144;
    /// From the first byte of a request to its last.
    Duration m_requestTimeout = std::chrono::seconds(3);
    Duration m_idleTimeout = std::chrono::seconds(15);
    std::size_t m_maxConnections = 3000; // below the descriptors of the smallest host

    friend bool operator==(const ListenerLimits&, const ListenerLimits&) = default;
};

struct ServerRequest {
    std::string m_method;
    std::string m_target;
    std::string m_host;
    std::string m_body;
    /// Value of the header that tells how long the caller waits; empty when it is missing.
    std::string m_deadline;
    TimePoint m_receivedAt {};
};

struct ServerResponse {
    unsigned m_status = 200;
    std::string m_body;
    /// Seconds for Retry-After; zero sends none.
    unsigned m_retryAfterSeconds = 0;
    std::string m_contentType = "application/json";
};

using Responder = std::function<void(ServerResponse)>;
/// Called once a request is complete; the responder is called exactly once, at any time.
using RequestHandler = std::function<void(ServerRequest, Responder)>;

/// See the head of the file.
class HttpListener {
public:
    /// `deadlineHeader` names the header whose value becomes ServerRequest::m_deadline.
    HttpListener(boost::asio::io_context&, std::string deadlineHeader, RequestHandler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// Opens "address:port". Internal with the reason when that is not possible.
    Result<Unit> open(const std::string& address);
    void setLimits(const ListenerLimits&);
    /// Answers carry "Connection: close" from now on.
    void beginDrain();
    /// Accepts no more connections and closes those that wait for a request.
    void close();
    /// Requests that have been read and not been answered completely.
    std::size_t activeRequests() const;
    std::size_t connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace sapphiredale::controller
