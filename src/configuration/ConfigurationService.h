// The configuration core of one daemon: it follows the configuration stream, applies operators' files, refreshes the
// stream and catches up from peers while the log is out.
#pragma once

#include "configuration/ConfigurationFold.h"
#include "configuration/ConfigurationMessages.h"
#include "configuration/ServiceCounters.h"
#include "model/Identifier.h"
#include "model/Time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::configuration {

/// Settings that build a ConfigurationService.
struct ConfigurationServiceSettings {
    DaemonId m_daemon;
    /// Random at each start of the daemon: it makes record identifiers unique and spreads retries.
    std::uint64_t m_seed = 1;
    /// Time for which the log keeps a record.
    Duration m_retention = std::chrono::hours(24);
    /// Delay between the candidates for a refresh.
    Duration m_refreshStagger = std::chrono::seconds(30);
    /// Longest wait of the poll for new records.
    Duration m_pollWait = std::chrono::seconds(20);
    /// Time after the wait in which an answer of the log is expected.
    Duration m_logTimeout = std::chrono::seconds(2);
    Duration m_retryMin = std::chrono::milliseconds(200);
    Duration m_retryMax = std::chrono::seconds(5);
    /// Time after which an undecided apply is answered with ApplyUndecided.
    Duration m_applyTimeout = std::chrono::seconds(8);
    /// Time after which a read is answered unconfirmed.
    Duration m_readTimeout = std::chrono::seconds(2);
    Duration m_peerTimeout = std::chrono::seconds(2);
    /// Time for which a daemon that is behind a peer waits for the log before it asks the peer.
    Duration m_peerPatience = std::chrono::milliseconds(500);
    std::uint32_t m_readMaxBytes = 1024 * 1024;
    /// Applies that may be undecided at the same time; more are refused with Overloaded.
    std::uint32_t m_maxPendingApplies = 64;
};

/// Local time and shared time of a step.
struct StepTime {
    TimePoint m_now;
    WallTime m_wall;
};

enum class ConfigurationReadiness : std::uint8_t {
    /// Neither the end of the log nor a peer's state was seen.
    NotReady,
    /// The end of the log was read and no file was ever accepted; an operator can apply the first one.
    NoFile,
    Ready,
};

/// The configuration core of one daemon.
class ConfigurationService {
public:
    explicit ConfigurationService(const ConfigurationServiceSettings&);
    ~ConfigurationService();
    ConfigurationService(ConfigurationService&&) noexcept;
    ConfigurationService& operator=(ConfigurationService&&) noexcept;

    /// Handles one input and returns the actions to carry out. The first input should be a Tick, which starts the poll.
    std::vector<ConfigurationAction> step(const ConfigurationInput&, const StepTime&);
    /// Time at which a Tick is due.
    std::optional<TimePoint> nextWake() const;

    const ConfigurationFold& fold() const;
    /// What heartbeats advertise to peers.
    PeerAdvertised advertisement() const;
    /// Text of encodeState for a peer that asks; empty when this daemon has nothing to give.
    std::string stateForPeer() const;

    ConfigurationReadiness readiness() const;
    /// Readable reason of NotReady; empty otherwise.
    std::string readinessDetail() const;
    /// True while the last read of the log failed.
    bool isLogOut() const;
    std::vector<ReasonCount> counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace sapphiredale::configuration
