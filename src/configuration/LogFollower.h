// Follows the configuration stream: one long poll for new records, and immediate reads for those who need the end.
#pragma once

#include "configuration/Backoff.h"
#include "configuration/ConfigurationMessages.h"
#include "configuration/ServiceCounters.h"
#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace sapphiredale::configuration {

/// Settings that build a LogFollower.
struct LogFollowerSettings {
    Duration m_pollWait {};
    Duration m_timeout {};
    Duration m_retryMin {};
    Duration m_retryMax {};
    std::uint32_t m_maxBytes = 0;
    std::uint64_t m_seed = 1;
};

/// At most one long poll and one immediate read are open at a time.
class LogFollower {
public:
    /// Stands for the end of the log at the time of the request.
    using Ticket = ReadId;
    enum class TicketState : std::uint8_t { Waiting, Reached, Failed };

    LogFollower(const LogFollowerSettings&, ServiceCounters&);

    /// Requests an immediate read. The ticket is reached when the fold holds every record that the log had now.
    Ticket requestEnd();
    TicketState stateOf(Ticket) const;

    void readSucceeded(const LogReadSucceeded&, ConfigurationFold&, TimePoint now);
    void readFailed(ReadId, TimePoint now);
    /// Treats reads without an answer as failed.
    void tick(TimePoint now);
    /// Issues the reads that are due.
    void issue(const ConfigurationFold&, TimePoint now, std::vector<ConfigurationAction>&);
    /// Starts the poll now if it waits for a retry.
    void hurry(TimePoint now) { m_pollAt = std::min(m_pollAt, now); }

    /// Whether the fold has ever held every record that the log had.
    bool hasReachedEnd() const { return m_reachedRead > 0; }
    bool isOut() const { return m_backoff.failures() > 0; }
    std::optional<TimePoint> nextWake() const;

private:
    struct OpenRead {
        ReadId m_id = 0;
        TimePoint m_deadline;
    };

    void failed(TimePoint now);

    LogFollowerSettings m_settings;
    ServiceCounters& m_counters;
    Backoff m_backoff;
    ReadId m_nextId = 1;
    std::optional<OpenRead> m_poll;
    std::optional<OpenRead> m_endRead;
    TimePoint m_pollAt = TimePoint::min();
    bool m_isEndWanted = false;
    /// True when the last read left records unread; the next poll then does not wait.
    bool m_isBehind = false;
    /// Ends that the fold has not reached: the read and the offset.
    std::vector<std::pair<ReadId, std::uint64_t>> m_targets;
    ReadId m_reachedRead = 0;
    ReadId m_failedRead = 0;
};

} // namespace sapphiredale::configuration
