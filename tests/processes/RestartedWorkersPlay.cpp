// Plays workers that restart under their ids and are cut off soon after, around a takeover, with daemons as real
// processes and real connections. Guards against two runs of one task, and against a task that runs again after its
// acknowledged end.
//
// Usage: play_restarted_workers PROGRAM SEED [RECORD]. PROGRAM is the path of sapphired, RECORD a file for a line an
// event. Exit status 0: no rule was broken, 1: one was, 2: the play could not run.

#include "tests/processes/DaemonProcesses.h"
#include "tests/processes/RestartingWorker.h"

#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <memory>
#include <random>
#include <thread>

namespace sapphiredale::processes {

namespace json = boost::json;

namespace {

    constexpr int daemonCount = 4;
    constexpr int workersPerZone = 8;
    constexpr int zoneCount = 3;
    constexpr const char* service = "pool";
    constexpr const char* shortQueue = "short";
    constexpr const char* longQueue = "long";
    // Times in seconds.
    constexpr double readyTimeout = 20;
    constexpr double settleTime = 4;
    constexpr double advanceInterval = 0.005;
    constexpr double submitInterval = 0.2;
    constexpr double restartDelay = 0.4;
    constexpr double cycleTime = 20;
    constexpr double endTime = 6;
    constexpr int cycles = 2;
    /// Every so many jobs are long ones.
    constexpr int longJobShare = 3;
    /// A play that started fewer tasks says nothing.
    constexpr std::uint64_t leastStarts = 500;

    enum ExitStatus : int { Held = 0, Broken = 1, NotPlayed = 2 };

    json::object route(const char* queue)
    {
        return { { "name", queue }, { "host", callersHost }, { "path_prefix", std::string("/") + queue + '/' },
            { "kind", "unsafe" }, { "timeout_ms", 3000 }, { "target_latency_ms", 250 }, { "priority", 0 },
            { "service", service }, { "max_attempts", 4 }, { "slack_factor", 1.5 } };
    }

    std::string configuration()
    {
        return json::serialize(
            json::object { { "version", 1 }, { "routes", json::array { route(shortQueue), route(longQueue) } },
                { "services",
                    json::array { json::object { { "name", service }, { "health_path", "/health" }, { "max_conns", 64 },
                        { "rejects_overload", false }, { "standby", false } } } },
                { "limits",
                    { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                        { "idle_timeout_ms", 15000 } } } });
    }

    /// A job of one step whose tasks are spread over the workers, so that each zone has a third of them, and room for
    /// those of another one.
    std::string jobBody(int tasks, int cpuMillis, int workMs)
    {
        return json::serialize(json::object { { "spec", std::to_string(workMs) },
            { "steps",
                json::array { json::object { { "count", tasks }, { "cpu", cpuMillis }, { "mem_mb", 256 },
                    { "estimate_ms", workMs }, { "anti_affinity", 1 } } } } });
    }

    /// The stand-ins and daemons of a play.
    class Play {
    public:
        Play(const std::string& program, std::uint64_t seed, const std::string& folder)
            : m_random(seed)
        {
            m_store.put("keyed.op", "config", configuration());
            for (int i = 0; i < workersPerZone * zoneCount; ++i) {
                const int zone = i % zoneCount;
                const std::string number = std::to_string(i + 1);
                m_workers.push_back(std::make_unique<RestartingWorker>(m_store, m_record,
                    WorkerSettings { "i-" + number, "127.0.1." + number, service, "z" + std::to_string(zone),
                        "r" + std::to_string(zone) }));
            }
            m_advancer = std::thread([this] {
                while (!m_isOver) {
                    for (const auto& worker : m_workers)
                        worker->advance();
                    review::sleepFor(advanceInterval);
                }
            });
            m_daemons = std::make_unique<DaemonProcesses>(m_store, program, folder, daemonCount);
        }

        ~Play()
        {
            m_isOver = true;
            m_advancer.join();
            if (m_callers.joinable())
                m_callers.join();
        }
        Play(const Play&) = delete;
        Play& operator=(const Play&) = delete;

