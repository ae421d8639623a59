// Waiting steps in the order in which they get workers and the adviser's time.
//
// Answers demand above the capacity of the cell for seconds: then the order decides which jobs are late. Steps that can
// still meet the objective of their job go first, then those whose late result is worth something, then the rest;
// within these by priority and objective. Jobs within the share of their team go before those beyond it, as long as
// their results are worth something, so that a team which sends too much does not delay the others. A step moves only
// when one of its own two times passes, so that thousands of waiting steps cost nothing while nothing changes for them.
#pragma once

#include "model/Time.h"

#include <compare>
#include <cstdint>
#include <set>
#include <utility>

namespace sapphiredale::jobs {

struct Step;

/// Sort key of a waiting step; smaller ranks go first.
struct StepRank {
    /// 0 for steps whose result is worth something and whose job is within the share of its team, 1 for those beyond
    /// it, 2 for the rest.
    std::uint32_t m_group = 0;
    /// In group 1, how far beyond its share the team was when the job was accepted.
    std::uint32_t m_excessLevel = 0;
    /// 0 while the objective can be met, 1 while a late result is worth something, 2 afterwards.
    int m_lateness = 0;
    std::uint32_t m_priority = 0;
    TimePoint m_deadline {};
    /// Order of acceptance of the jobs, and the position of the step in its job.
    std::uint64_t m_jobNumber = 0;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;

    friend bool operator==(const StepRank&, const StepRank&) = default;
    friend auto operator<=>(const StepRank&, const StepRank&) = default;
};

/// See the head of the file. Holds pointers to steps; a step is erased before it is destroyed.
class StepQueue {
public:
    using Entry = std::pair<StepRank, Step*>;
    using Iterator = std::set<Entry>::const_iterator;

    /// Inserts a step that is not in the queue.
    void insert(Step&, TimePoint now);
    void erase(Step&);
    /// Erases the step at the iterator and returns the next one.
    Iterator erase(Iterator);
    /// Moves a step in the queue after a change of the mark of its job.
    void refresh(Step&, TimePoint now);
    /// Moves the steps whose lateness has changed.
    void update(TimePoint now);

    /// The first step whose rank is not before the given one.
    Iterator from(const StepRank& rank) const { return m_entries.lower_bound({ rank, nullptr }); }
    Iterator begin() const { return m_entries.begin(); }
    Iterator end() const { return m_entries.end(); }
    std::size_t size() const { return m_entries.size(); }

private:
    void eraseLatenessChange(Step&);

    std::set<Entry> m_entries;
    /// Times at which the lateness of a step changes, with the rank that finds it.
    std::set<std::pair<TimePoint, Entry>> m_latenessChanges;
};

} // namespace sapphiredale::jobs
