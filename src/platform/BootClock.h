// The clock that times permissions and calls.
#pragma once

#include "model/Time.h"

#include <ctime>

namespace sapphiredale::platform {

/// Monotonic time that includes suspension of the host, so that a lease expires while its holder is suspended.
inline TimePoint bootNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec))
        + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace sapphiredale::platform
