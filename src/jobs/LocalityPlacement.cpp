// Waits of steps for places near their data or near each other: what the decision in LocalityWait is told, and how
// placement follows it.

#include "jobs/Placement.h"

#include <algorithm>

namespace sapphiredale::jobs {

namespace {

    /// Interval between two decisions for a step. Expected ends of runs change with each report, once a second.
    constexpr Duration decisionInterval = std::chrono::milliseconds(50);

    /// Whether the runs of the step are on more than one rack already, so that its tasks are slow wherever they start.
    bool isOnSeveralRacks(const Step& step, const std::vector<Worker*>& workers)
    {
        const Worker* first = nullptr;
        for (const auto& [number, runs] : step.m_places) {
            const Worker* worker = workers[number];
            if (first != nullptr && worker->m_description.m_rack != first->m_description.m_rack)
                return true;
            first = worker;
        }
        return false;
    }

} // namespace

RackId PlacementPass::nearRack(const Step& step) const
{
    const StepSpec& spec = *step.m_spec;
    if (!spec.m_dataRack.empty())
        return RackId(spec.m_dataRack);
    return spec.m_isRackLocal ? rackWithMostRoom(step) : RackId();
}

const std::vector<Worker*>& PlacementPass::workersOnRack(const RackId& rack)
{
    if (!m_areRacksListed) {
        m_areRacksListed = true;
        for (auto& [id, worker] : m_scheduler.m_workers)
            m_workersByRack[worker.m_description.m_rack].push_back(&worker);
    }
    return m_workersByRack[rack];
}

std::vector<TimePoint> PlacementPass::expectedNearPlaces(const Step& step, const RackId& rack, std::size_t most)
{
    std::vector<TimePoint> places;
    for (const Worker* worker : workersOnRack(rack)) {
        if (isRefused(*worker, step) || !isEligible(*worker, step) || isReservedForOther(*worker, step)
            || worker->m_trials > 0)
            continue;
        Resources free = worker->free();
        std::uint32_t slots = slotsFor(*worker, step, free);
        places.insert(places.end(), std::min<std::size_t>(slots, most), m_now);
        std::vector<std::pair<TimePoint, const Run*>> ends;
        for (const auto& [name, run] : worker->m_runs) {
            if (const TimePoint end = expectedEnd(run, m_scheduler.m_speeds.factor(worker->m_number), m_now);
                end != TimePoint::max())
                ends.emplace_back(end, &run);
        }
        std::sort(ends.begin(), ends.end());
        for (const auto& [end, run] : ends) {
            free += run->m_reserved;
            const std::uint32_t then = slotsFor(*worker, step, free);
            if (then > slots)
                places.insert(places.end(), std::min<std::size_t>(then - slots, most), end);
            slots = std::max(slots, then);
        }
    }
    std::sort(places.begin(), places.end());
    if (places.size() > most)
        places.resize(most);
    return places;
}

void PlacementPass::updateLocalityWait(Step& step)
{
    const StepSpec& spec = *step.m_spec;
    const SchedulerSettings& settings = m_scheduler.m_settings;
    const bool isNearBetter = settings.m_remoteFactor > 1.0 && (!spec.m_dataRack.empty() || spec.m_isRackLocal);
    if (!settings.m_waitsForLocality || !isNearBetter || spec.m_isLongRunning || spec.m_isFilling)
        return;
    LocalityState& state = step.m_locality;
    std::uint32_t& ahead = m_heldByRack[state.m_rack];
    if (m_now < state.m_nextDecisionAt) {
        state.m_held = std::min(state.m_held, step.m_waitingTasks);
        ahead += state.m_held;
        return;
    }
    state.m_nextDecisionAt = m_now + decisionInterval;
    state.m_rack = nearRack(step);
    state.m_held = 0;
    if (state.m_rack.empty() || (spec.m_dataRack.empty() && isOnSeveralRacks(step, m_scheduler.m_workersByNumber)))
        return;
    LocalityQuestion question;
    question.m_now = m_now;
    question.m_readySince = m_now;
    step.m_tasks.visit([&question](const Task& task, std::size_t) {
        if (task.m_isWaiting)
            question.m_readySince = std::min(question.m_readySince, task.m_waitingSince);
    });
    question.m_estimate = spec.m_estimate;
    question.m_remoteFactor = settings.m_remoteFactor;
    question.m_latestNearStart = step.m_job->m_objective - step.m_criticalPath;
    question.m_tasks = step.m_waitingTasks;
    question.m_tasksAhead = m_heldByRack[state.m_rack];
    question.m_needsAll = spec.m_isGang || spec.m_dataRack.empty();
    if (latestWaitEnd(question) > m_now)
        question.m_nearPlaces
            = expectedNearPlaces(step, state.m_rack, std::size_t { question.m_tasks } + question.m_tasksAhead);
    state.m_held = decideLocalityWait(question).m_held;
    m_heldByRack[state.m_rack] += state.m_held;
}

void PlacementPass::noteLocalityWait(Step& step)
{
    LocalityState& state = step.m_locality;
    if (state.m_held == 0 || step.m_waitingTasks == 0 || state.m_waitsSince != TimePoint::max())
        return;
    state.m_waitsSince = m_now;
    m_scheduler.m_localityCounters.m_begun += std::min(state.m_held, step.m_waitingTasks);
}

void PlacementPass::noteStartAfterWait(Step& step, const Worker& worker)
{
    LocalityState& state = step.m_locality;
    if (state.m_waitsSince == TimePoint::max())
        return;
    LocalityCounters& counters = m_scheduler.m_localityCounters;
    const bool isNear = worker.m_description.m_rack == state.m_rack;
    ++(isNear ? counters.m_endedNear : counters.m_endedElsewhere);
    const Duration waited = m_now - state.m_waitsSince;
    counters.m_waited += waited;
    JobHistory& history = step.m_job->m_history;
    history.m_longestLocalityWait = std::max(history.m_longestLocalityWait, waited);
    if (step.m_waitingTasks == 0)
        state.m_waitsSince = TimePoint::max();
}

} // namespace sapphiredale::jobs
