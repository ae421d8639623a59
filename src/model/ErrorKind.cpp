// The table of answers by error kind.

#include "model/ErrorKind.h"

namespace sapphiredale {

namespace {

    using enum ErrorKind;
    using enum RunState;

    constexpr std::array<ErrorAnswer, errorKindCount> answers { {
        { InvalidRequest, "invalid-request", "The request is not valid", 400, NotRun, 0 },
        { Unauthenticated, "unauthenticated", "The request carries no valid key", 401, NotRun, 0 },
        { Forbidden, "forbidden", "The resource belongs to another team", 403, NotRun, 0 },
        { NotFound, "not-found", "No such resource", 404, NotRun, 0 },
        { MethodNotAllowed, "method-not-allowed", "The resource does not support this method", 405, NotRun, 0 },
        { BodyTooLarge, "body-too-large", "The body exceeds the limit", 413, NotRun, 0 },
        { RequestTimeout, "request-timeout", "The request was not received in time", 408, NotRun, 0 },
        { ConfigurationInvalid, "configuration-invalid", "The file was refused", 422, NotRun, 0 },
        { VersionConflict, "version-conflict", "The file was made from an older version", 412, NotRun, 0 },
        { PreconditionRequired, "precondition-required", "If-Match is required", 428, NotRun, 0 },
        { OutcomeUnknown, "outcome-unknown", "The outcome is not known yet", 503, MayHaveRun, 2 },
        { UnknownWorkload, "unknown-workload", "No such workload in the file in force", 404, NotRun, 0 },
        { NeverFits, "never-fits", "No declared worker can carry this work", 422, NotRun, 0 },
        { QuotaExceeded, "quota-exceeded", "The quota of the team is exceeded", 429, NotRun, 5 },
        { QueueFull, "queue-full", "The queue is full", 503, NotRun, 1 },
        { Overloaded, "overloaded", "The deadline cannot be met under the present load", 503, NotRun, 1 },
        { DeadlineExceeded, "deadline-exceeded", "The deadline passed before the work was started", 504, NotRun, 0 },
        { DeadlineExceededMayHaveRun, "deadline-exceeded-may-have-run", "The deadline passed while the work ran", 504,
            MayHaveRun, 0 },
        { NoMinion, "no-minion", "No minion of the service is available", 503, NotRun, 1 },
        { MinionFailedMayHaveRun, "minion-failed-may-have-run", "The minion failed while the request was in flight",
            502, MayHaveRun, 0 },
        { AnswerTruncated, "answer-truncated", "The answer of the minion was incomplete", 502, MayHaveRun, 0 },
        { IdempotencyMayHaveRun, "idempotency-may-have-run", "This request was sent before and may have run", 409,
            MayHaveRun, 0 },
        { IdempotencyMismatch, "idempotency-mismatch", "The key was used with another request", 422, NotRun, 0 },
        { LogUnavailable, "log-unavailable", "The log cannot be reached", 503, NotRun, 5 },
        { DomainUnreachable, "domain-unreachable", "The home failure domain cannot be reached", 503, NotRun, 5 },
        { StaleEpoch, "stale-epoch", "The sender no longer holds the lease", 409, NotRun, 1 },
        { NotScheduler, "not-scheduler", "This daemon is not the domain scheduler", 503, NotRun, 1 },
        { NotReady, "not-ready", "The daemon is not ready", 503, NotRun, 2 },
        { ShuttingDown, "shutting-down", "The daemon is shutting down", 503, NotRun, 1 },
        { Cancelled, "cancelled", "The caller cancelled the work", 499, MayHaveRun, 0 },
        { Internal, "internal", "Internal error", 500, MayHaveRun, 0 },
    } };

    constexpr bool isComplete()
    {
        for (std::size_t i = 0; i < answers.size(); ++i) {
            if (static_cast<std::size_t>(answers[i].m_kind) != i || answers[i].m_name.empty())
                return false;
        }
        return true;
    }

    static_assert(isComplete(), "the table lists every error kind once, in the order of the enumeration");

} // namespace

const ErrorAnswer& answerFor(ErrorKind kind) { return answers[static_cast<std::size_t>(kind)]; }

} // namespace sapphiredale
