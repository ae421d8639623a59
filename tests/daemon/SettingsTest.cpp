// Tests of the settings reader.

#include "daemon/Settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::daemon {

class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(readsACommentedFile);
    CPPUNIT_TEST(reportsAllFaultsWithTheirPaths);
    CPPUNIT_TEST(refusesALeaseThatOneLostRenewalEnds);
    CPPUNIT_TEST(reportsTheLineOfASyntaxError);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::string_view complete = R"({
        // identity
        "daemon": "d1", "failureDomain": "aalst-hal", "region": "vlaanderen",
        "listeners": { "callers": "127.0.0.1:8001", "operators": "127.0.0.1:9001", "peers": "127.0.0.1:6001",
            "relay": "[::1]:6101" },
        "peers": [ { "daemon": "d2", "failureDomain": "lokeren", "address": "127.0.0.1:6002" }, ],
        "platform": { "log": "127.0.0.1:7000", "hostList": "127.0.0.1:7000" },
    })";

public:
    void readsACommentedFile()
    {
        const SettingsResult result = parseSettings(complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, result.index());
        const Settings& settings = std::get<Settings>(result);
        CPPUNIT_ASSERT_EQUAL(std::string("d1"), settings.m_daemon.value());
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:6101"), settings.m_listeners.m_relay.text());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, settings.m_peers.size());
    }

    // Guards against a start that names one fault at a time, or ignores a misspelt member.
    void reportsAllFaultsWithTheirPaths()
    {
        const SettingsResult result = parseSettings(R"({
            "daemon": "", "region": "r", "failuredomain": "x",
            "listeners": { "callers": "localhost:1", "operators": "127.0.0.1:99999", "peers": 7, "relay": "127.0.0.1:0" },
            "platform": { "log": "127.0.0.1:7000", "hostList": "127.0.0.1:7000", "retentionSeconds": 1 } })");
        const auto& faults = std::get<std::vector<SettingsFault>>(result);
        std::vector<std::string> paths;
        paths.reserve(faults.size());
        for (const SettingsFault& fault : faults)
            paths.push_back(fault.m_path);
        const std::vector<std::string> expected { "/daemon", "/failureDomain", "/listeners/callers",
            "/listeners/operators", "/listeners/peers", "/listeners/relay", "/platform/retentionSeconds",
            "/failuredomain" };
        CPPUNIT_ASSERT(paths == expected);
    }

    // Guards against settings with which a single lost message would end every lease.
    void refusesALeaseThatOneLostRenewalEnds()
    {
        std::string text(complete);
        text.insert(text.rfind('}'), R"("leases": { "workerTtlMs": 10000, "workerWaitMs": 7000 })");
        const SettingsResult result = parseSettings(text);
        CPPUNIT_ASSERT_EQUAL(
            std::string("/leases/workerTtlMs"), std::get<std::vector<SettingsFault>>(result).at(0).m_path);
    }

    void reportsTheLineOfASyntaxError()
    {
        const SettingsResult result = parseSettings("{\n \"daemon\": \"d1\"\n \"region\" }");
        CPPUNIT_ASSERT(
            std::get<std::vector<SettingsFault>>(result).at(0).m_problem.find("line 3") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace sapphiredale::daemon
