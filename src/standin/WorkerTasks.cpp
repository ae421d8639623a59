// Life of the tasks of a simulated worker, from the start command to the final state.

#include "model/Rendezvous.h"
#include "standin/SimulatedWorker.h"

namespace sapphiredale::standin {

namespace {

    Resources scaled(const Resources& declared, double factor)
    {
        const auto scale
            = [factor](std::int64_t amount) { return static_cast<std::int64_t>(static_cast<double>(amount) * factor); };
        return { scale(declared.m_cpuMillis), scale(declared.m_memoryMiB), declared.m_accelerators };
    }

} // namespace

double SimulatedWorker::draw(const AttemptKey& key, std::string_view purpose) const
{
    const std::uint64_t hash
        = stableHash(key.first.value() + '#' + std::to_string(key.second), stableHash(purpose, m_surroundings.m_seed));
    return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

void SimulatedWorker::changed(Task& task, bool isNews)
{
    task.m_sequence = ++m_sequence;
    if (isNews) {
        m_newsSequence = m_sequence;
        m_signal.notify();
    }
}

void SimulatedWorker::enter(const AttemptKey& key, const StartCall& call, TimePoint now)
{
    const TaskSettings& settings = m_surroundings.m_tasks;
    Task& task = m_tasks[key];
    task.m_report.m_task = key.first;
    task.m_report.m_attempt = key.second;
    task.m_report.m_declared = call.m_resources;
    task.m_program = ProgramText::parse(call.m_program);
    task.m_runningAt = now + task.m_program.m_startDelay.value_or(settings.m_startDelay);
    task.m_usageFactor = task.m_program.m_usageFactor.value_or(
        settings.m_minUsageFactor + draw(key, "usage") * (settings.m_maxUsageFactor - settings.m_minUsageFactor));
    task.m_trueUsage = scaled(call.m_resources, task.m_usageFactor);
    task.m_lapseStopSeconds = call.m_lapseStopSeconds;
    task.m_minionShape = call.m_minion;
    m_assigned += call.m_resources;
    m_surroundings.m_registry.started(key.first, m_identity.m_name);
    lookAgainAt(task.m_runningAt);
    changed(task, true);
}

void SimulatedWorker::advance(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (now < m_nextDue || !m_alive)
        return;
    m_nextDue = TimePoint::max();
    for (auto& [key, task] : m_tasks) {
        if (!isFinal(task.m_report.m_state))
            advanceTask(task, now);
    }
}

void SimulatedWorker::advanceTask(Task& task, TimePoint now)
{
    if (task.m_report.m_state == TaskState::Starting && now >= task.m_runningAt)
        beginRun(task, now);
    if (now >= task.m_usageAt) {
        task.m_usageAt = TimePoint::max();
        task.m_report.m_usage = task.m_trueUsage;
        changed(task, false);
    }
    if (now >= task.m_checkpointEndsAt)
        return finish(task, TaskState::Stopped, "checkpointed");
    if (task.m_minion && task.m_drainEndsAt != TimePoint::max()
        && (task.m_minion->inFlight() == 0 || now >= task.m_drainEndsAt))
        return finish(task, TaskState::Stopped, "stopped");
    if (lapsed(task, now))
        return finish(task, TaskState::Stopped, "lapse");
    if (now >= task.m_endsAt) {
        const bool fails
            = draw({ task.m_report.m_task, task.m_report.m_attempt }, "fail") < task.m_program.m_failProbability;
        return finish(task, fails ? TaskState::Failed : TaskState::Ended, fails ? "exit status 1" : "");
    }
    if (isFinal(task.m_report.m_state))
        return;
    lookAgainAt(std::min({ task.m_endsAt, task.m_usageAt, task.m_checkpointEndsAt }));
    if (task.m_report.m_state == TaskState::Starting)
        lookAgainAt(task.m_runningAt);
    // Draining minions and lapses have no fixed time: they are looked at again soon.
    if (task.m_drainEndsAt != TimePoint::max())
        lookAgainAt(now);
    if (task.m_lapseStopSeconds > 0)
        lookAgainAt(now + std::chrono::milliseconds(100));
}

void SimulatedWorker::beginRun(Task& task, TimePoint now)
{
    if (m_faults.m_failStarts)
        return finish(task, TaskState::Failed, "start failed");
    if (task.m_minionShape) {
        auto launched
            = m_surroundings.m_launcher.launch(task.m_report.m_task, m_identity.m_failureDomain, *task.m_minionShape);
        if (!succeeded(launched))
            return finish(task, TaskState::Failed, errorOf(launched).m_detail);
        task.m_minion = valueOf(std::move(launched));
        task.m_report.m_address = task.m_minion->address();
    }
    task.m_report.m_state = TaskState::Running;
    task.m_runningAt = now;
    task.m_usageAt = now + m_surroundings.m_tasks.m_usageLag;
    if (task.m_program.m_run) {
        const Duration done = m_surroundings.m_registry.progress(task.m_report.m_task);
        task.m_endsAt = now + std::max(Duration::zero(), *task.m_program.m_run - done);
    }
    changed(task, true);
}

bool SimulatedWorker::lapsed(const Task& task, TimePoint now) const
{
    if (task.m_lapseStopSeconds == 0)
        return false;
    return now >= std::max(m_lastExternalContact, task.m_runningAt) + std::chrono::seconds(task.m_lapseStopSeconds);
}

void SimulatedWorker::finish(Task& task, TaskState state, const std::string& reason)
{
    task.m_report.m_state = state;
    task.m_report.m_reason = reason;
    task.m_report.m_usage = Resources();
    if (task.m_minion) {
        task.m_minion->close();
        task.m_minion.reset();
    }
    m_assigned -= task.m_report.m_declared;
    m_surroundings.m_registry.ended(task.m_report.m_task, m_identity.m_name);
    changed(task, true);
}

} // namespace sapphiredale::standin
