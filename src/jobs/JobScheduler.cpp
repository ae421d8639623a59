// Job life cycle: acceptance, steps, cancellation, the scheduling step, and queries.

#include "jobs/JobScheduler.h"

#include "jobs/Placement.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

namespace {

    /// Number of workers per advice request that objectives allow for.
    constexpr int workersPerAdviceRequest = 30;
    /// Longer objectives would overflow, as multiples of them are added to times.
    constexpr Duration maxObjective = std::chrono::hours(24 * 36500);
    /// A result that is later than this multiple of the objective has no value.
    constexpr int usefulObjectives = 3;
    /// Time after the expiry of a ticket here by which it has expired on each worker.
    constexpr Duration ticketExpiryMargin = std::chrono::milliseconds(200);
    /// Runs of a task that may be unresolved when a copy starts.
    constexpr std::uint32_t maxUnresolvedCopies = 2;

    /// The job with the duration of an advice request added to the estimates of its steps.
    JobSpec withAdviceTime(const JobRecord& record)
    {
        JobSpec spec = record.m_spec;
        if (!record.m_policy.m_advice)
            return spec;
        const AdvicePolicy& advice = *record.m_policy.m_advice;
        for (StepSpec& step : spec.m_steps)
            step.m_estimate += advice.m_base + advice.m_perWorker * workersPerAdviceRequest;
        return spec;
    }

} // namespace

JobScheduler::JobScheduler(const SchedulerSettings& settings)
    : m_settings(settings)
{
}

JobScheduler::~JobScheduler() = default;

Job& JobScheduler::createJob(const JobRecord& record, std::int64_t wallNowMs, TimePoint now)
{
    auto owned = std::make_unique<Job>();
    Job& job = *owned;
    job.m_record = record;
    job.m_number = ++m_lastJobNumber;
    job.m_pool = poolNumber(record.m_policy.m_service);
    job.m_team = m_teamLimits.numberOf(record.m_team);
    const Duration age = std::chrono::milliseconds(std::max<std::int64_t>(0, wallNowMs - record.m_acceptedMs));
    job.m_acceptedAt = now - age;
    const Duration objective
        = std::min(scaled(criticalPathLength(withAdviceTime(record)), record.m_policy.m_slackFactor), maxObjective)
        + record.m_policy.m_latencyTarget;
    job.m_finishedIn.resize(job.stepsPerOccurrence());
    job.m_chain = criticalPathLength(record.m_spec);
    job.m_objective = job.m_acceptedAt + objective;
    job.m_usefulUntil = job.m_acceptedAt + objective * usefulObjectives;
    if (!record.m_team.value().empty())
        job.m_shareNumber = m_shares.add(record.m_job, record.m_team, record.m_acceptedMs);
    m_jobs.emplace(record.m_job, std::move(owned));
    return job;
}

void JobScheduler::addJob(
    const JobRecord& record, const JobProgress& stored, std::int64_t wallNowMs, TimePoint now, bool isRecordStored)
{
    if (const auto known = m_jobs.find(record.m_job); known != m_jobs.end())
        return handleReusedId(*known->second, record);
    Job& job = createJob(record, wallNowMs, now);
    job.m_storedState = stored.m_state;
    job.m_isRecordKept = isRecordStored;
    if (isFinal(stored.m_state)) {
        job.m_state = stored.m_state;
        job.m_closedAt = now;
        return restorePlacesOfEndedJob(job, stored, now);
    }
    if (takeEarlyCancellation(record)) {
        closeJob(job, JobState::Cancelled, now);
        return restorePlacesOfEndedJob(job, stored, now);
    }
    restoreTasks(job, stored, now);
    updateHeldOccurrences(job, wallNowMs, now);
    updatePending(job);
    if (job.isOpen() && record.m_spec.hasDueTimes())
        m_jobsWithDueTimes.push_back(&job);
}

void JobScheduler::handleReusedId(Job& job, const JobRecord& record)
{
    // A caller repeats a submission that got no answer; that record has the same team.
    if (record.m_team == job.m_record.m_team || std::exchange(job.m_isIdReused, true))
        return;
    m_reusedIds.push_back({ record.m_job, job.m_record.m_team, record.m_team });
    // The later record may have replaced the first one in the job topic, so the first is stored beside the progress.
    if (!job.m_isRecordKept)
        markChanged(job);
}

