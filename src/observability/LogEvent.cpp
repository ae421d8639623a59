// Table of the log events.

#include "observability/LogEvent.h"

#include <array>

namespace sapphiredale::observability {

namespace {

    using enum LogEvent;
    using enum Severity;

    constexpr std::array<LogEventEntry, logEventCount> entries { {
        { DaemonStarted, 1001, Info, "daemon-started", "The daemon has started" },
        { DaemonStopped, 1003, Info, "daemon-stopped", "The daemon has stopped" },
        { ListenerOpened, 1005, Info, "listener-opened", "A listener was opened" },
        { ListenerFailed, 1006, Error, "listener-failed", "A listener could not be opened" },
        { DrainTimedOut, 1009, Warning, "drain-timed-out", "The drain ended with requests in flight" },
        { DrainStarted, 1010, Info, "drain-started", "The drain has started" },
        { DrainFinished, 1011, Info, "drain-finished", "The drain has finished" },
        { ConfigurationAccepted, 2001, Info, "configuration-accepted", "A configuration was accepted" },
        { ConfigurationRefused, 2002, Warning, "configuration-refused", "A configuration was refused" },
        { ConfigurationCaughtUp, 2004, Info, "configuration-caught-up", "The configuration caught up" },
        { ConfigurationTransferFailed, 2007, Warning, "configuration-transfer-failed",
            "A configuration transfer failed" },
        { WorkerLeaseRefused, 3003, Info, "worker-lease-refused", "A worker lease was refused" },
        { SchedulerBecame, 3004, Info, "scheduler-became", "The daemon became the domain scheduler" },
        { SchedulerCeased, 3005, Warning, "scheduler-ceased", "The daemon ceased to be the domain scheduler" },
        { RecoveryFinished, 3012, Info, "recovery-finished", "The recovery has finished" },
        { OrderNotObeyed, 3013, Info, "order-not-obeyed", "A worker did not confirm an order" },
        { AdviceFailed, 3014, Info, "advice-failed", "A question to the adviser was not answered" },
        { StepWaits, 3015, Info, "step-waits", "Tasks of a step have waited for long" },
        { ProgressMoves, 3016, Warning, "progress-moves", "Another partition holds the progress of the jobs" },
        { RunLost, 3019, Info, "run-lost", "A run counts as over although its end was not listed" },
        { RunUnexpected, 3020, Warning, "run-unexpected", "A worker lists a run that was not expected there" },
        { CrashUnderRun, 3021, Info, "crash-under-run", "A worker restarted just after it had started a run" },
        { WorkerQuarantined, 3022, Info, "worker-quarantined",
            "A worker gets no tasks because several jobs failed there" },
        { QuarantineWithdrawn, 3023, Info, "quarantine-withdrawn",
            "A quarantine ended because its tasks fail on other workers too" },
        { WorkerRestarted, 3024, Info, "worker-restarted", "A worker has begun again under its id" },
        { InheritedRunsOver, 3025, Info, "inherited-runs-over",
            "Runs of earlier terms count as over on a worker that does not report" },
        { RunStarted, 3026, Info, "run-started", "A worker has confirmed a start" },
        { RunInLaterProcess, 3027, Info, "run-in-later-process",
            "A worker has begun a run that was sent to an earlier process of it" },
        { MachineTypeSpeed, 3030, Info, "machine-type-speed", "The speed of a machine type is known or has changed" },
        { LatePartitionRestored, 3031, Info, "late-partition-restored",
            "A partition of the accepted jobs was read after the recovery" },
        { TaskStarted, 4001, Debug, "task-started", "A task was started" },
        { TaskStopped, 4002, Debug, "task-stopped", "A task was stopped" },
        { JobAccepted, 4008, Info, "job-accepted", "A job was accepted" },
        { JobRefused, 4009, Info, "job-refused", "A job was refused" },
        { JobEnded, 4010, Info, "job-ended", "A job has ended" },
        { TeamRefused, 4011, Warning, "team-refused", "New jobs of a team are refused" },
        { TeamAdmitted, 4012, Info, "team-admitted", "New jobs of a team are accepted again" },
        { JobIdReused, 4013, Warning, "job-id-reused",
            "Another team has submitted a job under the id of an accepted one" },
        { LogUnavailable, 5001, Error, "log-unavailable", "The log is unavailable" },
        { LogRecovered, 5002, Info, "log-recovered", "The log has recovered" },
        { AppendOutcomeUnknown, 5003, Warning, "append-outcome-unknown", "The outcome of an append is unknown" },
        { LogRecordsExpired, 5004, Error, "log-records-expired", "Records expired before they were read" },
        { HostListUnavailable, 5005, Warning, "host-list-unavailable", "The host list is unavailable" },
        { StoredRecordUnreadable, 5006, Warning, "stored-record-unreadable", "A record of the store cannot be read" },
        { DependencyLost, 5007, Warning, "dependency-lost", "A dependency does not answer" },
        { DependencyRegained, 5008, Info, "dependency-regained", "A dependency answers again" },
        { SettingsReloaded, 5009, Info, "settings-reloaded", "The settings file was read again" },
        { ProgressAppendFailed, 5010, Warning, "progress-append-failed", "The store did not append progress of jobs" },
        { RecordRejected, 5011, Error, "record-rejected", "The store does not take a record of a job" },
        { PeerJoined, 6001, Info, "peer-joined", "A peer has joined" },
        { PeerSuspected, 6002, Warning, "peer-suspected", "A peer is suspected" },
        { PeerLeft, 6003, Info, "peer-left", "A peer has left" },
        { RequestRefused, 7001, Info, "request-refused", "A request was refused" },
        { MinionLeaving, 7008, Info, "minion-leaving", "A minion is leaving" },
        { MinionLeaseLost, 7009, Warning, "minion-lease-lost", "A minion lease was lost" },
        { ConnectionsClosed, 7020, Warning, "connections-closed", "Connections exceeded a limit" },
        { ProtocolError, 8001, Warning, "protocol-error", "A client violated the protocol" },
        { UnexpectedError, 9001, Error, "unexpected-error", "A handler failed with an exception" },
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
