// Connection, deadlines, queue and reconnection of a channel.

#include "platform/HttpChannel.h"

#include "model/Rendezvous.h"
#include "platform/AnswerBudget.h"
#include "platform/BootClock.h"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace sapphiredale::platform {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    /// Of the status line, the fields, the chunk extensions and the trailers of an answer together.
    constexpr std::uint32_t maxHeaderBytes = 8 << 10;
    /// Space beyond it for the size lines of chunks and the line ends in the buffer of a connection.
    constexpr std::size_t bufferReserve = 1024;

    /// Smaller answers are not counted, so that large ones of one server cannot make the reports of workers fail.
    constexpr std::size_t uncountedBytes = 32 << 10;

    /// Parses "address:port" or "[address]:port"; null when the text is neither.
    std::unique_ptr<const tcp::endpoint> parseEndpoint(const std::string& text)
    {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string::npos)
            return nullptr;
        std::string host = text.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        std::uint16_t port = 0;
        const char* end = text.data() + text.size();
        const auto [parsed, error] = std::from_chars(text.data() + colon + 1, end, port);
        error_code addressError;
        const auto address = asio::ip::make_address(host, addressError);
        if (addressError || error != std::errc() || parsed != end || port == 0)
            return nullptr;
        return std::make_unique<const tcp::endpoint>(address, port);
    }

} // namespace

bool isEndpoint(const std::string& text) { return parseEndpoint(text) != nullptr; }

/// State of the channel; all members are used by handlers on the executor only.
class HttpChannel::Impl : public std::enable_shared_from_this<HttpChannel::Impl> {
public:
    Impl(const asio::any_io_executor& executor, const HttpSettings& settings, ClientKind kind, ErrorKind unreachable)
        : m_executor(executor)
        , m_settings(settings)
        , m_kind(kind)
        , m_unreachable(unreachable)
        , m_endpoint(parseEndpoint(settings.m_address))
        , m_backoffTimer(m_executor)
    {
    }

    const asio::any_io_executor& executor() const { return m_executor; }

    void enqueue(HttpCall call, TimePoint deadline, AnswerHandler handler)
    {
        auto pending = std::make_shared<Pending>(m_executor, std::move(call), deadline, std::move(handler));
        if (m_closed)
            return complete(pending, Error { ErrorKind::ShuttingDown, "the client is closed" });
        if (m_queue.size() >= m_settings.m_maxQueuedCalls)
            return complete(pending, Error { ErrorKind::Overloaded, "too many calls wait for the connection" });
        pending->m_deadline.expires_after(pending->m_call.m_timeout);
        pending->m_deadline.async_wait([self = shared_from_this(), pending](error_code error) {
            if (!error)
                self->expire(pending);
        });
        m_queue.push_back(pending);
        startNext();
    }

    void close()
    {
        m_closed = true;
        const auto queue = std::move(m_queue);
        m_queue.clear();
        if (const auto active = std::move(m_active))
            complete(active, failure(*active, { ErrorKind::ShuttingDown, "the client was closed" }));
        m_active.reset();
        disconnect();
        m_backoffTimer.cancel();
        for (const auto& pending : queue)
            complete(pending, Error { ErrorKind::ShuttingDown, "the client was closed" });
    }

private:
    struct Pending {
        Pending(const asio::any_io_executor& executor, HttpCall call, TimePoint deadline, AnswerHandler handler)
            : m_call(std::move(call))
            , m_sendBefore(deadline)
            , m_handler(std::move(handler))
            , m_deadline(executor)
        {
        }

        HttpCall m_call;
        const TimePoint m_sendBefore;
        /// Empty once the call has been completed.
        AnswerHandler m_handler;
        asio::steady_timer m_deadline;
        /// True once a byte may have reached the server, also when the call is sent again afterwards.
        bool m_sent = false;
        bool m_retried = false;
    };
    using PendingPointer = std::shared_ptr<Pending>;
    using Parser = http::response_parser<http::string_body>;

