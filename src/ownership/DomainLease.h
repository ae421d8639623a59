// Majority lease of one daemon on the workers of its failure domain. A daemon is the domain scheduler while it holds
// unexpired leases on a majority of the current worker set and on a majority of the previous distinct worker set. Any
// two majorities of a set share a worker, so two daemons cannot be the scheduler at the same time.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"
#include "ownership/Backoff.h"
#include "ownership/Counters.h"
#include "ownership/OwnershipActions.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sapphiredale::ownership {

/// Settings of a DomainLease.
struct DomainLeaseSettings {
    FailureDomainId m_failureDomain;
    DaemonId m_daemon;
    /// Holder name in the protocol; it must differ for every start of the process, because a worker lets the same
    /// holder renew the same epoch.
    std::string m_holder;
    std::uint64_t m_seed = 1;
    /// Lease length: two long polls and a margin of 6 s for a pause.
    Duration m_ttl = std::chrono::seconds(20);
    /// Long poll of a renewal.
    Duration m_wait = std::chrono::seconds(7);
    /// Subtracted from every stored deadline. 2.5 % of the lease length covers the drift between two clocks.
    Duration m_clockMargin = std::chrono::milliseconds(500);
    /// Lease length that a candidate requests. It is short because a grant whose answer was lost blocks the worker
    /// until it expires.
    Duration m_campaignTtl = std::chrono::seconds(5);
    /// A candidate without a majority gives up after this time.
    Duration m_campaignTimeout = std::chrono::milliseconds(1500);
    /// Time beyond m_wait after which a lease request counts as lost.
    Duration m_answerTimeout = std::chrono::milliseconds(1500);
    /// Minimum time between two renewals of one worker. Limits the traffic of a worker whose report changes constantly.
    Duration m_minRenewInterval = std::chrono::milliseconds(500);
    /// A starting daemon listens for heartbeats before it becomes a candidate.
    Duration m_startDelay = std::chrono::milliseconds(1500);
    /// Time without a heartbeat after which the known scheduler counts as failed.
    Duration m_schedulerSilence = std::chrono::seconds(3);
    /// Additional delay of a candidate for each candidate ranked before it; longer than one campaign.
    Duration m_rankDelay = std::chrono::seconds(2);
    BackoffSettings m_retry { std::chrono::milliseconds(200), std::chrono::seconds(5) };
};

/// A lease request that is to be sent; the domain scheduler completes it with the report sequence and acknowledgements.
struct LeaseRequest {
    RequestNumber m_request = 0;
    WorkerId m_worker;
    std::uint64_t m_epoch = 0;
    Duration m_ttl {};
    Duration m_wait {};
    TimePoint m_deadline {};
};

/// A lease that is to be released.
struct LeaseRelease {
    WorkerId m_worker;
    std::uint64_t m_epoch = 0;
};

using LeaseAction = std::variant<LeaseRequest, LeaseRelease>;

/// Majority lease on the domain's workers.
class DomainLease {
public:
    enum class Role : std::uint8_t { Standby, Candidate, Holder, Released };

    explicit DomainLease(const DomainLeaseSettings&);

    /// Sets the workers of the current file and of the previous distinct set. Leases on other workers are released.
    void setWorkers(const std::vector<WorkerId>& current, const std::vector<WorkerId>& previous, TimePoint now);
    /// Live daemons of the domain; their rendezvous order decides who becomes a candidate first.
    void setCandidates(const std::vector<DaemonId>&, TimePoint now);
    /// Notes that another daemon announced itself as the scheduler.
    void schedulerSeen(const DaemonId&, std::uint64_t epoch, TimePoint now);
    /// Notes that a daemon is leaving or announced that it is no longer the scheduler. Ignored for a daemon that is not
    /// the known scheduler.
    void schedulerStopped(const DaemonId&, TimePoint now);
    /// Sets whether the worker's end is proven (gone for longer than lease length and clock margin). Such a worker
    /// cannot have granted an unexpired lease to any daemon, so it is excluded from the sets that need a majority.
    void setEnded(const WorkerId&, bool ended);

