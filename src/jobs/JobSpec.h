// Specification of a job: dependent steps, each consisting of equal tasks; and the policy of its queue.
#pragma once

#include "model/Identifier.h"
#include "model/Resources.h"
#include "model/Result.h"
#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::jobs {

/// One step: m_count equal tasks that may start once all tasks of the steps in m_dependsOn have succeeded.
struct StepSpec {
    std::uint32_t m_count = 1;
    Resources m_need;
    /// Declared run time of a task; often far off.
    Duration m_estimate {};
    std::vector<std::uint32_t> m_dependsOn;
    bool m_savesCheckpoints = false;
    /// The tasks make progress only while all of them run; they share one run number and end together.
    bool m_isGang = false;
    /// The tasks are slower when they run on more than one rack.
    bool m_isRackLocal = false;
    /// Copies of a task may run at the same time; the first result counts.
    bool m_allowsCopies = false;
    /// The tasks run until the job is cancelled and are started again however they end.
    bool m_isLongRunning = false;
    /// The tasks use processor time that others leave unused; m_need.m_cpuMillis is not reserved.
    bool m_isFilling = false;
    /// Label that a worker must have; empty for any.
    std::string m_requiredLabel;
    /// Rack on which the data lies; empty for none.
    std::string m_dataRack;
    /// Most tasks of the step on one worker; zero for no limit.
    std::uint32_t m_maxPerWorker = 0;
    std::string m_image;
    /// Target response time of a serving task; zero for a task that serves no requests.
    Duration m_responseTarget {};
    /// Maximum number of tasks of a long-running step that may be stopped at once by orders of the scheduler.
    std::uint32_t m_maxAway = 0;

    /// What a task reserves on a worker.
    Resources reserved() const
    {
        return { m_isFilling ? 0 : m_need.m_cpuMillis, m_need.m_memoryMiB, m_need.m_accelerators };
    }
    bool isServing() const { return m_responseTarget.count() > 0; }

    friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

/// A job as submitted.
struct JobSpec {
    /// Opaque text that is passed to every task.
    std::string m_payload;
    std::vector<StepSpec> m_steps;
    /// Number of times that the steps run; zero means once, immediately.
    std::uint32_t m_occurrences = 0;
    /// Due time of occurrence 0 and the time between two occurrences, in milliseconds (since 1970 for the former).
    std::int64_t m_firstDueMs = 0;
    std::int64_t m_intervalMs = 0;

    /// Whether the occurrences are due at certain times; otherwise the job has one that is due at once.
    bool hasDueTimes() const { return m_occurrences > 0; }
    std::uint32_t occurrenceCount() const { return m_occurrences == 0 ? 1 : m_occurrences; }

    friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// Cost and lifetime of the tickets of a placement adviser.
struct AdvicePolicy {
    Duration m_base {};
    Duration m_perWorker {};
    Duration m_validity {};

    friend bool operator==(const AdvicePolicy&, const AdvicePolicy&) = default;
};

/// Policy of a queue as the configuration in force declares it.
struct QueuePolicy {
    std::string m_queue;
    /// Service whose workers run the tasks.
    std::string m_service;
    /// 0 is the most urgent.
    std::uint32_t m_priority = 0;
    /// Failed runs of a task after which its job fails.
    std::uint32_t m_maxAttempts = 1;
    /// Factor that is applied to the length of the critical path to get the objective of a job, and the time added to
    /// it.
    double m_slackFactor = 1.0;
    Duration m_latencyTarget {};
    std::optional<AdvicePolicy> m_advice;

    friend bool operator==(const QueuePolicy&, const QueuePolicy&) = default;
};

/// A job as it is stored when it is accepted.
struct JobRecord {
    JobId m_job;
    QueuePolicy m_policy;
    JobSpec m_spec;
    /// Wall-clock time of the acceptance in milliseconds since 1970.
    std::int64_t m_acceptedMs = 0;
    /// Team that submitted the job, and its limit at that time; empty for a job without a team.
    TeamId m_team;
    Resources m_teamLimit;

    friend bool operator==(const JobRecord&, const JobRecord&) = default;
};

/// Bounds of a submission.
inline constexpr std::size_t maxPayloadBytes = 4000; // the callers' interface allows no more
inline constexpr std::size_t maxSteps = 256; // bounds the memory of one job; callers use up to 5
inline constexpr std::uint32_t maxTasksPerStep = 10000; // bounds the memory of one job; callers use up to 52
/// Bounds the tasks of one job with all its occurrences, of which few are held in memory; see Occurrences.cpp.
inline constexpr std::uint64_t maxTasksPerJob = 100000;
/// Longer estimates would overflow objectives, which are multiples of the sum of all steps.
inline constexpr Duration maxEstimate = std::chrono::hours(24 * 100);
/// Latest due time (in the year 33658) and longest interval of occurrences, so that their sums do not overflow.
inline constexpr std::int64_t maxFirstDueMs = 1'000'000'000'000'000;
inline constexpr std::int64_t maxOccurrenceIntervalMs = 1'000'000'000'000;
/// Greatest need of a task in each resource.
inline constexpr std::int64_t maxNeed = 1'000'000'000'000;

/// Fails with InvalidRequest, naming the first invalid element.
Result<Unit> validate(const JobSpec&);

/// Stored form of a record, and its inverse. Decoding fails with InvalidRequest.
std::string encodeJobRecord(const JobRecord&);
Result<JobRecord> decodeJobRecord(const JobId&, std::string_view);

/// Fails with QuotaExceeded if a task or a gang needs more than the limit, of which an amount of zero is none. Such
/// work can never run.
Result<Unit> checkLimit(const JobSpec&, const Resources& limit);

/// Who cancels a job.
struct Canceller {
    /// Whether the call was examined for a key. Otherwise it may cancel every job.
    bool m_isExamined = false;
    /// Empty for a call without a team.
    TeamId m_team;

    bool mayCancel(const TeamId& teamOfJob) const { return !m_isExamined || teamOfJob.empty() || m_team == teamOfJob; }

    friend bool operator==(const Canceller&, const Canceller&) = default;
};

/// Stored form of a cancellation, and its inverse. A record of an unknown form may cancel only jobs without a team.
std::string encodeCancellation(const Canceller&);
Canceller decodeCancellation(std::string_view);

/// For each step, the length of the longest path from it to the end of the job, including the step itself.
std::vector<Duration> criticalPaths(const JobSpec&);
/// Length of the critical path of a job.
Duration criticalPathLength(const JobSpec&);

} // namespace sapphiredale::jobs
