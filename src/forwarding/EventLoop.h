// One thread's event loop with a periodic sweep over its sessions. The sweep checks stored deadlines, so that the data
// path needs no timer per operation.
#pragma once

#include "forwarding/ServiceShard.h"
#include "model/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace sapphiredale::forwarding {

namespace asio = boost::asio;
using boost::system::error_code;
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using Timer
    = asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Executor>;
template <typename T> using Awaitable = asio::awaitable<T, Executor>;
inline constexpr asio::use_awaitable_t<Executor> useAwaitable;

/// Time between two sweeps: the resolution of all timeouts and deadlines of the data path.
inline constexpr auto sweepInterval = std::chrono::milliseconds(20);

/// Something that a sweep looks at.
class Swept {
public:
    virtual ~Swept() = default;
    virtual void sweep(TimePoint now) = 0;

private:
    friend class EventLoop;
    std::size_t m_position = 0;
};

/// One thread with its io_context. Everything that is added to it is used on its thread only.
class EventLoop {
public:
    explicit EventLoop(std::size_t index)
        : m_index(index)
        , m_context(1)
        , m_timer(m_context)
    {
    }

    std::size_t index() const { return m_index; }
    asio::io_context& context() { return m_context; }

    void start()
    {
        scheduleSweep();
        m_thread = std::thread([this] { m_context.run(); });
    }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    void add(Swept& swept)
    {
        swept.m_position = m_swept.size();
        m_swept.push_back(&swept);
    }

    void remove(Swept& swept)
    {
        Swept* last = m_swept.back();
        m_swept[swept.m_position] = last;
        last->m_position = swept.m_position;
        m_swept.pop_back();
    }

private:
    void scheduleSweep()
    {
        m_timer.expires_after(sweepInterval);
        m_timer.async_wait([this](const error_code& error) {
            if (error)
                return;
            const TimePoint now = steadyNow();
            // A sweep only cancels operations; sessions end later, from their own completions.
            for (std::size_t i = 0; i < m_swept.size(); ++i)
                m_swept[i]->sweep(now);
            scheduleSweep();
        });
    }

    std::size_t m_index;
    std::vector<Swept*> m_swept;
    asio::io_context m_context;
    Timer m_timer;
    std::thread m_thread;
};

} // namespace sapphiredale::forwarding
