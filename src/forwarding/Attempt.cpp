// One attempt at a minion or a peer daemon: connection, request, answer, and what remains of it when it is given up.

#include "forwarding/Session.h"

#include "routing/ClaimTable.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace sapphiredale::forwarding {

namespace {

    constexpr std::string_view chunkEnd = "\r\n";
    constexpr std::string_view lastChunk = "0\r\n\r\n";

    /// Size line of a chunk.
    std::string chunkStart(std::size_t size)
    {
        std::array<char, 16> digits {};
        const auto last = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
        return std::string(digits.data(), last) + "\r\n";
    }

    /// A connection whose request was given up, with what is needed to notice its end.
    struct LeftBehind {
        UpstreamPointer m_connection;
        std::unique_ptr<ResponseParser> m_answer;
        std::shared_ptr<ServiceRouting> m_routing;
        routing::SlotSerial m_slot = 0;
        bool m_untilClosed = false;
    };

    /// Reads and discards until the answer is complete or the connection ends, then frees the slot. There is no time
    /// limit: the minion's slot is in use until then, however long it takes.
    Awaitable<void> awaitEnd(std::shared_ptr<LeftBehind> left)
    {
        error_code error;
        Socket& socket = left->m_connection->m_socket;
        beast::flat_buffer& buffer = left->m_connection->m_buffer;
        // Tells the minion that nobody waits for the answer any more.
        socket.shutdown(asio::socket_base::shutdown_send, error);
        error = {};
        std::array<char, 4096> discarded {};
        if (left->m_untilClosed) {
            while (!error)
                co_await socket.async_read_some(asio::buffer(discarded), asio::redirect_error(useAwaitable, error));
        } else {
            if (!left->m_answer)
                left->m_answer = std::make_unique<ResponseParser>();
            ResponseParser& parser = *left->m_answer;
            parser.body_limit(boost::none);
            if (!parser.is_header_done())
                co_await readHeader<false>(socket, buffer, parser, error);
            while (!error && !parser.is_done())
                co_await readBody<false>(socket, buffer, parser, discarded.data(), discarded.size(), true, error);
        }
        left->m_connection.reset();
        left->m_routing->slotEnded(left->m_slot);
    }

} // namespace

Session::AttemptResult Session::failure(routing::AttemptFailure kind) { return { AttemptEnd::Failed, kind }; }

Awaitable<Session::AttemptResult> Session::attempt(Target target)
{
    m_answer.reset();
    m_upstream = m_server.m_pool.take(target.m_address, target.m_connections, m_loop);
    if (!m_upstream)
        co_return failure(routing::AttemptFailure::NothingSent);
    const AttemptResult result = co_await exchange(target);
    if (result.m_end == AttemptEnd::Failed && m_stop == Stop::UpstreamTimeout)
        m_stop = Stop::None;
    // Every path that keeps the connection has moved it away by now.
    m_upstream.reset();
    co_return result;
}

Awaitable<Session::AttemptResult> Session::exchange(const Target& target)
{
    if (!m_upstream->m_connected && !co_await connect()) {
        if (m_stop == Stop::None || m_stop == Stop::UpstreamTimeout)
            co_return failure(routing::AttemptFailure::ConnectFailed);
        m_upstream.reset();
        m_exchange->m_routing->abandoned(m_exchange->m_ticket);
        m_exchange->m_routing->slotEnded(target.m_slot);
        co_return AttemptResult { AttemptEnd::Stopped, {} };
    }
    std::optional<AttemptResult> result = co_await sendRequest(target);
    if (!result && !m_exchange->m_bodyRead)
        result = co_await sendRestOfBody();
    if (!result)
        result = co_await readAnswerHeader(target);
    if (!result)
        result = co_await relayAnswer(target);
    if (result->m_end == AttemptEnd::Stopped) {
        m_exchange->m_mayHaveRun = true;
        m_exchange->m_routing->abandoned(m_exchange->m_ticket);
        leaveBehind(target, false);
    } else if (result->m_end == AttemptEnd::Failed && result->m_failure == routing::AttemptFailure::CrossedAnswer) {
        m_server.m_crossedAnswers.fetch_add(1, std::memory_order_relaxed);
        leaveBehind(target, true);
    }
    co_return *result;
}

