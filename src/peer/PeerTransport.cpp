// nng push/pull transport.

#include "peer/PeerTransport.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <chrono>
#include <cstring>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <set>
#include <thread>
#include <vector>

namespace sapphiredale::peer {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    nng_duration toNngDuration(Duration duration)
    {
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        return static_cast<nng_duration>(std::clamp<std::int64_t>(millis, 1, 3600000));
    }

    Error nngError(const char* what, const std::string& address, int code)
    {
        return { ErrorKind::Internal, std::string(what) + " " + address + ": " + nng_strerror(code) };
    }

    struct MessageDeleter {
        void operator()(nng_msg* message) const { nng_msg_free(message); }
    };
    using MessagePointer = std::unique_ptr<nng_msg, MessageDeleter>;

    /// nng 1.5.2 can wait for ever in nng_close when a message arrives at the same moment, measured as one of 5 to 80
    /// closes under continuous traffic and none of 300 after the pause below. So the socket is closed on a thread of
    /// its own, and the caller waits at most this long. A thread that is left behind uses none of our objects.
    constexpr auto maxCloseWait = std::chrono::seconds(2);
    /// Pause between the last receive operation and the close: nng reads one more message of each connection and then
    /// reads no further, so that nothing arrives during the close.
    constexpr auto quietPause = std::chrono::milliseconds(20);

    /// Connections from which no message of a peer has arrived. Each may hold an unfinished message of maxMessageBytes,
    /// so that they hold at most 16 MiB together. A peer sends heartbeats, so that it is known after about a second.
    constexpr std::size_t maxUnknownPipes = 16;
    /// After this time a connection without a message of a peer gives way to a new one, so that silent connections
    /// cannot shut out the peers.
    constexpr auto unknownPipeTime = std::chrono::seconds(5);
    /// Connections of peers; a cell has some 40 daemons with one or two each.
    constexpr std::size_t maxPipes = 256;

    /// The connections of other daemons to this one; nng has no limit on their number.
    class Pipes {
    public:
        static Pipes& create()
        {
            static std::mutex mutex;
            static std::deque<Pipes> all;
            const std::lock_guard lock(mutex);
            return all.emplace_back();
        }

        static void onEvent(nng_pipe pipe, nng_pipe_ev event, void* self)
        {
            Pipes& pipes = *static_cast<Pipes*>(self);
            if (event == NNG_PIPE_EV_REM_POST)
                pipes.removed(pipe);
            else if (event == NNG_PIPE_EV_ADD_PRE)
                pipes.added(pipe);
        }

        /// A message of a peer has arrived.
        void identified(nng_pipe pipe)
        {
            const int id = nng_pipe_id(pipe);
            const std::lock_guard lock(m_mutex);
            if (eraseUnknown(id))
                m_known.insert(id);
        }

        std::uint64_t refused() const
        {
            const std::lock_guard lock(m_mutex);
            return m_refused;
        }

    private:
        struct Unknown {
            nng_pipe m_pipe;
            SteadyClock::time_point m_since;
        };

        void added(nng_pipe pipe)
        {
            nng_pipe closed = pipe;
            {
                const auto now = SteadyClock::now();
                const std::lock_guard lock(m_mutex);
                const bool isFull = m_unknown.size() >= maxUnknownPipes;
                if (m_unknown.size() + m_known.size() < maxPipes
                    && (!isFull || now - m_unknown.front().m_since >= unknownPipeTime)) {
                    m_unknown.push_back({ pipe, now });
                    if (!isFull)
                        return;
                    closed = m_unknown.front().m_pipe;
                    m_unknown.pop_front();
                }
                ++m_refused;
            }
            nng_pipe_close(closed);
        }

        void removed(nng_pipe pipe)
        {
            const int id = nng_pipe_id(pipe);
            const std::lock_guard lock(m_mutex);
            eraseUnknown(id);
            m_known.erase(id);
        }

        bool eraseUnknown(int id)
        {
            return std::erase_if(m_unknown, [id](const Unknown& unknown) { return nng_pipe_id(unknown.m_pipe) == id; })
                > 0;
        }

