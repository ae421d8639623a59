// Actions of the ownership core. The daemon executes them and reports each answer or timeout back.
#pragma once

#include "model/ClusterFile.h"
#include "model/Result.h"
#include "model/TaskReport.h"
#include "model/Time.h"
#include "ownership/StreamRecord.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sapphiredale::ownership {

/// Number of a request to a worker; answers carry it back, so that a late answer is recognised.
using RequestNumber = std::uint64_t;
/// Number that the caller of submitJob or cancelJob chose for the reply.
using SubmissionNumber = std::uint64_t;

/// One attempt of a task.
struct TaskAttempt {
    TaskId m_task;
    std::uint32_t m_attempt = 1;

    friend auto operator<=>(const TaskAttempt&, const TaskAttempt&) = default;
};

/// POST /v1/workers/{worker}/lease.
struct SendLease {
    RequestNumber m_request = 0;
    WorkerId m_worker;
    std::string m_address;
    std::string m_holder;
    std::uint64_t m_epoch = 0;
    Duration m_ttl {};
    /// Longest time for which the worker may hold the answer back.
    Duration m_wait {};
    /// Sequence of the last report that was received; zero requests a full report.
    std::uint64_t m_since = 0;
    bool m_externalContact = false;
    std::vector<TaskAttempt> m_acknowledged;
    /// The core treats the request as timed out at this instant; the client may give up then.
    TimePoint m_deadline {};

    friend bool operator==(const SendLease&, const SendLease&) = default;
};

/// POST /v1/workers/{worker}/release; no answer is awaited.
struct SendRelease {
    WorkerId m_worker;
    std::string m_address;
    std::string m_holder;
    std::uint64_t m_epoch = 0;

    friend bool operator==(const SendRelease&, const SendRelease&) = default;
};

enum class CommandOperation : std::uint8_t { Start, Stop, Checkpoint, Throttle };

/// One command to a worker; the members that do not belong to the operation keep their defaults.
struct WorkerCommand {
    CommandOperation m_operation = CommandOperation::Start;
    TaskId m_task;
    std::uint32_t m_attempt = 1;
    /// Start: declared resources.
    Resources m_resources;
    /// Start: program of the workload.
    std::string m_program;
    /// Start: zero means that the task never stops by itself.
    std::uint32_t m_lapseStopSeconds = 0;
    /// Start: present for an instance that answers requests.
    std::optional<MinionSpec> m_minion;
    /// Throttle: new limit.
    std::int64_t m_cpuMillis = 0;
    /// Stop and checkpoint: readable reason.
    std::string m_reason;

    friend bool operator==(const WorkerCommand&, const WorkerCommand&) = default;
};

/// POST /v1/workers/{worker}/commands. At most one such request per worker is in flight.
struct SendCommands {
    RequestNumber m_request = 0;
    WorkerId m_worker;
    std::string m_address;
    std::string m_holder;
    std::uint64_t m_epoch = 0;
    IncarnationId m_incarnation;
    std::vector<WorkerCommand> m_commands;
    TimePoint m_deadline {};

    friend bool operator==(const SendCommands&, const SendCommands&) = default;
};

/// Append one record to the stream of a domain; the caller batches records and reports appendFinished for each.
struct AppendRecord {
    FailureDomainId m_stream;
    StreamRecord m_record;

    friend bool operator==(const AppendRecord&, const AppendRecord&) = default;
};

/// Reply to submitJob or cancelJob.
struct ReplyToSubmitter {
    SubmissionNumber m_submission = 0;
    JobId m_job;
    Result<Unit> m_result;
    /// False for an accepted job that is lost if the scheduler fails before its tasks have started.
    bool m_durable = false;

    friend bool operator==(const ReplyToSubmitter&, const ReplyToSubmitter&) = default;
};

using OwnershipAction = std::variant<SendLease, SendRelease, SendCommands, AppendRecord, ReplyToSubmitter>;

/// Answer 200 of a lease request.
struct LeaseGrant {
    std::uint64_t m_epoch = 0;
    WorkerReport m_report;
};

/// Answer 409 of a lease request.
struct LeaseRejection {
    std::string m_holder;
    /// Greatest epoch that the worker has granted.
    std::uint64_t m_epoch = 0;
    /// Remaining time of the current lease; zero when there is none.
    Duration m_expiresIn {};
};

/// Result of one command, in an answer 200.
struct CommandResult {
    TaskId m_task;
    bool m_ok = true;
    std::string m_reason;
};

/// Why a worker refused a whole batch of commands.
enum class CommandsRefusal : std::uint8_t {
    /// Answer 409.
    StaleEpoch,
    /// Answer 410.
    OtherIncarnation,
};

/// Answer of a command request: one result per command in the order of the request, or a refusal of all.
using CommandsAnswer = std::variant<std::vector<CommandResult>, CommandsRefusal>;

/// What is known about an append.
enum class AppendOutcome : std::uint8_t {
    /// The record is in the stream.
    Appended,
    /// The record is not in the stream and will not appear there.
    Failed,
    /// The answer was lost; the record may be in the stream or still appear there.
    Unknown,
};

/// State of a host in the platform's host list.
enum class HostState : std::uint8_t { Live, Leaving, Gone };

} // namespace sapphiredale::ownership
