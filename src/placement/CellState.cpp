// Creation and look-up of records.

#include "placement/CellState.h"

#include <algorithm>
#include <cassert>

namespace sapphiredale::placement {

namespace {

    /// Limit on results of unknown jobs. Workers keep a result until it is acknowledged, so a dropped one is reported
    /// again.
    constexpr std::size_t maxEarlyResults = 100000;
    /// Assumed run time of batch work without a declared or learned run time.
    constexpr double defaultRunSeconds = 3600;
    /// Learned run times are clamped to within this factor of the declared run time.
    constexpr double maxRunTimeFactor = 10;

} // namespace

std::string_view ownerOf(const TaskId& id)
{
    const std::string_view text = id.value();
    return text.substr(0, std::min(text.rfind('/'), text.size()));
}

TaskIndex CellState::findTask(const TaskId& id) const
{
    const auto entry = m_taskIndices.find(id);
    return entry == m_taskIndices.end() ? noIndex : entry->second;
}

TaskIndex CellState::allocateTask()
{
    if (m_freeTasks.empty()) {
        m_tasks.emplace_back();
        return static_cast<TaskIndex>(m_tasks.size() - 1);
    }
    const TaskIndex index = m_freeTasks.back();
    m_freeTasks.pop_back();
    m_tasks[index] = Task {};
    return index;
}

TaskIndex CellState::addTask(const TaskId& id)
{
    const TaskIndex index = allocateTask();
    const auto [entry, isNew] = m_taskIndices.try_emplace(id, index);
    assert(isNew);
    m_tasks[index].m_id = &entry->first;
    return index;
}

TaskIndex CellState::addStray(const TaskId& id)
{
    const TaskIndex index = allocateTask();
    m_tasks[index].m_id = &m_strays.emplace(id, index)->first;
    m_tasks[index].m_stray = true;
    return index;
}

TaskIndex CellState::findStray(const TaskId& id, std::uint32_t attempt, WorkerIndex worker) const
{
    const auto [first, last] = m_strays.equal_range(id);
    const auto entry = std::find_if(first, last, [&](const auto& candidate) {
        const Task& task = m_tasks[candidate.second];
        return task.m_attempt == attempt && task.m_worker == worker;
    });
    return entry == last ? noIndex : entry->second;
}

void CellState::removeTask(TaskIndex index)
{
    Task& task = m_tasks[index];
    assert(!task.m_inQueue && task.m_worker == noIndex && task.m_claimedWorker == noIndex);
    if (task.m_stray) {
        auto [first, last] = m_strays.equal_range(*task.m_id);
        m_strays.erase(std::find_if(first, last, [&](const auto& entry) { return entry.second == index; }));
    } else {
        m_taskIndices.erase(m_taskIndices.find(*task.m_id));
    }
    task = Task {};
    m_freeTasks.push_back(index);
}

JobIndex CellState::addJob(const JobId& id, WorkloadIndex workload)
{
    JobIndex index = static_cast<JobIndex>(m_jobs.size());
    if (m_freeJobs.empty()) {
        m_jobs.emplace_back();
    } else {
        index = m_freeJobs.back();
        m_freeJobs.pop_back();
        m_jobs[index] = Job {};
    }
    m_jobs[index].m_id = id;
    m_jobs[index].m_workload = workload;
    return index;
}

Resources CellState::needOf(const Workload& workload) const
{
    return Resources::max(workload.m_spec.m_resources, workload.m_learnedSize);
}

Resources CellState::needOf(const Task& task) const
{
    const Workload& workload = m_workloads[task.m_workload];
    const Resources need = needOf(workload);
    if (!task.m_hasGrown)
        return need;
    // The usage of an earlier attempt must not make the task impossible to place.
    const Resources& limit = m_quotas.at(workload.m_team).m_spec.m_limit;
    const Resources largest = m_workers.largestCapacity();
    const bool throttles = policyOf(workload).m_onOveruse == OnOveruse::Throttle;
    const std::int64_t processors = throttles ? need.m_cpuMillis : task.m_reserved.m_cpuMillis;
    const Resources grown { std::min({ processors, limit.m_cpuMillis, largest.m_cpuMillis }),
        std::min({ task.m_reserved.m_memoryMiB, limit.m_memoryMiB, largest.m_memoryMiB }), 0 };
    const Resources all = Resources::max(need, grown);
    return m_workers.fitsAnyEmptyWorker(all) ? all : need;
}

std::int64_t CellState::agedPriority(const Task& task, TimePoint now) const
{
    const ClassPolicy& policy = policyOf(task);
    if (policy.m_agingSeconds == 0 || now <= task.m_queuedAt)
        return policy.m_priority;
    const auto waited = std::chrono::duration_cast<std::chrono::seconds>(now - task.m_queuedAt).count();
    return policy.m_priority + waited / std::int64_t(policy.m_agingSeconds);
}

double CellState::expectedRunSeconds(const Workload& workload) const
{
    if (runsForever(policyOf(workload).m_kind))
        return -1;
    const double declared = workload.m_spec.m_maxRunSeconds;
    if (workload.m_meanRunSeconds < 0)
        return declared > 0 ? declared : defaultRunSeconds;
    const double learned = workload.m_meanRunSeconds + 2 * workload.m_runSecondsDeviation;
    return declared > 0 ? std::clamp(learned, declared / maxRunTimeFactor, declared * maxRunTimeFactor) : learned;
}

TimePoint CellState::expectedEnd(const Task& task, TimePoint now) const
{
    const double seconds = task.m_workload == noIndex ? -1 : expectedRunSeconds(m_workloads[task.m_workload]);
    if (seconds < 0)
        return TimePoint::max();
    const Duration whole(static_cast<std::int64_t>(seconds * 1e6));
    const TimePoint end = task.m_startedAt + whole;
    // A task that has outlived its estimate is expected to run for half of its age again.
    return end > now ? end : now + (now - task.m_startedAt) / 2;
}

bool CellState::rackAllows(const Job& job, RackIndex rack) const
{
    const std::uint32_t bound = m_workloads[job.m_workload].m_spec.m_maxPerRack;
    if (bound == 0)
        return true;
    for (const auto& [index, count] : job.m_tasksPerRack) {
        if (index == rack)
            return count < bound;
    }
    return true;
}

void CellState::adjustRackCount(Job& job, RackIndex rack, int by)
{
    for (auto entry = job.m_tasksPerRack.begin(); entry != job.m_tasksPerRack.end(); ++entry) {
        if (entry->first != rack)
            continue;
        entry->second += static_cast<std::uint32_t>(by);
        if (entry->second == 0)
            job.m_tasksPerRack.erase(entry);
        return;
    }
    assert(by > 0);
    job.m_tasksPerRack.emplace_back(rack, static_cast<std::uint32_t>(by));
}

void CellState::recordEarlyResult(const TaskId& id, const EarlyResult& end)
{
    const auto [entry, isNew] = m_earlyResults.insert_or_assign(id, end);
    if (!isNew)
        return;
    m_earlyResultOrder.push_back(id);
    if (m_earlyResultOrder.size() > maxEarlyResults) {
        m_earlyResults.erase(m_earlyResultOrder.front());
        m_earlyResultOrder.pop_front();
    }
}

} // namespace sapphiredale::placement
