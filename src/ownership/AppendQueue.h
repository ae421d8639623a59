// Queue of records to be appended to the streams. After a failure or an unknown outcome, an append is retried with the
// same record identifier until the log confirms the record or it is read back from the stream.
#pragma once

#include "model/Time.h"
#include "ownership/Backoff.h"
#include "ownership/Counters.h"
#include "ownership/OwnershipActions.h"
#include "ownership/StreamRecord.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiredale::ownership {

/// Settings of an AppendQueue.
struct AppendQueueSettings {
    /// Prefix of record identifiers, unique for every start of the process.
    std::string m_author;
    std::uint64_t m_seed = 1;
    BackoffSettings m_retry { std::chrono::milliseconds(200), std::chrono::seconds(10) };
    /// An append without a result after this time counts as unknown.
    Duration m_answerTimeout = std::chrono::seconds(10);
};

/// Pending appends with exponential backoff between their retries.
class AppendQueue {
public:
    explicit AppendQueue(const AppendQueueSettings&);

    /// Adds a record for the stream of a domain and returns its identifier.
    RecordId add(const FailureDomainId& stream, StreamRecordBody, TimePoint now);
    /// Stops the retries of a record. An append that is in flight may still take effect.
    void withdraw(const RecordId&);
    /// Removes every record; called at the end of an ownership term.
    void clear();
    /// Processes the result of an append. Returns the record if this is the first confirmation that the stream has it.
    std::optional<StreamRecord> handleResult(const RecordId&, AppendOutcome, TimePoint now);
    /// Processes a record that was read from the stream. A pending record counts as confirmed and is returned.
    std::optional<StreamRecord> handleReadBack(const RecordId&);

    bool contains(const RecordId& id) const { return m_records.contains(id); }
    /// Whether a copy of the record may be in the stream although no append of it is confirmed.
    bool mayBeAppended(const RecordId&) const;
    /// Records whose append is due.
    std::vector<AppendRecord> takeDue(TimePoint now);
    std::optional<TimePoint> nextWake() const;
    std::size_t size() const { return m_records.size(); }
    const Counters& counters() const { return m_counters; }

private:
    struct Entry {
        FailureDomainId m_stream;
        StreamRecord m_record;
        bool m_inFlight = false;
        bool m_unknown = false;
        /// Next append, or the time-out of the append in flight.
        TimePoint m_wake {};
        Backoff m_backoff;
    };

    void schedule(const RecordId&, Entry&, TimePoint);

    AppendQueueSettings m_settings;
    JitterSource m_jitter;
    std::uint64_t m_nextNumber = 1;
    std::map<RecordId, Entry> m_records;
    std::set<std::pair<TimePoint, RecordId>> m_wakes;
    Counters m_counters;
};

} // namespace sapphiredale::ownership
