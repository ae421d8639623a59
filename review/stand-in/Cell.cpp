// Start and end of a deployment, and the clients' requests.

#include "Cell.h"

#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

    constexpr const char* program = "target/sapphired";

} // namespace

std::vector<MinionSettings> minions(int count)
{
    static const char* zones[] = { "port-louis", "curepipe", "mahebourg" };
    static const char* kinds[] = { "a", "a", "b" };
    std::vector<MinionSettings> all;
    for (int i = 0; i < count; ++i) {
        MinionSettings settings;
        settings.m_ip = "127.0.1." + std::to_string(i + 1);
        settings.m_service = serviceName;
        settings.m_zone = zones[i % 3];
        settings.m_kind = kinds[i % 3];
        settings.m_rack = "r1-" + std::to_string(i / 8);
        all.push_back(settings);
    }
    return all;
}

std::string newJobId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    const std::lock_guard lock(mutex);
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

std::string oneStep(const std::string& spec, int count, int cpu, int memMb, int estimateMs, const std::string& extra)
{
    return R"({"spec":")" + spec + R"(","steps":[{"count":)" + std::to_string(count) + R"(,"cpu":)"
        + std::to_string(cpu) + R"(,"mem_mb":)" + std::to_string(memMb) + R"(,"estimate_ms":)"
        + std::to_string(estimateMs) + extra + "}]}";
}

Cell::Cell(const CellSettings& settings)
    : m_settings(settings)
    , m_store(settings.m_store)
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        std::_Exit(2);
    m_folder = name;
}

Cell::~Cell()
{
    for (const Daemon& daemon : m_daemons) {
        if (daemon.m_process > 0)
            ::kill(daemon.m_process, SIGKILL);
    }
    for (const Daemon& daemon : m_daemons) {
        if (daemon.m_process > 0)
            ::waitpid(daemon.m_process, nullptr, 0);
    }
    std::filesystem::remove_all(m_folder);
    // The threads of the stand-ins may wait for requests; the process ends without them.
    note("end");
}

void Cell::startDaemon(int number)
{
    const std::string ip = "127.0.2." + std::to_string(number + 1);
    Daemon daemon;
    daemon.m_callers = ip + ':' + std::to_string(freePort(ip));
    daemon.m_readiness = ip + ':' + std::to_string(freePort(ip));
    daemon.m_store = std::make_unique<Server>(
        ip, 0, [this, number](const Request& request) { return m_store.handle(request, number); });
    // The template of the settings, deploy/settings.jsonc, with the figures of ibr-central.
    const json::object document { { "daemon", "front-" + std::to_string(number + 1) },
        { "failureDomain",
            number % 3 == 0       ? "port-louis"
                : number % 3 == 1 ? "curepipe"
                                  : "mahebourg" },
        { "listeners",
            { { "callers", daemon.m_callers }, { "readiness", daemon.m_readiness },
                { "inner", ip + ':' + std::to_string(freePort(ip)) },
                { "operators", ip + ':' + std::to_string(freePort(ip)) } } },
        { "store", daemon.m_store->address() }, { "adviser", m_adviser->address() },
        { "host", { { "cores", 0.25 }, { "linkMbps", 1000.0 } } },
        { "bounds", { { "longestLeaseMs", 10000 }, { "drainNoticeMs", 2000 }, { "graceSeconds", 6 } } } };
    const std::string settings = m_folder + "/boot-" + std::to_string(number) + ".yaml";
    std::ofstream(settings) << json::serialize(document);
    const std::string log = m_folder + "/log-" + std::to_string(number);
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
        ::dup2(file, 1);
        ::dup2(file, 2);
        ::execl(program, program, "--site_settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
    daemon.m_process = process;
    note("daemon  front-" + std::to_string(number + 1) + " is started for callers at " + daemon.m_callers);
    m_daemons.push_back(std::move(daemon));
}

bool Cell::start()
{
    if (::access(program, X_OK) != 0) {
        note("no program at " + std::string(program));
        return false;
    }
    m_adviser = std::make_unique<Server>("127.0.3.1", 0, [](const Request& request) -> std::optional<Response> {
        boost::system::error_code error;
        const json::value body = json::parse(request.m_body, error);
        json::array allowed;
        const json::value* workers = error || !body.is_object() ? nullptr : body.get_object().if_contains("workers");
        if (workers != nullptr && workers->is_array()) {
            for (const json::value& worker : workers->get_array())
                allowed.push_back(json::array { worker, "ticket" });
        }
        return Response { 200, json::serialize(json::object { { "allowed", allowed }, { "valid_ms", 2000 } }) };
    });
    json::array routes;
    for (const Queue& queue : m_settings.m_queues)
        routes.push_back(json::object { { "name", queue.m_name }, { "host", hostName },
            { "path_prefix", queue.path("") }, { "kind", "unsafe" }, { "timeout_ms", 3000 },
            { "target_latency_ms", queue.m_latencyMs }, { "priority", queue.m_priority }, { "service", serviceName },
            { "max_attempts", queue.m_maxAttempts }, { "slack_factor", queue.m_slack } });
    m_store.put("keyed.op", "config",
        json::serialize(json::object { { "version", 3 }, { "routes", routes },
            { "services",
                json::array { json::object { { "name", serviceName }, { "health_path", "/health" }, { "max_conns", 64 },
                    { "rejects_overload", false }, { "standby", false } } } },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } } }));
    for (const MinionSettings& settings : m_settings.m_minions)
        m_minions.push_back(std::make_unique<Minion>(m_store, m_watch, settings));
    for (int i = 0; i < m_settings.m_daemons; ++i)
        startDaemon(i);
    const double deadline = now() + 15;
    for (const Daemon& daemon : m_daemons) {
        while (call(daemon.m_readiness, "GET", "/-/ready", hostName, "", 1.0).m_status != 200) {
            if (now() > deadline)
                return false;
            sleepFor(0.05);
        }
    }
    const Queue& queue = m_settings.m_queues.front();
    for (int i = 0; i < daemons(); ++i) {
        while (ask(i, "GET", queue.path("")).m_status != 200) {
            if (now() > deadline)
                return false;
            sleepFor(0.1);
        }
    }
    note("all daemons are ready; front-" + std::to_string(m_store.lastConditionalWriter() + 1) + " schedules");
    return true;
}

