// Requests to services: claim, routing decision, attempts and the final answer.

#include "forwarding/Session.h"

#include "model/Rendezvous.h"
#include "routing/ClaimTable.h"

#include <boost/asio/post.hpp>
#include <charconv>

namespace sapphiredale::forwarding {

namespace {

    WallTime wallNow()
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }

    Awaitable<void> nothing() { co_return; }

} // namespace

Awaitable<void> Session::serveService(ServiceTarget target)
{
    const auto& message = m_request->get();
    m_exchange = std::make_unique<Exchange>();
    Exchange& exchange = *m_exchange;
    exchange.m_started = steadyNow();
    exchange.m_service = std::string(target.m_workload);
    exchange.m_path = std::string(target.m_path);
    const std::string_view givenId = fieldOf(message, requestIdField);
    if (m_fromPeer && !givenId.empty()) {
        exchange.m_requestId = std::string(givenId);
    } else {
        std::array<char, 16> digits {};
        const std::uint64_t number = m_server.m_nextRequest.fetch_add(1, std::memory_order_relaxed);
        const auto last = std::to_chars(digits.data(), digits.data() + digits.size(), number, 36).ptr;
        exchange.m_requestId = m_server.m_identifierPrefix;
        exchange.m_requestId.append(digits.data(), last);
    }
    const WallTime now = wallNow();
    WallTime deadline
        = now + std::chrono::duration_cast<std::chrono::milliseconds>(m_server.m_settings.m_defaultDeadline);
    if (const std::string_view text = fieldOf(message, deadlineField); !text.empty()) {
        const std::optional<std::int64_t> milliseconds = parseMilliseconds(text);
        if (!milliseconds) {
            co_await respondError(ErrorKind::InvalidRequest, "Sapphire-Deadline is not a time in Unix milliseconds");
            co_return;
        }
        const WallTime latest
            = now + std::chrono::duration_cast<std::chrono::milliseconds>(m_server.m_settings.m_maxDeadline);
        deadline = std::min(WallTime(std::chrono::milliseconds(*milliseconds)), latest);
    }
    exchange.m_deadlineText = std::to_string(deadline.time_since_epoch().count());
    routing::RequestInfo info;
    info.m_team = TeamId(std::string(fieldOf(message, teamField)));
    info.m_class = ClassId(std::string(fieldOf(message, classField)));
    info.m_deadline = exchange.m_started + (deadline - now);
    info.m_fromPeer = m_fromPeer;
    const bool hasKey = !fieldOf(message, idempotencyField).empty();
    info.m_idempotent = !hasKey && isIdempotent(message.method());
    m_requestDeadline = info.m_deadline;
    exchange.m_routing = m_server.m_hooks.service(WorkloadId(exchange.m_service));
    if (!exchange.m_routing) {
        co_await respondError(ErrorKind::UnknownWorkload, exchange.m_service);
        co_return;
    }
    if (deadline <= now) {
        co_await respondError(ErrorKind::DeadlineExceeded, "the deadline had passed when the request arrived");
        co_return;
    }
    const bool claims = hasKey && !m_fromPeer;
    if (claims
        && (fieldOf(message, deadlineField).empty()
            || fieldOf(message, idempotencyField).size() > routing::maxIdempotencyKey)) {
        co_await respondError(
            ErrorKind::InvalidRequest, "Idempotency-Key needs Sapphire-Deadline and has at most 256 bytes");
        co_return;
    }
    // The first part of the body is read before a slot is taken, so that a slow caller does not hold one meanwhile.
    if (!co_await readFirst())
        co_return;
    m_canGiveWay = false;
    if (claims && !co_await claimRequest(deadline))
        co_return;
    routing::RouteDecision decision = exchange.m_routing->route(info, dispatchHandler());
    co_await forward(std::move(decision));
}

