// Run life cycle: orders and their results, and the adviser's replies.

#include "jobs/JobScheduler.h"

#include "jobs/Placement.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

namespace {

    /// Run numbers that one term may use for a task per renewal of the term; the next term starts above them.
    constexpr std::uint32_t runsPerTerm = 8;

} // namespace

Run& JobScheduler::addRun(Step& step, Task& task, Worker& worker, const RunName& name, RunPhase phase, TimePoint now)
{
    if (task.m_isWaiting) {
        Duration& longest = step.m_job->m_history.m_longestWait;
        longest = std::max(longest, now - task.m_waitingSince);
    }
    Run& run = worker.m_runs[name];
    run.m_name = name;
    run.m_step = &step;
    run.m_worker = &worker;
    run.m_phase = RunPhase::Running;
    setPhase(run, phase);
    run.m_reserved = step.m_spec->reserved();
    run.m_fillingMillis = step.m_spec->m_isFilling ? step.m_spec->m_need.m_cpuMillis : 0;
    run.m_orderedAt = now;
    run.m_bornMs = worker.m_description.m_bornMs;
    run.m_progressAt = now;
    run.m_isBeyondShare = step.m_job->m_share.m_isBeyond;
    if (run.m_isBeyondShare)
        m_poolBeyondShare[step.m_job->m_pool] += run.m_reserved;
    worker.m_reserved += run.m_reserved;
    worker.m_fillingMillis += run.m_fillingMillis;
    // A start that was given up under this name is charged already.
    if (!worker.m_unanswered.contains(name))
        m_teamLimits.charge(step.m_job->m_team, step.m_spec->m_need);
    noteKnownTask(step);
    worker.m_servingRuns += step.m_spec->isServing() ? 1 : 0;
    worker.m_fillingRuns += step.m_spec->m_isFilling ? 1 : 0;
    ++step.m_places[worker.m_number];
    beginProof(run);
    updateRoom(worker, now);
    ++task.m_liveRuns;
    ++task.m_activeRuns;
    task.m_highestRun = std::max(task.m_highestRun, name.m_run);
    refreshWaiting(step, task, now);
    return run;
}

void JobScheduler::markStarted(Job& job)
{
    if (std::exchange(job.m_hasStarted, true) || !job.isOpen())
        return;
    job.m_state = JobState::Running;
    updatePending(job);
}

void JobScheduler::confirm(Run& run, TimePoint now)
{
    Job& job = *run.m_step->m_job;
    markStarted(job);
    if (run.m_confirmedAt != TimePoint::max())
        return;
    run.m_confirmedAt = now;
    run.m_mayBeginUntil = {};
    run.m_worker->m_unanswered.erase(run.m_name);
    job.m_history.m_longestStart = std::max(job.m_history.m_longestStart, now - run.m_orderedAt);
}

std::uint32_t JobScheduler::nextRun(const SchedulerSettings& settings, const Task& task)
{
    const auto first = static_cast<std::uint32_t>((settings.m_term - 1) * runsPerTerm + 1);
    return std::max(task.m_highestRun + 1, first);
}

void JobScheduler::setPhase(Run& run, RunPhase phase)
{
    const auto isUnsettled = [](RunPhase each) { return each != RunPhase::Running && each != RunPhase::Recording; };
    run.m_worker->m_unsettledRuns += (isUnsettled(phase) ? 1U : 0U) - (isUnsettled(run.m_phase) ? 1U : 0U);
    run.m_phase = phase;
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
    if (run.m_mayBeginUntil > now)
        worker.m_unanswered.try_emplace(
            name, run.m_mayBeginUntil, run.m_orderedAt, run.m_bornMs, step.m_job->m_team, step.m_spec->m_need);
    if (!worker.m_unanswered.contains(name))
        m_teamLimits.refund(step.m_job->m_team, step.m_spec->m_need);
    setActive(run, false, now);
    setPhase(run, RunPhase::Running);
    endProof(run);
    if (run.m_isBeyondShare)
        m_poolBeyondShare[step.m_job->m_pool] -= run.m_reserved;
    worker.m_reserved -= run.m_reserved;
    worker.m_fillingMillis -= run.m_fillingMillis;
    worker.m_servingRuns -= step.m_spec->isServing() ? 1 : 0;
    worker.m_fillingRuns -= step.m_spec->m_isFilling ? 1 : 0;
    const auto place = step.m_places.find(worker.m_number);
    if (--place->second == 0) {
        step.m_places.erase(place);
        step.m_job->m_areHeldOccurrencesStale = true;
        // A successor waits for all places that the stored record names, including those of workers that have left.
        if (step.m_job->needsPlaces())
            markChanged(*step.m_job);
    }
    Task& task = taskOf(step, name);
    --task.m_liveRuns;
    worker.m_runs.erase(found);
    updateRoom(worker, now);
    refreshWaiting(step, task, now);
}

