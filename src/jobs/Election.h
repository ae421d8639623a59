// Leader election over an append-only topic: decides which daemon is the scheduler by folding the term records in the
// store. A daemon that has seen no renewal within the claim timeout appends a claim on condition that nothing else was
// appended since it last read. The position of the claim is the number of its term, which workers compare to fence off
// earlier schedulers. Free of I/O: records, results and times are passed in.
#pragma once

#include "jobs/LeaseBounds.h"
#include "model/Identifier.h"
#include "model/Result.h"
#include "model/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
    /// of the store.
    Duration m_termLease = std::chrono::seconds(7);
    /// Lease of a worker that an order extends.
    Duration m_workerLease = std::chrono::seconds(8);
    /// Time after the last confirmed renewal by which all leases end that a holder grants to workers. A successor waits
    /// for it where it cannot reach a worker. Leases are shorter in an outage of the store that is longer than the
    /// difference to m_workerLease.
    Duration m_leaseReach = std::chrono::milliseconds(10500);
    /// Time by which a lease may end later, because the clock of its worker is slow.
    Duration m_leaseMargin = std::chrono::milliseconds(600);
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
    /// What the term knows of the leases of the workers. Times are whole milliseconds from the sending of the record:
    /// hosts do not share a clock, so it cannot name the ends themselves.
    struct Leases {
        /// Whether this term may have granted leases; stored as "grants".
        bool m_isGranting = false;
        /// Until the end of the leases of all earlier terms, and of those from calls to earlier processes of workers;
        /// stored as "earlierLeasesMs".
        Duration m_earlierTerms {};
        /// Until the end of the leases of single workers, by earlier terms and by this one, which grants them no more
        /// while its newest record names them; stored as "leaseEndsMs".
        std::map<WorkerId, Duration> m_byWorker;

        friend bool operator==(const Leases&, const Leases&) = default;
    };
    /// None in records of versions that did not write it.
    std::optional<Leases> m_leases;

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
    /// Position after the newest record of the term that is known to be stored, while this daemon holds the term. Rises
    /// with each renewal, and stays below the number of each later term.
    std::uint64_t newestNumber() const { return m_newestNumber; }
    /// "address:port" of the holder of the newest term; empty when there is none.
    const std::string& holderAddress() const { return m_holderAddress; }

    /// \name Leases of the workers, while this daemon holds the term
    /// @{
    /// Ends of the leases of all earlier terms.
    const LeaseBounds& earlierLeases() const { return m_earlierLeases; }
    /// Begins to grant leases: the next record announces that, and is due at once.
    void grantLeases();
    /// The time by which leases that are granted now must end. It has passed until the store has a record which
    /// announces leases.
    TimePoint leaseLimit() const { return m_leaseLimit; }
    /// The time until which a successor waits for workers that it cannot reach, if this daemon gives no more orders
    /// after `now`.
    TimePoint successorWaitEnd(TimePoint now) const
    {
        const TimePoint ownLeases = std::min(m_leaseLimit, now + m_settings.m_workerLease) + m_settings.m_leaseMargin;
        return std::max(ownLeases, m_storedLateEnd);
    }
    /// Tells successors, from the next record on, until when workers may hold leases from calls to earlier processes.
    void announceLateLeases(TimePoint end) { m_announcedLateEnd = std::max(m_announcedLateEnd, end); }
    /// Replaces the ends of the leases of single workers that the following records tell successors. The holder grants
    /// these workers no lease from this call on, until isLeaseWithheld() is false.
    void announceLeaseEnds(std::map<WorkerId, TimePoint> ends) { m_announcedEnds = std::move(ends); }
    /// Whether a record that the store has, may have or will get names the end of the worker's lease.
    bool isLeaseWithheld(const WorkerId& worker) const
    {
        return m_announcedEnds.contains(worker) || m_namedWorkers.contains(worker);
    }
    /// @}

private:
    /// A claim that was sent and has neither succeeded nor been replaced.
    struct PendingClaim {
        TimePoint m_sentAt {};
        /// When the read was sent that found the end of the topic which the claim has as its condition.
        TimePoint m_readAt {};
        LeaseBounds m_earlierLeases;
    };

    /// Begins the term of the pending claim, whose lease counts from a time before the claim was appended.
    void takeTerm(std::uint64_t term, TimePoint leaseFrom);
    /// Ends of the leases of all terms up to that of the record, which was read at `now`.
    LeaseBounds leasesBy(const TermRecord&, bool hasEnded, TimePoint now) const;
    void completeRenewal(std::uint64_t offset, TimePoint sentAt);

    const ElectionSettings m_settings;
    std::uint64_t m_end = 0;
    bool m_hasRead = false;
    TimePoint m_readAt {};
    std::uint64_t m_term = 0;
    std::uint64_t m_newestNumber = 0;
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
    /// Ends of the leases of all terms that the newest record tells of. A holder that is cut off from the store
    /// outlasts later terms that were released or whose daemon was restarted.
    LeaseBounds m_knownLeases;
    /// Longest recent interval between two records of the holder; decays by a quarter with each record.
    Duration m_recordInterval = std::chrono::milliseconds(300);
    TimePoint claimAt() const;
    TimePoint m_termLeaseEnd {};
    LeaseBounds m_earlierLeases;
    bool m_isGranting = false;
    TimePoint m_leaseLimit {};
    /// End of the leases from calls to earlier processes: announced, named by the record in flight, and stored.
    TimePoint m_announcedLateEnd {};
    TimePoint m_appendedLateEnd {};
    TimePoint m_storedLateEnd {};
    std::map<WorkerId, TimePoint> m_announcedEnds;
    /// Workers that are named by the newest record of this term in the store, or by a later one that it may have.
    std::set<WorkerId> m_namedWorkers;
    TimePoint m_nextRenewal {};
    bool m_appending = false;
    TermRecord m_appended;
    std::optional<PendingClaim> m_claim;
};

} // namespace sapphiredale::jobs
