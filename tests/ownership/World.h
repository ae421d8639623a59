// Simulated time, network and log around the ownership core for its tests.
#pragma once

#include "ownership/DomainSchedulerImpl.h"
#include "tests/ownership/FakeCell.h"
#include "tests/ownership/FakeWorker.h"

#include <cppunit/TestAssert.h>
#include <functional>
#include <memory>
#include <set>

namespace sapphiredale::ownership {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Daemons, workers and streams that exchange messages with a delay of one millisecond.
template <CellType Cell> class BasicWorld {
public:
    using TestScheduler = BasicDomainScheduler<Cell>;

    struct Node {
        FailureDomainId m_domain;
        std::unique_ptr<TestScheduler> m_scheduler;
        bool m_dead = false;
        /// A paused daemon runs no code; what arrives waits until it resumes.
        bool m_paused = false;
        /// The daemon pauses between the decision on its next commands and their sending.
        bool m_pauseBeforeCommands = false;
        std::vector<OwnershipAction> m_outbox;
        /// Cut off from the log and from daemons of other domains.
        bool m_cutOff = false;
        /// Cut off from the log only.
        bool m_logBlocked = false;
        std::vector<std::function<void()>> m_inbox;
        std::map<FailureDomainId, std::size_t> m_read;
        std::map<SubmissionNumber, ReplyToSubmitter> m_replies;
    };

    TimePoint m_now { seconds(1000) };
    std::map<WorkerId, FakeWorker> m_workers;
    std::set<WorkerId> m_deadWorkers;
    std::map<std::string, Node> m_nodes;
    std::map<FailureDomainId, std::vector<StreamRecord>> m_streams;
    bool m_logUp = true;
    /// Return true to lose a message: the answer to a lease or command request, or the result of an append.
    std::function<bool(const OwnershipAction&)> m_loseAnswer;
    /// Called for each action, for counting.
    std::function<void(const std::string&, const OwnershipAction&)> m_observe;
    /// Commands that a worker rejected as stale.
    int m_fencedCommands = 0;

    static ClusterFile file(std::uint32_t workers, const std::vector<std::string>& domains = { "hal" })
    {
        ClusterFile file;
        for (const std::string& domain : domains) {
            file.m_failureDomains.push_back({ FailureDomainId(domain), RegionId("r"), false });
            for (std::uint32_t i = 0; i < workers; ++i)
                file.m_workers.push_back({ WorkerId(domain + "-w" + std::to_string(i)), FailureDomainId(domain),
                    RackId("k"), { 4000, 4000, 0 }, "127.0.0.1:1" });
        }
        ClassPolicy service;
        service.m_name = ClassId("service");
        service.m_kind = ClassKind::Service;
        ClassPolicy moving = service;
        moving.m_name = ClassId("moving");
        moving.m_onDomainLoss = OnDomainLoss::MoveAfterLoss;
        ClassPolicy batch;
        batch.m_name = ClassId("batch");
        ClassPolicy memory = batch;
        memory.m_name = ClassId("memory");
        memory.m_durability = Durability::Memory;
        file.m_classes = { service, moving, batch, memory };
        const Resources plenty { 10000000, 10000000, 0 };
        file.m_teams.push_back({ TeamId("team"), plenty, plenty });
        for (const auto& [name, policy, instances] :
            { std::tuple("monitor", "service", 2U), std::tuple("mover", "moving", domains.size() > 1 ? 4U : 0U),
                std::tuple("score", "batch", 0U), std::tuple("quick", "memory", 0U) }) {
            WorkloadSpec workload;
            workload.m_name = WorkloadId(name);
            workload.m_team = TeamId("team");
            workload.m_class = ClassId(policy);
            workload.m_instances = instances;
            workload.m_resources = { 1000, 100, 0 };
            file.m_workloads.push_back(workload);
        }
        return file;
    }

    Node& addNode(const std::string& name, const std::string& domain = "hal")
    {
        Node& node = m_nodes[name];
        node.m_domain = FailureDomainId(domain);
        DomainSchedulerSettings settings;
        settings.m_lease.m_failureDomain = node.m_domain;
        settings.m_lease.m_daemon = DaemonId(name);
        settings.m_lease.m_holder = name + "@" + std::to_string(++m_starts);
        node.m_scheduler = std::make_unique<TestScheduler>(settings);
        return node;
    }

    TestScheduler& scheduler(const std::string& name) { return *m_nodes.at(name).m_scheduler; }

    void configure(const ClusterFile& file, std::uint64_t version, const std::vector<WorkerSpec>& previous = {})
    {
        for (const WorkerSpec& worker : file.m_workers)
            m_workers.try_emplace(worker.m_name);
        for (auto& [name, node] : m_nodes)
            node.m_scheduler->configure({ file, version, previous, {} }, m_now);
    }

    /// Runs until the given time has passed, in steps of one millisecond of which idle ones are skipped.
    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (m_now < end) {
            TimePoint next = std::min(end, m_nextSecond);
            for (auto& [name, node] : m_nodes) {
                if (!node.m_dead && !node.m_paused)
                    next = std::min(next, node.m_scheduler->nextWake(m_now));
            }
            if (!m_events.empty())
                next = std::min(next, m_events.begin()->first);
            m_now = std::max(m_now, next);
            if (m_now >= m_nextSecond)
                everySecond();
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            for (auto& [name, node] : m_nodes)
                stepNode(name, node);
            checkCopies();
        }
    }

