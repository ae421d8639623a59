// Orders to one worker and its reports: extends the lease, relates the worker's clock to this host's, and keeps the
// bound until which the worker may run what it was told.
#pragma once

#include "controller/Clock.h"
#include "platform/Workers.h"

#include <functional>
#include <memory>
#include <string>

namespace sapphiredale::controller {

/// Times of the orders; docs/platform.md derives them.
struct LinkSettings {
    std::uint64_t m_term = 1;
    /// Lease that every order extends to.
    Duration m_lease = std::chrono::seconds(8);
    /// Longest lease that a worker grants, whatever is asked for.
    Duration m_longestLease = std::chrono::seconds(10);
    /// Wait of a hold for the end of a run.
    Duration m_holdWait = std::chrono::milliseconds(1000);
    /// Leases are extended while the last report is at most this old: one wait and its answer.
    Duration m_extendableAge = std::chrono::milliseconds(1300);
    Duration m_holdPatience = std::chrono::milliseconds(500);
    Duration m_orderTimeout = std::chrono::milliseconds(400);
};

/// Connection of one term to one worker.
class WorkerLink {
public:
    WorkerLink(boost::asio::io_context&, const LinkSettings&, const WorkerId&, const std::string& address);

    const std::string& address() const { return m_address; }
    /// Asks for a report and acknowledges ends. Waits for an end unless it is the first call.
    void hold(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)>);
    /// Asks for a report that is answered at once, beside the waiting one.
    void look(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)>);
    void start(const jobs::StartOrder&, std::function<void(userplatform::StartAnswer)>);
    void stop(const jobs::StopOrder&, std::function<void(bool)>);
    void pace(const jobs::ThrottleOrder&, std::function<void(bool)>);
    /// Instant until which the orders sent so far allow anything to run there.
    TimePoint leaseEnd() const { return m_leaseEnd; }

private:
    std::function<void(Result<userplatform::HoldAnswer>)> reader(
        TimePoint askedAt, std::function<void(Result<jobs::WorkerReport>)>);
    /// The header of an order that is sent now, and the new end of the lease.
    userplatform::OrderHeader header();

    const LinkSettings m_settings;
    const std::string m_address;
    userplatform::WorkerConnection m_connection;
    /// The worker's clock and when it was read; none before the first report of a life.
    std::int64_t m_clockMs = 0;
    TimePoint m_clockAt {};
    bool m_hasClock = false;
    std::int64_t m_bornMs = 0;
    TimePoint m_leaseEnd {};
    /// Order answers arrive after the link is gone.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);

public:
    ~WorkerLink() { *m_isAlive = false; }
    WorkerLink(const WorkerLink&) = delete;
    WorkerLink& operator=(const WorkerLink&) = delete;
};

} // namespace sapphiredale::controller
