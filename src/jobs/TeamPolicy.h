// Policy of a team on the users' platform: its share of the cell when demand exceeds the capacity, and its limit.
#pragma once

#include "model/Identifier.h"
#include "model/Resources.h"
#include "model/Time.h"

namespace sapphiredale::jobs {

/// What the configuration in force grants a team.
struct TeamPolicy {
    TeamId m_team;
    /// Jobs per second that the team may count on when the cell is full; zero if it has no share of its own.
    double m_weight = 0;
    /// Most that the team may have running on all workers together; an amount of zero is no limit.
    Resources m_limit;

    friend bool operator==(const TeamPolicy&, const TeamPolicy&) = default;
};

/// A team whose new jobs are refused, since it has submitted more than its share while work waits for room.
struct TeamRefusal {
    TeamId m_team;
    /// When the team is within its share again.
    TimePoint m_until {};

    friend bool operator==(const TeamRefusal&, const TeamRefusal&) = default;
};

} // namespace sapphiredale::jobs
