// Handles reports of workers: updates of running tasks, final states, adoption of tasks that this cell did not start.
#pragma once

#include "placement/SubmissionHandler.h"
#include "placement/UsageLearning.h"

namespace sapphiredale::placement {

/// Applies reports; late, repeated and reordered reports have no effect.
class ReportHandler {
public:
    ReportHandler(CellState& state, SubmissionHandler& submissions, TaskLifecycle& lifecycle, Quarantine& quarantine,
        UsageLearning& learning)
        : m_state(state)
        , m_submissions(submissions)
        , m_lifecycle(lifecycle)
        , m_quarantine(quarantine)
        , m_learning(learning)
    {
    }

    void handleTaskReport(const WorkerId&, const TaskReport&, TimePoint now);
    void handleTaskAbsent(const WorkerId&, const TaskId&, std::uint32_t attempt, TimePoint now);
    void handleStartRefused(const TaskId&, std::uint32_t attempt, const WorkerId&, TimePoint now);

private:
    void handleUnknownTask(WorkerIndex, const TaskReport&, TimePoint now);
    void handleCurrentAttempt(TaskIndex, const TaskReport&, TimePoint now);
    /// A report of another attempt than the present one, while the task occupies a worker.
    void handleOtherAttempt(TaskIndex, WorkerIndex, const TaskReport&, TimePoint now);
    /// A report while the task does not occupy a worker.
    void handleInactiveTask(TaskIndex, WorkerIndex, const TaskReport&, TimePoint now);
    void adoptAttempt(TaskIndex, WorkerIndex, const TaskReport&, TimePoint now);
    void countOutdatedReport() { m_state.m_counters.count(Reason::ReportOutdated); }

    CellState& m_state;
    SubmissionHandler& m_submissions;
    TaskLifecycle& m_lifecycle;
    Quarantine& m_quarantine;
    UsageLearning& m_learning;
};

} // namespace sapphiredale::placement
