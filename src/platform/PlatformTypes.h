// Typed requests and answers of the platform's protocols (docs/design.md, sections 4.1 to 4.3). They are free of HTTP
// and JSON, so that cores and fakes can use them.
#pragma once

#include "model/Identifier.h"
#include "model/Resources.h"
#include "model/Result.h"
#include "model/TaskReport.h"
#include "model/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphiredale::platform {

/// Receives the result of a call exactly once, on a thread of the client's I/O context and never inside the call.
///
/// The error kind says what is known: answerFor(kind).m_runState is NotRun when the request was definitely not sent or
/// was definitely rejected, and MayHaveRun when it failed after at least one byte had been sent. Refusals by a register
/// (409, 410) are values of the answer type and not errors.
template <typename T> using Handler = std::function<void(Result<T>)>;

/// True when the call had no effect and never will.
inline bool definitelyNotRun(const Error& error) { return answerFor(error.m_kind).m_runState == RunState::NotRun; }

/// One record of a stream.
struct LogRecord {
    std::uint64_t m_offset = 0;
    /// Time of the append on the clock of the log.
    WallTime m_time;
    std::string m_data;

    friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// Answer to a read of a stream.
struct LogPage {
    /// Oldest offset that the log still retains. When it is greater than the offset that was asked for, records are
    /// lost.
    std::uint64_t m_earliest = 0;
    /// Offset to continue from.
    std::uint64_t m_next = 0;
    std::vector<LogRecord> m_records;

    friend bool operator==(const LogPage&, const LogPage&) = default;
};

enum class HostState : std::uint8_t { Live, Leaving, Gone };

struct HostEntry {
    std::string m_name;
    HostState m_state = HostState::Live;
    FailureDomainId m_failureDomain;

    friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

/// The platform's view of its hosts; it lags behind the truth.
struct HostSnapshot {
    /// Time that the view shows.
    WallTime m_asOf;
    std::vector<HostEntry> m_hosts;
    /// Changes with every change of a host; zero when the service does not state it.
    std::uint64_t m_generation = 0;
    /// True in an answer without hosts, because nothing changed since the generation that was asked for.
    bool m_unchanged = false;

    friend bool operator==(const HostSnapshot&, const HostSnapshot&) = default;
};

/// One start of a task.
struct TaskAttempt {
    TaskId m_task;
    std::uint32_t m_attempt = 1;

    friend bool operator==(const TaskAttempt&, const TaskAttempt&) = default;
};

/// Acquires or renews the lease of a worker and waits for a change of its report.
struct WorkerLeaseRequest {
    DaemonId m_holder;
    std::uint64_t m_epoch = 0;
    Duration m_ttl {};
    /// Longest time that the worker holds the answer back while its report does not change.
    Duration m_wait {};
    /// Sequence number of the last report that the holder has; zero asks for a full report.
    std::uint64_t m_since = 0;
    /// The domain scheduler has reached the log or another domain since its previous renewal.
    bool m_externalContact = false;
    /// Final states that the worker may forget.
    std::vector<TaskAttempt> m_acknowledged;

    friend bool operator==(const WorkerLeaseRequest&, const WorkerLeaseRequest&) = default;
};

/// The lease is granted or renewed.
struct WorkerLeaseGrant {
    std::uint64_t m_epoch = 0;
    WorkerReport m_report;

    friend bool operator==(const WorkerLeaseGrant&, const WorkerLeaseGrant&) = default;
};

/// Another holder has the lease, or the epoch is not greater than one that was granted before (409).
struct LeaseRefusal {
    DaemonId m_holder;
    /// Greatest epoch that the register has granted.
    std::uint64_t m_epoch = 0;
    /// Rest of the current lease on the clock of the register; zero when no lease is active.
    Duration m_expiresIn {};

    friend bool operator==(const LeaseRefusal&, const LeaseRefusal&) = default;
};

using WorkerLeaseAnswer = std::variant<WorkerLeaseGrant, LeaseRefusal>;

struct ReleaseRequest {
    DaemonId m_holder;
    std::uint64_t m_epoch = 0;

