// Connection of this daemon to the others.

#include "daemon/PeerLink.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::daemon {

using observability::LogEvent;
using observability::MetricName;

namespace {

    constexpr std::string_view softwareVersion = "0.1.0";

    ownership::MembershipSettings membershipSettings(const Settings& settings, std::uint64_t incarnation)
    {
        ownership::MembershipSettings result;
        result.m_daemon = settings.m_daemon;
        result.m_process = incarnation;
        result.m_description.m_addresses = { settings.m_listeners.m_peers.text(), settings.m_listeners.m_relay.text(),
            settings.m_listeners.m_callers.text(), settings.m_listeners.m_operators.text() };
        result.m_description.m_failureDomain = settings.m_failureDomain;
        result.m_description.m_softwareVersion = softwareVersion;
        return result;
    }

    peer::CorrelationSettings correlationSettings(std::uint64_t incarnation)
    {
        peer::CorrelationSettings result;
        result.m_incarnation = incarnation;
        return result;
    }

    bool isReply(peer::MessageKind kind)
    {
        for (std::size_t i = 0; i < peer::messageKindCount; ++i) {
            if (peer::replyKindOf(static_cast<peer::MessageKind>(i)) == kind)
                return true;
        }
        return false;
    }

} // namespace

std::string addressOf(const ownership::DaemonDescription& description, ListenerIndex index)
{
    const auto position = static_cast<std::size_t>(index);
    return position < description.m_addresses.size() ? description.m_addresses[position] : std::string();
}

PeerLink::PeerLink(Runtime& runtime, const Settings& settings, std::uint64_t incarnation, observability::EventLog& log,
    observability::MetricsRegistry& metrics)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_log(log)
    , m_metrics(metrics)
    , m_membership(membershipSettings(settings, incarnation), now())
    , m_calls(correlationSettings(incarnation))
    , m_alarm(runtime, [this] { step(); })
{
}

PeerLink::~PeerLink() { stop(); }

Result<Unit> PeerLink::start(PeerObserver& observer)
{
    m_observer = &observer;
    peer::PeerTransportSettings settings;
    settings.m_daemon = m_settings.m_daemon;
    settings.m_incarnation = m_incarnation;
    settings.m_listenAddress = m_settings.m_listeners.m_peers.text();
    settings.m_acceptIntroductions = true;
    auto opened = peer::PeerTransport::open(settings, [this](peer::Envelope&& envelope) {
        m_runtime.post([this, moved = std::move(envelope)]() mutable { received(std::move(moved)); });
    });
    if (!succeeded(opened))
        return errorOf(opened);
    m_transport = valueOf(std::move(opened));
    std::vector<ownership::ListedHost> hosts;
    for (const PeerSettings& peer : m_settings.m_peers) {
        if (peer.m_daemon == m_settings.m_daemon)
            continue;
        m_transport->addPeer({ peer.m_daemon, peer.m_address.text() });
        hosts.push_back({ peer.m_daemon, ownership::HostState::Live, peer.m_failureDomain });
    }
    hostsListed(hosts);
    m_runtime.post([this] { step(); });
    return Unit {};
}

void PeerLink::stop()
{
    m_alarm.cancel();
    if (m_transport)
        m_transport->close();
}

