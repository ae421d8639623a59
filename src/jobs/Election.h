// Who schedules: a fold of the term records in the store. A daemon that has seen no renewal for a while appends a claim
// on condition that nothing else was appended; the position of the claim is the number of its term, which workers
// compare. Pure: the records, answers and times come from outside.
#pragma once

#include "model/Identifier.h"
#include "model/Result.h"
#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphiredale::jobs {

/// Times of the election; docs/platform.md derives them.
struct ElectionSettings {
    DaemonId m_daemon;
    /// "address:port" under which other daemons reach this one.
    std::string m_address;
    /// Silence of a holder after which another daemon claims, beyond m_claimIntervals times the usual interval of its
    /// records, which is longer while the store is slow.
    Duration m_claimAfter = std::chrono::milliseconds(450);
    int m_claimIntervals = 2;
    /// Added to m_claimAfter, different on each daemon, so that claims rarely meet.
    Duration m_claimDelay {};
    /// Added as well where the host is weaker than the last holder's, so that a stronger one claims first.
    Duration m_weakHostDelay {};
    Duration m_renewInterval = std::chrono::milliseconds(300);
    /// Time after the last confirmed renewal for which a holder still gives orders. Longer than usual outages of the
    /// store; a successor waits for it where it cannot reach a worker.
    Duration m_termLease = std::chrono::seconds(7);
};

/// A record of the election's topic.
struct TermRecord {
    enum class Kind : std::uint8_t { Claim, Renewal, Release };
    Kind m_kind = Kind::Claim;
    /// Number of the term; a claim has the number that follows its position.
    std::uint64_t m_term = 0;
    DaemonId m_daemon;
    std::string m_address;
    /// Partition that holds the progress of all jobs.
    std::uint32_t m_progressPartition = 0;
    /// ElectionSettings::m_weakness of the daemon.
    Duration m_weakHostDelay {};

    friend bool operator==(const TermRecord&, const TermRecord&) = default;
};

std::string encodeTermRecord(const TermRecord&);
/// Fails with InvalidRequest when the text was not written by encodeTermRecord.
Result<TermRecord> decodeTermRecord(std::string_view);

/// What became of an append.
enum class AppendOutcome : std::uint8_t { Appended, EndDiffers, NotDone, Unknown };

/// See the head of the file.
class Election {
public:
    explicit Election(const ElectionSettings&);

    /// A record was read at this position.
    void recordRead(std::uint64_t offset, const TermRecord&, TimePoint now);
    /// All records before `end` have been read, by a call that was sent at askedAt.
    void caughtUp(std::uint64_t end, TimePoint askedAt);

    /// A record to append on condition that the topic still ends at m_end.
    struct Append {
        TermRecord m_record;
        std::uint64_t m_end = 0;
    };
    /// The append that is due, at most one at a time.
    std::optional<Append> takeDueAppend(TimePoint now);
    /// Outcome of the append that next() returned at sentAt; `offset` is its position when it was appended.
    void appendEnded(AppendOutcome, std::uint64_t offset, TimePoint sentAt);
    /// The instant at which next() may return something without further input.
    TimePoint nextWake() const;

    /// A worker or the store obeys a later term than this daemon's.
    void depose() { m_holdsTerm = false; }
    /// No claims from now on; a term that is held is released with the next append.
    void leave() { m_isLeaving = true; }
    bool isReleased() const { return m_isLeaving && !m_holdsTerm && !m_appending; }

    /// Names another partition for the progress of jobs in the records of this daemon's term, beginning with the next.
    void announceProgress(std::uint32_t partition);
    /// The partition that the newest record that is known names.
    std::uint32_t progressPartition() const { return m_progressPartition; }

    /// Whether this daemon may give orders.
    bool holdsTerm(TimePoint now) const { return m_holdsTerm && now < m_authorityUntil; }
    /// Whether this daemon's term has not been followed by another one, as far as it knows.
    bool isNewestTerm() const { return m_holdsTerm; }
    std::uint64_t term() const { return m_term; }
    /// "address:port" of the holder of the newest term; empty when there is none.
    const std::string& holderAddress() const { return m_holderAddress; }
    /// By when orders of earlier terms have ceased to be given; valid while this daemon holds the term.
    TimePoint predecessorCeasedAt() const { return m_predecessorCeasedAt; }

private:
    /// A claim that was sent and neither counted nor replaced yet.
    struct PendingClaim {
        TimePoint m_sentAt {};
        TimePoint m_predecessorCeasedAt {};
    };

    void takeTerm(std::uint64_t term);

    const ElectionSettings m_settings;
    std::uint64_t m_end = 0;
    bool m_hasRead = false;
    TimePoint m_readAt {};
    std::uint64_t m_term = 0;
    bool m_holdsTerm = false;
    bool m_isVacant = true;
    bool m_isLeaving = false;
    std::string m_holderAddress;
    std::uint32_t m_progressPartition = 0;
    /// Weakness of the last holder's host.
    Duration m_holderWeakness {};
    /// What this daemon's own records name while it holds the term; none before its first announcement.
    std::optional<std::uint32_t> m_announcedPartition;
    TimePoint m_recordAt {};
    /// Longest of the recent intervals between two records of the holder; it fades.
    Duration m_interval = std::chrono::milliseconds(300);
    TimePoint claimAt() const;
    TimePoint m_authorityUntil {};
    TimePoint m_predecessorCeasedAt {};
    TimePoint m_nextRenewal {};
    bool m_appending = false;
    TermRecord m_appended;
    std::optional<PendingClaim> m_claim;
};

} // namespace sapphiredale::jobs
