// Counters of the ConfigurationService, one per refusal and retry reason.
#pragma once

#include "configuration/ConfigurationFold.h"
#include "model/ErrorKind.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace sapphiredale::configuration {

/// Counter of a refusal or retry reason.
struct ReasonCount {
    /// Stable label, for example "retry-append-unanswered".
    std::string_view m_reason;
    std::uint64_t m_count = 0;
};

enum class ServiceReason : std::uint8_t {
    ApplyAccepted,
    ApplyUndecided,
    RefusedInvalidRequest,
    RefusedPreconditionRequired,
    RefusedConfigurationInvalid,
    RefusedVersionConflict,
    RefusedLogUnavailable,
    RefusedNotReady,
    RefusedOverloaded,
    RefusedOther,
    RetryAppendNotAppended,
    RetryAppendUnanswered,
    RetryLogRead,
    RetryLogReadWithoutProgress,
    RetryPeerFetch,
    RetryRefresh,
    RefreshAppended,
    ReadUnconfirmed,
    PeerStateRefused,
    PeerHashDiffers,
};

inline constexpr std::size_t serviceReasonCount = static_cast<std::size_t>(ServiceReason::PeerHashDiffers) + 1;

class ServiceCounters {
public:
    void count(ServiceReason reason) { ++m_counts[static_cast<std::size_t>(reason)]; }
    void countRefusal(ErrorKind);
    /// All counters, those of the fold included.
    std::vector<ReasonCount> list(const FoldCounters&) const;

private:
    std::array<std::uint64_t, serviceReasonCount> m_counts {};
};

} // namespace sapphiredale::configuration
