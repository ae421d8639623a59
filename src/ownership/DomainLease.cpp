// Lease campaigns, renewals and majority checks.

#include "ownership/DomainLease.h"

#include "model/Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <functional>

namespace sapphiredale::ownership {

namespace {

    /// Maximum random delay that keeps several daemons from acting at the same instant.
    constexpr Duration maxJitter = std::chrono::milliseconds(100);

} // namespace

DomainLease::DomainLease(const DomainLeaseSettings& settings)
    : m_settings(settings)
    , m_jitter(stableHash(settings.m_holder, settings.m_seed))
{
}

void DomainLease::setWorkers(const std::vector<WorkerId>& current, const std::vector<WorkerId>& previous, TimePoint now)
{
    for (auto& [worker, lease] : m_workers)
        lease.m_current = lease.m_previous = false;
    for (const auto& [list, member] :
        { std::pair(&current, &WorkerLease::m_current), std::pair(&previous, &WorkerLease::m_previous) }) {
        for (const WorkerId& worker : *list) {
            const auto [position, added] = m_workers.try_emplace(worker);
            position->second.*member = true;
            if (added)
                position->second.m_nextAttempt = now;
        }
    }
    for (auto position = m_workers.begin(); position != m_workers.end();) {
        const WorkerLease& lease = position->second;
        if (lease.m_current || lease.m_previous) {
            ++position;
            continue;
        }
        if (lease.m_epoch || lease.m_request)
            m_actions.emplace_back(LeaseRelease { position->first, std::max(lease.m_epoch, lease.m_requestEpoch) });
        position = m_workers.erase(position);
    }
}

void DomainLease::setCandidates(const std::vector<DaemonId>& daemons, TimePoint)
{
    m_candidates = daemons;
    const std::string key = "scheduler/" + m_settings.m_failureDomain.value();
    std::sort(m_candidates.begin(), m_candidates.end(), [&](const DaemonId& a, const DaemonId& b) {
        const auto weightOfA = rendezvousWeight(key, a.value());
        const auto weightOfB = rendezvousWeight(key, b.value());
        return weightOfA != weightOfB ? weightOfA > weightOfB : a < b;
    });
}

void DomainLease::schedulerSeen(const DaemonId& daemon, std::uint64_t epoch, TimePoint now)
{
    if (daemon == m_settings.m_daemon)
        return;
    m_knownScheduler = daemon;
    m_schedulerSeenAt = now;
    m_seenEpoch = std::max(m_seenEpoch, epoch);
    if (m_role == Role::Standby && m_campaignBase && *m_campaignBase < now + m_settings.m_schedulerSilence)
        m_campaignBase = now + m_settings.m_schedulerSilence;
}

void DomainLease::schedulerStopped(const DaemonId& daemon, TimePoint now)
{
    if (m_knownScheduler != daemon)
        return;
    m_knownScheduler.reset();
    // The stored expiries are those of the leases that it has given up.
    for (auto& [worker, lease] : m_workers)
        lease.m_otherUntil = std::min(lease.m_otherUntil, now);
    if (m_role == Role::Standby)
        scheduleCampaign(now);
}

void DomainLease::setEnded(const WorkerId& worker, bool ended)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.m_ended = ended;
}

bool DomainLease::handleGrant(const WorkerId& worker, RequestNumber request, std::uint64_t epoch, TimePoint now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.m_request != request || request == 0) {
        m_counters.add(CountedReason::LateLeaseAnswer);
        // An unwanted grant would keep other candidates from the worker until it expires.
        const bool inUse = found != m_workers.end()
            && (found->second.m_epoch == epoch || (found->second.m_request && found->second.m_requestEpoch == epoch));
        if (!inUse)
            m_actions.emplace_back(LeaseRelease { worker, epoch });
        return false;
    }
    WorkerLease& lease = found->second;
    m_counters.add(CountedReason::LeaseGranted);
    lease.m_request = 0;
    lease.m_epoch = epoch;
    // The worker counts from the arrival of the request, which is not before its sending.
    lease.m_deadline = lease.m_sentAt + lease.m_requestTtl - m_settings.m_clockMargin;
    lease.m_otherUntil = now;
    lease.m_answered = true;
    lease.m_backoff.reset();
    lease.m_nextAttempt = std::max(now, lease.m_sentAt + m_settings.m_minRenewInterval);
    return true;
}