void Cell::setCut(int daemon, bool isCut)
{
    note(std::string("TROUBLE ") + (isCut ? "cuts" : "no longer cuts") + " front-" + std::to_string(daemon + 1)
        + " from the store");
    m_daemons.at(static_cast<std::size_t>(daemon)).m_store->setSilent(isCut);
}

bool Cell::areDaemonsRunning()
{
    bool areRunning = true;
    for (Daemon& daemon : m_daemons) {
        if (daemon.m_process > 0 && ::waitpid(daemon.m_process, nullptr, WNOHANG) == daemon.m_process) {
            note("a daemon has ended by itself");
            daemon.m_process = -1;
        }
        areRunning = areRunning && daemon.m_process > 0;
    }
    return areRunning;
}

Response Cell::ask(
    int daemon, const std::string& method, const std::string& path, const std::string& body, double timeout)
{
    const double sentAt = now();
    const Response answer
        = call(m_daemons.at(static_cast<std::size_t>(daemon)).m_callers, method, path, hostName, body, timeout);
    char took[32];
    std::snprintf(took, sizeof took, "%.0f ms", (now() - sentAt) * 1000);
    note("client  " + method + ' ' + path + " at front-" + std::to_string(daemon + 1) + ": "
        + (answer.m_status == 0 ? "no answer" : std::to_string(answer.m_status) + ' ' + answer.m_body) + " after "
        + took);
    return answer;
}

int Cell::submit(int daemon, const Queue& queue, const std::string& job, const std::string& body)
{
    int status = 0;
    for (int attempt = 0; attempt < 5; ++attempt) {
        status = ask((daemon + attempt) % daemons(), "POST", queue.path(job), body).m_status;
        if (status == 200 || status == 400 || status == 404)
            break;
        sleepFor(status == 429 || status == 503 ? 1.0 : 0.1);
    }
    return status;
}

std::string Cell::state(int daemon, const Queue& queue, const std::string& job)
{
    const Response answer = ask(daemon, "GET", queue.path(job));
    if (answer.m_status == 410)
        return "410";
    boost::system::error_code error;
    const json::value body = json::parse(answer.m_body, error);
    if (answer.m_status != 200 || error || !body.is_object())
        return {};
    const json::value* state = body.get_object().if_contains("state");
    return state != nullptr && state->is_string() ? std::string(state->get_string()) : std::string();
}

double Cell::use(std::int64_t cpu) const
{
    std::int64_t used = 0;
    std::int64_t all = 0;
    for (const auto& minion : m_minions) {
        used += static_cast<std::int64_t>(minion->runs()) * cpu;
        all += minion->isUp() ? minion->settings().m_cpu : 0;
    }
    return all == 0 ? 1.0 : static_cast<double>(used) / static_cast<double>(all);
}

int play(int argc, char** argv, const std::function<Outcome(bool hasTrouble)>& scenario)
{
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return NotPlayed;
    }
    openRecord(argv[1]);
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    note(hasTrouble ? "a play with the disruption" : "a play without the disruption");
    std::thread([] {
        sleepFor(118);
        note("RESULT not played: it takes too long");
        std::_Exit(NotPlayed);
    }).detach();
    const Outcome outcome = scenario(hasTrouble);
    static const char* names[] = { "the rule held", "the rule was broken", "not played" };
    note(std::string("RESULT ") + names[outcome]);
    std::printf("%s\n", names[outcome]);
    std::fflush(stdout);
    // Without destructors: threads of the stand-ins may wait for requests.
    std::_Exit(outcome);
}

} // namespace review
