// Minions crash, a seventh of them at a time, and come back after a second; no task ever fails.

#include "Cell.h"

#include <algorithm>
#include <random>

using namespace review;

namespace {

constexpr double traffic = 24.0;
constexpr double perSecond = 11.6;
constexpr int pairs = 9;
constexpr int minionCount = 48;
constexpr int crashed = 6; // 0.14 of the minions, rounded down

struct Job {
    std::string m_id;
    int m_status = 0;
    std::string m_state;
};

Outcome scenario(bool hasTrouble)
{
    const Queue queue { "ring-match", 0, 4, 1.5, 250 };
    CellSettings settings;
    settings.m_minions = minions(minionCount);
    settings.m_queues = { queue };
    Cell cell(settings);
    if (!cell.start())
        return NotPlayed;
    sleepFor(2);
    std::mutex mutex;
    std::vector<Job> jobs;
    const std::string body = oneStep("done 1000", 6, 2500, 5200, 1000, "");
    const double from = now();
    std::thread trouble([&] {
        std::mt19937 random(std::random_device {}());
        // Pairs of crashes: the second one hits while the tasks of the first one start again.
        for (int i = 0; hasTrouble && i < 2 * pairs; ++i) {
            const double at = 2.0 + (i / 2) * 2.5 + (i % 2) * 1.5;
            sleepFor(from + at - now());
            std::vector<Minion*> up;
            for (const auto& minion : cell.minions()) {
                if (minion->isUp())
                    up.push_back(minion.get());
            }
            std::shuffle(up.begin(), up.end(), random);
            up.resize(crashed);
            note("TROUBLE " + std::to_string(crashed) + " minions crash for 1 s");
            for (Minion* minion : up)
                minion->crash();
            sleepFor(1);
            for (Minion* minion : up)
                minion->restart();
        }
    });
    std::vector<std::thread> clients;
    int number = 0;
    for (double at = 0; at < traffic; at += 1 / perSecond) {
        sleepFor(from + at - now());
        clients.emplace_back([&, daemon = number++ % cell.daemons()] {
            Job job { newJobId(), 0, {} };
            job.m_status = cell.submit(daemon, queue, job.m_id, body);
            const std::lock_guard lock(mutex);
            jobs.push_back(job);
        });
    }
    for (std::thread& client : clients)
        client.join();
    trouble.join();
    sleepFor(14); // finish_s
    int accepted = 0;
    int broken = 0;
    for (Job& job : jobs) {
        if (job.m_status != 200)
            continue;
        ++accepted;
        job.m_state = cell.state(accepted % cell.daemons(), queue, job.m_id);
        if (job.m_state != "failed" && job.m_state != "cancelled")
            continue;
        int failedEnds = 0;
        for (int i = 0; i < 6; ++i)
            failedEnds = std::max(failedEnds, cell.watch().task(job.m_id + ".0.0." + std::to_string(i)).m_failed);
        if (failedEnds >= queue.m_maxAttempts)
            continue;
        ++broken;
        note("BROKEN  job " + job.m_id + " is shown as " + job.m_state + "; its tasks have "
            + std::to_string(failedEnds) + " ends failed, max_attempts is " + std::to_string(queue.m_maxAttempts)
            + ", nobody cancelled it");
    }
    const auto done = std::count_if(jobs.begin(), jobs.end(), [](const Job& job) { return job.m_state == "done"; });
    note("jobs accepted: " + std::to_string(accepted) + ", done: " + std::to_string(done)
        + ", shown as failed or cancelled without cause: " + std::to_string(broken));
    if (!cell.areDaemonsRunning() || accepted < 100)
        return NotPlayed;
    return broken > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char** argv) { return play(argc, argv, scenario); }
