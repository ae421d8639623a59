// Handling of the callers' requests.

#include "controller/Gateway.h"

#include "controller/Clock.h"
#include "controller/PeerCall.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>

namespace sapphiredale::controller {

using observability::LogEvent;
using observability::MetricName;

namespace {

    /// Every request is answered this long before the caller's deadline, so that the answer arrives in time.
    constexpr Duration answerMargin = std::chrono::milliseconds(150);
    /// Timeout of one query to the scheduler; queries may be repeated.
    constexpr Duration queryTimeout = std::chrono::milliseconds(700);
    constexpr unsigned retryAfterSeconds = 1;
    /// The same while the store is unavailable: outages last several seconds, and callers retry only a few times.
    constexpr unsigned retryAfterOutageSeconds = 2;
    /// Timeout of a direct append while the scheduler's daemon can store the record; leaves no time for a second one.
    constexpr Duration ownStoreTimeout = std::chrono::milliseconds(900);
    /// Timeout of the scheduler's daemon for a record that this one could not store; it takes 0.9 s to answer while
    /// the store does not respond.
    constexpr Duration schedulerStoreTimeout = std::chrono::milliseconds(1000);
    /// Connections to the scheduler's daemon for records, and so records on the way to it.
    constexpr std::size_t storeChannels = 8;
    /// Timeout of an append on behalf of another daemon.
    constexpr Duration peerStoreTimeout = std::chrono::milliseconds(1500);
    /// A configuration is in force everywhere this long after it was acknowledged. A daemon whose view of the store is
    /// older cannot know that a route or a key does not exist.
    constexpr Duration configurationApplyTime = std::chrono::seconds(3);
    /// Age from which an answer to a hello has no effect.
    constexpr Duration maxRefusedTeamsAge = std::chrono::seconds(3);
    constexpr std::int64_t maxShareRetryAfterSeconds = 10;
    /// Length of the key of a job with a prefix, and of its length.
    constexpr std::uint32_t jobKeyBytes = 18;

    std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

    std::string_view withoutPort(std::string_view host) { return host.substr(0, host.rfind(':')); }

} // namespace

/// A request and the state of its processing.
struct Gateway::Call {
    ServerRequest m_request;
    Responder m_respond;
    const userplatform::QueueRoute* m_route = nullptr;
    /// Owns the route.
    std::shared_ptr<const userplatform::Configuration> m_configuration;
    /// Team of the call's key; null if it has none, or keys are not examined. Owned by the configuration.
    const jobs::TeamPolicy* m_team = nullptr;
    JobId m_job;
    TimePoint m_deadline {};

    TeamId team() const { return m_team == nullptr ? TeamId() : m_team->m_team; }
};

/// A record on its way into the store.
struct Gateway::Record {
    Record(boost::asio::io_context& context, inner::StoreRequest request, TimePoint deadline,
        std::function<void(StoreOutcome)> handler)
        : m_request(std::move(request))
        , m_deadline(deadline)
        , m_handler(std::move(handler))
        , m_slowTimer(context)
    {
    }