        mutable std::mutex m_mutex;
        /// In the order of their connections.
        std::deque<Unknown> m_unknown;
        std::set<int> m_known;
        std::uint64_t m_refused = 0;
    };

    void closeSocket(nng_socket socket)
    {
        auto closed = std::make_shared<std::promise<void>>();
        std::future<void> finished = closed->get_future();
        std::thread([socket, closed] {
            nng_close(socket);
            closed->set_value();
        }).detach();
        finished.wait_for(maxCloseWait);
    }

    /// Counters with their lock; the rates are a few messages per second.
    class Statistics {
    public:
        template <typename Change> void update(Change change)
        {
            const std::lock_guard lock(m_mutex);
            change(m_values);
        }
        PeerTransportStatistics values() const
        {
            const std::lock_guard lock(m_mutex);
            return m_values;
        }

    private:
        mutable std::mutex m_mutex;
        PeerTransportStatistics m_values;
    };

    /// A connection to one peer with its queue. The nng objects live until close().
    class Connection {
    public:
        Connection(const PeerAddress& peer, const PeerTransportSettings& settings, Statistics& statistics)
            : m_peer(peer)
            , m_settings(settings)
            , m_statistics(statistics)
        {
        }
        ~Connection() { close(); }
        Connection(const Connection&) = delete;
        Connection& operator=(const Connection&) = delete;

        const PeerAddress& peer() const { return m_peer; }

