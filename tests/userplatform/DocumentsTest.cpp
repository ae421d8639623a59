// Tests of the decoding of platform documents, job submissions and task names.

#include "platform/Documents.h"

#include "platform/Workers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::userplatform {

class DocumentsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DocumentsTest);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(unreadableConfigurationIsRefused);
    CPPUNIT_TEST(tenantsAreDecoded);
    CPPUNIT_TEST(faultyTenantsOpenNoRoute);
    CPPUNIT_TEST(keyIsTakenFromTheBearerScheme);
    CPPUNIT_TEST(workerEntryIsDecoded);
    CPPUNIT_TEST(foreignEntriesNameNoWorker);
    CPPUNIT_TEST(entriesWithoutUsableAddressNameNoWorker);
    CPPUNIT_TEST(unreadableReportIsNoReport);
    CPPUNIT_TEST(fullListOfEndsIsNotTakenForAllOfThem);
    CPPUNIT_TEST(submissionIsDecoded);
    CPPUNIT_TEST(faultySubmissionsAreRefused);
    CPPUNIT_TEST(taskNamesAreReversible);
    CPPUNIT_TEST_SUITE_END();

public:
    void configurationIsDecoded()
    {
        const Result<Configuration> result = decodeConfiguration(
            R"({"version":7,"routes":[{"name":"q","host":"h.example","path_prefix":"/a/","timeout_ms":2500,
            "target_latency_ms":250,"priority":2,"service":"s","max_attempts":4,"slack_factor":1.5,
            "advice":{"decide_ms":28.5,"period_ms":0.39,"valid_ms":2000}}],"limits":{"max_body_bytes":1000}})");
        CPPUNIT_ASSERT(succeeded(result));
        const Configuration& configuration = valueOf(result);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), configuration.m_version);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1000), configuration.m_maxBodyBytes);
        const QueueRoute& route = configuration.m_routes.at(0);
        CPPUNIT_ASSERT(route.m_timeout == std::chrono::milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(2U, route.m_policy.m_priority);
        CPPUNIT_ASSERT(route.m_policy.m_advice->m_base == std::chrono::microseconds(28500));
        CPPUNIT_ASSERT(route.m_policy.m_advice->m_perWorker == std::chrono::microseconds(390));
    }

    void unreadableConfigurationIsRefused()
    {
        for (const char* text :
            { "", "[]", "{", R"({"version":1})", R"({"routes":[]})", R"({"version":"x","routes":[]})" })
            CPPUNIT_ASSERT_MESSAGE(text, !succeeded(decodeConfiguration(text)));
    }

    static Configuration withTenants(const std::string& tenants)
    {
        return valueOf(
            decodeConfiguration(R"({"version":1,"routes":[{"public":true},{"public":false},{"public":1},{}],)"
                                R"("tenants":)"
                + tenants + "}"));
    }

    // Guards against calls that are refused although the configuration has their key, and against limits that are lost.
    void tenantsAreDecoded()
    {
        const Configuration configuration = withTenants(
            R"([{"name":"a","api_keys":["k1","k2"],"priority":1,"weight":2.5,"max_count":{"cpu":64000,"mem_mb":512,
            "gpu":2}},{"name":"b","api_keys":["k3"],"weight":1,"max_count":{"cpu":0}},{"name":"c"}])");
        CPPUNIT_ASSERT(configuration.m_requiresKeys);
        CPPUNIT_ASSERT((configuration.m_teams.at(0) == jobs::TeamPolicy { TeamId("a"), 2.5, { 64000, 512, 2 } }));
        CPPUNIT_ASSERT((configuration.m_teams.at(1) == jobs::TeamPolicy { TeamId("b"), 1, {} }));
        CPPUNIT_ASSERT((configuration.m_teams.at(2) == jobs::TeamPolicy { TeamId("c"), 0, {} }));
        CPPUNIT_ASSERT(configuration.teamOfKey("k1") == &configuration.m_teams[0]);
        CPPUNIT_ASSERT(configuration.teamOfKey("k2") == &configuration.m_teams[0]);
        CPPUNIT_ASSERT(configuration.teamOfKey("k3") == &configuration.m_teams[1]);
        for (const char* key : { "", "k", "k12", "K1" })
            CPPUNIT_ASSERT(configuration.teamOfKey(key) == nullptr);
        CPPUNIT_ASSERT(configuration.m_routes[0].m_isPublic);
        for (std::size_t i = 1; i < 4; ++i)
            CPPUNIT_ASSERT(!configuration.m_routes[i].m_isPublic);
        CPPUNIT_ASSERT(!valueOf(decodeConfiguration(R"({"version":1,"routes":[]})")).m_requiresKeys);
    }

    // Guards against a fault in the document that lets calls run without a key: a list that cannot be read, an empty
    // key that calls without one would match, and a key that changes its owner.
    void faultyTenantsOpenNoRoute()
    {
        for (const char* text : { "null", "{}", "7", "\"x\"" })
            CPPUNIT_ASSERT_MESSAGE(text,
                !succeeded(decodeConfiguration(std::string(R"({"version":1,"routes":[],"tenants":)") + text + "}")));
        CPPUNIT_ASSERT(withTenants("[]").m_requiresKeys);
        const Configuration configuration = withTenants(
            R"([7,{"api_keys":["k0"]},{"name":"a","api_keys":["",5,null,"k1"],"weight":-1,"max_count":{"cpu":-5}},
            {"name":"b","api_keys":["k1"],"weight":"x","max_count":7},{"name":"c","api_keys":"k2"}])");
        CPPUNIT_ASSERT(configuration.m_requiresKeys);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), configuration.m_teamByKey.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), configuration.teamOfKey("k1")->m_team.value());
        CPPUNIT_ASSERT((configuration.m_teams.at(0) == jobs::TeamPolicy { TeamId("a"), 0, {} }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), configuration.m_teams.size());
    }

    // Guards against a key that is accepted under another scheme, or not accepted under another spelling of this one.
    void keyIsTakenFromTheBearerScheme()
    {
        for (const char* text : { "Bearer k", "bearer k", "BEARER   k" })
            CPPUNIT_ASSERT_MESSAGE(text, bearerKey(text) == "k");
        for (const char* text : { "", "k", "Bearer", "Bearer ", "Basic k", "Bearerk", "Bearers k", " Bearer k" })
            CPPUNIT_ASSERT_MESSAGE(text, bearerKey(text).empty());
        CPPUNIT_ASSERT(bearerKey("Bearer k l") == "k l");
    }

    static std::string entry(const std::string& state, const std::string& capacity)
    {
        return R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":")" + state + R"(","capacity":)"
            + capacity + R"(,"labels":["a","r1-3"],"clock_ms":5,"born":1700000000123,"sequence":4})";
    }

    void workerEntryIsDecoded()
    {
        const auto worker = decodeWorkerEntry("i-1", entry("draining", R"({"cpu":16000,"mem_mb":32768,"gpu":1})"));
        CPPUNIT_ASSERT(worker.has_value());
        CPPUNIT_ASSERT(worker->m_isDraining);
        CPPUNIT_ASSERT((worker->m_capacity == Resources { 16000, 32768, 1 }));
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), worker->m_rack.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1700000000123), worker->m_bornMs);
    }

    void foreignEntriesNameNoWorker()
    {
        for (const std::string& text : { std::string("\x01\xff"), std::string("[]"), entry("gone", "{}"),
                 entry("ready", "7"), std::string(R"({"service":5,"state":"ready"})") })
            CPPUNIT_ASSERT_MESSAGE(text, !decodeWorkerEntry("i-1", text).has_value());
    }

    // Guards against workers that can never be reached, or that have an empty id, and against deep or huge documents.
    void entriesWithoutUsableAddressNameNoWorker()
    {
        const std::string valid = entry("ready", R"({"cpu":1000,"mem_mb":1024})");
        CPPUNIT_ASSERT(decodeWorkerEntry("i-1", valid).has_value());
        CPPUNIT_ASSERT_MESSAGE("empty id", !decodeWorkerEntry("", valid).has_value());
        for (const std::string address :
            { "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:http", "name:80" }) {
            std::string text = valid;
            text.replace(text.find("10.0.0.1:80"), 11, address);
            CPPUNIT_ASSERT_MESSAGE(address, !decodeWorkerEntry("i-1", text).has_value());
        }
        const std::string nested = std::string(100000, '[') + std::string(100000, ']');
        for (const std::string& labels : { nested, std::string("1e999999") }) {
            std::string text = valid;
            text.replace(text.find(R"(["a","r1-3"])"), 12, labels);
            decodeWorkerEntry("i-1", text); // must not end the process
        }
        CPPUNIT_ASSERT(!decodeWorkerEntry("i-1", nested).has_value());
        CPPUNIT_ASSERT(!decodeWorkerEntry("i-1", entry("ready", R"({"cpu":1e300,"mem_mb":99999999999999999999})")));
    }

    // Guards against a report that cannot be parsed being taken for one without runs, which would end those expected.
    void unreadableReportIsNoReport()
    {
        for (const char* text : { "", "[", "[]", "{}", R"({"clock_ms":1,"born":1,"running":7,"finished":[]})" })
            CPPUNIT_ASSERT_MESSAGE(text, !succeeded(decodeWorkerReport(text)));
        CPPUNIT_ASSERT(succeeded(decodeWorkerReport(R"({"clock_ms":1,"born":1,"running":[],"finished":[]})")));
    }

    // Guards against tasks that start again because their end is not among the first ones that a worker lists.
    void fullListOfEndsIsNotTakenForAllOfThem()
    {
        const auto listsAll = [](int ends) {
            std::string rows;
            for (int i = 1; i <= ends; ++i)
                rows += (i > 1 ? ",[" : "[") + std::to_string(i) + R"(,"a.0.0.)" + std::to_string(i)
                    + R"(",1,"done",""])";
            const auto report = decodeWorkerReport(R"({"clock_ms":1,"born":1,"running":[],"finished":[)" + rows + "]}");
            CPPUNIT_ASSERT(succeeded(report));
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(ends), valueOf(report).m_report.m_ended.size());
            return valueOf(report).m_report.m_listsAllEnds;
        };
        CPPUNIT_ASSERT(listsAll(0));
        CPPUNIT_ASSERT(listsAll(499));
        CPPUNIT_ASSERT(!listsAll(500));
    }

    void submissionIsDecoded()
    {
        const Result<jobs::JobSpec> result = decodeSubmission(R"({"spec":"text","repeat_count":3,"first_ms":10,
            "interval_ms":20,"steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},
            {"count":2,"cpu":1,"depends_on":[0],"gang":true,"rack_local":true,"speculative":true,"fills":true,
            "anti_affinity":1,"requires":"a","target_ms":40,"may_miss":1,"image":"m","long_running":true}]})");
        CPPUNIT_ASSERT(succeeded(result));
        const jobs::JobSpec& spec = valueOf(result);
        CPPUNIT_ASSERT_EQUAL(3U, spec.m_occurrences);
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), spec.m_steps[0].m_dataRack);
        const jobs::StepSpec& second = spec.m_steps[1];
        CPPUNIT_ASSERT(second.m_isGang && second.m_isRackLocal && second.m_allowsCopies && second.m_isFilling);
        CPPUNIT_ASSERT(second.m_isLongRunning && second.isServing());
        CPPUNIT_ASSERT((second.reserved() == Resources { 0, 0, 0 }));
    }

    void faultySubmissionsAreRefused()
    {
        const std::string longText(4001, 'x');
        for (const std::string& body : { std::string("{"), std::string("{}"), std::string(R"({"steps":[]})"),
                 std::string(R"({"steps":[{"count":0}]})"), std::string(R"({"steps":[{"count":-1}]})"),
                 std::string(R"({"steps":[{"count":1.5}]})"), std::string(R"({"steps":[{"count":1000000}]})"),
                 std::string(R"({"steps":[{"count":1,"depends_on":[0]}]})"),
                 std::string(R"({"steps":[{"count":1,"depends_on":"x"}]})"),
                 std::string(R"({"spec":7,"steps":[{"count":1}]})"),
                 R"({"spec":")" + longText + R"(","steps":[{"count":1}]})" })
            CPPUNIT_ASSERT_MESSAGE(body.substr(0, 60), !succeeded(decodeSubmission(body)));
        CPPUNIT_ASSERT(isJobId("5c0e7a21d94b36f8"));
        CPPUNIT_ASSERT(!isJobId("5c0e7a21d94b36f"));
        CPPUNIT_ASSERT(!isJobId("5c0e7a21d94b36fz"));
    }

    void taskNamesAreReversible()
    {
        const jobs::TaskName task { JobId("5c0e7a21d94b36f8"), { 2, 1, 17 } };
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.2.1.17"), encodeTaskName(task));
        CPPUNIT_ASSERT(decodeTaskName(encodeTaskName(task)) == task);
        for (const char* text : { "", "a", "a.1.2", "a.1.2.3.4", "a.1.x.3", "a.1.2." })
            CPPUNIT_ASSERT_MESSAGE(text, !decodeTaskName(text).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentsTest);

} // namespace sapphiredale::userplatform
