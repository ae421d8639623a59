// HTTP handlers of the workers.

#include "standin/Clock.h"
#include "standin/HttpReplies.h"
#include "standin/JsonFields.h"
#include "standin/PlatformApi.h"

#include <functional>

namespace sapphiredale::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    AttemptKey attemptIn(const json::object& object)
    {
        std::string task = stringField(object, "task");
        if (task.empty())
            throw FieldError("\"task\" must be a task identifier");
        const std::uint64_t attempt = countField(object, "attempt", 1);
        if (attempt == 0 || attempt > UINT32_MAX)
            throw FieldError("\"attempt\" must be an integer from 1");
        return { TaskId(std::move(task)), static_cast<std::uint32_t>(attempt) };
    }

    std::uint32_t smallCount(const json::object& object, std::string_view name, std::uint64_t otherwise)
    {
        return static_cast<std::uint32_t>(std::min<std::uint64_t>(countField(object, name, otherwise), UINT32_MAX));
    }

    StartCall startIn(const json::object& object)
    {
        StartCall call;
        call.m_resources = resourcesField(object, "resources");
        call.m_program = stringField(object, "program");
        call.m_lapseStopSeconds = smallCount(object, "lapseStopSeconds", 0);
        if (const json::object* minion = objectField(object, "minion"))
            call.m_minion = MinionShape { smallCount(*minion, "slots", 8), smallCount(*minion, "connections", 64) };
        return call;
    }

    WorkerLeaseCall leaseIn(const json::object& body)
    {
        WorkerLeaseCall call;
        call.m_holder = DaemonId(stringField(body, "holder"));
        call.m_epoch = countField(body, "epoch", 0);
        call.m_ttl = millisecondsField(body, "ttlMs", Duration::zero());
        call.m_externalContact = boolField(body, "externalContact", false);
        for (const json::object* acknowledged : objectsField(body, "ack"))
            call.m_acknowledged.push_back(attemptIn(*acknowledged));
        return call;
    }

    json::object taskToJson(const TaskReport& task)
    {
        json::object object { { "id", task.m_task.value() }, { "attempt", task.m_attempt },
            { "state", nameOf(task.m_state) }, { "declared", resourcesToJson(task.m_declared) } };
        if (!task.m_usage.isZero())
            object["usage"] = resourcesToJson(task.m_usage);
        if (!task.m_address.empty())
            object["address"] = task.m_address;
        if (!task.m_reason.empty())
            object["reason"] = task.m_reason;
        return object;
    }

    /// Members with their default value are left out: most reports are empty, and control traffic is limited.
    HttpReply reportReply(std::uint64_t epoch, const WorkerReport& report)
    {
        json::object body { { "incarnation", report.m_incarnation.value() }, { "epoch", epoch },
            { "seq", report.m_sequence } };
        if (report.m_full)
            body["full"] = true;
        if (!report.m_tasks.empty()) {
            json::array tasks;
            for (const TaskReport& task : report.m_tasks)
                tasks.push_back(taskToJson(task));
            body["tasks"] = std::move(tasks);
        }
        return jsonReply(body);
    }

    HttpReply leaseRefusal(const LeaseView& view)
    {
        return jsonReply({ { "holder", view.m_holder.value() }, { "epoch", view.m_epoch },
                             { "expiresInMs", toMilliseconds(view.m_expiresIn) } },
            409);
    }

    CommandOutcome execute(
        SimulatedWorker& worker, const SimulatedWorker::Sender& sender, const json::object& command, TimePoint now)
    {
        const AttemptKey key = attemptIn(command);
        const std::string operation = stringField(command, "op");
        if (operation == "start")
            return worker.start(sender, key, startIn(command), now);
        if (operation == "stop")
            return worker.stop(sender, key, now);
        if (operation == "checkpoint")
            return worker.checkpoint(sender, key, now);
        if (operation == "throttle")
            return worker.throttle(sender, key, integerField(command, "cpuMillis", 0), now);
        return { false, "unknown operation" };
    }

} // namespace

