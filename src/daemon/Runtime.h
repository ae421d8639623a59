// Event loop and threads of a daemon, and alarms that call back at a stored instant.
#pragma once

#include "model/Time.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace sapphiredale::daemon {

/// Monotonic time of this process as core time.
TimePoint now();
/// Time until a deadline as the timeout of a call; at least a millisecond.
Duration remaining(TimePoint deadline);
/// Time shared between hosts.
WallTime wallNow();

/// The event loop, run by several threads.
class Runtime {
public:
    Runtime();
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    void start(unsigned threads);
    /// Ends the loop and joins the threads. Handlers that have not run are dropped.
    void stop();

    boost::asio::io_context& context() { return m_context; }
    /// Runs a function on the loop, never inside the call.
    template <typename Function> void post(Function&& function)
    {
        boost::asio::post(m_context, std::forward<Function>(function));
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

/// Calls a function on the event loop at the earliest instant that was armed. May be used from any thread.
class Alarm {
public:
    Alarm(Runtime&, std::function<void()>);
    ~Alarm();
    Alarm(const Alarm&) = delete;
    Alarm& operator=(const Alarm&) = delete;

    /// Replaces the instant of the next call.
    void set(TimePoint);
    void cancel();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace sapphiredale::daemon
