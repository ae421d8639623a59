// Fuzz target for the reader of the operators' file. Build and run it with scripts/fuzz-inputs.

#include "configuration/ClusterFileDifference.h"
#include "configuration/ClusterFileReader.h"
#include "configuration/ClusterFileWriter.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace sapphiredale;

namespace {

void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace

// The name is given by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const configuration::ParseResult result = configuration::parseClusterFile(text);
    if (const auto* errors = std::get_if<std::vector<configuration::FileError>>(&result)) {
        require(!errors->empty() && errors->size() <= configuration::FileLimits().m_errors + 1);
        return 0;
    }
    // The canonical text of a valid file means the same and is a fixed point.
    const auto& file = std::get<ClusterFile>(result);
    const std::string canonical = configuration::writeClusterFile(file);
    const configuration::ParseResult again = configuration::parseClusterFile(canonical);
    const auto* copy = std::get_if<ClusterFile>(&again);
    require(copy && *copy == file && configuration::writeClusterFile(*copy) == canonical);
    require(configuration::differenceOf(file, *copy).empty());
    return 0;
}
