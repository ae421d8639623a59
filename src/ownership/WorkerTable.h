// Sessions with the workers of a domain: incarnation, merged report, pending commands and acknowledgements of each.
#pragma once

#include "model/ClusterFile.h"
#include "model/TaskReport.h"
#include "model/Time.h"
#include "ownership/Backoff.h"
#include "ownership/Counters.h"
#include "ownership/OwnershipActions.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiredale::ownership {

/// Settings of a WorkerTable.
struct WorkerTableSettings {
    std::string m_holder;
    std::uint64_t m_seed = 1;
    std::size_t m_maxCommandsPerBatch = 64;
    Duration m_answerTimeout = std::chrono::milliseconds(1500);
    BackoffSettings m_retry { std::chrono::milliseconds(100), std::chrono::seconds(5) };
    /// A start whose answer was lost may still be on its way. Its task is acknowledged (and so forgotten by the worker)
    /// only after this time, so that a late copy of the start finds the task known.
    Duration m_lateCommandTimeout = std::chrono::seconds(30);
    /// A start command that could not be sent is dropped this long after it was queued.
    Duration m_unsentStartTimeout = std::chrono::seconds(5);
};

/// What a report changed.
struct ReportChanges {
    /// The report was merged; false for a late or repeated one.
    bool m_merged = false;
    /// The worker restarted: every task of the former incarnation has ended without a report.
    bool m_restarted = false;
    std::vector<TaskReport> m_changed;
    /// Tasks of the former report that a full report no longer has, and that were not acknowledged.
    std::vector<TaskReport> m_missing;
};

/// Final outcome of a command; the command will not be retried.
struct CommandOutcome {
    WorkerCommand m_command;
    bool m_ok = false;
    std::string m_reason;
};

/// Sessions with all workers of the domain.
class WorkerTable {
public:
    explicit WorkerTable(const WorkerTableSettings&);

    void setWorker(const WorkerSpec&);
    void removeWorker(const WorkerId&);
    bool knows(const WorkerId& worker) const { return m_workers.contains(worker); }
    /// Discards reports, commands and acknowledgements before the recovery of a new ownership term.
    void startTerm();

    /// Merges the report of a granted lease.
    ReportChanges merge(const WorkerReport&, TimePoint now);
    /// Queues a command behind the earlier ones of the worker. A stop of a start that was never sent removes both;
    /// then the outcome of the start is returned.
    std::optional<CommandOutcome> enqueue(const WorkerId&, const WorkerCommand&, TimePoint now);
    /// Queues the acknowledgement of a recorded final state. It is sent with a lease request, at the earliest when a
    /// late copy of the task's start can no longer arrive.
    void acknowledge(const WorkerId&, const TaskAttempt&, TimePoint now);
    /// Fills in the worker's address, the sequence of the last report and the due acknowledgements of a lease request.
    void complete(SendLease&, TimePoint now);
    /// True when an acknowledgement is due and not delivered.
    bool hasDueAcknowledgement(const WorkerId&, TimePoint now) const;

    /// The next batch for a worker under the given epoch, if one is due and none is in flight.
    std::optional<SendCommands> nextBatch(const WorkerId&, std::uint64_t epoch, TimePoint now);
    /// An answer arrived; returns the outcomes of the commands that it completes. Late answers have no effect.
    std::vector<CommandOutcome> handleAnswer(const WorkerId&, RequestNumber, const CommandsAnswer&, TimePoint now);
    void handleTimeout(const WorkerId&, RequestNumber, TimePoint now);
    /// Counts batches without an answer after their deadline as timed out.
    void expire(TimePoint now);
    /// Removes and returns the starts that have been queued unsent for longer than m_unsentStartTimeout.
    std::vector<std::pair<WorkerId, CommandOutcome>> takeUnsentStarts(TimePoint now);

    /// Incarnation of the last report; empty when the worker has not reported in this term.
    const IncarnationId& incarnation(const WorkerId&) const;
    bool hasReported(const WorkerId& worker) const { return !incarnation(worker).empty(); }
    const std::map<TaskId, TaskReport>& tasks(const WorkerId&) const;
    /// Worker that reports the task in a state that is not final, or nullptr.
    const WorkerId* workerRunning(const TaskId&) const;
    std::vector<WorkerId> workers() const;
    std::vector<WorkerId> workersWithCommands() const;
    std::string addressOf(const WorkerId&) const;
    bool hasPendingCommands() const;
    std::size_t pendingCommands(const WorkerId&) const;
    /// Next deadline after now. A batch that is due but has no lease waits for the lease.
    std::optional<TimePoint> nextWake(TimePoint now) const;
    const Counters& counters() const { return m_counters; }

private:
    struct PendingCommand {
        WorkerCommand m_command;
        TimePoint m_queuedAt {};
        bool m_sent = false;
    };

    struct Session {
        WorkerSpec m_spec;
        IncarnationId m_incarnation;
        std::uint64_t m_sequence = 0;
        std::map<TaskId, TaskReport> m_tasks;
        std::deque<PendingCommand> m_commands;
        RequestNumber m_request = 0;
        std::size_t m_inFlight = 0;
        TimePoint m_requestDeadline {};
        TimePoint m_nextBatch {};
        Backoff m_backoff;
        /// Recorded final states with the earliest instant of their acknowledgement.
        std::map<TaskAttempt, TimePoint> m_acknowledgements;
        /// Acknowledgements of the lease request in flight.
        std::vector<TaskAttempt> m_sentAcknowledgements;
        /// Starts whose answer was lost, with the instant until which a late copy may arrive.
        std::map<TaskAttempt, TimePoint> m_lateStarts;
    };

    Session* find(const WorkerId&);
    const Session* find(const WorkerId&) const;
    void retryBatch(Session&, TimePoint now);
    void deliverAcknowledgements(const WorkerId&, Session&);
    void forgetIncarnation(const WorkerId&, Session&);
    void mergeTasks(const WorkerId&, Session&, const WorkerReport&, ReportChanges&);
    void index(const WorkerId&, const TaskReport&);
    void removeFromIndex(const WorkerId&, const TaskId&);

    WorkerTableSettings m_settings;
    JitterSource m_jitter;
    std::map<WorkerId, Session> m_workers;
    /// Worker of every reported task that is not in a final state.
    std::map<TaskId, WorkerId> m_running;
    RequestNumber m_nextRequest = 1;
    Counters m_counters;
};

} // namespace sapphiredale::ownership
