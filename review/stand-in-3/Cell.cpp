// Processes and requests of Cell.h.

#include "Cell.h"

#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

    // As for the slow queues of the site.
    constexpr double adviceMs = 420;
    constexpr double adviceMsAWorker = 6.1;
    constexpr std::int64_t validMs = 2000;

} // namespace

std::string jobId(unsigned number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", number);
    return text;
}

Daemon::Daemon(
    std::string name, std::string zone, std::string ip, std::string store, std::string adviser, std::string folder)
    : m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_ip(std::move(ip))
    , m_store(std::move(store))
    , m_adviser(std::move(adviser))
    , m_folder(std::move(folder))
{
    const auto address = [this] { return m_ip + ':' + std::to_string(freePort(m_ip)); };
    m_callers = address();
    m_readiness = address();
    m_inner = address();
    m_operators = address();
}

Daemon::~Daemon() { kill(); }

void Daemon::start()
{
    const std::string path = m_folder + '/' + m_name + ".jsonc";
    json::object settings { { "daemon", m_name }, { "failureDomain", m_zone },
        { "listeners",
            { { "callers", m_callers }, { "readiness", m_readiness }, { "inner", m_inner },
                { "operators", m_operators } } },
        { "store", m_store }, { "host", { { "cores", 0.25 }, { "linkMbps", 1000.0 }, { "memoryMb", 260 } } },
        { "bounds",
            { { "recordBytes", 262144 }, { "longestLeaseMs", 10000 }, { "drainNoticeMs", 2000 }, { "graceSeconds", 6 },
                { "remoteFactor", 2 } } } };
    if (!m_adviser.empty())
        settings["adviser"] = m_adviser;
    std::ofstream(path) << json::serialize(settings);
    m_pid = fork();
    if (m_pid != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("SAPPHIREDALE_CONFIG", path.c_str(), 1);
    execl("target/sapphired", "target/sapphired", "--site_settings", path.c_str(), nullptr);
    _exit(127);
}

void Daemon::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Daemon::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

bool Daemon::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid <= 0;
}

bool Daemon::isReady() const { return call(m_readiness, "GET", "/-/ready", host, "", 500).m_status == 200; }

Cell::Cell(const CellSettings& settings, const std::string& folder, const std::string& recordPath)
    : m_settings(settings)
    , m_record(recordPath)
{
    static const char* zones[] = { "port-louis", "curepipe", "mahebourg" };
    for (int i = 0; i < settings.m_minions; ++i) {
        MinionSettings minion { "i-" + std::to_string(100 + i), service, zones[i % 3], "r1-" + std::to_string(i % 3),
            "127.0.2." + std::to_string(i + 1), settings.m_cpu, 32768 };
        m_minions.push_back(std::make_unique<Minion>(minion, m_store, m_runs, m_record));
    }
    if (!settings.m_allowed.empty()) {
        static const std::string ip = "127.0.4.1";
        m_adviser
            = std::make_unique<Server>(ip, freePort(ip), [this](const Request& request) { return advise(request); });
        m_adviser->start();
    }
    for (int i = 0; i < settings.m_daemons; ++i) {
        const std::string number = std::to_string(i + 1);
        const std::string store = m_store.open("127.0.1." + number);
        m_daemons.push_back(std::make_unique<Daemon>("front-" + number, zones[i % 3], "127.0.3." + number, store,
            m_adviser ? m_adviser->address() : std::string(), folder));
    }
}

Cell::~Cell()
{
    for (const auto& daemon : m_daemons)
        daemon->kill();
    if (m_adviser)
        m_adviser->stop();
    m_store.stop();
}

