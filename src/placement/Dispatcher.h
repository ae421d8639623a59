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
    /// Order of the queues: aged priority, then the team that has the least of its share, then waiting time. Shares and
    /// waiting times count in coarse steps, and within a step large tasks come first: what arrives in one burst packs
    /// better in that order.
    struct Entry {
        std::int64_t m_priority;
        std::int64_t m_shareStep;
        std::int64_t m_second;
        double m_size;
        TimePoint m_queuedAt;
        WorkloadIndex m_workload;

        /// Whether the coarse steps are the same, so that either may go first.
        bool hasRankOf(const Entry& other) const
        {
            return m_priority == other.m_priority && m_shareStep == other.m_shareStep && m_second == other.m_second;
        }

        friend bool operator<(const Entry& a, const Entry& b)
        {
            if (a.m_priority != b.m_priority)
                return a.m_priority < b.m_priority;
            if (a.m_shareStep != b.m_shareStep)
                return a.m_shareStep > b.m_shareStep;
            if (a.m_second != b.m_second)
                return a.m_second > b.m_second;
            if (a.m_size != b.m_size)
                return a.m_size < b.m_size;
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
    /// Task of the same rank that fills the worker better than the given one, among a bounded number of queues.
    TaskIndex betterFilling(TaskIndex, WorkerIndex, const Resources& need) const;
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
    /// Searches for victims that are left in this step, urgent work excepted.
    unsigned m_searchesLeft = 0;
};

} // namespace sapphiredale::placement
