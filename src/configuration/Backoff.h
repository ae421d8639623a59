// Exponential backoff with jitter, without a random source of its own.
#pragma once

#include "model/Time.h"

#include <algorithm>
#include <cstdint>

namespace sapphiredale::configuration {

/// Delays between retries: they double up to a maximum, and each is shortened by up to a half, so that daemons that
/// failed together do not retry together.
class Backoff {
public:
    Backoff(Duration minimum, Duration maximum, std::uint64_t seed)
        : m_minimum(minimum)
        , m_maximum(maximum)
        , m_state(seed)
    {
    }

    /// Time of the next retry after a failure.
    TimePoint next(TimePoint now)
    {
        const Duration full = std::min(m_maximum, m_minimum * (std::int64_t { 1 } << std::min(m_failures, 20U)));
        ++m_failures;
        const auto half = static_cast<std::uint64_t>(full.count() / 2);
        return now + full - Duration(half ? static_cast<std::int64_t>(random() % half) : 0);
    }

    void reset() { m_failures = 0; }
    unsigned failures() const { return m_failures; }

private:
    /// splitmix64
    std::uint64_t random()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t value = m_state;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

    Duration m_minimum;
    Duration m_maximum;
    std::uint64_t m_state;
    unsigned m_failures = 0;
};

} // namespace sapphiredale::configuration
