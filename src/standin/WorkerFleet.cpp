// Construction of the fleet, its clock and its minions.

#include "standin/WorkerFleet.h"

#include "standin/Clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sapphiredale::standin {

namespace asio = boost::asio;

namespace {

    /// Step of the simulated time; short against the start delay of a task.
    constexpr auto tick = std::chrono::milliseconds(5);

    std::string numbered(const std::string& prefix, std::uint32_t number) { return prefix + std::to_string(number); }

} // namespace

WorkerFleet::WorkerFleet(asio::io_context& context, const StandinSettings& settings, TaskRegistry& registry,
    MinionSurroundings minionSurroundings)
    : m_context(context)
    , m_address(settings.m_address)
    , m_minionSurroundings(minionSurroundings)
{
    const WorkerSurroundings surroundings { settings.m_tasks, settings.m_seed, registry,
        minionSurroundings.m_violations, *this };
    for (const WorkerGroup& group : settings.m_workers) {
        for (std::uint32_t i = 0; i < group.m_count; ++i) {
            const std::uint32_t rack = i / std::max(1U, group.m_perRack) + 1;
            WorkerIdentity identity { WorkerId(numbered(group.m_prefix, i + 1)), group.m_failureDomain,
                RackId(group.m_prefix + "rack-" + std::to_string(rack)), group.m_capacity };
            m_workers.push_back(std::make_unique<SimulatedWorker>(std::move(identity), surroundings));
            m_byName[m_workers.back()->identity().m_name.value()] = m_workers.back().get();
        }
    }
}

SimulatedWorker* WorkerFleet::find(const std::string& name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : found->second;
}

asio::awaitable<void> WorkerFleet::run(asio::any_io_executor executor)
{
    asio::steady_timer timer(executor);
    for (;;) {
        for (const auto& worker : m_workers)
            worker->advance(currentTime());
        timer.expires_after(tick);
        const auto [error] = co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return;
    }
}

Result<std::shared_ptr<MinionPort>> WorkerFleet::launch(
    const TaskId& task, const FailureDomainId& failureDomain, MinionShape shape)
{
    auto minion = std::make_shared<SimulatedMinion>(task, failureDomain, shape, m_minionSurroundings);
    if (const auto opened = minion->open(m_context, m_address); !succeeded(opened))
        return errorOf(opened);
    const std::lock_guard lock(m_minionsMutex);
    std::erase_if(m_minions, [](const auto& entry) { return entry.second.expired(); });
    m_minions[task] = minion;
    return std::shared_ptr<MinionPort>(std::move(minion));
}

std::shared_ptr<SimulatedMinion> WorkerFleet::findMinion(const TaskId& task) const
{
    const std::lock_guard lock(m_minionsMutex);
    const auto found = m_minions.find(task);
    return found == m_minions.end() ? nullptr : found->second.lock();
}

std::vector<std::shared_ptr<SimulatedMinion>> WorkerFleet::minions() const
{
    const std::lock_guard lock(m_minionsMutex);
    std::vector<std::shared_ptr<SimulatedMinion>> result;
    for (const auto& [task, weak] : m_minions) {
        if (auto minion = weak.lock())
            result.push_back(std::move(minion));
    }
    return result;
}

} // namespace sapphiredale::standin
