// Index of workers by an amount of resources. Amounts are quantized to two levels per octave, so that a query visits
// buckets, whose number is fixed, instead of workers.
#pragma once

#include "model/Resources.h"
#include "placement/Records.h"

#include <array>
#include <bit>
#include <cstdint>
#include <vector>

namespace sapphiredale::placement {

/// Buckets of workers. The position of a worker is kept by the caller in two numbers (bucket and slot).
class WorkerGrid {
public:
    static constexpr unsigned levels = 28;
    static constexpr unsigned acceleratorLevels = 4;

    WorkerGrid();

    /// Bucket of an amount; noIndex when an amount is negative or there is neither processor nor memory.
    static std::uint32_t bucketOf(const Resources&);

    void insert(WorkerIndex, std::uint32_t bucket, std::uint32_t& slot);
    /// Removes the entry at the slot; returns the worker that moved into it, or noIndex.
    WorkerIndex erase(std::uint32_t bucket, std::uint32_t slot);
    const std::vector<WorkerIndex>& bucket(std::uint32_t index) const { return m_buckets[index]; }

    /// Calls visit(bucket index) for each bucket that may hold the need, until it returns false.
    template <typename Visit> void forEachBucket(const Resources& need, Visit&& visit) const
    {
        const unsigned cpuFrom = levelOf(need.m_cpuMillis, cpuUnit);
        const unsigned memoryFrom = levelOf(need.m_memoryMiB, memoryUnit);
        for (unsigned a = acceleratorLevelOf(need.m_accelerators); a < acceleratorLevels; ++a) {
            for (unsigned c = cpuFrom; c < levels; ++c) {
                std::uint32_t mask = m_rows[a * levels + c] & (~std::uint32_t(0) << memoryFrom);
                for (; mask != 0; mask &= mask - 1) {
                    const auto m = static_cast<unsigned>(std::countr_zero(mask));
                    if (!visit((a * levels + c) * levels + m))
                        return;
                }
            }
        }
    }

    std::size_t stateBytes() const;

private:
    /// Amounts below the unit share level 0 with zero.
    static constexpr std::int64_t cpuUnit = 125;
    static constexpr std::int64_t memoryUnit = 128;

    static unsigned levelOf(std::int64_t amount, std::int64_t unit);
    static unsigned acceleratorLevelOf(std::int64_t accelerators);

    std::vector<std::vector<WorkerIndex>> m_buckets;
    /// One bit per memory level that has a worker, for each accelerator and processor level.
    std::array<std::uint32_t, std::size_t(acceleratorLevels) * levels> m_rows {};
};

} // namespace sapphiredale::placement
