// Running minions of the failure domain.

#include "daemon/MinionDirectory.h"

#include "model/Rendezvous.h"
#include "ownership/HomeMap.h"

#include <algorithm>

namespace sapphiredale::daemon {

void MinionDirectory::setFile(const ClusterFile& file)
{
    const std::lock_guard lock(m_mutex);
    m_services.clear();
    for (const WorkloadSpec& workload : file.m_workloads) {
        if (workload.m_minion)
            m_services.emplace(workload.m_name, *workload.m_minion);
    }
    if (!m_reports.empty())
        rebuild();
}

void MinionDirectory::reported(const WorkerReport& report)
{
    if (!report.m_full && report.m_tasks.empty())
        return;
    const std::lock_guard lock(m_mutex);
    std::map<TaskId, TaskReport>& tasks = m_reports[report.m_worker];
    if (report.m_full)
        tasks.clear();
    for (const TaskReport& task : report.m_tasks) {
        if (isFinal(task.m_state) || task.m_address.empty())
            tasks.erase(task.m_task);
        else
            tasks.insert_or_assign(task.m_task, task);
    }
    rebuild();
}

void MinionDirectory::workersRemain(const std::vector<WorkerId>& workers)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t removed = std::erase_if(m_reports,
        [&](const auto& entry) { return std::find(workers.begin(), workers.end(), entry.first) == workers.end(); });
    if (removed > 0)
        rebuild();
}

void MinionDirectory::setLeavingWorkers(std::set<WorkerId> workers)
{
    const std::lock_guard lock(m_mutex);
    if (workers == m_leaving)
        return;
    m_leaving = std::move(workers);
    if (!m_reports.empty())
        rebuild();
}

void MinionDirectory::clearReports()
{
    const std::lock_guard lock(m_mutex);
    m_reports.clear();
}

void MinionDirectory::replace(const peer::MinionsReply& reply)
{
    if (reply.m_error || reply.m_unchanged)
        return;
    const std::lock_guard lock(m_mutex);
    m_list = reply;
}

peer::MinionsReply MinionDirectory::list(std::uint64_t knownGeneration) const
{
    const std::lock_guard lock(m_mutex);
    if (m_list.m_generation != knownGeneration)
        return m_list;
    peer::MinionsReply unchanged;
    unchanged.m_generation = knownGeneration;
    unchanged.m_unchanged = true;
    return unchanged;
}

std::uint64_t MinionDirectory::generation() const
{
    const std::lock_guard lock(m_mutex);
    return m_list.m_generation;
}

void MinionDirectory::rebuild()
{
    std::vector<peer::MinionRow> rows;
    for (const auto& [worker, tasks] : m_reports) {
        if (m_leaving.contains(worker))
            continue;
        for (const auto& [task, report] : tasks) {
            const WorkloadId workload { std::string(ownership::ownerOfTask(task)) };
            const auto service = m_services.find(workload);
            if (service == m_services.end())
                continue;
            rows.push_back({ MinionId(task.value()), workload, report.m_address, service->second.m_slots,
                service->second.m_connections });
        }
    }
    std::sort(rows.begin(), rows.end(),
        [](const peer::MinionRow& a, const peer::MinionRow& b) { return a.m_minion < b.m_minion; });
    // Equal lists have equal generations, whichever daemon built them. Zero is reserved for "no list".
    std::uint64_t generation = 1;
    for (const peer::MinionRow& row : rows) {
        generation = stableHash(row.m_minion.value(), generation);
        generation = stableHash(row.m_address, generation + row.m_slots);
    }
    m_list = { std::max<std::uint64_t>(generation, 1), false, std::move(rows), std::nullopt };
}

} // namespace sapphiredale::daemon
