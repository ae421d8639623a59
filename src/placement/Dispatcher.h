// One step of decisions: timers, relief of overloaded workers, claims, and the waiting tasks in fair order.
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
    /// Order of the queues: aged priority, then the team that has the least of its share, then waiting time.
    struct Entry {
        std::int64_t m_priority;
        double m_share;
        TimePoint m_queuedAt;
        WorkloadIndex m_workload;

        friend bool operator<(const Entry& a, const Entry& b)
        {
            if (a.m_priority != b.m_priority)
                return a.m_priority < b.m_priority;
            if (a.m_share != b.m_share)
                return a.m_share > b.m_share;
            if (a.m_queuedAt != b.m_queuedAt)
                return a.m_queuedAt > b.m_queuedAt;
            return a.m_workload > b.m_workload;
        }
    };

    Entry entryOf(WorkloadIndex, TimePoint now) const;
    void fireTimers(TimePoint now);
    void claimExpired(TaskIndex);
    void relieve(WorkerIndex, TimePoint now);
    bool endOveruse(TaskIndex, TimePoint now);
    void startClaimed(TimePoint now);
    void placeWaiting(TimePoint now);
    /// Handles the head of a queue; false when the queue is blocked.
    bool place(WorkloadIndex, TimePoint now);
    bool placeOverQuota(WorkloadIndex, TaskIndex, const Resources& need, Reason, TimePoint now);
    bool placeByPreemption(TaskIndex, const Resources& need, const Preemption::Rights&, TimePoint now);
    /// Time that work which is not urgent waits before it preempts.
    Duration patience() const;
    bool placeByDraining(TaskIndex, const Resources& need, TimePoint now);
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
    /// Searches for victims that are left in this step, urgent work excepted.
    unsigned m_searchesLeft = 0;
};

} // namespace sapphiredale::placement
