// Reads the operators' file: JSON with comments and trailing commas to the value types of model/ClusterFile.h. The file
// is validated as a whole and all faults are reported at once.
#pragma once

#include "model/ClusterFile.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphiredale::configuration {

/// Newest format of the operators' file that this version reads. A validation rule belongs to its format number: a
/// changed rule needs a new number, because all daemons must accept the same files.
inline constexpr std::uint32_t supportedFileFormat = 1;

/// One fault of a file.
struct FileError {
    /// JSON path of the faulty member, for example "workloads[2].resources.cpus"; empty for the whole text.
    std::string m_path;
    /// What is wrong, with the value that was found.
    std::string m_problem;
    /// What would be accepted.
    std::string m_accepted;

    friend bool operator==(const FileError&, const FileError&) = default;
};

/// Bounds of a file. They are checked before memory in proportion to them is allocated.
struct FileLimits {
    /// Bytes of the text, comments included.
    std::size_t m_bytes = 1U << 20U;
    /// Nesting of objects and arrays.
    std::size_t m_depth = 16;
    std::size_t m_failureDomains = 64;
    std::size_t m_workers = 4096;
    std::size_t m_teams = 256;
    std::size_t m_classes = 64;
    std::size_t m_workloads = 1024;
    /// Instances of one service.
    std::uint32_t m_instances = 100000;
    /// Bytes of a name.
    std::size_t m_nameBytes = 63;
    /// Bytes of a program or an address.
    std::size_t m_textBytes = 1024;
    /// Faults reported; the last one says how many more there are.
    std::size_t m_errors = 100;
};

using ParseResult = std::variant<ClusterFile, std::vector<FileError>>;

/// Reads and validates a file. The lists of the result are sorted: workers by name with numbers in numeric order,
/// everything else by name, so that the order in the text has no meaning.
ParseResult parseClusterFile(std::string_view text, const FileLimits& = {});

} // namespace sapphiredale::configuration
