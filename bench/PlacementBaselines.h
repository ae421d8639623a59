// Baselines of the placement benchmark: first fit and random packing, and a first-come-first-served scheduler.
#pragma once

#include "bench/PlacementLoad.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace sapphiredale::bench {

/// Number of workers that first fit uses for the tasks in their order.
inline std::uint32_t firstFitWorkers(const std::vector<Resources>& tasks, const Resources& worker)
{
    std::vector<Resources> free;
    for (const Resources& task : tasks) {
        const auto fit = std::find_if(free.begin(), free.end(), [&](const Resources& f) { return task.fitsIn(f); });
        if (fit == free.end())
            free.push_back(worker - task);
        else
            *fit -= task;
    }
    return std::uint32_t(free.size());
}

/// Number of workers that a random choice among the used workers with room uses; a new one is opened if none has room.
inline std::uint32_t randomWorkers(const std::vector<Resources>& tasks, const Resources& worker, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<Resources> free;
    std::vector<std::size_t> fits;
    for (const Resources& task : tasks) {
        fits.clear();
        for (std::size_t i = 0; i < free.size(); ++i) {
            if (task.fitsIn(free[i]))
                fits.push_back(i);
        }
        if (fits.empty())
            free.push_back(worker - task);
        else
            free[fits[std::uniform_int_distribution<std::size_t>(0, fits.size() - 1)(random)]] -= task;
    }
    return std::uint32_t(free.size());
}

/// First come, first served with first fit: the oldest job blocks the younger ones; no preemption, no quotas.
class FirstComeFirstServed {
public:
    FirstComeFirstServed(const Load& load, const CellShape& shape)
        : m_free(shape.m_workers, shape.m_worker)
    {
        for (const WorkloadSpec& spec : load.m_file.m_workloads)
            m_sizes.emplace(spec.m_name, spec.m_resources);
        for (const WorkerSpec& worker : workersOf(shape)) {
            m_index.emplace(worker.m_name, m_names.size());
            m_names.push_back(worker.m_name);
        }
    }

    Result<Unit> submitJob(const placement::JobRequest& job, TimePoint)
    {
        m_queue.push_back(job);
        return Unit {};
    }

    Result<Unit> submitInstance(const TaskId& task, const WorkloadId& workload, TimePoint now)
    {
        return submitJob({ JobId(task.value().substr(0, task.value().rfind('/'))), workload, 1 }, now);
    }

    void taskReported(const WorkerId& worker, const TaskReport& report, TimePoint)
    {
        if (!isFinal(report.m_state))
            return;
        m_free[m_index.at(worker)] += report.m_declared;
        if (report.m_state != TaskState::Failed)
            return;
        // A killed task starts again, alone, before the others; three attempts as in the cell.
        Retry& retry = m_retries[report.m_task];
        if (++retry.m_failures < 3)
            m_failed.push_back(report);
    }

    std::optional<TimePoint> nextWake() const { return std::nullopt; }

    std::vector<placement::PlacementAction> step(TimePoint)
    {
        std::vector<placement::PlacementAction> actions;
        while (!m_failed.empty() && startAgain(m_failed.front(), actions))
            m_failed.pop_front();
        while (m_failed.empty() && !m_queue.empty() && startAll(m_queue.front(), actions))
            m_queue.pop_front();
        return actions;
    }

private:
    struct Retry {
        int m_failures = 0;
        WorkloadId m_workload;
    };

    bool startAgain(const TaskReport& failed, std::vector<placement::PlacementAction>& actions)
    {
        const Resources& size = failed.m_declared;
        const auto fit
            = std::find_if(m_free.begin(), m_free.end(), [&](const Resources& free) { return size.fitsIn(free); });
        if (fit == m_free.end())
            return false;
        *fit -= size;
        actions.emplace_back(placement::StartTask { failed.m_task, failed.m_attempt + 1,
            m_retries.at(failed.m_task).m_workload, m_names[std::size_t(fit - m_free.begin())], size });
        return true;
    }

    bool startAll(const placement::JobRequest& job, std::vector<placement::PlacementAction>& actions)
    {
        const Resources& size = m_sizes.at(job.m_workload);
        std::vector<std::size_t> chosen;
        for (std::uint32_t i = 0; i < job.m_taskCount; ++i) {
            const auto fit
                = std::find_if(m_free.begin(), m_free.end(), [&](const Resources& free) { return size.fitsIn(free); });
            if (fit == m_free.end()) {
                for (const std::size_t worker : chosen)
                    m_free[worker] += size;
                return false;
            }
            *fit -= size;
            chosen.push_back(std::size_t(fit - m_free.begin()));
        }
        for (std::uint32_t i = 0; i < job.m_taskCount; ++i) {
            const TaskId task(job.m_job.value() + "/" + std::to_string(i));
            m_retries[task].m_workload = job.m_workload;
            actions.emplace_back(placement::StartTask { task, 1, job.m_workload, m_names[chosen[i]], size });
        }
        return true;
    }

    std::vector<Resources> m_free;
    std::vector<WorkerId> m_names;
    std::unordered_map<WorkerId, std::size_t> m_index;
    std::unordered_map<WorkloadId, Resources> m_sizes;
    std::deque<placement::JobRequest> m_queue;
    std::deque<TaskReport> m_failed;
    std::unordered_map<TaskId, Retry> m_retries;
};

} // namespace sapphiredale::bench
