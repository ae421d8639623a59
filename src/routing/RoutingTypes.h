// Value types of the routing core: what a request asks for, the routing decisions and the ways an attempt can fail.
#pragma once

#include "model/ErrorKind.h"
#include "model/Identifier.h"
#include "model/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace sapphiredale::routing {

/// Identifies a request inside one Router, from route() until it was answered, refused or abandoned.
using RequestTicket = std::uint64_t;
/// Identifies the occupation of one minion slot by one attempt; zero stands for none.
using SlotSerial = std::uint64_t;

/// What routing needs to know of a request.
struct RequestInfo {
    TeamId m_team;
    ClassId m_class;
    /// Latest instant at which the caller still wants the answer; nothing is sent after it.
    TimePoint m_deadline;
    /// True when a second execution is harmless, so that an attempt that may have run can be repeated.
    bool m_idempotent = false;
    /// True when another daemon forwarded the request; it is not forwarded to a daemon again.
    bool m_fromPeer = false;
};

/// Send the request to this minion with this epoch.
struct ForwardToMinion {
    RequestTicket m_ticket = 0;
    SlotSerial m_slot = 0;
    MinionId m_minion;
    /// "address:port".
    std::string m_address;
    std::uint64_t m_epoch = 0;
    /// Most connections for requests that this daemon may have open to the minion.
    std::uint32_t m_connections = 1;

    friend bool operator==(const ForwardToMinion&, const ForwardToMinion&) = default;
};

/// Send the request to the peer listener of this daemon.
struct ForwardToDaemon {
    RequestTicket m_ticket = 0;
    DaemonId m_daemon;
    /// "address:port" of the peer listener.
    std::string m_address;

    friend bool operator==(const ForwardToDaemon&, const ForwardToDaemon&) = default;
};

/// The request waits; its decision follows from Router::takeDispatches().
struct Queue {
    RequestTicket m_ticket = 0;

    friend bool operator==(const Queue&, const Queue&) = default;
};

/// The request is over without an answer of a minion. The kind says whether it may have run.
struct Refuse {
    ErrorKind m_kind = ErrorKind::Internal;
    std::string m_detail;

    friend bool operator==(const Refuse&, const Refuse&) = default;
};

using RouteDecision = std::variant<ForwardToMinion, ForwardToDaemon, Queue, Refuse>;

/// Decision for a request that waited in the queue: never Queue.
struct Dispatch {
    RequestTicket m_ticket = 0;
    RouteDecision m_decision;
};

/// How an attempt ended without a usable answer.
enum class AttemptFailure : std::uint8_t {
    /// No connection was established; nothing was sent.
    ConnectFailed,
    /// A connection existed but no byte of the request was sent.
    NothingSent,
    /// Rejected before the start because the epoch is older than the minion's.
    RefusedStaleEpoch,
    /// Rejected before the start because every slot of the minion is taken.
    RefusedBusy,
    /// Rejected before the start because the minion is leaving.
    RefusedLeaving,
    /// The peer daemon refused the request and states that it was not run.
    RefusedByPeer,
    /// The connection ended after the request was sent and before an answer.
    ClosedAfterSend,
    /// The answer was cut short.
    Truncated,
    /// The answer belongs to another request. The slot stays occupied until slotEnded().
    CrossedAnswer,
};

inline constexpr std::size_t attemptFailureCount = static_cast<std::size_t>(AttemptFailure::CrossedAnswer) + 1;

/// Stable name of a failure, used as the label of the retry counters.
constexpr std::string_view nameOf(AttemptFailure failure)
{
    constexpr std::array<std::string_view, attemptFailureCount> names { "connect-failed", "nothing-sent",
        "refused-stale-epoch", "refused-busy", "refused-leaving", "refused-by-peer", "closed-after-send", "truncated",
        "crossed-answer" };
    return names[static_cast<std::size_t>(failure)];
}

/// True when the failure proves that the request did not start.
constexpr bool provesNotStarted(AttemptFailure failure) { return failure <= AttemptFailure::RefusedByPeer; }

/// Counters of one Router; all grow monotonically.
struct RoutingCounters {
    std::uint64_t m_routed = 0;
    std::uint64_t m_toMinions = 0;
    std::uint64_t m_toDaemons = 0;
    std::uint64_t m_queued = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_abandoned = 0;
    std::uint64_t m_ejections = 0;
    std::array<std::uint64_t, errorKindCount> m_refusals {};
    /// Retries by the failure that caused them.
    std::array<std::uint64_t, attemptFailureCount> m_retries {};
    /// Retries that the budget, the deadline or the attempt limit suppressed.
    std::uint64_t m_retriesSuppressed = 0;
};

} // namespace sapphiredale::routing
