// Ranking of waiting steps, choice of workers, and advice requests.

#include "jobs/Placement.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sapphiredale::jobs {

namespace {

    // Costs of a placement. The unit is the whole capacity of a worker left unused.
    constexpr double otherRackCost = 4.0;
    constexpr double otherDomainCost = 1.5;
    constexpr double interferenceCost = 2.0;
    /// A step with slack leaves fast workers to others within its domain; an urgent one leaves its domain, but not its
    /// rack, for a worker that is fast enough.
    constexpr double fasterThanNeededCost = 1.2;
    constexpr double tooSlowCost = 2.0;
    /// A job counts as late on workers that leave less than this margin: tasks of a step differ by 15 %.
    constexpr double speedMargin = 1.12;
    /// Time for the record, the start and the reports of a task.
    constexpr Duration startOverhead = std::chrono::milliseconds(100);
    /// Factors within a tenth count as alike, and a worker that is slower than the slowest type by a quarter is
    /// disturbed.
    constexpr double alikeFactors = 1.1;
    constexpr double disturbedFactor = 1.25;
    /// Time for which a task under which a worker has crashed waits for a worker that has started nothing lately,
    /// before one is kept free for it, and time for which it is kept free. The runs there are proven with their next
    /// report.
    constexpr Duration maxTrialWait = std::chrono::milliseconds(1000);
    constexpr Duration trialReservationTime = std::chrono::milliseconds(3000);
    /// Longest wait for a fast worker, as a part of the time that it saves: the wait may be in vain.
    constexpr double waitPart = 0.5;
    /// Workers for which the duration of an advice request is allowed when the slack of a step is computed.
    constexpr int workersPerRequest = 30;
    /// Advice requests with a longer base time leave this many daemons, but at most one in three, to the others.
    constexpr Duration longAdviceTime = std::chrono::milliseconds(150);
    constexpr std::uint32_t reservedDaemons = 2;
    constexpr std::uint32_t daemonsPerReserved = 3;
    /// More slots than this on one worker do not count in favor of naming it.
    constexpr std::uint32_t maxSlotsPerWorker = 8;

    /// A pass that cannot examine all steps examines one further step for this many of the first ones. These take turns
    /// from pass to pass, so that steps which find no worker do not keep those behind them from one.
    constexpr std::uint32_t firstStepsPerTurn = 4;

    /// Name for the log of what keeps a worker with room from getting tasks.
    const char* nameOf(AdviceState state)
    {
        static constexpr const char* names[]
            = { "free", "notAsked", "notAllowed", "ticketOfOtherProcess", "ticketExpired", "free" };
        return names[static_cast<std::size_t>(state)];
    }

    std::int64_t slotsOf(std::int64_t free, std::int64_t need)
    {
        return need <= 0 ? std::numeric_limits<std::int32_t>::max() : std::max<std::int64_t>(0, free) / need;
    }

    /// Limit on the places of earlier steps that are recorded for a later one; more would make the records long.
    constexpr std::size_t maxPlannedPlaces = 24;

    /// Minimum share of allowed workers for which an advice request tentatively reserves a slot on each worker that it
    /// names.
    constexpr double tentativeReservationShare = 0.3;
    /// Time before a step for which no worker could be named looks for one again.
    constexpr Duration noCandidateBackoff = std::chrono::milliseconds(20);
    /// Capacity for tasks without advice that is compared, as a multiple of the waiting tasks.
    constexpr std::uint64_t candidateMargin = 2;
    constexpr std::uint64_t minCandidateSlots = 32;

    /// Work beyond the share of its team leaves one part in this many of a pool free: tasks last seconds and are not
    /// preempted, so that work within the shares would find no room when it arrives.
    constexpr std::int64_t headroomDivisor = 10;

} // namespace

