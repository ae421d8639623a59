// Names of the messages and the pairs of calls and replies.

#include "peer/Messages.h"

#include <array>

namespace sapphiredale::peer {

namespace {

    constexpr std::array<std::string_view, messageKindCount> kindNames { "heartbeat", "heartbeat-ack",
        "configuration-request", "configuration-transfer", "submit-job", "submit-job-reply", "cancel-job",
        "cancel-job-reply", "job-status", "job-status-reply", "claim-request", "claim-reply", "claim-outcome",
        "tasks-query", "tasks-reply", "workers-query", "workers-reply", "minions-query", "minions-reply",
        "explain-query", "explain-reply" };

} // namespace

std::string_view nameOf(MessageKind kind) { return kindNames[static_cast<std::size_t>(kind)]; }

std::optional<MessageKind> replyKindOf(MessageKind kind)
{
    using enum MessageKind;
    switch (kind) {
    case Heartbeat:
        return HeartbeatAck;
    case ConfigurationRequest:
        return ConfigurationTransfer;
    case SubmitJob:
        return SubmitJobReply;
    case CancelJob:
        return CancelJobReply;
    case JobStatus:
        return JobStatusReply;
    case ClaimRequest:
        return ClaimReply;
    case TasksQuery:
        return TasksReply;
    case WorkersQuery:
        return WorkersReply;
    case MinionsQuery:
        return MinionsReply;
    case ExplainQuery:
        return ExplainReply;
    default:
        return std::nullopt;
    }
}

} // namespace sapphiredale::peer
