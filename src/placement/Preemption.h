// Selects running tasks to preempt for a waiting task.
#pragma once

#include "placement/TaskLifecycle.h"

#include <optional>
#include <vector>

namespace sapphiredale::placement {

/// Tasks to end on one worker so that a need fits there.
struct PreemptionPlan {
    WorkerIndex m_worker = noIndex;
    std::vector<TaskIndex> m_victims;
    double m_cost = 0;
};

/// Finds the cheapest victims among a bounded sample of the workers on which preemption can make room.
class Preemption {
public:
    Preemption(CellState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    /// Which running tasks a waiting task may preempt.
    struct Rights {
        /// Any preemptible work that is not urgent, whatever its priority.
        bool m_urgent = false;
        /// Borrowed shares of other teams, whatever their priority.
        bool m_reclaims = false;
        /// Only work of the own team, because its limit is what binds.
        bool m_ownTeamOnly = false;
        std::int32_t m_priority = 0;
        TeamIndex m_team = noIndex;
    };
    Rights rightsOf(const Task&, const Resources& need) const;

    std::optional<PreemptionPlan> plan(const Task&, const Resources& need, const Rights&);
    /// Asks the workers to checkpoint the victims.
    void execute(const PreemptionPlan&, const Task& beneficiary, const Rights&, TimePoint now);

private:
    static constexpr unsigned maxExaminedWorkers = 48;
    static constexpr unsigned workersPerBucket = 4;

    struct Victim {
        TaskIndex m_task;
        double m_cost;
    };

    bool mayPreempt(const Task& victim, const Rights&) const;
    double costOf(const Task& victim, const Rights&) const;
    std::optional<PreemptionPlan> planOn(WorkerIndex, const Resources& need, const Rights&);

    CellState& m_state;
    TaskLifecycle& m_lifecycle;
    std::vector<std::uint32_t> m_buckets;
    std::vector<Victim> m_candidates;
    std::uint32_t m_cursor = 0;
};

} // namespace sapphiredale::placement