void PlacementPass::run(AdviceCapacity advice)
{
    const std::uint32_t reserve = std::min(reservedDaemons, advice.m_all / daemonsPerReserved);
    StepQueue& queue = m_scheduler.m_waitingSteps;
    queue.update(m_now);
    endReservations();
    const std::uint32_t firstSteps = m_scheduler.m_settings.m_maxStepsPerPass;
    const std::uint32_t allSteps = firstSteps + firstSteps / firstStepsPerTurn;
    const StepRank turn = std::exchange(m_scheduler.m_nextTurn, {});
    std::uint32_t looked = 0;
    for (auto it = queue.begin(); it != queue.end();) {
        Step& step = *it->second;
        if (step.m_waitingTasks == 0) {
            it = queue.erase(it);
            continue;
        }
        ++it;
        if (step.m_job->m_isRejected || waitsForTeamLimit(step))
            continue;
        // A gang looks ahead: it reserves workers that have no room yet.
        const bool isGang = step.m_spec->m_isGang;
        if (!isGang && !m_scheduler.m_freeRoom.mayFit(step.m_job->m_pool, step.m_spec->reserved().m_cpuMillis)) {
            noteRoomWait(step);
            continue;
        }
        if (isHeldByHeadroom(step)) {
            noteRoomWait(step);
            m_hasHeldForHeadroom = true;
            continue;
        }
        if (!step.m_spec->m_allowsCopies && m_scheduler.mayRunOnUnreportedWorker(step, m_now))
            continue;
        if (++looked > allSteps) {
            m_scheduler.m_nextTurn = step.m_queueRank;
            break;
        }
        const bool isBeforeTurn = looked > firstSteps && step.m_queueRank < turn;
        if (const auto next = isBeforeTurn ? queue.from(turn) : queue.end(); next != queue.end()) {
            it = next;
            continue;
        }
        m_speed = speedPreferenceOf(step);
        updateLocalityWait(step);
        if (isGang)
            placeGang(step);
        else
            placeTasks(step);
        noteLocalityWait(step);
        if (isGang && step.m_waitingTasks == step.m_tasks.size())
            reserveWorkers(step);
        const bool needsTickets = step.m_job->m_record.m_policy.m_advice && step.m_waitingTasks > 0;
        if (!needsTickets || step.m_isAdvicePending || step.m_nextAdviceAt > m_now
            || !m_scheduler.mayClaimTeamRoom(step))
            continue;
        const bool isLong = step.m_job->m_record.m_policy.m_advice->m_base > longAdviceTime;
        if (advice.m_idle <= (isLong ? reserve : 0))
            continue;
        if (isGang ? requestGangAdvice(step) : requestAdvice(step))
            --advice.m_idle;
        else
            step.m_nextAdviceAt = m_now + noCandidateBackoff;
    }
    m_scheduler.m_counters.m_headroomPasses += m_hasHeldForHeadroom ? 1 : 0;
}

PlacementPass::PoolRoom& PlacementPass::roomOf(PoolNumber pool)
{
    const auto [found, isNew] = m_poolRoom.try_emplace(pool);
    if (!isNew)
        return found->second;
    Resources capacity;
    for (const auto& [id, worker] : m_scheduler.m_workers) {
        if (worker.m_pool != pool || !m_scheduler.isAvailable(worker, m_now))
            continue;
        capacity += worker.m_description.m_capacity;
        found->second.m_free += worker.free();
    }
    found->second.m_headroom = { capacity.m_cpuMillis / headroomDivisor, capacity.m_memoryMiB / headroomDivisor,
        capacity.m_accelerators / headroomDivisor };
    return found->second;
}

bool PlacementPass::respectsHeadroom(const Step& step, std::uint32_t tasks)
{
    const PoolRoom& room = roomOf(step.m_job->m_pool);
    const Resources& used = m_scheduler.m_poolBeyondShare[step.m_job->m_pool];
    const Resources need = step.m_spec->reserved();
    bool leavesRoom = true;
    bool isSmall = true;
    const auto consider = [&](std::int64_t amount, std::int64_t free, std::int64_t headroom, std::int64_t beyond) {
        if (amount <= 0)
            return;
        leavesRoom = leavesRoom && amount * tasks + headroom <= free;
        isSmall = isSmall && (beyond == 0 || amount * tasks + beyond <= headroom);
    };
    consider(need.m_cpuMillis, room.m_free.m_cpuMillis, room.m_headroom.m_cpuMillis, used.m_cpuMillis);
    consider(need.m_memoryMiB, room.m_free.m_memoryMiB, room.m_headroom.m_memoryMiB, used.m_memoryMiB);
    consider(need.m_accelerators, room.m_free.m_accelerators, room.m_headroom.m_accelerators, used.m_accelerators);
    // Accepted work ends although the cell stays full: what is beyond the shares may always use some of the pool.
    return leavesRoom || isSmall;
}

