// One term of this daemon as the scheduler: recovers the state of earlier terms, then executes the decisions of the job
// scheduler.
#pragma once

#include "controller/AdviceDispatcher.h"
#include "controller/ProgressWriter.h"
#include "controller/SiteSettings.h"
#include "controller/TopicFollower.h"
#include "controller/WorkerLink.h"
#include "jobs/EntryFreshness.h"
#include "jobs/JobScheduler.h"
#include "jobs/ProgressRecords.h"
#include "jobs/RecordRemoval.h"
#include "jobs/ReportSchedule.h"
#include "observability/EventLog.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace sapphiredale::controller {

inline constexpr const char* jobTopic = "keyed.jobs";
/// Number of partitions of the job topic. A slow store processes one append per partition at a time, so daemons that
/// append to different partitions do not delay each other.
inline constexpr std::uint32_t jobPartitions = 16;
/// Key of the cancellation of a job in the job topic.
std::string cancellationKey(const JobId&);

/// Parameters of a term.
struct TermSettings {
    std::uint64_t m_term = 1;
    /// Partition with the progress that earlier terms have stored.
    std::uint32_t m_progressPartition = 0;
    /// Ends of the leases that earlier terms granted to the workers.
    jobs::LeaseBounds m_earlierLeases;
    /// Lease that is granted to the workers.
    Duration m_lease = std::chrono::seconds(8);
    /// Time for which the records of an ended job are kept; states are asked for up to 120 s after the end.
    Duration m_jobRetention = std::chrono::seconds(150);
};

/// Connection of a term to the election of its daemon.
struct TermAuthority {
    /// Whether the term may still give orders.
    std::function<bool()> m_mayIssueOrders;
    /// Called once when the term steps down because a later one exists.
    std::function<void()> m_steppedDown;
    /// Announces the partition of the progress to successors, and tells whether the announcement is stored.
    std::function<void(std::uint32_t)> m_announceProgressPartition;
    std::function<bool(std::uint32_t)> m_isProgressPartitionAnnounced;
    /// Announces that the term grants leases, and the time by which those that are granted now must end. It has passed
    /// while no lease may be granted.
    std::function<void()> m_grantLeases;
    std::function<TimePoint()> m_leaseLimit;
    /// The time until which a successor waits for workers that it cannot reach, if this term ended now.
    std::function<TimePoint()> m_successorWaitEnd;
    /// Tells successors until when workers may hold leases from calls to earlier processes.
    std::function<void(TimePoint)> m_announceLateLeases;
    /// Position after the newest stored record of the term; workers compare it as the number of a call.
    std::function<std::uint64_t()> m_newestNumber;
    /// Announces the ends of the leases of single workers to successors, and tells whether a worker is granted none
    /// for that reason.
    std::function<void(std::map<WorkerId, TimePoint>)> m_announceLeaseEnds;
    std::function<bool(const WorkerId&)> m_isLeaseWithheld;
};

/// Exists while the daemon holds the term. All calls come from the event loop.
class SchedulerTerm {
public:
    SchedulerTerm(boost::asio::io_context&, const SiteSettings&, const TermSettings&, AdviceDispatcher&,
        observability::EventLog&, TermAuthority);
    ~SchedulerTerm();
    SchedulerTerm(const SchedulerTerm&) = delete;
    SchedulerTerm& operator=(const SchedulerTerm&) = delete;

    void start();
    /// Gives no more orders, and stores the remaining changes.
    void beginHandover();
    bool isHandedOver() const;

    /// State of a job; an end is shown once it is stored. Fails with NotReady while the answer is uncertain, and with
    /// NotFound when the job does not exist.
    Result<jobs::JobState> state(const JobId&) const;
    /// Team of a job; empty if it has none or is not known.
    TeamId teamOf(const JobId&) const;
    Result<std::uint32_t> pending(const std::string& queue) const;
    /// Sets the teams of the configuration in force, also before the recovery is complete. Until then no job with a
    /// team starts.
    void setTeams(std::vector<jobs::TeamPolicy>);
    /// Teams whose new jobs are to be refused now.
    std::vector<jobs::TeamRefusal> refusedTeams() const;
    bool isRecovered() const { return m_scheduler != nullptr; }
    /// Takes up a record that this daemon has just stored in the job topic, without waiting until it is read back.
    void recordStored(const std::string& key, const std::string& value);
    /// Schedules a step, for example after a daemon became available for adviser questions.
    void requestStep() { scheduleStep(); }
    std::uint64_t term() const { return m_settings.m_term; }
    const jobs::JobScheduler* scheduler() const { return m_scheduler.get(); }

private:
    class JobObserver;
    class WorkerObserver;
    class ProgressObserver;

