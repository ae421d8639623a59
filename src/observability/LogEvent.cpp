// Table of the log events.

#include "observability/LogEvent.h"

#include <array>

namespace sapphiredale::observability {

namespace {

    using enum LogEvent;
    using enum Severity;

    constexpr std::array<LogEventEntry, logEventCount> entries { {
        { DaemonStarted, 1001, Info, "daemon-started", "The daemon has started" },
        { DaemonStopping, 1002, Info, "daemon-stopping", "The daemon is stopping" },
        { DaemonStopped, 1003, Info, "daemon-stopped", "The daemon has stopped" },
        { SettingsRefused, 1004, Error, "settings-refused", "The settings were refused" },
        { ListenerOpened, 1005, Info, "listener-opened", "A listener was opened" },
        { ListenerFailed, 1006, Error, "listener-failed", "A listener could not be opened" },
        { DaemonReady, 1007, Info, "daemon-ready", "The daemon is ready" },
        { DaemonNotReady, 1008, Warning, "daemon-not-ready", "The daemon is not ready" },
        { DrainTimedOut, 1009, Warning, "drain-timed-out", "The drain ended with requests in flight" },
        { DrainStarted, 1010, Info, "drain-started", "The drain has started" },
        { DrainFinished, 1011, Info, "drain-finished", "The drain has finished" },
        { EventLoopDelayed, 1012, Warning, "event-loop-delayed", "A timer ran late" },
        { ConfigurationAccepted, 2001, Info, "configuration-accepted", "A configuration was accepted" },
        { ConfigurationRefused, 2002, Warning, "configuration-refused", "A configuration was refused" },
        { ConfigurationRefreshed, 2003, Info, "configuration-refreshed", "The configuration was refreshed" },
        { ConfigurationCaughtUp, 2004, Info, "configuration-caught-up", "The configuration caught up" },
        { ConfigurationUnconfirmed, 2005, Warning, "configuration-unconfirmed", "The configuration is unconfirmed" },
        { ConfigurationRecordInvalid, 2006, Error, "configuration-record-invalid",
            "A record of the configuration stream is invalid" },
        { ConfigurationTransferFailed, 2007, Warning, "configuration-transfer-failed",
            "A configuration transfer failed" },
        { ConfigurationRefreshOverdue, 2008, Error, "configuration-refresh-overdue",
            "The refresh of the configuration is overdue" },
        { WorkerLeaseAcquired, 3001, Info, "worker-lease-acquired", "A worker lease was acquired" },
        { WorkerLeaseLost, 3002, Warning, "worker-lease-lost", "A worker lease was lost" },
        { WorkerLeaseRefused, 3003, Info, "worker-lease-refused", "A worker lease was refused" },
        { SchedulerBecame, 3004, Info, "scheduler-became", "The daemon became the domain scheduler" },
        { SchedulerCeased, 3005, Warning, "scheduler-ceased", "The daemon ceased to be the domain scheduler" },
        { WorkerLost, 3006, Warning, "worker-lost", "A worker was lost" },
        { WorkerRestarted, 3007, Warning, "worker-restarted", "A worker was restarted" },
        { WorkerQuarantined, 3008, Warning, "worker-quarantined", "A worker was quarantined" },
        { WorkerReadmitted, 3009, Info, "worker-readmitted", "A worker was readmitted" },
        { WorkerLeaving, 3010, Info, "worker-leaving", "A worker is leaving" },
        { WorkerReportInvalid, 3011, Error, "worker-report-invalid", "A report of a worker is invalid" },
        { RecoveryFinished, 3012, Info, "recovery-finished", "The recovery has finished" },
        { DomainWithoutScheduler, 3013, Error, "domain-without-scheduler", "The failure domain has no scheduler" },
        { TaskStarted, 4001, Debug, "task-started", "A task was started" },
        { TaskStopped, 4002, Debug, "task-stopped", "A task was stopped" },
        { TaskFailed, 4003, Warning, "task-failed", "A task failed" },
        { TaskOrphaned, 4004, Warning, "task-orphaned", "An orphaned task was found" },
        { TaskPreempted, 4005, Info, "task-preempted", "A task was preempted" },
        { TaskOverused, 4006, Warning, "task-overused", "A task exceeds its declared size" },
        { StartRefused, 4007, Warning, "start-refused", "A worker refused a start" },
        { JobAccepted, 4008, Debug, "job-accepted", "A job was accepted" },
        { JobRefused, 4009, Info, "job-refused", "A job was refused" },
        { JobEnded, 4010, Debug, "job-ended", "A job has ended" },
        { JobFailed, 4011, Warning, "job-failed", "A job failed" },
        { LogUnavailable, 5001, Error, "log-unavailable", "The log is unavailable" },
        { LogRecovered, 5002, Info, "log-recovered", "The log has recovered" },
        { AppendOutcomeUnknown, 5003, Warning, "append-outcome-unknown", "The outcome of an append is unknown" },
        { LogRecordsExpired, 5004, Error, "log-records-expired", "Records expired before they were read" },
        { HostListUnavailable, 5005, Warning, "host-list-unavailable", "The host list is unavailable" },
        { PeerJoined, 6001, Info, "peer-joined", "A peer has joined" },
        { PeerSuspected, 6002, Warning, "peer-suspected", "A peer is suspected" },
        { PeerLeft, 6003, Info, "peer-left", "A peer has left" },
        { PartitionSuspected, 6004, Warning, "partition-suspected", "A partition is suspected" },
        { PartitionHealed, 6005, Info, "partition-healed", "The partition has healed" },
        { PeerMessageRefused, 6006, Warning, "peer-message-refused", "A message of a peer was refused" },
        { PeerMessageDropped, 6007, Warning, "peer-message-dropped", "A message to a peer was dropped" },
        { RequestRefused, 7001, Info, "request-refused", "A request was refused" },
        { RequestFailed, 7002, Warning, "request-failed", "A request failed" },
        { ResponseTruncated, 7003, Warning, "response-truncated", "A response was truncated" },
        { RequestRetried, 7004, Debug, "request-retried", "A request was retried" },
        { MinionLeased, 7005, Info, "minion-leased", "A minion was leased" },
        { MinionEjected, 7006, Warning, "minion-ejected", "A minion was ejected" },
        { MinionReadmitted, 7007, Info, "minion-readmitted", "A minion was readmitted" },
        { MinionLeaving, 7008, Info, "minion-leaving", "A minion is leaving" },
        { MinionLeaseLost, 7009, Warning, "minion-lease-lost", "A minion lease was lost" },
        { OverloadStarted, 7010, Warning, "overload-started", "Requests are refused because of overload" },
        { OverloadEnded, 7011, Info, "overload-ended", "The overload has ended" },
        { RetryBudgetExhausted, 7012, Warning, "retry-budget-exhausted", "The retry budget is exhausted" },
        { ProtocolError, 8001, Warning, "protocol-error", "A client violated the protocol" },
        { BodyLimitExceeded, 8002, Info, "body-limit-exceeded", "A body exceeds the limit" },
        { SlowClientClosed, 8003, Warning, "slow-client-closed", "A slow client was disconnected" },
        { ConnectionLimitReached, 8004, Warning, "connection-limit-reached", "The connection limit was reached" },
        { InternalError, 9001, Error, "internal-error", "An internal error occurred" },
    } };

    constexpr bool isComplete()
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (static_cast<std::size_t>(entries[i].m_event) != i
                || (i > 0 && entries[i].m_number <= entries[i - 1].m_number))
                return false;
        }
        return true;
    }

    static_assert(isComplete(), "the table lists every event once, in the order of the enumeration, by rising numbers");

} // namespace

const LogEventEntry& entryOf(LogEvent event) { return entries[static_cast<std::size_t>(event)]; }

std::string_view nameOf(Severity severity)
{
    switch (severity) {
    case Debug:
        return "debug";
    case Info:
        return "info";
    case Warning:
        return "warning";
    case Error:
        return "error";
    }
    return "unknown";
}

} // namespace sapphiredale::observability
