// Division of the progress of a job into records.

#include "jobs/ProgressRecords.h"

#include <algorithm>
#include <functional>

namespace sapphiredale::jobs {

namespace {

    /// Progress up to this length is one record. Longer records would be written anew with each change.
    constexpr std::size_t maxUndividedBytes = 32768;
    /// Tasks of a step whose entries share a record. Each task has one record as long as the job exists: if it moved to
    /// another, no record would have it after the first of both changes.
    constexpr std::uint32_t tasksPerPart = 512;
    /// The same for the occurrences in which a step is finished.
    constexpr std::uint32_t occurrencesPerPart = 4096;

    std::size_t hashOf(const std::string& text) { return std::hash<std::string> {}(text); }

} // namespace

JobId jobOfProgressKey(const std::string& key) { return JobId(key.substr(0, key.find(progressPartMark))); }

void mergeProgress(JobProgress& into, const JobProgress& other)
{
    into.m_state = std::max(into.m_state, other.m_state);
    into.m_done.insert(into.m_done.end(), other.m_done.begin(), other.m_done.end());
    into.m_finished.insert(into.m_finished.end(), other.m_finished.begin(), other.m_finished.end());
    for (const auto& [task, runs] : other.m_failedRuns) {
        std::vector<std::uint32_t>& known = into.m_failedRuns[task];
        for (const std::uint32_t run : runs) {
            if (std::find(known.begin(), known.end(), run) == known.end())
                known.push_back(run);
        }
        std::sort(known.begin(), known.end());
    }
    for (const auto& [task, crashes] : other.m_crashes)
        into.m_crashes[task] = std::max(into.m_crashes[task], crashes);
    for (const auto& [step, workers] : other.m_places)
        into.m_places[step].insert(workers.begin(), workers.end());
}

ProgressRecords::ProgressRecords(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void ProgressRecords::noteStored(const std::string& key, const std::string& text)
{
    m_divided[jobOfProgressKey(key)][key] = hashOf(text);
}

ProgressRecords::Texts ProgressRecords::textsOfSteps(const JobId& job, const JobProgress& progress)
{
    std::map<std::string, JobProgress> parts;
    std::map<std::string, JobProgress> finished;
    for (const FinishedRange& range : progress.m_finished) {
        const OccurrenceRange& whole = range.m_occurrences;
        for (std::uint32_t block = whole.m_first / occurrencesPerPart; block <= whole.m_last / occurrencesPerPart;
             ++block) {
            const OccurrenceRange part { std::max(whole.m_first, block * occurrencesPerPart),
                std::min(whole.m_last, (block + 1) * occurrencesPerPart - 1) };
            finished["finished." + std::to_string(range.m_step) + '.' + std::to_string(block)].m_finished.push_back(
                { range.m_step, part });
        }
    }
    const auto partOf = [&](const TaskIndex& task) -> JobProgress& {
        const std::uint32_t block = task.m_task / tasksPerPart;
        return parts[std::to_string(task.m_occurrence) + '.' + std::to_string(task.m_step)
            + (block == 0 ? "" : '.' + std::to_string(block))];
    };
    for (const TaskIndex& task : progress.m_done)
        partOf(task).m_done.push_back(task);
    for (const auto& [task, runs] : progress.m_failedRuns)
        partOf(task).m_failedRuns[task] = runs;
    for (const auto& [task, crashes] : progress.m_crashes)
        partOf(task).m_crashes[task] = crashes;
    for (const auto& [step, workers] : progress.m_places)
        partOf({ step.m_occurrence, step.m_step, 0 }).m_places[step] = workers;
    Texts texts;
    const auto append = [&](const std::map<std::string, JobProgress>& all) {
        for (const auto& [name, part] : all) {
            std::string text;
            for (const std::string& entry : encodeEntries(part))
                text += (text.empty() ? "" : " ") + entry;
            texts.emplace_back(job.value() + progressPartMark + name, std::move(text));
        }
    };
    // What moves from the records of steps to those of ranges is stored there first.
    append(finished);
    append(parts);
    return texts;
}

void ProgressRecords::appendChanges(const JobId& job, const JobProgress& progress, std::vector<KeyValue>& records)
{
    auto divided = m_divided.find(job);
    if (divided == m_divided.end()) {
        std::string text = encodeProgress(progress);
        if (text.size() <= std::min(maxUndividedBytes, m_maxBytes)) {
            records.emplace_back(job.value(), std::move(text));
            return;
        }
        divided = m_divided.try_emplace(job).first;
    }
    Texts texts = textsOfSteps(job, progress);
    // The undivided record, whose entries this one lacks, is replaced after all others are stored; records of steps
    // that have ended with their job are removed after its state is stored.
    std::map<std::string, std::size_t>& stored = divided->second;
    const auto appendIfChanged = [&](const std::string& key, std::string text) {
        const auto [known, isNew] = stored.try_emplace(key, 0);
        const std::size_t hash = hashOf(text);
        if (isNew || known->second != hash)
            records.emplace_back(key, std::move(text));
        known->second = hash;
    };
    std::set<std::string> keys { job.value() };
    for (auto& [key, text] : texts) {
        keys.insert(key);
        appendIfChanged(key, std::move(text));
    }
    appendIfChanged(job.value(), encodeProgress({ progress.m_state, {}, {}, {}, {} }));
    std::erase_if(stored, [&](const auto& part) {
        const bool isRemoved = !keys.contains(part.first);
        if (isRemoved)
            records.emplace_back(part.first, std::nullopt);
        return isRemoved;
    });
}

void ProgressRecords::appendRemoval(const JobId& job, std::vector<KeyValue>& records)
{
    if (const auto divided = m_divided.find(job); divided != m_divided.end()) {
        for (const auto& [key, hash] : divided->second) {
            if (key != job.value())
                records.emplace_back(key, std::nullopt);
        }
        m_divided.erase(divided);
    }
    records.emplace_back(job.value(), std::nullopt);
}

} // namespace sapphiredale::jobs
