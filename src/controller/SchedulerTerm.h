// One term as the scheduler: recovers what earlier terms left, then carries out what the job scheduler decides.
#pragma once

#include "controller/AdviceDesk.h"
#include "controller/EndDiscloser.h"
#include "controller/EndNotes.h"
#include "controller/ProgressWriter.h"
#include "controller/SiteSettings.h"
#include "controller/TopicFollower.h"
#include "controller/WorkerLink.h"
#include "jobs/JobScheduler.h"
#include "observability/EventLog.h"

#include <functional>
#include <memory>
#include <set>

namespace sapphiredale::controller {

inline constexpr const char* jobTopic = "keyed.jobs";
/// Partitions of the topic of the jobs. A slow store serves one append of a partition at a time, so daemons that append
/// to different ones do not wait for each other.
inline constexpr std::uint32_t jobPartitions = 16;
/// Key of the cancellation of a job in the topic of the jobs.
std::string cancellationKey(const JobId&);

/// What a term needs to know.
struct TermSettings {
    std::uint64_t m_term = 1;
    /// Partition with the progress that earlier terms have stored.
    std::uint32_t m_progressPartition = 0;
    /// By when orders of earlier terms have ceased.
    TimePoint m_predecessorCeasedAt {};
    /// Lease of the workers.
    Duration m_lease = std::chrono::seconds(8);
};

/// How a term depends on the election of its daemon.
struct TermAuthority {
    /// Whether orders may still be given.
    std::function<bool()> m_mayOrder;
    /// Called once when a later term is met.
    std::function<void()> m_deposed;
    /// Names another partition of the progress to successors, and whether the store has that.
    std::function<void(std::uint32_t)> m_announceProgress;
    std::function<bool(std::uint32_t)> m_isProgressAnnounced;
};

/// Lives while the daemon holds the term. All calls come from the event loop.
class SchedulerTerm {
public:
    SchedulerTerm(boost::asio::io_context&, const SiteSettings&, const TermSettings&, AdviceDesk&, const EndNotes&,
        observability::EventLog&, TermAuthority);
    ~SchedulerTerm();
    SchedulerTerm(const SchedulerTerm&) = delete;
    SchedulerTerm& operator=(const SchedulerTerm&) = delete;

    void start();
    /// No orders from now on; what has changed is stored.
    void beginHandover();
    bool isHandedOver() const;

    /// State of a job; NotReady while the answer is not certain, NotFound when there is no such job.
    Result<jobs::JobState> state(const JobId&) const;
    Result<std::uint32_t> pending(const std::string& queue) const;
    bool isRecovered() const { return m_scheduler != nullptr; }
    /// A daemon became free to ask the adviser.
    void advance() { scheduleStep(); }
    /// The notes of this daemon have changed.
    void applyNotes();
    std::uint64_t term() const { return m_settings.m_term; }
    const jobs::JobScheduler* scheduler() const { return m_scheduler.get(); }

private:
    class JobObserver;
    class WorkerObserver;
    class ProgressObserver;
    struct LinkState;

    void recover();
    /// Whether enough of the store has been read for orders to be given.
    bool mayBegin();
    std::size_t unlistedPartitions() const;
    void restoreJobs(JobObserver&);
    /// A partition of the accepted jobs has been listed after the recovery.
    void restoreLate(JobObserver&);
    void finishRestoration();
    void addJob(const JobId&, const std::string& record, TimePoint now);
    jobs::JobProgress storedProgress(const JobId&) const;
    void scheduleStep();
    void step();
    void carryOut(const jobs::SchedulerAction&);
    void order(const jobs::StartOrder&);
    void order(const jobs::StopOrder&);
    void order(const jobs::ReportOrder&);
    void order(const jobs::ThrottleOrder&);
    void order(const jobs::AdviceRequest&);
    void writeProgress();
    ProgressWriter::Records allProgress();
    void logEnded();
    void workerEntry(const userplatform::KeyedRecord&);
    void jobRecord(std::uint32_t partition, const userplatform::KeyedRecord&);
    void superviseLinks();
    void hold(const WorkerId&);
    void held(const WorkerId&, const Result<jobs::WorkerReport>&);
    void depose();
    WorkerLink* link(const WorkerId&);
    /// Removes the stored records of jobs that are forgotten here.
    void forget(const std::vector<JobId>&);
    void removeStoredJobs();

    boost::asio::io_context& m_context;
    const SiteSettings& m_site;
    const TermSettings m_settings;
    AdviceDesk& m_desk;
    const EndNotes& m_notes;
    observability::EventLog& m_log;
    const TermAuthority m_authority;
    std::shared_ptr<ProgressWriter> m_writer;
    /// Number of the batch that the writer stores.
    std::uint64_t m_openBatch = 0;
    std::vector<std::unique_ptr<JobObserver>> m_jobObservers;
    std::unique_ptr<WorkerObserver> m_workerObserver;
    std::unique_ptr<ProgressObserver> m_progressObserver;
    std::vector<std::unique_ptr<TopicFollower>> m_jobFollowers;
    std::unique_ptr<TopicFollower> m_workerFollower;
    std::unique_ptr<TopicFollower> m_progressFollower;
    /// Null until the recovery has read the store.
    std::unique_ptr<jobs::JobScheduler> m_scheduler;
    EndDiscloser m_discloser;
    std::map<WorkerId, LinkState> m_links;
    /// Stored progress of jobs that were forgotten.
    ProgressWriter::Records m_removals;
    /// Partitions in which each job was read; more than one if an append of the job had no answer.
    std::map<JobId, std::set<std::uint32_t>> m_jobPartitions;
    /// Stored jobs and cancellations to remove, by partition.
    std::map<std::uint32_t, ProgressWriter::Records> m_jobRemovals;
    userplatform::StoreConnection m_cleaner;
    bool m_isCleaning = false;
    /// Entries that have vanished from the registry, with the instant at which they count as gone.
    std::map<WorkerId, TimePoint> m_vanished;
    /// When the newest entry of each worker was read.
    std::map<WorkerId, TimePoint> m_entryAt;
    boost::asio::steady_timer m_stepTimer;
    boost::asio::steady_timer m_superviseTimer;
    /// When the term begins without the partitions that are not listed; the epoch while that is not due.
    TimePoint m_beginAt {};
    TimePoint m_lastStepAt {};
    TimePoint m_nextForgetAt {};
    TimePoint m_nextWaitLogAt {};
    bool m_isStepScheduled = false;
    bool m_isHandingOver = false;
    bool m_isDeposed = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace sapphiredale::controller
