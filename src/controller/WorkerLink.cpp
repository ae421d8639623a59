// Conversion of leases between the clock of a worker and that of this host.

#include "controller/WorkerLink.h"

#include <algorithm>

namespace sapphiredale::controller {

namespace {

    /// A worker's clock may run slow by one part in this many.
    constexpr int clockDriftDivisor = 50;
    /// Time between reading the clock here and applying the lease on the worker.
    constexpr Duration leaseMargin = std::chrono::milliseconds(100);

} // namespace

Duration maxLeaseDuration(Duration lease) { return lease + lease / (clockDriftDivisor - 1) + leaseMargin; }

WorkerLink::WorkerLink(boost::asio::io_context& context, const LinkSettings& settings,
    std::function<TimePoint()> leaseLimit, jobs::CallTiming& timing, const WorkerId& worker, const std::string& address)
    : m_settings(settings)
    , m_leaseLimit(std::move(leaseLimit))
    , m_timing(timing)
    , m_address(address)
    , m_connection(context, worker, address)
{
}

void WorkerLink::noteOutcome(bool isAnswered, TimePoint askedAt)
{
    const TimePoint now = bootNow();
    if (isAnswered) {
        m_timing.answered(now - askedAt);
        if (m_hasUnanswered)
            m_timing.answerWasLost(now);
    } else {
        m_timing.unanswered();
    }
    m_hasUnanswered = !isAnswered;
}

template <typename Answer, typename IsAnswered>
std::function<void(Answer)> WorkerLink::timed(IsAnswered isAnswered, std::function<void(Answer)> handler)
{
    return [this, alive = m_isAlive, askedAt = bootNow(), isAnswered, handler = std::move(handler)](Answer answer) {
        if (!*alive)
            return;
        noteOutcome(isAnswered(answer), askedAt);
        handler(std::move(answer));
    };
}

userplatform::OrderHeader WorkerLink::nextHeader()
{
    userplatform::OrderHeader header { m_settings.m_term, std::nullopt };
    if (!m_hasClock)
        return header;
    const TimePoint now = bootNow();
    const Duration age = now - m_clockAt;
    // Without this limit the lease of a worker that does not answer would never end.
    if (age > m_settings.m_maxReportAge)
        return header;
    // The end is a time on the worker's clock, so that an order which arrives late extends the lease no further.
    const Duration lease = std::min(m_settings.m_lease, m_leaseLimit() - now);
    if (lease <= Duration::zero())
        return header;
    header.m_runUntilMs = m_clockMs + millisecondsOf(age + lease);
    m_leaseEnd = std::max(m_leaseEnd, now + maxLeaseDuration(lease) + age / (clockDriftDivisor - 1));
    return header;
}

void WorkerLink::awaitReport(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)> handler)
{
    const Duration wait = m_hasClock ? m_timing.reportWait(bootNow()) : Duration::zero();
    m_connection.awaitReport(nextHeader(), acknowledged, wait, wait + m_timing.timeout(),
        reportHandler(bootNow(), [this, handler = std::move(handler)](const Result<jobs::WorkerReport>& result) {
            // The response time says nothing, since the worker may have waited.
            if (succeeded(result) && std::exchange(m_hasUnanswered, false))
                m_timing.answerWasLost(bootNow());
            m_hasUnanswered = !succeeded(result);
            handler(result);
        }));
}

void WorkerLink::fetchReport(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)> handler)
{
    m_connection.fetchReport(nextHeader(), acknowledged, m_timing.timeout(),
        timed<Result<userplatform::WorkerReportAnswer>>(
            [](const auto& result) { return succeeded(result); }, reportHandler(bootNow(), std::move(handler))));
}

std::function<void(Result<userplatform::WorkerReportAnswer>)> WorkerLink::reportHandler(
    TimePoint askedAt, std::function<void(Result<jobs::WorkerReport>)> handler)
{
    return [this, alive = m_isAlive, askedAt, handler = std::move(handler)](
               Result<userplatform::WorkerReportAnswer> result) {
        if (!*alive)
            return;
        if (!succeeded(result))
            return handler(errorOf(result));
        userplatform::WorkerReportAnswer answer = valueOf(std::move(result));
        answer.m_report.m_askedAt = askedAt;
        // Answers on different connections may overtake each other; the clock of an ended process says nothing.
        if (answer.m_report.m_bornMs < m_bornMs)
            return handler(std::move(answer.m_report));
        // A restarted worker has a new clock: orders computed with the old one may have granted it the longest lease.
        if (m_bornMs != 0 && answer.m_report.m_bornMs != m_bornMs)
            m_leaseEnd = std::max(m_leaseEnd, bootNow() + maxLeaseDuration(m_settings.m_longestLease));
        m_bornMs = answer.m_report.m_bornMs;
        m_clockMs = answer.m_clockMs;
        m_clockAt = bootNow();
        m_hasClock = true;
        handler(std::move(answer.m_report));
    };
}

void WorkerLink::start(const jobs::StartOrder& order, std::function<void(userplatform::StartAnswer)> handler)
{
    m_connection.start(nextHeader(), order, m_timing.timeout(),
        timed<userplatform::StartAnswer>(
            [](const auto& answer) {
                using enum jobs::StartOutcome;
                return answer.m_outcome != Unknown && answer.m_outcome != NotSent;
            },
            std::move(handler)));
}

void WorkerLink::stop(const jobs::StopOrder& order, std::function<void(bool)> handler)
{
    m_connection.stop({ m_settings.m_term, std::nullopt }, order, m_timing.timeout(),
        timed<bool>([](bool isConfirmed) { return isConfirmed; }, std::move(handler)));
}

void WorkerLink::throttle(const jobs::ThrottleOrder& order, std::function<void(bool)> handler)
{
    m_connection.throttle({ m_settings.m_term, std::nullopt }, order, m_timing.timeout(),
        timed<bool>([](bool isConfirmed) { return isConfirmed; }, std::move(handler)));
}

} // namespace sapphiredale::controller
