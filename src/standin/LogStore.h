// The simulated log: append-only streams with retention, a rate limit and faults.
#pragma once

#include "model/Time.h"
#include "standin/ChangeSignal.h"
#include "standin/StandinSettings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

namespace sapphiredale::standin {

struct StoredRecord {
    std::uint64_t m_offset = 0;
    WallTime m_time;
    std::string m_data;
};

struct StoredPage {
    std::uint64_t m_earliest = 0;
    std::uint64_t m_next = 0;
    std::vector<StoredRecord> m_records;
};

/// What an outage looks like to a client.
enum class LogOutage : std::uint8_t {
    None,
    /// 503 at once.
    Refuse,
    /// The connection is closed without an answer; nothing is executed.
    Close,
    /// No answer until the outage ends; the request is executed then.
    Hang,
};

struct LogFaults {
    LogOutage m_outage = LogOutage::None;
    /// Delay before a request is executed.
    Duration m_delay {};
    /// Delay between execution and answer.
    Duration m_answerDelay {};
    /// Number of next appends that are executed and whose connection is closed without an answer.
    std::uint32_t m_loseAppendAnswers = 0;
};

/// Thread-safe; each stream has a lock of its own.
class LogStore {
public:
    explicit LogStore(LogSettings);

    /// Offset of the first record, or nothing when the rate limit is exceeded.
    std::optional<std::uint64_t> append(const std::string& stream, std::vector<std::string> records);
    /// Records from an offset with at most `maxBytes` of data, but at least one record when there is any.
    StoredPage read(const std::string& stream, std::uint64_t from, std::uint64_t maxBytes);
    /// True when a read from the offset returns a record; subscribes the connection otherwise.
    bool hasRecords(const std::string& stream, std::uint64_t from, Connection&);
    /// Drops all records before an offset, as an expired retention does.
    void truncate(const std::string& stream, std::uint64_t before);
    /// "stream": {earliest, next} of every stream.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> extents() const;

    void setFaults(const LogFaults&);
    LogFaults faults() const;
    /// True when the answer to an append is to be lost; counts down.
    bool takeLostAnswer();
    /// True while the outage has the form Hang; subscribes the connection to the next change of faults then.
    bool hangs(Connection&);

private:
    struct Stream {
        std::mutex m_mutex;
        std::deque<StoredRecord> m_records;
        /// Offset of the next record.
        std::uint64_t m_next = 0;
        ChangeSignal m_signal;
    };

    Stream& streamOf(const std::string& name);
    bool takeAppend();
    void applyRetention(Stream&) const;

    const LogSettings m_settings;
    mutable std::shared_mutex m_streamsMutex;
    std::map<std::string, std::unique_ptr<Stream>> m_streams;

    mutable std::mutex m_faultsMutex;
    LogFaults m_faults;
    ChangeSignal m_faultsSignal;

    std::mutex m_rateMutex;
    /// Appends that the rate limit allows at m_rateTime; at most one second's worth.
    double m_allowance;
    TimePoint m_rateTime;
};

} // namespace sapphiredale::standin
