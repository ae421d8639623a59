// Clocks used by the controller.
#pragma once

#include "model/Time.h"

#include <ctime>

namespace sapphiredale::controller {

/// Monotonic time that includes suspension of the host, so that a lease expires while its holder is suspended.
inline TimePoint bootNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec))
        + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

/// Time of day in milliseconds since 1970.
inline std::int64_t wallNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace sapphiredale::controller
