// Memory that the connections of all request servers of a process hold together, with a limit.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace sapphiredale::forwarding {

/// Used by the sessions of all threads.
class RequestBudget {
public:
    /// Share of the host's memory for connections.
    static constexpr std::size_t memoryShare = 6;

    explicit RequestBudget(std::size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    /// Counts the bytes; false, without counting them, if they exceed the limit.
    bool add(std::size_t bytes)
    {
        if (m_used.fetch_add(bytes, std::memory_order_relaxed) + bytes <= m_limit)
            return true;
        m_used.fetch_sub(bytes, std::memory_order_relaxed);
        return false;
    }
    /// Counts bytes of a request that was handed on, which is not given up for lack of memory.
    void addAlways(std::size_t bytes) { m_used.fetch_add(bytes, std::memory_order_relaxed); }
    void remove(std::size_t bytes) { m_used.fetch_sub(bytes, std::memory_order_relaxed); }
    /// Whether connections that make no progress should give way.
    bool isScarce() const { return usedBytes() > m_limit - m_limit / 8; }
    std::size_t usedBytes() const { return m_used.load(std::memory_order_relaxed); }

private:
    const std::size_t m_limit;
    std::atomic<std::size_t> m_used { 0 };
};

} // namespace sapphiredale::forwarding
