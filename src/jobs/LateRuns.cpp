// Copies and moves of runs that will miss the objective of their job on a slow worker.
//
// Answers a worker that turns slow under a run, and a run that had to start on a slow worker. Where copies are allowed,
// the first result counts. Otherwise the run is stopped, and its task starts again once the end of the run is proven,
// as after a stall. Each task is copied or moved at most once in a term.

#include "jobs/JobScheduler.h"

#include "jobs/Placement.h"

#include <algorithm>

namespace sapphiredale::jobs {

namespace {

    constexpr Duration lateRunInterval = std::chrono::milliseconds(250);
    /// Time from a stop order to the proof of the end, and from the decision to the confirmed start elsewhere.
    constexpr Duration stopTime = std::chrono::milliseconds(400);
    constexpr Duration restartTime = std::chrono::milliseconds(150);
    /// Workers for which the duration of an advice request is allowed.
    constexpr int workersPerRequest = 30;
    /// Part of the new run time that must be gained at least: factors and estimates are uncertain.
    constexpr double minGainPart = 0.25;
    constexpr Duration minGain = std::chrono::milliseconds(200);
    /// A run without checkpoints that has done more than this loses too much by a move.
    constexpr double hardlyBegunPercent = 10;
    /// Runs on workers that are less than this much slower than the fastest ones stay.
    constexpr double minFactorRatio = 1.25;

} // namespace

bool PlacementPass::hasFastRoom(const Step& step, double limit) const
{
    const RoomIndex& room = m_scheduler.m_unreservedRoom;
    const std::int64_t need = step.m_spec->reserved().m_cpuMillis;
    const auto isUseless = [&](const Worker& worker) {
        const bool isFast = m_scheduler.m_speeds.factor(worker.m_number) <= limit;
        return isRefused(worker, step) || !isFast || !isEligible(worker, step) || !fits(worker, step, worker.free());
    };
    const std::vector<DomainNumber> domains = domainsByRoom(step);
    return !std::all_of(domains.begin(), domains.end(),
        [&](DomainNumber domain) { return room.visitFreest(step.m_job->m_pool, domain, need, isUseless); });
}

bool JobScheduler::isWorthMoving(const Run& run, TimePoint now) const
{
    const Step& step = *run.m_step;
    const StepSpec& spec = *step.m_spec;
    const Job& job = *step.m_job;
    const Task& task = step.m_tasks[run.m_name.m_task.m_index.m_task];
    const bool isSuited = !spec.m_isLongRunning && !spec.m_isFilling && !spec.m_isGang && !spec.isServing();
    const bool isPlain = run.m_phase == RunPhase::Running && run.m_isActive && run.m_confirmedAt != TimePoint::max();
    if (!isSuited || !isPlain || !job.isOpen() || task.m_wasMoved || task.m_isDone || now > job.m_usefulUntil)
        return false;
    const double error = m_speeds.errorOf(job.m_number).m_expected;
    const double fastest = m_speeds.fastestFactor(job.m_pool);
    const double done = std::clamp(run.m_percent / 100.0, 0.0, 1.0);
    const Duration whole = scaled(spec.m_estimate, error * m_speeds.factor(run.m_worker->m_number));
    const TimePoint knownAt = run.m_percent > 0 ? run.m_progressAt : run.m_confirmedAt;
    const Duration rest = std::max(Duration::zero(), scaled(whole, 1.0 - done) - (now - knownAt));
    const Duration later = scaled(step.m_criticalPath - spec.m_estimate, error * fastest);
    const TimePoint objective
        = job.m_objective + scaled(job.m_chain, (error - 1) * job.m_record.m_policy.m_slackFactor);
    if (now + rest + later <= objective)
        return false;
    const bool continues = !task.m_checkpoint.empty();
    if (!spec.m_allowsCopies && !spec.m_savesCheckpoints && run.m_percent > hardlyBegunPercent)
        return false;
    Duration again = restartTime + scaled(spec.m_estimate, error * fastest * (continues ? 1.0 - done : 1.0));
    if (const std::optional<AdvicePolicy>& advice = job.m_record.m_policy.m_advice)
        again += advice->m_base + advice->m_perWorker * workersPerRequest;
    if (!spec.m_allowsCopies)
        again += stopTime;
    return rest > again + std::max(minGain, scaled(again, minGainPart));
}

void JobScheduler::handleLateRuns(TimePoint now)
{
    if (now < m_nextLateRunCheck)
        return;
    m_nextLateRunCheck = now + lateRunInterval;
    for (auto& [id, worker] : m_workers) {
        const double limit = m_speeds.fastestFactor(worker.m_pool) * minFactorRatio;
        if (m_speeds.isUniform(worker.m_pool) || m_speeds.factor(worker.m_number) <= limit || !worker.isAnswering())
            continue;
        for (auto& [name, run] : worker.m_runs) {
            if (!isWorthMoving(run, now) || !PlacementPass(*this, now).hasFastRoom(*run.m_step, limit))
                continue;
            Task& task = taskOf(*run.m_step, name);
            task.m_wasMoved = true;
            task.m_avoid = worker.m_description.m_worker;
            if (run.m_step->m_spec->m_allowsCopies) {
                ++m_counters.m_copiedRuns;
                setActive(run, false, now);
            } else {
                ++m_counters.m_movedRuns;
                requestStop(run, now);
            }
        }
    }
}

} // namespace sapphiredale::jobs
