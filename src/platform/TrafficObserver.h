// Accounting of control traffic: every HTTP byte that the platform clients send or receive.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace sapphiredale::platform {

enum class ClientKind : std::uint8_t { Log, HostList, Worker, Minion };
inline constexpr std::size_t clientKindCount = 4;

/// Receives the bytes of each exchange; called from any thread of the I/O context.
class TrafficObserver {
public:
    virtual ~TrafficObserver() = default;
    /// Bytes of request and answer, headers included.
    virtual void transferred(ClientKind, std::size_t sent, std::size_t received) = 0;
};

/// Sums per client kind.
class TrafficCounters final : public TrafficObserver {
public:
    void transferred(ClientKind kind, std::size_t sent, std::size_t received) override
    {
        m_sent[static_cast<std::size_t>(kind)].fetch_add(sent, std::memory_order_relaxed);
        m_received[static_cast<std::size_t>(kind)].fetch_add(received, std::memory_order_relaxed);
    }

    std::uint64_t sent(ClientKind kind) const { return m_sent[static_cast<std::size_t>(kind)].load(); }
    std::uint64_t received(ClientKind kind) const { return m_received[static_cast<std::size_t>(kind)].load(); }

private:
    std::array<std::atomic<std::uint64_t>, clientKindCount> m_sent {};
    std::array<std::atomic<std::uint64_t>, clientKindCount> m_received {};
};

} // namespace sapphiredale::platform
