// Decision how long the tasks of a step wait for places near their data or near each other (delay scheduling).
//
// Answers a rack that many steps want at once, and a rack whose workers are busy for another moment: a task that starts
// elsewhere at once takes longer, and keeps its worker from others for longer, while one that waits too long ends later
// than it would have elsewhere. A waiting task reserves nothing: places that it declines go to other steps.
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <vector>

namespace sapphiredale::jobs {

/// What is known of the tasks of a step that could start now, but not near.
struct LocalityQuestion {
    TimePoint m_now {};
    /// When the tasks became ready to start.
    TimePoint m_readySince {};
    /// Run time of a task on a near place.
    Duration m_estimate {};
    /// Factor by which a task takes longer elsewhere; at most 1 means that nothing is gained by waiting.
    double m_remoteFactor = 1.0;
    /// Latest start on a near place with which the job still meets its objective.
    TimePoint m_latestNearStart {};
    /// Tasks that are to be placed.
    std::uint32_t m_tasks = 0;
    /// Tasks of earlier steps that wait for the same places.
    std::uint32_t m_tasksAhead = 0;
    /// The tasks gain only if all of them are near: a gang, or a step whose tasks are near each other.
    bool m_needsAll = false;
    /// When near places are expected to become free, earliest first.
    std::vector<TimePoint> m_nearPlaces;

    friend bool operator==(const LocalityQuestion&, const LocalityQuestion&) = default;
};

/// Which tasks wait, and for how long at most.
struct LocalityDecision {
    /// Number of tasks that wait; the others start elsewhere now.
    std::uint32_t m_held = 0;
    /// End of the wait.
    TimePoint m_until {};

    friend bool operator==(const LocalityDecision&, const LocalityDecision&) = default;
};

/// Latest end of a wait that began when the tasks became ready: half of the time that a near place saves, since the
/// estimate may be twice the true run time, and no later than the last start with which the objective is met.
TimePoint latestWaitEnd(const LocalityQuestion&);

/// Holds the tasks whose near place is expected to become free before the latest end of their wait.
LocalityDecision decideLocalityWait(const LocalityQuestion&);

/// Counts of waits since the start of the term.
struct LocalityCounters {
    std::uint64_t m_begun = 0;
    /// Tasks that waited and got a near place, or started elsewhere.
    std::uint64_t m_endedNear = 0;
    std::uint64_t m_endedElsewhere = 0;
    /// Total time that these tasks waited.
    Duration m_waited {};

    friend bool operator==(const LocalityCounters&, const LocalityCounters&) = default;
};

} // namespace sapphiredale::jobs
