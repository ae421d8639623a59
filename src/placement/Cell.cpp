// Composition of the parts of the placement core.

#include "placement/Cell.h"

#include "placement/Dispatcher.h"
#include "placement/Explainer.h"
#include "placement/ReportHandler.h"

#include <algorithm>

namespace sapphiredale::placement {

/// The parts and the state that they share. It is created once and never moved.
class Cell::Impl {
public:
    explicit Impl(const CellSettings& settings)
        : m_state(settings)
    {
    }

    void removeWorker(WorkerIndex, TimePoint now);
    void setWorker(const WorkerSpec&, TimePoint now);

    CellState m_state;
    WaitingQueue m_queue { m_state };
    Quarantine m_quarantine { m_state };
    TaskLifecycle m_lifecycle { m_state, m_queue, m_quarantine };
    SubmissionHandler m_submissions { m_state, m_queue, m_lifecycle };
    UsageLearning m_learning { m_state };
    ReportHandler m_reports { m_state, m_submissions, m_lifecycle, m_quarantine, m_learning };
    Preemption m_preemption { m_state, m_lifecycle };
    WorkerSelector m_selector { m_state.m_settings.m_seed };
    GroupAdmission m_groups { m_state, m_queue, m_lifecycle, m_preemption, m_selector };
    Dispatcher m_dispatcher { m_state, m_queue, m_lifecycle, m_quarantine, m_preemption, m_groups, m_selector };
    Explainer m_explainer { m_state };
    TimePoint m_lastStep {};
};

void Cell::Impl::setWorker(const WorkerSpec& spec, TimePoint now)
{
    const WorkerIndex known = m_state.m_workers.find(spec.m_name);
    if (known != noIndex && m_state.m_workers.at(known).m_spec == spec)
        return;
    // A worker that moved to another rack is a new one as far as the spread over racks is concerned.
    if (known != noIndex && m_state.m_workers.at(known).m_spec.m_rack != spec.m_rack)
        removeWorker(known, now);
    m_state.m_workers.add(spec);
    m_state.m_quotas.setCapacity(m_state.m_workers.totalCapacity());
}

void Cell::Impl::removeWorker(WorkerIndex index, TimePoint now)
{
    const std::vector<TaskIndex> claimants = m_state.m_workers.at(index).m_claimants;
    for (const TaskIndex task : claimants) {
        if (m_state.m_tasks[task].m_claimedWorker != index)
            continue;
        if (m_groups.holdsClaims(m_state.m_tasks[task]))
            m_groups.abandonClaims();
        else
            m_lifecycle.returnToQueue(task);
    }
    const std::vector<TaskIndex> tasks = m_state.m_workers.at(index).m_tasks;
    for (const TaskIndex task : tasks)
        m_lifecycle.handleAttemptLoss(task, Reason::WorkerRemoved, now);
    m_state.m_workers.remove(index);
    m_state.m_quotas.setCapacity(m_state.m_workers.totalCapacity());
}

Cell::Cell(const CellSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Cell::~Cell() = default;
Cell::Cell(Cell&&) noexcept = default;
Cell& Cell::operator=(Cell&&) noexcept = default;

void Cell::setPolicies(const ClusterFile& file, TimePoint) { m_impl->m_submissions.setPolicies(file); }

void Cell::setWorker(const WorkerSpec& spec, TimePoint now) { m_impl->setWorker(spec, now); }

void Cell::removeWorker(const WorkerId& id, TimePoint now)
{
    const WorkerIndex index = m_impl->m_state.m_workers.find(id);
    if (index != noIndex)
        m_impl->removeWorker(index, now);
}

void Cell::setWorkerAvailable(const WorkerId& id, bool available, TimePoint)
{
    const WorkerIndex index = m_impl->m_state.m_workers.find(id);
    if (index != noIndex)
        m_impl->m_state.m_workers.setAvailable(index, available);
}

Result<Unit> Cell::submitJob(const JobRequest& request, TimePoint now)
{
    return m_impl->m_submissions.submitJob(request, now);
}

Result<Unit> Cell::submitInstance(const TaskId& task, const WorkloadId& workload, TimePoint now)
{
    return m_impl->m_submissions.submitInstance(task, workload, now);
}

bool Cell::cancelJob(const JobId& job, TimePoint now) { return m_impl->m_submissions.cancelJob(job, now); }

bool Cell::withdrawInstance(const TaskId& task, TimePoint now)
{
    return m_impl->m_submissions.withdrawInstance(task, now);
}

void Cell::taskReported(const WorkerId& worker, const TaskReport& report, TimePoint now)
{
    m_impl->m_reports.handleTaskReport(worker, report, now);
}

void Cell::taskAbsent(const WorkerId& worker, const TaskId& task, std::uint32_t attempt, TimePoint now)
{
    m_impl->m_reports.handleTaskAbsent(worker, task, attempt, now);
}

void Cell::startRefused(
    const TaskId& task, std::uint32_t attempt, const WorkerId& worker, const std::string&, TimePoint now)
{
    m_impl->m_reports.handleStartRefused(task, attempt, worker, now);
}

std::vector<PlacementAction> Cell::step(TimePoint now)
{
    m_impl->m_lastStep = now;
    m_impl->m_dispatcher.step(now);
    return std::exchange(m_impl->m_state.m_actions, {});
}

std::optional<TimePoint> Cell::nextWake() const
{
    const CellState& state = m_impl->m_state;
    TimePoint next = m_impl->m_queue.nextRetry();
    if (!state.m_actions.empty() || (!state.m_workers.dirty().empty() && state.m_waitingTasks > 0))
        next = TimePoint::min();
    if (!state.m_timers.empty())
        next = std::min(next, state.m_timers.top().m_at);
    if (next == TimePoint::max())
        return std::nullopt;
    return std::max(next, m_impl->m_lastStep);
}

Explanation Cell::explain(const TaskId& task) const { return m_impl->m_explainer.explain(task); }

const Counters& Cell::counters() const { return m_impl->m_state.m_counters; }

WorkerLoad Cell::workerLoad(const WorkerId& id) const
{
    WorkerLoad load;
    const WorkerIndex index = m_impl->m_state.m_workers.find(id);
    if (index == noIndex)
        return load;
    const Worker& worker = m_impl->m_state.m_workers.at(index);
    load.m_capacity = worker.m_spec.m_capacity;
    load.m_reserved = worker.m_reserved;
    load.m_tasks = static_cast<std::uint32_t>(worker.m_tasks.size());
    load.m_quarantined = worker.m_health == Health::Quarantined;
    load.m_onProbation = worker.m_health == Health::Probation;
    return load;
}

CellSummary Cell::summary() const
{
    const CellState& state = m_impl->m_state;
    CellSummary summary;
    summary.m_workers = state.m_workers.presentCount();
    summary.m_quarantinedWorkers = state.m_workers.quarantinedCount();
    summary.m_waitingTasks = state.m_waitingTasks;
    summary.m_capacity = state.m_workers.totalCapacity();
    summary.m_reserved = state.m_workers.totalReserved();
    summary.m_activeTasks = static_cast<std::uint32_t>(std::count_if(
        state.m_tasks.begin(), state.m_tasks.end(), [](const Task& task) { return occupies(task.m_phase); }));
    // A node of the table of names: the key, the index, the link and the cached hash.
    constexpr std::size_t nameBytes = sizeof(TaskId) + sizeof(TaskIndex) + 3 * sizeof(void*);
    summary.m_taskBytes = state.m_tasks.capacity() * sizeof(Task) + state.m_taskIndices.size() * nameBytes
        + state.m_jobs.capacity() * sizeof(Job) + state.m_timers.size() * sizeof(Timer);
    for (const Job& job : state.m_jobs)
        summary.m_taskBytes += job.m_tasks.capacity() * sizeof(TaskIndex)
            + job.m_tasksPerRack.capacity() * sizeof(job.m_tasksPerRack[0]);
    summary.m_workerBytes = state.m_workers.stateBytes();
    return summary;
}

} // namespace sapphiredale::placement
