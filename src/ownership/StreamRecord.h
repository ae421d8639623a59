// Records of a failure domain's stream as typed values. StreamRecordCodec serializes and parses them. Every reader
// ignores a record that repeats what it has already read, so an append may be repeated after an unknown outcome.
#pragma once

#include "model/Identifier.h"
#include "model/TaskReport.h"
#include "placement/Cell.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sapphiredale::ownership {

/// A job was accepted; it runs until a JobEnded record of the same job.
struct JobAccepted {
    placement::JobRequest m_request;

    friend bool operator==(const JobAccepted&, const JobAccepted&) = default;
};

/// How a job ended.
enum class JobOutcome : std::uint8_t { Finished, Failed, Cancelled };

/// A job ended; it is never run again.
struct JobEnded {
    JobId m_job;
    JobOutcome m_outcome = JobOutcome::Finished;
    std::string m_detail;

    friend bool operator==(const JobEnded&, const JobEnded&) = default;
};

/// A worker reported the final state of one attempt of a task.
struct TaskEnded {
    TaskId m_task;
    std::uint32_t m_attempt = 1;
    TaskState m_state = TaskState::Ended;
    WorkerId m_worker;

    friend bool operator==(const TaskEnded&, const TaskEnded&) = default;
};

/// The old home of a service instance no longer runs it; the new home of that move may start it.
struct HomeReleased {
    TaskId m_task;
    /// Configuration version that moved the instance; zero when the release ends a takeover.
    std::uint64_t m_version = 0;
    /// Number of the takeover that ends; zero for a move by the file.
    std::uint64_t m_takeover = 0;

    friend bool operator==(const HomeReleased&, const HomeReleased&) = default;
};

/// Another domain takes over an instance whose home domain is lost (onDomainLoss "moveAfterLoss"). The record is
/// written to the stream of the home, where log order decides between several takers and the home itself: it is void if
/// a DomainPresent record lies between m_lastPresence and it. The home starts the instance again only after a
/// HomeReleased record with the same takeover number in its stream.
struct HomeTaken {
    TaskId m_task;
    FailureDomainId m_taker;
    /// Counts the takeovers of the instance, from 1.
    std::uint64_t m_takeover = 1;
    /// Last DomainPresent record that the taker has read in the stream; empty for none.
    RecordId m_lastPresence;

    friend bool operator==(const HomeTaken&, const HomeTaken&) = default;
};

/// The scheduler of the domain reached the log; other domains read it before they apply the loss rule.
struct DomainPresent {
    std::uint64_t m_epoch = 0;

    friend bool operator==(const DomainPresent&, const DomainPresent&) = default;
};

using StreamRecordBody = std::variant<JobAccepted, JobEnded, TaskEnded, HomeReleased, HomeTaken, DomainPresent>;

/// One record with the identifier that its author chose.
struct StreamRecord {
    RecordId m_id;
    StreamRecordBody m_body;

    friend bool operator==(const StreamRecord&, const StreamRecord&) = default;
};

} // namespace sapphiredale::ownership
