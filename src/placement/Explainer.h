// Explanations of what a task does or waits for.
#pragma once

#include "placement/CellState.h"

namespace sapphiredale::placement {

/// Explains the state of tasks from the records.
class Explainer {
public:
    explicit Explainer(const CellState& state)
        : m_state(state)
    {
    }

    Explanation explain(const TaskId&) const;

private:
    void explainActive(const Task&, Explanation&) const;
    void explainWaiting(const Task&, Explanation&) const;
    void explainQueued(const Task&, Explanation&) const;
    void explainBlocked(const Task&, const Workload&, Explanation&) const;
    void explainClosed(const Task&, Explanation&) const;

    const CellState& m_state;
};

} // namespace sapphiredale::placement