        Result<Unit> open()
        {
            int code = nng_push0_open(&m_socket);
            if (code == 0) {
                m_isOpen = true;
                nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, toNngDuration(m_settings.m_minReconnectWait));
                nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, toNngDuration(m_settings.m_maxReconnectWait));
                nng_socket_set_bool(m_socket, NNG_OPT_TCP_KEEPALIVE, true);
                code = nng_aio_alloc(&m_aio, &Connection::onSent, this);
            }
            if (code == 0)
                code = nng_dial(m_socket, ("tcp://" + m_peer.m_address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
            if (code != 0)
                return nngError("cannot connect to", m_peer.m_address, code);
            return Unit {};
        }

        /// Number for the next message to the peer.
        std::uint64_t nextSequence()
        {
            const std::lock_guard lock(m_mutex);
            return ++m_sequence;
        }
        void continueSequence(std::uint64_t last) { m_sequence = last; }

        Result<Unit> send(const std::string& bytes, MessageKind kind)
        {
            const std::lock_guard lock(m_mutex);
            if (m_isClosing) {
                m_statistics.update([](auto& values) { ++values.m_droppedClosed; });
                return Error { ErrorKind::ShuttingDown, "the connection is closing" };
            }
            dropExpired();
            nng_msg* message = nullptr;
            const bool fits = m_queue.size() < m_settings.m_maxQueuedMessages
                && m_queuedBytes + bytes.size() <= m_settings.m_maxQueuedBytes;
            if (!fits || nng_msg_alloc(&message, bytes.size()) != 0) {
                m_statistics.update([](auto& values) { ++values.m_droppedQueueFull; });
                return Error { ErrorKind::QueueFull, "the queue to " + m_peer.m_daemon.value() + " is full" };
            }
            std::memcpy(nng_msg_body(message), bytes.data(), bytes.size());
            m_queue.push_back({ MessagePointer(message), kind, bytes.size(),
                SteadyClock::now() + std::chrono::microseconds(m_settings.m_maxQueueTime.count()) });
            m_queuedBytes += bytes.size();
            startNext();
            return Unit {};
        }

        /// Drops the waiting messages and waits for the callback of nng, so that none runs afterwards.
        void close()
        {
            {
                const std::lock_guard lock(m_mutex);
                m_isClosing = true;
                const std::uint64_t dropped = m_queue.size();
                m_queue.clear();
                m_statistics.update([dropped](auto& values) { values.m_droppedClosed += dropped; });
            }
            if (m_aio)
                nng_aio_stop(m_aio);
            if (m_isOpen)
                closeSocket(m_socket);
            if (m_aio)
                nng_aio_free(m_aio);
            m_isOpen = false;
            m_aio = nullptr;
        }

    private:
        struct Queued {
            MessagePointer m_message;
            MessageKind m_kind;
            std::size_t m_size;
            SteadyClock::time_point m_deadline;
        };

        static void onSent(void* self) { static_cast<Connection*>(self)->sent(); }

        void sent()
        {
            const std::lock_guard lock(m_mutex);
            const int code = nng_aio_result(m_aio);
            // nng owns the message only after a success.
            if (code != 0)
                nng_msg_free(nng_aio_get_msg(m_aio));
            m_statistics.update([&](PeerTransportStatistics& values) {
                const auto kind = static_cast<std::size_t>(m_inFlightKind);
                values.m_messagesSent[kind] += code == 0;
                values.m_bytesSent[kind] += code == 0 ? m_inFlightBytes : 0;
                values.m_droppedExpired += code == NNG_ETIMEDOUT;
                values.m_droppedClosed += code != 0 && code != NNG_ETIMEDOUT;
            });
            m_queuedBytes -= m_inFlightBytes;
            m_isSending = false;
            startNext();
        }

        void dropExpired()
        {
            const auto now = SteadyClock::now();
            while (!m_queue.empty() && m_queue.front().m_deadline <= now) {
                m_queuedBytes -= m_queue.front().m_size;
                m_queue.pop_front();
                m_statistics.update([](auto& values) { ++values.m_droppedExpired; });
            }
        }

        void startNext()
        {
            if (m_isSending || m_isClosing)
                return;
            dropExpired();
            if (m_queue.empty())
                return;
            Queued next = std::move(m_queue.front());
            m_queue.pop_front();
            m_isSending = true;
            m_inFlightKind = next.m_kind;
            m_inFlightBytes = next.m_size;
            const auto remaining
                = std::chrono::duration_cast<std::chrono::milliseconds>(next.m_deadline - SteadyClock::now()).count();
            nng_aio_set_timeout(m_aio, static_cast<nng_duration>(std::max<std::int64_t>(remaining, 1)));
            nng_aio_set_msg(m_aio, next.m_message.release());
            nng_send_aio(m_socket, m_aio);
        }

        const PeerAddress m_peer;
        const PeerTransportSettings& m_settings;
        Statistics& m_statistics;

        nng_socket m_socket = NNG_SOCKET_INITIALIZER;
        nng_aio* m_aio = nullptr;
        bool m_isOpen = false;

        /// Guards everything below.
        std::mutex m_mutex;
        std::deque<Queued> m_queue;
        /// Bytes of the queue and of the message in flight.
        std::uint64_t m_queuedBytes = 0;
        std::uint64_t m_sequence = 0;
        /// At most one message is handed to nng at a time; nng has no bound by bytes of its own.
        bool m_isSending = false;
        bool m_isClosing = false;
        MessageKind m_inFlightKind = MessageKind::Heartbeat;
        std::size_t m_inFlightBytes = 0;
    };

} // namespace

class PeerTransport::Impl {
public:
    Impl(const PeerTransportSettings& settings, Receiver receiver)
        : m_settings(settings)
        , m_receiver(std::move(receiver))
    {
    }
    ~Impl() { close(); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    Result<Unit> listen()
    {
        const std::string& address = m_settings.m_listenAddress;
        const std::size_t colon = address.rfind(':');
        if (colon == std::string::npos)
            return Error { ErrorKind::Internal, "the peer listener needs address:port, not " + address };
        int code = nng_pull0_open(&m_socket);
        if (code != 0)
            return nngError("cannot open a socket for", address, code);
        m_isOpen = true;
        for (const nng_pipe_ev event : { NNG_PIPE_EV_ADD_PRE, NNG_PIPE_EV_REM_POST })
            nng_pipe_notify(m_socket, event, &Pipes::onEvent, m_pipes);
        nng_listener listener = NNG_LISTENER_INITIALIZER;
        // nng closes a connection that announces a longer message, before it allocates memory for it.
        code = nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, maxMessageBytes);
        if (code == 0)
            code = nng_aio_alloc(&m_receiveAio, nullptr, nullptr);
        if (code == 0)
            code = nng_listen(m_socket, ("tcp://" + address).c_str(), &listener, 0);
        int port = 0;
        if (code == 0)
            code = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
        if (code != 0)
            return nngError("cannot listen on", address, code);
        m_listenAddress = address.substr(0, colon + 1) + std::to_string(port);
        m_thread = std::thread([this] { receiveLoop(); });
        return Unit {};
    }