    /// Processes an answer 200. Returns whether it belongs to the request in flight; only then may its report be used.
    bool handleGrant(const WorkerId&, RequestNumber, std::uint64_t epoch, TimePoint now);
    /// Processes an answer 409.
    void handleRejection(const WorkerId&, RequestNumber, const LeaseRejection&, TimePoint now);
    /// Processes a request that got no usable answer.
    void handleTimeout(const WorkerId&, RequestNumber, TimePoint now);
    /// Drops the lease on a worker that rejected a command because of a stale epoch.
    void handleFencing(const WorkerId&, TimePoint now);
    /// Makes the next renewal of a worker due now, for example to deliver acknowledgements.
    void renewSoon(const WorkerId&, TimePoint now);
    /// Releases every lease. The role stays Released; there is no way back.
    void release(TimePoint now);

    /// Requests and releases that are due, in the order in which they must be sent.
    std::vector<LeaseAction> step(TimePoint now);
    std::optional<TimePoint> nextWake() const;

    Role role() const { return m_role; }
    /// Whether unexpired leases on both majorities are held, judged by the stored deadlines only.
    bool isScheduler(TimePoint now) const;
    /// Greatest epoch of the current leases; zero when this daemon is not the holder.
    std::uint64_t epoch() const;
    /// Epoch of the lease on one worker; zero when it is not held at now.
    std::uint64_t epochOn(const WorkerId&, TimePoint now) const;
    bool holds(const WorkerId& worker, TimePoint now) const { return epochOn(worker, now) != 0; }
    /// Time at which the majority is lost if no further renewal succeeds.
    std::optional<TimePoint> leaseEnd() const;
    const Counters& counters() const { return m_counters; }

private:
    struct WorkerLease {
        /// Request in flight, zero if none.
        RequestNumber m_request = 0;
        std::uint64_t m_requestEpoch = 0;
        TimePoint m_sentAt {};
        Duration m_requestTtl {};
        TimePoint m_requestDeadline {};
        /// Epoch of the lease that is held until m_deadline; zero if none was granted or it was given up.
        std::uint64_t m_epoch = 0;
        TimePoint m_deadline {};
        /// Greatest epoch that this worker reported.
        std::uint64_t m_seenEpoch = 0;
        /// Stored expiry of another holder's lease.
        TimePoint m_otherUntil {};
        TimePoint m_nextAttempt {};
        bool m_current = false;
        bool m_previous = false;
        bool m_ended = false;
        /// True when the candidate's campaign has an answer or a timeout of this worker.
        bool m_answered = false;
        Backoff m_backoff;
    };

    struct Majority {
        std::size_t m_size = 0;
        std::size_t m_held = 0;
        bool reached() const { return m_size == 0 || m_held * 2 > m_size; }
    };

    bool reachesMajority(TimePoint now) const;
    Majority majorityOf(bool WorkerLease::*member, TimePoint now) const;
    std::optional<TimePoint> endOf(bool WorkerLease::*member) const;
    TimePoint freeAt(bool WorkerLease::*member, TimePoint now) const;
    Duration rankDelay() const;
    void scheduleCampaign(TimePoint earliest);
    TimePoint campaignAt() const { return m_campaignBase.value_or(TimePoint {}) + rankDelay() + m_campaignJitter; }
    void stepStandby(TimePoint now);
    void stepCandidate(TimePoint now);
    void startCampaign(TimePoint now);
    void endCampaign(TimePoint now);
    void becomeHolder(TimePoint now);
    void loseMajority(TimePoint now);
    void giveUpAll();
    void send(const WorkerId&, WorkerLease&, Duration ttl, Duration wait, TimePoint now);
    void expireRequests(TimePoint now);
    void renewDue(TimePoint now);

    DomainLeaseSettings m_settings;
    JitterSource m_jitter;
    Role m_role = Role::Standby;
    std::map<WorkerId, WorkerLease> m_workers;
    std::vector<DaemonId> m_candidates;
    std::optional<DaemonId> m_knownScheduler;
    TimePoint m_schedulerSeenAt {};
    /// Greatest epoch seen anywhere; a campaign uses a greater one.
    std::uint64_t m_seenEpoch = 0;
    std::uint64_t m_epoch = 0;
    RequestNumber m_nextRequest = 1;
    /// Earliest start of the next campaign before the delay of the own rank is added; unset until the first step.
    std::optional<TimePoint> m_campaignBase;
    Duration m_campaignJitter {};
    TimePoint m_campaignDeadline {};
    Backoff m_campaignBackoff;
    std::vector<LeaseAction> m_actions;
    Counters m_counters;
};

} // namespace sapphiredale::ownership
