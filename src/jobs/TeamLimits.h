// Limits of teams: what each team has running on all workers together, and whether it may start more.
//
// Answers callers that compete for a scarce cell: one team's burst must not take more than its configured part. The use
// is counted from the placement of a run until its end is proven, so that orders in flight are included. An amount is
// charged before it can run and refunded after it has ended; where it is unknown whether something runs, it is charged.
#pragma once

#include "jobs/JobSpec.h"
#include "jobs/TeamPolicy.h"
#include "placement/Quotas.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace sapphiredale::jobs {

/// Dense number of a team that a scheduler has seen. Numbers are not reused.
using TeamNumber = placement::TeamIndex;
/// Number of the team of a job without a team, which nothing limits.
inline constexpr TeamNumber noTeam = placement::noIndex;

/// Use of a team of the configuration.
struct TeamUse {
    TeamId m_team;
    Resources m_use;
    /// An amount of zero is no limit.
    Resources m_limit;
    /// Tasks that could start if there were room.
    std::uint64_t m_waitingTasks = 0;

    friend bool operator==(const TeamUse&, const TeamUse&) = default;
};

/// See the head of the file.
class TeamLimits {
public:
    /// Replaces the limits by those of the configuration in force. The use of teams that it no longer names is kept.
    void setTeams(std::vector<TeamPolicy>);
    /// Number of the team, which is added if it is not known; noTeam for an empty name.
    TeamNumber numberOf(const TeamId&);

    /// Whether the team may take the amount now. A job of a team that the configuration does not name is limited by the
    /// limit stored with it. Without a configuration a team may take nothing.
    bool allows(TeamNumber, const Resources& storedLimit, const Resources& amount) const;
    /// \name Claims, for what the open questions to the adviser are meant to start
    /// @{
    /// Whether the team may claim the amount beside its use and its other claims.
    bool mayClaim(TeamNumber, const Resources& storedLimit, const Resources& amount) const;
    /// How many tasks of this size the team may claim.
    std::uint64_t claimableSlots(TeamNumber, const Resources& storedLimit, const Resources& need) const;
    void claim(TeamNumber, const Resources&);
    void unclaim(TeamNumber, const Resources&);
    /// @}
    void charge(TeamNumber, const Resources&);
    void refund(TeamNumber, const Resources&);

    bool isConfigured() const { return m_isConfigured; }
    const Resources& use(TeamNumber team) const { return m_quotas.at(team).m_used; }
    /// The teams of the configuration in its order, without their waiting tasks.
    std::vector<TeamUse> uses() const;

private:
    /// The limit that holds for a job of the team.
    Resources limitOf(TeamNumber, const Resources& storedLimit) const;

    /// Holds no limit for teams that the configuration does not name.
    placement::Quotas m_quotas;
    /// Specifications of all known teams, and whether the configuration names the team, by number.
    std::vector<TeamSpec> m_specs;
    std::vector<bool> m_isNamed;
    std::vector<TeamPolicy> m_policies;
    bool m_isConfigured = false;
};

} // namespace sapphiredale::jobs
