// Way of a caller's record into the store: by an append of this daemon, or through the scheduler's daemon, which stores
// the records of many daemons with one append.
//
// Answers a slow store. A partition processes its appends one at a time: a hundred daemons that append for themselves
// wait for each other, time out, repeat their records on other partitions, and keep these full after the store is fast
// again. So a daemon whose own append takes long sends the record through the scheduler's daemon as well, and the next
// ones only there. A record may be stored twice, since it is a key and a value.
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <optional>

namespace sapphiredale::controller {

/// What is known about a record when its handler is called.
enum class StoreOutcome : std::uint8_t {
    Stored,
    /// The record was not stored and will not be.
    NotStored,
    /// The record may have been stored or may still be stored.
    Unknown,
};

/// State of both ways. No I/O, clock or threads.
class StoreRoute {
public:
    /// Time after which an append of this daemon counts as slow; many times the usual response time.
    static constexpr Duration slowAppend = std::chrono::milliseconds(200);
    /// Time for which records go through the scheduler's daemon only after an own append was slow or has failed. With
    /// one append of each daemon in this time the partitions stay mostly idle, also at several hundred daemons.
    static constexpr Duration ownBackoff = std::chrono::milliseconds(3000);
    /// The same for the scheduler's daemon after it did not store a record; as long as one of its attempts.
    static constexpr Duration schedulerBackoff = std::chrono::milliseconds(1000);

    bool usesOwnAppend(TimePoint now) const { return m_ownBackoffUntil <= now; }
    bool usesScheduler(TimePoint now) const { return m_schedulerBackoffUntil <= now; }
    void ownAppendFailed(TimePoint now) { m_ownBackoffUntil = now + ownBackoff; }
    void schedulerFailed(TimePoint now) { m_schedulerBackoffUntil = now + schedulerBackoff; }

private:
    TimePoint m_ownBackoffUntil {};
    TimePoint m_schedulerBackoffUntil {};
};

/// Outcome of a record that is sent both ways.
class StoreAttempts {
public:
    void began() { ++m_open; }

    /// Notes the outcome of one attempt. Returns the outcome of the record once it is known.
    std::optional<StoreOutcome> ended(StoreOutcome outcome)
    {
        --m_open;
        m_mayBeStored = m_mayBeStored || outcome != StoreOutcome::NotStored;
        if (outcome == StoreOutcome::Stored)
            return outcome;
        if (m_open > 0)
            return std::nullopt;
        return m_mayBeStored ? StoreOutcome::Unknown : StoreOutcome::NotStored;
    }

    /// Whether an attempt is open or had no answer.
    bool mayBeStored() const { return m_mayBeStored || m_open > 0; }

private:
    std::uint32_t m_open = 0;
    bool m_mayBeStored = false;
};

} // namespace sapphiredale::controller
