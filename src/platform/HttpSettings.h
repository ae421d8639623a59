// Settings that all HTTP clients of the platform share.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace sapphiredale::platform {

class TrafficObserver;

/// Identity, limits and reconnection of a client.
struct HttpSettings {
    /// Numeric "address:port" of the server; "[address]:port" for IPv6.
    std::string m_address;
    /// Sent as "Sapphire-Daemon: failureDomain/daemon" in the first request of each connection.
    DaemonId m_daemon;
    FailureDomainId m_failureDomain;
    /// A larger answer is an error and closes the connection.
    std::size_t m_maxResponseBytes = 4 << 20;
    /// Calls that may wait for one connection; a further call is rejected as not run.
    std::size_t m_maxQueuedCalls = 64;
    /// After a failed connection attempt the next call waits this long, doubled after each failure up to the maximum.
    Duration m_backoffMin = std::chrono::milliseconds(50);
    Duration m_backoffMax = std::chrono::seconds(2);
    /// Seed of the jitter, which takes up to half of a wait away.
    std::uint64_t m_seed = 1;
    /// May be null; must outlive the client.
    TrafficObserver* m_traffic = nullptr;
};

} // namespace sapphiredale::platform