    friend bool operator==(const ReleaseRequest&, const ReleaseRequest&) = default;
};

using ReleaseAnswer = std::variant<Unit, LeaseRefusal>;

/// Slots and connections of a minion that a start command declares.
struct MinionLimits {
    std::uint32_t m_slots = 8;
    std::uint32_t m_connections = 64;

    friend bool operator==(const MinionLimits&, const MinionLimits&) = default;
};

struct StartCommand {
    Resources m_resources;
    std::string m_program;
    /// Seconds without a renewal with external contact after which the worker stops the task; zero means never.
    std::uint32_t m_lapseStopSeconds = 0;
    std::optional<MinionLimits> m_minion;

    friend bool operator==(const StartCommand&, const StartCommand&) = default;
};

struct StopCommand {
    friend bool operator==(const StopCommand&, const StopCommand&) = default;
};

struct CheckpointCommand {
    friend bool operator==(const CheckpointCommand&, const CheckpointCommand&) = default;
};

struct ThrottleCommand {
    /// Processor limit in thousandths of a core.
    std::int64_t m_cpuMillis = 0;

    friend bool operator==(const ThrottleCommand&, const ThrottleCommand&) = default;
};

/// One command about one start of a task.
struct WorkerCommand {
    TaskAttempt m_target;
    std::variant<StartCommand, StopCommand, CheckpointCommand, ThrottleCommand> m_operation;

    friend bool operator==(const WorkerCommand&, const WorkerCommand&) = default;
};

struct CommandRequest {
    DaemonId m_holder;
    std::uint64_t m_epoch = 0;
    IncarnationId m_incarnation;
    std::vector<WorkerCommand> m_commands;

    friend bool operator==(const CommandRequest&, const CommandRequest&) = default;
};

struct CommandResult {
    TaskId m_task;
    bool m_ok = false;
    /// Reason of a failure; the current state of the task for a repeated start.
    std::string m_reason;

    friend bool operator==(const CommandResult&, const CommandResult&) = default;
};

/// All commands were rejected because the sender does not hold the lease (409).
struct StaleEpochRefusal {
    /// Holder and epoch that the worker has on record.
    DaemonId m_holder;
    std::uint64_t m_epoch = 0;

    friend bool operator==(const StaleEpochRefusal&, const StaleEpochRefusal&) = default;
};

/// All commands were rejected because the worker has restarted (410).
struct IncarnationRefusal {
    IncarnationId m_incarnation;

    friend bool operator==(const IncarnationRefusal&, const IncarnationRefusal&) = default;
};

/// Results in the order of the commands, or the refusal of all of them.
using CommandAnswer = std::variant<std::vector<CommandResult>, StaleEpochRefusal, IncarnationRefusal>;

struct MinionLeaseRequest {
    DaemonId m_holder;
    std::uint64_t m_epoch = 0;
    /// Length of the lease; zero releases it.
    Duration m_ttl {};
    /// Longest time that the minion holds the answer back while nothing changes.
    Duration m_wait {};

    friend bool operator==(const MinionLeaseRequest&, const MinionLeaseRequest&) = default;
};

struct MinionLeaseGrant {
    std::uint64_t m_epoch = 0;
    /// Requests that occupy a slot and whose end the holder cannot see by itself: they were started under an earlier
    /// epoch, or their connection has closed.
    std::uint32_t m_inFlight = 0;
    /// Open connections that last carried an earlier epoch.
    std::uint32_t m_connections = 0;
    std::uint32_t m_slots = 0;
    /// The minion starts no new request.
    bool m_leaving = false;

    friend bool operator==(const MinionLeaseGrant&, const MinionLeaseGrant&) = default;
};

using MinionLeaseAnswer = std::variant<MinionLeaseGrant, LeaseRefusal>;

} // namespace sapphiredale::platform
