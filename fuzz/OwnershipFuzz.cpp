// State test of the domain scheduler with the real placement core: daemons that contend for the lease registers of the
// workers, with lost, late and repeated answers, partitions, pauses, restarts, log outages, worker deaths, wrong sizes
// and clocks of different rates.

#include "fuzz/Fuzzing.h"
#include "ownership/DomainScheduler.h"
#include "tests/ownership/FakeWorker.h"

#include <algorithm>
#include <array>
#include <memory>
#include <set>

namespace sapphiredale::fuzz {

namespace {

    using namespace ownership;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::size_t nodeCount = 3;
    constexpr std::size_t workerCount = 5;
    constexpr Resources capacity { 4000, 4000, 1 };
    const FailureDomainId domain("hal");

    enum class Sabotage : std::uint8_t {
        None,
        /// Workers grant a lease that another holder still has.
        RegisterGrantsTwice,
        /// A restarted worker grants a lease at once instead of after one lease length.
        RestartedWorkerGrants,
        /// The clocks of the workers run faster than the margin allows.
        FastWorkerClocks,
        /// Full reports of the workers leave out their first task.
        IncompleteReports,
    };

    ClusterFile clusterFile()
    {
        ClusterFile file;
        file.m_failureDomains.push_back({ domain, RegionId("r"), false });
        for (std::size_t i = 0; i < workerCount; ++i)
            file.m_workers.push_back(
                { WorkerId("w" + std::to_string(i)), domain, RackId("k"), capacity, "127.0.0.1:1" });
        file.m_teams.push_back({ TeamId("t"), capacity * 2, capacity * 5 });
        const auto add = [&file](const char* name, ClassKind kind, Durability durability, std::uint32_t instances,
                             const Resources& resources) {
            ClassPolicy policy;
            policy.m_name = ClassId(name);
            policy.m_kind = kind;
            policy.m_durability = durability;
            policy.m_urgent = durability == Durability::Memory;
            policy.m_priority = policy.m_urgent ? 10 : 0;
            file.m_classes.push_back(policy);
            WorkloadSpec workload;
            workload.m_name = WorkloadId(name);
            workload.m_team = TeamId("t");
            workload.m_class = policy.m_name;
            workload.m_instances = instances;
            workload.m_resources = resources;
            file.m_workloads.push_back(workload);
        };
        add("monitor", ClassKind::Service, Durability::Log, 4, { 1500, 500, 0 });
        add("score", ClassKind::Batch, Durability::Log, 0, { 1000, 1000, 0 });
        add("quick", ClassKind::Batch, Durability::Memory, 0, { 700, 2500, 1 });
        add("gang", ClassKind::Group, Durability::Log, 0, { 2500, 100, 0 });
        return file;
    }

    struct Node {
        std::unique_ptr<DomainScheduler> m_scheduler;
        std::string m_holder;
        LocalClock m_clock;
        std::uint64_t m_life = 0;
        bool m_paused = false;
        bool m_cutOff = false;
        std::size_t m_read = 0;
        std::vector<std::function<void()>> m_inbox;

        bool runs() const { return m_scheduler && !m_paused; }
    };

    struct Worker {
        FakeWorker m_state;
        bool m_dead = false;
        TimePoint m_diedAt {};
        /// Time by which every lease of an earlier incarnation has expired, also by the holder's clock.
        TimePoint m_settledAt {};
    };

    class World {
    public:
        explicit World(Sabotage sabotage)
            : m_sabotage(sabotage)
        {
            for (std::size_t i = 0; i < workerCount; ++i) {
                const double difference = sabotage == Sabotage::FastWorkerClocks ? 0.05 : 0.01;
                m_workers[i].m_state.m_clockRate = 1.0 + (i % 2 ? difference : -0.01);
            }
            for (std::size_t i = 0; i < nodeCount; ++i) {
                m_nodes[i].m_clock.m_perMille = static_cast<std::int64_t>(i) * 10 - 10;
                start(i);
            }
        }

