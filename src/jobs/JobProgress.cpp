// Stored form of a job's progress: words separated by blanks, "s" for the state, "d" for succeeded tasks of one step as
// ranges, "o" for a step that is finished in a range of occurrences, "f" for a failed run of one task, "c" for the
// number of crashes under one task, "p" for a worker of one step.

#include "jobs/JobProgress.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace sapphiredale::jobs {

namespace {

    void appendRanges(std::vector<std::string>& entries, const std::vector<TaskIndex>& tasks)
    {
        std::vector<TaskIndex> sorted = tasks;
        std::sort(sorted.begin(), sorted.end());
        for (std::size_t first = 0; first < sorted.size();) {
            std::size_t last = first;
            const auto continues = [&](std::size_t next) {
                return next < sorted.size() && sorted[next].m_occurrence == sorted[first].m_occurrence
                    && sorted[next].m_step == sorted[first].m_step && sorted[next].m_task == sorted[last].m_task + 1;
            };
            while (continues(last + 1))
                ++last;
            entries.push_back("d " + std::to_string(sorted[first].m_occurrence) + ' '
                + std::to_string(sorted[first].m_step) + ' ' + std::to_string(sorted[first].m_task) + ' '
                + std::to_string(sorted[last].m_task));
            first = last + 1;
        }
    }

} // namespace

const char* nameOf(JobState state)
{
    static constexpr const char* names[] = { "queued", "running", "done", "failed", "cancelled" };
    return names[static_cast<std::size_t>(state)];
}

std::vector<std::string> encodeEntries(const JobProgress& progress)
{
    const auto nameOfTask = [](const TaskIndex& task) {
        return std::to_string(task.m_occurrence) + ' ' + std::to_string(task.m_step) + ' ' + std::to_string(task.m_task)
            + ' ';
    };
    std::vector<std::string> entries;
    entries.reserve(progress.m_finished.size());
    for (const FinishedRange& range : progress.m_finished)
        entries.push_back("o " + std::to_string(range.m_step) + ' ' + std::to_string(range.m_occurrences.m_first) + ' '
            + std::to_string(range.m_occurrences.m_last));
    appendRanges(entries, progress.m_done);
    for (const auto& [task, runs] : progress.m_failedRuns) {
        for (const std::uint32_t run : runs)
            entries.push_back("f " + nameOfTask(task) + std::to_string(run));
    }
    for (const auto& [task, crashes] : progress.m_crashes)
        entries.push_back("c " + nameOfTask(task) + std::to_string(crashes));
    for (const auto& [step, workers] : progress.m_places) {
        const std::string name = "p " + std::to_string(step.m_occurrence) + ' ' + std::to_string(step.m_step) + ' ';
        for (const WorkerId& worker : workers)
            entries.push_back(name + worker.value());
    }
    return entries;
}

std::string encodeProgress(const JobProgress& progress)
{
    std::string text = "s " + std::to_string(static_cast<int>(progress.m_state));
    for (const std::string& entry : encodeEntries(progress))
        text += ' ' + entry;
    return text;
}

Result<JobProgress> decodeProgress(std::string_view text)
{
    const Error malformed { ErrorKind::InvalidRequest, "the progress record is malformed" };
    std::istringstream words { std::string(text) };
    JobProgress progress;
    std::string kind;
    while (words >> kind) {
        if (kind == "s") {
            int state = 0;
            if (!(words >> state) || state < 0 || state > static_cast<int>(JobState::Cancelled))
                return malformed;
            progress.m_state = static_cast<JobState>(state);
            continue;
        }
        if (kind == "p") {
            StepIndex step;
            std::string worker;
            if (!(words >> step.m_occurrence >> step.m_step >> worker))
                return malformed;
            progress.m_places[step].insert(WorkerId(worker));
            continue;
        }
        if (kind == "o") {
            FinishedRange range;
            OccurrenceRange& occurrences = range.m_occurrences;
            if (!(words >> range.m_step >> occurrences.m_first >> occurrences.m_last)
                || occurrences.m_last < occurrences.m_first || occurrences.m_last >= maxTasksPerJob)
                return malformed;
            progress.m_finished.push_back(range);
            continue;
        }
        TaskIndex task;
        std::uint32_t value = 0;
        if (!(words >> task.m_occurrence >> task.m_step >> task.m_task >> value))
            return malformed;
        if (kind == "f") {
            progress.m_failedRuns[task].push_back(value);
            continue;
        }
        if (kind == "c") {
            progress.m_crashes[task] = value;
            continue;
        }
        if (kind != "d" || value < task.m_task || value >= maxTasksPerStep)
            return malformed;
        for (; task.m_task <= value; ++task.m_task)
            progress.m_done.push_back(task);
    }
    return progress;
}

} // namespace sapphiredale::jobs
