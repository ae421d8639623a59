// The daemon: builds all parts from the settings, wires them, and starts and stops them in order.
#pragma once

#include "daemon/ClaimDriver.h"
#include "daemon/ClusterQueries.h"
#include "daemon/ConfigurationDriver.h"
#include "daemon/JobService.h"
#include "daemon/MinionDirectory.h"
#include "daemon/OperatorApi.h"
#include "daemon/PeerLink.h"
#include "daemon/RequestDriver.h"
#include "daemon/Runtime.h"
#include "daemon/SchedulerDriver.h"
#include "daemon/Settings.h"
#include "daemon/StreamFollower.h"
#include "forwarding/RequestServer.h"
#include "observability/EventLog.h"
#include "observability/MetricsRegistry.h"
#include "platform/HttpHostList.h"
#include "platform/HttpLogService.h"
#include "platform/TrafficObserver.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sapphiredale::daemon {

/// One daemon. start() and stop() are called from one thread.
class Application final : private PeerObserver, private StreamObserver {
public:
    /// Builds the parts; opens nothing yet. seed is random at each start of the process.
    Application(Settings, std::uint64_t seed, std::unique_ptr<observability::EventLog>);
    ~Application() override;
    Application(const Application&) = delete;
    Application& operator=(const Application&) = delete;

    /// Opens the listeners and starts the threads. Fails with the reason when a listener cannot be opened.
    Result<Unit> start();
    /// Planned stop: hands over leases, finishes requests, then ends. Takes at most the drain time of the settings.
    void shutDown();

private:
    // PeerObserver
    void called(const peer::Envelope&) override;
    void configurationAdvertised(
        const DaemonId&, const ownership::ConfigurationMark&, std::uint64_t nextOffset) override;
    void membershipChanged() override;
    // StreamObserver
    void recordRead(const std::string& stream, const platform::LogRecord&) override;
    void caughtUp(const std::string& stream, TimePoint queriedAt) override;
    void recordsExpired(const std::string& stream, std::uint64_t from, std::uint64_t earliest) override;

    void activated(const std::shared_ptr<const configuration::FileInForce>&);
    void readHosts();
    void superviseStreams();
    /// Connections closed and messages refused because of a limit, by reason.
    std::vector<std::pair<std::string_view, std::uint64_t>> connectionEnds() const;
    /// Logs those since the last call, a line for each reason.
    void logConnectionEnds();
    void collectMetrics();
    void waitUntil(const std::function<bool()>&, TimePoint deadline);
    FailureDomainId domainOf(const std::string& stream) const;

    Settings m_settings;
    std::unique_ptr<observability::EventLog> m_log;
    observability::MetricsRegistry m_metrics;
    platform::TrafficCounters m_traffic;
    Runtime m_runtime;

    platform::HttpLogService m_logService;
    platform::HttpHostList m_hostList;
    PeerLink m_peers;
    ConfigurationDriver m_configuration;
    BatchAppender m_appender;
    MinionDirectory m_minions;
    SchedulerDriver m_scheduler;
    StreamFollower m_ownStream;
    std::mutex m_streamsMutex;
    /// Followers of other domains' streams. Guarded by m_streamsMutex.
    std::map<FailureDomainId, std::unique_ptr<StreamFollower>> m_foreignStreams;
    ClaimDriver m_claims;
    JobService m_jobs;
    ClusterQueries m_queries;
    RequestDriver m_requests;
    OperatorApi m_operatorApi;
    /// Shared by the two servers.
    std::shared_ptr<forwarding::RequestBudget> m_requestBudget;
    forwarding::RequestServer m_callerServer;
    forwarding::RequestServer m_operatorServer;
    /// Ends that have been logged, by reason; used by superviseStreams() only.
    std::map<std::string_view, std::uint64_t> m_loggedEnds;
    TimePoint m_nextEndsLine {};
    Alarm m_hostAlarm;
    Alarm m_streamAlarm;
};

} // namespace sapphiredale::daemon
