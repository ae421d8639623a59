// Fold of the domain's stream: jobs that were accepted, which of their tasks have ended, and jobs that have ended.
// Every daemon of the domain folds the stream, so that a new scheduler starts from it.
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
    /// Ended jobs that are remembered, so that a repeated record of one does not run it again.
    std::size_t m_mostEndedJobs = 20000;
};

/// A job that has not ended.
struct OpenJob {
    placement::JobRequest m_request;
    /// Last final state of each task that ended at least once, by task.
    std::map<TaskId, TaskEnded> m_ends;
    /// When its record was last read or appended; a record is written again before the retention removes it.
    TimePoint m_recordedAt {};
};

/// Jobs of the domain as the stream has them.
class JobLedger {
public:
    explicit JobLedger(const JobLedgerSettings& settings = {})
        : m_settings(settings)
    {
    }

    /// Folds one record. False when it repeats something that is known.
    bool fold(const StreamRecord&, TimePoint now);

    const std::map<JobId, OpenJob>& openJobs() const { return m_open; }
    const OpenJob* openJob(const JobId&) const;
    /// Outcome of a job that has ended, or nullptr.
    const JobEnded* endedJob(const JobId&) const;
    /// True when the end of this attempt, or of a later one, is recorded.
    bool hasEnd(const TaskAttempt&) const;
    /// Remembers the end of a job that has no records in the stream (durability "memory"), so that its state can be
    /// asked for and a repeated submission does not run it again.
    void noteEnded(const JobEnded& end) { foldBody(end, {}); }
    /// Notes that the records of an open job were written again.
    void refreshed(const JobId&, TimePoint now);
    std::size_t endedJobs() const { return m_ended.size(); }

private:
    bool foldBody(const JobAccepted&, TimePoint now);
    bool foldBody(const JobEnded&, TimePoint now);
    bool foldBody(const TaskEnded&, TimePoint now);
    bool foldBody(const HomeReleased&, TimePoint) { return true; }
    bool foldBody(const HomeTaken&, TimePoint) { return true; }
    bool foldBody(const DomainPresent&, TimePoint) { return true; }

    JobLedgerSettings m_settings;
    std::map<JobId, OpenJob> m_open;
    std::map<JobId, JobEnded> m_ended;
    std::deque<JobId> m_endedOrder;
    /// Ends of tasks that belong to no open job (instances, jobs without a record): last attempt, bounded.
    std::map<TaskId, std::uint32_t> m_otherEnds;
    std::deque<TaskId> m_otherEndsOrder;
};

} // namespace sapphiredale::ownership
