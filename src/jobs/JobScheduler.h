// The job scheduler of one term: decides which task of which job starts on which worker, based on the workers' reports
// and the adviser's replies. A deterministic state machine without I/O, clock or threads.
#pragma once

#include "jobs/LeaseBounds.h"
#include "jobs/LocalityWait.h"
#include "jobs/SchedulerState.h"
#include "jobs/SpeedModel.h"
#include "jobs/TeamPolicy.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphiredale::jobs {

/// Limits and timeouts of a scheduler; docs/platform.md derives the values.
struct SchedulerSettings {
    /// Number of the term, from which the run numbers are derived.
    std::uint64_t m_term = 1;
    /// A worker that has not reported for this long gets no new work. Longer than one long poll and its reply.
    Duration m_reportTimeout = std::chrono::milliseconds(1800);
    /// Interval between stop orders for a run whose worker has not confirmed its end.
    Duration m_stopRetryInterval = std::chrono::milliseconds(700);
    /// Time after which a start without a reply is treated as unanswered.
    Duration m_startTimeout = std::chrono::milliseconds(1500);
    /// Time after which a lease has ended that a worker counts from the arrival of an order: its longest lease, and the
    /// error of its clock.
    Duration m_longestLease = std::chrono::milliseconds(10305);
    /// Remaining validity that a ticket must have for the start order to arrive in time.
    Duration m_ticketMargin = std::chrono::milliseconds(120);
    /// Time for which the outcome of a closed job is kept.
    Duration m_retention = std::chrono::seconds(150);
    /// A run counts as stalled when its progress has not risen for this long plus 4 % of its estimate. Reports arrive
    /// every second.
    Duration m_stallTimeout = std::chrono::milliseconds(1600);
    /// A run with less remaining time than this may finish on a draining worker.
    Duration m_drainGracePeriod = std::chrono::milliseconds(1500);
    /// Number of first waiting steps that each placement pass examines; see PlacementPass::run.
    std::uint32_t m_maxStepsPerPass = 200;
    /// Factor by which a task takes longer away from its data rack or from the other tasks of its step.
    double m_remoteFactor = 1.0;
    /// Whether tasks may wait for a place where they are faster.
    bool m_waitsForLocality = true;
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
    /// Runs that count as a possible cause of a crash of their worker.
    std::uint64_t m_crashSuspects = 0;
    /// Placement passes in which work beyond the share of its team waited although there was room, since it leaves a
    /// part of the pool free.
    std::uint64_t m_headroomPasses = 0;
    /// Runs that were copied to, or stopped in favor of, a faster worker because their job would have been late.
    std::uint64_t m_copiedRuns = 0;
    std::uint64_t m_movedRuns = 0;
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
    /// Begins the term, before any worker is listed, with the times by which the leases of all earlier terms have
    /// ended. Until then, the steps of restored jobs wait for the reports of the workers on which they may have tasks.
    void setInheritedLeases(LeaseBounds bounds, std::int64_t wallNowMs, TimePoint now)
    {
        m_inheritedLeases = std::move(bounds);
        m_inheritedWallMs = wallNowMs;
        m_inheritedAt = now;
    }
    /// Whether a task of the step may still run on a worker that has not reported in this term.
    bool mayRunOnUnreportedWorker(const Step&, TimePoint now) const;
    /// Whether runs of earlier terms may go on at the worker without being known in this term.
    bool mayRunInherited(const WorkerId&, TimePoint now) const;
    /// @}

    /// \name Teams
    /// @{
    /// Replaces the policies of the teams by those of the configuration in force.
    void setTeams(const std::vector<TeamPolicy>& teams, TimePoint now);
    /// Teams whose new jobs are to be refused now.
    std::vector<TeamRefusal> refusedTeams(TimePoint now) const;
    /// Team of a known job; empty if it has none.
    const TeamId& teamOf(const JobId&) const;
    /// Use, limit and waiting tasks of the teams that the configuration names.
    std::vector<TeamUse> teamUses() const;
    /// Jobs accepted within and beyond the shares of the teams.
    std::vector<TeamJobs> jobsByTeam() const { return m_shares.jobCounts(); }
    /// How often a team began to be refused.
    std::uint64_t teamRefusalCount() const { return m_shares.refusalCount(); }
    /// Teams that began or ceased to be refused since the last call.
    std::vector<TeamRefusalChange> takeRefusalChanges() { return m_shares.takeRefusalChanges(); }
    /// @}

