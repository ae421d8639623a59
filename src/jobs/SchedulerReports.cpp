// Handling of worker reports: runs, ends, failures and stalls.

#include "jobs/JobScheduler.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

namespace {

    /// One in this many workers of a pool may be quarantined at most: if more of them fail what they run, it is more
    /// likely that the jobs are at fault.
    constexpr std::uint32_t workersPerQuarantine = 2;
    /// Tail latency, as a fraction of the target, above which filling tasks are throttled.
    constexpr double strainedTailRatio = 0.9;
    /// Smallest part of a run in percent whose duration is compared with its estimate, and the smaller one that is
    /// after a longer time: progress is reported in whole percent.
    constexpr double minMeasuredPercent = 4;
    constexpr double minSlowPercent = 1.5;
    constexpr Duration minMeasuredTime = std::chrono::milliseconds(150);
    constexpr Duration slowMeasuredTime = std::chrono::milliseconds(1500);

} // namespace

void JobScheduler::workerReported(const WorkerId& id, const WorkerReport& report, TimePoint now)
{
    Worker* found = findWorker(id);
    if (found == nullptr)
        return;
    Worker& worker = *found;
    if (report.m_bornMs < worker.m_description.m_bornMs)
        return;
    if (report.m_bornMs > worker.m_description.m_bornMs)
        handleWorkerRestart(worker, report.m_bornMs, now);
    worker.m_lastReportAt = now;
    worker.m_isSilent = false;
    worker.m_isReplaced = false;
    if (report.m_isFenced && !std::exchange(worker.m_isFenced, true)) {
        // Calls to earlier processes arrived before this answer, and soon after the start of the present one.
        const TimePoint lastLateCall = std::min(now, now - report.m_processAge + maxOrderDelay);
        worker.m_lateLeaseEnd = std::min(worker.m_lateLeaseEnd, lastLateCall + m_settings.m_longestLease);
        m_latestLateLease = std::max(m_latestLateLease, worker.m_lateLeaseEnd);
    }
    for (const EndReport& end : report.m_ended)
        handleRunEnd(worker, end, now);
    worker.m_hasUnknownRuns = false;
    for (const RunReport& run : report.m_running)
        handleRunReport(worker, report, run, now);
    dropMissingRuns(worker, report, now);
    worker.m_hasReportedInTerm = true;
    // Runs of an earlier term whose ends are not listed yet are known once those before them have been acknowledged.
    // Runs ordered by an earlier term may continue until the end of its leases, whatever this term orders.
    if (report.m_listsAllEnds && !std::exchange(worker.m_hasReported, true)) {
        worker.m_leaseEnd = inheritedLeaseEnd(id);
        m_areInheritedPlacesChanged = true;
    }
    updateRoom(worker, now);
    throttleFillingTasks(worker, now);
}

void JobScheduler::handleRunReport(
    Worker& worker, const WorkerReport& workerReport, const RunReport& report, TimePoint now)
{
    const auto found = worker.m_runs.find(report.m_run);
    if (found == worker.m_runs.end()) {
        Step* step = stepOf(report.m_run.m_task, now);
        if (step == nullptr) {
            worker.m_hasUnknownRuns = true;
            m_actions.emplace_back(StopOrder { worker.m_description.m_worker, report.m_run });
            return;
        }
        Task& task = taskOf(*step, report.m_run);
        // A worker's first report of a term lists the runs of earlier terms.
        const bool isSecond = task.m_liveRuns > 0 && !step->m_spec->m_allowsCopies;
        if (worker.m_hasReportedInTerm || isSecond)
            noteUnexpectedRun(worker, report.m_run, isSecond ? task.m_liveRuns : 0);
        const bool isSuperfluous = !step->m_job->isOpen() || task.m_isDone || isSecond;
        Run& run = addRun(*step, task, worker, report.m_run, RunPhase::Running, now);
        run.m_isListed = true;
        run.m_listedBornMs = workerReport.m_bornMs;
        confirm(run, now);
        run.m_percent = report.m_percent;
        measureSpeed(run, report.m_percent, now);
        if (!report.m_checkpoint.empty())
            task.m_checkpoint = report.m_checkpoint;
        if (isSuperfluous)
            requestStop(run, now);
        return;
    }
    Run& run = found->second;
    run.m_isListed = true;
    const bool isLateStart = run.m_confirmedAt == TimePoint::max() && run.m_bornMs < workerReport.m_bornMs;
    if (isLateStart)
        noteUnexpectedRun(worker, report.m_run, taskOf(*run.m_step, report.m_run).m_liveRuns - 1);
    if (run.earliestBornMs() < workerReport.m_bornMs)
        m_newRunsOfLaterProcesses.push_back({ worker.m_description.m_worker, report.m_run, run.m_bornMs,
            workerReport.m_bornMs, run.m_confirmedAt != TimePoint::max() });
    run.m_listedBornMs = workerReport.m_bornMs;
    proveRun(run, workerReport);
    confirm(run, now);
    if (run.m_phase == RunPhase::Starting || run.m_phase == RunPhase::Unknown) {
        setPhase(run, RunPhase::Running);
        setActive(run, true, now);
    }
    measureSpeed(run, report.m_percent, now);
    const bool hasProgress = report.m_percent > run.m_percent;
    if (hasProgress)
        run.m_progressAt = now;
    run.m_percent = report.m_percent;
    Task& task = taskOf(*run.m_step, report.m_run);
    if (!report.m_checkpoint.empty())
        task.m_checkpoint = report.m_checkpoint;
    // A long-running task fails now and then in its time; that it is at work shows that it is sound.
    if (run.m_step->m_spec->m_isLongRunning && run.m_percent >= 100)
        task.m_failedOn.clear();
    if (!hasProgress && isStalled(run, now))
        return handleStall(worker, run, now);
    if (!run.m_step->m_spec->isServing())
        return;
    const bool isOver = report.m_recent * 1000.0
        > static_cast<double>(run.m_step->m_spec->m_responseTarget.count()) * strainedTailRatio;
    if (!isOver)
        run.m_overTargetSince = TimePoint::max();
    else if (run.m_overTargetSince == TimePoint::max())
        run.m_overTargetSince = now;
}

