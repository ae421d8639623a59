// When this daemon appends a refresh record.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace sapphiredale::configuration {

/// Settings that build a RefreshSchedule.
struct RefreshScheduleSettings {
    DaemonId m_daemon;
    Duration m_retention {};
    Duration m_stagger {};
};

/// A refresh is due a third of the retention after the anchor time. The live daemons are ordered by rendezvous hashing
/// of the version; each waits one stagger longer than the one before, so that usually one daemon refreshes.
class RefreshSchedule {
public:
    explicit RefreshSchedule(const RefreshScheduleSettings&);

    /// Computes the time of the next attempt from the present state. An earlier attempt of this daemon is respected.
    void update(std::uint64_t version, std::optional<WallTime> anchorTime, std::span<const DaemonId> live,
        TimePoint now, WallTime wallNow);
    /// The record was sent: the next attempt follows after a stagger.
    void attempted(TimePoint now);
    /// The record is in the log. A daemon whose clock is ahead of the log's must not refresh in a loop, so the next
    /// attempt is at least a sixth of the retention away.
    void appended(TimePoint now);

    /// Time of the next attempt; empty when nothing has to be refreshed.
    std::optional<TimePoint> attemptAt() const { return m_attemptAt; }

private:
    std::int64_t rankOf(std::uint64_t version, std::span<const DaemonId> live) const;

    RefreshScheduleSettings m_settings;
    std::optional<TimePoint> m_attemptAt;
    TimePoint m_notBefore = TimePoint::min();
};

} // namespace sapphiredale::configuration
