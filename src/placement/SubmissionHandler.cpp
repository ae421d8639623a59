// Submissions, refusals and cancellations.

#include "placement/SubmissionHandler.h"

#include <algorithm>

namespace sapphiredale::placement {

namespace {

    std::string describe(const Resources& amount)
    {
        return std::to_string(amount.m_cpuMillis) + " cpuMillis, " + std::to_string(amount.m_memoryMiB) + " memoryMiB, "
            + std::to_string(amount.m_accelerators) + " accelerators";
    }

    std::int64_t copiesThatFit(const Resources& need, const Resources& capacity)
    {
        std::int64_t copies = std::numeric_limits<std::int32_t>::max();
        if (need.m_cpuMillis > 0)
            copies = std::min(copies, capacity.m_cpuMillis / need.m_cpuMillis);
        if (need.m_memoryMiB > 0)
            copies = std::min(copies, capacity.m_memoryMiB / need.m_memoryMiB);
        if (need.m_accelerators > 0)
            copies = std::min(copies, capacity.m_accelerators / need.m_accelerators);
        return copies;
    }

    /// Name of the first resource kind of which the need exceeds the capacity.
    const char* exceededKind(const Resources& need, const Resources& capacity)
    {
        if (need.m_cpuMillis > capacity.m_cpuMillis)
            return "cpuMillis";
        if (need.m_memoryMiB > capacity.m_memoryMiB)
            return "memoryMiB";
        return need.m_accelerators > capacity.m_accelerators ? "accelerators" : "the combination";
    }

} // namespace

void SubmissionHandler::setPolicies(const ClusterFile& file)
{
    m_lifecycle.suspendCharges();
    m_state.m_weights = file.m_placement;
    m_state.m_quotas.setTeams(file.m_teams);
    setClasses(file.m_classes);
    setWorkloads(file.m_workloads);
    m_lifecycle.resumeCharges();
    m_queue.unblockAll();
}

void SubmissionHandler::setClasses(const std::vector<ClassPolicy>& classes)
{
    for (const ClassPolicy& policy : classes) {
        const auto [entry, isNew]
            = m_state.m_classIndices.try_emplace(policy.m_name, static_cast<ClassIndex>(m_state.m_classes.size()));
        if (isNew) {
            m_state.m_classes.push_back(policy);
            continue;
        }
        // The kind of a class stays: tasks that were queued one by one cannot become members of groups, or the reverse.
        ClassPolicy& known = m_state.m_classes[entry->second];
        const ClassKind kind = known.m_kind;
        known = policy;
        known.m_kind = kind;
    }
}

void SubmissionHandler::setWorkloads(const std::vector<WorkloadSpec>& specs)
{
    // Workloads that the file no longer lists keep their records: accepted work of them still runs.
    for (Workload& workload : m_state.m_workloads)
        workload.m_declared = false;
    for (const WorkloadSpec& spec : specs) {
        const auto classEntry = m_state.m_classIndices.find(spec.m_class);
        const TeamIndex team = m_state.m_quotas.find(spec.m_team);
        if (classEntry == m_state.m_classIndices.end() || team == noIndex)
            continue; // The validator has refused such files.
        const auto [entry, isNew] = m_state.m_workloadIndices.try_emplace(
            spec.m_name, static_cast<WorkloadIndex>(m_state.m_workloads.size()));
        if (isNew)
            m_state.m_workloads.emplace_back();
        Workload& workload = m_state.m_workloads[entry->second];
        if (!isNew && workload.m_spec.m_resources != spec.m_resources) {
            // What was learned belongs to the size that was declared before.
            workload.m_learnedSize = workload.m_peak = {};
            workload.m_samples = 0;
        }
        workload.m_team = team;
        workload.m_spec = spec;
        workload.m_maxConcurrentTasksGeneration = 0;
        const bool sameKind
            = isNew || m_state.m_classes[workload.m_class].m_kind == m_state.m_classes[classEntry->second].m_kind;
        if (sameKind)
            workload.m_class = classEntry->second;
        // Work of a workload that changed its kind ends under the former class; new work needs another name.
        workload.m_declared = sameKind;
    }
}

Result<Unit> SubmissionHandler::refuse(Reason reason, ErrorKind kind, std::string detail)
{
    m_state.m_counters.count(reason);
    return Error { kind, std::move(detail) };
}

std::uint64_t SubmissionHandler::maxConcurrentTasks(Workload& workload)
{
    // Computed again only after a change of workers or policies, not with each job.
    if (workload.m_maxConcurrentTasksGeneration == m_state.m_workers.generation())
        return workload.m_maxConcurrentTasks;
    std::uint64_t total = 0;
    for (const std::vector<WorkerIndex>& rack : m_state.m_workers.racks()) {
        std::uint64_t inRack = 0;
        for (const WorkerIndex worker : rack) {
            inRack += static_cast<std::uint64_t>(
                copiesThatFit(workload.m_spec.m_resources, m_state.m_workers.at(worker).m_spec.m_capacity));
        }
        const std::uint32_t bound = workload.m_spec.m_maxPerRack;
        total += bound > 0 ? std::min<std::uint64_t>(inRack, bound) : inRack;
    }
    workload.m_maxConcurrentTasks = total;
    workload.m_maxConcurrentTasksGeneration = m_state.m_workers.generation();
    return total;
}

Result<Unit> SubmissionHandler::checkCapacity(Workload& workload, std::uint32_t together)
{
    const Resources& need = workload.m_spec.m_resources;
    // Before the workers are known nothing can be refused; the tasks wait and say why.
    if (m_state.m_workers.presentCount() == 0)
        return Unit {};
    if (!m_state.m_workers.fitsAnyEmptyWorker(need)) {
        const Resources& largest = m_state.m_workers.largestCapacity();
        return refuse(Reason::NeverFits, ErrorKind::NeverFits,
            "one task needs " + describe(need) + "; no worker has that much, the binding constraint is "
                + exceededKind(need, largest) + " (most on any worker: " + describe(largest) + ")");
    }
    if (together > 1) {
        const std::uint64_t most = maxConcurrentTasks(workload);
        if (most < together) {
            return refuse(Reason::NeverFits, ErrorKind::NeverFits,
                "the group needs " + std::to_string(together) + " tasks at once; empty workers hold "
                    + std::to_string(most)
                    + (workload.m_spec.m_maxPerRack > 0
                            ? " with maxPerRack " + std::to_string(workload.m_spec.m_maxPerRack)
                            : std::string()));
        }
    }
    return Unit {};
}

Result<Unit> SubmissionHandler::checkFeasibility(Workload& workload, std::uint32_t together)
{
    const WorkloadSpec& spec = workload.m_spec;
    const Resources all = spec.m_resources * together;
    const Resources& limit = m_state.m_quotas.at(workload.m_team).m_spec.m_limit;
    if (!all.fitsIn(limit)) {
        return refuse(Reason::QuotaNeverFits, ErrorKind::QuotaExceeded,
            "needs " + describe(all) + " at once; the limit of team " + spec.m_team.value() + " is " + describe(limit)
                + ", the binding constraint is " + exceededKind(all, limit));
    }
    return checkCapacity(workload, together);
}

JobIndex SubmissionHandler::findOrAddServiceJob(WorkloadIndex index)
{
    if (m_state.m_workloads[index].m_serviceJob == noIndex) {
        const JobIndex job = m_state.addJob(JobId(m_state.m_workloads[index].m_spec.m_name.value()), index);
        m_state.m_jobs[job].m_isService = true;
        m_state.m_workloads[index].m_serviceJob = job;
    }
    return m_state.m_workloads[index].m_serviceJob;
}

Result<Unit> SubmissionHandler::submitJob(const JobRequest& request, TimePoint now)
{
    if (m_state.m_jobIndices.contains(request.m_job))
        return Unit {}; // Submitted again, for example read twice from the log.
    const auto entry = m_state.m_workloadIndices.find(request.m_workload);
    if (entry == m_state.m_workloadIndices.end() || !m_state.m_workloads[entry->second].m_declared) {
        return refuse(Reason::UnknownWorkload, ErrorKind::UnknownWorkload,
            "workload " + request.m_workload.value() + " is not in the file in force");
    }
    // Task identifiers of the job would be those of the instances of the service.
    if (m_state.m_workloadIndices.contains(WorkloadId(request.m_job.value()))) {
        return refuse(Reason::InvalidRequest, ErrorKind::InvalidRequest,
            "job identifier " + request.m_job.value() + " is the name of a workload");
    }
    const WorkloadIndex workloadIndex = entry->second;
    const ClassKind kind = m_state.policyOf(m_state.m_workloads[workloadIndex]).m_kind;
    if (kind == ClassKind::Service || request.m_taskCount == 0) {
        return refuse(Reason::InvalidRequest, ErrorKind::InvalidRequest,
            "workload " + request.m_workload.value() + " does not take jobs of " + std::to_string(request.m_taskCount)
                + " tasks");
    }
    Result<Unit> possible
        = checkFeasibility(m_state.m_workloads[workloadIndex], startsTogether(kind) ? request.m_taskCount : 1);
    if (!succeeded(possible))
        return possible;
    if (m_state.m_waitingTasks + std::uint64_t(request.m_taskCount) > m_state.m_settings.m_maxQueuedTasks) {
        return refuse(Reason::QueueFull, ErrorKind::QueueFull,
            std::to_string(m_state.m_waitingTasks) + " tasks wait already; the bound is "
                + std::to_string(m_state.m_settings.m_maxQueuedTasks));
    }
    const JobIndex jobIndex = m_state.addJob(request.m_job, workloadIndex);
    m_state.m_jobIndices.emplace(request.m_job, jobIndex);
    m_state.m_jobs[jobIndex].m_tasks.reserve(request.m_taskCount);
    m_lifecycle.openJob(jobIndex, request.m_taskCount, now);
    return Unit {};
}

Result<Unit> SubmissionHandler::submitInstance(const TaskId& id, const WorkloadId& name, TimePoint now)
{
    const auto entry = m_state.m_workloadIndices.find(name);
    if (entry == m_state.m_workloadIndices.end() || !m_state.m_workloads[entry->second].m_declared
        || m_state.policyOf(m_state.m_workloads[entry->second]).m_kind != ClassKind::Service) {
        return refuse(Reason::UnknownWorkload, ErrorKind::UnknownWorkload,
            "workload " + name.value() + " is not a service of the file in force");
    }
    if (ownerOf(id) != name.value()) {
        return refuse(Reason::InvalidRequest, ErrorKind::InvalidRequest,
            "task " + id.value() + " is not an instance of workload " + name.value());
    }
    const TaskIndex existing = m_state.findTask(id);
    if (existing != noIndex && m_state.m_tasks[existing].m_job != noIndex)
        return Unit {};
    const JobIndex job = findOrAddServiceJob(entry->second);
    if (existing != noIndex) {
        m_lifecycle.attachToJob(existing, job);
        m_state.m_jobs[job].m_tasks.push_back(existing);
        return Unit {};
    }
    Result<Unit> possible = checkFeasibility(m_state.m_workloads[entry->second], 1);
    if (!succeeded(possible))
        return possible;
    const TaskIndex index = m_state.addTask(id);
    Task& task = m_state.m_tasks[index];
    task.m_job = job;
    task.m_workload = entry->second;
    // Attempt numbers continue after one whose end was reported before the instance was submitted.
    const auto early = m_state.m_earlyResults.find(id);
    if (early != m_state.m_earlyResults.end())
        task.m_attempt = task.m_finalAttempt = early->second.m_attempt;
    m_state.m_jobs[job].m_tasks.push_back(index);
    m_lifecycle.queueTask(index, now);
    return Unit {};
}

bool SubmissionHandler::cancelJob(const JobId& id, TimePoint now)
{
    const auto entry = m_state.m_jobIndices.find(id);
    if (entry == m_state.m_jobIndices.end())
        return false;
    if (!m_state.m_jobs[entry->second].m_closed) {
        m_state.m_jobs[entry->second].m_cancelled = true;
        m_lifecycle.cancelJob(entry->second, now);
    }
    return true;
}

bool SubmissionHandler::withdrawInstance(const TaskId& id, TimePoint now)
{
    const TaskIndex index = m_state.findTask(id);
    if (index == noIndex)
        return false;
    const Task& task = m_state.m_tasks[index];
    if (task.m_job != noIndex && !m_state.m_jobs[task.m_job].m_isService)
        return false;
    m_lifecycle.withdraw(index, now);
    return true;
}

} // namespace sapphiredale::placement
