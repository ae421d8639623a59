// Lease register of one minion as its holder uses it. Requests to the minion are the matter of the forwarding package.
#pragma once

#include "platform/PlatformTypes.h"

#include <concepts>

namespace sapphiredale::platform {

template <typename T>
concept MinionControl
    = requires(T& minion, MinionLeaseRequest request, Duration timeout, Handler<MinionLeaseAnswer> handler)
{
    {
        minion.lease(request, timeout, handler)
        } -> std::same_as<void>;
};

} // namespace sapphiredale::platform
