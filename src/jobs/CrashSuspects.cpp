// Tasks that crash the workers that start them.
//
// Answers a cell in which one task takes down worker after worker. When the process of a worker ends, the runs that it
// has just started are suspects: a run that a report has listed some time after its start is not. The restart of a
// worker is noticed late, when its later process may have begun runs already; so its suspects are the runs that the
// first report of the later process does not list. A suspect starts
// again on a worker that has started nothing else lately, and that gets no other work until the run has proved itself,
// so that the next crash has one explanation. A task is given up after two crashes, and its job with it; after three
// where other starts could explain one of them as well, as for gangs, which need several workers at once.
//
// Not recognized: a task that crashes its worker later than `provenAge` after its start or before the start is
// answered, and crashes that no scheduler has seen because the term changed between the start and the worker's return.

#include "jobs/JobScheduler.h"

#include <algorithm>

namespace sapphiredale::jobs {

namespace {

    /// A run that is listed this long after its start did not crash its worker.
    constexpr Duration provenAge = std::chrono::milliseconds(500);
    /// Crashes under a task after which it is given up, if it alone explains the last one, and in any case.
    constexpr std::uint32_t maxExplainedCrashes = 2;
    constexpr std::uint32_t maxCrashes = 3;

} // namespace

void JobScheduler::noteCrash(Worker& worker, const std::vector<RunName>& ended, TimePoint now)
{
    std::vector<std::pair<Task*, const Run*>> suspects;
    for (const RunName& name : ended) {
        const Run& run = worker.m_runs.at(name);
        Task& task = countingTaskOf(*run.m_step, name);
        const auto isSame = [&task](const auto& suspect) { return suspect.first == &task; };
        // A start without an answer may have been sent to a worker that had ended already.
        const bool hasJustStarted = run.m_confirmedAt != TimePoint::max() && !run.m_isProven;
        // The workers of a gang may be lost together.
        const bool isCounted = task.m_lastCrashedRun == name.m_run;
        if (hasJustStarted && !isCounted && run.m_step->m_job->isOpen()
            && std::none_of(suspects.begin(), suspects.end(), isSame))
            suspects.emplace_back(&task, &run);
    }
    // A crash under a task that has a crash already says nothing about the others.
    std::uint32_t most = 0;
    for (const auto& [task, run] : suspects)
        most = std::max(most, task->m_crashes);
    std::erase_if(suspects, [most](const auto& suspect) { return suspect.first->m_crashes < most; });
    for (const auto& [task, run] : suspects) {
        Job& job = *run->m_step->m_job;
        ++task->m_crashes;
        task->m_lastCrashedRun = run->m_name.m_run;
        ++m_counters.m_crashSuspects;
        markChanged(job);
        const bool isExplained = suspects.size() == 1 && !run->m_step->m_spec->m_isGang;
        const bool isGivenUp = task->m_crashes >= (isExplained ? maxExplainedCrashes : maxCrashes);
        m_newCrashes.push_back(
            { worker.m_description.m_worker, run->m_name, run->earliestBornMs(), task->m_crashes, isGivenUp });
        if (isGivenUp && job.isOpen())
            closeJob(job, JobState::Failed, now);
    }
}

void JobScheduler::proveRun(Run& run, const WorkerReport& report)
{
    if (run.m_isProven || run.m_confirmedAt == TimePoint::max() || report.m_askedAt < run.m_confirmedAt + provenAge)
        return;
    endProof(run);
    Task& task = countingTaskOf(*run.m_step, run.m_name);
    if (task.m_crashes == 0)
        return;
    task.m_crashes = 0;
    markChanged(*run.m_step->m_job);
}

void JobScheduler::beginProof(Run& run)
{
    ++run.m_worker->m_unprovenRuns;
    run.m_isTrial = !run.m_step->m_spec->m_isGang && taskOf(*run.m_step, run.m_name).m_crashes > 0;
    run.m_worker->m_trials += run.m_isTrial ? 1 : 0;
}

void JobScheduler::endProof(Run& run)
{
    if (std::exchange(run.m_isProven, true))
        return;
    --run.m_worker->m_unprovenRuns;
    run.m_worker->m_trials -= run.m_isTrial ? 1 : 0;
}

void JobScheduler::requestTrialReports(Worker& worker, TimePoint now)
{
    for (auto& [name, run] : worker.m_runs) {
        const bool isDue = run.m_isTrial && !run.m_isProven && run.m_confirmedAt != TimePoint::max()
            && run.m_confirmedAt + provenAge <= now;
        if (isDue && !std::exchange(run.m_isTrialReportRequested, true))
            m_actions.emplace_back(ReportOrder { worker.m_description.m_worker });
    }
}

} // namespace sapphiredale::jobs