        void execute(const Command& command)
        {
            Node& node = m_nodes[command.m_a % nodeCount];
            Worker& worker = m_workers[command.m_a % workerCount];
            switch (command.m_kind) {
            case 0:
            case 1:
                return submit(command.m_b);
            case 2:
                return cancel(command.m_a, command.m_b);
            case 3:
            case 4:
                return advance(milliseconds(command.m_b * 5));
            case 5:
            case 6:
                return advance(seconds(command.m_b % 30));
            case 7:
                node.m_paused = true;
                return;
            case 8:
                return resume(command.m_a % nodeCount);
            case 9:
                node.m_scheduler.reset();
                node.m_inbox.clear();
                return;
            case 10:
                return start(command.m_a % nodeCount);
            case 11:
                m_cuts.emplace(command.m_a % nodeCount, command.m_b % workerCount);
                return;
            case 12:
                m_cuts.clear();
                return;
            case 13:
                m_logUp = command.m_b % 3 != 0;
                return;
            case 14:
                m_losses = command.m_b % 4;
                return;
            case 15:
                m_extraDelay = milliseconds(command.m_b % 3 * 2000);
                m_repeat = command.m_b % 2 == 1;
                return;
            case 16:
                return kill(worker);
            case 17:
                return revive(worker);
            case 18:
                return endTask(worker, command.m_b);
            case 19:
                return changeUsage(worker, command.m_b);
            default:
                node.m_cutOff = command.m_b % 2 == 0;
                return;
            }
        }

        /// Without further faults a failed scheduler is replaced within lease length + 5 s (design 2.10).
        void finish()
        {
            m_cuts.clear();
            m_logUp = true;
            m_losses = 0;
            m_extraDelay = Duration::zero();
            m_repeat = false;
            for (Worker& worker : m_workers)
                revive(worker);
            for (std::size_t i = 0; i < nodeCount; ++i) {
                m_nodes[i].m_cutOff = false;
                resume(i);
                start(i);
            }
            advance(seconds(25));
            RC_ASSERT(schedulers() == 1U);
        }

    private:
        void start(std::size_t i)
        {
            Node& node = m_nodes[i];
            if (node.m_scheduler)
                return;
            const std::string name = "n" + std::to_string(i);
            DomainSchedulerSettings settings;
            settings.m_lease.m_failureDomain = domain;
            settings.m_lease.m_daemon = DaemonId(name);
            settings.m_lease.m_holder = node.m_holder = name + "@" + std::to_string(++m_starts);
            settings.m_lease.m_seed = m_starts;
            settings.m_cell.m_failureDomain = domain;
            settings.m_cell.m_seed = m_starts;
            node.m_scheduler = std::make_unique<DomainScheduler>(settings);
            node.m_scheduler->configure({ clusterFile(), 1, {}, {} }, local(node));
            node.m_paused = false;
            node.m_read = 0;
            ++node.m_life;
        }

        void resume(std::size_t i)
        {
            m_nodes[i].m_paused = false;
            for (const auto& message : std::exchange(m_nodes[i].m_inbox, {}))
                message();
        }

        void submit(std::uint32_t choice)
        {
            constexpr std::array workloads { "score", "quick", "gang" };
            const JobId job("j" + std::to_string(++m_jobs));
            for (Node& node : m_nodes) {
                if (node.runs() && node.m_scheduler->isScheduler(local(node)))
                    return node.m_scheduler->submitJob(m_jobs,
                        { job, WorkloadId(workloads.at(choice % workloads.size())), 1 + choice % 4 }, local(node));
            }
        }

        void cancel(std::uint32_t nodeChoice, std::uint32_t jobChoice)
        {
            Node& node = m_nodes[nodeChoice % nodeCount];
            if (node.runs() && m_jobs > 0)
                node.m_scheduler->cancelJob(
                    100000 + ++m_cancels, JobId("j" + std::to_string(1 + jobChoice % m_jobs)), local(node));
        }

        void kill(Worker& worker)
        {
            if (worker.m_dead)
                return;
            worker.m_dead = true;
            worker.m_diedAt = m_now;
        }

        void revive(Worker& worker)
        {
            if (!worker.m_dead)
                return;
            worker.m_dead = false;
            worker.m_state.restart("i" + std::to_string(++m_incarnations));
            worker.m_settledAt = m_now + seconds(21);
            // The majority lease requires this of the workers: a scheduler may still consider the lease of the earlier
            // run as held.
            if (m_sabotage != Sabotage::RestartedWorkerGrants)
                worker.m_state.m_expires = worker.m_settledAt;
        }

