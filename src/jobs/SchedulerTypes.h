// Inputs and outputs of the job scheduler: reports of workers, orders to them, and requests to the adviser.
#pragma once

#include "jobs/JobProgress.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphiredale::jobs {

/// A task of a job.
struct TaskName {
    JobId m_job;
    TaskIndex m_index;

    friend bool operator==(const TaskName&, const TaskName&) = default;
    friend auto operator<=>(const TaskName& a, const TaskName& b)
    {
        const std::strong_ordering order = a.m_job <=> b.m_job;
        return std::is_neq(order) ? order : a.m_index <=> b.m_index;
    }
};

/// One attempt to run a task. Later attempts have higher numbers.
struct RunName {
    TaskName m_task;
    std::uint32_t m_run = 0;

    friend bool operator==(const RunName&, const RunName&) = default;
    friend auto operator<=>(const RunName& a, const RunName& b)
    {
        const std::strong_ordering order = a.m_task <=> b.m_task;
        return std::is_neq(order) ? order : a.m_run <=> b.m_run;
    }
};

/// A step of one occurrence of a job.
struct StepName {
    JobId m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;

    friend bool operator==(const StepName&, const StepName&) = default;
    friend auto operator<=>(const StepName& a, const StepName& b)
    {
        const std::strong_ordering order = a.m_job <=> b.m_job;
        if (std::is_neq(order))
            return order;
        const std::strong_ordering occurrences = a.m_occurrence <=> b.m_occurrence;
        return std::is_neq(occurrences) ? occurrences : a.m_step <=> b.m_step;
    }
};

/// A worker as the registry describes it.
struct WorkerDescription {
    WorkerId m_worker;
    std::string m_service;
    /// "address:port" of its order interface.
    std::string m_address;
    FailureDomainId m_failureDomain;
    RackId m_rack;
    std::vector<std::string> m_labels;
    Resources m_capacity;
    bool m_isDraining = false;
    /// Start time of the worker process, in milliseconds since 1970; identifies the incarnation.
    std::int64_t m_bornMs = 0;

    friend bool operator==(const WorkerDescription&, const WorkerDescription&) = default;
};

/// A run that a worker lists as running.
struct RunReport {
    RunName m_run;
    std::string m_checkpoint;
    /// Completed work in percent; 100 for a serving task that is at work.
    double m_percent = 0;
    /// Tail of the response times in milliseconds for a serving task; otherwise processor use in thousandths of a core.
    double m_recent = 0;

    friend bool operator==(const RunReport&, const RunReport&) = default;
};

enum class RunEnd : std::uint8_t { Done, Failed, Stopped, Lapsed, Broken, Alone };

/// The end of a run, which its worker lists until it is acknowledged.
struct EndReport {
    /// Position in the worker's list of ends; rises while the worker process lives.
    std::uint64_t m_number = 0;
    RunName m_run;
    RunEnd m_end = RunEnd::Lapsed;
    std::string m_checkpoint;

    friend bool operator==(const EndReport&, const EndReport&) = default;
};

/// A full report of a worker.
struct WorkerReport {
    std::int64_t m_bornMs = 0;
    /// When the report was requested; later events may be missing.
    TimePoint m_askedAt {};
    std::vector<RunReport> m_running;
    std::vector<EndReport> m_ended;
    /// Whether m_ended holds all ends that are not acknowledged. If it does not, the next ones are listed once these
    /// have been acknowledged, and a run that is in neither list may have ended in any way.
    bool m_listsAllEnds = true;
    /// Whether the process rejects calls that were sent to earlier ones, since it has answered this request.
    bool m_isFenced = true;
    /// Time since the start of the process, at least.
    Duration m_processAge {};

    friend bool operator==(const WorkerReport&, const WorkerReport&) = default;
};

/// Result of an order to start a run.
enum class StartOutcome : std::uint8_t {
    Started,
    /// A process of the worker has started the run that is not the known one: the worker has restarted.
    StartedInUnknownProcess,
    /// The worker has not started the run and never will.
    Refused,
    /// The order has not left this host, for example because earlier ones to the worker were not answered.
    NotSent,
    /// The worker has no room.
    RefusedForRoom,
    /// The ticket was not accepted.
    RefusedForTicket,
    /// The worker obeys a scheduler of a later term.
    RefusedForTerm,
    /// No reply: the run may exist or may start later.
    Unknown,
};