    /// \name Leases of workers that cannot be reached
    /// @{
    /// Ends of the leases of workers on which tasks may run and that have not reported for long; at most `most`. A
    /// successor that is told these ends does not have to wait for the leases which this term grants to the others.
    std::map<WorkerId, TimePoint> leaseEndsOfUnreachable(std::size_t most, TimePoint now) const;
    /// Replaces the workers that are granted no lease now. They get no new work.
    void setWithheldLeases(const std::set<WorkerId>&, TimePoint now);
    /// @}

    /// Adds a job with the progress that earlier terms stored, which is empty for a new job, and whether they stored
    /// its record beside the progress. If the job is known, the first record is kept; a record of another team under
    /// its ID is reported by takeReusedIds().
    void addJob(const JobRecord&, const JobProgress& stored, std::int64_t wallNowMs, TimePoint now,
        bool isRecordStored = false);
    /// Cancels an open job, unless it belongs to another team than the canceller's. A job that is added after its
    /// cancellation is cancelled at once.
    void cancelJob(const JobId&, TimePoint now, const Canceller& = {});

    /// Adds a worker that the registry lists, or updates its description.
    void workerListed(const WorkerDescription&, TimePoint now);
    /// Marks the worker as no longer listed in the registry. Its runs may continue until its lease ends.
    void workerDelisted(const WorkerId&, TimePoint now);
    /// Handles a registry entry removed just after its worker wrote to it: a draining worker has ended.
    void workerLeft(const WorkerId&, TimePoint now);
    /// Removes and returns the workers that were forgotten since the last call: they are not listed, and their runs and
    /// leases have ended.
    std::vector<WorkerId> takeGoneWorkers() { return std::exchange(m_goneWorkers, {}); }
    /// Handles proof that the worker's process has ended: another worker answers at its address.
    void workerReplaced(const WorkerId&, TimePoint now);
    void workerReported(const WorkerId&, const WorkerReport&, TimePoint now);
    /// Notes that a request for a report was not answered.
    void reportFailed(const WorkerId&, TimePoint now);
    /// Notes that an order that extends the worker's lease is about to be sent.
    void leaseExtended(const WorkerId&, TimePoint leaseEnd);
    void startAnswered(const WorkerId&, const RunName&, StartOutcome, TimePoint now);
    /// Handles the result of a stop order sent at askedAt: confirmed by the worker, or not answered.
    void stopAnswered(const WorkerId&, const RunName&, bool confirmed, TimePoint askedAt, TimePoint now);
    /// Handles the adviser's reply to a request sent at askedAt; the tickets expire `validity` after that time.
    void adviceAnswered(
        const AdviceRequest&, const std::vector<Ticket>&, TimePoint askedAt, Duration validity, TimePoint now);
    /// Handles an advice request that was not answered.
    void adviceFailed(const AdviceRequest&, TimePoint now);

    /// Whether the store fails to append changes. While it does, tasks are placed only on workers that the stored
    /// record of their step names.
    void setStoreUnavailable(bool isUnavailable) { m_isStoreUnavailable = isUnavailable; }
    /// Whether no task may start now because the view of the workers or of the cancellations is too old. Stops, reports
    /// and leases go on, and placed tasks keep their places.
    void setStartsHeld(bool areHeld) { m_areStartsHeld = areHeld; }
    /// The time by which leases from calls to earlier processes have ended on all workers that reject such calls now.
    TimePoint latestLateLease() const { return m_latestLateLease; }
    /// Sets the time until which a successor waits for workers that it cannot reach, if this term ended now. A worker
    /// whose lease may last longer gets no new work.
    void setSuccessorWaitEnd(TimePoint end) { m_successorWaitEnd = end; }
    /// Makes all decisions that are possible now and returns the resulting orders and advice requests.
    std::vector<SchedulerAction> step(std::int64_t wallNowMs, TimePoint now, const AdviceCapacity&);

