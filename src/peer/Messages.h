// The messages that daemons exchange, as plain values. MessageCodec translates them to protobuf; no protobuf type
// appears in a public header. Instants that cross hosts are WallTime. An absent field of an older sender has its
// default value.
#pragma once

#include "model/Identifier.h"
#include "model/Resources.h"
#include "model/Result.h"
#include "model/TaskReport.h"
#include "model/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphiredale::peer {

/// Version of the protocol. It changes only when old and new daemons cannot interoperate; added fields keep it.
inline constexpr std::uint32_t protocolVersion = 1;
/// Most bytes of an encoded message.
inline constexpr std::size_t maxMessageBytes = std::size_t { 1 } << 20;
/// Most bytes of file content in one ConfigurationTransfer; it leaves room for the envelope below maxMessageBytes.
inline constexpr std::size_t maxChunkBytes = std::size_t { 512 } << 10;
/// Most rows of a TasksReply or WorkersReply and most services of a Heartbeat.
inline constexpr std::size_t maxRows = 2000;

/// Free slots of one service that the sender can use, for the choice of a relay.
struct ServiceSlots {
    WorkloadId m_workload;
    std::uint32_t m_freeSlots = 0;

    friend bool operator==(const ServiceSlots&, const ServiceSlots&) = default;
};

/// Periodic sign of life with what the other daemons need to know about the sender.
struct Heartbeat {
    DaemonId m_daemon;
    FailureDomainId m_failureDomain;
    RegionId m_region;
    /// "address:port" of the listeners. Empty: as in an earlier heartbeat of the same incarnation (saves bandwidth).
    std::string m_peerAddress;
    std::string m_callerAddress;
    std::string m_relayAddress;
    std::string m_softwareVersion;
    std::uint64_t m_configurationVersion = 0;
    std::uint64_t m_configurationHash = 0;
    bool m_leaving = false;
    bool m_cutOffFromLog = false;
    std::vector<ServiceSlots> m_freeSlots;
    bool m_isScheduler = false;
    /// Epoch of the domain lease; meaningful when m_isScheduler.
    std::uint64_t m_epoch = 0;
    /// Number of this heartbeat among those of the sender's incarnation.
    std::uint64_t m_sequence = 0;
    /// Incarnation of the addressee and its greatest heartbeat number that the sender has received; zero for none.
    std::uint64_t m_acknowledgedIncarnation = 0;
    std::uint64_t m_acknowledgedSequence = 0;
    /// Whether addresses, domain and version of the software, or version and hash of the configuration, are present.
    bool m_hasDescription = false;
    bool m_hasConfiguration = false;
    /// Domains that the sender has not heard within its contact window.
    std::vector<FailureDomainId> m_silentDomains;
    std::string m_operatorAddress;
    /// Offset up to which the sender has read the configuration stream.
    std::uint64_t m_configurationNextOffset = 0;

    friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Answer to a heartbeat; its envelope correlates with the heartbeat.
struct HeartbeatAck {
    std::uint64_t m_configurationVersion = 0;
    std::uint64_t m_configurationHash = 0;

    friend bool operator==(const HeartbeatAck&, const HeartbeatAck&) = default;
};

/// Asks for one chunk of the file in force.
struct ConfigurationRequest {
    /// Wanted version; zero asks for the newest that the receiver has.
    std::uint64_t m_version = 0;
    std::uint64_t m_offset = 0;

    friend bool operator==(const ConfigurationRequest&, const ConfigurationRequest&) = default;
};

/// One chunk of the file. Version zero says that the receiver does not have the wanted version.
struct ConfigurationTransfer {
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_totalBytes = 0;
    std::uint64_t m_offset = 0;
    /// At most maxChunkBytes; the format of the whole is that of the configuration stream's records.
    std::string m_chunk;

    friend bool operator==(const ConfigurationTransfer&, const ConfigurationTransfer&) = default;
};

/// Submits a job to its home domain.
struct SubmitJob {
    JobId m_job;
    WorkloadId m_workload;
    std::uint32_t m_taskCount = 1;
    /// The submission has no effect after this instant.
    std::optional<WallTime> m_deadline;

    friend bool operator==(const SubmitJob&, const SubmitJob&) = default;
};

struct SubmitJobReply {
    JobId m_job;
    /// Whether the job is in the log; false for a class with memory durability.
    bool m_durable = false;
    /// Reason of the refusal; none when the job was accepted.
    std::optional<Error> m_error;

