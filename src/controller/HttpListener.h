// HTTP/1.1 server of the controller on one event loop; requests and responses are buffered completely.
#pragma once

#include "controller/ConnectionBudget.h"
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

/// Limits on connections and requests; may change while the listener is open.
struct ListenerLimits {
    /// Of the request line, the fields, the extensions of chunks and the trailers of one request together.
    std::size_t m_maxHeaderBytes = 16384;
    std::size_t m_maxBodyBytes = 262144;
    /// From the first byte of a request to its last.
    Duration m_requestTimeout = std::chrono::seconds(3);
    Duration m_idleTimeout = std::chrono::seconds(15);
    /// Time for the client to take an answer.
    Duration m_answerTimeout = std::chrono::seconds(10);
    std::size_t m_maxConnections = 3000; // below the file descriptor limit of the smallest host

    friend bool operator==(const ListenerLimits&, const ListenerLimits&) = default;
};

struct ServerRequest {
    std::string m_method;
    std::string m_target;
    std::string m_host;
    std::string m_body;
    /// Value of the header that states how long the caller waits; empty if absent.
    std::string m_deadline;
    TimePoint m_receivedAt {};
    /// Value of the Authorization header; empty if it is absent or repeated.
    std::string m_authorization {};
};

struct ServerResponse {
    unsigned m_status = 200;
    std::string m_body;
    /// Value of Retry-After in seconds; zero omits the header.
    unsigned m_retryAfterSeconds = 0;
    std::string m_contentType = "application/json";
    /// Value of WWW-Authenticate; empty omits the header.
    std::string m_authenticate {};
};

using Responder = std::function<void(ServerResponse)>;
/// Called when a request has been received completely. The responder must be called exactly once, at any time.
using RequestHandler = std::function<void(ServerRequest, Responder)>;

/// Accepts connections on one address and passes each request to a handler.
class HttpListener {
public:
    /// `deadlineHeader` names the header whose value becomes ServerRequest::m_deadline. Listeners of one event loop may
    /// share a budget; without one the listener has a budget of its own that fits the smallest host.
    HttpListener(boost::asio::io_context&, std::string deadlineHeader, RequestHandler,
        std::shared_ptr<ConnectionBudget> = nullptr);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// Listens on "address:port"; fails with Internal and the reason when that is not possible.
    Result<Unit> open(const std::string& address);
    void setLimits(const ListenerLimits&);
    /// Sends "Connection: close" with every response from now on.
    void beginDrain();
    /// Stops accepting connections and closes the idle ones.
    void close();
    /// Number of requests that have been read and not answered completely.
    std::size_t activeRequests() const;
    std::size_t connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace sapphiredale::controller
