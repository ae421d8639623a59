// Subcommands: requests, output and exit codes.

#include "cli/Commands.h"

#include "cli/Rendering.h"
#include "configuration/ClusterFileDifference.h"
#include "configuration/ClusterFileReader.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>
#include <utility>

namespace sapphiredale::cli {

namespace {

    namespace json = boost::json;
    using configuration::FileError;

    /// The file in force as the daemon knows it.
    struct FileInForce {
        std::uint64_t m_version = 0;
        std::string m_text;
        ClusterFile m_file;
        bool m_isConfirmed = false;
    };

    /// Percent-encodes everything but the characters of identifiers and the separator of task names.
    std::string pathSegment(const std::string& text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        std::string encoded;
        for (const char c : text) {
            const bool isPlain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                || std::string_view("-_./~").find(c) != std::string_view::npos;
            if (isPlain) {
                encoded += c;
            } else {
                const auto byte = static_cast<unsigned char>(c);
                encoded += '%';
                encoded += digits[byte >> 4U];
                encoded += digits[byte & 15U];
            }
        }
        return encoded;
    }

    class CommandRunner {
    public:
        CommandRunner(const Invocation& invocation, const HttpFunction& http, std::ostream& out, std::ostream& err)
            : m_invocation(invocation)
            , m_http(http)
            , m_out(out)
            , m_err(err)
        {
        }

        ExitCode run()
        {
            const std::string& command = m_invocation.m_command;
            if (command == "validate")
                return validate();
            if (command == "diff")
                return diff();
            if (command == "apply")
                return apply();
            if (command == "get")
                return get();
            if (command == "history")
                return show("/v1/configuration/history", renderHistory);
            if (command == "outcome")
                return outcome();
            if (command == "status")
                return show("/v1/status", renderStatus);
            if (command == "tasks")
                return show("/v1/tasks", renderTasks);
            if (command == "workers")
                return show("/v1/workers", renderWorkers);
            if (command == "explain")
                return show("/v1/tasks/" + pathSegment(m_invocation.m_argument) + "/explanation", renderExplanation);
            m_err << "unknown command\n";
            return ExitCode::Usage;
        }

    private:
        std::optional<std::string> readFile()
        {
            std::ifstream stream(m_invocation.m_argument, std::ios::binary);
            std::string text;
            // One byte more than the limit is enough for the reader to refuse the file.
            const std::size_t limit = configuration::FileLimits().m_bytes + 1;
            char buffer[65536];
            while (stream && text.size() < limit) {
                stream.read(buffer, sizeof buffer);
                text.append(buffer, static_cast<std::size_t>(stream.gcount()));
            }
            if (!stream.eof() && text.size() < limit) {
                m_err << "cannot read " << m_invocation.m_argument << '\n';
                return std::nullopt;
            }
            return text;
        }

        /// The file of a valid text; otherwise its errors are printed.
        std::optional<ClusterFile> parse(const std::string& text)
        {
            configuration::ParseResult result = configuration::parseClusterFile(text);
            if (auto* file = std::get_if<ClusterFile>(&result))
                return std::move(*file);
            const auto& errors = std::get<std::vector<FileError>>(result);
            if (m_invocation.m_json) {
                json::array list;
                for (const FileError& error : errors)
                    list.push_back(
                        { { "path", error.m_path }, { "problem", error.m_problem }, { "accepted", error.m_accepted } });
                m_out << json::serialize(json::object { { "valid", false }, { "errors", std::move(list) } }) << '\n';
            }
            m_err << m_invocation.m_argument << " has " << errors.size() << " error(s)\n";
            for (const FileError& error : errors) {
                m_err << "  " << (error.m_path.empty() ? "file" : error.m_path) << ": " << error.m_problem
                      << "; accepted: " << error.m_accepted << '\n';
            }
            return std::nullopt;
        }

        ExitCode validate()
        {
            const std::optional<std::string> text = readFile();
            if (!text)
                return ExitCode::Usage;
            const std::optional<ClusterFile> file = parse(*text);
            if (!file)
                return ExitCode::Refused;
            if (m_invocation.m_json)
                m_out << "{\"valid\":true}\n";
            else
                m_out << m_invocation.m_argument << " is valid: " << file->m_failureDomains.size()
                      << " failure domains, " << file->m_workers.size() << " workers, " << file->m_teams.size()
                      << " teams, " << file->m_classes.size() << " classes, " << file->m_workloads.size()
                      << " workloads\n";
            return ExitCode::Ok;
        }

