// What the control listener shows: violations, executions, partitions and the true state.

#include "standin/Clock.h"
#include "standin/ControlApi.h"
#include "standin/HttpReplies.h"
#include "standin/JsonFields.h"

namespace sapphiredale::standin {

namespace json = boost::json;

namespace {

    constexpr std::uint64_t maxExecutions = 100000;

    json::object workerToJson(const SimulatedWorker& worker)
    {
        const LeaseView view = worker.leaseView(currentTime());
        json::array tasks;
        for (const TaskReport& task : worker.report(0).m_tasks)
            tasks.push_back({ { "id", task.m_task.value() }, { "attempt", task.m_attempt },
                { "state", nameOf(task.m_state) }, { "address", task.m_address }, { "reason", task.m_reason } });
        const WorkerIdentity& identity = worker.identity();
        return { { "name", identity.m_name.value() }, { "failureDomain", identity.m_failureDomain.value() },
            { "rack", identity.m_rack.value() }, { "alive", worker.isAlive() },
            { "incarnation", worker.incarnation().value() }, { "holder", view.m_holder.value() },
            { "epoch", view.m_epoch }, { "expiresInMs", toMilliseconds(view.m_expiresIn) },
            { "capacity", resourcesToJson(identity.m_capacity) }, { "assigned", resourcesToJson(worker.assigned()) },
            { "tasks", std::move(tasks) } };
    }

    json::array toArray(const std::vector<std::string>& texts) { return json::array(texts.begin(), texts.end()); }

    std::string_view nameOf(PartitionMode mode)
    {
        if (mode == PartitionMode::Drop)
            return "drop";
        return mode == PartitionMode::Delay ? "delay" : "loseAnswers";
    }

    std::string_view nameOf(PlatformPart part)
    {
        switch (part) {
        case PlatformPart::Log:
            return "log";
        case PlatformPart::Hosts:
            return "hosts";
        case PlatformPart::Workers:
            return "workers";
        case PlatformPart::Minions:
            break;
        }
        return "minions";
    }

} // namespace

HttpReply ControlApi::show(const HttpRequest& request)
{
    if (request.m_path == "/v1/control/violations")
        return violations();
    if (request.m_path == "/v1/control/executions")
        return executions(request);
    if (request.m_path == "/v1/control/partitions")
        return partitions();
    if (request.m_path == "/v1/control/state")
        return state();
    return errorReply(404, "no such path");
}

HttpReply ControlApi::violations() const
{
    json::object counts;
    for (const auto& [kind, count] : m_targets.m_violations.counts())
        counts[kind] = count;
    json::array list;
    for (const Violation& violation : m_targets.m_violations.list())
        list.push_back({ { "kind", violation.m_kind }, { "detail", violation.m_detail },
            { "timeMs", violation.m_time.time_since_epoch().count() } });
    return jsonReply({ { "counts", std::move(counts) }, { "violations", std::move(list) } });
}

HttpReply ControlApi::executions(const HttpRequest& request) const
{
    const auto limit = static_cast<std::size_t>(std::min(request.number("limit", maxExecutions), maxExecutions));
    json::array list;
    for (const Execution& execution : m_targets.m_executions.after(request.number("after", 0), limit))
        list.push_back({ { "seq", execution.m_sequence }, { "request", execution.m_request.value() },
            { "idempotencyKey", execution.m_idempotencyKey }, { "minion", execution.m_minion.value() },
            { "epoch", execution.m_epoch }, { "startMs", execution.m_start.time_since_epoch().count() },
            { "endMs", execution.m_end.time_since_epoch().count() }, { "outcome", execution.m_outcome } });
    return jsonReply({ { "executions", std::move(list) } });
}

HttpReply ControlApi::partitions() const
{
    json::array list;
    for (const Partition& partition : m_targets.m_faults.list()) {
        json::array parts;
        for (const PlatformPart part : partition.m_parts)
            parts.emplace_back(nameOf(part));
        list.push_back({ { "name", partition.m_name }, { "daemons", toArray(partition.m_daemons) },
            { "daemonDomains", toArray(partition.m_daemonDomains) }, { "parts", std::move(parts) },
            { "targetDomains", toArray(partition.m_targetDomains) }, { "mode", nameOf(partition.m_mode) } });
    }
    return jsonReply({ { "partitions", std::move(list) } });
}

HttpReply ControlApi::state() const
{
    json::object streams;
    for (const auto& [name, extent] : m_targets.m_log.extents())
        streams[name] = json::object { { "earliest", extent.first }, { "next", extent.second } };
    json::array workers;
    for (const auto& worker : m_targets.m_fleet.workers())
        workers.push_back(workerToJson(*worker));
    json::array minions;
    for (const auto& minion : m_targets.m_fleet.minions())
        minions.push_back({ { "task", minion->task().value() }, { "address", minion->address() },
            { "inFlight", minion->inFlight() }, { "leaving", minion->isLeaving() } });
    return jsonReply(
        { { "streams", std::move(streams) }, { "workers", std::move(workers) }, { "minions", std::move(minions) } });
}

} // namespace sapphiredale::standin