void PeerLink::call(const DaemonId& daemon, peer::Payload payload, Duration timeout, ReplyHandler handler)
{
    const auto kind = static_cast<peer::MessageKind>(payload.index());
    const auto expected = peer::replyKindOf(kind);
    assert(expected);
    std::optional<std::uint64_t> number;
    {
        const std::lock_guard lock(m_mutex);
        number = m_calls.open(daemon, *expected, handler, now() + timeout);
    }
    if (!number) {
        m_runtime.post([handler = std::move(handler)] {
            handler(Error { ErrorKind::Overloaded, "too many calls to other daemons are pending" });
        });
        return;
    }
    const Result<Unit> sent = m_transport->send(daemon, std::move(payload), *number);
    if (succeeded(sent)) {
        m_runtime.post([this] { step(); });
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (m_calls.cancel(*number))
        m_runtime.post([handler = std::move(handler), error = errorOf(sent)] { handler(error); });
}

void PeerLink::reply(const peer::Envelope& call, peer::Payload payload)
{
    m_transport->reply(call, std::move(payload));
}

void PeerLink::notify(const DaemonId& daemon, peer::Payload payload) { m_transport->send(daemon, std::move(payload)); }

void PeerLink::hostsListed(const std::vector<ownership::ListedHost>& hosts)
{
    const std::lock_guard lock(m_mutex);
    m_membership.hostsListed(hosts, now());
}

void PeerLink::setConfiguration(const ownership::ConfigurationMark& mark, std::uint64_t nextOffset)
{
    const std::lock_guard lock(m_mutex);
    m_membership.setConfiguration(mark);
    m_configurationNextOffset = nextOffset;
}

void PeerLink::setSchedulerEpoch(std::uint64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    m_membership.setSchedulerEpoch(epoch);
}

void PeerLink::setFreeSlots(const WorkloadId& workload, std::uint32_t free)
{
    const std::lock_guard lock(m_mutex);
    m_membership.setFreeSlots(workload, free);
}

void PeerLink::setLeaving()
{
    const std::lock_guard lock(m_mutex);
    m_membership.setLeaving();
}

void PeerLink::received(peer::Envelope&& envelope)
{
    const peer::MessageKind kind = peer::kindOf(envelope);
    if (kind == peer::MessageKind::Heartbeat) {
        heartbeatReceived(envelope);
        return;
    }
    if (!isReply(kind)) {
        m_observer->called(envelope);
        return;
    }
    ReplyHandler handler;
    {
        const std::lock_guard lock(m_mutex);
        auto taken = m_calls.take(envelope, now());
        if (ReplyHandler* found = std::get_if<ReplyHandler>(&taken))
            handler = std::move(*found);
    }
    if (handler)
        handler(std::move(envelope.m_payload));
}

void PeerLink::heartbeatReceived(const peer::Envelope& envelope)
{
    const auto& message = std::get<peer::Heartbeat>(envelope.m_payload);
    if (envelope.m_sender == m_settings.m_daemon)
        return;
    // A daemon that replaced another one introduces itself with its addresses.
    if (message.m_hasDescription && !message.m_peerAddress.empty())
        m_transport->addPeer({ envelope.m_sender, message.m_peerAddress });
    const ownership::Heartbeat heartbeat = fromMessage(envelope.m_sender, envelope.m_senderIncarnation, message);
    std::optional<ownership::ConfigurationMark> mark;
    {
        const std::lock_guard lock(m_mutex);
        m_membership.received(heartbeat, now());
        for (const ownership::DaemonView& view : m_membership.view()) {
            if (view.m_daemon == envelope.m_sender)
                mark = view.m_configuration;
        }
    }
    if (mark)
        m_observer->configurationAdvertised(envelope.m_sender, *mark, message.m_configurationNextOffset);
    step();
}

void PeerLink::step()
{
    std::vector<ownership::OutgoingHeartbeat> heartbeats;
    std::vector<ReplyHandler> unanswered;
    std::vector<ownership::DaemonView> view;
    TimePoint wake;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint instant = now();
        heartbeats = m_membership.step(instant);
        for (auto& call : m_calls.step(instant))
            unanswered.push_back(std::move(call.m_context));
        view = m_membership.view();
        wake = m_membership.nextWake();
        if (const auto deadline = m_calls.nextWake())
            wake = std::min(wake, *deadline);
    }
    for (const ownership::OutgoingHeartbeat& outgoing : heartbeats)
        m_transport->send(outgoing.m_to, toMessage(outgoing.m_heartbeat));
    for (const ReplyHandler& handler : unanswered)
        handler(Error { ErrorKind::OutcomeUnknown, "the daemon did not answer in time" });
    reportChanges(view);
    m_observer->membershipChanged();
    m_alarm.set(wake);
}

void PeerLink::reportChanges(const std::vector<ownership::DaemonView>& view)
{
    using State = ownership::DaemonView::State;
    std::map<DaemonId, State> states;
    std::size_t live = 0;
    for (const ownership::DaemonView& daemon : view) {
        states.emplace(daemon.m_daemon, daemon.m_state);
        live += daemon.m_state == State::Live ? 1 : 0;
    }
    std::map<DaemonId, State> before;
    {
        const std::lock_guard lock(m_mutex);
        before = std::exchange(m_known, states);
    }
    for (const auto& [daemon, state] : states) {
        const auto known = before.find(daemon);
        if (known == before.end())
            m_log.write(LogEvent::PeerJoined, { { "peer", daemon } });
        else if (known->second != state && state == State::Suspected)
            m_log.write(LogEvent::PeerSuspected, { { "peer", daemon } });
    }
    for (const auto& [daemon, state] : before) {
        if (!states.contains(daemon))
            m_log.write(LogEvent::PeerLeft, { { "peer", daemon } });
    }
    m_metrics.gauge(MetricName::Peers, { "live" }).set(static_cast<double>(live));
    m_metrics.gauge(MetricName::Peers, { "suspected" }).set(static_cast<double>(view.size() - live));
}

