// Ranking of waiting steps, choice of workers, and advice requests.

#include "jobs/Placement.h"

#include <algorithm>
#include <limits>

namespace sapphiredale::jobs {

namespace {

    // Costs of a placement. The unit is the whole capacity of a worker left unused.
    constexpr double otherRackCost = 4.0;
    constexpr double otherDomainCost = 1.5;
    constexpr double interferenceCost = 2.0;
    constexpr double avoidedWorkerCost = 8.0;
    /// Advice requests with a longer base time leave this many daemons, but at most one in three, to the others.
    constexpr Duration longAdviceTime = std::chrono::milliseconds(150);
    constexpr std::uint32_t reservedDaemons = 2;
    constexpr std::uint32_t daemonsPerReserved = 3;
    /// Capacity that an advice request should yield, as a multiple of the need.
    constexpr double adviceRequestMargin = 1.6;
    /// Maximum number of workers in one advice request; the adviser accepts no more.
    constexpr std::size_t maxWorkersPerAdviceRequest = 100;
    /// More slots than this on one worker do not count in favor of naming it.
    constexpr std::uint32_t maxSlotsPerWorker = 8;

    std::int64_t slotsOf(std::int64_t free, std::int64_t need)
    {
        return need <= 0 ? std::numeric_limits<std::int32_t>::max() : std::max<std::int64_t>(0, free) / need;
    }

    /// Limit on the places of earlier steps that are recorded for a later one; more would make the records long.
    constexpr std::size_t maxPlannedPlaces = 24;

    /// Minimum share of allowed workers for which an advice request tentatively reserves a slot on each worker that it
    /// names.
    constexpr double tentativeReservationShare = 0.3;

} // namespace

void PlacementPass::run(AdviceCapacity advice)
{
    const std::uint32_t reserve = std::min(reservedDaemons, advice.m_all / daemonsPerReserved);
    std::erase_if(m_scheduler.m_waitingSteps, [](Step* step) {
        step->m_isQueued = step->m_waitingTasks > 0;
        return !step->m_isQueued;
    });
    if (m_scheduler.m_waitingSteps.empty())
        return;
    std::uint32_t looked = 0;
    for (const Rank& rank : rankedSteps()) {
        Step& step = *rank.m_step;
        if (!step.m_spec->m_allowsCopies && m_scheduler.mayRunOnUnreportedWorker(step, m_now))
            continue;
        if (++looked > m_scheduler.m_settings.m_maxStepsPerPass)
            break;
        if (step.m_spec->m_isGang)
            placeGang(step);
        else
            placeTasks(step);
        const bool needsTickets = step.m_job->m_record.m_policy.m_advice && step.m_waitingTasks > 0;
        if (!needsTickets || step.m_isAdvicePending || step.m_nextAdviceAt > m_now)
            continue;
        const bool isLong = step.m_job->m_record.m_policy.m_advice->m_base > longAdviceTime;
        if (advice.m_idle > (isLong ? reserve : 0) && requestAdvice(step))
            --advice.m_idle;
    }
}

std::vector<PlacementPass::Rank> PlacementPass::rankedSteps() const
{
    std::vector<Rank> ranks;
    ranks.reserve(m_scheduler.m_waitingSteps.size());
    for (Step* step : m_scheduler.m_waitingSteps)
        ranks.push_back(rankOf(*step));
    std::sort(ranks.begin(), ranks.end());
    return ranks;
}

PlacementPass::Rank PlacementPass::rankOf(Step& step) const
{
    const Job& job = *step.m_job;
    Rank rank;
    rank.m_step = &step;
    rank.m_priority = job.m_record.m_policy.m_priority;
    rank.m_deadline = job.m_objective;
    if (step.m_spec->m_isLongRunning) {
        // Each second of downtime of a long-running task counts the same, however late it is.
        rank.m_priority = 0;
        rank.m_deadline = job.m_acceptedAt;
        return rank;
    }
    rank.m_lateness = m_now + step.m_criticalPath <= job.m_objective ? 0 : m_now <= job.m_usefulUntil ? 1 : 2;
    return rank;
}

const char* PlacementPass::ineligibilityReason(const Worker& worker, const Step& step) const
{
    const WorkerDescription& description = worker.m_description;
    if (!worker.m_isListed)
        return "unlisted";
    if (!worker.m_hasReported)
        return "notReported";
    if (!worker.isAnswering())
        return "silent";
    if (!worker.m_isDescribed)
        return "notDescribed";
    if (worker.m_hasUnknownRuns)
        return "unknownRuns";
    if (description.m_isDraining)
        return "draining";
    if (worker.m_quarantinedUntil > m_now)
        return "quarantined";
    if (m_scheduler.m_isStoreUnavailable && !step.isRecordedPlace(description.m_worker))
        return "notRecorded";
    const std::string& label = step.m_spec->m_requiredLabel;
    const std::vector<std::string>& labels = description.m_labels;
    const bool hasLabel = label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    return hasLabel && description.m_service == step.m_job->m_record.m_policy.m_service ? nullptr : "otherPoolOrLabel";
}

bool PlacementPass::hasTicket(const Worker& worker, const Step& step) const
{
    const auto found = step.m_permissions.find(worker.m_description.m_worker);
    return found != step.m_permissions.end() && found->second.m_isAllowed
        && found->second.m_bornMs == worker.m_description.m_bornMs
        && m_now + m_scheduler.m_settings.m_ticketMargin < found->second.m_expiresAt;
}

std::uint32_t PlacementPass::runsOn(const Worker& worker, const Step& step) const
{
    return static_cast<std::uint32_t>(std::count_if(
        worker.m_runs.begin(), worker.m_runs.end(), [&](const auto& entry) { return entry.second.m_step == &step; }));
}

std::uint32_t PlacementPass::slotsFor(const Worker& worker, const Step& step, const Resources& free) const
{
    const Resources need = step.m_spec->reserved();
    std::int64_t count = std::min({ slotsOf(free.m_cpuMillis, need.m_cpuMillis),
        slotsOf(free.m_memoryMiB, need.m_memoryMiB), slotsOf(free.m_accelerators, need.m_accelerators) });
    if (step.m_spec->m_isFilling) {
        const std::int64_t unused = free.m_cpuMillis - worker.m_fillingMillis;
        count = std::min(count, slotsOf(unused, step.m_spec->m_need.m_cpuMillis));
    }
    if (step.m_spec->m_maxPerWorker > 0)
        count = std::min<std::int64_t>(
            count, step.m_spec->m_maxPerWorker - std::min(step.m_spec->m_maxPerWorker, runsOn(worker, step)));
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::int32_t>::max()));
}

