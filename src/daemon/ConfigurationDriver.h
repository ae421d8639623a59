// Connects the configuration core to the log and to the other daemons.
#pragma once

#include "configuration/ConfigurationService.h"
#include "daemon/PeerLink.h"
#include "daemon/Runtime.h"
#include "observability/EventLog.h"
#include "observability/MetricsRegistry.h"
#include "peer/ConfigurationChunks.h"
#include "platform/HttpLogService.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::daemon {

/// What an operator's read needs: the state at the time of the answer.
struct ConfigurationView {
    std::shared_ptr<const configuration::FileInForce> m_file;
    std::vector<configuration::HistoryEntry> m_history;
    /// False when the end of the log could not be read, so that another daemon may know a newer version.
    bool m_confirmed = false;
    /// Outcome of the record that was asked for.
    configuration::RecordOutcome m_outcome;
};

/// The configuration of one daemon. All functions may be called from any thread.
class ConfigurationDriver {
public:
    using ApplyHandler = std::function<void(
        const std::variant<configuration::ApplyAccepted, configuration::ApplyRefused, configuration::ApplyUndecided>&)>;
    using ReadHandler = std::function<void(const ConfigurationView&)>;
    using ActivationHandler = std::function<void(std::shared_ptr<const configuration::FileInForce>)>;

    ConfigurationDriver(Runtime&, const Settings&, std::uint64_t seed, platform::HttpLogService&, PeerLink&,
        observability::EventLog&, observability::MetricsRegistry&);

    /// onActivation is called on the event loop for every version that comes into force on this daemon.
    void start(ActivationHandler onActivation);
    void stop();

    /// Applies a file; base is the version from If-Match.
    void apply(std::string text, std::optional<std::uint64_t> base, std::string author, ApplyHandler);
    /// Answers when the end of the log has been read, or unconfirmed after a timeout. record selects m_outcome.
    void read(const RecordId& record, ReadHandler);
    /// The file in force on this daemon now, or null.
    std::shared_ptr<const configuration::FileInForce> inForce() const;

    void advertised(const DaemonId&, const ownership::ConfigurationMark&, std::uint64_t nextOffset);
    void requested(const peer::Envelope& call);
    void liveDaemonsChanged(std::vector<DaemonId>);

    bool isReady() const;
    std::string readinessDetail() const;
    bool isLogOut() const;
    std::vector<configuration::ReasonCount> counters() const;

private:
    struct PendingRead {
        RecordId m_record;
        ReadHandler m_handler;
    };
    /// Work that has to be done without the lock.
    using Deferred = std::vector<std::function<void()>>;

    void input(const configuration::ConfigurationInput&);
    void carryOut(const configuration::ConfigurationAction&, Deferred&);
    void readLog(const configuration::ReadLog&);
    void appendRecord(const configuration::AppendRecord&);
    void fetchChunk(const DaemonId&, std::shared_ptr<peer::ConfigurationAssembly>, TimePoint deadline);
    void activated(const std::shared_ptr<const configuration::FileInForce>&);
    void publish();

    Runtime& m_runtime;
    std::string m_stream;
    platform::HttpLogService& m_logService;
    PeerLink& m_peers;
    observability::EventLog& m_log;
    observability::MetricsRegistry& m_metrics;
    ActivationHandler m_onActivation;

    mutable std::mutex m_mutex;
    /// Guarded by m_mutex, as are the members up to m_alarm.
    configuration::ConfigurationService m_service;
    configuration::RequestToken m_nextToken = 1;
    std::map<configuration::RequestToken, ApplyHandler> m_applies;
    std::map<configuration::RequestToken, PendingRead> m_reads;
    std::vector<DaemonId> m_live;
    bool m_logWasOut = false;
    bool m_stopped = false;

    Alarm m_alarm;
};

} // namespace sapphiredale::daemon
