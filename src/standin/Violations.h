// Record of broken invariants, as the platform sees them.
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sapphiredale::standin {

/// One broken invariant.
struct Violation {
    /// "capacity-exceeded", "task-running-twice", "slots-exceeded", "connections-exceeded" or "request-run-twice".
    std::string m_kind;
    std::string m_detail;
    WallTime m_time;
};

/// Thread-safe list of violations. The newest are dropped beyond a bound; the counts stay exact.
class Violations {
public:
    void add(const std::string& kind, const std::string& detail);
    std::vector<Violation> list() const;
    std::map<std::string, std::uint64_t> counts() const;
    void clear();

private:
    mutable std::mutex m_mutex;
    std::vector<Violation> m_list;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace sapphiredale::standin
