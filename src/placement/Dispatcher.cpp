// Placement decisions of one step.

#include "placement/Dispatcher.h"

#include <algorithm>
#include <cassert>

namespace sapphiredale::placement {

namespace {

    /// Limit on searches for preemption victims per step; keeps a step short when hundreds of queues are blocked.
    constexpr unsigned maxPreemptionSearchesPerStep = 8;
    /// Urgent work must start within 1.9 s, so it searches for victims again after a short interval.
    constexpr Duration urgentRetryInterval = std::chrono::milliseconds(50);
    /// Upper limit of the delay before non-urgent work preempts; scaled by the operators' weight of packing against
    /// waiting. Short shortages resolve without preemption, and each preemption costs a checkpoint.
    constexpr double maxPreemptionDelaySeconds = 90;
    constexpr Duration capacityRetryInterval = std::chrono::milliseconds(1000);
    /// Limit on queues of equal rank that are compared for the best fit on a chosen worker.
    constexpr std::size_t maxComparedQueues = 64;
    /// Levels per guaranteed share in which the usage of teams is compared.
    constexpr double shareLevels = 20;
    constexpr Duration quotaRetryInterval = std::chrono::seconds(60);
    /// Victims are stopped when their checkpoint takes longer than a second; after this timeout another worker is
    /// chosen.
    constexpr Duration preemptionClaimTimeout = std::chrono::seconds(5);
    constexpr Duration drainClaimTimeout = std::chrono::seconds(120);
    /// A task that has waited this many aging intervals may drain a worker; otherwise small tasks could starve it.
    constexpr std::int64_t agingIntervalsBeforeDrain = 2;
    /// One worker in this many may be drained at the same time.
    constexpr std::uint32_t workersPerDrain = 25;

} // namespace

Dispatcher::Entry Dispatcher::entryOf(WorkloadIndex index, TimePoint now) const
{
    const Workload& workload = m_state.m_workloads[index];
    const Task& head = m_state.m_tasks[workload.m_head];
    const double share = m_state.m_quotas.dominantShare(workload.m_team);
    const auto second = std::chrono::floor<std::chrono::seconds>(head.m_queuedAt.time_since_epoch()).count();
    // Processors and memory in units of the cell's ratio of memory to processors.
    const Resources need = m_state.needOf(head);
    const Resources& total = m_state.m_workers.totalCapacity();
    const double size = double(need.m_cpuMillis) / double(std::max<std::int64_t>(1, total.m_cpuMillis))
        + double(need.m_memoryMiB) / double(std::max<std::int64_t>(1, total.m_memoryMiB));
    return { m_state.agedPriority(head, now), static_cast<std::int64_t>(share * shareLevels), second, size,
        head.m_queuedAt, index };
}

void Dispatcher::step(TimePoint now)
{
    m_remainingPreemptionSearches = maxPreemptionSearchesPerStep;
    fireTimers(now);
    // Overuse is handled first, so that nothing is placed on a worker whose tasks exceed its capacity.
    const std::vector<WorkerIndex> changed = m_state.m_workers.dirty();
    for (const WorkerIndex worker : changed)
        resolveOveruse(worker, now);
    startClaimed(now);
    m_queue.unblock(now);
    m_state.m_workers.clearDirty();
    placeWaiting(now);
    m_lifecycle.removeExpiredJobs(now);
}

void Dispatcher::fireTimers(TimePoint now)
{
    while (!m_state.m_timers.empty() && m_state.m_timers.top().m_at <= now) {
        const Timer timer = m_state.m_timers.top();
        m_state.m_timers.pop();
        switch (timer.m_kind) {
        case Timer::Kind::Backoff:
            m_lifecycle.endBackoff(timer.m_index, now);
            break;
        case Timer::Kind::StopTimeout:
            m_lifecycle.retryStop(timer.m_index, now);
            break;
        case Timer::Kind::ClaimExpiry:
            if (m_state.m_tasks[timer.m_index].m_claimedWorker != noIndex
                && m_state.m_tasks[timer.m_index].m_deadline <= now)
                expireClaim(timer.m_index);
            break;
        case Timer::Kind::QuarantineExpiry:
            m_quarantine.checkExpiry(timer.m_index, now);
            break;
        }
    }
}

void Dispatcher::expireClaim(TaskIndex task)
{
    if (m_groups.holdsClaims(m_state.m_tasks[task]))
        m_groups.abandonClaims();
    else
        m_lifecycle.returnToQueue(task);
}

void Dispatcher::resolveOveruse(WorkerIndex index, TimePoint now)
{
    if (m_state.m_workers.at(index).m_overusingTasks == 0 || !m_state.m_workers.at(index).unoccupied().hasNegative())
        return;
    std::vector<TaskIndex> overusers;
    for (const TaskIndex task : m_state.m_workers.at(index).m_tasks) {
        const Task& candidate = m_state.m_tasks[task];
        if (candidate.m_overuses && candidate.m_workload != noIndex && candidate.m_phase != Phase::Stopping)
            overusers.push_back(task);
    }
    const auto excess = [&](TaskIndex task) {
        const Task& t = m_state.m_tasks[task];
        const Resources& capacity = m_state.m_workers.at(index).m_spec.m_capacity;
        return double(t.m_reserved.m_cpuMillis - t.m_declared.m_cpuMillis)
            / double(std::max<std::int64_t>(capacity.m_cpuMillis, 1))
            + double(t.m_reserved.m_memoryMiB - t.m_declared.m_memoryMiB)
            / double(std::max<std::int64_t>(capacity.m_memoryMiB, 1));
    };
    std::sort(overusers.begin(), overusers.end(), [&](TaskIndex a, TaskIndex b) {
        const double excessA = excess(a);
        const double excessB = excess(b);
        return excessA != excessB ? excessA > excessB : a < b;
    });
    // The largest overuse is ended first. Resources of stopping tasks count as released.
    const Worker& worker = m_state.m_workers.at(index);
    Resources released;
    for (const TaskIndex task : overusers) {
        if (!(worker.unoccupied() + released).hasNegative())
            return;
        const Resources over = m_state.m_tasks[task].m_reserved - m_state.m_tasks[task].m_declared;
        if (limitOveruse(task, now))
            released += m_state.m_tasks[task].m_reserved;
        else
            released += Resources { over.m_cpuMillis, 0, 0 };
    }
}

// Returns whether the task is stopping now.
bool Dispatcher::limitOveruse(TaskIndex index, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    const ClassPolicy& policy = m_state.policyOf(task);
    const bool overMemory = task.m_reserved.m_memoryMiB > task.m_declared.m_memoryMiB;
    const std::string detail = "uses more than it declared on a full worker";
    if (policy.m_onOveruse == OnOveruse::Stop) {
        m_lifecycle.requestStop(index, Reason::OveruseStop, false, now, detail);
        return true;
    }
    // A limit on processor time does not return memory: such a task is checkpointed and placed where it fits.
    if (policy.m_onOveruse == OnOveruse::Checkpoint || overMemory) {
        m_lifecycle.requestStop(index, Reason::OveruseCheckpoint, true, now, detail);
        return true;
    }
    if (!task.m_throttled) {
        task.m_throttled = true;
        m_state.m_counters.count(Reason::Throttled);
        m_state.m_actions.emplace_back(ThrottleTask { *task.m_id, task.m_attempt,
            m_state.m_workers.at(task.m_worker).m_spec.m_name, task.m_declared.m_cpuMillis });
    }
    return false;
}

void Dispatcher::startClaimed(TimePoint now)
{
    m_groups.clearInactiveHolder();
    m_groups.tryStartClaimed(now);
    const std::vector<TaskIndex> claimants = m_state.m_claimants;
    for (const TaskIndex index : claimants) {
        const Task& task = m_state.m_tasks[index];
        if (m_groups.holdsClaims(task) || task.m_claimedWorker == noIndex)
            continue;
        const Worker& worker = m_state.m_workers.at(task.m_claimedWorker);
        if (!worker.m_available || worker.m_health == Health::Quarantined) {
            m_lifecycle.returnToQueue(index);
            continue;
        }
        const bool mayStart = worker.m_health == Health::Good || worker.m_probationTask == noIndex;
        const Workload& workload = m_state.m_workloads[task.m_workload];
        if (mayStart && task.m_declared.fitsIn(worker.unoccupied())
            && m_state.m_quotas.checkClaimed(workload.m_team, task.m_declared, m_state.policyOf(task).m_preemptible)
                == Reason::None)
            m_lifecycle.start(index, task.m_claimedWorker, now);
    }
}

void Dispatcher::placeWaiting(TimePoint now)
{
    m_heap.clear();
    std::vector<WorkloadIndex> ready = std::exchange(m_state.m_readyWorkloads, {});
    for (const WorkloadIndex index : ready) {
        if (m_state.m_workloads[index].m_queued == 0)
            m_state.m_workloads[index].m_inReadyList = false;
        else
            m_heap.push_back(entryOf(index, now));
    }
    std::make_heap(m_heap.begin(), m_heap.end());
    const std::size_t bound = m_state.m_settings.m_maxStartsPerStep;
    const std::size_t before = m_state.m_actions.size();
    while (!m_heap.empty() && (bound == 0 || m_state.m_actions.size() - before < bound)) {
        std::pop_heap(m_heap.begin(), m_heap.end());
        const WorkloadIndex index = m_heap.back().m_workload;
        m_heap.pop_back();
        Workload& workload = m_state.m_workloads[index];
        if (workload.m_queued == 0) {
            workload.m_inReadyList = false;
            continue;
        }
        // Starts of the same team since the entry was made have lowered its rank.
        const Entry entry = entryOf(index, now);
        const bool overtaken = !m_heap.empty() && entry < m_heap.front();
        m_current = entry;
        if (!overtaken && !place(index, now)) {
            workload.m_inReadyList = false;
            continue;
        }
        if (workload.m_queued == 0) {
            workload.m_inReadyList = false;
            continue;
        }
        if (!overtaken)
            workload.m_waitReason = Reason::None;
        m_heap.push_back(overtaken ? entry : entryOf(index, now));
        std::push_heap(m_heap.begin(), m_heap.end());
    }
    for (const Entry& entry : m_heap)
        m_state.m_readyWorkloads.push_back(entry.m_workload);
}

TaskIndex Dispatcher::findBetterFit(TaskIndex index, WorkerIndex workerIndex, const Resources& need) const
{
    const Worker& worker = m_state.m_workers.at(workerIndex);
    const auto leftover = [&](const Resources& amount) {
        const Leftover left(worker, worker.free(), amount);
        return std::max(left.m_cpu, left.m_memory);
    };
    TaskIndex best = index;
    double least = leftover(need);
    for (std::size_t i = 0; i < m_heap.size() && i < maxComparedQueues; ++i) {
        const Entry& entry = m_heap[i];
        const Workload& workload = m_state.m_workloads[entry.m_workload];
        if (!entry.hasSameRank(m_current) || workload.m_queued == 0
            || startsTogether(m_state.policyOf(workload).m_kind))
            continue;
        const Task& task = m_state.m_tasks[workload.m_head];
        const Resources other = m_state.needOf(task);
        if (!other.fitsIn(worker.free()) || leftover(other) >= least || task.m_avoidedWorker == workerIndex
            || !m_state.rackAllows(m_state.m_jobs[task.m_job], worker.m_rack)
            || m_state.m_quotas.check(workload.m_team, other, m_state.policyOf(workload).m_preemptible) != Reason::None)
            continue;
        best = workload.m_head;
        least = leftover(other);
    }
    return best;
}

WorkerIndex Dispatcher::selectWorker(const Task& task, const Resources& need)
{
    const Job& job = m_state.m_jobs[task.m_job];
    const CellScore score(m_state.m_weights.m_waiting, m_state.m_weights.m_packing);
    const auto spread = [&](WorkerIndex, const Worker& worker) { return m_state.rackAllows(job, worker.m_rack); };
    if (task.m_avoidedWorker == noIndex)
        return m_selector.select(m_state.m_workers, need, score, spread);
    const WorkerIndex elsewhere
        = m_selector.select(m_state.m_workers, need, score, [&](WorkerIndex index, const Worker& worker) {
              return index != task.m_avoidedWorker && spread(index, worker);
          });
    return elsewhere != noIndex ? elsewhere : m_selector.select(m_state.m_workers, need, score, spread);
}

bool Dispatcher::place(WorkloadIndex workloadIndex, TimePoint now)
{
    const Workload& workload = m_state.m_workloads[workloadIndex];
    const TaskIndex index = workload.m_head;
    const Task& task = m_state.m_tasks[index];
    const ClassPolicy& policy = m_state.policyOf(workload);
    if (startsTogether(policy.m_kind))
        return m_groups.tryAdmit(index, now);
    const Resources need = m_state.needOf(task);
    const Reason quota = m_state.m_quotas.check(workload.m_team, need, policy.m_preemptible);
    if (quota != Reason::None)
        return placeOverQuota(workloadIndex, index, need, quota, now);
    const WorkerIndex worker = selectWorker(task, need);
    if (worker != noIndex) {
        m_lifecycle.start(findBetterFit(index, worker, need), worker, now);
        return true;
    }
    const WorkerIndex backfill = m_groups.backfillWorker(task, need, now);
    if (backfill != noIndex) {
        m_lifecycle.start(index, backfill, now, true);
        return true;
    }
    if (placeByPreemption(index, need, m_preemption.rightsOf(task, need), now) || placeByDraining(index, need, now))
        return true;
    blockForCapacity(workloadIndex, task, need, now);
    return false;
}

bool Dispatcher::placeOverQuota(
    WorkloadIndex workload, TaskIndex index, const Resources& need, Reason reason, TimePoint now)
{
    const Task& task = m_state.m_tasks[index];
    if (reason == Reason::QuotaLimit && m_state.policyOf(task).m_urgent) {
        Preemption::Rights rights = m_preemption.rightsOf(task, need);
        rights.m_ownTeamOnly = true;
        if (placeByPreemption(index, need, rights, now))
            return true;
        m_queue.block(workload, reason, now + urgentRetryInterval);
        return false;
    }
    m_queue.block(workload, reason, now + quotaRetryInterval);
    return false;
}

Duration Dispatcher::preemptionDelay() const
{
    const double sum = m_state.m_weights.m_waiting + m_state.m_weights.m_packing;
    const double packing = sum > 0 ? m_state.m_weights.m_packing / sum : 0.5;
    return Duration(static_cast<std::int64_t>(packing * maxPreemptionDelaySeconds * 1e6));
}

bool Dispatcher::placeByPreemption(
    TaskIndex index, const Resources& need, const Preemption::Rights& rights, TimePoint now)
{
    if (!rights.m_urgent) {
        if (m_remainingPreemptionSearches == 0 || now - m_state.m_tasks[index].m_queuedAt < preemptionDelay())
            return false;
        --m_remainingPreemptionSearches;
    }
    const std::optional<PreemptionPlan> plan = m_preemption.plan(m_state.m_tasks[index], need, rights);
    if (!plan)
        return false;
    m_lifecycle.claim(index, plan->m_worker, need, now + preemptionClaimTimeout);
    m_preemption.execute(*plan, m_state.m_tasks[index], rights, now);
    m_state.m_counters.count(Reason::WaitingForClaim);
    return true;
}

bool Dispatcher::placeByDraining(TaskIndex index, const Resources& need, TimePoint now)
{
    const Task& task = m_state.m_tasks[index];
    const std::int64_t agingSeconds = m_state.policyOf(task).m_agingSeconds;
    if (agingSeconds == 0 || now - task.m_queuedAt < std::chrono::seconds(agingSeconds * agingIntervalsBeforeDrain)
        || m_state.m_claimants.size() >= std::max(1U, m_state.m_workers.availableCount() / workersPerDrain))
        return false;
    const auto [worker, at] = m_groups.drainWorker(task, need, now);
    if (worker == noIndex)
        return false;
    m_lifecycle.claim(index, worker, need, now + drainClaimTimeout);
    m_state.m_counters.count(Reason::WaitingForClaim);
    return true;
}

void Dispatcher::blockForCapacity(WorkloadIndex index, const Task& task, const Resources& need, TimePoint now)
{
    const Workload& workload = m_state.m_workloads[index];
    Reason reason = Reason::NoCapacity;
    if (m_state.m_workers.availableCount() == 0) {
        reason = Reason::NoWorkers;
    } else if (workload.m_spec.m_maxPerRack > 0) {
        const CellScore score(m_state.m_weights.m_waiting, m_state.m_weights.m_packing);
        const auto any = [](WorkerIndex, const Worker&) { return true; };
        if (m_selector.select(m_state.m_workers, need, score, any) != noIndex)
            reason = Reason::RackSpread;
    }
    // Spreads the retries of many blocked queues over time.
    const Duration spread = std::chrono::milliseconds(index % 64 * 16);
    m_queue.block(
        index, reason, now + (m_state.policyOf(task).m_urgent ? urgentRetryInterval : capacityRetryInterval + spread));
}

} // namespace sapphiredale::placement
