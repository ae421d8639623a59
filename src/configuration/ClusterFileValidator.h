// Validation of an operators' file after its members were read.
#pragma once

#include "configuration/FileErrorList.h"
#include "model/ClusterFile.h"

#include <string>
#include <vector>

namespace sapphiredale::configuration {

/// A file in the order of its text, with the places of its workers, which come from two lists.
struct DeclaredFile {
    ClusterFile m_file;
    /// JSON path of each worker of m_file.
    std::vector<std::string> m_workerPaths;
};

/// Adds the faults of names, references, quotas and sizes. Faults that only follow from members that could not be read
/// are left out.
void validateClusterFile(const DeclaredFile&, const FileLimits&, FileErrorList&);

} // namespace sapphiredale::configuration