bool JobScheduler::takeEarlyCancellation(const JobRecord& record)
{
    const auto found = m_cancelledEarly.find(record.m_job);
    if (found == m_cancelledEarly.end())
        return false;
    const std::vector<Canceller> cancellers = std::move(found->second.m_cancellers);
    m_cancelledEarly.erase(found);
    return std::any_of(cancellers.begin(), cancellers.end(),
        [&record](const Canceller& canceller) { return canceller.mayCancel(record.m_team); });
}

PoolNumber JobScheduler::poolNumber(const std::string& service)
{
    const PoolNumber number
        = m_poolNumbers.try_emplace(service, static_cast<PoolNumber>(m_poolNumbers.size())).first->second;
    if (number >= m_poolWorkers.size()) {
        m_poolWorkers.resize(number + 1);
        m_poolReservations.resize(number + 1);
        m_poolBeyondShare.resize(number + 1);
    }
    return number;
}

void JobScheduler::updatePending(Job& job)
{
    const bool isPending = job.isOpen() && !job.m_hasStarted;
    if (std::exchange(job.m_isPending, isPending) != isPending)
        m_pending[job.m_record.m_policy.m_queue] += isPending ? 1U : -1U;
}

void JobScheduler::restoreTasks(Job& job, const JobProgress& progress, TimePoint now)
{
    job.m_hasStarted
        = progress.m_state == JobState::Running || !progress.m_done.empty() || !progress.m_finished.empty();
    if (job.m_hasStarted)
        job.m_state = JobState::Running;
    if (!progress.m_done.empty() || !progress.m_finished.empty())
        markChanged(job);
    const std::vector<TaskIndex> unfinished = restoreFinishedSteps(job, progress);
    const auto find = [&](const TaskIndex& index) -> std::pair<Step*, Task*> {
        Step* step = openStep(job, index, now);
        return { step, step == nullptr ? nullptr : &step->m_tasks.own(index.m_task) };
    };
    for (const auto& [index, runs] : progress.m_failedRuns) {
        if (const auto [step, task] = find(index); task != nullptr) {
            task->m_failedRuns = runs;
            task->m_highestRun = *std::max_element(runs.begin(), runs.end());
        }
    }
    for (const auto& [index, crashes] : progress.m_crashes) {
        if (const auto [step, task] = find(index); task != nullptr)
            task->m_crashes = crashes;
    }
    for (const auto& [index, workers] : progress.m_places) {
        if (Step* step = openStep(job, { index.m_occurrence, index.m_step, 0 }, now); step != nullptr)
            step->m_inheritedPlaces = workers;
    }
    m_areInheritedPlacesChanged = m_areInheritedPlacesChanged || !progress.m_places.empty();
    for (const TaskIndex& index : unfinished) {
        if (const auto [step, task] = find(index); task != nullptr)
            finishTask(*step, *task, now);
    }
    for (const auto& [index, workers] : progress.m_places) {
        if (Step* step = openStep(job, { index.m_occurrence, index.m_step, 0 }, now); step != nullptr)
            updateInheritedCharge(*step);
    }
    closeIfFinished(job, now);
}

void JobScheduler::restorePlacesOfEndedJob(Job& job, const JobProgress& progress, TimePoint now)
{
    if (job.m_team == noTeam || progress.m_places.empty())
        return;
    m_areInheritedPlacesChanged = true;
    for (const auto& [index, workers] : progress.m_places) {
        Step* step = stepOf({ job.m_record.m_job, { index.m_occurrence, index.m_step, 0 } }, now);
        if (step == nullptr)
            continue;
        step->m_inheritedPlaces = workers;
        updateInheritedCharge(*step);
    }
}

void JobScheduler::updateInheritedCharge(Step& step)
{
    const Job& job = *step.m_job;
    if (job.m_team == noTeam || (step.m_inheritedPlaces.empty() && step.m_inheritedCharge.isZero()))
        return;
    std::int64_t runs = 0;
    if (!step.m_inheritedPlaces.empty() && step.m_spec->m_allowsCopies) {
        // A copy may run beside a known run or after the end of the task, and two of them at two places.
        const auto perTask = std::min<std::size_t>(step.m_inheritedPlaces.size(), maxUnresolvedCopies);
        runs = static_cast<std::int64_t>(step.m_tasks.size() * perTask);
    } else if (!step.m_inheritedPlaces.empty()) {
        step.m_tasks.visit([&runs](const Task& task, std::size_t tasks) {
            runs += !task.m_isDone && task.m_liveRuns == 0 ? static_cast<std::int64_t>(tasks) : 0;
        });
    }
    m_teamLimits.refund(job.m_team, step.m_inheritedCharge);
    step.m_inheritedCharge = step.m_spec->m_need * runs;
    m_teamLimits.charge(job.m_team, step.m_inheritedCharge);
}

