// Routing decisions and the state machine of a request.

#include "routing/Router.h"

#include <algorithm>
#include <cassert>

namespace sapphiredale::routing {

template <ChoicePolicy Policy>
BasicRouter<Policy>::BasicRouter(const RouterSettings& settings)
    : m_settings(settings)
    , m_random(settings.m_seed)
    , m_minions(settings.m_health)
    , m_admission(settings.m_admission)
    , m_retryBudget(settings.m_retryBudget)
{
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::setMinion(const HeldMinion& lease, TimePoint now)
{
    m_minions.set(lease, now);
    dispatch(now);
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::dropMinion(const MinionId& minion, TimePoint now)
{
    m_minions.drop(minion);
    dispatch(now);
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::setPeers(const std::vector<PeerDaemon>& daemons, TimePoint now)
{
    // Entries are never removed, because requests under way refer to them by index; daemons are few.
    for (Peer& peer : m_peers)
        peer.m_listed = false;
    for (const PeerDaemon& daemon : daemons) {
        const auto known = std::find_if(m_peers.begin(), m_peers.end(),
            [&](const Peer& peer) { return peer.m_daemon.m_daemon == daemon.m_daemon; });
        if (known == m_peers.end()) {
            m_peers.emplace_back().m_daemon = daemon;
        } else {
            known->m_daemon = daemon;
            known->m_listed = true;
        }
    }
    dispatch(now);
}

template <ChoicePolicy Policy>
void BasicRouter<Policy>::peerReport(const DaemonId& daemon, const PeerReport& report, TimePoint now)
{
    for (Peer& peer : m_peers) {
        if (peer.m_daemon.m_daemon != daemon)
            continue;
        peer.m_report = report;
        peer.m_reportedAt = now;
        peer.m_sentSince = 0;
    }
    dispatch(now);
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::setClassPriority(const ClassId& name, std::int32_t priority)
{
    m_admission.setClassPriority(name, priority);
}

template <ChoicePolicy Policy> RouteDecision BasicRouter<Policy>::route(const RequestInfo& info, TimePoint now)
{
    ++m_counters.m_routed;
    m_retryBudget.firstAttempt();
    const RequestTicket ticket = m_nextTicket++;
    m_requests.emplace(ticket, Request { info });
    return forwardOrQueue(ticket, now);
}

template <ChoicePolicy Policy> RouteDecision BasicRouter<Policy>::forwardOrQueue(RequestTicket ticket, TimePoint now)
{
    Request& request = m_requests.at(ticket);
    if (now >= request.m_info.m_deadline)
        return refuse(ticket, ErrorKind::DeadlineExceeded, "the deadline passed before the request was forwarded");
    // With others waiting the queue decides who is next.
    if (m_admission.empty()) {
        if (std::optional<RouteDecision> decision = tryForward(ticket, request, now))
            return *std::move(decision);
    }
    if (!canBeServed(request, now))
        return refuse(ticket, ErrorKind::NoMinion, "no minion of the service is held by a reachable daemon");
    updateCapacity(now);
    const std::optional<Admission::Refusal> refusal = m_admission.enqueue(ticket, request.m_info, now);
    if (refusal && refusal->m_ticket == ticket)
        return refuse(ticket, refusal->m_kind, "the request would not be served before its deadline");
    if (refusal)
        m_dispatches.push_back({ refusal->m_ticket,
            refuse(refusal->m_ticket, refusal->m_kind, "displaced by a request with an earlier deadline") });
    ++m_counters.m_queued;
    dispatch(now);
    return Queue { ticket };
}

template <ChoicePolicy Policy>
std::optional<RouteDecision> BasicRouter<Policy>::tryForward(RequestTicket ticket, Request& request, TimePoint now)
{
    if (std::optional<RouteDecision> decision = tryMinion(ticket, request, now))
        return decision;
    return request.m_info.m_fromPeer ? std::nullopt : tryPeer(ticket, request, now);
}

template <ChoicePolicy Policy>
std::optional<RouteDecision> BasicRouter<Policy>::tryMinion(RequestTicket ticket, Request& request, TimePoint now)
{
    m_minions.candidates(now, m_candidates);
    if (m_candidates.empty())
        return std::nullopt;
    const std::uint32_t index = m_candidates[m_minionPolicy.choose(m_candidates, m_random)].m_index;
    request.m_slot = m_minions.occupy(index, now);
    ++request.m_attempts;
    ++m_counters.m_toMinions;
    const HeldMinion& lease = m_minions.at(index).m_lease;
    // One connection is the lease's own, and those of former holders are still open.
    const std::uint32_t others = lease.m_formerConnections + 1;
    const std::uint32_t connections
        = std::clamp(lease.m_connections > others ? lease.m_connections - others : 1, 1U, lease.m_slots);
    return ForwardToMinion { ticket, request.m_slot, lease.m_minion, lease.m_address, lease.m_epoch, connections };
}

template <ChoicePolicy Policy>
std::optional<RouteDecision> BasicRouter<Policy>::tryPeer(RequestTicket ticket, Request& request, TimePoint now)
{
    for (const bool ownDomain : { true, false }) {
        m_candidates.clear();
        for (std::uint32_t i = 0; i < m_peers.size(); ++i) {
            const Peer& peer = m_peers[i];
            if (isUsable(peer, now) && isOwnDomain(peer) == ownDomain && peer.freeSlots() > 0)
                m_candidates.push_back({ i, peer.m_report.m_slots - std::min(peer.freeSlots(), peer.m_report.m_slots),
                    std::max(peer.m_report.m_slots, 1U), 0 });
        }
        if (!m_candidates.empty())
            return sendToPeer(ticket, request, m_candidates[m_peerPolicy.choose(m_candidates, m_random)].m_index);
    }
    return m_minions.totalSlots(now) > 0 ? std::nullopt : tryBusyPeer(ticket, request, now);
}

template <ChoicePolicy Policy>
std::optional<RouteDecision> BasicRouter<Policy>::tryBusyPeer(RequestTicket ticket, Request& request, TimePoint now)
{
    // A daemon without minions never has a free slot of its own to wait for: its requests wait at a holder, otherwise
    // the holders' own callers would take every slot that becomes free.
    const Peer* best = nullptr;
    const auto load = [](const Peer& peer) {
        return static_cast<double>(peer.m_report.m_queued + peer.m_sentSince) / peer.m_report.m_slots;
    };
    for (const Peer& peer : m_peers) {
        if (!isUsable(peer, now) || peer.m_report.m_slots == 0)
            continue;
        const bool better = !best || (isOwnDomain(peer) && !isOwnDomain(*best))
            || (isOwnDomain(peer) == isOwnDomain(*best) && load(peer) < load(*best));
        if (better)
            best = &peer;
    }
    if (!best)
        return std::nullopt;
    return sendToPeer(ticket, request, static_cast<std::uint32_t>(best - m_peers.data()));
}

template <ChoicePolicy Policy>
RouteDecision BasicRouter<Policy>::sendToPeer(RequestTicket ticket, Request& request, std::uint32_t index)
{
    Peer& peer = m_peers[index];
    ++peer.m_sentSince;
    request.m_peer = static_cast<std::int32_t>(index);
    ++request.m_attempts;
    ++m_counters.m_toDaemons;
    return ForwardToDaemon { ticket, peer.m_daemon.m_daemon, peer.m_daemon.m_address };
}

template <ChoicePolicy Policy> bool BasicRouter<Policy>::isUsable(const Peer& peer, TimePoint now) const
{
    return peer.m_listed && now >= peer.m_pausedUntil && now - peer.m_reportedAt < m_settings.m_peerReportLifetime;
}

template <ChoicePolicy Policy> bool BasicRouter<Policy>::isOwnDomain(const Peer& peer) const
{
    return peer.m_daemon.m_failureDomain == m_settings.m_failureDomain;
}

template <ChoicePolicy Policy> bool BasicRouter<Policy>::canBeServed(const Request& request, TimePoint now) const
{
    if (m_minions.totalSlots(now) > 0)
        return true;
    return !request.m_info.m_fromPeer && std::any_of(m_peers.begin(), m_peers.end(), [&](const Peer& peer) {
        return peer.m_listed && peer.m_report.m_slots > 0 && now - peer.m_reportedAt < m_settings.m_peerReportLifetime;
    });
}

template <ChoicePolicy Policy>
void BasicRouter<Policy>::completed(RequestTicket ticket, bool failedByMinion, TimePoint now)
{
    const auto request = m_requests.find(ticket);
    assert(request != m_requests.end());
    if (request == m_requests.end())
        return;
    ++m_counters.m_completed;
    m_minions.answered(request->second.m_slot, failedByMinion, now);
    m_minions.release(request->second.m_slot);
    m_requests.erase(request);
    dispatch(now);
}

template <ChoicePolicy Policy>
void BasicRouter<Policy>::noteFailure(Request& request, AttemptFailure failure, TimePoint now)
{
    const SlotSerial slot = request.m_slot;
    if (request.m_peer >= 0) {
        Peer& peer = m_peers[static_cast<std::uint32_t>(request.m_peer)];
        peer.m_report.m_freeSlots = 0;
        peer.m_pausedUntil = now + m_settings.m_peerPause;
    }
    switch (failure) {
    case AttemptFailure::ConnectFailed:
        m_minions.failedToConnect(slot, now);
        break;
    case AttemptFailure::RefusedStaleEpoch:
        m_minions.refusedStaleEpoch(slot);
        break;
    case AttemptFailure::RefusedBusy:
        m_minions.refusedBusy(slot, now);
        break;
    case AttemptFailure::RefusedLeaving:
        m_minions.refusedLeaving(slot);
        break;
    case AttemptFailure::ClosedAfterSend:
    case AttemptFailure::Truncated:
    case AttemptFailure::CrossedAnswer:
        m_minions.broke(slot, now);
        break;
    case AttemptFailure::NothingSent:
    case AttemptFailure::RefusedByPeer:
        break;
    }
    if (failure != AttemptFailure::CrossedAnswer)
        m_minions.release(slot);
    request.m_slot = 0;
    request.m_peer = -1;
}

template <ChoicePolicy Policy>
RouteDecision BasicRouter<Policy>::failed(RequestTicket ticket, AttemptFailure failure, bool replayable, TimePoint now)
{
    const auto place = m_requests.find(ticket);
    assert(place != m_requests.end());
    if (place == m_requests.end())
        return Refuse { ErrorKind::Internal, "unknown request" };
    Request& request = place->second;
    noteFailure(request, failure, now);
    const bool notStarted = provesNotStarted(failure);
    request.m_mayHaveRun = request.m_mayHaveRun || !notStarted;
    const bool harmless = replayable && (notStarted || request.m_info.m_idempotent);
    const bool allowed = harmless && request.m_attempts < m_settings.m_maxAttempts && now < request.m_info.m_deadline
        && m_retryBudget.takeRetry();
    if (!allowed) {
        m_counters.m_retriesSuppressed += harmless ? 1 : 0;
        RouteDecision refusal = refuse(ticket, finalKind(request, failure, now), std::string(nameOf(failure)));
        dispatch(now);
        return refusal;
    }
    ++m_counters.m_retries[static_cast<std::size_t>(failure)];
    RouteDecision decision = forwardOrQueue(ticket, now);
    dispatch(now);
    return decision;
}

template <ChoicePolicy Policy>
ErrorKind BasicRouter<Policy>::finalKind(const Request& request, AttemptFailure failure, TimePoint now) const
{
    if (failure == AttemptFailure::Truncated)
        return ErrorKind::AnswerTruncated;
    if (!provesNotStarted(failure))
        return ErrorKind::MinionFailedMayHaveRun;
    if (now >= request.m_info.m_deadline)
        return ErrorKind::DeadlineExceeded;
    const bool busy = failure == AttemptFailure::RefusedBusy || failure == AttemptFailure::RefusedByPeer;
    return busy ? ErrorKind::Overloaded : ErrorKind::NoMinion;
}

template <ChoicePolicy Policy>
RouteDecision BasicRouter<Policy>::refuse(RequestTicket ticket, ErrorKind kind, std::string detail)
{
    const auto request = m_requests.find(ticket);
    assert(request != m_requests.end());
    // "Not run" must hold for every attempt of the request and not only for the last one.
    if (request->second.m_mayHaveRun && answerFor(kind).m_runState == RunState::NotRun)
        kind = kind == ErrorKind::DeadlineExceeded ? ErrorKind::DeadlineExceededMayHaveRun
                                                   : ErrorKind::MinionFailedMayHaveRun;
    ++m_counters.m_refusals[static_cast<std::size_t>(kind)];
    m_requests.erase(request);
    return Refuse { kind, std::move(detail) };
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::abandoned(RequestTicket ticket, TimePoint now)
{
    const auto request = m_requests.find(ticket);
    if (request == m_requests.end())
        return;
    ++m_counters.m_abandoned;
    m_admission.remove(ticket);
    m_requests.erase(request);
    dispatch(now);
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::slotEnded(SlotSerial slot, TimePoint now)
{
    m_minions.release(slot);
    dispatch(now);
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::tick(TimePoint now)
{
    if (m_admission.empty())
        return;
    updateCapacity(now);
    m_admission.expire(now, m_expired);
    refuseExpired();
    dispatch(now);
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::refuseExpired()
{
    for (const RequestTicket ticket : m_expired)
        m_dispatches.push_back(
            { ticket, refuse(ticket, ErrorKind::DeadlineExceeded, "the deadline passed while the request waited") });
    m_expired.clear();
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::updateCapacity(TimePoint now)
{
    std::uint32_t slots = m_minions.totalSlots(now);
    if (slots == 0) {
        for (const Peer& peer : m_peers)
            slots += isUsable(peer, now) ? peer.m_report.m_slots : 0;
    }
    m_admission.setCapacity(slots, m_minions.serviceTime(), m_minions.highServiceTime());
}

template <ChoicePolicy Policy> void BasicRouter<Policy>::dispatch(TimePoint now)
{
    while (!m_admission.empty()) {
        m_minions.candidates(now, m_candidates);
        const bool minionFree = !m_candidates.empty();
        const bool peerFree = std::any_of(m_peers.begin(), m_peers.end(),
            [&](const Peer& peer) { return isUsable(peer, now) && peer.freeSlots() > 0; });
        if (!minionFree && !peerFree)
            return;
        const std::optional<RequestTicket> ticket = m_admission.next(now, m_expired);
        refuseExpired();
        if (!ticket)
            return;
        Request& request = m_requests.at(*ticket);
        std::optional<RouteDecision> decision = tryForward(*ticket, request, now);
        if (!decision) {
            // Only a request of a peer cannot use the free slots of other peers; it keeps waiting for a minion here.
            if (m_admission.enqueue(*ticket, request.m_info, now))
                m_dispatches.push_back(
                    { *ticket, refuse(*ticket, ErrorKind::Overloaded, "no slot became free before the deadline") });
            return;
        }
        m_dispatches.push_back({ *ticket, *std::move(decision) });
    }
}

template <ChoicePolicy Policy> std::vector<Dispatch> BasicRouter<Policy>::takeDispatches()
{
    return std::exchange(m_dispatches, {});
}

template <ChoicePolicy Policy> PeerReport BasicRouter<Policy>::report(TimePoint now) const
{
    return { m_minions.totalSlots(now), m_minions.freeSlots(now), static_cast<std::uint32_t>(m_admission.size()) };
}

template <ChoicePolicy Policy> RoutingCounters BasicRouter<Policy>::counters() const
{
    RoutingCounters result = m_counters;
    result.m_ejections = m_minions.ejections();
    return result;
}

template class BasicRouter<LeastOutstanding>;
template class BasicRouter<PowerOfTwoChoices>;
template class BasicRouter<JoinShortestQueue>;
template class BasicRouter<RoundRobin>;

} // namespace sapphiredale::routing
