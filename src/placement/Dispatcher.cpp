// The decisions of one step.

#include "placement/Dispatcher.h"

#include <algorithm>
#include <cassert>

namespace sapphiredale::placement {

namespace {

    /// Bound on searches for victims in one step, which keeps a step short when hundreds of queues are blocked.
    constexpr unsigned maxSearchesPerStep = 8;
    /// Urgent work looks for victims again soon: it must start within 1.9 s.
    constexpr Duration urgentRetry = std::chrono::milliseconds(50);
    /// Other work waits before it preempts, the longer the more the operators weigh packing against waiting: short
    /// shortages pass by themselves, and each preemption costs a checkpoint.
    constexpr double longestPatienceSeconds = 90;
    constexpr Duration searchRetry = std::chrono::milliseconds(1000);
    /// Queues of equal rank that are compared for the one that fills a chosen worker best.
    constexpr std::size_t maxCompanions = 64;
    /// Steps of a guaranteed share in which the use of teams is compared.
    constexpr double shareSteps = 20;
    constexpr Duration quotaRetry = std::chrono::seconds(60);
    /// Victims have a second for the checkpoint and are stopped then; after this time another worker is chosen.
    constexpr Duration preemptionClaimLifetime = std::chrono::seconds(5);
    constexpr Duration drainClaimLifetime = std::chrono::seconds(120);
    /// A task that has waited this many aging intervals may drain a worker, else small tasks could starve it.
    constexpr std::int64_t intervalsBeforeDrain = 2;
    /// One worker in this many may be drained at the same time.
    constexpr std::uint32_t workersPerDrain = 25;

} // namespace

Dispatcher::Entry Dispatcher::entryOf(WorkloadIndex index, TimePoint now) const
{
    const Workload& workload = m_state.m_workloads[index];
    const Task& head = m_state.m_tasks[workload.m_head];
    const double share = m_state.m_quotas.share(workload.m_team);
    const auto second = std::chrono::floor<std::chrono::seconds>(head.m_queuedAt.time_since_epoch()).count();
    // Processors and memory in units of the cell's ratio of memory to processors.
    const Resources need = m_state.needOf(head);
    const Resources& total = m_state.m_workers.totalCapacity();
    const double size = double(need.m_cpuMillis) / double(std::max<std::int64_t>(1, total.m_cpuMillis))
        + double(need.m_memoryMiB) / double(std::max<std::int64_t>(1, total.m_memoryMiB));
    return { m_state.agedPriority(head, now), static_cast<std::int64_t>(share * shareSteps), second, size,
        head.m_queuedAt, index };
}

void Dispatcher::step(TimePoint now)
{
    m_searchesLeft = maxSearchesPerStep;
    fireTimers(now);
    // Relief first, so that nothing is placed on a worker whose tasks have outgrown it.
    const std::vector<WorkerIndex> changed = m_state.m_workers.dirty();
    for (const WorkerIndex worker : changed)
        relieve(worker, now);
    startClaimed(now);
    m_queue.unblock(now);
    m_state.m_workers.clearDirty();
    placeWaiting(now);
    m_lifecycle.forgetClosedJobs(now);
}

void Dispatcher::fireTimers(TimePoint now)
{
    while (!m_state.m_timers.empty() && m_state.m_timers.top().m_at <= now) {
        const Timer timer = m_state.m_timers.top();
        m_state.m_timers.pop();
        switch (timer.m_kind) {
        case Timer::Kind::Backoff:
            m_lifecycle.backoffFired(timer.m_index, now);
            break;
        case Timer::Kind::StopOverdue:
            m_lifecycle.stopOverdue(timer.m_index, now);
            break;
        case Timer::Kind::Claim:
            if (m_state.m_tasks[timer.m_index].m_claim != noIndex && m_state.m_tasks[timer.m_index].m_deadline <= now)
                claimExpired(timer.m_index);
            break;
        case Timer::Kind::Health:
            m_quarantine.timerFired(timer.m_index, now);
            break;
        }
    }
}

void Dispatcher::claimExpired(TaskIndex task)
{
    if (m_groups.holdsClaims(m_state.m_tasks[task]))
        m_groups.abandon();
    else
        m_lifecycle.returnToQueue(task);
}

void Dispatcher::relieve(WorkerIndex index, TimePoint now)
{
    if (m_state.m_workers.at(index).m_overusers == 0 || !m_state.m_workers.at(index).unoccupied().hasNegative())
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
    // The largest overuse is ended first; what stopping tasks will release counts as released.
    const Worker& worker = m_state.m_workers.at(index);
    Resources released;
    for (const TaskIndex task : overusers) {
        if (!(worker.unoccupied() + released).hasNegative())
            return;
        const Resources over = m_state.m_tasks[task].m_reserved - m_state.m_tasks[task].m_declared;
        if (endOveruse(task, now))
            released += m_state.m_tasks[task].m_reserved;
        else
            released += Resources { over.m_cpuMillis, 0, 0 };
    }
}

// Returns whether the task is stopping now.
bool Dispatcher::endOveruse(TaskIndex index, TimePoint now)
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
    m_groups.forgetClosedHolder();
    m_groups.tryStartClaimed(now);
    const std::vector<TaskIndex> claimants = m_state.m_claimants;
    for (const TaskIndex index : claimants) {
        const Task& task = m_state.m_tasks[index];
        if (m_groups.holdsClaims(task) || task.m_claim == noIndex)
            continue;
        const Worker& worker = m_state.m_workers.at(task.m_claim);
        if (!worker.m_available || worker.m_health == Health::Quarantined) {
            m_lifecycle.returnToQueue(index);
            continue;
        }
        const bool mayStart = worker.m_health == Health::Good || worker.m_probationTask == noIndex;
        const Workload& workload = m_state.m_workloads[task.m_workload];
        if (mayStart && task.m_declared.fitsIn(worker.unoccupied())
            && m_state.m_quotas.checkClaimed(workload.m_team, task.m_declared, m_state.policyOf(task).m_preemptible)
                == Reason::None)
            m_lifecycle.start(index, task.m_claim, now);
    }
}

