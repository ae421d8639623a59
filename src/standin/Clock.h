// Conversion between the time line of the core and that of the timers.
#pragma once

#include "model/Time.h"

namespace sapphiredale::standin {

/// Current time of the steady clock as a time point of the core.
inline TimePoint currentTime()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

inline std::chrono::steady_clock::time_point toSteady(TimePoint time)
{
    return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

/// Current time that hosts share.
inline WallTime currentWallTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace sapphiredale::standin
