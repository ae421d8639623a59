// Life of jobs, tasks and runs: acceptance, reports, ends, cancellation and recovery. Placement.cpp has the choices.

#include "jobs/JobScheduler.h"

#include "jobs/Placement.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

namespace {

    /// Run numbers that one term may use for a task per renewal of the term; the next term starts above them.
    constexpr std::uint32_t runsPerTerm = 8;
    /// Interval of the checks for silent workers and unconfirmed stops.
    constexpr Duration supervisionInterval = std::chrono::milliseconds(50);
    /// An order without an answer may be carried out this much later.
    constexpr Duration latestOrder = std::chrono::seconds(13);
    /// Failures in a row, less successes, that put a worker into quarantine, and the first time there.
    constexpr double quarantineScore = 2.0;
    constexpr Duration quarantineTime = std::chrono::seconds(4);
    constexpr std::uint32_t maxQuarantineDoublings = 3;
    /// Workers that the callers' objectives count for one question to the adviser.
    constexpr int workersPerQuestion = 30;
    /// A result after this many objectives is worth nothing.
    constexpr int worthlessObjectives = 3;
    /// Tail, as a part of the target, from which on filling tasks are paced, and the steps of the pace in percent.
    constexpr double strainedTail = 0.9;
    constexpr std::uint32_t paceStep = 10;

    /// The steps of a job with the time of a question to the adviser as part of their estimates.
    JobSpec withAdvice(const JobRecord& record)
    {
        JobSpec spec = record.m_spec;
        if (!record.m_policy.m_advice)
            return spec;
        const AdvicePolicy& advice = *record.m_policy.m_advice;
        for (StepSpec& step : spec.m_steps)
            step.m_estimate += advice.m_base + advice.m_perWorker * workersPerQuestion;
        return spec;
    }

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

} // namespace

JobScheduler::JobScheduler(const SchedulerSettings& settings)
    : m_settings(settings)
{
}

JobScheduler::~JobScheduler() = default;

// Jobs

Job& JobScheduler::addJob(const JobRecord& record, std::int64_t wallNowMs, TimePoint now)
{
    auto owned = std::make_unique<Job>();
    Job& job = *owned;
    job.m_record = record;
    const Duration age = std::chrono::milliseconds(std::max<std::int64_t>(0, wallNowMs - record.m_acceptedMs));
    job.m_acceptedAt = now - age;
    const Duration objective
        = scaled(longestChain(withAdvice(record)), record.m_policy.m_slackFactor) + record.m_policy.m_latencyTarget;
    job.m_objective = job.m_acceptedAt + objective;
    job.m_worthlessAt = job.m_acceptedAt + objective * worthlessObjectives;
    m_jobs.emplace(record.m_job, std::move(owned));
    return job;
}

void JobScheduler::acceptJob(const JobRecord& record, std::int64_t wallNowMs, TimePoint now)
{
    if (m_jobs.contains(record.m_job))
        return;
    Job& job = addJob(record, wallNowMs, now);
    if (m_cancelledEarly.erase(record.m_job) > 0)
        return closeJob(job, JobState::Cancelled, now);
    openDueOccurrences(job, wallNowMs, now);
    if (job.m_openedOccurrences < record.m_spec.occurrenceCount())
        m_timed.push_back(&job);
}

void JobScheduler::restoreJob(
    const JobRecord& record, const JobProgress& progress, std::int64_t wallNowMs, TimePoint now)
{
    if (m_jobs.contains(record.m_job))
        return;
    Job& job = addJob(record, wallNowMs, now);
    job.m_storedState = progress.m_state;
    if (isFinal(progress.m_state)) {
        job.m_state = progress.m_state;
        job.m_closedAt = now;
        return;
    }
    openDueOccurrences(job, wallNowMs, now);
    restoreTasks(job, progress, now);
    if (job.isOpen() && job.m_openedOccurrences < record.m_spec.occurrenceCount())
        m_timed.push_back(&job);
}

void JobScheduler::restoreTasks(Job& job, const JobProgress& progress, TimePoint now)
{
    const auto find = [&](const TaskIndex& index) -> std::pair<Step*, Task*> {
        // The clock of the daemon that opened the occurrence may have been ahead of this one.
        while (index.m_occurrence >= job.m_openedOccurrences
            && job.m_openedOccurrences < job.m_record.m_spec.occurrenceCount())
            openOccurrence(job, now);
        Step* step = job.step(index.m_occurrence, index.m_step);
        if (step == nullptr || index.m_task >= step->m_tasks.size())
            return { nullptr, nullptr };
        return { step, &step->m_tasks[index.m_task] };
    };
    job.m_hasStarted = progress.m_state == JobState::Running || !progress.m_done.empty();
    if (job.m_hasStarted)
        job.m_state = JobState::Running;
    for (const auto& [index, runs] : progress.m_failedRuns) {
        if (const auto [step, task] = find(index); task != nullptr) {
            task->m_failedRuns = runs;
            task->m_highestRun = *std::max_element(runs.begin(), runs.end());
        }
    }
    for (const auto& [index, workers] : progress.m_places) {
        if (const auto [step, task] = find({ index.m_occurrence, index.m_step, 0 }); step != nullptr)
            step->m_inheritedPlaces = workers;
    }
    for (const TaskIndex& index : progress.m_done) {
        if (const auto [step, task] = find(index); task != nullptr)
            taskFinished(*step, *task, now);
    }
}