void JobScheduler::cancelJob(const JobId& id, TimePoint now, const Canceller& canceller)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        EarlyCancellation& early = m_cancelledEarly.try_emplace(id, EarlyCancellation { now, {} }).first->second;
        if (std::find(early.m_cancellers.begin(), early.m_cancellers.end(), canceller) == early.m_cancellers.end())
            early.m_cancellers.push_back(canceller);
        return;
    }
    if (found->second->isOpen() && canceller.mayCancel(found->second->m_record.m_team))
        closeJob(*found->second, JobState::Cancelled, now);
}

void JobScheduler::closeJob(Job& job, JobState state, TimePoint now)
{
    job.m_state = state;
    job.m_closedAt = now;
    updatePending(job);
    markChanged(job);
    for (Step& step : job.steps())
        refreshAllWaiting(step, now);
    if (state != JobState::Done)
        stopAllRuns(job, now);
}

void JobScheduler::markChanged(Job& job)
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
    const TaskIndex& index = name.m_index;
    // The occurrences of a job that has ended are needed only for runs that still exist.
    const bool isDue = index.m_occurrence < job.m_dueOccurrences || !job.isOpen();
    return isDue ? openStep(job, index, now) : nullptr;
}

void JobScheduler::refreshWaiting(Step& step, Task& task, TimePoint now, std::size_t tasks)
{
    // Copies of a task whose workers fall silent one after the other wait until it is known why.
    const bool mayCopy = step.m_spec->m_allowsCopies && task.m_liveRuns < maxUnresolvedCopies;
    const std::uint32_t runs = mayCopy ? task.m_activeRuns : task.m_liveRuns;
    const bool isWaiting = step.m_job->isOpen() && step.m_openDependencies == 0 && !task.m_isDone && runs == 0;
    if (isWaiting == task.m_isWaiting)
        return;
    task.m_isWaiting = isWaiting;
    step.m_job->m_areHeldOccurrencesStale = true;
    if (!isWaiting) {
        step.m_waitingTasks -= static_cast<std::uint32_t>(tasks);
        return;
    }
    task.m_waitingSince = now;
    step.m_waitingTasks += static_cast<std::uint32_t>(tasks);
    if (!step.m_isQueued) {
        step.m_queuedFactor = m_speeds.fastestFactor(step.m_job->m_pool);
        m_waitingSteps.insert(step, now);
    }
}

void JobScheduler::refreshAllWaiting(Step& step, TimePoint now)
{
    step.m_tasks.visit([&](Task& task, std::size_t tasks) { refreshWaiting(step, task, now, tasks); });
}

void JobScheduler::finishTask(Step& step, Task& task, TimePoint now)
{
    if (task.m_isDone)
        return;
    task.m_isDone = true;
    ++step.m_doneTasks;
    noteKnownTask(step);
    refreshWaiting(step, task, now);
    markChanged(*step.m_job);
    if (step.isFinished())
        finishStep(step, now);
}

void JobScheduler::finishStep(Step& step, TimePoint now)
{
    Job& job = *step.m_job;
    job.m_finishedIn[step.m_name.m_step].add(step.m_name.m_occurrence);
    ++job.m_finishedSteps;
    job.m_areHeldOccurrencesStale = true;
    for (std::uint32_t i = step.m_name.m_step + 1; i < job.stepsPerOccurrence(); ++i) {
        Step& other = *job.step(step.m_name.m_occurrence, i);
        const auto& dependencies = other.m_spec->m_dependsOn;
        other.m_openDependencies
            -= static_cast<std::uint32_t>(std::count(dependencies.begin(), dependencies.end(), step.m_name.m_step));
        refreshAllWaiting(other, now);
    }
    closeIfFinished(job, now);
}

void JobScheduler::closeIfFinished(Job& job, TimePoint now)
{
    const std::uint64_t allSteps = std::uint64_t { job.stepsPerOccurrence() } * job.m_record.m_spec.occurrenceCount();
    if (job.isOpen() && job.m_finishedSteps == allSteps)
        closeJob(job, JobState::Done, now);
}

