// HTTP handlers of the log, the host list and the workers (docs/API.md, "Platform protocols").
#pragma once

#include "standin/HostDirectory.h"
#include "standin/LogStore.h"
#include "standin/WorkerFleet.h"

namespace sapphiredale::standin {

/// Serves the streams.
class LogApi {
public:
    LogApi(LogStore& log, FaultBoard& faults)
        : m_log(log)
        , m_faults(faults)
    {
    }

    boost::asio::awaitable<HttpReply> handle(const HttpRequest&, Connection&);

private:
    boost::asio::awaitable<HttpReply> serve(const HttpRequest&, Connection&);
    boost::asio::awaitable<HttpReply> append(const std::string& stream, const HttpRequest&, Connection&);
    boost::asio::awaitable<HttpReply> read(const std::string& stream, const HttpRequest&, Connection&);

    LogStore& m_log;
    FaultBoard& m_faults;
};

/// Serves the host list.
class HostsApi {
public:
    HostsApi(HostDirectory& hosts, FaultBoard& faults)
        : m_hosts(hosts)
        , m_faults(faults)
    {
    }

    boost::asio::awaitable<HttpReply> handle(const HttpRequest&, Connection&);

private:
    HostDirectory& m_hosts;
    FaultBoard& m_faults;
};

/// Serves all workers by name.
class WorkerApi {
public:
    WorkerApi(WorkerFleet& fleet, FaultBoard& faults)
        : m_fleet(fleet)
        , m_faults(faults)
    {
    }

    boost::asio::awaitable<HttpReply> handle(const HttpRequest&, Connection&);

private:
    boost::asio::awaitable<HttpReply> serve(
        SimulatedWorker&, const std::string& action, const HttpRequest&, Connection&);
    boost::asio::awaitable<HttpReply> lease(SimulatedWorker&, const HttpRequest&, Connection&);
    HttpReply release(SimulatedWorker&, const HttpRequest&);
    HttpReply commands(SimulatedWorker&, const HttpRequest&);

    WorkerFleet& m_fleet;
    FaultBoard& m_faults;
};

/// Wraps a handler so that a malformed body becomes 400 with the reason.
HttpHandler withBadRequest(HttpHandler);

} // namespace sapphiredale::standin
