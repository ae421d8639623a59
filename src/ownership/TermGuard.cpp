// Unaccounted workers and located tasks.

#include "ownership/TermGuard.h"

namespace sapphiredale::ownership {

void TermGuard::startTerm(const std::vector<WorkerId>& workers, TimePoint now)
{
    m_startedAt = now;
    m_located.clear();
    m_unaccounted = std::set<WorkerId>(workers.begin(), workers.end());
}

bool TermGuard::account(const WorkerId& worker)
{
    const bool wasUnaccounted = m_unaccounted.erase(worker) > 0;
    // Without unaccounted workers every task may start, so the set would only grow with each task of the term.
    if (m_unaccounted.empty())
        m_located.clear();
    return wasUnaccounted;
}

void TermGuard::locate(const TaskId& task)
{
    if (!m_unaccounted.empty())
        m_located.insert(task);
}

bool TermGuard::isLocated(const TaskId& task) const { return m_unaccounted.empty() || m_located.contains(task); }

bool TermGuard::mayStart(const TaskId& task, const ClassPolicy* policy, TimePoint now) const
{
    if (isLocated(task))
        return true;
    return policy && policy->m_onDomainLoss == OnDomainLoss::MoveAfterLoss && now >= lapseEnd(*policy);
}

TimePoint TermGuard::lapseEnd(const ClassPolicy& policy) const
{
    return m_startedAt + m_settings.m_leaseEnd + std::chrono::seconds(policy.m_lapseStopSeconds);
}

} // namespace sapphiredale::ownership