    /// \name Durable state
    /// @{
    /// Changed progress since the last call. The batch number is passed back to stored() once the store has the
    /// records.
    struct Batch {
        std::uint64_t m_number = 0;
        std::vector<ProgressRecord> m_records;
    };
    Batch takeChanges();
    /// The progress of all jobs; replaces the batch with this number, which will not be stored.
    Batch takeEverything(std::uint64_t insteadOf);
    bool hasChanges() const { return !m_dirty.empty() || m_hasNewEnds; }
    /// Notes that the store has the batch, but for the records of `rejected` jobs, which it does not take. No task of
    /// these starts until a later batch has their progress.
    void stored(std::uint64_t batch, const std::set<JobId>& rejected = {});
    /// Highest end number of the worker that is stored; ends up to it may be acknowledged.
    std::uint64_t storedEnd(const WorkerId&) const;
    /// Runs that were given up, and runs that were listed unexpectedly, since the last call.
    std::vector<LostRun> takeLostRuns() { return std::exchange(m_newLostRuns, {}); }
    std::vector<UnexpectedRun> takeUnexpectedRuns() { return std::exchange(m_unexpectedRuns, {}); }
    /// Runs under which a worker crashed since the last call.
    std::vector<CrashUnderRun> takeCrashes() { return std::exchange(m_newCrashes, {}); }
    /// Quarantines that have begun, or were ended early, since the last call.
    std::vector<QuarantineChange> takeQuarantineChanges() { return std::exchange(m_quarantineChanges, {}); }
    /// Runs that later processes of their workers have begun, restarts of workers, and workers whose runs of earlier
    /// terms count as over without a report, since the last call.
    std::vector<RunOfLaterProcess> takeRunsOfLaterProcesses() { return std::exchange(m_newRunsOfLaterProcesses, {}); }
    std::vector<WorkerRestart> takeRestarts() { return std::exchange(m_newRestarts, {}); }
    std::vector<ExpiredPlace> takeExpiredPlaces() { return std::exchange(m_newExpiredPlaces, {}); }
    /// Machine types whose factor was learned or has changed since the last call.
    std::vector<SpeedModel::TypeChange> takeSpeedChanges() { return m_speeds.takeTypeChanges(); }
    /// Jobs under whose ID another team has submitted a job, since the last call; each job once in a term.
    std::vector<ReusedId> takeReusedIds() { return std::exchange(m_reusedIds, {}); }
    /// Jobs whose end has been stored since the last call.
    std::vector<EndedJob> takeEnded() { return std::exchange(m_ended, {}); }
    /// Removes and returns the closed jobs whose retention time is over, and the jobs that were cancelled and never
    /// added in that time.
    std::vector<ExpiredJob> takeExpired(TimePoint now);
    /// @}

    /// \name Queries
    /// @{
    bool knows(const JobId&) const;
    /// State of a known job as its caller sees it.
    JobState state(const JobId&) const;
    /// Number of open jobs of the queue of which no task has started.
    std::uint32_t pending(const std::string& queue) const;
    const Worker* worker(const WorkerId&) const;
    /// A step with a task that has been waiting for long, and the reason.
    struct Wait {
        StepName m_step;
        std::string m_reason;
    };
    /// Steps with tasks that have been waiting, or with unconfirmed orders, for longer than `age`; at most `most`,
    /// those that were returned longest ago first. A step is returned again after twice the time.
    std::vector<Wait> takeLongWaits(Duration age, std::size_t most, TimePoint now);
    const std::map<WorkerId, Worker>& workers() const { return m_workers; }
    const SpeedModel& speeds() const { return m_speeds; }
    const SchedulerCounters& counters() const { return m_counters; }
    const LocalityCounters& localityCounters() const { return m_localityCounters; }
    std::size_t jobCount() const { return m_jobs.size(); }
    /// Number of jobs that have not ended.
    std::size_t openJobCount() const;
    /// Steps and tasks that take memory.
    struct HeldWork {
        std::uint64_t m_steps = 0;
        std::uint64_t m_tasks = 0;
    };
    HeldWork heldWork() const;
    /// @}

private:
    friend class PlacementPass;