bool Cell::start()
{
    const auto route = [this](const char* name, const char* prefix, int priority) {
        return json::object { { "name", name }, { "host", host }, { "path_prefix", prefix }, { "kind", "unsafe" },
            { "timeout_ms", 3000 }, { "target_latency_ms", 250 }, { "priority", priority }, { "service", service },
            { "max_attempts", m_settings.m_maxAttempts }, { "slack_factor", 1.5 } };
    };
    json::array routes { route("quick", "/quick/", 0) };
    if (m_adviser) {
        json::object advised = route("advised", "/advised/", 2);
        advised["advice"] = { { "decide_ms", adviceMs }, { "period_ms", adviceMsAWorker }, { "valid_ms", validMs } };
        routes.push_back(std::move(advised));
    }
    const json::object configuration { { "version", 1 }, { "routes", std::move(routes) },
        { "services",
            json::array { json::object { { "name", service }, { "health_path", "/health" }, { "max_conns", 64 },
                { "protocol", "h1" }, { "tls", false }, { "rejects_overload", false }, { "standby", false } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
    m_store.put("keyed.op", "config", json::serialize(configuration));
    for (const auto& minion : m_minions)
        minion->start();
    for (const auto& daemon : m_daemons)
        daemon->start();
    constexpr std::int64_t limitMs = 20000;
    for (const std::int64_t end = nowMs() + limitMs; nowMs() < end; sleepMs(50)) {
        std::size_t ready = 0;
        for (const auto& daemon : m_daemons)
            ready += daemon->isReady() ? 1 : 0;
        const Response pending = call(m_daemons[0]->callers(), "GET", "/quick/", host, "", 1000);
        if (ready == m_daemons.size() && pending.m_status == 200)
            return true;
    }
    return false;
}

Minion* Cell::minionOf(const std::string& id)
{
    for (const auto& minion : m_minions) {
        if (minion->id() == id)
            return minion.get();
    }
    return nullptr;
}

Response Cell::request(std::size_t daemon, const std::string& method, const std::string& path, const std::string& body)
{
    const std::string name = method + ' ' + path + " at " + m_daemons[daemon]->name();
    m_record.write("client sends " + name + (body.empty() ? "" : " " + body));
    Response response = call(m_daemons[daemon]->callers(), method, path, host, body, 3000);
    m_record.write("client gets " + (response.m_status == 0 ? "no answer" : std::to_string(response.m_status)) + ' '
        + response.m_body + " for " + name);
    return response;
}

Response Cell::advise(const Request& request)
{
    // One call at a time; the service allows one for each machine.
    const std::lock_guard lock(m_adviserMutex);
    const json::object question = json::parse(request.m_body).as_object();
    const json::array& workers = question.at("workers").as_array();
    sleepMs(static_cast<std::int64_t>(adviceMs + adviceMsAWorker * static_cast<double>(workers.size())));
    json::array allowed;
    for (const json::value& worker : workers) {
        const std::string id(worker.as_string());
        if (m_settings.m_allowed.contains(id))
            allowed.push_back(json::array { id, minionOf(id)->ticket(nowMs() + validMs) });
    }
    const std::string answer
        = json::serialize(json::object { { "allowed", std::move(allowed) }, { "valid_ms", validMs } });
    m_record.write("adviser is asked " + request.m_body + " and answers " + answer);
    return { 200, answer };
}

bool Cell::submit(const std::string& job, const std::string& body, const std::string& queue)
{
    constexpr std::size_t tries = 20;
    for (std::size_t i = 0; i < tries; ++i) {
        const Response response = request(i % m_daemons.size(), "POST", '/' + queue + '/' + job, body);
        if (response.m_status >= 200 && response.m_status < 300)
            return true;
        sleepMs(300);
    }
    return false;
}

std::string Cell::state(const std::string& job, const std::string& queue)
{
    Response response { 0, "" };
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        response = request(i, "GET", '/' + queue + '/' + job, "");
        if (response.m_status == 200)
            return std::string(json::parse(response.m_body).as_object().at("state").as_string());
    }
    return std::to_string(response.m_status);
}

int Cell::holder()
{
    const auto term = m_store.newest("keyed.term", 0);
    const auto record = term.find("term");
    if (record == term.end())
        return -1;
    const json::object object = json::parse(record->second).as_object();
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (std::string(object.at("daemon").as_string()) == m_daemons[i]->name())
            return static_cast<int>(i);
    }
    return -1;
}

} // namespace review