/// Permission to run the tasks of a step on a worker.
struct Ticket {
    WorkerId m_worker;
    std::string m_text;

    friend bool operator==(const Ticket&, const Ticket&) = default;
};

/// Latest time after which an unanswered order may still be carried out.
inline constexpr Duration maxOrderDelay = std::chrono::seconds(13);
/// Maximum difference between the time of day on two hosts.
inline constexpr Duration maxClockDifference = std::chrono::seconds(5);

// Orders, in the order in which they are to be carried out.

struct StartOrder {
    WorkerId m_worker;
    RunName m_run;
    std::string m_payload;
    std::string m_checkpoint;
    /// Empty where the queue has no adviser.
    std::string m_ticket;

    friend bool operator==(const StartOrder&, const StartOrder&) = default;
};

struct StopOrder {
    WorkerId m_worker;
    RunName m_run;

    friend bool operator==(const StopOrder&, const StopOrder&) = default;
};

/// Requests a report immediately.
struct ReportOrder {
    WorkerId m_worker;

    friend bool operator==(const ReportOrder&, const ReportOrder&) = default;
};

struct ThrottleOrder {
    WorkerId m_worker;
    RunName m_run;
    std::uint32_t m_percent = 100;

    friend bool operator==(const ThrottleOrder&, const ThrottleOrder&) = default;
};

/// A request to the adviser: which of the workers may run the step?
struct AdviceRequest {
    StepName m_step;
    std::vector<WorkerId> m_workers;
    /// Expected duration of the request.
    Duration m_expected {};

    friend bool operator==(const AdviceRequest&, const AdviceRequest&) = default;
};

/// Reply of the adviser to a request.
struct Advice {
    std::vector<Ticket> m_tickets;
    /// Validity of the tickets from the reply on.
    Duration m_validity {};

    friend bool operator==(const Advice&, const Advice&) = default;
};

/// Daemons that send requests to the adviser, one at a time each.
struct AdviceCapacity {
    std::uint32_t m_idle = 0;
    std::uint32_t m_all = 0;

    friend bool operator==(const AdviceCapacity&, const AdviceCapacity&) = default;
};

using SchedulerAction = std::variant<StartOrder, StopOrder, ReportOrder, ThrottleOrder, AdviceRequest>;

/// Statistics of what delayed a job in this term.
struct JobHistory {
    std::uint32_t m_starts = 0;
    std::uint32_t m_failedRuns = 0;
    std::uint32_t m_stalledRuns = 0;
    /// Runs that were lost with their worker, lapsed or were broken off.
    std::uint32_t m_lostRuns = 0;
    std::uint32_t m_questions = 0;
    /// Longest waits for a worker, for the record of a placement, and for the confirmation of a start order.
    Duration m_longestWait {};
    Duration m_longestRecord {};
    Duration m_longestStart {};
    /// Longest wait for a place near the data or near the other tasks of a step.
    Duration m_longestLocalityWait {};

    friend bool operator==(const JobHistory&, const JobHistory&) = default;
};

/// A job under whose ID another team has submitted a job.
struct ReusedId {
    JobId m_job;
    TeamId m_team;
    TeamId m_otherTeam;

    friend bool operator==(const ReusedId&, const ReusedId&) = default;
};

/// A job whose end has been stored.
struct EndedJob {
    JobId m_job;
    JobState m_state = JobState::Done;
    TimePoint m_acceptedAt {};
    /// Target completion time.
    TimePoint m_objective {};
    /// When the scheduler closed the job; callers see its end once that is stored.
    TimePoint m_closedAt {};
    JobHistory m_history;

    friend bool operator==(const EndedJob&, const EndedJob&) = default;
};

/// A job whose outcome is no longer kept.
struct ExpiredJob {
    JobId m_job;
    JobState m_state = JobState::Done;

    friend bool operator==(const ExpiredJob&, const ExpiredJob&) = default;
};

/// Why the scheduler counts a run as over although no report has listed its end.
enum class RunLossReason : std::uint8_t {
    /// The worker was silent until its lease had certainly ended.
    LeaseEnded,
    /// A draining worker has left.
    WorkerLeft,
    /// A report that would have to list the run does not.
    NotListed,
    /// The worker has confirmed a stop and does not list the run.
    Barred,
    /// Another worker answers at the worker's address.
    WorkerReplaced,
    /// The worker refused the start.
    Refused,
};