void JobScheduler::claimTeamRoom(Step& step)
{
    const Job& job = *step.m_job;
    if (job.m_team == noTeam)
        return;
    const std::uint64_t tasks = std::min<std::uint64_t>(
        step.m_waitingTasks, m_teamLimits.claimableSlots(job.m_team, job.m_record.m_teamLimit, step.m_spec->m_need));
    step.m_teamClaim = step.m_spec->m_need * static_cast<std::int64_t>(tasks);
    m_teamLimits.claim(job.m_team, step.m_teamClaim);
}

void JobScheduler::endTeamClaim(Step& step)
{
    m_teamLimits.unclaim(step.m_job->m_team, std::exchange(step.m_teamClaim, {}));
}

void JobScheduler::noteKnownTask(const Step& step)
{
    const bool isCounted = !step.m_inheritedCharge.isZero() && !step.m_spec->m_allowsCopies;
    m_areInheritedPlacesChanged = m_areInheritedPlacesChanged || isCounted;
}

std::vector<SchedulerAction> JobScheduler::step(std::int64_t wallNowMs, TimePoint now, const AdviceCapacity& advice)
{
    std::erase_if(m_jobsWithDueTimes, [](const Job* job) { return !job->isOpen(); });
    for (Job* job : m_jobsWithDueTimes)
        updateHeldOccurrences(*job, wallNowMs, now);
    superviseWorkers(now);
    applyShareMarks(now);
    m_speeds.update(now);
    handleLateRuns(now);
    if (!m_areStartsHeld) {
        startRecordedRuns(now);
        PlacementPass(*this, now).run(advice);
    }
    m_shares.updateRefusals(wallNowMs, now);
    return std::exchange(m_actions, {});
}

void JobScheduler::applyShareMarks(TimePoint now)
{
    for (const auto& [id, mark] : m_shares.takeMarkChanges()) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end())
            continue;
        found->second->m_share = mark;
        for (Step& step : found->second->steps())
            m_waitingSteps.refresh(step, now);
    }
}

bool JobScheduler::mayRunOnUnreportedWorker(const Step& step, TimePoint now) const
{
    return std::any_of(step.m_inheritedPlaces.begin(), step.m_inheritedPlaces.end(),
        [this, now](const WorkerId& place) { return mayRunInherited(place, now); });
}

bool JobScheduler::mayRunInherited(const WorkerId& place, TimePoint now) const
{
    const Worker* found = worker(place);
    return (found == nullptr || !found->m_hasReported) && now < unreportedLeaseEnd(place);
}

TimePoint JobScheduler::unreportedLeaseEnd(const WorkerId& id) const
{
    const auto late = m_inheritedLateLeases.find(id);
    return std::max(inheritedLeaseEnd(id), late == m_inheritedLateLeases.end() ? TimePoint() : late->second);
}

TimePoint JobScheduler::inheritedLeaseEnd(const WorkerId& id) const
{
    const Worker* found = worker(id);
    // This term extends the lease of a worker whose reports do not list all ends yet.
    const TimePoint granted = found == nullptr ? TimePoint() : found->m_leaseEnd;
    return std::max(granted, m_inheritedLeases.endFor(id));
}

void JobScheduler::startRecordedRuns(TimePoint now)
{
    for (const auto& [number, name] : std::exchange(m_recordingRuns, {})) {
        Worker* worker = findWorker(number);
        const auto run = worker == nullptr ? std::map<RunName, Run>::iterator() : worker->m_runs.find(name);
        if (worker == nullptr || run == worker->m_runs.end() || run->second.m_phase != RunPhase::Recording)
            continue;
        Step& step = *run->second.m_step;
        const bool isRecorded = step.isRecordedPlace(number);
        if (!isRecorded && !m_isStoreUnavailable && !step.m_job->m_isRejected) {
            m_recordingRuns.emplace_back(number, name);
            continue;
        }
        // Gives up a place that cannot be recorded now: another one may be recorded, and its ticket expires.
        if (!isRecorded || !PlacementPass(*this, now).mayStart(*worker, step)) {
            removeRun(*worker, name, now);
            if (step.m_spec->m_isGang)
                stopGang(step, name.m_run, now);
            continue;
        }
        JobHistory& history = step.m_job->m_history;
        history.m_longestRecord = std::max(history.m_longestRecord, now - run->second.m_orderedAt);
        ++history.m_starts;
        setPhase(run->second, RunPhase::Starting);
        run->second.m_orderedAt = now;
        run->second.m_bornMs = worker->m_description.m_bornMs;
        StartOrder order { worker->m_description.m_worker, name, step.m_job->m_record.m_spec.m_payload,
            taskOf(step, name).m_checkpoint, {} };
        run->second.m_mayBeginUntil = now + maxOrderDelay;
        if (step.m_job->m_record.m_policy.m_advice) {
            const Permission& permission = step.m_permissions.at(number);
            order.m_ticket = permission.m_ticket;
            run->second.m_mayBeginUntil
                = std::min(run->second.m_mayBeginUntil, permission.m_expiresAt + ticketExpiryMargin);
        }
        ++m_counters.m_starts;
        m_actions.emplace_back(std::move(order));
    }
}

