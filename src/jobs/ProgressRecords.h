// Records in which the progress of jobs is stored. The store limits the length of a record, and the progress of a job
// has no limit: a job may have thousands of tasks on each of hundreds of workers.
//
// The progress of a job is one record under its ID as long as it is short. Beyond that the record keeps only the state
// of the job, and each step has records of its own, so that a change stores only the steps that it concerns, beside
// records of the ranges of occurrences in which a step is finished. Nothing returns to the first form in a term. A
// reader takes the union of all records of a job: entries never contradict each other and stay in their record, so that
// any prefix of the records of a change, and the record of the first form beside them, is valid.
#pragma once

#include "jobs/JobProgress.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::jobs {

/// A record of a keyed topic; none as the value removes the key.
using KeyValue = std::pair<std::string, std::optional<std::string>>;

/// Follows the ID of the job in the keys of the records of its steps. No job ID contains it.
inline constexpr char progressPartMark = '+';

/// The job that a key of a progress record belongs to.
JobId jobOfProgressKey(const std::string& key);

/// Adds the entries of another record of the same job. The state is that of the greater one, as states only advance.
void mergeProgress(JobProgress& into, const JobProgress& other);

/// See the head of the file. Free of I/O; expects that the records are stored in the order in which they are returned.
class ProgressRecords {
public:
    /// `maxBytes` is the maximum length of a value.
    explicit ProgressRecords(std::size_t maxBytes);

    /// Notes a record of a step of the job that is in the store.
    void noteStored(const std::string& key, const std::string& text);
    /// Appends the records that change the stored progress of the job into this one.
    void appendChanges(const JobId&, const JobProgress&, std::vector<KeyValue>& records);
    /// Appends the removal of all records of the job.
    void appendRemoval(const JobId&, std::vector<KeyValue>& records);
    /// Forgets what is stored: the records go to another partition.
    void clear() { m_divided.clear(); }

private:
    /// Values by key, in the order in which they are stored.
    using Texts = std::vector<std::pair<std::string, std::string>>;

    static Texts textsOfSteps(const JobId&, const JobProgress&);

    const std::size_t m_maxBytes;
    /// Hashes of the stored texts by key, for jobs whose progress is divided by steps.
    std::map<JobId, std::map<std::string, std::size_t>> m_divided;
};

} // namespace sapphiredale::jobs
