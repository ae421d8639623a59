// Reservation of workers for gangs.
//
// Answers a pool that is full most of the time while gangs need several workers at once, for example all accelerators
// of five workers out of the third that the adviser allows: small tasks take every gap, so that a gang never finds room
// on all of them together, and its tickets expire while it waits. A gang that does not fit reserves those permitted
// workers that are expected to have room first. Nothing else is placed on them, and tickets are requested shortly
// before they have room. Reservations are limited in time and to a part of the pool, so that a wrong estimate blocks
// little. Tasks under which a worker has crashed reserve one in the same way; see reserveTrialWorker().

#include "jobs/Placement.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

namespace {

    /// While one in this many workers of a pool is kept free for gangs, no further gang reserves any. The last one may
    /// exceed that, since a large gang would otherwise wait until no other has a reservation.
    constexpr std::uint32_t workersPerReservation = 4;
    /// Time for which a reservation outlasts the expected start.
    constexpr Duration reservationSlack = std::chrono::milliseconds(1500);
    /// Longest time for which workers are kept free beyond that of the advice request: what they could do meanwhile is
    /// lost.
    constexpr Duration maxIdleTime = std::chrono::milliseconds(300);
    /// Interval between two attempts of a step to reserve workers, and the pause after a reservation that was of no
    /// use.
    constexpr Duration attemptInterval = std::chrono::milliseconds(100);
    constexpr Duration pauseAfterReservation = std::chrono::milliseconds(1500);
    /// Remaining time of a run about whose progress nothing is known beyond its estimate.
    constexpr Duration minRemaining = std::chrono::milliseconds(50);
    /// Workers that may run the gang which should be known, as a multiple of its need, so that some of them have room.
    constexpr double permittedMargin = 2.5;

} // namespace

TimePoint expectedEnd(const Run& run, double speedFactor, TimePoint now)
{
    const StepSpec& spec = *run.m_step->m_spec;
    if (spec.m_isLongRunning || spec.m_isFilling)
        return TimePoint::max();
    if (run.m_phase == RunPhase::Stopping)
        return now + minRemaining;
    if (run.m_confirmedAt == TimePoint::max())
        return now + scaled(spec.m_estimate, speedFactor);
    // Estimates are off by half; reported progress tells the true duration.
    const Duration reported = run.m_progressAt - run.m_confirmedAt;
    const bool isMeasured = run.m_percent > 0 && reported.count() > 0;
    const Duration whole = isMeasured ? scaled(reported, 100.0 / run.m_percent) : scaled(spec.m_estimate, speedFactor);
    return std::max(run.m_confirmedAt + whole, now + minRemaining);
}

TimePoint PlacementPass::expectedRoomAt(const Worker& worker, const Step& step) const
{
    const Resources need = step.m_spec->reserved();
    Resources free = worker.free();
    if (need.fitsIn(free))
        return m_now;
    std::vector<std::pair<TimePoint, const Run*>> ends;
    ends.reserve(worker.m_runs.size());
    for (const auto& [name, run] : worker.m_runs)
        ends.emplace_back(expectedEnd(run, m_scheduler.m_speeds.factor(worker.m_number), m_now), &run);
    std::sort(ends.begin(), ends.end());
    for (const auto& [end, run] : ends) {
        if (end == TimePoint::max())
            break;
        free += run->m_reserved;
        if (need.fitsIn(free))
            return end;
    }
    return TimePoint::max();
}

void PlacementPass::endReservations()
{
    const std::vector<Step*> steps = m_scheduler.m_reservingSteps;
    for (Step* step : steps) {
        const std::size_t needed = step->m_spec->m_isGang ? step->m_tasks.size() : 1;
        const bool isNeeded = step->m_job->isOpen() && step->m_waitingTasks >= needed && m_scheduler.hasTeamRoom(*step);
        if (!isNeeded || m_now >= step->m_reservationEnd)
            endReservation(*step);
    }
}

void PlacementPass::endReservation(Step& step)
{
    if (step.m_reservedWorkers.empty())
        return;
    for (const WorkerNumber number : step.m_reservedWorkers) {
        Worker* worker = m_scheduler.findWorker(number);
        if (worker == nullptr || worker->m_reservedFor != &step)
            continue;
        worker->m_reservedFor = nullptr;
        --m_scheduler.m_poolReservations[worker->m_pool];
    }
    step.m_reservedWorkers.clear();
    step.m_nextReservationAt = m_now + pauseAfterReservation;
    std::erase(m_scheduler.m_reservingSteps, &step);
}

bool PlacementPass::mayReserve(const Step& step) const
{
    const PoolNumber pool = step.m_job->m_pool;
    const std::uint32_t reserved = m_scheduler.m_poolReservations[pool];
    const bool isLimitReached = reserved * workersPerReservation >= m_scheduler.m_poolWorkers[pool];
    return step.m_reservedWorkers.empty() && m_now >= step.m_nextReservationAt && !isLimitReached;
}

void PlacementPass::reserve(Step& step, const std::vector<Worker*>& workers, TimePoint readyAt, Duration time)
{
    for (Worker* worker : workers) {
        worker->m_reservedFor = &step;
        step.m_reservedWorkers.push_back(worker->m_number);
        ++m_scheduler.m_poolReservations[worker->m_pool];
    }
    step.m_reservationReadyAt = readyAt;
    step.m_reservationEnd = readyAt + time;
    m_scheduler.m_reservingSteps.push_back(&step);
}

