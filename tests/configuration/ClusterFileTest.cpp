// Tests of the reader, the validator, the writer and the difference of the operators' file.

#include "configuration/ClusterFileDifference.h"
#include "configuration/ClusterFileReader.h"
#include "configuration/ClusterFileWriter.h"
#include "tests/configuration/SampleFiles.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace sapphiredale::configuration {

class ClusterFileTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClusterFileTest);
    CPPUNIT_TEST(examplesAreValidAndKeepTheirMeaningWhenRewritten);
    CPPUNIT_TEST(everyFaultIsReportedWithItsPath);
    CPPUNIT_TEST(quotasAndSizesThatCanNeverBeMetAreRefused);
    CPPUNIT_TEST(hostileTextsAreRefusedWithinBounds);
    CPPUNIT_TEST(orderInTheTextHasNoMeaning);
    CPPUNIT_TEST(irregularWorkersSurviveTheCompactForm);
    CPPUNIT_TEST(differenceNamesEachChange);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against examples that the daemon refuses, and against a canonical text that means something else or grows
    // beyond the network budget.
    void examplesAreValidAndKeepTheirMeaningWhenRewritten()
    {
        for (const char* path : { "examples/vandermeulen.jsonc", "examples/ile-bague.jsonc" }) {
            std::ifstream stream(path);
            std::stringstream text;
            text << stream.rdbuf();
            const ClusterFile file = parsed(text.str());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, file.m_failureDomains.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 50 }, file.m_workers.size());
            const std::string canonical = writeClusterFile(file);
            CPPUNIT_ASSERT(parsed(canonical) == file);
            CPPUNIT_ASSERT_EQUAL(canonical, writeClusterFile(parsed(canonical)));
            CPPUNIT_ASSERT(canonical.size() < 10000);
        }
    }

    // Guards against a reader that stops at the first fault, names the wrong place, or ignores a misspelt member.
    void everyFaultIsReportedWithItsPath()
    {
        std::string text = smallFile();
        replace(text, "\"cell\": \"test\"", "\"cell\": \"te st\", \"cel\": 1");
        replace(text, "\"region\": \"r\"", "\"region\": 5");
        replace(text, "\"address\": \"127.0.0.1:7100\"", "\"address\": \"127.0.0.256:7100\"");
        replace(text, "\"kind\": \"batch\"", "\"kind\": \"bach\"");
        replace(text, "\"team\": \"t\", \"class\": \"batch\"",
            "\"team\": \"u\", \"class\": \"batch\", \"maxRunSeconds\": -1");
        const std::vector<FileError> errors = errorsOf(text);
        for (const char* path : { "cell", "cel", "failureDomains[0].region", "workers[0].address", "classes[1].kind",
                 "workloads[1].team", "workloads[1].maxRunSeconds" })
            CPPUNIT_ASSERT_MESSAGE(path, hasPath(errors, path));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 7 }, errors.size());
        for (const FileError& error : errors)
            CPPUNIT_ASSERT(!error.m_problem.empty() && !error.m_accepted.empty());
        const auto kind = std::find_if(
            errors.begin(), errors.end(), [](const FileError& error) { return error.m_path == "classes[1].kind"; });
        CPPUNIT_ASSERT_EQUAL(std::string("\"service\" or \"batch\" or \"group\""), kind->m_accepted);
    }

    // Guards against declarations that would be accepted and then wait for ever.
    void quotasAndSizesThatCanNeverBeMetAreRefused()
    {
        struct Case {
            const char* m_from;
            const char* m_to;
            const char* m_path;
        };
        const std::vector<Case> cases {
            { "\"guaranteed\": {\"cpus\": 4", "\"guaranteed\": {\"cpus\": 8.001", "teams" },
            { "\"limit\": {\"cpus\": 8", "\"limit\": {\"cpus\": 3", "teams[0].guaranteed" },
            { "\"resources\": {\"cpus\": 1, \"memoryMiB\": 10}", "\"resources\": {\"cpus\": 4.5, \"memoryMiB\": 10}",
                "workloads[0].resources" },
            { "\"resources\": {\"cpus\": 1, \"memoryMiB\": 10}",
                "\"resources\": {\"cpus\": 1, \"memoryMiB\": 10, \"accelerators\": 1}", "workloads[0].resources" },
            // Each instance fits on a worker, and the sum fits into the capacity, but no packing exists.
            { "\"resources\": {\"cpus\": 1, \"memoryMiB\": 10}", "\"resources\": {\"cpus\": 2.5, \"memoryMiB\": 10}",
                "workloads[0].instances" },
            { "\"instances\": 3", "\"instances\": 3, \"maxPerRack\": 1", "workloads[0].instances" },
            { "\"instances\": 3", "\"instances\": 9", "workloads[0].instances" },
            { "\"class\": \"service\"", "\"class\": \"batch\"", "workloads[0].instances" },
            { "\"name\": \"w2\"", "\"name\": \"w1\"", "workers[1].name" },
            { "\"instances\": 3", "\"instances\": 3, \"minion\": {\"slots\": 8, \"connections\": 8}",
                "workloads[0].minion.connections" },
        };
        for (const Case& item : cases) {
            std::string text = smallFile();
            replace(text, item.m_from, item.m_to);
            const std::vector<FileError> errors = errorsOf(text);
            CPPUNIT_ASSERT_MESSAGE(std::string(item.m_to) + " at " + item.m_path, hasPath(errors, item.m_path));
        }
    }

    // Guards against a text that crashes the daemon, exhausts its memory, or hides a member behind a second one.
    void hostileTextsAreRefusedWithinBounds()
    {
        const std::vector<std::string> texts {
            "",
            "null",
            "{",
            "[]",
            "\xff\xfe",
            std::string(100000, '['),
            "{\"format\": 2, \"cell\": {}}",
            "{\"format\": 1e400}",
            "{\"format\": 18446744073709551616}",
            "{\"format\": 1, \"workers\": [" + repeated("{},", 5000) + "]}",
            "{\"format\": 1, \"workers\": [" + repeated("0,", 300000) + "]}",
            std::string(1024 * 1024 + 1, ' '),
        };
        for (const std::string& text : texts) {
            const std::vector<FileError> errors = errorsOf(text);
            CPPUNIT_ASSERT(!errors.empty() && errors.size() <= FileLimits().m_errors + 1);
        }
        std::string text = smallFile();
        replace(text, "\"instances\": 3", "\"instances\": 3, \"instances\": 1");
        CPPUNIT_ASSERT(hasPath(errorsOf(text), "workloads[0].instances"));

        // Two groups that are valid on their own exceed the bound together; nothing of the second is expanded.
        text = smallFile();
        const std::string group
            = "{\"namePrefix\": \"g-\", \"count\": 4000, \"perRack\": 8, \"failureDomain\": \"d\","
              " \"capacity\": {\"cpus\": 1, \"memoryMiB\": 1}, \"addressTemplate\": \"127.0.0.1:1\"}";
        replace(text, "\"teams\"", "\"workerGroups\": [" + group + "," + group + "], \"teams\"");
        CPPUNIT_ASSERT(hasPath(errorsOf(text), "workerGroups[1].count"));
    }

    // Guards against a new version, and different homes, because an operator sorted a list.
    void orderInTheTextHasNoMeaning()
    {
        std::string text = smallFile();
        replace(text, "\"rack\": \"l\"", "\"rack\": \"k\"");
        replace(text, "\"name\": \"w1\"", "\"name\": \"w10\"");
        replace(text, "\"name\": \"w2\"", "\"name\": \"w9\"");
        const ClusterFile file = parsed(text);
        CPPUNIT_ASSERT_EQUAL(std::string("w9"), file.m_workers.front().m_name.value());
        replace(text, "\"name\": \"w9\"", "\"name\": \"w0\"");
        replace(text, "\"name\": \"w10\"", "\"name\": \"w9\"");
        replace(text, "\"name\": \"w0\"", "\"name\": \"w10\"");
        CPPUNIT_ASSERT(parsed(text) == file);
    }

    // Guards against workers that change when the writer folds them into groups: gaps in the numbers, an exchanged
    // worker, racks of other sizes, own addresses.
    void irregularWorkersSurviveTheCompactForm()
    {
        std::string text = smallFile();
        replace(text, "\"teams\"",
            "\"workerGroups\": ["
            "{\"namePrefix\": \"a-\", \"first\": 7, \"count\": 20, \"perRack\": 8, \"failureDomain\": \"d\","
            " \"capacity\": {\"cpus\": 1, \"memoryMiB\": 1}, \"addressTemplate\": \"10.0.0.{number}:7100\"},"
            "{\"namePrefix\": \"a-\", \"first\": 40, \"count\": 9, \"perRack\": 3, \"failureDomain\": \"d\","
            " \"capacity\": {\"cpus\": 0.125, \"memoryMiB\": 1}, \"addressTemplate\": \"[fd00::{number}]:7100\"}],"
            "\"teams\"");
        ClusterFile file = parsed(text);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 31 }, file.m_workers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.7:7100"), file.m_workers[0].m_address);
        CPPUNIT_ASSERT_EQUAL(std::string("a-rack-15"), file.m_workers[8].m_rack.value());
        file.m_workers.erase(file.m_workers.begin() + 3);
        file.m_workers[10].m_capacity.m_cpuMillis = 1500;
        file.m_workers[14].m_rack = RackId("elsewhere");
        file.m_workers[25].m_address = "10.9.9.9:1";
        CPPUNIT_ASSERT(parsed(writeClusterFile(file)) == file);
    }

    // Guards against an apply whose effect the operator cannot see, and against a list without an end.
    void differenceNamesEachChange()
    {
        const ClusterFile before = parsed(smallFile());
        std::string text = smallFile();
        replace(text, "\"instances\": 3", "\"instances\": 2");
        replace(text, "\"name\": \"w2\"", "\"name\": \"w3\"");
        replace(text, "\"lost\": false", "\"lost\": true");
        const std::vector<std::string> expected { "failureDomains[d].lost: false -> true",
            "workers[w3]: added (d, 4 cpus, 100 MiB)", "workers[w2]: removed (d, 4 cpus, 100 MiB)",
            "workloads[front].instances: 3 -> 2" };
        CPPUNIT_ASSERT(differenceOf(before, parsed(text)) == expected);
        CPPUNIT_ASSERT(differenceOf(before, before).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("and 3 more changes"), differenceOf(before, parsed(text), 2).back());
    }

private:
    static bool hasPath(const std::vector<FileError>& errors, const std::string& path)
    {
        return std::any_of(errors.begin(), errors.end(), [&](const FileError& error) { return error.m_path == path; });
    }

    static std::string repeated(const std::string& part, int count)
    {
        std::string text;
        for (int i = 0; i < count; ++i)
            text += part;
        return text;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterFileTest);

} // namespace sapphiredale::configuration
