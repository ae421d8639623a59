// Leases, reports, commands and faults of a simulated worker; WorkerTasks.cpp holds the life of its tasks.

#include "standin/SimulatedWorker.h"

#include "model/Rendezvous.h"

#include <cstdio>

namespace sapphiredale::standin {

namespace {

    /// Longest time that a stopped minion waits for its requests.
    constexpr Duration drainTime = std::chrono::seconds(30);

} // namespace

SimulatedWorker::SimulatedWorker(WorkerIdentity identity, WorkerSurroundings surroundings)
    : m_identity(std::move(identity))
    , m_surroundings(surroundings)
{
    chooseIncarnation();
}

void SimulatedWorker::chooseIncarnation()
{
    const std::uint64_t hash
        = stableHash(m_identity.m_name.value() + '#' + std::to_string(++m_incarnations), m_surroundings.m_seed);
    char text[9];
    std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(hash >> 32));
    m_incarnation = IncarnationId(text);
}

bool SimulatedWorker::lease(const WorkerLeaseCall& call, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_register.acquire(call.m_holder, call.m_epoch, call.m_ttl, now))
        return false;
    if (call.m_externalContact)
        m_lastExternalContact = now;
    for (const AttemptKey& key : call.m_acknowledged) {
        const auto found = m_tasks.find(key);
        if (found != m_tasks.end() && isFinal(found->second.m_report.m_state))
            m_tasks.erase(found);
    }
    return true;
}

bool SimulatedWorker::release(const DaemonId& holder, std::uint64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    const bool released = m_register.release(holder, epoch);
    if (released)
        m_signal.notify();
    return released;
}

LeaseView SimulatedWorker::leaseView(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return { m_register.holder(), m_register.epoch(), m_register.expiresIn(now) };
}

IncarnationId SimulatedWorker::incarnation() const
{
    const std::lock_guard lock(m_mutex);
    return m_incarnation;
}

bool SimulatedWorker::hasNews(std::uint64_t since, Connection& connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_newsSequence > since || since > m_sequence)
        return true;
    m_signal.subscribe(connection);
    return false;
}

WorkerReport SimulatedWorker::report(std::uint64_t since) const
{
    const std::lock_guard lock(m_mutex);
    WorkerReport report;
    report.m_worker = m_identity.m_name;
    report.m_incarnation = m_incarnation;
    report.m_sequence = m_sequence;
    report.m_full = since == 0 || since > m_sequence;
    for (const auto& [key, task] : m_tasks) {
        if (report.m_full || task.m_sequence > since)
            report.m_tasks.push_back(task.m_report);
    }
    return report;
}

Fence SimulatedWorker::fence(const DaemonId& holder, std::uint64_t epoch, const IncarnationId& incarnation) const
{
    const std::lock_guard lock(m_mutex);
    if (incarnation != m_incarnation)
        return Fence::OtherIncarnation;
    return m_register.obeys(holder, epoch) ? Fence::None : Fence::StaleEpoch;
}

std::string SimulatedWorker::refusalOf(const Sender& sender) const
{
    if (!m_alive || sender.m_incarnation != m_incarnation)
        return "other incarnation";
    return m_register.obeys(sender.m_holder, sender.m_epoch) ? "" : "stale epoch";
}

CommandOutcome SimulatedWorker::start(const Sender& sender, const AttemptKey& key, const StartCall& call, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (const std::string reason = refusalOf(sender); !reason.empty())
        return { false, reason };
    if (const auto known = m_tasks.find(key); known != m_tasks.end())
        return { true, std::string(nameOf(known->second.m_report.m_state)) };
    if (const std::string reason = startRefusal(key, call); !reason.empty())
        return { false, reason };
    enter(key, call, now);
    return { true, "" };
}

std::string SimulatedWorker::startRefusal(const AttemptKey& key, const StartCall& call) const
{
    for (auto it = m_tasks.lower_bound({ key.first, 0 }); it != m_tasks.end() && it->first.first == key.first; ++it) {
        if (!isFinal(it->second.m_report.m_state))
            return "running as attempt " + std::to_string(it->first.second);
        if (it->first.second > key.second)
            return "a later attempt is known";
    }
    if (call.m_resources.hasNegative())
        return "negative resources";
    if ((m_assigned + call.m_resources).fitsIn(m_identity.m_capacity))
        return "";
    m_surroundings.m_violations.add(
        "capacity-exceeded", "start of " + key.first.value() + " on " + m_identity.m_name.value() + " refused");
    return "capacity";
}

