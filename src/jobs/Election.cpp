// Folding of the term records, timing of claims and renewals, and the stored form of the records.

#include "jobs/Election.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

namespace sapphiredale::jobs {

namespace json = boost::json;

namespace {

    /// Maximum age of the last read on which a claim is based; an older view must be refreshed first.
    constexpr Duration maxReadAge = std::chrono::milliseconds(1500);
    /// Bounds of the interval between a holder's records that the claim timeout is based on.
    constexpr Duration shortestInterval = std::chrono::milliseconds(200);
    constexpr Duration longestInterval = std::chrono::milliseconds(800);
    /// A longer interval means an outage of the store and says nothing about its response time.
    constexpr Duration outageInterval = std::chrono::seconds(2);
    /// Delay after an append that was not done or whose outcome is unknown.
    constexpr Duration retryInterval = std::chrono::milliseconds(100);

    /// Time until the end in whole milliseconds, rounded up.
    Duration remainingMilliseconds(TimePoint end, TimePoint now)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(std::max(end - now, Duration::zero()));
    }

    std::map<WorkerId, Duration> remainingMilliseconds(const std::map<WorkerId, TimePoint>& ends, TimePoint now)
    {
        std::map<WorkerId, Duration> remaining;
        for (const auto& [worker, end] : ends)
            remaining.emplace(worker, remainingMilliseconds(end, now));
        return remaining;
    }

    constexpr std::int64_t greatestCount = std::numeric_limits<std::int32_t>::max();

    bool isCount(const json::value* value)
    {
        return value != nullptr && value->is_int64() && value->get_int64() >= 0 && value->get_int64() <= greatestCount;
    }

    json::object encodeLeaseEnds(const std::map<WorkerId, Duration>& ends)
    {
        json::object object;
        for (const auto& [worker, remaining] : ends)
            object[worker.value()] = millisecondsOf(remaining);
        return object;
    }

    /// Decodes the leases of a record that has them; none if they are malformed.
    std::optional<TermRecord::Leases> decodeLeases(const json::object& object)
    {
        const json::value* grants = object.if_contains("grants");
        const json::value* earlierTerms = object.if_contains("earlierLeasesMs");
        const json::value* ends = object.if_contains("leaseEndsMs");
        if (grants == nullptr || !grants->is_bool() || !isCount(earlierTerms) || ends == nullptr || !ends->is_object())
            return std::nullopt;
        TermRecord::Leases leases { grants->get_bool(), std::chrono::milliseconds(earlierTerms->get_int64()), {} };
        for (const auto& [worker, remaining] : ends->get_object()) {
            if (!isCount(&remaining))
                return std::nullopt;
            leases.m_byWorker[WorkerId(std::string(worker))] = std::chrono::milliseconds(remaining.get_int64());
        }
        return leases;
    }

} // namespace

std::string encodeTermRecord(const TermRecord& record)
{
    json::object object { { "kind", static_cast<int>(record.m_kind) }, { "term", record.m_term },
        { "daemon", record.m_daemon.value() }, { "address", record.m_address },
        { "progressPartition", record.m_progressPartition }, { "weaknessMs", millisecondsOf(record.m_weakHostDelay) } };
    if (record.m_leases) {
        object["grants"] = record.m_leases->m_isGranting;
        object["earlierLeasesMs"] = millisecondsOf(record.m_leases->m_earlierTerms);
        object["leaseEndsMs"] = encodeLeaseEnds(record.m_leases->m_byWorker);
    }
    return json::serialize(object);
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
    const auto isAbsentOrCount = [](const json::value* value) { return value == nullptr || isCount(value); };
    if (kind == nullptr || !kind->is_int64() || kind->get_int64() < 0 || kind->get_int64() > 2 || term == nullptr
        || !term->is_int64() || daemon == nullptr || !daemon->is_string() || address == nullptr || !address->is_string()
        || !isAbsentOrCount(partition) || !isAbsentOrCount(weakness))
        return malformed;
    TermRecord record { static_cast<TermRecord::Kind>(kind->get_int64()), static_cast<std::uint64_t>(term->get_int64()),
        DaemonId(std::string(daemon->get_string())), std::string(address->get_string()),
        partition == nullptr ? 0 : static_cast<std::uint32_t>(partition->get_int64()),
        std::chrono::milliseconds(weakness == nullptr ? 0 : weakness->get_int64()), std::nullopt };
    if (object->contains("grants") || object->contains("leaseEndsMs")) {
        record.m_leases = decodeLeases(*object);
        if (!record.m_leases)
            return malformed;
    }
    return record;
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
    m_leastWeakHostDelay = std::min(m_leastWeakHostDelay.value_or(record.m_weakHostDelay), record.m_weakHostDelay);
    if (term > m_term) {
        m_holdsTerm = false;
        m_term = term;
        m_holderAddress = record.m_address;
        // The reply to a claim may be lost; reading the record proves that it was appended. A claim that was repeated
        // names other times.
        TermRecord sent = m_appended;
        sent.m_leases = record.m_leases;
        if (record.m_kind == TermRecord::Kind::Claim && m_claim && record == sent) {
            // An earlier try of the claim may have been appended, but not before the read that it is based on.
            takeTerm(term, m_claim->m_readAt);
            return;
        }
    }
    const bool isOfSameTerm = record.m_kind == TermRecord::Kind::Renewal && m_recordAt != TimePoint();
    if (isOfSameTerm && now - m_recordAt < outageInterval)
        m_recordInterval = std::clamp(
            std::max(now - m_recordAt, m_recordInterval - m_recordInterval / 4), shortestInterval, longestInterval);
    m_recordAt = now;
    // A record with this daemon's address that it did not write comes from an earlier process, which no longer runs.
    const bool isOfEarlierProcess = !m_holdsTerm && !m_claim && record.m_address == m_settings.m_address;
    m_isVacant = record.m_kind == TermRecord::Kind::Release || isOfEarlierProcess;
    m_knownLeases = leasesBy(record, m_isVacant, now);
    if (m_isVacant) {
        m_holdsTerm = false;
        m_holderAddress.clear();
    }
}

