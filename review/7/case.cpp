// A job whose progress does not fit into one record of the store: does other accepted work still end?
#include "Cell.h"

using namespace review2;

namespace {

constexpr int daemons = 7;
constexpr int minions = 48;
constexpr int ordinaryJobs = 40;
constexpr std::int64_t submitIntervalMs = 500;
constexpr std::int64_t finishMs = 14000; // finish_s
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
        for (int job = 1; job <= ordinaryJobs; ++job)
            m_cell.after(job * submitIntervalMs, [this, job] { submitOrdinary(job); });
        if (m_hasTrouble)
            m_cell.after(5000, [this] { submitLarge(); });
        // The traffic ends with the last ordinary job; finish_s later the jobs are asked for.
        m_cell.after(ordinaryJobs * submitIntervalMs + finishMs, [this] { check(1); });
        m_cell.after(60000, [this] { m_done(NotPlayed, "the jobs were not asked for in time"); });
    }

    void submitOrdinary(int job)
    {
        m_cell.submit(path(job),
            R"({"spec":"ms=1000","steps":[{"count":6,"cpu":2500,"mem_mb":1000,"estimate_ms":1000}]})",
            [this, job](int attempts) {
                m_log.note(
                    "job " + jobId(static_cast<unsigned>(job)) + (attempts > 0 ? " is accepted" : " is rejected"));
                if (attempts > 0)
                    m_accepted.push_back(job);
            });
    }

    // 16 steps, each with one small task on each of the 48 minions, 20 times, so that occurrences overlap.
    void submitLarge()
    {
        json::array steps;
        for (int i = 0; i < 16; ++i)
            steps.push_back(json::object { { "count", minions }, { "cpu", 20 }, { "mem_mb", 10 },
                { "estimate_ms", 60000 }, { "anti_affinity", 1 } });
        const json::object body { { "spec", "ms=60000" }, { "steps", steps }, { "repeat_count", 20 },
            { "first_ms", wallMs() }, { "interval_ms", 250 } };
        m_cell.submit("/bopu901/" + jobId(0xffff), json::serialize(body), [this](int attempts) {
            m_log.note(std::string("the large job ") + (attempts > 0 ? "is accepted" : "is rejected"));
            if (attempts == 0)
                m_done(NotPlayed, "the large job was not accepted");
        });
    }

    void check(std::size_t)
    {
        m_log.note("finish_s is over; " + std::to_string(m_cell.events().size()) + " starts and ends so far");
        m_open = m_accepted.size();
        if (m_open < ordinaryJobs / 2)
            return m_done(NotPlayed, "too few jobs were accepted");
        m_askedAt = nowMs();
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
        const std::int64_t now = nowMs();
        int stuck = 0;
        for (const auto& [job, state] : m_states) {
            if (state == "done")
                continue;
            const std::string name = jobId(static_cast<unsigned>(job));
            bool hasRun = false;
            std::map<std::string, bool> running;
            for (const RunEvent& event : m_cell.events()) {
                if (!event.m_task.starts_with(name))
                    continue;
                if (!event.m_what.starts_with("acknowledged"))
                    running[event.m_task] = event.m_what == "start";
                hasRun = hasRun || event.m_atMs > now - 3000;
            }
            for (const auto& [task, isRunning] : running)
                hasRun = hasRun || isRunning;
            m_log.note(
                "job " + name + " is shown as " + state + (hasRun ? ", and has run" : ", and nothing of it runs"));
            stuck += hasRun ? 0 : 1;
        }
        std::size_t running = 0;
        for (const auto& worker : m_cell.workers())
            running += worker->running();
        m_log.note(std::to_string(running) + " tasks run on the minions");
        for (std::size_t i = 0; i < m_cell.daemonCount(); ++i) {
            if (m_cell.hasEnded(i))
                m_log.note("daemon " + std::to_string(i) + " has ended by itself");
        }
        if (stuck > 0)
            return m_done(Broken,
                std::to_string(stuck) + " of " + std::to_string(m_states.size())
                    + " accepted jobs are not done and have nothing running for 3 s, finish_s after the traffic");
        m_done(Held, "all accepted jobs are done or run");
    }

    Record& m_log;
    Cell m_cell;
    bool m_hasTrouble;
    std::function<void(Verdict, const std::string&)> m_done;
    std::vector<int> m_accepted;
    std::map<int, std::string> m_states;
    std::size_t m_open = 0;
    std::int64_t m_askedAt = 0;
};

} // namespace

int main(int count, char** arguments)
{
    return runCase(count, arguments, [](auto& context, auto& record, bool hasTrouble, auto done) {
        return std::make_unique<Play>(context, record, hasTrouble, done);
    });
}
