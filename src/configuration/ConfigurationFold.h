// Fold of the configuration stream: a pure function from the records in log order to the file in force, with the same
// result on every daemon.
#pragma once

#include "configuration/ClusterFileReader.h"
#include "configuration/ConfigurationRecord.h"
#include "model/ClusterFile.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sapphiredale::configuration {

/// A file in force. The object is never changed after it was published; it may be read by any thread.
struct FileInForce {
    std::uint64_t m_version = 0;
    /// stableHash of the content; membership messages carry it with the version.
    std::uint64_t m_hash = 0;
    std::string m_content;
    ClusterFile m_file;
    /// Sets of workers before their newest change, one per failure domain whose set ever changed.
    std::vector<PreviousWorkerSet> m_previousWorkers;
};

/// The record was accepted and became this version.
struct Accepted {
    std::uint64_t m_version = 0;
    friend bool operator==(const Accepted&, const Accepted&) = default;
};

/// The record was made from another version than the one in force at its place in the log.
struct RefusedStaleBase {
    std::uint64_t m_base = 0;
    std::uint64_t m_inForce = 0;
    /// The accepted versions after the base, oldest first, as far as the history reaches.
    std::vector<HistoryEntry> m_since;
    friend bool operator==(const RefusedStaleBase&, const RefusedStaleBase&) = default;
};

/// The content is not a valid file.
struct RefusedInvalid {
    std::vector<FileError> m_errors;
    friend bool operator==(const RefusedInvalid&, const RefusedInvalid&) = default;
};

/// The record cannot be read: it is malformed or of a newer format.
struct RefusedUnreadable {
    RecordError m_error;
    friend bool operator==(const RefusedUnreadable&, const RefusedUnreadable&) = default;
};

/// No such record was seen, or its outcome was forgotten (only the newest outcomes are kept).
struct UnknownOutcome {
    friend bool operator==(const UnknownOutcome&, const UnknownOutcome&) = default;
};

using RecordOutcome = std::variant<UnknownOutcome, Accepted, RefusedStaleBase, RefusedInvalid, RefusedUnreadable>;

/// Numbers of records by their effect.
struct FoldCounters {
    std::uint64_t m_accepted = 0;
    std::uint64_t m_staleBase = 0;
    std::uint64_t m_invalidContent = 0;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_newerFormat = 0;
    std::uint64_t m_refreshes = 0;
    /// Refreshes that state an older version than the one in force.
    std::uint64_t m_staleRefreshes = 0;
    /// Refreshes that state another content for the version in force. Daemons disagree; this must stay zero.
    std::uint64_t m_divergentRefreshes = 0;
    /// States taken over from a refresh or a peer because records were missing.
    std::uint64_t m_adopted = 0;
};

/// Fold of the configuration stream. It is anchored when it knows the version in force at its place in the stream:
/// from the first record on, from a state of a peer, or from a refresh record whose author had folded every record that
/// this reader has not seen. A fold that is not anchored accepts nothing and keeps the apply records until a refresh
/// anchors it; otherwise a reader that starts at a late refresh of an old version would accept a record that all others
/// refuse.
class ConfigurationFold {
public:
    ConfigurationFold();

    /// Tells that records before the offset cannot be read any more. A fold that has not reached it loses its anchor,
    /// but keeps the file in force.
    void expireBefore(std::uint64_t earliestOffset);
    /// Folds the record at an offset. Offsets below nextOffset() have no effect. logTime is the log's time of the
    /// record.
    void apply(std::string_view recordText, std::uint64_t offset, WallTime logTime);
    /// Takes over the state of a peer if it has folded more than this fold or this fold is not anchored. Returns
    /// whether it was taken over; a state whose version is older than the one in force never is.
    bool adopt(const ConfigurationState&);

    bool isAnchored() const { return m_anchored; }
    /// Offset of the next record to fold.
    std::uint64_t nextOffset() const { return m_nextOffset; }
    /// Version in force; zero when there is none.
    std::uint64_t version() const { return m_inForce ? m_inForce->m_version : 0; }
    /// The file in force, or null at version zero. A version never goes back.
    std::shared_ptr<const FileInForce> inForce() const { return m_inForce; }
    /// Accepted versions, oldest first, bounded by maxHistoryEntries and maxHistoryBytes.
    const std::vector<HistoryEntry>& history() const { return m_history; }
    /// The entries of the history after a version.
    std::vector<HistoryEntry> historySince(std::uint64_t version) const;
    RecordOutcome outcomeOf(const RecordId&) const;

    /// Log time of the oldest record that a new reader needs to compute the present state; empty before the first
    /// record. A refresh is due when this time is a third of the retention ago.
    std::optional<WallTime> anchorTime() const { return m_anchorTime; }
    /// The state to refresh or to send to a peer. Requires isAnchored().
    ConfigurationState state() const;
    const FoldCounters& counters() const { return m_counters; }

private:
    /// A record after the point from which this reader has seen everything.
    struct RecentRecord {
        std::uint64_t m_offset = 0;
        WallTime m_logTime;
        /// Empty for records that cannot be accepted.
        std::optional<ApplyRecord> m_apply;
    };

    void foldApply(const ApplyRecord&);
    void foldRefresh(const RefreshRecord&, std::uint64_t offset, WallTime logTime);
    /// Replaces version, content and history by those of a state; false when its content is no valid file.
    bool load(const ConfigurationState&);
    /// Takes over a state with the kept records after it; false when this would be a step back.
    bool takeOver(const ConfigurationState&);
    void remember(RecentRecord);
    void dropOldestRecent();
    void setOutcome(const RecordId&, RecordOutcome);
    WallTime timeOfFirstRecordFrom(std::uint64_t offset, WallTime fallback) const;

    bool m_anchored = true;
    std::uint64_t m_nextOffset = 0;
    std::shared_ptr<const FileInForce> m_inForce;
    std::vector<HistoryEntry> m_history;
    std::optional<WallTime> m_anchorTime;
    /// Records that a refresh may not have folded yet; all records from m_recentFrom on are in the list.
    std::deque<RecentRecord> m_recent;
    std::uint64_t m_recentFrom = 0;
    std::size_t m_recentBytes = 0;
    /// The newest outcomes; the first outcome of an identifier stays.
    std::unordered_map<RecordId, RecordOutcome> m_outcomes;
    std::deque<RecordId> m_outcomeOrder;
    FoldCounters m_counters;
};

} // namespace sapphiredale::configuration
