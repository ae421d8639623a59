// Scheduler of one failure domain. It combines the majority lease on the workers with the placement core, turns
// placement decisions into worker commands and log records, and recovers the domain's state when it takes over.
#pragma once

#include "model/ClusterFile.h"
#include "ownership/AppendQueue.h"
#include "ownership/CellConcept.h"
#include "ownership/Counters.h"
#include "ownership/DomainLease.h"
#include "ownership/HomeMap.h"
#include "ownership/JobLedger.h"
#include "ownership/OwnershipActions.h"
#include "ownership/TermGuard.h"
#include "ownership/WorkerTable.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::ownership {

/// Settings of a DomainScheduler.
struct DomainSchedulerSettings {
    /// The failure domain, the daemon, the holder name and the seed are taken from here.
    DomainLeaseSettings m_lease;
    placement::CellSettings m_cell;
    JobLedgerSettings m_ledger;
    /// Maximum time for which a new scheduler waits for worker reports before it makes decisions.
    Duration m_recoveryWait = std::chrono::seconds(2);
    /// A submission or cancellation that the log has not confirmed after this time gets a negative reply.
    Duration m_submissionTimeout = std::chrono::seconds(10);
    std::size_t m_maxPendingSubmissions = 10000;
    /// Age at which the records of open jobs are written again: a third of one day, the shortest log retention.
    Duration m_rewriteAfter = std::chrono::hours(8);
    /// Maximum time for which an orderly handover waits for answers and appends.
    Duration m_releaseTimeout = std::chrono::seconds(5);
    /// Added to lapse time and lease length before the tasks of a silent domain are taken over. Covers the contact
    /// window of Membership (25 s) and the delays of its messages.
    Duration m_lossMargin = std::chrono::seconds(40);
    /// Interval of DomainPresent records while the file has a class with onDomainLoss "moveAfterLoss".
    Duration m_presenceInterval = std::chrono::seconds(15);
};

/// The active configuration and the parts of earlier versions that a scheduler still needs.
struct ActiveConfiguration {
    ClusterFile m_file;
    std::uint64_t m_version = 0;
    /// For each domain its workers in the newest earlier version in which the set of their names differs from that of
    /// this file; empty when there is none.
    std::vector<WorkerSpec> m_previousWorkers;
    /// Unfinished moves of service instances that earlier versions caused. A daemon that has seen every version since
    /// may leave this empty, because the scheduler computes the moves between consecutive files itself.
    std::vector<HomeMove> m_moves;
};

/// Connectivity of this daemon to other domains, from Membership and the log clients.
struct Reachability {
    /// Last contact with a majority of the domains that those can confirm (Membership::majorityContact).
    std::optional<TimePoint> m_confirmedContact;
    /// True when a majority of the domains is reached now.
    bool m_majorityReached = false;
    /// Last sign of life of every other domain, including what third domains report.
    std::map<FailureDomainId, TimePoint> m_lastEvidence;
};

/// State of one task in a DomainSnapshot.
struct TaskStatus {
    TaskId m_task;
    std::optional<WorkerId> m_worker;
    std::uint32_t m_attempt = 0;
    /// Name of the state: that of the worker's report, or "waiting".
    std::string m_state;
    std::string m_reason;
    std::string m_detail;
    std::string m_release;
    std::string m_address;
    Resources m_usage;
    Resources m_declared;
};

/// State of one worker in a DomainSnapshot.
struct WorkerStatus {
    WorkerId m_worker;
    bool m_leaseHeld = false;
    bool m_reported = false;
    bool m_accounted = true;
    bool m_available = false;
    std::uint64_t m_epoch = 0;
    std::size_t m_tasks = 0;
    std::size_t m_pendingCommands = 0;
};

