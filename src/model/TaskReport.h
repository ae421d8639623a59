// Report of a worker about its tasks.
#pragma once

#include "model/Identifier.h"
#include "model/Resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale {

/// State of a task on a worker. Ended, Failed and Stopped are final: the worker keeps them until they are acknowledged.
enum class TaskState : std::uint8_t {
    Starting,
    Running,
    Checkpointing,
    /// Ended by itself with success.
    Ended,
    /// Ended by itself with an error.
    Failed,
    /// Stopped by a command or by the lapse of its lease.
    Stopped,
};

inline bool isFinal(TaskState state)
{
    return state == TaskState::Ended || state == TaskState::Failed || state == TaskState::Stopped;
}

inline std::string_view nameOf(TaskState state)
{
    switch (state) {
    case TaskState::Starting:
        return "starting";
    case TaskState::Running:
        return "running";
    case TaskState::Checkpointing:
        return "checkpointing";
    case TaskState::Ended:
        return "ended";
    case TaskState::Failed:
        return "failed";
    case TaskState::Stopped:
        return "stopped";
    }
    return "unknown";
}

/// One task as its worker sees it.
struct TaskReport {
    TaskId m_task;
    /// Number of the start of this task, from 1.
    std::uint32_t m_attempt = 1;
    TaskState m_state = TaskState::Starting;
    /// Measured usage; it lags behind the actual usage.
    Resources m_usage;
    /// Resources that were declared at the start.
    Resources m_declared;
    /// "address:port" of a minion; empty for other tasks.
    std::string m_address;
    std::string m_reason;

    friend bool operator==(const TaskReport&, const TaskReport&) = default;
};

/// Report of a worker: all its tasks, or those that changed since the sequence number that the holder gave.
struct WorkerReport {
    WorkerId m_worker;
    IncarnationId m_incarnation;
    std::uint64_t m_sequence = 0;
    /// True when m_tasks lists every task of the worker.
    bool m_full = false;
    std::vector<TaskReport> m_tasks;

    friend bool operator==(const WorkerReport&, const WorkerReport&) = default;
};

} // namespace sapphiredale
