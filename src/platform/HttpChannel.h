// One keep-alive HTTP/1.1 connection with a queue of calls; the transport of every platform client.
#pragma once

#include "model/Result.h"
#include "model/Time.h"
#include "platform/HttpSettings.h"
#include "platform/TrafficObserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace sapphiredale::platform {

/// A complete answer of the server.
struct HttpAnswer {
    unsigned m_status = 0;
    std::string m_body;
};

/// A request without its headers.
struct HttpCall {
    std::string m_method;
    std::string m_target;
    std::string m_body;
    /// Time that the whole call may take, queueing and reconnection included. Suspension of the host counts: a call
    /// whose time is over is not sent, also when this process was paused while the call waited.
    Duration m_timeout {};
    /// The request may be sent again when a kept connection turns out to be closed before any answer byte arrived.
    bool m_repeatable = false;
    /// Further header lines, each ended by CRLF.
    std::string m_headers {};
};

/// Whether a channel can connect to the text: "address:port" or "[address]:port" with a numeric address and port.
bool isEndpoint(const std::string&);

/// Sends one request at a time. A connection is closed after every failure, so that an answer that arrives late cannot
/// be taken for that of another call. The calls may come from any thread.
class HttpChannel {
public:
    using AnswerHandler = std::function<void(Result<HttpAnswer>)>;

    /// `unreachable` is the error kind for a call that was not sent because there is no connection; its run state must
    /// be NotRun.
    HttpChannel(boost::asio::io_context&, const HttpSettings&, ClientKind, ErrorKind unreachable);
    /// The executor runs one handler at a time: that of a context with one thread needs no strand.
    HttpChannel(const boost::asio::any_io_executor&, const HttpSettings&, ClientKind, ErrorKind unreachable);
    ~HttpChannel();
    HttpChannel(const HttpChannel&) = delete;
    HttpChannel& operator=(const HttpChannel&) = delete;

    /// Calls the handler exactly once; see Handler for what the error kinds say.
    void send(HttpCall, AnswerHandler);
    /// Ends all calls with an error and rejects further ones.
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace sapphiredale::platform
