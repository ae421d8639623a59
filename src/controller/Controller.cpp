// Composition, readiness and planned stop of a daemon on the users' platform.

#include "controller/Controller.h"

#include "controller/Clock.h"
#include "controller/GuardedLoop.h"
#include "controller/PeerCall.h"
#include "controller/TeamMetrics.h"
#include "platform/AnswerBudget.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace sapphiredale::controller {

using observability::LogEvent;

namespace {

    /// Daemons hold a few connections to each other, and a cell has some 40 of them.
    constexpr std::size_t maxInnerConnections = 1024;
    /// Of the readiness and of the operators' listener, whose clients are a few programs of the platform.
    constexpr std::size_t maxLocalConnections = 256;
    constexpr Duration tickInterval = std::chrono::milliseconds(250);
    constexpr Duration helloInterval = std::chrono::milliseconds(1000);
    constexpr Duration helloTimeout = std::chrono::milliseconds(700);
    /// The daemon is not ready while its view of the store is older than this.
    constexpr Duration maxStoreViewAge = std::chrono::milliseconds(3500);
    /// Upper bound of the random part of the claim delay.
    constexpr std::uint64_t maxClaimDelayMs = 150;
    /// Time for which callers are served after the stop signal; the load balancer needs two probes, 1 s apart.
    constexpr Duration drainNoticePeriod = std::chrono::milliseconds(2600);
    constexpr Duration stopPollInterval = std::chrono::milliseconds(20);
    /// Time before the end of the grace period at which pending requests are abandoned.
    constexpr Duration stopMargin = std::chrono::milliseconds(500);
    /// Difference between the longest lease of a worker and the lease asked for; covers the difference of clocks.
    constexpr Duration leaseMargin = std::chrono::milliseconds(2000);
    /// Time since the last renewal of the term up to which full leases are granted: several renewals, also while the
    /// store takes 0.4 s for each. Leases end earlier in longer outages of the store.
    constexpr Duration renewalSlack = std::chrono::milliseconds(2500);
    /// A lease ends later than it was granted for by this part of it, since a worker's clock may be slow, and this
    /// time.
    constexpr int workerDriftDivisor = 20;
    constexpr Duration lateOrderMargin = std::chrono::milliseconds(200);

    /// Claim delay by the capacity of the host, so that hosts with more capacity claim first: scheduling takes up to
    /// 0.15 of a core and 20 Mbit/s at 350 workers.
    Duration capacityClaimDelay(const SiteSettings& settings)
    {
        constexpr std::uint32_t noDelayCoreMillis = 400;
        constexpr std::uint32_t shortDelayCoreMillis = 200;
        constexpr std::uint32_t noDelayLinkMbps = 100;
        Duration delay = settings.m_coreMillis >= noDelayCoreMillis ? std::chrono::milliseconds(0)
            : settings.m_coreMillis >= shortDelayCoreMillis         ? std::chrono::milliseconds(100)
                                                                    : std::chrono::milliseconds(500);
        if (settings.m_linkMbps < noDelayLinkMbps)
            delay += std::chrono::milliseconds(300);
        return delay;
    }

    Duration workerLease(const SiteSettings& settings) { return settings.m_longestLease - leaseMargin; }

    jobs::ElectionSettings electionSettings(const SiteSettings& settings, std::uint64_t seed)
    {
        jobs::ElectionSettings election;
        election.m_daemon = settings.m_daemon;
        election.m_address = settings.m_inner;
        election.m_claimDelay = std::chrono::milliseconds(seed % maxClaimDelayMs);
        election.m_weakHostDelay = capacityClaimDelay(settings);
        election.m_workerLease = workerLease(settings);
        election.m_leaseReach = election.m_workerLease + renewalSlack;
        election.m_leaseMargin = election.m_workerLease / workerDriftDivisor + lateOrderMargin;
        return election;
    }

