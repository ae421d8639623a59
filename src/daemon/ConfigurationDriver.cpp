// Connects the configuration core to the log and to the other daemons.

#include "daemon/ConfigurationDriver.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::daemon {

using observability::LogEvent;
using observability::MetricName;

namespace {

    configuration::ConfigurationServiceSettings serviceSettings(const Settings& settings, std::uint64_t seed)
    {
        configuration::ConfigurationServiceSettings result;
        result.m_daemon = settings.m_daemon;
        result.m_seed = seed;
        result.m_retention = std::chrono::seconds(settings.m_platform.m_retentionSeconds);
        // A short retention leaves less time in which the next daemon can take over a refresh.
        result.m_refreshStagger = std::min<Duration>(result.m_refreshStagger, result.m_retention / 60);
        return result;
    }

} // namespace

ConfigurationDriver::ConfigurationDriver(Runtime& runtime, const Settings& settings, std::uint64_t seed,
    platform::HttpLogService& logService, PeerLink& peers, observability::EventLog& log,
    observability::MetricsRegistry& metrics)
    : m_runtime(runtime)
    , m_stream(settings.m_platform.m_configurationStream)
    , m_logService(logService)
    , m_peers(peers)
    , m_log(log)
    , m_metrics(metrics)
    , m_service(serviceSettings(settings, seed))
    , m_alarm(runtime, [this] { input(configuration::Tick {}); })
{
}

void ConfigurationDriver::start(ActivationHandler onActivation)
{
    m_onActivation = std::move(onActivation);
    m_runtime.post([this] { input(configuration::Tick {}); });
}

void ConfigurationDriver::stop()
{
    m_alarm.cancel();
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
}

void ConfigurationDriver::apply(
    std::string text, std::optional<std::uint64_t> base, std::string author, ApplyHandler handler)
{
    configuration::ApplyRequest request;
    request.m_text = std::move(text);
    request.m_base = base;
    request.m_author = std::move(author);
    {
        const std::lock_guard lock(m_mutex);
        request.m_token = m_nextToken++;
        m_applies.emplace(request.m_token, std::move(handler));
    }
    input(request);
}

void ConfigurationDriver::read(const RecordId& record, ReadHandler handler)
{
    configuration::ReadRequest request;
    {
        const std::lock_guard lock(m_mutex);
        request.m_token = m_nextToken++;
        m_reads.emplace(request.m_token, PendingRead { record, std::move(handler) });
    }
    input(request);
}

std::shared_ptr<const configuration::FileInForce> ConfigurationDriver::inForce() const
{
    const std::lock_guard lock(m_mutex);
    return m_service.fold().inForce();
}

void ConfigurationDriver::advertised(
    const DaemonId& daemon, const ownership::ConfigurationMark& mark, std::uint64_t nextOffset)
{
    input(configuration::PeerAdvertised { daemon, mark.m_version, mark.m_hash, nextOffset });
}

void ConfigurationDriver::requested(const peer::Envelope& call)
{
    const auto& request = std::get<peer::ConfigurationRequest>(call.m_payload);
    std::string state;
    configuration::PeerAdvertised own;
    {
        const std::lock_guard lock(m_mutex);
        state = m_service.stateForPeer();
        own = m_service.advertisement();
    }
    if (state.empty())
        m_peers.reply(call, peer::ConfigurationTransfer {});
    else
        // The chunks of one transfer belong to one state: a later offset in the log is another version of the text.
        m_peers.reply(call, peer::chunkFor(request, own.m_nextOffset + 1, own.m_hash, state));
}

void ConfigurationDriver::liveDaemonsChanged(std::vector<DaemonId> daemons)
{
    {
        const std::lock_guard lock(m_mutex);
        if (daemons == m_live)
            return;
        m_live = daemons;
    }
    input(configuration::LiveDaemons { std::move(daemons) });
}

bool ConfigurationDriver::isReady() const
{
    const std::lock_guard lock(m_mutex);
    return m_service.readiness() == configuration::ConfigurationReadiness::Ready;
}

std::string ConfigurationDriver::readinessDetail() const
{
    const std::lock_guard lock(m_mutex);
    switch (m_service.readiness()) {
    case configuration::ConfigurationReadiness::Ready:
        return {};
    case configuration::ConfigurationReadiness::NoFile:
        return "no file was applied yet";
    case configuration::ConfigurationReadiness::NotReady:
        break;
    }
    return m_service.readinessDetail();
}

bool ConfigurationDriver::isLogOut() const
{
    const std::lock_guard lock(m_mutex);
    return m_service.isLogOut();
}

std::vector<configuration::ReasonCount> ConfigurationDriver::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_service.counters();
}

void ConfigurationDriver::input(const configuration::ConfigurationInput& value)
{
    Deferred deferred;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped)
            return;
        // The actions of one step are started under the lock, so that appends keep their order.
        for (const configuration::ConfigurationAction& action : m_service.step(value, { now(), wallNow() }))
            carryOut(action, deferred);
        if (const auto wake = m_service.nextWake())
            m_alarm.set(*wake);
        const bool isOut = m_service.isLogOut();
        if (std::exchange(m_logWasOut, isOut) != isOut)
            m_log.write(isOut ? LogEvent::LogUnavailable : LogEvent::LogRecovered, { { "stream", m_stream } });
        m_metrics.gauge(MetricName::LogAvailable).set(isOut ? 0 : 1);
    }
    publish();
    for (const auto& function : deferred)
        function();
}

