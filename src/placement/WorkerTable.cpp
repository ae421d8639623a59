// Capacity accounting of workers.

#include "placement/WorkerTable.h"

#include <algorithm>
#include <cassert>

namespace sapphiredale::placement {

WorkerIndex WorkerTable::add(const WorkerSpec& spec)
{
    const auto [entry, isNew] = m_workerIndices.try_emplace(spec.m_name, size());
    const WorkerIndex index = entry->second;
    if (isNew)
        m_workers.emplace_back();
    Worker& worker = m_workers[index];
    if (worker.m_present) {
        m_total -= worker.m_spec.m_capacity;
        adjustShapeCount(worker.m_spec.m_capacity, -1);
        std::erase(m_racks[worker.m_rack], index);
    } else {
        ++m_present;
    }
    worker.m_spec = spec;
    worker.m_present = true;
    const auto [rack, isNewRack] = m_rackIndices.try_emplace(spec.m_rack, static_cast<RackIndex>(m_racks.size()));
    if (isNewRack)
        m_racks.emplace_back();
    worker.m_rack = rack->second;
    m_racks[worker.m_rack].push_back(index);
    m_total += spec.m_capacity;
    adjustShapeCount(spec.m_capacity, 1);
    ++m_generation;
    refresh(index);
    markDirty(index);
    return index;
}

WorkerIndex WorkerTable::find(const WorkerId& name) const
{
    const auto entry = m_workerIndices.find(name);
    return entry == m_workerIndices.end() || !m_workers[entry->second].m_present ? noIndex : entry->second;
}

void WorkerTable::remove(WorkerIndex index)
{
    Worker& worker = m_workers[index];
    assert(worker.m_present && worker.m_tasks.empty() && worker.m_claimants.empty());
    setAvailable(index, false);
    if (worker.m_health == Health::Quarantined)
        --m_quarantinedCount;
    worker.m_health = Health::Good;
    worker.m_quarantines = 0;
    worker.m_failedJobs.clear();
    worker.m_present = false;
    std::erase(m_racks[worker.m_rack], index);
    m_total -= worker.m_spec.m_capacity;
    adjustShapeCount(worker.m_spec.m_capacity, -1);
    --m_present;
    ++m_generation;
    refresh(index);
}

void WorkerTable::adjustShapeCount(const Resources& capacity, int by)
{
    const auto entry
        = std::find_if(m_shapes.begin(), m_shapes.end(), [&](const auto& shape) { return shape.first == capacity; });
    if (entry == m_shapes.end()) {
        m_shapes.emplace_back(capacity, 1);
        return;
    }
    entry->second += static_cast<std::uint32_t>(by);
    if (entry->second == 0)
        m_shapes.erase(entry);
}

bool WorkerTable::fitsAnyEmptyWorker(const Resources& need) const
{
    return std::any_of(m_shapes.begin(), m_shapes.end(), [&](const auto& shape) { return need.fitsIn(shape.first); });
}

Resources WorkerTable::largestCapacity() const
{
    Resources largest;
    for (const auto& shape : m_shapes)
        largest = Resources::max(largest, shape.first);
    return largest;
}

void WorkerTable::setAvailable(WorkerIndex index, bool available)
{
    Worker& worker = m_workers[index];
    if (worker.m_available == available)
        return;
    worker.m_available = available;
    m_availableCount += available ? 1 : std::uint32_t(-1);
    refresh(index);
    if (available)
        markDirty(index);
}

bool WorkerTable::acceptsStarts(const Worker& worker) const
{
    if (!worker.m_present || !worker.m_available || worker.m_health == Health::Quarantined)
        return false;
    // A worker on probation starts one task at a time, until one has shown that it works.
    return worker.m_health != Health::Probation || worker.m_probationTask == noIndex;
}

void WorkerTable::refresh(WorkerIndex index)
{
    Worker& worker = m_workers[index];
    const bool accepts = acceptsStarts(worker);
    const auto move = [&](WorkerGrid& grid, std::uint32_t target, auto bucketOf, auto slotOf) {
        std::uint32_t& bucket = worker.*bucketOf;
        if (bucket == target)
            return;
        if (bucket != noIndex) {
            const WorkerIndex moved = grid.erase(bucket, worker.*slotOf);
            if (moved != noIndex)
                m_workers[moved].*slotOf = worker.*slotOf;
        }
        bucket = target;
        if (target != noIndex)
            grid.insert(index, target, worker.*slotOf);
    };
    const Resources free = worker.free();
    move(m_free, accepts ? WorkerGrid::bucketOf(free) : noIndex, &Worker::m_freeBucket, &Worker::m_freeSlot);
    const bool reclaims = accepts && !worker.m_reclaimable.isZero();
    move(m_reclaim, reclaims ? WorkerGrid::bucketOf(free + worker.m_reclaimable) : noIndex, &Worker::m_reclaimBucket,
        &Worker::m_reclaimSlot);
}

void WorkerTable::markDirty(WorkerIndex index)
{
    Worker& worker = m_workers[index];
    if (!worker.m_dirty) {
        worker.m_dirty = true;
        m_dirty.push_back(index);
    }
}

void WorkerTable::clearDirty()
{
    for (const WorkerIndex index : m_dirty)
        m_workers[index].m_dirty = false;
    m_dirty.clear();
}

void WorkerTable::occupy(WorkerIndex index, TaskIndex taskIndex, Task& task)
{
    Worker& worker = m_workers[index];
    task.m_worker = index;
    task.m_slot = static_cast<std::uint32_t>(worker.m_tasks.size());
    worker.m_tasks.push_back(taskIndex);
    worker.m_reserved += task.m_reserved;
    m_totalReserved += task.m_reserved;
    refresh(index);
}

void WorkerTable::vacate(WorkerIndex index, Task& task, std::vector<Task>& tasks)
{
    assert(task.m_worker == index);
    setReclaimable(task, false);
    Worker& worker = m_workers[index];
    worker.m_reserved -= task.m_reserved;
    m_totalReserved -= task.m_reserved;
    const TaskIndex last = worker.m_tasks.back();
    worker.m_tasks[task.m_slot] = last;
    tasks[last].m_slot = task.m_slot;
    worker.m_tasks.pop_back();
    task.m_worker = noIndex;
    refresh(index);
    markDirty(index);
}

void WorkerTable::resize(Task& task, const Resources& reserved)
{
    Worker& worker = m_workers[task.m_worker];
    const bool shrinks = !task.m_reserved.fitsIn(reserved);
    worker.m_reserved += reserved - task.m_reserved;
    m_totalReserved += reserved - task.m_reserved;
    if (task.m_reclaimable)
        worker.m_reclaimable += reserved - task.m_reserved;
    task.m_reserved = reserved;
    refresh(task.m_worker);
    if (shrinks)
        markDirty(task.m_worker);
}

void WorkerTable::setReclaimable(Task& task, bool reclaimable)
{
    if (task.m_reclaimable == reclaimable)
        return;
    task.m_reclaimable = reclaimable;
    Worker& worker = m_workers[task.m_worker];
    if (reclaimable)
        worker.m_reclaimable += task.m_reserved;
    else
        worker.m_reclaimable -= task.m_reserved;
    refresh(task.m_worker);
}

void WorkerTable::claim(WorkerIndex index, TaskIndex task, const Resources& amount)
{
    Worker& worker = m_workers[index];
    worker.m_claimed += amount;
    worker.m_claimants.push_back(task);
    refresh(index);
}

void WorkerTable::unclaim(WorkerIndex index, TaskIndex task, const Resources& amount, bool releases)
{
    Worker& worker = m_workers[index];
    worker.m_claimed -= amount;
    std::erase(worker.m_claimants, task);
    refresh(index);
    if (releases)
        markDirty(index);
}

std::size_t WorkerTable::stateBytes() const
{
    std::size_t bytes = m_free.stateBytes() + m_reclaim.stateBytes();
    for (const Worker& worker : m_workers)
        bytes += sizeof(Worker) + (worker.m_tasks.capacity() + worker.m_claimants.capacity()) * sizeof(TaskIndex);
    return bytes;
}

} // namespace sapphiredale::placement
