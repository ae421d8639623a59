// Conversion of leases between the clock of a worker and that of this host.

#include "controller/WorkerLink.h"

#include <algorithm>

namespace sapphiredale::controller {

namespace {

    /// A worker's clock may run slow by one part in this many.
    constexpr int clockDriftDivisor = 50;
    /// Time between reading the clock here and applying the lease on the worker.
    constexpr Duration leaseMargin = std::chrono::milliseconds(100);
    /// Difference up to which a time fits a worker's clock, beside its drift: that clock was read before its report
    /// arrived here, and the clocks of two processes of a worker differ by any amount.
    constexpr Duration clockTolerance = std::chrono::milliseconds(1000);

} // namespace

Duration maxLeaseDuration(Duration lease) { return lease + lease / (clockDriftDivisor - 1) + leaseMargin; }

WorkerLink::WorkerLink(boost::asio::io_context& context, const LinkSettings& settings, LinkAuthority authority,
    jobs::CallTiming& timing, const WorkerId& worker, const std::string& address)
    : m_settings(settings)
    , m_authority(std::move(authority))
    , m_number(m_authority.m_newestNumber())
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
    m_mayHaveRestarted = m_mayHaveRestarted || !isAnswered;
}

bool WorkerLink::fitsClock(std::int64_t clockMs) const
{
    if (!m_hasClock)
        return true;
    const Duration age = bootNow() - m_clockAt;
    const Duration difference = std::chrono::milliseconds(clockMs - m_clockMs) - age;
    return std::chrono::abs(difference) <= clockTolerance + age / (clockDriftDivisor - 1);
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

userplatform::OrderHeader WorkerLink::nextHeaderWithoutLease()
{
    if (m_needsNumber && hasNumber()) {
        m_number = m_authority.m_newestNumber();
        m_needsNumber = false;
    }
    return { m_number, std::nullopt };
}

void WorkerLink::noteProcess(std::int64_t bornMs)
{
    if (m_bornMs == 0 || bornMs <= m_bornMs)
        return;
    m_bornMs = bornMs;
    m_hasClock = false;
    m_needsNumber = true;
    m_isFenced = false;
    // Orders computed with the clock of the earlier process may have granted it the longest lease.
    m_leaseEnd = std::max(m_leaseEnd, bootNow() + maxLeaseDuration(m_settings.m_longestLease));
}

bool WorkerLink::showsLaterTerm(const SentNumber& sent)
{
    if (sent.m_number >= m_number && sent.m_number >= sent.m_newest)
        return true;
    m_needsNumber = m_needsNumber || sent.m_number == m_number;
    return false;
}

userplatform::OrderHeader WorkerLink::nextHeader()
{
    userplatform::OrderHeader header = nextHeaderWithoutLease();
    if (!m_hasClock)
        return header;
    const TimePoint now = bootNow();
    const Duration age = now - m_clockAt;
    // Without this limit the lease of a worker that does not answer would never end.
    if (age > m_settings.m_maxReportAge)
        return header;
    // The end is a time on the worker's clock, so that an order which arrives late extends the lease no further.
    const Duration lease = std::min(m_settings.m_lease, m_authority.m_leaseLimit() - now);
    if (lease <= Duration::zero())
        return header;
    header.m_runUntilMs = m_clockMs + millisecondsOf(age + lease);
    m_leaseEnd = std::max(m_leaseEnd, now + maxLeaseDuration(lease) + age / (clockDriftDivisor - 1));
    return header;
}

void WorkerLink::awaitReport(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)> handler)
{
    const userplatform::OrderHeader header = nextHeader();
    const Duration wait = m_isFenced ? m_timing.reportWait(bootNow()) : Duration::zero();
    m_connection.awaitReport(header, acknowledgedNow(acknowledged), wait, wait + m_timing.timeout(),
        reportHandler(
            sentNow(header), bootNow(), [this, handler = std::move(handler)](const Result<jobs::WorkerReport>& result) {
                // The response time says nothing, since the worker may have waited.
                if (succeeded(result) && std::exchange(m_hasUnanswered, false))
                    m_timing.answerWasLost(bootNow());
                m_hasUnanswered = !succeeded(result);
                m_mayHaveRestarted = m_mayHaveRestarted || !succeeded(result);
                handler(result);
            }));
}

