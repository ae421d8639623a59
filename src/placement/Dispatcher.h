// One scheduling step: timers, overuse on full workers, claims, then the waiting tasks in fair order.
#pragma once

#include "placement/GroupAdmission.h"

#include <vector>

namespace sapphiredale::placement {

/// Decides which waiting task starts where.
class Dispatcher {
public:
    Dispatcher(CellState& state, WaitingQueue& queue, TaskLifecycle& lifecycle, Quarantine& quarantine,
        Preemption& preemption, GroupAdmission& groups, WorkerSelector& selector)
        : m_state(state)
        , m_queue(queue)
        , m_lifecycle(lifecycle)
        , m_quarantine(quarantine)
        , m_preemption(preemption)
        , m_groups(groups)
        , m_selector(selector)
    {
    }

    void step(TimePoint now);

private:
    /// Order of the queues: aged priority, then the team with the lowest dominant share, then waiting time. Shares and
    /// waiting times are compared in coarse steps. Within a step large tasks are placed first, which packs the tasks of
    /// one burst more densely.
    struct Entry {
        std::int64_t m_priority;
        std::int64_t m_shareLevel;
        std::int64_t m_queuedSecond;
        double m_size;
        TimePoint m_queuedAt;
        WorkloadIndex m_workload;

        /// Whether both entries have the same priority, share level and second, so that either may be placed first.
        bool hasSameRank(const Entry& other) const
        {
            return m_priority == other.m_priority && m_shareLevel == other.m_shareLevel
                && m_queuedSecond == other.m_queuedSecond;
        }

        friend bool operator<(const Entry& a, const Entry& b)
        {
            if (a.m_priority != b.m_priority)
                return a.m_priority < b.m_priority;
            if (a.m_shareLevel != b.m_shareLevel)
                return a.m_shareLevel > b.m_shareLevel;
            if (a.m_queuedSecond != b.m_queuedSecond)
                return a.m_queuedSecond > b.m_queuedSecond;
            if (a.m_size != b.m_size)
                return a.m_size < b.m_size;
            if (a.m_queuedAt != b.m_queuedAt)
                return a.m_queuedAt > b.m_queuedAt;
            return a.m_workload > b.m_workload;
        }
    };

    Entry entryOf(WorkloadIndex, TimePoint now) const;
    void fireTimers(TimePoint now);
    void expireClaim(TaskIndex);
    void resolveOveruse(WorkerIndex, TimePoint now);
    bool limitOveruse(TaskIndex, TimePoint now);
    void startClaimed(TimePoint now);
    void placeWaiting(TimePoint now);
    /// Handles the head of a queue; false when the queue is blocked.
    bool place(WorkloadIndex, TimePoint now);
    bool placeOverQuota(WorkloadIndex, TaskIndex, const Resources& need, Reason, TimePoint now);
    bool placeByPreemption(TaskIndex, const Resources& need, const Preemption::Rights&, TimePoint now);
    /// Minimum waiting time before non-urgent work may preempt.
    Duration preemptionDelay() const;
    bool placeByDraining(TaskIndex, const Resources& need, TimePoint now);
    /// Returns the task of the same rank that leaves the least free capacity on the worker, among a bounded number of
    /// queue heads; the given task when none is better.
    TaskIndex findBetterFit(TaskIndex, WorkerIndex, const Resources& need) const;
    WorkerIndex selectWorker(const Task&, const Resources& need);
    void blockForCapacity(WorkloadIndex, const Task&, const Resources& need, TimePoint now);

    CellState& m_state;
    WaitingQueue& m_queue;
    TaskLifecycle& m_lifecycle;
    Quarantine& m_quarantine;
    Preemption& m_preemption;
    GroupAdmission& m_groups;
    WorkerSelector& m_selector;
    std::vector<Entry> m_heap;
    /// The entry that is being placed.
    Entry m_current {};
    /// Remaining searches for preemption victims in this step; urgent work is not limited.
    unsigned m_remainingPreemptionSearches = 0;
};

} // namespace sapphiredale::placement