void JobScheduler::openDueOccurrences(Job& job, std::int64_t wallNowMs, TimePoint now)
{
    const JobSpec& spec = job.m_record.m_spec;
    while (job.m_openedOccurrences < spec.occurrenceCount()) {
        if (spec.m_occurrences > 0 && wallNowMs < spec.m_firstDueMs + spec.m_intervalMs * job.m_openedOccurrences)
            return;
        openOccurrence(job, now);
    }
}

void JobScheduler::openOccurrence(Job& job, TimePoint now)
{
    const std::uint32_t occurrence = job.m_openedOccurrences++;
    const std::vector<StepSpec>& specs = job.m_record.m_spec.m_steps;
    const std::size_t first = job.m_steps.size();
    const std::vector<Duration> rest = chains(job.m_record.m_spec);
    for (std::uint32_t i = 0; i < specs.size(); ++i) {
        Step& step = job.m_steps.emplace_back();
        step.m_job = &job;
        step.m_spec = &specs[i];
        step.m_name = { job.m_record.m_job, occurrence, i };
        step.m_tasks.resize(specs[i].m_count);
        step.m_chain = rest[i];
        step.m_openDependencies = static_cast<std::uint32_t>(specs[i].m_dependsOn.size());
    }
    for (std::size_t i = first; i < job.m_steps.size(); ++i)
        refreshAllWaiting(job.m_steps[i], now);
}

void JobScheduler::cancelJob(const JobId& id, TimePoint now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        m_cancelledEarly.emplace(id, now);
        return;
    }
    if (found->second->isOpen())
        closeJob(*found->second, JobState::Cancelled, now);
}

void JobScheduler::closeJob(Job& job, JobState state, TimePoint now)
{
    job.m_state = state;
    job.m_closedAt = now;
    changed(job);
    for (Step& step : job.m_steps)
        refreshAllWaiting(step, now);
    if (state != JobState::Done)
        stopRunsOf(job, now);
}

void JobScheduler::changed(Job& job)
{
    if (!std::exchange(job.m_isDirty, true))
        m_dirty.push_back(&job);
}

Step* JobScheduler::stepOf(const TaskName& name, TimePoint now)
{
    const auto found = m_jobs.find(name.m_job);
    if (found == m_jobs.end())
        return nullptr;
    Job& job = *found->second;
    // The steps of a job that had ended before this term are needed only for runs that are still there.
    while (!job.isOpen() && job.m_openedOccurrences <= name.m_index.m_occurrence
        && job.m_openedOccurrences < job.m_record.m_spec.occurrenceCount())
        openOccurrence(job, now);
    Step* step = job.step(name.m_index.m_occurrence, name.m_index.m_step);
    return step != nullptr && name.m_index.m_task < step->m_tasks.size() ? step : nullptr;
}

void JobScheduler::refreshWaiting(Step& step, Task& task, TimePoint now)
{
    const std::uint32_t runs = step.m_spec->m_allowsCopies ? task.m_activeRuns : task.m_liveRuns;
    const bool isWaiting = step.m_job->isOpen() && step.m_openDependencies == 0 && !task.m_isDone && runs == 0;
    if (isWaiting == task.m_isWaiting)
        return;
    task.m_isWaiting = isWaiting;
    if (!isWaiting) {
        --step.m_waitingTasks;
        return;
    }
    task.m_waitingSince = now;
    ++step.m_waitingTasks;
    if (!std::exchange(step.m_isQueued, true))
        m_waiting.push_back(&step);
}

void JobScheduler::refreshAllWaiting(Step& step, TimePoint now)
{
    for (Task& task : step.m_tasks)
        refreshWaiting(step, task, now);
}

void JobScheduler::taskFinished(Step& step, Task& task, TimePoint now)
{
    if (task.m_isDone)
        return;
    task.m_isDone = true;
    ++step.m_doneTasks;
    refreshWaiting(step, task, now);
    changed(*step.m_job);
    if (step.isFinished())
        stepFinished(step, now);
}

void JobScheduler::stepFinished(Step& step, TimePoint now)
{
    Job& job = *step.m_job;
    ++job.m_finishedSteps;
    for (std::uint32_t i = step.m_name.m_step + 1; i < job.stepsPerOccurrence(); ++i) {
        Step& other = *job.step(step.m_name.m_occurrence, i);
        const auto& dependencies = other.m_spec->m_dependsOn;
        other.m_openDependencies
            -= static_cast<std::uint32_t>(std::count(dependencies.begin(), dependencies.end(), step.m_name.m_step));
        refreshAllWaiting(other, now);
    }
    const std::size_t allSteps = std::size_t { job.stepsPerOccurrence() } * job.m_record.m_spec.occurrenceCount();
    if (job.isOpen() && job.m_finishedSteps == allSteps)
        closeJob(job, JobState::Done, now);
}

// Runs