    /// One connection with the buffers of its operations. Each operation owns the link that it uses, so that one that
    /// ends late can touch neither a newer connection nor the buffers of another call.
    struct Link {
        explicit Link(const asio::any_io_executor& executor)
            : m_socket(executor)
        {
        }
        ~Link() { AnswerBudget::ofProcess().remove(m_heldBytes); }
        Link(const Link&) = delete;
        Link& operator=(const Link&) = delete;

        /// Counts what the answer takes; false if the answers of the process together take too much.
        bool hold()
        {
            std::size_t bytes = m_parser ? m_input.capacity() + m_parser->get().body().capacity() : 0;
            if (bytes <= uncountedBytes)
                bytes = 0;
            if (bytes > m_heldBytes && !AnswerBudget::ofProcess().add(bytes - m_heldBytes))
                return false;
            if (bytes < m_heldBytes)
                AnswerBudget::ofProcess().remove(m_heldBytes - bytes);
            m_heldBytes = bytes;
            return true;
        }

        tcp::socket m_socket;
        boost::beast::flat_buffer m_input { maxHeaderBytes + bufferReserve };
        std::string m_output;
        std::unique_ptr<Parser> m_parser;
        /// The parser limits neither chunk extensions nor trailers; the buffer must hold each of them whole.
        std::size_t m_extensionBytes = 0;
        std::function<void(std::uint64_t, boost::beast::string_view, error_code&)> m_chunkHeaderHandler
            = [this](std::uint64_t, boost::beast::string_view extensions, error_code& error) {
                  m_extensionBytes += extensions.size();
                  if (m_extensionBytes > maxHeaderBytes)
                      error = http::error::header_limit;
              };
        std::size_t m_heldBytes = 0;
        std::size_t m_receivedBytes = 0;
        /// The present call is not the first one on this connection.
        bool m_reused = false;
    };
    using LinkPointer = std::shared_ptr<Link>;

    static void complete(const PendingPointer& pending, Result<HttpAnswer> result)
    {
        if (!pending->m_handler)
            return;
        const AnswerHandler handler = std::move(pending->m_handler);
        pending->m_handler = nullptr;
        pending->m_deadline.cancel();
        handler(std::move(result));
    }

    /// The error for a call that has not been answered: kind NotRun as given while nothing was sent, else unknown.
    static Error failure(const Pending& pending, Error notSent)
    {
        if (pending.m_sent)
            return { ErrorKind::OutcomeUnknown, std::move(notSent.m_detail) };
        return notSent;
    }

    static Error timedOut(const Pending& pending)
    {
        if (pending.m_sent)
            return { ErrorKind::DeadlineExceededMayHaveRun, "no answer before the deadline" };
        return { ErrorKind::DeadlineExceeded, "not sent before the deadline" };
    }

    /// Whether the server has closed an idle connection, or has sent bytes that belong to no call. A call that may not
    /// be repeated would otherwise fail on a connection to an earlier process of the server.
    static bool isUnusable(tcp::socket& socket)
    {
        char byte = 0;
        error_code error;
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error != asio::error::would_block;
    }

    void startNext()
    {
        if (m_active || m_queue.empty() || m_closed)
            return;
        m_active = m_queue.front();
        m_queue.pop_front();
        startActive();
    }

    void startActive()
    {
        if (!m_endpoint)
            return fail({ ErrorKind::InvalidRequest, "\"" + m_settings.m_address + "\" is not an address and port" });
        if (m_link && isUnusable(m_link->m_socket))
            disconnect();
        if (m_link) {
            m_link->m_reused = true;
            return write();
        }
        if (m_failures == 0 || asio::steady_timer::clock_type::now() >= m_notBefore)
            return connect();
        m_backoffTimer.expires_at(m_notBefore);
        m_backoffTimer.async_wait([self = shared_from_this(), active = m_active](error_code error) {
            if (!error && self->m_active == active)
                self->connect();
        });
    }

    void connect()
    {
        m_link = std::make_shared<Link>(m_executor);
        m_link->m_socket.async_connect(*m_endpoint, [self = shared_from_this(), link = m_link](error_code error) {
            if (self->m_link == link)
                self->connected(error);
        });
    }

