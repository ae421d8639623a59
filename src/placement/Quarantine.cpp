// Attribution of failures to workers or to jobs.

#include "placement/Quarantine.h"

#include <algorithm>

namespace sapphiredale::placement {

namespace {

    constexpr Duration initialQuarantine = std::chrono::seconds(60);
    constexpr std::uint8_t maxDoublings = 6;
    constexpr std::size_t maxFailedOnWorkers = 4;

    void pushBounded(std::vector<std::uint32_t>& list, std::uint32_t value, std::size_t bound)
    {
        std::erase(list, value);
        list.push_back(value);
        if (list.size() > bound)
            list.erase(list.begin());
    }

} // namespace

// A job that failed on another worker, on which nothing else fails, is itself the likely cause.
bool Quarantine::failsElsewhere(JobIndex index, WorkerIndex here) const
{
    const Job& job = m_state.m_jobs[index];
    if (job.m_workload == noIndex)
        return true; // The job was forgotten; its evidence is too old to count.
    const auto isHealthy = [&](WorkerIndex other) {
        if (other == here)
            return false;
        const Worker& worker = m_state.m_workers.at(other);
        return worker.m_present && worker.m_health == Health::Good
            && std::all_of(worker.m_failedJobs.begin(), worker.m_failedJobs.end(),
                [&](JobIndex evidence) { return evidence == index; });
    };
    if (std::any_of(job.m_failedOn.begin(), job.m_failedOn.end(), isHealthy))
        return true;
    // A workload that failed on several workers without a success anywhere has a faulty program.
    const Workload& workload = m_state.m_workloads[job.m_workload];
    return workload.m_failedOn.size() >= 3;
}

std::size_t Quarantine::countAttributableFailures(const Worker& worker, WorkerIndex index) const
{
    return static_cast<std::size_t>(std::count_if(worker.m_failedJobs.begin(), worker.m_failedJobs.end(),
        [&](JobIndex job) { return !failsElsewhere(job, index); }));
}

void Quarantine::quarantine(WorkerIndex index, TimePoint now)
{
    Worker& worker = m_state.m_workers.mutableAt(index);
    const Duration length = initialQuarantine * (std::int64_t(1) << std::min(worker.m_quarantines, maxDoublings));
    worker.m_health = Health::Quarantined;
    worker.m_quarantinedUntil = now + length;
    worker.m_probationTask = noIndex;
    worker.m_quarantines = static_cast<std::uint8_t>(std::min(worker.m_quarantines + 1, 255));
    worker.m_failedJobs.clear();
    m_state.m_workers.adjustQuarantined(1);
    m_state.m_workers.refresh(index);
    m_state.m_counters.count(Reason::WorkerQuarantined);
    m_state.m_timers.push({ worker.m_quarantinedUntil, Timer::Kind::QuarantineExpiry, index });
}

void Quarantine::recordFailure(const Task& task, WorkerIndex index, TimePoint now)
{
    if (task.m_job == noIndex)
        return;
    Worker& worker = m_state.m_workers.mutableAt(index);
    pushBounded(m_state.m_jobs[task.m_job].m_failedOn, index, maxFailedOnWorkers);
    pushBounded(m_state.m_workloads[task.m_workload].m_failedOn, index, maxFailedOnWorkers);
    if (worker.m_health == Health::Quarantined)
        return;
    if (worker.m_failedJobs.empty())
        worker.m_failuresSince = task.m_startedAt;
    pushBounded(worker.m_failedJobs, task.m_job, 2 * failedJobsForQuarantine);
    if (worker.m_health == Health::Probation) {
        // One more failure of a job that does not fail elsewhere suffices on probation.
        if (worker.m_probationTask != noIndex && &m_state.m_tasks[worker.m_probationTask] == &task) {
            if (failsElsewhere(task.m_job, index)) {
                worker.m_probationTask = noIndex;
                m_state.m_workers.refresh(index);
            } else {
                quarantine(index, now);
            }
        }
        return;
    }
    const std::uint32_t bound = std::max(1U, m_state.m_workers.presentCount() * maxQuarantinedPercent / 100);
    if (m_state.m_workers.quarantinedCount() < bound
        && countAttributableFailures(worker, index) >= failedJobsForQuarantine)
        quarantine(index, now);
}

void Quarantine::recordSuccess(const Task& task, WorkerIndex index)
{
    if (task.m_workload != noIndex)
        m_state.m_workloads[task.m_workload].m_failedOn.clear();
    Worker& worker = m_state.m_workers.mutableAt(index);
    worker.m_failedJobs.clear();
    if (worker.m_health == Health::Probation) {
        worker.m_health = Health::Good;
        worker.m_quarantines = 0;
        worker.m_probationTask = noIndex;
        m_state.m_workers.refresh(index);
        m_state.m_workers.markDirty(index);
    }
}

void Quarantine::recordStart(TaskIndex task, WorkerIndex index)
{
    Worker& worker = m_state.m_workers.mutableAt(index);
    if (worker.m_health == Health::Probation && worker.m_probationTask == noIndex)
        worker.m_probationTask = task;
}

void Quarantine::recordInconclusiveEnd(TaskIndex task, WorkerIndex index)
{
    Worker& worker = m_state.m_workers.mutableAt(index);
    if (worker.m_probationTask != task)
        return;
    worker.m_probationTask = noIndex;
    m_state.m_workers.refresh(index);
    m_state.m_workers.markDirty(index);
}

void Quarantine::checkExpiry(WorkerIndex index, TimePoint now)
{
    Worker& worker = m_state.m_workers.mutableAt(index);
    if (worker.m_health != Health::Quarantined || now < worker.m_quarantinedUntil)
        return;
    worker.m_health = Health::Probation;
    m_state.m_workers.adjustQuarantined(-1);
    m_state.m_workers.refresh(index);
    m_state.m_workers.markDirty(index);
    m_state.m_counters.count(Reason::WorkerOnProbation);
}

} // namespace sapphiredale::placement
