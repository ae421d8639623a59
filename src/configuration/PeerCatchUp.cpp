// Choice of the peer to ask and of the time to ask it.

#include "configuration/PeerCatchUp.h"

#include <algorithm>

namespace sapphiredale::configuration {

namespace {

    /// A cell has 24 daemons; the bound protects against advertisements with invented names.
    constexpr std::size_t maxPeers = 256;

} // namespace

PeerCatchUp::PeerCatchUp(const PeerCatchUpSettings& settings, ServiceCounters& counters)
    : m_settings(settings)
    , m_counters(counters)
    , m_backoff(settings.m_retryMin, settings.m_retryMax, settings.m_seed)
{
}

void PeerCatchUp::advertised(const PeerAdvertised& peer, const ConfigurationFold& fold)
{
    if (peer.m_daemon == m_settings.m_daemon || (m_peers.size() >= maxPeers && !m_peers.contains(peer.m_daemon)))
        return;
    if (fold.inForce() && peer.m_version == fold.version() && peer.m_hash != fold.inForce()->m_hash)
        m_counters.count(ServiceReason::PeerHashDiffers);
    m_peers[peer.m_daemon] = peer;
}

void PeerCatchUp::setLive(std::span<const DaemonId> live)
{
    std::erase_if(
        m_peers, [live](const auto& entry) { return std::find(live.begin(), live.end(), entry.first) == live.end(); });
}

bool PeerCatchUp::received(const PeerStateReceived& message, ConfigurationFold& fold, TimePoint now)
{
    const bool wasAsked = m_fetch && m_fetch->m_daemon == message.m_daemon;
    const auto state = decodeState(message.m_state);
    const auto* decoded = std::get_if<ConfigurationState>(&state);
    if (decoded && fold.adopt(*decoded)) {
        if (wasAsked)
            m_fetch.reset();
        m_fetchAt.reset();
        m_backoff.reset();
        return true;
    }
    if (!message.m_state.empty())
        m_counters.count(ServiceReason::PeerStateRefused);
    if (wasAsked)
        failed(message.m_daemon, now);
    return false;
}

void PeerCatchUp::failed(const DaemonId& daemon, TimePoint now)
{
    m_counters.count(ServiceReason::RetryPeerFetch);
    m_fetch.reset();
    m_lastFailed = daemon;
    m_fetchAt = m_backoff.next(now);
}

void PeerCatchUp::tick(TimePoint now)
{
    if (m_fetch && now >= m_fetch->m_deadline)
        failed(DaemonId(m_fetch->m_daemon), now);
}

const PeerAdvertised* PeerCatchUp::candidate(const ConfigurationFold& fold, bool isReady) const
{
    const PeerAdvertised* best = nullptr;
    const auto isBetter = [&](const PeerAdvertised& peer) {
        if (!best)
            return true;
        const bool peerFailed = peer.m_daemon == m_lastFailed;
        const bool bestFailed = best->m_daemon == m_lastFailed;
        return peerFailed != bestFailed ? bestFailed : peer.m_version > best->m_version;
    };
    for (const auto& [daemon, peer] : m_peers) {
        // The same version is useful too when the peer knows up to which record it is folded.
        const bool isSameButFurther = peer.m_version > 0 && peer.m_version == fold.version()
            && ((!fold.isAnchored() && peer.m_nextOffset >= fold.nextOffset())
                || (!isReady && peer.m_nextOffset > fold.nextOffset()));
        const bool isUseful = peer.m_version > fold.version() || isSameButFurther;
        if (isUseful && isBetter(peer))
            best = &peer;
    }
    return best;
}

void PeerCatchUp::issue(const ConfigurationFold& fold, bool isLogOut, bool isReady, TimePoint now,
    std::vector<ConfigurationAction>& actions)
{
    const PeerAdvertised* peer = candidate(fold, isReady);
    if (!peer || m_fetch) {
        if (!peer)
            m_fetchAt.reset();
        return;
    }
    if (!m_fetchAt)
        m_fetchAt = isLogOut ? now : now + m_settings.m_patience;
    if (now < *m_fetchAt)
        return;
    m_fetch = FetchFromPeer { peer->m_daemon, now + m_settings.m_timeout };
    m_fetchAt.reset();
    actions.emplace_back(*m_fetch);
}

std::optional<TimePoint> PeerCatchUp::nextWake() const
{
    return m_fetch ? std::optional(m_fetch->m_deadline) : m_fetchAt;
}

} // namespace sapphiredale::configuration