    ServerResponse errorResponse(ErrorKind kind)
    {
        const ErrorAnswer& answer = answerFor(kind);
        return { answer.m_httpStatus, "{}" };
    }

} // namespace

/// Counts connections that ended because of a limit, and logs them at most once per reason and second.
class Controller::ConnectionReporter {
public:
    ConnectionReporter(ConnectionBudget& budget, observability::EventLog& log, observability::MetricsRegistry& metrics)
        : m_log(log)
        , m_metrics(metrics)
    {
        budget.setObserver([this](ConnectionEnd end) { report(end); });
    }

private:
    struct Reason {
        std::uint64_t m_count = 0;
        TimePoint m_nextLine {};
    };

    void report(ConnectionEnd end)
    {
        m_metrics.counter(observability::MetricName::ConnectionEndsTotal, { nameOf(end) }).add();
        Reason& reason = m_reasons[static_cast<std::size_t>(end)];
        ++reason.m_count;
        const TimePoint now = bootNow();
        if (now < reason.m_nextLine)
            return;
        reason.m_nextLine = now + std::chrono::seconds(1);
        m_log.write(
            LogEvent::ConnectionsClosed, { { "reason", nameOf(end) }, { "count", std::exchange(reason.m_count, 0) } });
    }

    observability::EventLog& m_log;
    observability::MetricsRegistry& m_metrics;
    std::array<Reason, connectionEndCount> m_reasons;
};

/// Applies each newer configuration; an older or unreadable one changes nothing.
class Controller::ConfigurationObserver final : public FollowerObserver {
public:
    explicit ConfigurationObserver(Controller& controller)
        : m_controller(controller)
    {
    }

    void recordRead(const userplatform::KeyedRecord& record) override
    {
        if (record.m_key != userplatform::configurationKey || !record.m_value)
            return;
        Result<userplatform::Configuration> configuration = userplatform::decodeConfiguration(*record.m_value);
        if (!succeeded(configuration)) {
            m_controller.m_log->write(
                LogEvent::ConfigurationRefused, { { "detail", errorOf(configuration).m_detail } });
            return;
        }
        const auto accepted = std::make_shared<const userplatform::Configuration>(valueOf(std::move(configuration)));
        if (!m_controller.m_gateway.configure(accepted))
            return;
        ListenerLimits limits;
        limits.m_maxHeaderBytes = accepted->m_maxHeaderBytes;
        limits.m_maxBodyBytes = accepted->m_maxBodyBytes;
        limits.m_requestTimeout = accepted->m_headerTimeout;
        limits.m_idleTimeout = accepted->m_idleTimeout;
        m_controller.m_callers.setLimits(limits);
        m_controller.m_log->write(LogEvent::ConfigurationAccepted,
            { { "version", accepted->m_version }, { "routes", std::uint64_t { accepted->m_routes.size() } },
                { "teams", std::uint64_t { accepted->m_teams.size() } } });
        if (m_controller.m_term)
            m_controller.m_term->setTeams(accepted->m_teams);
    }

private:
    Controller& m_controller;
};

