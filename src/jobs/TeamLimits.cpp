// Accounting of the use of teams against their limits.

#include "jobs/TeamLimits.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

namespace {

    /// Stands for "no limit". Sums of amounts stay far below it, and it can be added to without an overflow.
    constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max() / 4;

    /// The limit with "no limit" in place of each amount of zero.
    Resources effectiveLimit(const Resources& limit)
    {
        const auto effective = [](std::int64_t amount) { return amount == 0 ? unlimited : amount; };
        return { effective(limit.m_cpuMillis), effective(limit.m_memoryMiB), effective(limit.m_accelerators) };
    }

} // namespace

void TeamLimits::setTeams(std::vector<TeamPolicy> policies)
{
    m_isConfigured = true;
    m_policies = std::move(policies);
    for (TeamSpec& spec : m_specs)
        spec.m_limit = effectiveLimit({});
    m_isNamed.assign(m_specs.size(), false);
    for (const TeamPolicy& policy : m_policies) {
        const TeamNumber team = numberOf(policy.m_team);
        if (team == noTeam)
            continue;
        m_specs[team].m_limit = effectiveLimit(policy.m_limit);
        m_isNamed[team] = true;
    }
    m_quotas.setTeams(m_specs);
}

TeamNumber TeamLimits::numberOf(const TeamId& name)
{
    if (name.empty())
        return noTeam;
    const TeamNumber known = m_quotas.find(name);
    if (known != noTeam)
        return known;
    TeamSpec& spec = m_specs.emplace_back();
    spec.m_name = name;
    spec.m_limit = effectiveLimit({});
    m_isNamed.push_back(false);
    m_quotas.setTeams(m_specs);
    return m_quotas.find(name);
}

Resources TeamLimits::limitOf(TeamNumber team, const Resources& storedLimit) const
{
    return m_isNamed[team] ? m_specs[team].m_limit : effectiveLimit(storedLimit);
}

bool TeamLimits::allows(TeamNumber team, const Resources& storedLimit, const Resources& amount) const
{
    if (team == noTeam)
        return true;
    if (!m_isConfigured)
        return false;
    if (!m_isNamed[team] && !(use(team) + amount).fitsIn(effectiveLimit(storedLimit)))
        return false;
    // Nothing is guaranteed to a team here, so that only the limit counts.
    return m_quotas.checkClaimed(team, amount, true) == placement::Reason::None;
}

bool TeamLimits::mayClaim(TeamNumber team, const Resources& storedLimit, const Resources& amount) const
{
    return team == noTeam || allows(team, storedLimit, m_quotas.at(team).m_claimed + amount);
}

std::uint64_t TeamLimits::claimableSlots(TeamNumber team, const Resources& storedLimit, const Resources& need) const
{
    if (team == noTeam)
        return std::numeric_limits<std::uint64_t>::max();
    if (!mayClaim(team, storedLimit, need))
        return 0;
    const Resources left = limitOf(team, storedLimit) - use(team) - m_quotas.at(team).m_claimed;
    const auto count = [](std::int64_t room, std::int64_t each) { return each <= 0 ? unlimited : room / each; };
    return static_cast<std::uint64_t>(std::min({ count(left.m_cpuMillis, need.m_cpuMillis),
        count(left.m_memoryMiB, need.m_memoryMiB), count(left.m_accelerators, need.m_accelerators) }));
}

void TeamLimits::charge(TeamNumber team, const Resources& amount)
{
    if (team != noTeam)
        m_quotas.charge(team, amount, false);
}

void TeamLimits::refund(TeamNumber team, const Resources& amount)
{
    if (team != noTeam)
        m_quotas.refund(team, amount, false);
}

void TeamLimits::claim(TeamNumber team, const Resources& amount)
{
    if (team != noTeam)
        m_quotas.claim(team, amount);
}

void TeamLimits::unclaim(TeamNumber team, const Resources& amount)
{
    if (team != noTeam)
        m_quotas.unclaim(team, amount);
}

std::vector<TeamUse> TeamLimits::uses() const
{
    std::vector<TeamUse> uses;
    for (const TeamPolicy& policy : m_policies) {
        const TeamNumber team = m_quotas.find(policy.m_team);
        if (team != noTeam)
            uses.push_back({ policy.m_team, use(team), policy.m_limit, 0 });
    }
    return uses;
}

} // namespace sapphiredale::jobs
