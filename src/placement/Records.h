// Records of the placement core: tasks, jobs, workloads, teams and workers, linked by dense indices.
#pragma once

#include "model/ClusterFile.h"
#include "model/TaskReport.h"
#include "model/Time.h"
#include "placement/Reason.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace sapphiredale::placement {

using TaskIndex = std::uint32_t;
using JobIndex = std::uint32_t;
using WorkloadIndex = std::uint32_t;
using ClassIndex = std::uint32_t;
using TeamIndex = std::uint32_t;
using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;

/// Index that refers to nothing.
inline constexpr std::uint32_t noIndex = std::numeric_limits<std::uint32_t>::max();

/// Lifecycle phase of a task. Tasks in the phases Starting to Stopping occupy resources on a worker.
enum class Phase : std::uint8_t { Free, Waiting, Backoff, Starting, Running, Stopping, Finished, Failed };

inline bool occupies(Phase phase)
{
    return phase == Phase::Starting || phase == Phase::Running || phase == Phase::Stopping;
}

/// One task. Small, since there are tens of thousands.
struct Task {
    /// Key in the table of names, or in the table of strays.
    const TaskId* m_id = nullptr;
    JobIndex m_job = noIndex;
    WorkloadIndex m_workload = noIndex;
    WorkerIndex m_worker = noIndex;
    /// Position in the worker's list of tasks.
    std::uint32_t m_slot = 0;
    std::uint32_t m_attempt = 0;
    /// Highest attempt whose final state was reported.
    std::uint32_t m_finalAttempt = 0;
    /// Links of the workload's queue.
    TaskIndex m_previous = noIndex;
    TaskIndex m_next = noIndex;
    /// Worker on which capacity is claimed for this waiting task.
    WorkerIndex m_claimedWorker = noIndex;
    /// Worker on which the last attempt failed; a retry prefers other workers.
    WorkerIndex m_avoidedWorker = noIndex;
    Phase m_phase = Phase::Free;
    /// Why the task is being stopped, or why it was last queued again.
    Reason m_cause = Reason::None;
    bool m_inQueue = false;
    /// An attempt that must not run, for example an older one on a worker that came back; it is stopped.
    bool m_stray = false;
    /// Counted in the reclaimable amount of its worker.
    bool m_reclaimable = false;
    bool m_throttled = false;
    bool m_checkpointTimedOut = false;
    /// Placed on capacity that a group has claimed; stopped when the group can start.
    bool m_backfill = false;
    /// Charged to its team as non-preemptible use.
    bool m_chargedAsNonPreemptible = false;
    /// Reserves more than it declared.
    bool m_overuses = false;
    /// An earlier attempt reserved more than it declared; m_reserved keeps that amount while the task waits.
    bool m_hasGrown = false;
    /// Its usage was counted as a sample of its workload.
    bool m_sampled = false;
    std::uint8_t m_preemptions = 0;
    std::uint8_t m_failures = 0;
    /// Reserved on the worker: the larger of the declared size and the trusted usage.
    Resources m_reserved;
    Resources m_declared;
    /// Instant of the last usage report of the attempt.
    TimePoint m_usageReportedAt {};
    /// Start of the present wait.
    TimePoint m_queuedAt {};
    /// Start of the present attempt.
    TimePoint m_startedAt {};
    /// Instant at which a stop is requested again, the claim expires or the backoff ends.
    TimePoint m_deadline {};
};

/// A job, or all instances of one service.
struct Job {
    JobId m_id;
    WorkloadIndex m_workload = noIndex;
    bool m_isService = false;
    bool m_cancelled = false;
    /// Finished, failed or cancelled, kept for late reports and explanations.
    bool m_closed = false;
    std::vector<TaskIndex> m_tasks;
    /// Tasks without a final result.
    std::uint32_t m_unfinishedTasks = 0;
    /// Tasks that occupy resources.
    std::uint32_t m_activeTasks = 0;
    /// Tasks per rack; kept when the workload bounds them.
    std::vector<std::pair<RackIndex, std::uint32_t>> m_tasksPerRack;
    /// Distinct workers on which tasks of this job failed, the newest last (at most 4).
    std::vector<WorkerIndex> m_failedOn;
    TimePoint m_closedAt {};
};

