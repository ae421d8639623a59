// Order and time of refreshes.

#include "configuration/RefreshSchedule.h"

#include "model/Rendezvous.h"

#include <algorithm>
#include <string>

namespace sapphiredale::configuration {

RefreshSchedule::RefreshSchedule(const RefreshScheduleSettings& settings)
    : m_settings(settings)
{
}

void RefreshSchedule::update(std::uint64_t version, std::optional<WallTime> anchorTime, std::span<const DaemonId> live,
    TimePoint now, WallTime wallNow)
{
    m_attemptAt.reset();
    if (!anchorTime)
        return;
    // An age outside of the retention comes from a clock error or a long outage; the bounds keep the sum in range.
    const Duration age = std::clamp<Duration>(wallNow - *anchorTime, Duration::zero(), m_settings.m_retention);
    const Duration delay = m_settings.m_retention / 3 - age + rankOf(version, live) * m_settings.m_stagger;
    m_attemptAt = std::max(m_notBefore, now + std::max(delay, Duration::zero()));
}

void RefreshSchedule::attempted(TimePoint now)
{
    m_notBefore = now + m_settings.m_stagger;
    if (m_attemptAt)
        m_attemptAt = std::max(*m_attemptAt, m_notBefore);
}

void RefreshSchedule::appended(TimePoint now)
{
    m_notBefore = now + m_settings.m_retention / 6;
    if (m_attemptAt)
        m_attemptAt = std::max(*m_attemptAt, m_notBefore);
}

std::int64_t RefreshSchedule::rankOf(std::uint64_t version, std::span<const DaemonId> live) const
{
    const std::string key = "refresh/" + std::to_string(version);
    const std::uint64_t ownWeight = rendezvousWeight(key, m_settings.m_daemon.value());
    std::int64_t rank = 0;
    for (const DaemonId& daemon : live) {
        const std::uint64_t weight = rendezvousWeight(key, daemon.value());
        if (weight > ownWeight || (weight == ownWeight && daemon < m_settings.m_daemon))
            ++rank;
    }
    return rank;
}

} // namespace sapphiredale::configuration
