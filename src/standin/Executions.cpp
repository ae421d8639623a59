// Recording of executions.

#include "standin/Executions.h"

#include "standin/Clock.h"

namespace sapphiredale::standin {

Executions::Executions(std::size_t retained, Violations& violations)
    : m_retained(retained)
    , m_violations(violations)
{
}

std::uint64_t Executions::begin(Execution execution)
{
    const std::lock_guard lock(m_mutex);
    if (!execution.m_idempotencyKey.empty()) {
        const std::string& task = execution.m_minion.value();
        const std::string key = task.substr(0, task.rfind('/')) + '\n' + execution.m_idempotencyKey;
        if (!m_keys.insert(key).second)
            m_violations.add("request-run-twice",
                "key " + execution.m_idempotencyKey + " again on " + task + " as request "
                    + execution.m_request.value());
    }
    execution.m_sequence = m_next++;
    execution.m_start = currentWallTime();
    m_history.push_back(std::move(execution));
    if (m_history.size() > m_retained)
        m_history.pop_front();
    return m_next - 1;
}

void Executions::end(std::uint64_t sequence, const std::string& outcome)
{
    const std::lock_guard lock(m_mutex);
    if (m_history.empty() || sequence < m_history.front().m_sequence)
        return;
    Execution& execution = m_history[sequence - m_history.front().m_sequence];
    execution.m_end = currentWallTime();
    execution.m_outcome = outcome;
}

std::vector<Execution> Executions::after(std::uint64_t sequence, std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Execution> result;
    if (m_history.empty())
        return result;
    const std::uint64_t first = m_history.front().m_sequence;
    for (std::size_t i = sequence < first ? 0 : sequence - first + 1; i < m_history.size() && result.size() < limit;
         ++i)
        result.push_back(m_history[i]);
    return result;
}

void Executions::clear()
{
    const std::lock_guard lock(m_mutex);
    m_history.clear();
    m_keys.clear();
}

} // namespace sapphiredale::standin
