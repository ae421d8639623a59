// Fold of the term records, and the times of claims and renewals.

#include "jobs/Election.h"

#include <algorithm>
#include <boost/json.hpp>

namespace sapphiredale::jobs {

namespace json = boost::json;

namespace {

    /// A claim is made on what was read at most this long ago; older views are refreshed first.
    constexpr Duration freshView = std::chrono::milliseconds(1500);
    /// Bounds of the interval of a holder's records as it is counted on.
    constexpr Duration shortestInterval = std::chrono::milliseconds(200);
    constexpr Duration longestInterval = std::chrono::milliseconds(800);
    /// A longer interval is an outage of the store and tells nothing of how fast its answers are.
    constexpr Duration outageInterval = std::chrono::seconds(2);
    /// Pause after an append that was not done or whose outcome is unknown.
    constexpr Duration retryInterval = std::chrono::milliseconds(100);

} // namespace

std::string encodeTermRecord(const TermRecord& record)
{
    return json::serialize(json::object { { "kind", static_cast<int>(record.m_kind) }, { "term", record.m_term },
        { "daemon", record.m_daemon.value() }, { "address", record.m_address },
        { "progressPartition", record.m_progressPartition }, { "weaknessMs", millisecondsOf(record.m_weakHostDelay) } });
}

Result<TermRecord> decodeTermRecord(std::string_view text)
{
    const Error malformed { ErrorKind::InvalidRequest, "the term record is malformed" };
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    const json::object* object = error ? nullptr : document.if_object();
    if (object == nullptr)
        return malformed;
    const json::value* kind = object->if_contains("kind");
    const json::value* term = object->if_contains("term");
    const json::value* daemon = object->if_contains("daemon");
    const json::value* address = object->if_contains("address");
    const json::value* partition = object->if_contains("progressPartition");
    const json::value* weakness = object->if_contains("weaknessMs");
    const auto isAbsentOrCount
        = [](const json::value* value) { return value == nullptr || (value->is_int64() && value->get_int64() >= 0); };
    if (kind == nullptr || !kind->is_int64() || kind->get_int64() < 0 || kind->get_int64() > 2 || term == nullptr
        || !term->is_int64() || daemon == nullptr || !daemon->is_string() || address == nullptr || !address->is_string()
        || !isAbsentOrCount(partition) || !isAbsentOrCount(weakness))
        return malformed;
    return TermRecord { static_cast<TermRecord::Kind>(kind->get_int64()), static_cast<std::uint64_t>(term->get_int64()),
        DaemonId(std::string(daemon->get_string())), std::string(address->get_string()),
        partition == nullptr ? 0 : static_cast<std::uint32_t>(partition->get_int64()),
        std::chrono::milliseconds(weakness == nullptr ? 0 : weakness->get_int64()) };
}

Election::Election(const ElectionSettings& settings)
    : m_settings(settings)
{
}

void Election::recordRead(std::uint64_t offset, const TermRecord& record, TimePoint now)
{
    m_end = std::max(m_end, offset + 1);
    const std::uint64_t term = record.m_kind == TermRecord::Kind::Claim ? offset + 1 : record.m_term;
    if (term < m_term)
        return;
    m_progressPartition = record.m_progressPartition;
    m_holderWeakness = record.m_weakHostDelay;
    if (term > m_term) {
        m_holdsTerm = false;
        m_term = term;
        m_holderAddress = record.m_address;
        // The answer to a claim may be lost; the record itself proves that it was done.
        if (record.m_kind == TermRecord::Kind::Claim && m_claim && record == m_appended) {
            takeTerm(term);
            return;
        }
    }
    const bool isOfSameTerm = record.m_kind == TermRecord::Kind::Renewal && m_recordAt != TimePoint();
    if (isOfSameTerm && now - m_recordAt < outageInterval)
        m_interval
            = std::clamp(std::max(now - m_recordAt, m_interval - m_interval / 4), shortestInterval, longestInterval);
    m_recordAt = now;
    // A record with this daemon's address that is not its own was written by an earlier process, which is gone.
    const bool isOfEarlierProcess = !m_holdsTerm && !m_claim && record.m_address == m_settings.m_address;
    m_isVacant = record.m_kind == TermRecord::Kind::Release || isOfEarlierProcess;
    if (m_isVacant) {
        m_holdsTerm = false;
        m_holderAddress.clear();
    }
}

void Election::caughtUp(std::uint64_t end, TimePoint askedAt)
{
    m_end = std::max(m_end, end);
    // Without any record the wait for a holder begins with the first look.
    if (!m_hasRead && m_recordAt == TimePoint())
        m_recordAt = askedAt;
    m_hasRead = true;
    m_readAt = askedAt;
}

std::optional<Election::Append> Election::takeDueAppend(TimePoint now)
{
    if (m_appending || !m_hasRead || now < m_nextRenewal)
        return std::nullopt;
    TermRecord record { TermRecord::Kind::Renewal, m_term, m_settings.m_daemon, m_settings.m_address,
        m_progressPartition, m_settings.m_weakHostDelay };
    if (m_holdsTerm) {
        record.m_progressPartition = m_announcedPartition.value_or(m_progressPartition);
        if (m_isLeaving)
            record.m_kind = TermRecord::Kind::Release;
    } else {
        if (m_isLeaving || now < claimAt() || now - m_readAt > freshView)
            return std::nullopt;
        record.m_kind = TermRecord::Kind::Claim;
        record.m_term = m_end + 1;
    }
    m_appending = true;
    m_appended = record;
    m_claim.reset();
    if (record.m_kind == TermRecord::Kind::Claim)
        m_claim = { now, m_isVacant ? m_recordAt : m_recordAt + m_settings.m_termLease };
    return Append { record, m_end };
}

void Election::takeTerm(std::uint64_t term)
{
    m_term = term;
    m_holdsTerm = true;
    m_isVacant = false;
    m_holderAddress = m_settings.m_address;
    m_predecessorCeasedAt = m_claim->m_predecessorCeasedAt;
    m_authorityUntil = m_claim->m_sentAt + m_settings.m_termLease;
    m_recordAt = m_claim->m_sentAt;
    m_claim.reset();
    m_announcedPartition.reset();
}

void Election::announceProgress(std::uint32_t partition)
{
    m_announcedPartition = partition;
    m_nextRenewal = {};
}

void Election::appendEnded(AppendOutcome outcome, std::uint64_t offset, TimePoint sentAt)
{
    m_appending = false;
    m_nextRenewal = sentAt + retryInterval;
    if (outcome != AppendOutcome::Appended)
        return;
    m_end = std::max(m_end, offset + 1);
    m_nextRenewal = sentAt + m_settings.m_renewInterval;
    switch (m_appended.m_kind) {
    case TermRecord::Kind::Claim:
        if (m_claim && offset + 1 > m_term)
            takeTerm(offset + 1);
        return;
    case TermRecord::Kind::Renewal:
        if (!m_holdsTerm || m_appended.m_term != m_term)
            return;
        m_authorityUntil = sentAt + m_settings.m_termLease;
        m_progressPartition = m_appended.m_progressPartition;
        return;
    case TermRecord::Kind::Release:
        m_holdsTerm = false;
        m_isVacant = true;
        m_holderAddress.clear();
        return;
    }
}

TimePoint Election::claimAt() const
{
    const Duration weakness = m_settings.m_weakHostDelay > m_holderWeakness ? m_settings.m_weakHostDelay : Duration::zero();
    const TimePoint at = m_recordAt + m_settings.m_claimDelay + weakness;
    return m_isVacant ? at : at + m_settings.m_claimAfter + m_interval * m_settings.m_claimIntervals;
}

TimePoint Election::nextWake() const
{
    if (m_appending || !m_hasRead)
        return TimePoint::max();
    if (m_holdsTerm)
        return m_nextRenewal;
    return std::max(claimAt(), m_nextRenewal);
}

} // namespace sapphiredale::jobs
