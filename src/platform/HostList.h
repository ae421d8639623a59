// The platform's list of hosts as the daemon uses it.
#pragma once

#include "platform/PlatformTypes.h"

#include <concepts>

namespace sapphiredale::platform {

/// Lagging list of live, leaving and gone hosts.
template <typename T>
concept HostList = requires(T& list, Duration timeout, Handler<HostSnapshot> handler)
{
    {
        list.hosts(timeout, handler)
        } -> std::same_as<void>;
};

} // namespace sapphiredale::platform
