// The request side of the daemon.

#include "daemon/RequestDriver.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sapphiredale::daemon {

using observability::LogEvent;
using observability::MetricName;

namespace {

    constexpr Duration superviseInterval = std::chrono::milliseconds(100);
    /// Interval at which a daemon asks the domain scheduler for the list of minions.
    constexpr Duration refreshInterval = std::chrono::seconds(1);
    constexpr Duration refreshTimeout = std::chrono::seconds(2);
    /// Two far heartbeats and a margin: an advertisement of another domain is that old at the most.
    constexpr Duration peerReportLifetime = std::chrono::seconds(25);
    constexpr Duration leaseAnswerTimeout = std::chrono::milliseconds(1500);

    routing::MinionLeaseSettings leaseSettings(const Settings& settings)
    {
        routing::MinionLeaseSettings result;
        result.m_self = settings.m_daemon;
        result.m_lease = std::chrono::milliseconds(settings.m_leases.m_minionTtlMs);
        result.m_wait = std::chrono::milliseconds(settings.m_leases.m_minionWaitMs);
        result.m_clockMargin = std::chrono::milliseconds(settings.m_leases.m_marginMs) / 2;
        return result;
    }

} // namespace

RequestDriver::RequestDriver(Runtime& runtime, const Settings& settings, std::uint64_t seed, PeerLink& peers,
    MinionDirectory& directory, ClaimDriver& claims, JobService& jobs, platform::TrafficObserver& traffic,
    observability::EventLog& log, observability::MetricsRegistry& metrics)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_seed(seed)
    , m_peers(peers)
    , m_directory(directory)
    , m_claims(claims)
    , m_jobs(jobs)
    , m_traffic(traffic)
    , m_log(log)
    , m_metrics(metrics)
    , m_table(leaseSettings(settings))
    , m_leaseAlarm(runtime, [this] { stepLeases(); })
    , m_superviseAlarm(runtime, [this] { supervise(); })
{
}

void RequestDriver::start()
{
    m_runtime.post([this] { supervise(); });
}

void RequestDriver::beginRelease()
{
    {
        const std::lock_guard lock(m_mutex);
        m_table.stop(now());
    }
    applyChanges();
    stepLeases();
}

bool RequestDriver::isReleased()
{
    const std::lock_guard lock(m_mutex);
    return m_table.isDrained(now());
}

void RequestDriver::stop()
{
    m_leaseAlarm.cancel();
    m_superviseAlarm.cancel();
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_leases.clear();
}

void RequestDriver::configure(const configuration::FileInForce& file)
{
    {
        const std::unique_lock lock(m_shardsMutex);
        std::set<WorkloadId> services;
        for (const WorkloadSpec& workload : file.m_file.m_workloads) {
            if (!workload.m_minion)
                continue;
            services.insert(workload.m_name);
            std::shared_ptr<Shard>& shard = m_shards[workload.m_name];
            if (!shard) {
                routing::RouterSettings settings;
                settings.m_service = workload.m_name;
                settings.m_failureDomain = m_settings.m_failureDomain;
                settings.m_seed = m_seed;
                settings.m_admission.m_maxPerTeam = m_settings.m_limits.m_maxQueuedRequestsPerTeam;
                settings.m_peerReportLifetime = peerReportLifetime;
                shard = std::make_shared<Shard>(settings, [] { return now(); });
            }
            shard->withRouter([&](routing::Router& router, TimePoint) {
                for (const ClassPolicy& policy : file.m_file.m_classes)
                    router.setClassPriority(policy.m_name, policy.m_priority);
            });
        }
        // Requests in flight keep the shard of a removed service alive until they have ended.
        std::erase_if(m_shards, [&](const auto& entry) { return !services.contains(entry.first); });
    }
    {
        const std::lock_guard lock(m_mutex);
        m_peerHeardAt.clear();
        m_takenGeneration = 0;
    }
    membershipChanged();
}

void RequestDriver::membershipChanged()
{
    const auto view = m_peers.withMembership([this](const ownership::Membership& membership) {
        return std::pair(membership.liveDaemons(m_settings.m_failureDomain), membership.view());
    });
    std::vector<routing::PeerDaemon> daemons;
    std::vector<const ownership::DaemonView*> heard;
    {
        const std::lock_guard lock(m_mutex);
        m_table.setLiveDaemons(view.first, now());
        for (const ownership::DaemonView& daemon : view.second) {
            const std::string relay = addressOf(daemon.m_description, ListenerIndex::Relay);
            if (relay.empty() || daemon.m_leaving || daemon.m_state != ownership::DaemonView::State::Live)
                continue;
            daemons.push_back({ daemon.m_daemon, daemon.m_description.m_failureDomain, relay });
            TimePoint& before = m_peerHeardAt[daemon.m_daemon];
            if (std::exchange(before, daemon.m_heardAt) != daemon.m_heardAt)
                heard.push_back(&daemon);
        }
    }
    for (const auto& [workload, shard] : shards()) {
        shard->withRouter([&, &service = workload](routing::Router& router, TimePoint instant) {
            router.setPeers(daemons, instant);
            for (const ownership::DaemonView* daemon : heard) {
                const auto slots = daemon->m_freeSlots.find(service);
                if (slots == daemon->m_freeSlots.end())
                    continue;
                // The entry itself says that the daemon holds minions, also when none of their slots is free.
                router.peerReport(daemon->m_daemon, { std::max(slots->second, 1U), slots->second, 0 }, instant);
            }
        });
    }
    applyChanges();
    stepLeases();
}