    friend bool operator==(const SubmitJobReply&, const SubmitJobReply&) = default;
};

struct CancelJob {
    JobId m_job;

    friend bool operator==(const CancelJob&, const CancelJob&) = default;
};

struct CancelJobReply {
    JobId m_job;
    bool m_found = false;
    std::optional<Error> m_error;

    friend bool operator==(const CancelJobReply&, const CancelJobReply&) = default;
};

/// Asks for the state of a job.
struct JobStatus {
    JobId m_job;

    friend bool operator==(const JobStatus&, const JobStatus&) = default;
};

enum class JobState : std::uint8_t { Unknown, Waiting, Running, Finished, Failed, Cancelled };

struct JobStatusReply {
    JobId m_job;
    JobState m_state = JobState::Unknown;
    WorkloadId m_workload;
    std::uint32_t m_waitingTasks = 0;
    std::uint32_t m_runningTasks = 0;
    std::uint32_t m_finishedTasks = 0;
    /// Readable reason why tasks wait or why the job failed.
    std::string m_detail;
    std::optional<Error> m_error;

    friend bool operator==(const JobStatusReply&, const JobStatusReply&) = default;
};

/// Claims the right to forward a non-repeatable request (design 2.6).
struct ClaimRequest {
    std::string m_key;
    /// Unique identifier of this claim.
    RecordId m_claim;
    WallTime m_deadline;
    /// Hash of method, path and body; a key that is used with another request is refused.
    std::uint64_t m_requestHash = 0;

    friend bool operator==(const ClaimRequest&, const ClaimRequest&) = default;
};

/// Recorded response to a request that has run.
struct RecordedOutcome {
    std::uint32_t m_httpStatus = 0;
    std::string m_contentType;
    std::string m_body;

    friend bool operator==(const RecordedOutcome&, const RecordedOutcome&) = default;
};

enum class ClaimVerdict : std::uint8_t {
    /// No claim was made; m_error has the reason, and the request has not run because of this claim.
    Refused,
    /// The claim is the first of its key: its author may forward the request.
    Won,
    /// An earlier claim has a recorded outcome, in m_outcome.
    Recorded,
    /// An earlier claim exists, and its outcome is not known.
    MayHaveRun,
};

struct ClaimReply {
    RecordId m_claim;
    ClaimVerdict m_verdict = ClaimVerdict::Refused;
    std::optional<RecordedOutcome> m_outcome;
    std::optional<Error> m_error;

    friend bool operator==(const ClaimReply&, const ClaimReply&) = default;
};

/// Reports the outcome of a won claim to the home domain, which records it. It has no reply.
struct ClaimOutcome {
    std::string m_key;
    RecordId m_claim;
    RecordedOutcome m_outcome;
    /// True when the request provably did not run, so that the key may be claimed again.
    bool m_notRun = false;
    /// True when the body was too long or cut short and cannot be repeated.
    bool m_incomplete = false;

    friend bool operator==(const ClaimOutcome&, const ClaimOutcome&) = default;
};

/// Asks a domain scheduler for a page of its tasks, in the order of their identifiers.
struct TasksQuery {
    /// Last task of the previous page; empty for the first page.
    TaskId m_after;
    /// Most rows; zero and greater values mean maxRows.
    std::uint32_t m_limit = 0;
    /// Only tasks of this workload; empty for all.
    WorkloadId m_workload;

    friend bool operator==(const TasksQuery&, const TasksQuery&) = default;
};

struct TaskRow {
    TaskId m_task;
    WorkloadId m_workload;
    /// Empty while the task waits.
    WorkerId m_worker;
    std::uint32_t m_attempt = 0;
    /// Stable name of the state.
    std::string m_state;
    std::string m_reason;
    Resources m_declared;
    Resources m_usage;

    friend bool operator==(const TaskRow&, const TaskRow&) = default;
};

struct TasksReply {
    std::vector<TaskRow> m_rows;
    /// True when a further page exists, after the last row of this one.
    bool m_more = false;
    std::optional<Error> m_error;

    friend bool operator==(const TasksReply&, const TasksReply&) = default;
};

/// Asks a domain scheduler for a page of its workers, in the order of their identifiers.
struct WorkersQuery {
    WorkerId m_after;
    std::uint32_t m_limit = 0;

