// Choice of a worker for a task through the index: a bounded number of workers is examined whatever their total.
#pragma once

#include "placement/Scoring.h"
#include "placement/WorkerTable.h"

#include <array>

namespace sapphiredale::placement {

/// Finds the best-scored worker among the candidates of the most promising buckets.
class WorkerSelector {
public:
    /// The seed varies which members of large buckets are examined first.
    explicit WorkerSelector(std::uint64_t seed = 0)
        : m_cursor(static_cast<std::uint32_t>(seed))
    {
    }

    /// accept(worker index, worker) adds constraints beyond free capacity. Returns noIndex when none was found.
    template <PlacementScore Score, typename Accept>
    WorkerIndex select(const WorkerTable& workers, const Resources& need, const Score& score, Accept&& accept)
    {
        rankBuckets(workers, need, score);
        const WorkerIndex best = examine(workers, need, score, accept, bestBuckets, workersPerBucket);
        // Constraints such as the rack spread can exclude all members of the best buckets: look wider, still bounded.
        return best != noIndex ? best : examine(workers, need, score, accept, m_rankedCount, maxExamined);
    }

private:
    static constexpr unsigned bestBuckets = 4;
    static constexpr unsigned workersPerBucket = 8;
    static constexpr unsigned maxRanked = 64;
    static constexpr unsigned maxExamined = 256;

    struct Ranked {
        double m_score;
        std::uint32_t m_bucket;
    };

    /// Ranks the buckets that may hold the need by the score of one member each.
    template <PlacementScore Score>
    void rankBuckets(const WorkerTable& workers, const Resources& need, const Score& score)
    {
        m_rankedCount = 0;
        ++m_cursor;
        workers.freeGrid().forEachBucket(need, [&](std::uint32_t bucket) {
            const auto& entries = workers.freeGrid().bucket(bucket);
            const Worker& sample = workers.at(entries[m_cursor % entries.size()]);
            const Resources free = sample.free();
            // A bucket at the level of the need holds members that fit and members that do not.
            const double value = score(sample, free, need) - (need.fitsIn(free) ? 0 : 0.05);
            insertRanked({ value, bucket });
            return true;
        });
    }

    void insertRanked(const Ranked& entry)
    {
        if (m_rankedCount == maxRanked) {
            if (entry.m_score <= m_ranked[maxRanked - 1].m_score)
                return;
            --m_rankedCount;
        }
        unsigned position = m_rankedCount++;
        for (; position > 0 && m_ranked[position - 1].m_score < entry.m_score; --position)
            m_ranked[position] = m_ranked[position - 1];
        m_ranked[position] = entry;
    }

    template <PlacementScore Score, typename Accept>
    WorkerIndex examine(const WorkerTable& workers, const Resources& need, const Score& score, Accept& accept,
        unsigned bucketLimit, unsigned perBucket)
    {
        WorkerIndex best = noIndex;
        double bestScore = 0;
        unsigned examined = 0;
        unsigned withCandidate = 0;
        for (unsigned i = 0; i < m_rankedCount && withCandidate < bucketLimit && examined < maxExamined; ++i) {
            const auto& entries = workers.freeGrid().bucket(m_ranked[i].m_bucket);
            bool found = false;
            for (unsigned k = 0; k < entries.size() && k < perBucket && examined < maxExamined; ++k, ++examined) {
                const WorkerIndex index = entries[(m_cursor + k) % entries.size()];
                const Worker& worker = workers.at(index);
                const Resources free = worker.free();
                if (!need.fitsIn(free) || !accept(index, worker))
                    continue;
                found = true;
                const double value = score(worker, free, need);
                if (best == noIndex || value > bestScore) {
                    best = index;
                    bestScore = value;
                }
            }
            withCandidate += found ? 1 : 0;
        }
        return best;
    }

    std::array<Ranked, maxRanked> m_ranked {};
    unsigned m_rankedCount = 0;
    /// Varies the members that are examined in large buckets.
    std::uint32_t m_cursor;
};

} // namespace sapphiredale::placement