    /// Name of the only scheduler of a domain, or an empty string.
    std::string owner(const std::string& domain = "hal")
    {
        std::string found;
        for (auto& [name, node] : m_nodes) {
            if (node.m_dead || node.m_domain.value() != domain || !node.m_scheduler->isScheduler(m_now))
                continue;
            CPPUNIT_ASSERT_MESSAGE("two schedulers", found.empty());
            found = name;
        }
        return found;
    }

    std::size_t running(const TaskId& task) const
    {
        return static_cast<std::size_t>(std::count_if(m_workers.begin(), m_workers.end(),
            [&](const auto& entry) { return !m_deadWorkers.contains(entry.first) && entry.second.runs(task); }));
    }

    WorkerId workerOf(const TaskId& task) const
    {
        for (const auto& [name, worker] : m_workers) {
            if (!m_deadWorkers.contains(name) && worker.runs(task))
                return name;
        }
        return {};
    }

    std::size_t executedStarts(const TaskId& task) const
    {
        std::size_t starts = 0;
        for (const auto& [name, worker] : m_workers) {
            const auto found = worker.m_starts.find(task);
            starts += found == worker.m_starts.end() ? 0 : found->second;
        }
        return starts;
    }

    void kill(const std::string& node) { m_nodes.at(node).m_dead = true; }
    void resume(const std::string& name)
    {
        Node& node = m_nodes.at(name);
        node.m_paused = false;
        for (const OwnershipAction& action : std::exchange(node.m_outbox, {}))
            std::visit([&](const auto& typed) { perform(name, typed); }, action);
        for (const auto& message : std::exchange(node.m_inbox, {}))
            message();
    }
    /// Cuts every path between a daemon and a worker.
    void cut(const std::string& node, const WorkerId& worker) { m_cuts.emplace(node, worker); }
    void heal() { m_cuts.clear(); }

private:
    void at(Duration delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }

    void deliver(const std::string& name, const std::function<void(TestScheduler&)>& message)
    {
        Node& node = m_nodes.at(name);
        if (node.m_dead)
            return;
        if (node.m_paused)
            node.m_inbox.push_back([this, name, message] { message(scheduler(name)); });
        else
            message(*node.m_scheduler);
    }

    void stepNode(const std::string& name, Node& node)
    {
        if (node.m_dead || node.m_paused)
            return;
        for (const OwnershipAction& action : node.m_scheduler->step(m_now)) {
            if (node.m_pauseBeforeCommands && std::holds_alternative<SendCommands>(action)) {
                node.m_pauseBeforeCommands = false;
                node.m_paused = true;
            }
            if (node.m_paused) {
                node.m_outbox.push_back(action);
                continue;
            }
            if (m_observe)
                m_observe(name, action);
            std::visit([&](const auto& typed) { perform(name, typed); }, action);
        }
    }

    bool reaches(const std::string& name, const WorkerId& worker) const
    {
        return m_workers.contains(worker) && !m_deadWorkers.contains(worker) && !m_cuts.contains({ name, worker });
    }

    void perform(const std::string& name, const SendLease& request)
    {
        if (reaches(name, request.m_worker))
            at(milliseconds(1), [this, name, request] { arrive(name, request, m_now + request.m_wait); });
    }

    void arrive(const std::string& name, const SendLease& request, TimePoint until)
    {
        if (!reaches(name, request.m_worker))
            return;
        FakeWorker& worker = m_workers.at(request.m_worker);
        const auto answer = worker.lease(request, m_now);
        if (!std::holds_alternative<LeaseGrant>(answer)) {
            answerLease(name, request, answer);
            return;
        }
        SendLease poll = request;
        poll.m_acknowledged.clear();
        poll.m_externalContact = false;
        waitForChange(name, poll, until);
    }

    void waitForChange(const std::string& name, const SendLease& request, TimePoint until)
    {
        FakeWorker& worker = m_workers.at(request.m_worker);
        worker.expireLapses(m_now);
        if (m_now < until && worker.m_sequence == request.m_since && worker.m_epoch == request.m_epoch) {
            at(milliseconds(100), [this, name, request, until] { waitForChange(name, request, until); });
            return;
        }
        if (worker.m_epoch != request.m_epoch)
            answerLease(name, request, LeaseRejection { worker.m_holder, worker.m_epoch, worker.m_expires - m_now });
        else
            answerLease(name, request, LeaseGrant { worker.m_epoch, worker.report(request.m_worker, request.m_since) });
    }

