// The set of workers, and the handling of silent, draining and restarted ones.

#include "jobs/JobScheduler.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

namespace {

    /// Interval of the checks for silent workers and unconfirmed stops.
    constexpr Duration supervisionInterval = std::chrono::milliseconds(50);
    /// Step in percent by which the rate of a filling task rises.
    constexpr std::uint32_t rateStepPercent = 10;
    /// A worker that has not reported for this long after a takeover counts as unreachable. Others report at once.
    constexpr Duration unreportedPeriod = std::chrono::milliseconds(800);
    /// Time for which a lost run is remembered, so that the log tells why a run that appears again was given up.
    constexpr Duration lostRunRetention = std::chrono::seconds(30);
    /// Age of a process up to which the term before may have ended without a notice of it, beside the difference of
    /// clocks: its entry and its first answer are read within a second.
    constexpr Duration maxUnnoticedAge = std::chrono::seconds(3);
    /// Time for which a call may wait in the connections of a worker that is down, until its next process reads it.
    constexpr Duration maxConnectionDelay = std::chrono::seconds(1);

} // namespace

void JobScheduler::workerListed(const WorkerDescription& description, TimePoint now)
{
    const auto [entry, isNew] = m_workers.try_emplace(description.m_worker);
    Worker& worker = entry->second;
    if (isNew) {
        worker.m_number = static_cast<WorkerNumber>(m_workersByNumber.size());
        m_workersByNumber.push_back(&worker);
        m_workerNumbers[description.m_worker] = worker.m_number;
        worker.m_isLeaseWithheld = m_withheldLeases.contains(description.m_worker);
        // An earlier term, or this one, may have sent calls to an earlier process of the worker.
        if (now - m_inheritedAt < maxOrderDelay || m_recentlyGone.contains(description.m_worker))
            worker.m_lateLeaseEnd = now + maxOrderDelay + m_settings.m_longestLease;
    }
    const std::int64_t born = worker.m_description.m_bornMs;
    if (isNew || description.m_bornMs > born)
        noteInheritedProcess(description, now);
    const bool wasDraining = worker.m_isListed && worker.m_description.m_isDraining;
    if (born != 0 && description.m_bornMs < born)
        return;
    worker.m_description = description;
    if (isNew)
        ++m_poolWorkers[worker.m_pool = poolNumber(description.m_service)];
    else
        moveToPool(worker, poolNumber(description.m_service));
    worker.m_domain
        = m_domainNumbers.try_emplace(description.m_failureDomain, static_cast<DomainNumber>(m_domainNumbers.size()))
              .first->second;
    // The first label is the machine type.
    m_speeds.putWorker(worker.m_number, worker.m_pool, description.m_service,
        description.m_labels.empty() ? std::string() : description.m_labels.front());
    worker.m_isListed = true;
    worker.m_isDescribed = true;
    worker.m_describedBornMs = description.m_bornMs;
    if (born != 0 && description.m_bornMs > born) {
        worker.m_description.m_bornMs = born;
        handleWorkerRestart(worker, description.m_bornMs, now);
    }
    updateRoom(worker, now);
    if (description.m_isDraining && !wasDraining)
        evacuate(worker, now);
}

void JobScheduler::noteInheritedProcess(const WorkerDescription& description, TimePoint now)
{
    if (now - m_inheritedAt > maxOrderDelay)
        return;
    const Duration bornAfter = std::chrono::milliseconds(description.m_bornMs - m_inheritedWallMs);
    if (now - (m_inheritedAt + bornAfter) > maxUnnoticedAge + maxClockDifference)
        return;
    m_inheritedLateLeases[description.m_worker] = now + maxConnectionDelay + m_settings.m_longestLease;
}

void JobScheduler::moveToPool(Worker& worker, PoolNumber pool)
{
    if (worker.m_pool == pool)
        return;
    if (worker.m_reservedFor != nullptr) {
        --m_poolReservations[worker.m_pool];
        worker.m_reservedFor = nullptr;
    }
    --m_poolWorkers[worker.m_pool];
    ++m_poolWorkers[pool];
    worker.m_pool = pool;
}

bool JobScheduler::isAvailable(const Worker& worker, TimePoint now) const
{
    return worker.m_isListed && !worker.m_isReplaced && worker.m_hasReported && worker.isAnswering()
        && worker.m_isDescribed && !worker.m_hasUnknownRuns && !worker.m_description.m_isDraining
        && !worker.m_isLeaseWithheld && isLateLeaseCovered(worker, now) && !worker.m_health.isQuarantined(now)
        && worker.m_refusalBackoffEnd <= now;
}

