// The closed list of reasons for which a task is refused, waits, is queued again or is acted upon, with a counter each.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sapphiredale::placement {

/// Why the cell decided as it did. The name is stable: it is the label of the counter and the reason of explanations.
enum class Reason : std::uint8_t {
    None,
    // Refusals at submission.
    InvalidRequest,
    UnknownWorkload,
    NeverFits,
    QuotaNeverFits,
    QueueFull,
    // Waits.
    Queued,
    NoWorkers,
    NoCapacity,
    QuotaLimit,
    UnreclaimableShare,
    RackSpread,
    GroupIncomplete,
    WaitingForClaim,
    RetryBackoff,
    // Returns to the queue.
    TaskFailed,
    StartRefused,
    WorkerRemoved,
    TaskAbsent,
    StoppedUnexpectedly,
    Preempted,
    GroupMemberLost,
    // Actions on running tasks.
    Throttled,
    OveruseCheckpoint,
    OveruseStop,
    Cancelled,
    ReclaimedShare,
    CheckpointTooSlow,
    StrayStopped,
    // Workers.
    WorkerQuarantined,
    WorkerOnProbation,
    // Reports without effect.
    ReportOutdated,
    // Final results.
    AttemptsExhausted,
    Placed,
    Finished,
};

inline constexpr std::size_t reasonCount = static_cast<std::size_t>(Reason::Finished) + 1;

/// Stable name in lower case with hyphens.
std::string_view nameOf(Reason);

/// One counter per reason. Waits are counted once each time a queue of a workload becomes blocked for the reason.
class Counters {
public:
    void count(Reason reason, std::uint64_t amount = 1) { m_values[static_cast<std::size_t>(reason)] += amount; }
    std::uint64_t value(Reason reason) const { return m_values[static_cast<std::size_t>(reason)]; }

private:
    std::array<std::uint64_t, reasonCount> m_values {};
};

} // namespace sapphiredale::placement