const char* nameOf(RunLossReason reason)
{
    static constexpr const char* names[]
        = { "lease-ended", "worker-left", "not-listed", "barred", "worker-replaced", "refused" };
    return names[static_cast<std::size_t>(reason)];
}

void JobScheduler::noteLoss(const Worker& worker, const Run& run, RunLossReason reason, TimePoint now)
{
    const bool isUnanswered = reason != RunLossReason::Refused && run.m_phase != RunPhase::Recording
        && run.m_confirmedAt == TimePoint::max();
    m_lostRuns.push_back({ worker.m_description.m_worker, run.m_name, reason, now, run.m_orderedAt, run.m_bornMs,
        run.m_listedBornMs, isUnanswered, worker.m_leaseEnd });
    m_newLostRuns.push_back(m_lostRuns.back());
}

void JobScheduler::noteUnexpectedRun(const Worker& worker, const RunName& name, std::uint32_t otherRuns)
{
    UnexpectedRun unexpected { worker.m_description.m_worker, name, worker.m_description.m_bornMs, otherRuns,
        std::nullopt };
    for (const LostRun& loss : m_lostRuns) {
        if (loss.m_run == name && loss.m_worker == unexpected.m_worker)
            unexpected.m_loss = loss;
    }
    m_unexpectedRuns.push_back(std::move(unexpected));
}

void JobScheduler::loseRuns(Worker& worker, const std::vector<RunName>& names, RunLossReason reason, TimePoint now)
{
    for (const RunName& name : names) {
        Run& run = worker.m_runs.at(name);
        ++m_counters.m_lostRuns;
        noteLoss(worker, run, reason, now);
        ++run.m_step->m_job->m_history.m_lostRuns;
        removeRun(worker, name, now);
    }
}

void JobScheduler::requestStop(Run& run, TimePoint now)
{
    if (run.m_phase != RunPhase::Stopping) {
        setPhase(run, RunPhase::Stopping);
        run.m_stopConfirmedAt = TimePoint::max();
        setActive(run, false, now);
    }
    run.m_nextStopAt = now + m_settings.m_stopRetryInterval;
    ++m_counters.m_stops;
    m_actions.emplace_back(StopOrder { run.m_worker->m_description.m_worker, run.m_name });
}

template <typename Predicate> void JobScheduler::stopRuns(const Step& step, Predicate predicate, TimePoint now)
{
    for (const auto& [number, runs] : step.m_places) {
        for (auto& [name, run] : findWorker(number)->m_runs) {
            if (run.m_step == &step && run.m_phase != RunPhase::Stopping && predicate(run))
                requestStop(run, now);
        }
    }
}

void JobScheduler::stopAllRuns(const Job& job, TimePoint now)
{
    for (const Step& step : job.steps())
        stopRuns(
            step, [](const Run&) { return true; }, now);
}

void JobScheduler::stopGang(const Step& step, std::uint32_t number, TimePoint now)
{
    stopRuns(
        step, [number](const Run& run) { return run.m_name.m_run == number; }, now);
}

void JobScheduler::stopOtherRuns(const Step& step, const TaskName& task, TimePoint now)
{
    stopRuns(
        step, [&task](const Run& run) { return run.m_name.m_task == task; }, now);
}

void JobScheduler::reportFailed(const WorkerId& id, TimePoint now)
{
    Worker* worker = findWorker(id);
    if (worker == nullptr)
        return;
    worker->m_unansweredAt = now;
    updateRoom(*worker, now);
}

