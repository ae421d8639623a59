// More than 200 lasting jobs wait for one kind of minion: do other jobs, whose minions stand idle, still run?
#include "Cell.h"

using namespace review2;

namespace {

constexpr int daemons = 7;
constexpr int minions = 48; // 12 of them are of kind "b"
constexpr int usualJobs = 120;
constexpr int burstFactor = 2;
constexpr std::int64_t arrivalMs = 8000; // all lasting jobs come in this time
constexpr int ordinaryJobs = 20;
constexpr std::int64_t ordinaryIntervalMs = 250;
constexpr std::int64_t finishMs = 14000; // finish_s
constexpr const char* routes
    = R"([{"name":"q1","host":"nony24.example","path_prefix":"/lohu930/","service":"desk","timeout_ms":3000,)"
      R"("priority":0,"max_attempts":4,"slack_factor":3,"target_latency_ms":250},)"
      R"({"name":"q2","host":"nony24.example","path_prefix":"/bopu901/","service":"desk","timeout_ms":3000,)"
      R"("priority":1,"max_attempts":3,"slack_factor":3,"target_latency_ms":2500}])";

struct Play {
    Play(asio::io_context& context, Record& log, bool hasTrouble, std::function<void(Verdict, const std::string&)> done)
        : m_log(log)
        , m_cell(context, log, daemons, minions, routes)
        , m_lastingJobs(hasTrouble ? usualJobs * burstFactor : usualJobs)
        , m_done(std::move(done))
    {
        m_cell.whenReady([this] { begin(); });
    }

    static std::string path(int job) { return "/lohu930/" + jobId(static_cast<unsigned>(job)); }

    void begin()
    {
        m_log.note("all daemons are ready; " + std::to_string(m_lastingJobs) + " lasting jobs come within 8 s");
        // Each needs half a minion of kind "b": 24 of them run, the others wait.
        for (int job = 0; job < m_lastingJobs; ++job)
            m_cell.after(arrivalMs * job / m_lastingJobs, [this, job] {
                m_cell.submit("/bopu901/" + jobId(0x10000U + static_cast<unsigned>(job)),
                    R"({"spec":"lasts","steps":[{"count":1,"cpu":16000,"mem_mb":1000,"estimate_ms":500,)"
                    R"("long_running":true,"requires":"b"}]})",
                    [this](int attempts) { m_lastingAccepted += attempts > 0 ? 1 : 0; });
            });
        for (int job = 1; job <= ordinaryJobs; ++job)
            m_cell.after(arrivalMs + 3000 + job * ordinaryIntervalMs, [this, job] {
                m_cell.submit(path(job),
                    R"({"spec":"ms=1000","steps":[{"count":6,"cpu":2500,"mem_mb":1000,"estimate_ms":1000}]})",
                    [this, job](int attempts) {
                        m_log.note("job " + jobId(static_cast<unsigned>(job))
                            + (attempts > 0 ? " is accepted" : " is rejected"));
                        if (attempts > 0)
                            m_accepted.push_back(job);
                    });
            });
        m_cell.after(arrivalMs + 3000 + ordinaryJobs * ordinaryIntervalMs + finishMs, [this] { check(); });
        m_cell.after(80000, [this] { m_done(NotPlayed, "the jobs were not asked for in time"); });
    }

    void check()
    {
        m_log.note("finish_s is over; " + std::to_string(m_lastingAccepted) + " lasting jobs were accepted");
        m_open = m_accepted.size();
        if (m_open < ordinaryJobs || m_lastingAccepted < m_lastingJobs)
            return m_done(NotPlayed, "a job was not accepted");
        for (const int job : m_accepted)
            m_cell.state(path(job), [this, job](const std::string& state) {
                m_states[job] = state;
                if (--m_open == 0)
                    m_cell.after(3000, [this] { judge(); });
            });
    }

    // Broken: an accepted job is not done, and for 3 s it has nothing running, with under half of the capacity in use.
    void judge()
    {
        std::int64_t used = 0;
        std::int64_t capacity = 0;
        int idle = 0;
        for (const auto& worker : m_cell.workers()) {
            capacity += worker->settings().m_cpuMillis;
            idle += worker->running() == 0 ? 1 : 0;
        }
        std::map<std::string, bool> running;
        for (const RunEvent& event : m_cell.events())
            if (!event.m_what.starts_with("acknowledged"))
                running[event.m_task] = event.m_what == "start";
        for (const auto& [task, isRunning] : running)
            used += !isRunning ? 0 : task.starts_with("5c0e7a210001") ? 16000 : 2500;
        m_log.note(std::to_string(used) + " of " + std::to_string(capacity) + " thousandths of a core are in use, "
            + std::to_string(idle) + " of " + std::to_string(m_cell.workers().size()) + " minions run nothing");
        int stuck = 0;
        for (const auto& [job, state] : m_states) {
            const std::string name = jobId(static_cast<unsigned>(job));
            bool hasRun = false;
            for (const RunEvent& event : m_cell.events())
                hasRun = hasRun || (event.m_task.starts_with(name) && event.m_atMs > nowMs() - 3000);
            for (const auto& [task, isRunning] : running)
                hasRun = hasRun || (isRunning && task.starts_with(name));
            if (state == "done" || hasRun)
                continue;
            m_log.note("job " + name + " is shown as " + state + ", and nothing of it runs");
            ++stuck;
        }
        for (std::size_t i = 0; i < m_cell.daemonCount(); ++i) {
            if (m_cell.hasEnded(i))
                m_log.note("daemon " + std::to_string(i) + " has ended by itself");
        }
        if (stuck > 0 && used * 2 < capacity)
            return m_done(Broken,
                std::to_string(stuck) + " of " + std::to_string(m_states.size())
                    + " accepted jobs are not done and have nothing running for 3 s, finish_s after the traffic");
        m_done(stuck == 0 ? Held : NotPlayed, "all ordinary jobs are done or run, or the minions are full");
    }

    Record& m_log;
    Cell m_cell;
    const int m_lastingJobs;
    std::function<void(Verdict, const std::string&)> m_done;
    int m_lastingAccepted = 0;
    std::vector<int> m_accepted;
    std::map<int, std::string> m_states;
    std::size_t m_open = 0;
};

} // namespace

int main(int count, char** arguments)
{
    return runCase(count, arguments, [](auto& context, auto& record, bool hasTrouble, auto done) {
        return std::make_unique<Play>(context, record, hasTrouble, done);
    });
}
