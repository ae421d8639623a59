// Recognizes workers that fail what they start, and tells them from jobs that fail wherever they run.
#pragma once

#include "placement/CellState.h"

namespace sapphiredale::placement {

/// Health of workers from the results of tasks.
class Quarantine {
public:
    explicit Quarantine(CellState& state)
        : m_state(state)
    {
    }

    /// A task failed or its start was refused. Puts the worker into quarantine when the evidence suffices.
    void failed(const Task&, WorkerIndex, TimePoint now);
    /// A task ended well or has run for a while.
    void succeeded(const Task&, WorkerIndex);
    /// A start on a worker that is on probation.
    void started(TaskIndex, WorkerIndex);
    /// The attempt is over without evidence either way, for example by a preemption.
    void withoutResult(TaskIndex, WorkerIndex);
    /// The quarantine of the worker may be over.
    void timerFired(WorkerIndex, TimePoint now);

private:
    static constexpr std::size_t jobsForQuarantine = 3;
    /// At most this part of the workers is in quarantine: when more fail, the fault is more likely elsewhere.
    static constexpr std::uint32_t maxQuarantinedPercent = 20;

    bool failsElsewhere(JobIndex, WorkerIndex) const;
    std::size_t weighEvidence(const Worker&, WorkerIndex) const;
    void quarantine(WorkerIndex, TimePoint now);

    CellState& m_state;
};

} // namespace sapphiredale::placement
