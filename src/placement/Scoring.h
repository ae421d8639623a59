// Scores of a worker for a task: one interface, weighted between short waits and dense packing by the operators' file.
#pragma once

#include "placement/Records.h"

#include <algorithm>
#include <cmath>
#include <concepts>

namespace sapphiredale::placement {

/// A score says how well a worker with the given free amount suits a need that fits; greater is better, about 0 to 1.
template <typename Score>
concept PlacementScore
    = requires(const Score& score, const Worker& worker, const Resources& free, const Resources& need)
{
    {
        score(worker, free, need)
        } -> std::convertible_to<double>;
};

/// Fractions of the worker's capacity that remain free after the placement.
struct Leftover {
    double m_cpu;
    double m_memory;

    Leftover(const Worker& worker, const Resources& free, const Resources& need)
        : m_cpu(fraction(free.m_cpuMillis - need.m_cpuMillis, worker.m_spec.m_capacity.m_cpuMillis))
        , m_memory(fraction(free.m_memoryMiB - need.m_memoryMiB, worker.m_spec.m_capacity.m_memoryMiB))
    {
    }

private:
    static double fraction(std::int64_t part, std::int64_t whole)
    {
        return whole > 0 ? double(part) / double(whole) : 0;
    }
};

/// Prefers workers that the task fills most, with leftover processors and memory in proportion to the capacity. Workers
/// with accelerators are reserved for tasks that need them.
struct PackingScore {
    double operator()(const Worker& worker, const Resources& free, const Resources& need) const
    {
        const Leftover left(worker, free, need);
        const double fill = 1 - (left.m_cpu + left.m_memory) / 2;
        const double imbalance = std::abs(left.m_cpu - left.m_memory);
        const double wasted = need.m_accelerators == 0 && worker.m_spec.m_capacity.m_accelerators > 0 ? 0.5 : 0;
        const double opened = worker.m_tasks.empty() ? 0.5 : 0;
        return fill - 0.5 * imbalance - wasted - opened;
    }
};

/// Prefers workers with few tasks in the starting phase, and preserves large free amounts for large tasks.
struct WaitingScore {
    double operator()(const Worker& worker, const Resources& free, const Resources& need) const
    {
        const Leftover left(worker, free, need);
        const double wasted = need.m_accelerators == 0 && worker.m_spec.m_capacity.m_accelerators > 0 ? 0.5 : 0;
        // Starts in excess of a few at a time slow each other down.
        const double startPenalty = 0.02 * std::clamp(double(worker.m_startingTasks) - 8, 0.0, 10.0);
        return 1 - 0.25 * std::max(left.m_cpu, left.m_memory) - startPenalty - wasted;
    }
};

/// Weighted mean of two scores.
template <PlacementScore First, PlacementScore Second> class WeightedScore {
public:
    WeightedScore(double firstWeight, double secondWeight)
        : m_first(firstWeight + secondWeight > 0 ? firstWeight / (firstWeight + secondWeight) : 0.5)
    {
    }

    double operator()(const Worker& worker, const Resources& free, const Resources& need) const
    {
        return m_first * First {}(worker, free, need) + (1 - m_first) * Second {}(worker, free, need);
    }

private:
    double m_first;
};

using CellScore = WeightedScore<WaitingScore, PackingScore>;
static_assert(PlacementScore<CellScore>);

} // namespace sapphiredale::placement
