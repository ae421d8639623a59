// Marks of jobs by the acceptance times, and refusals.

#include "jobs/TeamShares.h"

#include "jobs/SchedulerTypes.h"

#include <algorithm>

namespace sapphiredale::jobs {

namespace {

    /// Bounds that keep sums of stored times and intervals from overflowing.
    constexpr std::int64_t maxAcceptedMs = 1'000'000'000'000'000;
    constexpr double maxIntervalMicros = 1e12;

} // namespace

TeamShares::Key TeamShares::keyOf(const JobId& job, std::int64_t acceptedMs)
{
    return { std::chrono::milliseconds(std::clamp<std::int64_t>(acceptedMs, 0, maxAcceptedMs)), job };
}

Duration TeamShares::interval(const Team& team)
{
    return Duration(static_cast<Duration::rep>(std::clamp(1e6 / team.m_weight, 1.0, maxIntervalMicros)));
}

ShareNumber TeamShares::numberOf(const TeamId& team)
{
    const auto [found, isNew] = m_numbers.try_emplace(team, static_cast<ShareNumber>(m_teams.size()));
    if (isNew)
        m_teams.emplace_back().m_team = team;
    return found->second;
}

void TeamShares::markDirty(ShareNumber number, const Key& key)
{
    Team& team = m_teams[number];
    if (!team.m_isDirty)
        m_dirtyTeams.push_back(number);
    team.m_firstDirty = team.m_isDirty ? std::min(team.m_firstDirty, key) : key;
    team.m_isDirty = true;
}

void TeamShares::setTeams(const std::vector<TeamPolicy>& policies)
{
    std::unordered_map<TeamId, double> weights;
    for (const TeamPolicy& policy : policies) {
        weights[policy.m_team] = std::max(0.0, policy.m_weight);
        numberOf(policy.m_team);
    }
    const bool hadWeights = std::exchange(m_hasWeights,
        std::any_of(weights.begin(), weights.end(), [](const auto& weight) { return weight.second > 0; }));
    for (ShareNumber number = 0; number < m_teams.size(); ++number) {
        Team& team = m_teams[number];
        const auto found = weights.find(team.m_team);
        team.m_isConfigured = found != weights.end();
        const double weight = team.m_isConfigured ? found->second : 0;
        const bool isChanged = std::exchange(team.m_weight, weight) != weight || hadWeights != m_hasWeights;
        if (isChanged && !team.m_jobs.empty())
            markDirty(number, team.m_jobs.begin()->first);
    }
}

ShareNumber TeamShares::add(const JobId& job, const TeamId& name, std::int64_t acceptedMs)
{
    const ShareNumber number = numberOf(name);
    const Key key = keyOf(job, acceptedMs);
    if (m_teams[number].m_jobs.try_emplace(key).second)
        markDirty(number, key);
    return number;
}

void TeamShares::remove(const JobId& job, ShareNumber number, std::int64_t acceptedMs)
{
    m_teams[number].m_jobs.erase(keyOf(job, acceptedMs));
}

void TeamShares::count(Team& team, const Acceptance& job, std::uint64_t change)
{
    (job.m_mark.m_isBeyond ? team.m_counts.m_beyond : team.m_counts.m_within) += change;
}

std::vector<TeamShares::MarkChange> TeamShares::takeMarkChanges()
{
    std::vector<MarkChange> changes;
    for (const ShareNumber number : std::exchange(m_dirtyTeams, {}))
        remark(m_teams[number], changes);
    return changes;
}

void TeamShares::remark(Team& team, std::vector<MarkChange>& changes) const
{
    team.m_isDirty = false;
    auto it = team.m_jobs.lower_bound(team.m_firstDirty);
    Acceptance state;
    if (it != team.m_jobs.begin())
        state = std::prev(it)->second;
    const bool hasShare = team.m_weight > 0;
    const Duration step = hasShare ? interval(team) : Duration();
    const Duration tolerance = std::max(shareTolerance, step);
    for (; it != team.m_jobs.end(); ++it) {
        const Duration at = it->first.first;
        ShareMark mark;
        if (hasShare && state.m_shareArrival <= at + tolerance) {
            state.m_shareArrival = std::max(state.m_shareArrival, at) + step;
        } else if (m_hasWeights) {
            // Above the bound from which the team is refused.
            const Duration cap = std::max(maxExcess, step * (minRefusalJobs + 1));
            state.m_excessArrival = std::min(std::max(state.m_excessArrival, at) + step, at + cap);
            const Duration excess = hasShare ? state.m_excessArrival - at : maxExcess;
            mark.m_isBeyond = true;
            mark.m_excessLevel = static_cast<std::uint32_t>(std::min(excess, maxExcess) / shareTolerance);
        }
        Acceptance& job = it->second;
        const bool wasMarked = std::exchange(job.m_isMarked, true);
        if (job.m_mark != mark)
            changes.emplace_back(it->first.second, mark);
        if (wasMarked)
            count(team, job, static_cast<std::uint64_t>(-1));
        job.m_mark = mark;
        job.m_shareArrival = state.m_shareArrival;
        job.m_excessArrival = state.m_excessArrival;
        count(team, job, 1);
    }
}

void TeamShares::updateRefusals(std::int64_t wallNowMs, TimePoint now)
{
    for (Team& team : m_teams) {
        bool isRefused = false;
        if (team.m_weight > 0 && now < team.m_roomWaitEnd) {
            // Clocks of daemons that accept jobs may be ahead.
            const Duration wallNow = std::chrono::milliseconds(wallNowMs);
            auto last = team.m_jobs.lower_bound({ wallNow + maxClockDifference, JobId() });
            if (last != team.m_jobs.begin()) {
                --last;
                const Duration step = interval(team);
                const Duration excess = last->second.m_excessArrival - std::max(wallNow, last->first.first);
                const Duration bound = std::max(refusalBound, step * minRefusalJobs);
                const Duration left = excess - std::max(shareTolerance, step);
                isRefused = excess > bound || (team.m_isRefused && left.count() > 0);
                if (isRefused)
                    team.m_refusedUntil = now + left;
            }
        }
        if (std::exchange(team.m_isRefused, isRefused) == isRefused)
            continue;
        m_refusalCount += isRefused ? 1 : 0;
        m_refusalChanges.push_back({ team.m_team, isRefused, now, isRefused ? team.m_refusedUntil : now });
    }
}

std::vector<TeamRefusal> TeamShares::refusedTeams(TimePoint now) const
{
    std::vector<TeamRefusal> refused;
    for (const Team& team : m_teams) {
        if (team.m_isRefused && now < team.m_refusedUntil)
            refused.push_back({ team.m_team, team.m_refusedUntil });
    }
    return refused;
}

std::vector<TeamJobs> TeamShares::jobCounts() const
{
    std::vector<TeamJobs> counts;
    TeamJobs others;
    for (const Team& team : m_teams) {
        if (team.m_isConfigured) {
            counts.push_back({ team.m_team, team.m_counts.m_within, team.m_counts.m_beyond });
        } else {
            others.m_within += team.m_counts.m_within;
            others.m_beyond += team.m_counts.m_beyond;
        }
    }
    if (others.m_within + others.m_beyond > 0)
        counts.push_back(others);
    return counts;
}

} // namespace sapphiredale::jobs
