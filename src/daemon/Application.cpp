// The daemon: construction, start and planned stop.

#include "daemon/Application.h"

#include "platform/AnswerBudget.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace sapphiredale::daemon {

using observability::LogEvent;
using observability::MetricName;

namespace {

    constexpr Duration hostInterval = std::chrono::seconds(1);
    constexpr Duration hostTimeout = std::chrono::seconds(2);
    constexpr Duration streamInterval = std::chrono::milliseconds(250);
    constexpr Duration waitStep = std::chrono::milliseconds(20);
    /// Longest time for the handover of leases in a planned stop, before requests are drained.
    constexpr Duration handoverTime = std::chrono::seconds(8);
    /// Time between the first answer that the daemon is not ready and the close of the caller listener.
    constexpr Duration leaveNotice = std::chrono::seconds(2);
    /// Room for the text of an operators' file in its JSON form.
    constexpr std::uint64_t operatorBodyBytes = std::uint64_t { 2 } << 20;

    platform::HttpSettings httpSettings(
        const Settings& settings, const Endpoint& endpoint, std::uint64_t seed, platform::TrafficObserver& traffic)
    {
        platform::HttpSettings result;
        result.m_address = endpoint.text();
        result.m_daemon = settings.m_daemon;
        result.m_failureDomain = settings.m_failureDomain;
        result.m_seed = seed;
        result.m_traffic = &traffic;
        return result;
    }

    forwarding::RequestServerSettings callerServerSettings(
        const Settings& settings, std::shared_ptr<forwarding::RequestBudget> budget)
    {
        forwarding::RequestServerSettings result;
        result.m_callerAddress = settings.m_listeners.m_callers.text();
        result.m_peerAddress = settings.m_listeners.m_relay.text();
        result.m_threads = settings.m_threads;
        result.m_maxHeader = settings.m_limits.m_maxHeaderBytes;
        result.m_maxBody = settings.m_limits.m_maxBodyBytes;
        result.m_headerTimeout = std::chrono::milliseconds(settings.m_limits.m_headerTimeoutMs);
        result.m_requestTimeout = std::chrono::milliseconds(settings.m_limits.m_requestTimeoutMs);
        result.m_budget = std::move(budget);
        result.m_defaultDeadline = std::chrono::milliseconds(settings.m_limits.m_defaultRequestDeadlineMs);
        result.m_maxDeadline = std::chrono::milliseconds(settings.m_limits.m_maxRequestDeadlineMs);
        result.m_daemon = settings.m_daemon;
        return result;
    }

    forwarding::RequestServerSettings operatorServerSettings(
        const Settings& settings, std::shared_ptr<forwarding::RequestBudget> budget)
    {
        forwarding::RequestServerSettings result;
        result.m_callerAddress = settings.m_listeners.m_operators.text();
        result.m_threads = 1;
        result.m_maxConnections = 200;
        result.m_maxLocalBody = operatorBodyBytes;
        result.m_requestTimeout = std::chrono::milliseconds(settings.m_limits.m_requestTimeoutMs);
        result.m_budget = std::move(budget);
        result.m_daemon = settings.m_daemon;
        return result;
    }

} // namespace

Application::Application(Settings settings, std::uint64_t seed, std::unique_ptr<observability::EventLog> log)
    : m_settings(std::move(settings))
    , m_log(std::move(log))
    , m_logService(m_runtime.context(), httpSettings(m_settings, m_settings.m_platform.m_log, seed, m_traffic))
    , m_hostList(m_runtime.context(), httpSettings(m_settings, m_settings.m_platform.m_hostList, seed, m_traffic))
    , m_peers(m_runtime, m_settings, seed, *m_log, m_metrics)
    , m_configuration(m_runtime, m_settings, seed, m_logService, m_peers, *m_log, m_metrics)
    , m_appender(m_runtime, m_logService, streamOf(m_settings.m_failureDomain), m_metrics)
    , m_scheduler(
          m_runtime, m_settings, seed, m_logService, m_peers, m_appender, m_minions, m_traffic, *m_log, m_metrics)
    , m_ownStream(m_runtime, m_logService, streamOf(m_settings.m_failureDomain), *this)
    , m_claims(m_runtime, m_settings, seed, m_peers, m_appender, m_metrics, [this] { m_ownStream.requestEnd(); })
    , m_jobs(m_settings, seed, m_peers, m_scheduler, m_metrics)
    , m_queries(m_settings, m_peers, m_scheduler, m_minions)
    , m_requests(m_runtime, m_settings, seed, m_peers, m_minions, m_claims, m_jobs, m_traffic, *m_log, m_metrics)
    , m_operatorApi(m_settings, m_configuration, m_peers, m_scheduler, m_queries, m_metrics)
    , m_requestBudget(std::make_shared<forwarding::RequestBudget>(
          (std::size_t { m_settings.m_limits.m_memoryMb } << 20) / forwarding::RequestBudget::memoryShare))
    , m_callerServer(callerServerSettings(m_settings, m_requestBudget), m_requests)
    , m_operatorServer(operatorServerSettings(m_settings, m_requestBudget), m_operatorApi)
    , m_hostAlarm(m_runtime, [this] { readHosts(); })
    , m_streamAlarm(m_runtime, [this] { superviseStreams(); })
{
    m_operatorApi.onMetrics([this] { collectMetrics(); });
    platform::AnswerBudget::ofProcess().setLimit(
        (std::size_t { m_settings.m_limits.m_memoryMb } << 20) / platform::AnswerBudget::memoryShare);
}

