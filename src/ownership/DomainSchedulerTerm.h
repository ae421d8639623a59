// Implementation of BasicDomainScheduler: configuration, ownership term, workers and recovery. Included by
// DomainSchedulerImpl.h only.
#pragma once

#include "ownership/DomainScheduler.h"
#include "ownership/QuotaShares.h"

#include <algorithm>
#include <cassert>

namespace sapphiredale::ownership {

template <CellType Cell>
BasicDomainScheduler<Cell>::BasicDomainScheduler(const DomainSchedulerSettings& settings)
    : m_settings(settings)
    , m_lease(settings.m_lease)
    , m_workers({ .m_holder = settings.m_lease.m_holder, .m_seed = settings.m_lease.m_seed })
    , m_ledger(settings.m_ledger)
    , m_appends({ .m_author = settings.m_lease.m_holder, .m_seed = settings.m_lease.m_seed })
    , m_guard({ settings.m_lease.m_ttl + settings.m_lease.m_clockMargin })
    , m_cell(settings.m_cell)
{
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::configure(const ActiveConfiguration& configuration, TimePoint now)
{
    const bool hadFile = m_configuration.m_version != 0;
    if (hadFile && configuration.m_version <= m_configuration.m_version)
        return;
    if (hadFile)
        m_homes.addMoves(homeMoves(m_configuration.m_file, configuration.m_file, configuration.m_version));
    m_homes.addMoves(configuration.m_moves);
    m_configuration = configuration;
    m_domainFile = fileForDomain(m_configuration.m_file, domain());

    m_workloads.clear();
    for (const WorkloadSpec& workload : m_configuration.m_file.m_workloads)
        m_workloads.emplace(workload.m_name, &workload);
    m_classes.clear();
    for (const ClassPolicy& policy : m_configuration.m_file.m_classes)
        m_classes.emplace(policy.m_name, &policy);
    m_otherDomains = 0;
    for (const FailureDomainSpec& spec : m_configuration.m_file.m_failureDomains) {
        if (spec.m_lost)
            m_homes.declareLost(spec.m_name);
        else
            m_otherDomains += spec.m_name != domain();
    }
    m_hasMovingServices = std::any_of(m_workloads.begin(), m_workloads.end(),
        [&](const auto& entry) { return entry.second->m_instances > 0 && movesAfterLoss(classOf(entry.second)); });

    applyWorkers(now);
    if (inTerm())
        m_cell.setPolicies(m_domainFile, now);
    buildInstances(now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::applyWorkers(TimePoint now)
{
    const std::map<WorkerId, WorkerSpec> before = std::exchange(m_currentWorkers, {});
    m_formerWorkers.clear();
    for (const WorkerSpec& worker : m_configuration.m_file.m_workers) {
        if (worker.m_failureDomain == domain())
            m_currentWorkers.emplace(worker.m_name, worker);
    }
    for (const WorkerSpec& worker : m_configuration.m_previousWorkers) {
        if (worker.m_failureDomain == domain() && !m_currentWorkers.contains(worker.m_name))
            m_formerWorkers.emplace(worker.m_name, worker);
    }

    std::vector<WorkerId> current;
    std::vector<WorkerId> previous;
    for (const auto& [name, spec] : m_currentWorkers) {
        current.push_back(name);
        m_workers.setWorker(spec);
    }
    for (const auto& [name, spec] : m_formerWorkers)
        m_workers.setWorker(spec);
    for (const WorkerSpec& worker : m_configuration.m_previousWorkers) {
        if (worker.m_failureDomain == domain())
            previous.push_back(worker.m_name);
    }
    m_lease.setWorkers(current, previous, now);
    for (const WorkerId& name : m_workers.workers()) {
        if (m_currentWorkers.contains(name) || m_formerWorkers.contains(name))
            continue;
        if (inTerm())
            handleProvenEnd(name, now);
        m_workers.removeWorker(name);
        m_draining.erase(name);
    }
    if (!inTerm())
        return;

    for (const auto& [name, spec] : m_currentWorkers) {
        m_draining.erase(name);
        const auto known = before.find(name);
        if (known != before.end() && known->second == spec)
            continue;
        // A changed description can reset the availability in the cell.
        m_cell.setWorker(spec, now);
        m_available.erase(name);
    }
    for (const auto& [name, spec] : m_formerWorkers) {
        if (before.contains(name))
            m_draining.insert(name);
    }
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::workerListed(const WorkerId& worker, HostState state, TimePoint now)
{
    HostView& host = m_hosts[worker];
    if (state == HostState::Gone && host.m_state != HostState::Gone)
        host.m_goneSince = now;
    host.m_state = state;
    if (state != HostState::Gone && host.m_endProven) {
        host.m_endProven = false;
        m_lease.setEnded(worker, false);
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::updateHosts(TimePoint now)
{
    // A worker that ended has granted no lease for this time, so every lease on it has expired.
    const Duration proof = m_settings.m_lease.m_ttl + m_settings.m_lease.m_clockMargin;
    for (auto& [worker, host] : m_hosts) {
        if (host.m_state != HostState::Gone || host.m_endProven || host.m_goneSince + proof > now
            || m_lease.holds(worker, now))
            continue;
        host.m_endProven = true;
        m_lease.setEnded(worker, true);
        m_counters.add(CountedReason::WorkerEndProven);
        if (inTerm())
            handleProvenEnd(worker, now);
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::forgetTasksOf(const WorkerId& worker)
{
    std::erase_if(m_live, [&](const auto& entry) { return entry.second.m_worker == worker; });
    m_available.erase(worker);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::handleProvenEnd(const WorkerId& worker, TimePoint now)
{
    forgetTasksOf(worker);
    m_cell.removeWorker(worker, now);
    m_draining.erase(worker);
    const auto current = m_currentWorkers.find(worker);
    if (current != m_currentWorkers.end()) {
        // A new session forgets the report, so that the worker is read in full if it comes back.
        m_workers.removeWorker(worker);
        m_workers.setWorker(current->second);
        m_cell.setWorker(current->second, now);
    }
    m_holdsChanged = m_guard.account(worker) || m_holdsChanged;
}

template <CellType Cell> void BasicDomainScheduler<Cell>::updatePhase(TimePoint now)
{
    const DomainLease::Role role = m_lease.role();
    if (role == DomainLease::Role::Candidate && m_lastRole != role)
        m_workers.startTerm();
    m_lastRole = role;
    if (role == DomainLease::Role::Holder && !inTerm() && m_phase == Phase::Standby)
        startTerm(now);
    else if (role != DomainLease::Role::Holder && inTerm())
        endTerm(now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::startTerm(TimePoint now)
{
    m_phase = Phase::Recovering;
    m_recoverUntil = now + m_settings.m_recoveryWait;
    m_cell = Cell(m_settings.m_cell);
    m_cell.setPolicies(m_domainFile, now);

    std::vector<WorkerId> unaccounted;
    for (const auto& [name, spec] : m_currentWorkers) {
        m_cell.setWorker(spec, now);
        const auto host = m_hosts.find(name);
        if (host == m_hosts.end() || !host->second.m_endProven)
            unaccounted.push_back(name);
    }
    for (const auto& [name, spec] : m_formerWorkers)
        unaccounted.push_back(name);
    m_guard.startTerm(unaccounted, now);
    for (const auto& [job, open] : m_ledger.openJobs())
        m_heldJobs.insert(job);
    m_presentSince.reset();
    m_nextPresence = now;
    buildInstances(now);

    for (const WorkerId& worker : m_workers.workers()) {
        if (!m_workers.hasReported(worker))
            continue;
        ReportChanges changes { .m_merged = true, .m_restarted = false, .m_changed = {}, .m_missing = {} };
        for (const auto& [task, report] : m_workers.tasks(worker))
            changes.m_changed.push_back(report);
        applyReport(worker, changes, now);
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::endTerm(TimePoint now)
{
    m_phase = m_phase == Phase::Releasing ? Phase::Released : Phase::Standby;
    for (const auto& [job, submission] : std::exchange(m_submissions, {}))
        failSubmission(submission, ErrorKind::NotScheduler, now);
    for (const Cancellation& cancellation : std::exchange(m_cancellations, {}))
        reply(cancellation.m_number, cancellation.m_job, Error { ErrorKind::OutcomeUnknown, "ownership ended" }, false);
    m_appends.clear();
    m_available.clear();
    m_draining.clear();
    m_heldJobs.clear();
    m_jobsInCell.clear();
    m_memoryJobs.clear();
    m_endingJobs.clear();
    m_live.clear();
    m_delayedCommands.clear();
    m_unheldSince.clear();
    m_endsInAppend.clear();
    m_releasesInAppend.clear();
    m_takeoversInAppend.clear();
    m_presenceRecord = {};
    if (m_phase == Phase::Released)
        m_lease.release(now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::finishRecovery(TimePoint now)
{
    if (m_phase != Phase::Recovering || (!m_guard.unaccounted().empty() && now < m_recoverUntil))
        return;
    m_phase = Phase::Active;
    // The file declares the former workers removed, which proves the end of those that do not answer.
    for (const auto& [name, spec] : m_formerWorkers) {
        if (!m_workers.hasReported(name))
            m_guard.account(name);
    }
    m_holdsChanged = true;
}

template <CellType Cell> void BasicDomainScheduler<Cell>::beginRelease(TimePoint now)
{
    if (m_phase == Phase::Releasing || m_phase == Phase::Released)
        return;
    m_releaseUntil = now + m_settings.m_releaseTimeout;
    if (inTerm()) {
        m_phase = Phase::Releasing;
        return;
    }
    m_phase = Phase::Released;
    m_lease.release(now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::finishRelease(TimePoint now)
{
    if (m_phase != Phase::Releasing)
        return;
    const bool settled = !m_workers.hasPendingCommands() && m_appends.size() == 0;
    if (settled || now >= m_releaseUntil)
        endTerm(now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::updateAvailability(TimePoint now)
{
    for (const auto& [worker, spec] : m_currentWorkers) {
        const bool held = m_lease.holds(worker, now);
        if (held)
            m_unheldSince.erase(worker);
        else
            m_unheldSince.try_emplace(worker, now);
        const auto host = m_hosts.find(worker);
        const bool live = host == m_hosts.end() || host->second.m_state == HostState::Live;
        const bool available = held && live && m_workers.hasReported(worker);
        if (available == m_available.contains(worker))
            continue;
        m_cell.setWorkerAvailable(worker, available, now);
        if (available)
            m_available.insert(worker);
        else
            m_available.erase(worker);
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::drainFormerWorkers(TimePoint now)
{
    for (const WorkerId& worker : std::set<WorkerId>(m_draining)) {
        if (m_available.erase(worker))
            m_cell.setWorkerAvailable(worker, false, now);
        bool running = false;
        for (const auto& [task, live] : m_live) {
            if (live.m_worker != worker)
                continue;
            running = true;
            const std::string reason = "the file no longer declares the worker";
            enqueueStop(worker, task, live.m_attempt, reason, CountedReason::UndeclaredTaskStopped, now);
        }
        // Without a lease the tasks cannot be stopped; the removal from the file proves their end (design 2.5).
        if (!running || !m_lease.holds(worker, now))
            handleProvenEnd(worker, now);
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::assumeLapses(TimePoint now)
{
    const auto& lease = m_settings.m_lease;
    // A renewal that was sent before may arrive until its request has timed out.
    const Duration late = lease.m_wait + lease.m_answerTimeout + lease.m_clockMargin;
    for (const auto& [worker, since] : m_unheldSince) {
        for (const auto& [task, report] : std::map<TaskId, TaskReport>(m_workers.tasks(worker))) {
            const ClassPolicy* policy = classOf(workloadOf(task));
            if (isFinal(report.m_state) || !movesAfterLoss(policy))
                continue;
            const auto live = m_live.find(task);
            if (live == m_live.end() || live->second.m_worker != worker
                || now < since + late + std::chrono::seconds(policy->m_lapseStopSeconds))
                continue;
            m_counters.add(CountedReason::LapseStopAssumed);
            TaskReport ended = report;
            ended.m_state = TaskState::Stopped;
            ended.m_reason = "stopped by the worker after the lapse of external contact";
            applyFinalState(worker, ended, now);
        }
    }
}

template <CellType Cell> bool BasicDomainScheduler<Cell>::streamIsFresh() const
{
    // Whatever a former scheduler has acknowledged was in the stream before the worker granted the present lease.
    const auto read = m_streamReadAt.find(domain());
    return read != m_streamReadAt.end() && read->second >= m_guard.startedAt();
}

template <CellType Cell> bool BasicDomainScheduler<Cell>::jobMayRun(const OpenJob& open, TimePoint now) const
{
    if (!streamIsFresh())
        return false;
    if (m_guard.unaccounted().empty())
        return true;
    for (std::uint32_t i = 0; i < open.m_request.m_taskCount; ++i) {
        const TaskId task(open.m_request.m_job.value() + '/' + std::to_string(i));
        const auto end = open.m_ends.find(task);
        const bool done = end != open.m_ends.end() && end->second.m_state == TaskState::Ended;
        if (!done && !m_guard.mayStart(task, nullptr, now))
            return false;
    }
    return true;
}

template <CellType Cell> void BasicDomainScheduler<Cell>::releaseHeldJobs(TimePoint now)
{
    for (const JobId& job : std::set<JobId>(m_heldJobs)) {
        const OpenJob* open = m_ledger.openJob(job);
        if (!open || m_endingJobs.contains(job)) {
            m_heldJobs.erase(job);
            continue;
        }
        if (!jobMayRun(*open, now)) {
            m_counters.add(CountedReason::TaskHeldForUnaccountedWorker);
            continue;
        }
        const Result<Unit> entered = submitToCell(*open, now);
        if (succeeded(entered)) {
            m_heldJobs.erase(job);
        } else if (errorOf(entered).m_kind == ErrorKind::UnknownWorkload
            || errorOf(entered).m_kind == ErrorKind::NeverFits) {
            m_heldJobs.erase(job);
            stopTasksOf(job, now);
            endJob(job, JobOutcome::Failed, errorOf(entered).m_detail, now);
        }
    }
}

template <CellType Cell> Result<Unit> BasicDomainScheduler<Cell>::submitToCell(const OpenJob& open, TimePoint now)
{
    const JobId& job = open.m_request.m_job;
    Result<Unit> entered = m_cell.submitJob(open.m_request, now);
    if (!succeeded(entered))
        return entered;
    m_jobsInCell.insert(job);
    // The cell learns what has happened to the tasks before its next step.
    for (const auto& [task, end] : open.m_ends) {
        TaskReport report;
        report.m_task = task;
        report.m_attempt = end.m_attempt;
        report.m_state = end.m_state;
        if (m_currentWorkers.contains(end.m_worker)) {
            m_cell.taskReported(end.m_worker, report, now);
            continue;
        }
        // The cell knows no removed worker, and another one must not be blamed for the failure.
        if (report.m_state == TaskState::Failed)
            report.m_state = TaskState::Stopped;
        m_cell.taskReported(m_currentWorkers.begin()->first, report, now);
    }
    const TaskId first(job.value() + '/');
    const TaskId last(job.value() + static_cast<char>('/' + 1));
    for (const WorkerId& worker : m_workers.workers()) {
        const auto& tasks = m_workers.tasks(worker);
        for (auto task = tasks.lower_bound(first); task != tasks.end() && task->first < last; ++task)
            m_cell.taskReported(worker, task->second, now);
    }
    return entered;
}

template <CellType Cell> std::vector<OwnershipAction> BasicDomainScheduler<Cell>::step(TimePoint now)
{
    m_workers.expire(now);
    const std::vector<LeaseAction> leaseActions = m_lease.step(now);
    updatePhase(now);
    for (const LeaseAction& action : leaseActions)
        emitLease(action, now);
    updateHosts(now);

    // Nothing is decided after the stored deadline, even if the lease could still be renewed.
    if (isScheduler(now)) {
        for (const auto& [worker, outcome] : m_workers.takeUnsentStarts(now))
            handleOutcome(worker, outcome, now);
        updateAvailability(now);
        finishRecovery(now);
        appendPresence(now);
        if (m_phase == Phase::Active) {
            if (m_holdsChanged || now >= m_nextHoldCheck) {
                m_holdsChanged = false;
                m_nextHoldCheck = now + std::chrono::seconds(1);
                assumeLapses(now);
                drainFormerWorkers(now);
                releaseHeldJobs(now);
                considerTakeovers(now);
                reconcileInstances(now);
                rewriteOldJobs(now);
            }
            runCell(now);
            releaseMovedInstances(now);
        }
        emitCommands(now);
        emitAppends(now);
    }
    expireSubmissions(now);
    finishRelease(now);
    return std::exchange(m_actions, {});
}

template <CellType Cell> void BasicDomainScheduler<Cell>::considerCellWake(TimePoint& wake, TimePoint now) const
{
    const std::optional<TimePoint> cell = m_cell.nextWake();
    if (cell)
        wake = std::min(wake, std::max(*cell, now + minCellInterval));
}

template <CellType Cell> TimePoint BasicDomainScheduler<Cell>::nextWake(TimePoint now) const
{
    // Host states, holds and lapses are checked once per second.
    TimePoint wake = now + std::chrono::seconds(1);
    const auto consider = [&](const std::optional<TimePoint>& at) {
        if (at)
            wake = std::min(wake, *at);
    };
    consider(m_lease.nextWake());
    if (isScheduler(now)) {
        consider(m_workers.nextWake(now));
        consider(m_appends.nextWake());
        if (m_phase == Phase::Active)
            considerCellWake(wake, now);
        if (m_phase == Phase::Recovering)
            consider(m_recoverUntil);
        for (const DelayedCommand& delayed : m_delayedCommands)
            consider(delayed.m_due);
    }
    return std::max(wake, now + std::chrono::milliseconds(1));
}

} // namespace sapphiredale::ownership
