// Reading of requests, local answers and the deadlines of a session.

#include "forwarding/Session.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace sapphiredale::forwarding {

namespace {

    /// Time for which an idle connection stays open during a drain, for requests that are on their way.
    constexpr Duration drainGrace = std::chrono::milliseconds(300);
    /// Bytes and time for which the rest of a refused request is read before the connection is closed.
    constexpr std::size_t lingerBytes = std::size_t { 256 } * 1024;
    constexpr Duration lingerTime = std::chrono::seconds(2);
    /// Memory of a connection without a request.
    constexpr std::size_t sessionBytes = 2048;
    /// A body that the daemon handles itself is held as received and as decoded.
    constexpr std::size_t copiesOfBody = 2;
    /// A caller inside the limits sends a part of a request within this time.
    constexpr Duration quietTime = std::chrono::milliseconds(500);

} // namespace

Session::Session(ServerContext& server, EventLoop& loop, Socket socket, bool fromPeer)
    : m_server(server)
    , m_loop(loop)
    , m_socket(std::move(socket))
    , m_event(loop.context())
    , m_fromPeer(fromPeer)
{
    m_loop.add(*this);
    m_server.m_openConnections.fetch_add(1, std::memory_order_relaxed);
    m_close = !hold(0);
}

Session::~Session()
{
    release();
    m_loop.remove(*this);
    m_server.m_openConnections.fetch_sub(1, std::memory_order_relaxed);
}

Awaitable<void> Session::run()
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    while (!m_close && co_await readRequest()) {
        m_server.m_requests.fetch_add(1, std::memory_order_relaxed);
        m_server.m_activeRequests.fetch_add(1, std::memory_order_relaxed);
        co_await serve();
        m_server.m_activeRequests.fetch_sub(1, std::memory_order_relaxed);
        m_exchange.reset();
        m_request.reset();
        m_canGiveWay = true;
        hold(0);
    }
    co_await closeGracefully();
}