        static std::vector<TaskId> runningOn(const Worker& worker)
        {
            std::vector<TaskId> tasks;
            for (const auto& [id, task] : worker.m_state.m_tasks) {
                if (!isFinal(task.m_state))
                    tasks.push_back(id);
            }
            return tasks;
        }

        static void endTask(Worker& worker, std::uint32_t choice)
        {
            const std::vector<TaskId> tasks = runningOn(worker);
            if (!tasks.empty())
                worker.m_state.finish(
                    tasks[choice % tasks.size()], choice % 3 == 0 ? TaskState::Failed : TaskState::Ended);
        }

        static void changeUsage(Worker& worker, std::uint32_t choice)
        {
            const std::vector<TaskId> tasks = runningOn(worker);
            if (tasks.empty())
                return;
            TaskReport& task = worker.m_state.m_tasks[tasks[choice % tasks.size()]];
            task.m_usage
                = { task.m_declared.m_cpuMillis * (choice % 4), task.m_declared.m_memoryMiB * (choice % 3), 0 };
            worker.m_state.m_changedAt[task.m_task] = ++worker.m_state.m_sequence;
        }

        TimePoint local(const Node& node) const { return node.m_clock.local(m_now); }

        void advance(Duration duration)
        {
            const TimePoint end = m_now + duration;
            while (m_now < end) {
                TimePoint next = m_events.nextOr(std::min(end, m_nextSecond));
                for (const Node& node : m_nodes) {
                    if (node.runs())
                        next = std::min(next, node.m_clock.global(node.m_scheduler->nextWake(local(node))));
                }
                // Idle milliseconds are skipped, but no two steps are nearer than one.
                m_now = std::min(end, std::max(next, m_now + milliseconds(1)));
                if (m_now >= m_nextSecond)
                    everySecond();
                while (m_events.isDue(m_now))
                    m_events.runNext();
                for (std::size_t i = 0; i < nodeCount; ++i)
                    step(i);
                verify();
            }
        }

        void step(std::size_t i)
        {
            Node& node = m_nodes[i];
            if (!node.runs())
                return;
            for (const OwnershipAction& action : node.m_scheduler->step(local(node)))
                std::visit([&](const auto& typed) { perform(i, typed); }, action);
        }

        std::size_t schedulers() const
        {
            return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
                [&](const Node& node) { return node.m_scheduler && node.m_scheduler->isScheduler(local(node)); }));
        }

        /// Invariants that are checked at every step.
        void verify()
        {
            RC_ASSERT(schedulers() <= 1U);
            for (const Node& node : m_nodes) {
                for (std::size_t w = 0; node.m_scheduler && w < workerCount; ++w)
                    verifyLease(node, w);
            }
            std::map<TaskId, int> places;
            for (Worker& worker : m_workers) {
                if (worker.m_dead)
                    continue;
                worker.m_state.expireLapses(m_now);
                Resources used;
                for (const TaskId& task : runningOn(worker)) {
                    used += worker.m_state.m_tasks[task].m_declared;
                    RC_ASSERT(++places[task] == 1);
                }
                RC_ASSERT(used.fitsIn(capacity));
            }
        }

        /// A lease that a daemon considers held, paused or not, must still be in the register of the worker.
        void verifyLease(const Node& node, std::size_t w) const
        {
            const Worker& worker = m_workers[w];
            const std::uint64_t epoch = node.m_scheduler->lease().epochOn(nameOf(w), local(node));
            if (epoch == 0 || worker.m_dead || m_now < worker.m_settledAt)
                return;
            RC_ASSERT(worker.m_state.m_holder == node.m_holder && worker.m_state.m_epoch == epoch);
            RC_ASSERT(m_now < worker.m_state.m_expires);
        }

        static WorkerId nameOf(std::size_t worker) { return WorkerId("w" + std::to_string(worker)); }
        static std::size_t indexOf(const WorkerId& worker) { return static_cast<std::size_t>(worker.value()[1] - '0'); }

