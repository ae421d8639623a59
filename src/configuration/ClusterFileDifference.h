// Readable list of the changes between two operators' files.
#pragma once

#include "model/ClusterFile.h"

#include <cstddef>
#include <string>
#include <vector>

namespace sapphiredale::configuration {

/// One line per change, by path: "workloads[returns-desk].instances: 40 -> 50", "workers[w-7]: added (...)",
/// "teams[a]: removed". List elements are matched by name. At most maxLines lines; the last one then says how many more
/// there are.
std::vector<std::string> differenceOf(const ClusterFile& before, const ClusterFile& after, std::size_t maxLines = 1000);

} // namespace sapphiredale::configuration