    void answerLease(
        const std::string& name, const SendLease& request, const std::variant<LeaseGrant, LeaseRejection>& answer)
    {
        if ((m_loseAnswer && m_loseAnswer(request)) || !reaches(name, request.m_worker))
            return;
        at(milliseconds(1), [=, this] {
            deliver(name, [=, this](TestScheduler& to) {
                if (const auto* grant = std::get_if<LeaseGrant>(&answer))
                    to.leaseGranted(request.m_worker, request.m_request, *grant, m_now);
                else
                    to.leaseRejected(request.m_worker, request.m_request, *std::get_if<LeaseRejection>(&answer), m_now);
            });
        });
    }

    void perform(const std::string& name, const SendRelease& release)
    {
        if (reaches(name, release.m_worker))
            at(milliseconds(1), [this, release] { m_workers.at(release.m_worker).release(release); });
    }

    void perform(const std::string& name, const SendCommands& batch)
    {
        if (!reaches(name, batch.m_worker))
            return;
        at(milliseconds(1), [=, this] {
            const CommandsAnswer answer = m_workers.at(batch.m_worker).commands(batch, m_now);
            const auto* refusal = std::get_if<CommandsRefusal>(&answer);
            m_fencedCommands += refusal && *refusal == CommandsRefusal::StaleEpoch;
            if (m_loseAnswer && m_loseAnswer(batch))
                return;
            at(milliseconds(1), [=, this] {
                deliver(name, [=, this](TestScheduler& to) {
                    to.commandsAnswered(batch.m_worker, batch.m_request, answer, m_now);
                });
            });
        });
    }

    void perform(const std::string& name, const AppendRecord& append)
    {
        const bool reached = m_logUp && !m_nodes.at(name).m_cutOff && !m_nodes.at(name).m_logBlocked;
        if (reached)
            m_streams[append.m_stream].push_back(append.m_record);
        if (reached && m_loseAnswer && m_loseAnswer(append))
            return;
        const AppendOutcome outcome = reached ? AppendOutcome::Appended : AppendOutcome::Failed;
        at(milliseconds(2), [=, this] {
            deliver(name, [=, this](TestScheduler& to) { to.appendFinished(append.m_record.m_id, outcome, m_now); });
        });
    }

    void perform(const std::string& name, const ReplyToSubmitter& reply)
    {
        m_nodes.at(name).m_replies[reply.m_submission] = reply;
    }

    /// Heartbeats, stream reads and reachability updates, once per second.
    void everySecond()
    {
        m_nextSecond = m_now + seconds(1);
        for (auto& [name, node] : m_nodes) {
            if (node.m_dead || node.m_paused)
                continue;
            std::vector<DaemonId> peers;
            Reachability reach;
            std::size_t heard = 1;
            for (auto& [other, peer] : m_nodes) {
                if (peer.m_dead || peer.m_paused)
                    continue;
                if (peer.m_domain == node.m_domain) {
                    peers.emplace_back(other);
                    const std::uint64_t epoch = peer.m_scheduler->schedulerEpoch(m_now);
                    if (epoch && other != name)
                        node.m_scheduler->schedulerSeen(DaemonId(other), epoch, m_now);
                    else if (peer.m_scheduler->phase() == TestScheduler::Phase::Released)
                        node.m_scheduler->schedulerStopped(DaemonId(other), m_now);
                } else if (!peer.m_cutOff && !node.m_cutOff) {
                    ++heard;
                    m_evidence[name][peer.m_domain] = m_now;
                }
            }
            for (auto& [other, peer] : m_nodes) {
                if (peer.m_domain != node.m_domain)
                    m_evidence[name].try_emplace(peer.m_domain, m_now);
            }
            reach.m_lastEvidence = m_evidence[name];
            reach.m_majorityReached = heard * 2 > m_nodes.size();
            if (reach.m_majorityReached)
                reach.m_confirmedContact = m_now;
            node.m_scheduler->setReach(reach, m_now);
            node.m_scheduler->setCandidates(peers, m_now);
            if (m_logUp && !node.m_cutOff && !node.m_logBlocked)
                readStreams(node);
        }
    }

    void readStreams(Node& node)
    {
        for (const FailureDomainId& stream : node.m_scheduler->streamsToFollow()) {
            const auto& records = m_streams[stream];
            for (std::size_t& next = node.m_read[stream]; next < records.size(); ++next)
                node.m_scheduler->recordRead(stream, records[next], m_now, m_now);
            node.m_scheduler->streamCaughtUp(stream, m_now, m_now);
        }
    }

    void checkCopies()
    {
        std::map<TaskId, std::size_t> copies;
        for (auto& [name, worker] : m_workers) {
            worker.expireLapses(m_now);
            for (const auto& [task, report] : worker.m_tasks) {
                if (!isFinal(report.m_state) && !m_deadWorkers.contains(name))
                    CPPUNIT_ASSERT_MESSAGE(task.value() + " runs in two places", ++copies[task] == 1);
            }
        }
    }

    int m_starts = 0;
    TimePoint m_nextSecond { seconds(1000) };
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::set<std::pair<std::string, WorkerId>> m_cuts;
    std::map<std::string, std::map<FailureDomainId, TimePoint>> m_evidence;
};

using World = BasicWorld<FakeCell>;

} // namespace sapphiredale::ownership
