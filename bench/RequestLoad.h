// Stand-in minions and callers of the request benchmark, all on loopback in the benchmark's own process.
#pragma once

#include "forwarding/EventLoop.h"
#include "forwarding/MessageReader.h"
#include "forwarding/RequestServer.h"
#include "forwarding/ServiceShard.h"
#include "forwarding/UpstreamPool.h"
#include "routing/ChoicePolicy.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sapphiredale::bench {

using namespace forwarding;
using routing::Random;

/// CPU time of the calling thread or of the whole process in seconds.
inline double cpuSeconds(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// One event loop in a thread that knows its CPU time.
class LoopThread {
public:
    LoopThread()
        : m_context(1)
        , m_work(m_context.get_executor())
        , m_thread([this] {
            m_context.run();
            m_cpu = cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
        })
    {
    }
    ~LoopThread() { stop(); }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// CPU time of the thread; only after stop().
    double cpu() const { return m_cpu; }
    asio::io_context& context() { return m_context; }

private:
    asio::io_context m_context;
    asio::executor_work_guard<Executor> m_work;
    double m_cpu = 0;
    std::thread m_thread;
};

/// A minion that answers each request after a service time.
class BenchMinion {
public:
    using ServiceTime = std::function<Duration(Random&)>;

    BenchMinion(LoopThread& loop, ServiceTime service, std::uint64_t seed)
        : m_loop(loop)
        , m_acceptor(loop.context(), asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
        , m_service(std::move(service))
        , m_random(seed)
    {
        asio::co_spawn(m_loop.context(), acceptAll(), asio::detached);
    }

    const std::string& address() const { return m_address; }

    /// Closes the listener and every connection, like a process that dies. Runs on the loop's thread.
    void die()
    {
        asio::post(m_loop.context(), [this] {
            error_code ignored;
            m_acceptor.close(ignored);
            for (Socket* socket : m_sockets)
                socket->close(ignored);
        });
    }

private:
    using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;

    Awaitable<void> acceptAll()
    {
        error_code error;
        while (!error) {
            Socket socket(m_loop.context());
            co_await m_acceptor.async_accept(socket, asio::redirect_error(useAwaitable, error));
            if (!error)
                asio::co_spawn(m_loop.context(), serve(std::move(socket)), asio::detached);
        }
    }

    Awaitable<void> serve(Socket socket)
    {
        m_sockets.push_back(&socket);
        error_code error;
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        beast::flat_buffer buffer;
        Timer timer(m_loop.context());
        while (!error) {
            RequestParser parser;
            co_await readHeader<true>(socket, buffer, parser, error);
            if (error)
                break;
            const Duration service = m_service(m_random);
            if (service > Duration::zero()) {
                timer.expires_after(service);
                co_await timer.async_wait(asio::redirect_error(useAwaitable, error));
            }
            const std::string answer = "HTTP/1.1 200 OK\r\nSapphire-Request-Id: "
                + std::string(toView(parser.get()["Sapphire-Request-Id"])) + "\r\nContent-Length: 5\r\n\r\nmatch";
            const std::array<asio::const_buffer, 1> buffers { asio::buffer(answer) };
            co_await asio::async_write(socket, buffers, asio::redirect_error(useAwaitable, error));
        }
        std::erase(m_sockets, &socket);
    }

    static std::string_view toView(beast::string_view text) { return { text.data(), text.size() }; }

    LoopThread& m_loop;
    Acceptor m_acceptor;
    std::string m_address;
    ServiceTime m_service;
    Random m_random;
    std::vector<Socket*> m_sockets;
};

/// Hooks of the measured server: one service with a choice policy, and a record of decisions for one address.
template <routing::ChoicePolicy Policy> class BenchHooks final : public RequestHooks, public ServiceRouting {
public:
    explicit BenchHooks(const routing::RouterSettings& settings)
        : m_shard(settings)
    {
    }

    std::shared_ptr<ServiceRouting> service(const WorkloadId&) override
    {
        // The hooks outlive the server, so the pointer owns nothing.
        return { std::shared_ptr<void>(), this };
    }
    void tick() override
    {
        m_shard.withRouter([](auto& router, TimePoint now) { router.tick(now); });
    }

    routing::RouteDecision route(const routing::RequestInfo& info, DispatchHandler handler) override
    {
        return note(m_shard.route(info, std::move(handler)));
    }
    void completed(routing::RequestTicket ticket, bool failed) override { m_shard.completed(ticket, failed); }
    routing::RouteDecision failed(routing::RequestTicket ticket, routing::AttemptFailure failure, bool replayable,
        DispatchHandler handler) override
    {
        return note(m_shard.failed(ticket, failure, replayable, std::move(handler)));
    }
    void abandoned(routing::RequestTicket ticket) override { m_shard.abandoned(ticket); }
    void slotEnded(routing::SlotSerial slot) override { m_shard.slotEnded(slot); }

    void hold(const BenchMinion& minion, std::uint32_t slots)
    {
        m_shard.withRouter([&](auto& router, TimePoint now) {
            routing::HeldMinion lease;
            lease.m_minion = MinionId(minion.address());
            lease.m_address = minion.address();
            lease.m_epoch = 1;
            lease.m_leaseDeadline = now + std::chrono::hours(1);
            lease.m_slots = slots;
            lease.m_connections = 64;
            router.setMinion(lease, now);
        });
    }

    /// From now on decisions for this minion are recorded.
    void watch(const BenchMinion& minion)
    {
        const std::lock_guard lock(m_mutex);
        m_watched = minion.address();
    }
    std::vector<TimePoint> watchedDecisions()
    {
        const std::lock_guard lock(m_mutex);
        return m_decisions;
    }

private:
    routing::RouteDecision note(routing::RouteDecision decision)
    {
        if (const auto* forward = std::get_if<routing::ForwardToMinion>(&decision)) {
            const std::lock_guard lock(m_mutex);
            if (!m_watched.empty() && forward->m_address == m_watched)
                m_decisions.push_back(steadyNow());
        }
        return decision;
    }

    BasicServiceShard<Policy> m_shard;
    std::mutex m_mutex;
    std::string m_watched;
    std::vector<TimePoint> m_decisions;
};

/// What the callers saw.
struct LoadResult {
    std::vector<double> m_latencies;
    std::uint64_t m_answered = 0;
    std::uint64_t m_inTime = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_errors = 0;
    double m_seconds = 0;

    double percentile(double share)
    {
        if (m_latencies.empty())
            return 0;
        const auto index = static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1));
        std::nth_element(
            m_latencies.begin(), m_latencies.begin() + static_cast<std::ptrdiff_t>(index), m_latencies.end());
        return m_latencies[index];
    }
};

