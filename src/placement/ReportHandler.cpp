// Matching of reports with attempts.

#include "placement/ReportHandler.h"

namespace sapphiredale::placement {

namespace {

    /// A task that has run this long counts as evidence that its worker works.
    constexpr Duration stableRun = std::chrono::seconds(30);

} // namespace

void ReportHandler::taskReported(const WorkerId& workerId, const TaskReport& report, TimePoint now)
{
    const WorkerIndex worker = m_state.m_workers.find(workerId);
    if (worker == noIndex)
        return outdated();
    const TaskIndex stray = m_state.findStray(report.m_task, report.m_attempt, worker);
    if (stray != noIndex) {
        if (isFinal(report.m_state))
            m_lifecycle.attemptEnded(stray, report.m_state, now);
        return;
    }
    const TaskIndex index = m_state.findTask(report.m_task);
    if (index == noIndex)
        return unknownTask(worker, report, now);
    const Task& task = m_state.m_tasks[index];
    if (!occupies(task.m_phase))
        withoutAttempt(index, worker, report, now);
    else if (report.m_attempt == task.m_attempt && worker == task.m_worker)
        presentAttempt(index, report, now);
    else
        otherAttempt(index, worker, report, now);
}

void ReportHandler::unknownTask(WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    if (isFinal(report.m_state)) {
        m_state.rememberEarlyEnd(report.m_task, { report.m_state, report.m_attempt });
        return;
    }
    const auto early = m_state.m_earlyEnds.find(report.m_task);
    if (early != m_state.m_earlyEnds.end() && report.m_attempt <= early->second.m_attempt)
        return outdated();
    const TaskIndex index = m_state.addTask(report.m_task);
    const auto owner = m_state.m_workloadNames.find(WorkloadId(std::string(ownerOf(report.m_task))));
    if (owner != m_state.m_workloadNames.end()
        && m_state.policyOf(m_state.m_workloads[owner->second]).m_kind == ClassKind::Service) {
        const JobIndex job = m_intake.serviceJob(owner->second);
        m_state.m_tasks[index].m_job = job;
        m_state.m_tasks[index].m_workload = owner->second;
        m_state.m_jobs[job].m_tasks.push_back(index);
    }
    m_lifecycle.adopt(index, worker, report, now);
}

void ReportHandler::presentAttempt(TaskIndex index, const TaskReport& report, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    if (isFinal(report.m_state)) {
        if (report.m_state == TaskState::Ended)
            m_learning.runEnded(task, now);
        m_lifecycle.attemptEnded(index, report.m_state, now);
        return;
    }
    // A report that was overtaken by a newer one cannot move the state backwards.
    if (report.m_state == TaskState::Starting)
        return;
    Worker& worker = m_state.m_workers.mutableAt(task.m_worker);
    if (task.m_phase == Phase::Starting) {
        --worker.m_starting;
        task.m_phase = Phase::Running;
    }
    if (task.m_phase == Phase::Running && report.m_state == TaskState::Checkpointing)
        m_lifecycle.checkpointSeen(index, now);
    if (task.m_failures > 0 && task.m_phase == Phase::Running && now - task.m_since >= stableRun
        && runsForever(m_state.policyOf(task).m_kind))
        task.m_failures = 0; // The next restart of a service begins with a short delay again.
    // Tasks that started before the first failure do not show that the worker still starts tasks well.
    const bool isWitness = worker.m_health == Health::Probation
        ? worker.m_probationTask == index
        : !worker.m_evidence.empty() && task.m_since > worker.m_evidenceSince;
    if (isWitness && task.m_phase == Phase::Running && now - task.m_since >= stableRun)
        m_quarantine.succeeded(task, task.m_worker);
    m_learning.usageReported(task, report.m_usage, now);
}

void ReportHandler::otherAttempt(TaskIndex index, WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    const Task& task = m_state.m_tasks[index];
    if (report.m_attempt > task.m_attempt) {
        // A former owner started a newer attempt: that one is in force, and the one known here must end.
        m_lifecycle.supersede(index, now);
        takeOver(index, worker, report, now);
        return;
    }
    if (isFinal(report.m_state) || report.m_attempt <= task.m_finalAttempt)
        return outdated();
    m_lifecycle.stopStray(report.m_task, worker, report, now);
}

void ReportHandler::withoutAttempt(TaskIndex index, WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    Task& task = m_state.m_tasks[index];
    if (report.m_attempt <= task.m_finalAttempt)
        return outdated();
    const bool isClosed = task.m_phase == Phase::Finished || task.m_phase == Phase::Failed;
    if (isClosed || report.m_attempt < task.m_attempt) {
        if (isFinal(report.m_state))
            outdated();
        else
            m_lifecycle.stopStray(report.m_task, worker, report, now);
        return;
    }
    takeOver(index, worker, report, now);
}

void ReportHandler::takeOver(TaskIndex index, WorkerIndex worker, const TaskReport& report, TimePoint now)
{
    m_lifecycle.adopt(index, worker, report, now);
    if (isFinal(report.m_state))
        m_lifecycle.attemptEnded(index, report.m_state, now);
}

void ReportHandler::taskAbsent(const WorkerId& workerId, const TaskId& id, std::uint32_t attempt, TimePoint now)
{
    const WorkerIndex worker = m_state.m_workers.find(workerId);
    TaskIndex index = m_state.findStray(id, attempt, worker);
    if (index == noIndex)
        index = m_state.findTask(id);
    if (index == noIndex || worker == noIndex)
        return outdated();
    const Task& task = m_state.m_tasks[index];
    if (!occupies(task.m_phase) || task.m_attempt != attempt || task.m_worker != worker)
        return outdated();
    m_lifecycle.attemptLost(index, Reason::TaskAbsent, now);
}

void ReportHandler::startRefused(const TaskId& id, std::uint32_t attempt, const WorkerId& workerId, TimePoint now)
{
    const TaskIndex index = m_state.findTask(id);
    if (index == noIndex)
        return outdated();
    const Task& task = m_state.m_tasks[index];
    if (!occupies(task.m_phase) || task.m_attempt != attempt || task.m_worker != m_state.m_workers.find(workerId))
        return outdated();
    m_lifecycle.startRefused(index, now);
}

} // namespace sapphiredale::placement
