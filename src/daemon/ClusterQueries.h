// Questions about tasks and workers of the whole cell: asks the scheduler of each failure domain and joins the answers.
#pragma once

#include "configuration/ConfigurationFold.h"
#include "daemon/PeerLink.h"
#include "daemon/SchedulerDriver.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace sapphiredale::daemon {

/// Rows of all domains that answered, and the domains that did not.
template <typename Row> struct CellRows {
    std::vector<Row> m_rows;
    std::vector<FailureDomainId> m_unreachable;
};

/// Queries of operators, and the answers to those of other daemons. All functions may be called from any thread.
class ClusterQueries {
public:
    using TasksHandler = std::function<void(const CellRows<peer::TaskRow>&)>;
    using WorkersHandler = std::function<void(const CellRows<peer::WorkerRow>&)>;
    using ExplainHandler = std::function<void(const peer::ExplainReply&)>;

    ClusterQueries(const Settings&, PeerLink&, SchedulerDriver&, MinionDirectory&);

    void configure(std::shared_ptr<const configuration::FileInForce>);

    void tasks(TasksHandler);
    void workers(WorkersHandler);
    void explain(const TaskId&, ExplainHandler);

    /// TasksQuery, WorkersQuery, MinionsQuery or ExplainQuery of another daemon.
    void called(const peer::Envelope&);

private:
    template <typename Query, typename Reply, typename Row> struct Gathering;
    template <typename Query, typename Reply, typename Row> void gather(std::function<void(const CellRows<Row>&)>);
    template <typename Query, typename Reply, typename Row>
    void gatherPage(const std::shared_ptr<Gathering<Query, Reply, Row>>&, const FailureDomainId&, Query);

    peer::TasksReply answer(const peer::TasksQuery&);
    peer::WorkersReply answer(const peer::WorkersQuery&);
    peer::ExplainReply answer(const peer::ExplainQuery&);
    std::shared_ptr<const configuration::FileInForce> file() const;
    std::optional<DaemonId> remoteScheduler(const FailureDomainId&);
    FailureDomainId homeOf(const TaskId&) const;

    const Settings& m_settings;
    PeerLink& m_peers;
    SchedulerDriver& m_scheduler;
    MinionDirectory& m_minions;

    mutable std::mutex m_mutex;
    /// Guarded by m_mutex.
    std::shared_ptr<const configuration::FileInForce> m_file;
};

} // namespace sapphiredale::daemon