/// Load of callers.
struct LoadSettings {
    /// Endpoints; connection i uses number i modulo their count.
    std::vector<std::string> m_addresses;
    unsigned m_connections = 64;
    unsigned m_threads = 2;
    /// Requests per second in all with exponential gaps; zero sends the next request right after an answer.
    double m_rate = 0;
    /// Results before this time are not counted.
    Duration m_warmUp = std::chrono::milliseconds(500);
    Duration m_length = std::chrono::seconds(2);
    /// Answers after this time are not in time; also sent as Sapphire-Deadline when positive.
    Duration m_deadline {};
    bool m_idempotent = true;
};

namespace detail {

    struct LoadState {
        const LoadSettings& m_settings;
        TimePoint m_begin;
        TimePoint m_end;
    };

    /// The deadline counts from the planned time, as the caller's patience does.
    inline std::string requestText(const LoadSettings& settings, TimePoint planned)
    {
        std::string text = settings.m_idempotent ? "GET" : "POST";
        text += " /v1/services/desk/match HTTP/1.1\r\nHost: bench\r\nSapphire-Team: panel\r\n";
        if (!settings.m_idempotent)
            text += "Content-Length: 0\r\n";
        if (settings.m_deadline > Duration::zero()) {
            const auto deadline = std::chrono::system_clock::now() + (planned + settings.m_deadline - steadyNow());
            text += "Sapphire-Deadline: "
                + std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(deadline.time_since_epoch()).count())
                + "\r\n";
        }
        return text + "\r\n";
    }

    /// One connection. Latency counts from the planned time of a request, so that a late sender hides no wait.
    inline Awaitable<void> call(asio::io_context& context, LoadState state, std::string address, Random random,
        LoadResult& result, unsigned& open)
    {
        const LoadSettings& settings = state.m_settings;
        const std::optional<asio::ip::tcp::endpoint> endpoint = parseEndpoint(address);
        Timer timer(context);
        TimePoint planned = steadyNow();
        std::unique_ptr<Socket> socket;
        beast::flat_buffer buffer;
        std::array<char, 1024> body {};
        const double gap = settings.m_rate > 0 ? settings.m_connections * 1e6 / settings.m_rate : 0;
        while (planned < state.m_end) {
            error_code error;
            if (gap > 0) {
                planned += Duration(static_cast<std::int64_t>(-gap * std::log(1.0 - random.unit())));
                if (planned > steadyNow()) {
                    timer.expires_at(std::chrono::steady_clock::time_point(planned.time_since_epoch()));
                    co_await timer.async_wait(asio::redirect_error(useAwaitable, error));
                }
            } else {
                planned = steadyNow();
            }
            if (!socket) {
                socket = std::make_unique<Socket>(context);
                buffer.clear();
                co_await socket->async_connect(endpoint.value(), asio::redirect_error(useAwaitable, error));
                if (!error)
                    socket->set_option(asio::ip::tcp::no_delay(true), error);
            }
            const std::string text = requestText(settings, planned);
            const std::array<asio::const_buffer, 1> buffers { asio::buffer(text) };
            if (!error)
                co_await asio::async_write(*socket, buffers, asio::redirect_error(useAwaitable, error));
            ResponseParser parser;
            if (!error)
                co_await readHeader<false>(*socket, buffer, parser, error);
            while (!error && !parser.is_done())
                co_await readBody<false>(*socket, buffer, parser, body.data(), body.size(), true, error);
            const TimePoint now = steadyNow();
            const bool counts = planned >= state.m_begin && planned < state.m_end;
            if (error || !parser.keep_alive())
                socket.reset();
            if (!counts)
                continue;
            const double micros = static_cast<double>((now - planned).count());
            if (error) {
                ++result.m_errors;
            } else if (parser.get().result_int() == 200) {
                ++result.m_answered;
                result.m_inTime += settings.m_deadline == Duration::zero() || now - planned <= settings.m_deadline;
                result.m_latencies.push_back(micros);
            } else {
                ++result.m_refused;
            }
        }
        if (--open == 0)
            context.stop();
    }

} // namespace detail