    void connected(error_code error)
    {
        if (error) {
            disconnect();
            backOff();
            return fail(failure(
                *m_active, { m_unreachable, "cannot connect to " + m_settings.m_address + ": " + error.message() }));
        }
        error_code ignored;
        m_link->m_socket.set_option(tcp::no_delay(true), ignored);
        // The check for a closed connection must not wait for data.
        m_link->m_socket.non_blocking(true, ignored);
        write();
    }

    void writeRequestText(std::string& text) const
    {
        const HttpCall& call = m_active->m_call;
        constexpr std::size_t lineBytes = 128; // of the lines that are added here
        text.clear();
        text.reserve(lineBytes + call.m_target.size() + call.m_headers.size() + call.m_body.size());
        text.append(call.m_method).append(1, ' ').append(call.m_target);
        text.append(" HTTP/1.1\r\nHost: ").append(m_settings.m_address).append("\r\n");
        if (!m_link->m_reused && !m_settings.m_daemon.empty())
            text += "Sapphire-Daemon: " + m_settings.m_failureDomain.value() + '/' + m_settings.m_daemon.value()
                + "\r\n";
        text.append(call.m_headers);
        if (!call.m_body.empty() || call.m_method == "POST")
            text.append("Content-Length: ").append(std::to_string(call.m_body.size())).append("\r\n");
        text.append("\r\n").append(call.m_body);
    }

    void write()
    {
        // The timer stands still while the host is suspended, and fires late in a busy process.
        if (bootNow() >= m_active->m_sendBefore)
            return fail(timedOut(*m_active));
        writeRequestText(m_link->m_output);
        const bool sentBefore = std::exchange(m_active->m_sent, true);
        asio::async_write(m_link->m_socket, asio::buffer(m_link->m_output),
            [self = shared_from_this(), link = m_link, sentBefore](error_code error, std::size_t bytes) {
                self->account(bytes, 0);
                if (self->m_link == link)
                    self->written(error, sentBefore || bytes > 0);
            });
    }

    /// `sent` is false when no byte has been accepted by a socket: nothing has left this host then.
    void written(error_code error, bool sent)
    {
        if (error) {
            m_active->m_sent = sent;
            return broken("cannot send: " + error.message());
        }
        read();
    }

    void read()
    {
        m_link->m_parser = std::make_unique<Parser>();
        m_link->m_parser->body_limit(m_settings.m_maxResponseBytes);
        m_link->m_parser->header_limit(maxHeaderBytes);
        m_link->m_parser->eager(true);
        m_link->m_parser->on_chunk_header(m_link->m_chunkHeaderHandler);
        m_link->m_extensionBytes = 0;
        m_link->m_receivedBytes = 0;
        readMore();
    }

    void readMore()
    {
        http::async_read_some(m_link->m_socket, m_link->m_input, *m_link->m_parser,
            [self = shared_from_this(), link = m_link](error_code error, std::size_t bytes) {
                self->account(0, bytes);
                if (self->m_link != link)
                    return;
                link->m_receivedBytes += bytes;
                if (error || link->m_parser->is_done())
                    return self->received(error, link->m_receivedBytes);
                if (link->hold())
                    return self->readMore();
                AnswerBudget::ofProcess().countRefused();
                self->disconnect();
                self->fail({ ErrorKind::AnswerTruncated, "the answers under way take too much memory" });
            });
    }

    void received(error_code error, std::size_t bytes)
    {
        const bool isTooLarge = error == http::error::header_limit || error == http::error::body_limit
            || error == http::error::buffer_overflow;
        if (isTooLarge)
            AnswerBudget::ofProcess().countRefused();
        if (error && bytes == 0 && !isTooLarge)
            return broken("the connection closed before the answer: " + error.message());
        if (error) {
            disconnect();
            return fail({ ErrorKind::AnswerTruncated, "the answer is incomplete or malformed: " + error.message() });
        }
        m_failures = 0;
        const bool keepAlive = m_link->m_parser->get().keep_alive();
        auto message = m_link->m_parser->release();
        m_link->m_parser.reset();
        m_link->hold();
        // Bytes beyond the answer belong to no call of this channel.
        if (!keepAlive || m_link->m_input.size() > 0)
            disconnect();
        finish(HttpAnswer { message.result_int(), std::move(message.body()) });
    }

