// Occurrences of jobs in memory.
//
// A job may have a hundred thousand occurrences, all of them due, and a step takes about a kilobyte. Of an occurrence
// that is not held, only its finished steps are known, as ranges. An occurrence is held
//  - while something refers to it: runs, places at which tasks may run, an advice request, reserved workers;
//  - while a task of an unfinished step has a history: failures, crashes, a checkpoint, the numbers of its runs;
//  - while it is among the first in which one of its steps waits for workers. Each step of a job has a limit of its
//    own, so that one which finds no worker does not keep others from going on in later occurrences.

#include "jobs/JobScheduler.h"

#include "jobs/Placement.h"

#include <algorithm>

namespace sapphiredale::jobs {

namespace {

    /// Waiting tasks of a step that are held for the next placement pass, and the limits of the number of occurrences
    /// for that.
    constexpr std::uint32_t heldTasks = 256;
    constexpr std::uint32_t minHeldOccurrences = 2;
    constexpr std::uint32_t maxHeldOccurrences = 32;
    /// Occurrences beyond this multiple of the number are released again.
    constexpr std::uint32_t releaseFactor = 2;

    std::uint32_t heldOccurrences(const Job& job, std::uint32_t step)
    {
        const std::uint32_t size = std::max(job.m_record.m_spec.m_steps[step].m_count, job.stepsPerOccurrence());
        return std::clamp(heldTasks / size, minHeldOccurrences, maxHeldOccurrences);
    }

    std::uint32_t dueOccurrences(const JobSpec& spec, std::int64_t wallNowMs)
    {
        if (!spec.hasDueTimes())
            return 1;
        if (wallNowMs < spec.m_firstDueMs)
            return 0;
        if (spec.m_intervalMs == 0)
            return spec.m_occurrences;
        const std::int64_t due = (wallNowMs - spec.m_firstDueMs) / spec.m_intervalMs + 1;
        return static_cast<std::uint32_t>(std::min<std::int64_t>(due, spec.m_occurrences));
    }

    /// Whether nothing outside the step refers to it.
    bool isUnused(const Step& step)
    {
        return step.m_places.empty() && step.m_inheritedPlaces.empty() && step.m_inheritedCharge.isZero()
            && !step.m_isAdvicePending && step.m_reservedWorkers.empty();
    }

    bool isTouched(const Task& task)
    {
        return task.m_isDone || task.m_liveRuns > 0 || task.m_highestRun > 0 || !task.m_failedRuns.empty()
            || task.m_crashes > 0 || !task.m_checkpoint.empty();
    }

    /// Whether the occurrence can be restored from its finished steps.
    bool isReleasable(const std::vector<Step>& steps)
    {
        return std::all_of(steps.begin(), steps.end(),
            [](const Step& step) { return isUnused(step) && (step.isFinished() || !step.m_tasks.anyOf(isTouched)); });
    }

    /// Whether the step waits for workers. One that waits for the reports of earlier places says nothing about them.
    bool waitsForWorkers(const Step& step) { return step.m_waitingTasks > 0 && step.m_inheritedPlaces.empty(); }

