// Time types of the core. The core has no clock: every function that needs the time receives it as an argument.
#pragma once

#include <chrono>
#include <cstdint>

namespace sapphiredale {

/// Clock tag of the core. It has no now(): the daemon passes steady time, tests and benchmarks pass any time.
struct CoreClock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required of clocks
};

/// Length of time in microseconds. State stores deadlines (TimePoint); durations appear only in settings.
using Duration = CoreClock::duration;
/// Instant on the local monotonic time line, in microseconds since an arbitrary origin.
using TimePoint = CoreClock::time_point;
/// Instant shared between hosts: milliseconds since the Unix epoch, UTC.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// The duration times a factor, cut to whole microseconds.
inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Whole milliseconds of the duration.
inline std::int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace sapphiredale