void ConfigurationDriver::publish()
{
    configuration::PeerAdvertised own;
    {
        const std::lock_guard lock(m_mutex);
        own = m_service.advertisement();
    }
    m_peers.setConfiguration({ own.m_version, own.m_hash }, own.m_nextOffset);
}

void ConfigurationDriver::carryOut(const configuration::ConfigurationAction& action, Deferred& deferred)
{
    if (const auto* read = std::get_if<configuration::ReadLog>(&action))
        readLog(*read);
    else if (const auto* append = std::get_if<configuration::AppendRecord>(&action))
        appendRecord(*append);
    else if (const auto* fetch = std::get_if<configuration::FetchFromPeer>(&action)) {
        auto assembly = std::make_shared<peer::ConfigurationAssembly>();
        assembly->start();
        deferred.emplace_back([this, assembly, daemon = fetch->m_daemon, deadline = fetch->m_deadline] {
            fetchChunk(daemon, assembly, deadline);
        });
    } else if (const auto* answer = std::get_if<configuration::AnswerApply>(&action)) {
        if (const auto* refused = std::get_if<configuration::ApplyRefused>(&answer->m_answer)) {
            m_log.write(LogEvent::ConfigurationRefused,
                { { "error", answerFor(refused->m_kind).m_name }, { "detail", refused->m_detail } });
        }
        auto node = m_applies.extract(answer->m_token);
        if (!node.empty())
            deferred.emplace_back([handler = std::move(node.mapped()), answer = answer->m_answer] { handler(answer); });
    } else if (const auto* answered = std::get_if<configuration::AnswerRead>(&action)) {
        auto node = m_reads.extract(answered->m_token);
        if (!node.empty()) {
            ConfigurationView view { m_service.fold().inForce(), m_service.fold().history(), answered->m_confirmed,
                m_service.fold().outcomeOf(node.mapped().m_record) };
            deferred.emplace_back(
                [handler = std::move(node.mapped().m_handler), view = std::move(view)] { handler(view); });
        }
    } else if (const auto* activation = std::get_if<configuration::FileActivated>(&action)) {
        deferred.emplace_back([this, file = activation->m_file] { activated(file); });
    }
}

void ConfigurationDriver::readLog(const configuration::ReadLog& read)
{
    m_logService.read(m_stream, read.m_from, read.m_maxBytes, read.m_wait, remaining(read.m_deadline),
        [this, id = read.m_read](const Result<platform::LogPage>& result) {
            if (!succeeded(result)) {
                input(configuration::LogReadFailed { id });
                return;
            }
            const platform::LogPage& page = valueOf(result);
            configuration::LogReadSucceeded success { id, page.m_earliest, page.m_next, {} };
            for (const platform::LogRecord& record : page.m_records)
                success.m_records.push_back({ record.m_offset, record.m_time, record.m_data });
            input(success);
        });
}

void ConfigurationDriver::appendRecord(const configuration::AppendRecord& append)
{
    m_logService.append(m_stream, { append.m_data }, remaining(append.m_deadline),
        [this, record = append.m_record](const Result<std::uint64_t>& result) {
            const bool appended = succeeded(result);
            m_metrics.counter(MetricName::LogAppendsTotal, { "configuration", appended ? "appended" : "failed" }).add();
            if (appended)
                input(configuration::AppendSucceeded { record, valueOf(result) });
            else
                input(configuration::AppendFailed { record, platform::definitelyNotRun(errorOf(result)) });
        });
}

void ConfigurationDriver::fetchChunk(
    const DaemonId& daemon, std::shared_ptr<peer::ConfigurationAssembly> assembly, TimePoint deadline)
{
    const peer::ConfigurationRequest request = assembly->next();
    m_peers.call(daemon, request, remaining(deadline),
        [this, daemon, assembly = std::move(assembly), deadline](const Result<peer::Payload>& reply) {
            configuration::PeerStateReceived received { daemon, {} };
            if (succeeded(reply)) {
                const auto progress = assembly->take(std::get<peer::ConfigurationTransfer>(valueOf(reply)));
                if (progress == peer::ConfigurationAssembly::Progress::Continue && now() < deadline) {
                    fetchChunk(daemon, assembly, deadline);
                    return;
                }
                if (progress == peer::ConfigurationAssembly::Progress::Complete)
                    received.m_state = assembly->content();
            }
            m_log.write(
                received.m_state.empty() ? LogEvent::ConfigurationTransferFailed : LogEvent::ConfigurationCaughtUp,
                { { "peer", daemon } });
            input(received);
        });
}

void ConfigurationDriver::activated(const std::shared_ptr<const configuration::FileInForce>& file)
{
    m_log.write(LogEvent::ConfigurationAccepted, { { "version", file->m_version }, { "hash", file->m_hash } });
    m_metrics.gauge(MetricName::ConfigurationVersion).set(static_cast<double>(file->m_version));
    m_onActivation(file);
}

} // namespace sapphiredale::daemon
