// Event counters of the ownership core: leases, commands, appends, submissions and held tasks.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sapphiredale::ownership {

/// Events that are counted, each under its own label.
enum class CountedReason : std::uint8_t {
    LeaseGranted,
    LeaseRejectedHeld,
    LeaseRejectedEpoch,
    LeaseTimeout,
    LateLeaseAnswer,
    CampaignStarted,
    CampaignSplit,
    MajorityWon,
    MajorityLost,
    ReportOutOfOrder,
    WorkerRestarted,
    WorkerEndProven,
    CommandTimeout,
    CommandStaleEpoch,
    CommandOtherIncarnation,
    CommandRefused,
    LateCommandAnswer,
    AppendFailed,
    AppendUnknown,
    RecordRepeated,
    SubmissionNotScheduler,
    SubmissionLogUnavailable,
    SubmissionOutcomeUnknown,
    SubmissionRefused,
    SubmissionRepeated,
    DuplicateTaskStopped,
    UndeclaredTaskStopped,
    TaskHeldForUnaccountedWorker,
    TaskHeldForHome,
    HomeTakenOver,
    LapseStopAssumed,
};

inline constexpr std::size_t countedReasonCount = static_cast<std::size_t>(CountedReason::LapseStopAssumed) + 1;

/// Label of a counter: lower case with hyphens.
std::string_view nameOf(CountedReason);

/// One 64-bit counter per reason.
class Counters {
public:
    void add(CountedReason reason, std::uint64_t count = 1) { m_values[static_cast<std::size_t>(reason)] += count; }
    std::uint64_t value(CountedReason reason) const { return m_values[static_cast<std::size_t>(reason)]; }

private:
    std::array<std::uint64_t, countedReasonCount> m_values {};
};

} // namespace sapphiredale::ownership
