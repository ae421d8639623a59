// Interface of a placement core as the domain scheduler uses it. placement::Cell satisfies it; tests use a fake.
#pragma once

#include "placement/Cell.h"

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::ownership {

/// A placement core of one failure domain; see placement::Cell for the meaning of the functions.
///
/// Contract beyond the signatures: taskReported for a task that was not submitted reserves its resources, and a later
/// submitJob or submitInstance adopts it instead of queueing it again. A final state reported for a task of a submitted
/// job that waits counts as the end of that attempt; the worker has to be known. A task whose owner is a service of the
/// file is adopted as an instance, so the caller has to withdraw it if it must not run.
template <typename T>
concept CellType = std::movable<T> && std::constructible_from<T, const placement::CellSettings&> && requires(T cell,
    const T constCell, const ClusterFile& file, const WorkerSpec& spec, const WorkerId& worker,
    const placement::JobRequest& request, const TaskId& task, const WorkloadId& workload, const JobId& job,
    const TaskReport& report, const std::string& reason, TimePoint now)
{
    cell.setPolicies(file, now);
    cell.setWorker(spec, now);
    cell.removeWorker(worker, now);
    cell.setWorkerAvailable(worker, true, now);
    {
        cell.submitJob(request, now)
        } -> std::same_as<Result<Unit>>;
    {
        cell.submitInstance(task, workload, now)
        } -> std::same_as<Result<Unit>>;
    {
        cell.cancelJob(job, now)
        } -> std::same_as<bool>;
    {
        cell.withdrawInstance(task, now)
        } -> std::same_as<bool>;
    cell.taskReported(worker, report, now);
    cell.taskAbsent(worker, task, std::uint32_t {}, now);
    cell.startRefused(task, std::uint32_t {}, worker, reason, now);
    {
        cell.step(now)
        } -> std::same_as<std::vector<placement::PlacementAction>>;
    {
        constCell.nextWake()
        } -> std::same_as<std::optional<TimePoint>>;
    {
        constCell.explain(task)
        } -> std::same_as<placement::Explanation>;
};

} // namespace sapphiredale::ownership