        ExitCode failed(const TransportError& error, bool hasEffect)
        {
            m_err << m_invocation.m_host << ':' << m_invocation.m_port << ": " << error.m_detail << '\n';
            if (!hasEffect || !error.m_mayHaveBeenSent)
                return ExitCode::CannotConnect;
            m_err << "the file may or may not come into force; look at \"sapphirectl history\"\n";
            return ExitCode::OutcomeUnknown;
        }

        ExitCode refused(const HttpAnswer& answer)
        {
            if (m_invocation.m_json && !answer.m_body.empty())
                m_out << answer.m_body;
            m_err << renderProblem(answer.m_status, answer.m_body);
            if (factsOf(answer.m_body).m_mayHaveRun)
                return ExitCode::OutcomeUnknown;
            return answer.m_status == 404 ? ExitCode::NotFound : ExitCode::Refused;
        }

        void warnWhenUnconfirmed(const HttpAnswer& answer)
        {
            if (answer.m_freshness == "unconfirmed")
                m_err << "warning: the log cannot be reached; a newer version may be in force\n";
        }

        ExitCode show(const std::string& target, std::string (*render)(std::string_view))
        {
            const HttpResult result = m_http({ "GET", target, {}, {} });
            if (const auto* error = std::get_if<TransportError>(&result))
                return failed(*error, false);
            const auto& answer = std::get<HttpAnswer>(result);
            if (answer.m_status != 200)
                return refused(answer);
            warnWhenUnconfirmed(answer);
            for (const std::string& domain : unreachableDomains(answer.m_body))
                m_err << "warning: failure domain " << domain << " could not be reached and is not listed\n";
            m_out << (m_invocation.m_json ? answer.m_body : render(answer.m_body));
            return ExitCode::Ok;
        }

        ExitCode outcome()
        {
            const HttpResult result
                = m_http({ "GET", "/v1/configuration/applications/" + pathSegment(m_invocation.m_argument), {}, {} });
            if (const auto* error = std::get_if<TransportError>(&result))
                return failed(*error, false);
            const auto& answer = std::get<HttpAnswer>(result);
            if (answer.m_status != 200)
                return refused(answer);
            m_out << (m_invocation.m_json ? answer.m_body : renderOutcome(answer.m_body));
            return factsOf(answer.m_body).m_outcome == "accepted" ? ExitCode::Ok : ExitCode::Refused;
        }

        /// The file in force, with version zero when there is none. On failure the exit code is set.
        std::optional<FileInForce> readInForce(ExitCode& failure)
        {
            const HttpResult result = m_http({ "GET", "/v1/configuration", {}, {} });
            if (const auto* error = std::get_if<TransportError>(&result)) {
                failure = failed(*error, false);
                return std::nullopt;
            }
            const auto& answer = std::get<HttpAnswer>(result);
            FileInForce inForce;
            inForce.m_isConfirmed = answer.m_freshness == "confirmed";
            if (answer.m_status == 404)
                return inForce;
            if (answer.m_status != 200) {
                failure = refused(answer);
                return std::nullopt;
            }
            warnWhenUnconfirmed(answer);
            const char* end = answer.m_entityTag.data() + answer.m_entityTag.size();
            const auto [rest, code] = std::from_chars(answer.m_entityTag.data(), end, inForce.m_version);
            configuration::ParseResult parsed = configuration::parseClusterFile(answer.m_body);
            auto* file = std::get_if<ClusterFile>(&parsed);
            if (code != std::errc() || rest != end || !file) {
                m_err
                    << "the daemon sent a file in force that this program cannot read; is it older than the daemon?\n";
                failure = ExitCode::Refused;
                return std::nullopt;
            }
            inForce.m_text = answer.m_body;
            inForce.m_file = std::move(*file);
            return inForce;
        }

        ExitCode get()
        {
            ExitCode failure = ExitCode::Ok;
            const std::optional<FileInForce> inForce = readInForce(failure);
            if (!inForce)
                return failure;
            if (inForce->m_version == 0) {
                m_err << "no file is in force\n";
                return ExitCode::NotFound;
            }
            if (m_invocation.m_json) {
                json::error_code error;
                json::value file = json::parse(inForce->m_text, error);
                m_out << json::serialize(json::object { { "version", inForce->m_version },
                    { "freshness", inForce->m_isConfirmed ? "confirmed" : "unconfirmed" },
                    { "file", std::move(file) } })
                      << '\n';
                return ExitCode::Ok;
            }
            m_err << "version " << inForce->m_version << '\n';
            m_out << inForce->m_text;
            return ExitCode::Ok;
        }

