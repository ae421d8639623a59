// Attribution of failures to workers or to jobs.

#include "placement/Quarantine.h"

#include <algorithm>

namespace sapphiredale::placement {

namespace {

    constexpr Duration firstQuarantine = std::chrono::seconds(60);
    constexpr std::uint8_t maxDoublings = 6;
    constexpr std::size_t keptWorkers = 4;

    void remember(std::vector<std::uint32_t>& list, std::uint32_t value, std::size_t bound)
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
            && std::all_of(worker.m_evidence.begin(), worker.m_evidence.end(),
                [&](JobIndex evidence) { return evidence == index; });
    };
    if (std::any_of(job.m_failedOn.begin(), job.m_failedOn.end(), isHealthy))
        return true;
    // A workload that failed on several workers without a success anywhere has a faulty program.
    const Workload& workload = m_state.m_workloads[job.m_workload];
    return workload.m_failedOn.size() >= 3;
}

std::size_t Quarantine::weighEvidence(const Worker& worker, WorkerIndex index) const
{
    return static_cast<std::size_t>(std::count_if(
        worker.m_evidence.begin(), worker.m_evidence.end(), [&](JobIndex job) { return !failsElsewhere(job, index); }));
}

void Quarantine::quarantine(WorkerIndex index, TimePoint now)
{
    Worker& worker = m_state.m_workers.mutableAt(index);
    const Duration length = firstQuarantine * (std::int64_t(1) << std::min(worker.m_quarantines, maxDoublings));
    worker.m_health = Health::Quarantined;
    worker.m_healthUntil = now + length;
    worker.m_probationTask = noIndex;
    worker.m_quarantines = static_cast<std::uint8_t>(std::min(worker.m_quarantines + 1, 255));
    worker.m_evidence.clear();
    m_state.m_workers.adjustQuarantined(1);
    m_state.m_workers.refresh(index);
    m_state.m_counters.count(Reason::WorkerQuarantined);
    m_state.m_timers.push({ worker.m_healthUntil, Timer::Kind::Health, index });
}

void Quarantine::failed(const Task& task, WorkerIndex index, TimePoint now)
{
    if (task.m_job == noIndex)
        return;
    Worker& worker = m_state.m_workers.mutableAt(index);
    remember(m_state.m_jobs[task.m_job].m_failedOn, index, keptWorkers);
    remember(m_state.m_workloads[task.m_workload].m_failedOn, index, keptWorkers);
    if (worker.m_health == Health::Quarantined)
        return;
    if (worker.m_evidence.empty())
        worker.m_evidenceSince = task.m_since;
    remember(worker.m_evidence, task.m_job, 2 * jobsForQuarantine);
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
    if (m_state.m_workers.quarantinedCount() < bound && weighEvidence(worker, index) >= jobsForQuarantine)
        quarantine(index, now);
}

void Quarantine::succeeded(const Task& task, WorkerIndex index)
{
    if (task.m_workload != noIndex)
        m_state.m_workloads[task.m_workload].m_failedOn.clear();
    Worker& worker = m_state.m_workers.mutableAt(index);
    worker.m_evidence.clear();
    if (worker.m_health == Health::Probation) {
        worker.m_health = Health::Good;
        worker.m_quarantines = 0;
        worker.m_probationTask = noIndex;
        m_state.m_workers.refresh(index);
        m_state.m_workers.markDirty(index);
    }
}

void Quarantine::started(TaskIndex task, WorkerIndex index)
{
    Worker& worker = m_state.m_workers.mutableAt(index);
    if (worker.m_health == Health::Probation && worker.m_probationTask == noIndex)
        worker.m_probationTask = task;
}

void Quarantine::withoutResult(TaskIndex task, WorkerIndex index)
{
    Worker& worker = m_state.m_workers.mutableAt(index);
    if (worker.m_probationTask != task)
        return;
    worker.m_probationTask = noIndex;
    m_state.m_workers.refresh(index);
    m_state.m_workers.markDirty(index);
}

void Quarantine::timerFired(WorkerIndex index, TimePoint now)
{
    Worker& worker = m_state.m_workers.mutableAt(index);
    if (worker.m_health != Health::Quarantined || now < worker.m_healthUntil)
        return;
    worker.m_health = Health::Probation;
    m_state.m_workers.adjustQuarantined(-1);
    m_state.m_workers.refresh(index);
    m_state.m_workers.markDirty(index);
    m_state.m_counters.count(Reason::WorkerOnProbation);
}

} // namespace sapphiredale::placement