void Dispatcher::placeWaiting(TimePoint now)
{
    m_heap.clear();
    std::vector<WorkloadIndex> ready = std::exchange(m_state.m_ready, {});
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
            workload.m_wait = Reason::None;
        m_heap.push_back(overtaken ? entry : entryOf(index, now));
        std::push_heap(m_heap.begin(), m_heap.end());
    }
    for (const Entry& entry : m_heap)
        m_state.m_ready.push_back(entry.m_workload);
}

TaskIndex Dispatcher::betterFilling(TaskIndex index, WorkerIndex workerIndex, const Resources& need) const
{
    const Worker& worker = m_state.m_workers.at(workerIndex);
    const auto leftover = [&](const Resources& amount) {
        const Leftover left(worker, worker.free(), amount);
        return std::max(left.m_cpu, left.m_memory);
    };
    TaskIndex best = index;
    double least = leftover(need);
    for (std::size_t i = 0; i < m_heap.size() && i < maxCompanions; ++i) {
        const Entry& entry = m_heap[i];
        const Workload& workload = m_state.m_workloads[entry.m_workload];
        if (!entry.hasRankOf(m_current) || workload.m_queued == 0 || startsTogether(m_state.policyOf(workload).m_kind))
            continue;
        const Task& task = m_state.m_tasks[workload.m_head];
        const Resources other = m_state.needOf(task);
        if (!other.fitsIn(worker.free()) || leftover(other) >= least || task.m_avoid == workerIndex
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
    if (task.m_avoid == noIndex)
        return m_selector.select(m_state.m_workers, need, score, spread);
    const WorkerIndex elsewhere = m_selector.select(m_state.m_workers, need, score,
        [&](WorkerIndex index, const Worker& worker) { return index != task.m_avoid && spread(index, worker); });
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
        m_lifecycle.start(betterFilling(index, worker, need), worker, now);
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
        m_queue.block(workload, reason, now + urgentRetry);
        return false;
    }
    m_queue.block(workload, reason, now + quotaRetry);
    return false;
}

Duration Dispatcher::patience() const
{
    const double sum = m_state.m_weights.m_waiting + m_state.m_weights.m_packing;
    const double packing = sum > 0 ? m_state.m_weights.m_packing / sum : 0.5;
    return Duration(static_cast<std::int64_t>(packing * longestPatienceSeconds * 1e6));
}

bool Dispatcher::placeByPreemption(
    TaskIndex index, const Resources& need, const Preemption::Rights& rights, TimePoint now)
{
    if (!rights.m_urgent) {
        if (m_searchesLeft == 0 || now - m_state.m_tasks[index].m_queuedAt < patience())
            return false;
        --m_searchesLeft;
    }
    const std::optional<PreemptionPlan> plan = m_preemption.plan(m_state.m_tasks[index], need, rights);
    if (!plan)
        return false;
    m_lifecycle.claim(index, plan->m_worker, need, now + preemptionClaimLifetime);
    m_preemption.carryOut(*plan, m_state.m_tasks[index], rights, now);
    m_state.m_counters.count(Reason::WaitingForClaim);
    return true;
}

bool Dispatcher::placeByDraining(TaskIndex index, const Resources& need, TimePoint now)
{
    const Task& task = m_state.m_tasks[index];
    const std::int64_t agingSeconds = m_state.policyOf(task).m_agingSeconds;
    if (agingSeconds == 0 || now - task.m_queuedAt < std::chrono::seconds(agingSeconds * intervalsBeforeDrain)
        || m_state.m_claimants.size() >= std::max(1U, m_state.m_workers.availableCount() / workersPerDrain))
        return false;
    const auto [worker, at] = m_groups.drainWorker(task, need, now);
    if (worker == noIndex)
        return false;
    m_lifecycle.claim(index, worker, need, now + drainClaimLifetime);
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
    m_queue.block(index, reason, now + (m_state.policyOf(task).m_urgent ? urgentRetry : searchRetry + spread));
}

} // namespace sapphiredale::placement
