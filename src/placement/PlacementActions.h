// Decisions of the placement core. The domain scheduler turns them into commands to workers and records in the log.
#pragma once

#include "model/Identifier.h"
#include "model/Resources.h"
#include "model/Result.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sapphiredale::placement {

/// Start a task on a worker.
struct StartTask {
    TaskId m_task;
    std::uint32_t m_attempt = 1;
    WorkloadId m_workload;
    WorkerId m_worker;
    Resources m_resources;

    friend bool operator==(const StartTask&, const StartTask&) = default;
};

/// Stop a running task. Its resources stay reserved until the worker reports a final state.
struct StopTask {
    TaskId m_task;
    std::uint32_t m_attempt = 1;
    WorkerId m_worker;
    /// Readable reason, for example "cancelled" or "preempted by job j17".
    std::string m_reason;

    friend bool operator==(const StopTask&, const StopTask&) = default;
};

/// Checkpoint a running task and then stop it; it is queued again with its progress kept.
struct CheckpointTask {
    TaskId m_task;
    std::uint32_t m_attempt = 1;
    WorkerId m_worker;
    std::string m_reason;

    friend bool operator==(const CheckpointTask&, const CheckpointTask&) = default;
};

/// Limit the processor time of a running task.
struct ThrottleTask {
    TaskId m_task;
    std::uint32_t m_attempt = 1;
    WorkerId m_worker;
    std::int64_t m_cpuMillis = 0;

    friend bool operator==(const ThrottleTask&, const ThrottleTask&) = default;
};

/// A job that was accepted can no longer run, for example because its attempts are used up.
struct FailJob {
    JobId m_job;
    Error m_error;

    friend bool operator==(const FailJob&, const FailJob&) = default;
};

/// Every task of a job has ended with success.
struct FinishJob {
    JobId m_job;

    friend bool operator==(const FinishJob&, const FinishJob&) = default;
};

using PlacementAction = std::variant<StartTask, StopTask, CheckpointTask, ThrottleTask, FailJob, FinishJob>;

} // namespace sapphiredale::placement
