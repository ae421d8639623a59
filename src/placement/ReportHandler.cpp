// Matches reports to attempts.

#include "placement/ReportHandler.h"

namespace sapphiredale::placement {

namespace {

    /// A task that has run this long shows that its worker is healthy.
    constexpr Duration minStableRunTime = std::chrono::seconds(30);

} // namespace

void ReportHandler::handleTaskReport(const WorkerId& workerId, const TaskReport& report, TimePoint now)
{
    const WorkerIndex worker = m_state.m_workers.find(workerId);
    if (worker == noIndex)
        return countOutdatedReport();
    const TaskIndex stray = m_state.findStray(report.m_task, report.m_attempt, worker);
    if (stray != noIndex) {
        if (isFinal(report.m_state))
            m_lifecycle.handleAttemptEnd(stray, report.m_state, now);
        return;
    }
    const TaskIndex index = m_state.findTask(report.m_task);
    if (index == noIndex)
        return handleUnknownTask(worker, report, now);
    const Task& task = m_state.m_tasks[index];
    if (!occupies(task.m_phase))
        handleInactiveTask(index, worker, report, now);
    else if (report.m_attempt == task.m_attempt && worker == task.m_worker)
        handleCurrentAttempt(index, report, now);
    else
        handleOtherAttempt(index, worker, report, now);
}

void ReportHandler::handleUnknownTask(WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    if (isFinal(report.m_state)) {
        m_state.recordEarlyResult(report.m_task, { report.m_state, report.m_attempt });
        return;
    }
    const auto early = m_state.m_earlyResults.find(report.m_task);
    if (early != m_state.m_earlyResults.end() && report.m_attempt <= early->second.m_attempt)
        return countOutdatedReport();
    const TaskIndex index = m_state.addTask(report.m_task);
    const auto owner = m_state.m_workloadIndices.find(WorkloadId(std::string(ownerOf(report.m_task))));
    if (owner != m_state.m_workloadIndices.end()
        && m_state.policyOf(m_state.m_workloads[owner->second]).m_kind == ClassKind::Service) {
        const JobIndex job = m_submissions.findOrAddServiceJob(owner->second);
        m_state.m_tasks[index].m_job = job;
        m_state.m_tasks[index].m_workload = owner->second;
        m_state.m_jobs[job].m_tasks.push_back(index);
    }
    m_lifecycle.adopt(index, worker, report, now);
}

void ReportHandler::handleCurrentAttempt(TaskIndex index, const TaskReport& report, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    if (isFinal(report.m_state)) {
        if (report.m_state == TaskState::Ended)
            m_learning.recordRunTime(task, now);
        m_lifecycle.handleAttemptEnd(index, report.m_state, now);
        return;
    }
    // A delayed report must not move the state backwards.
    if (report.m_state == TaskState::Starting)
        return;
    Worker& worker = m_state.m_workers.mutableAt(task.m_worker);
    if (task.m_phase == Phase::Starting) {
        --worker.m_startingTasks;
        task.m_phase = Phase::Running;
    }
    if (task.m_phase == Phase::Running && report.m_state == TaskState::Checkpointing)
        m_lifecycle.markCheckpointing(index, now);
    if (task.m_failures > 0 && task.m_phase == Phase::Running && now - task.m_startedAt >= minStableRunTime
        && runsForever(m_state.policyOf(task).m_kind))
        task.m_failures = 0; // The next restart of a service begins with a short delay again.
    // Tasks that started before the first failure do not show that the worker still starts tasks well.
    const bool showsWorkerHealth = worker.m_health == Health::Probation
        ? worker.m_probationTask == index
        : !worker.m_failedJobs.empty() && task.m_startedAt > worker.m_failuresSince;
    if (showsWorkerHealth && task.m_phase == Phase::Running && now - task.m_startedAt >= minStableRunTime)
        m_quarantine.recordSuccess(task, task.m_worker);
    m_learning.applyUsageReport(task, report.m_usage, now);
}

void ReportHandler::handleOtherAttempt(TaskIndex index, WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    const Task& task = m_state.m_tasks[index];
    if (report.m_attempt > task.m_attempt) {
        // A former owner started a newer attempt: that one is in force, and the one known here must end.
        m_lifecycle.supersede(index, now);
        adoptAttempt(index, worker, report, now);
        return;
    }
    if (isFinal(report.m_state) || report.m_attempt <= task.m_finalAttempt)
        return countOutdatedReport();
    m_lifecycle.stopStray(report.m_task, worker, report, now);
}

void ReportHandler::handleInactiveTask(TaskIndex index, WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    if (report.m_attempt <= task.m_finalAttempt)
        return countOutdatedReport();
    const bool isClosed = task.m_phase == Phase::Finished || task.m_phase == Phase::Failed;
    if (isClosed || report.m_attempt < task.m_attempt) {
        if (isFinal(report.m_state))
            countOutdatedReport();
        else
            m_lifecycle.stopStray(report.m_task, worker, report, now);
        return;
    }
    adoptAttempt(index, worker, report, now);
}

void ReportHandler::adoptAttempt(TaskIndex index, WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    m_lifecycle.adopt(index, worker, report, now);
    if (isFinal(report.m_state))
        m_lifecycle.handleAttemptEnd(index, report.m_state, now);
}

void ReportHandler::handleTaskAbsent(const WorkerId& workerId, const TaskId& id, std::uint32_t attempt, TimePoint now)
{
    const WorkerIndex worker = m_state.m_workers.find(workerId);
    TaskIndex index = m_state.findStray(id, attempt, worker);
    if (index == noIndex)
        index = m_state.findTask(id);
    if (index == noIndex || worker == noIndex)
        return countOutdatedReport();
    const Task& task = m_state.m_tasks[index];
    if (!occupies(task.m_phase) || task.m_attempt != attempt || task.m_worker != worker)
        return countOutdatedReport();
    m_lifecycle.handleAttemptLoss(index, Reason::TaskAbsent, now);
}

void ReportHandler::handleStartRefused(const TaskId& id, std::uint32_t attempt, const WorkerId& workerId, TimePoint now)
{
    const TaskIndex index = m_state.findTask(id);
    if (index == noIndex)
        return countOutdatedReport();
    const Task& task = m_state.m_tasks[index];
    if (!occupies(task.m_phase) || task.m_attempt != attempt || task.m_worker != m_state.m_workers.find(workerId))
        return countOutdatedReport();
    m_lifecycle.handleStartRefused(index, now);
}

} // namespace sapphiredale::placement
