// Transitions of tasks and jobs.

#include "placement/TaskLifecycle.h"

#include <algorithm>
#include <cassert>

namespace sapphiredale::placement {

namespace {

    /// Closed jobs are kept this long for late reports and explanations.
    constexpr Duration closedJobRetention = std::chrono::minutes(10);
    constexpr Duration initialBackoff = std::chrono::seconds(1);
    constexpr Duration maxBackoff = std::chrono::seconds(60);
    constexpr Duration refusedStartBackoff = std::chrono::milliseconds(100);
    /// A stop that has no effect is requested again, since the command may have been lost.
    constexpr Duration stopRetryInterval = std::chrono::seconds(30);
    /// A preemption checkpoint that takes longer is replaced by a stop, since urgent work must start within 1.9 s.
    constexpr Duration checkpointTimeout = std::chrono::milliseconds(1000);

    Duration backoffAfter(unsigned failures)
    {
        const unsigned doublings = std::min(failures > 0 ? failures - 1 : 0, 6U);
        return std::min(initialBackoff * (1 << doublings), maxBackoff);
    }

    bool isPreemption(Reason cause) { return cause == Reason::Preempted || cause == Reason::ReclaimedShare; }

} // namespace

bool TaskLifecycle::isReclaimable(const Task& task) const
{
    if (task.m_workload == noIndex)
        return false;
    const ClassPolicy& policy = m_state.policyOf(task);
    return task.m_backfill
        || (policy.m_preemptible && !policy.m_urgent && task.m_preemptions < policy.m_maxPreemptions);
}

void TaskLifecycle::openJob(JobIndex jobIndex, std::uint32_t taskCount, TimePoint now)
{
    const std::string prefix = m_state.m_jobs[jobIndex].m_id.value() + "/";
    m_state.m_jobs[jobIndex].m_unfinishedTasks = taskCount;
    std::vector<TaskIndex> ended;
    for (std::uint32_t i = 0; i < taskCount; ++i) {
        const TaskId id(prefix + std::to_string(i));
        TaskIndex index = m_state.findTask(id);
        if (index != noIndex) {
            attachToJob(index, jobIndex);
        } else {
            index = m_state.addTask(id);
            Task& task = m_state.m_tasks[index];
            task.m_job = jobIndex;
            task.m_workload = m_state.m_jobs[jobIndex].m_workload;
            task.m_phase = Phase::Waiting;
            task.m_queuedAt = now;
            ++m_state.m_waitingTasks;
            const auto early = m_state.m_earlyResults.find(id);
            if (early != m_state.m_earlyResults.end()) {
                task.m_attempt = task.m_finalAttempt = early->second.m_attempt;
                if (early->second.m_state == TaskState::Ended)
                    ended.push_back(index);
            }
        }
        m_state.m_jobs[jobIndex].m_tasks.push_back(index);
    }
    for (const TaskIndex index : ended)
        finishWaiting(index, Phase::Finished, now);
    // Members of a group that still run are joined by the others, unless none of them runs.
    queueJob(jobIndex);
}

void TaskLifecycle::queueJob(JobIndex index)
{
    const Job& job = m_state.m_jobs[index];
    const bool together = startsTogether(m_state.policyOf(m_state.m_workloads[job.m_workload]).m_kind);
    for (const TaskIndex task : job.m_tasks) {
        if (m_state.m_tasks[task].m_phase != Phase::Waiting || m_state.m_tasks[task].m_inQueue)
            continue;
        m_queue.pushBack(task);
        // The first waiting task of a group stands in the queue for all of them.
        if (together)
            return;
    }
}

void TaskLifecycle::queueTask(TaskIndex index, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    task.m_phase = Phase::Waiting;
    task.m_queuedAt = now;
    ++m_state.m_waitingTasks;
    m_queue.pushBack(index);
}

void TaskLifecycle::occupy(TaskIndex index, WorkerIndex worker, const Resources& reserved)
{
    Task& task = m_state.m_tasks[index];
    task.m_reserved = reserved;
    m_state.m_workers.occupy(worker, index, task);
    if (task.m_workload == noIndex)
        return;
    task.m_chargedAsNonPreemptible = !m_state.policyOf(task).m_preemptible;
    m_state.m_quotas.charge(m_state.m_workloads[task.m_workload].m_team, reserved, task.m_chargedAsNonPreemptible);
    Job& job = m_state.m_jobs[task.m_job];
    ++job.m_activeTasks;
    m_state.adjustRackCount(job, m_state.m_workers.at(worker).m_rack, 1);
    m_state.m_workers.setReclaimable(task, isReclaimable(task));
}

void TaskLifecycle::start(TaskIndex index, WorkerIndex workerIndex, TimePoint now, bool backfill)
{
    Task& task = m_state.m_tasks[index];
    assert(task.m_phase == Phase::Waiting);
    const Workload& workload = m_state.m_workloads[task.m_workload];
    const Resources need = task.m_claimedWorker != noIndex ? task.m_declared : m_state.needOf(task);
    if (task.m_inQueue)
        m_queue.remove(index);
    if (task.m_claimedWorker != noIndex)
        unclaim(index);
    --m_state.m_waitingTasks;
    assert(need.fitsIn(m_state.m_workers.at(workerIndex).unoccupied()));
    task.m_phase = Phase::Starting;
    task.m_cause = Reason::None;
    task.m_attempt = std::max(task.m_attempt, task.m_finalAttempt) + 1;
    task.m_declared = need;
    task.m_startedAt = task.m_usageReportedAt = now;
    task.m_throttled = task.m_checkpointTimedOut = task.m_overuses = task.m_sampled = false;
    task.m_backfill = backfill;
    Worker& worker = m_state.m_workers.mutableAt(workerIndex);
    ++worker.m_startingTasks;
    if (backfill)
        worker.m_backfilled += need;
    m_quarantine.recordStart(index, workerIndex);
    occupy(index, workerIndex, need);
    m_state.m_counters.count(Reason::Placed);
    m_state.m_actions.emplace_back(
        StartTask { *task.m_id, task.m_attempt, workload.m_spec.m_name, worker.m_spec.m_name, need });
}

void TaskLifecycle::adopt(TaskIndex index, WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    assert(!occupies(task.m_phase));
    if (task.m_inQueue)
        m_queue.remove(index);
    if (task.m_claimedWorker != noIndex)
        unclaim(index);
    if (task.m_phase == Phase::Waiting || task.m_phase == Phase::Backoff)
        --m_state.m_waitingTasks;
    task.m_attempt = report.m_attempt;
    task.m_phase = report.m_state == TaskState::Starting ? Phase::Starting : Phase::Running;
    task.m_declared = report.m_declared;
    task.m_startedAt = task.m_usageReportedAt = now;
    task.m_backfill = task.m_throttled = task.m_checkpointTimedOut = task.m_overuses = task.m_sampled = false;
    task.m_cause = Reason::None;
    if (task.m_phase == Phase::Starting)
        ++m_state.m_workers.mutableAt(worker).m_startingTasks;
    occupy(index, worker, Resources::max(report.m_declared, report.m_usage));
    if (report.m_state == TaskState::Checkpointing)
        markCheckpointing(index, now);
}

void TaskLifecycle::attachToJob(TaskIndex index, JobIndex jobIndex)
{
    Task& task = m_state.m_tasks[index];
    assert(task.m_job == noIndex && occupies(task.m_phase));
    Job& job = m_state.m_jobs[jobIndex];
    task.m_job = jobIndex;
    task.m_workload = job.m_workload;
    task.m_chargedAsNonPreemptible = !m_state.policyOf(task).m_preemptible;
    m_state.m_quotas.charge(
        m_state.m_workloads[task.m_workload].m_team, task.m_reserved, task.m_chargedAsNonPreemptible);
    ++job.m_activeTasks;
    m_state.adjustRackCount(job, m_state.m_workers.at(task.m_worker).m_rack, 1);
    m_state.m_workers.setReclaimable(task, task.m_phase != Phase::Stopping && isReclaimable(task));
}

void TaskLifecycle::release(TaskIndex index)
{
    Task& task = m_state.m_tasks[index];
    const WorkerIndex workerIndex = task.m_worker;
    Worker& worker = m_state.m_workers.mutableAt(workerIndex);
    if (task.m_phase == Phase::Starting)
        --worker.m_startingTasks;
    if (task.m_backfill)
        worker.m_backfilled -= task.m_declared;
    if (task.m_overuses)
        --worker.m_overusingTasks;
    if (task.m_workload != noIndex) {
        m_state.m_quotas.refund(
            m_state.m_workloads[task.m_workload].m_team, task.m_reserved, task.m_chargedAsNonPreemptible);
        Job& job = m_state.m_jobs[task.m_job];
        --job.m_activeTasks;
        m_state.adjustRackCount(job, worker.m_rack, -1);
    }
    m_state.m_workers.vacate(workerIndex, task, m_state.m_tasks);
    task.m_hasGrown |= task.m_overuses;
    task.m_backfill = task.m_overuses = task.m_throttled = false;
}

void TaskLifecycle::requestStop(
    TaskIndex index, Reason cause, bool checkpoint, TimePoint now, const std::string& detail)
{
    Task& task = m_state.m_tasks[index];
    assert(occupies(task.m_phase));
    if (task.m_phase == Phase::Stopping && (cause != Reason::Cancelled || task.m_cause == Reason::Cancelled))
        return;
    if (task.m_phase == Phase::Starting) {
        // Nothing has run yet, so there is nothing to checkpoint.
        --m_state.m_workers.mutableAt(task.m_worker).m_startingTasks;
        checkpoint = false;
    }
    m_state.m_workers.setReclaimable(task, false);
    task.m_phase = Phase::Stopping;
    task.m_cause = cause;
    task.m_deadline = now + (checkpoint && isPreemption(cause) ? checkpointTimeout : stopRetryInterval);
    m_state.m_timers.push({ task.m_deadline, Timer::Kind::StopTimeout, index });
    m_state.m_counters.count(cause);
    const WorkerId& worker = m_state.m_workers.at(task.m_worker).m_spec.m_name;
    if (checkpoint)
        m_state.m_actions.emplace_back(CheckpointTask { *task.m_id, task.m_attempt, worker, detail });
    else
        m_state.m_actions.emplace_back(StopTask { *task.m_id, task.m_attempt, worker, detail });
    if (cause == Reason::Cancelled || task.m_workload == noIndex || !stopsTogether(m_state.policyOf(task).m_kind))
        return;
    // Copied: the records may not move, but the recursion must not depend on it.
    const std::vector<TaskIndex> members = m_state.m_jobs[task.m_job].m_tasks;
    for (const TaskIndex member : members) {
        const Phase phase = m_state.m_tasks[member].m_phase;
        if (phase == Phase::Starting || phase == Phase::Running)
            requestStop(member, isPreemption(cause) ? cause : Reason::GroupMemberLost, true, now, detail);
    }
}

void TaskLifecycle::retryStop(TaskIndex index, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    if (task.m_phase != Phase::Stopping || task.m_deadline > now)
        return;
    if (isPreemption(task.m_cause) && !task.m_checkpointTimedOut) {
        m_state.m_counters.count(Reason::CheckpointTooSlow);
        task.m_checkpointTimedOut = true;
    }
    task.m_deadline = now + stopRetryInterval;
    m_state.m_timers.push({ task.m_deadline, Timer::Kind::StopTimeout, index });
    m_state.m_actions.emplace_back(StopTask { *task.m_id, task.m_attempt,
        m_state.m_workers.at(task.m_worker).m_spec.m_name, std::string(nameOf(task.m_cause)) });
}

void TaskLifecycle::requeue(TaskIndex index, TimePoint now, Duration delay)
{
    Task& task = m_state.m_tasks[index];
    ++m_state.m_waitingTasks;
    task.m_phase = Phase::Waiting;
    task.m_queuedAt = now;
    if (stopsTogether(m_state.policyOf(task).m_kind)) {
        requeueGroup(task.m_job, now, delay);
    } else if (delay > Duration::zero()) {
        task.m_phase = Phase::Backoff;
        task.m_deadline = now + delay;
        m_state.m_timers.push({ task.m_deadline, Timer::Kind::Backoff, index });
    } else {
        m_queue.pushFront(index);
    }
}

void TaskLifecycle::requeueGroup(JobIndex index, TimePoint now, Duration delay)
{
    const std::vector<TaskIndex> members = m_state.m_jobs[index].m_tasks;
    for (const TaskIndex member : members) {
        const Phase phase = m_state.m_tasks[member].m_phase;
        if (phase == Phase::Starting || phase == Phase::Running)
            requestStop(member, Reason::GroupMemberLost, true, now, "another task of the group ended early");
    }
    if (m_state.m_jobs[index].m_activeTasks > 0)
        return;
    // The first waiting member stands in the queue for the whole group.
    for (const TaskIndex member : members) {
        Task& task = m_state.m_tasks[member];
        if (task.m_phase != Phase::Waiting)
            continue;
        if (delay > Duration::zero()) {
            task.m_phase = Phase::Backoff;
            task.m_deadline = now + delay;
            m_state.m_timers.push({ task.m_deadline, Timer::Kind::Backoff, member });
        } else if (!task.m_inQueue) {
            m_queue.pushFront(member);
        }
        return;
    }
}

void TaskLifecycle::endBackoff(TaskIndex index, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    if (task.m_phase != Phase::Backoff || task.m_deadline > now)
        return;
    task.m_phase = Phase::Waiting;
    m_queue.pushFront(index);
}

void TaskLifecycle::handleAttemptEnd(TaskIndex index, TaskState state, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    const WorkerIndex worker = task.m_worker;
    const Reason cause = task.m_cause;
    const bool wasStopping = task.m_phase == Phase::Stopping;
    // A task that outgrew its size can fail for that reason: no evidence against its worker.
    const bool overused = task.m_overuses;
    task.m_finalAttempt = task.m_attempt;
    release(index);
    if (task.m_workload == noIndex) {
        if (!task.m_stray)
            m_state.recordEarlyResult(*task.m_id, { state, task.m_attempt });
        m_state.removeTask(index);
        return;
    }
    if (state == TaskState::Ended && task.m_startedAt >= m_state.m_workers.at(worker).m_failuresSince)
        m_quarantine.recordSuccess(task, worker);
    else if (state == TaskState::Failed && !wasStopping && !overused)
        recordFailure(index, worker, now);
    else
        m_quarantine.recordInconclusiveEnd(index, worker);

    const ClassPolicy& policy = m_state.policyOf(task);
    if (m_state.m_jobs[task.m_job].m_closed || cause == Reason::Cancelled) {
        finishTask(index, state == TaskState::Ended ? Phase::Finished : Phase::Failed, now);
    } else if (state == TaskState::Ended && !runsForever(policy.m_kind)) {
        const JobIndex jobIndex = task.m_job;
        finishTask(index, Phase::Finished, now);
        // The last active member of a group can leave other members waiting to start again.
        const Job& job = m_state.m_jobs[jobIndex];
        if (stopsTogether(policy.m_kind) && job.m_activeTasks == 0 && job.m_unfinishedTasks > 0 && !job.m_closed)
            requeueGroup(jobIndex, now, Duration::zero());
    } else if (state == TaskState::Failed) {
        retryAfterFailure(index, Reason::TaskFailed, now);
    } else if (wasStopping && cause != Reason::OveruseStop) {
        task.m_cause = cause;
        if (isPreemption(cause) && task.m_preemptions < 255)
            ++task.m_preemptions;
        requeue(index, now, Duration::zero());
    } else if (wasStopping) {
        retryAfterFailure(index, Reason::OveruseStop, now);
    } else {
        retryAfterFailure(index, Reason::StoppedUnexpectedly, now);
    }
}

void TaskLifecycle::recordFailure(TaskIndex index, WorkerIndex worker, TimePoint now)
{
    m_state.m_tasks[index].m_avoidedWorker = worker;
    m_quarantine.recordFailure(m_state.m_tasks[index], worker, now);
}

void TaskLifecycle::retryAfterFailure(TaskIndex index, Reason reason, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    const ClassPolicy& policy = m_state.policyOf(task);
    m_state.m_counters.count(reason);
    task.m_cause = reason;
    task.m_failures = static_cast<std::uint8_t>(std::min(task.m_failures + 1, 255));
    if (runsForever(policy.m_kind) || task.m_failures < policy.m_maxAttempts) {
        requeue(index, now, backoffAfter(task.m_failures));
        return;
    }
    m_state.m_counters.count(Reason::AttemptsExhausted);
    const std::string detail = "task " + task.m_id->value() + " ended without success "
        + std::to_string(task.m_failures) + " times, the last time: " + std::string(nameOf(reason));
    const JobIndex job = task.m_job;
    finishTask(index, Phase::Failed, now);
    failJob(job, ErrorKind::Internal, detail, now);
}

void TaskLifecycle::stopStray(const TaskId& id, WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    const TaskIndex index = m_state.addStray(id);
    Task& task = m_state.m_tasks[index];
    task.m_attempt = report.m_attempt;
    task.m_phase = Phase::Running;
    task.m_declared = report.m_declared;
    task.m_startedAt = task.m_usageReportedAt = now;
    occupy(index, worker, Resources::max(report.m_declared, report.m_usage));
    requestStop(index, Reason::StrayStopped, false, now, "another attempt of the task is in force");
}

void TaskLifecycle::markCheckpointing(TaskIndex index, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    m_state.m_workers.setReclaimable(task, false);
    task.m_phase = Phase::Stopping;
    task.m_cause = Reason::Preempted;
    task.m_deadline = now + stopRetryInterval;
    m_state.m_timers.push({ task.m_deadline, Timer::Kind::StopTimeout, index });
}

void TaskLifecycle::supersede(TaskIndex index, TimePoint now)
{
    const Task old = m_state.m_tasks[index];
    if (old.m_phase == Phase::Starting || old.m_phase == Phase::Running || old.m_phase == Phase::Stopping)
        m_quarantine.recordInconclusiveEnd(index, old.m_worker);
    release(index);
    m_state.m_tasks[index].m_phase = Phase::Failed;
    TaskReport report;
    report.m_attempt = old.m_attempt;
    report.m_declared = old.m_declared;
    report.m_usage = old.m_reserved;
    stopStray(*old.m_id, old.m_worker, report, now);
}

void TaskLifecycle::suspendCharges()
{
    for (const Task& task : m_state.m_tasks) {
        if (occupies(task.m_phase) && task.m_workload != noIndex)
            m_state.m_quotas.refund(
                m_state.m_workloads[task.m_workload].m_team, task.m_reserved, task.m_chargedAsNonPreemptible);
        if (task.m_claimedWorker != noIndex)
            m_state.m_quotas.unclaim(m_state.m_workloads[task.m_workload].m_team, task.m_declared);
    }
}

void TaskLifecycle::resumeCharges()
{
    for (Task& task : m_state.m_tasks) {
        if (task.m_claimedWorker != noIndex)
            m_state.m_quotas.claim(m_state.m_workloads[task.m_workload].m_team, task.m_declared);
        if (!occupies(task.m_phase) || task.m_workload == noIndex)
            continue;
        task.m_chargedAsNonPreemptible = !m_state.policyOf(task).m_preemptible;
        m_state.m_quotas.charge(
            m_state.m_workloads[task.m_workload].m_team, task.m_reserved, task.m_chargedAsNonPreemptible);
        m_state.m_workers.setReclaimable(task, task.m_phase != Phase::Stopping && isReclaimable(task));
    }
}

void TaskLifecycle::handleAttemptLoss(TaskIndex index, Reason reason, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    const Reason cause = task.m_cause;
    m_quarantine.recordInconclusiveEnd(index, task.m_worker);
    release(index);
    if (task.m_workload == noIndex) {
        m_state.removeTask(index);
        return;
    }
    if (m_state.m_jobs[task.m_job].m_closed || cause == Reason::Cancelled)
        finishTask(index, Phase::Failed, now);
    else
        retryAfterFailure(index, reason, now);
}

void TaskLifecycle::handleStartRefused(TaskIndex index, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    const WorkerIndex worker = task.m_worker;
    const Reason cause = task.m_cause;
    task.m_finalAttempt = task.m_attempt;
    release(index);
    recordFailure(index, worker, now);
    if (m_state.m_jobs[task.m_job].m_closed || cause == Reason::Cancelled) {
        finishTask(index, Phase::Failed, now);
        return;
    }
    m_state.m_counters.count(Reason::StartRefused);
    task.m_cause = Reason::StartRefused;
    requeue(index, now, refusedStartBackoff);
}

void TaskLifecycle::finishTask(TaskIndex index, Phase phase, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    task.m_phase = phase;
    const JobIndex jobIndex = task.m_job;
    Job& job = m_state.m_jobs[jobIndex];
    if (job.m_isService) {
        std::erase(job.m_tasks, index);
        m_state.removeTask(index);
        return;
    }
    --job.m_unfinishedTasks;
    if (job.m_unfinishedTasks == 0 && !job.m_closed && phase == Phase::Finished) {
        m_state.m_counters.count(Reason::Finished);
        m_state.m_actions.emplace_back(FinishJob { job.m_id });
        closeJob(jobIndex, now);
    }
}

void TaskLifecycle::finishWaiting(TaskIndex index, Phase phase, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    if (task.m_inQueue)
        m_queue.remove(index);
    if (task.m_claimedWorker != noIndex)
        unclaim(index);
    --m_state.m_waitingTasks;
    finishTask(index, phase, now);
}

void TaskLifecycle::closeJob(JobIndex index, TimePoint now)
{
    Job& job = m_state.m_jobs[index];
    job.m_closed = true;
    job.m_closedAt = now;
    m_state.m_closedJobs.push_back(index);
}

void TaskLifecycle::failJob(JobIndex index, ErrorKind kind, const std::string& detail, TimePoint now)
{
    if (m_state.m_jobs[index].m_closed)
        return;
    m_state.m_actions.emplace_back(FailJob { m_state.m_jobs[index].m_id, Error { kind, detail } });
    cancelJob(index, now);
}

void TaskLifecycle::cancelJob(JobIndex index, TimePoint now)
{
    closeJob(index, now);
    // The records do not move during the loop, since no task or job is added.
    for (const TaskIndex task : m_state.m_jobs[index].m_tasks) {
        const Phase phase = m_state.m_tasks[task].m_phase;
        if (occupies(phase))
            requestStop(task, Reason::Cancelled, false, now, "cancelled");
        else if (phase == Phase::Waiting || phase == Phase::Backoff)
            finishWaiting(task, Phase::Failed, now);
    }
}

void TaskLifecycle::withdraw(TaskIndex index, TimePoint now)
{
    const Phase phase = m_state.m_tasks[index].m_phase;
    if (occupies(phase))
        requestStop(index, Reason::Cancelled, false, now, "withdrawn");
    else
        finishWaiting(index, Phase::Failed, now);
}

void TaskLifecycle::claim(TaskIndex index, WorkerIndex worker, const Resources& amount, TimePoint until)
{
    Task& task = m_state.m_tasks[index];
    assert(task.m_phase == Phase::Waiting && task.m_claimedWorker == noIndex);
    if (task.m_inQueue)
        m_queue.remove(index);
    task.m_claimedWorker = worker;
    task.m_declared = amount;
    task.m_deadline = until;
    m_state.m_claimants.push_back(index);
    m_state.m_workers.claim(worker, index, task.m_declared);
    m_state.m_quotas.claim(m_state.m_workloads[task.m_workload].m_team, task.m_declared);
    m_state.adjustRackCount(m_state.m_jobs[task.m_job], m_state.m_workers.at(worker).m_rack, 1);
    m_state.m_timers.push({ until, Timer::Kind::ClaimExpiry, index });
}

void TaskLifecycle::unclaim(TaskIndex index)
{
    Task& task = m_state.m_tasks[index];
    const WorkerIndex worker = task.m_claimedWorker;
    task.m_claimedWorker = noIndex;
    std::erase(m_state.m_claimants, index);
    m_state.m_workers.unclaim(worker, index, task.m_declared);
    m_state.m_quotas.unclaim(m_state.m_workloads[task.m_workload].m_team, task.m_declared);
    m_state.adjustRackCount(m_state.m_jobs[task.m_job], m_state.m_workers.at(worker).m_rack, -1);
}

void TaskLifecycle::returnToQueue(TaskIndex index)
{
    unclaim(index);
    m_queue.pushFront(index);
}

void TaskLifecycle::removeExpiredJobs(TimePoint now)
{
    // Bounded per step; a job with tasks that still stop goes back to the end.
    for (int i = 0; i < 64 && !m_state.m_closedJobs.empty(); ++i) {
        const JobIndex index = m_state.m_closedJobs.front();
        Job& job = m_state.m_jobs[index];
        if (now - job.m_closedAt < closedJobRetention)
            return;
        m_state.m_closedJobs.pop_front();
        if (job.m_activeTasks > 0) {
            job.m_closedAt = now;
            m_state.m_closedJobs.push_back(index);
            continue;
        }
        for (const TaskIndex task : job.m_tasks)
            m_state.removeTask(task);
        m_state.m_jobIndices.erase(job.m_id);
        job = Job {};
        m_state.m_freeJobs.push_back(index);
    }
}

} // namespace sapphiredale::placement