void PlacementPass::reserveWorkers(Step& step)
{
    if (!mayReserve(step))
        return;
    step.m_nextReservationAt = m_now + attemptInterval;
    std::vector<std::pair<TimePoint, Worker*>> candidates;
    const auto consider = [&](Worker& worker) {
        if (isEligible(worker, step) && worker.m_reservedFor == nullptr) {
            const TimePoint at = expectedRoomAt(worker, step);
            if (at != TimePoint::max())
                candidates.emplace_back(at, &worker);
        }
        return true;
    };
    if (step.m_job->m_record.m_policy.m_advice) {
        visitAllowedWorkers(step, consider);
    } else {
        for (const DomainNumber domain : domainsByRoom(step))
            m_scheduler.m_freeRoom.visitFreest(step.m_job->m_pool, domain, 0, consider);
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first < b.first : a.second->m_number < b.second->m_number;
    });
    std::size_t slots = 0;
    std::vector<Worker*> chosen;
    while (chosen.size() < candidates.size() && slots < step.m_tasks.size()) {
        Worker* worker = candidates[chosen.size()].second;
        chosen.push_back(worker);
        slots += std::max(1U, slotsFor(*worker, step, worker->free()));
    }
    const std::optional<AdvicePolicy>& advice = step.m_job->m_record.m_policy.m_advice;
    const Duration asking
        = advice ? advice->m_base + advice->m_perWorker * static_cast<std::int64_t>(chosen.size()) : Duration();
    if (slots < step.m_tasks.size())
        return;
    const TimePoint readyAt = candidates[chosen.size() - 1].first;
    if (readyAt <= m_now + asking + maxIdleTime)
        reserve(step, chosen, readyAt, reservationSlack);
}

bool PlacementPass::requestGangAdvice(Step& step)
{
    const AdvicePolicy& advice = *step.m_job->m_record.m_policy.m_advice;
    AdviceRequest question { step.m_name, {}, {} };
    if (!step.m_reservedWorkers.empty()) {
        const Duration asking
            = advice.m_base + advice.m_perWorker * static_cast<std::int64_t>(step.m_reservedWorkers.size());
        if (m_now + asking < step.m_reservationReadyAt)
            return false;
        for (const WorkerNumber number : step.m_reservedWorkers) {
            const Worker* worker = m_scheduler.findWorker(number);
            if (worker != nullptr && !hasTicket(*worker, step))
                question.m_workers.push_back(worker->m_description.m_worker);
        }
    } else {
        chooseDomain(step);
        const double share
            = m_scheduler.m_allowedShare.try_emplace(step.m_job->m_record.m_policy.m_queue, 0.5).first->second;
        double ready = 0;
        double permitted = 0;
        // Tickets that are no longer valid are requested again for reserved workers.
        visitAllowedWorkers(step, [&](const Worker& worker) {
            if (isEligible(worker, step)) {
                const std::uint32_t slots = slotsFor(worker, step, worker.free());
                permitted += std::max(1U, slots);
                ready += fits(worker, step, worker.free()) ? slots : 0;
            }
            return true;
        });
        const auto tasks = static_cast<double>(step.m_tasks.size());
        bool isOnlyPreferred = m_speed.m_matters;
        const auto consider = [&](Worker& worker) {
            // In the second round the preferred workers have been considered.
            const bool isOfOtherRound = m_speed.m_matters && isPreferred(worker) != isOnlyPreferred;
            if (isOfOtherRound || adviceState(worker, step) != AdviceState::NotAsked || !isEligible(worker, step)
                || !step.m_spec->reserved().fitsIn(worker.m_description.m_capacity))
                return true;
            const std::uint32_t slots = fits(worker, step, worker.free()) ? slotsFor(worker, step, worker.free()) : 0;
            if (slots == 0 && permitted >= tasks * permittedMargin)
                return true;
            ready += share * slots;
            permitted += share * std::max(1U, slots);
            question.m_workers.push_back(worker.m_description.m_worker);
            return (ready < tasks * adviceRequestMargin || permitted < tasks * permittedMargin)
                && question.m_workers.size() < maxWorkersPerAdviceRequest;
        };
        const std::vector<DomainNumber> domains = domainsByRoom(step);
        const auto visitDomains = [&] {
            return std::all_of(domains.begin(), domains.end(), [&](DomainNumber domain) {
                return m_scheduler.m_unreservedRoom.visitFreest(step.m_job->m_pool, domain, 0, consider);
            });
        };
        const bool needsMore = (ready < tasks || permitted < tasks * permittedMargin) && visitDomains();
        if (needsMore && std::exchange(isOnlyPreferred, false))
            visitDomains();
    }
    if (question.m_workers.empty())
        return false;
    if (question.m_workers.size() > maxWorkersPerAdviceRequest)
        question.m_workers.resize(maxWorkersPerAdviceRequest);
    sendAdviceRequest(step, std::move(question));
    return true;
}

} // namespace sapphiredale::jobs