    Job& createJob(const JobRecord&, std::int64_t wallNowMs, TimePoint now);
    /// Handles a second record under the ID of a job.
    void handleReusedId(Job&, const JobRecord&);
    /// Whether a cancellation that was read before the job applies to it.
    bool takeEarlyCancellation(const JobRecord&);
    /// \name Occurrences in memory; see Occurrences.cpp
    /// @{
    /// Holds the occurrence in memory; returns whether the job has it.
    bool openOccurrence(Job&, std::uint32_t occurrence, TimePoint now);
    /// Holds the occurrence of the task and returns the step; null if the job has no such task.
    Step* openStep(Job&, const TaskIndex&, TimePoint now);
    /// Notes the occurrences that are due, and decides which ones are held.
    void updateHeldOccurrences(Job&, std::int64_t wallNowMs, TimePoint now);
    /// Opens due occurrences in which the step is ready, until `count` were opened.
    void openReadyOccurrences(Job&, std::uint32_t step, std::uint32_t count, TimePoint now);
    /// Number of tasks that are ready in due occurrences which are not held.
    static std::uint64_t waitingTasksNotHeld(const Job&);
    /// Drops the steps of the occurrence from memory; nothing may refer to them.
    void releaseOccurrence(Job&, std::uint32_t occurrence, TimePoint now);
    /// Notes the steps that the stored progress shows as finished, and returns the finished tasks of other steps.
    static std::vector<TaskIndex> restoreFinishedSteps(Job&, const JobProgress&);
    /// @}
    ProgressRecord progressOf(const Job&) const;
    /// Adds the finished steps of the job, and what is known of a step that is held.
    static void addFinishedSteps(const Job&, JobProgress&);
    void addProgressOf(const Step&, JobProgress&) const;
    /// Workers that the next record of the step's job names as its places.
    PlaceSet placesOf(const Step&) const;
    void restoreTasks(Job&, const JobProgress&, TimePoint now);
    /// Restores the places of a job that has ended while its tasks may go on, for the limit of its team.
    void restorePlacesOfEndedJob(Job&, const JobProgress&, TimePoint now);
    Step* stepOf(const TaskName&, TimePoint now);
    static Task& taskOf(Step& step, const RunName& run) { return step.m_tasks.own(run.m_task.m_index.m_task); }
    /// The task that counts the failures and crashes of the run. The members of a gang start and fail together: the
    /// first one counts for all.
    static Task& countingTaskOf(Step& step, const RunName& run)
    {
        return step.m_spec->m_isGang ? step.m_tasks.own(0) : taskOf(step, run);
    }
    /// Updates whether tasks that share a state wait.
    void refreshWaiting(Step&, Task&, TimePoint now, std::size_t tasks = 1);
    void refreshAllWaiting(Step&, TimePoint now);
    void setActive(Run&, bool, TimePoint now);
    /// Counts the job as pending or not, after its state has changed.
    void updatePending(Job&);
    /// Marks the job as started: a worker has begun one of its tasks.
    void markStarted(Job&);
    /// Marks the run as begun if that was not known.
    void confirm(Run&, TimePoint now);
    void finishTask(Step&, Task&, TimePoint now);
    void finishStep(Step&, TimePoint now);
    /// Ends the job as done once all steps of all occurrences are finished.
    void closeIfFinished(Job&, TimePoint now);
    void closeJob(Job&, JobState, TimePoint now);
    void markChanged(Job&);
    /// Applies the marks of jobs that have changed.
    void applyShareMarks(TimePoint now);

