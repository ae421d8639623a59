// Merging of reports, delivery of commands and acknowledgements.

#include "ownership/WorkerTable.h"

#include "model/Rendezvous.h"

#include <algorithm>

namespace sapphiredale::ownership {

namespace {

    const std::map<TaskId, TaskReport> noTasks;
    const IncarnationId noIncarnation;

    bool sameCommand(const WorkerCommand& a, const WorkerCommand& b)
    {
        return a.m_operation == b.m_operation && a.m_task == b.m_task && a.m_attempt == b.m_attempt;
    }

} // namespace

WorkerTable::WorkerTable(const WorkerTableSettings& settings)
    : m_settings(settings)
    , m_jitter(stableHash(settings.m_holder, settings.m_seed))
{
}

WorkerTable::Session* WorkerTable::find(const WorkerId& worker)
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

const WorkerTable::Session* WorkerTable::find(const WorkerId& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

void WorkerTable::setWorker(const WorkerSpec& spec) { m_workers[spec.m_name].m_spec = spec; }

void WorkerTable::removeWorker(const WorkerId& worker)
{
    if (Session* session = find(worker)) {
        forgetIncarnation(worker, *session);
        m_workers.erase(worker);
    }
}

void WorkerTable::startTerm()
{
    for (auto& [worker, session] : m_workers)
        forgetIncarnation(worker, session);
}

void WorkerTable::forgetIncarnation(const WorkerId& worker, Session& session)
{
    for (const auto& [task, report] : session.m_tasks)
        removeFromIndex(worker, task);
    WorkerSpec spec = std::move(session.m_spec);
    session = Session {};
    session.m_spec = std::move(spec);
}

ReportChanges WorkerTable::merge(const WorkerReport& report, TimePoint now)
{
    ReportChanges changes;
    Session* session = find(report.m_worker);
    if (!session || report.m_incarnation.empty())
        return changes;

    deliverAcknowledgements(report.m_worker, *session);
    const bool known = !session->m_incarnation.empty();
    if (known && session->m_incarnation != report.m_incarnation) {
        m_counters.add(CountedReason::WorkerRestarted);
        forgetIncarnation(report.m_worker, *session);
        changes.m_restarted = true;
    }
    const bool first = session->m_incarnation.empty();
    if ((first && !report.m_full) || report.m_sequence < session->m_sequence) {
        m_counters.add(CountedReason::ReportOutOfOrder);
        return changes;
    }
    session->m_incarnation = report.m_incarnation;
    session->m_sequence = report.m_sequence;
    session->m_nextBatch = first ? now : session->m_nextBatch;
    mergeTasks(report.m_worker, *session, report, changes);
    changes.m_merged = true;
    return changes;
}

void WorkerTable::mergeTasks(
    const WorkerId& worker, Session& session, const WorkerReport& report, ReportChanges& changes)
{
    if (report.m_full) {
        std::set<TaskId> present;
        for (const TaskReport& task : report.m_tasks)
            present.insert(task.m_task);
        for (auto position = session.m_tasks.begin(); position != session.m_tasks.end();) {
            if (present.contains(position->first)) {
                ++position;
                continue;
            }
            const TaskAttempt attempt { position->first, position->second.m_attempt };
            if (!session.m_acknowledgements.contains(attempt))
                changes.m_missing.push_back(position->second);
            removeFromIndex(worker, position->first);
            position = session.m_tasks.erase(position);
        }
    }
    for (const TaskReport& task : report.m_tasks) {
        const auto [position, added] = session.m_tasks.try_emplace(task.m_task, task);
        if (!added && position->second == task)
            continue;
        if (!added && position->second.m_attempt > task.m_attempt)
            continue;
        position->second = task;
        index(worker, task);
        changes.m_changed.push_back(task);
    }
}

void WorkerTable::deliverAcknowledgements(const WorkerId& worker, Session& session)
{
    for (const TaskAttempt& attempt : session.m_sentAcknowledgements) {
        session.m_acknowledgements.erase(attempt);
        session.m_lateStarts.erase(attempt);
        const auto task = session.m_tasks.find(attempt.m_task);
        if (task != session.m_tasks.end() && task->second.m_attempt == attempt.m_attempt) {
            removeFromIndex(worker, attempt.m_task);
            session.m_tasks.erase(task);
        }
    }
    session.m_sentAcknowledgements.clear();
}

void WorkerTable::index(const WorkerId& worker, const TaskReport& task)
{
    if (isFinal(task.m_state))
        removeFromIndex(worker, task.m_task);
    else
        m_running.insert_or_assign(task.m_task, worker);
}

void WorkerTable::removeFromIndex(const WorkerId& worker, const TaskId& task)
{
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second == worker)
        m_running.erase(found);
}

std::optional<CommandOutcome> WorkerTable::enqueue(const WorkerId& worker, const WorkerCommand& command, TimePoint now)
{
    Session* session = find(worker);
    if (!session)
        return CommandOutcome { command, false, "the worker is not in the file" };
    auto& commands = session->m_commands;
    if (command.m_operation == CommandOperation::Stop || command.m_operation == CommandOperation::Checkpoint) {
        const auto start = std::find_if(commands.begin(), commands.end(), [&](const PendingCommand& pending) {
            return !pending.m_sent && pending.m_command.m_operation == CommandOperation::Start
                && pending.m_command.m_task == command.m_task && pending.m_command.m_attempt == command.m_attempt;
        });
        if (start != commands.end()) {
            CommandOutcome outcome { start->m_command, false, command.m_reason };
            commands.erase(start);
            return outcome;
        }
    }
    const auto same = std::find_if(commands.begin(), commands.end(),
        [&](const PendingCommand& pending) { return sameCommand(pending.m_command, command); });
    const bool isQueued = same != commands.end();
    // A throttle that was sent may carry another limit than the new one; other commands have no effect when repeated.
    const bool mustFollow = isQueued && same->m_sent && command.m_operation == CommandOperation::Throttle;
    if (!isQueued || mustFollow)
        commands.push_back({ command, now, false });
    else if (!same->m_sent)
        same->m_command = command;
    return std::nullopt;
}

void WorkerTable::acknowledge(const WorkerId& worker, const TaskAttempt& attempt, TimePoint now)
{
    Session* session = find(worker);
    if (!session)
        return;
    const auto late = session->m_lateStarts.find(attempt);
    session->m_acknowledgements[attempt] = late == session->m_lateStarts.end() ? now : std::max(now, late->second);
}

void WorkerTable::complete(SendLease& lease, TimePoint now)
{
    Session* session = find(lease.m_worker);
    if (!session)
        return;
    lease.m_address = session->m_spec.m_address;
    lease.m_since = session->m_sequence;
    session->m_sentAcknowledgements.clear();
    for (const auto& [attempt, due] : session->m_acknowledgements) {
        if (due <= now)
            session->m_sentAcknowledgements.push_back(attempt);
    }
    lease.m_acknowledged = session->m_sentAcknowledgements;
}

bool WorkerTable::hasDueAcknowledgement(const WorkerId& worker, TimePoint now) const
{
    const Session* session = find(worker);
    return session
        && std::any_of(session->m_acknowledgements.begin(), session->m_acknowledgements.end(),
            [&](const auto& entry) { return entry.second <= now; });
}

std::optional<SendCommands> WorkerTable::nextBatch(const WorkerId& worker, std::uint64_t epoch, TimePoint now)
{
    Session* session = find(worker);
    if (!session || session->m_commands.empty() || session->m_inFlight || session->m_nextBatch > now
        || session->m_incarnation.empty())
        return std::nullopt;

    SendCommands batch;
    batch.m_request = m_nextRequest++;
    batch.m_worker = worker;
    batch.m_address = session->m_spec.m_address;
    batch.m_holder = m_settings.m_holder;
    batch.m_epoch = epoch;
    batch.m_incarnation = session->m_incarnation;
    batch.m_deadline = now + m_settings.m_answerTimeout;
    const std::size_t count = std::min(session->m_commands.size(), m_settings.m_maxCommandsPerBatch);
    for (std::size_t i = 0; i < count; ++i) {
        session->m_commands[i].m_sent = true;
        batch.m_commands.push_back(session->m_commands[i].m_command);
    }
    session->m_request = batch.m_request;
    session->m_inFlight = count;
    session->m_requestDeadline = batch.m_deadline;
    return batch;
}

std::vector<CommandOutcome> WorkerTable::handleAnswer(
    const WorkerId& worker, RequestNumber request, const CommandsAnswer& answer, TimePoint now)
{
    std::vector<CommandOutcome> outcomes;
    Session* session = find(worker);
    if (!session || !session->m_inFlight || session->m_request != request) {
        m_counters.add(CountedReason::LateCommandAnswer);
        return outcomes;
    }
    if (const auto* refusal = std::get_if<CommandsRefusal>(&answer)) {
        m_counters.add(*refusal == CommandsRefusal::StaleEpoch ? CountedReason::CommandStaleEpoch
                                                               : CountedReason::CommandOtherIncarnation);
        retryBatch(*session, now);
        return outcomes;
    }
    const auto& results = *std::get_if<std::vector<CommandResult>>(&answer);
    if (results.size() != session->m_inFlight) {
        handleTimeout(worker, request, now);
        return outcomes;
    }
    for (const CommandResult& result : results) {
        if (!result.m_ok)
            m_counters.add(CountedReason::CommandRefused);
        outcomes.push_back({ session->m_commands.front().m_command, result.m_ok, result.m_reason });
        session->m_commands.pop_front();
    }
    session->m_inFlight = 0;
    session->m_backoff.reset();
    session->m_nextBatch = now;
    return outcomes;
}

void WorkerTable::handleTimeout(const WorkerId& worker, RequestNumber request, TimePoint now)
{
    Session* session = find(worker);
    if (!session || !session->m_inFlight || session->m_request != request)
        return;
    m_counters.add(CountedReason::CommandTimeout);
    for (std::size_t i = 0; i < session->m_inFlight; ++i) {
        const WorkerCommand& command = session->m_commands[i].m_command;
        if (command.m_operation == CommandOperation::Start)
            session->m_lateStarts[{ command.m_task, command.m_attempt }] = now + m_settings.m_lateCommandTimeout;
    }
    retryBatch(*session, now);
}

void WorkerTable::retryBatch(Session& session, TimePoint now)
{
    session.m_inFlight = 0;
    session.m_nextBatch = now + session.m_backoff.next(m_settings.m_retry, m_jitter);
}

void WorkerTable::expire(TimePoint now)
{
    for (auto& [worker, session] : m_workers) {
        if (session.m_inFlight && session.m_requestDeadline <= now)
            handleTimeout(worker, session.m_request, now);
        std::erase_if(session.m_lateStarts, [&](const auto& entry) { return entry.second <= now; });
    }
}

std::vector<std::pair<WorkerId, CommandOutcome>> WorkerTable::takeUnsentStarts(TimePoint now)
{
    std::vector<std::pair<WorkerId, CommandOutcome>> taken;
    for (auto& [worker, session] : m_workers) {
        std::erase_if(session.m_commands, [&, &id = worker](const PendingCommand& pending) {
            const bool unsent = !pending.m_sent && pending.m_command.m_operation == CommandOperation::Start
                && pending.m_queuedAt + m_settings.m_unsentStartTimeout <= now;
            if (unsent)
                taken.emplace_back(id, CommandOutcome { pending.m_command, false, "the worker cannot be reached" });
            return unsent;
        });
    }
    return taken;
}

const IncarnationId& WorkerTable::incarnation(const WorkerId& worker) const
{
    const Session* session = find(worker);
    return session ? session->m_incarnation : noIncarnation;
}

const std::map<TaskId, TaskReport>& WorkerTable::tasks(const WorkerId& worker) const
{
    const Session* session = find(worker);
    return session ? session->m_tasks : noTasks;
}

const WorkerId* WorkerTable::workerRunning(const TaskId& task) const
{
    const auto found = m_running.find(task);
    return found == m_running.end() ? nullptr : &found->second;
}

std::vector<WorkerId> WorkerTable::workers() const
{
    std::vector<WorkerId> names;
    names.reserve(m_workers.size());
    for (const auto& [worker, session] : m_workers)
        names.push_back(worker);
    return names;
}

std::vector<WorkerId> WorkerTable::workersWithCommands() const
{
    std::vector<WorkerId> names;
    for (const auto& [worker, session] : m_workers) {
        if (!session.m_commands.empty())
            names.push_back(worker);
    }
    return names;
}

std::string WorkerTable::addressOf(const WorkerId& worker) const
{
    const Session* session = find(worker);
    return session ? session->m_spec.m_address : std::string();
}

bool WorkerTable::hasPendingCommands() const
{
    return std::any_of(
        m_workers.begin(), m_workers.end(), [](const auto& entry) { return !entry.second.m_commands.empty(); });
}

std::size_t WorkerTable::pendingCommands(const WorkerId& worker) const
{
    const Session* session = find(worker);
    return session ? session->m_commands.size() : 0;
}

std::optional<TimePoint> WorkerTable::nextWake(TimePoint now) const
{
    std::optional<TimePoint> wake;
    const auto consider = [&](TimePoint at) {
        if (at > now && (!wake || at < *wake))
            wake = at;
    };
    for (const auto& [worker, session] : m_workers) {
        if (session.m_inFlight)
            consider(session.m_requestDeadline);
        else if (!session.m_commands.empty())
            consider(session.m_nextBatch);
        for (const PendingCommand& pending : session.m_commands) {
            if (!pending.m_sent && pending.m_command.m_operation == CommandOperation::Start)
                consider(pending.m_queuedAt + m_settings.m_unsentStartTimeout);
        }
        for (const auto& [attempt, due] : session.m_acknowledgements)
            consider(due);
    }
    return wake;
}

} // namespace sapphiredale::ownership
