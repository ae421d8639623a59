// Connects the domain scheduler to the workers, to the domain's stream and to the other daemons.

#include "daemon/SchedulerDriver.h"

#include "ownership/StreamRecordCodec.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::daemon {

using observability::LogEvent;
using observability::MetricName;
using Phase = ownership::DomainScheduler::Phase;

namespace {

    constexpr Duration releaseTimeout = std::chrono::seconds(2);

    ownership::DomainSchedulerSettings schedulerSettings(const Settings& settings, std::uint64_t seed)
    {
        ownership::DomainSchedulerSettings result;
        result.m_lease.m_failureDomain = settings.m_failureDomain;
        result.m_lease.m_daemon = settings.m_daemon;
        result.m_lease.m_holder = settings.m_daemon.value() + "." + std::to_string(seed);
        result.m_lease.m_seed = seed;
        result.m_lease.m_ttl = std::chrono::milliseconds(settings.m_leases.m_workerTtlMs);
        result.m_lease.m_wait = std::chrono::milliseconds(settings.m_leases.m_workerWaitMs);
        result.m_lease.m_clockMargin = std::chrono::milliseconds(settings.m_leases.m_marginMs) / 2;
        result.m_cell.m_failureDomain = settings.m_failureDomain;
        result.m_cell.m_seed = seed;
        // A record is written again after a third of the retention, so that two attempts may fail.
        result.m_rewriteAfter = std::chrono::seconds(settings.m_platform.m_retentionSeconds) / 3;
        return result;
    }

    platform::WorkerCommand toPlatform(const ownership::WorkerCommand& command)
    {
        platform::WorkerCommand result;
        result.m_target = { command.m_task, command.m_attempt };
        switch (command.m_operation) {
        case ownership::CommandOperation::Start: {
            platform::StartCommand start;
            start.m_resources = command.m_resources;
            start.m_program = command.m_program;
            start.m_lapseStopSeconds = command.m_lapseStopSeconds;
            if (command.m_minion)
                start.m_minion = platform::MinionLimits { command.m_minion->m_slots, command.m_minion->m_connections };
            result.m_operation = start;
            break;
        }
        case ownership::CommandOperation::Stop:
            result.m_operation = platform::StopCommand {};
            break;
        case ownership::CommandOperation::Checkpoint:
            result.m_operation = platform::CheckpointCommand {};
            break;
        case ownership::CommandOperation::Throttle:
            result.m_operation = platform::ThrottleCommand { command.m_cpuMillis };
            break;
        }
        return result;
    }

    ownership::CommandsAnswer toCore(const platform::CommandAnswer& answer)
    {
        if (std::holds_alternative<platform::StaleEpochRefusal>(answer))
            return ownership::CommandsRefusal::StaleEpoch;
        if (std::holds_alternative<platform::IncarnationRefusal>(answer))
            return ownership::CommandsRefusal::OtherIncarnation;
        std::vector<ownership::CommandResult> results;
        for (const platform::CommandResult& result : std::get<std::vector<platform::CommandResult>>(answer))
            results.push_back({ result.m_task, result.m_ok, result.m_reason });
        return results;
    }

    ownership::HostState toCore(platform::HostState state)
    {
        switch (state) {
        case platform::HostState::Live:
            return ownership::HostState::Live;
        case platform::HostState::Leaving:
            return ownership::HostState::Leaving;
        case platform::HostState::Gone:
            break;
        }
        return ownership::HostState::Gone;
    }

    std::string_view nameOf(Phase phase)
    {
        constexpr std::string_view names[] = { "standby", "recovering", "active", "releasing", "released" };
        return names[static_cast<std::size_t>(phase)];
    }

    bool inTerm(Phase phase)
    {
        return phase == Phase::Recovering || phase == Phase::Active || phase == Phase::Releasing;
    }

} // namespace

std::string streamOf(const FailureDomainId& domain) { return "domain-" + domain.value(); }

