// A worker for the ownership tests: lease register, incarnation, idempotent commands and reports by sequence.
#pragma once

#include "ownership/OwnershipActions.h"

#include <map>
#include <optional>
#include <variant>

namespace sapphiredale::ownership {

class FakeWorker {
public:
    /// Rate of the worker's clock against the test's time.
    double m_clockRate = 1.0;
    std::string m_incarnation = "i1";
    std::string m_holder;
    std::uint64_t m_epoch = 0;
    TimePoint m_expires {};
    std::uint64_t m_sequence = 1;
    TimePoint m_contactAt {};
    /// Starts that were executed, by task; a task that runs twice at the same time shows up in the test's own check.
    std::map<TaskId, std::uint32_t> m_starts;
    std::map<TaskId, TaskReport> m_tasks;
    std::map<TaskId, std::uint32_t> m_lapse;
    std::map<TaskId, std::uint64_t> m_changedAt;

    std::variant<LeaseGrant, LeaseRejection> lease(const SendLease& request, TimePoint now)
    {
        expireLapses(now);
        const bool renewal = request.m_holder == m_holder && request.m_epoch == m_epoch;
        if (!renewal && (now < m_expires || request.m_epoch <= m_epoch))
            return LeaseRejection { m_holder, m_epoch, std::max(Duration::zero(), m_expires - now) };
        m_holder = request.m_holder;
        m_epoch = request.m_epoch;
        m_expires = now + Duration(static_cast<std::int64_t>(static_cast<double>(request.m_ttl.count()) / m_clockRate));
        if (request.m_externalContact)
            m_contactAt = now;
        for (const TaskAttempt& attempt : request.m_acknowledged) {
            const auto task = m_tasks.find(attempt.m_task);
            if (task != m_tasks.end() && task->second.m_attempt == attempt.m_attempt && isFinal(task->second.m_state))
                m_tasks.erase(task);
        }
        return LeaseGrant { m_epoch, report(request.m_worker, request.m_since) };
    }

    WorkerReport report(const WorkerId& worker, std::uint64_t since) const
    {
        WorkerReport report { worker, IncarnationId(m_incarnation), m_sequence, since == 0, {} };
        for (const auto& [id, task] : m_tasks) {
            if (since == 0 || m_changedAt.at(id) > since)
                report.m_tasks.push_back(task);
        }
        return report;
    }

    void release(const SendRelease& request)
    {
        if (request.m_holder == m_holder && request.m_epoch == m_epoch)
            m_expires = {};
    }

    CommandsAnswer commands(const SendCommands& request, TimePoint now)
    {
        expireLapses(now);
        if (request.m_holder != m_holder || request.m_epoch != m_epoch || now >= m_expires)
            return CommandsRefusal::StaleEpoch;
        if (request.m_incarnation.value() != m_incarnation)
            return CommandsRefusal::OtherIncarnation;
        std::vector<CommandResult> results;
        results.reserve(request.m_commands.size());
        for (const WorkerCommand& command : request.m_commands)
            results.push_back(execute(command, now));
        return results;
    }

    void restart(const std::string& incarnation)
    {
        FakeWorker fresh;
        fresh.m_clockRate = m_clockRate;
        fresh.m_incarnation = incarnation;
        fresh.m_starts = m_starts;
        *this = fresh;
    }

    void finish(const TaskId& id, TaskState state)
    {
        m_tasks.at(id).m_state = state;
        m_changedAt[id] = ++m_sequence;
    }

    bool runs(const TaskId& id) const
    {
        const auto task = m_tasks.find(id);
        return task != m_tasks.end() && !isFinal(task->second.m_state);
    }

    void expireLapses(TimePoint now)
    {
        for (auto& [id, task] : m_tasks) {
            const auto lapse = m_lapse.find(id);
            if (lapse != m_lapse.end() && lapse->second && !isFinal(task.m_state)
                && m_contactAt + std::chrono::seconds(lapse->second) <= now)
                finish(id, TaskState::Stopped);
        }
    }

private:
    CommandResult execute(const WorkerCommand& command, TimePoint now)
    {
        const auto known = m_tasks.find(command.m_task);
        const bool same = known != m_tasks.end() && known->second.m_attempt == command.m_attempt;
        if (command.m_operation != CommandOperation::Start) {
            if (same && !isFinal(known->second.m_state) && command.m_operation == CommandOperation::Stop)
                finish(command.m_task, TaskState::Stopped);
            return { command.m_task, same, same ? "" : "unknown task" };
        }
        if (same)
            return { command.m_task, true, {} };
        ++m_starts[command.m_task];
        m_tasks[command.m_task] = { .m_task = command.m_task,
            .m_attempt = command.m_attempt,
            .m_state = TaskState::Running,
            .m_usage = {},
            .m_declared = command.m_resources,
            .m_address = {},
            .m_reason = {} };
        m_changedAt[command.m_task] = ++m_sequence;
        m_lapse[command.m_task] = command.m_lapseStopSeconds;
        m_contactAt = std::max(m_contactAt, now);
        return { command.m_task, true, {} };
    }
};

} // namespace sapphiredale::ownership
