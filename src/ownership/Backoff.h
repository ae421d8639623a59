// Exponential backoff with jitter. The jitter comes from a seeded generator, so that a run can be reproduced exactly.
#pragma once

#include "model/Time.h"

#include <cstdint>

namespace sapphiredale::ownership {

/// Deterministic pseudo-random number generator (splitmix64).
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

/// Bounds of the delay between retries.
struct BackoffSettings {
    Duration m_initialDelay = std::chrono::milliseconds(200);
    Duration m_maxDelay = std::chrono::seconds(5);
};

/// Backoff state of one series of retries. Each delay lies between half of the nominal delay and the nominal delay.
class Backoff {
public:
    /// Returns the next delay. The nominal delay doubles with every call, up to m_maxDelay.
    Duration next(const BackoffSettings&, JitterSource&);
    void reset() { m_failures = 0; }
    std::uint32_t failures() const { return m_failures; }

private:
    std::uint32_t m_failures = 0;
};

} // namespace sapphiredale::ownership