void JobScheduler::startAnswered(const WorkerId& id, const RunName& name, StartOutcome outcome, TimePoint now)
{
    Worker* found = findWorker(id);
    if (found == nullptr || !found->m_runs.contains(name))
        return;
    Worker& worker = *found;
    Run& run = worker.m_runs.at(name);
    switch (outcome) {
    case StartOutcome::StartedInUnknownProcess:
        // As for a restart that is noticed, which follows with the report.
        worker.m_isFenced = false;
        worker.m_lateLeaseEnd = now + maxOrderDelay + m_settings.m_longestLease;
        worker.m_unansweredAt = now;
        updateRoom(worker, now);
        m_actions.emplace_back(ReportOrder { id });
        [[fallthrough]];
    case StartOutcome::Started:
        if (run.m_phase == RunPhase::Starting && run.m_confirmedAt == TimePoint::max())
            run.m_measuredAt = taskOf(*run.m_step, name).m_checkpoint.empty() ? now : TimePoint::max();
        confirm(run, now);
        if (run.m_phase == RunPhase::Starting)
            setPhase(run, RunPhase::Running);
        return;
    case StartOutcome::Unknown:
        handleUnansweredStart(worker, run, now);
        return;
    case StartOutcome::RefusedForTicket:
        if (const auto known = run.m_step->m_permissions.find(worker.m_number);
            known != run.m_step->m_permissions.end())
            known->second.m_expiresAt = {};
        break;
    case StartOutcome::RefusedForRoom:
    case StartOutcome::Refused:
        worker.m_refusalBackoffEnd = now + m_settings.m_stopRetryInterval;
        updateRoom(worker, now);
        break;
    case StartOutcome::NotSent:
    case StartOutcome::RefusedForTerm:
        break;
    }
    ++m_counters.m_refusedStarts;
    Step& step = *run.m_step;
    // A run listed by a report did start, whatever the reply to a repeated order says.
    if (run.m_confirmedAt == TimePoint::max()) {
        if (outcome != StartOutcome::NotSent)
            noteLoss(worker, run, RunLossReason::Refused, now);
        run.m_mayBeginUntil = {};
        removeRun(worker, name, now);
    }
    if (step.m_spec->m_isGang)
        stopGang(step, name.m_run, now);
}

void JobScheduler::handleUnansweredStart(Worker& worker, Run& run, TimePoint now)
{
    ++m_counters.m_unknownStarts;
    worker.m_unansweredAt = now;
    updateRoom(worker, now);
    if (run.m_phase != RunPhase::Starting)
        return;
    setPhase(run, RunPhase::Unknown);
    run.m_unknownSince = now;
    setActive(run, false, now);
    m_actions.emplace_back(ReportOrder { worker.m_description.m_worker });
}

void JobScheduler::stopAnswered(
    const WorkerId& id, const RunName& name, bool confirmed, TimePoint askedAt, TimePoint now)
{
    Worker* worker = findWorker(id);
    // What an earlier process has confirmed does not bind the present one.
    if (worker == nullptr || askedAt < worker->m_restartedAt)
        return;
    const auto run = worker->m_runs.find(name);
    if (run == worker->m_runs.end() || !confirmed || run->second.m_phase != RunPhase::Stopping)
        return;
    run->second.m_stopConfirmedAt = std::min(run->second.m_stopConfirmedAt, now);
    // A run that never began has no end that would complete the pending long poll.
    if (run->second.m_confirmedAt == TimePoint::max())
        m_actions.emplace_back(ReportOrder { id });
}

void JobScheduler::adviceAnswered(const AdviceRequest& question, const std::vector<Ticket>& tickets, TimePoint askedAt,
    Duration validity, TimePoint now)
{
    Step* step = stepOf({ question.m_step.m_job, { question.m_step.m_occurrence, question.m_step.m_step, 0 } }, now);
    if (step == nullptr)
        return;
    PlacementPass(*this, now).releaseTentativeReservations(*step);
    step->m_isAdvicePending = false;
    endTeamClaim(*step);
    step->m_adviceFailures = 0;
    for (const WorkerId& id : question.m_workers) {
        if (const Worker* worker = findWorker(id))
            step->m_permissions[worker->m_number] = {};
    }
    for (const Ticket& ticket : tickets) {
        const Worker* worker = findWorker(ticket.m_worker);
        if (worker == nullptr)
            continue;
        // The adviser may have issued the ticket before the worker restarted.
        const bool isForPresentProcess = worker->m_restartedAt < step->m_adviceSentAt;
        step->m_permissions[worker->m_number]
            = { true, ticket.m_text, askedAt + validity, isForPresentProcess ? worker->m_description.m_bornMs : 0 };
    }
    constexpr double weight = 0.1; // of one answer in the running mean
    double& share = m_allowedShare.try_emplace(step->m_job->m_record.m_policy.m_queue, 0.5).first->second;
    const double seen = static_cast<double>(tickets.size())
        / static_cast<double>(std::max<std::size_t>(1, question.m_workers.size()));
    share += (seen - share) * weight;
}

void JobScheduler::adviceFailed(const AdviceRequest& question, TimePoint now)
{
    Step* step = stepOf({ question.m_step.m_job, { question.m_step.m_occurrence, question.m_step.m_step, 0 } }, now);
    if (step == nullptr)
        return;
    PlacementPass(*this, now).releaseTentativeReservations(*step);
    constexpr Duration initialBackoff = std::chrono::milliseconds(20);
    constexpr std::uint32_t maxDoublings = 4;
    step->m_isAdvicePending = false;
    endTeamClaim(*step);
    step->m_nextAdviceAt = now + initialBackoff * (1 << std::min(step->m_adviceFailures++, maxDoublings));
}

} // namespace sapphiredale::jobs
