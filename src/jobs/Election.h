// Leader election over an append-only topic: decides which daemon is the scheduler by folding the term records in the
// store. A daemon that has seen no renewal within the claim timeout appends a claim on condition that nothing else was
// appended since it last read. The position of the claim is the number of its term, which workers compare to fence off
// earlier schedulers. Free of I/O: records, results and times are passed in.
#pragma once

#include "model/Identifier.h"
#include "model/Result.h"
#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphiredale::jobs {

/// Timing of the election; docs/platform.md derives the values.
struct ElectionSettings {
    DaemonId m_daemon;
    /// "address:port" under which other daemons reach this one.
    std::string m_address;
    /// Time without a record of the holder after which another daemon claims the term, in addition to
    /// m_claimIntervalFactor times the usual interval between the holder's records, which grows while the store is
    /// slow.
    Duration m_claimTimeout = std::chrono::milliseconds(450);
    int m_claimIntervalFactor = 2;
    /// Added to m_claimTimeout; differs between daemons so that claims rarely collide.
    Duration m_claimDelay {};
    /// Additional delay when this host is weaker than one that has held a term, so that a stronger host claims first.
    Duration m_weakHostDelay {};
    Duration m_renewInterval = std::chrono::milliseconds(300);
    /// Term lease: time after the last confirmed renewal for which a holder may give orders. Longer than usual outages
    /// of the store; a successor waits for its end where it cannot reach a worker.
    Duration m_termLease = std::chrono::seconds(7);
};

/// A record of the election topic.
struct TermRecord {
    enum class Kind : std::uint8_t { Claim, Renewal, Release };
    Kind m_kind = Kind::Claim;
    /// Number of the term; a claim has the number that follows its position.
    std::uint64_t m_term = 0;
    DaemonId m_daemon;
    std::string m_address;
    /// Partition of the store that holds the progress of all jobs.
    std::uint32_t m_progressPartition = 0;
    /// ElectionSettings::m_weakHostDelay of the daemon; stored as "weaknessMs".
    Duration m_weakHostDelay {};
    /// Time from the sending of the record for which earlier terms may still give orders, in whole milliseconds; stored
    /// as "earlierTermsMs". Hosts do not share a clock, so the record cannot name the end itself. None in records of
    /// versions that did not write it.
    std::optional<Duration> m_earlierTermsTime;

    friend bool operator==(const TermRecord&, const TermRecord&) = default;
};

std::string encodeTermRecord(const TermRecord&);
/// Fails with InvalidRequest when the text was not written by encodeTermRecord.
Result<TermRecord> decodeTermRecord(std::string_view);

/// Result of a conditional append.
enum class AppendOutcome : std::uint8_t { Appended, EndDiffers, NotAppended, Unknown };

/// See the head of the file.
class Election {
public:
    explicit Election(const ElectionSettings&);

    /// Folds the record that was read at this position.
    void recordRead(std::uint64_t offset, const TermRecord&, TimePoint now);
    /// Notes that all records before `end` have been read, by a call that was sent at askedAt.
    void caughtUp(std::uint64_t end, TimePoint askedAt);

    /// A record to append on condition that the topic still ends at m_end.
    struct Append {
        TermRecord m_record;
        std::uint64_t m_end = 0;
    };
    /// Returns the append that is due and marks it as in flight; at most one is in flight at a time.
    std::optional<Append> takeDueAppend(TimePoint now);
    /// Completes the append that takeDueAppend() returned at sentAt; `offset` is its position if it was appended.
    void appendEnded(AppendOutcome, std::uint64_t offset, TimePoint sentAt);
    /// The earliest time at which takeDueAppend() may return an append without further input.
    TimePoint nextWake() const;

    /// Gives up the term, because a worker or the store obeys a later one.
    void depose() { m_holdsTerm = false; }
    /// Stops claiming; a term that is held is released with the next append.
    void leave() { m_isLeaving = true; }
    bool isReleased() const { return m_isLeaving && !m_holdsTerm && !m_appending; }

    /// Announces another partition for the progress of jobs: the records of this daemon's term name it from the next
    /// one on.
    void announceProgress(std::uint32_t partition);
    /// The partition named by the newest known record.
    std::uint32_t progressPartition() const { return m_progressPartition; }

    /// Whether this daemon holds the term and its lease has not ended, so that it may give orders.
    bool holdsTerm(TimePoint now) const { return m_holdsTerm && now < m_termLeaseEnd; }
    /// Whether this daemon holds the newest term that it knows of, even if the lease has ended.
    bool isNewestTerm() const { return m_holdsTerm; }
    std::uint64_t term() const { return m_term; }
    /// "address:port" of the holder of the newest term; empty when there is none.
    const std::string& holderAddress() const { return m_holderAddress; }
    /// End of the lease of all earlier terms; valid while this daemon holds the term.
    TimePoint predecessorCeasedAt() const { return m_predecessorLeaseEnd; }

private:
    /// A claim that was sent and has neither succeeded nor been replaced.
    struct PendingClaim {
        TimePoint m_sentAt {};
        /// When the read was sent that found the end of the topic which the claim has as its condition.
        TimePoint m_readAt {};
        TimePoint m_predecessorLeaseEnd {};
    };

    /// Begins the term of the pending claim, whose lease counts from a time before the claim was appended.
    void takeTerm(std::uint64_t term, TimePoint leaseFrom);

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
    /// Least ElectionSettings::m_weakHostDelay of the holders that are known; not only of the last one, since weak
    /// hosts that cannot finish a recovery would take the term from each other for ever.
    std::optional<Duration> m_leastWeakHostDelay;
    /// When the topic could be read again after an outage. Claims are overdue then, and a stronger host goes first.
    TimePoint m_readableSince {};
    /// Partition that this daemon's records name while it holds the term; none before its first announcement.
    std::optional<std::uint32_t> m_announcedPartition;
    TimePoint m_recordAt {};
    /// End of the leases of all terms before m_term. A holder that is cut off from the store outlasts later terms that
    /// were released or whose daemon was restarted.
    TimePoint m_earlierTermsEnd {};
    /// Longest recent interval between two records of the holder; decays by a quarter with each record.
    Duration m_recordInterval = std::chrono::milliseconds(300);
    TimePoint claimAt() const;
    TimePoint m_termLeaseEnd {};
    TimePoint m_predecessorLeaseEnd {};
    TimePoint m_nextRenewal {};
    bool m_appending = false;
    TermRecord m_appended;
    std::optional<PendingClaim> m_claim;
};

} // namespace sapphiredale::jobs