    void recover();
    /// Whether enough of the store has been read to begin scheduling; starts the listing timeout when it is needed.
    bool canBeginScheduling();
    std::size_t unlistedPartitionCount() const;
    void restorePartition(JobObserver&);
    /// Restores a partition of the accepted jobs whose listing ended after the recovery.
    void restoreLatePartition(JobObserver&);
    void finishRestoration();
    void addJob(const JobId&, const std::string& record, TimePoint now);
    void scheduleStep();
    void step();
    /// Holds back starts while the view of the registry or of the accepted jobs is too old.
    void updateStartGate(TimePoint now);
    void logView(bool isLost, const char* dependency, TimePoint now);
    void executeAction(const jobs::SchedulerAction&);
    void execute(const jobs::StartOrder&);
    void execute(const jobs::StopOrder&);
    void execute(const jobs::ReportOrder&);
    void execute(const jobs::ThrottleOrder&);
    void execute(const jobs::AdviceRequest&);
    void writeProgress();
    ProgressWriter::Records progressSnapshot();
    void addRecords(ProgressWriter::Records&, const jobs::ProgressRecord&);
    void noteRejectedRecord(const std::string& key);
    void logFailedAppend(const ProgressWriter::Records&, const userplatform::AppendAnswer&);
    void logEnded();
    /// Logs runs that were given up and runs that were listed unexpectedly.
    void logRuns();
    /// Logs runs under which a worker crashed.
    void logCrashes();
    void logQuarantines();
    /// Logs the teams that begin or cease to be refused.
    void logTeams();
    /// Logs restarts of workers, workers that the term no longer waits for, and speeds of machine types.
    void logWorkers();
    void logReusedIds();
    void handleWorkerEntry(const userplatform::KeyedRecord&);
    void handleJobRecord(std::uint32_t partition, const userplatform::KeyedRecord&);
    /// Adds or cancels the job that the record names.
    void applyJobRecord(const std::string& key, const std::string& value);
    void superviseWorkers();
    /// Announces the ends of the leases of unreachable workers, and withholds leases from them.
    void announceLeaseEnds(TimePoint now);
    void awaitReport(const WorkerId&);
    void handleHoldResult(const WorkerId&, const Result<jobs::WorkerReport>&);
    /// Whether reports still change the progress. A successor receives again all ends that were not acknowledged, and a
    /// handover would not end while each report adds changes to store.
    bool usesReports() const { return !m_hasSteppedDown && !m_isHandingOver; }
    void stepDown();
    WorkerLink* link(const WorkerId&);
    /// Connects to a worker that is new or has another address.
    void openLink(const WorkerId&);
    void closeLink(const WorkerId&);
    /// Removes the stored records of jobs that the scheduler has dropped after their retention time.
    void removeExpiredJobs(const std::vector<jobs::ExpiredJob>&);
    void removeStoredJobs();

    boost::asio::io_context& m_context;
    const SiteSettings& m_site;
    const TermSettings m_settings;
    AdviceDispatcher& m_adviceDispatcher;
    observability::EventLog& m_log;
    const TermAuthority m_authority;
    std::shared_ptr<ProgressWriter> m_writer;
    /// Number of the batch that is being stored, and the jobs in it whose records the store does not take.
    std::uint64_t m_openBatch = 0;
    std::set<JobId> m_rejectedJobs;
    jobs::ProgressRecords m_progressRecords;
    std::vector<std::unique_ptr<JobObserver>> m_jobObservers;
    std::unique_ptr<WorkerObserver> m_workerObserver;
    std::unique_ptr<ProgressObserver> m_progressObserver;
    std::vector<std::unique_ptr<TopicFollower>> m_jobFollowers;
    std::unique_ptr<TopicFollower> m_workerFollower;
    std::unique_ptr<TopicFollower> m_progressFollower;
    /// Null until the recovery has read the store.
    std::unique_ptr<jobs::JobScheduler> m_scheduler;
    /// None until the daemon has a configuration.
    std::optional<std::vector<jobs::TeamPolicy>> m_teams;
    /// Used by the links.
    jobs::CallTiming m_callTiming;
    std::unordered_map<WorkerId, std::unique_ptr<WorkerLink>> m_links;
    jobs::ReportSchedule m_reportSchedule;
    /// Stored progress records to remove.
    ProgressWriter::Records m_removals;
    jobs::RecordRemoval m_recordRemoval;
    /// Partition of the job topic from which records were removed last.
    std::uint32_t m_lastRemovalPartition = 0;
    userplatform::StoreConnection m_removalStore;
    bool m_isRemoving = false;
    /// Workers whose entry is missing from the registry, with the time at which they count as removed.
    std::map<WorkerId, TimePoint> m_missingEntries;
    jobs::EntryFreshness m_entryFreshness;
    boost::asio::steady_timer m_stepTimer;
    boost::asio::steady_timer m_superviseTimer;
    /// Time at which the term begins without the partitions that are not listed; zero until the timeout is started.
    TimePoint m_listingDeadline {};
    TimePoint m_lastStepAt {};
    TimePoint m_nextExpiryAt {};
    TimePoint m_nextWaitLogAt {};
    bool m_isStepScheduled = false;
    bool m_areStartsHeld = false;
    bool m_hasNoLease = false;
    bool m_isRegistryUnread = false;
    bool m_isHandingOver = false;
    bool m_hasSteppedDown = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace sapphiredale::controller
