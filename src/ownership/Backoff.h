// Retry delays: exponential with jitter from a seeded generator, so that a run can be repeated exactly.
#pragma once

#include "model/Time.h"

#include <cstdint>

namespace sapphiredale::ownership {

/// Small deterministic generator (splitmix64).
class JitterSource {
public:
    explicit JitterSource(std::uint64_t seed)
        : m_state(seed)
    {
    }

    /// Uniform duration in [0, bound).
    Duration below(Duration bound);

private:
    std::uint64_t m_state;
};

/// Bounds of a series of retries.
struct BackoffSettings {
    Duration m_initialDelay = std::chrono::milliseconds(200);
    Duration m_maxDelay = std::chrono::seconds(5);
};

/// Delays of one series of retries; each is between half of its nominal value and the nominal value.
class Backoff {
public:
    /// The next delay; the nominal value doubles with every call up to the bound.
    Duration next(const BackoffSettings&, JitterSource&);
    void reset() { m_failures = 0; }
    std::uint32_t failures() const { return m_failures; }

private:
    std::uint32_t m_failures = 0;
};

} // namespace sapphiredale::ownership