        void everySecond()
        {
            m_nextSecond = m_now + seconds(1);
            for (std::size_t i = 0; i < nodeCount; ++i) {
                Node& node = m_nodes[i];
                if (!node.runs())
                    continue;
                std::vector<DaemonId> candidates;
                for (std::size_t other = 0; other < nodeCount; ++other) {
                    const Node& peer = m_nodes[other];
                    if (!peer.runs() || (other != i && (peer.m_cutOff || node.m_cutOff)))
                        continue;
                    candidates.emplace_back("n" + std::to_string(other));
                    const std::uint64_t epoch = peer.m_scheduler->schedulerEpoch(local(peer));
                    if (epoch && other != i)
                        node.m_scheduler->schedulerSeen(candidates.back(), epoch, local(node));
                }
                node.m_scheduler->setCandidates(candidates, local(node));
                node.m_scheduler->setReach({ local(node), true, {} }, local(node));
                for (std::size_t w = 0; w < workerCount; ++w) {
                    const bool gone = m_workers[w].m_dead && m_workers[w].m_diedAt + seconds(5) < m_now;
                    node.m_scheduler->workerListed(nameOf(w), gone ? HostState::Gone : HostState::Live, local(node));
                }
                if (m_logUp && !node.m_cutOff)
                    readStream(node);
            }
        }

        void readStream(Node& node)
        {
            for (; node.m_read < m_stream.size(); ++node.m_read) {
                const auto& [time, record] = m_stream[node.m_read];
                node.m_scheduler->recordRead(domain, record, node.m_clock.local(time), local(node));
            }
            node.m_scheduler->streamCaughtUp(domain, local(node), local(node));
        }

        bool reaches(std::size_t i, std::size_t worker) const
        {
            return !m_workers[worker].m_dead && !m_cuts.contains({ i, worker });
        }

        /// Delivers an answer to a daemon after the present delay, perhaps twice; a paused daemon gets it later.
        void deliver(std::size_t i, std::uint64_t life, const std::function<void(Node&)>& message)
        {
            const auto arrive = [this, i, life, message] {
                const auto handle = [this, i, life, message] {
                    if (m_nodes[i].m_scheduler && m_nodes[i].m_life == life)
                        message(m_nodes[i]);
                };
                if (m_nodes[i].m_paused)
                    m_nodes[i].m_inbox.emplace_back(handle);
                else
                    handle();
            };
            m_events.at(m_now + milliseconds(1) + std::exchange(m_extraDelay, Duration::zero()), arrive);
            if (std::exchange(m_repeat, false))
                m_events.at(m_now + milliseconds(900), arrive);
        }

        bool loses()
        {
            if (m_losses == 0)
                return false;
            --m_losses;
            return true;
        }

        void perform(std::size_t i, const SendLease& request)
        {
            m_events.at(m_now + milliseconds(1), [this, i, life = m_nodes[i].m_life, request] {
                const std::size_t w = indexOf(request.m_worker);
                if (!reaches(i, w))
                    return;
                FakeWorker& worker = m_workers[w].m_state;
                if (m_sabotage == Sabotage::RegisterGrantsTwice && request.m_epoch > worker.m_epoch)
                    worker.m_expires = {};
                const auto answer = worker.lease(request, m_now);
                if (std::holds_alternative<LeaseGrant>(answer))
                    poll(i, life, request, m_now + request.m_wait, worker.m_incarnation);
                else if (!loses())
                    deliver(i, life, [this, request, answer](Node& node) {
                        node.m_scheduler->leaseRejected(
                            request.m_worker, request.m_request, std::get<LeaseRejection>(answer), local(node));
                    });
            });
        }

        /// Holds the answer back until the report changes or the wait has passed.
        void poll(std::size_t i, std::uint64_t life, const SendLease& request, TimePoint until, const std::string& run)
        {
            const std::size_t w = indexOf(request.m_worker);
            FakeWorker& worker = m_workers[w].m_state;
            if (!reaches(i, w) || worker.m_incarnation != run)
                return;
            worker.expireLapses(m_now);
            const bool changed = worker.m_sequence != request.m_since || worker.m_epoch != request.m_epoch;
            if (m_now < until && !changed) {
                m_events.at(m_now + milliseconds(250), [=, this] { poll(i, life, request, until, run); });
                return;
            }
            if (loses() || worker.m_epoch != request.m_epoch)
                return;
            LeaseGrant grant { worker.m_epoch, worker.report(request.m_worker, request.m_since) };
            if (m_sabotage == Sabotage::IncompleteReports && grant.m_report.m_full && !grant.m_report.m_tasks.empty())
                grant.m_report.m_tasks.erase(grant.m_report.m_tasks.begin());
            deliver(i, life, [this, request, grant](Node& node) {
                node.m_scheduler->leaseGranted(request.m_worker, request.m_request, grant, local(node));
            });
        }

