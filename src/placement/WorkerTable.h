// The workers of the domain with their capacity accounting and the two indices over it.
#pragma once

#include "placement/Records.h"
#include "placement/WorkerGrid.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace sapphiredale::placement {

/// Workers by name and index. Every change of an amount keeps the indices up to date.
class WorkerTable {
public:
    /// Index of the worker, created when it is new.
    WorkerIndex add(const WorkerSpec&);
    /// Index by name; noIndex when unknown or removed.
    WorkerIndex find(const WorkerId&) const;
    void remove(WorkerIndex);

    const Worker& at(WorkerIndex index) const { return m_workers[index]; }
    /// For fields that are not part of the accounting; call refresh() after a change of availability or health.
    Worker& mutableAt(WorkerIndex index) { return m_workers[index]; }

    void occupy(WorkerIndex, TaskIndex, Task&);
    void vacate(WorkerIndex, Task&, std::vector<Task>& tasks);
    /// Changes the reserved amount of a task on its worker.
    void resize(Task&, const Resources& reserved);
    /// Sets whether preemption may reclaim the task's reservation.
    void setReclaimable(Task&, bool);
    void claim(WorkerIndex, TaskIndex, const Resources&);
    void unclaim(WorkerIndex, TaskIndex, const Resources&, bool releases = true);
    /// Recomputes the positions of the worker in the indices.
    void refresh(WorkerIndex);

    const WorkerGrid& freeGrid() const { return m_free; }
    const WorkerGrid& reclaimGrid() const { return m_reclaim; }

    /// Workers whose free capacity grew since the last call of clearDirty().
    const std::vector<WorkerIndex>& dirty() const { return m_dirty; }
    void clearDirty();
    void markDirty(WorkerIndex);

    /// Number of slots in the table, removed workers included.
    std::uint32_t size() const { return static_cast<std::uint32_t>(m_workers.size()); }
    std::uint32_t presentCount() const { return m_present; }
    std::uint32_t availableCount() const { return m_availableCount; }
    std::uint32_t quarantinedCount() const { return m_quarantinedCount; }
    void adjustQuarantined(int by) { m_quarantinedCount += static_cast<std::uint32_t>(by); }
    void setAvailable(WorkerIndex, bool);
    /// Whether the need fits on at least one present worker when it is empty.
    bool fitsAnyEmptyWorker(const Resources& need) const;
    /// Largest amount of each kind on any present worker.
    Resources largestCapacity() const;
    const Resources& totalCapacity() const { return m_total; }
    Resources totalReserved() const { return m_totalReserved; }
    /// Changes whenever a worker is added, removed or resized.
    std::uint64_t generation() const { return m_generation; }
    const std::vector<std::vector<WorkerIndex>>& racks() const { return m_racks; }
    std::size_t stateBytes() const;

private:
    bool acceptsStarts(const Worker&) const;
    void adjustShapeCount(const Resources&, int by);

    std::vector<Worker> m_workers;
    std::unordered_map<WorkerId, WorkerIndex> m_workerIndices;
    std::unordered_map<RackId, RackIndex> m_rackIndices;
    std::vector<std::vector<WorkerIndex>> m_racks;
    /// Distinct capacities with the number of present workers that have them; few.
    std::vector<std::pair<Resources, std::uint32_t>> m_shapes;
    WorkerGrid m_free;
    WorkerGrid m_reclaim;
    std::vector<WorkerIndex> m_dirty;
    Resources m_total;
    Resources m_totalReserved;
    std::uint32_t m_present = 0;
    std::uint32_t m_availableCount = 0;
    std::uint32_t m_quarantinedCount = 0;
    std::uint64_t m_generation = 0;
};

} // namespace sapphiredale::placement