void WorkerLink::fetchReport(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)> handler)
{
    const userplatform::OrderHeader header = nextHeader();
    m_connection.fetchReport(header, acknowledgedNow(acknowledged), m_timing.timeout(),
        timed<Result<userplatform::WorkerReportAnswer>>([](const auto& result) { return succeeded(result); },
            reportHandler(sentNow(header), bootNow(), std::move(handler))));
}

std::function<void(Result<userplatform::WorkerReportAnswer>)> WorkerLink::reportHandler(
    const SentNumber& sent, TimePoint askedAt, std::function<void(Result<jobs::WorkerReport>)> handler)
{
    return [this, alive = m_isAlive, sent, askedAt, handler = std::move(handler)](
               Result<userplatform::WorkerReportAnswer> result) {
        if (!*alive)
            return;
        if (!succeeded(result)) {
            const bool isOutranked = errorOf(result).m_kind == ErrorKind::StaleEpoch && !showsLaterTerm(sent);
            return handler(isOutranked
                    ? Error { ErrorKind::NoMinion, "the worker's process obeys a later call of the same term" }
                    : errorOf(result));
        }
        userplatform::WorkerReportAnswer answer = valueOf(std::move(result));
        answer.m_report.m_askedAt = askedAt;
        answer.m_report.m_isFenced = false;
        // Answers on different connections may overtake each other; the clock of an ended process says nothing.
        if (answer.m_report.m_bornMs < m_bornMs)
            return handler(std::move(answer.m_report));
        noteProcess(answer.m_report.m_bornMs);
        m_mayHaveRestarted = false;
        answer.m_report.m_isFenced = !m_needsNumber && sent.m_number == m_number;
        if (answer.m_report.m_bornMs > 0) {
            const Duration age = std::chrono::milliseconds(wallNowMs() - answer.m_report.m_bornMs);
            answer.m_report.m_processAge = std::max(age - jobs::maxClockDifference, Duration::zero());
        }
        m_isFenced = m_isFenced || answer.m_report.m_isFenced;
        m_bornMs = answer.m_report.m_bornMs;
        m_clockMs = answer.m_clockMs;
        m_clockAt = bootNow();
        m_hasClock = true;
        handler(std::move(answer.m_report));
    };
}

void WorkerLink::start(const jobs::StartOrder& order, std::function<void(userplatform::StartAnswer)> handler)
{
    const userplatform::OrderHeader header = nextHeader();
    const auto isAnswered = [](const userplatform::StartAnswer& answer) {
        using enum jobs::StartOutcome;
        return answer.m_outcome != Unknown && answer.m_outcome != NotSent;
    };
    m_connection.start(header, order, m_timing.timeout(),
        timed<userplatform::StartAnswer>(
            isAnswered, [this, sent = sentNow(header), handler = std::move(handler)](userplatform::StartAnswer answer) {
                if (answer.m_outcome == jobs::StartOutcome::RefusedForTerm && !showsLaterTerm(sent))
                    answer.m_outcome = jobs::StartOutcome::Refused;
                if (answer.m_clockMs && !fitsClock(*answer.m_clockMs)) {
                    m_mayHaveRestarted = true;
                    if (answer.m_outcome == jobs::StartOutcome::Started)
                        answer.m_outcome = jobs::StartOutcome::StartedInUnknownProcess;
                }
                handler(std::move(answer));
            }));
}

void WorkerLink::stop(const jobs::StopOrder& order, std::function<void(bool)> handler)
{
    m_connection.stop(nextHeaderWithoutLease(), order, m_timing.timeout(),
        timed<bool>([](bool isConfirmed) { return isConfirmed; }, std::move(handler)));
}

void WorkerLink::throttle(const jobs::ThrottleOrder& order, std::function<void(bool)> handler)
{
    m_connection.throttle(nextHeaderWithoutLease(), order, m_timing.timeout(),
        timed<bool>([](bool isConfirmed) { return isConfirmed; }, std::move(handler)));
}

} // namespace sapphiredale::controller
