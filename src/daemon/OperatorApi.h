// The operators' HTTP interface: configuration, status, tasks, workers, health and metrics.
#pragma once

#include "daemon/ClusterQueries.h"
#include "daemon/ConfigurationDriver.h"
#include "daemon/PeerLink.h"
#include "daemon/SchedulerDriver.h"
#include "forwarding/RequestBackend.h"
#include "observability/MetricsRegistry.h"

#include <atomic>
#include <functional>
#include <string>

namespace sapphiredale::daemon {

/// Serves the operator listener. All functions may be called from any thread.
class OperatorApi final : public forwarding::RequestHooks {
public:
    OperatorApi(const Settings&, ConfigurationDriver&, PeerLink&, SchedulerDriver&, ClusterQueries&,
        observability::MetricsRegistry&);

    /// A daemon that is leaving is no longer ready, so that the platform's balancer sends it nothing.
    void setLeaving() { m_leaving = true; }
    /// Called before the metrics are written, to copy counters that are kept elsewhere.
    void onMetrics(std::function<void()> function) { m_collect = std::move(function); }

    /// \name forwarding::RequestHooks
    /// @{
    std::shared_ptr<forwarding::ServiceRouting> service(const WorkloadId&) override { return nullptr; }
    void handle(const forwarding::LocalRequest&, const forwarding::LocalHandler&) override;
    void refused(ErrorKind) override;
    /// @}

private:
    struct Route;

    void putConfiguration(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void getConfiguration(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void validate(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void history(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void application(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void status(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void tasks(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void explanation(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void workers(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void health(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void ready(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void metrics(const forwarding::LocalRequest&, const forwarding::LocalHandler&);

    const Settings& m_settings;
    ConfigurationDriver& m_configuration;
    PeerLink& m_peers;
    SchedulerDriver& m_scheduler;
    ClusterQueries& m_queries;
    observability::MetricsRegistry& m_metrics;
    std::function<void()> m_collect;
    std::atomic<bool> m_leaving { false };
};

} // namespace sapphiredale::daemon
