// Learns sizes and run times from reports, within bounds on how far a report is trusted.
#pragma once

#include "placement/CellState.h"

namespace sapphiredale::placement {

/// Trusted usage of running tasks and learned sizes of workloads.
class UsageLearning {
public:
    explicit UsageLearning(CellState& state)
        : m_state(state)
    {
    }

    /// Adjusts the reservation of a task to a usage report of its present attempt.
    void applyUsageReport(Task&, const Resources& usage, TimePoint now);
    /// Records the run time of a task that ended with success.
    void recordRunTime(const Task&, TimePoint now);

private:
    /// Largest factor by which one report may raise the trusted usage of a task; limits the effect of a wrong report.
    static constexpr std::int64_t maxGrowthPerReport = 2;
    /// The learned size of a workload is at most this multiple of its declared size.
    static constexpr std::int64_t maxLearnedFactor = 4;
    /// Number of distinct tasks whose usage a learned size requires.
    static constexpr std::uint32_t minSampledTasks = 3;

    Resources trustedUsage(const Task&, const Resources& usage, TimePoint now) const;
    void learnSize(Task&, Workload&);

    CellState& m_state;
};

} // namespace sapphiredale::placement
