// Decides when this daemon asks a peer for the state.
#pragma once

#include "configuration/Backoff.h"
#include "configuration/ConfigurationMessages.h"
#include "configuration/ServiceCounters.h"
#include "model/Identifier.h"
#include "model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sapphiredale::configuration {

/// Settings that build a PeerCatchUp.
struct PeerCatchUpSettings {
    DaemonId m_daemon;
    Duration m_timeout {};
    /// Time for which the log may deliver a version that a peer advertises.
    Duration m_patience {};
    Duration m_retryMin {};
    Duration m_retryMax {};
    std::uint64_t m_seed = 1;
};

/// Asks one peer at a time, the one with the newest version first and another one after a failure.
class PeerCatchUp {
public:
    PeerCatchUp(const PeerCatchUpSettings&, ServiceCounters&);

    void advertised(const PeerAdvertised&, const ConfigurationFold&);
    void setLive(std::span<const DaemonId>);
    /// The answer of a peer, adopted by the fold when it is newer. Returns whether it was.
    bool received(const PeerStateReceived&, ConfigurationFold&, TimePoint now);
    void tick(TimePoint now);
    /// Issues a fetch when one is due. isLogOut shortens the wait, isReady tells whether a file is known.
    void issue(const ConfigurationFold&, bool isLogOut, bool isReady, TimePoint now, std::vector<ConfigurationAction>&);
    std::optional<TimePoint> nextWake() const;

private:
    void failed(const DaemonId&, TimePoint now);
    const PeerAdvertised* candidate(const ConfigurationFold&, bool isReady) const;

    PeerCatchUpSettings m_settings;
    ServiceCounters& m_counters;
    Backoff m_backoff;
    std::map<DaemonId, PeerAdvertised> m_peers;
    std::optional<FetchFromPeer> m_fetch;
    /// The peer that failed last is asked again only when there is no other.
    std::optional<DaemonId> m_lastFailed;
    std::optional<TimePoint> m_fetchAt;
};

} // namespace sapphiredale::configuration
