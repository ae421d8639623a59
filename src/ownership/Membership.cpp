// Heartbeats, suspicion and contact evidence.

#include "ownership/Membership.h"

#include <algorithm>
#include <functional>

namespace sapphiredale::ownership {

namespace {

    /// Heartbeats whose send time is remembered for each peer; later acknowledgements do not confirm a contact.
    constexpr std::size_t maxRememberedSendTimes = 16;

} // namespace

Membership::Membership(const MembershipSettings& settings, TimePoint now)
    : m_settings(settings)
    , m_startedAt(now)
{
}

void Membership::setDomains(const std::vector<FailureDomainId>& domains, TimePoint now)
{
    m_domains = domains;
    for (const FailureDomainId& domain : domains)
        m_evidence.try_emplace(domain, now);
}

void Membership::setConfiguration(const ConfigurationMark& configuration)
{
    if (configuration == m_configuration)
        return;
    m_configuration = configuration;
    m_configurationChangedAt = m_sequence;
    sendSoon();
}

void Membership::setFreeSlots(const WorkloadId& workload, std::uint32_t free)
{
    const auto [position, added] = m_slots.try_emplace(workload, free, m_sequence);
    if (!added && position->second.first != free)
        position->second = { free, m_sequence };
}

void Membership::setLeaving()
{
    m_leaving = true;
    sendSoon();
}

void Membership::setSchedulerEpoch(std::uint64_t epoch)
{
    if (epoch != m_schedulerEpoch)
        sendSoon();
    m_schedulerEpoch = epoch;
}

void Membership::sendSoon()
{
    for (auto& [daemon, peer] : m_peers)
        peer.m_nextSend = {};
}

void Membership::hostsListed(const std::vector<ListedHost>& hosts, TimePoint)
{
    for (auto& [daemon, peer] : m_peers)
        peer.m_listed = peer.m_listedGone = false;
    for (const ListedHost& host : hosts) {
        if (host.m_daemon == m_settings.m_daemon)
            continue;
        const auto known = m_peers.find(host.m_daemon);
        if (host.m_state == HostState::Gone) {
            if (known != m_peers.end())
                known->second.m_listedGone = true;
            continue;
        }
        Peer& peer = known == m_peers.end() ? m_peers[host.m_daemon] : known->second;
        peer.m_listed = true;
        if (peer.m_failureDomain.empty())
            peer.m_failureDomain = host.m_failureDomain;
    }
}

void Membership::logContact(TimePoint sentAt)
{
    if (!m_logContact || sentAt > *m_logContact)
        m_logContact = sentAt;
}

void Membership::received(const Heartbeat& heartbeat, TimePoint now)
{
    if (heartbeat.m_daemon == m_settings.m_daemon || heartbeat.m_daemon.empty())
        return;
    Peer& peer = m_peers[heartbeat.m_daemon];
    if (peer.m_formerProcess && heartbeat.m_process == peer.m_formerProcess)
        return;
    if (heartbeat.m_process != peer.m_process) {
        peer.m_formerProcess = peer.m_process;
        peer.m_process = heartbeat.m_process;
        peer.m_sequence = 0;
        peer.m_acknowledged = 0;
        peer.m_view = {};
        // The answer tells the new process what it does not know yet.
        peer.m_nextSend = {};
    }
    if (heartbeat.m_sequence <= peer.m_sequence)
        return;
    learn(peer, heartbeat, now);
    noteEvidence(peer, heartbeat, now);
}

void Membership::learn(Peer& peer, const Heartbeat& heartbeat, TimePoint now)
{
    peer.m_sequence = heartbeat.m_sequence;
    peer.m_heard = true;
    peer.m_suspected = false;
    DaemonView& view = peer.m_view;
    view.m_daemon = heartbeat.m_daemon;
    view.m_heardAt = now;
    view.m_leaving = heartbeat.m_leaving;
    view.m_schedulerEpoch = heartbeat.m_schedulerEpoch;
    if (heartbeat.m_description) {
        view.m_description = *heartbeat.m_description;
        peer.m_failureDomain = heartbeat.m_description->m_failureDomain;
    }
    if (heartbeat.m_configuration)
        view.m_configuration = *heartbeat.m_configuration;
    for (const FreeSlots& slots : heartbeat.m_slots)
        view.m_freeSlots[slots.m_workload] = slots.m_free;

    if (heartbeat.m_acknowledgedProcess != m_settings.m_process)
        return;
    const auto sent = peer.m_sent.find(heartbeat.m_acknowledgedSequence);
    if (sent != peer.m_sent.end() && (!peer.m_contactAt || sent->second > *peer.m_contactAt))
        peer.m_contactAt = sent->second;
    peer.m_acknowledged = std::max(peer.m_acknowledged, heartbeat.m_acknowledgedSequence);
    peer.m_sent.erase(peer.m_sent.begin(), peer.m_sent.upper_bound(heartbeat.m_acknowledgedSequence));
}

void Membership::noteEvidence(const Peer& peer, const Heartbeat& heartbeat, TimePoint now)
{
    if (peer.m_failureDomain.empty())
        return;
    m_direct[peer.m_failureDomain] = now;
    m_evidence[peer.m_failureDomain] = now;
    // The sender has heard every other domain directly; reports of reports would keep a dead domain alive.
    for (const FailureDomainId& domain : m_domains) {
        const auto& silent = heartbeat.m_silentDomains;
        if (domain != m_settings.m_description.m_failureDomain
            && std::find(silent.begin(), silent.end(), domain) == silent.end())
            m_evidence[domain] = now;
    }
}

Duration Membership::intervalTo(const Peer& peer) const
{
    const bool near = peer.m_failureDomain == m_settings.m_description.m_failureDomain;
    return near ? m_settings.m_nearInterval : m_settings.m_farInterval;
}

void Membership::updateSuspicion(TimePoint now)
{
    for (auto position = m_peers.begin(); position != m_peers.end();) {
        Peer& peer = position->second;
        const Duration silence = now - peer.m_view.m_heardAt;
        const Duration interval = intervalTo(peer);
        if (peer.m_heard) {
            // A host that the list shows as gone is suspected after a single missed heartbeat.
            peer.m_suspected = silence > interval * (peer.m_listedGone ? 1 : m_settings.m_suspectAfter);
            if (silence > interval * m_settings.m_removeAfter)
                peer.m_heard = false;
        }
        position = peer.m_heard || peer.m_listed ? std::next(position) : m_peers.erase(position);
    }
}

std::vector<OutgoingHeartbeat> Membership::step(TimePoint now)
{
    updateSuspicion(now);
    std::vector<OutgoingHeartbeat> due;
    for (auto& [daemon, peer] : m_peers) {
        if (peer.m_nextSend > now)
            continue;
        peer.m_nextSend = now + intervalTo(peer);
        due.push_back({ daemon, heartbeatFor(peer, now) });
    }
    return due;
}

TimePoint Membership::nextWake() const
{
    TimePoint wake = TimePoint::max();
    for (const auto& [daemon, peer] : m_peers)
        wake = std::min(wake, peer.m_nextSend);
    return wake;
}

Heartbeat Membership::heartbeatFor(Peer& peer, TimePoint now)
{
    Heartbeat heartbeat;
    heartbeat.m_daemon = m_settings.m_daemon;
    heartbeat.m_process = m_settings.m_process;
    heartbeat.m_sequence = m_sequence++;
    heartbeat.m_acknowledgedProcess = peer.m_process;
    heartbeat.m_acknowledgedSequence = peer.m_sequence;
    heartbeat.m_leaving = m_leaving;
    heartbeat.m_schedulerEpoch = m_schedulerEpoch;
    // What changed after the acknowledged heartbeat is in every later one, so a lost heartbeat loses nothing.
    if (peer.m_acknowledged == 0)
        heartbeat.m_description = m_settings.m_description;
    if (m_configuration.m_version && peer.m_acknowledged < m_configurationChangedAt)
        heartbeat.m_configuration = m_configuration;
    for (const auto& [workload, entry] : m_slots) {
        if (peer.m_acknowledged < entry.second)
            heartbeat.m_slots.push_back({ workload, entry.first });
    }
    for (const FailureDomainId& domain : silentDomains(now))
        heartbeat.m_silentDomains.push_back(domain);

    peer.m_sent.emplace(heartbeat.m_sequence, now);
    if (peer.m_sent.size() > maxRememberedSendTimes)
        peer.m_sent.erase(peer.m_sent.begin());
    return heartbeat;
}

std::vector<FailureDomainId> Membership::silentDomains(TimePoint now) const
{
    std::vector<FailureDomainId> silent;
    for (const FailureDomainId& domain : m_domains) {
        if (domain == m_settings.m_description.m_failureDomain)
            continue;
        const auto heard = m_direct.find(domain);
        if (heard == m_direct.end() || heard->second + m_settings.m_contactWindow < now)
            silent.push_back(domain);
    }
    return silent;
}

std::vector<DaemonId> Membership::liveDaemons(const FailureDomainId& domain) const
{
    std::vector<DaemonId> live;
    if (domain == m_settings.m_description.m_failureDomain && !m_leaving)
        live.push_back(m_settings.m_daemon);
    for (const auto& [daemon, peer] : m_peers) {
        if (peer.m_heard && !peer.m_suspected && !peer.m_view.m_leaving && peer.m_failureDomain == domain)
            live.push_back(daemon);
    }
    std::sort(live.begin(), live.end());
    return live;
}

std::vector<DaemonView> Membership::view() const
{
    std::vector<DaemonView> views;
    for (const auto& [daemon, peer] : m_peers) {
        if (!peer.m_heard)
            continue;
        views.push_back(peer.m_view);
        views.back().m_state = peer.m_suspected ? DaemonView::State::Suspected : DaemonView::State::Live;
    }
    return views;
}

std::optional<DaemonView> Membership::domainScheduler(const FailureDomainId& domain) const
{
    const Peer* best = nullptr;
    for (const auto& [daemon, peer] : m_peers) {
        if (!peer.m_heard || peer.m_suspected || peer.m_failureDomain != domain || !peer.m_view.m_schedulerEpoch)
            continue;
        if (!best || peer.m_view.m_schedulerEpoch > best->m_view.m_schedulerEpoch)
            best = &peer;
    }
    return best ? std::optional(best->m_view) : std::nullopt;
}

std::optional<DaemonId> Membership::newerConfiguration(std::uint64_t version) const
{
    std::optional<DaemonId> newest;
    for (const auto& [daemon, peer] : m_peers) {
        if (peer.m_heard && !peer.m_suspected && peer.m_view.m_configuration.m_version > version) {
            version = peer.m_view.m_configuration.m_version;
            newest = daemon;
        }
    }
    return newest;
}

PartitionState Membership::partition(TimePoint now) const
{
    PartitionState state;
    state.m_cutOffFromLog = m_logContact.value_or(m_startedAt) + m_settings.m_contactWindow < now;
    state.m_silentDomains = silentDomains(now);
    const std::optional<TimePoint> contact = majorityContact();
    state.m_majorityReached = contact && *contact + m_settings.m_contactWindow >= now;
    return state;
}

TimePoint Membership::lastEvidence(const FailureDomainId& domain) const
{
    const auto found = m_evidence.find(domain);
    return found == m_evidence.end() ? m_startedAt : found->second;
}

std::optional<TimePoint> Membership::majorityContact() const
{
    std::map<FailureDomainId, TimePoint> contacts;
    for (const auto& [daemon, peer] : m_peers) {
        const bool counts = peer.m_contactAt && peer.m_failureDomain != m_settings.m_description.m_failureDomain
            && std::find(m_domains.begin(), m_domains.end(), peer.m_failureDomain) != m_domains.end();
        if (!counts)
            continue;
        TimePoint& contact = contacts.try_emplace(peer.m_failureDomain, *peer.m_contactAt).first->second;
        contact = std::max(contact, *peer.m_contactAt);
    }
    // Together with the own domain, half of the domains rounded down make a majority.
    const std::size_t needed = m_domains.size() / 2;
    if (needed == 0 || contacts.size() < needed)
        return std::nullopt;
    std::vector<TimePoint> times;
    times.reserve(contacts.size());
    for (const auto& [domain, contact] : contacts)
        times.push_back(contact);
    std::sort(times.begin(), times.end(), std::greater<> {});
    return times[needed - 1];
}

} // namespace sapphiredale::ownership
