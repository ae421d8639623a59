// Account of the connections and choice of those that give way.

#include "controller/ConnectionBudget.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace sapphiredale::controller {

namespace {

    /// A caller inside the platform's limits sends the parts of a request without pauses of this length.
    constexpr Duration quietTime = std::chrono::milliseconds(500);
    /// Part of the limit that is free after connections gave way, so that the search is rare under a flood.
    constexpr std::size_t freedShare = 8;

} // namespace

std::string_view nameOf(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::Memory:
        return "memory";
    case ConnectionEnd::ConnectionLimit:
        return "connection-limit";
    case ConnectionEnd::HeaderLimit:
        return "header-limit";
    case ConnectionEnd::BodyLimit:
        return "body-limit";
    case ConnectionEnd::RequestTime:
        return "request-time";
    case ConnectionEnd::AnswerTime:
        return "answer-time";
    }
    return "unknown";
}

ConnectionBudget::ConnectionBudget(std::size_t limitBytes)
    : m_limit(limitBytes)
{
}

void ConnectionBudget::report(ConnectionEnd end) const
{
    if (m_observer)
        m_observer(end);
}

void ConnectionBudget::enter(Holder& holder, TimePoint now)
{
    holder.m_serial = ++m_lastSerial;
    holder.m_lastActive = now;
    m_holders.insert(&holder);
}

void ConnectionBudget::leave(Holder& holder)
{
    if (m_holders.erase(&holder) == 0)
        return;
    m_used -= holder.m_bytes;
    holder.m_bytes = 0;
}

bool ConnectionBudget::hold(Holder& holder, std::size_t bytes, TimePoint now)
{
    if (!m_holders.contains(&holder))
        return false;
    const bool grows = bytes > holder.m_bytes;
    m_used += bytes - holder.m_bytes;
    holder.m_bytes = bytes;
    if (!grows || m_used <= m_limit)
        return true;
    makeRoom(now);
    return m_used <= m_limit && m_holders.contains(&holder);
}

bool ConnectionBudget::isQuiet(const Holder& holder, TimePoint now) const
{
    return now - holder.m_lastActive >= quietTime;
}

void ConnectionBudget::makeRoom(TimePoint now)
{
    std::vector<Holder*> candidates;
    for (Holder* holder : m_holders) {
        if (holder->canGiveWay())
            candidates.push_back(holder);
    }
    const auto rank = [&](const Holder* holder) {
        const bool isStalled = holder->isReading() && isQuiet(*holder, now);
        // Later ones among those that progress come first, hence the negative number.
        return std::tuple(
            !isStalled, isStalled ? holder->m_lastActive : TimePoint {}, -static_cast<std::int64_t>(holder->m_serial));
    };
    std::sort(candidates.begin(), candidates.end(),
        [&](const Holder* left, const Holder* right) { return rank(left) < rank(right); });
    for (Holder* holder : candidates) {
        if (m_used <= m_limit - m_limit / freedShare)
            return;
        leave(*holder);
        report(ConnectionEnd::Memory);
        holder->giveWay();
    }
}

} // namespace sapphiredale::controller