        void printChanges(std::uint64_t version, const std::vector<std::string>& changes, std::ostream& stream) const
        {
            if (changes.empty()) {
                stream << "no change to version " << version << '\n';
                return;
            }
            stream << changes.size() << " change(s) to version " << version << ":\n";
            for (const std::string& change : changes)
                stream << "  " << change << '\n';
        }

        ExitCode diff()
        {
            const std::optional<std::string> text = readFile();
            if (!text)
                return ExitCode::Usage;
            const std::optional<ClusterFile> file = parse(*text);
            if (!file)
                return ExitCode::Refused;
            ExitCode failure = ExitCode::Ok;
            const std::optional<FileInForce> inForce = readInForce(failure);
            if (!inForce)
                return failure;
            const std::vector<std::string> changes = configuration::differenceOf(inForce->m_file, *file);
            if (m_invocation.m_json) {
                json::array list;
                for (const std::string& change : changes)
                    list.emplace_back(change);
                m_out << json::serialize(
                    json::object { { "version", inForce->m_version }, { "changes", std::move(list) } })
                      << '\n';
            } else {
                printChanges(inForce->m_version, changes, m_out);
            }
            return ExitCode::Ok;
        }

        ExitCode apply()
        {
            const std::optional<std::string> text = readFile();
            if (!text)
                return ExitCode::Usage;
            const std::optional<ClusterFile> file = parse(*text);
            if (!file)
                return ExitCode::Refused;

            std::optional<std::uint64_t> base = m_invocation.m_ifMatch;
            if (!base) {
                ExitCode failure = ExitCode::Ok;
                const std::optional<FileInForce> inForce = readInForce(failure);
                if (!inForce)
                    return failure;
                const std::vector<std::string> changes = configuration::differenceOf(inForce->m_file, *file);
                printChanges(inForce->m_version, changes, m_err);
                if (changes.empty() && inForce->m_version > 0 && inForce->m_isConfirmed) {
                    if (m_invocation.m_json)
                        m_out << "{\"version\":" << inForce->m_version << ",\"changed\":false}\n";
                    return ExitCode::Ok;
                }
                base = inForce->m_version;
            }
            return put(*text, *base);
        }

        ExitCode put(const std::string& text, std::uint64_t base)
        {
            const HttpResult result = m_http({ "PUT", "/v1/configuration",
                { { "If-Match", '"' + std::to_string(base) + '"' }, { "Sapphire-Author", m_invocation.m_author },
                    { "Content-Type", "application/json" } },
                text });
            if (const auto* error = std::get_if<TransportError>(&result))
                return failed(*error, true);
            const auto& answer = std::get<HttpAnswer>(result);
            const AnswerFacts facts = factsOf(answer.m_body);
            if (answer.m_status == 202) {
                if (m_invocation.m_json)
                    m_out << answer.m_body;
                m_err << "the outcome is unknown: " << facts.m_detail << "\nask with: sapphirectl outcome "
                      << facts.m_recordId << '\n';
                return ExitCode::OutcomeUnknown;
            }
            if (answer.m_status != 200) {
                const ExitCode code = refused(answer);
                if (answer.m_status == 412)
                    m_err << "merge these changes into the file, then apply it again\n";
                // Without a problem document an error of a server or of a proxy says nothing about the effect.
                return answer.m_status >= 500 && !facts.m_isProblem ? ExitCode::OutcomeUnknown : code;
            }
            if (m_invocation.m_json)
                m_out << answer.m_body;
            else
                m_out << "version " << facts.m_version << " is in force (record " << facts.m_recordId << ")\n";
            return ExitCode::Ok;
        }

        const Invocation& m_invocation;
        const HttpFunction& m_http;
        std::ostream& m_out;
        std::ostream& m_err;
    };

} // namespace

ExitCode runCommand(const Invocation& invocation, const HttpFunction& http, std::ostream& out, std::ostream& err)
{
    return CommandRunner(invocation, http, out, err).run();
}

int runProgram(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    const auto parsed = parseCommandLine(arguments);
    if (std::holds_alternative<HelpRequest>(parsed)) {
        out << helpText();
        return static_cast<int>(ExitCode::Ok);
    }
    if (const auto* error = std::get_if<UsageError>(&parsed)) {
        err << "sapphirectl: " << error->m_detail << "\nsee sapphirectl --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    const auto& invocation = std::get<Invocation>(parsed);
    const HttpFunction http = [&](const HttpRequest& request) {
        return sendHttp(invocation.m_host, invocation.m_port, invocation.m_timeoutSeconds, request);
    };
    return static_cast<int>(runCommand(invocation, http, out, err));
}

} // namespace sapphiredale::cli
