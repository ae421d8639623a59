// Recovery of a term from the store, and records that arrive after it.

#include "controller/TermObservers.h"
#include "platform/Documents.h"

#include <algorithm>

namespace sapphiredale::controller {

using observability::LogEvent;

namespace {

    /// Timeout for listing the partitions of the accepted jobs; a term begins without those that take longer.
    constexpr Duration listingTimeout = std::chrono::milliseconds(300);
    /// A registry entry may be missing for about 2 s while the store recovers.
    constexpr Duration missingEntryGracePeriod = std::chrono::milliseconds(2500);

} // namespace

void SchedulerTerm::recover()
{
    if (m_scheduler || !canBeginScheduling())
        return;
    const TimePoint now = bootNow();
    jobs::SchedulerSettings settings;
    settings.m_remoteFactor = m_site.m_remoteFactor;
    settings.m_waitsForLocality = m_site.m_waitsForLocality;
    settings.m_term = m_settings.m_term;
    settings.m_retention = m_settings.m_jobRetention;
    settings.m_longestLease = maxLeaseDuration(m_site.m_longestLease);
    m_scheduler = std::make_unique<jobs::JobScheduler>(settings);
    m_scheduler->setInheritedLeases(m_settings.m_earlierLeases, wallNowMs(), now);
    if (m_teams)
        m_scheduler->setTeams(*m_teams, now);
    for (const auto& [id, worker] : m_workerObserver->m_entries) {
        m_scheduler->workerListed(worker, now);
        openLink(id);
    }
    const std::size_t progressRecords = m_progressObserver->unmatched().size();
    std::vector<std::pair<JobId, std::string>> runningJobs;
    for (const auto& [key, value] : m_progressObserver->unmatched()) {
        if (key.front() == runningJobPrefix)
            runningJobs.emplace_back(key.substr(1), value);
    }
    for (const auto& [job, record] : runningJobs)
        addJob(job, record, now);
    for (const auto& observer : m_jobObservers) {
        if (observer->m_isListed)
            restorePartition(*observer);
    }
    m_log.write(LogEvent::RecoveryFinished,
        { { "term", m_settings.m_term }, { "jobs", std::uint64_t { m_scheduler->jobCount() } },
            { "openJobs", std::uint64_t { m_scheduler->openJobCount() } }, { "steps", m_scheduler->heldWork().m_steps },
            { "tasks", m_scheduler->heldWork().m_tasks },
            { "progressPartition", std::uint64_t { m_settings.m_progressPartition } },
            { "progressRecords", std::uint64_t { progressRecords } },
            { "workers", std::uint64_t { m_workerObserver->m_entries.size() } },
            { "earlierLeasesMs", millisecondsOf(std::max(m_settings.m_earlierLeases.m_end - now, Duration::zero())) },
            { "knownLeases", std::uint64_t { m_settings.m_earlierLeases.m_byWorker.size() } },
            { "unlistedPartitions", std::uint64_t { unlistedPartitionCount() } } });
    m_progressFollower.reset();
    finishRestoration();
    superviseWorkers();
    scheduleStep();
}

std::size_t SchedulerTerm::unlistedPartitionCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_jobObservers.begin(), m_jobObservers.end(), [](const auto& observer) { return !observer->m_isListed; }));
}

bool SchedulerTerm::canBeginScheduling()
{
    if (!m_workerObserver->m_isListed || !m_progressObserver->m_isListed)
        return false;
    const std::size_t unlisted = unlistedPartitionCount();
    if (unlisted == 0)
        return true;
    const TimePoint now = bootNow();
    if (m_listingDeadline == TimePoint()) {
        m_listingDeadline = now + listingTimeout;
        m_stepTimer.expires_after(listingTimeout);
        m_stepTimer.async_wait([this, alive = m_isAlive](boost::system::error_code error) {
            if (!error && *alive)
                recover();
        });
    }
    return now >= m_listingDeadline && unlisted < jobPartitions;
}

void SchedulerTerm::restoreLatePartition(JobObserver& observer)
{
    const std::size_t jobs = m_scheduler->jobCount();
    const std::size_t unmatched = m_progressObserver->unmatched().size();
    restorePartition(observer);
    m_log.write(LogEvent::LatePartitionRestored,
        { { "term", m_settings.m_term }, { "partition", std::uint64_t { observer.m_partition } },
            { "jobs", std::uint64_t { m_scheduler->jobCount() - jobs } },
            { "progressRecords", std::uint64_t { unmatched - m_progressObserver->unmatched().size() } },
            { "unlistedPartitions", std::uint64_t { unlistedPartitionCount() } } });
    finishRestoration();
    scheduleStep();
}

