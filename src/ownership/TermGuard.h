// Tracks the workers that have not reported since the start of an ownership term, whose tasks the new scheduler does
// not know. A task that may run on such a worker is held back until the worker reports or its end is proven
// (design 2.5).
#pragma once

#include "model/ClusterFile.h"
#include "model/Time.h"

#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

namespace sapphiredale::ownership {

/// Settings of a TermGuard.
struct TermGuardSettings {
    /// Lease length and clock margin: longest time for which a former scheduler can have renewed an unreachable worker.
    Duration m_leaseEnd = std::chrono::milliseconds(20500);
};

/// Tasks and workers whose state is unknown in the present term.
class TermGuard {
public:
    explicit TermGuard(const TermGuardSettings& settings = {})
        : m_settings(settings)
    {
    }

    /// Starts a term in which none of the workers has reported.
    void startTerm(const std::vector<WorkerId>& workers, TimePoint now);
    /// Marks a worker as accounted for: it reported all its tasks, or its end is proven. Returns whether this is new.
    bool account(const WorkerId&);
    /// Marks the state of a task as known: it was reported, or this scheduler started it.
    void locate(const TaskId&);

    const std::set<WorkerId>& unaccounted() const { return m_unaccounted; }
    bool isLocated(const TaskId&) const;
    /// Whether the task cannot be running on a worker that is unaccounted for. policy may be null for an unknown class.
    bool mayStart(const TaskId&, const ClassPolicy* policy, TimePoint now) const;
    /// Time by which every task of this class on an unaccounted worker has stopped by itself.
    TimePoint lapseEnd(const ClassPolicy&) const;
    TimePoint startedAt() const { return m_startedAt; }

private:
    TermGuardSettings m_settings;
    TimePoint m_startedAt {};
    std::set<WorkerId> m_unaccounted;
    std::unordered_set<TaskId> m_located;
};

} // namespace sapphiredale::ownership
