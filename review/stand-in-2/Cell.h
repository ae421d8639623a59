// A small deployment: the store, minions, the operator's configuration, and daemons as separate processes that are
// started with the command of the deploy file.
#pragma once

#include "Worker.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review2 {

/// Exit status of a case.
enum Verdict { Held = 0, Broken = 1, NotPlayed = 2 };

class Cell {
public:
    static constexpr const char* host = "nony24.example";

    Cell(asio::io_context& context, Record& record, int daemons, int workers, const std::string& routes)
        : m_context(context)
        , m_record(record)
        , m_store(context, record)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        m_folder = pattern;
        m_store.put("keyed.op", "config",
            R"({"version":3,"routes":)" + routes
                + R"(,"services":[{"name":"desk","rejects_overload":false}],"limits":{}})");
        for (int i = 0; i < workers; ++i)
            m_workers.push_back(std::make_unique<Worker>(context, m_store, m_events, workerSettings(i), newId()));
        for (int i = 0; i < daemons; ++i)
            addDaemon(i);
    }

    ~Cell()
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            kill(i);
        error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    Cell(const Cell&) = delete;
    Cell& operator=(const Cell&) = delete;

    Store& store() { return m_store; }
    std::vector<std::unique_ptr<Worker>>& workers() { return m_workers; }
    std::vector<RunEvent>& events() { return m_events; }
    std::size_t daemonCount() const { return m_daemons.size(); }
    /// An id in the form of the platform's.
    std::string newId()
    {
        char text[16];
        std::snprintf(text, sizeof text, "i-%010llx", 0xa3c1000000ULL + 0x1f35ULL * ++m_lastId);
        return text;
    }

    void kill(std::size_t daemon)
    {
        pid_t& process = m_daemons.at(daemon).m_process;
        if (process <= 0)
            return;
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
        process = -1;
    }
    void start(std::size_t daemon)
    {
        Daemon& started = m_daemons.at(daemon);
        const pid_t process = ::fork();
        if (process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(started.m_log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            for (int descriptor = 3; descriptor < 4096; ++descriptor)
                ::close(descriptor);
            ::execl("target/sapphired", "target/sapphired", "--site_settings", started.m_settings.c_str(), nullptr);
            ::_exit(127);
        }
        started.m_process = process;
    }
    /// The daemon that wrote to the store under a condition last.
    std::size_t leader() const
    {
        const std::string& record = m_store.newestConditional();
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (record.find("\"front-" + std::to_string(i) + '"') != std::string::npos)
                return i;
        }
        throw std::runtime_error("no daemon has written to the store under a condition");
    }
    /// Resident memory of a daemon's process; 0 if it does not run.
    std::int64_t residentMb(std::size_t daemon) const
    {
        const pid_t process = m_daemons.at(daemon).m_process;
        std::ifstream file("/proc/" + std::to_string(process) + "/statm");
        std::int64_t size = 0;
        std::int64_t resident = 0;
        if (process <= 0 || !(file >> size >> resident))
            return 0;
        return (resident * ::sysconf(_SC_PAGESIZE)) >> 20;
    }
    /// Whether a process of the system has ended by itself.
    bool hasEnded(std::size_t daemon)
    {
        pid_t& process = m_daemons.at(daemon).m_process;
        if (process <= 0 || ::waitpid(process, nullptr, WNOHANG) != process)
            return false;
        process = -1;
        return true;
    }

    /// Sends a client's call to a daemon.
    void ask(std::size_t daemon, const std::string& method, const std::string& path, const std::string& body,
        Call::Done done)
    {
        Call::send(
            m_context, m_daemons.at(daemon).m_callers, method, path, host, body, Milliseconds(3000), std::move(done));
    }
    /// Hands a job in, at another daemon each time, until it is accepted; calls back with the number of attempts, or 0.
    void submit(const std::string& path, const std::string& body, std::function<void(int)> done, int attempt = 1)
    {
        const std::size_t daemon = ++m_lastAsked % m_daemons.size();
        ask(daemon, "POST", path, body,
            [this, path, body, done = std::move(done), attempt](unsigned status, const std::string&) {
                if (status >= 200 && status < 300)
                    return done(attempt);
                if (attempt == 5 || (status >= 400 && status < 500 && status != 429)) {
                    m_record.note("POST " + path + " is given up after status " + std::to_string(status));
                    return done(0);
                }
                after(500, [this, path, body, done, attempt] { submit(path, body, done, attempt + 1); });
            });
    }
    /// Asks for the state of a job at one daemon after the other, until one answers 200 or 410.
    void state(const std::string& path, std::function<void(std::string)> done, int attempt = 1)
    {
        const std::size_t daemon = ++m_lastAsked % m_daemons.size();
        ask(daemon, "GET", path, "",
            [this, path, done = std::move(done), attempt](unsigned status, const std::string& body) {
                if (status == 200) {
                    const json::value value = json::parse(body);
                    return done(std::string(value.at("state").as_string()));
                }
                if (status == 410 || attempt == 4)
                    return done(std::to_string(status));
                after(300, [this, path, done, attempt] { state(path, done, attempt + 1); });
            });
    }

    void after(std::int64_t delayMs, std::function<void()> function)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, Milliseconds(delayMs));
        timer->async_wait([timer, function = std::move(function)](error_code error) {
            if (!error)
                function();
        });
    }

    /// Calls back once all daemons are ready; ends the case if they are not after some time.
    void whenReady(std::function<void()> function, int tries = 100) { readyFrom(0, std::move(function), tries); }

    std::string folder() const { return m_folder; }

