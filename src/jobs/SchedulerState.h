// State of the job scheduler: jobs with their steps and tasks, workers with their runs.
#pragma once

#include "jobs/OccurrenceSet.h"
#include "jobs/RoomIndex.h"
#include "jobs/SchedulerTypes.h"
#include "jobs/StepQueue.h"
#include "jobs/TaskList.h"
#include "jobs/TeamLimits.h"
#include "jobs/TeamShares.h"
#include "jobs/WorkerHealth.h"

#include <boost/container/flat_map.hpp>
#include <boost/container/flat_set.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ranges>
#include <set>
#include <unordered_map>

namespace sapphiredale::jobs {

struct Job;
struct Step;
struct Worker;

using PlaceSet = boost::container::flat_set<WorkerNumber>;

/// Phase of a run. Every run reserves capacity on its worker until its end is known.
enum class RunPhase : std::uint8_t {
    /// Capacity is reserved; the start waits until the store names the worker as a place of the step.
    Recording,
    /// The start was sent and is not answered yet.
    Starting,
    /// The worker confirmed the start or listed the run.
    Running,
    /// The start or its reply may be in flight; a stop bars the run number.
    Unknown,
    /// A stop was sent.
    Stopping,
};

struct Run {
    RunName m_name;
    Step* m_step = nullptr;
    Worker* m_worker = nullptr;
    RunPhase m_phase = RunPhase::Recording;
    Resources m_reserved;
    /// Processor use of a filling task, which reserves no processor time.
    std::int64_t m_fillingMillis = 0;
    TimePoint m_orderedAt {};
    /// Start time of the worker process that was known when the start was sent. A later one may have carried it out.
    std::int64_t m_bornMs = 0;
    /// Start time of the worker process whose report has listed the run; 0 before.
    std::int64_t m_listedBornMs = 0;
    bool m_isActive = true;
    /// The job was beyond the share of its team when the run was added.
    bool m_isBeyondShare = false;
    /// The report that is being handled lists the run.
    bool m_isListed = false;
    /// When the worker's confirmation arrived; max() before. A report that was requested later must list the run.
    TimePoint m_confirmedAt = TimePoint::max();
    /// Time until which the start may be carried out, by this process of the worker or a later one, if it has not been.
    TimePoint m_mayBeginUntil {};
    /// When waiting for the reply to the start was given up; max() otherwise.
    TimePoint m_unknownSince = TimePoint::max();
    /// When the reply to the stop arrived; max() before. If a report that was requested later does not list the run, it
    /// has ended.
    TimePoint m_stopConfirmedAt = TimePoint::max();
    TimePoint m_nextStopAt {};
    double m_percent = 0;
    /// When m_percent last rose.
    TimePoint m_progressAt {};
    /// Progress at which the measurement of the present part of the run began, and when; max() if none has begun.
    double m_measuredPercent = 0;
    TimePoint m_measuredAt = TimePoint::max();
    std::uint32_t m_ratePercent = 100;
    /// The run has been listed long enough after its start not to explain a crash of its worker; see CrashSuspects.cpp.
    bool m_isProven = false;
    /// A crash was counted for the task before this run, so that the worker gets no other work until the run is proven.
    bool m_isTrial = false;
    bool m_isTrialReportRequested = false;
    /// Since when the tail of a serving task has been over its target; max() while it is not.
    TimePoint m_overTargetSince = TimePoint::max();

