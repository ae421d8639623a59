// Quotas of teams: guaranteed shares, limits, borrowed shares and the fair order between teams.
#pragma once

#include "placement/Records.h"

#include <unordered_map>
#include <vector>

namespace sapphiredale::placement {

/// Use of each team against its quota.
class Quotas {
public:
    /// Replaces the quotas; teams that are no longer listed keep their use and get nothing more.
    void setTeams(const std::vector<TeamSpec>&);
    /// Capacity of the domain, needed for the part that non-preemptible work may borrow.
    void setCapacity(const Resources&);

    TeamIndex find(const TeamId&) const;
    const Team& at(TeamIndex index) const { return m_teams[index]; }

    /// None when the team may take the amount now, else QuotaLimit or UnreclaimableShare. Work that cannot be preempted
    /// borrows only what no team's guarantee covers, since a guarantee could not be restored by preemption.
    Reason check(TeamIndex, const Resources& amount, bool preemptible) const;
    /// The same for the start of work that holds a claim.
    Reason checkClaimed(TeamIndex, const Resources& amount, bool preemptible) const;
    void claim(TeamIndex, const Resources& amount);
    void unclaim(TeamIndex, const Resources& amount);
    void charge(TeamIndex, const Resources& amount, bool fixed);
    void refund(TeamIndex, const Resources& amount, bool fixed);

    /// Whether the amount lies within the guaranteed share.
    bool isGuaranteed(TeamIndex, const Resources& amount) const;
    /// Whether the team uses more than its guaranteed share.
    bool borrows(TeamIndex) const;
    /// Largest use relative to the guaranteed share; the team with the smallest value is served first.
    double share(TeamIndex) const;
    /// Changes the charge of a running task by a difference that may be negative.
    void adjust(TeamIndex, const Resources& change, bool fixed);
    /// Number of changes that may let a waiting task of the team start.
    std::uint64_t refunds(TeamIndex index) const { return m_refunds + m_teams[index].m_refunds; }

private:
    Reason checkAmount(const Team&, const Resources& used, const Resources& amount, bool preemptible) const;
    void updateFixed(TeamIndex, const Resources& change);

    std::vector<Team> m_teams;
    std::unordered_map<TeamId, TeamIndex> m_names;
    Resources m_capacity;
    Resources m_guaranteedSum;
    /// Sum over the teams of the use that cannot be preempted and exceeds the guaranteed share.
    Resources m_fixedBorrowed;
    std::uint64_t m_refunds = 0;
};

} // namespace sapphiredale::placement