        void perform(std::size_t i, const SendRelease& release)
        {
            m_events.at(m_now + milliseconds(1), [this, i, release] {
                if (reaches(i, indexOf(release.m_worker)))
                    m_workers[indexOf(release.m_worker)].m_state.release(release);
            });
        }

        void perform(std::size_t i, const SendCommands& batch)
        {
            const Duration delay
                = milliseconds(1) + (m_extraDelay > Duration::zero() ? m_extraDelay : Duration::zero());
            m_events.at(m_now + delay, [this, i, life = m_nodes[i].m_life, batch] {
                const std::size_t w = indexOf(batch.m_worker);
                if (!reaches(i, w))
                    return;
                const CommandsAnswer answer = m_workers[w].m_state.commands(batch, m_now);
                if (!loses())
                    deliver(i, life, [this, batch, answer](Node& node) {
                        node.m_scheduler->commandsAnswered(batch.m_worker, batch.m_request, answer, local(node));
                    });
            });
        }

        void perform(std::size_t i, const AppendRecord& append)
        {
            const bool reached = m_logUp && !m_nodes[i].m_cutOff;
            if (reached)
                m_stream.emplace_back(m_now, append.m_record);
            AppendOutcome outcome = reached ? AppendOutcome::Appended : AppendOutcome::Failed;
            if (reached && loses())
                outcome = AppendOutcome::Unknown;
            deliver(i, m_nodes[i].m_life, [this, append, outcome](Node& node) {
                node.m_scheduler->appendFinished(append.m_record.m_id, outcome, local(node));
            });
        }

        void perform(std::size_t, const ReplyToSubmitter&) { }

        const Sabotage m_sabotage;
        TimePoint m_now { seconds(100000) };
        TimePoint m_nextSecond { seconds(100000) };
        EventQueue m_events;
        std::array<Node, nodeCount> m_nodes;
        std::array<Worker, workerCount> m_workers;
        std::vector<std::pair<TimePoint, StreamRecord>> m_stream;
        std::set<std::pair<std::size_t, std::size_t>> m_cuts;
        bool m_logUp = true;
        std::uint32_t m_losses = 0;
        Duration m_extraDelay {};
        bool m_repeat = false;
        std::uint64_t m_starts = 0;
        std::uint64_t m_jobs = 0;
        std::uint64_t m_cancels = 0;
        std::uint64_t m_incarnations = 1;
    };

    void run(const std::vector<Command>& list, Sabotage sabotage)
    {
        World world(sabotage);
        for (const Command& command : list)
            world.execute(command);
        world.finish();
    }

} // namespace

} // namespace sapphiredale::fuzz

int main()
{
    using namespace sapphiredale::fuzz;
    constexpr std::uint32_t kinds = 21;
    const auto with = [](Sabotage sabotage) { return [sabotage](const auto& list) { run(list, sabotage); }; };
    bool good = runProperty("ownership", kinds, false, with(Sabotage::None));
    good = runList("ownership, a later attempt on a worker that has not reported",
               { { 5, 0, 4 }, { 18, 3, 0 }, { 3, 0, 274 }, { 9, 0, 0 } }, with(Sabotage::None))
        && good;
    good = runProperty("ownership, a register grants twice", kinds, true, with(Sabotage::RegisterGrantsTwice)) && good;
    good = runProperty(
               "ownership, a restarted worker grants at once", kinds, true, with(Sabotage::RestartedWorkerGrants))
        && good;
    good = runProperty("ownership, worker clocks beyond the margin", kinds, true, with(Sabotage::FastWorkerClocks))
        && good;
    good = runProperty("ownership, incomplete reports", kinds, true, with(Sabotage::IncompleteReports)) && good;
    return good ? 0 : 1;
}
