// Lagging view of hosts.

#include "standin/HostDirectory.h"

namespace sapphiredale::standin {

void HostDirectory::add(const std::string& name, const FailureDomainId& failureDomain)
{
    const std::lock_guard lock(m_mutex);
    m_hosts[name] = { name, ListedState::Live, failureDomain };
}

bool HostDirectory::set(const std::string& name, ListedState state, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_hosts.contains(name))
        return false;
    m_changes.push_back({ now + m_lag, name, state });
    return true;
}

HostView HostDirectory::view(TimePoint now, WallTime wallNow)
{
    const std::lock_guard lock(m_mutex);
    while (!m_changes.empty() && now >= m_changes.front().m_showsAt) {
        m_hosts[m_changes.front().m_name].m_state = m_changes.front().m_state;
        m_changes.pop_front();
    }
    HostView view;
    view.m_asOf = wallNow - std::chrono::duration_cast<std::chrono::milliseconds>(m_lag);
    for (const auto& [name, host] : m_hosts)
        view.m_hosts.push_back(host);
    return view;
}

void HostDirectory::reset()
{
    const std::lock_guard lock(m_mutex);
    m_changes.clear();
    for (auto& [name, host] : m_hosts)
        host.m_state = ListedState::Live;
}

} // namespace sapphiredale::standin
