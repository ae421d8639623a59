// Comparison of a wait for a near place with a start elsewhere.

#include "jobs/LocalityWait.h"

#include <algorithm>

namespace sapphiredale::jobs {

namespace {

    /// Estimates are up to twice the true run time, so that half of the expected saving is certain.
    constexpr double certainSavingRatio = 0.5;
    /// Longest wait whatever is saved. Expectations of when places become free hold for little longer.
    constexpr Duration maxWait = std::chrono::seconds(5);

} // namespace

TimePoint latestWaitEnd(const LocalityQuestion& question)
{
    const Duration saving
        = scaled(question.m_estimate, std::max(0.0, question.m_remoteFactor - 1.0) * certainSavingRatio);
    return std::min(question.m_readySince + std::min(saving, maxWait), question.m_latestNearStart);
}

LocalityDecision decideLocalityWait(const LocalityQuestion& question)
{
    const LocalityDecision noWait { 0, question.m_now };
    const TimePoint end = latestWaitEnd(question);
    if (question.m_tasks == 0 || end <= question.m_now)
        return noWait;
    const auto inTime
        = static_cast<std::uint32_t>(std::upper_bound(question.m_nearPlaces.begin(), question.m_nearPlaces.end(), end)
            - question.m_nearPlaces.begin());
    // Steps that are served first take the places that become free first.
    const std::uint32_t remaining = inTime - std::min(inTime, question.m_tasksAhead);
    const std::uint32_t held = std::min(remaining, question.m_tasks);
    if (held == 0 || (question.m_needsAll && held < question.m_tasks))
        return noWait;
    return { held, end };
}

} // namespace sapphiredale::jobs