Controller::Controller(SiteSettings settings, std::uint64_t seed, std::unique_ptr<observability::EventLog> log,
    std::function<SiteSettingsResult()> readSettings)
    : m_settings(std::move(settings))
    , m_readSettings(std::move(readSettings))
    , m_log(std::move(log))
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_tickTimer(m_context)
    , m_stopTimer(m_context)
    , m_adviser(m_settings.m_adviser.empty()
              ? nullptr
              : std::make_unique<userplatform::AdviceConnection>(m_context, m_settings.m_adviser))
    , m_adviceDispatcher(m_context, m_adviser.get())
    , m_election(m_context, m_settings.m_store, electionSettings(m_settings, seed), [this] { onElectionChanged(); })
    , m_gateway(m_context, m_settings, *m_log, m_metrics, [this] { return scheduler(); })
    , m_configurationObserver(std::make_unique<ConfigurationObserver>(*this))
    , m_configuration(m_context, m_settings.m_store, { { userplatform::operatorTopic } }, *m_configurationObserver)
    , m_connectionBudget(std::make_shared<ConnectionBudget>(
          (std::size_t { m_settings.m_memoryMb } << 20) / ConnectionBudget::memoryShare))
    , m_connectionReporter(std::make_unique<ConnectionReporter>(*m_connectionBudget, *m_log, m_metrics))
    , m_callers(
          m_context, userplatform::deadlineHeader,
          [this](
              ServerRequest request, Responder respond) { m_gateway.handle(std::move(request), std::move(respond)); },
          m_connectionBudget)
    , m_readiness(
          m_context, "",
          [this](const ServerRequest& request, const Responder& respond) { answerReadiness(request, respond); },
          m_connectionBudget)
    , m_inner(
          m_context, "",
          [this](const ServerRequest& request, Responder respond) { handleInnerRequest(request, std::move(respond)); },
          m_connectionBudget)
    , m_operators(
          m_context, "",
          [this](const ServerRequest& request, const Responder& respond) { handleOperatorRequest(request, respond); },
          m_connectionBudget)
{
}

Controller::~Controller() = default;

Result<Unit> Controller::start()
{
    const std::pair<HttpListener*, std::string> listeners[]
        = { { &m_callers, m_settings.m_callers }, { &m_readiness, m_settings.m_readiness },
              { &m_inner, m_settings.m_inner }, { &m_operators, m_settings.m_operators } };
    for (const auto& [listener, address] : listeners) {
        if (Result<Unit> opened = listener->open(address); !succeeded(opened)) {
            m_log->write(LogEvent::ListenerFailed, { { "listener", address }, { "detail", errorOf(opened).m_detail } });
            return opened;
        }
    }
    // Daemons keep their connections to each other open between messages.
    ListenerLimits innerLimits;
    platform::AnswerBudget::ofProcess().setLimit(
        (std::size_t { m_settings.m_memoryMb } << 20) / platform::AnswerBudget::memoryShare);
    innerLimits.m_idleTimeout = std::chrono::seconds(60);
    innerLimits.m_maxConnections = maxInnerConnections;
    m_inner.setLimits(innerLimits);
    m_gateway.setConfigurationView([this] { return m_configuration.caughtUpAt(); });
    ListenerLimits localLimits;
    localLimits.m_maxConnections = maxLocalConnections;
    m_readiness.setLimits(localLimits);
    m_operators.setLimits(localLimits);
    m_election.start();
    m_configuration.start();
    awaitSignal();
    tick();
    m_log->write(LogEvent::DaemonStarted, { { "failureDomain", m_settings.m_failureDomain.value() } });
    return Unit {};
}

void Controller::run()
{
    runGuarded(m_context, [this](const char* error) { handleUnexpectedError(error); });
    m_log->write(LogEvent::DaemonStopped);
}

void Controller::handleUnexpectedError(const char* error)
{
    m_log->write(LogEvent::UnexpectedError, { { "detail", error }, { "hadTerm", m_term != nullptr } });
    if (!m_term)
        return;
    // The scheduler's state may be half changed. The next term reads it from the store.
    m_election.stepDown();
    m_term.reset();
}

void Controller::awaitSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            reload();
        } else {
            beginStop();
        }
        awaitSignal();
    });
}

void Controller::reload()
{
    const SiteSettingsResult result = m_readSettings();
    if (const auto* faults = std::get_if<std::vector<daemon::SettingsFault>>(&result)) {
        m_log->write(LogEvent::ConfigurationRefused, { { "detail", daemon::describe(*faults) } });
        return;
    }
    // Changed addresses and bounds take effect after a restart.
    m_log->write(LogEvent::SettingsReloaded, { { "needsRestart", std::get<SiteSettings>(result) != m_settings } });
}

SchedulerLocation Controller::scheduler() const
{
    if (m_term)
        return { m_term.get(), m_settings.m_inner, true };
    const std::string& address = m_election.election().holderAddress();
    return { nullptr, address == m_settings.m_inner ? std::string() : address, m_isHelloAnswered };
}