Awaitable<bool> Session::connect()
{
    m_server.m_upstreamConnects.fetch_add(1, std::memory_order_relaxed);
    const std::optional<asio::ip::tcp::endpoint> endpoint = parseEndpoint(m_upstream->address());
    if (!endpoint)
        co_return false;
    error_code error;
    begin(Wait::Upstream, steadyNow() + m_server.m_settings.m_connectTimeout);
    co_await m_upstream->m_socket.async_connect(*endpoint, asio::redirect_error(useAwaitable, error));
    if (!end() || error)
        co_return false;
    m_upstream->m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    m_upstream->m_connected = true;
    co_return true;
}

std::string Session::requestHeader(const Target& target) const
{
    const auto& message = m_request->get();
    std::string block;
    block.reserve(512);
    block += toView(message.method_string());
    block += ' ';
    block += target.isPeer() ? toView(message.target()) : std::string_view(m_exchange->m_path);
    block += " HTTP/1.1\r\n";
    appendEndToEndFields(message, block);
    appendField(requestIdField, m_exchange->m_requestId, block);
    appendField(deadlineField, m_exchange->m_deadlineText, block);
    if (target.isPeer())
        appendField(hopField, "1", block);
    else
        appendField(epochField, std::to_string(target.m_epoch), block);
    if (m_exchange->m_bodyRead) {
        if (!m_exchange->m_first.empty() || message.has_content_length())
            appendFraming(m_exchange->m_first.size(), block);
    } else {
        appendFraming(contentLength(*m_request), block);
    }
    block += "\r\n";
    return block;
}

Awaitable<std::optional<Session::AttemptResult>> Session::sendRequest(const Target& target)
{
    std::string block = requestHeader(target);
    const std::vector<char>& first = m_exchange->m_first;
    const bool chunked = !m_exchange->m_bodyRead && !m_request->content_length();
    if (chunked)
        block += chunkStart(first.size());
    const std::array<asio::const_buffer, 3> buffers { asio::buffer(block), asio::buffer(first),
        chunked ? asio::buffer(chunkEnd) : asio::const_buffer() };
    error_code error;
    begin(Wait::Upstream, steadyNow() + m_server.m_settings.m_stallTimeout);
    const std::size_t sent
        = co_await asio::async_write(m_upstream->m_socket, buffers, asio::redirect_error(useAwaitable, error));
    if (!end())
        co_return AttemptResult { AttemptEnd::Stopped, {} };
    if (error && sent == 0)
        co_return failure(routing::AttemptFailure::NothingSent);
    // After a partial write the minion may have answered already, for example with a refusal.
    co_return std::nullopt;
}

Awaitable<std::optional<Session::AttemptResult>> Session::sendRestOfBody()
{
    const bool chunked = !m_request->content_length();
    std::vector<char> chunk(m_server.m_settings.m_bufferSize);
    holdAlways(chunk.size());
    error_code error;
    while (!m_request->is_done()) {
        // An early answer, usually a refusal, makes the rest of the body pointless.
        if (!m_upstream->isQuiet())
            co_return std::nullopt;
        m_exchange->m_replayable = false;
        begin(Wait::Caller, steadyNow() + m_server.m_settings.m_stallTimeout);
        const std::size_t size
            = co_await readBody<true>(m_socket, m_buffer, *m_request, chunk.data(), chunk.size(), false, error);
        if (!end())
            co_return AttemptResult { AttemptEnd::Stopped, {} };
        if (error) {
            m_stop = Stop::CallerGone;
            co_return AttemptResult { AttemptEnd::Stopped, {} };
        }
        const std::string start = chunked && size > 0 ? chunkStart(size) : std::string();
        const std::array<asio::const_buffer, 4> buffers { asio::buffer(start), asio::buffer(chunk.data(), size),
            chunked && size > 0 ? asio::buffer(chunkEnd) : asio::const_buffer(),
            chunked && m_request->is_done() ? asio::buffer(lastChunk) : asio::const_buffer() };
        begin(Wait::Upstream, steadyNow() + m_server.m_settings.m_stallTimeout);
        co_await asio::async_write(m_upstream->m_socket, buffers, asio::redirect_error(useAwaitable, error));
        if (!end())
            co_return AttemptResult { AttemptEnd::Stopped, {} };
        if (error)
            co_return std::nullopt;
    }
    co_return std::nullopt;
}

std::optional<routing::AttemptFailure> Session::refusalOf(const Target& target) const
{
    const auto& message = m_answer->get();
    const std::string_view refusal = fieldOf(message, refusalField);
    if (refusal.empty())
        return std::nullopt;
    if (target.isPeer())
        return refusal == peerRefusal ? std::optional(routing::AttemptFailure::RefusedByPeer) : std::nullopt;
    if (message.result_int() != 409 && message.result_int() != 503)
        return std::nullopt;
    if (refusal == "stale-epoch")
        return routing::AttemptFailure::RefusedStaleEpoch;
    if (refusal == "busy")
        return routing::AttemptFailure::RefusedBusy;
    if (refusal == "leaving")
        return routing::AttemptFailure::RefusedLeaving;
    return std::nullopt;
}