void JobScheduler::dropMissingRuns(Worker& worker, const WorkerReport& report, TimePoint now)
{
    std::vector<RunName> missing;
    std::vector<RunName> endedWithTheirProcess;
    std::vector<RunName> barred;
    for (auto& [name, run] : worker.m_runs) {
        const bool mustBeListed = run.m_confirmedAt < report.m_askedAt;
        const bool isBarred = run.m_phase == RunPhase::Stopping && run.m_stopConfirmedAt < report.m_askedAt;
        const bool isUnseen = run.m_phase == RunPhase::Unknown && run.m_unknownSince < report.m_askedAt;
        if (std::exchange(run.m_isListed, false) || !report.m_listsAllEnds || (!mustBeListed && !isBarred && !isUnseen))
            continue;
        if (mustBeListed) {
            missing.push_back(name);
            if (run.earliestBornMs() < report.m_bornMs)
                endedWithTheirProcess.push_back(name);
        } else if (isBarred)
            barred.push_back(name);
        else
            requestStop(run, now);
    }
    noteCrash(worker, endedWithTheirProcess, now);
    loseRuns(worker, missing, RunLossReason::NotListed, now);
    loseRuns(worker, barred, RunLossReason::Barred, now);
}

void JobScheduler::handleRunEnd(Worker& worker, const EndReport& end, TimePoint now)
{
    if (end.m_number <= worker.m_seenEnd)
        return;
    worker.m_seenEnd = end.m_number;
    m_workersWithNewEnds.insert(worker.m_number);
    m_hasNewEnds = true;
    Step* step = stepOf(end.m_run.m_task, now);
    if (step == nullptr)
        return;
    Task& task = taskOf(*step, end.m_run);
    markStarted(*step->m_job);
    task.m_highestRun = std::max(task.m_highestRun, end.m_run.m_run);
    if (!end.m_checkpoint.empty())
        task.m_checkpoint = end.m_checkpoint;
    const bool isOpen = step->m_job->isOpen();
    const bool isLongRunning = step->m_spec->m_isLongRunning;
    if (end.m_end == RunEnd::Done && isOpen && !isLongRunning) {
        ++m_counters.m_doneRuns;
        worker.m_health.runSucceeded();
        if (const auto run = worker.m_runs.find(end.m_run); run != worker.m_runs.end())
            measureSpeed(run->second, 100, now);
        if (step->m_spec->m_isGang) {
            for (std::size_t member = 0; member < step->m_tasks.size(); ++member)
                finishTask(*step, step->m_tasks.own(member), now);
        } else {
            finishTask(*step, task, now);
        }
    } else if (end.m_end == RunEnd::Failed && isOpen) {
        handleRunFailure(worker, *step, end.m_run, now);
    } else if (end.m_end == RunEnd::Lapsed || end.m_end == RunEnd::Broken || end.m_end == RunEnd::Alone) {
        ++step->m_job->m_history.m_lostRuns;
    }
    removeRun(worker, end.m_run, now);
    if (const auto start = worker.m_unanswered.find(end.m_run); start != worker.m_unanswered.end()) {
        m_teamLimits.refund(start->second.m_team, start->second.m_charge);
        worker.m_unanswered.erase(start);
    }
    // Other copies of a task that has its result are superfluous.
    if (task.m_isDone && task.m_liveRuns > 0 && !step->m_spec->m_isGang)
        stopOtherRuns(*step, end.m_run.m_task, now);
}

