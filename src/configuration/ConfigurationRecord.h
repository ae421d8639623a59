// Records of the configuration stream and the state that daemons transfer to each other, with their bounded text codec.
#pragma once

#include "model/Identifier.h"
#include "model/Result.h"
#include "model/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphiredale::configuration {

/// Newest record format that this version reads. It writes the same format.
inline constexpr std::uint32_t supportedRecordFormat = 1;
/// Most bytes of an encoded record or state; below the 1 MiB of a message between daemons.
inline constexpr std::size_t maxRecordBytes = std::size_t { 900 } * 1024;
/// Most bytes of the canonical file in a record; it leaves room for escapes and for the history.
inline constexpr std::size_t maxContentBytes = std::size_t { 384 } * 1024;
/// Most versions in the history.
inline constexpr std::size_t maxHistoryEntries = 64;
/// Most bytes of all history entries together; the oldest entries are dropped first.
inline constexpr std::size_t maxHistoryBytes = std::size_t { 96 } * 1024;
/// Most change lines of one history entry.
inline constexpr std::size_t maxHistoryChanges = 40;
/// Most bytes of one change line of a history entry; longer lines are cut.
inline constexpr std::size_t maxHistoryLineBytes = 320;
/// Most bytes of an encoded state, so that a refresh record with its own members stays below maxRecordBytes.
inline constexpr std::size_t maxStateBytes = maxRecordBytes - 1024;
/// Most bytes of an author's name.
inline constexpr std::size_t maxAuthorBytes = 128;

/// An accepted version: who applied it, when, and what it changed.
struct HistoryEntry {
    std::uint64_t m_version = 0;
    std::string m_author;
    WallTime m_time;
    RecordId m_recordId;
    /// Changes against the version before, as by differenceOf.
    std::vector<std::string> m_changes;

    friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
};

/// The workers of a failure domain before the newest change of its set of workers. A candidate for domain scheduler
/// needs a majority of this set as well.
struct PreviousWorkerSet {
    FailureDomainId m_failureDomain;
    /// Version that changed the set.
    std::uint64_t m_changedInVersion = 0;
    /// Time of the record of that version.
    WallTime m_changedAt;
    std::vector<WorkerId> m_workers;

    friend bool operator==(const PreviousWorkerSet&, const PreviousWorkerSet&) = default;
};

/// State of the fold after the record at m_foldedThrough. Refresh records carry it, and daemons send it to peers.
struct ConfigurationState {
    /// Version in force; zero when no file was accepted yet.
    std::uint64_t m_version = 0;
    /// Canonical text of the file in force; empty at version zero.
    std::string m_content;
    /// Offset of the first record of the stream that is not folded in.
    std::uint64_t m_nextOffset = 0;
    /// Log time from which on the stream must be retained so that a new reader can compute this state; see
    /// ConfigurationFold::anchorTime.
    WallTime m_anchorTime;
    std::vector<HistoryEntry> m_history;
    std::vector<PreviousWorkerSet> m_previousWorkers;

    friend bool operator==(const ConfigurationState&, const ConfigurationState&) = default;
};

/// Request to replace the file of version m_base.
struct ApplyRecord {
    RecordId m_id;
    std::uint64_t m_base = 0;
    std::string m_author;
    WallTime m_time;
    /// Canonical text of the new file.
    std::string m_content;

    friend bool operator==(const ApplyRecord&, const ApplyRecord&) = default;
};

/// Repeats the state so that it outlives the retention of older records.
struct RefreshRecord {
    RecordId m_id;
    /// Daemon that appended the record.
    std::string m_author;
    WallTime m_time;
    ConfigurationState m_state;

    friend bool operator==(const RefreshRecord&, const RefreshRecord&) = default;
};

using ConfigurationRecord = std::variant<ApplyRecord, RefreshRecord>;

/// Why a text is not a record.
struct RecordError {
    enum class Kind : std::uint8_t {
        /// Not a record: no JSON, too large, a member is missing or has the wrong type.
        Malformed,
        /// A format or kind of a newer version.
        NewerFormat,
    };
    Kind m_kind = Kind::Malformed;
    std::string m_detail;
    /// Identifier of the record when it can be read in spite of the error.
    std::optional<RecordId> m_id;

    friend bool operator==(const RecordError&, const RecordError&) = default;
};

std::string encodeRecord(const ConfigurationRecord&);
/// Unknown members are ignored. The content is not parsed here.
std::variant<ConfigurationRecord, RecordError> decodeRecord(std::string_view text);

std::string encodeState(const ConfigurationState&);
std::variant<ConfigurationState, RecordError> decodeState(std::string_view text);

} // namespace sapphiredale::configuration
