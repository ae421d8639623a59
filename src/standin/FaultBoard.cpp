// Matching of partitions and their effect on an exchange.

#include "standin/FaultBoard.h"

#include "standin/Clock.h"

#include <algorithm>

namespace sapphiredale::standin {

namespace {

    template <typename T> bool matches(const std::vector<T>& list, const T& value)
    {
        return list.empty() || std::find(list.begin(), list.end(), value) != list.end();
    }

    bool covers(const Partition& partition, const std::string& daemon, PlatformPart part, const std::string& domain)
    {
        // The header has the form "failureDomain/daemon".
        const std::size_t slash = daemon.rfind('/');
        const std::string daemonDomain = slash == std::string::npos ? std::string() : daemon.substr(0, slash);
        const std::string daemonName = slash == std::string::npos ? daemon : daemon.substr(slash + 1);
        return matches(partition.m_daemons, daemonName) && matches(partition.m_daemonDomains, daemonDomain)
            && matches(partition.m_parts, part) && matches(partition.m_targetDomains, domain);
    }

} // namespace

void FaultBoard::set(Partition partition)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_partitions, [&](const Partition& known) { return known.m_name == partition.m_name; });
    m_partitions.push_back(std::move(partition));
    m_signal.notify();
}

bool FaultBoard::heal(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    const bool found = std::erase_if(m_partitions, [&](const Partition& known) { return known.m_name == name; }) > 0;
    m_signal.notify();
    return found;
}

void FaultBoard::clear()
{
    const std::lock_guard lock(m_mutex);
    m_partitions.clear();
    m_signal.notify();
}

std::vector<Partition> FaultBoard::list() const
{
    const std::lock_guard lock(m_mutex);
    return m_partitions;
}

std::optional<PartitionMode> FaultBoard::modeFor(
    PlatformPart part, const std::string& targetDomain, Connection& connection)
{
    const std::lock_guard lock(m_mutex);
    std::optional<PartitionMode> mode;
    for (const Partition& partition : m_partitions) {
        // With several partitions the most severe one decides.
        if (covers(partition, connection.daemon(), part, targetDomain))
            mode = mode ? std::min(*mode, partition.m_mode) : partition.m_mode;
    }
    if (mode)
        m_signal.subscribe(connection);
    return mode;
}

boost::asio::awaitable<void> FaultBoard::waitForHealing(
    PlatformPart part, const std::string& targetDomain, Connection& connection, bool beyondClose)
{
    while ((beyondClose || !connection.peerClosed()) && modeFor(part, targetDomain, connection))
        co_await connection.waitUntil(currentTime() + std::chrono::hours(1));
}

boost::asio::awaitable<HttpReply> FaultBoard::guard(PlatformPart part, std::string targetDomain,
    const HttpRequest& request, Connection& connection, const HttpHandler& inner)
{
    const auto before = modeFor(part, targetDomain, connection);
    if (before && *before != PartitionMode::LoseAnswers) {
        // A delayed request is executed even when its sender has given up: the sender cannot take it back.
        co_await waitForHealing(part, targetDomain, connection, *before == PartitionMode::Delay);
        if (*before == PartitionMode::Drop)
            co_return HttpReply::dropped();
    }
    HttpReply reply = co_await inner(request, connection);
    if (!modeFor(part, targetDomain, connection))
        co_return reply;
    co_await waitForHealing(part, targetDomain, connection, false);
    co_return HttpReply::dropped();
}

} // namespace sapphiredale::standin
