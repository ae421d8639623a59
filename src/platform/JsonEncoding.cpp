// Encoding of requests.

#include "platform/JsonCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sapphiredale::platform {

namespace json = boost::json;

namespace {

    std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    json::object attemptOf(const TaskAttempt& target)
    {
        return { { "task", target.m_task.value() }, { "attempt", target.m_attempt } };
    }

    void describe(json::object& command, const StartCommand& start)
    {
        command["op"] = "start";
        command["resources"] = { { "cpuMillis", start.m_resources.m_cpuMillis },
            { "memoryMiB", start.m_resources.m_memoryMiB }, { "accelerators", start.m_resources.m_accelerators } };
        command["program"] = start.m_program;
        command["lapseStopSeconds"] = start.m_lapseStopSeconds;
        if (start.m_minion)
            command["minion"]
                = { { "slots", start.m_minion->m_slots }, { "connections", start.m_minion->m_connections } };
    }

    void describe(json::object& command, const StopCommand&) { command["op"] = "stop"; }
    void describe(json::object& command, const CheckpointCommand&) { command["op"] = "checkpoint"; }
    void describe(json::object& command, const ThrottleCommand& throttle)
    {
        command["op"] = "throttle";
        command["cpuMillis"] = throttle.m_cpuMillis;
    }

} // namespace

std::string encodeRecords(const std::vector<std::string>& records)
{
    return json::serialize(json::object { { "records", json::array(records.begin(), records.end()) } });
}

std::string encode(const WorkerLeaseRequest& request)
{
    json::object body { { "holder", request.m_holder.value() }, { "epoch", request.m_epoch },
        { "ttlMs", milliseconds(request.m_ttl) } };
    if (request.m_wait > Duration::zero())
        body["waitMs"] = milliseconds(request.m_wait);
    if (request.m_since > 0)
        body["since"] = request.m_since;
    if (request.m_externalContact)
        body["externalContact"] = true;
    if (!request.m_acknowledged.empty()) {
        json::array acknowledged;
        for (const TaskAttempt& attempt : request.m_acknowledged)
            acknowledged.push_back(attemptOf(attempt));
        body["ack"] = std::move(acknowledged);
    }
    return json::serialize(body);
}

std::string encode(const ReleaseRequest& request)
{
    return json::serialize(json::object { { "holder", request.m_holder.value() }, { "epoch", request.m_epoch } });
}

std::string encode(const CommandRequest& request)
{
    json::array commands;
    for (const WorkerCommand& command : request.m_commands) {
        json::object object = attemptOf(command.m_target);
        std::visit([&object](const auto& operation) { describe(object, operation); }, command.m_operation);
        commands.push_back(std::move(object));
    }
    return json::serialize(json::object { { "holder", request.m_holder.value() }, { "epoch", request.m_epoch },
        { "incarnation", request.m_incarnation.value() }, { "commands", std::move(commands) } });
}

std::string encode(const MinionLeaseRequest& request)
{
    json::object body { { "holder", request.m_holder.value() }, { "epoch", request.m_epoch },
        { "ttlMs", milliseconds(request.m_ttl) } };
    if (request.m_wait > Duration::zero())
        body["waitMs"] = milliseconds(request.m_wait);
    return json::serialize(body);
}

} // namespace sapphiredale::platform