Run& JobScheduler::addRun(Step& step, Task& task, Worker& worker, const RunName& name, RunPhase phase, TimePoint now)
{
    Run& run = worker.m_runs[name];
    run.m_name = name;
    run.m_step = &step;
    run.m_worker = &worker;
    run.m_phase = phase;
    run.m_reserved = step.m_spec->reserved();
    run.m_fillingMillis = step.m_spec->m_isFilling ? step.m_spec->m_need.m_cpuMillis : 0;
    run.m_orderedAt = now;
    run.m_progressAt = now;
    worker.m_reserved += run.m_reserved;
    worker.m_fillingMillis += run.m_fillingMillis;
    worker.m_servingRuns += step.m_spec->isServing() ? 1 : 0;
    worker.m_fillingRuns += step.m_spec->m_isFilling ? 1 : 0;
    ++step.m_places[worker.m_description.m_worker];
    ++task.m_liveRuns;
    ++task.m_activeRuns;
    task.m_highestRun = std::max(task.m_highestRun, name.m_run);
    refreshWaiting(step, task, now);
    return run;
}

void JobScheduler::hasStarted(Job& job)
{
    if (!std::exchange(job.m_hasStarted, true) && job.isOpen())
        job.m_state = JobState::Running;
}

std::uint32_t JobScheduler::nextRun(const SchedulerSettings& settings, const Task& task)
{
    const auto first = static_cast<std::uint32_t>((settings.m_term - 1) * runsPerTerm + 1);
    return std::max(task.m_highestRun + 1, first);
}

void JobScheduler::setActive(Run& run, bool isActive, TimePoint now)
{
    if (run.m_isActive == isActive)
        return;
    run.m_isActive = isActive;
    Task& task = taskOf(*run.m_step, run.m_name);
    task.m_activeRuns += isActive ? 1 : -1;
    refreshWaiting(*run.m_step, task, now);
}

void JobScheduler::removeRun(Worker& worker, const RunName& name, TimePoint now)
{
    const auto found = worker.m_runs.find(name);
    if (found == worker.m_runs.end())
        return;
    Run& run = found->second;
    Step& step = *run.m_step;
    setActive(run, false, now);
    worker.m_reserved -= run.m_reserved;
    worker.m_fillingMillis -= run.m_fillingMillis;
    worker.m_servingRuns -= step.m_spec->isServing() ? 1 : 0;
    worker.m_fillingRuns -= step.m_spec->m_isFilling ? 1 : 0;
    const auto place = step.m_places.find(worker.m_description.m_worker);
    if (--place->second == 0)
        step.m_places.erase(place);
    Task& task = taskOf(step, name);
    --task.m_liveRuns;
    worker.m_runs.erase(found);
    refreshWaiting(step, task, now);
}

void JobScheduler::requestStop(Run& run, TimePoint now)
{
    if (run.m_phase != RunPhase::Stopping) {
        run.m_phase = RunPhase::Stopping;
        run.m_stopConfirmedAt = TimePoint::max();
        setActive(run, false, now);
    }
    run.m_nextStopAt = now + m_settings.m_stopInterval;
    ++m_counters.m_stops;
    m_actions.emplace_back(StopOrder { run.m_worker->m_description.m_worker, run.m_name });
}

void JobScheduler::stopRunsOf(const Job& job, TimePoint now)
{
    for (auto& [id, worker] : m_workers) {
        for (auto& [name, run] : worker.m_runs) {
            if (run.m_step->m_job == &job && run.m_phase != RunPhase::Stopping)
                requestStop(run, now);
        }
    }
}

void JobScheduler::reportFailed(const WorkerId& id, TimePoint now)
{
    if (const auto found = m_workers.find(id); found != m_workers.end())
        found->second.m_unansweredAt = now;
}

void JobScheduler::startAnswered(const WorkerId& id, const RunName& name, StartOutcome outcome, TimePoint now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.m_runs.contains(name))
        return;
    Worker& worker = found->second;
    Run& run = worker.m_runs.at(name);
    switch (outcome) {
    case StartOutcome::Started:
        hasStarted(*run.m_step->m_job);
        if (run.m_confirmedAt == TimePoint::max())
            run.m_confirmedAt = now;
        if (run.m_phase == RunPhase::Starting)
            run.m_phase = RunPhase::Running;
        return;
    case StartOutcome::Unknown:
        ++m_counters.m_unknownStarts;
        worker.m_unanswered.emplace_back(name, now);
        worker.m_unansweredAt = now;
        if (run.m_phase == RunPhase::Starting) {
            run.m_phase = RunPhase::Unknown;
            run.m_unknownSince = now;
            setActive(run, false, now);
            m_actions.emplace_back(LookOrder { id });
        }
        return;
    case StartOutcome::RefusedForTicket:
        run.m_step->m_permissions[id].m_expiresAt = {};
        break;
    case StartOutcome::RefusedForRoom:
    case StartOutcome::Refused:
        // The worker's view differs from this one; the next report settles it.
        worker.m_quarantinedUntil = std::max(worker.m_quarantinedUntil, now + m_settings.m_stopInterval);
        break;
    case StartOutcome::RefusedForTerm:
        break;
    }
    ++m_counters.m_refusedStarts;
    Step& step = *run.m_step;
    // A run that a report lists did start, whatever the answer to a repeated order says.
    if (run.m_confirmedAt == TimePoint::max())
        removeRun(worker, name, now);
    if (step.m_spec->m_isGang)
        stopGang(step, name.m_run, now);
}

