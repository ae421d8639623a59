// Implementation of BasicDomainScheduler: counters, snapshot and explanations. Included by DomainSchedulerImpl.h only.
#pragma once

#include "ownership/DomainScheduler.h"

namespace sapphiredale::ownership {

template <CellType Cell> std::uint64_t BasicDomainScheduler<Cell>::counted(CountedReason reason) const
{
    return m_counters.value(reason) + m_lease.counters().value(reason) + m_workers.counters().value(reason)
        + m_appends.counters().value(reason);
}

template <CellType Cell>
placement::Explanation BasicDomainScheduler<Cell>::explain(const TaskId& task, TimePoint now) const
{
    placement::Explanation held;
    held.m_state = placement::Explanation::State::Waiting;
    const auto instance = m_instances.find(task);
    if (instance != m_instances.end() && !instance->second.m_submitted) {
        held.m_reason = holdReason(task, instance->second, classOf(workloadOf(task)), now);
        held.m_detail = "The instance is held back by the ownership rules of its failure domain.";
        const HomeMove* move = m_homes.pendingMove(task);
        if (move)
            held.m_detail += " Its former home is " + move->m_from.value() + ".";
        for (const WorkerId& worker : m_guard.unaccounted())
            held.m_release += (held.m_release.empty() ? "a report or the proven end of " : ", ") + worker.value();
        if (!held.m_reason.empty())
            return held;
    }
    const JobId job { std::string(ownerOfTask(task)) };
    if (m_heldJobs.contains(job) && !m_live.contains(task)) {
        held.m_reason = streamIsFresh() ? "unaccounted-worker" : "stream-not-read";
        held.m_detail = "The job is held back until it is known which of its tasks run or have ended.";
        held.m_release = streamIsFresh() ? "reports or proven ends of all workers" : "a read of the domain's stream";
        return held;
    }
    return m_cell.explain(task);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::addStatusOfWorkers(DomainSnapshot& snapshot, TimePoint now) const
{
    for (const auto& [name, spec] : m_currentWorkers) {
        WorkerStatus status;
        status.m_worker = name;
        status.m_epoch = m_lease.epochOn(name, now);
        status.m_leaseHeld = status.m_epoch != 0;
        status.m_reported = m_workers.hasReported(name);
        status.m_accounted = !m_guard.unaccounted().contains(name);
        status.m_available = m_available.contains(name);
        status.m_tasks = m_workers.tasks(name).size();
        status.m_pendingCommands = m_workers.pendingCommands(name);
        snapshot.m_workers.push_back(std::move(status));
    }
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::addStatusOfTasks(DomainSnapshot& snapshot, TimePoint now) const
{
    const auto add = [&](const TaskId& task) {
        TaskStatus status;
        status.m_task = task;
        const auto live = m_live.find(task);
        if (live != m_live.end()) {
            status.m_worker = live->second.m_worker;
            status.m_attempt = live->second.m_attempt;
            status.m_state = nameOf(TaskState::Starting);
            const auto& tasks = m_workers.tasks(live->second.m_worker);
            const auto report = tasks.find(task);
            if (report != tasks.end()) {
                status.m_state = nameOf(report->second.m_state);
                status.m_address = report->second.m_address;
                status.m_usage = report->second.m_usage;
                status.m_declared = report->second.m_declared;
            }
        } else {
            const placement::Explanation why = explain(task, now);
            status.m_state = "waiting";
            status.m_reason = why.m_reason;
            status.m_detail = why.m_detail;
            status.m_release = why.m_release;
        }
        snapshot.m_tasks.push_back(std::move(status));
    };
    const auto addJob = [&](const placement::JobRequest& request, const std::map<TaskId, TaskEnded>& ends) {
        for (std::uint32_t i = 0; i < request.m_taskCount; ++i) {
            const TaskId task(request.m_job.value() + '/' + std::to_string(i));
            const auto end = ends.find(task);
            const bool done = end != ends.end() && end->second.m_state == TaskState::Ended;
            if (!done && !m_live.contains(task))
                add(task);
        }
    };
    for (const auto& [task, live] : m_live)
        add(task);
    for (const auto& [task, instance] : m_instances) {
        if (!m_live.contains(task))
            add(task);
    }
    for (const auto& [job, open] : m_ledger.openJobs())
        addJob(open.m_request, open.m_ends);
    for (const auto& [job, request] : m_memoryJobs)
        addJob(request, {});
}

template <CellType Cell> DomainSnapshot BasicDomainScheduler<Cell>::snapshot(TimePoint now) const
{
    constexpr std::array<std::string_view, 5> phases { "standby", "recovering", "active", "releasing", "released" };
    DomainSnapshot snapshot;
    snapshot.m_phase = phases[static_cast<std::size_t>(m_phase)];
    snapshot.m_epoch = schedulerEpoch(now);
    snapshot.m_version = m_configuration.m_version;
    snapshot.m_leaseEnd = m_lease.leaseEnd();
    snapshot.m_streamCaughtUp = streamIsFresh();
    snapshot.m_openJobs = m_ledger.openJobs().size();
    snapshot.m_heldJobs = m_heldJobs.size();
    snapshot.m_pendingAppends = m_appends.size();
    snapshot.m_pendingSubmissions = m_submissions.size();
    if (inTerm()) {
        addStatusOfWorkers(snapshot, now);
        addStatusOfTasks(snapshot, now);
    }
    return snapshot;
}

} // namespace sapphiredale::ownership