CommandOutcome SimulatedWorker::stop(const Sender& sender, const AttemptKey& key, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (const std::string reason = refusalOf(sender); !reason.empty())
        return { false, reason };
    const auto found = m_tasks.find(key);
    if (found == m_tasks.end())
        return { false, "unknown task" };
    Task& task = found->second;
    if (isFinal(task.m_report.m_state))
        return { true, std::string(nameOf(task.m_report.m_state)) };
    if (!task.m_minion) {
        finish(task, TaskState::Stopped, "stopped");
    } else if (task.m_drainEndsAt == TimePoint::max()) {
        task.m_minion->leave();
        task.m_drainEndsAt = now + drainTime;
        task.m_report.m_reason = "draining";
        changed(task, true);
        lookAgainAt(now);
    }
    return { true, "" };
}

CommandOutcome SimulatedWorker::checkpoint(const Sender& sender, const AttemptKey& key, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (const std::string reason = refusalOf(sender); !reason.empty())
        return { false, reason };
    const auto found = m_tasks.find(key);
    if (found == m_tasks.end())
        return { false, "unknown task" };
    Task& task = found->second;
    if (task.m_report.m_state != TaskState::Running)
        return { task.m_report.m_state == TaskState::Checkpointing, std::string(nameOf(task.m_report.m_state)) };
    if (task.m_minion)
        return { false, "a minion has no checkpoint" };
    m_surroundings.m_registry.saveProgress(key.first, now - task.m_runningAt);
    task.m_report.m_state = TaskState::Checkpointing;
    task.m_endsAt = TimePoint::max();
    task.m_checkpointEndsAt = now + task.m_program.m_checkpointTime.value_or(m_surroundings.m_tasks.m_checkpointTime);
    lookAgainAt(task.m_checkpointEndsAt);
    changed(task, true);
    return { true, "" };
}

CommandOutcome SimulatedWorker::throttle(
    const Sender& sender, const AttemptKey& key, std::int64_t cpuMillis, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (const std::string reason = refusalOf(sender); !reason.empty())
        return { false, reason };
    const auto found = m_tasks.find(key);
    if (found == m_tasks.end())
        return { false, "unknown task" };
    Task& task = found->second;
    if (isFinal(task.m_report.m_state))
        return { false, std::string(nameOf(task.m_report.m_state)) };
    const auto wanted
        = static_cast<std::int64_t>(static_cast<double>(task.m_report.m_declared.m_cpuMillis) * task.m_usageFactor);
    task.m_trueUsage.m_cpuMillis = std::min(wanted, cpuMillis);
    task.m_usageAt = now + m_surroundings.m_tasks.m_usageLag;
    lookAgainAt(task.m_usageAt);
    return { true, "" };
}

void SimulatedWorker::kill()
{
    const std::lock_guard lock(m_mutex);
    endEverything();
    m_alive = false;
    m_signal.notify();
}

void SimulatedWorker::restart(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    endEverything();
    chooseIncarnation();
    m_register.restart(now);
    m_sequence = 1;
    m_newsSequence = 1;
    m_lastExternalContact = TimePoint();
    m_faults = WorkerFaults();
    m_alive = true;
    m_signal.notify();
}

void SimulatedWorker::forgetEpoch()
{
    const std::lock_guard lock(m_mutex);
    m_register = LeaseRegister();
}

void SimulatedWorker::endEverything()
{
    for (auto& [key, task] : m_tasks) {
        if (isFinal(task.m_report.m_state))
            continue;
        m_surroundings.m_registry.ended(key.first, m_identity.m_name);
        if (task.m_minion)
            task.m_minion->close();
    }
    m_tasks.clear();
    m_assigned = Resources();
}

void SimulatedWorker::leaveMinions()
{
    const std::lock_guard lock(m_mutex);
    for (auto& [key, task] : m_tasks) {
        if (task.m_minion)
            task.m_minion->leave();
    }
}

bool SimulatedWorker::failTask(const TaskId& id, const std::string& reason)
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_tasks.lower_bound({ id, 0 }); it != m_tasks.end() && it->first.first == id; ++it) {
        if (isFinal(it->second.m_report.m_state))
            continue;
        finish(it->second, TaskState::Failed, reason);
        return true;
    }
    return false;
}

void SimulatedWorker::setFaults(const WorkerFaults& faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
    m_signal.notify();
}

WorkerFaults SimulatedWorker::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

bool SimulatedWorker::isAlive() const
{
    const std::lock_guard lock(m_mutex);
    return m_alive;
}

bool SimulatedWorker::isFrozen(Connection& connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_alive && m_faults.m_frozen)
        m_signal.subscribe(connection);
    return m_alive && m_faults.m_frozen;
}

Resources SimulatedWorker::assigned() const
{
    const std::lock_guard lock(m_mutex);
    return m_assigned;
}

} // namespace sapphiredale::standin
