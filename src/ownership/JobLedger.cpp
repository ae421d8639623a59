// Replay of job and task records.

#include "ownership/JobLedger.h"

#include "ownership/HomeMap.h"

#include <string>

namespace sapphiredale::ownership {

namespace {

    JobId jobOf(const TaskId& task) { return JobId(std::string(ownerOfTask(task))); }

} // namespace

bool JobLedger::apply(const StreamRecord& record, TimePoint now)
{
    return std::visit([&](const auto& body) { return applyBody(body, now); }, record.m_body);
}

const OpenJob* JobLedger::openJob(const JobId& job) const
{
    const auto found = m_open.find(job);
    return found == m_open.end() ? nullptr : &found->second;
}

const JobEnded* JobLedger::endedJob(const JobId& job) const
{
    const auto found = m_ended.find(job);
    return found == m_ended.end() ? nullptr : &found->second;
}

bool JobLedger::hasEnd(const TaskAttempt& attempt) const
{
    const JobId job = jobOf(attempt.m_task);
    if (m_ended.contains(job))
        return true;
    if (const OpenJob* open = openJob(job)) {
        const auto end = open->m_ends.find(attempt.m_task);
        return end != open->m_ends.end() && end->second.m_attempt >= attempt.m_attempt;
    }
    const auto other = m_otherEnds.find(attempt.m_task);
    return other != m_otherEnds.end() && other->second >= attempt.m_attempt;
}

void JobLedger::markRewritten(const JobId& job, TimePoint now)
{
    const auto found = m_open.find(job);
    if (found != m_open.end())
        found->second.m_recordedAt = now;
}

bool JobLedger::applyBody(const JobAccepted& accepted, TimePoint now)
{
    if (m_ended.contains(accepted.m_request.m_job))
        return false;
    const auto [position, added] = m_open.try_emplace(accepted.m_request.m_job);
    if (added)
        position->second.m_request = accepted.m_request;
    position->second.m_recordedAt = now;
    return added;
}

bool JobLedger::applyBody(const JobEnded& record, TimePoint)
{
    m_open.erase(record.m_job);
    if (!m_ended.emplace(record.m_job, record).second)
        return false;
    m_endedOrder.push_back(record.m_job);
    if (m_endedOrder.size() > m_settings.m_maxEndedJobs) {
        m_ended.erase(m_endedOrder.front());
        m_endedOrder.pop_front();
    }
    return true;
}

bool JobLedger::applyBody(const TaskEnded& record, TimePoint)
{
    if (hasEnd({ record.m_task, record.m_attempt }))
        return false;
    const auto open = m_open.find(jobOf(record.m_task));
    if (open != m_open.end()) {
        open->second.m_ends.insert_or_assign(record.m_task, record);
        return true;
    }
    if (m_otherEnds.insert_or_assign(record.m_task, record.m_attempt).second)
        m_otherEndsOrder.push_back(record.m_task);
    if (m_otherEndsOrder.size() > m_settings.m_maxEndedJobs) {
        m_otherEnds.erase(m_otherEndsOrder.front());
        m_otherEndsOrder.pop_front();
    }
    return true;
}

} // namespace sapphiredale::ownership
