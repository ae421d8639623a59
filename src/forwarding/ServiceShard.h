// A Router under its lock, with the delivery of decisions to queued requests: the shard of one service.
#pragma once

#include "forwarding/RequestBackend.h"
#include "routing/Router.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphiredale::forwarding {

/// Source of the time that is passed to the core.
using TimeSource = std::function<TimePoint()>;

/// Steady time of this process as core time.
TimePoint steadyNow();

/// One service's Router. All functions may be called from any thread.
template <routing::ChoicePolicy Policy> class BasicServiceShard final : public ServiceRouting {
public:
    explicit BasicServiceShard(const routing::RouterSettings&, TimeSource = steadyNow);

    routing::RouteDecision route(const routing::RequestInfo&, DispatchHandler) override;
    void completed(routing::RequestTicket, bool failedByMinion) override;
    routing::RouteDecision failed(
        routing::RequestTicket, routing::AttemptFailure, bool replayable, DispatchHandler) override;
    void abandoned(routing::RequestTicket) override;
    void slotEnded(routing::SlotSerial) override;

    /// Calls f(router, now) under the lock, then delivers the decisions that became possible. f must not block.
    template <typename F> auto withRouter(F&& f)
    {
        Deliveries deliveries;
        // The deliveries are made by the destructor of this object after the lock is released.
        struct Deliver {
            Deliveries& m_deliveries;
            ~Deliver() { deliver(m_deliveries); }
        } deliverAfterUnlock { deliveries };
        const std::lock_guard lock(m_mutex);
        struct Collect {
            BasicServiceShard& m_shard;
            Deliveries& m_deliveries;
            ~Collect() { m_shard.collect(m_deliveries); }
        } collectBeforeUnlock { *this, deliveries };
        return std::forward<F>(f)(m_router, m_time());
    }

private:
    using Deliveries = std::vector<std::pair<DispatchHandler, routing::RouteDecision>>;

    void collect(Deliveries&);
    static void deliver(Deliveries&);

    std::mutex m_mutex;
    TimeSource m_time;
    /// Guarded by m_mutex, as is m_waiting.
    routing::BasicRouter<Policy> m_router;
    std::unordered_map<routing::RequestTicket, DispatchHandler> m_waiting;
};

extern template class BasicServiceShard<routing::LeastOutstanding>;
extern template class BasicServiceShard<routing::PowerOfTwoChoices>;
extern template class BasicServiceShard<routing::JoinShortestQueue>;
extern template class BasicServiceShard<routing::RoundRobin>;

using ServiceShard = BasicServiceShard<routing::LeastOutstanding>;

} // namespace sapphiredale::forwarding
