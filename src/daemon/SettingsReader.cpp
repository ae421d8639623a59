// Parsing of a settings document.

#include "daemon/SettingsReader.h"

#include "configuration/JsonStructure.h"

namespace sapphiredale::daemon {

namespace {

    // Bounds of a settings file, far above what its sections need.
    constexpr std::size_t maxDepth = 8;
    constexpr std::size_t maxValues = 10000;
    constexpr std::size_t maxFaults = 100;

} // namespace

std::vector<SettingsFault> readDocument(std::string_view text, const std::function<void(SectionReader&)>& read)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::system::error_code error;
    json::stream_parser parser({}, options);
    const std::size_t consumed = parser.write(text.data(), text.size(), error);
    if (!error)
        parser.finish(error);
    if (error) {
        const auto line = 1
            + std::count(
                text.begin(), text.begin() + static_cast<std::ptrdiff_t>(std::min(consumed, text.size())), '\n');
        return { { "/", "is not valid JSON near line " + std::to_string(line) + ": " + error.message() } };
    }
    const json::value root = parser.release();
    if (!root.is_object())
        return { { "/", "must be an object" } };
    std::vector<SettingsFault> faults;
    // The JSON library would silently keep the last of two members with one name.
    configuration::FileErrorList structure(maxFaults);
    if (configuration::checkJsonStructure(text, maxDepth, maxValues, structure)) {
        for (const configuration::FileError& fault : structure.take())
            faults.push_back({ fault.m_path, fault.m_problem });
    }
    SectionReader reader(root.get_object(), "", faults);
    read(reader);
    reader.finish();
    return faults;
}

} // namespace sapphiredale::daemon
