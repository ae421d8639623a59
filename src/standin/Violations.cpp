// Recording of violations.

#include "standin/Violations.h"

#include "standin/Clock.h"

namespace sapphiredale::standin {

namespace {
    constexpr std::size_t maxListed = 10000;
}

void Violations::add(const std::string& kind, const std::string& detail)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[kind];
    if (m_list.size() < maxListed)
        m_list.push_back({ kind, detail, currentWallTime() });
}

std::vector<Violation> Violations::list() const
{
    const std::lock_guard lock(m_mutex);
    return m_list;
}

std::map<std::string, std::uint64_t> Violations::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void Violations::clear()
{
    const std::lock_guard lock(m_mutex);
    m_list.clear();
    m_counts.clear();
}

} // namespace sapphiredale::standin
