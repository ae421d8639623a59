// Quota accounting of teams.

#include "placement/Quotas.h"

namespace sapphiredale::placement {

namespace {

    Resources excess(const Resources& used, const Resources& allowed)
    {
        return Resources::max(used - allowed, Resources {});
    }

} // namespace

void Quotas::setTeams(const std::vector<TeamSpec>& specs)
{
    for (Team& team : m_teams) {
        team.m_spec.m_guaranteed = {};
        team.m_spec.m_limit = {};
    }
    for (const TeamSpec& spec : specs) {
        const auto [entry, isNew] = m_teamIndices.try_emplace(spec.m_name, static_cast<TeamIndex>(m_teams.size()));
        if (isNew)
            m_teams.emplace_back();
        m_teams[entry->second].m_spec = spec;
    }
    m_guaranteedSum = {};
    m_nonPreemptibleBorrowed = {};
    for (const Team& team : m_teams) {
        m_guaranteedSum += team.m_spec.m_guaranteed;
        m_nonPreemptibleBorrowed += excess(team.m_nonPreemptibleUse, team.m_spec.m_guaranteed);
    }
    ++m_releaseCount;
}

void Quotas::setCapacity(const Resources& capacity)
{
    m_capacity = capacity;
    ++m_releaseCount;
}

TeamIndex Quotas::find(const TeamId& name) const
{
    const auto entry = m_teamIndices.find(name);
    return entry == m_teamIndices.end() ? noIndex : entry->second;
}

Reason Quotas::check(TeamIndex index, const Resources& amount, bool preemptible) const
{
    return checkAmount(m_teams[index], m_teams[index].m_used + m_teams[index].m_claimed, amount, preemptible);
}

Reason Quotas::checkClaimed(TeamIndex index, const Resources& amount, bool preemptible) const
{
    return checkAmount(m_teams[index], m_teams[index].m_used, amount, preemptible);
}

void Quotas::claim(TeamIndex index, const Resources& amount) { m_teams[index].m_claimed += amount; }

void Quotas::unclaim(TeamIndex index, const Resources& amount)
{
    m_teams[index].m_claimed -= amount;
    ++m_teams[index].m_releaseCount;
}

Reason Quotas::checkAmount(const Team& team, const Resources& used, const Resources& amount, bool preemptible) const
{
    if (!(used + amount).fitsIn(team.m_spec.m_limit))
        return Reason::QuotaLimit;
    if (preemptible || (team.m_nonPreemptibleUse + amount).fitsIn(team.m_spec.m_guaranteed))
        return Reason::None;
    const Resources& guaranteed = team.m_spec.m_guaranteed;
    const Resources borrowed = m_nonPreemptibleBorrowed - excess(team.m_nonPreemptibleUse, guaranteed)
        + excess(team.m_nonPreemptibleUse + amount, guaranteed);
    return borrowed.fitsIn(excess(m_capacity, m_guaranteedSum)) ? Reason::None : Reason::UnreclaimableShare;
}

void Quotas::updateNonPreemptibleUse(TeamIndex index, const Resources& change)
{
    Team& team = m_teams[index];
    m_nonPreemptibleBorrowed -= excess(team.m_nonPreemptibleUse, team.m_spec.m_guaranteed);
    team.m_nonPreemptibleUse += change;
    m_nonPreemptibleBorrowed += excess(team.m_nonPreemptibleUse, team.m_spec.m_guaranteed);
}

void Quotas::charge(TeamIndex index, const Resources& amount, bool nonPreemptible)
{
    m_teams[index].m_used += amount;
    if (nonPreemptible)
        updateNonPreemptibleUse(index, amount);
}

void Quotas::refund(TeamIndex index, const Resources& amount, bool nonPreemptible)
{
    m_teams[index].m_used -= amount;
    ++m_teams[index].m_releaseCount;
    if (nonPreemptible) {
        updateNonPreemptibleUse(index, Resources {} - amount);
        ++m_releaseCount;
    }
}

void Quotas::adjust(TeamIndex index, const Resources& change, bool nonPreemptible)
{
    m_teams[index].m_used += change;
    if (change.hasNegative())
        ++m_teams[index].m_releaseCount;
    if (nonPreemptible)
        updateNonPreemptibleUse(index, change);
}

bool Quotas::isGuaranteed(TeamIndex index, const Resources& amount) const
{
    const Team& team = m_teams[index];
    return (team.m_used + team.m_claimed + amount).fitsIn(team.m_spec.m_guaranteed);
}

bool Quotas::isBorrowing(TeamIndex index) const
{
    return !m_teams[index].m_used.fitsIn(m_teams[index].m_spec.m_guaranteed);
}

double Quotas::dominantShare(TeamIndex index) const
{
    // A team without a guaranteed share is weighed as if it had a hundredth of the domain.
    const Team& team = m_teams[index];
    double largest = 0;
    const auto consider = [&](std::int64_t used, std::int64_t guaranteed, std::int64_t capacity) {
        if (used > 0)
            largest = std::max(largest, double(used) / double(std::max({ guaranteed, capacity / 100, INT64_C(1) })));
    };
    consider(team.m_used.m_cpuMillis, team.m_spec.m_guaranteed.m_cpuMillis, m_capacity.m_cpuMillis);
    consider(team.m_used.m_memoryMiB, team.m_spec.m_guaranteed.m_memoryMiB, m_capacity.m_memoryMiB);
    consider(team.m_used.m_accelerators, team.m_spec.m_guaranteed.m_accelerators, m_capacity.m_accelerators);
    return largest;
}

} // namespace sapphiredale::placement