SchedulerDriver::SchedulerDriver(Runtime& runtime, const Settings& settings, std::uint64_t seed,
    platform::HttpLogService& logService, PeerLink& peers, BatchAppender& appender, MinionDirectory& minions,
    platform::TrafficObserver& traffic, observability::EventLog& log, observability::MetricsRegistry& metrics)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_seed(seed)
    , m_logService(logService)
    , m_peers(peers)
    , m_appender(appender)
    , m_minions(minions)
    , m_traffic(traffic)
    , m_log(log)
    , m_metrics(metrics)
    , m_scheduler(schedulerSettings(settings, seed))
    , m_alarm(runtime, [this] { run([](ownership::DomainScheduler&, TimePoint) {}); })
{
}

void SchedulerDriver::start()
{
    m_runtime.post([this] { run([](ownership::DomainScheduler&, TimePoint) {}); });
}

void SchedulerDriver::stop()
{
    m_alarm.cancel();
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_clients.clear();
    m_foreignAppenders.clear();
}

template <typename Function> void SchedulerDriver::run(Function&& f)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped)
        return;
    const TimePoint started = now();
    f(m_scheduler, started);
    const std::vector<ownership::OwnershipAction> actions = m_scheduler.step(started);
    m_metrics.distribution(MetricName::DecisionSeconds).record(std::chrono::duration<double>(now() - started).count());
    // Started under the lock, so that commands and records leave in the order of the decisions.
    for (const ownership::OwnershipAction& action : actions)
        carryOut(action, started);
    noticePhase(started);
    m_alarm.set(m_scheduler.nextWake(started));
}

void SchedulerDriver::configure(const configuration::FileInForce& file)
{
    ownership::ActiveConfiguration active;
    active.m_file = file.m_file;
    active.m_version = file.m_version;
    m_minions.setFile(file.m_file);
    run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
        for (const WorkerSpec& worker : file.m_file.m_workers)
            m_knownWorkers.insert_or_assign(worker.m_name, worker);
        for (const configuration::PreviousWorkerSet& set : file.m_previousWorkers) {
            for (const WorkerId& id : set.m_workers) {
                WorkerSpec spec;
                spec.m_name = id;
                const auto known = m_knownWorkers.find(id);
                if (known != m_knownWorkers.end())
                    spec = known->second;
                spec.m_failureDomain = set.m_failureDomain;
                active.m_previousWorkers.push_back(std::move(spec));
            }
        }
        scheduler.configure(active, instant);
    });
    std::vector<WorkerId> workers;
    workers.reserve(file.m_file.m_workers.size());
    for (const WorkerSpec& worker : file.m_file.m_workers)
        workers.push_back(worker.m_name);
    m_minions.workersRemain(workers);
}

void SchedulerDriver::membershipChanged()
{
    struct View {
        std::vector<DaemonId> m_live;
        std::vector<ownership::DaemonView> m_daemons;
        ownership::Reachability m_reach;
    };
    const View view = m_peers.withMembership([this](ownership::Membership& membership) {
        View result;
        result.m_live = membership.liveDaemons(m_settings.m_failureDomain);
        result.m_daemons = membership.view();
        result.m_reach.m_confirmedContact = membership.majorityContact();
        result.m_reach.m_majorityReached = membership.partition(now()).m_majorityReached;
        for (const ownership::DaemonView& daemon : result.m_daemons) {
            const FailureDomainId& domain = daemon.m_description.m_failureDomain;
            if (!domain.empty() && domain != m_settings.m_failureDomain)
                result.m_reach.m_lastEvidence[domain] = membership.lastEvidence(domain);
        }
        return result;
    });
    run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
        scheduler.setCandidates(view.m_live, instant);
        scheduler.setReach(view.m_reach, instant);
        std::set<DaemonId> schedulers;
        for (const ownership::DaemonView& daemon : view.m_daemons) {
            if (daemon.m_description.m_failureDomain != m_settings.m_failureDomain)
                continue;
            if (daemon.m_schedulerEpoch != 0 && daemon.m_state == ownership::DaemonView::State::Live) {
                scheduler.schedulerSeen(daemon.m_daemon, daemon.m_schedulerEpoch, daemon.m_heardAt);
                schedulers.insert(daemon.m_daemon);
            }
            if (daemon.m_schedulerEpoch == 0 && m_otherSchedulers.contains(daemon.m_daemon))
                scheduler.schedulerStopped(daemon.m_daemon, instant);
        }
        m_otherSchedulers = std::move(schedulers);
    });
}