asio::awaitable<HttpReply> WorkerApi::handle(const HttpRequest& request, Connection& connection)
{
    constexpr std::string_view head = "/v1/workers/";
    const std::size_t slash = request.m_path.rfind('/');
    if (!request.m_path.starts_with(head) || slash < head.size())
        co_return errorReply(404, "no such path");
    SimulatedWorker* worker = m_fleet.find(request.m_path.substr(head.size(), slash - head.size()));
    if (!worker)
        co_return errorReply(404, "no such worker");
    if (request.m_method != "POST")
        co_return errorReply(405, "POST expected");
    const std::string action = request.m_path.substr(slash + 1);
    const HttpHandler inner = std::bind_front(&WorkerApi::serve, this, std::ref(*worker), action);
    co_return co_await m_faults.guard(
        PlatformPart::Workers, worker->identity().m_failureDomain.value(), request, connection, inner);
}

asio::awaitable<HttpReply> WorkerApi::serve(
    SimulatedWorker& worker, const std::string& action, const HttpRequest& request, Connection& connection)
{
    co_await connection.delayUntil(currentTime() + worker.faults().m_delay);
    // The request waits in the buffers of a frozen host and is executed when the host continues.
    co_await connection.waitWhile([&] { return worker.isFrozen(connection); });
    if (!worker.isAlive())
        co_return HttpReply::dropped();
    HttpReply reply;
    if (action == "lease")
        reply = co_await lease(worker, request, connection);
    else if (action == "release")
        reply = release(worker, request);
    else if (action == "commands")
        reply = commands(worker, request);
    else
        reply = errorReply(404, "no such path");
    co_await connection.waitWhile([&] { return worker.isFrozen(connection); });
    co_return worker.isAlive() ? reply : HttpReply::dropped();
}

asio::awaitable<HttpReply> WorkerApi::lease(SimulatedWorker& worker, const HttpRequest& request, Connection& connection)
{
    const json::object body = parseObject(request.m_body);
    const WorkerLeaseCall call = leaseIn(body);
    const std::uint64_t since = countField(body, "since", 0);
    const TimePoint answerAt = currentTime() + millisecondsField(body, "waitMs", Duration::zero());
    const IncarnationId incarnation = worker.incarnation();
    if (!worker.lease(call, currentTime()))
        co_return leaseRefusal(worker.leaseView(currentTime()));
    const auto isOurs = [&] { return worker.fence(call.m_holder, call.m_epoch, incarnation) == Fence::None; };
    while (currentTime() < answerAt && !connection.peerClosed() && isOurs() && !worker.hasNews(since, connection))
        co_await connection.waitUntil(answerAt);
    if (!worker.isAlive() || incarnation != worker.incarnation())
        co_return HttpReply::dropped();
    if (!isOurs())
        co_return leaseRefusal(worker.leaseView(currentTime()));
    co_return reportReply(call.m_epoch, worker.report(since));
}

HttpReply WorkerApi::release(SimulatedWorker& worker, const HttpRequest& request)
{
    const json::object body = parseObject(request.m_body);
    if (!worker.release(DaemonId(stringField(body, "holder")), countField(body, "epoch", 0)))
        return leaseRefusal(worker.leaseView(currentTime()));
    return jsonReply({});
}

HttpReply WorkerApi::commands(SimulatedWorker& worker, const HttpRequest& request)
{
    const json::object body = parseObject(request.m_body);
    const SimulatedWorker::Sender sender { DaemonId(stringField(body, "holder")), countField(body, "epoch", 0),
        IncarnationId(stringField(body, "incarnation")) };
    const Fence fence = worker.fence(sender.m_holder, sender.m_epoch, sender.m_incarnation);
    if (fence == Fence::OtherIncarnation)
        return jsonReply({ { "incarnation", worker.incarnation().value() } }, 410);
    if (fence == Fence::StaleEpoch) {
        const LeaseView view = worker.leaseView(currentTime());
        return jsonReply({ { "holder", view.m_holder.value() }, { "epoch", view.m_epoch } }, 409);
    }
    json::array results;
    for (const json::object* command : objectsField(body, "commands")) {
        const CommandOutcome outcome = execute(worker, sender, *command, currentTime());
        json::object result { { "task", stringField(*command, "task") }, { "ok", outcome.m_ok } };
        if (!outcome.m_reason.empty())
            result["reason"] = outcome.m_reason;
        results.push_back(std::move(result));
    }
    return jsonReply({ { "results", std::move(results) } });
}

} // namespace sapphiredale::standin
