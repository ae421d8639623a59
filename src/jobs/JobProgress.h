// The state of a job that a change of scheduler must not lose: tasks that have succeeded, runs that have failed, and
// the final state.
#pragma once

#include "jobs/JobSpec.h"
#include "jobs/OccurrenceSet.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::jobs {

/// Identifies a task within its job.
struct TaskIndex {
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_task = 0;

    friend bool operator==(const TaskIndex&, const TaskIndex&) = default;
    friend auto operator<=>(const TaskIndex&, const TaskIndex&) = default;
};

/// Identifies a step within its job.
struct StepIndex {
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;

    friend bool operator==(const StepIndex&, const StepIndex&) = default;
    friend auto operator<=>(const StepIndex&, const StepIndex&) = default;
};

/// Occurrences in which all tasks of a step have succeeded.
struct FinishedRange {
    std::uint32_t m_step = 0;
    OccurrenceRange m_occurrences;

    friend bool operator==(const FinishedRange&, const FinishedRange&) = default;
    friend auto operator<=>(const FinishedRange&, const FinishedRange&) = default;
};

/// State of a job as its caller sees it.
enum class JobState : std::uint8_t { Queued, Running, Done, Failed, Cancelled };

/// "queued", "running", "done", "failed" or "cancelled".
const char* nameOf(JobState);

inline bool isFinal(JobState state) { return state != JobState::Queued && state != JobState::Running; }

/// The durable part of a job's state. A record replaces the previous one.
struct JobProgress {
    /// Queued or Running while the job is open.
    JobState m_state = JobState::Queued;
    /// Tasks that have succeeded; empty once the job is Done.
    std::vector<TaskIndex> m_done;
    /// Numbers of the failed runs by task.
    std::map<TaskIndex, std::vector<std::uint32_t>> m_failedRuns;
    /// Workers that crashed just after they had started a task, by task.
    std::map<TaskIndex, std::uint32_t> m_crashes;
    /// Workers on which tasks of a step may run, by occurrence and step. A task is started only on a worker that the
    /// stored record names, so that a successor knows which tasks an unreachable worker may be running.
    std::map<StepIndex, std::set<WorkerId>> m_places;
    /// Further tasks that have succeeded, of jobs with many finished steps. Earlier versions cannot read these.
    std::vector<FinishedRange> m_finished {};

    friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

std::string encodeProgress(const JobProgress&);
/// Everything but the state, in pieces that may be stored apart. Joined by blanks, some of them are a valid text.
std::vector<std::string> encodeEntries(const JobProgress&);
/// Fails with InvalidRequest when the text was not written by encodeProgress.
Result<JobProgress> decodeProgress(std::string_view);

} // namespace sapphiredale::jobs
