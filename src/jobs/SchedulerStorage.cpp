// Durable state: progress records, and what follows once they are stored.

#include "jobs/JobScheduler.h"

#include "jobs/Placement.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

namespace {

    /// Up to this many finished steps of a job are stored by their tasks, which earlier versions can read.
    constexpr std::uint64_t maxFinishedStepsByTask = 1024;

} // namespace

ProgressRecord JobScheduler::progressOf(const Job& job) const
{
    ProgressRecord record { job.m_record.m_job, {}, std::nullopt, false };
    record.m_progress.m_state = job.m_state;
    if (!job.needsPlaces())
        return record;
    if (job.isOpen())
        addFinishedSteps(job, record.m_progress);
    for (const Step& step : job.steps())
        addProgressOf(step, record.m_progress);
    return record;
}

void JobScheduler::addFinishedSteps(const Job& job, JobProgress& progress)
{
    for (std::uint32_t step = 0; step < job.m_finishedIn.size(); ++step) {
        const std::uint32_t tasks = job.m_record.m_spec.m_steps[step].m_count;
        job.m_finishedIn[step].visitRanges([&](const OccurrenceRange& range) {
            if (job.m_finishedSteps > maxFinishedStepsByTask) {
                progress.m_finished.push_back({ step, range });
                return;
            }
            for (std::uint32_t occurrence = range.m_first; occurrence <= range.m_last; ++occurrence) {
                for (std::uint32_t task = 0; task < tasks; ++task)
                    progress.m_done.push_back({ occurrence, step, task });
            }
        });
    }
}

void JobScheduler::addProgressOf(const Step& step, JobProgress& progress) const
{
    const Job& job = *step.m_job;
    const StepIndex place = step.index();
    const bool isOver = step.isFinished() || !job.isOpen();
    for (std::uint32_t i = 0; !isOver && i < step.m_tasks.size(); ++i) {
        const TaskIndex index { place.m_occurrence, place.m_step, i };
        if (step.m_tasks[i].m_isDone)
            progress.m_done.push_back(index);
        else if (!step.m_tasks[i].m_failedRuns.empty())
            progress.m_failedRuns[index] = step.m_tasks[i].m_failedRuns;
        if (!step.m_tasks[i].m_isDone && step.m_tasks[i].m_crashes > 0)
            progress.m_crashes[index] = step.m_tasks[i].m_crashes;
    }
    if (isOver && job.m_team == noTeam)
        return;
    std::set<WorkerId> places = step.m_inheritedPlaces;
    if (!isOver) {
        for (const WorkerNumber worker : step.m_plannedPlaces)
            places.insert(m_workersByNumber[worker]->m_description.m_worker);
    }
    for (const auto& [worker, runs] : step.m_places)
        places.insert(m_workersByNumber[worker]->m_description.m_worker);
    if (!places.empty())
        progress.m_places[place] = std::move(places);
}

PlaceSet JobScheduler::placesOf(const Step& step) const
{
    PlaceSet places = step.m_plannedPlaces;
    for (const auto& [worker, runs] : step.m_places)
        places.insert(worker);
    for (const WorkerId& id : step.m_inheritedPlaces) {
        if (const Worker* known = worker(id))
            places.insert(known->m_number);
    }
    return places;
}

JobScheduler::Batch JobScheduler::takeChanges()
{
    Batch batch;
    batch.m_number = ++m_lastBatch;
    m_hasNewEnds = false;
    std::vector<SentProgress>& sentProgress = m_batchRecords[batch.m_number];
    for (Job* job : m_dirty) {
        job->m_isDirty = false;
        batch.m_records.push_back(progressOf(*job));
        const auto& places = batch.m_records.back().m_progress.m_places;
        const bool needsRecord = job->m_isIdReused || (job->needsPlaces() && !places.empty());
        if (needsRecord && !job->m_isRecordKept) {
            batch.m_records.back().m_record = job->m_record;
            job->m_isRecordKept = true;
        } else if (!job->isOpen() && !needsRecord) {
            batch.m_records.back().m_removesRecord = std::exchange(job->m_isRecordKept, false);
        }
        SentProgress& sent = sentProgress.emplace_back(SentProgress { job->m_record.m_job, job->m_state, {} });
        for (Step& step : job->steps()) {
            step.m_sentPlaces = job->isOpen() && !step.isFinished() ? placesOf(step) : PlaceSet();
            if (!step.m_sentPlaces.empty())
                sent.m_places[step.index()] = step.m_sentPlaces;
        }
    }
    m_dirty.clear();
    auto& ends = m_batchEnds[batch.m_number];
    for (const WorkerNumber number : m_workersWithNewEnds) {
        if (const Worker* worker = findWorker(number); worker != nullptr && worker->m_seenEnd > worker->m_storedEnd)
            ends.push_back({ number, worker->m_description.m_bornMs, worker->m_seenEnd });
    }
    return batch;
}