void SchedulerDriver::hostsListed(const platform::HostSnapshot& snapshot)
{
    std::set<WorkerId> leaving;
    for (const platform::HostEntry& host : snapshot.m_hosts) {
        if (host.m_state != platform::HostState::Live)
            leaving.insert(WorkerId(host.m_name));
    }
    m_minions.setLeavingWorkers(std::move(leaving));
    run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
        for (const platform::HostEntry& host : snapshot.m_hosts) {
            if (m_knownWorkers.contains(WorkerId(host.m_name)))
                scheduler.workerListed(WorkerId(host.m_name), toCore(host.m_state), instant);
        }
    });
}

void SchedulerDriver::recordRead(const FailureDomainId& stream, const platform::LogRecord& record)
{
    const Result<ownership::StreamRecord> decoded = ownership::decodeRecord(record.m_data);
    if (!succeeded(decoded)) {
        // Records of other types share the stream; those of newer versions are skipped as well.
        const Error& error = errorOf(decoded);
        if (error.m_kind != ErrorKind::NotFound) {
            m_log.write(LogEvent::ProtocolError,
                { { "stream", stream }, { "offset", record.m_offset }, { "detail", error.m_detail } });
        }
        return;
    }
    run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
        // The log's clock is the only one that all daemons share; its distance from now places the record here.
        const TimePoint writtenAt = instant + std::chrono::duration_cast<Duration>(record.m_time - wallNow());
        scheduler.recordRead(stream, valueOf(decoded), writtenAt, instant);
    });
}

void SchedulerDriver::streamCaughtUp(const FailureDomainId& stream, TimePoint queriedAt)
{
    run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
        scheduler.streamCaughtUp(stream, queriedAt, instant);
    });
}

void SchedulerDriver::submit(const placement::JobRequest& job, SubmitHandler handler)
{
    run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
        const ownership::SubmissionNumber number = m_nextSubmission++;
        m_submissions.emplace(number, std::move(handler));
        scheduler.submitJob(number, job, instant);
    });
}

void SchedulerDriver::cancel(const JobId& job, SubmitHandler handler)
{
    run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
        const ownership::SubmissionNumber number = m_nextSubmission++;
        m_submissions.emplace(number, std::move(handler));
        scheduler.cancelJob(number, job, instant);
    });
}

