// Reports of workers: updates of running tasks, final states, recovery of tasks that this cell did not start.
#pragma once

#include "placement/Intake.h"
#include "placement/UsageLearning.h"

namespace sapphiredale::placement {

/// Applies reports; those that are late, repeated or crossed have no effect.
class ReportHandler {
public:
    ReportHandler(
        CellState& state, Intake& intake, TaskLifecycle& lifecycle, Quarantine& quarantine, UsageLearning& learning)
        : m_state(state)
        , m_intake(intake)
        , m_lifecycle(lifecycle)
        , m_quarantine(quarantine)
        , m_learning(learning)
    {
    }

    void taskReported(const WorkerId&, const TaskReport&, TimePoint now);
    void taskAbsent(const WorkerId&, const TaskId&, std::uint32_t attempt, TimePoint now);
    void startRefused(const TaskId&, std::uint32_t attempt, const WorkerId&, TimePoint now);

private:
    void unknownTask(WorkerIndex, const TaskReport&, TimePoint now);
    void presentAttempt(TaskIndex, const TaskReport&, TimePoint now);
    /// A report of another attempt than the present one, while the task occupies a worker.
    void otherAttempt(TaskIndex, WorkerIndex, const TaskReport&, TimePoint now);
    /// A report while the task does not occupy a worker.
    void withoutAttempt(TaskIndex, WorkerIndex, const TaskReport&, TimePoint now);
    void takeOver(TaskIndex, WorkerIndex, const TaskReport&, TimePoint now);
    void outdated() { m_state.m_counters.count(Reason::ReportOutdated); }

    CellState& m_state;
    Intake& m_intake;
    TaskLifecycle& m_lifecycle;
    Quarantine& m_quarantine;
    UsageLearning& m_learning;
};

} // namespace sapphiredale::placement
