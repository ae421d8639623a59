// Clocks used by the controller.
#pragma once

#include "platform/BootClock.h"

namespace sapphiredale::controller {

using platform::bootNow;

/// Time of day in milliseconds since 1970.
inline std::int64_t wallNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace sapphiredale::controller
