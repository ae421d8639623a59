// Compact form of workers that follow a pattern ("workerGroups" in the operators' file).
#pragma once

#include "model/ClusterFile.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::configuration {

/// Greatest number of the first worker of a group; with the bound on the count no number overflows.
inline constexpr std::uint32_t maxGroupFirst = 1'000'000'000;

/// Workers with consecutive numbers in racks of equal size. Rack names are the prefix, "rack-" and the number of the
/// first worker of the rack.
struct WorkerGroup {
    std::string m_namePrefix;
    /// Number of the first worker.
    std::uint32_t m_first = 1;
    std::uint32_t m_count = 0;
    /// Workers in a rack; the last rack may have fewer.
    std::uint32_t m_perRack = 1;
    FailureDomainId m_failureDomain;
    Resources m_capacity;
    /// Address in which {number} stands for the number of the worker.
    std::string m_addressTemplate;

    friend bool operator==(const WorkerGroup&, const WorkerGroup&) = default;
};

/// The worker at an index of the group, from 0.
WorkerSpec workerAt(const WorkerGroup&, std::uint32_t index);

/// Order of workers in a file: by name, with a number at the end of a name in numeric order.
bool workerNameLess(std::string_view a, std::string_view b);

/// The longest group that describes the first workers of a sorted list exactly, or nothing when it would hold fewer
/// than two workers.
std::optional<WorkerGroup> leadingGroup(std::span<const WorkerSpec>);

} // namespace sapphiredale::configuration