void JobScheduler::stopGang(const Step& step, std::uint32_t number, TimePoint now)
{
    for (auto& [id, worker] : m_workers) {
        for (auto& [name, run] : worker.m_runs) {
            if (run.m_step == &step && name.m_run == number && run.m_phase != RunPhase::Stopping)
                requestStop(run, now);
        }
    }
}

void JobScheduler::stopAnswered(const WorkerId& id, const RunName& name, bool confirmed, TimePoint now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    const auto run = found->second.m_runs.find(name);
    if (run == found->second.m_runs.end() || !confirmed || run->second.m_phase != RunPhase::Stopping)
        return;
    run->second.m_stopConfirmedAt = std::min(run->second.m_stopConfirmedAt, now);
    // A run that never began has no end that a waiting report would tell of.
    if (run->second.m_confirmedAt == TimePoint::max())
        m_actions.emplace_back(LookOrder { id });
}

// Workers

void JobScheduler::workerListed(const WorkerDescription& description, TimePoint now)
{
    Worker& worker = m_workers[description.m_worker];
    const std::int64_t born = worker.m_description.m_bornMs;
    const bool wasDraining = worker.m_isListed && worker.m_description.m_isDraining;
    if (born != 0 && description.m_bornMs < born)
        return;
    worker.m_description = description;
    worker.m_isListed = true;
    worker.m_isDescribed = true;
    worker.m_describedBornMs = description.m_bornMs;
    if (born != 0 && description.m_bornMs > born) {
        worker.m_description.m_bornMs = born;
        workerReborn(worker, description.m_bornMs, now);
    }
    if (description.m_isDraining && !wasDraining)
        evacuate(worker, now);
}

void JobScheduler::workerDelisted(const WorkerId& id, TimePoint /*now*/)
{
    if (const auto found = m_workers.find(id); found != m_workers.end())
        found->second.m_isListed = false;
}

void JobScheduler::workerLeft(const WorkerId& id, TimePoint now)
{
    workerDelisted(id, now);
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.m_description.m_isDraining)
        return;
    Worker& worker = found->second;
    std::vector<RunName> ended;
    ended.reserve(worker.m_runs.size());
    for (const auto& [name, run] : worker.m_runs)
        ended.push_back(name);
    for (const RunName& name : ended) {
        ++m_counters.m_lostRuns;
        removeRun(worker, name, now);
    }
}

void JobScheduler::workerReborn(Worker& worker, std::int64_t bornMs, TimePoint now)
{
    worker.m_isDescribed = worker.m_isDescribed && worker.m_describedBornMs == bornMs;
    worker.m_description.m_bornMs = bornMs;
    worker.m_hasReported = false;
    worker.m_seenEnd = 0;
    worker.m_storedEnd = 0;
    worker.m_failureScore = 0;
    for (auto& [name, run] : worker.m_runs) {
        // The new life may have obeyed a start before its birth was known here: its first report tells which runs it
        // has.
        if (run.m_confirmedAt != TimePoint::max())
            continue;
        // The start may still be on its way and would be obeyed by the new life.
        requestStop(run, now);
        run.m_stopConfirmedAt = TimePoint::max();
    }
    m_actions.emplace_back(LookOrder { worker.m_description.m_worker });
    for (const auto& [name, orderedAt] : worker.m_unanswered) {
        if (!worker.m_runs.contains(name))
            m_actions.emplace_back(StopOrder { worker.m_description.m_worker, name });
    }
}

void JobScheduler::leaseExtended(const WorkerId& id, TimePoint leaseEnd)
{
    if (const auto found = m_workers.find(id); found != m_workers.end())
        found->second.m_leaseEnd = std::max(found->second.m_leaseEnd, leaseEnd);
}

void JobScheduler::workerReported(const WorkerId& id, const WorkerReport& report, TimePoint now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    Worker& worker = found->second;
    if (report.m_bornMs < worker.m_description.m_bornMs)
        return;
    if (report.m_bornMs > worker.m_description.m_bornMs)
        workerReborn(worker, report.m_bornMs, now);
    worker.m_lastReportAt = now;
    worker.m_isSilent = false;
    for (const EndReport& end : report.m_ended)
        endReported(worker, end, now);
    for (const RunReport& run : report.m_running)
        runReported(worker, run, now);
    dropMissingRuns(worker, report, now);
    // What an earlier term ordered may run until then, whatever this term adds.
    if (!std::exchange(worker.m_hasReported, true))
        worker.m_leaseEnd = std::max(worker.m_leaseEnd, m_lapsedAt);
    paceFillers(worker, now);
}

