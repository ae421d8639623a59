// Sends orders to one worker and receives its reports: extends the lease, maps the worker's clock to the clock of this
// host, and tracks the time until which the worker may run tasks.
#pragma once

#include "controller/Clock.h"
#include "jobs/CallTiming.h"
#include "platform/Workers.h"

#include <functional>
#include <memory>
#include <string>

namespace sapphiredale::controller {

/// Lease and timeouts of the orders; docs/platform.md derives them.
struct LinkSettings {
    /// Lease that every order extends to.
    Duration m_lease = std::chrono::seconds(8);
    /// Longest lease that a worker grants, whatever is asked for.
    Duration m_longestLease = std::chrono::seconds(10);
    /// The lease is extended while the last report is at most this old: one wait and its answer.
    Duration m_maxReportAge = std::chrono::milliseconds(1300);
};

/// What a link asks its term; both may change with each call.
struct LinkAuthority {
    /// The time by which a lease that is granted now must end.
    std::function<TimePoint()> m_leaseLimit;
    /// Number of the newest record of the term. Rises while the term can be renewed.
    std::function<std::uint64_t()> m_newestNumber;
};

/// Time on the clock of this host after which a lease that a worker was granted has certainly ended.
Duration maxLeaseDuration(Duration lease);

/// Connection of one term to one worker.
class WorkerLink {
public:
    /// `timing` is shared by the links of a term and outlives them.
    WorkerLink(boost::asio::io_context&, const LinkSettings&, LinkAuthority, jobs::CallTiming& timing, const WorkerId&,
        const std::string& address);

    const std::string& address() const { return m_address; }
    /// Notes the process of the worker that the registry or a report names. The clock of a later one is not known, and
    /// it may carry out calls to earlier ones.
    void noteProcess(std::int64_t bornMs);
    /// Whether calls to the present process can carry a higher number than all calls to earlier ones. If not, the next
    /// renewal of the term provides one.
    bool hasNumber() const { return !m_needsNumber || m_authority.m_newestNumber() > m_number; }
    /// Requests a report and acknowledges ends. The worker delays the answer until a run ends, except for the first
    /// call.
    void awaitReport(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)>);
    /// Requests a report that is answered at once, in parallel to a pending long poll.
    void fetchReport(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)>);
    void start(const jobs::StartOrder&, std::function<void(userplatform::StartAnswer)>);
    void stop(const jobs::StopOrder&, std::function<void(bool)>);
    void throttle(const jobs::ThrottleOrder&, std::function<void(bool)>);
    /// Time until which the orders sent so far allow the worker to run tasks.
    TimePoint leaseEnd() const { return m_leaseEnd; }

private:
    /// The number of a call, and the newest one of the term when it was sent.
    struct SentNumber {
        std::uint64_t m_number = 0;
        std::uint64_t m_newest = 0;
    };

    SentNumber sentNow(const userplatform::OrderHeader& header) const
    {
        return { header.m_number, m_authority.m_newestNumber() };
    }
    /// Whether the rejection of a call for its number shows that a later term has called the worker. If another call of
    /// this term may explain it, the next call gets the newest number.
    bool showsLaterTerm(const SentNumber&);
    std::function<void(Result<userplatform::WorkerReportAnswer>)> reportHandler(
        const SentNumber&, TimePoint askedAt, std::function<void(Result<jobs::WorkerReport>)>);
    /// Returns the header of an order that is sent now, and updates the end of the lease.
    userplatform::OrderHeader nextHeader();
    /// Returns the header of an order that does not extend the lease.
    userplatform::OrderHeader nextHeaderWithoutLease();

    /// The ends to acknowledge in a call that is sent now. If the worker may have restarted, the same numbers could be
    /// those of ends that no report has listed.
    std::uint64_t acknowledgedNow(std::uint64_t acknowledged) const { return m_mayHaveRestarted ? 0 : acknowledged; }
    /// Whether the time may have been read from the clock of the known process of the worker.
    bool fitsClock(std::int64_t clockMs) const;

    /// Notes the outcome of a call that is answered at once, and whether an earlier answer of this worker was lost.
    void noteOutcome(bool isAnswered, TimePoint askedAt);
    /// The handler, preceded by noteOutcome() and called only while the link exists.
    template <typename Answer, typename IsAnswered>
    std::function<void(Answer)> timed(IsAnswered, std::function<void(Answer)> handler);

    const LinkSettings m_settings;
    const LinkAuthority m_authority;
    /// Number of the calls to the present process of the worker.
    std::uint64_t m_number = 0;
    /// Calls to an earlier process may have had this number.
    bool m_needsNumber = false;
    /// The present process has answered a call with m_number, so that it rejects calls to earlier ones.
    bool m_isFenced = false;
    jobs::CallTiming& m_timing;
    /// The last call was left unanswered.
    bool m_hasUnanswered = false;
    /// Since the last report a call was left unanswered, or answered by a process that is not the known one.
    bool m_mayHaveRestarted = false;
    const std::string m_address;
    userplatform::WorkerConnection m_connection;
    /// The worker's clock in its last report, and when that arrived; valid once m_hasClock is set.
    std::int64_t m_clockMs = 0;
    TimePoint m_clockAt {};
    bool m_hasClock = false;
    std::int64_t m_bornMs = 0;
    TimePoint m_leaseEnd {};
    /// Answers may arrive after the link has been destroyed.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);

public:
    ~WorkerLink() { *m_isAlive = false; }
    WorkerLink(const WorkerLink&) = delete;
    WorkerLink& operator=(const WorkerLink&) = delete;
};

} // namespace sapphiredale::controller
