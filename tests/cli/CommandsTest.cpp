// Tests of the command line tool: arguments, requests, output and exit codes.

#include "cli/Commands.h"
#include "tests/configuration/SampleFiles.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <deque>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace sapphiredale::cli {

using configuration::fileWithInstances;

namespace {

    /// Answers requests from a list and keeps them.
    struct FakeDaemon {
        std::deque<HttpResult> m_answers;
        std::vector<HttpRequest> m_requests;

        HttpFunction function()
        {
            return [this](const HttpRequest& request) {
                m_requests.push_back(request);
                CPPUNIT_ASSERT(!m_answers.empty());
                HttpResult answer = m_answers.front();
                m_answers.pop_front();
                return answer;
            };
        }
    };

    struct Output {
        ExitCode m_code;
        std::string m_out;
        std::string m_err;
    };

    Output runWith(FakeDaemon& daemon, const std::vector<std::string>& arguments)
    {
        const auto parsed = parseCommandLine(arguments);
        CPPUNIT_ASSERT(std::holds_alternative<Invocation>(parsed));
        std::ostringstream out;
        std::ostringstream err;
        const ExitCode code = runCommand(std::get<Invocation>(parsed), daemon.function(), out, err);
        return { code, out.str(), err.str() };
    }

    bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    std::string headerOf(const HttpRequest& request, const std::string& name)
    {
        for (const auto& [key, value] : request.m_headers) {
            if (key == name)
                return value;
        }
        return {};
    }

    /// Serves one connection on the loopback address: reads the request's head, writes an answer, closes.
    class OneAnswerServer {
    public:
        explicit OneAnswerServer(std::string answer)
            : m_acceptor(m_context, { boost::asio::ip::address_v4::loopback(), 0 })
            , m_thread([this, text = std::move(answer)] {
                boost::asio::ip::tcp::socket socket(m_context);
                m_acceptor.accept(socket);
                boost::asio::streambuf head;
                boost::system::error_code error;
                boost::asio::read_until(socket, head, "\r\n\r\n", error);
                boost::asio::write(socket, boost::asio::buffer(text), error);
            })
        {
        }
        ~OneAnswerServer() { m_thread.join(); }
        std::string port() const { return std::to_string(m_acceptor.local_endpoint().port()); }

    private:
        boost::asio::io_context m_context;
        boost::asio::ip::tcp::acceptor m_acceptor;
        std::thread m_thread;
    };

} // namespace

class CommandsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CommandsTest);
    CPPUNIT_TEST(argumentsAreReadInAnyOrderAndFaultsAreNamed);
    CPPUNIT_TEST(anInvalidFileIsRefusedWithoutARequest);
    CPPUNIT_TEST(applyShowsTheDifferenceAndUsesTheVersionItRead);
    CPPUNIT_TEST(aConflictTellsWhoChangedWhat);
    CPPUNIT_TEST(everyUnclearAnswerToAnApplyIsReportedAsUnknown);
    CPPUNIT_TEST(readsRenderTablesAndKeepJson);
    CPPUNIT_TEST(hostileAnswersAreShownWithoutACrash);
    CPPUNIT_TEST(theClientTellsWhetherARequestMayHaveArrived);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { std::ofstream(m_path, std::ios::binary) << fileWithInstances(2); }

    void tearDown() override { std::remove(m_path.c_str()); }

    // Guards against a misspelt flag that is ignored, and against flags that only work in one place.
    void argumentsAreReadInAnyOrderAndFaultsAreNamed()
    {
        const auto before
            = parseCommandLine({ "--address", "[::1]:7", "--json", "--if_match=12", "--author=a b", "apply", "f" });
        const auto after
            = parseCommandLine({ "apply", "f", "--author", "a b", "--if_match", "12", "--json", "--address=[::1]:7" });
        CPPUNIT_ASSERT(std::holds_alternative<Invocation>(before) && before == after);
        const auto& invocation = std::get<Invocation>(before);
        CPPUNIT_ASSERT_EQUAL(std::string("::1"), invocation.m_host);
        CPPUNIT_ASSERT(invocation.m_ifMatch == 12U && invocation.m_json && invocation.m_timeoutSeconds == 15);

        CPPUNIT_ASSERT(std::holds_alternative<HelpRequest>(parseCommandLine({ "apply", "--help" })));
        const std::vector<std::vector<std::string>> faults { {}, { "aply", "f" }, { "apply" }, { "apply", "f", "g" },
            { "status", "x" }, { "--adress=a:1", "status" }, { "--address=nowhere", "status" },
            { "status", "--author" }, { "--if_match=x", "apply", "f" }, { "--timeout_seconds=0", "status" },
            { "--timeout_seconds=-1", "status" }, { "--author=a\r\nIf-Match: 1", "apply", "f" } };
        for (const std::vector<std::string>& arguments : faults) {
            CPPUNIT_ASSERT(std::holds_alternative<UsageError>(parseCommandLine(arguments)));
            std::ostringstream out;
            std::ostringstream err;
            CPPUNIT_ASSERT_EQUAL(2, runProgram(arguments, out, err));
            CPPUNIT_ASSERT(!err.str().empty() && out.str().empty());
        }
    }

    // Guards against an apply that bothers the daemon, or changes something, although the file is invalid or missing.
    void anInvalidFileIsRefusedWithoutARequest()
    {
        std::ofstream(m_path, std::ios::binary) << "{\"format\": 1, \"cell\": 3}";
        for (const char* command : { "validate", "diff", "apply" }) {
            FakeDaemon daemon;
            const Output output = runWith(daemon, { command, m_path });
            CPPUNIT_ASSERT(output.m_code == ExitCode::Refused);
            CPPUNIT_ASSERT(contains(output.m_err, "cell: 3 is not a string") && daemon.m_requests.empty());
            CPPUNIT_ASSERT(contains(runWith(daemon, { "--json", command, m_path }).m_out, "\"path\":\"cell\""));
            CPPUNIT_ASSERT(runWith(daemon, { command, m_path + ".missing" }).m_code == ExitCode::Usage);
        }
    }

    // Guards against an apply on a version that the operator has not seen.
    void applyShowsTheDifferenceAndUsesTheVersionItRead()
    {
        FakeDaemon daemon;
        daemon.m_answers = { HttpAnswer { 200, "7", "confirmed", fileWithInstances(1) },
            HttpAnswer { 200, "8", "", "{\"version\":8,\"recordId\":\"r1\"}" } };
        Output output = runWith(daemon, { "apply", m_path, "--author=ann" });
        CPPUNIT_ASSERT(output.m_code == ExitCode::Ok);
        CPPUNIT_ASSERT(contains(output.m_err, "workloads[front].instances: 1 -> 2"));
        CPPUNIT_ASSERT(contains(output.m_out, "version 8 is in force"));
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), daemon.m_requests[1].m_method);
        CPPUNIT_ASSERT_EQUAL(std::string("\"7\""), headerOf(daemon.m_requests[1], "If-Match"));
        CPPUNIT_ASSERT_EQUAL(std::string("ann"), headerOf(daemon.m_requests[1], "Sapphire-Author"));
        CPPUNIT_ASSERT_EQUAL(fileWithInstances(2), daemon.m_requests[1].m_body);

        // The first file of a cell, a given base, and a file that is already in force.
        daemon = {};
        daemon.m_answers = { HttpAnswer { 404, "", "", "{\"title\":\"No such resource\"}" },
            HttpAnswer { 200, "", "", "{\"version\":1}" } };
        CPPUNIT_ASSERT(runWith(daemon, { "apply", m_path }).m_code == ExitCode::Ok);
        CPPUNIT_ASSERT_EQUAL(std::string("\"0\""), headerOf(daemon.m_requests[1], "If-Match"));
        daemon = {};
        daemon.m_answers = { HttpAnswer { 200, "", "", "{\"version\":6}" } };
        CPPUNIT_ASSERT(runWith(daemon, { "apply", m_path, "--if_match=5" }).m_code == ExitCode::Ok);
        CPPUNIT_ASSERT_EQUAL(std::string("\"5\""), headerOf(daemon.m_requests[0], "If-Match"));
        daemon = {};
        daemon.m_answers = { HttpAnswer { 200, "7", "confirmed", fileWithInstances(2) } };
        output = runWith(daemon, { "apply", m_path });
        CPPUNIT_ASSERT(output.m_code == ExitCode::Ok && contains(output.m_err, "no change to version 7"));
    }

    // Guards against an operator who only learns that he lost a race, not against whom.
    void aConflictTellsWhoChangedWhat()
    {
        FakeDaemon daemon;
        daemon.m_answers = { HttpAnswer { 412, "", "",
            "{\"title\":\"The file was made from an older version\",\"status\":412,\"detail\":\"base 5\","
            "\"runState\":\"not-run\",\"changes\":[{\"version\":6,\"author\":\"bob\",\"timeMs\":1796362997000,"
            "\"recordId\":\"r6\",\"changes\":[\"workloads[a].instances: 1 -> 9\"]}]}" } };
        const Output output = runWith(daemon, { "apply", m_path, "--if_match=5" });
        CPPUNIT_ASSERT(output.m_code == ExitCode::Refused);
        for (const char* part : { "version 6", "2026-12-04 05:43:17Z", "by bob", "workloads[a].instances: 1 -> 9" })
            CPPUNIT_ASSERT_MESSAGE(output.m_err, contains(output.m_err, part));
    }

    // Guards against a script that takes "refused" or "no connection" for an answer although the file may come into
    // force.
    void everyUnclearAnswerToAnApplyIsReportedAsUnknown()
    {
        struct Case {
            HttpResult m_answer;
            ExitCode m_code;
        };
        const std::vector<Case> cases {
            { HttpAnswer { 202, "", "", "{\"recordId\":\"r9\",\"detail\":\"late\"}" }, ExitCode::OutcomeUnknown },
            { HttpAnswer { 502, "", "", "<html>" }, ExitCode::OutcomeUnknown },
            { HttpAnswer { 500, "", "", "{\"title\":\"t\",\"runState\":\"may-have-run\"}" }, ExitCode::OutcomeUnknown },
            { HttpAnswer { 503, "", "", "{\"title\":\"t\",\"runState\":\"not-run\"}" }, ExitCode::Refused },
            { TransportError { true, "reset" }, ExitCode::OutcomeUnknown },
            { TransportError { false, "refused" }, ExitCode::CannotConnect },
        };
        for (const Case& item : cases) {
            FakeDaemon daemon;
            daemon.m_answers = { item.m_answer };
            const Output output = runWith(daemon, { "apply", m_path, "--if_match=5" });
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(item.m_code), static_cast<int>(output.m_code));
            CPPUNIT_ASSERT(!output.m_err.empty());
        }
        FakeDaemon daemon;
        daemon.m_answers = { HttpAnswer { 200, "", "", "{\"recordId\":\"r9\",\"outcome\":\"accepted\",\"version\":4}" },
            HttpAnswer { 200, "", "", "{\"recordId\":\"r9\",\"outcome\":\"refused\",\"reason\":\"version-conflict\"}" },
            HttpAnswer { 404, "", "", "{\"title\":\"No such resource\"}" } };
        CPPUNIT_ASSERT(runWith(daemon, { "outcome", "r9" }).m_code == ExitCode::Ok);
        CPPUNIT_ASSERT(runWith(daemon, { "outcome", "r9" }).m_code == ExitCode::Refused);
        CPPUNIT_ASSERT(runWith(daemon, { "outcome", "r9" }).m_code == ExitCode::NotFound);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/configuration/applications/r9"), daemon.m_requests[0].m_target);
    }

    // Guards against a list that hides a missing failure domain or an unconfirmed version, and against text in --json.
    void readsRenderTablesAndKeepJson()
    {
        const std::string tasks
            = "{\"tasks\":[{\"task\":\"front/0\",\"state\":\"waiting\",\"worker\":\"\",\"class\":\"c\","
              "\"team\":\"t\",\"attempt\":1,\"reason\":\"no-capacity\",\"new\":{}}],"
              "\"unreachable\":[\"lokeren\"]}";
        FakeDaemon daemon;
        daemon.m_answers = { HttpAnswer { 200, "", "", tasks }, HttpAnswer { 200, "", "", tasks },
            HttpAnswer { 200, "7", "unconfirmed", fileWithInstances(1) },
            HttpAnswer { 404, "", "", "{\"title\":\"No such resource\"}" } };
        Output output = runWith(daemon, { "tasks" });
        CPPUNIT_ASSERT_EQUAL(std::string("TASK     STATE    WORKER  CLASS  TEAM  ATTEMPT  REASON\n"
                                         "front/0  waiting  -       c      t     1        no-capacity\n"),
            output.m_out);
        CPPUNIT_ASSERT(contains(output.m_err, "lokeren"));
        CPPUNIT_ASSERT_EQUAL(tasks, runWith(daemon, { "tasks", "--json" }).m_out);
        output = runWith(daemon, { "get" });
        CPPUNIT_ASSERT(output.m_code == ExitCode::Ok && contains(output.m_err, "newer version may be in force"));
        CPPUNIT_ASSERT_EQUAL(fileWithInstances(1), output.m_out);
        CPPUNIT_ASSERT(runWith(daemon, { "explain", "front/0 ?" }).m_code == ExitCode::NotFound);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/tasks/front/0%20%3F/explanation"), daemon.m_requests.back().m_target);
    }

    // Guards against a tool that dies on an answer of another version, of a proxy, or of a broken daemon.
    void hostileAnswersAreShownWithoutACrash()
    {
        const std::vector<std::string> bodies {
            "", "{", "[]", "7", std::string(10000, '['),
            "{\"entries\":5,\"tasks\":[1,{\"task\":[{}]}],\"workers\":[{\"capacity\":{\"cpus\":1e300}}]}",
            R"({"entries":[{"timeMs":-9e99,"changes":{}},{"timeMs":9223372036854775807}],"daemon":{"a":null}})",
            "{\"title\":7,\"errors\":[[]],\"changes\":[{\"changes\":[{}]}],\"daemon\":1,\"daemons\":[{}],\"outcome\":1}"
        };
        for (const std::string& body : bodies) {
            for (const unsigned status : { 200U, 404U, 500U }) {
                for (const char* command : { "history", "status", "tasks", "workers", "get" }) {
                    FakeDaemon daemon;
                    daemon.m_answers = { HttpAnswer { status, "x", "", body } };
                    const Output output = runWith(daemon, { command });
                    CPPUNIT_ASSERT(status == 200 || output.m_code != ExitCode::Ok);
                }
            }
        }
    }

    // Guards against "nothing was sent" after the daemon has read the request.
    void theClientTellsWhetherARequestMayHaveArrived()
    {
        const HttpRequest request { "PUT", "/v1/configuration", { { "If-Match", "\"1\"" } }, "x" };
        {
            OneAnswerServer server("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nSapphire-Freshness: confirmed\r\n"
                                   "Content-Length: 2\r\n\r\nok");
            const HttpResult result = sendHttp("127.0.0.1", server.port(), 10, request);
            CPPUNIT_ASSERT(std::holds_alternative<HttpAnswer>(result));
            const auto& answer = std::get<HttpAnswer>(result);
            CPPUNIT_ASSERT_EQUAL(200U, answer.m_status);
            CPPUNIT_ASSERT_EQUAL(std::string("7"), answer.m_entityTag);
            CPPUNIT_ASSERT_EQUAL(std::string("confirmed"), answer.m_freshness);
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer.m_body);
        }
        std::string closedPort;
        for (const char* broken : { "", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "garbage\r\n\r\n" }) {
            OneAnswerServer server(broken);
            closedPort = server.port();
            const HttpResult result = sendHttp("127.0.0.1", closedPort, 10, request);
            CPPUNIT_ASSERT(std::holds_alternative<TransportError>(result));
            CPPUNIT_ASSERT(std::get<TransportError>(result).m_mayHaveBeenSent);
        }
        const HttpResult result = sendHttp("127.0.0.1", closedPort, 10, request);
        CPPUNIT_ASSERT(std::holds_alternative<TransportError>(result));
        CPPUNIT_ASSERT(!std::get<TransportError>(result).m_mayHaveBeenSent);
    }

private:
    const std::string m_path = "cli-test-file.jsonc.log";
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);

} // namespace sapphiredale::cli
