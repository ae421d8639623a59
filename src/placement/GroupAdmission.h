// Admission of groups: all waiting tasks of a job start together, or none holds anything.
#pragma once

#include "placement/Preemption.h"
#include "placement/WorkerSelector.h"

#include <utility>
#include <vector>

namespace sapphiredale::placement {

/// Starts groups. A group that does not fit claims the capacity that becomes free on chosen workers. One group at a
/// time holds claims, so that two groups cannot wait for each other.
class GroupAdmission {
public:
    GroupAdmission(CellState& state, WaitingQueue& queue, TaskLifecycle& lifecycle, Preemption& preemption,
        WorkerSelector& selector)
        : m_state(state)
        , m_queue(queue)
        , m_lifecycle(lifecycle)
        , m_preemption(preemption)
        , m_selector(selector)
    {
    }

    /// Tries the group that the waiting task represents. False when its queue is blocked now.
    bool tryAdmit(TaskIndex representative, TimePoint now);
    /// Starts the group that holds claims if all of them are free, after ending the backfill on them.
    void tryStartClaimed(TimePoint now);
    /// Whether the task belongs to the group that holds claims.
    bool holdsClaims(const Task& task) const { return m_claimHolder != noIndex && task.m_job == m_claimHolder; }
    /// Releases all claims of the group and queues it again.
    void abandonClaims();
    /// Clears the claim holder when none of its tasks holds a claim, for example after a cancellation.
    void clearInactiveHolder();

    /// Worker with claimed but idle capacity on which the task ends before the group needs it; noIndex when none.
    WorkerIndex backfillWorker(const Task&, const Resources& need, TimePoint now);
    /// Worker on which the need fits earliest if tasks end as expected, with that time, among a bounded sample.
    std::pair<WorkerIndex, TimePoint> drainWorker(const Task&, const Resources& need, TimePoint now);

private:
    using Assignment = std::vector<std::pair<TaskIndex, WorkerIndex>>;

    void collectMembers(JobIndex);
    bool assignFree(TaskIndex, const Resources& need);
    bool assignAllFree(const Resources& need);
    bool assignByPreemption(const Resources& need);
    bool assignByDraining(const Resources& need, TimePoint now);
    void assign(TaskIndex, WorkerIndex, const Resources& need);
    void rollBack(const Resources& need);
    void claimAssignment(const Resources& need, TimePoint now);
    bool mayReplaceHolder(const Task&, TimePoint now) const;
    /// Moves an unsatisfied claim to free capacity on another worker.
    bool moveClaim(TaskIndex);
    void preemptBackfill(TimePoint now);

    CellState& m_state;
    WaitingQueue& m_queue;
    TaskLifecycle& m_lifecycle;
    Preemption& m_preemption;
    WorkerSelector& m_selector;
    std::vector<TaskIndex> m_members;
    Assignment m_assignment;
    std::vector<PreemptionPlan> m_plans;
    JobIndex m_claimHolder = noIndex;
    /// Instant at which the claims are expected to be free; backfill must have ended by then.
    TimePoint m_expectedStart {};
    std::uint32_t m_cursor = 0;
};

} // namespace sapphiredale::placement
