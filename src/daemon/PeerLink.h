// Connection of this daemon to the others: membership, calls with replies, and the conversion of heartbeats.
#pragma once

#include "daemon/Runtime.h"
#include "daemon/Settings.h"
#include "observability/EventLog.h"
#include "observability/MetricsRegistry.h"
#include "ownership/Membership.h"
#include "peer/CorrelationTable.h"
#include "peer/PeerTransport.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sapphiredale::daemon {

/// Positions of the listeners in DaemonDescription::m_addresses.
enum class ListenerIndex : std::uint8_t { Peer, Relay, Caller, Operator };

/// The address of a listener of a daemon; empty when the daemon has not stated it yet.
std::string addressOf(const ownership::DaemonDescription&, ListenerIndex);

/// What PeerLink tells the rest of the daemon. Called on the event loop without locks held.
class PeerObserver {
public:
    virtual ~PeerObserver() = default;
    /// A call of another daemon; answered with PeerLink::reply.
    virtual void called(const peer::Envelope&) = 0;
    /// A daemon stated version and hash of its configuration.
    virtual void configurationAdvertised(const DaemonId&, const ownership::ConfigurationMark&, std::uint64_t nextOffset)
        = 0;
    /// The view of live daemons, schedulers or advertised slots may have changed.
    virtual void membershipChanged() = 0;
};

/// Messages and membership of one daemon. All functions may be called from any thread.
class PeerLink {
public:
    using ReplyHandler = std::function<void(Result<peer::Payload>)>;

    PeerLink(Runtime&, const Settings&, std::uint64_t incarnation, observability::EventLog&,
        observability::MetricsRegistry&);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    Result<Unit> start(PeerObserver&);
    void stop();

    /// Sends a call. The handler is called once: with the reply, or with DomainUnreachable when it was not sent and
    /// OutcomeUnknown when no reply came in time.
    void call(const DaemonId&, peer::Payload, Duration timeout, ReplyHandler);
    void reply(const peer::Envelope& call, peer::Payload);
    /// Sends a message that has no reply.
    void notify(const DaemonId&, peer::Payload);

    /// Calls f(membership) under the lock and returns its result. f must not block.
    template <typename Function> auto withMembership(Function&& f)
    {
        const std::lock_guard lock(m_mutex);
        return f(m_membership);
    }
    /// Hosts from the platform's list; names that are not daemons are ignored.
    void hostsListed(const std::vector<ownership::ListedHost>&);
    void setConfiguration(const ownership::ConfigurationMark&, std::uint64_t nextOffset);
    void setSchedulerEpoch(std::uint64_t);
    void setFreeSlots(const WorkloadId&, std::uint32_t free);
    /// States in the heartbeats that this daemon is leaving, and sends them at once.
    void setLeaving();
    /// Copies the counters of the transport to the metrics.
    void updateMetrics();
    /// Connections of other daemons that were closed because too many had sent no message of a peer.
    std::uint64_t refusedConnections() const { return m_transport->statistics().m_refusedConnections; }

private:
    void received(peer::Envelope&&);
    void heartbeatReceived(const peer::Envelope&);
    void step();
    void reportChanges(const std::vector<ownership::DaemonView>&);
    peer::Heartbeat toMessage(const ownership::Heartbeat&) const;
    static ownership::Heartbeat fromMessage(const DaemonId&, std::uint64_t incarnation, const peer::Heartbeat&);

    Runtime& m_runtime;
    const Settings& m_settings;
    std::uint64_t m_incarnation;
    observability::EventLog& m_log;
    observability::MetricsRegistry& m_metrics;
    PeerObserver* m_observer = nullptr;

    std::mutex m_mutex;
    /// Guarded by m_mutex, as are the members up to m_transport.
    ownership::Membership m_membership;
    peer::CorrelationTable<ReplyHandler, peer::Envelope> m_calls;
    std::uint64_t m_configurationNextOffset = 0;
    std::map<DaemonId, ownership::DaemonView::State> m_known;

    std::unique_ptr<peer::PeerTransport> m_transport;
    Alarm m_alarm;
};

} // namespace sapphiredale::daemon
