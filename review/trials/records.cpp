// A job with many occurrences: its progress record grows past the store's limit for a record.

#include "Cell.h"

#include <chrono>

using namespace review;

namespace {

constexpr int occurrences = 9000;
constexpr int intervalMs = 16;
constexpr int steps = 5;
constexpr double runFor = 82.0;
constexpr double traffic = 5.0;
constexpr double finish = 14.0;
constexpr double idleBound = 3.0;

Outcome scenario(bool hasTrouble)
{
    const Queue timed { "history-rebuild", 2, 2, 2.2, 1200 };
    const Queue match { "ring-match", 0, 4, 1.5, 250 };
    CellSettings settings;
    settings.m_minions = minions(3);
    settings.m_queues = { timed, match };
    Cell cell(settings);
    if (!cell.start())
        return NotPlayed;
    const auto wallMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    std::string body = R"({"spec":"done 20","repeat_count":)" + std::to_string(occurrences) + R"(,"first_ms":)"
        + std::to_string(wallMs + 500) + R"(,"interval_ms":)" + std::to_string(intervalMs) + R"(,"steps":[)";
    for (int i = 0; i < steps; ++i)
        body += std::string(i > 0 ? "," : "") + R"({"count":1,"cpu":500,"mem_mb":500,"estimate_ms":20})";
    body += "]}";
    if (hasTrouble && cell.submit(0, timed, newJobId(), body) != 200)
        return NotPlayed;
    const double until = now() + runFor;
    while (now() < until && cell.store().oversizedAppends() == 0)
        sleepFor(0.1);
    sleepFor(3);
    std::vector<std::string> jobs;
    for (int i = 0; i < static_cast<int>(traffic * 2); ++i) {
        const std::string job = newJobId();
        if (cell.submit(i % cell.daemons(), match, job, oneStep("done 500", 4, 1000, 1000, 500, "")) == 200)
            jobs.push_back(job);
        sleepFor(0.5);
    }
    note("the traffic has ended");
    sleepFor(finish);
    const double checkFrom = now();
    note("CHECK   finish_s after the end of the traffic");
    sleepFor(idleBound);
    int broken = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const std::string state = cell.state(static_cast<int>(i) % cell.daemons(), match, jobs[i]);
        bool ran = state == "done";
        for (int task = 0; task < 4; ++task) {
            const TaskHistory seen = cell.watch().task(jobs[i] + ".0.0." + std::to_string(task));
            ran = ran || !seen.m_running.empty() || seen.m_lastSeen >= checkFrom;
        }
        if (ran)
            continue;
        ++broken;
        note("BROKEN  job " + jobs[i] + " is shown as " + state + " and had nothing running for 3 s");
    }
    note("jobs accepted: " + std::to_string(jobs.size())
        + ", without a run for 3 s at the end: " + std::to_string(broken)
        + "; appends with a record over the limit: " + std::to_string(cell.store().oversizedAppends()));
    if (!cell.areDaemonsRunning() || jobs.empty())
        return NotPlayed;
    return broken > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char** argv) { return play(argc, argv, scenario); }
