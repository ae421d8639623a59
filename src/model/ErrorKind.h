// The closed list of error kinds and the table from a kind to its answer. Problem documents (RFC 9457), refusal
// counters and exit codes are derived from this table, so that a kind has one meaning everywhere.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace sapphiredale {

/// Every error that a caller, an operator or another daemon can be told.
enum class ErrorKind : std::uint8_t {
    InvalidRequest,
    Unauthenticated,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    BodyTooLarge,
    RequestTimeout,
    ConfigurationInvalid,
    VersionConflict,
    PreconditionRequired,
    OutcomeUnknown,
    UnknownWorkload,
    NeverFits,
    QuotaExceeded,
    QueueFull,
    Overloaded,
    DeadlineExceeded,
    DeadlineExceededMayHaveRun,
    NoMinion,
    MinionFailedMayHaveRun,
    AnswerTruncated,
    IdempotencyMayHaveRun,
    IdempotencyMismatch,
    LogUnavailable,
    DomainUnreachable,
    StaleEpoch,
    NotScheduler,
    NotReady,
    ShuttingDown,
    Cancelled,
    Internal,
};

inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// What an error says about the work that was asked for.
enum class RunState : std::uint8_t {
    /// The work was not started and will not be started because of this request.
    NotRun,
    /// The work may have been started; only its owner can say.
    MayHaveRun,
};

/// Answer that belongs to an error kind.
struct ErrorAnswer {
    ErrorKind m_kind;
    /// Stable name in lower case with hyphens: counter label and last part of the problem type.
    std::string_view m_name;
    std::string_view m_title;
    unsigned m_httpStatus;
    RunState m_runState;
    /// Value of Retry-After in seconds; zero means that no such header is sent.
    unsigned m_retryAfterSeconds;
};

/// The answer for a kind; the table is complete, which is verified at compile time.
const ErrorAnswer& answerFor(ErrorKind);

} // namespace sapphiredale