// Queries

bool JobScheduler::knows(const JobId& id) const { return m_jobs.contains(id); }

std::size_t JobScheduler::openJobCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& entry) { return entry.second->isOpen(); }));
}

JobScheduler::HeldWork JobScheduler::heldWork() const
{
    HeldWork held;
    for (const auto& [id, job] : m_jobs) {
        for (const Step& step : job->steps()) {
            ++held.m_steps;
            held.m_tasks += step.m_tasks.stateCount();
        }
    }
    return held;
}

JobState JobScheduler::state(const JobId& id) const
{
    const Job& job = *m_jobs.at(id);
    if (job.isOpen() || job.m_state == JobState::Cancelled)
        return job.m_state;
    // A successor knows of an end once it is stored.
    return isFinal(job.m_storedState) ? job.m_storedState : JobState::Running;
}

void JobScheduler::setTeams(const std::vector<TeamPolicy>& teams, TimePoint)
{
    m_teamLimits.setTeams(teams);
    m_shares.setTeams(teams);
}

std::vector<TeamUse> JobScheduler::teamUses() const
{
    std::vector<TeamUse> uses = m_teamLimits.uses();
    if (uses.empty())
        return uses;
    std::unordered_map<TeamId, std::uint64_t> waitingTasks;
    for (const auto& [rank, step] : m_waitingSteps)
        waitingTasks[step->m_job->m_record.m_team] += step->m_waitingTasks;
    for (const Job* job : m_jobsWithDueTimes)
        waitingTasks[job->m_record.m_team] += job->isOpen() ? waitingTasksNotHeld(*job) : 0;
    for (TeamUse& use : uses) {
        if (const auto found = waitingTasks.find(use.m_team); found != waitingTasks.end())
            use.m_waitingTasks = found->second;
    }
    return uses;
}

std::vector<TeamRefusal> JobScheduler::refusedTeams(TimePoint now) const { return m_shares.refusedTeams(now); }

const TeamId& JobScheduler::teamOf(const JobId& id) const { return m_jobs.at(id)->m_record.m_team; }

std::uint32_t JobScheduler::pending(const std::string& queue) const
{
    const auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : found->second;
}

std::vector<JobScheduler::Wait> JobScheduler::takeLongWaits(Duration age, std::size_t most, TimePoint now)
{
    std::vector<Step*> due;
    for (const auto& [rank, step] : m_waitingSteps) {
        const bool isLong = step->m_nextWaitLogAt <= now && step->m_tasks.anyOf([&](const Task& task) {
            return task.m_isWaiting && now - task.m_waitingSince > age;
        });
        if (isLong)
            due.push_back(step);
    }
    std::stable_sort(
        due.begin(), due.end(), [](const Step* a, const Step* b) { return a->m_nextWaitLogAt < b->m_nextWaitLogAt; });
    if (due.size() > most)
        due.resize(most);
    std::vector<Wait> waits;
    for (Step* step : due) {
        step->m_waitLogInterval = std::max(age, step->m_waitLogInterval * 2);
        step->m_nextWaitLogAt = now + step->m_waitLogInterval;
        waits.push_back({ step->m_name, PlacementPass(*this, now).explain(*step) });
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
    const auto found = m_workerNumbers.find(id);
    return found == m_workerNumbers.end() ? nullptr : m_workersByNumber[found->second];
}

Worker* JobScheduler::findWorker(const WorkerId& id)
{
    const auto found = m_workerNumbers.find(id);
    return found == m_workerNumbers.end() ? nullptr : m_workersByNumber[found->second];
}

} // namespace sapphiredale::jobs