    /// The first due occurrence from `from` that is not held and in which the step is ready.
    std::optional<std::uint32_t> firstReadyOccurrence(const Job& job, std::uint32_t step, std::uint32_t from)
    {
        for (std::uint32_t occurrence = from; occurrence < job.m_dueOccurrences;) {
            std::uint32_t next = job.m_finishedIn[step].firstMissingFrom(occurrence);
            for (const std::uint32_t dependency : job.m_record.m_spec.m_steps[step].m_dependsOn)
                next = job.m_finishedIn[dependency].firstFrom(next).value_or(job.m_dueOccurrences);
            if (next != occurrence)
                occurrence = next;
            else if (!job.m_occurrences.contains(occurrence))
                return occurrence;
            else
                ++occurrence;
        }
        return std::nullopt;
    }

} // namespace

bool JobScheduler::openOccurrence(Job& job, std::uint32_t occurrence, TimePoint now)
{
    if (occurrence >= job.m_record.m_spec.occurrenceCount())
        return false;
    const auto [held, isNew] = job.m_occurrences.try_emplace(occurrence);
    if (!isNew)
        return true;
    job.m_dueOccurrences = std::max(job.m_dueOccurrences, occurrence + 1);
    const std::vector<StepSpec>& specs = job.m_record.m_spec.m_steps;
    const std::vector<Duration> rest = criticalPaths(job.m_record.m_spec);
    const auto isFinished = [&](std::uint32_t step) { return job.m_finishedIn[step].contains(occurrence); };
    std::vector<Step>& steps = held->second;
    steps.resize(specs.size());
    for (std::uint32_t i = 0; i < specs.size(); ++i) {
        Step& step = steps[i];
        step.m_job = &job;
        step.m_spec = &specs[i];
        step.m_name = { job.m_record.m_job, occurrence, i };
        Task task;
        task.m_isDone = isFinished(i);
        step.m_tasks = { specs[i].m_count, task };
        step.m_doneTasks = task.m_isDone ? specs[i].m_count : 0;
        step.m_criticalPath = rest[i];
        step.m_openDependencies = static_cast<std::uint32_t>(specs[i].m_dependsOn.size()
            - std::count_if(specs[i].m_dependsOn.begin(), specs[i].m_dependsOn.end(), isFinished));
    }
    for (Step& step : steps)
        refreshAllWaiting(step, now);
    return true;
}

Step* JobScheduler::openStep(Job& job, const TaskIndex& index, TimePoint now)
{
    Step* step = openOccurrence(job, index.m_occurrence, now) ? job.step(index.m_occurrence, index.m_step) : nullptr;
    return step != nullptr && index.m_task < step->m_tasks.size() ? step : nullptr;
}

void JobScheduler::releaseOccurrence(Job& job, std::uint32_t occurrence, TimePoint now)
{
    for (Step& step : job.m_occurrences.at(occurrence)) {
        m_waitingSteps.erase(step);
        endTeamClaim(step);
        PlacementPass(*this, now).endReservation(step);
        // A successor holds the occurrences whose steps have places.
        if (job.isOpen() && !step.m_sentPlaces.empty())
            markChanged(job);
    }
    job.m_occurrences.erase(occurrence);
}

void JobScheduler::updateHeldOccurrences(Job& job, std::int64_t wallNowMs, TimePoint now)
{
    const std::uint32_t due = std::max(job.m_dueOccurrences, dueOccurrences(job.m_record.m_spec, wallNowMs));
    const bool isUnchanged = !job.m_areHeldOccurrencesStale && due == job.m_dueOccurrences;
    job.m_areHeldOccurrencesStale = false;
    job.m_dueOccurrences = due;
    if (isUnchanged || !job.isOpen())
        return;
    std::vector<std::uint32_t> waiting(job.stepsPerOccurrence());
    std::vector<std::uint32_t> released;
    for (const auto& [occurrence, steps] : job.m_occurrences) {
        const bool isAmongFirst = std::any_of(steps.begin(), steps.end(), [&](const Step& step) {
            const std::uint32_t i = step.m_name.m_step;
            return waitsForWorkers(step) && waiting[i] < heldOccurrences(job, i) * releaseFactor;
        });
        if (!isAmongFirst && isReleasable(steps)) {
            released.push_back(occurrence);
            continue;
        }
        for (const Step& step : steps)
            waiting[step.m_name.m_step] += waitsForWorkers(step) ? 1 : 0;
    }
    for (const std::uint32_t occurrence : released)
        releaseOccurrence(job, occurrence, now);
    for (std::uint32_t i = 0; i < job.stepsPerOccurrence(); ++i) {
        const std::uint32_t wanted = heldOccurrences(job, i);
        if (waiting[i] < wanted)
            openReadyOccurrences(job, i, wanted - waiting[i], now);
    }
    // Opened steps wait from the beginning.
    job.m_areHeldOccurrencesStale = false;
}

void JobScheduler::openReadyOccurrences(Job& job, std::uint32_t step, std::uint32_t count, TimePoint now)
{
    std::optional<std::uint32_t> next = firstReadyOccurrence(job, step, 0);
    for (; next && count > 0; --count) {
        openOccurrence(job, *next, now);
        next = firstReadyOccurrence(job, step, *next + 1);
    }
}

std::uint64_t JobScheduler::waitingTasksNotHeld(const Job& job)
{
    if (job.m_dueOccurrences == 0)
        return 0;
    OccurrenceSet others;
    others.add({ 0, job.m_dueOccurrences - 1 });
    for (const auto& [occurrence, steps] : job.m_occurrences)
        others.remove(occurrence);
    std::uint64_t tasks = 0;
    for (std::uint32_t i = 0; i < job.stepsPerOccurrence(); ++i) {
        const StepSpec& spec = job.m_record.m_spec.m_steps[i];
        OccurrenceSet ready = others;
        for (const std::uint32_t dependency : spec.m_dependsOn)
            ready.keep(job.m_finishedIn[dependency]);
        ready.remove(job.m_finishedIn[i]);
        tasks += std::uint64_t { ready.size() } * spec.m_count;
    }
    return tasks;
}

std::vector<TaskIndex> JobScheduler::restoreFinishedSteps(Job& job, const JobProgress& progress)
{
    const JobSpec& spec = job.m_record.m_spec;
    for (const FinishedRange& range : progress.m_finished) {
        if (range.m_step < spec.m_steps.size() && range.m_occurrences.m_last < spec.occurrenceCount())
            job.m_finishedIn[range.m_step].add(range.m_occurrences);
    }
    // Records of the same progress may have tasks in common.
    std::vector<TaskIndex> done = progress.m_done;
    std::sort(done.begin(), done.end());
    done.erase(std::unique(done.begin(), done.end()), done.end());
    std::vector<TaskIndex> others;
    for (auto first = done.begin(); first != done.end();) {
        const auto last = std::find_if(first, done.end(), [&](const TaskIndex& task) {
            return task.m_occurrence != first->m_occurrence || task.m_step != first->m_step;
        });
        const bool isValid = first->m_step < spec.m_steps.size() && first->m_occurrence < spec.occurrenceCount();
        const bool isWhole = isValid && last - first == spec.m_steps[first->m_step].m_count;
        if (isWhole && std::prev(last)->m_task < spec.m_steps[first->m_step].m_count)
            job.m_finishedIn[first->m_step].add(first->m_occurrence);
        else if (isValid && !job.m_finishedIn[first->m_step].contains(first->m_occurrence))
            others.insert(others.end(), first, last);
        first = last;
    }
    job.m_finishedSteps = 0;
    for (const OccurrenceSet& occurrences : job.m_finishedIn) {
        job.m_finishedSteps += occurrences.size();
        // The clock of the daemon that opened the occurrence may have been ahead of this one.
        occurrences.visitRanges([&job](const OccurrenceRange& range) {
            job.m_dueOccurrences = std::max(job.m_dueOccurrences, range.m_last + 1);
        });
    }
    return others;
}

} // namespace sapphiredale::jobs
