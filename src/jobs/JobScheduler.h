// The job scheduler of one term: decides which task of which job starts on which worker, from reports of the workers
// and answers of the adviser. A deterministic state machine without I/O, clock or threads.
#pragma once

#include "jobs/SchedulerState.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphiredale::jobs {

/// Limits of a scheduler; docs/platform.md derives them.
struct SchedulerSettings {
    /// Number of the term; the numbers of its runs follow from it.
    std::uint64_t m_term = 1;
    /// A worker that has not reported for this long gets no new work. Longer than one long poll and its answer.
    Duration m_silence = std::chrono::milliseconds(1800);
    /// Time between two stops of a run whose worker has not confirmed its end.
    Duration m_stopInterval = std::chrono::milliseconds(700);
    /// A start that is not answered for this long is taken as lost.
    Duration m_answerPatience = std::chrono::milliseconds(1500);
    /// Part of a ticket's life that is left for the start to arrive.
    Duration m_ticketMargin = std::chrono::milliseconds(120);
    /// Time for which the outcome of a closed job is kept.
    Duration m_retention = std::chrono::seconds(150);
    /// A run without progress for this long, and one percent of its estimate four times, stands still. Reports arrive
    /// every second.
    Duration m_stall = std::chrono::milliseconds(1600);
    /// Rest of a run that is let finish on a draining worker.
    Duration m_drainPatience = std::chrono::milliseconds(1500);
    /// Most waiting steps that one pass looks at.
    std::uint32_t m_stepsPerPass = 200;
};

/// Counts of decisions since the start of the term.
struct SchedulerCounters {
    std::uint64_t m_starts = 0;
    std::uint64_t m_refusedStarts = 0;
    std::uint64_t m_unknownStarts = 0;
    std::uint64_t m_stops = 0;
    std::uint64_t m_questions = 0;
    std::uint64_t m_doneRuns = 0;
    std::uint64_t m_failedRuns = 0;
    std::uint64_t m_lostRuns = 0;
    std::uint64_t m_stalledRuns = 0;
};

/// See the head of the file. Functions that take `now` are called with times that do not decrease.
class JobScheduler {
public:
    explicit JobScheduler(const SchedulerSettings&);
    ~JobScheduler();
    JobScheduler(const JobScheduler&) = delete;
    JobScheduler& operator=(const JobScheduler&) = delete;

    /// \name Recovery
    /// @{
    /// The instant by which everything that an earlier term ordered has lapsed. Until then, the steps of restored jobs
    /// wait for the reports of the workers on which they may have tasks.
    void setInheritedLeaseEnd(TimePoint lapsedAt) { m_lapsedAt = lapsedAt; }
    /// Whether a task of the step may still run on a worker that has not reported in this term.
    bool mayRunElsewhere(const Step&, TimePoint now) const;
    /// @}

    /// Adds a job with what earlier terms stored of its progress, which is empty for a new one. A repeated call with
    /// the same identifier has no effect.
    void addJob(const JobRecord&, const JobProgress& stored, std::int64_t wallNowMs, TimePoint now);
    /// Ends a job that is open. A job that arrives later is cancelled at once.
    void cancelJob(const JobId&, TimePoint now);

    /// The registry lists a worker, with this description.
    void workerListed(const WorkerDescription&, TimePoint now);
    /// The registry no longer lists it. Its runs may go on until its lease ends.
    void workerDelisted(const WorkerId&, TimePoint now);
    /// The registry removed the entry of a worker that had just written to it: a draining worker has ended.
    void workerLeft(const WorkerId&, TimePoint now);
    void workerReported(const WorkerId&, const WorkerReport&, TimePoint now);
    /// A request for a report was not answered.
    void reportFailed(const WorkerId&, TimePoint now);
    /// An order that extends the worker's lease is about to be sent.
    void leaseExtended(const WorkerId&, TimePoint leaseEnd);
    void startAnswered(const WorkerId&, const RunName&, StartOutcome, TimePoint now);
    /// A stop was confirmed, or not answered.
    void stopAnswered(const WorkerId&, const RunName&, bool confirmed, TimePoint now);
    /// The adviser's answer to a question sent at askedAt; the tickets expire after their validity from then on.
    void adviceAnswered(
        const AdviceRequest&, const std::vector<Ticket>&, TimePoint askedAt, Duration validity, TimePoint now);
    /// The question was not answered.
    void adviceFailed(const AdviceRequest&, TimePoint now);

    /// Whether the store does the appends of changes. While it does not, tasks are placed where their step is recorded.
    void setStoreUnavailable(bool isAway) { m_isStoreAway = isAway; }
    /// Decides as much as is possible now.
    std::vector<SchedulerAction> step(std::int64_t wallNowMs, TimePoint now, const AdviceCapacity&);

    /// \name Durable state
    /// @{
    /// Changed progress since the last call. The batch number is given to stored() once the store has the records.
    struct Batch {
        std::uint64_t m_number = 0;
        std::vector<ProgressRecord> m_records;
    };
    Batch takeChanges();
    /// The progress of all jobs, instead of the batch with this number, which is not going to be stored.
    Batch takeEverything(std::uint64_t insteadOf);
    bool hasChanges() const { return !m_dirty.empty() || m_hasNewEnds; }
    void stored(std::uint64_t batch);
    /// Ends of the worker up to this number are stored and may be acknowledged.
    std::uint64_t storedEnd(const WorkerId&) const;
    /// Jobs that are done and whose end the store does not have yet.
    const std::set<JobId>& unstoredCompletions() const { return m_unstoredEnds; }
    /// The caller of a job in unstoredEnds() is shown its end from now on; false where that has no effect.
    bool publishCompletion(const JobId&);
    /// An earlier term showed this end and may not have stored it: nothing of the job starts again.
    void restorePublishedCompletion(const JobId&, TimePoint now);
    /// Jobs whose end has been stored since the last call.
    std::vector<EndedJob> takeEnded() { return std::exchange(m_ended, {}); }
    /// Closed jobs whose retention is over; they are forgotten.
    std::vector<JobId> takeExpired(TimePoint now);
    /// @}