void PlacementPass::noteRoomWait(const Step& step)
{
    // A step that can never run, or waits for a rare worker, must not have a team refused for long.
    if (step.m_job->m_share.m_isBeyond && !step.m_spec->m_isLongRunning && step.m_queueRank.m_lateness < 2)
        m_scheduler.m_shares.noteRoomWait(step.m_job->m_shareNumber, m_now);
}

bool PlacementPass::waitsForTeamLimit(const Step& step) const
{
    if (step.m_job->m_team == noTeam)
        return false;
    if (!m_scheduler.hasTeamRoom(step))
        return true;
    // While other steps ask the adviser for the last places of the team, further ones have nothing to do.
    const bool mayAsk = step.m_isAdvicePending || m_scheduler.mayClaimTeamRoom(step);
    return step.m_job->m_record.m_policy.m_advice && step.m_permissions.empty() && !mayAsk;
}

const char* PlacementPass::ineligibilityReason(const Worker& worker, const Step& step) const
{
    const WorkerDescription& description = worker.m_description;
    if (!worker.m_isListed || worker.m_isReplaced)
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
    if (worker.m_health.isQuarantined(m_now))
        return "quarantined";
    if (worker.m_isLeaseWithheld)
        return "leaseWithheld";
    if (!m_scheduler.isLateLeaseCovered(worker, m_now))
        return "lateLease";
    if (worker.m_refusalBackoffEnd > m_now)
        return "refused";
    if (m_scheduler.m_isStoreUnavailable && !step.isRecordedPlace(worker.m_number))
        return "notRecorded";
    const std::string& label = step.m_spec->m_requiredLabel;
    const std::vector<std::string>& labels = description.m_labels;
    const bool hasLabel = label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    return hasLabel && worker.m_pool == step.m_job->m_pool ? nullptr : "otherPoolOrLabel";
}

AdviceState PlacementPass::adviceState(const Worker& worker, const Step& step) const
{
    if (!step.m_job->m_record.m_policy.m_advice)
        return AdviceState::NotNeeded;
    const auto found = step.m_permissions.find(worker.m_number);
    if (found == step.m_permissions.end())
        return AdviceState::NotAsked;
    const Permission& permission = found->second;
    if (!permission.m_isAllowed)
        return AdviceState::Refused;
    if (permission.m_bornMs != worker.m_description.m_bornMs)
        return AdviceState::TicketOfOtherProcess;
    const bool isExpired = permission.m_expiresAt <= m_now + m_scheduler.m_settings.m_ticketMargin;
    return isExpired ? AdviceState::TicketExpired : AdviceState::TicketValid;
}

std::uint32_t PlacementPass::runsOn(const Worker& worker, const Step& step) const
{
    const auto found = step.m_places.find(worker.m_number);
    return found == step.m_places.end() ? 0 : found->second;
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
    if (!step.m_spec->reserved().fitsIn(free) || isReservedForOther(worker, step) || worker.m_trials > 0)
        return false;
    return slotsFor(worker, step, free) > 0;
}

PlacementPass::SpeedPreference PlacementPass::speedPreferenceOf(const Step& step) const
{
    const Job& job = *step.m_job;
    const SpeedModel& speeds = m_scheduler.m_speeds;
    SpeedPreference preference;
    if (speeds.isUniform(job.m_pool))
        return preference;
    preference.m_matters = true;
    preference.m_fastest = speeds.fastestFactor(job.m_pool);
    preference.m_slowest = speeds.slowestFactor(job.m_pool);
    preference.m_limit = std::numeric_limits<double>::infinity();
    // Long-running tasks and results without worth gain nothing from speed.
    if (step.m_spec->m_isLongRunning || step.m_criticalPath <= Duration::zero() || m_now > job.m_usefulUntil)
        return preference;
    Duration overhead = startOverhead;
    if (const std::optional<AdvicePolicy>& advice = job.m_record.m_policy.m_advice)
        overhead += advice->m_base + advice->m_perWorker * workersPerRequest;
    // Estimates of a job are off by one factor, which lengthens its objective and its remaining chain alike, but not
    // what does not follow the estimates.
    const Duration slack = job.m_objective - m_now - overhead;
    const auto limitFor = [&](double error) {
        const Duration added = scaled(job.m_chain, (error - 1) * job.m_record.m_policy.m_slackFactor);
        return static_cast<double>((slack + added).count()) / static_cast<double>(step.m_criticalPath.count()) / error;
    };
    const SpeedModel::EstimationError error = speeds.errorOf(job.m_number);
    preference.m_limit = std::min(limitFor(error.m_expected), limitFor(error.m_high)) / speedMargin;
    preference.m_isUrgent = preference.m_limit < preference.m_slowest;
    if (!preference.m_isUrgent || preference.m_limit < preference.m_fastest)
        return preference;
    TimePoint waitingSince = m_now;
    step.m_tasks.visit([&waitingSince](const Task& task, std::size_t) {
        if (task.m_isWaiting)
            waitingSince = std::min(waitingSince, task.m_waitingSince);
    });
    const double saved = (preference.m_slowest - preference.m_fastest) * waitPart;
    preference.m_waits = m_now < waitingSince + overhead + scaled(step.m_spec->m_estimate, saved);
    return preference;
}