private:
    struct Daemon {
        std::string m_callers;
        std::string m_readiness;
        std::string m_settings;
        std::string m_log;
        pid_t m_process = -1;
    };

    static WorkerSettings workerSettings(int number)
    {
        WorkerSettings settings;
        settings.m_ip = "127.0.3." + std::to_string(1 + number % 200);
        settings.m_zone = "zone-" + std::to_string(number % 3);
        settings.m_rack = "r" + std::to_string(number % 3) + '-' + std::to_string(number / 24);
        settings.m_kind = number % 4 == 3 ? "b" : "a";
        return settings;
    }

    std::string freeAddress(const std::string& ip)
    {
        tcp::acceptor probe(m_context, { asio::ip::make_address(ip), 0 });
        return ip + ':' + std::to_string(probe.local_endpoint().port());
    }

    void addDaemon(int number)
    {
        const std::string ip = "127.0.2." + std::to_string(number + 1);
        Daemon daemon;
        daemon.m_callers = freeAddress(ip);
        daemon.m_readiness = freeAddress(ip);
        daemon.m_settings = m_folder + "/settings-" + std::to_string(number) + ".json";
        daemon.m_log = m_folder + "/log-" + std::to_string(number);
        // The template deploy/settings.jsonc with the values of a small deployment.
        const json::object settings { { "daemon", "front-" + std::to_string(number) },
            { "failureDomain", "zone-" + std::to_string(number % 3) },
            { "listeners",
                { { "callers", daemon.m_callers }, { "readiness", daemon.m_readiness }, { "inner", freeAddress(ip) },
                    { "operators", freeAddress(ip) } } },
            { "store", m_store.address() },
            { "host", { { "cores", 0.25 }, { "linkMbps", 1000.0 }, { "memoryMb", 260 } } },
            { "bounds",
                { { "longestLeaseMs", 10000 }, { "drainNoticeMs", 2000 }, { "graceSeconds", 6 },
                    { "remoteFactor", 2 } } } };
        std::ofstream(daemon.m_settings) << json::serialize(settings);
        m_daemons.push_back(daemon);
        start(m_daemons.size() - 1);
    }

    void readyFrom(std::size_t daemon, std::function<void()> function, int tries)
    {
        if (daemon == m_daemons.size())
            return function();
        if (tries == 0)
            throw std::runtime_error("the daemons do not become ready");
        Call::send(m_context, m_daemons[daemon].m_readiness, "GET", "/-/ready", host, "", Milliseconds(1000),
            [this, daemon, function = std::move(function), tries](unsigned status, const std::string&) {
                if (status == 200)
                    return readyFrom(daemon + 1, function, tries);
                after(100, [this, daemon, function, tries] { readyFrom(daemon, function, tries - 1); });
            });
    }

    asio::io_context& m_context;
    Record& m_record;
    std::string m_folder;
    std::vector<RunEvent> m_events;
    unsigned long long m_lastId = 0;
    Store m_store;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<Daemon> m_daemons;
    std::size_t m_lastAsked = 0;
};

/// A job ID of the client: 16 hexadecimal digits.
inline std::string jobId(unsigned number)
{
    char text[24];
    std::snprintf(text, sizeof text, "5c0e7a21%08x", number);
    return text;
}

/// Runs a case: play() is called with the cell's parts and calls the given function with the verdict.
template <typename Play> int runCase(int count, char** arguments, const Play& play)
{
    if (count != 2) {
        std::fprintf(stderr, "usage: %s RECORD\n", arguments[0]);
        return NotPlayed;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    try {
        asio::io_context context;
        Record record(arguments[1]);
        record.note(hasTrouble ? "with the disruption" : "without the disruption");
        int verdict = NotPlayed;
        const auto state = play(context, record, hasTrouble, [&](Verdict result, const std::string& why) {
            record.note((result == Held ? "HELD: " : result == Broken ? "BROKEN: " : "NOT PLAYED: ") + why);
            std::printf("%s\n", why.c_str());
            verdict = result;
            context.stop();
        });
        asio::steady_timer limit(context, std::chrono::seconds(115));
        limit.async_wait([&](error_code) { context.stop(); });
        context.run();
        return verdict;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return NotPlayed;
    }
}

} // namespace review2