    inner::StoreRequest m_request;
    TimePoint m_deadline {};
    /// Empty once the outcome is known.
    std::function<void(StoreOutcome)> m_handler;
    StoreAttempts m_attempts;
    bool m_wentDirectly = false;
    bool m_wentThroughScheduler = false;
    boost::asio::steady_timer m_slowTimer;
};

Gateway::Gateway(boost::asio::io_context& context, const SiteSettings& settings, observability::EventLog& log,
    observability::MetricsRegistry& metrics, std::function<SchedulerLocation()> scheduler)
    : m_context(context)
    , m_log(log)
    , m_metrics(metrics)
    , m_locateScheduler(std::move(scheduler))
    , m_appender(context, settings.m_store,
          { jobTopic,
              1
                  + static_cast<std::uint32_t>(
                      std::hash<std::string> {}(settings.m_daemon.value()) % (jobPartitions - 1)) },
          jobPartitions)
    , m_sharedAppender(context, settings.m_store, { jobTopic, 0 }, jobPartitions)
    , m_maxJobBytes(settings.m_recordBytes - jobKeyBytes)
{
}

Gateway::~Gateway() = default;

bool Gateway::configure(std::shared_ptr<const userplatform::Configuration> configuration)
{
    if (m_configuration && configuration->m_version <= m_configuration->m_version)
        return false;
    m_configuration = std::move(configuration);
    return true;
}

void Gateway::setRefusedTeams(std::vector<jobs::TeamRefusal> teams, TimePoint askedAt)
{
    m_refusedTeams = std::move(teams);
    m_refusedTeamsEnd = askedAt + maxRefusedTeamsAge;
}

const userplatform::QueueRoute* Gateway::findRoute(const ServerRequest& request) const
{
    const std::string_view path = pathOf(request.m_target);
    const userplatform::QueueRoute* best = nullptr;
    for (const userplatform::QueueRoute& route : m_configuration->m_routes) {
        const bool isHost = route.m_host == request.m_host || route.m_host == withoutPort(request.m_host);
        if (isHost && path.starts_with(route.m_pathPrefix)
            && (best == nullptr || route.m_pathPrefix.size() > best->m_pathPrefix.size()))
            best = &route;
    }
    return best;
}

void Gateway::handle(ServerRequest request, Responder respond)
{
    auto call = std::make_shared<Call>();
    call->m_request = std::move(request);
    call->m_respond = std::move(respond);
    call->m_configuration = m_configuration;
    if (!m_configuration)
        return refuse(call, ErrorKind::NotReady, "there is no configuration yet");
    call->m_route = findRoute(call->m_request);
    if (call->m_route == nullptr) {
        ++m_counters.m_unrouted;
        return refuseByConfiguration(call, ErrorKind::NotFound, "no route leads here");
    }
    call->m_respond
        = [this, call = std::weak_ptr(call), respond = std::move(call->m_respond)](ServerResponse response) {
              // The call owns this function, so the weak pointer is valid.
              const Call& answered = *call.lock();
              const Duration took = bootNow() - answered.m_request.m_receivedAt;
              m_metrics.distribution(MetricName::RequestSeconds, { answered.m_route->m_policy.m_queue })
                  .record(std::chrono::duration<double>(took).count());
              respond(std::move(response));
          };
    Duration timeout = call->m_route->m_timeout;
    std::int64_t waitMs = 0;
    const std::string& deadline = call->m_request.m_deadline;
    if (std::from_chars(deadline.data(), deadline.data() + deadline.size(), waitMs).ec == std::errc() && waitMs > 0)
        timeout = std::min<Duration>(timeout, std::chrono::milliseconds(waitMs));
    call->m_deadline = call->m_request.m_receivedAt + std::max<Duration>(timeout - answerMargin, answerMargin);
    if (!authenticate(call))
        return;
    const std::string_view rest = pathOf(call->m_request.m_target).substr(call->m_route->m_pathPrefix.size());
    const std::string& method = call->m_request.m_method;
    if (rest.empty() && method == "GET")
        return answerPending(call);
    if (!userplatform::isJobId(rest)) {
        ++m_counters.m_invalid;
        return refuse(call, ErrorKind::InvalidRequest, "a job is named by 16 hexadecimal digits");
    }
    call->m_job = JobId(std::string(rest));
    if (method == "POST")
        return submit(call);
    if (method == "GET")
        return answerState(call);
    if (method == "DELETE")
        return cancel(call);
    refuse(call, ErrorKind::MethodNotAllowed, "POST, GET and DELETE are possible here");
}

bool Gateway::authenticate(const CallPointer& call)
{
    if (!call->m_configuration->m_requiresKeys)
        return true;
    const std::string_view key = userplatform::bearerKey(call->m_request.m_authorization);
    call->m_team = call->m_configuration->teamOfKey(key);
    if (call->m_team != nullptr || call->m_route->m_isPublic)
        return true;
    refuseByConfiguration(call, ErrorKind::Unauthenticated,
        key.empty() ? "the request has no key, or not in the form \"Bearer KEY\"" : "the key is not known");
    return false;
}

bool Gateway::authorize(const CallPointer& call, const TeamId& teamOfJob)
{
    if (!call->m_configuration->m_requiresKeys || teamOfJob.empty() || call->team() == teamOfJob)
        return true;
    if (call->m_team == nullptr)
        refuseByConfiguration(call, ErrorKind::Unauthenticated, "the job belongs to a team");
    else
        refuseByConfiguration(call, ErrorKind::Forbidden, "the job belongs to another team");
    return false;
}

void Gateway::refuseByConfiguration(const CallPointer& call, ErrorKind kind, const std::string& detail)
{
    const bool mayBeOutdated = call->m_configuration->m_requiresKeys && m_configurationSeenAt
        && bootNow() - m_configurationSeenAt() > configurationApplyTime;
    if (mayBeOutdated)
        return refuse(call, ErrorKind::NotReady, "the configuration could not be read for a while");
    refuse(call, kind, detail);
}

void Gateway::refuse(const CallPointer& call, ErrorKind kind, const std::string& detail, unsigned retryAfter)
{
    const ErrorAnswer& table = answerFor(kind);
    m_metrics.counter(MetricName::RefusalsTotal, { table.m_name }).add();
    m_log.write(LogEvent::RequestRefused,
        { { "job", call->m_job.value() }, { "method", call->m_request.m_method }, { "reason", table.m_name },
            { "detail", detail } });
    ServerResponse response;
    response.m_status = table.m_httpStatus;
    response.m_retryAfterSeconds = retryAfter;
    if (kind == ErrorKind::Unauthenticated)
        response.m_authenticate = "Bearer";
    if (table.m_httpStatus == 503)
        response.m_retryAfterSeconds = kind == ErrorKind::LogUnavailable ? retryAfterOutageSeconds : retryAfterSeconds;
    response.m_body
        = boost::json::serialize(boost::json::object { { "error", std::string(table.m_name) }, { "detail", detail } });
    call->m_respond(std::move(response));
}

void Gateway::submit(const CallPointer& call)
{
    Result<jobs::JobSpec> spec = userplatform::decodeSubmission(call->m_request.m_body);
    if (!succeeded(spec)) {
        ++m_counters.m_invalid;
        return refuse(call, ErrorKind::InvalidRequest, errorOf(spec).m_detail);
    }
    const auto checked = std::make_shared<const jobs::JobSpec>(valueOf(std::move(spec)));
    if (call->m_team == nullptr)
        return storeSubmission(call, *checked);
    const unsigned limitRetryAfter = answerFor(ErrorKind::QuotaExceeded).m_retryAfterSeconds;
    if (const Result<Unit> fits = jobs::checkLimit(*checked, call->m_team->m_limit); !succeeded(fits))
        return refuseUnlessKnown(call, checked, { "team-limit", errorOf(fits).m_detail, limitRetryAfter, true });
    const TimePoint now = bootNow();
    if (const std::optional<TimePoint> until = refusedUntil(call->team(), now)) {
        const std::int64_t left = std::chrono::ceil<std::chrono::seconds>(*until - now).count();
        const auto retryAfter = static_cast<unsigned>(std::clamp<std::int64_t>(left, 1, maxShareRetryAfterSeconds));
        return refuseUnlessKnown(
            call, checked, { "team-share", "the team has submitted more than its share", retryAfter, false });
    }
    storeSubmission(call, *checked);
}

std::optional<TimePoint> Gateway::refusedUntil(const TeamId& team, TimePoint now) const
{
    const SchedulerLocation place = m_locateScheduler();
    if (place.m_localTerm == nullptr && (place.m_address.empty() || now >= m_refusedTeamsEnd))
        return std::nullopt;
    const std::vector<jobs::TeamRefusal> refused
        = place.m_localTerm != nullptr ? place.m_localTerm->refusedTeams() : m_refusedTeams;
    const auto found = std::find_if(refused.begin(), refused.end(),
        [&](const jobs::TeamRefusal& refusal) { return refusal.m_team == team && now < refusal.m_until; });
    return found == refused.end() ? std::nullopt : std::optional(found->m_until);
}

void Gateway::refuseUnlessKnown(
    const CallPointer& call, const std::shared_ptr<const jobs::JobSpec>& spec, const TeamRefusal& refusal)
{
    if (m_openAppends.mayBeStored(call->m_job.value(), bootNow()))
        return storeSubmission(call, *spec);
    queryState(call->m_job, std::min(call->m_deadline, bootNow() + queryTimeout),
        [this, call, spec, refusal](const Result<inner::StateAnswer>& result) {
            if (succeeded(result)) {
                if (authorize(call, valueOf(result).m_team))
                    call->m_respond({ 200, "{}" });
                return;
            }
            const bool isUnknown = errorOf(result).m_kind == ErrorKind::NotFound;
            // Another attempt may have begun meanwhile.
            if ((!isUnknown && !refusal.m_isCertain) || m_openAppends.mayBeStored(call->m_job.value(), bootNow()))
                return storeSubmission(call, *spec);
            ++m_counters.m_refused;
            m_metrics.counter(MetricName::RefusalReasonsTotal, { "submission", refusal.m_reason }).add();
            refuse(call, ErrorKind::QuotaExceeded, refusal.m_detail, refusal.m_retryAfterSeconds);
        });
}

void Gateway::storeSubmission(const CallPointer& call, const jobs::JobSpec& spec)
{
    const jobs::JobRecord record { call->m_job, call->m_route->m_policy, spec, wallNowMs(), call->team(),
        call->m_team == nullptr ? Resources {} : call->m_team->m_limit };
    std::string text = jobs::encodeJobRecord(record);
    if (text.size() > m_maxJobBytes) {
        ++m_counters.m_invalid;
        return refuse(call, ErrorKind::BodyTooLarge,
            "the job takes " + std::to_string(text.size()) + " bytes in the store, which allows "
                + std::to_string(m_maxJobBytes));
    }
    const bool isTracked = call->m_configuration->m_requiresKeys;
    if (isTracked)
        m_openAppends.began(call->m_job.value(), bootNow());
    store(call->m_job.value(), text, call->m_deadline, [this, call, isTracked](StoreOutcome outcome) {
        if (isTracked)
            m_openAppends.ended(call->m_job.value(), outcome, bootNow());
        switch (outcome) {
        case StoreOutcome::Stored:
            ++m_counters.m_accepted;
            m_log.write(LogEvent::JobAccepted,
                { { "job", call->m_job.value() }, { "queue", call->m_route->m_policy.m_queue },
                    { "team", call->team().value() }, { "version", call->m_configuration->m_version } });
            return call->m_respond({ 200, "{}" });
        case StoreOutcome::NotStored:
            ++m_counters.m_refused;
            return refuse(call, ErrorKind::LogUnavailable, "the job was not stored");
        case StoreOutcome::Unknown:
            ++m_counters.m_unknownOutcome;
            return refuse(call, ErrorKind::DeadlineExceededMayHaveRun, "the job may have been stored");
        }
    });
}

void Gateway::answerState(const CallPointer& call)
{
    ++m_counters.m_stateQueries;
    queryState(call->m_job, call->m_deadline, [this, call](const Result<inner::StateAnswer>& result) {
        if (succeeded(result)) {
            if (authorize(call, valueOf(result).m_team))
                call->m_respond({ 200, userplatform::encodeState(valueOf(result).m_state) });
            return;
        }
        if (errorOf(result).m_kind == ErrorKind::NotFound)
            return call->m_respond({ 410, "{}" });
        ++m_counters.m_unansweredQueries;
        refuse(call, ErrorKind::NotScheduler, errorOf(result).m_detail);
    });
}

void Gateway::cancel(const CallPointer& call)
{
    queryState(call->m_job, std::min(call->m_deadline, bootNow() + queryTimeout),
        [this, call](const Result<inner::StateAnswer>& result) {
            if (succeeded(result) && !authorize(call, valueOf(result).m_team))
                return;
            // A job that the scheduler does not know may have been accepted just now: its view of the store lags.
            if (succeeded(result) && jobs::isFinal(valueOf(result).m_state))
                return call->m_respond({ 200, "{}" });
            storeCancellation(call);
        });
}

void Gateway::storeCancellation(const CallPointer& call)
{
    const jobs::Canceller canceller { call->m_configuration->m_requiresKeys, call->team() };
    store(cancellationKey(call->m_job), jobs::encodeCancellation(canceller), call->m_deadline,
        [this, call](StoreOutcome outcome) {
            switch (outcome) {
            case StoreOutcome::Stored:
                return call->m_respond({ 200, "{}" });
            case StoreOutcome::NotStored:
                return refuse(call, ErrorKind::LogUnavailable, "the cancellation was not stored");
            case StoreOutcome::Unknown:
                return refuse(call, ErrorKind::DeadlineExceededMayHaveRun, "the cancellation may have been stored");
            }
        });
}

void Gateway::store(
    const std::string& key, const std::string& value, TimePoint deadline, std::function<void(StoreOutcome)> handler)
{
    const auto record
        = std::make_shared<Record>(m_context, inner::StoreRequest { key, value }, deadline, std::move(handler));
    if (canStoreThroughScheduler() && !m_storeRoute.usesOwnAppend(bootNow()))
        return storeThroughScheduler(record);
    storeDirectly(record);
}

void Gateway::storeDirectly(const RecordPointer& record)
{
    record->m_attempts.began();
    record->m_wentDirectly = true;
    if (m_locateScheduler().m_localTerm != nullptr)
        return storeShared(record->m_request, record->m_deadline,
            [this, record](StoreOutcome outcome) { handleAttempt(record, outcome); });
    const TimePoint now = bootNow();
    const TimePoint deadline
        = canStoreThroughScheduler() ? std::min(record->m_deadline, now + ownStoreTimeout) : record->m_deadline;
    watchOwnAppend(record);
    m_appender.append(
        record->m_request.m_key, record->m_request.m_value, deadline, [this, record](StoreOutcome outcome) {
            record->m_slowTimer.cancel();
            if (outcome != StoreOutcome::Stored)
                m_storeRoute.ownAppendFailed(bootNow());
            handleAttempt(record, outcome);
        });
}

void Gateway::storeShared(
    const inner::StoreRequest& request, TimePoint deadline, std::function<void(StoreOutcome)> handler)
{
    m_sharedAppender.append(
        request.m_key, request.m_value, deadline, [this, request, handler = std::move(handler)](StoreOutcome outcome) {
            SchedulerTerm* term = m_locateScheduler().m_localTerm;
            if (outcome == StoreOutcome::Stored && term != nullptr)
                term->recordStored(request.m_key, request.m_value);
            handler(outcome);
        });
}

void Gateway::watchOwnAppend(const RecordPointer& record)
{
    record->m_slowTimer.expires_after(StoreRoute::slowAppend);
    record->m_slowTimer.async_wait([this, record](boost::system::error_code error) {
        if (error || !record->m_handler)
            return;
        m_storeRoute.ownAppendFailed(bootNow());
        if (canStoreThroughScheduler() && !record->m_wentThroughScheduler)
            storeThroughScheduler(record);
    });
}

void Gateway::handleAttempt(const RecordPointer& record, StoreOutcome outcome)
{
    const std::optional<StoreOutcome> known = record->m_attempts.ended(outcome);
    if (!known || !record->m_handler)
        return;
    if (*known != StoreOutcome::Stored && bootNow() < record->m_deadline) {
        if (!record->m_wentThroughScheduler && canStoreThroughScheduler())
            return storeThroughScheduler(record);
        // The scheduler's daemon has not answered; the store may serve this one meanwhile.
        if (!record->m_wentDirectly && *known == StoreOutcome::Unknown)
            return storeDirectly(record);
    }
    const auto handler = std::move(record->m_handler);
    record->m_handler = nullptr;
    handler(*known);
}

bool Gateway::canStoreThroughScheduler() const
{
    const SchedulerLocation place = m_locateScheduler();
    return place.m_localTerm == nullptr && !place.m_address.empty() && place.m_isAnswering
        && m_storeRoute.usesScheduler(bootNow());
}

void Gateway::storeThroughScheduler(const RecordPointer& record)
{
    openChannels(m_locateScheduler().m_address);
    record->m_wentThroughScheduler = true;
    // If the record is certainly not stored, the caller retries sooner than a failed daemon is detected.
    const Duration left = std::max<Duration>(record->m_deadline - bootNow(), std::chrono::milliseconds(1));
    const Duration timeout = record->m_attempts.mayBeStored() ? left : std::min<Duration>(left, schedulerStoreTimeout);
    record->m_attempts.began();
    m_storeChannels->send(peerCall(inner::storePath, inner::encode(record->m_request), timeout),
        [this, record, channels = m_storeChannels](const Result<platform::HttpAnswer>& result) {
            const bool isStored = succeeded(result) && valueOf(result).m_status == 200;
            if (isStored)
                return handleAttempt(record, StoreOutcome::Stored);
            m_storeRoute.schedulerFailed(bootNow());
            const bool isRefused = succeeded(result) ? valueOf(result).m_status == 503
                                                     : answerFor(errorOf(result).m_kind).m_runState == RunState::NotRun;
            handleAttempt(record, isRefused ? StoreOutcome::NotStored : StoreOutcome::Unknown);
        });
}

void Gateway::storeForPeer(const inner::StoreRequest& request, const Responder& respond)
{
    const bool isTracked = requiresKeys();
    if (isTracked)
        m_openAppends.began(request.m_key, bootNow());
    storeShared(
        request, bootNow() + peerStoreTimeout, [this, respond, isTracked, key = request.m_key](StoreOutcome outcome) {
            if (isTracked)
                m_openAppends.ended(key, outcome, bootNow());
            respond({ outcome == StoreOutcome::Stored    ? 200U
                    : outcome == StoreOutcome::NotStored ? 503U
                                                         : 504U,
                "{}" });
        });
}

void Gateway::openChannels(const std::string& address)
{
    if (address == m_channelAddress)
        return;
    m_channelAddress = address;
    m_channel = openPeerChannel(m_context, address);
    m_storeChannels = openPeerChannels(m_context, address, storeChannels);
}

void Gateway::answerPending(const CallPointer& call)
{
    const std::string& queue = call->m_route->m_policy.m_queue;
    const std::function<void(Result<std::uint32_t>)> respond = [this, call](const Result<std::uint32_t>& result) {
        if (succeeded(result))
            return call->m_respond({ 200, userplatform::encodePending(valueOf(result)) });
        refuse(call, ErrorKind::NotScheduler, errorOf(result).m_detail);
    };
    if (const SchedulerTerm* own = m_locateScheduler().m_localTerm)
        return respond(own->pending(queue));
    ask(inner::pendingPath, inner::encodeName(queue), call->m_deadline, inner::decodeCount, respond);
}

void Gateway::queryState(const JobId& job, TimePoint deadline, std::function<void(Result<inner::StateAnswer>)> handler)
{
    if (const SchedulerTerm* own = m_locateScheduler().m_localTerm) {
        const Result<jobs::JobState> state = own->state(job);
        if (!succeeded(state))
            return handler(errorOf(state));
        return handler(inner::StateAnswer { valueOf(state), own->teamOf(job) });
    }
    ask(inner::statePath, inner::encodeName(job.value()), deadline, inner::decodeState, std::move(handler));
}

template <typename Decode, typename T>
void Gateway::ask(const char* path, const std::string& body, TimePoint deadline, Decode decode,
    std::function<void(Result<T>)> handler)
{
    const std::string address = m_locateScheduler().m_address;
    if (address.empty())
        return handler(Error { ErrorKind::NotScheduler, "no daemon schedules at the moment" });
    openChannels(address);
    const Duration timeout = std::clamp<Duration>(deadline - bootNow(), std::chrono::milliseconds(1), queryTimeout);
    m_channel->send(peerCall(path, body, timeout),
        [decode, handler = std::move(handler), channel = m_channel](const Result<platform::HttpAnswer>& result) {
            if (!succeeded(result))
                return handler(Error { ErrorKind::NotScheduler, errorOf(result).m_detail });
            const platform::HttpAnswer& http = valueOf(result);
            if (http.m_status == 404)
                return handler(Error { ErrorKind::NotFound, "no such job" });
            if (http.m_status != 200)
                return handler(Error { ErrorKind::NotScheduler, "the daemon that was asked does not schedule" });
            handler(decode(http.m_body));
        });
}

} // namespace sapphiredale::controller
