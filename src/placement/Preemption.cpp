// Selection of preemption victims by cost.

#include "placement/Preemption.h"

#include <algorithm>

namespace sapphiredale::placement {

Preemption::Rights Preemption::rightsOf(const Task& task, const Resources& need) const
{
    const ClassPolicy& policy = m_state.policyOf(task);
    const TeamIndex team = m_state.m_workloads[task.m_workload].m_team;
    Rights rights;
    rights.m_urgent = policy.m_urgent;
    rights.m_reclaims = m_state.m_quotas.isGuaranteed(team, need);
    rights.m_priority = policy.m_priority;
    rights.m_team = team;
    return rights;
}

bool Preemption::mayPreempt(const Task& victim, const Rights& rights) const
{
    if (!victim.m_reclaimable)
        return false;
    const TeamIndex team = m_state.m_workloads[victim.m_workload].m_team;
    if (rights.m_ownTeamOnly && team != rights.m_team)
        return false;
    if (rights.m_urgent || m_state.policyOf(victim).m_priority < rights.m_priority)
        return true;
    return rights.m_reclaims && team != rights.m_team && m_state.m_quotas.isBorrowing(team);
}

double Preemption::costOf(const Task& victim, const Rights& rights) const
{
    // A checkpoint costs in proportion to the memory; a start that has not run yet loses nothing.
    const Resources& capacity = m_state.m_workers.at(victim.m_worker).m_spec.m_capacity;
    const double memory
        = double(victim.m_reserved.m_memoryMiB) / double(std::max<std::int64_t>(capacity.m_memoryMiB, 1));
    double cost = victim.m_phase == Phase::Starting ? 0.5 : 1 + 4 * memory;
    cost += 2.0 * victim.m_preemptions;
    const double closeness = double(m_state.policyOf(victim).m_priority - rights.m_priority + 100) / 100;
    cost += std::clamp(closeness, 0.0, 2.0);
    // The whole group stops with one of its tasks.
    if (stopsTogether(m_state.policyOf(victim).m_kind))
        cost *= m_state.m_jobs[victim.m_job].m_activeTasks;
    return cost;
}

std::optional<PreemptionPlan> Preemption::planOn(WorkerIndex index, const Resources& need, const Rights& rights)
{
    const Worker& worker = m_state.m_workers.at(index);
    // When the team's limit binds, the victims themselves must cover the need.
    const Resources free = rights.m_ownTeamOnly ? Resources {} : worker.free();
    m_candidates.clear();
    Resources available = free;
    for (const TaskIndex task : worker.m_tasks) {
        if (!mayPreempt(m_state.m_tasks[task], rights))
            continue;
        m_candidates.push_back({ task, costOf(m_state.m_tasks[task], rights) });
        available += m_state.m_tasks[task].m_reserved;
    }
    if (!need.fitsIn(available))
        return std::nullopt;
    std::sort(m_candidates.begin(), m_candidates.end(), [](const Victim& a, const Victim& b) {
        return a.m_cost != b.m_cost ? a.m_cost < b.m_cost : a.m_task < b.m_task;
    });
    PreemptionPlan plan { index, {}, 0 };
    available = free;
    std::size_t used = 0;
    for (; used < m_candidates.size() && !need.fitsIn(available); ++used)
        available += m_state.m_tasks[m_candidates[used].m_task].m_reserved;
    // Drops victims that are not needed any more, the most expensive first.
    for (std::size_t i = used; i-- > 0;) {
        const Resources without = available - m_state.m_tasks[m_candidates[i].m_task].m_reserved;
        if (need.fitsIn(without)) {
            available = without;
            continue;
        }
        plan.m_victims.push_back(m_candidates[i].m_task);
        plan.m_cost += m_candidates[i].m_cost;
    }
    return plan;
}

std::optional<PreemptionPlan> Preemption::plan(const Task& task, const Resources& need, const Rights& rights)
{
    const WorkerGrid& grid = m_state.m_workers.reclaimGrid();
    m_buckets.clear();
    grid.forEachBucket(need, [&](std::uint32_t bucket) {
        m_buckets.push_back(bucket);
        return true;
    });
    ++m_cursor;
    std::optional<PreemptionPlan> best;
    unsigned examined = 0;
    const Job& job = m_state.m_jobs[task.m_job];
    for (std::size_t i = 0; i < m_buckets.size() && examined < maxExaminedWorkers; ++i) {
        // Every call begins at another bucket and member, so that repeated calls reach every worker.
        const auto& entries = grid.bucket(m_buckets[(i + m_cursor) % m_buckets.size()]);
        for (unsigned k = 0; k < entries.size() && k < workersPerBucket && examined < maxExaminedWorkers; ++k) {
            const WorkerIndex index = entries[(m_cursor * workersPerBucket + k) % entries.size()];
            ++examined;
            if (!m_state.rackAllows(job, m_state.m_workers.at(index).m_rack) || index == task.m_avoidedWorker)
                continue;
            std::optional<PreemptionPlan> candidate = planOn(index, need, rights);
            if (candidate && (!best || candidate->m_cost < best->m_cost))
                best = std::move(candidate);
        }
    }
    return best;
}

void Preemption::execute(const PreemptionPlan& plan, const Task& beneficiary, const Rights& rights, TimePoint now)
{
    const std::string detail = "preempted for task " + beneficiary.m_id->value();
    for (const TaskIndex victim : plan.m_victims) {
        // A victim that is a member of a group can have been stopped with an earlier victim.
        if (m_state.m_tasks[victim].m_phase == Phase::Stopping)
            continue;
        const bool byPriority
            = rights.m_urgent || m_state.policyOf(m_state.m_tasks[victim]).m_priority < rights.m_priority;
        m_lifecycle.requestStop(victim, byPriority ? Reason::Preempted : Reason::ReclaimedShare, true, now, detail);
    }
}

} // namespace sapphiredale::placement
