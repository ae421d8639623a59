// Small placement core for the ownership tests: first fit by processor time, no quotas and no priorities.
#pragma once

#include "ownership/HomeMap.h"
#include "placement/Cell.h"

#include <algorithm>
#include <map>
#include <set>

namespace sapphiredale::ownership {

class FakeCell {
public:
    explicit FakeCell(const placement::CellSettings&) { }

    void setPolicies(const ClusterFile& file, TimePoint)
    {
        m_workloads.clear();
        for (const WorkloadSpec& workload : file.m_workloads)
            m_workloads[workload.m_name] = workload;
    }
    void setWorker(const WorkerSpec& spec, TimePoint) { m_workers[spec.m_name].m_capacity = spec.m_capacity; }
    void removeWorker(const WorkerId& worker, TimePoint)
    {
        m_workers.erase(worker);
        for (auto& [id, task] : m_tasks) {
            if (task.m_worker == worker)
                task.m_worker = {};
        }
    }
    void setWorkerAvailable(const WorkerId& worker, bool available, TimePoint)
    {
        m_workers[worker].m_available = available;
    }

    Result<Unit> submitJob(const placement::JobRequest& request, TimePoint)
    {
        if (!m_workloads.contains(request.m_workload))
            return Error { ErrorKind::UnknownWorkload, "unknown" };
        m_jobs[request.m_job] = request.m_taskCount;
        for (std::uint32_t i = 0; i < request.m_taskCount; ++i)
            want(TaskId(request.m_job.value() + '/' + std::to_string(i)), request.m_workload);
        return Unit {};
    }
    Result<Unit> submitInstance(const TaskId& task, const WorkloadId& workload, TimePoint)
    {
        want(task, workload);
        return Unit {};
    }
    bool cancelJob(const JobId& job, TimePoint)
    {
        for (auto& [id, task] : m_tasks) {
            if (ownerOfTask(id) == job.value())
                drop(id, task);
        }
        return m_jobs.erase(job) > 0;
    }
    bool withdrawInstance(const TaskId& id, TimePoint)
    {
        const auto found = m_tasks.find(id);
        if (found != m_tasks.end())
            drop(id, found->second);
        return found != m_tasks.end();
    }

    void taskReported(const WorkerId& worker, const TaskReport& report, TimePoint)
    {
        Task& task = m_tasks[report.m_task];
        if (report.m_attempt < task.m_attempt || task.m_done)
            return;
        task.m_attempt = report.m_attempt;
        task.m_worker = isFinal(report.m_state) ? WorkerId {} : worker;
        task.m_done = report.m_state == TaskState::Ended && ownerOfTask(report.m_task).find('.') != std::string::npos;
        const JobId job { std::string(ownerOfTask(report.m_task)) };
        const auto count = m_jobs.find(job);
        if (!task.m_done || count == m_jobs.end())
            return;
        const auto ended = std::count_if(m_tasks.begin(), m_tasks.end(),
            [&](const auto& entry) { return ownerOfTask(entry.first) == job.value() && entry.second.m_done; });
        if (ended == static_cast<std::ptrdiff_t>(count->second))
            m_actions.emplace_back(placement::FinishJob { job });
    }
    void taskAbsent(const WorkerId& worker, const TaskId& id, std::uint32_t attempt, TimePoint now)
    {
        startRefused(id, attempt, worker, {}, now);
    }
    void startRefused(const TaskId& id, std::uint32_t attempt, const WorkerId& worker, const std::string&, TimePoint)
    {
        Task& task = m_tasks[id];
        if (task.m_worker == worker && task.m_attempt == attempt)
            task.m_worker = {};
    }

    std::vector<placement::PlacementAction> step(TimePoint)
    {
        for (auto& [id, task] : m_tasks) {
            if (!task.m_wanted || task.m_done || !task.m_worker.empty())
                continue;
            const Resources& need = m_workloads[task.m_workload].m_resources;
            for (const auto& [name, worker] : m_workers) {
                if (!worker.m_available || !(usedOn(name) + need).fitsIn(worker.m_capacity))
                    continue;
                task.m_worker = name;
                ++task.m_attempt;
                m_actions.emplace_back(placement::StartTask { id, task.m_attempt, task.m_workload, name, need });
                break;
            }
        }
        return std::exchange(m_actions, {});
    }
    std::optional<TimePoint> nextWake() const { return std::nullopt; }
    placement::Explanation explain(const TaskId&) const { return {}; }

private:
    struct Task {
        WorkloadId m_workload;
        WorkerId m_worker;
        std::uint32_t m_attempt = 0;
        bool m_wanted = false;
        bool m_done = false;
    };
    struct Worker {
        Resources m_capacity;
        bool m_available = false;
    };

    void want(const TaskId& id, const WorkloadId& workload)
    {
        m_tasks[id].m_workload = workload;
        m_tasks[id].m_wanted = true;
    }
    void drop(const TaskId& id, Task& task)
    {
        task.m_wanted = false;
        if (!task.m_worker.empty())
            m_actions.emplace_back(placement::StopTask { id, task.m_attempt, task.m_worker, "cancelled" });
    }
    Resources usedOn(const WorkerId& worker)
    {
        Resources used;
        for (const auto& [id, task] : m_tasks) {
            if (task.m_worker == worker)
                used += m_workloads[task.m_workload].m_resources;
        }
        return used;
    }

    std::map<WorkloadId, WorkloadSpec> m_workloads;
    std::map<WorkerId, Worker> m_workers;
    std::map<TaskId, Task> m_tasks;
    std::map<JobId, std::uint32_t> m_jobs;
    std::vector<placement::PlacementAction> m_actions;
};

} // namespace sapphiredale::ownership
