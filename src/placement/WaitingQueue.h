// The queues of waiting tasks, one per workload, and which of them can be tried.
#pragma once

#include "placement/CellState.h"

namespace sapphiredale::placement {

/// First-in first-out queues. A queue whose head cannot start is blocked until an event could change that, so that a
/// step costs nothing for the length of the queues.
class WaitingQueue {
public:
    explicit WaitingQueue(CellState& state)
        : m_state(state)
    {
    }

    void pushBack(TaskIndex);
    void pushFront(TaskIndex);
    void remove(TaskIndex);

    /// Makes a workload with waiting tasks a candidate of the present step.
    void makeReady(WorkloadIndex);
    /// Records why the head waits; it is tried again when capacity or quota is released or at the given time.
    void block(WorkloadIndex, Reason, TimePoint retryAt);
    /// Makes those blocked queues ready that the events since the last step may have released.
    void unblock(TimePoint now);
    /// Makes every blocked queue ready, for example after new policies.
    void unblockAll();
    /// Earliest retry of a blocked queue.
    TimePoint nextRetry() const;

private:
    void link(Workload&, TaskIndex, bool front);
    bool mayStartNow(const Workload&) const;

    CellState& m_state;
};

} // namespace sapphiredale::placement
