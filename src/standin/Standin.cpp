// Wiring of the listeners and threads.

#include "standin/Standin.h"

#include "standin/ControlApi.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/strand.hpp>
#include <optional>
#include <thread>
#include <vector>

namespace sapphiredale::standin {

namespace asio = boost::asio;

/// The members are destroyed in reverse order: sockets before the context, and suspended handlers, which refer to the
/// state, never run again once the threads have been joined.
class Standin::Impl {
public:
    explicit Impl(StandinSettings settings)
        : m_settings(std::move(settings))
        , m_work(asio::make_work_guard(m_context))
        , m_registry(m_violations)
        , m_executions(m_settings.m_retainedExecutions, m_violations)
        , m_log(m_settings.m_log)
        , m_hosts(m_settings.m_hostListLag)
        , m_fleet(m_context, m_settings, m_registry, { m_faults, m_executions, m_violations })
        , m_logApi(m_log, m_faults)
        , m_hostsApi(m_hosts, m_faults)
        , m_workerApi(m_fleet, m_faults)
        , m_controlApi({ m_log, m_hosts, m_fleet, m_faults, m_executions, m_violations })
    {
        for (const auto& worker : m_fleet.workers())
            m_hosts.add(worker->identity().m_name.value(), worker->identity().m_failureDomain);
        for (const ExtraHost& host : m_settings.m_hosts)
            m_hosts.add(host.m_name, host.m_failureDomain);
    }

    ~Impl() { stop(); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    Result<Unit> start()
    {
        using Part = std::pair<std::uint16_t, std::string*>;
        const HttpHandler handlers[] = {
            [this](const HttpRequest& request, Connection& its) { return m_logApi.handle(request, its); },
            [this](const HttpRequest& request, Connection& its) { return m_hostsApi.handle(request, its); },
            [this](const HttpRequest& request, Connection& its) { return m_workerApi.handle(request, its); },
            [this](const HttpRequest& request, Connection&) -> asio::awaitable<HttpReply> {
                co_return m_controlApi.handle(request);
            },
        };
        const Part parts[] = { { m_settings.m_logPort, &m_logAddress }, { m_settings.m_hostsPort, &m_hostsAddress },
            { m_settings.m_workersPort, &m_workersAddress }, { m_settings.m_controlPort, &m_controlAddress } };
        for (std::size_t i = 0; i < std::size(parts); ++i) {
            m_servers.push_back(std::make_shared<HttpServer>(m_context, withBadRequest(handlers[i])));
            auto bound = m_servers.back()->listen(m_settings.m_address, parts[i].first);
            if (!succeeded(bound))
                return errorOf(bound);
            *parts[i].second = valueOf(std::move(bound));
        }
        const auto strand = asio::make_strand(m_context);
        asio::co_spawn(strand, m_fleet.run(strand), asio::detached);
        for (std::uint32_t i = 0; i < std::max(1U, m_settings.m_threads); ++i)
            m_threads.emplace_back([this] { m_context.run(); });
        return Unit {};
    }

    void stop()
    {
        m_context.stop();
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    StandinSettings m_settings;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    Violations m_violations;
    TaskRegistry m_registry;
    Executions m_executions;
    FaultBoard m_faults;
    LogStore m_log;
    HostDirectory m_hosts;
    WorkerFleet m_fleet;
    LogApi m_logApi;
    HostsApi m_hostsApi;
    WorkerApi m_workerApi;
    ControlApi m_controlApi;
    std::vector<std::shared_ptr<HttpServer>> m_servers;
    std::vector<std::thread> m_threads;
    std::string m_logAddress;
    std::string m_hostsAddress;
    std::string m_workersAddress;
    std::string m_controlAddress;
};

Standin::Standin(StandinSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

Standin::~Standin() = default;

Result<Unit> Standin::start() { return m_impl->start(); }
void Standin::stop() { m_impl->stop(); }
std::string Standin::logAddress() const { return m_impl->m_logAddress; }
std::string Standin::hostsAddress() const { return m_impl->m_hostsAddress; }
std::string Standin::workersAddress() const { return m_impl->m_workersAddress; }
std::string Standin::controlAddress() const { return m_impl->m_controlAddress; }

} // namespace sapphiredale::standin
