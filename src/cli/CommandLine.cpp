// Arguments of sapphirectl, read with gflags.

#include "cli/CommandLine.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <gflags/gflags.h>
#include <string_view>

// The macros define one global variable per flag.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(address, "127.0.0.1:9101", "HOST:PORT of the operators' interface of any daemon");
DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_uint32(timeout_seconds, 15, "longest wait for an answer, 1 to 600");
DEFINE_string(if_match, "", "version that the file was made from");
DEFINE_string(author, "", "name that the history shows; the default is the user's name");
// NOLINTEND(readability-identifier-naming)

namespace sapphiredale::cli {

namespace {

    struct CommandForm {
        std::string_view m_name;
        /// Name of the argument, empty when there is none.
        std::string_view m_argument;
        std::string_view m_help;
    };

    constexpr std::array<CommandForm, 10> commands { {
        { "validate", "FILE", "check a file on this host and list all its errors; needs no daemon" },
        { "diff", "FILE", "show what applying the file would change" },
        { "apply", "FILE", "make the file the one in force, unless someone else was faster" },
        { "get", "", "print the file in force" },
        { "history", "", "list the versions with author, time and changes" },
        { "outcome", "RECORD", "tell what became of an apply whose outcome was unknown" },
        { "status", "", "show the daemon, its failure domain and what it is cut off from" },
        { "tasks", "", "list the tasks of all failure domains that can be reached" },
        { "workers", "", "list the workers with their capacity and use" },
        { "explain", "TASK", "tell why a task runs where it runs, or why it waits" },
    } };

    constexpr std::array<std::string_view, 5> flagNames { "address", "json", "timeout_seconds", "if_match", "author" };

    constexpr std::string_view boolFlag = "json";

    /// Splits "HOST:PORT"; an IPv6 host stands in brackets.
    bool splitAddress(const std::string& address, Invocation& invocation)
    {
        const std::size_t colon = address.rfind(':');
        if (colon == std::string::npos || colon == 0 || colon + 1 == address.size())
            return false;
        invocation.m_host = address.substr(0, colon);
        invocation.m_port = address.substr(colon + 1);
        if (invocation.m_host.front() == '[' && invocation.m_host.back() == ']')
            invocation.m_host = invocation.m_host.substr(1, invocation.m_host.size() - 2);
        return invocation.m_port.find_first_not_of("0123456789") == std::string::npos && !invocation.m_host.empty();
    }

    /// Sets one flag from "--name=value" or "--name value". gflags itself would end the process at an unknown flag, so
    /// the arguments are split here and only the values are left to it. Returns an error text, or nothing.
    std::string setFlag(const std::vector<std::string>& arguments, std::size_t& index)
    {
        std::string name = arguments[index].substr(arguments[index].starts_with("--") ? 2 : 1);
        std::string value = "true";
        const std::size_t equals = name.find('=');
        if (equals != std::string::npos) {
            value = name.substr(equals + 1);
            name.resize(equals);
        }
        if (std::find(flagNames.begin(), flagNames.end(), name) == flagNames.end())
            return "unknown flag --" + name;
        if (equals == std::string::npos && name != boolFlag) {
            if (index + 1 == arguments.size())
                return "--" + name + " needs a value";
            value = arguments[++index];
        }
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return '"' + value + "\" is not a value of --" + name;
        return {};
    }

    std::string userName()
    {
        // The program has one thread, so nobody changes the environment meanwhile.
        const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
        return user && *user ? user : "unnamed";
    }

