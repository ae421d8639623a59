// Event loop, threads and alarms.

#include "daemon/Runtime.h"

#include <algorithm>

namespace sapphiredale::daemon {

namespace {

    /// Longest time that an alarm is armed for. A core that waits for nothing returns TimePoint::max(), which does not
    /// fit into the nanoseconds of the steady clock.
    constexpr Duration longestAlarm = std::chrono::hours(1);

    std::chrono::steady_clock::time_point toSteady(TimePoint instant)
    {
        instant = std::min(instant, now() + longestAlarm);
        return std::chrono::steady_clock::time_point(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(instant.time_since_epoch()));
    }

} // namespace

TimePoint now()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

Duration remaining(TimePoint deadline) { return std::max<Duration>(deadline - now(), std::chrono::milliseconds(1)); }

WallTime wallNow() { return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()); }

Runtime::Runtime()
    : m_work(boost::asio::make_work_guard(m_context))
{
}

Runtime::~Runtime() { stop(); }

void Runtime::start(unsigned threads)
{
    for (unsigned i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { m_context.run(); });
}

void Runtime::stop()
{
    m_work.reset();
    m_context.stop();
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

struct Alarm::State : std::enable_shared_from_this<State> {
    State(Runtime& runtime, std::function<void()> function)
        : m_timer(runtime.context())
        , m_function(std::move(function))
    {
    }

    /// Called with m_mutex held.
    void wait(TimePoint instant)
    {
        m_armed = instant;
        m_timer.expires_at(toSteady(instant));
        m_timer.async_wait([self = shared_from_this(), instant](const boost::system::error_code& error) {
            if (!error)
                self->expired(instant);
        });
    }

    void expired(TimePoint instant)
    {
        std::function<void()> function;
        {
            const std::lock_guard lock(m_mutex);
            // A call that was replaced while its handler waited in the loop's queue is not made.
            if (m_armed != instant)
                return;
            m_armed.reset();
            function = m_function;
        }
        if (function)
            function();
    }

    std::mutex m_mutex;
    /// Guarded by m_mutex, as are the other members.
    boost::asio::steady_timer m_timer;
    std::function<void()> m_function;
    std::optional<TimePoint> m_armed;
};

Alarm::Alarm(Runtime& runtime, std::function<void()> function)
    : m_state(std::make_shared<State>(runtime, std::move(function)))
{
}

Alarm::~Alarm()
{
    const std::lock_guard lock(m_state->m_mutex);
    m_state->m_function = nullptr;
    m_state->m_armed.reset();
    m_state->m_timer.cancel();
}

void Alarm::set(TimePoint instant)
{
    const std::lock_guard lock(m_state->m_mutex);
    if (m_state->m_armed != instant)
        m_state->wait(instant);
}

void Alarm::cancel()
{
    const std::lock_guard lock(m_state->m_mutex);
    m_state->m_armed.reset();
    m_state->m_timer.cancel();
}

} // namespace sapphiredale::daemon
