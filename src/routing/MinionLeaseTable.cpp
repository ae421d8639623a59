// Decisions about minion leases.

#include "routing/MinionLeaseTable.h"

#include "model/Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace sapphiredale::routing {

MinionLeaseTable::MinionLeaseTable(const MinionLeaseSettings& settings)
    : m_settings(settings)
    , m_daemons { settings.m_self }
{
}

void MinionLeaseTable::setLiveDaemons(std::vector<DaemonId> daemons, TimePoint now)
{
    m_daemons = std::move(daemons);
    updatePreference(now);
}

void MinionLeaseTable::updatePreference(TimePoint now)
{
    for (auto& [id, entry] : m_entries) {
        const DaemonId* preferred = rendezvousChoice<DaemonId>(id.value(), m_daemons);
        const bool isPreferred = preferred && *preferred == m_settings.m_self;
        if (isPreferred != entry.m_preferred)
            entry.m_nextRequest = now;
        entry.m_preferred = isPreferred;
    }
}

void MinionLeaseTable::setMinions(const std::vector<MinionEndpoint>& minions, TimePoint now)
{
    std::set<MinionId> listed;
    for (const MinionEndpoint& endpoint : minions) {
        listed.insert(endpoint.m_minion);
        const auto [place, isNew] = m_entries.try_emplace(endpoint.m_minion);
        Entry& entry = place->second;
        if (isNew || entry.m_endpoint.m_address != endpoint.m_address) {
            // A new process knows none of the former leases; a response of the former one must not count.
            lose(entry);
            entry.m_sentAt.reset();
            entry.m_nextRequest = now;
        }
        entry.m_endpoint = endpoint;
        entry.m_listed = true;
    }
    for (auto& [id, entry] : m_entries)
        entry.m_listed = listed.contains(id);
    updatePreference(now);
}

void MinionLeaseTable::stop(TimePoint now)
{
    m_stopped = true;
    for (auto& [id, entry] : m_entries)
        entry.m_nextRequest = now;
}

bool MinionLeaseTable::wanted(const Entry& entry) const { return entry.m_listed && entry.m_preferred && !m_stopped; }

void MinionLeaseTable::lose(Entry& entry)
{
    if (!entry.m_held)
        return;
    entry.m_held = false;
    m_changes.push_back(entry.m_lease.m_minion);
}

MinionLeaseRequest MinionLeaseTable::makeRequest(Entry& entry, bool release, TimePoint now)
{
    MinionLeaseRequest request;
    request.m_minion = entry.m_endpoint.m_minion;
    request.m_address = entry.m_endpoint.m_address;
    request.m_sequence = m_nextSequence++;
    if (!entry.m_held && !release)
        ++entry.m_epoch;
    request.m_epoch = entry.m_epoch;
    request.m_ttl = release ? Duration::zero() : m_settings.m_lease;
    // Only a renewal waits for news; an acquisition is answered at once.
    request.m_wait = entry.m_held && !release ? m_settings.m_wait : Duration::zero();
    entry.m_sentAt = now;
    entry.m_sequence = request.m_sequence;
    return request;
}

std::vector<MinionLeaseRequest> MinionLeaseTable::step(TimePoint now)
{
    std::vector<MinionLeaseRequest> requests;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        Entry& minion = entry->second;
        if (minion.m_held && now >= minion.m_lease.m_leaseDeadline)
            lose(minion);
        const bool release = minion.m_held && !wanted(minion);
        if (release) {
            // Nothing new is sent from the moment the release is on its way; a renewal under way is superseded.
            lose(minion);
            requests.push_back(makeRequest(minion, true, now));
        } else if (wanted(minion) && !minion.m_sentAt && now >= minion.m_nextRequest) {
            requests.push_back(makeRequest(minion, false, now));
        } else if (!minion.m_listed && !minion.m_sentAt) {
            entry = m_entries.erase(entry);
            continue;
        }
        ++entry;
    }
    return requests;
}

TimePoint MinionLeaseTable::nextStep() const
{
    TimePoint next = TimePoint::max();
    for (const auto& [id, entry] : m_entries) {
        if (entry.m_held)
            next = std::min(next, entry.m_lease.m_leaseDeadline);
        if (entry.m_held ? !wanted(entry) || !entry.m_sentAt : wanted(entry) && !entry.m_sentAt)
            next = std::min(next, entry.m_nextRequest);
    }
    return next;
}

