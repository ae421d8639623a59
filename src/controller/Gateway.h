// The callers' interface: accepts, reports and cancels jobs. Every daemon serves it; job states come from the
// scheduler.
#pragma once

#include "controller/HttpListener.h"
#include "controller/JobAppender.h"
#include "controller/OpenAppends.h"
#include "controller/SchedulerTerm.h"
#include "controller/StoreRoute.h"
#include "observability/MetricsRegistry.h"
#include "platform/Documents.h"
#include "platform/HttpChannelPool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::controller {

/// How to reach the scheduler.
struct SchedulerLocation {
    /// The term held by this daemon; null when another daemon schedules.
    SchedulerTerm* m_localTerm = nullptr;
    /// Inner address of the scheduler; empty when there is none.
    std::string m_address;
    /// Whether the scheduler answered the last hello of this daemon.
    bool m_isAnswering = true;
};

/// Counts of answers since the process started.
struct GatewayCounters {
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_unknownOutcome = 0;
    std::uint64_t m_invalid = 0;
    std::uint64_t m_unrouted = 0;
    std::uint64_t m_stateQueries = 0;
    std::uint64_t m_unansweredQueries = 0;
};

/// Serves the requests of callers on one daemon.
class Gateway {
public:
    Gateway(boost::asio::io_context&, const SiteSettings&, observability::EventLog&, observability::MetricsRegistry&,
        std::function<SchedulerLocation()> scheduler);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Takes over a configuration; returns false, without effect, if a newer one or the same version is in force.
    bool configure(std::shared_ptr<const userplatform::Configuration>);
    bool isConfigured() const { return m_configuration != nullptr; }
    /// Null before the first configuration.
    const userplatform::Configuration* configuration() const { return m_configuration.get(); }
    bool requiresKeys() const { return m_configuration && m_configuration->m_requiresKeys; }
    /// `seenAt` tells when the call was sent that last found no newer configuration in the store. Without it the view
    /// counts as current.
    void setConfigurationView(std::function<TimePoint()> seenAt) { m_configurationSeenAt = std::move(seenAt); }
    /// Sets the teams whose new jobs the scheduler refuses, as of a hello that was sent at `askedAt`.
    void setRefusedTeams(std::vector<jobs::TeamRefusal>, TimePoint askedAt);
    void handle(ServerRequest, Responder);
    /// Stores a record for another daemon: 200 when it is stored, 503 when it is certain that it is not.
    void storeForPeer(const inner::StoreRequest&, const Responder&);
    bool isStoreUnavailable() const { return appender().isStoreUnavailable(); }
    const GatewayCounters& counters() const { return m_counters; }

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    const userplatform::QueueRoute* findRoute(const ServerRequest&) const;
    /// Finds the team of the call by its key. Returns false, after a refusal, if the call may not be served.
    bool authenticate(const CallPointer&);
    /// Returns false, after a refusal, if the call may not read or cancel a job of this team.
    bool authorize(const CallPointer&, const TeamId& teamOfJob);
    /// Refuses a call because of the configuration, unless a newer one that allows it may be in force elsewhere.
    void refuseByConfiguration(const CallPointer&, ErrorKind, const std::string& detail);
    /// The time until which new jobs of the team are refused because of its share; none if they are accepted.
    std::optional<TimePoint> refusedUntil(const TeamId&, TimePoint now) const;
    /// A refusal of a submission because of its team.
    struct TeamRefusal {
        const char* m_reason;
        std::string m_detail;
        unsigned m_retryAfterSeconds = 0;
        /// Whether the job is refused also if it is not known whether the scheduler knows it.
        bool m_isCertain = false;
    };
    void submit(const CallPointer&);
    /// Refuses a submission if the job was not submitted before.
    void refuseUnlessKnown(const CallPointer&, const std::shared_ptr<const jobs::JobSpec>&, const TeamRefusal&);
    void storeSubmission(const CallPointer&, const jobs::JobSpec&);
    void answerState(const CallPointer&);
    void cancel(const CallPointer&);
    void storeCancellation(const CallPointer&);
    void answerPending(const CallPointer&);
    struct Record;
    using RecordPointer = std::shared_ptr<Record>;
    /// Stores a record directly, or through the scheduler's daemon when the store does not serve this daemon or is
    /// slow.
    void store(const std::string& key, const std::string& value, TimePoint deadline, std::function<void(StoreOutcome)>);
    void storeDirectly(const RecordPointer&);
    void storeThroughScheduler(const RecordPointer&);
    void handleAttempt(const RecordPointer&, StoreOutcome);
    /// Appends the record to the partition of the scheduler's daemon, and passes it to the term of this daemon.
    void storeShared(const inner::StoreRequest&, TimePoint deadline, std::function<void(StoreOutcome)>);
    /// Sends the record through the scheduler's daemon too, if its own append is not answered soon.
    void watchOwnAppend(const RecordPointer&);
    const JobAppender& appender() const { return m_locateScheduler().m_localTerm ? m_sharedAppender : m_appender; }
    /// Whether the scheduler's daemon can store records on behalf of this one.
    bool canStoreThroughScheduler() const;
    void openChannels(const std::string& address);
    void queryState(const JobId&, TimePoint deadline, std::function<void(Result<inner::StateAnswer>)>);
    template <typename Decode, typename T>
    void ask(const char* path, const std::string& body, TimePoint deadline, Decode, std::function<void(Result<T>)>);
    void refuse(const CallPointer&, ErrorKind, const std::string& detail, unsigned retryAfterSeconds = 0);

    boost::asio::io_context& m_context;
    observability::EventLog& m_log;
    observability::MetricsRegistry& m_metrics;
    std::function<SchedulerLocation()> m_locateScheduler;
    std::shared_ptr<const userplatform::Configuration> m_configuration;
    std::function<TimePoint()> m_configurationSeenAt;
    /// Answer to the last hello, and the end of its validity.
    std::vector<jobs::TeamRefusal> m_refusedTeams;
    TimePoint m_refusedTeamsEnd {};
    OpenAppends m_openAppends;
    JobAppender m_appender;
    /// Stores the records of all daemons while this one schedules, in a partition that the others do not use first.
    JobAppender m_sharedAppender;
    /// Maximum length of the stored form of a job; its record beside the progress has a longer key.
    const std::size_t m_maxJobBytes;
    StoreRoute m_storeRoute;
    std::string m_channelAddress;
    std::shared_ptr<platform::HttpChannel> m_channel;
    /// Separate from the channel of the queries, so that slow stores do not delay them.
    std::shared_ptr<platform::HttpChannelPool> m_storeChannels;
    GatewayCounters m_counters;
};

} // namespace sapphiredale::controller