void JobScheduler::runReported(Worker& worker, const RunReport& report, TimePoint now)
{
    const auto found = worker.m_runs.find(report.m_run);
    if (found == worker.m_runs.end()) {
        Step* step = stepOf(report.m_run.m_task, now);
        if (step == nullptr) {
            m_actions.emplace_back(StopOrder { worker.m_description.m_worker, report.m_run });
            return;
        }
        Task& task = taskOf(*step, report.m_run);
        const bool isSuperfluous
            = !step->m_job->isOpen() || task.m_isDone || (task.m_liveRuns > 0 && !step->m_spec->m_allowsCopies);
        Run& run = addRun(*step, task, worker, report.m_run, RunPhase::Running, now);
        hasStarted(*step->m_job);
        run.m_confirmedAt = now;
        run.m_percent = report.m_percent;
        if (!report.m_checkpoint.empty())
            task.m_checkpoint = report.m_checkpoint;
        if (isSuperfluous)
            requestStop(run, now);
        return;
    }
    Run& run = found->second;
    hasStarted(*run.m_step->m_job);
    if (run.m_confirmedAt == TimePoint::max())
        run.m_confirmedAt = now;
    if (run.m_phase == RunPhase::Starting || run.m_phase == RunPhase::Unknown) {
        run.m_phase = RunPhase::Running;
        setActive(run, true, now);
    }
    const bool hasProgress = report.m_percent > run.m_percent;
    if (hasProgress)
        run.m_progressAt = now;
    run.m_percent = report.m_percent;
    if (!report.m_checkpoint.empty())
        taskOf(*run.m_step, report.m_run).m_checkpoint = report.m_checkpoint;
    if (!hasProgress && isStalled(run, now))
        return stallReported(worker, run, now);
    if (!run.m_step->m_spec->isServing())
        return;
    const bool isOver
        = report.m_recent * 1000.0 > static_cast<double>(run.m_step->m_spec->m_responseTarget.count()) * strainedTail;
    if (!isOver)
        run.m_overTargetSince = TimePoint::max();
    else if (run.m_overTargetSince == TimePoint::max())
        run.m_overTargetSince = now;
}

void JobScheduler::dropMissingRuns(Worker& worker, const WorkerReport& report, TimePoint now)
{
    const auto isListed = [&](const RunName& name) {
        return std::any_of(report.m_running.begin(), report.m_running.end(),
            [&](const RunReport& listed) { return listed.m_run == name; });
    };
    std::vector<RunName> missing;
    for (auto& [name, run] : worker.m_runs) {
        const bool mustBeListed = run.m_confirmedAt < report.m_askedAt;
        const bool isBarred = run.m_phase == RunPhase::Stopping && run.m_stopConfirmedAt < report.m_askedAt;
        const bool isUnseen = run.m_phase == RunPhase::Unknown && run.m_unknownSince < report.m_askedAt;
        if ((!mustBeListed && !isBarred && !isUnseen) || isListed(name))
            continue;
        if (mustBeListed || isBarred)
            missing.push_back(name);
        else
            requestStop(run, now);
    }
    for (const RunName& name : missing) {
        ++m_counters.m_lostRuns;
        removeRun(worker, name, now);
    }
}

void JobScheduler::endReported(Worker& worker, const EndReport& end, TimePoint now)
{
    if (end.m_number <= worker.m_seenEnd)
        return;
    worker.m_seenEnd = end.m_number;
    m_hasNewEnds = true;
    Step* step = stepOf(end.m_run.m_task, now);
    if (step == nullptr)
        return;
    Task& task = taskOf(*step, end.m_run);
    hasStarted(*step->m_job);
    task.m_highestRun = std::max(task.m_highestRun, end.m_run.m_run);
    if (!end.m_checkpoint.empty())
        task.m_checkpoint = end.m_checkpoint;
    const bool isOpen = step->m_job->isOpen();
    const bool isLongRunning = step->m_spec->m_isLongRunning;
    if (end.m_end == RunEnd::Done && isOpen && !isLongRunning) {
        ++m_counters.m_doneRuns;
        worker.m_failureScore /= 2;
        if (step->m_spec->m_isGang) {
            for (Task& member : step->m_tasks)
                taskFinished(*step, member, now);
        } else {
            taskFinished(*step, task, now);
        }
    } else if (end.m_end == RunEnd::Failed && isOpen) {
        failureReported(worker, *step, end.m_run, now);
    }
    removeRun(worker, end.m_run, now);
    if (!task.m_isDone || task.m_liveRuns == 0)
        return;
    // Copies of a task that has its result are superfluous.
    for (auto& [id, other] : m_workers) {
        for (auto& [name, run] : other.m_runs) {
            if (name.m_task == end.m_run.m_task && run.m_phase != RunPhase::Stopping && !step->m_spec->m_isGang)
                requestStop(run, now);
        }
    }
}

bool JobScheduler::isStalled(const Run& run, TimePoint now) const
{
    const StepSpec& spec = *run.m_step->m_spec;
    // A gang waits for its members, and a filling task for processors that others leave.
    if (run.m_phase != RunPhase::Running || spec.m_isGang || spec.m_isFilling || run.m_percent >= 100)
        return false;
    // One percent of a long task takes long.
    return now - run.m_progressAt > m_settings.m_stall + spec.m_estimate / 25;
}

