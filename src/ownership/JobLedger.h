// State of the domain's jobs, rebuilt by replaying its stream: accepted jobs, which of their tasks have ended, and
// ended jobs. Every daemon of the domain replays the stream, so that a new scheduler can start from this state.
#pragma once

#include "model/Time.h"
#include "ownership/OwnershipActions.h"
#include "ownership/StreamRecord.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sapphiredale::ownership {

/// Settings of a JobLedger.
struct JobLedgerSettings {
    /// Maximum number of ended jobs that are remembered, so that a repeated record does not run a job again. The same
    /// limit holds for ends of tasks without an open job.
    std::size_t m_maxEndedJobs = 20000;
};

/// A job that has not ended.
struct OpenJob {
    placement::JobRequest m_request;
    /// Last final state of each task that ended at least once, by task.
    std::map<TaskId, TaskEnded> m_ends;
    /// When its record was last read or appended; a record is written again before the retention removes it.
    TimePoint m_recordedAt {};
};

/// Jobs of the domain according to its stream.
class JobLedger {
public:
    explicit JobLedger(const JobLedgerSettings& settings = {})
        : m_settings(settings)
    {
    }

    /// Applies one record. Returns false if it repeats what is already known.
    bool apply(const StreamRecord&, TimePoint now);

    const std::map<JobId, OpenJob>& openJobs() const { return m_open; }
    const OpenJob* openJob(const JobId&) const;
    /// Outcome of a job that has ended, or nullptr.
    const JobEnded* endedJob(const JobId&) const;
    /// True when the end of this attempt, or of a later one, is recorded.
    bool hasEnd(const TaskAttempt&) const;
    /// Remembers the end of a job that has no records in the stream (durability "memory"), so that its state can be
    /// asked for and a repeated submission does not run it again.
    void recordEnded(const JobEnded& end) { applyBody(end, {}); }
    /// Restarts the age of an open job's records after they were written again.
    void markRewritten(const JobId&, TimePoint now);
    std::size_t endedJobs() const { return m_ended.size(); }

private:
    bool applyBody(const JobAccepted&, TimePoint now);
    bool applyBody(const JobEnded&, TimePoint now);
    bool applyBody(const TaskEnded&, TimePoint now);
    bool applyBody(const HomeReleased&, TimePoint) { return true; }
    bool applyBody(const HomeTaken&, TimePoint) { return true; }
    bool applyBody(const DomainPresent&, TimePoint) { return true; }

    JobLedgerSettings m_settings;
    std::map<JobId, OpenJob> m_open;
    std::map<JobId, JobEnded> m_ended;
    std::deque<JobId> m_endedOrder;
    /// Ends of tasks that belong to no open job (instances, jobs without a record): last attempt, bounded.
    std::map<TaskId, std::uint32_t> m_otherEnds;
    std::deque<TaskId> m_otherEndsOrder;
};

} // namespace sapphiredale::ownership
