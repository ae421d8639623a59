// HTTP handlers of the log and the host list.

#include "standin/Clock.h"
#include "standin/HttpReplies.h"
#include "standin/JsonFields.h"
#include "standin/PlatformApi.h"

#include "model/Rendezvous.h"

#include <boost/json/serialize.hpp>
#include <functional>

namespace sapphiredale::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    /// Default of maxBytes.
    constexpr std::uint64_t defaultReadBytes = 1 << 20;
    constexpr std::uint64_t maxWaitMs = 3600000;

    std::string_view nameOf(ListedState state)
    {
        switch (state) {
        case ListedState::Live:
            return "live";
        case ListedState::Leaving:
            return "leaving";
        case ListedState::Gone:
            break;
        }
        return "gone";
    }

    /// The stream's name in "/v1/streams/{stream}/records"; empty for another path.
    std::string streamIn(const std::string& path)
    {
        constexpr std::string_view head = "/v1/streams/";
        constexpr std::string_view tail = "/records";
        if (path.size() <= head.size() + tail.size() || !path.starts_with(head) || !path.ends_with(tail))
            return {};
        return path.substr(head.size(), path.size() - head.size() - tail.size());
    }

} // namespace

HttpHandler withBadRequest(HttpHandler handler)
{
    return [handler = std::move(handler)](
               const HttpRequest& request, Connection& connection) -> asio::awaitable<HttpReply> {
        try {
            co_return co_await handler(request, connection);
        } catch (const FieldError& error) {
            co_return errorReply(400, error.what());
        }
    };
}

asio::awaitable<HttpReply> LogApi::handle(const HttpRequest& request, Connection& connection)
{
    const HttpHandler inner = std::bind_front(&LogApi::serve, this);
    co_return co_await m_faults.guard(PlatformPart::Log, "", request, connection, inner);
}

asio::awaitable<HttpReply> LogApi::serve(const HttpRequest& request, Connection& connection)
{
    const LogFaults faults = m_log.faults();
    if (faults.m_outage == LogOutage::Refuse)
        co_return errorReply(503, "unavailable");
    if (faults.m_outage == LogOutage::Close)
        co_return HttpReply::dropped();
    co_await connection.waitWhile([&] { return m_log.hangs(connection); });
    if (faults.m_delay > Duration::zero())
        co_await connection.delayUntil(currentTime() + faults.m_delay);

    const std::string stream = streamIn(request.m_path);
    if (stream.empty())
        co_return errorReply(404, "no such path");
    HttpReply reply;
    if (request.m_method == "POST")
        reply = co_await append(stream, request, connection);
    else if (request.m_method == "GET")
        reply = co_await read(stream, request, connection);
    else
        reply = errorReply(405, "GET or POST expected");
    if (faults.m_answerDelay > Duration::zero())
        co_await connection.sleepUntil(currentTime() + faults.m_answerDelay);
    co_return reply;
}

asio::awaitable<HttpReply> LogApi::append(const std::string& stream, const HttpRequest& request, Connection&)
{
    const json::object body = parseObject(request.m_body);
    std::vector<std::string> records = stringsField(body, "records");
    if (records.empty())
        co_return errorReply(400, "\"records\" must be a list of at least one string");
    const auto first = m_log.append(stream, std::move(records));
    if (!first)
        co_return errorReply(429, "rate limit");
    if (m_log.takeLostAnswer())
        co_return HttpReply::dropped();
    co_return jsonReply(json::object { { "firstOffset", *first } });
}

asio::awaitable<HttpReply> LogApi::read(const std::string& stream, const HttpRequest& request, Connection& connection)
{
    const std::uint64_t from = request.number("from", 0);
    const std::uint64_t maxBytes = request.number("maxBytes", defaultReadBytes);
    const std::uint64_t waitMs = std::min(request.number("waitMs", 0), maxWaitMs);
    const TimePoint answerAt = currentTime() + std::chrono::milliseconds(waitMs);
    while (currentTime() < answerAt && !connection.peerClosed() && !m_log.hasRecords(stream, from, connection))
        co_await connection.waitUntil(answerAt);
    const LogOutage outage = m_log.faults().m_outage;
    if (outage != LogOutage::None)
        co_return outage == LogOutage::Refuse ? errorReply(503, "unavailable") : HttpReply::dropped();
    const StoredPage page = m_log.read(stream, from, maxBytes);
    json::array records;
    for (const StoredRecord& record : page.m_records)
        records.push_back({ { "offset", record.m_offset }, { "timeMs", record.m_time.time_since_epoch().count() },
            { "data", record.m_data } });
    co_return jsonReply(
        { { "earliest", page.m_earliest }, { "next", page.m_next }, { "records", std::move(records) } });
}

asio::awaitable<HttpReply> HostsApi::handle(const HttpRequest& request, Connection& connection)
{
    const HttpHandler inner = [this](const HttpRequest& inside, Connection&) -> asio::awaitable<HttpReply> {
        if (inside.m_path != "/v1/hosts")
            co_return errorReply(404, "no such path");
        if (inside.m_method != "GET")
            co_return errorReply(405, "GET expected");
        const HostView view = m_hosts.view(currentTime(), currentWallTime());
        json::array hosts;
        std::uint64_t generation = 1;
        for (const ListedHost& host : view.m_hosts) {
            hosts.push_back({ { "name", host.m_name }, { "state", nameOf(host.m_state) },
                { "failureDomain", host.m_failureDomain.value() } });
            generation = stableHash(host.m_name, generation + static_cast<std::uint64_t>(host.m_state));
        }
        json::object body { { "asOfMs", view.m_asOf.time_since_epoch().count() }, { "generation", generation } };
        if (inside.parameter("since") == std::to_string(generation))
            body["unchanged"] = true;
        else
            body["hosts"] = std::move(hosts);
        co_return jsonReply(body);
    };
    co_return co_await m_faults.guard(PlatformPart::Hosts, "", request, connection, inner);
}

} // namespace sapphiredale::standin