Awaitable<std::optional<Session::AttemptResult>> Session::readAnswerHeader(const Target& target)
{
    for (;;) {
        m_answer = std::make_unique<ResponseParser>();
        m_answer->setHeaderLimit(m_server.m_settings.m_maxHeader);
        m_answer->body_limit(boost::none);
        if (m_request->get().method() == http::verb::head)
            m_answer->skip(true);
        error_code error;
        begin(Wait::Upstream, TimePoint::max());
        co_await readHeader<false>(m_upstream->m_socket, m_upstream->m_buffer, *m_answer, error);
        if (!end())
            co_return AttemptResult { AttemptEnd::Stopped, {} };
        if (error) {
            const bool nothing = m_upstream->m_buffer.size() == 0;
            co_return failure(nothing ? routing::AttemptFailure::ClosedAfterSend : routing::AttemptFailure::Truncated);
        }
        // Interim answers (1xx) are between this daemon and the minion.
        if (m_answer->get().result_int() >= 200)
            break;
    }
    if (fieldOf(m_answer->get(), requestIdField) != m_exchange->m_requestId)
        co_return failure(routing::AttemptFailure::CrossedAnswer);
    if (const std::optional<routing::AttemptFailure> refused = refusalOf(target)) {
        std::array<char, 1024> discarded {};
        error_code error;
        if (m_upstream->m_buffer.size() > 0)
            co_await readBody<false>(m_upstream->m_socket, m_upstream->m_buffer, *m_answer, discarded.data(),
                discarded.size(), false, error);
        if (!error && m_answer->is_done() && m_answer->keep_alive() && m_request->is_done())
            m_server.m_pool.give(std::move(m_upstream), m_loop);
        co_return failure(*refused);
    }
    // A body that lasts until the connection closes cannot be told from one that was cut short.
    if (m_answer->need_eof())
        co_return failure(routing::AttemptFailure::Truncated);
    m_requestDeadline = TimePoint::max();
    co_return std::nullopt;
}

std::string Session::answerHeader(std::optional<std::uint64_t> length) const
{
    const auto& message = m_answer->get();
    std::string block;
    block.reserve(512);
    block += m_request->get().version() == 10 ? "HTTP/1.0 " : "HTTP/1.1 ";
    block += std::to_string(message.result_int());
    block += ' ';
    block += toView(message.reason());
    block += "\r\n";
    appendEndToEndFields(message, block);
    appendField(requestIdField, m_exchange->m_requestId, block);
    const unsigned status = message.result_int();
    if (m_request->get().method() == http::verb::head) {
        if (message.has_content_length())
            appendField("Content-Length", toView(message[http::field::content_length]), block);
    } else if (status != 204 && status != 304) {
        if (length || m_request->get().version() != 10)
            appendFraming(length, block);
    }
    if (!keepAlive())
        appendField("Connection", "close", block);
    else if (m_request->get().version() == 10)
        appendField("Connection", "keep-alive", block);
    block += "\r\n";
    return block;
}

void Session::answerReceived(const Target& target)
{
    // The connection comes first: the request that gets the slot next needs it.
    if (m_answer->keep_alive() && m_request->is_done())
        m_server.m_pool.give(std::move(m_upstream), m_loop);
    m_upstream.reset();
    const unsigned status = m_answer->get().result_int();
    m_exchange->m_routing->completed(m_exchange->m_ticket, status >= 500 && !target.isPeer());
}

