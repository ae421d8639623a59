// Whether a view of the store is recent enough to start tasks on it.
//
// Answers a scheduler that was paused, is starved of processor time, or reads a topic late: meanwhile a worker may have
// announced that it drains, or another daemon may have acknowledged a cancellation. Late means no start. While the
// store itself refuses or does not answer any call, no announcement can have been acknowledged either, and tasks go on
// to start at recorded places. Reads that time out while other calls are answered are no such proof: this host may be
// the slow one.
#pragma once

#include "model/Time.h"

#include <cstdint>

namespace sapphiredale::jobs {

/// A complete view of one topic, as of the time at which it was asked for.
struct ViewAge {
    TimePoint m_askedAt {};
    /// Calls that have failed since then, and those of them that the store refused. The first may have been pending
    /// while this process was paused.
    std::uint32_t m_failures = 0;
    std::uint32_t m_refusals = 0;

    friend bool operator==(const ViewAge&, const ViewAge&) = default;
};

/// Failures after which the store counts as unavailable for the topic.
inline constexpr std::uint32_t failuresOfUnavailableStore = 2;

/// `isStoreFailing` tells whether other calls to the store fail as well.
constexpr bool isTooOld(const ViewAge& view, Duration maxAge, bool isStoreFailing, TimePoint now)
{
    const bool isUnavailable = view.m_refusals >= failuresOfUnavailableStore
        || (isStoreFailing && view.m_failures >= failuresOfUnavailableStore);
    return now - view.m_askedAt > maxAge && !isUnavailable;
}

} // namespace sapphiredale::jobs
