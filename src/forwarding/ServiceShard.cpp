// Locking around a Router and delivery of decisions outside the lock.

#include "forwarding/ServiceShard.h"

namespace sapphiredale::forwarding {

TimePoint steadyNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

template <routing::ChoicePolicy Policy>
BasicServiceShard<Policy>::BasicServiceShard(const routing::RouterSettings& settings, TimeSource time)
    : m_time(std::move(time))
    , m_router(settings)
{
}

template <routing::ChoicePolicy Policy>
routing::RouteDecision BasicServiceShard<Policy>::route(const routing::RequestInfo& info, DispatchHandler onDispatch)
{
    return withRouter([&](auto& router, TimePoint now) {
        routing::RouteDecision decision = router.route(info, now);
        if (const auto* queue = std::get_if<routing::Queue>(&decision))
            m_waiting.emplace(queue->m_ticket, std::move(onDispatch));
        return decision;
    });
}

template <routing::ChoicePolicy Policy>
void BasicServiceShard<Policy>::completed(routing::RequestTicket ticket, bool failedByMinion)
{
    withRouter([&](auto& router, TimePoint now) { router.completed(ticket, failedByMinion, now); });
}

template <routing::ChoicePolicy Policy>
routing::RouteDecision BasicServiceShard<Policy>::failed(
    routing::RequestTicket ticket, routing::AttemptFailure failure, bool replayable, DispatchHandler onDispatch)
{
    return withRouter([&](auto& router, TimePoint now) {
        routing::RouteDecision decision = router.failed(ticket, failure, replayable, now);
        if (const auto* queue = std::get_if<routing::Queue>(&decision))
            m_waiting.emplace(queue->m_ticket, std::move(onDispatch));
        return decision;
    });
}

template <routing::ChoicePolicy Policy> void BasicServiceShard<Policy>::abandoned(routing::RequestTicket ticket)
{
    withRouter([&](auto& router, TimePoint now) {
        router.abandoned(ticket, now);
        m_waiting.erase(ticket);
    });
}

template <routing::ChoicePolicy Policy> void BasicServiceShard<Policy>::slotEnded(routing::SlotSerial slot)
{
    withRouter([&](auto& router, TimePoint now) { router.slotEnded(slot, now); });
}

template <routing::ChoicePolicy Policy> void BasicServiceShard<Policy>::collect(Deliveries& deliveries)
{
    for (routing::Dispatch& dispatch : m_router.takeDispatches()) {
        const auto waiting = m_waiting.find(dispatch.m_ticket);
        if (waiting == m_waiting.end())
            continue;
        deliveries.emplace_back(std::move(waiting->second), std::move(dispatch.m_decision));
        m_waiting.erase(waiting);
    }
}

template <routing::ChoicePolicy Policy> void BasicServiceShard<Policy>::deliver(Deliveries& deliveries)
{
    for (auto& [handler, decision] : deliveries)
        handler(std::move(decision));
}

template class BasicServiceShard<routing::LeastOutstanding>;
template class BasicServiceShard<routing::PowerOfTwoChoices>;
template class BasicServiceShard<routing::JoinShortestQueue>;
template class BasicServiceShard<routing::RoundRobin>;

} // namespace sapphiredale::forwarding
