// Listeners, threads and the end of the data path.

#include "forwarding/RequestServer.h"

#include "forwarding/Session.h"

#include <algorithm>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <random>

namespace sapphiredale::forwarding {

using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;

class RequestServer::Implementation {
public:
    Implementation(const RequestServerSettings& settings, RequestHooks& hooks)
        : m_context(settings, hooks, identifierPrefix(settings))
    {
        for (std::size_t i = 0; i < settings.m_threads; ++i)
            m_loops.push_back(std::make_unique<EventLoop>(i));
    }

    ~Implementation()
    {
        stop();
        // Destroys the sessions before the state that they share: first what a loop still holds, then the pool.
        for (const std::unique_ptr<EventLoop>& loop : m_loops)
            m_context.m_pool.clear(*loop);
        m_listeners.clear();
        m_loops.clear();
    }

    Result<Unit> start()
    {
        for (const bool fromPeer : { false, true }) {
            const std::string& address
                = fromPeer ? m_context.m_settings.m_peerAddress : m_context.m_settings.m_callerAddress;
            if (address.empty())
                continue;
            if (std::optional<Error> error = listen(address, fromPeer))
                return *std::move(error);
        }
        for (const std::unique_ptr<EventLoop>& loop : m_loops) {
            m_trimmers.push_back(std::make_unique<Trimmer>(m_context, *loop));
            loop->add(*m_trimmers.back());
        }
        for (const std::unique_ptr<Listener>& listener : m_listeners)
            accept(*listener);
        for (const std::unique_ptr<EventLoop>& loop : m_loops)
            loop->start();
        m_running = true;
        return Unit {};
    }