    friend bool operator==(const WorkersQuery&, const WorkersQuery&) = default;
};

struct WorkerRow {
    WorkerId m_worker;
    RackId m_rack;
    /// Stable name of the state.
    std::string m_state;
    std::uint32_t m_tasks = 0;
    Resources m_capacity;
    Resources m_assigned;
    Resources m_usage;

    friend bool operator==(const WorkerRow&, const WorkerRow&) = default;
};

struct WorkersReply {
    std::vector<WorkerRow> m_rows;
    bool m_more = false;
    std::optional<Error> m_error;

    friend bool operator==(const WorkersReply&, const WorkersReply&) = default;
};

/// Asks a daemon of the same domain for the running minions. The reply has no rows when nothing changed.
struct MinionsQuery {
    /// Generation of the list that the sender has; zero for none.
    std::uint64_t m_knownGeneration = 0;

    friend bool operator==(const MinionsQuery&, const MinionsQuery&) = default;
};

struct MinionRow {
    /// Task identifier of the minion.
    MinionId m_minion;
    WorkloadId m_workload;
    std::string m_address;
    std::uint32_t m_slots = 0;
    std::uint32_t m_connections = 0;

    friend bool operator==(const MinionRow&, const MinionRow&) = default;
};

struct MinionsReply {
    /// Hash of the list, equal on all daemons that have the same list.
    std::uint64_t m_generation = 0;
    bool m_unchanged = false;
    std::vector<MinionRow> m_rows;
    std::optional<Error> m_error;

    friend bool operator==(const MinionsReply&, const MinionsReply&) = default;
};

/// Asks the domain scheduler why a task runs where it runs, or why it waits.
struct ExplainQuery {
    TaskId m_task;

    friend bool operator==(const ExplainQuery&, const ExplainQuery&) = default;
};

struct ExplainReply {
    TaskId m_task;
    std::string m_state;
    WorkerId m_worker;
    std::string m_reason;
    std::string m_detail;
    std::string m_release;
    std::optional<Error> m_error;

    friend bool operator==(const ExplainReply&, const ExplainReply&) = default;
};

/// Every message; the order is that of MessageKind.
using Payload = std::variant<Heartbeat, HeartbeatAck, ConfigurationRequest, ConfigurationTransfer, SubmitJob,
    SubmitJobReply, CancelJob, CancelJobReply, JobStatus, JobStatusReply, ClaimRequest, ClaimReply, ClaimOutcome,
    TasksQuery, TasksReply, WorkersQuery, WorkersReply, MinionsQuery, MinionsReply, ExplainQuery, ExplainReply>;

/// Kind of a message, the index of its type in Payload.
enum class MessageKind : std::uint8_t {
    Heartbeat,
    HeartbeatAck,
    ConfigurationRequest,
    ConfigurationTransfer,
    SubmitJob,
    SubmitJobReply,
    CancelJob,
    CancelJobReply,
    JobStatus,
    JobStatusReply,
    ClaimRequest,
    ClaimReply,
    ClaimOutcome,
    TasksQuery,
    TasksReply,
    WorkersQuery,
    WorkersReply,
    MinionsQuery,
    MinionsReply,
    ExplainQuery,
    ExplainReply,
};

inline constexpr std::size_t messageKindCount = std::variant_size_v<Payload>;
static_assert(messageKindCount == static_cast<std::size_t>(MessageKind::ExplainReply) + 1);

/// Stable name of a kind in lower case with hyphens, a counter label.
std::string_view nameOf(MessageKind);

/// A message with its sender and, for calls and replies, its correlation.
struct Envelope {
    DaemonId m_sender;
    /// Random number that the sender chooses when it starts.
    std::uint64_t m_senderIncarnation = 0;
    /// Number of the message among those of the sender's incarnation to this receiver, from 1. PeerTransport sets it.
    std::uint64_t m_sequence = 0;
    /// Number of the call, chosen by the caller and repeated in the reply; zero for a message without a reply.
    std::uint64_t m_correlation = 0;
    /// In a reply: incarnation of the caller, so that a restarted caller does not take it for a reply to its own call.
    std::uint64_t m_replyToIncarnation = 0;
    Payload m_payload;

    friend bool operator==(const Envelope&, const Envelope&) = default;
};

inline MessageKind kindOf(const Envelope& envelope) { return static_cast<MessageKind>(envelope.m_payload.index()); }

/// Kind of the reply to a call; none for messages that have no reply.
std::optional<MessageKind> replyKindOf(MessageKind);

} // namespace sapphiredale::peer
