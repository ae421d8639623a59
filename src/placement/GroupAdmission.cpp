// All-or-nothing admission with claims and backfill.

#include "placement/GroupAdmission.h"

#include <algorithm>

namespace sapphiredale::placement {

namespace {

    /// Claims expire after this time and are chosen again, since expected end times are estimates.
    constexpr Duration claimTimeout = std::chrono::seconds(60);
    constexpr Duration retryInterval = std::chrono::milliseconds(200);
    constexpr std::size_t maxPlansPerAttempt = 64;
    constexpr unsigned maxClaimMovesPerStep = 16;
    constexpr unsigned drainSample = 48;
    constexpr unsigned backfillSample = 16;

} // namespace

void GroupAdmission::collectMembers(JobIndex job)
{
    m_members.clear();
    for (const TaskIndex task : m_state.m_jobs[job].m_tasks) {
        if (m_state.m_tasks[task].m_phase == Phase::Waiting)
            m_members.push_back(task);
    }
}

void GroupAdmission::assign(TaskIndex task, WorkerIndex worker, const Resources& need)
{
    m_state.m_workers.claim(worker, task, need);
    m_state.adjustRackCount(m_state.m_jobs[m_state.m_tasks[task].m_job], m_state.m_workers.at(worker).m_rack, 1);
    m_assignment.emplace_back(task, worker);
}

void GroupAdmission::rollBack(const Resources& need)
{
    for (const auto& [task, worker] : m_assignment) {
        m_state.m_workers.unclaim(worker, task, need, false);
        m_state.adjustRackCount(m_state.m_jobs[m_state.m_tasks[task].m_job], m_state.m_workers.at(worker).m_rack, -1);
    }
    m_assignment.clear();
    for (const PreemptionPlan& plan : m_plans) {
        for (const TaskIndex victim : plan.m_victims)
            m_state.m_workers.setReclaimable(m_state.m_tasks[victim], true);
    }
    m_plans.clear();
}

bool GroupAdmission::assignFree(TaskIndex task, const Resources& need)
{
    const Job& job = m_state.m_jobs[m_state.m_tasks[task].m_job];
    const CellScore score(m_state.m_weights.m_waiting, m_state.m_weights.m_packing);
    const WorkerIndex worker = m_selector.select(m_state.m_workers, need, score,
        [&](WorkerIndex, const Worker& candidate) { return m_state.rackAllows(job, candidate.m_rack); });
    if (worker == noIndex)
        return false;
    assign(task, worker, need);
    return true;
}

bool GroupAdmission::assignAllFree(const Resources& need)
{
    const Resources free = m_state.m_workers.totalCapacity() - m_state.m_workers.totalReserved();
    if (!(need * static_cast<std::int64_t>(m_members.size())).fitsIn(free))
        return false;
    return std::all_of(m_members.begin(), m_members.end(), [&](TaskIndex task) { return assignFree(task, need); });
}

bool GroupAdmission::assignByPreemption(const Resources& need)
{
    for (const TaskIndex task : m_members) {
        if (assignFree(task, need))
            continue;
        if (m_plans.size() == maxPlansPerAttempt)
            return false;
        const Preemption::Rights rights
            = m_preemption.rightsOf(m_state.m_tasks[task], need * static_cast<std::int64_t>(m_members.size()));
        std::optional<PreemptionPlan> plan = m_preemption.plan(m_state.m_tasks[task], need, rights);
        if (!plan)
            return false;
        assign(task, plan->m_worker, need);
        // A victim must not be counted again in the plans of the other members.
        for (const TaskIndex victim : plan->m_victims)
            m_state.m_workers.setReclaimable(m_state.m_tasks[victim], false);
        m_plans.push_back(std::move(*plan));
    }
    return true;
}

bool GroupAdmission::assignByDraining(const Resources& need, TimePoint now)
{
    m_expectedStart = now;
    for (const TaskIndex task : m_members) {
        if (assignFree(task, need))
            continue;
        const auto [worker, at] = drainWorker(m_state.m_tasks[task], need, now);
        if (worker == noIndex)
            return false;
        m_expectedStart = std::max(m_expectedStart, at);
        assign(task, worker, need);
    }
    return true;
}

std::pair<WorkerIndex, TimePoint> GroupAdmission::drainWorker(const Task& task, const Resources& need, TimePoint now)
{
    const Job& job = m_state.m_jobs[task.m_job];
    std::pair<WorkerIndex, TimePoint> best { noIndex, TimePoint::max() };
    const std::uint32_t count = m_state.m_workers.size();
    std::vector<std::pair<TimePoint, Resources>> ends;
    for (unsigned i = 0; i < std::min(drainSample, count); ++i) {
        // The step is prime to most sizes, so that successive samples cover all workers.
        m_cursor = (m_cursor + 7919) % count;
        const Worker& worker = m_state.m_workers.at(m_cursor);
        if (!worker.m_present || !worker.m_available || worker.m_health != Health::Good
            || !need.fitsIn(worker.m_spec.m_capacity) || !m_state.rackAllows(job, worker.m_rack))
            continue;
        ends.clear();
        for (const TaskIndex running : worker.m_tasks)
            ends.emplace_back(m_state.expectedEnd(m_state.m_tasks[running], now), m_state.m_tasks[running].m_reserved);
        std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        Resources free = worker.free();
        TimePoint at = now;
        for (std::size_t k = 0; k < ends.size() && !need.fitsIn(free); ++k) {
            at = ends[k].first;
            free += ends[k].second;
        }
        if (need.fitsIn(free) && at < best.second)
            best = { m_cursor, at };
    }
    return best;
}

bool GroupAdmission::mayReplaceHolder(const Task& task, TimePoint now) const
{
    if (m_claimHolder == noIndex)
        return true;
    const Task& holder = m_state.m_tasks[m_state.m_jobs[m_claimHolder].m_tasks.front()];
    return m_state.agedPriority(task, now) > m_state.agedPriority(holder, now) + 1;
}

bool GroupAdmission::tryAdmit(TaskIndex representative, TimePoint now)
{
    const Task& task = m_state.m_tasks[representative];
    const WorkloadIndex workloadIndex = task.m_workload;
    const Workload& workload = m_state.m_workloads[workloadIndex];
    collectMembers(task.m_job);
    // All members start with the size of the largest.
    Resources need;
    for (const TaskIndex member : m_members)
        need = Resources::max(need, m_state.needOf(m_state.m_tasks[member]));
    const Resources all = need * static_cast<std::int64_t>(m_members.size());
    const Reason quota = m_state.m_quotas.check(workload.m_team, all, m_state.policyOf(task).m_preemptible);
    if (quota != Reason::None) {
        m_queue.block(workloadIndex, quota, now + claimTimeout);
        return false;
    }
    if (assignAllFree(need)) {
        const Assignment assignment = std::exchange(m_assignment, {});
        for (const auto& [member, worker] : assignment) {
            m_state.m_workers.unclaim(worker, member, need, false);
            m_state.adjustRackCount(
                m_state.m_jobs[m_state.m_tasks[member].m_job], m_state.m_workers.at(worker).m_rack, -1);
            m_lifecycle.claim(member, worker, need, now);
            m_lifecycle.start(member, worker, now);
        }
        return true;
    }
    rollBack(need);
    if (!mayReplaceHolder(task, now)) {
        m_queue.block(workloadIndex, Reason::GroupIncomplete, now + claimTimeout / 4);
        return false;
    }
    if (m_claimHolder != noIndex) {
        abandonClaims();
        collectMembers(task.m_job);
    }
    if (!assignByPreemption(need)) {
        rollBack(need);
        if (!assignByDraining(need, now)) {
            rollBack(need);
            m_queue.block(workloadIndex, Reason::GroupIncomplete, now + retryInterval * 5);
            return false;
        }
    } else {
        m_expectedStart = now;
    }
    claimAssignment(need, now);
    return true;
}

void GroupAdmission::claimAssignment(const Resources& need, TimePoint now)
{
    const Assignment assignment = std::exchange(m_assignment, {});
    m_claimHolder = m_state.m_tasks[assignment.front().first].m_job;
    for (const auto& [task, worker] : assignment) {
        m_state.m_workers.unclaim(worker, task, need, false);
        m_state.adjustRackCount(m_state.m_jobs[m_claimHolder], m_state.m_workers.at(worker).m_rack, -1);
        m_lifecycle.claim(task, worker, need, now + claimTimeout);
    }
    const std::vector<PreemptionPlan> plans = std::exchange(m_plans, {});
    for (const PreemptionPlan& plan : plans) {
        const Task& beneficiary = m_state.m_tasks[assignment.front().first];
        m_preemption.execute(plan, beneficiary, m_preemption.rightsOf(beneficiary, need), now);
    }
    m_state.m_counters.count(Reason::WaitingForClaim);
    if (plans.empty())
        m_queue.unblockAll(); // Short tasks may use the claimed capacity meanwhile.
}

void GroupAdmission::clearInactiveHolder()
{
    if (m_claimHolder == noIndex)
        return;
    const bool holds = std::any_of(m_state.m_claimants.begin(), m_state.m_claimants.end(),
        [&](TaskIndex task) { return m_state.m_tasks[task].m_job == m_claimHolder; });
    if (!holds)
        m_claimHolder = noIndex;
}

void GroupAdmission::abandonClaims()
{
    const JobIndex job = std::exchange(m_claimHolder, noIndex);
    bool first = true;
    const std::vector<TaskIndex> claimants = m_state.m_claimants;
    for (const TaskIndex task : claimants) {
        if (m_state.m_tasks[task].m_job != job)
            continue;
        if (std::exchange(first, false))
            m_lifecycle.returnToQueue(task);
        else
            m_lifecycle.unclaim(task);
    }
}

void GroupAdmission::tryStartClaimed(TimePoint now)
{
    if (m_claimHolder == noIndex)
        return;
    collectMembers(m_claimHolder);
    bool backfilled = false;
    bool complete = true;
    unsigned moves = 0;
    Resources all;
    for (const TaskIndex member : m_members) {
        const Task& task = m_state.m_tasks[member];
        const Worker& worker = m_state.m_workers.at(task.m_claimedWorker);
        if (!worker.m_available || worker.m_health == Health::Quarantined)
            return abandonClaims();
        all += task.m_declared;
        if (worker.m_claimed.fitsIn(worker.unoccupied() + worker.m_backfilled)) {
            backfilled |= !worker.m_claimed.fitsIn(worker.unoccupied());
            continue;
        }
        // Free capacity on another worker is available sooner than the claimed capacity.
        complete = complete && moves++ < maxClaimMovesPerStep && moveClaim(member);
    }
    if (!complete)
        return;
    const Task& first = m_state.m_tasks[m_members.front()];
    const TeamIndex team = m_state.m_workloads[first.m_workload].m_team;
    if (m_state.m_quotas.checkClaimed(team, all, m_state.policyOf(first).m_preemptible) != Reason::None)
        return;
    if (backfilled)
        return preemptBackfill(now);
    m_claimHolder = noIndex;
    const std::vector<TaskIndex> members = m_members;
    for (const TaskIndex member : members)
        m_lifecycle.start(member, m_state.m_tasks[member].m_claimedWorker, now);
}

bool GroupAdmission::moveClaim(TaskIndex index)
{
    const Task& task = m_state.m_tasks[index];
    const Job& job = m_state.m_jobs[task.m_job];
    const TimePoint until = task.m_deadline;
    const Resources need = task.m_declared;
    const CellScore score(m_state.m_weights.m_waiting, m_state.m_weights.m_packing);
    const WorkerIndex worker = m_selector.select(m_state.m_workers, need, score,
        [&](WorkerIndex, const Worker& candidate) { return m_state.rackAllows(job, candidate.m_rack); });
    if (worker == noIndex)
        return false;
    m_lifecycle.unclaim(index);
    m_lifecycle.claim(index, worker, need, until);
    return true;
}

void GroupAdmission::preemptBackfill(TimePoint now)
{
    m_expectedStart = now; // No further backfill.
    for (const TaskIndex member : m_members) {
        const std::vector<TaskIndex> running = m_state.m_workers.at(m_state.m_tasks[member].m_claimedWorker).m_tasks;
        for (const TaskIndex task : running) {
            const Task& candidate = m_state.m_tasks[task];
            if (candidate.m_backfill && candidate.m_phase != Phase::Stopping) {
                m_lifecycle.requestStop(
                    task, Reason::Preempted, true, now, "the group that claimed the capacity can start");
            }
        }
    }
}

WorkerIndex GroupAdmission::backfillWorker(const Task& task, const Resources& need, TimePoint now)
{
    const ClassPolicy& policy = m_state.policyOf(task);
    const double seconds = m_state.expectedRunSeconds(m_state.m_workloads[task.m_workload]);
    const bool mayEnd = policy.m_preemptible && task.m_preemptions < policy.m_maxPreemptions;
    if (m_claimHolder == noIndex || !mayEnd || seconds < 0
        || now + Duration(static_cast<std::int64_t>(seconds * 1e6)) > m_expectedStart)
        return noIndex;
    const std::vector<TaskIndex>& claimants = m_state.m_claimants;
    for (unsigned i = 0; i < std::min<std::size_t>(backfillSample, claimants.size()); ++i) {
        const Task& claimant = m_state.m_tasks[claimants[++m_cursor % claimants.size()]];
        if (claimant.m_job != m_claimHolder)
            continue;
        const Worker& worker = m_state.m_workers.at(claimant.m_claimedWorker);
        // Backfill may use what the group has claimed, not what single tasks have claimed.
        if (need.fitsIn(worker.unoccupied()) && worker.m_available && worker.m_health == Health::Good
            && m_state.rackAllows(m_state.m_jobs[task.m_job], worker.m_rack))
            return claimant.m_claimedWorker;
    }
    return noIndex;
}

} // namespace sapphiredale::placement
