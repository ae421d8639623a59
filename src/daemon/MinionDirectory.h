// Running minions of the failure domain: the domain scheduler learns them from its workers' reports, the other daemons
// of the domain copy its list.
#pragma once

#include "model/ClusterFile.h"
#include "model/TaskReport.h"
#include "peer/Messages.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace sapphiredale::daemon {

/// List of minions. All functions may be called from any thread.
class MinionDirectory {
public:
    /// Slots and connections of the minions of each workload come from the file in force.
    void setFile(const ClusterFile&);
    /// Takes over a report of a worker; a full one replaces what was known of the worker.
    void reported(const WorkerReport&);
    /// Forgets a worker whose end is proven or that left the file.
    void workersRemain(const std::vector<WorkerId>&);
    /// Workers that the host list shows as leaving or gone; their minions are left out, so that they get no new work.
    void setLeavingWorkers(std::set<WorkerId>);
    /// This daemon ceased to be the scheduler: its reports are no longer current.
    void clearReports();
    /// Replaces the list by that of the domain scheduler.
    void replace(const peer::MinionsReply&);

    /// The list with its generation, without rows when the generation is the known one.
    peer::MinionsReply list(std::uint64_t knownGeneration) const;
    std::uint64_t generation() const;

private:
    /// Builds the list from the reports. Called with m_mutex held.
    void rebuild();

    mutable std::mutex m_mutex;
    /// Guarded by m_mutex, as are the members below.
    std::map<WorkloadId, MinionSpec> m_services;
    std::map<WorkerId, std::map<TaskId, TaskReport>> m_reports;
    std::set<WorkerId> m_leaving;
    peer::MinionsReply m_list;
};

} // namespace sapphiredale::daemon
