// Connects the domain scheduler to the workers, to the domain's stream and to the other daemons.
#pragma once

#include "configuration/ConfigurationFold.h"
#include "daemon/BatchAppender.h"
#include "daemon/MinionDirectory.h"
#include "daemon/PeerLink.h"
#include "daemon/Runtime.h"
#include "daemon/StreamFollower.h"
#include "observability/EventLog.h"
#include "observability/MetricsRegistry.h"
#include "ownership/DomainScheduler.h"
#include "platform/HttpWorkerControl.h"
#include "platform/TrafficObserver.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sapphiredale::daemon {

/// Name of the stream of a failure domain.
std::string streamOf(const FailureDomainId&);

/// The scheduler of this daemon's failure domain. All functions may be called from any thread.
class SchedulerDriver {
public:
    /// Receives whether the job is durable, or the refusal.
    using SubmitHandler = std::function<void(Result<bool>)>;

    SchedulerDriver(Runtime&, const Settings&, std::uint64_t seed, platform::HttpLogService&, PeerLink&, BatchAppender&,
        MinionDirectory&, platform::TrafficObserver&, observability::EventLog&, observability::MetricsRegistry&);

    void start();
    void stop();

    void configure(const configuration::FileInForce&);
    void membershipChanged();
    void hostsListed(const platform::HostSnapshot&);

    /// A record of a domain's stream was read; texts of other record types are ignored.
    void recordRead(const FailureDomainId& stream, const platform::LogRecord&);
    void streamCaughtUp(const FailureDomainId& stream, TimePoint queriedAt);

    void submit(const placement::JobRequest&, SubmitHandler);
    void cancel(const JobId&, SubmitHandler);
    peer::JobStatusReply jobStatus(const JobId&);
    placement::Explanation explain(const TaskId&);

    /// Starts an orderly handover.
    void beginRelease();
    bool isReleased();
    bool isScheduler();
    ownership::DomainSnapshot snapshot();
    /// Copies the state and the counters of the scheduler to the metrics.
    void updateMetrics();
    /// Domains whose streams the scheduler needs to read now, besides its own.
    std::set<FailureDomainId> foreignStreams();
    /// Whether the end of the own stream has to be read at once.
    bool needsStreamEnd();

private:
    struct WorkerClient {
        std::string m_address;
        std::unique_ptr<platform::HttpWorkerControl> m_control;
    };

    /// Calls f(scheduler, now), steps the core and carries out its actions.
    template <typename Function> void run(Function&& f);
    void carryOut(const ownership::OwnershipAction&, TimePoint);
    void send(const ownership::SendLease&);
    void send(const ownership::SendRelease&);
    void send(const ownership::SendCommands&);
    void append(const ownership::AppendRecord&);
    void reply(const ownership::ReplyToSubmitter&);
    BatchAppender& appenderOf(const FailureDomainId& stream);
    platform::HttpWorkerControl& clientOf(const WorkerId&, const std::string& address);
    void noticePhase(TimePoint);

    Runtime& m_runtime;
    const Settings& m_settings;
    std::uint64_t m_seed;
    platform::HttpLogService& m_logService;
    PeerLink& m_peers;
    /// Appends to the stream of this domain.
    BatchAppender& m_appender;
    MinionDirectory& m_minions;
    platform::TrafficObserver& m_traffic;
    observability::EventLog& m_log;
    observability::MetricsRegistry& m_metrics;

    std::mutex m_mutex;
    /// Guarded by m_mutex, as are the members up to m_alarm.
    ownership::DomainScheduler m_scheduler;
    std::map<WorkerId, WorkerClient> m_clients;
    /// Appends to the streams of other domains, for the takeover of their tasks.
    std::map<FailureDomainId, std::unique_ptr<BatchAppender>> m_foreignAppenders;
    /// Descriptions from every file that this daemon has seen: a former worker is still asked for its lease.
    std::map<WorkerId, WorkerSpec> m_knownWorkers;
    ownership::SubmissionNumber m_nextSubmission = 1;
    std::map<ownership::SubmissionNumber, SubmitHandler> m_submissions;
    std::set<DaemonId> m_otherSchedulers;
    ownership::DomainScheduler::Phase m_phase = ownership::DomainScheduler::Phase::Standby;
    std::uint64_t m_epoch = 0;
    bool m_stopped = false;

    Alarm m_alarm;
};

} // namespace sapphiredale::daemon