bool PlacementPass::fits(const Worker& worker, const Step& step, const Resources& free) const
{
    if (!step.m_spec->reserved().fitsIn(free))
        return false;
    return slotsFor(worker, step, free) > 0;
}

double PlacementPass::cost(const Worker& worker, const Step& step, const Task& task, const RackId& rack) const
{
    const StepSpec& spec = *step.m_spec;
    const Resources left = worker.free() - spec.reserved();
    const Resources& capacity = worker.m_description.m_capacity;
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 1.0;
    };
    // Best fit by the scarcest resource; filling tasks go where most processor time is unused.
    double cost
        = std::min(share(left.m_cpuMillis, capacity.m_cpuMillis), share(left.m_memoryMiB, capacity.m_memoryMiB));
    if (spec.m_isFilling)
        cost = 1.0 - share(left.m_cpuMillis - worker.m_fillingMillis - spec.m_need.m_cpuMillis, capacity.m_cpuMillis);
    const RackId& at = worker.m_description.m_rack;
    if (!spec.m_dataRack.empty() && at.value() != spec.m_dataRack)
        cost += otherRackCost;
    if (!rack.empty() && at != rack)
        cost += otherRackCost;
    if (!step.m_job->m_domain.empty() && worker.m_description.m_failureDomain != step.m_job->m_domain)
        cost += otherDomainCost;
    if ((spec.m_isFilling && worker.m_servingRuns > 0) || (spec.isServing() && worker.m_fillingRuns > 0))
        cost += interferenceCost;
    if (task.m_avoid == worker.m_description.m_worker)
        cost += avoidedWorkerCost;
    return cost;
}

Worker* PlacementPass::chooseWorker(const Step& step, const Task& task, const RackId& rack)
{
    Worker* best = nullptr;
    double bestCost = 0;
    const auto consider = [&](Worker& worker) {
        if (!isEligible(worker, step) || !fits(worker, step, worker.free()))
            return;
        const double candidate = cost(worker, step, task, rack);
        if (best == nullptr || candidate < bestCost) {
            best = &worker;
            bestCost = candidate;
        }
    };
    if (!step.m_job->m_record.m_policy.m_advice) {
        for (auto& [id, worker] : m_scheduler.m_workers)
            consider(worker);
        return best;
    }
    for (const auto& [id, permission] : step.m_permissions) {
        const auto found = m_scheduler.m_workers.find(id);
        if (permission.m_isAllowed && found != m_scheduler.m_workers.end() && hasTicket(found->second, step))
            consider(found->second);
    }
    return best;
}

