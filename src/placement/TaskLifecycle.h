// The transitions of tasks and jobs. Every change of a task's phase goes through here, with the accounting it needs.
#pragma once

#include "placement/Quarantine.h"
#include "placement/WaitingQueue.h"

#include <string>

namespace sapphiredale::placement {

/// Transitions of tasks between queue, workers and final results.
class TaskLifecycle {
public:
    TaskLifecycle(CellState& state, WaitingQueue& queue, Quarantine& quarantine)
        : m_state(state)
        , m_queue(queue)
        , m_quarantine(quarantine)
    {
    }

    /// Creates and queues the tasks of a new job; tasks that already run or have ended are taken over.
    void openJob(JobIndex, std::uint32_t taskCount, TimePoint now);
    /// Queues a task that does not wait yet, behind the others.
    void queueTask(TaskIndex, TimePoint now);

    /// Starts a waiting task; the worker must have the capacity.
    void start(TaskIndex, WorkerIndex, TimePoint now, bool backfill = false);
    /// Takes over an attempt that a worker reports and that this cell did not start.
    void adopt(TaskIndex, WorkerIndex, const TaskReport&, TimePoint now);
    /// Accounts for an attempt that must not run and asks its worker to stop it.
    void stopStray(const TaskId&, WorkerIndex, const TaskReport&, TimePoint now);
    /// Handles a checkpoint that this cell did not request, for example one requested by a former owner: the task is
    /// treated as stopping.
    void markCheckpointing(TaskIndex, TimePoint now);
    /// Turns the present attempt into a stray and stops it, because another attempt replaces it.
    void supersede(TaskIndex, TimePoint now);
    /// Charges the running tasks again after a change of classes or workloads: call before and after the change.
    void suspendCharges();
    void resumeCharges();
    /// Attaches an adopted task to its job and workload once these are known.
    void attachToJob(TaskIndex, JobIndex);

    /// Asks the worker to end the attempt; resources stay reserved until the worker reports a final state.
    void requestStop(TaskIndex, Reason cause, bool checkpoint, TimePoint now, const std::string& detail);
    /// Handles a final state of the present attempt that the worker reported.
    void handleAttemptEnd(TaskIndex, TaskState, TimePoint now);
    /// Handles the loss of the present attempt without a final report.
    void handleAttemptLoss(TaskIndex, Reason, TimePoint now);
    /// Handles a refused start: the task is queued again after a short backoff.
    void handleStartRefused(TaskIndex, TimePoint now);

    void cancelJob(JobIndex, TimePoint now);
    void withdraw(TaskIndex, TimePoint now);

    /// Claims capacity on a worker for a waiting task, which leaves its queue.
    void claim(TaskIndex, WorkerIndex, const Resources& amount, TimePoint until);
    /// Gives up a claim; the task is not queued by this.
    void unclaim(TaskIndex);
    /// Gives up a claim and queues the task again, with its place by waiting time.
    void returnToQueue(TaskIndex);

    /// Queues the task if its backoff is over.
    void endBackoff(TaskIndex, TimePoint now);
    /// Repeats the stop command if its deadline has passed; a checkpoint for a preemption becomes a stop.
    void retryStop(TaskIndex, TimePoint now);
    /// Removes the records of jobs that were closed longer ago than the retention period.
    void removeExpiredJobs(TimePoint now);

private:
    void queueJob(JobIndex);
    void occupy(TaskIndex, WorkerIndex, const Resources& reserved);
    void release(TaskIndex);
    void requeue(TaskIndex, TimePoint now, Duration delay);
    void requeueGroup(JobIndex, TimePoint now, Duration delay);
    void recordFailure(TaskIndex, WorkerIndex, TimePoint now);
    void retryAfterFailure(TaskIndex, Reason, TimePoint now);
    void finishTask(TaskIndex, Phase, TimePoint now);
    void finishWaiting(TaskIndex, Phase, TimePoint now);
    void closeJob(JobIndex, TimePoint now);
    void failJob(JobIndex, ErrorKind, const std::string& detail, TimePoint now);
    bool isReclaimable(const Task&) const;

    CellState& m_state;
    WaitingQueue& m_queue;
    Quarantine& m_quarantine;
};

} // namespace sapphiredale::placement