/// Runs callers in threads of their own and returns what they saw, with the CPU time that they used.
inline std::pair<LoadResult, double> runLoad(const LoadSettings& settings, std::uint64_t seed)
{
    const TimePoint begin = steadyNow() + settings.m_warmUp;
    std::vector<LoadResult> results(settings.m_threads);
    std::vector<double> cpu(settings.m_threads);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < settings.m_threads; ++i) {
        threads.emplace_back([&, i] {
            asio::io_context context(1);
            unsigned open = 0;
            for (unsigned j = i; j < settings.m_connections; j += settings.m_threads) {
                ++open;
                asio::co_spawn(context,
                    detail::call(context, { settings, begin, begin + settings.m_length },
                        settings.m_addresses[j % settings.m_addresses.size()], Random(seed * 100003 + j), results[i],
                        open),
                    asio::detached);
            }
            context.run();
            cpu[i] = cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    LoadResult total;
    double totalCpu = 0;
    for (unsigned i = 0; i < settings.m_threads; ++i) {
        LoadResult& part = results[i];
        total.m_latencies.insert(total.m_latencies.end(), part.m_latencies.begin(), part.m_latencies.end());
        total.m_answered += part.m_answered;
        total.m_inTime += part.m_inTime;
        total.m_refused += part.m_refused;
        total.m_errors += part.m_errors;
        totalCpu += cpu[i];
    }
    total.m_seconds = static_cast<double>(settings.m_length.count()) * 1e-6;
    return { std::move(total), totalCpu };
}

} // namespace sapphiredale::bench
