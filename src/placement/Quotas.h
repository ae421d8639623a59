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
    void charge(TeamIndex, const Resources& amount, bool nonPreemptible);
    void refund(TeamIndex, const Resources& amount, bool nonPreemptible);

    /// Whether the amount lies within the guaranteed share.
    bool isGuaranteed(TeamIndex, const Resources& amount) const;
    /// Whether the team uses more than its guaranteed share.
    bool isBorrowing(TeamIndex) const;
    /// Largest use relative to the guaranteed share; the team with the smallest value is served first.
    double dominantShare(TeamIndex) const;
    /// Changes the charge of a running task by a difference that may be negative.
    void adjust(TeamIndex, const Resources& change, bool nonPreemptible);
    /// Counter of releases that may let a waiting task of the team start.
    std::uint64_t releaseCount(TeamIndex index) const { return m_releaseCount + m_teams[index].m_releaseCount; }

private:
    Reason checkAmount(const Team&, const Resources& used, const Resources& amount, bool preemptible) const;
    void updateNonPreemptibleUse(TeamIndex, const Resources& change);

    std::vector<Team> m_teams;
    std::unordered_map<TeamId, TeamIndex> m_teamIndices;
    Resources m_capacity;
    Resources m_guaranteedSum;
    /// Sum over the teams of the non-preemptible use above the guaranteed share.
    Resources m_nonPreemptibleBorrowed;
    std::uint64_t m_releaseCount = 0;
};

} // namespace sapphiredale::placement
