// Observers of the topics that a term reads: accepted jobs, the registry of the workers, and the progress of earlier
// terms. Private to SchedulerTerm.
#pragma once

#include "controller/SchedulerTerm.h"

#include <optional>
#include <unordered_set>
#include <utility>

namespace sapphiredale::controller {

/// Key prefix of a cancellation in the job topic.
inline constexpr char cancellationPrefix = '-';
/// Key prefix of a running job's record in the progress topic.
inline constexpr char runningJobPrefix = '=';

class SchedulerTerm::JobObserver final : public FollowerObserver {
public:
    JobObserver(SchedulerTerm& term, std::uint32_t partition)
        : m_partition(partition)
        , m_term(term)
    {
    }
    void recordRead(const userplatform::KeyedRecord& record) override
    {
        if (m_isRestored)
            return m_term.handleJobRecord(m_partition, record);
        // Records that arrive while other partitions are being listed are part of the recovery.
        m_records.push_back(record);
    }
    void listingEnded() override
    {
        if (std::exchange(m_isListed, true))
            return;
        if (m_term.isRecovered())
            m_term.restoreLatePartition(*this);
        else
            m_term.recover();
    }
    void caughtUp(std::uint64_t /*end*/, TimePoint askedAt) override { m_caughtUpAt = askedAt; }

    const std::uint32_t m_partition;
    bool m_isListed = false;
    /// Whether the records have been passed to the scheduler.
    bool m_isRestored = false;
    std::vector<userplatform::KeyedRecord> m_records;
    TimePoint m_caughtUpAt {};

private:
    SchedulerTerm& m_term;
};

class SchedulerTerm::WorkerObserver final : public FollowerObserver {
public:
    explicit WorkerObserver(SchedulerTerm& term)
        : m_term(term)
    {
    }
    void listingBegan() override
    {
        m_listed.clear();
        m_isListing = true;
    }
    void recordRead(const userplatform::KeyedRecord& record) override
    {
        if (m_isListing)
            m_listed.insert(record.m_key);
        m_term.handleWorkerEntry(record);
    }
    void listingEnded() override
    {
        m_isListed = true;
        m_isListing = false;
        const std::set<WorkerId> known(m_known.begin(), m_known.end());
        for (const WorkerId& id : known) {
            if (!m_listed.contains(id.value()))
                m_term.handleWorkerEntry({ 0, id.value(), std::nullopt });
        }
        m_term.recover();
    }

    void readFailed(const Error& error) override
    {
        m_lastError = error.m_detail;
        m_term.m_entryFreshness.readFailed(bootNow());
    }

    /// Whether the records that are read now come from a listing of the topic.
    bool isListing() const { return m_isListing; }

    bool m_isListed = false;
    /// Detail of the last failed read, for the log.
    std::string m_lastError;
    /// Workers that have an entry.
    std::unordered_set<WorkerId> m_known;
    /// Newest entries until the recovery is complete.
    std::unordered_map<WorkerId, jobs::WorkerDescription> m_entries;

private:
    SchedulerTerm& m_term;
    std::set<std::string> m_listed;
    bool m_isListing = false;
};

class SchedulerTerm::ProgressObserver final : public FollowerObserver {
public:
    explicit ProgressObserver(SchedulerTerm& term)
        : m_term(term)
    {
    }
    void listingBegan() override { m_unmatched.clear(); }
    void recordRead(const userplatform::KeyedRecord& record) override
    {
        if (!m_isListed && record.m_value && !record.m_key.empty())
            m_unmatched[record.m_key] = *record.m_value;
    }
    void listingEnded() override
    {
        if (std::exchange(m_isListed, true))
            return;
        m_term.recover();
    }

    /// What earlier terms stored of a job.
    struct JobRecords {
        /// Texts of the progress by key.
        std::map<std::string, std::string> m_progress;
        bool m_hasRunningRecord = false;
    };
    /// Removes and returns the records of a job that becomes known.
    JobRecords take(const JobId& job)
    {
        JobRecords records;
        records.m_hasRunningRecord = m_unmatched.erase(runningJobPrefix + job.value()) > 0;
        const std::string parts = job.value() + jobs::progressPartMark;
        if (auto progress = m_unmatched.extract(job.value()))
            records.m_progress.insert(std::move(progress));
        for (auto part = m_unmatched.lower_bound(parts); part != m_unmatched.end() && part->first.starts_with(parts);)
            records.m_progress.insert(m_unmatched.extract(part++));
        return records;
    }
    /// Records by key of jobs that are not known yet.
    const std::map<std::string, std::string>& unmatched() const { return m_unmatched; }
    std::map<std::string, std::string> takeUnmatched() { return std::exchange(m_unmatched, {}); }

    bool m_isListed = false;

private:
    SchedulerTerm& m_term;
    std::map<std::string, std::string> m_unmatched;
};

} // namespace sapphiredale::controller