bool PlacementPass::isPreferred(const Worker& worker) const
{
    if (!m_speed.m_matters)
        return true;
    const double factor = m_scheduler.m_speeds.factor(worker.m_number);
    if (factor > m_speed.m_slowest * disturbedFactor)
        return false;
    if (!m_speed.m_isUrgent)
        return factor * alikeFactors >= m_speed.m_slowest;
    // A job that is late everywhere is least late on the fastest workers.
    return factor <= std::max(m_speed.m_limit, m_speed.m_fastest * alikeFactors);
}

double PlacementPass::speedCost(const Worker& worker) const
{
    if (isPreferred(worker))
        return 0;
    const double factor = m_scheduler.m_speeds.factor(worker.m_number);
    if (!m_speed.m_isUrgent && factor <= m_speed.m_slowest)
        return fasterThanNeededCost;
    return tooSlowCost + std::min(1.0, factor / 10);
}

double PlacementPass::cost(const Worker& worker, const Step& step, const RackId& rack) const
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
    // Steps whose tasks take all accelerators of a worker need workers without other tasks.
    if (spec.m_need.m_accelerators > 0)
        cost = std::min(cost, share(left.m_accelerators, capacity.m_accelerators));
    if (spec.m_isFilling)
        cost = 1.0 - share(left.m_cpuMillis - worker.m_fillingMillis - spec.m_need.m_cpuMillis, capacity.m_cpuMillis);
    const RackId& at = worker.m_description.m_rack;
    if (!spec.m_dataRack.empty() && at.value() != spec.m_dataRack)
        cost += otherRackCost;
    if (!rack.empty() && at != rack)
        cost += otherRackCost;
    if (step.m_job->m_domain && worker.m_domain != *step.m_job->m_domain)
        cost += otherDomainCost;
    if ((spec.m_isFilling && worker.m_servingRuns > 0) || (spec.isServing() && worker.m_fillingRuns > 0))
        cost += interferenceCost;
    return cost + speedCost(worker);
}

template <typename Visitor> void PlacementPass::visitUsableWorkers(const Step& step, Visitor visitor) const
{
    if (step.m_job->m_record.m_policy.m_advice) {
        visitAllowedWorkers(step,
            [&](Worker& worker) { return !hasTicket(worker, step) || !isEligible(worker, step) || visitor(worker); });
        return;
    }
    const RoomIndex& room = m_scheduler.m_freeRoom;
    const auto visit = [&](Worker& worker) { return !isEligible(worker, step) || visitor(worker); };
    for (const DomainNumber domain : domainsByRoom(step)) {
        if (!room.visitTightest(step.m_job->m_pool, domain, step.m_spec->reserved().m_cpuMillis, visit))
            return;
    }
}

std::vector<PlacementPass::Candidate> PlacementPass::candidatesFor(const Step& step, const RackId& rack) const
{
    const StepSpec& spec = *step.m_spec;
    // A task under which a worker has crashed needs one that has started nothing lately.
    const bool hasTrial = step.m_tasks.anyOf([](const Task& task) { return task.m_isWaiting && task.m_crashes > 0; });
    // Workers come in the order of best fit; enough of them without another cost make further ones superfluous.
    const bool isOrdered = !step.m_job->m_record.m_policy.m_advice && !spec.m_isFilling && spec.m_dataRack.empty()
        && rack.empty() && !hasTrial;
    const std::uint64_t wanted = std::max<std::uint64_t>(minCandidateSlots, step.m_waitingTasks * candidateMargin);
    std::uint64_t slots = 0;
    std::vector<Candidate> candidates;
    visitUsableWorkers(step, [&](Worker& worker) {
        if (!fits(worker, step, worker.free()) || isTooSlow(worker))
            return true;
        candidates.push_back({ cost(worker, step, rack), &worker });
        if (candidates.back().m_cost <= 1.0)
            slots += slotsFor(worker, step, worker.free());
        return !isOrdered || slots < wanted;
    });
    return candidates;
}