peer::JobStatusReply SchedulerDriver::jobStatus(const JobId& job)
{
    using State = placement::Explanation::State;
    const std::lock_guard lock(m_mutex);
    peer::JobStatusReply reply;
    reply.m_job = job;
    const TimePoint instant = now();
    if (const ownership::JobEnded* ended = m_scheduler.jobs().endedJob(job)) {
        constexpr peer::JobState states[]
            = { peer::JobState::Finished, peer::JobState::Failed, peer::JobState::Cancelled };
        reply.m_state = states[static_cast<std::size_t>(ended->m_outcome)];
        reply.m_detail = ended->m_detail;
        return reply;
    }
    if (!m_scheduler.isScheduler(instant)) {
        reply.m_error = Error { ErrorKind::NotScheduler, "this daemon is not the scheduler of the job's domain" };
        return reply;
    }
    const ownership::OpenJob* open = m_scheduler.jobs().openJob(job);
    // A job without a record is known to the placement core only, so its number of tasks is found by asking for each.
    const std::uint32_t count = open ? open->m_request.m_taskCount : m_settings.m_limits.m_maxTasksPerJob;
    if (open)
        reply.m_workload = open->m_request.m_workload;
    for (std::uint32_t i = 0; i < count; ++i) {
        const placement::Explanation task = m_scheduler.explain(TaskId(job.value() + "/" + std::to_string(i)), instant);
        if (task.m_state == State::Unknown && !open)
            break;
        const bool runs
            = task.m_state == State::Starting || task.m_state == State::Running || task.m_state == State::Stopping;
        const bool isOver = task.m_state == State::Finished || task.m_state == State::Failed
            || (open && open->m_ends.contains(TaskId(job.value() + "/" + std::to_string(i))) && !runs);
        if (runs)
            ++reply.m_runningTasks;
        else if (isOver)
            ++reply.m_finishedTasks;
        else {
            ++reply.m_waitingTasks;
            if (reply.m_detail.empty())
                reply.m_detail = task.m_detail;
        }
    }
    if (open || reply.m_runningTasks + reply.m_waitingTasks + reply.m_finishedTasks > 0)
        reply.m_state = reply.m_runningTasks > 0 ? peer::JobState::Running : peer::JobState::Waiting;
    return reply;
}

placement::Explanation SchedulerDriver::explain(const TaskId& task)
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.explain(task, now());
}

void SchedulerDriver::beginRelease()
{
    run([](ownership::DomainScheduler& scheduler, TimePoint instant) { scheduler.beginRelease(instant); });
}

bool SchedulerDriver::isReleased()
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.phase() == Phase::Released;
}

bool SchedulerDriver::isScheduler()
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.isScheduler(now());
}

ownership::DomainSnapshot SchedulerDriver::snapshot()
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.snapshot(now());
}

std::set<FailureDomainId> SchedulerDriver::foreignStreams()
{
    const std::lock_guard lock(m_mutex);
    const std::vector<FailureDomainId> streams = m_scheduler.streamsToFollow();
    std::set<FailureDomainId> result(streams.begin(), streams.end());
    result.erase(m_settings.m_failureDomain);
    return result;
}

bool SchedulerDriver::needsStreamEnd()
{
    const std::lock_guard lock(m_mutex);
    return m_scheduler.phase() == Phase::Recovering;
}

void SchedulerDriver::carryOut(const ownership::OwnershipAction& action, TimePoint)
{
    std::visit(
        [this](const auto& concrete) {
            using Action = std::decay_t<decltype(concrete)>;
            if constexpr (std::is_same_v<Action, ownership::AppendRecord>)
                append(concrete);
            else if constexpr (std::is_same_v<Action, ownership::ReplyToSubmitter>)
                reply(concrete);
            else
                send(concrete);
        },
        action);
}

void SchedulerDriver::send(const ownership::SendLease& lease)
{
    platform::WorkerLeaseRequest request;
    request.m_holder = DaemonId(lease.m_holder);
    request.m_epoch = lease.m_epoch;
    request.m_ttl = lease.m_ttl;
    request.m_wait = lease.m_wait;
    request.m_since = lease.m_since;
    request.m_externalContact = lease.m_externalContact;
    for (const ownership::TaskAttempt& attempt : lease.m_acknowledged)
        request.m_acknowledged.push_back({ attempt.m_task, attempt.m_attempt });
    clientOf(lease.m_worker, lease.m_address)
        .lease(request, remaining(lease.m_deadline),
            [this, worker = lease.m_worker, number = lease.m_request](Result<platform::WorkerLeaseAnswer> result) {
                if (succeeded(result)) {
                    if (const auto* grant = std::get_if<platform::WorkerLeaseGrant>(&valueOf(result)))
                        m_minions.reported(grant->m_report);
                }
                run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
                    if (!succeeded(result)) {
                        scheduler.leaseTimedOut(worker, number, instant);
                        return;
                    }
                    if (const auto* grant = std::get_if<platform::WorkerLeaseGrant>(&valueOf(result))) {
                        scheduler.leaseGranted(worker, number, { grant->m_epoch, grant->m_report }, instant);
                        return;
                    }
                    const auto& refusal = std::get<platform::LeaseRefusal>(valueOf(result));
                    m_log.write(LogEvent::WorkerLeaseRefused, { { "worker", worker }, { "holder", refusal.m_holder } });
                    scheduler.leaseRejected(
                        worker, number, { refusal.m_holder.value(), refusal.m_epoch, refusal.m_expiresIn }, instant);
                });
            });
}

