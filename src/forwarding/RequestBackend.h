// Interfaces through which the daemon supplies the data path with decisions. The data path calls them from any of its
// threads; implementations do their own locking and return quickly.
#pragma once

#include "model/ErrorKind.h"
#include "model/Identifier.h"
#include "model/Result.h"
#include "model/Time.h"
#include "routing/RoutingTypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::forwarding {

/// Delivers the decision for a queued request; called once, from any thread, without locks held.
using DispatchHandler = std::function<void(routing::RouteDecision)>;

/// Routing of one service. Implemented by ServiceShard; the member functions are those of routing::Router.
class ServiceRouting {
public:
    virtual ~ServiceRouting() = default;

    /// Decides about a request. When the decision is Queue, onDispatch is kept and called later.
    virtual routing::RouteDecision route(const routing::RequestInfo&, DispatchHandler onDispatch) = 0;
    virtual void completed(routing::RequestTicket, bool failedByMinion) = 0;
    virtual routing::RouteDecision failed(
        routing::RequestTicket, routing::AttemptFailure, bool replayable, DispatchHandler onDispatch)
        = 0;
    virtual void abandoned(routing::RequestTicket) = 0;
    virtual void slotEnded(routing::SlotSerial) = 0;
};

/// Claim of a non-repeatable request (Idempotency-Key).
struct ClaimRequest {
    std::string m_key;
    /// Hash of method, service, target, body length and deadline.
    std::uint64_t m_fingerprint = 0;
    WallTime m_deadline;
};

/// The answer to a claim.
struct ClaimAnswer {
    enum class Kind : std::uint8_t {
        /// Forward the request, then call recordOutcome.
        Won,
        /// Answer with m_outcome.
        Replay,
        /// Answer with m_error.
        Refused,
    };
    Kind m_kind = Kind::Refused;
    /// Identifier of the winning claim; input of recordOutcome.
    RecordId m_claim;
    unsigned m_status = 0;
    std::string m_contentType;
    std::string m_body;
    Error m_error;
};

using ClaimHandler = std::function<void(ClaimAnswer)>;

/// Outcome of a request whose claim won.
struct ClaimOutcome {
    RecordId m_claim;
    std::string m_key;
    /// True when the request provably did not run: the key may be claimed again.
    bool m_notRun = false;
    unsigned m_status = 0;
    std::string m_contentType;
    std::string m_body;
    /// False when the body was longer than routing::maxOutcomeBody or the answer was cut short.
    bool m_complete = true;
};

/// A request for a path that the daemon serves itself, with its whole body (bounded by settings).
struct LocalRequest {
    std::string m_method;
    std::string m_target;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;

    /// Value of a header, compared without case; empty when missing.
    std::string_view header(std::string_view name) const;
};

struct LocalResponse {
    unsigned m_status = 200;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
};

using LocalHandler = std::function<void(LocalResponse)>;

/// What the daemon supplies besides routing.
class RequestHooks {
public:
    virtual ~RequestHooks() = default;

    /// The routing of a service, or none when the active file has no such workload with minions.
    virtual std::shared_ptr<ServiceRouting> service(const WorkloadId&) = 0;
    /// Claims a non-repeatable request. The handler is called once, from any thread. The default refuses.
    virtual void claim(const ClaimRequest&, const ClaimHandler& handler)
    {
        ClaimAnswer answer;
        answer.m_error = { ErrorKind::LogUnavailable, "claims are not available" };
        handler(std::move(answer));
    }
    virtual void recordOutcome(const ClaimOutcome&) { }
    /// Serves a path outside /v1/services/. The handler is called once, from any thread. The default answers NotFound.
    virtual void handle(const LocalRequest&, const LocalHandler&);
    /// Called by one thread of the server about every 20 ms: the place to call Router::tick() of every service, which
    /// refuses expired requests and dispatches to minions whose pause has ended.
    virtual void tick() { }
    /// A request was answered with an error of this table instead of an answer of a minion.
    virtual void refused(ErrorKind) { }
    /// A request was answered by a minion or a peer daemon; the time is from the last byte of its header to the end of
    /// the answer.
    virtual void answered(unsigned /*status*/, Duration) { }
};

/// Problem document (RFC 9457) of an error, with the member runState, as a response with its headers.
LocalResponse problemResponse(ErrorKind, std::string_view detail);

} // namespace sapphiredale::forwarding