MinionLeaseTable::Entry* MinionLeaseTable::current(const MinionLeaseRequest& request)
{
    const auto entry = m_entries.find(request.m_minion);
    if (entry == m_entries.end() || !entry->second.m_sentAt || entry->second.m_sequence != request.m_sequence)
        return nullptr;
    return &entry->second;
}

void MinionLeaseTable::granted(const MinionLeaseRequest& request, const MinionLeaseGrant& grant, TimePoint now)
{
    Entry* entry = current(request);
    if (!entry)
        return;
    const TimePoint sentAt = *std::exchange(entry->m_sentAt, std::nullopt);
    entry->m_nextRequest = std::max(now, sentAt + m_settings.m_minInterval);
    if (request.isRelease())
        return;
    const bool renewal = entry->m_held && grant.m_epoch == entry->m_lease.m_epoch;
    entry->m_epoch = std::max(entry->m_epoch, grant.m_epoch);
    HeldMinion lease;
    lease.m_minion = entry->m_endpoint.m_minion;
    lease.m_address = entry->m_endpoint.m_address;
    lease.m_epoch = grant.m_epoch;
    // Counted from the sending: the minion counts from the arrival, which is later.
    lease.m_leaseDeadline = sentAt + request.m_ttl - m_settings.m_clockMargin;
    lease.m_slots = grant.m_slots;
    lease.m_connections = entry->m_endpoint.m_connections;
    lease.m_formerInFlight = grant.m_inFlight;
    lease.m_formerConnections = grant.m_connections;
    lease.m_leaving = grant.m_leaving;
    if (renewal) {
        // Former holders start nothing any more, so their counts only fall; a report that was overtaken changes
        // nothing.
        lease.m_formerInFlight = std::min(lease.m_formerInFlight, entry->m_lease.m_formerInFlight);
        lease.m_formerConnections = std::min(lease.m_formerConnections, entry->m_lease.m_formerConnections);
        lease.m_leaving = lease.m_leaving || entry->m_lease.m_leaving;
    }
    if (now >= lease.m_leaseDeadline) {
        // The response came too late, for example after a pause of this process.
        lose(*entry);
        return;
    }
    entry->m_lease = lease;
    entry->m_held = true;
    m_changes.push_back(lease.m_minion);
}

void MinionLeaseTable::rejected(const MinionLeaseRequest& request, const MinionLeaseRejection& rejection, TimePoint now)
{
    Entry* entry = current(request);
    if (!entry)
        return;
    entry->m_sentAt.reset();
    entry->m_epoch = std::max(entry->m_epoch, rejection.m_epoch);
    // The other holder may release early, so its expiry is only the latest instant of the next attempt.
    const Duration pause = std::clamp(rejection.m_expiresIn, m_settings.m_minInterval, m_settings.m_retryPause);
    entry->m_nextRequest = now + pause;
    lose(*entry);
}

void MinionLeaseTable::failed(const MinionLeaseRequest& request, TimePoint now)
{
    Entry* entry = current(request);
    if (!entry)
        return;
    entry->m_sentAt.reset();
    entry->m_nextRequest = now + m_settings.m_retryPause;
}

std::vector<MinionId> MinionLeaseTable::takeChanges() { return std::exchange(m_changes, {}); }

std::optional<HeldMinion> MinionLeaseTable::held(const MinionId& id, TimePoint now) const
{
    const auto entry = m_entries.find(id);
    if (entry == m_entries.end() || !entry->second.m_held || now >= entry->second.m_lease.m_leaseDeadline)
        return std::nullopt;
    return entry->second.m_lease;
}

std::vector<HeldMinion> MinionLeaseTable::allHeld(TimePoint now) const
{
    std::vector<HeldMinion> result;
    for (const auto& [id, entry] : m_entries) {
        if (entry.m_held && now < entry.m_lease.m_leaseDeadline)
            result.push_back(entry.m_lease);
    }
    return result;
}

bool MinionLeaseTable::isPreferred(const MinionId& id) const
{
    const auto entry = m_entries.find(id);
    return entry != m_entries.end() && entry->second.m_preferred;
}

bool MinionLeaseTable::isDrained(TimePoint now) const
{
    return m_stopped && std::all_of(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        const Entry& minion = entry.second;
        return !minion.m_sentAt && (!minion.m_held || now >= minion.m_lease.m_leaseDeadline);
    });
}

} // namespace sapphiredale::routing
