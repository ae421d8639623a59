// Buckets of workers by quantized amounts.

#include "placement/WorkerGrid.h"

#include <cassert>

namespace sapphiredale::placement {

WorkerGrid::WorkerGrid()
    : m_buckets(std::size_t(acceleratorLevels) * levels * levels)
{
}

unsigned WorkerGrid::levelOf(std::int64_t amount, std::int64_t unit)
{
    if (amount < unit)
        return 0;
    // Two levels per octave: the position of the highest bit and the bit below it.
    const auto doubled = static_cast<std::uint64_t>(amount * 2 / unit);
    const auto width = static_cast<unsigned>(std::bit_width(doubled));
    assert(width >= 2);
    const unsigned octave = width - 2;
    const auto half = static_cast<unsigned>((doubled >> octave) & 1);
    return std::min(levels - 1, 1 + 2 * octave + half);
}

unsigned WorkerGrid::acceleratorLevelOf(std::int64_t accelerators)
{
    return accelerators <= 0 ? 0 : accelerators == 1 ? 1 : accelerators < 4 ? 2 : 3;
}

std::uint32_t WorkerGrid::bucketOf(const Resources& amount)
{
    if (amount.hasNegative() || (amount.m_cpuMillis == 0 && amount.m_memoryMiB == 0))
        return noIndex;
    return (acceleratorLevelOf(amount.m_accelerators) * levels + levelOf(amount.m_cpuMillis, cpuUnit)) * levels
        + levelOf(amount.m_memoryMiB, memoryUnit);
}

void WorkerGrid::insert(WorkerIndex worker, std::uint32_t bucket, std::uint32_t& slot)
{
    std::vector<WorkerIndex>& entries = m_buckets[bucket];
    slot = static_cast<std::uint32_t>(entries.size());
    entries.push_back(worker);
    m_rows[bucket / levels] |= std::uint32_t(1) << (bucket % levels);
}

WorkerIndex WorkerGrid::erase(std::uint32_t bucket, std::uint32_t slot)
{
    std::vector<WorkerIndex>& entries = m_buckets[bucket];
    assert(slot < entries.size());
    entries[slot] = entries.back();
    entries.pop_back();
    if (entries.empty())
        m_rows[bucket / levels] &= ~(std::uint32_t(1) << (bucket % levels));
    return slot < entries.size() ? entries[slot] : noIndex;
}

std::size_t WorkerGrid::stateBytes() const
{
    std::size_t bytes = m_buckets.size() * sizeof(std::vector<WorkerIndex>) + sizeof(m_rows);
    for (const auto& entries : m_buckets)
        bytes += entries.capacity() * sizeof(WorkerIndex);
    return bytes;
}

} // namespace sapphiredale::placement