    Run& addRun(Step&, Task&, Worker&, const RunName&, RunPhase, TimePoint now);
    /// Removes a run from its worker; the task waits again unless it is done.
    void removeRun(Worker&, const RunName&, TimePoint now);
    static std::vector<RunName> namesOfRuns(const Worker&);
    /// Removes all runs of a worker that has ended.
    void loseAllRuns(Worker&, RunLossReason, TimePoint now);
    /// Removes runs that count as over without a listed end.
    void loseRuns(Worker&, const std::vector<RunName>&, RunLossReason, TimePoint now);
    void noteLoss(const Worker&, const Run&, RunLossReason, TimePoint now);
    /// Notes a listed run that this term did not order on the worker, or had given up.
    void noteUnexpectedRun(const Worker&, const RunName&, std::uint32_t otherRuns);
    void requestStop(Run&, TimePoint now);
    static void setPhase(Run&, RunPhase);
    void startRecordedRuns(TimePoint now);
    /// Stops the runs of the step that match and are not being stopped yet.
    template <typename Predicate> void stopRuns(const Step&, Predicate, TimePoint now);
    void stopAllRuns(const Job&, TimePoint now);
    void stopGang(const Step&, std::uint32_t run, TimePoint now);
    void stopOtherRuns(const Step&, const TaskName&, TimePoint now);
    Worker* findWorker(WorkerNumber number) { return m_workersByNumber[number]; }
    Worker* findWorker(const WorkerId&);
    /// Whether the worker may get new work of some step.
    bool isAvailable(const Worker&, TimePoint now) const;
    /// Whether a successor that cannot reach the worker waits for leases from calls to earlier processes and by earlier
    /// terms.
    bool isLateLeaseCovered(const Worker& worker, TimePoint now) const
    {
        return worker.m_lateLeaseEnd <= std::max(now, m_successorWaitEnd);
    }
    /// Updates the index of free capacity after a change of the worker.
    void updateRoom(Worker&, TimePoint now);
    PoolNumber poolNumber(const std::string& service);
    static std::uint32_t nextRun(const SchedulerSettings&, const Task&);
    void handleRunEnd(Worker&, const EndReport&, TimePoint now);
    void handleRunReport(Worker&, const WorkerReport&, const RunReport&, TimePoint now);
    /// Compares the progress since the last measurement of the run with its estimate.
    void measureSpeed(Run&, double percent, TimePoint now);
    bool isStalled(const Run&, TimePoint now) const;
    void handleStall(Worker&, Run&, TimePoint now);
    /// Counts a failed or stalled run against its worker, or against its task if that has failed on another worker too.
    void attributeFailure(Worker&, Step&, const RunName&, TimePoint now);
    void quarantineIfFailing(Worker&, TimePoint now);
    /// Handles a start whose outcome is unknown: requests a report that shows whether the run exists.
    void handleUnansweredStart(Worker&, Run&, TimePoint now);
    void handleRunFailure(Worker&, Step&, const RunName&, TimePoint now);
    /// Gives up runs that a report should list and does not.
    void dropMissingRuns(Worker&, const WorkerReport&, TimePoint now);
    void handleWorkerRestart(Worker&, std::int64_t bornMs, TimePoint now);
    /// Stops a run whose start may still arrive at a later process of its worker, until that process has confirmed it.
    /// Its task does not start elsewhere, and its capacity is kept, until then.
    void stopLateStart(Worker&, const RunName&, TimePoint now);
    /// Time by which the run has ended if its worker stays silent.
    TimePoint endOfSilentRun(const Worker&, const Run&) const;

    /// \name Tasks that crash their workers; see CrashSuspects.cpp
    /// @{
    /// Counts the end of the process that had these runs for those of them that may have caused it, and gives up jobs.
    void noteCrash(Worker&, const std::vector<RunName>& ended, TimePoint now);
    /// Clears the run and its task of suspicion if the report shows that the run has lasted.
    void proveRun(Run&, const WorkerReport&);
    void beginProof(Run&);
    void endProof(Run&);
    /// Requests reports that can prove runs which keep their worker from other work.
    void requestTrialReports(Worker&, TimePoint now);
    /// @}

