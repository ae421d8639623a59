// Two of 40 jobs take longer than their estimate says. Then other jobs wait beside minions that are sound and idle.

#include "Cell.h"

using namespace review;

namespace {

constexpr double traffic = 20.0;
constexpr double perSecond = 13.2;
constexpr double poisonAt = 14.0;
constexpr double poisonFor = 3.0;
constexpr int width = 6;
constexpr int cpu = 1000;
// finish_s of ibr-central, and the time for which a job may have nothing running after it.
constexpr double finish = 14.0;
constexpr double idleBound = 3.0;

struct Job {
    std::string m_id;
    bool m_isPoison = false;
    int m_status = 0;
};

bool runsOrRan(Cell& cell, const Job& job, double since)
{
    for (int i = 0; i < width; ++i) {
        const TaskHistory task = cell.watch().task(job.m_id + ".0.0." + std::to_string(i));
        if (!task.m_running.empty() || task.m_lastSeen >= since)
            return true;
    }
    return false;
}

Outcome scenario(bool hasTrouble)
{
    const Queue queue { "ring-match", 0, 4, 1.5, 250 };
    CellSettings settings;
    settings.m_minions = minions(6);
    settings.m_queues = { queue };
    Cell cell(settings);
    if (!cell.start())
        return NotPlayed;
    sleepFor(2);
    std::mutex mutex;
    std::vector<Job> jobs;
    std::vector<std::thread> clients;
    const double from = now();
    int number = 0;
    int inTrouble = 0;
    for (double at = 0; at < traffic; at += 1 / perSecond) {
        sleepFor(from + at - now());
        // A share of 0.05 of the jobs for 3 s: two of 40.
        const bool isInTrouble = hasTrouble && at >= poisonAt && at < poisonAt + poisonFor;
        inTrouble += isInTrouble ? 1 : 0;
        const bool isPoison = isInTrouble && inTrouble % 20 == 10;
        if (isPoison)
            note("TROUBLE a job that takes 400 s; its estimate is 30 s");
        clients.emplace_back([&, isPoison, daemon = number++ % cell.daemons()] {
            Job job { newJobId(), isPoison, 0 };
            const std::string body
                = oneStep(isPoison ? "done 400000" : "done 200", width, cpu, 2000, isPoison ? 30000 : 200, "");
            job.m_status = cell.submit(daemon, queue, job.m_id, body);
            const std::lock_guard lock(mutex);
            jobs.push_back(job);
        });
    }
    for (std::thread& client : clients)
        client.join();
    note("the traffic has ended");
    sleepFor(finish);
    const double checkFrom = now();
    note("CHECK   finish_s after the end of the traffic; share of the capacity in use: "
        + std::to_string(cell.use(cpu)));
    double mostUse = 0;
    while (now() < checkFrom + idleBound) {
        mostUse = std::max(mostUse, cell.use(cpu));
        sleepFor(0.02);
    }
    int accepted = 0;
    int broken = 0;
    for (const Job& job : jobs) {
        if (job.m_status != 200)
            continue;
        ++accepted;
        const std::string state = cell.state(accepted % cell.daemons(), queue, job.m_id);
        if (state == "done" || state == "failed" || state == "cancelled" || runsOrRan(cell, job, checkFrom))
            continue;
        // Its task's turn has come: it is the first step of a job without times. Capacity for it twice over is there.
        if (mostUse >= 0.5)
            continue;
        ++broken;
        note("BROKEN  job " + job.m_id + " is shown as " + state + " and had nothing running for 3 s");
    }
    note("jobs accepted: " + std::to_string(accepted) + ", without a run for 3 s at the end: " + std::to_string(broken)
        + ", most of the capacity in use meanwhile: " + std::to_string(mostUse));
    if (!cell.areDaemonsRunning() || accepted < 100)
        return NotPlayed;
    return broken > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char** argv) { return play(argc, argv, scenario); }