    const std::string& listenAddress() const { return m_listenAddress; }
    PeerTransportStatistics statistics() const
    {
        PeerTransportStatistics values = m_statistics.values();
        values.m_refusedConnections = m_pipes->refused();
        return values;
    }

    Result<Unit> addPeer(const PeerAddress& peer) { return connect(peer, false); }

    void reconnect(const DaemonId& daemon)
    {
        if (const std::shared_ptr<Connection> found = find(daemon))
            connect(found->peer(), true);
    }

    void removePeer(const DaemonId& daemon)
    {
        std::shared_ptr<Connection> removed;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_connections.find(daemon);
            if (found == m_connections.end())
                return;
            removed = std::move(found->second);
            m_connections.erase(found);
        }
        removed->close();
    }

    std::vector<PeerAddress> peers() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<PeerAddress> result;
        result.reserve(m_connections.size());
        for (const auto& [daemon, connection] : m_connections)
            result.push_back(connection->peer());
        return result;
    }

    Result<Unit> send(
        const DaemonId& receiver, Payload payload, std::uint64_t correlation, std::uint64_t replyToIncarnation)
    {
        const std::shared_ptr<Connection> connection = find(receiver);
        if (!connection) {
            m_statistics.update([](auto& values) { ++values.m_droppedUnknownPeer; });
            return Error { ErrorKind::DomainUnreachable, receiver.value() + " is not a peer" };
        }
        const Envelope envelope { m_settings.m_daemon, m_settings.m_incarnation, connection->nextSequence(),
            correlation, replyToIncarnation, std::move(payload) };
        const Result<std::string> bytes = MessageCodec::encode(envelope);
        if (!succeeded(bytes)) {
            m_statistics.update([](auto& values) { ++values.m_droppedTooLarge; });
            return errorOf(bytes);
        }
        return connection->send(valueOf(bytes), kindOf(envelope));
    }

    void close()
    {
        std::map<DaemonId, std::shared_ptr<Connection>> connections;
        bool wasOpen = false;
        {
            const std::lock_guard lock(m_mutex);
            wasOpen = std::exchange(m_isOpen, false);
            connections.swap(m_connections);
            m_isClosed = true;
        }
        {
            const std::lock_guard lock(m_receiveMutex);
            m_isStopping = true;
        }
        if (m_receiveAio)
            nng_aio_stop(m_receiveAio);
        if (m_thread.joinable())
            m_thread.join();
        for (const auto& [daemon, connection] : connections)
            connection->close();
        if (wasOpen) {
            std::this_thread::sleep_for(quietPause);
            closeSocket(m_socket);
        }
        if (m_receiveAio)
            nng_aio_free(std::exchange(m_receiveAio, nullptr));
    }