    /// Start time of the earliest worker process that may have begun the run.
    std::int64_t earliestBornMs() const { return m_listedBornMs != 0 ? m_listedBornMs : m_bornMs; }
};

struct Task {
    bool m_isDone = false;
    bool m_isWaiting = false;
    /// Unresolved runs, and the number of them that are expected to deliver a result.
    std::uint32_t m_liveRuns = 0;
    std::uint32_t m_activeRuns = 0;
    std::uint32_t m_highestRun = 0;
    std::vector<std::uint32_t> m_failedRuns;
    /// Workers whose process ended just after they had started the task, since it last proved itself.
    std::uint32_t m_crashes = 0;
    /// Run for which the last crash was counted.
    std::uint32_t m_lastCrashedRun = 0;
    std::string m_checkpoint;
    /// Worker on which the last run failed or stalled.
    WorkerId m_avoid;
    /// The first worker on which a run failed or stalled, and another one; two of them show that the task is at fault.
    boost::container::flat_set<WorkerNumber> m_failedOn;
    TimePoint m_waitingSince {};
    /// A run was copied or moved to a faster worker in this term.
    bool m_wasMoved = false;
};

/// The adviser's decision about a worker for a step.
struct Permission {
    /// Whether the worker may run the step. Holds for all processes of the worker and does not expire.
    bool m_isAllowed = false;
    /// The newest ticket, and when it expires.
    std::string m_ticket;
    TimePoint m_expiresAt {};
    /// Start time of the worker process for which the ticket was issued; 0 if that is not known.
    std::int64_t m_bornMs = 0;
};

/// What the adviser's answers mean for starting a step on a worker.
enum class AdviceState : std::uint8_t {
    /// The step needs no advice.
    NotNeeded,
    /// The adviser has not answered about the worker.
    NotAsked,
    /// The worker may not run the step.
    Refused,
    /// The worker may run the step, but its ticket was issued for an earlier process, or has expired.
    TicketOfOtherProcess,
    TicketExpired,
    TicketValid,
};

/// Wait of a step for near places; see LocalityWait.h.
struct LocalityState {
    /// Rack that was near at the last decision.
    RackId m_rack;
    /// Waiting tasks that start on that rack only.
    std::uint32_t m_held = 0;
    TimePoint m_nextDecisionAt {};
    /// When tasks began to wait; max() while none does.
    TimePoint m_waitsSince = TimePoint::max();
};

/// A step of one occurrence.
struct Step {
    Job* m_job = nullptr;
    const StepSpec* m_spec = nullptr;
    StepName m_name;
    TaskList<Task> m_tasks;
    std::uint32_t m_doneTasks = 0;
    std::uint32_t m_waitingTasks = 0;
    /// Steps of this occurrence on which it depends and that are not finished.
    std::uint32_t m_openDependencies = 0;
    /// Length of the longest path of estimates that begins with this step.
    Duration m_criticalPath {};
    /// Factor of the fastest workers when the step was queued.
    double m_queuedFactor = 1;
    /// Whether the step is in the queue of waiting steps, and its rank there.
    bool m_isQueued = false;
    StepRank m_queueRank;
    boost::container::flat_map<WorkerNumber, Permission> m_permissions;
    /// Unresolved runs by worker.
    boost::container::flat_map<WorkerNumber, std::uint32_t> m_places;
    /// Places (workers) that the stored record names, and those that the newest record in flight to the store names.
    PlaceSet m_storedPlaces;
    PlaceSet m_sentPlaces;
    /// Places of earlier steps of the job that are recorded for this step too, so that it can start while the store is
    /// unavailable.
    PlaceSet m_plannedPlaces;
    /// Places at which an earlier term may have started tasks.
    std::set<WorkerId> m_inheritedPlaces;
    /// What is charged to the team for tasks that may run there without being known.
    Resources m_inheritedCharge;
    /// Workers that are kept free for this gang, or for the trial of a task under which a worker has crashed, until
    /// m_reservationEnd, and when they should have room.
    std::vector<WorkerNumber> m_reservedWorkers;
    TimePoint m_reservationReadyAt {};
    TimePoint m_reservationEnd {};
    TimePoint m_nextReservationAt {};
    bool m_isAdvicePending = false;
    /// When the newest advice request was sent.
    TimePoint m_adviceSentAt {};
    /// What the open advice request claims of the limit of the team.
    Resources m_teamClaim;
    /// Capacity that the open advice request has tentatively reserved.
    std::vector<std::pair<WorkerNumber, Resources>> m_tentativeReservations;
    TimePoint m_nextAdviceAt {};
    LocalityState m_locality;
    std::uint32_t m_adviceFailures = 0;
    /// When the wait of the step is logged next, and the time that has to pass after that.
    TimePoint m_nextWaitLogAt {};
    Duration m_waitLogInterval {};

    /// Whether tasks may be started on the worker without storing another record.
    bool isRecordedPlace(WorkerNumber worker) const
    {
        return m_storedPlaces.contains(worker) && m_sentPlaces.contains(worker);
    }
    StepIndex index() const { return { m_name.m_occurrence, m_name.m_step }; }
    bool isFinished() const { return m_doneTasks == m_tasks.size(); }
    /// What starts at once: a task, or all tasks of a gang.
    Resources neededAtOnce() const
    {
        return m_spec->m_need * (m_spec->m_isGang ? static_cast<std::int64_t>(m_tasks.size()) : 1);
    }
};

struct Job {
    JobRecord m_record;
    /// Team that is charged for the runs.
    TeamNumber m_team = noTeam;
    /// Position in the order in which the jobs were added.
    std::uint64_t m_number = 0;
    /// Pool of the workers that run the tasks.
    PoolNumber m_pool = 0;
    /// Number of the team in TeamShares, if the job has one, and the mark of the job.
    ShareNumber m_shareNumber = 0;
    ShareMark m_share;
    JobState m_state = JobState::Queued;
    /// State in the store; what callers see once the job has ended.
    JobState m_storedState = JobState::Queued;
    bool m_hasStarted = false;
    /// Counted as a job of its queue that has not started.
    bool m_isPending = false;
    bool m_isDirty = false;
    /// The store did not take the last progress of the job.
    bool m_isRejected = false;
    /// The job's record is stored beside its progress, or on its way there.
    bool m_isRecordKept = false;
    /// Another team has submitted a job under the same ID. The record is kept beside the progress until the job is
    /// removed.
    bool m_isIdReused = false;
    TimePoint m_acceptedAt {};
    /// Target completion time of the job, and the time after which its result has no value to the caller.
    TimePoint m_objective {};
    TimePoint m_usefulUntil {};
    /// Length of the longest path of estimates of all its steps.
    Duration m_chain {};
    TimePoint m_closedAt {};
    /// Failure domain in which the tasks are kept together, so that the loss of a domain hits few jobs.
    std::optional<DomainNumber> m_domain;
    /// Occurrences that are held in memory, with all their steps; see Occurrences.cpp. Steps are referred to by
    /// pointers, so that the vectors never change their size.
    std::map<std::uint32_t, std::vector<Step>> m_occurrences;
    /// For each step, the occurrences in which it is finished, held or not.
    std::vector<OccurrenceSet> m_finishedIn;
    /// Sum of the sizes of m_finishedIn.
    std::uint64_t m_finishedSteps = 0;
    /// Occurrences below this one are due.
    std::uint32_t m_dueOccurrences = 0;
    /// Something has changed that decides which occurrences are held.
    bool m_areHeldOccurrencesStale = true;
    JobHistory m_history;

