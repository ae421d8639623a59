// One completed operation of a party (caller, submitter, reader) and its form as a JSON line of a history file.
#pragma once

#include "model/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphiredale::load {

enum class OperationKind : std::uint8_t {
    /// A request to a service.
    Request,
    /// A submission of a job.
    Job,
    /// A read of the active configuration.
    Read,
};

enum class OperationOutcome : std::uint8_t {
    /// A complete HTTP response that is not a problem document.
    Answered,
    /// A problem document.
    Refused,
    /// The operation may have been received, but no complete response arrived.
    Lost,
    /// No connection was made, so nothing was sent.
    Unsent,
};

struct HistoryEntry {
    /// Line of the history file, from 1; 0 for an entry that was not read from a file.
    std::size_t m_line = 0;
    OperationKind m_kind = OperationKind::Request;
    std::string m_party;
    /// Name of the operation, unique in the history; attempts of one operation share it.
    std::string m_operation;
    std::uint32_t m_attempt = 1;
    std::string m_address;
    /// Idempotency-Key of a non-repeatable request; empty otherwise.
    std::string m_key;
    /// Invocation and completion in microseconds of one monotonic clock.
    std::int64_t m_invokedUs = 0;
    std::int64_t m_completedUs = 0;
    OperationOutcome m_outcome = OperationOutcome::Lost;
    unsigned m_status = 0;
    /// Last part of the type of a problem document.
    std::string m_problem;
    /// Member runState of a problem document: "not-run" or "may-have-run".
    std::string m_runState;
    /// Sapphire-Request-Id of the response.
    std::string m_requestId;
    /// The response was recorded under the key of an earlier attempt.
    bool m_replayed = false;
    /// Digests of the body that the response must have and of the body that it has.
    std::string m_expectedBody;
    std::string m_body;
    /// Read: the version, the digest of its content, and whether the log confirmed it.
    std::uint64_t m_version = 0;
    std::string m_hash;
    bool m_confirmed = false;
    /// Job: the identifier in the response.
    std::string m_job;

    friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
};

/// Length and hash of a text, which stand for it in a history.
std::string digestOf(std::string_view);

/// The entry as one line without its end.
std::string toLine(const HistoryEntry&);
/// Reads a line; the error names what is wrong.
Result<HistoryEntry> parseLine(std::string_view line, std::size_t number);

} // namespace sapphiredale::load