void PlacementPass::chooseDomain(Step& step)
{
    // A job moves to another domain only when none of its tasks is running.
    const bool runsSomewhere = !step.m_places.empty();
    if (step.m_spec->m_isLongRunning || runsSomewhere)
        return;
    const RoomIndex& room = m_scheduler.m_unreservedRoom;
    const std::int64_t need = step.m_spec->reserved().m_cpuMillis;
    const PoolNumber pool = step.m_job->m_pool;
    const auto wanted = static_cast<std::uint64_t>(step.m_waitingTasks * adviceRequestMargin);
    std::optional<DomainNumber>& home = step.m_job->m_domain;
    if (home && room.slotCount(pool, *home, need) > wanted)
        return;
    std::uint64_t most = 0;
    for (DomainNumber domain = 0; domain < room.domainCount(); ++domain) {
        const std::uint64_t slots = room.slotCount(pool, domain, need);
        if (slots <= most)
            continue;
        most = slots;
        home = domain;
    }
}

RackId PlacementPass::rackWithMostRoom(const Step& step) const
{
    if (!step.m_places.empty())
        return m_scheduler.findWorker(step.m_places.begin()->first)->m_description.m_rack;
    std::map<RackId, std::uint64_t> room;
    visitUsableWorkers(step, [&](const Worker& worker) {
        room[worker.m_description.m_rack] += slotsFor(worker, step, worker.free());
        return true;
    });
    const auto best
        = std::max_element(room.begin(), room.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return best == room.end() ? RackId() : best->first;
}

Worker* PlacementPass::takeTrialWorker(std::vector<Candidate>& candidates)
{
    auto best = candidates.end();
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
        const bool isQuiet = it->m_worker->m_unprovenRuns == 0;
        if (isQuiet
            && (best == candidates.end() || it->m_worker->m_runs.size() < best->m_worker->m_runs.size()
                || (it->m_worker->m_runs.size() == best->m_worker->m_runs.size()
                    && it->m_worker->m_number < best->m_worker->m_number)))
            best = it;
    }
    if (best == candidates.end())
        return nullptr;
    Worker* worker = best->m_worker;
    candidates.erase(best);
    return worker;
}

void PlacementPass::reserveTrialWorker(Step& step, const Task& task, std::vector<Candidate>& candidates)
{
    if (mayReserve(step) && m_now >= task.m_waitingSince + maxTrialWait && !candidates.empty()) {
        const auto isQuieter = [](const Candidate& a, const Candidate& b) {
            return std::pair(a.m_worker->m_unprovenRuns, a.m_worker->m_number)
                < std::pair(b.m_worker->m_unprovenRuns, b.m_worker->m_number);
        };
        const auto quietest = std::min_element(candidates.begin(), candidates.end(), isQuieter);
        reserve(step, { quietest->m_worker }, m_now, trialReservationTime);
    }
    // The other tasks of the step must not start there either.
    std::erase_if(candidates, [&step](const Candidate& each) { return each.m_worker->m_reservedFor == &step; });
}

