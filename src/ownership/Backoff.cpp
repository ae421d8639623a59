// Jitter generator and retry delays.

#include "ownership/Backoff.h"

#include <algorithm>

namespace sapphiredale::ownership {

Duration JitterSource::below(Duration bound)
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = m_state;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    value ^= value >> 31;
    if (bound <= Duration::zero())
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(value % static_cast<std::uint64_t>(bound.count())));
}

Duration Backoff::next(const BackoffSettings& settings, JitterSource& jitter)
{
    constexpr std::uint32_t maxDoublings = 20;
    const Duration nominal = std::min(
        settings.m_maxDelay, settings.m_initialDelay * (Duration::rep { 1 } << std::min(m_failures, maxDoublings)));
    ++m_failures;
    return nominal / 2 + jitter.below(nominal / 2 + Duration(1));
}

} // namespace sapphiredale::ownership
