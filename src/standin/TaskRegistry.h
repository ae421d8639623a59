// What runs where over all workers, and the progress that checkpoints have saved.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"
#include "standin/Violations.h"

#include <array>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace sapphiredale::standin {

/// Thread-safe; sharded by task identifier. Detects a task that runs on two workers at once.
class TaskRegistry {
public:
    explicit TaskRegistry(Violations& violations)
        : m_violations(violations)
    {
    }

    void started(const TaskId&, const WorkerId&);
    void ended(const TaskId&, const WorkerId&);
    /// Adds run time that a checkpoint has saved.
    void saveProgress(const TaskId&, Duration);
    /// Run time that checkpoints have saved so far.
    Duration progress(const TaskId&) const;

private:
    struct Entry {
        std::vector<WorkerId> m_runningOn;
        Duration m_progress {};
    };
    struct Shard {
        mutable std::mutex m_mutex;
        std::unordered_map<TaskId, Entry> m_tasks;
    };

    Shard& shardOf(const TaskId& task) { return m_shards[std::hash<TaskId> {}(task) % m_shards.size()]; }
    const Shard& shardOf(const TaskId& task) const { return m_shards[std::hash<TaskId> {}(task) % m_shards.size()]; }

    Violations& m_violations;
    std::array<Shard, 16> m_shards;
};

} // namespace sapphiredale::standin
