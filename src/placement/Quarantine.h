// Quarantines workers on which tasks of several jobs fail, as opposed to jobs that fail on every worker.
#pragma once

#include "placement/CellState.h"

namespace sapphiredale::placement {

/// Tracks the health of workers by the results of their tasks.
class Quarantine {
public:
    explicit Quarantine(CellState& state)
        : m_state(state)
    {
    }

    /// Records a failed task or a refused start. Quarantines the worker when tasks of enough distinct jobs failed
    /// there.
    void recordFailure(const Task&, WorkerIndex, TimePoint now);
    /// Records a task that succeeded or has run long enough to show that its worker is healthy.
    void recordSuccess(const Task&, WorkerIndex);
    /// Records a start; on a worker on probation the task decides about the end of the probation.
    void recordStart(TaskIndex, WorkerIndex);
    /// Records the end of an attempt that says nothing about the worker's health, for example a preemption.
    void recordInconclusiveEnd(TaskIndex, WorkerIndex);
    /// Moves the worker from quarantine to probation if the quarantine has expired.
    void checkExpiry(WorkerIndex, TimePoint now);

private:
    static constexpr std::size_t failedJobsForQuarantine = 3;
    /// At most this part of the workers is in quarantine: when more fail, the fault is more likely elsewhere.
    static constexpr std::uint32_t maxQuarantinedPercent = 20;

    bool failsElsewhere(JobIndex, WorkerIndex) const;
    std::size_t countAttributableFailures(const Worker&, WorkerIndex) const;
    void quarantine(WorkerIndex, TimePoint now);

    CellState& m_state;
};

} // namespace sapphiredale::placement