    bool drain(Duration limit)
    {
        m_context.m_draining = true;
        asio::post(m_loops.front()->context(), [this] { closeListeners(); });
        const TimePoint deadline = steadyNow() + limit;
        while (m_context.m_openConnections.load() > 0) {
            if (steadyNow() >= deadline)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    }

    void stop()
    {
        if (!m_running)
            return;
        m_running = false;
        for (const std::unique_ptr<EventLoop>& loop : m_loops)
            loop->stop();
    }

    std::uint16_t port(bool fromPeer) const
    {
        for (const std::unique_ptr<Listener>& listener : m_listeners) {
            if (listener->m_fromPeer == fromPeer)
                return listener->m_port;
        }
        return 0;
    }

    const ServerContext& context() const { return m_context; }

private:
    struct Listener {
        explicit Listener(asio::io_context& context)
            : m_acceptor(context)
            , m_pause(context)
        {
        }

        Acceptor m_acceptor;
        Timer m_pause;
        bool m_fromPeer = false;
        std::uint16_t m_port = 0;
        /// Loop of the next connection.
        std::size_t m_nextLoop = 0;
    };

    /// Looks through the idle connections of one loop about once a second; on the first loop also calls the hooks.
    class Trimmer final : public Swept {
    public:
        Trimmer(ServerContext& context, EventLoop& loop)
            : m_context(context)
            , m_loop(loop)
        {
        }

        void sweep(TimePoint now) override
        {
            if (m_loop.index() == 0)
                m_context.m_hooks.tick();
            if (now < m_next)
                return;
            m_next = now + std::chrono::seconds(1);
            m_context.m_pool.trim(m_loop, now);
        }

    private:
        ServerContext& m_context;
        EventLoop& m_loop;
        TimePoint m_next;
    };

    static std::string identifierPrefix(const RequestServerSettings& settings)
    {
        // Two runs of a daemon must not use the same identifiers: a minion could still answer a request of the former.
        std::random_device device;
        constexpr std::string_view digits = "0123456789abcdefghijklmnopqrstuvwxyz";
        std::string prefix = settings.m_daemon.value() + '-';
        for (int i = 0; i < 8; ++i)
            prefix += digits[device() % digits.size()];
        return prefix + '-';
    }

    std::optional<Error> listen(const std::string& address, bool fromPeer)
    {
        const std::optional<asio::ip::tcp::endpoint> endpoint = parseEndpoint(address);
        if (!endpoint)
            return Error { ErrorKind::Internal, "not an address with a port: " + address };
        auto listener = std::make_unique<Listener>(m_loops.front()->context());
        listener->m_fromPeer = fromPeer;
        error_code error;
        listener->m_acceptor.open(endpoint->protocol(), error);
        if (!error)
            listener->m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            listener->m_acceptor.bind(*endpoint, error);
        if (!error)
            listener->m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return Error { ErrorKind::Internal, "cannot listen on " + address + ": " + error.message() };
        listener->m_port = listener->m_acceptor.local_endpoint(error).port();
        m_listeners.push_back(std::move(listener));
        return std::nullopt;
    }

    void accept(Listener& listener)
    {
        EventLoop& loop = *m_loops[listener.m_nextLoop++ % m_loops.size()];
        listener.m_acceptor.async_accept(
            loop.context(), [this, &listener, &loop](const error_code& error, Socket socket) {
                if (error == asio::error::operation_aborted || !listener.m_acceptor.is_open())
                    return;
                if (error) {
                    // Usually out of descriptors: a pause lets connections end, where an immediate retry would spin.
                    listener.m_pause.expires_after(std::chrono::milliseconds(50));
                    listener.m_pause.async_wait([this, &listener](const error_code& stopped) {
                        if (!stopped && listener.m_acceptor.is_open())
                            accept(listener);
                    });
                    return;
                }
                if (m_context.m_openConnections.load(std::memory_order_relaxed) < m_context.m_settings.m_maxConnections)
                    serve(loop, std::move(socket), listener.m_fromPeer);
                accept(listener);
            });
    }

    void serve(EventLoop& loop, Socket socket, bool fromPeer)
    {
        m_context.m_accepted.fetch_add(1, std::memory_order_relaxed);
        asio::post(loop.context(), [this, &loop, fromPeer, moved = std::move(socket)]() mutable {
            auto session = std::make_shared<Session>(m_context, loop, std::move(moved), fromPeer);
            asio::co_spawn(
                loop.context().get_executor(), [session]() -> Awaitable<void> { co_await session->run(); },
                // Library exceptions (out of memory) end the session and nothing else.
                [](const std::exception_ptr&) {});
        });
    }

    void closeListeners()
    {
        error_code ignored;
        for (const std::unique_ptr<Listener>& listener : m_listeners)
            listener->m_acceptor.close(ignored);
    }

    ServerContext m_context;
    /// Declared before the loops, which refer to them until they are destroyed.
    std::vector<std::unique_ptr<Trimmer>> m_trimmers;
    std::vector<std::unique_ptr<EventLoop>> m_loops;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    bool m_running = false;
};

RequestServer::RequestServer(const RequestServerSettings& settings, RequestHooks& hooks)
    : m_implementation(std::make_unique<Implementation>(settings, hooks))
{
}

RequestServer::~RequestServer() = default;

Result<Unit> RequestServer::start() { return m_implementation->start(); }
bool RequestServer::drain(Duration limit) { return m_implementation->drain(limit); }
void RequestServer::stop() { m_implementation->stop(); }
std::uint16_t RequestServer::callerPort() const { return m_implementation->port(false); }
std::uint16_t RequestServer::peerPort() const { return m_implementation->port(true); }

RequestServerCounters RequestServer::counters() const
{
    const ServerContext& context = m_implementation->context();
    RequestServerCounters result;
    result.m_accepted = context.m_accepted;
    result.m_openConnections = context.m_openConnections;
    result.m_activeRequests = context.m_activeRequests;
    result.m_requests = context.m_requests;
    result.m_callerGone = context.m_callerGone;
    result.m_callerTimeouts = context.m_callerTimeouts;
    result.m_memoryEnds = context.m_memoryEnds;
    result.m_headerEnds = context.m_headerEnds;
    result.m_crossedAnswers = context.m_crossedAnswers;
    result.m_truncatedAnswers = context.m_truncatedAnswers;
    result.m_upstreamConnects = context.m_upstreamConnects;
    return result;
}

} // namespace sapphiredale::forwarding
