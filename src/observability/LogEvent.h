// The numbered log events. Numbers are stable: a retired number is not used again. docs/EVENTS.md is the catalogue.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sapphiredale::observability {

enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

/// Name in lower case.
std::string_view nameOf(Severity);

/// Every event; the table in LogEvent.cpp has the same order.
enum class LogEvent : std::uint8_t {
    DaemonStarted,
    DaemonStopped,
    ListenerOpened,
    ListenerFailed,
    DrainTimedOut,
    DrainStarted,
    DrainFinished,
    ConfigurationAccepted,
    ConfigurationRefused,
    ConfigurationCaughtUp,
    ConfigurationTransferFailed,
    WorkerLeaseRefused,
    SchedulerBecame,
    SchedulerCeased,
    RecoveryFinished,
    OrderNotObeyed,
    AdviceFailed,
    StepWaits,
    ProgressMoves,
    RunLost,
    RunUnexpected,
    CrashUnderRun,
    WorkerQuarantined,
    QuarantineWithdrawn,
    WorkerRestarted,
    InheritedRunsOver,
    RunStarted,
    RunInLaterProcess,
    MachineTypeSpeed,
    LatePartitionRestored,
    TaskStarted,
    TaskStopped,
    JobAccepted,
    JobRefused,
    JobEnded,
    TeamRefused,
    TeamAdmitted,
    JobIdReused,
    LogUnavailable,
    LogRecovered,
    AppendOutcomeUnknown,
    LogRecordsExpired,
    HostListUnavailable,
    StoredRecordUnreadable,
    DependencyLost,
    DependencyRegained,
    SettingsReloaded,
    ProgressAppendFailed,
    RecordRejected,
    PeerJoined,
    PeerSuspected,
    PeerLeft,
    RequestRefused,
    MinionLeaving,
    MinionLeaseLost,
    ConnectionsClosed,
    ProtocolError,
    UnexpectedError,
};

inline constexpr std::size_t logEventCount = static_cast<std::size_t>(LogEvent::UnexpectedError) + 1;

/// Description of an event.
struct LogEventEntry {
    LogEvent m_event;
    /// The thousands tell the area: 1 daemon, 2 configuration, 3 ownership, 4 tasks and jobs, 5 platform, 6 peers,
    /// 7 requests, 8 clients, 9 internal.
    std::uint16_t m_number;
    Severity m_severity;
    /// Stable name in lower case with hyphens.
    std::string_view m_name;
    std::string_view m_message;
};

/// The entry of an event; the table is complete, which is verified at compile time.
const LogEventEntry& entryOf(LogEvent);

} // namespace sapphiredale::observability