void Controller::onElectionChanged()
{
    const jobs::Election& election = m_election.election();
    // A new scheduler can send its first questions as soon as it has received hellos.
    if (election.holderAddress() != m_helloAddress) {
        m_nextHelloAt = {};
        sendHello();
    }
    const bool isOver = m_term && (!election.isNewestTerm() || election.term() != m_term->term());
    if (isOver) {
        m_log->write(LogEvent::SchedulerCeased, { { "term", m_term->term() } });
        m_term.reset();
    }
    if (m_term || !election.isNewestTerm() || m_isStopping)
        return;
    TermSettings settings;
    settings.m_term = election.term();
    settings.m_progressPartition = election.progressPartition();
    settings.m_earlierLeases = election.earlierLeases();
    settings.m_lease = workerLease(m_settings);
    TermAuthority authority;
    authority.m_mayIssueOrders = [this] { return m_election.election().holdsTerm(bootNow()); };
    authority.m_steppedDown = [this] {
        // The follower will read the record of the later term; until then this daemon gives no orders.
        m_election.stepDown();
        m_term.reset();
    };
    authority.m_announceProgressPartition
        = [this](std::uint32_t partition) { m_election.announceProgressPartition(partition); };
    authority.m_isProgressPartitionAnnounced = [this](std::uint32_t partition) {
        return m_election.election().isNewestTerm() && m_election.election().progressPartition() == partition;
    };
    authority.m_grantLeases = [this] { m_election.grantLeases(); };
    authority.m_leaseLimit = [this] { return m_election.election().leaseLimit(); };
    authority.m_successorWaitEnd = [this] { return m_election.election().successorWaitEnd(bootNow()); };
    authority.m_announceLateLeases = [this](TimePoint end) { m_election.announceLateLeases(end); };
    authority.m_newestNumber = [this] { return m_election.election().newestNumber(); };
    authority.m_announceLeaseEnds
        = [this](std::map<WorkerId, TimePoint> ends) { m_election.announceLeaseEnds(std::move(ends)); };
    authority.m_isLeaseWithheld
        = [this](const WorkerId& worker) { return m_election.election().isLeaseWithheld(worker); };
    m_term = std::make_unique<SchedulerTerm>(
        m_context, m_settings, settings, m_adviceDispatcher, *m_log, std::move(authority));
    if (const userplatform::Configuration* configuration = m_gateway.configuration())
        m_term->setTeams(configuration->m_teams);
    m_term->start();
}