Awaitable<bool> Session::readFirst()
{
    Exchange& exchange = *m_exchange;
    exchange.m_bodyRead = m_request->is_done();
    if (exchange.m_bodyRead)
        co_return true;
    if (!co_await continueBody())
        co_return false;
    const std::optional<std::uint64_t> length = contentLength(*m_request);
    const std::size_t bufferSize = m_server.m_settings.m_bufferSize;
    const std::size_t firstSize = std::min<std::uint64_t>(length.value_or(bufferSize), bufferSize);
    if (!hold(m_buffer.capacity() + firstSize)) {
        co_await respondNoMemory();
        co_return false;
    }
    exchange.m_first.resize(firstSize);
    error_code error;
    begin(Wait::Caller, steadyNow() + m_server.m_settings.m_stallTimeout);
    const std::size_t size = co_await readBody<true>(
        m_socket, m_buffer, *m_request, exchange.m_first.data(), exchange.m_first.size(), true, error);
    if (!end()) {
        const bool late = m_stop == Stop::Deadline;
        m_server.m_callerTimeouts.fetch_add(1, std::memory_order_relaxed);
        m_close = true;
        co_await respondError(
            late ? ErrorKind::DeadlineExceeded : ErrorKind::RequestTimeout, "the body did not arrive in time");
        co_return false;
    }
    if (error) {
        m_close = true;
        if (error == http::error::body_limit)
            co_await respondError(ErrorKind::BodyTooLarge, "the body exceeds the limit");
        else if (error.category() == make_error_code(http::error::body_limit).category()
            && error != http::error::partial_message)
            co_await respondError(ErrorKind::InvalidRequest, error.message());
        co_return false;
    }
    exchange.m_first.resize(size);
    exchange.m_bodyRead = m_request->is_done();
    co_return true;
}

Awaitable<bool> Session::claimRequest(WallTime deadline)
{
    const auto& message = m_request->get();
    ClaimRequest claim;
    claim.m_key = std::string(fieldOf(message, idempotencyField));
    const std::string_view first(m_exchange->m_first.data(), m_exchange->m_first.size());
    claim.m_fingerprint = stableHash(toView(message.method_string()));
    claim.m_fingerprint = stableHash(toView(message.target()), claim.m_fingerprint);
    claim.m_fingerprint = stableHash(m_exchange->m_deadlineText, claim.m_fingerprint);
    claim.m_fingerprint = stableHash(first, claim.m_fingerprint);
    claim.m_deadline = deadline;
    const std::string key = claim.m_key;
    auto answer = std::make_shared<ClaimAnswer>();
    m_eventReady = false;
    m_server.m_hooks.claim(claim, [weak = weak_from_this(), &loop = m_loop, answer](ClaimAnswer given) {
        asio::post(loop.context(), [weak, answer, moved = std::move(given)]() mutable {
            if (const std::shared_ptr<Session> self = weak.lock()) {
                *answer = std::move(moved);
                self->m_eventReady = true;
                self->m_event.cancel();
            }
        });
    });
    co_await waitForEvent();
    if (!m_eventReady) {
        // The claim may win after this; nothing was forwarded and nothing will be.
        const bool late = m_stop == Stop::Deadline;
        m_close = true;
        if (late)
            co_await respondError(ErrorKind::DeadlineExceeded, "the claim was not settled before the deadline");
        co_return false;
    }
    if (answer->m_kind == ClaimAnswer::Kind::Refused) {
        co_await respondError(answer->m_error.m_kind, answer->m_error.m_detail);
        co_return false;
    }
    if (answer->m_kind == ClaimAnswer::Kind::Replay) {
        LocalResponse response;
        response.m_status = answer->m_status;
        if (!answer->m_contentType.empty())
            response.m_headers.emplace_back("Content-Type", answer->m_contentType);
        response.m_headers.emplace_back("Sapphire-Replayed", "1");
        response.m_body = std::move(answer->m_body);
        co_await respond(std::move(response));
        co_return false;
    }
    m_exchange->m_claim = std::make_unique<ClaimOutcome>();
    m_exchange->m_claim->m_claim = answer->m_claim;
    m_exchange->m_claim->m_key = key;
    co_return true;
}

void Session::recordOutcome(unsigned status, bool complete)
{
    if (!m_exchange->m_claim)
        return;
    ClaimOutcome outcome = std::move(*m_exchange->m_claim);
    m_exchange->m_claim.reset();
    outcome.m_status = status;
    outcome.m_complete = outcome.m_complete && complete;
    if (!outcome.m_complete)
        outcome.m_body.clear();
    m_server.m_hooks.recordOutcome(outcome);
}

DispatchHandler Session::dispatchHandler()
{
    return [weak = weak_from_this(), &loop = m_loop, routing = m_exchange->m_routing](routing::RouteDecision decision) {
        asio::post(loop.context(), [weak, routing, moved = std::move(decision)]() mutable {
            if (const std::shared_ptr<Session> self = weak.lock())
                self->deliver(routing, std::move(moved));
            else if (const auto* forward = std::get_if<routing::ForwardToMinion>(&moved))
                routing->slotEnded(forward->m_slot);
        });
    };
}

