// The tasks of a step. A step may have ten thousand tasks that wait for workers and differ in nothing, so that tasks
// share one state until one of them in the same block gets a state of its own.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace sapphiredale::jobs {

/// See the head of the file. References to states are valid as long as the list is.
template <typename State> class TaskList {
public:
    TaskList() = default;
    /// A list of `size` tasks in the same state.
    TaskList(std::size_t size, State common)
        : m_size(size)
        , m_common(std::move(common))
        , m_blocks((size + blockSize - 1) / blockSize)
    {
    }

    std::size_t size() const { return m_size; }
    const State& operator[](std::size_t task) const
    {
        const std::vector<State>& block = m_blocks[task / blockSize];
        return block.empty() ? m_common : block[task % blockSize];
    }
    /// The state of the task, to be changed.
    State& own(std::size_t task)
    {
        const std::size_t first = task / blockSize * blockSize;
        std::vector<State>& block = m_blocks[task / blockSize];
        if (block.empty())
            block.assign(std::min(blockSize, m_size - first), m_common);
        return block[task - first];
    }

    /// Calls the function with each state and the number of tasks that have it.
    template <typename Function> void visit(Function function) { visitStates(*this, function); }
    template <typename Function> void visit(Function function) const { visitStates(*this, function); }
    /// Whether the predicate holds for a task.
    template <typename Predicate> bool anyOf(Predicate predicate) const
    {
        bool holds = false;
        visit([&](const State& state, std::size_t) { holds = holds || predicate(state); });
        return holds;
    }
    /// Number of states in memory.
    std::size_t stateCount() const
    {
        std::size_t count = 0;
        visit([&count](const State&, std::size_t) { ++count; });
        return count;
    }

private:
    static constexpr std::size_t blockSize = 64;

    template <typename List, typename Function> static void visitStates(List& list, Function& function)
    {
        std::size_t common = list.m_size;
        for (auto& block : list.m_blocks) {
            common -= block.size();
            for (auto& state : block)
                function(state, std::size_t { 1 });
        }
        if (common > 0)
            function(list.m_common, common);
    }

    std::size_t m_size = 0;
    /// State of the tasks of empty blocks.
    State m_common;
    /// Empty blocks, and blocks of all their tasks.
    std::vector<std::vector<State>> m_blocks;
};

} // namespace sapphiredale::jobs