/// Name in lower case with hyphens.
const char* nameOf(RunLossReason);

/// A run that was given up, so that its task may start again.
struct LostRun {
    WorkerId m_worker;
    RunName m_run;
    RunLossReason m_reason = RunLossReason::LeaseEnded;
    TimePoint m_at {};
    /// When the run was ordered, or first listed, and the start time of the worker process that was known at that time.
    TimePoint m_orderedAt {};
    std::int64_t m_bornMs = 0;
    /// Start time of the worker process whose report has listed the run; 0 if none has.
    std::int64_t m_listedBornMs = 0;
    /// The start was neither answered nor listed, so that it may still be carried out.
    bool m_isUnanswered = false;
    /// Time until which orders allowed the worker to go on.
    TimePoint m_leaseEnd {};

    friend bool operator==(const LostRun&, const LostRun&) = default;
};

/// A crash of a worker that a run may have caused.
struct CrashUnderRun {
    WorkerId m_worker;
    RunName m_run;
    /// Start time of the worker process that had the run.
    std::int64_t m_bornMs = 0;
    /// Crashes of workers that are counted for the task, and whether its job was given up for them.
    std::uint32_t m_crashes = 0;
    bool m_isGivenUp = false;

    friend bool operator==(const CrashUnderRun&, const CrashUnderRun&) = default;
};

/// The begin of a quarantine of a worker, or its end because failures that led to it were withdrawn.
struct QuarantineChange {
    WorkerId m_worker;
    TimePoint m_at {};
    /// End of the quarantine; m_at if it ended early.
    TimePoint m_end {};

    friend bool operator==(const QuarantineChange&, const QuarantineChange&) = default;
};

/// The restart of a worker under its id.
struct WorkerRestart {
    WorkerId m_worker;
    TimePoint m_at {};
    TimePoint m_lastReportAt {};
    /// The last call to the earlier process was not answered, so that it may still be carried out.
    bool m_hasUnanswered = false;
    /// Time by which leases that the new process was granted by calls to earlier ones have ended.
    TimePoint m_lateLeaseEnd {};
    /// Start times of the two processes.
    std::int64_t m_earlierBornMs = 0;
    std::int64_t m_bornMs = 0;

    friend bool operator==(const WorkerRestart&, const WorkerRestart&) = default;
};

/// A worker that has not reported in this term, on which the runs of earlier terms count as over.
struct ExpiredPlace {
    WorkerId m_worker;
    TimePoint m_at {};
    TimePoint m_leaseEnd {};

    friend bool operator==(const ExpiredPlace&, const ExpiredPlace&) = default;
};

/// A run that a later process of the worker lists than the one that was known when its start was sent.
struct RunOfLaterProcess {
    WorkerId m_worker;
    RunName m_run;
    std::int64_t m_orderedBornMs = 0;
    std::int64_t m_bornMs = 0;
    bool m_wasAnswered = false;

    friend bool operator==(const RunOfLaterProcess&, const RunOfLaterProcess&) = default;
};

/// A run that a worker lists although this term did not order it there, or had given it up.
struct UnexpectedRun {
    WorkerId m_worker;
    RunName m_run;
    /// Start time of the worker process that lists it.
    std::int64_t m_bornMs = 0;
    /// Unresolved runs of the task that were known before.
    std::uint32_t m_otherRuns = 0;
    /// When and why the run was given up; none if this term did not order it.
    std::optional<LostRun> m_loss;

    friend bool operator==(const UnexpectedRun&, const UnexpectedRun&) = default;
};

/// Progress record of a job that is to be stored.
struct ProgressRecord {
    JobId m_job;
    JobProgress m_progress;
    /// The job itself, stored with its progress before its first task starts, so that a successor knows everything that
    /// may run even if it cannot read all accepted jobs.
    std::optional<JobRecord> m_record;
    /// The job has ended and its record is no longer needed.
    bool m_removesRecord = false;

    friend bool operator==(const ProgressRecord&, const ProgressRecord&) = default;
};

} // namespace sapphiredale::jobs