    /// \name Limits of teams; see TeamLimits.h
    /// @{
    /// Whether the limit of the step's team leaves room for a task, or for all tasks of a gang.
    bool hasTeamRoom(const Step& step) const
    {
        const Job& job = *step.m_job;
        return job.m_team == noTeam || m_teamLimits.allows(job.m_team, job.m_record.m_teamLimit, step.neededAtOnce());
    }
    /// Whether the use of the step's team, with that of its placed tasks, is within the limit.
    bool isWithinTeamLimit(const Step& step) const
    {
        const Job& job = *step.m_job;
        return job.m_team == noTeam || m_teamLimits.allows(job.m_team, job.m_record.m_teamLimit, {});
    }
    /// Whether an advice request for the step may lead to a start, if the other open ones of its team do.
    bool mayClaimTeamRoom(const Step& step) const
    {
        const Job& job = *step.m_job;
        return job.m_team == noTeam || m_teamLimits.mayClaim(job.m_team, job.m_record.m_teamLimit, step.neededAtOnce());
    }
    /// Claims what the advice request for the step is meant to start, and gives it back when the request is over.
    void claimTeamRoom(Step&);
    void endTeamClaim(Step&);
    /// Charges what may run of the step on workers that have not reported in this term.
    void updateInheritedCharge(Step&);
    /// Notes that a task of the step no longer counts as one that may run at an inherited place.
    void noteKnownTask(const Step&);
    /// Forgets unanswered starts that can no longer lead to a run.
    void forgetUnansweredStarts(Worker&, TimePoint now);
    /// @}

    /// \name Runs that will be late on a slow worker; see LateRuns.cpp
    /// @{
    void handleLateRuns(TimePoint now);
    /// Whether the job of the run would miss its objective, and its task end clearly earlier on a fast worker.
    bool isWorthMoving(const Run&, TimePoint now) const;
    /// @}

    void superviseWorkers(TimePoint now);
    void superviseRuns(Worker&, TimePoint now);
    /// Forgets inherited places whose runs are known from a report or whose lease has ended.
    void forgetInheritedPlaces(TimePoint now);
    void forgetInheritedPlaces(Step&, TimePoint now);
    /// Time by which the runs of a worker that does not report have ended.
    TimePoint unreportedLeaseEnd(const WorkerId&) const;
    /// The time by which leases have ended that earlier terms granted the worker on the clock of a known process.
    TimePoint inheritedLeaseEnd(const WorkerId&) const;
    /// Notes a process of a worker that the registry shows for the first time. An earlier term may have ended before it
    /// has noticed the restart.
    void noteInheritedProcess(const WorkerDescription&, TimePoint now);
    /// Forgets a worker that has left as a planned place of later steps.
    void forgetPlannedPlaces(WorkerNumber);
    void evacuate(Worker&, TimePoint now);
    void throttleFillingTasks(Worker&, TimePoint now);

    /// Counts the worker in the pool that the registry names now.
    void moveToPool(Worker&, PoolNumber);