void PlacementPass::chooseDomain(Step& step)
{
    // A job moves to another domain only when none of its tasks is running.
    const bool runsSomewhere = !step.m_places.empty();
    if (step.m_spec->m_isLongRunning || runsSomewhere)
        return;
    std::map<FailureDomainId, double> room;
    for (const auto& [id, worker] : m_scheduler.m_workers) {
        if (!isEligible(worker, step))
            continue;
        const auto known = step.m_permissions.find(id);
        if (known != step.m_permissions.end() && !known->second.m_isAllowed)
            continue;
        room[worker.m_description.m_failureDomain]
            += slotsFor(worker, step, worker.free() - worker.m_tentativelyReserved);
    }
    const double wanted = step.m_waitingTasks * adviceRequestMargin;
    FailureDomainId& domain = step.m_job->m_domain;
    if (const auto present = room.find(domain); present != room.end() && present->second >= wanted)
        return;
    const auto best
        = std::max_element(room.begin(), room.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (best != room.end() && best->second > 0)
        domain = best->first;
}

RackId PlacementPass::rackWithMostRoom(const Step& step) const
{
    std::map<RackId, std::uint64_t> room;
    const bool needsTicket = step.m_job->m_record.m_policy.m_advice.has_value();
    for (const auto& [id, worker] : m_scheduler.m_workers) {
        if (runsOn(worker, step) > 0)
            return worker.m_description.m_rack;
        if (isEligible(worker, step) && (!needsTicket || hasTicket(worker, step)))
            room[worker.m_description.m_rack] += slotsFor(worker, step, worker.free());
    }
    const auto best
        = std::max_element(room.begin(), room.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return best == room.end() ? RackId() : best->first;
}

void PlacementPass::placeTasks(Step& step)
{
    const RackId rack = step.m_spec->m_isRackLocal ? rackWithMostRoom(step) : RackId();
    for (std::uint32_t i = 0; i < step.m_tasks.size() && step.m_waitingTasks > 0; ++i) {
        Task& task = step.m_tasks[i];
        if (!task.m_isWaiting)
            continue;
        Worker* worker = chooseWorker(step, task, rack);
        if (worker == nullptr)
            return;
        start(step, i, *worker, JobScheduler::nextRun(m_scheduler.m_settings, task));
    }
}

std::vector<Worker*> PlacementPass::chooseGangWorkers(Step& step, const RackId& rack)
{
    const bool needsTicket = step.m_job->m_record.m_policy.m_advice.has_value();
    std::vector<std::pair<double, Worker*>> candidates;
    for (auto& [id, worker] : m_scheduler.m_workers) {
        if (isEligible(worker, step) && (!needsTicket || hasTicket(worker, step))
            && (rack.empty() || worker.m_description.m_rack == rack))
            candidates.emplace_back(cost(worker, step, step.m_tasks.front(), rack), &worker);
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first < b.first
                                  : a.second->m_description.m_worker < b.second->m_description.m_worker;
    });
    std::vector<Worker*> chosen;
    for (const auto& [cost, worker] : candidates) {
        const std::uint32_t room = slotsFor(*worker, step, worker->free());
        for (std::uint32_t i = 0; i < room && chosen.size() < step.m_tasks.size(); ++i)
            chosen.push_back(worker);
    }
    if (chosen.size() < step.m_tasks.size())
        chosen.clear();
    return chosen;
}

void PlacementPass::placeGang(Step& step)
{
    // The members share one run number, so all earlier runs must be over.
    if (step.m_waitingTasks < step.m_tasks.size())
        return;
    std::vector<Worker*> workers;
    if (step.m_spec->m_isRackLocal)
        workers = chooseGangWorkers(step, rackWithMostRoom(step));
    if (workers.empty())
        workers = chooseGangWorkers(step, RackId());
    if (workers.empty())
        return;
    std::uint32_t run = 0;
    for (const Task& task : step.m_tasks)
        run = std::max(run, JobScheduler::nextRun(m_scheduler.m_settings, task));
    // All members must carry the same checkpoint.
    for (Task& task : step.m_tasks)
        task.m_checkpoint = step.m_tasks.front().m_checkpoint;
    for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i)
        start(step, i, *workers[i], run);
}

void PlacementPass::start(Step& step, std::uint32_t index, Worker& worker, std::uint32_t number)
{
    Task& task = step.m_tasks[index];
    const RunName name { { step.m_name.m_job, { step.m_name.m_occurrence, step.m_name.m_step, index } }, number };
    m_scheduler.addRun(step, task, worker, name, RunPhase::Recording, m_now);
    m_scheduler.m_recordingRuns.emplace_back(worker.m_description.m_worker, name);
    for (std::uint32_t i = step.m_name.m_step + 1; i < step.m_job->stepsPerOccurrence(); ++i) {
        Step& later = *step.m_job->step(step.m_name.m_occurrence, i);
        if (later.m_plannedPlaces.size() < maxPlannedPlaces)
            later.m_plannedPlaces.insert(worker.m_description.m_worker);
    }
    if (!step.m_sentPlaces.contains(worker.m_description.m_worker))
        m_scheduler.markChanged(*step.m_job);
}