void JobScheduler::updateRoom(Worker& worker, TimePoint now)
{
    if (isAvailable(worker, now)) {
        m_freeRoom.put(worker, worker.free().m_cpuMillis);
        m_unreservedRoom.put(worker, (worker.free() - worker.m_tentativelyReserved).m_cpuMillis);
    } else {
        m_freeRoom.remove(worker);
        m_unreservedRoom.remove(worker);
    }
}

void JobScheduler::workerDelisted(const WorkerId& id, TimePoint now)
{
    Worker* worker = findWorker(id);
    if (worker == nullptr)
        return;
    worker->m_isListed = false;
    updateRoom(*worker, now);
}

void JobScheduler::workerLeft(const WorkerId& id, TimePoint now)
{
    workerDelisted(id, now);
    Worker* found = findWorker(id);
    // The entry of an earlier process says nothing about the runs of the present one.
    if (found == nullptr || !found->m_isDescribed || !found->m_description.m_isDraining)
        return;
    loseAllRuns(*found, RunLossReason::WorkerLeft, now);
    forgetPlannedPlaces(found->m_number);
}

std::vector<RunName> JobScheduler::namesOfRuns(const Worker& worker)
{
    std::vector<RunName> names;
    names.reserve(worker.m_runs.size());
    for (const auto& [name, run] : worker.m_runs)
        names.push_back(name);
    return names;
}

void JobScheduler::loseAllRuns(Worker& worker, RunLossReason reason, TimePoint now)
{
    loseRuns(worker, namesOfRuns(worker), reason, now);
}

void JobScheduler::workerReplaced(const WorkerId& id, TimePoint now)
{
    Worker* worker = findWorker(id);
    if (worker == nullptr || worker->m_isReplaced)
        return;
    worker->m_isReplaced = true;
    workerDelisted(id, now);
    noteCrash(*worker, namesOfRuns(*worker), now);
    loseAllRuns(*worker, RunLossReason::WorkerReplaced, now);
    forgetPlannedPlaces(worker->m_number);
    // What earlier terms started there has ended as well.
    worker->m_hasReported = true;
    m_areInheritedPlacesChanged = true;
    forgetInheritedPlaces(now);
}

void JobScheduler::handleWorkerRestart(Worker& worker, std::int64_t bornMs, TimePoint now)
{
    worker.m_isDescribed = worker.m_isDescribed && worker.m_describedBornMs == bornMs;
    const std::int64_t earlierBornMs = std::exchange(worker.m_description.m_bornMs, bornMs);
    worker.m_hasReported = false;
    worker.m_seenEnd = 0;
    worker.m_storedEnd = 0;
    worker.m_health = {};
    m_speeds.resetWorker(worker.m_number);
    worker.m_restartedAt = now;
    worker.m_isFenced = false;
    // A call to an earlier process, carried out late, grants the longest lease.
    worker.m_lateLeaseEnd = now + maxOrderDelay + m_settings.m_longestLease;
    m_newRestarts.push_back({ worker.m_description.m_worker, now, worker.m_lastReportAt,
        worker.m_lastReportAt < worker.m_unansweredAt, worker.m_lateLeaseEnd, earlierBornMs, bornMs });
    updateRoom(worker, now);
    for (auto& [name, run] : worker.m_runs) {
        // The new process may have carried out a start before its restart was known here: its first report lists its
        // runs.
        if (run.m_confirmedAt != TimePoint::max())
            continue;
        // The start may still be in flight and would be carried out by the new process.
        requestStop(run, now);
        run.m_stopConfirmedAt = TimePoint::max();
    }
    m_actions.emplace_back(ReportOrder { worker.m_description.m_worker });
    for (const auto& [name, start] : worker.m_unanswered) {
        if (!worker.m_runs.contains(name) && now <= start.m_mayBeginUntil)
            stopLateStart(worker, name, now);
    }
}

void JobScheduler::stopLateStart(Worker& worker, const RunName& name, TimePoint now)
{
    Step* step = stepOf(name.m_task, now);
    if (step == nullptr) {
        m_actions.emplace_back(StopOrder { worker.m_description.m_worker, name });
        return;
    }
    Run& run = addRun(*step, taskOf(*step, name), worker, name, RunPhase::Unknown, now);
    const UnansweredStart& start = worker.m_unanswered.at(name);
    run.m_mayBeginUntil = start.m_mayBeginUntil;
    run.m_orderedAt = start.m_orderedAt;
    run.m_bornMs = start.m_bornMs;
    requestStop(run, now);
    // A successor has to know the place again.
    if (step->m_job->needsPlaces())
        markChanged(*step->m_job);
}

