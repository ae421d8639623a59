// Tests of the metrics of teams.

#include "controller/TeamMetrics.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::controller {

class TeamMetricsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TeamMetricsTest);
    CPPUNIT_TEST(seriesOfATeam);
    CPPUNIT_TEST(nameOfATeamStaysInsideItsLabel);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against series with other names, labels or values than docs/METRICS.md describes.
    void seriesOfATeam()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), teamMetricsText({}));
        CPPUNIT_ASSERT_EQUAL(std::string("sapphire_team_use{team=\"t\",resource=\"cpu_millis\"} 1500\n"
                                         "sapphire_team_use{team=\"t\",resource=\"memory_mib\"} 2048\n"
                                         "sapphire_team_use{team=\"t\",resource=\"accelerators\"} 1\n"
                                         "sapphire_team_limit{team=\"t\",resource=\"cpu_millis\"} 4000\n"
                                         "sapphire_team_limit{team=\"t\",resource=\"memory_mib\"} 0\n"
                                         "sapphire_team_limit{team=\"t\",resource=\"accelerators\"} 2\n"
                                         "sapphire_team_waiting_tasks{team=\"t\"} 7\n"),
            teamMetricsText({ { TeamId("t"), { 1500, 2048, 1 }, { 4000, 0, 2 }, 7 } }));
    }

    // Guards against the name of a team that forges another series or breaks the page.
    void nameOfATeamStaysInsideItsLabel()
    {
        const std::string text = teamMetricsText({ { TeamId("a\"} 1\n\\"), {}, {}, 0 } });
        CPPUNIT_ASSERT(text.find("sapphire_team_waiting_tasks{team=\"a\\\"} 1\\n\\\\\"} 0\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(7), std::count(text.begin(), text.end(), '\n'));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamMetricsTest);

} // namespace sapphiredale::controller