bool Session::hold(std::size_t bytes)
{
    bytes += sessionBytes;
    RequestBudget& budget = *m_server.m_settings.m_budget;
    if (bytes > m_heldBytes && !budget.add(bytes - m_heldBytes)) {
        m_server.m_memoryEnds.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    if (bytes < m_heldBytes)
        budget.remove(m_heldBytes - bytes);
    m_heldBytes = bytes;
    return true;
}

void Session::holdAlways(std::size_t bytes)
{
    m_server.m_settings.m_budget->addAlways(bytes);
    m_heldBytes += bytes;
}

void Session::release()
{
    m_server.m_settings.m_budget->remove(m_heldBytes);
    m_heldBytes = 0;
}

Awaitable<void> Session::respondNoMemory()
{
    m_close = true;
    co_await respondError(ErrorKind::Overloaded, "the connections of this daemon take too much memory");
}

void Session::begin(Wait wait, TimePoint deadline)
{
    m_waitStart = steadyNow();
    m_wait = wait;
    m_waitDeadline = deadline;
}

bool Session::end()
{
    m_wait = Wait::None;
    return m_stop == Stop::None;
}

void Session::stop(Stop reason)
{
    m_stop = reason;
    error_code ignored;
    switch (m_wait) {
    case Wait::NextRequest:
    case Wait::Caller:
        m_socket.cancel(ignored);
        break;
    case Wait::Upstream:
        m_upstream->m_socket.cancel(ignored);
        break;
    case Wait::Event:
        m_event.cancel();
        break;
    case Wait::None:
        break;
    }
}

void Session::sweep(TimePoint now)
{
    if (m_stop != Stop::None)
        return;
    // Those that make no progress give way; the others are refused before their requests are handed on.
    if (m_canGiveWay && (m_wait == Wait::NextRequest || m_wait == Wait::Caller) && now - m_waitStart >= quietTime
        && m_server.m_settings.m_budget->isScarce()) {
        m_server.m_memoryEnds.fetch_add(1, std::memory_order_relaxed);
        release();
        return stop(Stop::CallerTimeout);
    }
    switch (m_wait) {
    case Wait::None:
        return;
    case Wait::NextRequest:
        if (m_server.m_draining.load(std::memory_order_relaxed) && m_waitDeadline > now + drainGrace)
            m_waitDeadline = now + drainGrace;
        [[fallthrough]];
    case Wait::Caller:
        if (now >= m_waitDeadline)
            stop(Stop::CallerTimeout);
        else if (now >= m_requestDeadline)
            stop(Stop::Deadline);
        return;
    case Wait::Upstream:
    case Wait::Event:
        if (now >= m_requestDeadline)
            stop(Stop::Deadline);
        else if (now >= m_waitDeadline)
            stop(Stop::UpstreamTimeout);
        else if (callerIsGone())
            stop(Stop::CallerGone);
        return;
    }
}

bool Session::callerIsGone()
{
    char byte = 0;
    const ssize_t received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Session::abort()
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_close = true;
}

Awaitable<bool> Session::readRequest()
{
    m_request = std::make_unique<RequestParser>();
    m_request->setHeaderLimit(m_server.m_settings.m_maxHeader);
    m_request->body_limit(m_server.m_settings.m_maxBody);
    m_stop = Stop::None;
    m_requestDeadline = TimePoint::max();
    error_code error;
    if (m_buffer.size() == 0) {
        // The wait for the first byte holds no buffer, so that an idle connection costs little memory.
        m_buffer.shrink_to_fit();
        begin(Wait::NextRequest, steadyNow() + m_server.m_settings.m_idleTimeout);
        co_await m_socket.async_wait(Socket::wait_read, asio::redirect_error(useAwaitable, error));
        if (!end() || error)
            co_return false;
    }
    if (!hold(m_server.m_settings.m_maxHeader + readSize)) {
        co_await respondNoMemory();
        co_return false;
    }
    m_receiveDeadline = steadyNow() + m_server.m_settings.m_requestTimeout;
    begin(Wait::Caller, steadyNow() + m_server.m_settings.m_headerTimeout);
    co_await readHeader<true>(m_socket, m_buffer, *m_request, error);
    if (!end()) {
        m_server.m_callerTimeouts.fetch_add(1, std::memory_order_relaxed);
        m_stop = Stop::None;
        m_close = true;
        co_await respondError(ErrorKind::RequestTimeout, "the header did not arrive in time");
        co_return false;
    }
    if (!error) {
        std::size_t fields = m_buffer.capacity();
        for (const auto& field : m_request->get())
            fields += sizeof(field) + field.name_string().size() + field.value().size();
        if (hold(fields))
            co_return true;
        co_await respondNoMemory();
        co_return false;
    }
    m_close = true;
    if (error == http::error::header_limit)
        m_server.m_headerEnds.fetch_add(1, std::memory_order_relaxed);
    if (error == http::error::body_limit)
        co_await respondError(ErrorKind::BodyTooLarge, "the declared body exceeds the limit");
    else if (error != http::error::end_of_stream
        && error.category() == make_error_code(http::error::bad_line_ending).category())
        co_await respondError(ErrorKind::InvalidRequest, error.message());
    co_return false;
}

bool Session::keepAlive() const
{
    return !m_close && m_request && m_request->keep_alive() && m_request->is_done()
        && !m_server.m_draining.load(std::memory_order_relaxed);
}

Awaitable<void> Session::serve()
{
    const std::string_view target = toView(m_request->get().target());
    const std::optional<ServiceTarget> service = parseServiceTarget(target);
    if (service) {
        co_await serveService(*service);
        co_return;
    }
    if (m_fromPeer) {
        m_close = true;
        co_await respondError(ErrorKind::NotFound, "the peer listener serves forwarded requests only");
        co_return;
    }
    co_await serveLocal();
}

Awaitable<void> Session::serveLocal()
{
    const auto& message = m_request->get();
    LocalRequest request;
    request.m_method = std::string(toView(message.method_string()));
    request.m_target = std::string(toView(message.target()));
    for (const auto& field : message)
        request.m_headers.emplace_back(std::string(toView(field.name_string())), std::string(toView(field.value())));
    if (!co_await continueBody())
        co_return;
    std::vector<char> chunk(m_server.m_settings.m_bufferSize);
    while (!m_request->is_done()) {
        error_code error;
        begin(Wait::Caller, std::min(steadyNow() + m_server.m_settings.m_stallTimeout, m_receiveDeadline));
        const std::size_t size
            = co_await readBody<true>(m_socket, m_buffer, *m_request, chunk.data(), chunk.size(), true, error);
        if (!end() || error) {
            if (error == http::error::header_limit)
                m_server.m_headerEnds.fetch_add(1, std::memory_order_relaxed);
            else if (m_stop == Stop::CallerTimeout)
                m_server.m_callerTimeouts.fetch_add(1, std::memory_order_relaxed);
            m_close = true;
            co_return;
        }
        const std::size_t needed = request.m_body.size() + size;
        if (needed > request.m_body.capacity())
            request.m_body.reserve(std::max(needed, 2 * request.m_body.capacity()));
        if (!hold(m_buffer.capacity() + chunk.size() + copiesOfBody * request.m_body.capacity())) {
            co_await respondNoMemory();
            co_return;
        }
        request.m_body.append(chunk.data(), size);
        if (request.m_body.size() > m_server.m_settings.m_maxLocalBody) {
            m_close = true;
            co_await respondError(ErrorKind::BodyTooLarge, "the body exceeds the limit of this path");
            co_return;
        }
    }
    m_canGiveWay = false;
    // The handler may be called from another thread and after this session ended.
    auto answer = std::make_shared<LocalResponse>();
    m_eventReady = false;
    m_server.m_hooks.handle(request, [weak = weak_from_this(), &loop = m_loop, answer](LocalResponse response) {
        asio::post(loop.context(), [weak, answer, moved = std::move(response)]() mutable {
            if (const std::shared_ptr<Session> self = weak.lock()) {
                *answer = std::move(moved);
                self->m_eventReady = true;
                self->m_event.cancel();
            }
        });
    });
    co_await waitForEvent();
    if (!m_eventReady) {
        m_close = true;
        co_return;
    }
    co_await respond(std::move(*answer));
}

Awaitable<void> Session::waitForEvent()
{
    while (!m_eventReady && m_stop == Stop::None) {
        error_code ignored;
        m_event.expires_at(std::chrono::steady_clock::time_point::max());
        begin(Wait::Event, TimePoint::max());
        co_await m_event.async_wait(asio::redirect_error(useAwaitable, ignored));
        end();
    }
}

Awaitable<bool> Session::continueBody()
{
    if (m_request->is_done() || !beast::iequals(m_request->get()[http::field::expect], "100-continue"))
        co_return true;
    constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::array<asio::const_buffer, 1> buffers { asio::buffer(text) };
    co_return co_await writeCaller(buffers);
}

template <std::size_t count> Awaitable<bool> Session::writeCaller(std::array<asio::const_buffer, count> buffers)
{
    error_code error;
    begin(Wait::Caller, steadyNow() + m_server.m_settings.m_stallTimeout);
    co_await asio::async_write(m_socket, buffers, asio::redirect_error(useAwaitable, error));
    const bool inTime = end();
    if (error || !inTime)
        m_close = true;
    co_return !error && inTime;
}

template Awaitable<bool> Session::writeCaller<1>(std::array<asio::const_buffer, 1>);
template Awaitable<bool> Session::writeCaller<2>(std::array<asio::const_buffer, 2>);
template Awaitable<bool> Session::writeCaller<4>(std::array<asio::const_buffer, 4>);

Awaitable<void> Session::respondError(ErrorKind kind, std::string detail)
{
    m_server.m_hooks.refused(kind);
    LocalResponse response = problemResponse(kind, detail);
    // Tells the forwarding daemon that another attempt is safe.
    if (m_fromPeer && answerFor(kind).m_runState == RunState::NotRun)
        response.m_headers.emplace_back(refusalField, peerRefusal);
    co_await respond(std::move(response));
}

Awaitable<void> Session::respond(LocalResponse response)
{
    m_requestDeadline = TimePoint::max();
    m_stop = Stop::None;
    const http::status status = http::int_to_status(response.m_status);
    std::string block = "HTTP/1.1 " + std::to_string(response.m_status) + ' ';
    block += toView(status == http::status::unknown ? beast::string_view("Status") : http::obsolete_reason(status));
    block += "\r\n";
    for (const auto& [name, value] : response.m_headers)
        appendField(name, value, block);
    if (m_exchange)
        appendField(requestIdField, m_exchange->m_requestId, block);
    const bool noBody = response.m_status == 204 || response.m_status == 304;
    if (!noBody)
        appendFraming(response.m_body.size(), block);
    if (!keepAlive()) {
        m_close = true;
        appendField("Connection", "close", block);
    }
    block += "\r\n";
    if (!noBody && !(m_request && m_request->is_header_done() && m_request->get().method() == http::verb::head))
        block += response.m_body;
    const std::array<asio::const_buffer, 1> buffers { asio::buffer(block) };
    co_await writeCaller(buffers);
}

Awaitable<void> Session::closeGracefully()
{
    // Unread bytes of a request would make the system reset the connection, and the answer could be lost.
    error_code error;
    if (!m_socket.is_open())
        co_return;
    m_socket.shutdown(asio::socket_base::shutdown_send, error);
    if (!m_request || m_request->is_done())
        co_return;
    std::array<char, 4096> discarded {};
    std::size_t total = 0;
    const TimePoint deadline = steadyNow() + lingerTime;
    m_stop = Stop::None;
    m_requestDeadline = TimePoint::max();
    while (!error && total < lingerBytes && m_stop == Stop::None) {
        begin(Wait::Caller, deadline);
        total += co_await m_socket.async_read_some(asio::buffer(discarded), asio::redirect_error(useAwaitable, error));
        end();
    }
}

} // namespace sapphiredale::forwarding
