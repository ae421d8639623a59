// What a simulated worker needs of the minions that it starts.
#pragma once

#include "model/Identifier.h"
#include "model/Result.h"

#include <cstdint>
#include <memory>
#include <string>

namespace sapphiredale::standin {

/// Declared limits of a minion.
struct MinionShape {
    std::uint32_t m_slots = 0;
    std::uint32_t m_connections = 0;
};

/// A running minion. Calls come under the lock of the worker and must not call back into it.
class MinionPort {
public:
    virtual ~MinionPort() = default;
    virtual std::string address() const = 0;
    /// Requests in execution.
    virtual std::uint32_t inFlight() const = 0;
    /// Refuses new requests and tells the holder.
    virtual void leave() = 0;
    /// Closes the listener and every connection.
    virtual void close() = 0;
};

/// Starts minions.
class MinionLauncher {
public:
    virtual ~MinionLauncher() = default;
    virtual Result<std::shared_ptr<MinionPort>> launch(const TaskId&, const FailureDomainId&, MinionShape) = 0;
};

} // namespace sapphiredale::standin