void PeerLink::updateMetrics()
{
    const peer::PeerTransportStatistics statistics = m_transport->statistics();
    for (std::size_t i = 0; i < peer::messageKindCount; ++i) {
        const std::string_view kind = peer::nameOf(static_cast<peer::MessageKind>(i));
        m_metrics.counter(MetricName::PeerMessagesTotal, { kind, "sent" }).raiseTo(statistics.m_messagesSent[i]);
        m_metrics.counter(MetricName::PeerMessagesTotal, { kind, "received" })
            .raiseTo(statistics.m_messagesReceived[i]);
    }
}

peer::Heartbeat PeerLink::toMessage(const ownership::Heartbeat& heartbeat) const
{
    peer::Heartbeat message;
    message.m_daemon = heartbeat.m_daemon;
    message.m_sequence = heartbeat.m_sequence;
    message.m_acknowledgedIncarnation = heartbeat.m_acknowledgedProcess;
    message.m_acknowledgedSequence = heartbeat.m_acknowledgedSequence;
    message.m_leaving = heartbeat.m_leaving;
    message.m_isScheduler = heartbeat.m_schedulerEpoch != 0;
    message.m_epoch = heartbeat.m_schedulerEpoch;
    message.m_silentDomains = heartbeat.m_silentDomains;
    message.m_configurationNextOffset = m_configurationNextOffset;
    if (heartbeat.m_description) {
        const ownership::DaemonDescription& description = *heartbeat.m_description;
        message.m_hasDescription = true;
        message.m_failureDomain = description.m_failureDomain;
        message.m_region = m_settings.m_region;
        message.m_softwareVersion = description.m_softwareVersion;
        message.m_peerAddress = addressOf(description, ListenerIndex::Peer);
        message.m_relayAddress = addressOf(description, ListenerIndex::Relay);
        message.m_callerAddress = addressOf(description, ListenerIndex::Caller);
        message.m_operatorAddress = addressOf(description, ListenerIndex::Operator);
    }
    if (heartbeat.m_configuration) {
        message.m_hasConfiguration = true;
        message.m_configurationVersion = heartbeat.m_configuration->m_version;
        message.m_configurationHash = heartbeat.m_configuration->m_hash;
    }
    for (const ownership::FreeSlots& slots : heartbeat.m_slots)
        message.m_freeSlots.push_back({ slots.m_workload, slots.m_free });
    return message;
}

ownership::Heartbeat PeerLink::fromMessage(
    const DaemonId& sender, std::uint64_t incarnation, const peer::Heartbeat& message)
{
    ownership::Heartbeat heartbeat;
    heartbeat.m_daemon = sender;
    heartbeat.m_process = incarnation;
    heartbeat.m_sequence = message.m_sequence;
    heartbeat.m_acknowledgedProcess = message.m_acknowledgedIncarnation;
    heartbeat.m_acknowledgedSequence = message.m_acknowledgedSequence;
    heartbeat.m_leaving = message.m_leaving;
    heartbeat.m_schedulerEpoch = message.m_isScheduler ? message.m_epoch : 0;
    heartbeat.m_silentDomains = message.m_silentDomains;
    if (message.m_hasDescription) {
        heartbeat.m_description = ownership::DaemonDescription {
            { message.m_peerAddress, message.m_relayAddress, message.m_callerAddress, message.m_operatorAddress },
            message.m_failureDomain, message.m_softwareVersion
        };
    }
    if (message.m_hasConfiguration)
        heartbeat.m_configuration = { message.m_configurationVersion, message.m_configurationHash };
    for (const peer::ServiceSlots& slots : message.m_freeSlots)
        heartbeat.m_slots.push_back({ slots.m_workload, slots.m_freeSlots });
    return heartbeat;
}

} // namespace sapphiredale::daemon