void DomainLease::handleRejection(
    const WorkerId& worker, RequestNumber request, const LeaseRejection& rejection, TimePoint now)
{
    m_seenEpoch = std::max(m_seenEpoch, rejection.m_epoch);
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.m_request != request || request == 0) {
        m_counters.add(CountedReason::LateLeaseAnswer);
        return;
    }
    WorkerLease& lease = found->second;
    lease.m_request = 0;
    lease.m_epoch = 0;
    lease.m_seenEpoch = std::max(lease.m_seenEpoch, rejection.m_epoch);
    lease.m_otherUntil = now + rejection.m_expiresIn;
    lease.m_answered = true;
    const bool held = rejection.m_expiresIn > Duration::zero();
    m_counters.add(held ? CountedReason::LeaseRejectedHeld : CountedReason::LeaseRejectedEpoch);
    // The first rejection for a small epoch is repeated at once with a greater one.
    const Duration retry = !held && lease.m_backoff.failures() == 0 ? m_jitter.below(maxJitter) : Duration::max();
    const Duration backoff = lease.m_backoff.next(m_settings.m_retry, m_jitter);
    lease.m_nextAttempt = now + std::min(retry, std::max(backoff, rejection.m_expiresIn));
    if (held && rejection.m_expiresIn <= m_settings.m_ttl)
        lease.m_nextAttempt = now + rejection.m_expiresIn + m_jitter.below(maxJitter);
}

void DomainLease::handleTimeout(const WorkerId& worker, RequestNumber request, TimePoint now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.m_request != request || request == 0)
        return;
    m_counters.add(CountedReason::LeaseTimeout);
    WorkerLease& lease = found->second;
    lease.m_request = 0;
    lease.m_answered = true;
    lease.m_nextAttempt = now + lease.m_backoff.next(m_settings.m_retry, m_jitter);
}

void DomainLease::handleFencing(const WorkerId& worker, TimePoint now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    found->second.m_epoch = 0;
    if (!found->second.m_request)
        found->second.m_nextAttempt = now;
}

void DomainLease::renewSoon(const WorkerId& worker, TimePoint now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.m_request)
        return;
    found->second.m_nextAttempt = std::min(found->second.m_nextAttempt, now);
}

void DomainLease::release(TimePoint)
{
    giveUpAll();
    m_role = Role::Released;
}

std::vector<LeaseAction> DomainLease::step(TimePoint now)
{
    expireRequests(now);
    if (m_role == Role::Standby)
        stepStandby(now);
    else if (m_role == Role::Candidate)
        stepCandidate(now);
    else if (m_role == Role::Holder && !reachesMajority(now))
        loseMajority(now);
    if (m_role == Role::Holder)
        renewDue(now);
    return std::exchange(m_actions, {});
}

void DomainLease::stepStandby(TimePoint now)
{
    if (!m_campaignBase)
        scheduleCampaign(now + m_settings.m_startDelay);
    const bool hasWorkers = majorityOf(&WorkerLease::m_current, now).m_size > 0;
    if (hasWorkers && now >= campaignAt())
        startCampaign(now);
}

void DomainLease::stepCandidate(TimePoint now)
{
    if (reachesMajority(now)) {
        becomeHolder(now);
        return;
    }
    const bool complete
        = std::all_of(m_workers.begin(), m_workers.end(), [](const auto& entry) { return entry.second.m_answered; });
    if (complete || now >= m_campaignDeadline)
        endCampaign(now);
}

