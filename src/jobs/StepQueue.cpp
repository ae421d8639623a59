// Ranks of waiting steps and the times at which they change.

#include "jobs/StepQueue.h"

#include "jobs/SchedulerState.h"

namespace sapphiredale::jobs {

namespace {

    /// Expected time from the start of the step to the end of its job on the fastest workers.
    Duration shortestRest(const Step& step) { return scaled(step.m_criticalPath, step.m_queuedFactor); }

    StepRank rankOf(const Step& step, TimePoint now)
    {
        const Job& job = *step.m_job;
        const std::uint32_t usefulGroup = job.m_share.m_isBeyond ? 1 : 0;
        StepRank rank { usefulGroup, job.m_share.m_excessLevel, 0, job.m_record.m_policy.m_priority, job.m_objective,
            job.m_number, step.m_name.m_occurrence, step.m_name.m_step };
        if (step.m_spec->m_isLongRunning) {
            // Each second of downtime of a long-running task counts the same, however late it is.
            rank.m_priority = 0;
            rank.m_deadline = job.m_acceptedAt;
            return rank;
        }
        rank.m_lateness = now + shortestRest(step) <= job.m_objective ? 0 : now <= job.m_usefulUntil ? 1 : 2;
        if (rank.m_lateness == 2) {
            rank.m_group = 2;
            rank.m_excessLevel = 0;
        }
        return rank;
    }

    /// The last time at which the step has the lateness of the rank; max() if it stays.
    TimePoint latenessEnd(const Step& step, const StepRank& rank)
    {
        if (step.m_spec->m_isLongRunning || rank.m_lateness == 2)
            return TimePoint::max();
        return rank.m_lateness == 0 ? step.m_job->m_objective - shortestRest(step) : step.m_job->m_usefulUntil;
    }

} // namespace

void StepQueue::insert(Step& step, TimePoint now)
{
    step.m_isQueued = true;
    step.m_queueRank = rankOf(step, now);
    m_entries.emplace(step.m_queueRank, &step);
    const TimePoint end = latenessEnd(step, step.m_queueRank);
    if (end != TimePoint::max())
        m_latenessChanges.insert({ end, { step.m_queueRank, &step } });
}

void StepQueue::eraseLatenessChange(Step& step)
{
    const TimePoint end = latenessEnd(step, step.m_queueRank);
    if (end != TimePoint::max())
        m_latenessChanges.erase({ end, { step.m_queueRank, &step } });
}

void StepQueue::erase(Step& step)
{
    if (!step.m_isQueued)
        return;
    eraseLatenessChange(step);
    m_entries.erase({ step.m_queueRank, &step });
    step.m_isQueued = false;
}

StepQueue::Iterator StepQueue::erase(Iterator at)
{
    Step& step = *at->second;
    eraseLatenessChange(step);
    step.m_isQueued = false;
    return m_entries.erase(at);
}

void StepQueue::refresh(Step& step, TimePoint now)
{
    if (!step.m_isQueued)
        return;
    erase(step);
    insert(step, now);
}

void StepQueue::update(TimePoint now)
{
    while (!m_latenessChanges.empty() && m_latenessChanges.begin()->first < now) {
        Step& step = *m_latenessChanges.begin()->second.second;
        erase(step);
        insert(step, now);
    }
}

} // namespace sapphiredale::jobs
