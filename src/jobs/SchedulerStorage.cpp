// Durable state: progress records, and what follows once they are stored.

#include "jobs/JobScheduler.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

ProgressRecord JobScheduler::progressOf(const Job& job) const
{
    ProgressRecord record { job.m_record.m_job, {}, std::nullopt, false };
    record.m_progress.m_state = job.m_state;
    if (!job.isOpen())
        return record;
    for (const Step& step : job.m_steps) {
        const StepIndex place { step.m_name.m_occurrence, step.m_name.m_step };
        for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
            const TaskIndex index { step.m_name.m_occurrence, step.m_name.m_step, i };
            if (step.m_tasks[i].m_isDone)
                record.m_progress.m_done.push_back(index);
            else if (!step.m_tasks[i].m_failedRuns.empty())
                record.m_progress.m_failedRuns[index] = step.m_tasks[i].m_failedRuns;
        }
        if (step.isFinished())
            continue;
        std::set<WorkerId> places = step.m_inheritedPlaces;
        places.insert(step.m_plannedPlaces.begin(), step.m_plannedPlaces.end());
        for (const auto& [worker, runs] : step.m_places)
            places.insert(worker);
        if (!places.empty())
            record.m_progress.m_places[place] = std::move(places);
    }
    return record;
}

JobScheduler::Batch JobScheduler::takeChanges()
{
    Batch batch;
    batch.m_number = ++m_lastBatch;
    m_hasNewEnds = false;
    for (Job* job : m_dirty) {
        job->m_isDirty = false;
        batch.m_records.push_back(progressOf(*job));
        const auto& places = batch.m_records.back().m_progress.m_places;
        if (job->isOpen() && !job->m_isRecordKept && !places.empty()) {
            batch.m_records.back().m_record = job->m_record;
            job->m_isRecordKept = true;
        } else if (!job->isOpen()) {
            batch.m_records.back().m_removesRecord = std::exchange(job->m_isRecordKept, false);
        }
        for (Step& step : job->m_steps) {
            const auto found = places.find({ step.m_name.m_occurrence, step.m_name.m_step });
            step.m_sentPlaces = found == places.end() ? std::set<WorkerId>() : found->second;
        }
    }
    m_dirty.clear();
    auto& records = m_batchRecords[batch.m_number];
    for (const ProgressRecord& record : batch.m_records)
        records.push_back({ record.m_job, record.m_progress, std::nullopt, false });
    auto& ends = m_batchEnds[batch.m_number];
    for (const auto& [id, worker] : m_workers) {
        if (worker.m_seenEnd > worker.m_storedEnd)
            ends.push_back({ id, worker.m_description.m_bornMs, worker.m_seenEnd });
    }
    return batch;
}

JobScheduler::Batch JobScheduler::takeEverything(std::uint64_t insteadOf)
{
    m_batchRecords.erase(insteadOf);
    m_batchEnds.erase(insteadOf);
    for (const auto& [id, job] : m_jobs) {
        job->m_isRecordKept = false;
        markChanged(*job);
    }
    return takeChanges();
}

void JobScheduler::stored(std::uint64_t batch)
{
    for (const ProgressRecord& record : m_batchRecords[batch]) {
        const auto found = m_jobs.find(record.m_job);
        if (found == m_jobs.end())
            continue;
        Job& job = *found->second;
        if (!isFinal(job.m_storedState) && isFinal(record.m_progress.m_state))
            m_ended.push_back(
                { record.m_job, record.m_progress.m_state, job.m_acceptedAt, job.m_objective, job.m_history });
        job.m_storedState = record.m_progress.m_state;
        if (isFinal(job.m_storedState))
            m_unstoredCompletions.erase(record.m_job);
        for (Step& step : job.m_steps) {
            const auto places = record.m_progress.m_places.find({ step.m_name.m_occurrence, step.m_name.m_step });
            step.m_storedPlaces = places == record.m_progress.m_places.end() ? std::set<WorkerId>() : places->second;
        }
    }
    for (const SeenEnd& seen : m_batchEnds[batch]) {
        const auto found = m_workers.find(seen.m_worker);
        // A restarted worker numbers its ends from the beginning.
        if (found != m_workers.end() && found->second.m_description.m_bornMs == seen.m_bornMs)
            found->second.m_storedEnd = std::max(found->second.m_storedEnd, seen.m_end);
    }
    m_batchRecords.erase(batch);
    m_batchEnds.erase(batch);
}

std::uint64_t JobScheduler::storedEnd(const WorkerId& id) const
{
    const Worker* found = worker(id);
    // A worker that left a call unanswered may have restarted, and numbers its ends from the beginning.
    if (found == nullptr || found->m_unansweredAt >= found->m_lastReportAt)
        return 0;
    return found->m_storedEnd;
}

std::vector<JobId> JobScheduler::takeExpired(TimePoint now)
{
    std::vector<JobId> expired;
    for (const auto& [id, job] : m_jobs) {
        if (!job->isOpen() && isFinal(job->m_storedState) && job->m_closedAt + m_settings.m_retention < now)
            expired.push_back(id);
    }
    const auto hasRuns = [this](const JobId& id) {
        const auto& steps = m_jobs.at(id)->m_steps;
        return std::any_of(steps.begin(), steps.end(), [](const Step& step) { return !step.m_places.empty(); });
    };
    std::erase_if(expired, hasRuns);
    for (const JobId& id : expired) {
        const Job* job = m_jobs.at(id).get();
        std::erase_if(m_waitingSteps, [job](const Step* step) { return step->m_job == job; });
        std::erase(m_dirty, job);
        std::erase(m_jobsWithFutureOccurrences, job);
        m_jobs.erase(id);
    }
    return expired;
}

} // namespace sapphiredale::jobs