void JobScheduler::stallReported(Worker& worker, Run& run, TimePoint now)
{
    ++m_counters.m_stalledRuns;
    taskOf(*run.m_step, run.m_name).m_avoid = worker.m_description.m_worker;
    worker.m_failureScore += 1;
    quarantineIfBad(worker, now);
    requestStop(run, now);
}

void JobScheduler::quarantineIfBad(Worker& worker, TimePoint now)
{
    if (worker.m_failureScore < quarantineScore)
        return;
    const std::uint32_t doublings = std::min(worker.m_quarantines++, maxQuarantineDoublings);
    worker.m_quarantinedUntil = now + quarantineTime * (1 << doublings);
    // One more failure after its return is enough.
    worker.m_failureScore = quarantineScore - 1;
}

void JobScheduler::failureReported(Worker& worker, Step& step, const RunName& name, TimePoint now)
{
    // The members of a gang fail together: the run counts once.
    Task& task = step.m_spec->m_isGang ? step.m_tasks.front() : taskOf(step, name);
    if (std::find(task.m_failedRuns.begin(), task.m_failedRuns.end(), name.m_run) != task.m_failedRuns.end())
        return;
    ++m_counters.m_failedRuns;
    task.m_avoid = worker.m_description.m_worker;
    worker.m_failureScore += 1;
    quarantineIfBad(worker, now);
    if (step.m_spec->m_isLongRunning)
        return;
    task.m_failedRuns.push_back(name.m_run);
    changed(*step.m_job);
    if (task.m_failedRuns.size() >= step.m_job->m_record.m_policy.m_maxAttempts)
        closeJob(*step.m_job, JobState::Failed, now);
}

void JobScheduler::superviseWorkers(TimePoint now)
{
    if (now < m_nextSupervision)
        return;
    m_nextSupervision = now + supervisionInterval;
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        Worker& worker = it->second;
        worker.m_isSilent = now - worker.m_lastReportAt > m_settings.m_silence;
        superviseRuns(worker, now);
        std::erase_if(worker.m_unanswered, [now](const auto& start) { return now - start.second > latestOrder; });
        const bool isGone = !worker.m_isListed && worker.m_runs.empty() && worker.m_leaseEnd < now;
        it = isGone ? m_workers.erase(it) : std::next(it);
    }
    std::erase_if(m_cancelledEarly, [&](const auto& entry) { return entry.second + m_settings.m_retention < now; });
}

void JobScheduler::superviseRuns(Worker& worker, TimePoint now)
{
    std::vector<RunName> lapsed;
    for (auto& [name, run] : worker.m_runs) {
        if (worker.m_isSilent && worker.m_leaseEnd < now) {
            lapsed.push_back(name);
            continue;
        }
        if (worker.m_isSilent && run.m_step->m_spec->m_allowsCopies)
            setActive(run, false, now);
        // An order whose connection was given up has no answer.
        if (run.m_phase == RunPhase::Starting && now - run.m_orderedAt > m_settings.m_answerPatience) {
            run.m_phase = RunPhase::Unknown;
            run.m_unknownSince = now;
            setActive(run, false, now);
        }
        if (run.m_phase == RunPhase::Stopping && run.m_nextStopAt <= now && !worker.m_isSilent)
            requestStop(run, now);
    }
    for (const RunName& name : lapsed) {
        ++m_counters.m_lostRuns;
        removeRun(worker, name, now);
    }
}

void JobScheduler::evacuate(Worker& worker, TimePoint now)
{
    for (auto& [name, run] : worker.m_runs) {
        const StepSpec& spec = *run.m_step->m_spec;
        if (run.m_phase == RunPhase::Stopping || spec.m_isGang)
            continue;
        const auto rest = scaled(spec.m_estimate, std::max(0.0, 1.0 - run.m_percent / 100.0));
        if (spec.m_isLongRunning || (spec.m_savesCheckpoints && rest > m_settings.m_drainPatience))
            requestStop(run, now);
    }
}

void JobScheduler::paceFillers(Worker& worker, TimePoint now)
{
    if (worker.m_fillingRuns == 0)
        return;
    bool isStrained = false;
    for (const auto& [name, run] : worker.m_runs)
        isStrained = isStrained || run.m_overTargetSince != TimePoint::max();
    for (auto& [name, run] : worker.m_runs) {
        if (!run.m_step->m_spec->m_isFilling || run.m_phase != RunPhase::Running)
            continue;
        const std::uint32_t pace = isStrained ? run.m_pace / 2
            : worker.m_servingRuns == 0       ? 100
                                              : std::min(100U, run.m_pace + paceStep);
        if (pace == run.m_pace)
            continue;
        run.m_pace = pace;
        run.m_progressAt = now;
        m_actions.emplace_back(PaceOrder { worker.m_description.m_worker, name, pace });
    }
}

// Advice