void JobScheduler::leaseExtended(const WorkerId& id, TimePoint leaseEnd)
{
    if (Worker* worker = findWorker(id))
        worker->m_leaseEnd = std::max(worker->m_leaseEnd, leaseEnd);
}

void JobScheduler::superviseWorkers(TimePoint now)
{
    if (now < m_nextSupervision)
        return;
    m_nextSupervision = now + supervisionInterval;
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        Worker& worker = it->second;
        worker.m_isSilent = now - worker.m_lastReportAt > m_settings.m_reportTimeout;
        // A quarantine or a backoff may be over.
        updateRoom(worker, now);
        if (worker.m_isSilent || worker.m_unsettledRuns > 0)
            superviseRuns(worker, now);
        if (worker.m_trials > 0)
            requestTrialReports(worker, now);
        forgetUnansweredStarts(worker, now);
        const bool isGone
            = !worker.m_isListed && worker.m_runs.empty() && worker.m_unanswered.empty() && worker.m_leaseEnd < now;
        if (isGone) {
            forgetPlannedPlaces(worker.m_number);
            m_freeRoom.remove(worker);
            m_unreservedRoom.remove(worker);
            m_workersByNumber[worker.m_number] = nullptr;
            m_workerNumbers.erase(it->first);
            m_goneWorkers.push_back(it->first);
            m_recentlyGone[it->first] = now;
            m_poolReservations[worker.m_pool] -= worker.m_reservedFor != nullptr ? 1 : 0;
            --m_poolWorkers[worker.m_pool];
        }
        it = isGone ? m_workers.erase(it) : std::next(it);
    }
    forgetInheritedPlaces(now);
    std::erase_if(m_recentlyGone, [now](const auto& gone) { return gone.second + maxOrderDelay < now; });
    while (!m_lostRuns.empty() && m_lostRuns.front().m_at + lostRunRetention < now)
        m_lostRuns.pop_front();
}

void JobScheduler::forgetUnansweredStarts(Worker& worker, TimePoint now)
{
    std::erase_if(worker.m_unanswered, [&](const auto& entry) {
        const auto& [name, start] = entry;
        if (start.m_mayBeginUntil >= now)
            return false;
        // A later process that nobody has seen may have begun it just before, and counts its lease from there.
        const bool mayRunUnseen = start.m_team != noTeam && !worker.m_isReplaced
            && worker.m_lastReportAt <= start.m_mayBeginUntil
            && now <= start.m_mayBeginUntil + m_settings.m_longestLease;
        if (mayRunUnseen)
            return false;
        if (!worker.m_runs.contains(name))
            m_teamLimits.refund(start.m_team, start.m_charge);
        return true;
    });
}

void JobScheduler::forgetInheritedPlaces(TimePoint now)
{
    if (!std::exchange(m_areInheritedPlacesChanged, false) && now < m_nextInheritedEnd)
        return;
    for (const WorkerId& place : std::exchange(m_inheritedPlaces, {})) {
        const Worker* found = worker(place);
        const bool hasReported = found != nullptr && found->m_hasReported;
        if (!hasReported && !mayRunInherited(place, now))
            m_newExpiredPlaces.push_back({ place, now, unreportedLeaseEnd(place) });
    }
    for (const auto& [id, job] : m_jobs) {
        for (Step& step : job->steps())
            forgetInheritedPlaces(step, now);
    }
    std::erase_if(m_inheritedLateLeases, [now](const auto& late) { return late.second < now; });
    m_nextInheritedEnd = TimePoint::max();
    for (const WorkerId& place : m_inheritedPlaces)
        m_nextInheritedEnd = std::min(m_nextInheritedEnd, unreportedLeaseEnd(place));
}

void JobScheduler::forgetInheritedPlaces(Step& step, TimePoint now)
{
    const auto forgotten
        = std::erase_if(step.m_inheritedPlaces, [&](const WorkerId& place) { return !mayRunInherited(place, now); });
    m_inheritedPlaces.insert(step.m_inheritedPlaces.begin(), step.m_inheritedPlaces.end());
    updateInheritedCharge(step);
    if (forgotten == 0)
        return;
    step.m_job->m_areHeldOccurrencesStale = true;
    if (step.m_job->needsPlaces())
        markChanged(*step.m_job);
}

