// Claims of non-repeatable requests: a fold of the claim and outcome records of a failure domain's stream. The first
// claim of a key in log order wins, so every daemon that reads the stream reaches the same verdict.
#pragma once

#include "model/Identifier.h"
#include "model/Result.h"
#include "model/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace sapphiredale::routing {

/// Settings that build a ClaimTable; they are part of the fold and therefore equal on all daemons.
struct ClaimTableSettings {
    /// Time after a claim's deadline for which the claim is kept.
    std::chrono::milliseconds m_keepAfterDeadline = std::chrono::seconds(30);
    /// Latest deadline, counted from the log's time of the record; a later one is refused.
    std::chrono::milliseconds m_maxHorizon = std::chrono::minutes(10);
    /// Most keys; a claim beyond it is refused.
    std::size_t m_maxKeys = 100000;
    /// Most bytes of recorded bodies; an outcome beyond it is kept without its body.
    std::size_t m_maxBodyBytes = std::size_t { 32 } * 1024 * 1024;
};

/// Longest body that an outcome record carries, in bytes.
inline constexpr std::size_t maxOutcomeBody = std::size_t { 16 } * 1024;
/// Longest idempotency key, in bytes.
inline constexpr std::size_t maxIdempotencyKey = 256;

/// Record by which a daemon asks for the right to forward a request.
struct ClaimRecord {
    /// Unique identifier of this claim.
    RecordId m_id;
    std::string m_key;
    /// Hash of method, service, target and body size; another request under the same key is refused.
    std::uint64_t m_fingerprint = 0;
    WallTime m_deadline;

    friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Record of the answer to the winning claim.
struct OutcomeRecord {
    RecordId m_id;
    RecordId m_claim;
    std::string m_key;
    /// True when the request provably did not run, so that the key may be claimed again.
    bool m_notRun = false;
    unsigned m_status = 0;
    std::string m_contentType;
    /// At most maxOutcomeBody bytes.
    std::string m_body;
    /// False when the body was too long; the answer can then not be repeated.
    bool m_complete = true;

    friend bool operator==(const OutcomeRecord&, const OutcomeRecord&) = default;
};

using ClaimStreamRecord = std::variant<ClaimRecord, OutcomeRecord>;

/// Text of a record in the stream (JSON, one object with a member "type").
std::string encodeClaimRecord(const ClaimStreamRecord&);
/// The record in a text; none when the text is a record of another type. InvalidRequest for a malformed one.
Result<std::optional<ClaimStreamRecord>> decodeClaimRecord(std::string_view);

/// Verdict on a claim.
struct ClaimVerdict {
    enum class Kind : std::uint8_t {
        /// The claim's record has not been read yet.
        Unread,
        /// The claim won: its author, and only its author, forwards the request.
        Won,
        /// Answered before: m_outcome is the answer.
        Replay,
        /// Claimed before and not answered: IdempotencyMayHaveRun.
        MayHaveRun,
        /// The key belongs to another request: IdempotencyMismatch.
        Mismatch,
        /// The deadline had passed when the claim reached the log, or lies too far ahead: DeadlineExceeded.
        Expired,
        /// The table is full: Overloaded.
        Full,
    };
    Kind m_kind = Kind::Unread;
    std::optional<OutcomeRecord> m_outcome;
};

/// Fold of the claim and outcome records of one stream.
class ClaimTable {
public:
    explicit ClaimTable(const ClaimTableSettings&);

    /// Applies the record at an offset; offsets that were applied before are ignored. logTime is the log's time of the
    /// record: expiry depends only on it, so that the fold is the same everywhere.
    void apply(std::uint64_t offset, WallTime logTime, const ClaimStreamRecord&);
    /// Advances the time of the fold past a record of another type.
    void advance(std::uint64_t offset, WallTime logTime);

    /// The verdict on a claim, until it expires.
    ClaimVerdict verdict(const RecordId& claim, const std::string& key) const;
    /// The first offset that has not been applied.
    std::uint64_t nextOffset() const { return m_nextOffset; }
    std::size_t size() const { return m_claims.size(); }
    std::size_t bodyBytes() const { return m_bodyBytes; }

private:
    /// The winning claim of a key with its outcome.
    struct Claim {
        ClaimRecord m_winner;
        std::optional<OutcomeRecord> m_outcome;
    };

    void applyClaim(const ClaimRecord&);
    void applyOutcome(const OutcomeRecord&);
    void refuse(const RecordId& claim, ClaimVerdict::Kind);
    void expire();

    ClaimTableSettings m_settings;
    std::unordered_map<std::string, Claim> m_claims;
    /// Expiry times of the claims, in order.
    std::multimap<WallTime, std::string> m_expiry;
    /// Claims that did not win, at most maxKeys of them; the oldest are forgotten first.
    std::unordered_map<RecordId, ClaimVerdict::Kind> m_refused;
    std::deque<RecordId> m_refusedOrder;
    std::uint64_t m_nextOffset = 0;
    WallTime m_logTime {};
    std::size_t m_bodyBytes = 0;
};

} // namespace sapphiredale::routing