void PlacementPass::placeTasks(Step& step)
{
    const bool isHeld = step.m_locality.m_held > 0;
    const RackId rack = !step.m_spec->m_isRackLocal ? RackId()
        : isHeld                                    ? step.m_locality.m_rack
                                                    : rackWithMostRoom(step);
    std::vector<Candidate> candidates = candidatesFor(step, rack);
    const auto isWorse = [](const Candidate& a, const Candidate& b) {
        return a.m_cost != b.m_cost ? a.m_cost > b.m_cost : a.m_worker->m_number > b.m_worker->m_number;
    };
    std::make_heap(candidates.begin(), candidates.end(), isWorse);
    const auto take = [&] {
        std::pop_heap(candidates.begin(), candidates.end(), isWorse);
        const Candidate best = candidates.back();
        candidates.pop_back();
        return best;
    };
    const auto putBack = [&](const Candidate& candidate) {
        candidates.push_back(candidate);
        std::push_heap(candidates.begin(), candidates.end(), isWorse);
    };
    for (std::uint32_t i = 0; i < step.m_tasks.size() && step.m_waitingTasks > 0 && !candidates.empty(); ++i) {
        const Task& task = step.m_tasks[i];
        if (!task.m_isWaiting)
            continue;
        if (!m_scheduler.hasTeamRoom(step) || (step.m_job->m_share.m_isBeyond && !respectsHeadroom(step, 1)))
            return;
        if (task.m_crashes > 0) {
            Worker* trial = takeTrialWorker(candidates);
            if (trial != nullptr) {
                endReservation(step);
                start(step, i, *trial, JobScheduler::nextRun(m_scheduler.m_settings, task));
            } else {
                reserveTrialWorker(step, task, candidates);
            }
            std::make_heap(candidates.begin(), candidates.end(), isWorse);
            continue;
        }
        Candidate chosen = take();
        if (task.m_avoid == chosen.m_worker->m_description.m_worker && !candidates.empty()) {
            const Candidate avoided = chosen;
            chosen = take();
            putBack(avoided);
        }
        // Candidates come in the order of their cost, so that no near one that is fast enough is left.
        if (mustWaitForNearPlace(step, *chosen.m_worker))
            break;
        start(step, i, *chosen.m_worker, JobScheduler::nextRun(m_scheduler.m_settings, task));
        if (fits(*chosen.m_worker, step, chosen.m_worker->free()))
            putBack({ cost(*chosen.m_worker, step, rack), chosen.m_worker });
    }
}

std::vector<Worker*> PlacementPass::chooseGangWorkers(const Step& step, const RackId& rack) const
{
    // A gang is as fast as its slowest member: one fast worker among slow ones is wasted.
    std::vector<Worker*> chosen;
    if (m_speed.m_matters)
        chosen = chooseGangWorkers(step, rack, true);
    return chosen.empty() ? chooseGangWorkers(step, rack, false) : chosen;
}

std::vector<Worker*> PlacementPass::chooseGangWorkers(const Step& step, const RackId& rack, bool isOnlyPreferred) const
{
    std::vector<Candidate> candidates;
    visitUsableWorkers(step, [&](Worker& worker) {
        const bool isLeftOut = isOnlyPreferred ? !isPreferred(worker) : isTooSlow(worker);
        if (!isLeftOut && (rack.empty() || worker.m_description.m_rack == rack) && fits(worker, step, worker.free()))
            candidates.push_back({ cost(worker, step, rack), &worker });
        return true;
    });
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return a.m_cost != b.m_cost ? a.m_cost < b.m_cost : a.m_worker->m_number < b.m_worker->m_number;
    });
    std::vector<Worker*> chosen;
    for (const Candidate& candidate : candidates) {
        const std::uint32_t room = slotsFor(*candidate.m_worker, step, candidate.m_worker->free());
        for (std::uint32_t i = 0; i < room && chosen.size() < step.m_tasks.size(); ++i)
            chosen.push_back(candidate.m_worker);
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
    const bool mustBeNear = step.m_locality.m_held > 0;
    if (mustBeNear || step.m_spec->m_isRackLocal)
        workers = chooseGangWorkers(step, mustBeNear ? step.m_locality.m_rack : rackWithMostRoom(step));
    if (workers.empty() && !mustBeNear)
        workers = chooseGangWorkers(step, RackId());
    if (workers.empty())
        return;
    std::uint32_t run = 0;
    step.m_tasks.visit([&](const Task& task, std::size_t) {
        run = std::max(run, JobScheduler::nextRun(m_scheduler.m_settings, task));
    });
    // All members must carry the same checkpoint.
    const std::string checkpoint = step.m_tasks[0].m_checkpoint;
    step.m_tasks.visit([&checkpoint](Task& task, std::size_t) { task.m_checkpoint = checkpoint; });
    endReservation(step);
    for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i)
        start(step, i, *workers[i], run);
}

void PlacementPass::start(Step& step, std::uint32_t index, Worker& worker, std::uint32_t number)
{
    Task& task = step.m_tasks.own(index);
    const RunName name { { step.m_name.m_job, { step.m_name.m_occurrence, step.m_name.m_step, index } }, number };
    m_scheduler.addRun(step, task, worker, name, RunPhase::Recording, m_now);
    if (const auto room = m_poolRoom.find(step.m_job->m_pool); room != m_poolRoom.end())
        room->second.m_free -= step.m_spec->reserved();
    noteStartAfterWait(step, worker);
    m_scheduler.m_recordingRuns.emplace_back(worker.m_number, name);
    for (std::uint32_t i = step.m_name.m_step + 1; i < step.m_job->stepsPerOccurrence(); ++i) {
        Step& later = *step.m_job->step(step.m_name.m_occurrence, i);
        if (later.m_plannedPlaces.size() < maxPlannedPlaces)
            later.m_plannedPlaces.insert(worker.m_number);
    }
    if (!step.m_sentPlaces.contains(worker.m_number))
        m_scheduler.markChanged(*step.m_job);
}