JobScheduler::Batch JobScheduler::takeEverything(std::uint64_t insteadOf)
{
    m_batchRecords.erase(insteadOf);
    m_batchEnds.erase(insteadOf);
    for (const auto& [id, job] : m_jobs) {
        // A partition that held the progress before may have the record of a job that has ended since.
        // That of a job whose places are still needed is written anew.
        job->m_isRecordKept = !job->isOpen() && !job->m_isIdReused && progressOf(*job).m_progress.m_places.empty();
        markChanged(*job);
    }
    return takeChanges();
}

void JobScheduler::stored(std::uint64_t batch, const std::set<JobId>& rejected)
{
    for (SentProgress& sent : m_batchRecords[batch]) {
        const auto found = m_jobs.find(sent.m_job);
        if (found == m_jobs.end())
            continue;
        Job& job = *found->second;
        job.m_isRejected = rejected.contains(sent.m_job);
        if (job.m_isRejected)
            continue;
        if (!isFinal(job.m_storedState) && isFinal(sent.m_state))
            m_ended.push_back(
                { sent.m_job, sent.m_state, job.m_acceptedAt, job.m_objective, job.m_closedAt, job.m_history });
        job.m_storedState = sent.m_state;
        for (Step& step : job.steps()) {
            const auto places = sent.m_places.find(step.index());
            step.m_storedPlaces = places == sent.m_places.end() ? PlaceSet() : std::move(places->second);
        }
    }
    for (const SeenEnd& seen : m_batchEnds[batch]) {
        Worker* worker = findWorker(seen.m_worker);
        // A restarted worker numbers its ends from the beginning.
        if (worker != nullptr && worker->m_description.m_bornMs == seen.m_bornMs)
            worker->m_storedEnd = std::max(worker->m_storedEnd, seen.m_end);
        if (worker == nullptr || worker->m_storedEnd >= worker->m_seenEnd)
            m_workersWithNewEnds.erase(seen.m_worker);
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

std::vector<ExpiredJob> JobScheduler::takeExpired(TimePoint now)
{
    std::vector<ExpiredJob> expired;
    for (const auto& [id, job] : m_jobs) {
        if (!job->isOpen() && isFinal(job->m_storedState) && job->m_closedAt + m_settings.m_retention < now)
            expired.push_back({ id, job->m_storedState });
    }
    const auto hasRuns = [this](const ExpiredJob& job) {
        return std::ranges::any_of(m_jobs.at(job.m_job)->steps(),
            [](const Step& step) { return !step.m_places.empty() || !step.m_inheritedCharge.isZero(); });
    };
    std::erase_if(expired, hasRuns);
    for (const auto& [id, state] : expired) {
        Job* job = m_jobs.at(id).get();
        while (!job->m_occurrences.empty())
            releaseOccurrence(*job, job->m_occurrences.begin()->first, now);
        if (!job->m_record.m_team.value().empty())
            m_shares.remove(id, job->m_shareNumber, job->m_record.m_acceptedMs);
        std::erase(m_dirty, job);
        std::erase(m_jobsWithDueTimes, job);
        m_jobs.erase(id);
    }
    std::erase_if(m_cancelledEarly, [&](const auto& cancelled) {
        const bool isExpired = cancelled.second.m_at + m_settings.m_retention < now;
        if (isExpired)
            expired.push_back({ cancelled.first, JobState::Cancelled });
        return isExpired;
    });
    return expired;
}

} // namespace sapphiredale::jobs
