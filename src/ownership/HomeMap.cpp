// Assignment of home domains, moves between files, and tracking of moves and takeovers.

#include "ownership/HomeMap.h"

#include "model/Rendezvous.h"

#include <algorithm>
#include <set>

namespace sapphiredale::ownership {

namespace {

    std::set<FailureDomainId> remainingDomains(const ClusterFile& file)
    {
        std::set<FailureDomainId> domains;
        for (const FailureDomainSpec& spec : file.m_failureDomains) {
            if (!spec.m_lost)
                domains.insert(spec.m_name);
        }
        return domains;
    }

    const WorkloadSpec* findService(const ClusterFile& file, const WorkloadId& name)
    {
        const auto found = std::find_if(file.m_workloads.begin(), file.m_workloads.end(),
            [&](const WorkloadSpec& workload) { return workload.m_name == name; });
        return found == file.m_workloads.end() ? nullptr : &*found;
    }

} // namespace

TaskId instanceTask(const WorkloadId& workload, std::uint32_t index)
{
    return TaskId(workload.value() + '/' + std::to_string(index));
}

std::string_view ownerOfTask(const TaskId& task)
{
    const std::string_view text = task.value();
    return text.substr(0, std::min(text.rfind('/'), text.size()));
}

JobId makeJobId(const FailureDomainId& home, std::string_view unique)
{
    return JobId(home.value() + '.' + std::string(unique));
}

FailureDomainId homeOfJob(const JobId& job)
{
    // A domain name may contain dots, the unique part may not.
    const std::size_t dot = job.value().rfind('.');
    return dot == std::string::npos ? FailureDomainId {} : FailureDomainId(job.value().substr(0, dot));
}

std::optional<FailureDomainId> homeOfInstance(const ClusterFile& file, const WorkloadSpec& workload, const TaskId& task)
{
    std::vector<FailureDomainId> allowed;
    for (const FailureDomainSpec& spec : file.m_failureDomains) {
        const auto& names = workload.m_failureDomains;
        if (!spec.m_lost && (names.empty() || std::find(names.begin(), names.end(), spec.m_name) != names.end()))
            allowed.push_back(spec.m_name);
    }
    const FailureDomainId* home = rendezvousChoice<FailureDomainId>(task.value(), allowed);
    return home ? std::optional(*home) : std::nullopt;
}

std::vector<HomeMove> homeMoves(const ClusterFile& older, const ClusterFile& newer, std::uint64_t version)
{
    std::vector<HomeMove> moves;
    const std::set<FailureDomainId> remaining = remainingDomains(newer);
    for (const WorkloadSpec& before : older.m_workloads) {
        const WorkloadSpec* after = findService(newer, before.m_name);
        for (std::uint32_t i = 0; i < before.m_instances; ++i) {
            const TaskId task = instanceTask(before.m_name, i);
            const auto from = homeOfInstance(older, before, task);
            if (!from || !remaining.contains(*from))
                continue;
            FailureDomainId to;
            if (after && i < after->m_instances)
                to = homeOfInstance(newer, *after, task).value_or(FailureDomainId {});
            if (to != *from)
                moves.push_back({ task, *from, to, version });
        }
    }
    return moves;
}

void HomeMap::addMoves(const std::vector<HomeMove>& moves)
{
    for (const HomeMove& move : moves) {
        const auto known = m_released.find({ move.m_task, move.m_from });
        if (known == m_released.end() || known->second < move.m_version)
            m_pending[move.m_task].emplace(move.m_version, move);
    }
}

void HomeMap::released(const FailureDomainId& from, const TaskId& task, std::uint64_t version)
{
    std::uint64_t& greatest = m_released[{ task, from }];
    greatest = std::max(greatest, version);
    const auto pending = m_pending.find(task);
    if (pending == m_pending.end())
        return;
    std::erase_if(
        pending->second, [&](const auto& entry) { return entry.second.m_from == from && entry.first <= greatest; });
    if (pending->second.empty())
        m_pending.erase(pending);
}

void HomeMap::declareLost(const FailureDomainId& domain)
{
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        std::erase_if(pending->second, [&](const auto& entry) { return entry.second.m_from == domain; });
        pending = pending->second.empty() ? m_pending.erase(pending) : std::next(pending);
    }
    for (auto& [task, takeover] : m_takeovers) {
        if (takeover.m_taker == domain)
            takeover.m_ended = true;
    }
}

void HomeMap::taken(const FailureDomainId& taker, const TaskId& task, std::uint64_t takeover)
{
    Takeover& newest = m_takeovers[task];
    if (takeover > newest.m_number)
        newest = { taker, takeover, false };
}

void HomeMap::takeoverReleased(const FailureDomainId& taker, const TaskId& task, std::uint64_t takeover)
{
    Takeover& newest = m_takeovers[task];
    if (takeover >= newest.m_number)
        newest = { taker, takeover, true };
}

std::optional<std::pair<FailureDomainId, std::uint64_t>> HomeMap::takenBy(const TaskId& task) const
{
    const auto found = m_takeovers.find(task);
    if (found == m_takeovers.end() || found->second.m_ended)
        return std::nullopt;
    return std::pair(found->second.m_taker, found->second.m_number);
}

std::uint64_t HomeMap::nextTakeover(const TaskId& task) const
{
    const auto found = m_takeovers.find(task);
    return found == m_takeovers.end() ? 1 : found->second.m_number + 1;
}

bool HomeMap::mayStart(const TaskId& task) const { return !m_pending.contains(task); }

const HomeMove* HomeMap::pendingMove(const TaskId& task) const
{
    const auto found = m_pending.find(task);
    return found == m_pending.end() ? nullptr : &found->second.begin()->second;
}

std::vector<HomeMove> HomeMap::owedBy(const FailureDomainId& domain) const
{
    std::vector<HomeMove> owed;
    for (const auto& [task, moves] : m_pending) {
        if (moves.begin()->second.m_from == domain)
            owed.push_back(moves.begin()->second);
    }
    return owed;
}

std::vector<HomeMove> HomeMap::pending() const
{
    std::vector<HomeMove> all;
    for (const auto& [task, moves] : m_pending) {
        for (const auto& [version, move] : moves)
            all.push_back(move);
    }
    return all;
}

} // namespace sapphiredale::ownership