    /// The connection failed before any byte of the answer.
    void broken(const std::string& detail)
    {
        const bool reused = m_link->m_reused;
        disconnect();
        // A kept connection may have been closed by the server while it was idle; this says nothing about the server.
        if (reused && !m_active->m_retried && (m_active->m_call.m_repeatable || !m_active->m_sent)) {
            m_active->m_retried = true;
            return startActive();
        }
        backOff();
        fail(failure(*m_active, { m_unreachable, detail }));
    }

    void fail(Error error) { finish(std::move(error)); }

    void finish(Result<HttpAnswer> result)
    {
        const PendingPointer active = std::move(m_active);
        m_active.reset();
        complete(active, std::move(result));
        startNext();
    }

    void expire(const PendingPointer& pending)
    {
        if (!pending->m_handler)
            return;
        if (pending == m_active) {
            disconnect();
            m_backoffTimer.cancel();
            return fail(timedOut(*pending));
        }
        std::erase(m_queue, pending);
        complete(pending, timedOut(*pending));
    }

    void disconnect()
    {
        if (!m_link)
            return;
        error_code ignored;
        m_link->m_socket.close(ignored);
        m_link.reset();
    }

    void backOff()
    {
        m_failures = std::min(m_failures + 1, 20U);
        Duration wait = m_settings.m_backoffMin;
        for (unsigned i = 1; i < m_failures && wait < m_settings.m_backoffMax; ++i)
            wait *= 2;
        wait = std::min(wait, m_settings.m_backoffMax);
        const std::uint64_t random = stableHash(m_settings.m_address, m_settings.m_seed + ++m_draws);
        wait -= Duration(static_cast<Duration::rep>(random % static_cast<std::uint64_t>(wait.count() / 2 + 1)));
        m_notBefore = asio::steady_timer::clock_type::now() + wait;
    }

    void account(std::size_t sent, std::size_t received) const
    {
        if (m_settings.m_traffic)
            m_settings.m_traffic->transferred(m_kind, sent, received);
    }

    /// Runs one handler at a time.
    const asio::any_io_executor m_executor;
    const HttpSettings m_settings;
    const ClientKind m_kind;
    const ErrorKind m_unreachable;
    /// Null when the address of the settings is not valid.
    const std::unique_ptr<const tcp::endpoint> m_endpoint;
    asio::steady_timer m_backoffTimer;
    /// Null when there is no connection. It is closed with every call that fails, so that a link serves one call at a
    /// time and completions of another link are ignored.
    LinkPointer m_link;
    /// The call that uses the connection.
    PendingPointer m_active;
    std::deque<PendingPointer> m_queue;
    bool m_closed = false;
    unsigned m_failures = 0;
    std::uint64_t m_draws = 0;
    asio::steady_timer::time_point m_notBefore;

    friend class HttpChannel;
};

HttpChannel::HttpChannel(
    asio::io_context& context, const HttpSettings& settings, ClientKind kind, ErrorKind unreachable)
    : HttpChannel(asio::make_strand(context), settings, kind, unreachable)
{
}

HttpChannel::HttpChannel(
    const asio::any_io_executor& executor, const HttpSettings& settings, ClientKind kind, ErrorKind unreachable)
    : m_impl(std::make_shared<Impl>(executor, settings, kind, unreachable))
{
}

HttpChannel::~HttpChannel() { close(); }

void HttpChannel::send(HttpCall call, AnswerHandler handler)
{
    const TimePoint deadline = bootNow() + call.m_timeout;
    asio::post(
        m_impl->executor(), [impl = m_impl, call = std::move(call), deadline, handler = std::move(handler)]() mutable {
            impl->enqueue(std::move(call), deadline, std::move(handler));
        });
}

void HttpChannel::close()
{
    asio::post(m_impl->executor(), [impl = m_impl] { impl->close(); });
}

} // namespace sapphiredale::platform