        ExitStatus run()
        {
            if (!m_daemons->waitUntilReady(readyTimeout))
                return NotPlayed;
            m_callers = std::thread([this] { submitJobs(); });
            review::sleepFor(settleTime);
            for (int cycle = 0; cycle < cycles; ++cycle) {
                const double endsAt = review::now() + cycleTime;
                // The holder ends after it has told its successors of the restarts, or before it has noticed them.
                restartAndCutOff(cycle == 0 ? draw(0.6, 2.5) : draw(0, 0.6));
                review::sleepFor(endsAt - review::now());
            }
            review::sleepFor(endTime);
            const std::vector<std::string> violations = m_record.violations();
            std::printf("%llu starts, %llu runs done, %zu violations\n",
                static_cast<unsigned long long>(m_record.starts()),
                static_cast<unsigned long long>(m_record.doneRuns()), violations.size());
            for (const std::string& violation : violations)
                std::printf("%s\n", violation.c_str());
            if (!violations.empty())
                return Broken;
            return m_record.starts() < leastStarts ? NotPlayed : Held;
        }

    private:
        double draw(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_random); }

        /// The workers of a zone restart, the daemon that holds the term is killed, and the workers are cut off.
        void restartAndCutOff(double takeoverDelay)
        {
            const auto zone = static_cast<std::size_t>(draw(0, zoneCount));
            const double downTime = draw(0.3, 1.0);
            const double cutDelay = draw(0, 1.0);
            const double cutTime = draw(9, 12);
            const auto forZone = [this, zone](auto act) {
                for (std::size_t i = zone; i < m_workers.size(); i += zoneCount)
                    act(*m_workers[i]);
            };
            forZone([](RestartingWorker& worker) { worker.crash(); });
            review::sleepFor(downTime);
            forZone([](RestartingWorker& worker) { worker.begin(); });
            review::sleepFor(takeoverDelay);
            const int holder = m_store.lastConditionalWriter();
            m_daemons->kill(holder);
            std::thread restart([this, holder] {
                review::sleepFor(restartDelay);
                m_daemons->start(holder);
            });
            review::sleepFor(cutDelay);
            review::note("zone " + std::to_string(zone) + " is cut off");
            forZone([](RestartingWorker& worker) { worker.setCut(true); });
            review::sleepFor(cutTime);
            forZone([](RestartingWorker& worker) { worker.setCut(false); });
            review::note("zone " + std::to_string(zone) + " is no longer cut off");
            restart.join();
        }

        void submitJobs()
        {
            for (int i = 0; !m_isOver; ++i) {
                const bool isLong = i % longJobShare == 0;
                char id[20];
                std::snprintf(id, sizeof id, "%016x", i + 1);
                const std::string path = std::string("/") + (isLong ? longQueue : shortQueue) + '/' + id;
                const std::string body = isLong ? jobBody(8, 2000, 12000) : jobBody(6, 2000, 1000);
                for (int attempt = 0; attempt < daemonCount; ++attempt) {
                    if (m_daemons->ask((i + attempt) % daemonCount, "POST", path, body).m_status == 200)
                        break;
                }
                review::sleepFor(submitInterval);
            }
        }

        std::mt19937_64 m_random;
        review::Store m_store;
        RunRecord m_record;
        std::vector<std::unique_ptr<RestartingWorker>> m_workers;
        std::unique_ptr<DaemonProcesses> m_daemons;
        std::atomic<bool> m_isOver { false };
        std::thread m_advancer;
        std::thread m_callers;
    };

    ExitStatus play(int count, char** arguments)
    {
        if (count < 3 || count > 4) {
            std::fprintf(stderr, "usage: %s PROGRAM SEED [RECORD]\n", arguments[0]);
            return NotPlayed;
        }
        std::string folder = (std::filesystem::temp_directory_path() / "restarted-workers-XXXXXX").string();
        if (::mkdtemp(folder.data()) == nullptr)
            return NotPlayed;
        review::openRecord(count == 4 ? arguments[3] : folder + "/record");
        ExitStatus status = NotPlayed;
        {
            Play play(arguments[1], std::stoull(arguments[2]), folder);
            status = play.run();
        }
        if (status == Held)
            std::filesystem::remove_all(folder);
        else
            std::printf("record and logs are in %s\n", folder.c_str());
        return status;
    }

} // namespace

} // namespace sapphiredale::processes

int main(int count, char** arguments)
{
    int status = sapphiredale::processes::NotPlayed;
    try {
        status = sapphiredale::processes::play(count, arguments);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::fflush(stdout);
    // Threads of the stand-ins may wait for workers that are down.
    std::_Exit(status);
}