void JobScheduler::measureSpeed(Run& run, double percent, TimePoint now)
{
    const StepSpec& spec = *run.m_step->m_spec;
    // Gangs wait for their slowest member, filling tasks for unused processor time, and tasks apart from their data or
    // their group are slower for that reason.
    const bool isAway = !spec.m_dataRack.empty() && run.m_worker->m_description.m_rack.value() != spec.m_dataRack;
    const bool isGrouped = spec.m_isGang || (spec.m_isRackLocal && spec.m_count > 1);
    if (run.m_phase != RunPhase::Running || spec.m_isLongRunning || spec.m_isFilling || spec.isServing() || isAway
        || isGrouped || spec.m_estimate <= Duration::zero())
        return;
    if (run.m_measuredAt != TimePoint::max() && percent >= run.m_measuredPercent) {
        const double part = percent - run.m_measuredPercent;
        const Duration time = now - run.m_measuredAt;
        const bool isEnough = (part >= minMeasuredPercent && time >= minMeasuredTime)
            || (part >= minSlowPercent && time >= slowMeasuredTime);
        if (!isEnough)
            return;
        const double expected = static_cast<double>(spec.m_estimate.count()) * part / 100.0;
        m_speeds.observe(
            { run.m_worker->m_number, run.m_step->m_job->m_number, static_cast<double>(time.count()) / expected, part },
            now);
    }
    run.m_measuredPercent = percent;
    run.m_measuredAt = now;
}

bool JobScheduler::isStalled(const Run& run, TimePoint now) const
{
    const StepSpec& spec = *run.m_step->m_spec;
    // A gang waits for its members, and a filling task for unused processor time.
    if (run.m_phase != RunPhase::Running || spec.m_isGang || spec.m_isFilling || run.m_percent >= 100)
        return false;
    // Progress is reported in whole percent, and one percent of a long task takes long.
    return now - run.m_progressAt > m_settings.m_stallTimeout + spec.m_estimate / 25;
}

void JobScheduler::handleStall(Worker& worker, Run& run, TimePoint now)
{
    ++m_counters.m_stalledRuns;
    ++run.m_step->m_job->m_history.m_stalledRuns;
    taskOf(*run.m_step, run.m_name).m_avoid = worker.m_description.m_worker;
    attributeFailure(worker, *run.m_step, run.m_name, now);
    requestStop(run, now);
}

void JobScheduler::attributeFailure(Worker& worker, Step& step, const RunName& name, TimePoint now)
{
    Task& task = countingTaskOf(step, name);
    const std::uint64_t job = step.m_job->m_number;
    TaskIndex index = name.m_task.m_index;
    if (step.m_spec->m_isGang)
        index.m_task = 0;
    if (task.m_failedOn.size() < 2)
        task.m_failedOn.insert(worker.m_number);
    if (task.m_failedOn.size() < 2) {
        worker.m_health.runFailed(job, index, now);
        return quarantineIfFailing(worker, now);
    }
    for (const WorkerNumber number : task.m_failedOn) {
        Worker* earlier = findWorker(number);
        if (earlier == nullptr || !earlier->m_health.withdraw(job, index, now))
            continue;
        m_quarantineChanges.push_back({ earlier->m_description.m_worker, now, now });
        updateRoom(*earlier, now);
    }
}

void JobScheduler::quarantineIfFailing(Worker& worker, TimePoint now)
{
    if (!worker.m_health.needsQuarantine(now))
        return;
    const auto quarantined = std::count_if(m_workers.begin(), m_workers.end(), [&](const auto& entry) {
        return entry.second.m_pool == worker.m_pool && entry.second.m_health.isQuarantined(now);
    });
    if ((static_cast<std::uint32_t>(quarantined) + 1) * workersPerQuarantine > m_poolWorkers[worker.m_pool])
        return;
    worker.m_health.beginQuarantine(now);
    m_quarantineChanges.push_back({ worker.m_description.m_worker, now, worker.m_health.quarantineEnd() });
    updateRoom(worker, now);
}

void JobScheduler::handleRunFailure(Worker& worker, Step& step, const RunName& name, TimePoint now)
{
    Task& task = countingTaskOf(step, name);
    if (std::find(task.m_failedRuns.begin(), task.m_failedRuns.end(), name.m_run) != task.m_failedRuns.end())
        return;
    ++m_counters.m_failedRuns;
    ++step.m_job->m_history.m_failedRuns;
    task.m_avoid = worker.m_description.m_worker;
    attributeFailure(worker, step, name, now);
    if (step.m_spec->m_isLongRunning)
        return;
    task.m_failedRuns.push_back(name.m_run);
    markChanged(*step.m_job);
    if (task.m_failedRuns.size() >= step.m_job->m_record.m_policy.m_maxAttempts)
        closeJob(*step.m_job, JobState::Failed, now);
}

} // namespace sapphiredale::jobs