void SchedulerDriver::send(const ownership::SendRelease& release)
{
    clientOf(release.m_worker, release.m_address)
        .release({ DaemonId(release.m_holder), release.m_epoch }, releaseTimeout,
            [](const Result<platform::ReleaseAnswer>&) {});
}

void SchedulerDriver::send(const ownership::SendCommands& commands)
{
    platform::CommandRequest request;
    request.m_holder = DaemonId(commands.m_holder);
    request.m_epoch = commands.m_epoch;
    request.m_incarnation = commands.m_incarnation;
    for (const ownership::WorkerCommand& command : commands.m_commands) {
        request.m_commands.push_back(toPlatform(command));
        const bool isStart = command.m_operation == ownership::CommandOperation::Start;
        m_log.write(isStart ? LogEvent::TaskStarted : LogEvent::TaskStopped,
            { { "task", command.m_task }, { "attempt", command.m_attempt }, { "worker", commands.m_worker },
                { "reason", command.m_reason } });
    }
    clientOf(commands.m_worker, commands.m_address)
        .command(request, remaining(commands.m_deadline),
            [this, worker = commands.m_worker, number = commands.m_request](Result<platform::CommandAnswer> result) {
                run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
                    if (succeeded(result))
                        scheduler.commandsAnswered(worker, number, toCore(valueOf(result)), instant);
                    else
                        scheduler.commandsTimedOut(worker, number, instant);
                });
            });
}

void SchedulerDriver::append(const ownership::AppendRecord& append)
{
    if (const auto* ended = std::get_if<ownership::JobEnded>(&append.m_record.m_body))
        m_log.write(LogEvent::JobEnded, { { "job", ended->m_job }, { "detail", ended->m_detail } });
    appenderOf(append.m_stream)
        .append(ownership::encodeRecord(append.m_record),
            [this, id = append.m_record.m_id](const Result<std::uint64_t>& result) {
                run([&](ownership::DomainScheduler& scheduler, TimePoint instant) {
                    using ownership::AppendOutcome;
                    if (succeeded(result))
                        scheduler.appendFinished(id, AppendOutcome::Appended, instant);
                    else if (platform::definitelyNotRun(errorOf(result)))
                        scheduler.appendFinished(id, AppendOutcome::Failed, instant);
                    else {
                        m_log.write(LogEvent::AppendOutcomeUnknown, { { "record", id } });
                        scheduler.appendFinished(id, AppendOutcome::Unknown, instant);
                    }
                });
            });
}

void SchedulerDriver::reply(const ownership::ReplyToSubmitter& reply)
{
    auto node = m_submissions.extract(reply.m_submission);
    if (node.empty())
        return;
    Result<bool> result = reply.m_durable;
    if (!succeeded(reply.m_result)) {
        result = errorOf(reply.m_result);
        m_log.write(LogEvent::JobRefused,
            { { "job", reply.m_job }, { "error", answerFor(errorOf(reply.m_result).m_kind).m_name } });
    } else {
        m_log.write(LogEvent::JobAccepted, { { "job", reply.m_job }, { "durable", reply.m_durable } });
    }
    m_runtime.post([handler = std::move(node.mapped()), result] { handler(result); });
}