void RequestDriver::updateMetrics()
{
    std::array<std::uint64_t, routing::attemptFailureCount> retries {};
    std::array<std::uint64_t, errorKindCount> refusals {};
    for (const auto& [workload, shard] : shards()) {
        const routing::RoutingCounters counters
            = shard->withRouter([](const routing::Router& router, TimePoint) { return router.counters(); });
        for (std::size_t i = 0; i < retries.size(); ++i)
            retries[i] += counters.m_retries[i];
        for (std::size_t i = 0; i < refusals.size(); ++i)
            refusals[i] += counters.m_refusals[i];
        m_metrics.counter(MetricName::RetryBudgetExhaustedTotal, { workload.value() })
            .raiseTo(counters.m_retriesSuppressed);
    }
    for (std::size_t i = 0; i < retries.size(); ++i) {
        const std::string_view reason = routing::nameOf(static_cast<routing::AttemptFailure>(i));
        m_metrics.counter(MetricName::RetriesTotal, { reason }).raiseTo(retries[i]);
    }
    for (std::size_t i = 0; i < refusals.size(); ++i) {
        const std::string_view reason = answerFor(static_cast<ErrorKind>(i)).m_name;
        m_metrics.counter(MetricName::RefusalReasonsTotal, { "routing", reason }).raiseTo(refusals[i]);
    }
}

std::shared_ptr<forwarding::ServiceRouting> RequestDriver::service(const WorkloadId& workload)
{
    return shardOf(workload);
}

void RequestDriver::claim(const forwarding::ClaimRequest& request, const forwarding::ClaimHandler& handler)
{
    m_claims.claim(request, handler);
}

void RequestDriver::recordOutcome(const forwarding::ClaimOutcome& outcome) { m_claims.recordOutcome(outcome); }

void RequestDriver::handle(const forwarding::LocalRequest& request, const forwarding::LocalHandler& handler)
{
    if (!m_ready) {
        handler(forwarding::problemResponse(ErrorKind::NotReady, "no file is in force on this daemon"));
        return;
    }
    m_jobs.handle(request, handler);
}

void RequestDriver::refused(ErrorKind kind)
{
    m_metrics.counter(MetricName::RefusalsTotal, { answerFor(kind).m_name }).add();
    m_log.write(LogEvent::RequestRefused, { { "error", answerFor(kind).m_name } });
}

void RequestDriver::answered(unsigned status, Duration duration)
{
    m_metrics.counter(MetricName::RequestsTotal, { "all", status < 500 ? "answered" : "server-error" }).add();
    m_metrics.distribution(MetricName::RequestSeconds, { "all" })
        .record(std::chrono::duration<double>(duration).count());
}

std::shared_ptr<RequestDriver::Shard> RequestDriver::shardOf(const WorkloadId& workload) const
{
    const std::shared_lock lock(m_shardsMutex);
    const auto found = m_shards.find(workload);
    return found == m_shards.end() ? nullptr : found->second;
}

std::vector<std::pair<WorkloadId, std::shared_ptr<RequestDriver::Shard>>> RequestDriver::shards() const
{
    const std::shared_lock lock(m_shardsMutex);
    return { m_shards.begin(), m_shards.end() };
}

void RequestDriver::stepLeases()
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped)
        return;
    for (const routing::MinionLeaseRequest& request : m_table.step(now()))
        send(request);
    m_leaseAlarm.set(m_table.nextStep());
}

void RequestDriver::send(const routing::MinionLeaseRequest& request)
{
    Lease& lease = m_leases[request.m_minion];
    if (!lease.m_control || lease.m_address != request.m_address) {
        platform::HttpSettings settings;
        settings.m_address = request.m_address;
        settings.m_daemon = m_settings.m_daemon;
        settings.m_failureDomain = m_settings.m_failureDomain;
        settings.m_seed = m_seed;
        settings.m_traffic = &m_traffic;
        lease.m_address = request.m_address;
        lease.m_control = std::make_unique<platform::HttpMinionControl>(m_runtime.context(), settings);
    }
    platform::MinionLeaseRequest call;
    call.m_holder = m_settings.m_daemon;
    call.m_epoch = request.m_epoch;
    call.m_ttl = request.m_ttl;
    call.m_wait = request.m_wait;
    lease.m_control->lease(call, request.m_wait + leaseAnswerTimeout,
        [this, request](const Result<platform::MinionLeaseAnswer>& result) { leased(request, result); });
}