bool PlacementPass::requestAdvice(Step& step)
{
    chooseDomain(step);
    const AdvicePolicy& advice = *step.m_job->m_record.m_policy.m_advice;
    const double share
        = m_scheduler.m_allowedShare.try_emplace(step.m_job->m_record.m_policy.m_queue, 0.5).first->second;
    struct Candidate {
        double m_expected;
        double m_rackBonus;
        bool m_isInDomain;
        Worker* m_worker;
    };
    std::vector<Candidate> candidates;
    for (auto& [id, worker] : m_scheduler.m_workers) {
        if (!isEligible(worker, step) || hasTicket(worker, step))
            continue;
        const auto known = step.m_permissions.find(id);
        const bool isKnown
            = known != step.m_permissions.end() && known->second.m_bornMs == worker.m_description.m_bornMs;
        if (known != step.m_permissions.end() && !known->second.m_isAllowed)
            continue;
        const std::uint32_t room
            = std::min(maxSlotsPerWorker, slotsFor(worker, step, worker.free() - worker.m_tentativelyReserved));
        if (room == 0)
            continue;
        const bool isNear
            = step.m_spec->m_dataRack.empty() || worker.m_description.m_rack.value() == step.m_spec->m_dataRack;
        candidates.push_back({ (isKnown ? 1.0 : share) * room, isNear ? 1.0 : 0.0,
            worker.m_description.m_failureDomain == step.m_job->m_domain, &worker });
    }
    if (candidates.empty())
        return false;
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        if (a.m_rackBonus != b.m_rackBonus)
            return a.m_rackBonus > b.m_rackBonus;
        if (a.m_isInDomain != b.m_isInDomain)
            return a.m_isInDomain;
        if (a.m_expected != b.m_expected)
            return a.m_expected > b.m_expected;
        return a.m_worker->m_description.m_worker < b.m_worker->m_description.m_worker;
    });
    const double wanted = step.m_waitingTasks * adviceRequestMargin;
    AdviceRequest question { step.m_name, {}, {} };
    double expected = 0;
    for (const Candidate& candidate : candidates) {
        if (expected >= wanted || question.m_workers.size() >= maxWorkersPerAdviceRequest)
            break;
        expected += candidate.m_expected;
        question.m_workers.push_back(candidate.m_worker->m_description.m_worker);
        if (share < tentativeReservationShare)
            continue;
        step.m_tentativeReservations.emplace_back(question.m_workers.back(), step.m_spec->reserved());
        candidate.m_worker->m_tentativelyReserved += step.m_spec->reserved();
    }
    question.m_expected = advice.m_base + advice.m_perWorker * static_cast<std::int64_t>(question.m_workers.size());
    step.m_isAdvicePending = true;
    ++m_scheduler.m_counters.m_questions;
    ++step.m_job->m_history.m_questions;
    m_scheduler.m_actions.emplace_back(std::move(question));
    return true;
}

std::string PlacementPass::explain(const Step& step) const
{
    std::map<std::string, std::uint32_t> reasons;
    for (const auto& [id, worker] : m_scheduler.m_workers) {
        const auto known = step.m_permissions.find(id);
        const bool needsTicket = step.m_job->m_record.m_policy.m_advice.has_value();
        const char* reason = ineligibilityReason(worker, step);
        if (reason == nullptr)
            reason = needsTicket && known != step.m_permissions.end() && !known->second.m_isAllowed ? "notAllowed"
                : !fits(worker, step, worker.free())                                                ? "noRoom"
                : needsTicket && !hasTicket(worker, step)                                           ? "noTicket"
                                                                                                    : "free";
        ++reasons[reason];
    }
    std::string text = "waiting " + std::to_string(step.m_waitingTasks) + " of " + std::to_string(step.m_tasks.size());
    if (step.m_isAdvicePending)
        text += ", asks the adviser";
    if (m_scheduler.mayRunOnUnreportedWorker(step, m_now))
        text += ", may run on an unreachable worker";
    for (const auto& [reason, count] : reasons)
        text += std::string(", ") + reason + ' ' + std::to_string(count);
    return text;
}

void PlacementPass::releaseTentativeReservations(Step& step)
{
    for (const auto& [id, reservation] : step.m_tentativeReservations) {
        if (const auto found = m_scheduler.m_workers.find(id); found != m_scheduler.m_workers.end())
            found->second.m_tentativelyReserved -= reservation;
    }
    step.m_tentativeReservations.clear();
}

} // namespace sapphiredale::jobs
