// Order in which the stored records of ended jobs are removed. A job's record lies in partitions of the job topic, and
// its progress, which tells that it has ended, in another topic. A term that found the record without the progress
// would run the job again, so the progress goes last.
#pragma once

#include "jobs/SchedulerTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sapphiredale::jobs {

/// See the head of the file. Free of I/O.
class RecordRemoval {
public:
    /// Notes that a partition has a record or the cancellation of the job; several have one if an append had no answer
    /// and was repeated.
    void recordFound(const JobId& job, std::uint32_t partition) { m_partitions[job].insert(partition); }
    /// Begins the removal of the records of an ended job.
    void begin(const ExpiredJob& job) { m_ended.insert_or_assign(job.m_job, job.m_state); }
    /// Whether the records of the job are being removed; one that is read meanwhile must not bring the job back.
    bool isRemoving(const JobId& job) const { return m_ended.contains(job); }

    /// Ended jobs that still have records, with their states. Their progress has to stay in the store.
    const std::map<JobId, JobState>& ended() const { return m_ended; }

    /// Jobs whose records can be removed from a partition with one append.
    struct Batch {
        std::uint32_t m_partition = 0;
        std::vector<JobId> m_jobs;

        friend bool operator==(const Batch&, const Batch&) = default;
    };
    /// The next batch after the partition; none if all records of ended jobs are removed.
    std::optional<Batch> nextBatch(std::uint32_t after) const;
    /// Notes that the store has removed the records of the batch.
    void removed(const Batch&);
    /// Removes and returns the ended jobs without remaining records in the job topic. Their progress can be removed.
    std::vector<JobId> takeFinished();

private:
    /// Partitions that have a record of the job or its cancellation.
    std::map<JobId, std::set<std::uint32_t>> m_partitions;
    std::map<JobId, JobState> m_ended;
};

} // namespace sapphiredale::jobs
