// Batches of records to remove.

#include "jobs/RecordRemoval.h"

namespace sapphiredale::jobs {

std::optional<RecordRemoval::Batch> RecordRemoval::nextBatch(std::uint32_t after) const
{
    std::map<std::uint32_t, std::vector<JobId>> jobs;
    for (const auto& [job, state] : m_ended) {
        if (const auto found = m_partitions.find(job); found != m_partitions.end()) {
            for (const std::uint32_t partition : found->second)
                jobs[partition].push_back(job);
        }
    }
    if (jobs.empty())
        return std::nullopt;
    auto next = jobs.upper_bound(after);
    if (next == jobs.end())
        next = jobs.begin();
    return Batch { next->first, std::move(next->second) };
}

void RecordRemoval::removed(const Batch& batch)
{
    for (const JobId& job : batch.m_jobs) {
        const auto found = m_partitions.find(job);
        if (found == m_partitions.end())
            continue;
        found->second.erase(batch.m_partition);
        if (found->second.empty())
            m_partitions.erase(found);
    }
}

std::vector<JobId> RecordRemoval::takeFinished()
{
    std::vector<JobId> finished;
    std::erase_if(m_ended, [&](const auto& job) {
        const bool isFinished = !m_partitions.contains(job.first);
        if (isFinished)
            finished.push_back(job.first);
        return isFinished;
    });
    return finished;
}

} // namespace sapphiredale::jobs
