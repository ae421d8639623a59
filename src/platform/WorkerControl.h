// Control of one worker as its domain scheduler uses it.
#pragma once

#include "platform/PlatformTypes.h"

#include <concepts>

namespace sapphiredale::platform {

/// One worker. A lease call and a command call may be outstanding at the same time; further calls of a kind are queued.
template <typename T>
concept WorkerControl
    = requires(T& worker, WorkerLeaseRequest lease, ReleaseRequest release, CommandRequest commands, Duration timeout,
        Handler<WorkerLeaseAnswer> leased, Handler<ReleaseAnswer> released, Handler<CommandAnswer> commanded)
{
    {
        worker.lease(lease, timeout, leased)
        } -> std::same_as<void>;
    {
        worker.release(release, timeout, released)
        } -> std::same_as<void>;
    {
        worker.command(commands, timeout, commanded)
        } -> std::same_as<void>;
};

} // namespace sapphiredale::platform