std::optional<TimePoint> DomainLease::nextWake() const
{
    if (m_role == Role::Released)
        return std::nullopt;
    if (m_role == Role::Standby)
        return m_campaignBase && !m_workers.empty() ? std::optional(campaignAt()) : std::nullopt;
    TimePoint wake = m_role == Role::Candidate ? m_campaignDeadline : leaseEnd().value_or(TimePoint::max());
    for (const auto& [worker, lease] : m_workers) {
        if (lease.m_request)
            wake = std::min(wake, lease.m_requestDeadline);
        else if (m_role == Role::Holder)
            wake = std::min(wake, lease.m_nextAttempt);
    }
    return wake;
}

bool DomainLease::isScheduler(TimePoint now) const { return m_role == Role::Holder && reachesMajority(now); }

std::uint64_t DomainLease::epoch() const
{
    if (m_role != Role::Holder)
        return 0;
    std::uint64_t greatest = m_epoch;
    for (const auto& [worker, lease] : m_workers)
        greatest = std::max(greatest, lease.m_epoch);
    return greatest;
}

std::uint64_t DomainLease::epochOn(const WorkerId& worker, TimePoint now) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.m_deadline > now ? found->second.m_epoch : 0;
}

std::optional<TimePoint> DomainLease::leaseEnd() const
{
    if (m_role != Role::Holder)
        return std::nullopt;
    const auto current = endOf(&WorkerLease::m_current);
    const auto previous = endOf(&WorkerLease::m_previous);
    return current && previous ? std::min(current, previous) : current ? current : previous;
}

DomainLease::Majority DomainLease::majorityOf(bool WorkerLease::*member, TimePoint now) const
{
    Majority majority;
    for (const auto& [worker, lease] : m_workers) {
        if (!(lease.*member) || lease.m_ended)
            continue;
        ++majority.m_size;
        majority.m_held += lease.m_epoch != 0 && lease.m_deadline > now;
    }
    return majority;
}

bool DomainLease::reachesMajority(TimePoint now) const
{
    const Majority current = majorityOf(&WorkerLease::m_current, now);
    // Without a worker there is nothing that could exclude a second scheduler.
    return current.m_size > 0 && current.reached() && majorityOf(&WorkerLease::m_previous, now).reached();
}

std::optional<TimePoint> DomainLease::endOf(bool WorkerLease::*member) const
{
    std::vector<TimePoint> deadlines;
    for (const auto& [worker, lease] : m_workers) {
        if (lease.*member && !lease.m_ended)
            deadlines.push_back(lease.m_epoch ? lease.m_deadline : TimePoint::min());
    }
    if (deadlines.empty())
        return std::nullopt;
    const auto middle = deadlines.begin() + static_cast<std::ptrdiff_t>(deadlines.size() / 2);
    std::nth_element(deadlines.begin(), middle, deadlines.end(), std::greater<> {});
    return *middle;
}

TimePoint DomainLease::freeAt(bool WorkerLease::*member, TimePoint now) const
{
    std::vector<TimePoint> ends;
    for (const auto& [worker, lease] : m_workers) {
        if (lease.*member && !lease.m_ended)
            ends.push_back(std::max(now, lease.m_otherUntil));
    }
    if (ends.empty())
        return now;
    const auto middle = ends.begin() + static_cast<std::ptrdiff_t>(ends.size() / 2);
    std::nth_element(ends.begin(), middle, ends.end());
    return *middle;
}

Duration DomainLease::rankDelay() const
{
    const auto own = std::find(m_candidates.begin(), m_candidates.end(), m_settings.m_daemon);
    return m_settings.m_rankDelay * (own - m_candidates.begin());
}

void DomainLease::scheduleCampaign(TimePoint earliest)
{
    m_campaignBase = earliest;
    m_campaignJitter = m_jitter.below(maxJitter);
}

void DomainLease::startCampaign(TimePoint now)
{
    m_role = Role::Candidate;
    m_counters.add(CountedReason::CampaignStarted);
    m_epoch = std::max(m_epoch, m_seenEpoch) + 1;
    m_campaignDeadline = now + m_settings.m_campaignTimeout;
    for (auto& [worker, lease] : m_workers) {
        lease.m_epoch = 0;
        lease.m_request = 0;
        // A worker that another daemon holds for longer than the campaign would only reject.
        lease.m_answered = lease.m_ended || lease.m_otherUntil > m_campaignDeadline;
        if (!lease.m_answered)
            send(worker, lease, m_settings.m_campaignTtl, Duration::zero(), now);
    }
}

