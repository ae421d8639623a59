// Short tasks go on to end on one minion while the store refuses all calls, so that the minion lists more than 500
// ends.

#include "Cell.h"

using namespace review;

namespace {

constexpr double before = 8.0;
constexpr double perSecond = 13.2; // jobs of ibr-central
constexpr double downFor = 4.5;
constexpr int steps = 4;
constexpr int width = 6;

struct Job {
    std::string m_id;
    int m_status = 0;
};

/// A chain of steps; only one minion has the label. 0.1 cores for 1 s each.
std::string chain()
{
    std::string body = R"({"spec":"done 1000","steps":[)";
    for (int i = 0; i < steps; ++i)
        body += std::string(i > 0 ? "," : "") + R"({"count":)" + std::to_string(width)
            + R"(,"cpu":100,"mem_mb":256,"estimate_ms":1000,"requires":"b")"
            + (i > 0 ? R"(,"depends_on":[)" + std::to_string(i - 1) + "]" : "") + '}';
    return body + "]}";
}

Outcome scenario(bool hasTrouble)
{
    const Queue queue { "ring-match", 0, 4, 1.5, 250 };
    CellSettings settings;
    settings.m_minions = minions(3);
    settings.m_queues = { queue };
    Cell cell(settings);
    if (!cell.start())
        return NotPlayed;
    sleepFor(1);
    std::mutex mutex;
    std::vector<Job> jobs;
    std::vector<std::thread> clients;
    const double from = now();
    const std::string body = chain();
    const auto traffic = [&](double begin, double end) {
        for (double at = begin; at < end; at += 1 / perSecond) {
            sleepFor(from + at - now());
            clients.emplace_back([&, daemon = static_cast<int>(clients.size()) % cell.daemons()] {
                Job job { newJobId(), 0 };
                job.m_status = cell.submit(daemon, queue, job.m_id, body);
                const std::lock_guard lock(mutex);
                jobs.push_back(job);
            });
        }
    };
    traffic(0, before);
    if (hasTrouble) {
        note("TROUBLE the store answers every call with 503");
        cell.store().setBusy(true);
    }
    traffic(before, before + downFor);
    if (hasTrouble) {
        cell.store().setBusy(false);
        note("TROUBLE the store answers again");
    }
    for (std::thread& client : clients)
        client.join();
    sleepFor(15);
    int accepted = 0;
    int done = 0;
    for (const Job& job : jobs) {
        if (job.m_status != 200)
            continue;
        ++accepted;
        done += cell.state(accepted % cell.daemons(), queue, job.m_id) == "done" ? 1 : 0;
    }
    Watch& watch = cell.watch();
    const std::lock_guard lock(watch.m_mutex);
    // "a start after a run has ended `done`, if that end is taken note of then or later": when ack_cursor reaches it,
    // unless the minion's lease lapsed between the two.
    int broken = 0;
    for (const StartAfterDone& start : watch.m_startsAfterDone) {
        const DoneEnd& end = watch.m_done.at(start.m_task);
        if (end.m_acknowledgedAt < 0 || end.m_hasLapsed)
            continue;
        if (++broken <= 20)
            note("BROKEN  " + start.m_task + " ended done on " + end.m_minion + " at " + std::to_string(end.m_at)
                + " (number " + std::to_string(end.m_number) + ", acknowledged at "
                + std::to_string(end.m_acknowledgedAt) + ") and was started as run " + std::to_string(start.m_run)
                + " on " + start.m_minion + " at " + std::to_string(start.m_at));
    }
    note("jobs accepted: " + std::to_string(accepted) + ", done: " + std::to_string(done)
        + "; starts after an acknowledged end done: " + std::to_string(broken) + " of "
        + std::to_string(watch.m_startsAfterDone.size()) + " starts after any end done");
    if (!cell.areDaemonsRunning() || accepted < 100)
        return NotPlayed;
    return broken > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char** argv) { return play(argc, argv, scenario); }
