// Failures of runs on one worker, and the quarantine that follows from them.
//
// Answers workers that fail or stall whatever they start, beside jobs that fail wherever they run. A job counts once
// against a worker, however many of its runs fail there, and not at all once one of its tasks has failed on another
// worker too: the failures of one job never put a worker into quarantine. Free of I/O and clock.
#pragma once

#include "jobs/JobProgress.h"
#include "model/Time.h"

#include <boost/container/flat_map.hpp>
#include <cstdint>
#include <set>

namespace sapphiredale::jobs {

/// See the head of the file. Functions that take `now` are called with times that do not decrease.
class WorkerHealth {
public:
    /// Notes that a run of the task failed or stalled. `job` is the number of the job in this term.
    void runFailed(std::uint64_t job, const TaskIndex&, TimePoint now);
    /// Withdraws the failures of a task that has failed on another worker as well. Returns whether that ended a
    /// quarantine.
    bool withdraw(std::uint64_t job, const TaskIndex&, TimePoint now);
    /// Notes that a run succeeded: every failure before it counts half as much.
    void runSucceeded();

    /// Whether the failures call for a quarantine that has not begun.
    bool needsQuarantine(TimePoint now) const;
    /// Begins a quarantine, twice as long as the one before. A job that fails after it begins the next one.
    void beginQuarantine(TimePoint now);
    bool isQuarantined(TimePoint now) const { return now < m_quarantineEnd; }
    TimePoint quarantineEnd() const { return m_quarantineEnd; }

private:
    struct JobFailures {
        double m_weight = 1;
        std::set<TaskIndex> m_tasks;
    };

    double score() const;
    double threshold() const;
    /// Forgets the failures that led to a quarantine which is over.
    void endQuarantine(TimePoint now);

    /// By number of the job. No entry is without tasks.
    boost::container::flat_map<std::uint64_t, JobFailures> m_failures;
    /// End of the last quarantine; the epoch before the first one.
    TimePoint m_quarantineEnd {};
    /// The failures that led to the last quarantine are still counted.
    bool m_hasQuarantineFailures = false;
    /// Whether no run has succeeded since the last quarantine.
    bool m_isOnProbation = false;
    /// Quarantines in a row, not counting those that were ended by withdrawn failures.
    std::uint32_t m_quarantines = 0;
};

} // namespace sapphiredale::jobs
