// Cases that need the simulated cell only.

#include "Cases.h"

#include "Cell.h"

#include <algorithm>
#include <iostream>

namespace review {

namespace {

    constexpr int held = 0;
    constexpr int broken = 1;
    constexpr int couldNotRun = 2;

    /// Waits until the job is shown as done; returns the last state that was shown.
    std::string awaitDone(Cell& cell, const std::string& job, const std::string& queue, std::int64_t limitMs)
    {
        constexpr std::int64_t askedEveryMs = 500;
        const std::int64_t end = nowMs() + limitMs;
        std::string state = cell.state(job, queue);
        while (state != "done" && nowMs() < end) {
            sleepMs(askedEveryMs);
            state = cell.state(job, queue);
        }
        return state;
    }

    /// Minions as on the site, and so many that one of them is less than the share that `srv_crash` takes there.
    CellSettings cellOfSite()
    {
        CellSettings settings;
        settings.m_minions = 8;
        settings.m_cpu = 32000;
        return settings;
    }

    int verdict(Cell& cell, bool isBroken, const std::string& text)
    {
        const std::string line = std::string(isBroken ? "BROKEN: " : "held: ") + text;
        cell.record().write(line);
        std::cout << line << '\n';
        return isBroken ? broken : held;
    }

} // namespace

int playOneOccurrence(const CaseInput& input)
{
    Cell cell({}, input.m_folder, input.m_record);
    if (!cell.start())
        return couldNotRun;
    constexpr std::int64_t delayMs = 4000;
    // Without the trouble the same job has its only time when it is handed in.
    const std::int64_t dueMs = wallMs() + (input.m_hasTrouble ? delayMs : 0);
    const std::string job = jobId(0x58a001);
    const std::string body = R"({"spec":"ms=300","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":300}],)"
                             R"("repeat_count":1,"interval_ms":1000,"first_ms":)"
        + std::to_string(dueMs) + "}";
    if (!cell.submit(job, body))
        return couldNotRun;
    // The rule allows 3 s without a run, `finish_s` (14 s) after the end of the traffic; the minions are idle all the
    // while.
    constexpr std::int64_t watchedMs = 20000;
    std::string state;
    while (wallMs() < dueMs + watchedMs && state != "done") {
        sleepMs(1000);
        state = cell.state(job);
    }
    const std::size_t starts = cell.runs().ofJob(job).size();
    return verdict(cell, starts == 0,
        std::to_string(starts) + " starts until " + std::to_string(wallMs() - dueMs) + " ms after the due time, state "
            + state);
}

int playGangAfterRestart(const CaseInput& input)
{
    // The policy of the queue allows one minion, which has room for the gang twice.
    CellSettings settings = cellOfSite();
    settings.m_allowed = { "i-103" };
    Cell cell(settings, input.m_folder, input.m_record);
    if (!cell.start())
        return couldNotRun;
    const std::string job = jobId(0x58a004);
    const auto runs = [&] { return cell.runs().ofJob(job); };
    if (!cell.submit(job,
            R"({"spec":"advised gang=2 ms=4000","steps":[)"
            R"({"count":2,"cpu":7000,"mem_mb":1024,"estimate_ms":4000,"gang":true}]})",
            "advised"))
        return couldNotRun;
    constexpr std::size_t members = 2;
    constexpr std::int64_t startLimitMs = 20000;
    for (const std::int64_t end = nowMs() + startLimitMs; runs().size() < members && nowMs() < end;)
        sleepMs(10);
    if (runs().size() < members)
        return couldNotRun;
    std::int64_t calmSince = nowMs();
    if (input.m_hasTrouble) {
        // Late enough after the start not to be taken for its cause.
        constexpr std::int64_t afterStartMs = 2500;
        constexpr std::int64_t downMs = 1000;
        sleepMs(afterStartMs);
        Minion* minion = cell.minionOf(runs().back().m_minion);
        minion->crash();
        sleepMs(downMs);
        minion->restart();
        calmSince = nowMs();
    }
    // The rule: 3 s without a run, `finish_s` after the end of the traffic; counted here from the last disruption.
    constexpr std::int64_t finishMs = 14000;
    constexpr std::int64_t allowedMs = 3000;
    constexpr std::int64_t watchedMs = 40000;
    const auto isAtWorkOrDone = [&] {
        const std::vector<RunEvent> all = runs();
        return std::any_of(
            all.begin(), all.end(), [](const RunEvent& run) { return run.m_endedAt < 0 || run.m_how == "done"; });
    };
    sleepMs(input.m_hasTrouble ? allowedMs : 0);
    while (!isAtWorkOrDone() && nowMs() < calmSince + watchedMs)
        sleepMs(20);
    const std::int64_t waitedMs = nowMs() - calmSince;
    constexpr std::int64_t endLimitMs = 15000;
    const std::string state = awaitDone(cell, job, "advised", isAtWorkOrDone() ? endLimitMs : 0);
    return verdict(cell, waitedMs > finishMs + allowedMs || state != "done",
        "the gang, shown as " + state + ", had nothing running until " + std::to_string(waitedMs)
            + " ms after the last disruption, " + std::to_string(runs().size()) + " starts in all");
}

} // namespace review
