// Reads of the configuration stream.

#include "configuration/LogFollower.h"

#include <algorithm>

namespace sapphiredale::configuration {

namespace {

    /// A follower that stays behind for this many reads has callers whose reads have long been answered unconfirmed.
    constexpr std::size_t maxTargets = 64;

} // namespace

LogFollower::LogFollower(const LogFollowerSettings& settings, ServiceCounters& counters)
    : m_settings(settings)
    , m_counters(counters)
    , m_backoff(settings.m_retryMin, settings.m_retryMax, settings.m_seed)
{
}

LogFollower::Ticket LogFollower::requestEnd()
{
    m_isEndWanted = true;
    return m_nextId;
}

LogFollower::TicketState LogFollower::stateOf(Ticket ticket) const
{
    if (m_reachedRead >= ticket)
        return TicketState::Reached;
    return m_failedRead >= ticket ? TicketState::Failed : TicketState::Waiting;
}

void LogFollower::readSucceeded(const LogReadSucceeded& result, ConfigurationFold& fold, TimePoint now)
{
    const std::uint64_t before = fold.nextOffset();
    fold.expireBefore(result.m_earliest);
    for (const LogRecord& record : result.m_records)
        fold.apply(record.m_data, record.m_offset, record.m_time);

    m_targets.emplace_back(result.m_read, result.m_next);
    if (m_targets.size() > maxTargets)
        m_targets.erase(m_targets.begin());
    std::erase_if(m_targets, [&](const auto& target) {
        if (fold.nextOffset() < target.second)
            return false;
        m_reachedRead = std::max(m_reachedRead, target.first);
        return true;
    });
    m_isBehind = fold.nextOffset() < result.m_next;

    const bool wasPoll = m_poll && m_poll->m_id == result.m_read;
    const bool wasEndRead = m_endRead && m_endRead->m_id == result.m_read;
    if (wasPoll)
        m_poll.reset();
    if (wasEndRead)
        m_endRead.reset();
    if (m_isBehind && fold.nextOffset() == before) {
        // A record that is larger than the read limit would otherwise make the reads spin.
        m_counters.count(ServiceReason::RetryLogReadWithoutProgress);
        if (wasEndRead)
            m_failedRead = std::max(m_failedRead, result.m_read);
        m_pollAt = m_backoff.next(now);
        return;
    }
    m_backoff.reset();
    m_pollAt = now;
    m_isEndWanted = m_isEndWanted || (wasEndRead && m_isBehind);
}

void LogFollower::readFailed(ReadId id, TimePoint now)
{
    if (m_poll && m_poll->m_id == id) {
        m_poll.reset();
        failed(now);
    } else if (m_endRead && m_endRead->m_id == id) {
        m_endRead.reset();
        m_failedRead = std::max(m_failedRead, id);
        failed(now);
    }
}

void LogFollower::failed(TimePoint now)
{
    m_counters.count(ServiceReason::RetryLogRead);
    m_pollAt = m_backoff.next(now);
}

void LogFollower::tick(TimePoint now)
{
    if (m_poll && now >= m_poll->m_deadline)
        readFailed(m_poll->m_id, now);
    if (m_endRead && now >= m_endRead->m_deadline)
        readFailed(m_endRead->m_id, now);
}

void LogFollower::issue(const ConfigurationFold& fold, TimePoint now, std::vector<ConfigurationAction>& actions)
{
    const auto read = [&](Duration wait) {
        const OpenRead open { m_nextId++, now + wait + m_settings.m_timeout };
        actions.emplace_back(ReadLog { open.m_id, fold.nextOffset(), m_settings.m_maxBytes, wait, open.m_deadline });
        return open;
    };
    if (m_isEndWanted && !m_endRead) {
        m_isEndWanted = false;
        m_endRead = read(Duration::zero());
    }
    if (!m_poll && now >= m_pollAt) {
        // After a failure the answer must not wait for a record: it shows that the log is back.
        const bool isImmediate = m_isBehind || isOut() || !hasReachedEnd();
        m_poll = read(isImmediate ? Duration::zero() : m_settings.m_pollWait);
    }
}

std::optional<TimePoint> LogFollower::nextWake() const
{
    TimePoint wake = m_poll ? m_poll->m_deadline : m_pollAt;
    if (m_endRead)
        wake = std::min(wake, m_endRead->m_deadline);
    return wake;
}

} // namespace sapphiredale::configuration