private:
    Result<Unit> connect(const PeerAddress& peer, bool anew)
    {
        auto added = std::make_shared<Connection>(peer, m_settings, m_statistics);
        std::shared_ptr<Connection> replaced;
        {
            const std::lock_guard lock(m_mutex);
            if (m_isClosed)
                return Error { ErrorKind::ShuttingDown, "the transport is closed" };
            const auto found = m_connections.find(peer.m_daemon);
            if (found != m_connections.end() && !anew && found->second->peer() == peer)
                return Unit {};
            if (Result<Unit> opened = added->open(); !succeeded(opened))
                return opened;
            if (found != m_connections.end()) {
                replaced = found->second;
                added->continueSequence(replaced->nextSequence());
            }
            m_connections[peer.m_daemon] = std::move(added);
        }
        if (replaced)
            replaced->close();
        return Unit {};
    }

    std::shared_ptr<Connection> find(const DaemonId& daemon) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_connections.find(daemon);
        return found == m_connections.end() ? nullptr : found->second;
    }

    void receiveLoop()
    {
        for (;;) {
            {
                const std::lock_guard lock(m_receiveMutex);
                if (m_isStopping)
                    return;
                nng_recv_aio(m_socket, m_receiveAio);
            }
            nng_aio_wait(m_receiveAio);
            const int code = nng_aio_result(m_receiveAio);
            const MessagePointer message(code == 0 ? nng_aio_get_msg(m_receiveAio) : nullptr);
            if (m_isStopping)
                return;
            if (code != 0) {
                // Only a lack of memory is left; a pause lets other threads release some.
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
                continue;
            }
            if (take({ static_cast<const std::byte*>(nng_msg_body(message.get())), nng_msg_len(message.get()) }))
                m_pipes->identified(nng_msg_get_pipe(message.get()));
        }
    }

    /// Whether the message came from a peer.
    bool take(std::span<const std::byte> bytes)
    {
        std::variant<Envelope, DecodeError> decoded = MessageCodec::decode(bytes);
        if (const auto* error = std::get_if<DecodeError>(&decoded)) {
            m_statistics.update([&](PeerTransportStatistics& values) {
                ++values.m_refused[static_cast<std::size_t>(*error)];
                values.m_bytesRefused += bytes.size();
            });
            return false;
        }
        Envelope& envelope = *std::get_if<Envelope>(&decoded);
        const MessageKind kind = kindOf(envelope);
        const bool introduces = m_settings.m_acceptIntroductions && kind == MessageKind::Heartbeat;
        if (!introduces && !find(envelope.m_sender)) {
            m_statistics.update([&](PeerTransportStatistics& values) {
                ++values.m_unknownSender;
                values.m_bytesRefused += bytes.size();
            });
            return false;
        }
        m_statistics.update([&](PeerTransportStatistics& values) {
            ++values.m_messagesReceived[static_cast<std::size_t>(kind)];
            values.m_bytesReceived[static_cast<std::size_t>(kind)] += bytes.size();
        });
        m_receiver(std::move(envelope));
        return true;
    }

    const PeerTransportSettings m_settings;
    const Receiver m_receiver;
    std::string m_listenAddress;
    Statistics m_statistics;
    /// Lives as long as the process: a socket whose close did not end in time still calls it.
    Pipes* const m_pipes = &Pipes::create();
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    /// Used by the receive thread; stopped by close().
    nng_aio* m_receiveAio = nullptr;
    std::mutex m_receiveMutex;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;

    /// Guards everything below.
    mutable std::mutex m_mutex;
    std::map<DaemonId, std::shared_ptr<Connection>> m_connections;
    bool m_isOpen = false;
    bool m_isClosed = false;
};

Result<std::unique_ptr<PeerTransport>> PeerTransport::open(const PeerTransportSettings& settings, Receiver receiver)
{
    auto impl = std::make_unique<Impl>(settings, std::move(receiver));
    const Result<Unit> listening = impl->listen();
    if (!succeeded(listening))
        return errorOf(listening);
    return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(impl)));
}

PeerTransport::PeerTransport(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

PeerTransport::~PeerTransport() = default;

const std::string& PeerTransport::listenAddress() const { return m_impl->listenAddress(); }
Result<Unit> PeerTransport::addPeer(const PeerAddress& peer) { return m_impl->addPeer(peer); }
void PeerTransport::removePeer(const DaemonId& daemon) { m_impl->removePeer(daemon); }
void PeerTransport::reconnect(const DaemonId& daemon) { m_impl->reconnect(daemon); }
std::vector<PeerAddress> PeerTransport::peers() const { return m_impl->peers(); }

Result<Unit> PeerTransport::send(
    const DaemonId& receiver, Payload payload, std::uint64_t correlation, std::uint64_t replyToIncarnation)
{
    return m_impl->send(receiver, std::move(payload), correlation, replyToIncarnation);
}

Result<Unit> PeerTransport::reply(const Envelope& call, Payload payload)
{
    return m_impl->send(call.m_sender, std::move(payload), call.m_correlation, call.m_senderIncarnation);
}

PeerTransportStatistics PeerTransport::statistics() const { return m_impl->statistics(); }
void PeerTransport::close() { m_impl->close(); }

} // namespace sapphiredale::peer
