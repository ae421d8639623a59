// Routing of the requests of one service: to a free slot of a minion that this daemon holds, to a peer daemon that
// holds others, into the queue, or to a refusal. Deterministic; one instance per service is a shard under its owner's
// lock.
#pragma once

#include "model/Result.h"
#include "routing/Admission.h"
#include "routing/MinionTable.h"
#include "routing/RetryBudget.h"
#include "routing/RoutingTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sapphiredale::routing {

/// Settings that build a Router.
struct RouterSettings {
    WorkloadId m_service;
    FailureDomainId m_failureDomain;
    std::uint64_t m_seed = 1;
    MinionHealthSettings m_health;
    AdmissionSettings m_admission;
    RetryBudgetSettings m_retryBudget;
    /// Attempts of one request in all, the first included.
    std::uint32_t m_maxAttempts = 4;
    /// Age after which a peer's advertisement no longer counts.
    Duration m_peerReportLifetime = std::chrono::seconds(5);
    /// Time for which a peer that refused or failed gets nothing.
    Duration m_peerPause = std::chrono::milliseconds(100);
};

/// Another daemon that may hold minions of the service.
struct PeerDaemon {
    DaemonId m_daemon;
    FailureDomainId m_failureDomain;
    /// "address:port" of its peer listener.
    std::string m_address;

    friend bool operator==(const PeerDaemon&, const PeerDaemon&) = default;
};

/// What a daemon advertises of one service; it is old when it arrives.
struct PeerReport {
    std::uint32_t m_slots = 0;
    std::uint32_t m_freeSlots = 0;
    std::uint32_t m_queued = 0;

    friend bool operator==(const PeerReport&, const PeerReport&) = default;
};

/// Routing of one service with a choice policy for minions and peers.
template <ChoicePolicy Policy> class BasicRouter {
public:
    explicit BasicRouter(const RouterSettings&);

    /// \name Inputs from leases, peers and the configuration
    /// @{
    void setMinion(const HeldMinion&, TimePoint now);
    void dropMinion(const MinionId&, TimePoint now);
    void setPeers(const std::vector<PeerDaemon>&, TimePoint now);
    void peerReport(const DaemonId&, const PeerReport&, TimePoint now);
    void setClassPriority(const ClassId&, std::int32_t priority);
    /// @}

    /// Decides about a new request. After ForwardToMinion or ForwardToDaemon exactly one of completed(), failed() or
    /// abandoned() must follow; after Queue a dispatch or abandoned().
    RouteDecision route(const RequestInfo&, TimePoint now);
    /// The attempt was answered completely; its slot is free. failedByMinion marks answers that count against the
    /// minion's health (status 5xx).
    void completed(RequestTicket, bool failedByMinion, TimePoint now);
    /// The attempt failed. replayable says that the caller's request can still be sent again from its start. Returns
    /// another attempt, Queue or the final refusal.
    RouteDecision failed(RequestTicket, AttemptFailure, bool replayable, TimePoint now);
    /// The caller is gone or its deadline passed. A slot in use stays occupied until slotEnded().
    void abandoned(RequestTicket, TimePoint now);
    /// The minion answered or closed the connection of an abandoned or crossed attempt.
    void slotEnded(SlotSerial, TimePoint now);
    /// Refuses queued requests whose time has passed and dispatches what can be dispatched.
    void tick(TimePoint now);

    /// Decisions for queued requests since the last call.
    std::vector<Dispatch> takeDispatches();
    /// What this daemon advertises to its peers.
    PeerReport report(TimePoint now) const;
    RoutingCounters counters() const;
    const MinionTable& minions() const { return m_minions; }
    std::size_t queued() const { return m_admission.size(); }
    /// Requests between route() and their end.
    std::size_t active() const { return m_requests.size(); }

private:
    struct Request {
        RequestInfo m_info;
        std::uint32_t m_attempts = 0;
        /// Slot of the attempt under way; zero when queued or at a peer.
        SlotSerial m_slot = 0;
        /// Index of the peer of the attempt under way, or -1.
        std::int32_t m_peer = -1;
        /// True when an earlier attempt may have run.
        bool m_mayHaveRun = false;
    };
    struct Peer {
        PeerDaemon m_daemon;
        PeerReport m_report;
        TimePoint m_reportedAt;
        /// Requests sent since the report, which the report does not contain.
        std::uint32_t m_sentSince = 0;
        TimePoint m_pausedUntil;
        bool m_listed = true;

        std::uint32_t freeSlots() const
        {
            return m_report.m_freeSlots > m_sentSince ? m_report.m_freeSlots - m_sentSince : 0;
        }
    };

    /// A decision that forwards now, if there is a free slot here or, for requests of callers, at a peer.
    std::optional<RouteDecision> tryForward(RequestTicket, Request&, TimePoint now);
    std::optional<RouteDecision> tryMinion(RequestTicket, Request&, TimePoint now);
    std::optional<RouteDecision> tryPeer(RequestTicket, Request&, TimePoint now);
    RouteDecision forwardOrQueue(RequestTicket, TimePoint now);
    std::optional<RouteDecision> tryBusyPeer(RequestTicket, Request&, TimePoint now);
    RouteDecision sendToPeer(RequestTicket, Request&, std::uint32_t index);
    bool isUsable(const Peer&, TimePoint now) const;
    bool isOwnDomain(const Peer&) const;
    RouteDecision refuse(RequestTicket, ErrorKind, std::string detail);
    ErrorKind finalKind(const Request&, AttemptFailure, TimePoint now) const;
    void noteFailure(Request&, AttemptFailure, TimePoint now);
    /// True when a daemon that the request may reach holds a minion, free or not.
    bool canBeServed(const Request&, TimePoint now) const;
    void refuseExpired();
    void updateCapacity(TimePoint now);
    void dispatch(TimePoint now);

    RouterSettings m_settings;
    Random m_random;
    Policy m_minionPolicy;
    Policy m_peerPolicy;
    MinionTable m_minions;
    Admission m_admission;
    RetryBudget m_retryBudget;
    std::vector<Peer> m_peers;
    std::unordered_map<RequestTicket, Request> m_requests;
    RequestTicket m_nextTicket = 1;
    std::vector<Dispatch> m_dispatches;
    std::vector<Candidate> m_candidates;
    std::vector<RequestTicket> m_expired;
    RoutingCounters m_counters;
};

extern template class BasicRouter<LeastOutstanding>;
extern template class BasicRouter<PowerOfTwoChoices>;
extern template class BasicRouter<JoinShortestQueue>;
extern template class BasicRouter<RoundRobin>;

using Router = BasicRouter<LeastOutstanding>;

} // namespace sapphiredale::routing
