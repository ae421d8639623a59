// Starts, ends and saved progress.

#include "standin/TaskRegistry.h"

#include <algorithm>

namespace sapphiredale::standin {

void TaskRegistry::started(const TaskId& task, const WorkerId& worker)
{
    Shard& shard = shardOf(task);
    const std::lock_guard lock(shard.m_mutex);
    Entry& entry = shard.m_tasks[task];
    if (!entry.m_runningOn.empty())
        m_violations.add("task-running-twice",
            task.value() + " started on " + worker.value() + " while it runs on " + entry.m_runningOn.front().value());
    entry.m_runningOn.push_back(worker);
}

void TaskRegistry::ended(const TaskId& task, const WorkerId& worker)
{
    Shard& shard = shardOf(task);
    const std::lock_guard lock(shard.m_mutex);
    const auto found = shard.m_tasks.find(task);
    if (found == shard.m_tasks.end())
        return;
    auto& workers = found->second.m_runningOn;
    if (const auto at = std::find(workers.begin(), workers.end(), worker); at != workers.end())
        workers.erase(at);
    if (workers.empty() && found->second.m_progress == Duration::zero())
        shard.m_tasks.erase(found);
}

void TaskRegistry::saveProgress(const TaskId& task, Duration progress)
{
    Shard& shard = shardOf(task);
    const std::lock_guard lock(shard.m_mutex);
    shard.m_tasks[task].m_progress += progress;
}

Duration TaskRegistry::progress(const TaskId& task) const
{
    const Shard& shard = shardOf(task);
    const std::lock_guard lock(shard.m_mutex);
    const auto found = shard.m_tasks.find(task);
    return found == shard.m_tasks.end() ? Duration::zero() : found->second.m_progress;
}

} // namespace sapphiredale::standin
