// Simulated failure domain for bench_ownership: workers with lease register and long polls, a log, and daemons that run
// the real domain scheduler. Time is simulated; the processor time spent in the schedulers is measured.
#pragma once

#include "ownership/DomainScheduler.h"
#include "ownership/StreamRecordCodec.h"

#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace sapphiredale::bench {

using namespace ownership;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Processor time of this thread in seconds.
inline double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return double(time.tv_sec) + double(time.tv_nsec) * 1e-9;
}

/// Size of the load on one domain.
struct DomainLoad {
    std::uint32_t m_workers = 100;
    std::uint32_t m_daemons = 1;
    /// Long-running instances per worker.
    double m_instancesPerWorker = 2.5;
    /// Jobs of one task per second and worker, and how long each runs.
    double m_startsPerWorker = 0;
    Duration m_taskTime = seconds(88);
    std::uint64_t m_seed = 1;
};

/// Estimated sizes in bytes: HTTP/1.1 heads as the platform clients write them (request line, Host, Content-Length) and
/// the JSON bodies of design 4.1.
struct MessageSize {
    static constexpr std::size_t requestHead = 90;
    static constexpr std::size_t answerHead = 40;

    static std::size_t of(const SendLease& lease)
    {
        std::size_t size = requestHead + 85 + lease.m_holder.size();
        for (const TaskAttempt& attempt : lease.m_acknowledged)
            size += 24 + attempt.m_task.value().size();
        return size;
    }
    static std::size_t of(const WorkerReport& report)
    {
        std::size_t size = answerHead + 60 + report.m_incarnation.value().size();
        for (const TaskReport& task : report.m_tasks)
            size += 190 + task.m_task.value().size() + task.m_address.size() + task.m_reason.size();
        return size;
    }
    static std::size_t of(const SendCommands& batch)
    {
        std::size_t size = requestHead + 60 + batch.m_holder.size() + batch.m_incarnation.value().size();
        for (const WorkerCommand& command : batch.m_commands)
            size += 140 + command.m_task.value().size() + command.m_program.size();
        return size + answerHead + 14 + batch.m_commands.size() * 50;
    }
};

/// One failure domain in simulated time.
class DomainSimulation {
public:
    explicit DomainSimulation(const DomainLoad& load)
        : m_load(load)
    {
        buildFile();
        for (std::uint32_t i = 0; i < load.m_daemons; ++i)
            addDaemon(i);
        for (const WorkerSpec& spec : m_file.m_workers)
            m_workers[spec.m_name].m_incarnation = "0123456789abcdef" + spec.m_name.value();
        at(Duration::zero(), [this] { everySecond(); });
        if (load.m_startsPerWorker > 0)
            at(seconds(10), [this] { submitNext(); });
    }

    TimePoint now() const { return m_now; }
    DomainScheduler& scheduler(std::size_t index) { return *m_daemons[index].m_scheduler; }
    void kill(std::size_t index) { m_daemons[index].m_dead = true; }
    std::optional<std::size_t> owner() const
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            const auto phase = m_daemons[i].m_scheduler->phase();
            if (!m_daemons[i].m_dead && m_daemons[i].m_scheduler->isScheduler(m_now)
                && phase == DomainScheduler::Phase::Active)
                return i;
        }
        return std::nullopt;
    }

    /// Instant at which a majority of the workers has no lease that a daemon other than successor holds.
    TimePoint majorityFree() const
    {
        std::vector<TimePoint> ends;
        ends.reserve(m_workers.size());
        for (const auto& [name, worker] : m_workers)
            ends.push_back(worker.m_expires);
        std::sort(ends.begin(), ends.end());
        return ends[ends.size() / 2];
    }

    void run(Duration duration, const std::function<bool()>& stop = {})
    {
        const TimePoint end = m_now + duration;
        while (m_now < end && !(stop && stop())) {
            TimePoint next = m_events.empty() ? end : std::min(end, m_events.begin()->first);
            for (Daemon& daemon : m_daemons) {
                if (!daemon.m_dead)
                    next = std::min(next, daemon.m_wake);
            }
            m_now = std::max(m_now, next);
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                if (!m_daemons[i].m_dead && (m_daemons[i].m_due || m_daemons[i].m_wake <= m_now))
                    step(i);
            }
        }
    }

    void resetCounts()
    {
        m_exchanges = m_bytes = m_logBytes = m_started = 0;
        m_cpu = 0;
    }
    /// Exchanges with workers, their bytes in both directions, and bytes appended to the log.
    std::uint64_t m_exchanges = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_logBytes = 0;
    std::uint64_t m_started = 0;
    double m_cpu = 0;

