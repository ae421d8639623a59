// Index of the workers that may get new work: by pool and failure domain, ordered by free processor time. Placement
// finds candidates through it, so that its cost does not grow with the number of workers, and a full cell rejects a
// step in constant time.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace sapphiredale::jobs {

struct Worker;

/// Dense numbers of the workers, pools and failure domains that a scheduler has seen. They are not reused.
using WorkerNumber = std::uint32_t;
using PoolNumber = std::uint32_t;
using DomainNumber = std::uint32_t;

/// See the head of the file. Holds pointers to workers; a worker is removed before it is destroyed.
class RoomIndex {
public:
    /// Adds the worker, or moves it to the position for its free processor time.
    void put(Worker&, std::int64_t freeCpuMillis);
    void remove(const Worker&);

    /// Whether a worker of the pool may have this much processor time free. May be true by less than a core too often.
    bool mayFit(PoolNumber, std::int64_t cpuMillis) const;
    /// Approximate number of tasks of this size that the workers of the pool in the domain have processor time for.
    std::uint64_t slotCount(PoolNumber, DomainNumber, std::int64_t cpuMillis) const;
    std::uint32_t domainCount() const { return m_domainCount; }

    /// Calls the visitor for the workers of the pool in the domain that may have this much processor time free, those
    /// with the most first, until it returns false. Returns false if it did.
    template <typename Visitor>
    bool visitFreest(PoolNumber pool, DomainNumber domain, std::int64_t cpuMillis, Visitor visitor) const
    {
        const DomainRoom* room = find(pool, domain);
        if (room == nullptr)
            return true;
        for (std::uint32_t level = room->m_highest + 1; level-- > levelOf(cpuMillis);) {
            for (Worker* worker : room->m_levels[level]) {
                if (!visitor(*worker))
                    return false;
            }
        }
        return true;
    }

    /// The same, those with the least free processor time first.
    template <typename Visitor>
    bool visitTightest(PoolNumber pool, DomainNumber domain, std::int64_t cpuMillis, Visitor visitor) const
    {
        const DomainRoom* room = find(pool, domain);
        if (room == nullptr)
            return true;
        for (std::uint32_t level = levelOf(cpuMillis); level <= room->m_highest; ++level) {
            for (Worker* worker : room->m_levels[level]) {
                if (!visitor(*worker))
                    return false;
            }
        }
        return true;
    }

private:
    /// One level a free core; workers with more are on the last one.
    static constexpr std::uint32_t levelCount = 257;
    static constexpr std::int64_t millisPerLevel = 1000;

    struct DomainRoom {
        std::array<std::vector<Worker*>, levelCount> m_levels;
        /// No level above this one has a worker.
        std::uint32_t m_highest = 0;
    };
    struct Position {
        DomainRoom* m_room = nullptr;
        std::uint32_t m_level = 0;
        std::uint32_t m_index = 0;
    };

    static std::uint32_t levelOf(std::int64_t cpuMillis);
    const DomainRoom* find(PoolNumber, DomainNumber) const;
    DomainRoom& roomOf(PoolNumber, DomainNumber);

    /// By pool, then failure domain. Never shrinks, so that positions stay valid.
    std::vector<std::vector<DomainRoom*>> m_pools;
    std::vector<std::unique_ptr<DomainRoom>> m_rooms;
    std::uint32_t m_domainCount = 0;
    /// By worker number.
    std::vector<Position> m_positions;
};

} // namespace sapphiredale::jobs
