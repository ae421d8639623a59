// Queues per workload.

#include "placement/WaitingQueue.h"

#include <algorithm>
#include <cassert>

namespace sapphiredale::placement {

void WaitingQueue::link(Workload& workload, TaskIndex index, bool front)
{
    Task& task = m_state.m_tasks[index];
    assert(!task.m_inQueue);
    task.m_inQueue = true;
    task.m_previous = front ? noIndex : workload.m_tail;
    task.m_next = front ? workload.m_head : noIndex;
    (task.m_previous == noIndex ? workload.m_head : m_state.m_tasks[task.m_previous].m_next) = index;
    (task.m_next == noIndex ? workload.m_tail : m_state.m_tasks[task.m_next].m_previous) = index;
    ++workload.m_queued;
}

void WaitingQueue::pushBack(TaskIndex index)
{
    const WorkloadIndex workload = m_state.m_tasks[index].m_workload;
    const bool wasEmpty = m_state.m_workloads[workload].m_queued == 0;
    link(m_state.m_workloads[workload], index, false);
    if (wasEmpty)
        makeReady(workload);
}

void WaitingQueue::pushFront(TaskIndex index)
{
    const WorkloadIndex workload = m_state.m_tasks[index].m_workload;
    link(m_state.m_workloads[workload], index, true);
    makeReady(workload);
}

void WaitingQueue::remove(TaskIndex index)
{
    Task& task = m_state.m_tasks[index];
    assert(task.m_inQueue);
    Workload& workload = m_state.m_workloads[task.m_workload];
    const bool wasHead = workload.m_head == index;
    (task.m_previous == noIndex ? workload.m_head : m_state.m_tasks[task.m_previous].m_next) = task.m_next;
    (task.m_next == noIndex ? workload.m_tail : m_state.m_tasks[task.m_next].m_previous) = task.m_previous;
    task.m_previous = task.m_next = noIndex;
    task.m_inQueue = false;
    --workload.m_queued;
    // The next head may differ in its rack bounds or in the worker that it avoids.
    if (wasHead && workload.m_queued > 0)
        makeReady(task.m_workload);
}

void WaitingQueue::makeReady(WorkloadIndex index)
{
    Workload& workload = m_state.m_workloads[index];
    workload.m_retryAt = TimePoint::min();
    if (workload.m_inReadyList)
        return;
    workload.m_inReadyList = true;
    m_state.m_readyWorkloads.push_back(index);
}

void WaitingQueue::block(WorkloadIndex index, Reason reason, TimePoint retryAt)
{
    Workload& workload = m_state.m_workloads[index];
    if (workload.m_waitReason != reason)
        m_state.m_counters.count(reason);
    workload.m_waitReason = reason;
    workload.m_retryAt = retryAt;
    workload.m_releaseCountWhenBlocked = m_state.m_quotas.releaseCount(workload.m_team);
    if (!workload.m_inBlockedList) {
        workload.m_inBlockedList = true;
        m_state.m_blockedWorkloads.push_back(index);
    }
}

bool WaitingQueue::mayStartNow(const Workload& workload) const
{
    if (workload.m_waitReason == Reason::QuotaLimit || workload.m_waitReason == Reason::UnreclaimableShare)
        return workload.m_releaseCountWhenBlocked != m_state.m_quotas.releaseCount(workload.m_team);
    const Resources need = m_state.needOf(m_state.m_tasks[workload.m_head]);
    return std::any_of(m_state.m_workers.dirty().begin(), m_state.m_workers.dirty().end(), [&](WorkerIndex index) {
        const Worker& worker = m_state.m_workers.at(index);
        return worker.m_freeBucket != noIndex && need.fitsIn(worker.free());
    });
}

void WaitingQueue::unblock(TimePoint now)
{
    std::erase_if(m_state.m_blockedWorkloads, [&](WorkloadIndex index) {
        Workload& workload = m_state.m_workloads[index];
        if (workload.m_queued > 0 && now < workload.m_retryAt && !mayStartNow(workload))
            return false;
        workload.m_inBlockedList = false;
        if (workload.m_queued > 0)
            makeReady(index);
        return true;
    });
}

void WaitingQueue::unblockAll()
{
    for (const WorkloadIndex index : m_state.m_blockedWorkloads)
        m_state.m_workloads[index].m_retryAt = TimePoint::min();
}

TimePoint WaitingQueue::nextRetry() const
{
    TimePoint next = m_state.m_readyWorkloads.empty() ? TimePoint::max() : TimePoint::min();
    for (const WorkloadIndex index : m_state.m_blockedWorkloads)
        next = std::min(next, m_state.m_workloads[index].m_retryAt);
    return next;
}

} // namespace sapphiredale::placement
