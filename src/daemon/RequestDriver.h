// The request side of the daemon: one routing shard per service, the leases on minions, and the paths that the caller
// listener serves itself.
#pragma once

#include "configuration/ConfigurationFold.h"
#include "daemon/ClaimDriver.h"
#include "daemon/JobService.h"
#include "daemon/MinionDirectory.h"
#include "daemon/PeerLink.h"
#include "daemon/Runtime.h"
#include "forwarding/RequestServer.h"
#include "forwarding/ServiceShard.h"
#include "observability/EventLog.h"
#include "observability/MetricsRegistry.h"
#include "platform/HttpMinionControl.h"
#include "platform/TrafficObserver.h"
#include "routing/MinionLeaseTable.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <string>
#include <vector>

namespace sapphiredale::daemon {

/// Routing of all services and the leases on their minions. All functions may be called from any thread.
class RequestDriver final : public forwarding::RequestHooks {
public:
    RequestDriver(Runtime&, const Settings&, std::uint64_t seed, PeerLink&, MinionDirectory&, ClaimDriver&, JobService&,
        platform::TrafficObserver&, observability::EventLog&, observability::MetricsRegistry&);

    void start();
    /// Releases the leases of the minions; requests in flight are not affected.
    void beginRelease();
    bool isReleased();
    void stop();

    void configure(const configuration::FileInForce&);
    void membershipChanged();
    /// Copies the counters of the routers to the metrics.
    void updateMetrics();
    /// Caller listeners answer NotReady until a file is in force.
    void setReady(bool ready) { m_ready = ready; }

    /// \name forwarding::RequestHooks
    /// @{
    std::shared_ptr<forwarding::ServiceRouting> service(const WorkloadId&) override;
    void claim(const forwarding::ClaimRequest&, const forwarding::ClaimHandler&) override;
    void recordOutcome(const forwarding::ClaimOutcome&) override;
    void handle(const forwarding::LocalRequest&, const forwarding::LocalHandler&) override;
    void tick() override;
    void refused(ErrorKind) override;
    void answered(unsigned status, Duration) override;
    /// @}

private:
    using Shard = forwarding::ServiceShard;
    struct Lease {
        std::string m_address;
        std::unique_ptr<platform::HttpMinionControl> m_control;
    };

    std::shared_ptr<Shard> shardOf(const WorkloadId&) const;
    std::vector<std::pair<WorkloadId, std::shared_ptr<Shard>>> shards() const;
    void stepLeases();
    void send(const routing::MinionLeaseRequest&);
    void leased(const routing::MinionLeaseRequest&, const Result<platform::MinionLeaseAnswer>&);
    void applyChanges();
    void supervise();
    void refreshMinions();
    void takeMinions();
    void reportSlots();

    Runtime& m_runtime;
    const Settings& m_settings;
    std::uint64_t m_seed;
    PeerLink& m_peers;
    MinionDirectory& m_directory;
    ClaimDriver& m_claims;
    JobService& m_jobs;
    platform::TrafficObserver& m_traffic;
    observability::EventLog& m_log;
    observability::MetricsRegistry& m_metrics;
    std::atomic<bool> m_ready { false };

    mutable std::shared_mutex m_shardsMutex;
    /// Guarded by m_shardsMutex; every shard has its own lock.
    std::map<WorkloadId, std::shared_ptr<Shard>> m_shards;

    std::mutex m_mutex;
    /// Guarded by m_mutex, as are the members up to m_leaseAlarm.
    routing::MinionLeaseTable m_table;
    std::map<MinionId, Lease> m_leases;
    std::uint64_t m_takenGeneration = 0;
    std::map<DaemonId, TimePoint> m_peerHeardAt;
    TimePoint m_nextRefresh {};
    bool m_stopped = false;

    Alarm m_leaseAlarm;
    Alarm m_superviseAlarm;
};

} // namespace sapphiredale::daemon