Awaitable<Session::AttemptResult> Session::relayAnswer(const Target& target)
{
    const std::optional<std::uint64_t> length
        = m_answer->content_length() ? std::optional<std::uint64_t>(*m_answer->content_length()) : std::nullopt;
    const std::size_t bufferSize = m_server.m_settings.m_bufferSize;
    // A body of known length that fits the buffer is received completely first: if it is cut short, the caller gets an
    // error and not a part of an answer.
    const bool fill = length && *length <= bufferSize;
    std::vector<char> buffer;
    std::size_t size = 0;
    error_code error;
    if (!m_answer->is_done()) {
        buffer.resize(fill ? *length : bufferSize);
        holdAlways(buffer.size());
        if (fill || m_upstream->m_buffer.size() > 0) {
            begin(Wait::Upstream, steadyNow() + m_server.m_settings.m_stallTimeout);
            size = co_await readBody<false>(
                m_upstream->m_socket, m_upstream->m_buffer, *m_answer, buffer.data(), buffer.size(), fill, error);
            if (!end())
                co_return AttemptResult { AttemptEnd::Stopped, {} };
            if (error) {
                m_server.m_truncatedAnswers.fetch_add(1, std::memory_order_relaxed);
                co_return failure(routing::AttemptFailure::Truncated);
            }
        }
    }
    const bool done = m_answer->is_done();
    const unsigned status = m_answer->get().result_int();
    const bool isHead = m_request->get().method() == http::verb::head;
    const bool whole = done && !isHead;
    std::string block = answerHeader(whole ? std::optional<std::uint64_t>(size) : length);
    const bool chunked = !whole && !isHead && !length && m_request->get().version() != 10;
    if (m_request->get().version() == 10 && !whole && !length)
        m_close = true;
    if (m_exchange->m_claim) {
        m_exchange->m_claim->m_contentType = std::string(toView(m_answer->get()[http::field::content_type]));
        m_exchange->m_claim->m_body.assign(buffer.data(), size);
    }
    if (chunked && size > 0)
        block += chunkStart(size);
    const std::array<asio::const_buffer, 4> buffers { asio::buffer(block), asio::buffer(buffer.data(), size),
        chunked && size > 0 ? asio::buffer(chunkEnd) : asio::const_buffer(), asio::const_buffer() };
    m_close = m_close || !keepAlive();
    if (done) {
        answerReceived(target);
        recordOutcome(status, true);
    }
    m_exchange->m_headerSent = true;
    const bool written = co_await writeCaller(buffers);
    if (!done) {
        if (!written) {
            m_stop = Stop::CallerGone;
            co_return AttemptResult { AttemptEnd::Stopped, {} };
        }
        if (!co_await relayRest(buffer, chunked)) {
            if (m_stop != Stop::None)
                co_return AttemptResult { AttemptEnd::Stopped, {} };
            m_server.m_truncatedAnswers.fetch_add(1, std::memory_order_relaxed);
            m_exchange->m_routing->failed(
                m_exchange->m_ticket, routing::AttemptFailure::Truncated, false, dispatchHandler());
            co_return AttemptResult { AttemptEnd::Cut, routing::AttemptFailure::Truncated };
        }
        answerReceived(target);
        recordOutcome(status, true);
        if (chunked) {
            const std::array<asio::const_buffer, 1> last { asio::buffer(lastChunk) };
            co_await writeCaller(last);
        }
    }
    m_server.m_hooks.answered(status, steadyNow() - m_exchange->m_started);
    co_return AttemptResult { AttemptEnd::Answered, {} };
}

Awaitable<bool> Session::relayRest(std::vector<char>& buffer, bool chunked)
{
    error_code error;
    while (!m_answer->is_done()) {
        begin(Wait::Upstream, steadyNow() + m_server.m_settings.m_stallTimeout);
        const std::size_t size = co_await readBody<false>(
            m_upstream->m_socket, m_upstream->m_buffer, *m_answer, buffer.data(), buffer.size(), false, error);
        if (!end() || error)
            co_return false;
        if (size == 0)
            continue;
        if (m_exchange->m_claim) {
            ClaimOutcome& outcome = *m_exchange->m_claim;
            outcome.m_complete = outcome.m_complete && outcome.m_body.size() + size <= routing::maxOutcomeBody;
            if (outcome.m_complete)
                outcome.m_body.append(buffer.data(), size);
        }
        const std::string start = chunked ? chunkStart(size) : std::string();
        const std::array<asio::const_buffer, 4> buffers { asio::buffer(start), asio::buffer(buffer.data(), size),
            chunked ? asio::buffer(chunkEnd) : asio::const_buffer(), asio::const_buffer() };
        if (!co_await writeCaller(buffers)) {
            m_stop = m_stop == Stop::None ? Stop::CallerGone : m_stop;
            co_return false;
        }
    }
    co_return true;
}

void Session::leaveBehind(const Target& target, bool untilClosed)
{
    if (target.isPeer() || !m_upstream)
        return;
    auto left = std::make_shared<LeftBehind>();
    left->m_connection = std::move(m_upstream);
    left->m_answer = std::move(m_answer);
    left->m_routing = m_exchange->m_routing;
    left->m_slot = target.m_slot;
    left->m_untilClosed = untilClosed;
    asio::co_spawn(m_loop.context().get_executor(), awaitEnd(std::move(left)), asio::detached);
}

} // namespace sapphiredale::forwarding