void Session::deliver(const std::shared_ptr<ServiceRouting>& routing, routing::RouteDecision decision)
{
    const auto* toMinion = std::get_if<routing::ForwardToMinion>(&decision);
    const auto* toDaemon = std::get_if<routing::ForwardToDaemon>(&decision);
    const bool waits = m_wait == Wait::Event && m_stop == Stop::None && m_exchange && m_exchange->m_routing == routing
        && !m_dispatched && (!toMinion || toMinion->m_ticket == m_exchange->m_ticket)
        && (!toDaemon || toDaemon->m_ticket == m_exchange->m_ticket);
    if (waits) {
        m_dispatched = std::move(decision);
        m_eventReady = true;
        m_event.cancel();
    } else if (toMinion) {
        // The request was given up while the decision was on its way: nothing was sent to the slot.
        routing->slotEnded(toMinion->m_slot);
    }
}

Awaitable<bool> Session::waitForDispatch(routing::RouteDecision& decision)
{
    m_exchange->m_ticket = std::get<routing::Queue>(decision).m_ticket;
    m_dispatched.reset();
    m_eventReady = false;
    co_await waitForEvent();
    if (!m_dispatched)
        co_return false;
    decision = std::move(m_dispatched).value_or(routing::Refuse {});
    m_dispatched.reset();
    co_return true;
}

Awaitable<void> Session::forward(routing::RouteDecision decision)
{
    Exchange& exchange = *m_exchange;
    for (;;) {
        if (std::holds_alternative<routing::Queue>(decision) && !co_await waitForDispatch(decision)) {
            exchange.m_routing->abandoned(exchange.m_ticket);
            co_await finishStopped();
            co_return;
        }
        if (const auto* refusal = std::get_if<routing::Refuse>(&decision)) {
            co_await refuse(*refusal);
            co_return;
        }
        Target target;
        if (const auto* toMinion = std::get_if<routing::ForwardToMinion>(&decision)) {
            exchange.m_ticket = toMinion->m_ticket;
            target = { toMinion->m_address, toMinion->m_connections, toMinion->m_slot, toMinion->m_epoch };
        } else {
            const auto& toDaemon = std::get<routing::ForwardToDaemon>(decision);
            exchange.m_ticket = toDaemon.m_ticket;
            target = { toDaemon.m_address, m_server.m_settings.m_connectionsPerPeer, 0, 0 };
        }
        const AttemptResult result = co_await attempt(std::move(target));
        switch (result.m_end) {
        case AttemptEnd::Answered:
            co_return;
        case AttemptEnd::Stopped:
            co_await finishStopped();
            co_return;
        case AttemptEnd::Cut:
            recordOutcome(0, false);
            abort();
            co_return;
        case AttemptEnd::Failed:
            exchange.m_mayHaveRun = exchange.m_mayHaveRun || !routing::provesNotStarted(result.m_failure);
            decision = exchange.m_routing->failed(
                exchange.m_ticket, result.m_failure, exchange.m_replayable, dispatchHandler());
            break;
        }
    }
}

Awaitable<void> Session::refuse(const routing::Refuse& refusal)
{
    if (answerFor(refusal.m_kind).m_runState == RunState::NotRun && m_exchange->m_claim) {
        m_exchange->m_claim->m_notRun = true;
        recordOutcome(0, false);
    }
    co_await respondError(refusal.m_kind, refusal.m_detail);
}

Awaitable<void> Session::finishStopped()
{
    const Stop reason = m_stop;
    if (!m_exchange->m_mayHaveRun && m_exchange->m_claim) {
        m_exchange->m_claim->m_notRun = true;
        recordOutcome(0, false);
    }
    if (reason == Stop::UpstreamTimeout && !m_exchange->m_headerSent) {
        return respondError(ErrorKind::MinionFailedMayHaveRun, "the minion made no progress");
    }
    if (reason != Stop::Deadline && reason != Stop::UpstreamTimeout) {
        auto& counter = reason == Stop::CallerTimeout ? m_server.m_callerTimeouts : m_server.m_callerGone;
        counter.fetch_add(1, std::memory_order_relaxed);
        m_server.m_hooks.refused(ErrorKind::Cancelled);
        abort();
        return nothing();
    }
    if (m_exchange->m_headerSent) {
        abort();
        return nothing();
    }
    return respondError(m_exchange->m_mayHaveRun ? ErrorKind::DeadlineExceededMayHaveRun : ErrorKind::DeadlineExceeded,
        m_exchange->m_mayHaveRun ? "no answer arrived before the deadline" : "the deadline passed before the start");
}

} // namespace sapphiredale::forwarding
