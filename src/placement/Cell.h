// The placement core of one failure domain: it holds the queue, the workers' capacity and the running tasks, and
// decides which task starts where. It is a deterministic step function without I/O, clock, threads or exceptions.
#pragma once

#include "model/ClusterFile.h"
#include "model/Result.h"
#include "model/TaskReport.h"
#include "model/Time.h"
#include "placement/PlacementActions.h"
#include "placement/Reason.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::placement {

/// Settings that build a Cell.
struct CellSettings {
    FailureDomainId m_failureDomain;
    /// Seed of the random choices among equal candidates.
    std::uint64_t m_seed = 1;
    /// Most tasks that wait in the queue; a job beyond it is refused with QueueFull.
    std::uint32_t m_maxQueuedTasks = 200000;
    /// Most actions of waiting tasks per step; zero sets no bound. With a bound nextWake() asks for a further step at
    /// once, so that a burst does not delay the other work of the caller's thread.
    std::uint32_t m_maxStartsPerStep = 0;
    /// Half-life with which a decrease of reported usage is trusted; zero trusts every report at once.
    Duration m_usageHalfLife = std::chrono::seconds(10);
};

/// A job as accepted from a caller.
struct JobRequest {
    JobId m_job;
    WorkloadId m_workload;
    /// Tasks "job/0" to "job/(count - 1)".
    std::uint32_t m_taskCount = 1;

    friend bool operator==(const JobRequest&, const JobRequest&) = default;
};

/// Why a task runs where it runs, or why it waits.
struct Explanation {
    enum class State : std::uint8_t { Unknown, Waiting, Starting, Running, Stopping, Finished, Failed };
    State m_state = State::Unknown;
    std::optional<WorkerId> m_worker;
    /// Stable reason name, also the label of the counter (for example "no-capacity", "quota", "group-incomplete").
    std::string m_reason;
    /// Readable sentence that names the binding constraint.
    std::string m_detail;
    /// What would release a waiting task.
    std::string m_release;
};

/// What a worker carries as the cell accounts for it.
struct WorkerLoad {
    Resources m_capacity;
    /// Sum over its tasks of the larger of declared size and trusted usage.
    Resources m_reserved;
    std::uint32_t m_tasks = 0;
    bool m_quarantined = false;
    bool m_onProbation = false;
};

/// Totals for status pages and measurements.
struct CellSummary {
    std::uint32_t m_workers = 0;
    std::uint32_t m_quarantinedWorkers = 0;
    std::uint32_t m_waitingTasks = 0;
    std::uint32_t m_activeTasks = 0;
    Resources m_capacity;
    Resources m_reserved;
    /// Approximate bytes of the records of tasks and jobs, and of workers with their indices.
    std::size_t m_taskBytes = 0;
    std::size_t m_workerBytes = 0;
};

/// The placement core of one failure domain.
class Cell {
public:
    explicit Cell(const CellSettings&);
    ~Cell();
    Cell(Cell&&) noexcept;
    Cell& operator=(Cell&&) noexcept;

    /// Replaces classes, teams, workloads and weights by those of the file. Team quotas must already be this domain's
    /// part.
    /// The kind of a known class and of a known workload stays; a workload that changes it takes no new work.
    void setPolicies(const ClusterFile&, TimePoint now);

    /// Adds a worker or replaces its description. A new worker is not available until setWorkerAvailable(true).
    void setWorker(const WorkerSpec&, TimePoint now);
    /// Removes a worker; its tasks count as ended without a result and are queued again by the rules of their class.
    void removeWorker(const WorkerId&, TimePoint now);
    /// Whether new tasks may start on the worker (lease held, not leaving). Running tasks are not affected.
    void setWorkerAvailable(const WorkerId&, bool available, TimePoint now);

    /// Accepts a job of a batch or group workload, or refuses it (UnknownWorkload, NeverFits, QuotaExceeded,
    /// QueueFull).
    Result<Unit> submitJob(const JobRequest&, TimePoint now);
    /// Requests that an instance of a service runs; repeated calls have no effect.
    Result<Unit> submitInstance(const TaskId&, const WorkloadId&, TimePoint now);
    /// Cancels a job: waiting tasks leave the queue, running tasks are stopped. False when the job is unknown.
    bool cancelJob(const JobId&, TimePoint now);
    /// Withdraws an instance of a service, for example when the file no longer declares it.
    bool withdrawInstance(const TaskId&, TimePoint now);

    /// A task as reported by its worker, at recovery or later: takes over unknown tasks, updates state and use, frees
    /// resources at a final state. Reports that are late, repeated or of an older attempt have no effect.
    void taskReported(const WorkerId&, const TaskReport&, TimePoint now);
    /// A full report of the worker does not list an attempt that should be there: its end is proven without a result,
    /// and the task is queued again by the rules of its class.
    void taskAbsent(const WorkerId&, const TaskId&, std::uint32_t attempt, TimePoint now);
    /// The worker refused a start command: the task did not start.
    void startRefused(const TaskId&, std::uint32_t attempt, const WorkerId&, const std::string& reason, TimePoint now);

    /// Decides as much as is possible now and returns the actions in the order in which they must be carried out.
    std::vector<PlacementAction> step(TimePoint now);
    /// The next time at which step() may decide something without a further input.
    std::optional<TimePoint> nextWake() const;

    Explanation explain(const TaskId&) const;

    /// Counters of refusals, waits, returns to the queue and actions, by reason.
    const Counters& counters() const;
    /// What is reserved on the worker and how many tasks it has; zero for an unknown worker.
    WorkerLoad workerLoad(const WorkerId&) const;
    CellSummary summary() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace sapphiredale::placement
