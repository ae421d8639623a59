// Order of the requests for reports by time.

#include "jobs/ReportSchedule.h"

namespace sapphiredale::jobs {

void ReportSchedule::add(const WorkerId& worker, TimePoint nextAt)
{
    const auto [at, isNew] = m_entries.try_emplace(worker);
    // A new entry has no place in m_due yet.
    at->second.m_isRequested = at->second.m_isRequested || isNew;
    setNext(worker, at->second, nextAt);
}

void ReportSchedule::remove(const WorkerId& worker)
{
    const auto found = m_entries.find(worker);
    if (found == m_entries.end())
        return;
    m_due.erase({ found->second.m_nextAt, worker });
    m_entries.erase(found);
    m_beforeStore.erase(worker);
}

bool ReportSchedule::beginRequest(const WorkerId& worker)
{
    const auto found = m_entries.find(worker);
    if (found == m_entries.end() || std::exchange(found->second.m_isRequested, true))
        return false;
    m_due.erase({ found->second.m_nextAt, worker });
    return true;
}

void ReportSchedule::ended(const WorkerId& worker, TimePoint nextAt)
{
    if (const auto found = m_entries.find(worker); found != m_entries.end())
        setNext(worker, found->second, nextAt);
}

void ReportSchedule::endedBeforeStore(const WorkerId& worker, TimePoint latest)
{
    const auto found = m_entries.find(worker);
    if (found == m_entries.end())
        return;
    setNext(worker, found->second, latest);
    m_beforeStore.insert(worker);
}

std::vector<WorkerId> ReportSchedule::takeStored()
{
    std::vector<WorkerId> workers;
    for (const WorkerId& worker : std::exchange(m_beforeStore, {})) {
        if (!m_entries.at(worker).m_isRequested)
            workers.push_back(worker);
    }
    return workers;
}

std::vector<WorkerId> ReportSchedule::due(TimePoint now) const
{
    std::vector<WorkerId> workers;
    for (auto it = m_due.begin(); it != m_due.end() && it->first <= now; ++it)
        workers.push_back(it->second);
    return workers;
}

void ReportSchedule::setNext(const WorkerId& worker, Entry& entry, TimePoint nextAt)
{
    if (!std::exchange(entry.m_isRequested, false))
        m_due.erase({ entry.m_nextAt, worker });
    entry.m_nextAt = nextAt;
    m_due.emplace(nextAt, worker);
}

} // namespace sapphiredale::jobs