    bool isOpen() const { return !isFinal(m_state); }
    /// Whether a successor must know the places of the job's runs: as long as they may start again, or count against
    /// the limit of a team.
    bool needsPlaces() const { return isOpen() || m_team != noTeam; }
    std::uint32_t stepsPerOccurrence() const { return static_cast<std::uint32_t>(m_record.m_spec.m_steps.size()); }
    /// The steps that are held, in the order of their occurrences.
    auto steps() { return m_occurrences | std::views::values | std::views::join; }
    auto steps() const { return m_occurrences | std::views::values | std::views::join; }
    /// Null for a step that is not held.
    Step* step(std::uint32_t occurrence, std::uint32_t step)
    {
        const auto held = m_occurrences.find(occurrence);
        return held != m_occurrences.end() && step < held->second.size() ? &held->second[step] : nullptr;
    }
};

/// A start that was neither answered nor listed.
struct UnansweredStart {
    TimePoint m_mayBeginUntil {};
    TimePoint m_orderedAt {};
    /// Start time of the worker process that was ordered.
    std::int64_t m_bornMs = 0;
    /// What is charged for the start, unless a run of its name is known, which then holds the charge.
    TeamNumber m_team = noTeam;
    Resources m_charge;
};

struct Worker {
    WorkerDescription m_description;
    WorkerNumber m_number = 0;
    /// Service and failure domain of the description.
    PoolNumber m_pool = 0;
    DomainNumber m_domain = 0;
    bool m_isListed = false;
    /// Another worker answers at the address: the process has ended, also while the registry still lists it.
    bool m_isReplaced = false;
    /// The description belongs to the current process of the worker; a restarted one may have less capacity.
    bool m_isDescribed = false;
    std::int64_t m_describedBornMs = 0;
    /// A report of the current process that lists all its ends has arrived in this term.
    bool m_hasReported = false;
    /// A report of any process of the worker has arrived in this term.
    bool m_hasReportedInTerm = false;
    TimePoint m_lastReportAt {};
    /// The last report listed runs of unknown jobs. They occupy capacity until they have been stopped.
    bool m_hasUnknownRuns = false;
    /// When an order or a request for a report was last left unanswered; the worker gets no new work until a later
    /// report.
    TimePoint m_unansweredAt {};
    /// Latest time until which previously ordered runs may continue without further orders.
    TimePoint m_leaseEnd {};
    Resources m_reserved;
    std::int64_t m_fillingMillis = 0;
    std::uint32_t m_servingRuns = 0;
    std::uint32_t m_fillingRuns = 0;
    /// The step for which the worker is kept free; null if there is none.
    const Step* m_reservedFor = nullptr;
    /// Expected use by steps whose open advice requests name this worker.
    Resources m_tentativelyReserved;
    WorkerHealth m_health;
    /// The worker refused a start: its state differs from the scheduler's, and the next report resolves that.
    TimePoint m_refusalBackoffEnd {};
    std::uint64_t m_seenEnd = 0;
    std::uint64_t m_storedEnd = 0;
    std::map<RunName, Run> m_runs;
    /// Number of runs that are not proven, and of those that are tried after a crash.
    std::uint32_t m_unprovenRuns = 0;
    std::uint32_t m_trials = 0;
    /// Number of runs with an order that is not confirmed.
    std::uint32_t m_unsettledRuns = 0;
    /// Starts that a later process of the worker would carry out when they arrive. Runs that were confirmed are not
    /// among them.
    std::map<RunName, UnansweredStart> m_unanswered;
    /// The present process rejects calls that were sent to earlier ones or by earlier terms.
    bool m_isFenced = false;
    /// When the restart of the worker was noticed, and the time by which leases that its present process was granted by
    /// such calls have ended.
    TimePoint m_restartedAt {};
    TimePoint m_lateLeaseEnd {};

    /// The worker is granted no lease now, since a successor may have been told when it ends.
    bool m_isLeaseWithheld = false;
    bool m_isSilent = false;
    /// Whether the worker is not silent and has reported since its last unanswered request.
    bool isAnswering() const { return !m_isSilent && m_unansweredAt < m_lastReportAt; }

    Resources free() const { return m_description.m_capacity - m_reserved; }
};

} // namespace sapphiredale::jobs
