// A cell with short helpers for tests: policies, workers, jobs and reports in one line each.
#pragma once

#include "placement/Cell.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sapphiredale::placement {

/// A file with the classes service, batch, group, urgent and firm (not preemptible) for two teams.
inline ClusterFile testFile()
{
    ClusterFile file;
    const auto addClass = [&](const char* name, ClassKind kind, int priority, bool preemptible) {
        ClassPolicy policy;
        policy.m_name = ClassId(name);
        policy.m_kind = kind;
        policy.m_priority = priority;
        policy.m_preemptible = preemptible;
        file.m_classes.push_back(policy);
    };
    addClass("service", ClassKind::Service, 50, true);
    addClass("batch", ClassKind::Batch, 10, true);
    addClass("group", ClassKind::Group, 10, true);
    addClass("urgent", ClassKind::Batch, 100, true);
    file.m_classes.back().m_urgent = true;
    addClass("firm", ClassKind::Batch, 10, false);
    for (const char* name : { "red", "blue" })
        file.m_teams.push_back({ TeamId(name), { 8000, 32768, 2 }, { 1000000, 4000000, 100 } });
    return file;
}

/// Adds a workload to a file; its name is its identifier.
inline WorkloadSpec& addWorkload(
    ClusterFile& file, const char* name, const char* className, const char* team, const Resources& size)
{
    WorkloadSpec spec;
    spec.m_name = WorkloadId(name);
    spec.m_class = ClassId(className);
    spec.m_team = TeamId(team);
    spec.m_resources = size;
    file.m_workloads.push_back(spec);
    return file.m_workloads.back();
}

/// A cell together with the time and the actions of the last step.
struct CellFixture {
    explicit CellFixture(const ClusterFile& file, int workers = 0, const Resources& capacity = { 4000, 16384, 0 })
    {
        m_cell.setPolicies(file, m_now);
        for (int i = 0; i < workers; ++i)
            addWorker("w" + std::to_string(i), capacity, "r" + std::to_string(i / 2));
    }

    void addWorker(const std::string& name, const Resources& capacity, const std::string& rack)
    {
        WorkerSpec spec;
        spec.m_name = WorkerId(name);
        spec.m_rack = RackId(rack);
        spec.m_capacity = capacity;
        m_cell.setWorker(spec, m_now);
        m_cell.setWorkerAvailable(spec.m_name, true, m_now);
        m_workers.push_back(spec.m_name);
    }

    Result<Unit> submit(const char* job, const char* workload, std::uint32_t count = 1)
    {
        return m_cell.submitJob({ JobId(job), WorkloadId(workload), count }, m_now);
    }

    /// Advances the time and makes a step.
    void step(Duration by = std::chrono::milliseconds(10))
    {
        m_now += by;
        m_actions = m_cell.step(m_now);
        for (const StartTask& start : all<StartTask>())
            m_started[start.m_task.value()] = start;
    }

    /// The actions of one type in the last step.
    template <typename Action> std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const PlacementAction& action : m_actions) {
            if (const auto* match = std::get_if<Action>(&action))
                found.push_back(*match);
        }
        return found;
    }

    /// Reports the newest started attempt of a task from its worker.
    void report(const std::string& task, TaskState state, const Resources& usage = {})
    {
        const StartTask& start = m_started.at(task);
        TaskReport message;
        message.m_task = TaskId(task);
        message.m_attempt = start.m_attempt;
        message.m_state = state;
        message.m_declared = start.m_resources;
        message.m_usage = usage;
        m_cell.taskReported(start.m_worker, message, m_now);
    }

    Explanation explain(const char* task) const { return m_cell.explain(TaskId(task)); }
    std::uint64_t counted(Reason reason) const { return m_cell.counters().value(reason); }

    /// Fails the test when a worker carries more than it can hold.
    void assertCapacity() const
    {
        for (const WorkerId& worker : m_workers) {
            const WorkerLoad load = m_cell.workerLoad(worker);
            CPPUNIT_ASSERT_MESSAGE(worker.value(), load.m_reserved.fitsIn(load.m_capacity));
            CPPUNIT_ASSERT_MESSAGE(worker.value(), !load.m_reserved.hasNegative());
        }
    }

    TimePoint m_now { std::chrono::seconds(1000) };
    Cell m_cell { CellSettings {} };
    std::vector<WorkerId> m_workers;
    std::vector<PlacementAction> m_actions;
    std::map<std::string, StartTask> m_started;
};

} // namespace sapphiredale::placement
