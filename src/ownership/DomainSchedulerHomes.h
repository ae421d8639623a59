// Implementation of BasicDomainScheduler: service instances, moves between homes, and the takeover of instances whose
// home domain is lost. Included by DomainSchedulerImpl.h only.
#pragma once

#include "model/Rendezvous.h"
#include "ownership/DomainScheduler.h"

namespace sapphiredale::ownership {

template <CellType Cell> void BasicDomainScheduler<Cell>::buildInstances(TimePoint now)
{
    const std::map<TaskId, Instance> before = std::exchange(m_instances, {});
    for (const auto& [name, workload] : m_workloads) {
        for (std::uint32_t i = 0; i < workload->m_instances; ++i) {
            const TaskId task = instanceTask(name, i);
            const auto home = homeOfInstance(m_configuration.m_file, *workload, task);
            const auto taken = m_homes.takenBy(task);
            if (!home)
                continue;
            if (*home == domain())
                m_instances[task] = { name, false, {} };
            else if (taken && taken->first == domain())
                m_instances[task] = { name, false, *home };
        }
    }
    m_holdsChanged = true;
    for (const auto& [task, instance] : before) {
        const auto kept = m_instances.find(task);
        if (kept != m_instances.end())
            kept->second.m_submitted = instance.m_submitted && m_phase != Phase::Recovering;
        else if (inTerm() && instance.m_submitted)
            m_cell.withdrawInstance(task, now);
    }
    if (!inTerm())
        return;
    for (const auto& [task, live] : std::map<TaskId, LiveTask>(m_live)) {
        if (shouldRunHere(task))
            continue;
        m_cell.withdrawInstance(task, now);
        enqueueStop(live.m_worker, task, live.m_attempt, "the file does not place the instance in this domain",
            CountedReason::UndeclaredTaskStopped, now);
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::reconcileInstances(TimePoint now)
{
    // An instance that was given back must not be submitted once more.
    std::erase_if(m_instances, [&](const auto& entry) {
        const auto taken = m_homes.takenBy(entry.first);
        return !entry.second.m_takenFrom.empty() && (!taken || taken->first != domain());
    });
    for (auto& [task, instance] : m_instances) {
        const bool returns = mustReturnHome(task, instance, now);
        if (returns)
            returnToHome(task, instance, now);
        if (returns || instance.m_submitted)
            continue;
        const ClassPolicy* policy = classOf(workloadOf(task));
        if (!instanceMayStart(task, instance, policy, now)) {
            m_counters.add(m_guard.mayStart(task, policy, now) ? CountedReason::TaskHeldForHome
                                                               : CountedReason::TaskHeldForUnaccountedWorker);
            continue;
        }
        instance.m_submitted = succeeded(m_cell.submitInstance(task, instance.m_workload, now));
        const auto live = m_live.find(task);
        if (live == m_live.end())
            continue;
        const auto& tasks = m_workers.tasks(live->second.m_worker);
        const auto report = tasks.find(task);
        if (report != tasks.end())
            m_cell.taskReported(live->second.m_worker, report->second, now);
    }
}

template <CellType Cell>
bool BasicDomainScheduler<Cell>::instanceMayStart(
    const TaskId& task, const Instance& instance, const ClassPolicy* policy, TimePoint now) const
{
    return holdReason(task, instance, policy, now).empty();
}

/// Reason why an instance is held back; empty when it may run here.
template <CellType Cell>
std::string_view BasicDomainScheduler<Cell>::holdReason(
    const TaskId& task, const Instance& instance, const ClassPolicy* policy, TimePoint now) const
{
    if (m_live.contains(task))
        return {};
    if (!m_guard.mayStart(task, policy, now))
        return "unaccounted-worker";
    if (!m_homes.mayStart(task))
        return "home-not-released";
    const auto taken = m_homes.takenBy(task);
    if (taken && taken->first != domain())
        return "taken-over";
    const bool mine = taken && taken->first == domain();
    if (!instance.m_takenFrom.empty() && (!mine || mustReturnHome(task, instance, now)))
        return "home-returned";
    if (!movesAfterLoss(policy))
        return {};
    if (!contactIsRecent(now))
        return "domain-cut-off";
    // A takeover that happened while this domain was cut off lies in the stream before the first DomainPresent record
    // of the present contact; a later one is void.
    const auto read = m_streamReadAt.find(domain());
    const bool knowsTakeovers = m_presentSince && read != m_streamReadAt.end() && read->second >= *m_presentSince;
    return instance.m_takenFrom.empty() && !knowsTakeovers ? "takeovers-unknown" : std::string_view {};
}

template <CellType Cell> void BasicDomainScheduler<Cell>::setReach(const Reachability& reach, TimePoint now)
{
    m_reach = reach;
    if (reach.m_confirmedContact)
        updateContact(*reach.m_confirmedContact, now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::updateContact(TimePoint contact, TimePoint)
{
    if (m_contactAt && contact <= *m_contactAt)
        return;
    if (!m_contactAt || *m_contactAt + contactWindow < contact)
        m_presentSince.reset();
    m_contactAt = contact;
}

/// Withdraws an instance that has ended while the domain is cut off: another domain may start it.
template <CellType Cell> void BasicDomainScheduler<Cell>::withdrawIfHeld(const TaskId& task, TimePoint now)
{
    const auto instance = m_instances.find(task);
    if (instance == m_instances.end() || !instance->second.m_submitted || m_live.contains(task))
        return;
    if (instanceMayStart(task, instance->second, classOf(workloadOf(task)), now))
        return;
    m_cell.withdrawInstance(task, now);
    instance->second.m_submitted = false;
}

template <CellType Cell>
bool BasicDomainScheduler<Cell>::isSilent(const FailureDomainId& other, const ClassPolicy& policy, TimePoint now) const
{
    const auto& lease = m_settings.m_lease;
    const Duration silence
        = std::chrono::seconds(policy.m_lapseStopSeconds) + lease.m_ttl + lease.m_clockMargin + m_settings.m_lossMargin;
    const auto evidence = m_reach.m_lastEvidence.find(other);
    // A domain that has been observed for less than that time cannot be judged silent.
    if (evidence == m_reach.m_lastEvidence.end() || evidence->second + silence > now)
        return false;
    const auto presence = m_presence.find(other);
    return presence == m_presence.end() || presence->second.second + silence <= now;
}

template <CellType Cell>
bool BasicDomainScheduler<Cell>::mayTakeOver(
    const WorkloadSpec& workload, const TaskId& task, const FailureDomainId& home, TimePoint now) const
{
    const ClassPolicy* policy = classOf(&workload);
    if (!movesAfterLoss(policy) || !isSilent(home, *policy, now) || m_homes.takenBy(task) || !m_homes.mayStart(task))
        return false;
    const auto read = m_streamReadAt.find(home);
    if (read == m_streamReadAt.end() || read->second + contactWindow < now)
        return false;
    // The first domain in rendezvous order that is not silent itself; log order decides if views differ.
    ClusterFile remaining;
    remaining.m_failureDomains = m_configuration.m_file.m_failureDomains;
    std::erase_if(remaining.m_failureDomains, [&](const FailureDomainSpec& spec) {
        return spec.m_name == home || (spec.m_name != domain() && isSilent(spec.m_name, *policy, now));
    });
    return homeOfInstance(remaining, workload, task) == domain();
}

template <CellType Cell> void BasicDomainScheduler<Cell>::considerTakeovers(TimePoint now)
{
    if (!m_hasMovingServices || !m_reach.m_majorityReached || !contactIsRecent(now))
        return;
    for (const auto& [name, workload] : m_workloads) {
        if (!movesAfterLoss(classOf(workload)))
            continue;
        for (std::uint32_t i = 0; i < workload->m_instances; ++i) {
            const TaskId task = instanceTask(name, i);
            const auto home = homeOfInstance(m_configuration.m_file, *workload, task);
            if (!home || *home == domain() || m_takeoversInAppend.contains(task)
                || !mayTakeOver(*workload, task, *home, now))
                continue;
            const auto presence = m_presence.find(*home);
            const RecordId lastPresence = presence == m_presence.end() ? RecordId {} : presence->second.first;
            m_takeoversInAppend.insert(task);
            m_appends.add(*home, HomeTaken { task, domain(), m_homes.nextTakeover(task), lastPresence }, now);
        }
    }
}

/// Whether an instance that was taken over must be returned because its home shows signs of life again.
template <CellType Cell>
bool BasicDomainScheduler<Cell>::mustReturnHome(const TaskId& task, const Instance& instance, TimePoint now) const
{
    const auto taken = m_homes.takenBy(task);
    if (instance.m_takenFrom.empty() || !taken)
        return false;
    const ClassPolicy* policy = classOf(workloadOf(task));
    return !policy || !isSilent(instance.m_takenFrom, *policy, now)
        || m_releasesInAppend.contains({ task, taken->second });
}

/// Stops an instance that was taken over, and then releases it to its home.
template <CellType Cell>
void BasicDomainScheduler<Cell>::returnToHome(const TaskId& task, Instance& instance, TimePoint now)
{
    const auto taken = m_homes.takenBy(task);
    assert(taken);
    if (instance.m_submitted) {
        m_cell.withdrawInstance(task, now);
        instance.m_submitted = false;
    }
    if (m_live.contains(task) || !m_guard.isLocated(task) || !m_releasesInAppend.emplace(task, taken->second).second)
        return;
    m_appends.add(instance.m_takenFrom, HomeReleased { task, 0, taken->second }, now);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::releaseMovedInstances(TimePoint now)
{
    for (const HomeMove& move : m_homes.owedBy(domain())) {
        const bool mayRun = m_live.contains(move.m_task) || !m_guard.isLocated(move.m_task);
        if (mayRun || !m_releasesInAppend.emplace(move.m_task, move.m_version).second)
            continue;
        // A takeover by this domain ends with the move.
        const auto taken = m_homes.takenBy(move.m_task);
        const bool ownTakeover = taken && taken->first == domain();
        append(HomeReleased { move.m_task, move.m_version, ownTakeover ? taken->second : 0 }, now);
    }
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::applyHomeRecord(
    const FailureDomainId& stream, const StreamRecord& record, TimePoint now)
{
    if (std::holds_alternative<DomainPresent>(record.m_body)) {
        m_presence[stream] = { record.m_id, now };
    } else if (const auto* released = std::get_if<HomeReleased>(&record.m_body)) {
        if (released->m_takeover) {
            const auto taken = m_homes.takenBy(released->m_task);
            m_homes.takeoverReleased(taken ? taken->first : FailureDomainId {}, released->m_task, released->m_takeover);
        }
        if (released->m_version)
            m_homes.released(stream, released->m_task, released->m_version);
        m_holdsChanged = true;
    } else if (const auto* taken = std::get_if<HomeTaken>(&record.m_body)) {
        const auto presence = m_presence.find(stream);
        const bool isVoid = presence != m_presence.end() && presence->second.first != taken->m_lastPresence;
        if (taken->m_taker == domain())
            m_takeoversInAppend.erase(taken->m_task);
        if (isVoid || m_homes.takenBy(taken->m_task))
            return;
        m_homes.taken(taken->m_taker, taken->m_task, taken->m_takeover);
        const WorkloadSpec* workload = workloadOf(taken->m_task);
        if (taken->m_taker == domain() && workload) {
            m_counters.add(CountedReason::HomeTakenOver);
            m_instances[taken->m_task] = { workload->m_name, false, stream };
        }
        m_holdsChanged = true;
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::appendPresence(TimePoint now)
{
    if (!m_hasMovingServices || now < m_nextPresence || m_appends.contains(m_presenceRecord))
        return;
    m_nextPresence = now + m_settings.m_presenceInterval;
    m_presenceEmittedAt = now;
    m_presenceRecord = m_appends.add(domain(), DomainPresent { m_lease.epoch() }, now);
}

template <CellType Cell> std::vector<FailureDomainId> BasicDomainScheduler<Cell>::streamsToFollow() const
{
    std::set<FailureDomainId> streams { domain() };
    for (const HomeMove& move : m_homes.pending())
        streams.insert(move.m_from);
    if (m_hasMovingServices) {
        // Streams of lost domains are included: they hold the takeovers of their instances.
        for (const FailureDomainSpec& spec : m_configuration.m_file.m_failureDomains)
            streams.insert(spec.m_name);
    }
    return { streams.begin(), streams.end() };
}

} // namespace sapphiredale::ownership