std::map<WorkerId, TimePoint> JobScheduler::leaseEndsOfUnreachable(std::size_t most, TimePoint now) const
{
    std::map<WorkerId, TimePoint> ends;
    for (const WorkerId& place : m_inheritedPlaces) {
        const Worker* found = worker(place);
        const bool isSilent = now - m_inheritedAt > unreportedPeriod || m_inheritedLeases.m_byWorker.contains(place);
        // A worker that reports ends which it has not listed before is extended.
        if (ends.size() < most && isSilent && (found == nullptr || !found->m_hasReportedInTerm))
            ends.emplace(place, unreportedLeaseEnd(place));
    }
    for (const auto& [id, worker] : m_workers) {
        if (ends.size() >= most || !worker.m_isSilent || !worker.m_hasReportedInTerm || worker.m_runs.empty())
            continue;
        TimePoint& end = ends.emplace(id, inheritedLeaseEnd(id)).first->second;
        for (const auto& [name, run] : worker.m_runs)
            end = std::max(end, endOfSilentRun(worker, run));
    }
    return ends;
}

void JobScheduler::setWithheldLeases(const std::set<WorkerId>& withheld, TimePoint now)
{
    if (withheld == m_withheldLeases)
        return;
    for (const auto& [id, number] : m_workerNumbers) {
        Worker* each = findWorker(number);
        if (each == nullptr || std::exchange(each->m_isLeaseWithheld, withheld.contains(id)) == withheld.contains(id))
            continue;
        updateRoom(*each, now);
    }
    m_withheldLeases = withheld;
}

void JobScheduler::forgetPlannedPlaces(WorkerNumber worker)
{
    for (const auto& [name, job] : m_jobs) {
        if (!job->isOpen())
            continue;
        for (Step& step : job->steps()) {
            if (step.m_plannedPlaces.erase(worker) > 0)
                markChanged(*job);
        }
    }
}

TimePoint JobScheduler::endOfSilentRun(const Worker& worker, const Run& run) const
{
    TimePoint end = worker.m_leaseEnd;
    // A process that has begun unnoticed counts the lease from the arrival of the start.
    if (run.m_mayBeginUntil > run.m_orderedAt)
        end = std::max(end, run.m_mayBeginUntil + m_settings.m_longestLease);
    // A start that was answered may have been by any process since; for one without an answer see above.
    const bool isOfPresentProcess = run.earliestBornMs() == worker.m_description.m_bornMs;
    const bool isOfAnyProcess = run.m_listedBornMs == 0 && run.m_confirmedAt != TimePoint::max();
    if (isOfPresentProcess || isOfAnyProcess)
        end = std::max(end, worker.m_lateLeaseEnd);
    return end;
}

void JobScheduler::superviseRuns(Worker& worker, TimePoint now)
{
    std::vector<RunName> lapsed;
    for (auto& [name, run] : worker.m_runs) {
        if (worker.m_isSilent && endOfSilentRun(worker, run) < now) {
            lapsed.push_back(name);
            continue;
        }
        if (worker.m_isSilent && run.m_step->m_spec->m_allowsCopies)
            setActive(run, false, now);
        // An order whose connection was closed gets no reply.
        if (run.m_phase == RunPhase::Starting && now - run.m_orderedAt > m_settings.m_startTimeout)
            handleUnansweredStart(worker, run, now);
        if (run.m_phase == RunPhase::Stopping && run.m_nextStopAt <= now && !worker.m_isSilent)
            requestStop(run, now);
    }
    loseRuns(worker, lapsed, RunLossReason::LeaseEnded, now);
}

void JobScheduler::evacuate(Worker& worker, TimePoint now)
{
    for (auto& [name, run] : worker.m_runs) {
        const StepSpec& spec = *run.m_step->m_spec;
        if (run.m_phase == RunPhase::Stopping || spec.m_isGang)
            continue;
        const auto rest = scaled(spec.m_estimate, std::max(0.0, 1.0 - run.m_percent / 100.0));
        if (spec.m_isLongRunning || (spec.m_savesCheckpoints && rest > m_settings.m_drainGracePeriod))
            requestStop(run, now);
    }
}

void JobScheduler::throttleFillingTasks(Worker& worker, TimePoint now)
{
    if (worker.m_fillingRuns == 0)
        return;
    bool isStrained = false;
    for (const auto& [name, run] : worker.m_runs)
        isStrained = isStrained || run.m_overTargetSince != TimePoint::max();
    for (auto& [name, run] : worker.m_runs) {
        if (!run.m_step->m_spec->m_isFilling || run.m_phase != RunPhase::Running)
            continue;
        const std::uint32_t ratePercent = isStrained ? run.m_ratePercent / 2
            : worker.m_servingRuns == 0              ? 100
                                                     : std::min(100U, run.m_ratePercent + rateStepPercent);
        if (ratePercent == run.m_ratePercent)
            continue;
        run.m_ratePercent = ratePercent;
        run.m_progressAt = now;
        m_actions.emplace_back(ThrottleOrder { worker.m_description.m_worker, name, ratePercent });
    }
}

} // namespace sapphiredale::jobs
