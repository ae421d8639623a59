// History of the requests that minions executed, for checks of exactly what ran.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"
#include "standin/Violations.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

namespace sapphiredale::standin {

/// One execution of a request by a minion.
struct Execution {
    /// Position in the history, from 1.
    std::uint64_t m_sequence = 0;
    RequestId m_request;
    std::string m_idempotencyKey;
    TaskId m_minion;
    std::uint64_t m_epoch = 0;
    WallTime m_start;
    /// Epoch of the clock while the request runs.
    WallTime m_end;
    /// Empty while the request runs, then "answered", "cut", "abandoned" (the connection closed first) or "lost".
    std::string m_outcome;
};

/// Thread-safe history of bounded length; detects a second execution under one idempotency key of a workload.
class Executions {
public:
    Executions(std::size_t retained, Violations&);

    /// Records the start; the result is the sequence number for end().
    std::uint64_t begin(Execution);
    void end(std::uint64_t sequence, const std::string& outcome);
    /// Executions after a sequence number, oldest first, at most `limit`.
    std::vector<Execution> after(std::uint64_t sequence, std::size_t limit) const;
    void clear();

private:
    const std::size_t m_retained;
    Violations& m_violations;
    mutable std::mutex m_mutex;
    std::deque<Execution> m_history;
    std::uint64_t m_next = 1;
    std::unordered_set<std::string> m_keys;
};

} // namespace sapphiredale::standin