private:
    struct Daemon {
        std::unique_ptr<DomainScheduler> m_scheduler;
        bool m_dead = false;
        bool m_due = true;
        TimePoint m_wake {};
    };
    struct Poll {
        std::size_t m_daemon = 0;
        SendLease m_request;
    };
    struct Worker {
        std::string m_incarnation;
        std::string m_holder;
        std::uint64_t m_epoch = 0;
        TimePoint m_expires {};
        std::uint64_t m_sequence = 1;
        std::map<TaskId, std::pair<TaskReport, std::uint64_t>> m_tasks;
        std::optional<Poll> m_poll;
    };

    void buildFile()
    {
        const FailureDomainId hal("hal");
        m_file.m_failureDomains = { { hal, RegionId("r"), false } };
        for (std::uint32_t i = 0; i < m_load.m_workers; ++i)
            m_file.m_workers.push_back({ WorkerId("worker-" + std::to_string(i)), hal,
                RackId("rack-" + std::to_string(i / 8)), { 32000, 131072, 0 }, "10.0.0.1:7000" });
        ClassPolicy service;
        service.m_name = ClassId("service");
        service.m_kind = ClassKind::Service;
        ClassPolicy batch;
        batch.m_name = ClassId("batch");
        m_file.m_classes = { service, batch };
        const Resources plenty { 1000000000, 1000000000, 0 };
        m_file.m_teams = { { TeamId("team"), plenty, plenty } };
        WorkloadSpec monitor;
        monitor.m_name = WorkloadId("monitor");
        monitor.m_team = TeamId("team");
        monitor.m_class = ClassId("service");
        monitor.m_instances = std::uint32_t(m_load.m_instancesPerWorker * m_load.m_workers);
        monitor.m_resources = { 1000, 1024, 0 };
        monitor.m_program = "/opt/monitor --watch";
        WorkloadSpec score = monitor;
        score.m_name = WorkloadId("score");
        score.m_class = ClassId("batch");
        score.m_instances = 0;
        m_file.m_workloads = { monitor, score };
    }

    void addDaemon(std::uint32_t index)
    {
        DomainSchedulerSettings settings;
        settings.m_lease.m_failureDomain = FailureDomainId("hal");
        settings.m_lease.m_daemon = DaemonId("daemon-" + std::to_string(index));
        settings.m_lease.m_holder = "daemon-" + std::to_string(index) + "@1";
        settings.m_lease.m_seed = m_load.m_seed;
        settings.m_cell.m_failureDomain = FailureDomainId("hal");
        m_daemons.push_back({ std::make_unique<DomainScheduler>(settings), false, true, {} });
        m_daemons.back().m_scheduler->configure({ m_file, 1, {}, {} }, m_now);
    }

    void at(Duration delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }

    template <typename Call> void timed(std::size_t daemon, Call call)
    {
        if (m_daemons[daemon].m_dead)
            return;
        const double begin = processorSeconds();
        call(*m_daemons[daemon].m_scheduler);
        m_cpu += processorSeconds() - begin;
        m_daemons[daemon].m_due = true;
    }

    void step(std::size_t index)
    {
        std::vector<OwnershipAction> actions;
        timed(index, [&](DomainScheduler& scheduler) {
            actions = scheduler.step(m_now);
            m_daemons[index].m_wake = scheduler.nextWake(m_now);
        });
        m_daemons[index].m_due = false;
        for (const OwnershipAction& action : actions)
            std::visit([&](const auto& typed) { perform(index, typed); }, action);
    }

    void perform(std::size_t daemon, const SendLease& request)
    {
        ++m_exchanges;
        m_bytes += MessageSize::of(request);
        at(milliseconds(1), [this, daemon, request] { arrive(daemon, request); });
    }

    void arrive(std::size_t daemon, const SendLease& request)
    {
        Worker& worker = m_workers.at(request.m_worker);
        const bool renewal = request.m_holder == worker.m_holder && request.m_epoch == worker.m_epoch;
        if (!renewal && (m_now < worker.m_expires || request.m_epoch <= worker.m_epoch)) {
            m_bytes += MessageSize::answerHead + 60;
            const LeaseRejection rejection { worker.m_holder, worker.m_epoch,
                std::max(Duration::zero(), worker.m_expires - m_now) };
            at(milliseconds(1), [=, this] {
                timed(daemon, [&](DomainScheduler& to) {
                    to.leaseRejected(request.m_worker, request.m_request, rejection, m_now);
                });
            });
            return;
        }
        worker.m_holder = request.m_holder;
        worker.m_epoch = request.m_epoch;
        worker.m_expires = m_now + request.m_ttl;
        for (const TaskAttempt& attempt : request.m_acknowledged)
            worker.m_tasks.erase(attempt.m_task);
        worker.m_poll = Poll { daemon, request };
        if (worker.m_sequence != request.m_since || request.m_wait == Duration::zero())
            answerPoll(worker);
        else
            at(request.m_wait, [this, name = request.m_worker, number = request.m_request, daemon] {
                Worker& waiting = m_workers.at(name);
                if (waiting.m_poll && waiting.m_poll->m_daemon == daemon
                    && waiting.m_poll->m_request.m_request == number)
                    answerPoll(waiting);
            });
    }

    void answerPoll(Worker& worker)
    {
        const std::optional<Poll> taken = worker.m_poll;
        worker.m_poll.reset();
        if (taken.has_value())
            answer(worker, taken.value());
    }

    void answer(Worker& worker, const Poll& poll)
    {
        const SendLease& request = poll.m_request;
        LeaseGrant grant { worker.m_epoch,
            { request.m_worker, IncarnationId(worker.m_incarnation), worker.m_sequence, request.m_since == 0, {} } };
        for (const auto& [name, task] : worker.m_tasks) {
            if (request.m_since == 0 || task.second > request.m_since)
                grant.m_report.m_tasks.push_back(task.first);
        }
        m_bytes += MessageSize::of(grant.m_report);
        at(milliseconds(1), [this, daemon = poll.m_daemon, request, grant] {
            timed(daemon,
                [&](DomainScheduler& to) { to.leaseGranted(request.m_worker, request.m_request, grant, m_now); });
        });
    }

    void changed(Worker& worker, const TaskId& task)
    {
        worker.m_tasks.at(task).second = ++worker.m_sequence;
        if (worker.m_poll)
            answerPoll(worker);
    }

    void perform(std::size_t, const SendRelease& release)
    {
        ++m_exchanges;
        m_bytes += MessageSize::requestHead + MessageSize::answerHead + 40;
        Worker& worker = m_workers.at(release.m_worker);
        if (worker.m_holder == release.m_holder && worker.m_epoch == release.m_epoch)
            worker.m_expires = {};
    }

    void perform(std::size_t daemon, const SendCommands& batch)
    {
        ++m_exchanges;
        m_bytes += MessageSize::of(batch);
        at(milliseconds(2), [this, daemon, batch] {
            Worker& worker = m_workers.at(batch.m_worker);
            for (const WorkerCommand& command : batch.m_commands)
                execute(worker, batch.m_worker, command);
            const std::vector<CommandResult> results(batch.m_commands.size());
            timed(daemon,
                [&](DomainScheduler& to) { to.commandsAnswered(batch.m_worker, batch.m_request, results, m_now); });
        });
    }

    void execute(Worker& worker, const WorkerId& name, const WorkerCommand& command)
    {
        if (command.m_operation != CommandOperation::Start || worker.m_tasks.contains(command.m_task))
            return;
        ++m_started;
        TaskReport report;
        report.m_task = command.m_task;
        report.m_attempt = command.m_attempt;
        report.m_state = TaskState::Running;
        report.m_declared = command.m_resources;
        report.m_usage = command.m_resources;
        worker.m_tasks[command.m_task] = { report, 0 };
        changed(worker, command.m_task);
        if (command.m_task.value().starts_with("monitor"))
            return;
        at(m_load.m_taskTime, [this, name, task = command.m_task] {
            Worker& running = m_workers.at(name);
            const auto found = running.m_tasks.find(task);
            if (found == running.m_tasks.end())
                return;
            found->second.first.m_state = TaskState::Ended;
            changed(running, task);
        });
    }

    void perform(std::size_t daemon, const AppendRecord& append)
    {
        m_logBytes += encodeRecord(append.m_record).size() + 4;
        m_stream.push_back(append.m_record);
        at(milliseconds(25), [this, daemon, id = append.m_record.m_id] {
            timed(daemon, [&](DomainScheduler& to) { to.appendFinished(id, AppendOutcome::Appended, m_now); });
        });
    }

    void perform(std::size_t, const ReplyToSubmitter&) { }

    void submitNext()
    {
        const double perSecond = m_load.m_startsPerWorker * m_load.m_workers;
        at(Duration(std::int64_t(1e6 / perSecond)), [this] { submitNext(); });
        const std::optional<std::size_t> index = owner();
        if (!index)
            return;
        const placement::JobRequest request { JobId("hal.job" + std::to_string(m_nextJob++)), WorkloadId("score"), 1 };
        timed(*index, [&](DomainScheduler& to) { to.submitJob(m_nextJob, request, m_now); });
    }

    void everySecond()
    {
        at(seconds(1), [this] { everySecond(); });
        std::vector<DaemonId> live;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (!m_daemons[i].m_dead)
                live.emplace_back("daemon-" + std::to_string(i));
        }
        const std::size_t read = std::exchange(m_read, m_stream.size());
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            timed(i, [&](DomainScheduler& to) {
                to.setCandidates(live, m_now);
                for (std::size_t j = 0; j < m_daemons.size(); ++j) {
                    const std::uint64_t epoch = m_daemons[j].m_dead ? 0 : scheduler(j).schedulerEpoch(m_now);
                    if (epoch && j != i)
                        to.schedulerSeen(DaemonId("daemon-" + std::to_string(j)), epoch, m_now);
                }
                for (std::size_t k = read; k < m_stream.size(); ++k)
                    to.recordRead(FailureDomainId("hal"), m_stream[k], m_now, m_now);
                to.streamCaughtUp(FailureDomainId("hal"), m_now, m_now);
            });
        }
    }

    DomainLoad m_load;
    ClusterFile m_file;
    TimePoint m_now { seconds(1000) };
    std::vector<Daemon> m_daemons;
    std::map<WorkerId, Worker> m_workers;
    std::vector<StreamRecord> m_stream;
    std::size_t m_read = 0;
    std::uint64_t m_nextJob = 0;
    std::multimap<TimePoint, std::function<void()>> m_events;
};

} // namespace sapphiredale::bench