void JobScheduler::adviceAnswered(const AdviceQuestion& question, const std::vector<Ticket>& tickets, TimePoint askedAt,
    Duration validity, TimePoint now)
{
    Step* step = stepOf({ question.m_step.m_job, { question.m_step.m_occurrence, question.m_step.m_step, 0 } }, now);
    if (step == nullptr)
        return;
    Placement(*this, now).withdrawPledges(*step);
    step->m_isAsking = false;
    step->m_askFailures = 0;
    for (const WorkerId& id : question.m_workers)
        step->m_permissions[id] = {};
    for (const Ticket& ticket : tickets) {
        const Worker* worker = this->worker(ticket.m_worker);
        if (worker != nullptr)
            step->m_permissions[ticket.m_worker]
                = { true, ticket.m_text, askedAt + validity, worker->m_description.m_bornMs };
    }
    constexpr double weight = 0.1; // of one answer in the running mean
    double& share = m_allowedShare.try_emplace(step->m_job->m_record.m_policy.m_queue, 0.5).first->second;
    const double seen = static_cast<double>(tickets.size())
        / static_cast<double>(std::max<std::size_t>(1, question.m_workers.size()));
    share += (seen - share) * weight;
}

void JobScheduler::adviceFailed(const AdviceQuestion& question, TimePoint now)
{
    Step* step = stepOf({ question.m_step.m_job, { question.m_step.m_occurrence, question.m_step.m_step, 0 } }, now);
    if (step == nullptr)
        return;
    Placement(*this, now).withdrawPledges(*step);
    constexpr Duration firstWait = std::chrono::milliseconds(20);
    constexpr std::uint32_t maxDoublings = 4;
    step->m_isAsking = false;
    step->m_nextAskAt = now + firstWait * (1 << std::min(step->m_askFailures++, maxDoublings));
}

// Decisions

std::vector<SchedulerAction> JobScheduler::step(std::int64_t wallNowMs, TimePoint now, const AdviceCapacity& advice)
{
    for (Job* job : m_timed) {
        if (job->isOpen())
            openDueOccurrences(*job, wallNowMs, now);
    }
    std::erase_if(m_timed, [](const Job* job) {
        return !job->isOpen() || job->m_openedOccurrences == job->m_record.m_spec.occurrenceCount();
    });
    superviseWorkers(now);
    startRecorded(now);
    Placement(*this, now).pass(advice);
    return std::exchange(m_actions, {});
}

bool JobScheduler::mayRunElsewhere(const Step& step, TimePoint now) const
{
    if (step.m_inheritedPlaces.empty() || now >= m_lapsedAt)
        return false;
    return std::any_of(step.m_inheritedPlaces.begin(), step.m_inheritedPlaces.end(), [this](const WorkerId& place) {
        const Worker* found = worker(place);
        return found == nullptr || !found->m_hasReported;
    });
}

void JobScheduler::startRecorded(TimePoint now)
{
    for (const auto& [id, name] : std::exchange(m_recording, {})) {
        const auto found = m_workers.find(id);
        const auto run
            = found == m_workers.end() ? std::map<RunName, Run>::iterator() : found->second.m_runs.find(name);
        if (found == m_workers.end() || run == found->second.m_runs.end() || run->second.m_phase != RunPhase::Recording)
            continue;
        Step& step = *run->second.m_step;
        if (!step.m_storedPlaces.contains(id) || !step.m_sentPlaces.contains(id)) {
            m_recording.emplace_back(id, name);
            continue;
        }
        if (!Placement(*this, now).mayStart(found->second, step)) {
            removeRun(found->second, name, now);
            if (step.m_spec->m_isGang)
                stopGang(step, name.m_run, now);
            continue;
        }
        run->second.m_phase = RunPhase::Starting;
        run->second.m_orderedAt = now;
        StartOrder order { id, name, step.m_job->m_record.m_spec.m_payload, taskOf(step, name).m_checkpoint, {} };
        if (step.m_job->m_record.m_policy.m_advice)
            order.m_ticket = step.m_permissions.at(id).m_ticket;
        ++m_counters.m_starts;
        m_actions.emplace_back(std::move(order));
    }
}

// Durable state

ProgressRecord JobScheduler::progressOf(const Job& job) const
{
    ProgressRecord record { job.m_record.m_job, {} };
    record.m_progress.m_state = job.m_state;
    if (!job.isOpen())
        return record;
    for (const Step& step : job.m_steps) {
        const StepIndex place { step.m_name.m_occurrence, step.m_name.m_step };
        for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
            const TaskIndex index { step.m_name.m_occurrence, step.m_name.m_step, i };
            if (step.m_tasks[i].m_isDone)
                record.m_progress.m_done.push_back(index);
            else if (!step.m_tasks[i].m_failedRuns.empty())
                record.m_progress.m_failedRuns[index] = step.m_tasks[i].m_failedRuns;
        }
        if (step.isFinished())
            continue;
        std::set<WorkerId> places = step.m_inheritedPlaces;
        for (const auto& [worker, runs] : step.m_places)
            places.insert(worker);
        if (!places.empty())
            record.m_progress.m_places[place] = std::move(places);
    }
    return record;
}