    const SchedulerSettings m_settings;
    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    /// Cancellations of jobs that are not known yet.
    struct EarlyCancellation {
        TimePoint m_at {};
        std::vector<Canceller> m_cancellers;
    };
    std::unordered_map<JobId, EarlyCancellation> m_cancelledEarly;
    std::map<WorkerId, Worker> m_workers;
    std::unordered_map<WorkerId, WorkerNumber> m_workerNumbers;
    /// Workers that were forgotten since they were last taken.
    std::vector<WorkerId> m_goneWorkers;
    /// When workers were forgotten, while calls to them may still be carried out.
    std::unordered_map<WorkerId, TimePoint> m_recentlyGone;
    /// Null for workers that are gone.
    std::vector<Worker*> m_workersByNumber;
    std::unordered_map<std::string, PoolNumber> m_poolNumbers;
    std::unordered_map<FailureDomainId, DomainNumber> m_domainNumbers;
    /// Number of workers by pool, and of those that are kept free for gangs.
    std::vector<std::uint32_t> m_poolWorkers;
    std::vector<std::uint32_t> m_poolReservations;
    std::vector<Step*> m_reservingSteps;
    /// Available workers by their free capacity, and by that which open advice requests have not tentatively reserved.
    RoomIndex m_freeRoom;
    RoomIndex m_unreservedRoom;
    /// Steps with waiting tasks and no open dependency; those whose tasks were placed meanwhile leave it at the next
    /// pass.
    StepQueue m_waitingSteps;
    /// Rank at which the next placement pass goes on after the first steps; the default if the last one ended the
    /// queue.
    StepRank m_nextTurn;
    std::uint64_t m_lastJobNumber = 0;
    /// Open jobs that have not started, by queue.
    std::unordered_map<std::string, std::uint32_t> m_pending;
    /// Open jobs whose occurrences are due at certain times, of which there may be one only.
    std::vector<Job*> m_jobsWithDueTimes;
    std::vector<Job*> m_dirty;
    bool m_hasNewEnds = false;
    /// Workers with reported ends that are not stored.
    std::set<WorkerNumber> m_workersWithNewEnds;
    bool m_isStoreUnavailable = false;
    bool m_areStartsHeld = false;
    TimePoint m_successorWaitEnd = TimePoint::max();
    TimePoint m_latestLateLease {};
    std::uint64_t m_lastBatch = 0;
    /// Highest end that a worker had reported since its start when a batch was taken.
    struct SeenEnd {
        WorkerNumber m_worker = 0;
        std::int64_t m_bornMs = 0;
        std::uint64_t m_end = 0;
    };
    std::map<std::uint64_t, std::vector<SeenEnd>> m_batchEnds;
    /// What a batch stores of a job.
    struct SentProgress {
        JobId m_job;
        JobState m_state = JobState::Queued;
        /// Places of the steps that have any.
        std::map<StepIndex, PlaceSet> m_places;
    };
    std::map<std::uint64_t, std::vector<SentProgress>> m_batchRecords;
    TimePoint m_nextSupervision {};
    LeaseBounds m_inheritedLeases;
    TimePoint m_inheritedAt {};
    /// Time of day at m_inheritedAt, in milliseconds since 1970.
    std::int64_t m_inheritedWallMs = 0;
    /// Ends of the leases that new processes of workers may have been granted by calls of earlier terms to the
    /// processes before them. Kept apart from the workers, as a worker that is cut off is forgotten when its entry
    /// expires.
    std::map<WorkerId, TimePoint> m_inheritedLateLeases;
    /// The inherited places of all steps, and the earliest end of a lease among them.
    std::set<WorkerId> m_inheritedPlaces;
    TimePoint m_nextInheritedEnd = TimePoint::max();
    std::set<WorkerId> m_withheldLeases;
    /// A worker has reported for the first time, or a job was restored, since m_inheritedPlaces was updated.
    bool m_areInheritedPlacesChanged = false;
    /// Runs that wait until the store names their workers as places of the step.
    std::vector<std::pair<WorkerNumber, RunName>> m_recordingRuns;
    std::vector<SchedulerAction> m_actions;
    std::vector<EndedJob> m_ended;
    std::vector<ReusedId> m_reusedIds;
    /// Runs that were given up recently, oldest first.
    std::deque<LostRun> m_lostRuns;
    std::vector<LostRun> m_newLostRuns;
    std::vector<UnexpectedRun> m_unexpectedRuns;
    std::vector<CrashUnderRun> m_newCrashes;
    std::vector<QuarantineChange> m_quarantineChanges;
    std::vector<RunOfLaterProcess> m_newRunsOfLaterProcesses;
    std::vector<WorkerRestart> m_newRestarts;
    std::vector<ExpiredPlace> m_newExpiredPlaces;
    /// Running mean of the share of workers that the adviser allows, by queue.
    std::map<std::string, double> m_allowedShare;
    TeamLimits m_teamLimits;
    TeamShares m_shares;
    /// What runs of jobs beyond the share of their team have reserved, by the pool of the job.
    std::vector<Resources> m_poolBeyondShare;
    SpeedModel m_speeds;
    TimePoint m_nextLateRunCheck {};
    SchedulerCounters m_counters;
    LocalityCounters m_localityCounters;
};

} // namespace sapphiredale::jobs
