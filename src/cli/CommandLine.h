// Arguments of sapphirectl.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphiredale::cli {

/// One call of sapphirectl.
struct Invocation {
    std::string m_command;
    /// FILE, TASK or RECORD of the command; empty for commands without an argument.
    std::string m_argument;
    std::string m_host;
    std::string m_port;
    bool m_json = false;
    std::uint32_t m_timeoutSeconds = 0;
    std::optional<std::uint64_t> m_ifMatch;
    std::string m_author;

    friend bool operator==(const Invocation&, const Invocation&) = default;
};

/// The help text was asked for.
struct HelpRequest {
    friend bool operator==(const HelpRequest&, const HelpRequest&) = default;
};

/// Why the arguments are not valid.
struct UsageError {
    std::string m_detail;
    friend bool operator==(const UsageError&, const UsageError&) = default;
};

/// Reads the arguments, the program's name excluded. Flags may stand before and after the command.
std::variant<Invocation, HelpRequest, UsageError> parseCommandLine(const std::vector<std::string>& arguments);

/// The help text.
std::string helpText();

} // namespace sapphiredale::cli