JobScheduler::Batch JobScheduler::takeChanges()
{
    Batch batch;
    batch.m_number = ++m_lastBatch;
    m_hasNewEnds = false;
    for (Job* job : m_dirty) {
        job->m_isDirty = false;
        batch.m_records.push_back(progressOf(*job));
        const auto& places = batch.m_records.back().m_progress.m_places;
        for (Step& step : job->m_steps) {
            const auto found = places.find({ step.m_name.m_occurrence, step.m_name.m_step });
            step.m_sentPlaces = found == places.end() ? std::set<WorkerId>() : found->second;
        }
    }
    m_dirty.clear();
    m_batchRecords[batch.m_number] = batch.m_records;
    auto& ends = m_batchEnds[batch.m_number];
    for (const auto& [id, worker] : m_workers) {
        if (worker.m_seenEnd > worker.m_storedEnd)
            ends.push_back({ id, worker.m_description.m_bornMs, worker.m_seenEnd });
    }
    return batch;
}

void JobScheduler::stored(std::uint64_t batch)
{
    for (const ProgressRecord& record : m_batchRecords[batch]) {
        const auto found = m_jobs.find(record.m_job);
        if (found == m_jobs.end())
            continue;
        Job& job = *found->second;
        job.m_storedState = record.m_progress.m_state;
        for (Step& step : job.m_steps) {
            const auto places = record.m_progress.m_places.find({ step.m_name.m_occurrence, step.m_name.m_step });
            step.m_storedPlaces = places == record.m_progress.m_places.end() ? std::set<WorkerId>() : places->second;
        }
    }
    for (const SeenEnd& seen : m_batchEnds[batch]) {
        const auto found = m_workers.find(seen.m_worker);
        // A worker that was born again counts its ends anew.
        if (found != m_workers.end() && found->second.m_description.m_bornMs == seen.m_bornMs)
            found->second.m_storedEnd = std::max(found->second.m_storedEnd, seen.m_end);
    }
    m_batchRecords.erase(batch);
    m_batchEnds.erase(batch);
}

void JobScheduler::notStored(const Batch& batch)
{
    for (const ProgressRecord& record : batch.m_records) {
        if (const auto found = m_jobs.find(record.m_job); found != m_jobs.end())
            changed(*found->second);
    }
    m_hasNewEnds = m_hasNewEnds || !m_batchEnds[batch.m_number].empty();
    m_batchRecords.erase(batch.m_number);
    m_batchEnds.erase(batch.m_number);
}

std::uint64_t JobScheduler::storedEnd(const WorkerId& id) const
{
    const Worker* found = worker(id);
    return found == nullptr ? 0 : found->m_storedEnd;
}

std::vector<JobId> JobScheduler::takeExpired(TimePoint now)
{
    std::vector<JobId> expired;
    for (const auto& [id, job] : m_jobs) {
        if (!job->isOpen() && isFinal(job->m_storedState) && job->m_closedAt + m_settings.m_retention < now)
            expired.push_back(id);
    }
    const auto hasRuns = [this](const JobId& id) {
        const Job* job = m_jobs.at(id).get();
        return std::any_of(m_workers.begin(), m_workers.end(), [job](const auto& entry) {
            const auto& runs = entry.second.m_runs;
            return std::any_of(
                runs.begin(), runs.end(), [job](const auto& run) { return run.second.m_step->m_job == job; });
        });
    };
    std::erase_if(expired, hasRuns);
    for (const JobId& id : expired) {
        const Job* job = m_jobs.at(id).get();
        std::erase_if(m_waiting, [job](const Step* step) { return step->m_job == job; });
        std::erase(m_dirty, job);
        std::erase(m_timed, job);
        m_jobs.erase(id);
    }
    return expired;
}

// Queries

bool JobScheduler::knows(const JobId& id) const { return m_jobs.contains(id); }

JobState JobScheduler::state(const JobId& id) const
{
    const Job& job = *m_jobs.at(id);
    if (job.isOpen() || job.m_state == JobState::Cancelled)
        return job.m_state;
    if (isFinal(job.m_storedState))
        return job.m_storedState;
    return JobState::Running;
}

std::uint32_t JobScheduler::pending(const std::string& queue) const
{
    return static_cast<std::uint32_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto& entry) {
        const Job& job = *entry.second;
        return job.isOpen() && !job.m_hasStarted && job.m_record.m_policy.m_queue == queue;
    }));
}

std::vector<JobScheduler::Wait> JobScheduler::longWaits(Duration age, std::size_t most, TimePoint now)
{
    std::vector<Wait> waits;
    for (const Step* step : m_waiting) {
        const bool isLong = std::any_of(step->m_tasks.begin(), step->m_tasks.end(),
            [&](const Task& task) { return task.m_isWaiting && now - task.m_waitingSince > age; });
        if (isLong && waits.size() < most)
            waits.push_back({ step->m_name, Placement(*this, now).explain(*step) });
    }
    static constexpr const char* phases[] = { "recording", "starting", "running", "unknown", "stopping" };
    for (const auto& [id, worker] : m_workers) {
        for (const auto& [name, run] : worker.m_runs) {
            if (run.m_phase != RunPhase::Running && now - run.m_orderedAt > age && waits.size() < most)
                waits.push_back({ run.m_step->m_name,
                    std::string("a run is ") + phases[static_cast<int>(run.m_phase)] + " on " + id.value() });
        }
    }
    return waits;
}

const Worker* JobScheduler::worker(const WorkerId& id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

} // namespace sapphiredale::jobs
