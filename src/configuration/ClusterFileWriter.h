// Writes the canonical JSON of the operators' file.
#pragma once

#include "model/ClusterFile.h"

#include <string>

namespace sapphiredale::configuration {

/// Canonical text of a file: every member in a fixed order, one list element per line, ending in a line feed. Workers
/// that follow a pattern are written as worker groups, which keeps the text of a cell of 800 workers below 10 KB.
/// parseClusterFile(writeClusterFile(file)) equals file for every file that parseClusterFile returned.
std::string writeClusterFile(const ClusterFile&);

} // namespace sapphiredale::configuration
