// Runs a stand-in and an I/O context with several threads for one test.
#pragma once

#include "platform/HttpHostList.h"
#include "platform/HttpLogService.h"
#include "platform/HttpMinionControl.h"
#include "platform/HttpWorkerControl.h"
#include "platform/TrafficObserver.h"
#include "standin/Standin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace sapphiredale::platform {

/// Long enough never to end during a test: a call that needs it blocks the test until the time limit of CTest.
inline constexpr Duration forever = std::chrono::hours(1);

inline standin::StandinSettings smallStandin()
{
    standin::StandinSettings settings;
    settings.m_tasks.m_startDelay = std::chrono::milliseconds(1);
    settings.m_tasks.m_usageLag = std::chrono::milliseconds(1);
    settings.m_hostListLag = Duration::zero();
    settings.m_log.m_appendsPerSecond = 0;
    settings.m_workers.push_back({ "w", 2, 1, FailureDomainId("lokeren"), { 4000, 1024, 0 } });
    return settings;
}

class ClientThreads {
public:
    ClientThreads()
        : m_work(boost::asio::make_work_guard(m_context))
    {
        for (int i = 0; i < 3; ++i)
            m_threads.emplace_back([this] { m_context.run(); });
    }
    ~ClientThreads()
    {
        m_context.stop();
        for (std::thread& thread : m_threads)
            thread.join();
    }
    ClientThreads(const ClientThreads&) = delete;
    ClientThreads& operator=(const ClientThreads&) = delete;

    boost::asio::io_context m_context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

/// Starts a call whose last argument is the handler; the future becomes ready with its result.
template <typename T, typename Start> std::future<Result<T>> start(Start call)
{
    auto promise = std::make_shared<std::promise<Result<T>>>();
    call(Handler<T>([promise](Result<T> result) { promise->set_value(std::move(result)); }));
    return promise->get_future();
}

template <typename T, typename Start> Result<T> await(Start call) { return start<T>(std::move(call)).get(); }

/// Sends one request on a connection of its own and returns everything that was received until it closed. (The name
/// exchange would find std::exchange by argument-dependent lookup.)
inline std::string httpExchange(const std::string& address, const std::string& head, const std::string& body = {})
{
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const std::size_t colon = address.rfind(':');
    socket.connect({ asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) });
    asio::write(socket,
        asio::buffer(
            head + "Host:\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

class StandinFixture : public CppUnit::TestFixture {
public:
    void setUp() override
    {
        m_standin = std::make_unique<standin::Standin>(smallStandin());
        CPPUNIT_ASSERT(succeeded(m_standin->start()));
        m_clients = std::make_unique<ClientThreads>();
    }

    void tearDown() override
    {
        m_clients.reset();
        m_standin.reset();
    }

protected:
    HttpSettings settings(const std::string& address, const std::string& daemon = "d1")
    {
        HttpSettings settings;
        settings.m_address = address;
        settings.m_daemon = DaemonId(daemon);
        settings.m_failureDomain = FailureDomainId("lokeren");
        settings.m_traffic = &m_traffic;
        return settings;
    }

    HttpWorkerControl worker(const std::string& daemon = "d1", const std::string& name = "w1")
    {
        return { m_clients->m_context, WorkerId(name), settings(m_standin->workersAddress(), daemon) };
    }

    void control(const std::string& path, const std::string& body)
    {
        const std::string answer
            = httpExchange(m_standin->controlAddress(), "POST /v1/control/" + path + " HTTP/1.1\r\n", body);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
    }

    std::string show(const std::string& path)
    {
        return httpExchange(m_standin->controlAddress(), "GET /v1/control/" + path + " HTTP/1.1\r\n");
    }

    std::unique_ptr<standin::Standin> m_standin;
    std::unique_ptr<ClientThreads> m_clients;
    TrafficCounters m_traffic;
};

inline WorkerLeaseRequest leaseRequest(
    const std::string& holder, std::uint64_t epoch, std::uint64_t since = 0, Duration wait = Duration::zero())
{
    return { DaemonId(holder), epoch, std::chrono::minutes(10), wait, since, true, {} };
}

inline Result<WorkerLeaseAnswer> lease(HttpWorkerControl& worker, const WorkerLeaseRequest& request)
{
    return await<WorkerLeaseAnswer>([&](auto handler) { worker.lease(request, forever * 2, handler); });
}

/// The grant in an answer; the test fails when there is none.
inline WorkerLeaseGrant grantIn(const Result<WorkerLeaseAnswer>& answer)
{
    CPPUNIT_ASSERT_MESSAGE(succeeded(answer) ? "" : errorOf(answer).m_detail, succeeded(answer));
    CPPUNIT_ASSERT(std::holds_alternative<WorkerLeaseGrant>(valueOf(answer)));
    return std::get<WorkerLeaseGrant>(valueOf(answer));
}

inline WorkerCommand startCommand(
    const std::string& task, const std::string& program = "", std::int64_t cpuMillis = 1000)
{
    return { { TaskId(task), 1 }, StartCommand { { cpuMillis, 16, 0 }, program, 0, std::nullopt } };
}

inline Result<CommandAnswer> command(HttpWorkerControl& worker, const CommandRequest& request)
{
    return await<CommandAnswer>([&](auto handler) { worker.command(request, forever, handler); });
}

inline std::vector<CommandResult> resultsIn(const Result<CommandAnswer>& answer)
{
    CPPUNIT_ASSERT_MESSAGE(succeeded(answer) ? "" : errorOf(answer).m_detail, succeeded(answer));
    CPPUNIT_ASSERT(std::holds_alternative<std::vector<CommandResult>>(valueOf(answer)));
    return std::get<std::vector<CommandResult>>(valueOf(answer));
}

} // namespace sapphiredale::platform
