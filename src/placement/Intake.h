// Entry of policies, jobs and instances into the cell: validation, refusal of what can never run, cancellation.
#pragma once

#include "placement/TaskLifecycle.h"

namespace sapphiredale::placement {

/// Submissions and cancellations.
class Intake {
public:
    Intake(CellState& state, WaitingQueue& queue, TaskLifecycle& lifecycle)
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
    /// Job record of the instances of a service.
    JobIndex serviceJob(WorkloadIndex);

private:
    void setClasses(const std::vector<ClassPolicy>&);
    void setWorkloads(const std::vector<WorkloadSpec>&);
    Result<Unit> refuse(Reason, ErrorKind, std::string detail);
    /// Whether the tasks can ever run at the same time (group) or one by one, by size, quota and racks.
    Result<Unit> verifyPossible(Workload&, std::uint32_t together);
    Result<Unit> verifyCapacity(Workload&, std::uint32_t together);
    /// Most tasks of the workload that empty workers could hold at once.
    std::uint64_t mostTogether(Workload&);

    CellState& m_state;
    WaitingQueue& m_queue;
    TaskLifecycle& m_lifecycle;
};

} // namespace sapphiredale::placement