Application::~Application()
{
    m_callerServer.stop();
    m_operatorServer.stop();
    m_peers.stop();
    m_requests.stop();
    m_scheduler.stop();
    m_configuration.stop();
    m_runtime.stop();
}

Result<Unit> Application::start()
{
    m_runtime.start(m_settings.m_threads);
    for (const auto& [name, result] : { std::pair("peers", m_peers.start(*this)),
             std::pair("callers", m_callerServer.start()), std::pair("operators", m_operatorServer.start()) }) {
        if (!succeeded(result)) {
            m_log->write(LogEvent::ListenerFailed, { { "listener", name }, { "detail", errorOf(result).m_detail } });
            return errorOf(result);
        }
        m_log->write(LogEvent::ListenerOpened, { { "listener", name } });
    }
    m_configuration.start([this](const std::shared_ptr<const configuration::FileInForce>& file) { activated(file); });
    m_scheduler.start();
    m_requests.start();
    m_ownStream.start();
    m_runtime.post([this] { readHosts(); });
    m_runtime.post([this] { superviseStreams(); });
    m_log->write(LogEvent::DaemonStarted, { { "failureDomain", m_settings.m_failureDomain } });
    return Unit {};
}

void Application::shutDown()
{
    const TimePoint started = now();
    m_log->write(LogEvent::DrainStarted);
    m_operatorApi.setLeaving();
    m_peers.setLeaving();
    m_scheduler.beginRelease();
    waitUntil([this] { return m_scheduler.isReleased(); }, started + handoverTime);
    // The listener stays open while the balancer still sends requests to it.
    waitUntil([] { return false; }, started + leaveNotice);
    // Requests in flight keep their slots until they end; only then are the leases on minions given up.
    const bool drained = m_callerServer.drain(std::chrono::milliseconds(m_settings.m_limits.m_drainMs));
    m_requests.beginRelease();
    waitUntil([this] { return m_requests.isReleased(); }, now() + std::chrono::seconds(2));
    m_log->write(drained ? LogEvent::DrainFinished : LogEvent::DrainTimedOut);
    m_operatorServer.stop();
    m_callerServer.stop();
    m_log->write(LogEvent::DaemonStopped);
}

void Application::waitUntil(const std::function<bool()>& condition, TimePoint deadline)
{
    while (!condition() && now() < deadline)
        std::this_thread::sleep_for(waitStep);
}

void Application::called(const peer::Envelope& call)
{
    switch (peer::kindOf(call)) {
    case peer::MessageKind::ConfigurationRequest:
        m_configuration.requested(call);
        break;
    case peer::MessageKind::SubmitJob:
    case peer::MessageKind::CancelJob:
    case peer::MessageKind::JobStatus:
        m_jobs.called(call);
        break;
    case peer::MessageKind::ClaimRequest:
        m_claims.claimCalled(call);
        break;
    case peer::MessageKind::ClaimOutcome:
        m_claims.outcomeCalled(std::get<peer::ClaimOutcome>(call.m_payload));
        break;
    default:
        m_queries.called(call);
        break;
    }
}

void Application::configurationAdvertised(
    const DaemonId& daemon, const ownership::ConfigurationMark& mark, std::uint64_t nextOffset)
{
    m_configuration.advertised(daemon, mark, nextOffset);
}

void Application::membershipChanged()
{
    std::vector<DaemonId> live = m_peers.withMembership([this](const ownership::Membership& membership) {
        std::vector<DaemonId> daemons { m_settings.m_daemon };
        for (const ownership::DaemonView& daemon : membership.view()) {
            if (daemon.m_state == ownership::DaemonView::State::Live && !daemon.m_leaving)
                daemons.push_back(daemon.m_daemon);
        }
        return daemons;
    });
    std::sort(live.begin(), live.end());
    m_configuration.liveDaemonsChanged(std::move(live));
    m_scheduler.membershipChanged();
    m_requests.membershipChanged();
}

void Application::recordRead(const std::string& stream, const platform::LogRecord& record)
{
    const FailureDomainId domain = domainOf(stream);
    m_scheduler.recordRead(domain, record);
    if (domain == m_settings.m_failureDomain)
        m_claims.recordRead(record);
}

void Application::caughtUp(const std::string& stream, TimePoint queriedAt)
{
    m_peers.withMembership([&](ownership::Membership& membership) { membership.logContact(queriedAt); });
    m_scheduler.streamCaughtUp(domainOf(stream), queriedAt);
}

void Application::recordsExpired(const std::string& stream, std::uint64_t from, std::uint64_t earliest)
{
    if (from > 0)
        m_log->write(LogEvent::LogRecordsExpired, { { "stream", stream }, { "from", from }, { "earliest", earliest } });
}

