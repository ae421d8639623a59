// Fuzz target for records of the configuration stream and states of peers. Build and run it with scripts/fuzz-inputs.

#include "configuration/ConfigurationFold.h"
#include "configuration/ConfigurationRecord.h"

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
    const auto record = configuration::decodeRecord(text);
    if (const auto* decoded = std::get_if<configuration::ConfigurationRecord>(&record)) {
        const auto again = configuration::decodeRecord(configuration::encodeRecord(*decoded));
        require(std::holds_alternative<configuration::ConfigurationRecord>(again)
            && std::get<configuration::ConfigurationRecord>(again) == *decoded);
    }
    // A reader from the start, one in the middle, and one that gets the text from a peer.
    configuration::ConfigurationFold fold;
    fold.apply(text, 0, {});
    configuration::ConfigurationFold late;
    late.expireBefore(5);
    late.apply(text, 5, {});
    require(fold.nextOffset() == 1 && late.nextOffset() == 6);
    const auto state = configuration::decodeState(text);
    if (const auto* decoded = std::get_if<configuration::ConfigurationState>(&state)) {
        const std::uint64_t before = fold.version();
        fold.adopt(*decoded);
        require(fold.version() >= before);
    }
    return 0;
}
