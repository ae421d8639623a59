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

    /// A usage report of the present attempt: changes what the task reserves.
    void usageReported(Task&, const Resources& usage, TimePoint now);
    /// A task ended by itself with success.
    void runEnded(const Task&, TimePoint now);

private:
    /// A report raises the trusted usage of a task at most by this factor, so that one wrong report does little.
    static constexpr std::int64_t maxGrowthPerReport = 2;
    /// The learned size of a workload is at most this multiple of its declared size.
    static constexpr std::int64_t maxLearnedFactor = 4;
    /// Distinct tasks that must support a learned size.
    static constexpr std::uint32_t samplesForTrust = 3;

    Resources trusted(const Task&, const Resources& usage, TimePoint now) const;
    void learnSize(Task&, Workload&);

    CellState& m_state;
};

} // namespace sapphiredale::placement
