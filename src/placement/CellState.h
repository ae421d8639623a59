// The state that the parts of the placement core share: records, names, queues, timers and pending actions.
#pragma once

#include "placement/Cell.h"
#include "placement/ClassRules.h"
#include "placement/Quotas.h"
#include "placement/Records.h"
#include "placement/WorkerTable.h"

#include <deque>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphiredale::placement {

/// Schedules a later check of a task or worker. A timer has no effect when its object has changed state meanwhile.
struct Timer {
    enum class Kind : std::uint8_t { Backoff, StopTimeout, ClaimExpiry, QuarantineExpiry };
    TimePoint m_at;
    Kind m_kind;
    std::uint32_t m_index;

    friend bool operator>(const Timer& a, const Timer& b) { return a.m_at > b.m_at; }
};

/// Final state of a task that was reported before its job was submitted.
struct EarlyResult {
    TaskState m_state;
    std::uint32_t m_attempt;
};

/// Shared state. The members are used by the classes of this package only.
struct CellState {
    explicit CellState(const CellSettings& settings)
        : m_settings(settings)
    {
    }

    CellSettings m_settings;
    PlacementWeights m_weights;
    Counters m_counters;
    Quotas m_quotas;
    WorkerTable m_workers;

    std::vector<ClassPolicy> m_classes;
    std::unordered_map<ClassId, ClassIndex> m_classIndices;
    std::vector<Workload> m_workloads;
    std::unordered_map<WorkloadId, WorkloadIndex> m_workloadIndices;
    std::vector<Job> m_jobs;
    std::vector<JobIndex> m_freeJobs;
    std::unordered_map<JobId, JobIndex> m_jobIndices;
    std::vector<Task> m_tasks;
    std::vector<TaskIndex> m_freeTasks;
    std::unordered_map<TaskId, TaskIndex> m_taskIndices;
    std::unordered_multimap<TaskId, TaskIndex> m_strays;
    /// Final states that were reported before submitJob; m_earlyResultOrder lists them from the oldest.
    std::unordered_map<TaskId, EarlyResult> m_earlyResults;
    std::deque<TaskId> m_earlyResultOrder;

    /// Workloads whose queue head can be placed in this step, and those whose head waits for an event.
    std::vector<WorkloadIndex> m_readyWorkloads;
    std::vector<WorkloadIndex> m_blockedWorkloads;
    /// Waiting tasks that hold a claim on a worker.
    std::vector<TaskIndex> m_claimants;
    /// Closed jobs, the oldest first.
    std::deque<JobIndex> m_closedJobs;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::vector<PlacementAction> m_actions;
    /// Tasks that wait, in queues, backoffs and claims.
    std::uint32_t m_waitingTasks = 0;

    ClassPolicy& policyOf(const Workload& workload) { return m_classes[workload.m_class]; }
    const ClassPolicy& policyOf(const Workload& workload) const { return m_classes[workload.m_class]; }
    /// Policy of a task with a known workload.
    const ClassPolicy& policyOf(const Task& task) const { return policyOf(m_workloads[task.m_workload]); }
    TaskIndex findTask(const TaskId&) const;
    TaskIndex addTask(const TaskId&);
    /// Adds a record for an attempt that must not run, so that its resources are accounted for until it has stopped.
    TaskIndex addStray(const TaskId&);
    /// The stray attempt on the worker; noIndex when there is none.
    TaskIndex findStray(const TaskId&, std::uint32_t attempt, WorkerIndex) const;
    void removeTask(TaskIndex);
    JobIndex addJob(const JobId&, WorkloadIndex);
    /// Size that a first start of a task of the workload reserves.
    Resources needOf(const Workload&) const;
    /// Size that the next start of the waiting task reserves: at least what an earlier attempt grew to.
    Resources needOf(const Task&) const;
    /// Priority with aging of a task that has waited since its m_queuedAt.
    std::int64_t agedPriority(const Task&, TimePoint now) const;
    /// Expected end of a running task, by learned or declared run time.
    TimePoint expectedEnd(const Task&, TimePoint now) const;
    /// Expected run time of a workload in seconds; negative for work that has no end.
    double expectedRunSeconds(const Workload&) const;
    /// Whether a further task of the job may run on the rack.
    bool rackAllows(const Job&, RackIndex) const;
    void adjustRackCount(Job&, RackIndex, int by);
    void recordEarlyResult(const TaskId&, const EarlyResult&);

private:
    TaskIndex allocateTask();
};

/// The part of a task identifier before the last slash: its job or its service workload.
std::string_view ownerOf(const TaskId&);

} // namespace sapphiredale::placement
