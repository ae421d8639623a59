// Four jobs with many occurrences: does the scheduler stay within the memory of its machine, and does other work end?
#include "Cell.h"

using namespace review2;

namespace {

constexpr int daemons = 7;
constexpr int minions = 48;
constexpr int largeJobs = 4;
// Two of 42 jobs in each of two times of 3 s: 0.048.
constexpr std::int64_t largeAtMs[largeJobs] = { 4500, 6000, 8500, 10000 };
constexpr int ordinaryJobs = 200;
constexpr std::int64_t submitIntervalMs = 75; // 40 in 3 s
constexpr std::int64_t finishMs = 14000; // finish_s
constexpr std::int64_t memoryMb = 260; // memory_mb
constexpr std::int64_t watchIntervalMs = 100;
constexpr std::int64_t restartMs = 500;
constexpr const char* routes
    = R"([{"name":"q1","host":"nony24.example","path_prefix":"/lohu930/","service":"desk","timeout_ms":3000,)"
      R"("priority":0,"max_attempts":4,"slack_factor":3,"target_latency_ms":250},)"
      R"({"name":"q2","host":"nony24.example","path_prefix":"/bopu901/","service":"desk","timeout_ms":3000,)"
      R"("priority":2,"max_attempts":2,"slack_factor":3,"target_latency_ms":1200}])";

struct Play {
    Play(asio::io_context& context, Record& log, bool hasTrouble, std::function<void(Verdict, const std::string&)> done)
        : m_log(log)
        , m_cell(context, log, daemons, minions, routes)
        , m_hasTrouble(hasTrouble)
        , m_done(std::move(done))
    {
        m_cell.whenReady([this] { begin(); });
    }

    static std::string path(int job) { return "/lohu930/" + jobId(static_cast<unsigned>(job)); }

    void begin()
    {
        m_log.note("all daemons are ready");
        watchMemory();
        for (int job = 1; job <= ordinaryJobs; ++job)
            m_cell.after(job * submitIntervalMs, [this, job] {
                m_cell.submit(path(job),
                    R"({"spec":"ms=1000","steps":[{"count":6,"cpu":2500,"mem_mb":1000,"estimate_ms":1000}]})",
                    [this, job](int attempts) {
                        if (attempts > 0)
                            m_accepted.push_back(job);
                    });
            });
        for (int job = 0; m_hasTrouble && job < largeJobs; ++job)
            m_cell.after(largeAtMs[job], [this, job] { submitLarge(job); });
        m_cell.after(ordinaryJobs * submitIntervalMs + finishMs, [this] { check(); });
        m_cell.after(100000, [this] { m_done(NotPlayed, "the jobs were not asked for in time"); });
    }

    // The platform kills a process that exceeds memory_mb, and starts it again after a short delay.
    void watchMemory()
    {
        for (std::size_t i = 0; i < m_cell.daemonCount(); ++i) {
            const std::int64_t used = m_cell.residentMb(i);
            m_most = std::max(m_most, used);
            if (used <= memoryMb)
                continue;
            m_log.note("daemon " + std::to_string(i) + " has " + std::to_string(used)
                + " MB, more than memory_mb, and is killed by the platform");
            ++m_kills;
            m_killed.insert(i);
            m_cell.kill(i);
            m_cell.after(restartMs, [this, i] { m_cell.start(i); });
        }
        m_cell.after(watchIntervalMs, [this] { watchMemory(); });
    }

    // One task each second since 100,000 s ago, so that all occurrences are due; it requires a label that no minion
    // has.
    void submitLarge(int job)
    {
        const json::object body { { "spec", "ms=1000" },
            { "steps",
                json::array { json::object { { "count", 1 }, { "cpu", 100 }, { "mem_mb", 10 }, { "estimate_ms", 1000 },
                    { "requires", "z" } } } },
            { "repeat_count", 100000 }, { "first_ms", wallMs() - 100000000 }, { "interval_ms", 1000 } };
        m_cell.submit("/bopu901/" + jobId(0xff00U + static_cast<unsigned>(job)), json::serialize(body),
            [this, job](int attempts) {
                m_log.note("large job " + std::to_string(job) + (attempts > 0 ? " is accepted" : " is rejected"));
            });
    }

    void check()
    {
        m_open = m_accepted.size();
        m_log.note("finish_s is over; " + std::to_string(m_open) + " of " + std::to_string(ordinaryJobs)
            + " ordinary jobs were accepted, a daemon had " + std::to_string(m_most) + " MB at most, and "
            + std::to_string(m_kills) + " times one was killed for it, on " + std::to_string(m_killed.size())
            + " machines");
        if (m_open < ordinaryJobs / 4)
            return m_done(NotPlayed, "too few jobs were accepted");
        for (const int job : m_accepted)
            m_cell.state(path(job), [this, job](const std::string& state) {
                m_states[job] = state;
                if (--m_open == 0)
                    m_cell.after(3000, [this] { judge(); });
            });
    }

    // Broken: an accepted job is not done, and for 3 s it has nothing running.
    void judge()
    {
        std::map<std::string, bool> running;
        for (const RunEvent& event : m_cell.events()) {
            if (!event.m_what.starts_with("acknowledged"))
                running[event.m_task] = event.m_what == "start";
        }
        int stuck = 0;
        for (const auto& [job, state] : m_states) {
            if (state == "done")
                continue;
            const std::string name = jobId(static_cast<unsigned>(job));
            bool hasRun = false;
            for (const RunEvent& event : m_cell.events())
                hasRun = hasRun || (event.m_task.starts_with(name) && event.m_atMs > nowMs() - 3000);
            for (const auto& [task, isRunning] : running)
                hasRun = hasRun || (isRunning && task.starts_with(name));
            m_log.note("job " + name + ": " + state + (hasRun ? ", and has run" : ", and nothing of it runs"));
            stuck += hasRun ? 0 : 1;
        }
        if (stuck > 0)
            return m_done(Broken,
                std::to_string(stuck) + " of " + std::to_string(m_states.size())
                    + " accepted jobs are not done and have nothing running for 3 s, finish_s after the traffic; "
                      "daemons "
                      "were killed "
                    + std::to_string(m_kills) + " times for their memory");
        m_done(Held,
            "all accepted ordinary jobs are done or run; daemons were killed " + std::to_string(m_kills)
                + " times for their memory");
    }

    Record& m_log;
    Cell m_cell;
    bool m_hasTrouble;
    std::function<void(Verdict, const std::string&)> m_done;
    std::vector<int> m_accepted;
    std::map<int, std::string> m_states;
    std::size_t m_open = 0;
    std::int64_t m_most = 0;
    int m_kills = 0;
    std::set<std::size_t> m_killed;
};

} // namespace

int main(int count, char** arguments)
{
    return runCase(count, arguments, [](auto& context, auto& record, bool hasTrouble, auto done) {
        return std::make_unique<Play>(context, record, hasTrouble, done);
    });
}