void DomainLease::endCampaign(TimePoint now)
{
    m_counters.add(CountedReason::CampaignSplit);
    for (auto& [worker, lease] : m_workers) {
        // A request without an answer may have been granted.
        if (lease.m_requestEpoch == m_epoch && lease.m_otherUntil <= now)
            m_actions.emplace_back(LeaseRelease { worker, m_epoch });
        lease.m_epoch = 0;
        lease.m_request = 0;
    }
    m_role = Role::Standby;
    const Duration backoff = m_campaignBackoff.next(m_settings.m_retry, m_jitter);
    const TimePoint free = std::max(freeAt(&WorkerLease::m_current, now), freeAt(&WorkerLease::m_previous, now));
    // The lease of another candidate ends with its campaign, long before it expires.
    const bool mayBeCandidates = free <= now + m_settings.m_campaignTtl;
    scheduleCampaign(mayBeCandidates ? std::min(std::max(free, now + backoff), now + 2 * backoff) : free);
}

void DomainLease::becomeHolder(TimePoint now)
{
    m_role = Role::Holder;
    m_counters.add(CountedReason::MajorityWon);
    m_knownScheduler.reset();
    m_campaignBackoff.reset();
    for (auto& [worker, lease] : m_workers) {
        const bool held = lease.m_epoch != 0;
        lease.m_nextAttempt = held ? now : std::max(now, lease.m_otherUntil) + m_jitter.below(maxJitter);
    }
}

void DomainLease::loseMajority(TimePoint now)
{
    m_counters.add(CountedReason::MajorityLost);
    giveUpAll();
    m_role = Role::Standby;
    scheduleCampaign(now + m_campaignBackoff.next(m_settings.m_retry, m_jitter));
}

void DomainLease::giveUpAll()
{
    for (auto& [worker, lease] : m_workers) {
        if (lease.m_epoch || lease.m_request)
            m_actions.emplace_back(LeaseRelease { worker, std::max(lease.m_epoch, lease.m_requestEpoch) });
        lease.m_epoch = 0;
        lease.m_request = 0;
    }
}

void DomainLease::send(const WorkerId& worker, WorkerLease& lease, Duration ttl, Duration wait, TimePoint now)
{
    const bool held = lease.m_epoch != 0 && lease.m_deadline > now;
    lease.m_request = m_nextRequest++;
    lease.m_requestEpoch = held ? lease.m_epoch : std::max(m_epoch, lease.m_seenEpoch + 1);
    m_seenEpoch = std::max(m_seenEpoch, lease.m_requestEpoch);
    lease.m_sentAt = now;
    lease.m_requestTtl = ttl;
    lease.m_requestDeadline = now + wait + m_settings.m_answerTimeout;
    m_actions.emplace_back(
        LeaseRequest { lease.m_request, worker, lease.m_requestEpoch, ttl, wait, lease.m_requestDeadline });
}

void DomainLease::expireRequests(TimePoint now)
{
    for (auto& [worker, lease] : m_workers) {
        if (lease.m_request && lease.m_requestDeadline <= now)
            handleTimeout(worker, lease.m_request, now);
    }
}

void DomainLease::renewDue(TimePoint now)
{
    for (auto& [worker, lease] : m_workers) {
        if (lease.m_request || lease.m_nextAttempt > now)
            continue;
        // The first renewal after a campaign only extends the short lease of the campaign; it must not wait.
        const bool longLease = lease.m_epoch != 0 && lease.m_deadline > now && lease.m_requestTtl == m_settings.m_ttl;
        send(worker, lease, m_settings.m_ttl, longLease ? m_settings.m_wait : Duration::zero(), now);
    }
}

} // namespace sapphiredale::ownership
