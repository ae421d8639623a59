// Implementation of BasicDomainScheduler: worker reports, commands and emitted actions. Included by
// DomainSchedulerImpl.h only.
#pragma once

#include "ownership/DomainScheduler.h"

namespace sapphiredale::ownership {

template <CellType Cell>
void BasicDomainScheduler<Cell>::leaseGranted(
    const WorkerId& worker, RequestNumber request, const LeaseGrant& grant, TimePoint now)
{
    if (!m_lease.handleGrant(worker, request, grant.m_epoch, now))
        return;
    const auto host = m_hosts.find(worker);
    if (host != m_hosts.end() && host->second.m_state == HostState::Gone) {
        // The host list is wrong or late: the worker answers, so its absence is counted from now.
        host->second.m_goneSince = now;
        host->second.m_endProven = false;
        m_lease.setEnded(worker, false);
    }
    const ReportChanges changes = m_workers.merge(grant.m_report, now);
    if (inTerm())
        applyReport(worker, changes, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::leaseRejected(
    const WorkerId& worker, RequestNumber request, const LeaseRejection& rejection, TimePoint now)
{
    m_lease.handleRejection(worker, request, rejection, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::leaseTimedOut(const WorkerId& worker, RequestNumber request, TimePoint now)
{
    m_lease.handleTimeout(worker, request, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::commandsAnswered(
    const WorkerId& worker, RequestNumber request, const CommandsAnswer& answer, TimePoint now)
{
    const std::vector<CommandOutcome> outcomes = m_workers.handleAnswer(worker, request, answer, now);
    if (const auto* refusal = std::get_if<CommandsRefusal>(&answer)) {
        if (*refusal == CommandsRefusal::StaleEpoch)
            m_lease.handleFencing(worker, now);
        else
            m_lease.renewSoon(worker, now);
    }
    if (!inTerm())
        return;
    for (const CommandOutcome& outcome : outcomes)
        handleOutcome(worker, outcome, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::commandsTimedOut(const WorkerId& worker, RequestNumber request, TimePoint now)
{
    m_workers.handleTimeout(worker, request, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::applyReport(const WorkerId& worker, const ReportChanges& changes, TimePoint now)
{
    if (changes.m_restarted) {
        forgetTasksOf(worker);
        m_cell.removeWorker(worker, now);
        const auto current = m_currentWorkers.find(worker);
        if (current != m_currentWorkers.end())
            m_cell.setWorker(current->second, now);
    }
    if (!changes.m_merged)
        return;
    if (m_guard.account(worker))
        m_holdsChanged = true;
    for (const TaskReport& report : changes.m_missing) {
        const auto live = m_live.find(report.m_task);
        if (live == m_live.end() || live->second.m_worker != worker || live->second.m_attempt != report.m_attempt)
            continue;
        m_live.erase(live);
        m_cell.taskAbsent(worker, report.m_task, report.m_attempt, now);
        withdrawIfHeld(report.m_task, now);
    }
    for (const TaskReport& report : changes.m_changed)
        applyTaskReport(worker, report, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::applyTaskReport(const WorkerId& worker, const TaskReport& report, TimePoint now)
{
    const TaskId& task = report.m_task;
    // An end says nothing about a later attempt, which may run on a worker that has not reported.
    if (!isFinal(report.m_state))
        m_guard.locate(task);
    const auto former = m_formerWorkers.find(worker);
    if (former != m_formerWorkers.end() && m_draining.insert(worker).second)
        m_cell.setWorker(former->second, now);
    if (isFinal(report.m_state)) {
        applyFinalState(worker, report, now);
        return;
    }

    const auto live = m_live.find(task);
    if (live != m_live.end() && live->second.m_worker != worker) {
        const LiveTask other = live->second;
        const std::string reason = "another attempt of the task runs on another worker";
        if (other.m_attempt >= report.m_attempt) {
            m_cell.taskReported(worker, report, now);
            enqueueStop(worker, task, report.m_attempt, reason, CountedReason::DuplicateTaskStopped, now);
            return;
        }
        enqueueStop(other.m_worker, task, other.m_attempt, reason, CountedReason::DuplicateTaskStopped, now);
    }
    m_live[task] = { worker, report.m_attempt };
    m_cell.taskReported(worker, report, now);
    if (shouldRunHere(task))
        return;
    m_cell.withdrawInstance(task, now);
    enqueueStop(worker, task, report.m_attempt, "the task is not to run in this domain",
        CountedReason::UndeclaredTaskStopped, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::applyFinalState(const WorkerId& worker, const TaskReport& report, TimePoint now)
{
    const auto live = m_live.find(report.m_task);
    if (live != m_live.end() && live->second.m_worker == worker && live->second.m_attempt <= report.m_attempt)
        m_live.erase(live);
    m_cell.taskReported(worker, report, now);
    recordTaskEnd(worker, report, now);
    withdrawIfHeld(report.m_task, now);
}

template <CellType Cell> bool BasicDomainScheduler<Cell>::shouldRunHere(const TaskId& task) const
{
    if (m_instances.contains(task))
        return true;
    const JobId job { std::string(ownerOfTask(task)) };
    if (m_ledger.endedJob(job))
        return false;
    // A job without a record is one of durability "memory" that a former scheduler accepted.
    return m_ledger.openJob(job) || m_memoryJobs.contains(job) || homeOfJob(job) == domain();
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::enqueueStop(const WorkerId& worker, const TaskId& task, std::uint32_t attempt,
    const std::string& reason, CountedReason counted, TimePoint now)
{
    WorkerCommand command;
    command.m_operation = CommandOperation::Stop;
    command.m_task = task;
    command.m_attempt = attempt;
    command.m_reason = reason;
    m_counters.add(counted);
    enqueue(worker, command, now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::stopTasksOf(const JobId& job, TimePoint now)
{
    const TaskId first(job.value() + '/');
    const TaskId last(job.value() + static_cast<char>('/' + 1));
    const std::map<TaskId, LiveTask> live(m_live.lower_bound(first), m_live.lower_bound(last));
    for (const auto& [task, place] : live)
        enqueueStop(
            place.m_worker, task, place.m_attempt, "the job has ended", CountedReason::UndeclaredTaskStopped, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::recordTaskEnd(const WorkerId& worker, const TaskReport& report, TimePoint now)
{
    const TaskAttempt attempt { report.m_task, report.m_attempt };
    if (m_ledger.hasEnd(attempt)) {
        m_workers.acknowledge(worker, attempt, now);
        return;
    }
    const auto [position, added] = m_endsInAppend.try_emplace(attempt);
    position->second.insert(worker);
    if (added)
        append(TaskEnded { report.m_task, report.m_attempt, report.m_state, worker }, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::handleOutcome(const WorkerId& worker, const CommandOutcome& outcome, TimePoint now)
{
    const WorkerCommand& command = outcome.m_command;
    if (outcome.m_ok)
        return;
    switch (command.m_operation) {
    case CommandOperation::Start: {
        const auto live = m_live.find(command.m_task);
        if (live == m_live.end() || live->second.m_worker != worker || live->second.m_attempt != command.m_attempt)
            return;
        m_live.erase(live);
        m_cell.startRefused(command.m_task, command.m_attempt, worker, outcome.m_reason, now);
        return;
    }
    case CommandOperation::Stop:
        handleFailedStop(worker, outcome, now);
        return;
    case CommandOperation::Checkpoint: {
        WorkerCommand stop = command;
        stop.m_operation = CommandOperation::Stop;
        enqueue(worker, stop, now);
        return;
    }
    case CommandOperation::Throttle:
        return;
    }
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::handleFailedStop(const WorkerId& worker, const CommandOutcome& outcome, TimePoint now)
{
    const WorkerCommand& command = outcome.m_command;
    const auto live = m_live.find(command.m_task);
    if (live == m_live.end() || live->second.m_worker != worker || live->second.m_attempt != command.m_attempt)
        return;
    const auto& tasks = m_workers.tasks(worker);
    const auto report = tasks.find(command.m_task);
    if (report != tasks.end() && report->second.m_attempt == command.m_attempt && !isFinal(report->second.m_state)) {
        m_delayedCommands.push_back({ now + std::chrono::seconds(1), worker, command });
        return;
    }
    // The worker processes commands in order, so a task that it does not know neither runs nor will run.
    TaskReport stopped;
    stopped.m_task = command.m_task;
    stopped.m_attempt = command.m_attempt;
    stopped.m_state = TaskState::Stopped;
    stopped.m_reason = outcome.m_reason;
    applyFinalState(worker, stopped, now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::runCell(TimePoint now)
{
    // Executing an action can allow another one, for example when a start is withdrawn before it was sent.
    constexpr int maxRounds = 8;
    for (int round = 0; round < maxRounds; ++round) {
        const std::vector<placement::PlacementAction> actions = m_cell.step(now);
        if (actions.empty())
            return;
        for (const placement::PlacementAction& action : actions)
            std::visit([&](const auto& typed) { execute(typed, now); }, action);
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::execute(const placement::StartTask& start, TimePoint now)
{
    const auto workload = m_workloads.find(start.m_workload);
    const ClassPolicy* policy = workload == m_workloads.end() ? nullptr : classOf(workload->second);
    const auto instance = m_instances.find(start.m_task);
    const JobId job { std::string(ownerOfTask(start.m_task)) };
    if (instance != m_instances.end() && !instanceMayStart(start.m_task, instance->second, policy, now)) {
        m_cell.withdrawInstance(start.m_task, now);
        instance->second.m_submitted = false;
        reportUnsentAsStopped(start.m_worker, start.m_task, start.m_attempt, now);
        return;
    }
    if (m_ledger.endedJob(job)) {
        m_cell.cancelJob(job, now);
        reportUnsentAsStopped(start.m_worker, start.m_task, start.m_attempt, now);
        return;
    }

    m_live[start.m_task] = { start.m_worker, start.m_attempt };
    m_guard.locate(start.m_task);
    WorkerCommand command;
    command.m_operation = CommandOperation::Start;
    command.m_task = start.m_task;
    command.m_attempt = start.m_attempt;
    command.m_resources = start.m_resources;
    if (workload != m_workloads.end()) {
        command.m_program = workload->second->m_program;
        command.m_minion = workload->second->m_minion;
        command.m_lapseStopSeconds = movesAfterLoss(policy) ? policy->m_lapseStopSeconds : 0;
    }
    enqueue(start.m_worker, command, now);
}

/// Reports an attempt that was never sent to its worker as stopped to the placement core.
template <CellType Cell>
void BasicDomainScheduler<Cell>::reportUnsentAsStopped(
    const WorkerId& worker, const TaskId& task, std::uint32_t attempt, TimePoint now)
{
    TaskReport stopped;
    stopped.m_task = task;
    stopped.m_attempt = attempt;
    stopped.m_state = TaskState::Stopped;
    m_cell.taskReported(worker, stopped, now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::execute(const placement::StopTask& stop, TimePoint now)
{
    const auto live = m_live.find(stop.m_task);
    const bool isLive
        = live != m_live.end() && live->second.m_worker == stop.m_worker && live->second.m_attempt == stop.m_attempt;
    // Attempts that ended before they were sent need no command; strays are known by the worker's report.
    if (!isLive && !m_workers.tasks(stop.m_worker).contains(stop.m_task))
        return;
    WorkerCommand command;
    command.m_operation = CommandOperation::Stop;
    command.m_task = stop.m_task;
    command.m_attempt = stop.m_attempt;
    command.m_reason = stop.m_reason;
    enqueue(stop.m_worker, command, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::execute(const placement::CheckpointTask& checkpoint, TimePoint now)
{
    WorkerCommand command;
    command.m_operation = CommandOperation::Checkpoint;
    command.m_task = checkpoint.m_task;
    command.m_attempt = checkpoint.m_attempt;
    command.m_reason = checkpoint.m_reason;
    enqueue(checkpoint.m_worker, command, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::execute(const placement::ThrottleTask& throttle, TimePoint now)
{
    WorkerCommand command;
    command.m_operation = CommandOperation::Throttle;
    command.m_task = throttle.m_task;
    command.m_attempt = throttle.m_attempt;
    command.m_cpuMillis = throttle.m_cpuMillis;
    enqueue(throttle.m_worker, command, now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::execute(const placement::FailJob& failed, TimePoint now)
{
    endJob(failed.m_job, JobOutcome::Failed, failed.m_error.m_detail, now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::execute(const placement::FinishJob& finished, TimePoint now)
{
    endJob(finished.m_job, JobOutcome::Finished, {}, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::enqueue(const WorkerId& worker, const WorkerCommand& command, TimePoint now)
{
    const std::optional<CommandOutcome> outcome = m_workers.enqueue(worker, command, now);
    if (!outcome)
        return;
    if (command.m_operation == CommandOperation::Start) {
        handleOutcome(worker, *outcome, now);
        return;
    }
    // The start was never sent, so the task ends here.
    TaskReport stopped;
    stopped.m_task = command.m_task;
    stopped.m_attempt = command.m_attempt;
    stopped.m_state = TaskState::Stopped;
    stopped.m_reason = command.m_reason;
    applyFinalState(worker, stopped, now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::emitLease(const LeaseAction& action, TimePoint now)
{
    const std::string& holder = m_settings.m_lease.m_holder;
    if (const auto* release = std::get_if<LeaseRelease>(&action)) {
        m_actions.emplace_back(
            SendRelease { release->m_worker, m_workers.addressOf(release->m_worker), holder, release->m_epoch });
        return;
    }
    const LeaseRequest& request = *std::get_if<LeaseRequest>(&action);
    SendLease lease;
    lease.m_request = request.m_request;
    lease.m_worker = request.m_worker;
    lease.m_holder = holder;
    lease.m_epoch = request.m_epoch;
    lease.m_ttl = request.m_ttl;
    lease.m_wait = request.m_wait;
    lease.m_deadline = request.m_deadline;
    m_workers.complete(lease, now);
    ContactSent& sent = m_contactSent[request.m_worker];
    // Each contact counts once. A worker without a held lease is not told of any, so that its lapse can be assumed.
    if (inTerm() && m_lease.holds(request.m_worker, now) && contactIsRecent(now) && *m_contactAt > sent.m_contact) {
        lease.m_externalContact = true;
        sent = { *m_contactAt, now };
    }
    m_actions.emplace_back(std::move(lease));
}

template <CellType Cell> void BasicDomainScheduler<Cell>::emitCommands(TimePoint now)
{
    for (const DelayedCommand& delayed : std::vector<DelayedCommand>(m_delayedCommands)) {
        if (delayed.m_due <= now)
            enqueue(delayed.m_worker, delayed.m_command, now);
    }
    std::erase_if(m_delayedCommands, [&](const DelayedCommand& delayed) { return delayed.m_due <= now; });
    for (const WorkerId& worker : m_workers.workersWithCommands()) {
        const std::uint64_t epoch = m_lease.epochOn(worker, now);
        if (!epoch)
            continue;
        if (std::optional<SendCommands> batch = m_workers.nextBatch(worker, epoch, now))
            m_actions.emplace_back(std::move(*batch));
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::emitAppends(TimePoint now)
{
    for (AppendRecord& append : m_appends.takeDue(now))
        m_actions.emplace_back(std::move(append));
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::reply(
    SubmissionNumber number, const JobId& job, const Result<Unit>& result, bool durable)
{
    m_actions.emplace_back(ReplyToSubmitter { number, job, result, durable && succeeded(result) });
}

template <CellType Cell> const WorkloadSpec* BasicDomainScheduler<Cell>::findWorkload(const WorkloadId& name) const
{
    const auto found = m_workloads.find(name);
    return found == m_workloads.end() ? nullptr : found->second;
}

template <CellType Cell> const WorkloadSpec* BasicDomainScheduler<Cell>::workloadOf(const TaskId& task) const
{
    const std::string owner(ownerOfTask(task));
    if (const WorkloadSpec* service = findWorkload(WorkloadId(owner)))
        return service;
    const JobId job(owner);
    if (const OpenJob* open = m_ledger.openJob(job))
        return findWorkload(open->m_request.m_workload);
    const auto memory = m_memoryJobs.find(job);
    return memory == m_memoryJobs.end() ? nullptr : findWorkload(memory->second.m_workload);
}

template <CellType Cell> const ClassPolicy* BasicDomainScheduler<Cell>::classOf(const WorkloadSpec* workload) const
{
    if (!workload)
        return nullptr;
    const auto found = m_classes.find(workload->m_class);
    return found == m_classes.end() ? nullptr : found->second;
}

} // namespace sapphiredale::ownership
