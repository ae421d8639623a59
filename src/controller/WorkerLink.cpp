// Leases on a worker's clock.

#include "controller/WorkerLink.h"

#include <algorithm>

namespace sapphiredale::controller {

namespace {

    /// A worker's clock may run slow by one part in fifty.
    constexpr int clockSlowness = 50;
    /// Time between an instant read here and its use on the worker.
    constexpr Duration leaseSlack = std::chrono::milliseconds(100);

    /// The handler while the link is alive, nothing afterwards.
    template <typename Answer>
    std::function<void(Answer)> whileAlive(std::shared_ptr<bool> isAlive, std::function<void(Answer)> handler)
    {
        return [isAlive = std::move(isAlive), handler = std::move(handler)](Answer answer) {
            if (*isAlive)
                handler(std::move(answer));
        };
    }

    /// Time here in which a lease has ended on a worker.
    Duration lapseOf(Duration lease) { return lease + lease / (clockSlowness - 1) + leaseSlack; }

} // namespace

WorkerLink::WorkerLink(
    boost::asio::io_context& context, const LinkSettings& settings, const WorkerId& worker, const std::string& address)
    : m_settings(settings)
    , m_address(address)
    , m_connection(context, worker, address)
{
}

userplatform::OrderHeader WorkerLink::header()
{
    userplatform::OrderHeader header { m_settings.m_term, std::nullopt };
    if (!m_hasClock)
        return header;
    const TimePoint now = bootNow();
    const Duration age = now - m_clockAt;
    // The lease of a worker that does not answer has to end some time.
    if (age > m_settings.m_extendableAge)
        return header;
    header.m_runUntilMs = m_clockMs + millisecondsOf(age + m_settings.m_lease);
    m_leaseEnd = std::max(m_leaseEnd, now + lapseOf(m_settings.m_lease) + age / (clockSlowness - 1));
    return header;
}

void WorkerLink::hold(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)> handler)
{
    const Duration wait = m_hasClock ? m_settings.m_holdWait : Duration::zero();
    m_connection.hold(
        header(), acknowledged, wait, wait + m_settings.m_holdPatience, reader(bootNow(), std::move(handler)));
}

void WorkerLink::look(std::uint64_t acknowledged, std::function<void(Result<jobs::WorkerReport>)> handler)
{
    m_connection.look(header(), acknowledged, m_settings.m_orderTimeout, reader(bootNow(), std::move(handler)));
}

std::function<void(Result<userplatform::HoldAnswer>)> WorkerLink::reader(
    TimePoint askedAt, std::function<void(Result<jobs::WorkerReport>)> handler)
{
    return [this, alive = m_isAlive, askedAt, handler = std::move(handler)](Result<userplatform::HoldAnswer> result) {
        if (!*alive)
            return;
        if (!succeeded(result))
            return handler(errorOf(result));
        userplatform::HoldAnswer answer = valueOf(std::move(result));
        // A new life counts its clock anew: what was sent by the old clock gave it the longest lease that there is.
        if (m_bornMs != 0 && answer.m_report.m_bornMs != m_bornMs)
            m_leaseEnd = std::max(m_leaseEnd, bootNow() + lapseOf(m_settings.m_longestLease));
        m_bornMs = answer.m_report.m_bornMs;
        m_clockMs = answer.m_clockMs;
        m_clockAt = bootNow();
        m_hasClock = true;
        answer.m_report.m_askedAt = askedAt;
        handler(std::move(answer.m_report));
    };
}

void WorkerLink::start(const jobs::StartOrder& order, std::function<void(userplatform::StartAnswer)> handler)
{
    m_connection.start(header(), order, m_settings.m_orderTimeout, whileAlive(m_isAlive, std::move(handler)));
}

void WorkerLink::stop(const jobs::StopOrder& order, std::function<void(bool)> handler)
{
    m_connection.stop({ m_settings.m_term, std::nullopt }, order, m_settings.m_orderTimeout,
        whileAlive(m_isAlive, std::move(handler)));
}

void WorkerLink::pace(const jobs::ThrottleOrder& order, std::function<void(bool)> handler)
{
    m_connection.pace({ m_settings.m_term, std::nullopt }, order, m_settings.m_orderTimeout,
        whileAlive(m_isAlive, std::move(handler)));
}

} // namespace sapphiredale::controller
