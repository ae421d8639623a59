// Moves of workers between the levels of free processor time.

#include "jobs/RoomIndex.h"

#include "jobs/SchedulerState.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::jobs {

std::uint32_t RoomIndex::levelOf(std::int64_t cpuMillis)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(cpuMillis / millisPerLevel, 0, levelCount - 1));
}

void RoomIndex::put(Worker& worker, std::int64_t freeCpuMillis)
{
    DomainRoom& room = roomOf(worker.m_pool, worker.m_domain);
    const std::uint32_t level = levelOf(freeCpuMillis);
    if (worker.m_number >= m_positions.size())
        m_positions.resize(worker.m_number + 1);
    const Position& old = m_positions[worker.m_number];
    if (old.m_room == &room && old.m_level == level)
        return;
    remove(worker);
    std::vector<Worker*>& workers = room.m_levels[level];
    m_positions[worker.m_number] = { &room, level, static_cast<std::uint32_t>(workers.size()) };
    workers.push_back(&worker);
    room.m_highest = std::max(room.m_highest, level);
}

void RoomIndex::remove(const Worker& worker)
{
    if (worker.m_number >= m_positions.size())
        return;
    const Position at = std::exchange(m_positions[worker.m_number], {});
    if (at.m_room == nullptr)
        return;
    std::vector<Worker*>& workers = at.m_room->m_levels[at.m_level];
    Worker* last = workers.back();
    workers.pop_back();
    if (last->m_number != worker.m_number) {
        workers[at.m_index] = last;
        m_positions[last->m_number].m_index = at.m_index;
    }
    while (at.m_room->m_highest > 0 && at.m_room->m_levels[at.m_room->m_highest].empty())
        --at.m_room->m_highest;
}

bool RoomIndex::mayFit(PoolNumber pool, std::int64_t cpuMillis) const
{
    const std::uint32_t level = levelOf(cpuMillis);
    for (DomainNumber domain = 0; domain < m_domainCount; ++domain) {
        const DomainRoom* room = find(pool, domain);
        if (room != nullptr && room->m_highest >= level && !room->m_levels[room->m_highest].empty())
            return true;
    }
    return false;
}

std::uint64_t RoomIndex::slotCount(PoolNumber pool, DomainNumber domain, std::int64_t cpuMillis) const
{
    const DomainRoom* room = find(pool, domain);
    if (room == nullptr)
        return 0;
    const std::int64_t need = std::max<std::int64_t>(cpuMillis, 1);
    std::uint64_t slots = 0;
    for (std::uint32_t level = levelOf(cpuMillis); level <= room->m_highest; ++level) {
        // The upper end of the level, so that a worker on the level of the need counts.
        const std::int64_t free = (level + 1) * millisPerLevel - 1;
        slots += room->m_levels[level].size() * static_cast<std::uint64_t>(free / need);
    }
    return slots;
}

const RoomIndex::DomainRoom* RoomIndex::find(PoolNumber pool, DomainNumber domain) const
{
    return pool < m_pools.size() && domain < m_pools[pool].size() ? m_pools[pool][domain] : nullptr;
}

RoomIndex::DomainRoom& RoomIndex::roomOf(PoolNumber pool, DomainNumber domain)
{
    if (pool >= m_pools.size())
        m_pools.resize(pool + 1);
    std::vector<DomainRoom*>& domains = m_pools[pool];
    if (domain >= domains.size())
        domains.resize(domain + 1);
    if (domains[domain] == nullptr) {
        m_rooms.push_back(std::make_unique<DomainRoom>());
        domains[domain] = m_rooms.back().get();
        m_domainCount = std::max(m_domainCount, domain + 1);
    }
    return *domains[domain];
}

} // namespace sapphiredale::jobs