std::vector<DomainNumber> PlacementPass::domainsByRoom(const Step& step) const
{
    const RoomIndex& room = m_scheduler.m_unreservedRoom;
    std::vector<std::pair<std::uint64_t, DomainNumber>> domains;
    for (DomainNumber domain = 0; domain < room.domainCount(); ++domain) {
        const bool isHome = domain == step.m_job->m_domain;
        const std::uint64_t slots = room.slotCount(step.m_job->m_pool, domain, step.m_spec->reserved().m_cpuMillis);
        domains.emplace_back(isHome ? std::numeric_limits<std::uint64_t>::max() : slots, domain);
    }
    std::stable_sort(domains.begin(), domains.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<DomainNumber> ordered;
    ordered.reserve(domains.size());
    for (const auto& [slots, domain] : domains)
        ordered.push_back(domain);
    return ordered;
}

bool PlacementPass::requestAdvice(Step& step)
{
    chooseDomain(step);
    const double share
        = m_scheduler.m_allowedShare.try_emplace(step.m_job->m_record.m_policy.m_queue, 0.5).first->second;
    const Job& job = *step.m_job;
    const std::uint64_t startable = std::min<std::uint64_t>(step.m_waitingTasks,
        m_scheduler.m_teamLimits.claimableSlots(job.m_team, job.m_record.m_teamLimit, step.m_spec->m_need));
    const double wanted = static_cast<double>(startable) * adviceRequestMargin;
    AdviceRequest question { step.m_name, {}, {} };
    const RackId near = step.m_spec->m_dataRack.empty() && step.m_locality.m_held > 0 ? step.m_locality.m_rack
                                                                                      : RackId(step.m_spec->m_dataRack);
    double expected = 0;
    std::set<WorkerNumber> named;
    /// Names the worker if it is a candidate; returns whether more are needed.
    const auto consider = [&](Worker& worker, bool isNear, bool isOnlyPreferred) {
        const AdviceState state = adviceState(worker, step);
        const bool needsTicket = state != AdviceState::Refused && state != AdviceState::TicketValid;
        const bool isOtherRack = isNear && worker.m_description.m_rack != near;
        if (!needsTicket || isOtherRack || !isEligible(worker, step) || isReservedForOther(worker, step)
            || (isOnlyPreferred && !isPreferred(worker)))
            return true;
        const std::uint32_t room
            = std::min(maxSlotsPerWorker, slotsFor(worker, step, worker.free() - worker.m_tentativelyReserved));
        if (room == 0 || !named.insert(worker.m_number).second)
            return true;
        expected += (state == AdviceState::NotAsked ? share : 1.0) * room;
        question.m_workers.push_back(worker.m_description.m_worker);
        if (share >= tentativeReservationShare)
            step.m_tentativeReservations.emplace_back(worker.m_number, step.m_spec->reserved());
        return expected < wanted && question.m_workers.size() < maxWorkersPerAdviceRequest;
    };
    const std::vector<DomainNumber> domains = domainsByRoom(step);
    // Tasks with accelerators fill up workers that are partly used, so that others stay whole for wide tasks.
    const bool fillsUp = step.m_spec->m_need.m_accelerators > 0;
    const auto visitDomain = [&](DomainNumber domain, bool isNear, bool isOnlyPreferred) {
        const auto visit = [&](Worker& worker) { return consider(worker, isNear, isOnlyPreferred); };
        const std::int64_t need = step.m_spec->reserved().m_cpuMillis;
        const RoomIndex& room = m_scheduler.m_unreservedRoom;
        return fillsUp ? room.visitTightest(step.m_job->m_pool, domain, need, visit)
                       : room.visitFreest(step.m_job->m_pool, domain, need, visit);
    };
    const auto visitDomains = [&](bool isNear) {
        const auto visitAll = [&](bool isOnlyPreferred) {
            return std::all_of(domains.begin(), domains.end(),
                [&](DomainNumber domain) { return visitDomain(domain, isNear, isOnlyPreferred); });
        };
        if (!m_speed.m_matters)
            return visitAll(false);
        if (!m_speed.m_isUrgent && !step.m_spec->m_isLongRunning)
            return std::all_of(domains.begin(), domains.end(), [&](DomainNumber domain) {
                return visitDomain(domain, isNear, true) && visitDomain(domain, isNear, false);
            });
        if (!visitAll(true))
            return false;
        // Slow workers are named only if there are not enough fast ones.
        return m_speed.m_waits || (m_speed.m_isUrgent && expected >= step.m_waitingTasks) || visitAll(false);
    };
    // A worker that is reserved for a trial needs a ticket when its other runs are proven.
    for (const WorkerNumber number : step.m_reservedWorkers) {
        if (Worker* worker = m_scheduler.findWorker(number))
            consider(*worker, false, false);
    }
    bool needsMore = near.empty() || visitDomains(true);
    // Workers that were allowed before are allowed again.
    if (needsMore)
        visitAllowedWorkers(step, [&](Worker& worker) { return needsMore = consider(worker, false, true); });
    const bool isNearOnly = step.m_waitingTasks <= step.m_locality.m_held;
    if (needsMore && !isNearOnly)
        visitDomains(false);
    if (question.m_workers.empty())
        return false;
    sendAdviceRequest(step, std::move(question));
    return true;
}

void PlacementPass::sendAdviceRequest(Step& step, AdviceRequest question)
{
    const AdvicePolicy& advice = *step.m_job->m_record.m_policy.m_advice;
    for (const auto& [number, reservation] : step.m_tentativeReservations) {
        Worker& worker = *m_scheduler.findWorker(number);
        worker.m_tentativelyReserved += reservation;
        m_scheduler.updateRoom(worker, m_now);
    }
    question.m_expected = advice.m_base + advice.m_perWorker * static_cast<std::int64_t>(question.m_workers.size());
    step.m_isAdvicePending = true;
    step.m_adviceSentAt = m_now;
    m_scheduler.claimTeamRoom(step);
    ++m_scheduler.m_counters.m_questions;
    ++step.m_job->m_history.m_questions;
    m_scheduler.m_actions.emplace_back(std::move(question));
}

std::string PlacementPass::explain(const Step& step) const
{
    std::map<std::string, std::uint32_t> reasons;
    for (const auto& [id, worker] : m_scheduler.m_workers) {
        const char* reason = ineligibilityReason(worker, step);
        if (reason == nullptr)
            reason = isRefused(worker, step)         ? "notAllowed"
                : isReservedForOther(worker, step)   ? "reserved"
                : worker.m_trials > 0                ? "trial"
                : !fits(worker, step, worker.free()) ? "noRoom"
                                                     : nameOf(adviceState(worker, step));
        ++reasons[reason];
    }
    std::string text = "waiting " + std::to_string(step.m_waitingTasks) + " of " + std::to_string(step.m_tasks.size());
    if (step.m_job->m_isRejected)
        text += ", the store does not take its progress";
    if (waitsForTeamLimit(step))
        text += m_scheduler.m_teamLimits.isConfigured() ? ", teamLimit" : ", teamLimit unknown";
    if (!step.m_reservedWorkers.empty())
        text += ", keeps free " + std::to_string(step.m_reservedWorkers.size());
    if (step.m_isAdvicePending)
        text += ", asks the adviser";
    if (step.m_locality.m_held > 0)
        text += ", waits for rack " + step.m_locality.m_rack.value();
    for (const WorkerId& place : step.m_inheritedPlaces) {
        if (m_scheduler.mayRunInherited(place, m_now))
            text += ", may run on " + place.value() + " for "
                + std::to_string(millisecondsOf(m_scheduler.unreportedLeaseEnd(place) - m_now)) + " ms";
    }
    for (const auto& [reason, count] : reasons)
        text += std::string(", ") + reason + ' ' + std::to_string(count);
    return text;
}

void PlacementPass::releaseTentativeReservations(Step& step)
{
    for (const auto& [number, reservation] : step.m_tentativeReservations) {
        Worker* worker = m_scheduler.findWorker(number);
        if (worker == nullptr)
            continue;
        worker->m_tentativelyReserved -= reservation;
        m_scheduler.updateRoom(*worker, m_now);
    }
    step.m_tentativeReservations.clear();
}

} // namespace sapphiredale::jobs