LeaseBounds Election::leasesBy(const TermRecord& record, bool hasEnded, TimePoint now) const
{
    const Duration longest = m_settings.m_termLease + m_settings.m_workerLease + m_settings.m_leaseMargin;
    if (!record.m_leases)
        return { now + longest, {} };
    const Duration reach = hasEnded ? m_settings.m_workerLease : m_settings.m_leaseReach;
    const Duration ownLeases = record.m_leases->m_isGranting ? reach + m_settings.m_leaseMargin : Duration::zero();
    LeaseBounds bounds { now + std::max(ownLeases, std::min(record.m_leases->m_earlierTerms, longest)), {} };
    for (const auto& [worker, remaining] : record.m_leases->m_byWorker)
        bounds.m_byWorker[worker] = now + std::min(remaining, longest);
    return bounds;
}

void Election::caughtUp(std::uint64_t end, TimePoint askedAt)
{
    m_end = std::max(m_end, end);
    // If the topic is empty, the claim timeout starts with the first read.
    if (!m_hasRead && m_recordAt == TimePoint())
        m_recordAt = askedAt;
    if (m_hasRead && askedAt - m_readAt > outageInterval)
        m_readableSince = askedAt;
    m_hasRead = true;
    m_readAt = askedAt;
}

std::optional<Election::Append> Election::takeDueAppend(TimePoint now)
{
    if (m_appending || !m_hasRead || now < m_nextRenewal)
        return std::nullopt;
    TermRecord record { TermRecord::Kind::Renewal, m_term, m_settings.m_daemon, m_settings.m_address,
        m_progressPartition, m_settings.m_weakHostDelay, std::nullopt };
    if (m_holdsTerm) {
        m_appendedLateEnd = m_announcedLateEnd;
        record.m_leases
            = { m_isGranting, remainingMilliseconds(std::max(m_earlierLeases.m_end, m_announcedLateEnd), now),
                  remainingMilliseconds(m_announcedEnds, now) };
        for (const auto& [worker, end] : m_announcedEnds)
            m_namedWorkers.insert(worker);
        record.m_progressPartition = m_announcedPartition.value_or(m_progressPartition);
        if (m_isLeaving)
            record.m_kind = TermRecord::Kind::Release;
    } else {
        if (m_isLeaving || now < claimAt() || now - m_readAt > maxReadAge)
            return std::nullopt;
        record.m_kind = TermRecord::Kind::Claim;
        record.m_term = m_end + 1;
        m_claim = { now, m_readAt, m_knownLeases };
        record.m_leases = { false, remainingMilliseconds(m_knownLeases.m_end, now),
            remainingMilliseconds(m_knownLeases.m_byWorker, now) };
    }
    m_appending = true;
    m_appended = record;
    return Append { record, m_end };
}

void Election::takeTerm(std::uint64_t term, TimePoint leaseFrom)
{
    m_term = term;
    m_newestNumber = term;
    m_holdsTerm = true;
    m_isVacant = false;
    m_holderAddress = m_settings.m_address;
    m_earlierLeases = m_claim->m_earlierLeases;
    m_isGranting = false;
    m_leaseLimit = {};
    m_announcedLateEnd = {};
    m_storedLateEnd = {};
    m_announcedEnds = m_earlierLeases.m_byWorker;
    m_namedWorkers.clear();
    for (const auto& [worker, end] : m_announcedEnds)
        m_namedWorkers.insert(worker);
    m_termLeaseEnd = leaseFrom + m_settings.m_termLease;
    m_recordAt = leaseFrom;
    m_claim.reset();
    m_announcedPartition.reset();
}

void Election::announceProgress(std::uint32_t partition)
{
    m_announcedPartition = partition;
    m_nextRenewal = {};
}

void Election::grantLeases()
{
    m_isGranting = true;
    m_nextRenewal = {};
}

void Election::completeRenewal(std::uint64_t offset, TimePoint sentAt)
{
    m_newestNumber = offset + 1;
    m_storedLateEnd = m_appendedLateEnd;
    m_termLeaseEnd = sentAt + m_settings.m_termLease;
    m_progressPartition = m_appended.m_progressPartition;
    m_namedWorkers.clear();
    for (const auto& [worker, remaining] : m_appended.m_leases->m_byWorker)
        m_namedWorkers.insert(worker);
    if (m_appended.m_leases->m_isGranting)
        m_leaseLimit = sentAt + m_settings.m_leaseReach;
    else if (m_isGranting)
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
            takeTerm(offset + 1, m_claim->m_sentAt);
        return;
    case TermRecord::Kind::Renewal:
        if (m_holdsTerm && m_appended.m_term == m_term)
            completeRenewal(offset, sentAt);
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
    const bool isWeak = m_leastWeakHostDelay.value_or(Duration::zero()) < m_settings.m_weakHostDelay;
    const Duration delay = m_settings.m_claimDelay + (isWeak ? m_settings.m_weakHostDelay : Duration::zero());
    const Duration silence = m_isVacant
        ? Duration::zero()
        : m_settings.m_claimTimeout + m_recordInterval * m_settings.m_claimIntervalFactor;
    return std::max(m_recordAt + silence, m_readableSince) + delay;
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
