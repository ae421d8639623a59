// Inputs and actions of the ConfigurationService.
#pragma once

#include "configuration/ConfigurationFold.h"
#include "model/ErrorKind.h"
#include "model/Identifier.h"
#include "model/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphiredale::configuration {

/// Identifies a request of an operator between its input and its answer; chosen by the daemon, unique while it is open.
using RequestToken = std::uint64_t;
/// Identifies a read of the log between its action and its result.
using ReadId = std::uint64_t;

// Inputs.

/// PUT /v1/configuration.
struct ApplyRequest {
    RequestToken m_token = 0;
    std::string m_text;
    /// Version from If-Match; without it the request is refused with PreconditionRequired.
    std::optional<std::uint64_t> m_base;
    std::string m_author;
};

/// GET of the file, the history or the outcome of an application: answered when the end of the log was read.
struct ReadRequest {
    RequestToken m_token = 0;
};

struct LogRecord {
    std::uint64_t m_offset = 0;
    WallTime m_time;
    std::string m_data;
};

/// Answer to ReadLog.
struct LogReadSucceeded {
    ReadId m_read = 0;
    std::uint64_t m_earliest = 0;
    /// Offset after the newest record of the stream.
    std::uint64_t m_next = 0;
    std::vector<LogRecord> m_records;
};

struct LogReadFailed {
    ReadId m_read = 0;
};

struct AppendSucceeded {
    RecordId m_record;
    std::uint64_t m_offset = 0;
};

/// The append had no answer, or an error.
struct AppendFailed {
    RecordId m_record;
    /// True only when the log cannot have taken the record, for example when no connection was made.
    bool m_certainlyNotAppended = false;
};

/// Version, hash and offset from a heartbeat of another daemon.
struct PeerAdvertised {
    DaemonId m_daemon;
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_nextOffset = 0;
};

/// Answer to FetchFromPeer: the text of encodeState, or nothing when the peer did not answer.
struct PeerStateReceived {
    DaemonId m_daemon;
    std::string m_state;
};

/// The live daemons of all domains, this one included.
struct LiveDaemons {
    std::vector<DaemonId> m_daemons;
};

/// Time has passed; to be sent when nextWake() is reached.
struct Tick { };

using ConfigurationInput = std::variant<ApplyRequest, ReadRequest, LogReadSucceeded, LogReadFailed, AppendSucceeded,
    AppendFailed, PeerAdvertised, PeerStateReceived, LiveDaemons, Tick>;

// Actions.

/// Read the configuration stream; answered by LogReadSucceeded or LogReadFailed with the same identifier. A result
/// that comes after the deadline is still welcome.
struct ReadLog {
    ReadId m_read = 0;
    std::uint64_t m_from = 0;
    std::uint32_t m_maxBytes = 0;
    /// Longest wait for new records; zero for an immediate answer.
    Duration m_wait {};
    TimePoint m_deadline;
};

/// Append one record; answered by AppendSucceeded or AppendFailed.
struct AppendRecord {
    RecordId m_record;
    std::string m_data;
    TimePoint m_deadline;
};

/// Ask a peer for its state; answered by PeerStateReceived.
struct FetchFromPeer {
    DaemonId m_daemon;
    TimePoint m_deadline;
};

/// The file was accepted and is in force.
struct ApplyAccepted {
    std::uint64_t m_version = 0;
    RecordId m_recordId;
};

/// The file was refused and will never come into force by this request.
struct ApplyRefused {
    ErrorKind m_kind = ErrorKind::Internal;
    std::string m_detail;
    /// Faults of the file, for ConfigurationInvalid.
    std::vector<FileError> m_errors;
    /// The versions after the base, oldest first, for VersionConflict.
    std::vector<HistoryEntry> m_changes;
    /// Version in force, for VersionConflict.
    std::uint64_t m_inForce = 0;
};

/// The outcome was not known at the deadline; it can be asked for by the identifier of the record.
struct ApplyUndecided {
    RecordId m_recordId;
    std::string m_detail;
};

struct AnswerApply {
    RequestToken m_token = 0;
    std::variant<ApplyAccepted, ApplyRefused, ApplyUndecided> m_answer;
};

/// A read may be answered now from fold().
struct AnswerRead {
    RequestToken m_token = 0;
    /// True when the fold has reached the end that the log had after the request arrived.
    bool m_confirmed = false;
};

/// A new version is in force on this daemon.
struct FileActivated {
    std::shared_ptr<const FileInForce> m_file;
};

using ConfigurationAction = std::variant<ReadLog, AppendRecord, FetchFromPeer, AnswerApply, AnswerRead, FileActivated>;

} // namespace sapphiredale::configuration
