// Weights of failures, and the length of quarantines.

#include "jobs/WorkerHealth.h"

#include <algorithm>

namespace sapphiredale::jobs {

namespace {

    /// Number of jobs whose failures put a worker into quarantine, and the same for one that has done nothing since the
    /// last quarantine.
    constexpr double quarantineThreshold = 2.0;
    constexpr double probationThreshold = 1.0;
    constexpr Duration firstQuarantine = std::chrono::seconds(4);
    constexpr std::uint32_t maxQuarantineDoublings = 3;
    /// Time after a quarantine after which the next one is a first one again.
    constexpr Duration quarantineMemory = firstQuarantine * (1 << maxQuarantineDoublings);

} // namespace

void WorkerHealth::runFailed(std::uint64_t job, const TaskIndex& task, TimePoint now)
{
    endQuarantine(now);
    JobFailures& failures = m_failures[job];
    if (failures.m_tasks.empty())
        failures.m_weight = 1;
    failures.m_tasks.insert(task);
}

bool WorkerHealth::withdraw(std::uint64_t job, const TaskIndex& task, TimePoint now)
{
    const auto found = m_failures.find(job);
    if (found == m_failures.end() || found->second.m_tasks.erase(task) == 0)
        return false;
    if (found->second.m_tasks.empty())
        m_failures.erase(found);
    if (!isQuarantined(now) || score() >= threshold())
        return false;
    m_quarantineEnd = now;
    m_hasQuarantineFailures = false;
    --m_quarantines;
    return true;
}

void WorkerHealth::runSucceeded()
{
    m_isOnProbation = false;
    for (auto& [job, failures] : m_failures)
        failures.m_weight /= 2;
}

bool WorkerHealth::needsQuarantine(TimePoint now) const { return !isQuarantined(now) && score() >= threshold(); }

void WorkerHealth::beginQuarantine(TimePoint now)
{
    if (now >= m_quarantineEnd + quarantineMemory)
        m_quarantines = 0;
    m_quarantineEnd = now + firstQuarantine * (1 << std::min(m_quarantines, maxQuarantineDoublings));
    ++m_quarantines;
    m_hasQuarantineFailures = true;
}

double WorkerHealth::score() const
{
    double sum = 0;
    for (const auto& [job, failures] : m_failures)
        sum += failures.m_weight;
    return sum;
}

double WorkerHealth::threshold() const { return m_isOnProbation ? probationThreshold : quarantineThreshold; }

void WorkerHealth::endQuarantine(TimePoint now)
{
    if (!m_hasQuarantineFailures || isQuarantined(now))
        return;
    m_failures.clear();
    m_hasQuarantineFailures = false;
    m_isOnProbation = true;
}

} // namespace sapphiredale::jobs
