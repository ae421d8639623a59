// What a domain scheduler does not know at the start of its ownership term: the tasks of workers that have not
// reported. A task that may run on such a worker is held back until the worker reports or its end is proven
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
    /// The worker reported all its tasks, or its end is proven. True when it was unaccounted for.
    bool account(const WorkerId&);
    /// The state of the task is known: it was reported, or this scheduler started it.
    void locate(const TaskId&);

    const std::set<WorkerId>& unaccounted() const { return m_unaccounted; }
    bool isLocated(const TaskId&) const;
    /// True when the task cannot run on a worker that is unaccounted for. policy may be null for an unknown class.
    bool mayStart(const TaskId&, const ClassPolicy* policy, TimePoint now) const;
    /// Instant at which every task of this class that an unaccounted worker may have has stopped by itself.
    TimePoint lapseEnd(const ClassPolicy&) const;
    TimePoint startedAt() const { return m_startedAt; }

private:
    TermGuardSettings m_settings;
    TimePoint m_startedAt {};
    std::set<WorkerId> m_unaccounted;
    std::unordered_set<TaskId> m_located;
};

} // namespace sapphiredale::ownership