void SchedulerTerm::finishRestoration()
{
    if (unlistedPartitionCount() > 0)
        return;
    // Progress of jobs that are not stored elsewhere is left over from a move to another partition and back.
    for (const auto& [key, value] : m_progressObserver->takeUnmatched())
        m_removals.emplace_back(key, std::nullopt);
}

void SchedulerTerm::restorePartition(JobObserver& observer)
{
    observer.m_isRestored = true;
    const std::vector<userplatform::KeyedRecord> records = std::exchange(observer.m_records, {});
    for (const userplatform::KeyedRecord& record : records)
        handleJobRecord(observer.m_partition, record);
}

void SchedulerTerm::addJob(const JobId& id, const std::string& text, TimePoint now)
{
    const Result<jobs::JobRecord> job = jobs::decodeJobRecord(id, text);
    if (!succeeded(job))
        return m_log.write(
            LogEvent::StoredRecordUnreadable, { { "job", id.value() }, { "detail", errorOf(job).m_detail } });
    const ProgressObserver::JobRecords stored = m_progressObserver->take(id);
    jobs::JobProgress progress;
    for (const auto& [key, part] : stored.m_progress) {
        const Result<jobs::JobProgress> decoded = jobs::decodeProgress(part);
        if (succeeded(decoded))
            jobs::mergeProgress(progress, valueOf(decoded));
        else
            m_log.write(LogEvent::StoredRecordUnreadable, { { "job", key }, { "detail", errorOf(decoded).m_detail } });
        if (key != id.value())
            m_progressRecords.noteStored(key, part);
    }
    m_scheduler->addJob(valueOf(job), progress, wallNowMs(), now, stored.m_hasRunningRecord);
}

void SchedulerTerm::handleWorkerEntry(const userplatform::KeyedRecord& record)
{
    const WorkerId id(record.m_key);
    const auto entry = record.m_value ? userplatform::decodeWorkerEntry(record.m_key, *record.m_value) : std::nullopt;
    if (!entry) {
        const bool hasEnded = m_entryFreshness.removed(id, bootNow()) && !record.m_value;
        if (hasEnded && m_scheduler)
            m_scheduler->workerLeft(id, bootNow());
        if (m_workerObserver->m_known.erase(id) > 0)
            m_missingEntries.try_emplace(id, bootNow() + missingEntryGracePeriod);
        m_workerObserver->m_entries.erase(id);
        return;
    }
    // A listing returns entries of any age.
    m_entryFreshness.written(id, m_workerObserver->isListing() ? TimePoint() : m_workerFollower->caughtUpAt());
    m_missingEntries.erase(id);
    m_workerObserver->m_known.insert(id);
    jobs::WorkerDescription& known = m_workerObserver->m_entries[id];
    if (known == *entry)
        return;
    known = *entry;
    if (!m_scheduler)
        return;
    if (WorkerLink* target = link(id))
        target->noteProcess(entry->m_bornMs);
    m_scheduler->workerListed(*entry, bootNow());
    openLink(id);
    scheduleStep();
}

void SchedulerTerm::handleJobRecord(std::uint32_t partition, const userplatform::KeyedRecord& record)
{
    if (record.m_key.empty() || !record.m_value)
        return;
    const bool isCancellation = record.m_key.front() == cancellationPrefix;
    const JobId job(isCancellation ? record.m_key.substr(1) : record.m_key);
    m_recordRemoval.recordFound(job, partition);
    if (!m_recordRemoval.isRemoving(job))
        applyJobRecord(record.m_key, *record.m_value);
}

void SchedulerTerm::recordStored(const std::string& key, const std::string& value)
{
    if (m_scheduler && !m_hasSteppedDown && !key.empty())
        applyJobRecord(key, value);
}

void SchedulerTerm::applyJobRecord(const std::string& key, const std::string& value)
{
    const TimePoint now = bootNow();
    if (key.front() == cancellationPrefix)
        m_scheduler->cancelJob(JobId(key.substr(1)), now, jobs::decodeCancellation(value));
    else
        addJob(JobId(key), value, now);
    scheduleStep();
}

} // namespace sapphiredale::controller
