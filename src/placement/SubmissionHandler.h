// Handles policies, submissions of jobs and instances, and cancellations; refuses work that can never run.
#pragma once

#include "placement/TaskLifecycle.h"

namespace sapphiredale::placement {

/// Validates submissions, creates their records, and cancels or withdraws them.
class SubmissionHandler {
public:
    SubmissionHandler(CellState& state, WaitingQueue& queue, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_queue(queue)
        , m_lifecycle(lifecycle)
    {
    }

    void setPolicies(const ClusterFile&);
    Result<Unit> submitJob(const JobRequest&, TimePoint now);
    Result<Unit> submitInstance(const TaskId&, const WorkloadId&, TimePoint now);
    bool cancelJob(const JobId&, TimePoint now);
    bool withdrawInstance(const TaskId&, TimePoint now);
    /// Returns the job record of the instances of a service and creates it if needed.
    JobIndex findOrAddServiceJob(WorkloadIndex);

private:
    void setClasses(const std::vector<ClassPolicy>&);
    void setWorkloads(const std::vector<WorkloadSpec>&);
    Result<Unit> refuse(Reason, ErrorKind, std::string detail);
    /// Checks that empty workers and the team's limit can hold this many tasks at once: all tasks of a group, else one.
    Result<Unit> checkFeasibility(Workload&, std::uint32_t together);
    Result<Unit> checkCapacity(Workload&, std::uint32_t together);
    /// Largest number of tasks of the workload that empty workers can hold at once.
    std::uint64_t maxConcurrentTasks(Workload&);

    CellState& m_state;
    WaitingQueue& m_queue;
    TaskLifecycle& m_lifecycle;
};

} // namespace sapphiredale::placement