/// A workload with its queue, shared by all its tasks since they have the same size, class and team.
struct Workload {
    WorkloadSpec m_spec;
    ClassIndex m_class = noIndex;
    TeamIndex m_team = noIndex;
    /// In the file in force; accepted work of a workload that is no longer declared still runs.
    bool m_declared = false;
    bool m_inReadyList = false;
    bool m_inBlockedList = false;

    /// Most tasks that empty workers hold at once, valid for this generation of the worker table.
    std::uint64_t m_maxConcurrentTasks = 0;
    std::uint64_t m_maxConcurrentTasksGeneration = 0;

    TaskIndex m_head = noIndex;
    TaskIndex m_tail = noIndex;
    std::uint32_t m_queued = 0;

    /// Why the head of the queue waits; None when it was not tried yet.
    Reason m_waitReason = Reason::None;
    /// Job record of the instances of a service.
    JobIndex m_serviceJob = noIndex;
    /// Next instant at which a blocked head is tried without a release of capacity.
    TimePoint m_retryAt {};
    /// Release count of the team when the head was blocked.
    std::uint64_t m_releaseCountWhenBlocked = 0;

    /// Size learned from usage, at least the declared size.
    Resources m_learnedSize;
    /// Largest usage of the present window and the number of distinct tasks that support it.
    Resources m_peak;
    std::uint32_t m_samples = 0;
    /// Smoothed run time and deviation in seconds; negative when nothing is known.
    double m_meanRunSeconds = -1;
    double m_runSecondsDeviation = 0;

    /// Distinct workers on which it failed since its last success anywhere (at most 4 are kept).
    std::vector<WorkerIndex> m_failedOn;
};

/// A team with its use.
struct Team {
    TeamSpec m_spec;
    Resources m_used;
    /// Part of the use that cannot be preempted.
    Resources m_nonPreemptibleUse;
    /// Claimed by waiting tasks that will start; not available to other tasks of the team.
    Resources m_claimed;
    std::uint64_t m_releaseCount = 0;
};

/// Health of a worker as seen from the results of its tasks.
enum class Health : std::uint8_t { Good, Quarantined, Probation };

/// A worker with what it runs.
struct Worker {
    WorkerSpec m_spec;
    RackIndex m_rack = noIndex;
    bool m_present = false;
    bool m_available = false;
    /// In the list of workers that changed since the last step.
    bool m_dirty = false;
    Health m_health = Health::Good;
    std::uint8_t m_quarantines = 0;
    TimePoint m_quarantinedUntil {};
    Resources m_reserved;
    /// Claimed by waiting tasks; not free for others.
    Resources m_claimed;
    /// Part of m_reserved that preemption can reclaim.
    Resources m_reclaimable;
    std::vector<TaskIndex> m_tasks;
    /// Waiting tasks that hold a claim on this worker.
    std::vector<TaskIndex> m_claimants;
    /// Reservations of backfill tasks.
    Resources m_backfilled;
    std::uint32_t m_startingTasks = 0;
    std::uint32_t m_overusingTasks = 0;
    /// Start that decides about the end of the probation.
    TaskIndex m_probationTask = noIndex;
    /// Distinct jobs with a failure here since the last success.
    std::vector<JobIndex> m_failedJobs;
    /// Start of the first failed attempt in m_failedJobs; successes of earlier attempts do not clear the failures.
    TimePoint m_failuresSince {};
    /// Position in the two grids.
    std::uint32_t m_freeBucket = noIndex;
    std::uint32_t m_freeSlot = 0;
    std::uint32_t m_reclaimBucket = noIndex;
    std::uint32_t m_reclaimSlot = 0;

    /// Capacity available to tasks without a claim on this worker; may be negative.
    Resources free() const { return m_spec.m_capacity - m_reserved - m_claimed; }
    /// Capacity that is not reserved by tasks; includes claimed capacity.
    Resources unoccupied() const { return m_spec.m_capacity - m_reserved; }
};

} // namespace sapphiredale::placement