    /// \name Queries
    /// @{
    bool knows(const JobId&) const;
    /// What the caller of a known job is shown.
    JobState state(const JobId&) const;
    /// Open jobs of a queue of which no task has started.
    std::uint32_t pending(const std::string& queue) const;
    const Worker* worker(const WorkerId&) const;
    /// A task that has not been running for long though its job is open, with the reason.
    struct Wait {
        StepName m_step;
        std::string m_reason;
    };
    /// Steps with tasks that have been waiting, or in an order that is not confirmed, for longer than `age`.
    std::vector<Wait> longWaits(Duration age, std::size_t most, TimePoint now);
    const std::map<WorkerId, Worker>& workers() const { return m_workers; }
    const SchedulerCounters& counters() const { return m_counters; }
    std::size_t jobCount() const { return m_jobs.size(); }
    /// @}

private:
    friend class Placement;

    Job& createJob(const JobRecord&, std::int64_t wallNowMs, TimePoint now);
    void openOccurrence(Job&, TimePoint now);
    void openDueOccurrences(Job&, std::int64_t wallNowMs, TimePoint now);
    ProgressRecord progressOf(const Job&) const;
    void restoreTasks(Job&, const JobProgress&, TimePoint now);
    Step* stepOf(const TaskName&, TimePoint now);
    static Task& taskOf(Step& step, const RunName& run) { return step.m_tasks[run.m_task.m_index.m_task]; }
    void refreshWaiting(Step&, Task&, TimePoint now);
    void refreshAllWaiting(Step&, TimePoint now);
    void setActive(Run&, bool, TimePoint now);
    /// A worker has begun a task of the job.
    static void hasStarted(Job&);
    /// The run has begun, as far as is known for the first time now.
    static void confirm(Run&, TimePoint now);
    void taskFinished(Step&, Task&, TimePoint now);
    void stepFinished(Step&, TimePoint now);
    void closeJob(Job&, JobState, TimePoint now);
    void changed(Job&);

    Run& addRun(Step&, Task&, Worker&, const RunName&, RunPhase, TimePoint now);
    /// Takes a run from its worker; the task waits again unless it is done.
    void removeRun(Worker&, const RunName&, TimePoint now);
    /// The same for runs that ended without a result.
    void loseRuns(Worker&, const std::vector<RunName>&, TimePoint now);
    void requestStop(Run&, TimePoint now);
    void startRecorded(TimePoint now);
    /// Stops the runs that are meant and are not being stopped yet.
    void stopRuns(const std::function<bool(const Run&)>& isMeant, TimePoint now);
    void stopGang(const Step&, std::uint32_t run, TimePoint now);
    static std::uint32_t nextRun(const SchedulerSettings&, const Task&);
    void endReported(Worker&, const EndReport&, TimePoint now);
    void runReported(Worker&, const RunReport&, TimePoint now);
    bool isStalled(const Run&, TimePoint now) const;
    void stallReported(Worker&, Run&, TimePoint now);
    void quarantineIfBad(Worker&, TimePoint now);
    /// Nothing is known of the start; a report is to show whether the run exists.
    void startUnanswered(Worker&, Run&, TimePoint now);
    void failureReported(Worker&, Step&, const RunName&, TimePoint now);
    void dropMissingRuns(Worker&, const WorkerReport&, TimePoint now);
    void workerReborn(Worker&, std::int64_t bornMs, TimePoint now);
    void superviseWorkers(TimePoint now);
    void superviseRuns(Worker&, TimePoint now);
    /// Places whose runs are known by now from a report, or have lapsed.
    void forgetInheritedPlaces(TimePoint now);
    /// The worker is gone: no later step of a job can start there.
    void forgetPlannedPlaces(const WorkerId&);
    void evacuate(Worker&, TimePoint now);
    void paceFillers(Worker&, TimePoint now);

    const SchedulerSettings m_settings;
    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<JobId, TimePoint> m_cancelledEarly;
    std::map<WorkerId, Worker> m_workers;
    /// Steps that have waiting tasks and no open dependency.
    std::vector<Step*> m_waiting;
    /// Jobs with occurrences that are not due yet.
    std::vector<Job*> m_timed;
    std::vector<Job*> m_dirty;
    std::set<JobId> m_unstoredEnds;
    bool m_hasNewEnds = false;
    bool m_isStoreAway = false;
    std::uint64_t m_lastBatch = 0;
    /// Ends that a worker had reported in this life when a batch was taken.
    struct SeenEnd {
        WorkerId m_worker;
        std::int64_t m_bornMs = 0;
        std::uint64_t m_end = 0;
    };
    std::map<std::uint64_t, std::vector<SeenEnd>> m_batchEnds;
    /// What a batch stores of each of its jobs.
    std::map<std::uint64_t, std::vector<ProgressRecord>> m_batchRecords;
    TimePoint m_nextSupervision {};
    TimePoint m_lapsedAt {};
    /// Steps may have inherited places.
    bool m_hasInheritedPlaces = true;
    /// Runs that wait for the store to name their places.
    std::vector<std::pair<WorkerId, RunName>> m_recording;
    std::vector<SchedulerAction> m_actions;
    std::vector<EndedJob> m_ended;
    /// Share of the asked workers that the adviser allows, by queue.
    std::map<std::string, double> m_allowedShare;
    SchedulerCounters m_counters;
};

} // namespace sapphiredale::jobs
