// All simulated workers and the minions that run on them.
#pragma once

#include "standin/SimulatedMinion.h"
#include "standin/SimulatedWorker.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphiredale::standin {

/// The set of workers is fixed at construction; minions come and go under a lock.
class WorkerFleet final : public MinionLauncher {
public:
    WorkerFleet(boost::asio::io_context&, const StandinSettings&, TaskRegistry&, MinionSurroundings);

    /// The worker of that name, or nullptr.
    SimulatedWorker* find(const std::string& name) const;
    const std::vector<std::unique_ptr<SimulatedWorker>>& workers() const { return m_workers; }

    /// Lets the simulated time of the workers follow the clock until the I/O context stops.
    boost::asio::awaitable<void> run(boost::asio::any_io_executor);

    Result<std::shared_ptr<MinionPort>> launch(const TaskId&, const FailureDomainId&, MinionShape) override;
    /// The running minion of a task, or nullptr.
    std::shared_ptr<SimulatedMinion> findMinion(const TaskId&) const;
    std::vector<std::shared_ptr<SimulatedMinion>> minions() const;

private:
    boost::asio::io_context& m_context;
    const std::string m_address;
    const MinionSurroundings m_minionSurroundings;
    std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
    std::map<std::string, SimulatedWorker*> m_byName;
    mutable std::mutex m_minionsMutex;
    std::map<TaskId, std::weak_ptr<SimulatedMinion>> m_minions;
};

} // namespace sapphiredale::standin