void RequestDriver::leased(
    const routing::MinionLeaseRequest& request, const Result<platform::MinionLeaseAnswer>& result)
{
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint instant = now();
        if (!succeeded(result)) {
            m_table.failed(request, instant);
        } else if (const auto* refusal = std::get_if<platform::LeaseRefusal>(&valueOf(result))) {
            m_table.rejected(request, { refusal->m_holder, refusal->m_epoch, refusal->m_expiresIn }, instant);
        } else {
            const auto& grant = std::get<platform::MinionLeaseGrant>(valueOf(result));
            m_table.granted(request,
                { grant.m_epoch, grant.m_inFlight, grant.m_connections, grant.m_slots, grant.m_leaving }, instant);
        }
    }
    applyChanges();
    stepLeases();
}

void RequestDriver::applyChanges()
{
    std::vector<std::pair<MinionId, std::optional<routing::HeldMinion>>> changes;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint instant = now();
        for (const MinionId& minion : m_table.takeChanges())
            changes.emplace_back(minion, m_table.held(minion, instant));
    }
    for (const auto& [minion, held] : changes) {
        const auto shard = shardOf(WorkloadId { std::string(ownership::ownerOfTask(TaskId(minion.value()))) });
        if (!shard)
            continue;
        shard->withRouter([&, &id = minion, &lease = held](routing::Router& router, TimePoint instant) {
            if (lease)
                router.setMinion(*lease, instant);
            else
                router.dropMinion(id, instant);
        });
        if (!held)
            m_log.write(LogEvent::MinionLeaseLost, { { "minion", minion } });
        else if (held->m_leaving)
            m_log.write(LogEvent::MinionLeaving, { { "minion", minion } });
    }
}

void RequestDriver::tick()
{
    for (const auto& [workload, shard] : shards())
        shard->withRouter([](routing::Router& router, TimePoint instant) { router.tick(instant); });
}

void RequestDriver::supervise()
{
    reportSlots();
    bool isRefreshDue = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped)
            return;
        isRefreshDue = now() >= m_nextRefresh;
        if (isRefreshDue)
            m_nextRefresh = now() + refreshInterval;
    }
    if (isRefreshDue)
        refreshMinions();
    takeMinions();
    m_superviseAlarm.set(now() + superviseInterval);
}

void RequestDriver::refreshMinions()
{
    const auto scheduler = m_peers.withMembership([this](const ownership::Membership& membership) {
        return membership.domainScheduler(m_settings.m_failureDomain);
    });
    if (!scheduler || scheduler->m_daemon == m_settings.m_daemon)
        return;
    m_peers.call(scheduler->m_daemon, peer::MinionsQuery { m_directory.generation() }, refreshTimeout,
        [this](const Result<peer::Payload>& result) {
            if (succeeded(result))
                m_directory.replace(std::get<peer::MinionsReply>(valueOf(result)));
        });
}

void RequestDriver::takeMinions()
{
    {
        const std::lock_guard lock(m_mutex);
        const peer::MinionsReply list = m_directory.list(m_takenGeneration);
        if (list.m_unchanged)
            return;
        m_takenGeneration = list.m_generation;
        std::vector<routing::MinionEndpoint> endpoints;
        endpoints.reserve(list.m_rows.size());
        for (const peer::MinionRow& row : list.m_rows)
            endpoints.push_back({ row.m_minion, row.m_address, row.m_slots, row.m_connections });
        m_table.setMinions(endpoints, now());
    }
    applyChanges();
    stepLeases();
}

void RequestDriver::reportSlots()
{
    for (const auto& [workload, shard] : shards()) {
        const routing::PeerReport report = shard->withRouter(
            [](const routing::Router& router, TimePoint instant) { return router.report(instant); });
        if (report.m_slots > 0)
            m_peers.setFreeSlots(workload, report.m_freeSlots);
        m_metrics.gauge(MetricName::Slots, { workload.value(), "free" }).set(report.m_freeSlots);
        m_metrics.gauge(MetricName::Slots, { workload.value(), "busy" }).set(report.m_slots - report.m_freeSlots);
        m_metrics.gauge(MetricName::RequestsQueued, { workload.value() }).set(report.m_queued);
    }
}

} // namespace sapphiredale::daemon
