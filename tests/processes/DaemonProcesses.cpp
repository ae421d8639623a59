// Settings, start and end of the daemons.

#include "tests/processes/DaemonProcesses.h"

#include <boost/json.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace sapphiredale::processes {

namespace json = boost::json;

namespace {

    constexpr double requestTimeout = 3.0; // seconds
    constexpr double readyPoll = 0.05; // seconds

} // namespace

DaemonProcesses::DaemonProcesses(review::Store& store, std::string program, const std::string& folder, int count)
    : m_program(std::move(program))
{
    for (int i = 0; i < count; ++i) {
        const std::string ip = "127.0.2." + std::to_string(i + 1);
        const auto listener = [&ip] { return ip + ':' + std::to_string(review::freePort(ip)); };
        Daemon daemon;
        daemon.m_callers = listener();
        daemon.m_readiness = listener();
        daemon.m_settings = folder + "/settings-" + std::to_string(i) + ".json";
        daemon.m_log = folder + "/log-" + std::to_string(i);
        daemon.m_store = std::make_unique<review::Server>(
            ip, 0, [&store, i](const review::Request& request) { return store.handle(request, i); });
        const json::object settings { { "daemon", "front-" + std::to_string(i) },
            { "failureDomain", "z" + std::to_string(i % 3) },
            { "listeners",
                { { "callers", daemon.m_callers }, { "readiness", daemon.m_readiness }, { "inner", listener() },
                    { "operators", listener() } } },
            { "store", daemon.m_store->address() }, { "host", { { "cores", 0.25 }, { "linkMbps", 1000.0 } } },
            { "bounds", { { "longestLeaseMs", 10000 }, { "drainNoticeMs", 2000 }, { "graceSeconds", 6 } } } };
        std::ofstream(daemon.m_settings) << json::serialize(settings);
        m_daemons.push_back(std::move(daemon));
        start(i);
    }
}

DaemonProcesses::~DaemonProcesses()
{
    for (int i = 0; i < count(); ++i)
        kill(i);
}

void DaemonProcesses::start(int daemon)
{
    Daemon& started = m_daemons.at(static_cast<std::size_t>(daemon));
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(started.m_log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(m_program.c_str(), m_program.c_str(), "--site_settings", started.m_settings.c_str(), nullptr);
        ::_exit(127);
    }
    started.m_process = process;
    review::note("daemon " + std::to_string(daemon) + " is started");
}

void DaemonProcesses::kill(int daemon)
{
    pid_t& process = m_daemons.at(static_cast<std::size_t>(daemon)).m_process;
    if (process <= 0)
        return;
    review::note("daemon " + std::to_string(daemon) + " is killed");
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    process = -1;
}

bool DaemonProcesses::waitUntilReady(double seconds) const
{
    const double deadline = review::now() + seconds;
    for (const Daemon& daemon : m_daemons) {
        while (review::call(daemon.m_readiness, "GET", "/-/ready", callersHost, "", 1.0).m_status != 200) {
            if (review::now() > deadline)
                return false;
            review::sleepFor(readyPoll);
        }
    }
    return true;
}

review::Response DaemonProcesses::ask(
    int daemon, const std::string& method, const std::string& path, const std::string& body) const
{
    return review::call(
        m_daemons.at(static_cast<std::size_t>(daemon)).m_callers, method, path, callersHost, body, requestTimeout);
}

} // namespace sapphiredale::processes