    std::variant<Invocation, HelpRequest, UsageError> fromWords(const std::vector<std::string>& words)
    {
        if (words.empty())
            return UsageError { "a command is missing" };
        if (words.front() == "help")
            return HelpRequest {};
        const auto form = std::find_if(
            commands.begin(), commands.end(), [&](const CommandForm& item) { return item.m_name == words.front(); });
        if (form == commands.end())
            return UsageError { "unknown command \"" + words.front() + '"' };
        const std::size_t expected = form->m_argument.empty() ? 1 : 2;
        if (words.size() < expected)
            return UsageError { words.front() + " needs " + std::string(form->m_argument) };
        if (words.size() > expected)
            return UsageError { "\"" + words[expected] + "\" is one argument too many" };

        Invocation invocation;
        invocation.m_command = words.front();
        if (expected == 2)
            invocation.m_argument = words[1];
        return invocation;
    }

} // namespace

std::variant<Invocation, HelpRequest, UsageError> parseCommandLine(const std::vector<std::string>& arguments)
{
    // Flags keep their values between calls; a process parses once, tests several times.
    gflags::FlagSaver saver;
    std::vector<std::string> words;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string& argument = arguments[i];
        if (argument == "--help" || argument == "-help" || argument == "-h")
            return HelpRequest {};
        if (argument.size() < 2 || argument.front() != '-') {
            words.push_back(argument);
            continue;
        }
        if (const std::string error = setFlag(arguments, i); !error.empty())
            return UsageError { error };
    }
    auto result = fromWords(words);
    auto* invocation = std::get_if<Invocation>(&result);
    if (!invocation)
        return result;

    invocation->m_json = FLAGS_json;
    invocation->m_timeoutSeconds = FLAGS_timeout_seconds;
    invocation->m_author = FLAGS_author.empty() ? userName() : FLAGS_author;
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    if (std::any_of(invocation->m_author.begin(), invocation->m_author.end(), isControl))
        return UsageError { "--author must not contain control characters" };
    if (!splitAddress(FLAGS_address, *invocation))
        return UsageError { '"' + FLAGS_address + "\" is not HOST:PORT" };
    if (FLAGS_timeout_seconds < 1 || FLAGS_timeout_seconds > 600)
        return UsageError { "--timeout_seconds must be from 1 to 600" };
    if (!FLAGS_if_match.empty()) {
        std::uint64_t version = 0;
        const char* end = FLAGS_if_match.data() + FLAGS_if_match.size();
        const auto [rest, error] = std::from_chars(FLAGS_if_match.data(), end, version);
        if (error != std::errc() || rest != end)
            return UsageError { "--if_match must be a version number, for example 7" };
        invocation->m_ifMatch = version;
    }
    return result;
}

std::string helpText()
{
    std::string text = "sapphirectl - operate a sapphiredale cell\n\n"
                       "Usage: sapphirectl [FLAG...] COMMAND [ARGUMENT]\n\nCommands:\n";
    for (const CommandForm& command : commands) {
        std::string form = "  " + std::string(command.m_name) + ' ' + std::string(command.m_argument);
        form.resize(std::max<std::size_t>(form.size() + 1, 18), ' ');
        text += form + std::string(command.m_help) + '\n';
    }
    text += "\nFlags:\n";
    for (const std::string_view name : flagNames) {
        const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
        std::string form = "  --" + info.name;
        form.resize(std::max<std::size_t>(form.size() + 1, 21), ' ');
        text += form + info.description;
        text += info.default_value.empty() || name == boolFlag ? "\n" : " (default " + info.default_value + ")\n";
    }
    return text
        + "\nExit codes:\n"
          "  0  done\n"
          "  1  refused; nothing was changed by this command\n"
          "  2  wrong arguments, or a file that cannot be read\n"
          "  3  no connection to the daemon, or no answer to a read; nothing was changed\n"
          "  4  the outcome is unknown; ask with \"outcome RECORD\" or look at \"history\"\n"
          "  5  no such task, record or file\n"
          "\nA first session:\n"
          "  sapphirectl validate examples/vandermeulen.jsonc\n"
          "  sapphirectl diff examples/vandermeulen.jsonc\n"
          "  sapphirectl apply examples/vandermeulen.jsonc\n"
          "  sapphirectl tasks\n"
          "  sapphirectl explain trial-planner/0\n";
}

} // namespace sapphiredale::cli
