// Shares of teams in jobs per second: which jobs are within the share of their team, and which teams are refused.
//
// Answers a team that sends several times its usual rate into a full cell: tasks last seconds and are not preempted, so
// the other teams would wait behind its jobs. Two theoretical arrival times per team (generic cell rate algorithm)
// follow from the acceptance times of its jobs alone, in the order of these times. A job is within the share if the
// first one lies at most the tolerance ahead of its acceptance, and moves it on by the interval of the rate. Other jobs
// are beyond the share and move on the second one, which tells how far beyond its share the team is. A team goes on to
// get its share while it sends more.
//
// Jobs may be added in any order. A job that is added late changes the marks of later ones, so that every scheduler
// which knows the same jobs derives the same marks.
#pragma once

#include "jobs/TeamPolicy.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphiredale::jobs {

/// How far the rate of a team may run ahead within its share; at least one job may always come early. Absorbs bursts of
/// callers and clocks of daemons that differ.
inline constexpr Duration shareTolerance = std::chrono::seconds(2);
/// Excess from which a team is refused: at the rate of its share, its next job would wait this long. The objectives of
/// quick jobs are 1.2 to 1.7 s, and results later than three objectives are worth nothing to their callers, so that a
/// refusal, after which they may try again, serves them better. The excess grows only above twice the share.
inline constexpr Duration refusalBound = std::chrono::seconds(4);
/// The bound in jobs, for teams whose share is less than a job per second.
inline constexpr int minRefusalJobs = 4;
/// Upper bound of the excess: callers are told at most 10 s, and a team is admitted again within the tolerance.
inline constexpr Duration maxExcess = std::chrono::seconds(12);
/// Time for which work counts as waiting for room after it was last seen so. Daemons learn of refused teams every
/// second.
inline constexpr Duration roomWaitMemory = std::chrono::seconds(1);

/// Dense number of a team among the shares.
using ShareNumber = std::uint32_t;

/// Position of a job relative to the share of its team.
struct ShareMark {
    bool m_isBeyond = false;
    /// Excess of the team at the acceptance of the job, in units of the tolerance; 0 within the share.
    std::uint32_t m_excessLevel = 0;

    friend bool operator==(const ShareMark&, const ShareMark&) = default;
};

/// Jobs that were accepted from a team.
struct TeamJobs {
    /// Empty for all teams that the configuration does not name.
    TeamId m_team;
    std::uint64_t m_within = 0;
    std::uint64_t m_beyond = 0;

    friend bool operator==(const TeamJobs&, const TeamJobs&) = default;
};

/// A team begins or ceases to be refused.
struct TeamRefusalChange {
    TeamId m_team;
    bool m_isRefused = false;
    TimePoint m_at {};
    /// When the team is within its share again.
    TimePoint m_until {};

    friend bool operator==(const TeamRefusalChange&, const TeamRefusalChange&) = default;
};

/// See the head of the file.
class TeamShares {
public:
    using MarkChange = std::pair<JobId, ShareMark>;

    /// Replaces the weights. A team without a weight has no share if any other team has one.
    void setTeams(const std::vector<TeamPolicy>&);
    /// Adds a job of a team, which is within the share until takeMarkChanges() says otherwise. A job without a team
    /// needs not be added.
    ShareNumber add(const JobId&, const TeamId&, std::int64_t acceptedMs);
    /// Forgets a job. The marks of the others stay.
    void remove(const JobId&, ShareNumber, std::int64_t acceptedMs);
    /// Jobs whose mark has changed since the last call. Takes time only for jobs accepted after a changed one.
    std::vector<MarkChange> takeMarkChanges();

    /// Notes that a step of the team that is beyond its share, and could still be useful, waits for room.
    void noteRoomWait(ShareNumber team, TimePoint now) { m_teams[team].m_roomWaitEnd = now + roomWaitMemory; }
    /// Decides which teams are refused.
    void updateRefusals(std::int64_t wallNowMs, TimePoint now);
    std::vector<TeamRefusal> refusedTeams(TimePoint now) const;
    std::vector<TeamRefusalChange> takeRefusalChanges() { return std::exchange(m_refusalChanges, {}); }

    /// How often a team began to be refused.
    std::uint64_t refusalCount() const { return m_refusalCount; }
    /// Jobs by team of the configuration, and those of all other teams together.
    std::vector<TeamJobs> jobCounts() const;

private:
    /// Acceptance in microseconds since 1970, then the name of the job.
    using Key = std::pair<Duration, JobId>;
    /// State after the acceptance of a job.
    struct Acceptance {
        Duration m_shareArrival {};
        Duration m_excessArrival {};
        ShareMark m_mark;
        bool m_isMarked = false;
    };
    struct Team {
        TeamId m_team;
        bool m_isConfigured = false;
        double m_weight = 0;
        std::map<Key, Acceptance> m_jobs;
        /// The first job whose mark may have changed; meaningful if m_isDirty.
        Key m_firstDirty;
        bool m_isDirty = false;
        TeamJobs m_counts;
        TimePoint m_roomWaitEnd {};
        bool m_isRefused = false;
        TimePoint m_refusedUntil {};
    };

    static Key keyOf(const JobId&, std::int64_t acceptedMs);
    /// Interval between jobs at the rate of the team's share.
    static Duration interval(const Team&);
    ShareNumber numberOf(const TeamId&);
    void markDirty(ShareNumber, const Key&);
    void remark(Team&, std::vector<MarkChange>&) const;
    static void count(Team&, const Acceptance&, std::uint64_t change);

    std::unordered_map<TeamId, ShareNumber> m_numbers;
    std::vector<Team> m_teams;
    std::vector<ShareNumber> m_dirtyTeams;
    bool m_hasWeights = false;
    std::vector<TeamRefusalChange> m_refusalChanges;
    std::uint64_t m_refusalCount = 0;
};

} // namespace sapphiredale::jobs
