// Generates the explanation of a task's state from its records.

#include "placement/Explainer.h"

namespace sapphiredale::placement {

namespace {

    std::string amount(const Resources& resources)
    {
        return std::to_string(resources.m_cpuMillis) + " cpuMillis, " + std::to_string(resources.m_memoryMiB)
            + " memoryMiB, " + std::to_string(resources.m_accelerators) + " accelerators";
    }

} // namespace

Explanation Explainer::explain(const TaskId& id) const
{
    Explanation result;
    const TaskIndex index = m_state.findTask(id);
    if (index == noIndex) {
        const auto early = m_state.m_earlyResults.find(id);
        if (early != m_state.m_earlyResults.end()) {
            const bool ended = early->second.m_state == TaskState::Ended;
            result.m_state = ended ? Explanation::State::Finished : Explanation::State::Failed;
            result.m_reason = std::string(nameOf(early->second.m_state));
            result.m_detail = "the end was reported by a worker; the job is not known here";
        }
        return result;
    }
    const Task& task = m_state.m_tasks[index];
    if (occupies(task.m_phase))
        explainActive(task, result);
    else if (task.m_phase == Phase::Waiting || task.m_phase == Phase::Backoff)
        explainWaiting(task, result);
    else
        explainClosed(task, result);
    return result;
}

void Explainer::explainActive(const Task& task, Explanation& result) const
{
    const Worker& worker = m_state.m_workers.at(task.m_worker);
    result.m_worker = worker.m_spec.m_name;
    if (task.m_phase == Phase::Stopping) {
        result.m_state = Explanation::State::Stopping;
        result.m_reason = std::string(nameOf(task.m_cause));
        result.m_detail = "was asked to end on " + worker.m_spec.m_name.value()
            + "; its resources stay reserved until the worker reports a final state";
        return;
    }
    result.m_state = task.m_phase == Phase::Starting ? Explanation::State::Starting : Explanation::State::Running;
    result.m_reason = task.m_backfill ? "backfill" : "placed";
    result.m_detail = "attempt " + std::to_string(task.m_attempt) + " on " + worker.m_spec.m_name.value() + " reserves "
        + amount(task.m_reserved) + (task.m_overuses ? ", more than it declared" : "")
        + (task.m_throttled ? ", throttled" : "")
        + (task.m_workload == noIndex ? "; its job is not known here, only the worker's report" : "");
}

void Explainer::explainWaiting(const Task& task, Explanation& result) const
{
    result.m_state = Explanation::State::Waiting;
    if (task.m_phase == Phase::Backoff) {
        result.m_reason = std::string(nameOf(Reason::RetryBackoff));
        result.m_detail = "attempt " + std::to_string(task.m_attempt)
            + " ended early: " + std::string(nameOf(task.m_cause)) + ", failure " + std::to_string(task.m_failures);
        result.m_release = "the end of the retry delay";
        return;
    }
    if (task.m_claimedWorker != noIndex) {
        result.m_worker = m_state.m_workers.at(task.m_claimedWorker).m_spec.m_name;
        result.m_reason = std::string(nameOf(Reason::WaitingForClaim));
        result.m_detail = "claims " + amount(task.m_declared) + " on " + result.m_worker->value();
        result.m_release = "final states of the tasks that end there";
        return;
    }
    const Job& job = m_state.m_jobs[task.m_job];
    if (!task.m_inQueue && job.m_activeTasks > 0) {
        result.m_reason = std::string(nameOf(Reason::GroupIncomplete));
        result.m_detail = std::to_string(job.m_activeTasks) + " tasks of the group have not ended yet";
        result.m_release = "final states of the other tasks of the group";
        return;
    }
    explainQueued(task, result);
}

void Explainer::explainQueued(const Task& task, Explanation& result) const
{
    const Workload& workload = m_state.m_workloads[task.m_workload];
    if (workload.m_waitReason != Reason::None)
        return explainBlocked(task, workload, result);
    result.m_reason = std::string(nameOf(Reason::Queued));
    result.m_detail = std::to_string(workload.m_queued) + " tasks of workload " + workload.m_spec.m_name.value()
        + " are queued and have not been tried since the last change";
    result.m_release = "the next step";
}

void Explainer::explainBlocked(const Task& task, const Workload& workload, Explanation& result) const
{
    const Resources need = m_state.needOf(task);
    const Team& team = m_state.m_quotas.at(workload.m_team);
    result.m_reason = std::string(nameOf(workload.m_waitReason));
    switch (workload.m_waitReason) {
    case Reason::QuotaLimit:
        result.m_detail = "team " + team.m_spec.m_name.value() + " uses " + amount(team.m_used) + " of its limit "
            + amount(team.m_spec.m_limit) + "; the task needs " + amount(need);
        result.m_release = "an end of work of the same team, or a higher limit";
        break;
    case Reason::UnreclaimableShare:
        result.m_detail = "the task cannot be preempted and team " + team.m_spec.m_name.value()
            + " has no guaranteed share left; what no team is guaranteed is in use";
        result.m_release = "an end of work that cannot be preempted, or a larger guaranteed share";
        break;
    case Reason::NoWorkers:
        result.m_detail = "no worker is available";
        result.m_release = "a worker that becomes available";
        break;
    case Reason::RackSpread:
        result.m_detail = "free workers are on racks that already run " + std::to_string(workload.m_spec.m_maxPerRack)
            + " tasks of the job (maxPerRack)";
        result.m_release = "free capacity on another rack";
        break;
    case Reason::GroupIncomplete:
        result.m_detail = "all " + std::to_string(m_state.m_jobs[task.m_job].m_unfinishedTasks)
            + " tasks of the group must start together and do not fit now; each needs " + amount(need);
        result.m_release = "free capacity for the whole group";
        break;
    default:
        result.m_detail = "no available worker has " + amount(need) + " free";
        result.m_release = "an end of running work, or work of lower priority to preempt";
        break;
    }
}

void Explainer::explainClosed(const Task& task, Explanation& result) const
{
    const bool finished = task.m_phase == Phase::Finished;
    result.m_state = finished ? Explanation::State::Finished : Explanation::State::Failed;
    const bool cancelled = task.m_job != noIndex && m_state.m_jobs[task.m_job].m_cancelled;
    result.m_reason = std::string(nameOf(finished ? Reason::Finished : cancelled ? Reason::Cancelled : task.m_cause));
    result.m_detail = finished ? "ended with success"
        : cancelled            ? "cancelled"
                               : "failed " + std::to_string(task.m_failures) + " times, or its job has failed";
}

} // namespace sapphiredale::placement