void Controller::tick()
{
    const bool isReadyNow = isReady();
    if (isReadyNow != m_wasReady) {
        m_wasReady = isReadyNow;
        m_log->write(isReadyNow ? LogEvent::DependencyRegained : LogEvent::DependencyLost,
            { { "dependency", "store" }, { "ready", isReadyNow } });
    }
    sendHello();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

void Controller::sendHello()
{
    const TimePoint now = bootNow();
    const SchedulerLocation place = scheduler();
    const bool isNeeded = m_adviser || m_gateway.requiresKeys();
    if (place.m_localTerm != nullptr || place.m_address.empty() || !isNeeded || now < m_nextHelloAt)
        return;
    m_nextHelloAt = now + helloInterval;
    if (place.m_address != m_helloAddress) {
        m_helloAddress = place.m_address;
        m_helloChannel = openPeerChannel(m_context, m_helloAddress);
        m_isHelloAnswered = true;
        m_gateway.setRefusedTeams({}, now);
    }
    const inner::Hello hello { m_settings.m_daemon, m_settings.m_inner, m_isStopping, m_adviser != nullptr };
    m_helloChannel->send(peerCall(inner::helloPath, inner::encode(hello), helloTimeout),
        [this, address = m_helloAddress, now](const Result<platform::HttpAnswer>& result) {
            if (address != m_helloAddress)
                return;
            m_isHelloAnswered = succeeded(result) && valueOf(result).m_status == 200;
            if (m_isHelloAnswered)
                m_gateway.setRefusedTeams(inner::decodeRefusedTeams(valueOf(result).m_body, bootNow()), now);
        });
}

bool Controller::isReady() const
{
    return !m_isStopping && m_gateway.isConfigured() && bootNow() - m_configuration.caughtUpAt() < maxStoreViewAge
        && !m_gateway.isStoreUnavailable();
}

void Controller::answerReadiness(const ServerRequest&, const Responder& respond)
{
    respond({ isReady() ? 200U : 503U, "{}" });
}

void Controller::handleInnerRequest(const ServerRequest& request, Responder respond)
{
    if (request.m_target == inner::advisePath)
        return handleAdviceRequest(request, std::move(respond));
    if (request.m_target == inner::helloPath) {
        const Result<inner::Hello> hello = inner::decodeHello(request.m_body);
        if (!succeeded(hello))
            return respond(errorResponse(ErrorKind::NotScheduler));
        // Registered even without a term, since other daemons may read a claim before the claiming daemon does.
        m_adviceDispatcher.helloReceived(valueOf(hello));
        if (m_term)
            m_term->requestStep();
        return respond(
            { 200, m_term ? inner::encodeRefusedTeams(m_term->refusedTeams(), bootNow()) : std::string("{}") });
    }
    if (request.m_target == inner::storePath) {
        const Result<inner::StoreRequest> record = inner::decodeStoreRequest(request.m_body);
        if (!succeeded(record))
            return respond(errorResponse(ErrorKind::NotScheduler));
        return m_gateway.storeForPeer(valueOf(record), respond);
    }
    const Result<std::string> name = inner::decodeName(request.m_body);
    if (!m_term || !succeeded(name))
        return respond(errorResponse(ErrorKind::NotScheduler));
    if (request.m_target == inner::statePath) {
        const JobId job(valueOf(name));
        const Result<jobs::JobState> state = m_term->state(job);
        return respond(succeeded(state)
                ? ServerResponse { 200, inner::encode(inner::StateAnswer { valueOf(state), m_term->teamOf(job) }) }
                : errorResponse(errorOf(state).m_kind));
    }
    if (request.m_target == inner::pendingPath) {
        const Result<std::uint32_t> pending = m_term->pending(valueOf(name));
        return respond(succeeded(pending) ? ServerResponse { 200, inner::encodeCount(valueOf(pending)) }
                                          : errorResponse(errorOf(pending).m_kind));
    }
    respond(errorResponse(ErrorKind::NotFound));
}

void Controller::handleAdviceRequest(const ServerRequest& request, Responder respond)
{
    const Result<jobs::AdviceRequest> question = inner::decodeQuestion(request.m_body);
    if (!m_adviser || !succeeded(question))
        return respond(errorResponse(ErrorKind::NotReady));
    ++m_adviceCalls;
    m_adviser->ask(valueOf(question), adviceTimeout(valueOf(question)),
        [respond = std::move(respond)](const Result<jobs::Advice>& result) {
            if (!succeeded(result))
                return respond(errorResponse(ErrorKind::NotReady));
            respond({ 200, inner::encode(valueOf(result)) });
        });
}

void Controller::handleOperatorRequest(const ServerRequest& request, const Responder& respond)
{
    if (request.m_target != "/metrics")
        return respond(errorResponse(ErrorKind::NotFound));
    const GatewayCounters& gateway = m_gateway.counters();
    m_metrics.gauge(observability::MetricName::ConnectionBytes)
        .set(static_cast<double>(m_connectionBudget->usedBytes()));
    std::string text = m_metrics.prometheusText();
    const auto put = [&text](const std::string& name, std::uint64_t value) {
        text += "sapphire_" + name + ' ' + std::to_string(value) + '\n';
    };
    put("accepted_jobs_total", gateway.m_accepted);
    put("refused_jobs_total", gateway.m_refused);
    put("unknown_outcomes_total", gateway.m_unknownOutcome);
    put("invalid_requests_total", gateway.m_invalid);
    put("unrouted_requests_total", gateway.m_unrouted);
    put("state_queries_total", gateway.m_stateQueries);
    put("unanswered_queries_total", gateway.m_unansweredQueries);
    put("advice_calls_total", m_adviceCalls);
    put("refused_answers_total", platform::AnswerBudget::ofProcess().refusedAnswers());
    if (m_term && m_term->scheduler() != nullptr) {
        const jobs::SchedulerCounters& counters = m_term->scheduler()->counters();
        put("term", m_term->term());
        const jobs::JobScheduler::HeldWork held = m_term->scheduler()->heldWork();
        put("held_steps", held.m_steps);
        put("held_tasks", held.m_tasks);
        put("starts_total", counters.m_starts);
        put("refused_starts_total", counters.m_refusedStarts);
        put("unknown_starts_total", counters.m_unknownStarts);
        put("stops_total", counters.m_stops);
        put("questions_total", counters.m_questions);
        put("done_runs_total", counters.m_doneRuns);
        put("failed_runs_total", counters.m_failedRuns);
        put("lost_runs_total", counters.m_lostRuns);
        put("stalled_runs_total", counters.m_stalledRuns);
        put("crash_suspects_total", counters.m_crashSuspects);
        text += teamMetricsText(m_term->scheduler()->teamUses());
        put("headroom_passes_total", counters.m_headroomPasses);
        put("team_refusals_total", m_term->scheduler()->teamRefusalCount());
        for (const jobs::TeamJobs& team : m_term->scheduler()->jobsByTeam()) {
            const std::string label = "{team=" + quotedLabel(team.m_team.value()) + ",share=\"";
            put("team_jobs" + label + "within\"}", team.m_within);
            put("team_jobs" + label + "beyond\"}", team.m_beyond);
        }
        const jobs::LocalityCounters& locality = m_term->scheduler()->localityCounters();
        put("locality_waits_total", locality.m_begun);
        put("locality_waits_ended_near_total", locality.m_endedNear);
        put("locality_waits_ended_elsewhere_total", locality.m_endedElsewhere);
        put("locality_wait_ms_total", static_cast<std::uint64_t>(millisecondsOf(locality.m_waited)));
        put("copied_runs_total", counters.m_copiedRuns);
        put("moved_runs_total", counters.m_movedRuns);
        for (const auto& [type, factor] : m_term->scheduler()->speeds().typeFactors())
            text += "sapphire_speed_factor{service=" + quotedLabel(type.first) + ",type=" + quotedLabel(type.second)
                + "} " + std::to_string(factor) + '\n';
    }
    respond({ 200, text, 0, "text/plain" });
}

// Planned stop

void Controller::beginStop()
{
    if (std::exchange(m_isStopping, true))
        return;
    m_stopStartedAt = bootNow();
    m_log->write(LogEvent::DrainStarted);
    m_nextHelloAt = {};
    sendHello();
    m_callers.beginDrain();
    if (m_term)
        m_term->beginHandover();
    advanceStop();
}

void Controller::advanceStop()
{
    const TimePoint now = bootNow();
    if (!m_term || m_term->isHandedOver())
        m_election.releaseTerm();
    const TimePoint end = m_stopStartedAt + m_settings.m_grace - stopMargin;
    if (now >= m_stopStartedAt + drainNoticePeriod) {
        const bool isIdle = m_callers.activeRequests() == 0 && m_inner.activeRequests() == 0;
        if ((isIdle && m_election.election().isReleased()) || now >= end) {
            m_log->write(isIdle ? LogEvent::DrainFinished : LogEvent::DrainTimedOut);
            m_callers.close();
            m_context.stop();
            return;
        }
    }
    m_stopTimer.expires_after(stopPollInterval);
    m_stopTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            advanceStop();
    });
}

} // namespace sapphiredale::controller