/// State of the scheduler for status pages.
struct DomainSnapshot {
    std::string m_phase;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::optional<TimePoint> m_leaseEnd;
    bool m_streamCaughtUp = false;
    std::vector<WorkerStatus> m_workers;
    std::vector<TaskStatus> m_tasks;
    std::size_t m_openJobs = 0;
    std::size_t m_heldJobs = 0;
    std::size_t m_pendingAppends = 0;
    std::size_t m_pendingSubmissions = 0;
};

/// Scheduler of one failure domain over a placement core. After one or more inputs the caller calls step() and carries
/// out the actions; it calls step() again at nextWake().
template <CellType Cell> class BasicDomainScheduler {
public:
    enum class Phase : std::uint8_t { Standby, Recovering, Active, Releasing, Released };

    explicit BasicDomainScheduler(const DomainSchedulerSettings&);
    /// Not copyable: m_workloads and m_classes point into m_configuration.
    BasicDomainScheduler(const BasicDomainScheduler&) = delete;
    BasicDomainScheduler& operator=(const BasicDomainScheduler&) = delete;

    /// Applies a configuration. Versions that are not newer than the known one have no effect.
    void configure(const ActiveConfiguration&, TimePoint now);
    /// Live daemons of the domain, from Membership.
    void setCandidates(const std::vector<DaemonId>& daemons, TimePoint now) { m_lease.setCandidates(daemons, now); }
    /// Notes that another daemon of the domain announced itself as the scheduler in a heartbeat.
    void schedulerSeen(const DaemonId& daemon, std::uint64_t epoch, TimePoint now)
    {
        m_lease.schedulerSeen(daemon, epoch, now);
    }
    /// Notes that a daemon of the domain is leaving or announced that it is no longer the scheduler.
    void schedulerStopped(const DaemonId& daemon, TimePoint now) { m_lease.schedulerStopped(daemon, now); }
    /// Notes the state of a worker in the platform's host list.
    void workerListed(const WorkerId&, HostState, TimePoint now);
    void setReach(const Reachability&, TimePoint now);

    void leaseGranted(const WorkerId&, RequestNumber, const LeaseGrant&, TimePoint now);
    void leaseRejected(const WorkerId&, RequestNumber, const LeaseRejection&, TimePoint now);
    void leaseTimedOut(const WorkerId&, RequestNumber, TimePoint now);
    void commandsAnswered(const WorkerId&, RequestNumber, const CommandsAnswer&, TimePoint now);
    void commandsTimedOut(const WorkerId&, RequestNumber, TimePoint now);

    /// Submits a job to this domain for a caller. The reply is a ReplyToSubmitter action.
    void submitJob(SubmissionNumber, const placement::JobRequest&, TimePoint now);
    /// Cancels a job for a caller. The reply is a ReplyToSubmitter action.
    void cancelJob(SubmissionNumber, const JobId&, TimePoint now);

    /// Processes a record that was read from a domain's stream. Records of one stream must arrive in log order;
    /// repeated records have no effect. writtenAt is the log's timestamp of the record, converted to the clock of now.
    void recordRead(const FailureDomainId& stream, const StreamRecord&, TimePoint writtenAt, TimePoint now);
    /// Notes that every record that a stream held at queriedAt has been passed to recordRead. queriedAt is the time at
    /// which the read request that reached the end of the stream was sent.
    void streamCaughtUp(const FailureDomainId& stream, TimePoint queriedAt, TimePoint now);
    /// Streams that this daemon has to read: its own, and those needed for instance moves and takeovers.
    std::vector<FailureDomainId> streamsToFollow() const;
    void appendFinished(const RecordId&, AppendOutcome, TimePoint now);

    /// Starts an orderly handover; phase() is Released when it is done.
    void beginRelease(TimePoint now);

    /// Processes everything that is due and returns the actions in the order in which they must be executed.
    std::vector<OwnershipAction> step(TimePoint now);
    /// Next time at which step() may do something without a further input.
    TimePoint nextWake(TimePoint now) const;

    Phase phase() const { return m_phase; }
    bool isScheduler(TimePoint now) const { return inTerm() && m_lease.isScheduler(now); }
    /// Epoch for heartbeats; zero when this daemon is not the scheduler.
    std::uint64_t schedulerEpoch(TimePoint now) const { return isScheduler(now) ? m_lease.epoch() : 0; }
    /// Unfinished moves of instances, to be passed on with the configuration.
    std::vector<HomeMove> pendingMoves() const { return m_homes.pending(); }
    const DomainLease& lease() const { return m_lease; }
    const WorkerTable& workers() const { return m_workers; }
    const JobLedger& jobs() const { return m_ledger; }
    /// The placement core, for its counters.
    const Cell& cell() const { return m_cell; }
    /// Sum of the counters of all parts.
    std::uint64_t counted(CountedReason) const;
    DomainSnapshot snapshot(TimePoint now) const;
    /// Explains why a task runs where it runs, or why it waits. Includes tasks that this class holds back.
    placement::Explanation explain(const TaskId&, TimePoint now) const;

private:
    struct Submission {
        SubmissionNumber m_number = 0;
        placement::JobRequest m_request;
        RecordId m_record;
        TimePoint m_deadline {};
    };

    struct Cancellation {
        SubmissionNumber m_number = 0;
        JobId m_job;
        TimePoint m_deadline {};
    };

    /// An instance that this domain is to run.
    struct Instance {
        WorkloadId m_workload;
        bool m_submitted = false;
        /// Home of an instance that was taken over; empty when this domain is its home.
        FailureDomainId m_takenFrom;
    };

    /// A task that runs or may run on a worker, because it was reported or its start was ordered.
    struct LiveTask {
        WorkerId m_worker;
        std::uint32_t m_attempt = 0;
    };

    /// Last renewal that informed a worker of external contact.
    struct ContactSent {
        /// Time of the contact that the renewal reported.
        TimePoint m_contact {};
        TimePoint m_sentAt {};
    };

    struct DelayedCommand {
        TimePoint m_due {};
        WorkerId m_worker;
        WorkerCommand m_command;
    };

    struct HostView {
        HostState m_state = HostState::Live;
        /// Start of the uninterrupted time for which the host list has shown the host as gone.
        TimePoint m_goneSince {};
        bool m_endProven = false;
    };

    // DomainSchedulerTerm.h: ownership term, workers and recovery.
    bool inTerm() const
    {
        return m_phase == Phase::Recovering || m_phase == Phase::Active || m_phase == Phase::Releasing;
    }
    void updatePhase(TimePoint now);
    void startTerm(TimePoint now);
    void endTerm(TimePoint now);
    void finishRecovery(TimePoint now);
    void finishRelease(TimePoint now);
    void applyWorkers(TimePoint now);
    void updateHosts(TimePoint now);
    void handleProvenEnd(const WorkerId&, TimePoint now);
    void forgetTasksOf(const WorkerId&);
    void updateAvailability(TimePoint now);
    void drainFormerWorkers(TimePoint now);
    void assumeLapses(TimePoint now);
    bool streamIsFresh() const;
    void releaseHeldJobs(TimePoint now);
    bool jobMayRun(const OpenJob&, TimePoint now) const;
    Result<Unit> submitToCell(const OpenJob&, TimePoint now);

    // DomainSchedulerHomes.h: service instances, moves and takeovers.
    void buildInstances(TimePoint now);
    void reconcileInstances(TimePoint now);
    bool instanceMayStart(const TaskId&, const Instance&, const ClassPolicy*, TimePoint now) const;
    std::string_view holdReason(const TaskId&, const Instance&, const ClassPolicy*, TimePoint now) const;
    bool movesAfterLoss(const ClassPolicy* policy) const
    {
        return policy && policy->m_kind == ClassKind::Service && policy->m_onDomainLoss == OnDomainLoss::MoveAfterLoss
            && m_otherDomains > 0;
    }
    bool contactIsRecent(TimePoint now) const { return m_contactAt && *m_contactAt + contactWindow >= now; }
    void updateContact(TimePoint contact, TimePoint now);
    void withdrawIfHeld(const TaskId&, TimePoint now);
    void considerTakeovers(TimePoint now);
    bool mayTakeOver(const WorkloadSpec&, const TaskId&, const FailureDomainId& home, TimePoint now) const;
    bool isSilent(const FailureDomainId&, const ClassPolicy&, TimePoint now) const;
    bool mustReturnHome(const TaskId&, const Instance&, TimePoint now) const;
    void returnToHome(const TaskId&, Instance&, TimePoint now);
    void releaseMovedInstances(TimePoint now);
    void applyHomeRecord(const FailureDomainId& stream, const StreamRecord&, TimePoint now);
    void appendPresence(TimePoint now);

    // DomainSchedulerTasks.h and DomainSchedulerJobs.h: reports, commands, records, submissions.
    void applyReport(const WorkerId&, const ReportChanges&, TimePoint now);
    void applyTaskReport(const WorkerId&, const TaskReport&, TimePoint now);
    void applyFinalState(const WorkerId&, const TaskReport&, TimePoint now);
    bool shouldRunHere(const TaskId&) const;
    void enqueueStop(
        const WorkerId&, const TaskId&, std::uint32_t attempt, const std::string& reason, CountedReason, TimePoint now);
    void stopTasksOf(const JobId&, TimePoint now);
    void recordTaskEnd(const WorkerId&, const TaskReport&, TimePoint now);
    void handleOutcome(const WorkerId&, const CommandOutcome&, TimePoint now);
    void handleFailedStop(const WorkerId&, const CommandOutcome&, TimePoint now);
    void runCell(TimePoint now);
    void execute(const placement::StartTask&, TimePoint now);
    void execute(const placement::StopTask&, TimePoint now);
    void execute(const placement::CheckpointTask&, TimePoint now);
    void execute(const placement::ThrottleTask&, TimePoint now);
    void execute(const placement::FailJob&, TimePoint now);
    void execute(const placement::FinishJob&, TimePoint now);
    void reportUnsentAsStopped(const WorkerId&, const TaskId&, std::uint32_t attempt, TimePoint now);
    void enqueue(const WorkerId&, const WorkerCommand&, TimePoint now);
    void endJob(const JobId&, JobOutcome, const std::string& detail, TimePoint now);
    void append(const StreamRecordBody& body, TimePoint now) { m_appends.add(domain(), body, now); }
    void handleConfirmed(const StreamRecord&, TimePoint now);
    void onRecorded(const JobAccepted&, TimePoint now);
    void onRecorded(const JobEnded&, TimePoint now);
    void onRecorded(const TaskEnded&, TimePoint now);
    void onRecorded(const HomeReleased&, TimePoint) { }
    void onRecorded(const HomeTaken&, TimePoint) { }
    void onRecorded(const DomainPresent&, TimePoint) { }
    void submitMemoryJob(SubmissionNumber, const placement::JobRequest&, TimePoint now);
    std::optional<Error> submissionError(const placement::JobRequest&, TimePoint now) const;
    void expireSubmissions(TimePoint now);
    void failSubmission(const Submission&, ErrorKind ifNotAppended, TimePoint now);
    void rewriteOldJobs(TimePoint now);
    void emitLease(const LeaseAction&, TimePoint now);
    void emitCommands(TimePoint now);
    void emitAppends(TimePoint now);
    void reply(SubmissionNumber, const JobId&, const Result<Unit>&, bool durable);

    const WorkloadSpec* workloadOf(const TaskId&) const;
    const WorkloadSpec* findWorkload(const WorkloadId&) const;
    const ClassPolicy* classOf(const WorkloadSpec*) const;
    void addStatusOfWorkers(DomainSnapshot&, TimePoint now) const;
    void addStatusOfTasks(DomainSnapshot&, TimePoint now) const;
    /// Maximum age of a confirmed contact that counts as recent; equals MembershipSettings::m_contactWindow.
    static constexpr Duration contactWindow = std::chrono::seconds(25);
    /// Minimum interval between steps that are requested by the placement core alone.
    static constexpr Duration minCellInterval = std::chrono::milliseconds(5);
    void considerCellWake(TimePoint& wake, TimePoint now) const;
    const FailureDomainId& domain() const { return m_settings.m_lease.m_failureDomain; }

    DomainSchedulerSettings m_settings;
    Phase m_phase = Phase::Standby;
    ActiveConfiguration m_configuration;
    /// The file with this domain's part of the quotas.
    ClusterFile m_domainFile;
    std::map<WorkloadId, const WorkloadSpec*> m_workloads;
    std::map<ClassId, const ClassPolicy*> m_classes;
    /// Domains of the file that are neither this one nor declared lost.
    std::size_t m_otherDomains = 0;
    /// Whether a service of the file has a class with onDomainLoss "moveAfterLoss".
    bool m_hasMovingServices = false;
    /// Workers of this domain in the file, and those that are only in the previous distinct set.
    std::map<WorkerId, WorkerSpec> m_currentWorkers;
    std::map<WorkerId, WorkerSpec> m_formerWorkers;
    /// Former workers whose tasks the cell still counts.
    std::set<WorkerId> m_draining;

    DomainLease m_lease;
    WorkerTable m_workers;
    JobLedger m_ledger;
    AppendQueue m_appends;
    TermGuard m_guard;
    HomeMap m_homes;
    Cell m_cell;
    Counters m_counters;

    Reachability m_reach;
    std::map<WorkerId, HostView> m_hosts;
    std::map<WorkerId, ContactSent> m_contactSent;
    /// Time since which the lease on a worker has not been held.
    std::map<WorkerId, TimePoint> m_unheldSince;
    /// Instant up to which each stream is known to have been read.
    std::map<FailureDomainId, TimePoint> m_streamReadAt;
    /// Newest DomainPresent record of each stream, and when it was read.
    std::map<FailureDomainId, std::pair<RecordId, TimePoint>> m_presence;
    /// Time at which the first own DomainPresent record was confirmed since contact was last interrupted.
    std::optional<TimePoint> m_presentSince;
    std::optional<TimePoint> m_contactAt;
    RecordId m_presenceRecord;
    TimePoint m_presenceEmittedAt {};

    std::set<WorkerId> m_available;
    std::set<JobId> m_heldJobs;
    std::set<JobId> m_jobsInCell;
    std::map<JobId, placement::JobRequest> m_memoryJobs;
    std::set<JobId> m_endingJobs;
    std::map<TaskId, Instance> m_instances;
    std::map<TaskId, LiveTask> m_live;
    std::vector<DelayedCommand> m_delayedCommands;
    DomainLease::Role m_lastRole = DomainLease::Role::Standby;
    bool m_holdsChanged = true;
    TimePoint m_nextHoldCheck {};
    TimePoint m_recoverUntil {};
    TimePoint m_releaseUntil {};
    TimePoint m_nextRewriteCheck {};
    TimePoint m_nextPresence {};

    std::map<JobId, Submission> m_submissions;
    /// Deadlines of submissions in their order; entries of answered submissions are skipped.
    std::deque<std::pair<TimePoint, JobId>> m_submissionOrder;
    std::vector<Cancellation> m_cancellations;
    /// Final states whose record is being appended, with the workers that wait for the acknowledgement.
    std::map<TaskAttempt, std::set<WorkerId>> m_endsInAppend;
    std::set<std::pair<TaskId, std::uint64_t>> m_releasesInAppend;
    std::set<TaskId> m_takeoversInAppend;
    std::vector<OwnershipAction> m_actions;
};

/// The scheduler with the real placement core.
using DomainScheduler = BasicDomainScheduler<placement::Cell>;

// Instantiated in DomainScheduler.cpp.
extern template class BasicDomainScheduler<placement::Cell>;

} // namespace sapphiredale::ownership