void Application::activated(const std::shared_ptr<const configuration::FileInForce>& file)
{
    std::vector<FailureDomainId> domains;
    for (const FailureDomainSpec& domain : file->m_file.m_failureDomains) {
        if (!domain.m_lost)
            domains.push_back(domain.m_name);
    }
    m_peers.withMembership([&](ownership::Membership& membership) { membership.setDomains(domains, now()); });
    m_jobs.configure(file);
    m_queries.configure(file);
    m_claims.configure(*file);
    m_scheduler.configure(*file);
    m_requests.configure(*file);
    m_requests.setReady(true);
}

void Application::readHosts()
{
    m_hostList.hosts(hostTimeout, [this](const Result<platform::HostSnapshot>& result) {
        if (succeeded(result)) {
            m_scheduler.hostsListed(valueOf(result));
        } else {
            m_log->write(LogEvent::HostListUnavailable, { { "detail", errorOf(result).m_detail } });
        }
        m_hostAlarm.set(now() + hostInterval);
    });
}

std::vector<std::pair<std::string_view, std::uint64_t>> Application::connectionEnds() const
{
    const forwarding::RequestServerCounters callers = m_callerServer.counters();
    const forwarding::RequestServerCounters operators = m_operatorServer.counters();
    return { { "memory", callers.m_memoryEnds + operators.m_memoryEnds },
        { "header-limit", callers.m_headerEnds + operators.m_headerEnds },
        { "request-time", callers.m_callerTimeouts + operators.m_callerTimeouts },
        { "peer-connections", m_peers.refusedConnections() },
        { "answers", platform::AnswerBudget::ofProcess().refusedAnswers() } };
}

void Application::logConnectionEnds()
{
    for (const auto& [reason, count] : connectionEnds()) {
        std::uint64_t& logged = m_loggedEnds[reason];
        if (count > logged)
            m_log->write(LogEvent::ConnectionsClosed, { { "reason", reason }, { "count", count - logged } });
        logged = count;
    }
}

void Application::superviseStreams()
{
    if (const TimePoint time = now(); time >= m_nextEndsLine) {
        m_nextEndsLine = time + std::chrono::seconds(1);
        logConnectionEnds();
    }
    if (m_scheduler.needsStreamEnd())
        m_ownStream.requestEnd();
    const std::set<FailureDomainId> wanted = m_scheduler.foreignStreams();
    std::vector<std::unique_ptr<StreamFollower>> ended;
    {
        const std::lock_guard lock(m_streamsMutex);
        for (auto it = m_foreignStreams.begin(); it != m_foreignStreams.end();) {
            if (wanted.contains(it->first)) {
                ++it;
                continue;
            }
            ended.push_back(std::move(it->second));
            it = m_foreignStreams.erase(it);
        }
        for (const FailureDomainId& domain : wanted) {
            std::unique_ptr<StreamFollower>& follower = m_foreignStreams[domain];
            if (follower)
                continue;
            follower = std::make_unique<StreamFollower>(
                m_runtime, m_logService, streamOf(domain), static_cast<StreamObserver&>(*this));
            follower->start();
        }
    }
    m_streamAlarm.set(now() + streamInterval);
}

void Application::collectMetrics()
{
    constexpr std::string_view kinds[] = { "log", "host-list", "worker", "minion" };
    for (std::size_t i = 0; i < platform::clientKindCount; ++i) {
        const auto kind = static_cast<platform::ClientKind>(i);
        m_metrics.counter(MetricName::ControlBytesTotal, { kinds[i], "sent" }).raiseTo(m_traffic.sent(kind));
        m_metrics.counter(MetricName::ControlBytesTotal, { kinds[i], "received" }).raiseTo(m_traffic.received(kind));
    }
    m_peers.updateMetrics();
    m_requests.updateMetrics();
    m_scheduler.updateMetrics();
    const forwarding::RequestServerCounters requests = m_callerServer.counters();
    m_metrics.gauge(MetricName::CallerConnections).set(static_cast<double>(requests.m_openConnections));
    m_metrics.gauge(MetricName::RequestsInFlight, { "all" }).set(static_cast<double>(requests.m_activeRequests));
    for (const configuration::ReasonCount& counter : m_configuration.counters())
        m_metrics.counter(MetricName::RefusalReasonsTotal, { "configuration", counter.m_reason })
            .raiseTo(counter.m_count);
    m_metrics.gauge(MetricName::ConnectionBytes).set(static_cast<double>(m_requestBudget->usedBytes()));
    for (const auto& [reason, count] : connectionEnds())
        m_metrics.counter(MetricName::ConnectionEndsTotal, { reason }).raiseTo(count);
    m_metrics.counter(MetricName::LogLinesSuppressedTotal).raiseTo(m_log->suppressedLines());
}

FailureDomainId Application::domainOf(const std::string& stream) const
{
    constexpr std::string_view prefix = "domain-";
    return FailureDomainId(stream.substr(prefix.size()));
}

} // namespace sapphiredale::daemon