BatchAppender& SchedulerDriver::appenderOf(const FailureDomainId& stream)
{
    if (stream == m_settings.m_failureDomain)
        return m_appender;
    std::unique_ptr<BatchAppender>& appender = m_foreignAppenders[stream];
    if (!appender)
        appender = std::make_unique<BatchAppender>(m_runtime, m_logService, streamOf(stream), m_metrics);
    return *appender;
}

platform::HttpWorkerControl& SchedulerDriver::clientOf(const WorkerId& worker, const std::string& address)
{
    WorkerClient& client = m_clients[worker];
    if (!client.m_control || client.m_address != address) {
        platform::HttpSettings settings;
        settings.m_address = address;
        settings.m_daemon = m_settings.m_daemon;
        settings.m_failureDomain = m_settings.m_failureDomain;
        settings.m_seed = m_seed;
        settings.m_traffic = &m_traffic;
        client.m_address = address;
        client.m_control = std::make_unique<platform::HttpWorkerControl>(m_runtime.context(), worker, settings);
    }
    return *client.m_control;
}

void SchedulerDriver::noticePhase(TimePoint instant)
{
    const std::uint64_t epoch = m_scheduler.schedulerEpoch(instant);
    if (std::exchange(m_epoch, epoch) != epoch)
        m_peers.setSchedulerEpoch(epoch);
    const Phase phase = m_scheduler.phase();
    const Phase before = std::exchange(m_phase, phase);
    if (before == phase)
        return;
    if (phase == Phase::Recovering)
        m_log.write(LogEvent::SchedulerBecame, { { "domain", m_settings.m_failureDomain }, { "epoch", epoch } });
    if (phase == Phase::Active)
        m_log.write(LogEvent::RecoveryFinished, { { "domain", m_settings.m_failureDomain }, { "epoch", epoch } });
    if (inTerm(before) && !inTerm(phase)) {
        m_log.write(
            LogEvent::SchedulerCeased, { { "domain", m_settings.m_failureDomain }, { "phase", nameOf(phase) } });
        m_minions.clearReports();
    }
}

void SchedulerDriver::updateMetrics()
{
    const std::lock_guard lock(m_mutex);
    m_metrics.gauge(MetricName::IsScheduler).set(m_epoch != 0 ? 1 : 0);
    m_metrics.gauge(MetricName::SchedulerEpoch).set(static_cast<double>(m_epoch));
    // Every state is listed, so that the gauge of a state without tasks returns to zero.
    std::map<std::string, std::size_t> tasks { { "waiting", 0 } };
    for (const TaskState state : { TaskState::Starting, TaskState::Running, TaskState::Checkpointing, TaskState::Ended,
             TaskState::Failed, TaskState::Stopped })
        tasks.emplace(sapphiredale::nameOf(state), 0);
    for (const ownership::TaskStatus& task : m_scheduler.snapshot(now()).m_tasks)
        ++tasks[task.m_state];
    for (const auto& [state, count] : tasks)
        m_metrics.gauge(MetricName::Tasks, { state }).set(static_cast<double>(count));
    for (std::size_t i = 0; i < ownership::countedReasonCount; ++i) {
        const auto reason = static_cast<ownership::CountedReason>(i);
        m_metrics.counter(MetricName::RefusalReasonsTotal, { "ownership", ownership::nameOf(reason) })
            .raiseTo(m_scheduler.counted(reason));
    }
    for (std::size_t i = 0; i < placement::reasonCount; ++i) {
        const auto reason = static_cast<placement::Reason>(i);
        m_metrics.counter(MetricName::RefusalReasonsTotal, { "placement", placement::nameOf(reason) })
            .raiseTo(m_scheduler.cell().counters().value(reason));
    }
}

} // namespace sapphiredale::daemon
