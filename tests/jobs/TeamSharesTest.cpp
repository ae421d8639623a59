// Tests of the shares of teams: marks by the acceptance times, and refusals.

#include "jobs/TeamShares.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>

namespace sapphiredale::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TeamSharesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TeamSharesTest);
    CPPUNIT_TEST(usualRateStaysWithinTheShare);
    CPPUNIT_TEST(teamGetsItsShareWhileItSendsMore);
    CPPUNIT_TEST(slowTeamMaySendOneJobEarly);
    CPPUNIT_TEST(marksDoNotDependOnTheOrder);
    CPPUNIT_TEST(daemonWithAFastClockTakesNoShareFromOthers);
    CPPUNIT_TEST(withoutWeightsEverythingIsWithin);
    CPPUNIT_TEST(newWeightsMarkAllJobsAnew);
    CPPUNIT_TEST(forgottenJobsKeepTheMarksOfOthers);
    CPPUNIT_TEST(refusesOnlyWhileWorkWaits);
    CPPUNIT_TEST(refusalEndsWhenTheExcessIsWorkedOff);
    CPPUNIT_TEST(smallTeamWithAFewJobsIsNotRefused);
    CPPUNIT_TEST(extremeNumbersAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: a team of 10 jobs/s sends 10 jobs/s for a minute, from daemons whose clocks differ by some milliseconds.
    // Guards against jobs that count as beyond the share because of jitter.
    void usualRateStaysWithinTheShare()
    {
        setTeams({ { "a", 10.0 } });
        for (std::int64_t i = 0; i < 600; ++i)
            add("a", i * 100 + (i % 7) * 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), beyond());
    }

    // Load: ten times the share for 7 s. Guards against a team that is ordered last altogether, although its share is
    // owed to it, and against a penalty that outlasts the burst.
    void teamGetsItsShareWhileItSendsMore()
    {
        setTeams({ { "a", 10.0 } });
        for (std::int64_t i = 0; i < 700; ++i)
            add("a", i * 10);
        // 7 s at the rate of the share, and the tolerance.
        const std::size_t within = 700 - beyond();
        CPPUNIT_ASSERT(within >= 89 && within <= 92);
        const std::size_t before = beyond();
        for (std::int64_t i = 0; i < 50; ++i)
            add("a", 7000 + i * 100);
        CPPUNIT_ASSERT(beyond() <= before + 1);
    }

    // Load: a team of one job in 5 s, which sends its jobs with 200 ms of jitter. Guards against a tolerance in time
    // that is shorter than the interval of a small team.
    void slowTeamMaySendOneJobEarly()
    {
        setTeams({ { "a", 0.2 } });
        for (std::int64_t i = 0; i < 20; ++i)
            add("a", i * 5000 + (i % 2) * 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), beyond());
        add("a", 100400);
        add("a", 100401);
        add("a", 100402);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), beyond());
    }

    // Load: bursts of two teams, stamped by daemons whose clocks differ by up to 5 s. Guards against a successor that
    // orders the waiting jobs in another way, as it reads them in any order.
    void marksDoNotDependOnTheOrder()
    {
        std::mt19937_64 random(7);
        std::vector<Added> jobs;
        for (std::int64_t i = 0; i < 600; ++i) {
            const std::int64_t at = i * 20 + static_cast<std::int64_t>(random() % 3) * 2500;
            jobs.push_back({ "j" + std::to_string(i), i % 3 == 0 ? "b" : "a", at });
        }
        setTeams({ { "a", 10.0 }, { "b", 3.0 } });
        for (const Added& job : jobs) {
            m_shares.add(JobId(job.m_job), TeamId(job.m_team), job.m_at);
            applyChanges();
        }
        const std::map<JobId, ShareMark> expected = m_marks;
        for (int round = 0; round < 5; ++round) {
            std::shuffle(jobs.begin(), jobs.end(), random);
            TeamShares successor;
            std::map<JobId, ShareMark> marks;
            for (const Added& job : jobs)
                successor.add(JobId(job.m_job), TeamId(job.m_team), job.m_at);
            successor.setTeams({ { TeamId("b"), 3.0, {} }, { TeamId("a"), 10.0, {} } });
            for (const auto& [job, mark] : successor.takeMarkChanges())
                marks[job] = mark;
            for (const Added& job : jobs)
                CPPUNIT_ASSERT(marks[JobId(job.m_job)] == valueAt(expected, job.m_job));
        }
        CPPUNIT_ASSERT(beyond() > 100);
    }

    // Load: a team at its share, one in ten of its jobs from a daemon whose clock is 5 s ahead. Guards against a clock
    // that puts all jobs of its team beyond the share.
    void daemonWithAFastClockTakesNoShareFromOthers()
    {
        setTeams({ { "a", 10.0 } });
        for (std::int64_t i = 0; i < 300; ++i)
            add("a", i * 100 + (i % 10 == 0 ? 5000 : 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), beyond());
    }

    // Guards against a deployment without weights that is served in another order than before.
    void withoutWeightsEverythingIsWithin()
    {
        for (std::int64_t i = 0; i < 100; ++i)
            add("a", i);
        setTeams({ { "a", 0.0 }, { "b", 0.0 } });
        for (std::int64_t i = 0; i < 100; ++i)
            add("b", i);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), beyond());
        CPPUNIT_ASSERT(m_marks.empty());
        m_shares.noteRoomWait(0, TimePoint(seconds(1)));
        m_shares.updateRefusals(100, TimePoint(seconds(1)));
        CPPUNIT_ASSERT(m_shares.refusedTeams(TimePoint(seconds(1))).empty());
    }

    // Guards against marks of an earlier configuration that a successor does not derive.
    void newWeightsMarkAllJobsAnew()
    {
        for (std::int64_t i = 0; i < 100; ++i)
            add("a", i * 100);
        setTeams({ { "a", 1.0 }, { "b", 1.0 } });
        CPPUNIT_ASSERT(beyond() > 80);
        setTeams({ { "a", 10.0 }, { "b", 1.0 } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), beyond());
        // A team that the configuration no longer names has no share.
        setTeams({ { "b", 1.0 } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), beyond());
        CPPUNIT_ASSERT((std::vector<TeamJobs> { { TeamId("b"), 0, 0 }, { TeamId(), 0, 100 } }) == m_shares.jobCounts());
    }

    // Guards against a retention time after which a burst that goes on is marked as new.
    void forgottenJobsKeepTheMarksOfOthers()
    {
        setTeams({ { "a", 1.0 } });
        for (std::int64_t i = 0; i < 40; ++i)
            add("a", 1000 + i * 10);
        const std::size_t before = beyond();
        m_shares.remove(JobId("a-1000-1"), 0, 1000);
        m_shares.remove(JobId("a-1010-2"), 0, 1010);
        add("a", 1400);
        CPPUNIT_ASSERT_EQUAL(before + 1, beyond());
    }

    // Load: ten times the share into a cell with room. Guards against refusals that leave room unused.
    void refusesOnlyWhileWorkWaits()
    {
        setTeams({ { "a", 10.0 } });
        for (std::int64_t i = 0; i < 200; ++i)
            add("a", i * 10);
        const TimePoint now(seconds(50));
        m_shares.updateRefusals(2000, now);
        CPPUNIT_ASSERT(m_shares.refusedTeams(now).empty());
        m_shares.noteRoomWait(0, now);
        m_shares.updateRefusals(2000, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_shares.refusedTeams(now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_shares.takeRefusalChanges().size());
        // Nothing waits any more.
        const TimePoint later = now + roomWaitMemory;
        m_shares.updateRefusals(2000 + millisecondsOf(roomWaitMemory), later);
        CPPUNIT_ASSERT(m_shares.refusedTeams(later).empty());
        const std::vector<TeamRefusalChange> changes = m_shares.takeRefusalChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
        CPPUNIT_ASSERT(!changes.front().m_isRefused);
    }

    // Load: a long burst, then silence, while the cell stays full. Guards against a refusal that lasts longer than the
    // time that callers are told, or does not end.
    void refusalEndsWhenTheExcessIsWorkedOff()
    {
        setTeams({ { "a", 10.0 } });
        for (std::int64_t i = 0; i < 3000; ++i)
            add("a", i * 10);
        const TimePoint begin(seconds(50));
        m_shares.noteRoomWait(0, begin);
        m_shares.updateRefusals(30000, begin);
        const std::vector<TeamRefusal> refused = m_shares.refusedTeams(begin);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused.size());
        CPPUNIT_ASSERT(refused.front().m_until > begin + seconds(9));
        CPPUNIT_ASSERT(refused.front().m_until <= begin + seconds(10));
        for (int ms = 100; ms <= 11000; ms += 100) {
            const TimePoint now = begin + milliseconds(ms);
            m_shares.noteRoomWait(0, now);
            m_shares.updateRefusals(30000 + ms, now);
            // The time does not move while the team sends nothing.
            for (const TeamRefusal& team : m_shares.refusedTeams(now))
                CPPUNIT_ASSERT(team.m_until == refused.front().m_until);
            CPPUNIT_ASSERT_EQUAL(now < refused.front().m_until, !m_shares.refusedTeams(now).empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_shares.takeRefusalChanges().size());
    }

    // Load: a team of half a job per second sends five jobs at once into a full cell. Guards against a bound in time
    // that a small team exceeds with one or two jobs.
    void smallTeamWithAFewJobsIsNotRefused()
    {
        setTeams({ { "a", 0.5 }, { "b", 50.0 } });
        for (std::int64_t i = 0; i < 5; ++i)
            add("a", i);
        const TimePoint now(seconds(50));
        m_shares.noteRoomWait(0, now);
        m_shares.updateRefusals(5, now);
        CPPUNIT_ASSERT(m_shares.refusedTeams(now).empty());
        for (std::int64_t i = 0; i < 5; ++i)
            add("a", i);
        m_shares.updateRefusals(5, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_shares.refusedTeams(now).size());
    }

    // Guards against overflows by times of acceptance and weights that no sound record or configuration has.
    void extremeNumbersAreBounded()
    {
        setTeams({ { "a", 1e-300 }, { "b", 1e300 } });
        for (const std::int64_t at : { std::numeric_limits<std::int64_t>::min(), std::int64_t(0), std::int64_t(1),
                 std::numeric_limits<std::int64_t>::max() }) {
            for (std::int64_t i = 0; i < 20; ++i) {
                add("a", at);
                add("b", at);
            }
        }
        m_shares.noteRoomWait(0, TimePoint(seconds(1)));
        m_shares.updateRefusals(1, TimePoint(seconds(1)));
        for (const TeamJobs& jobs : m_shares.jobCounts())
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(80), jobs.m_within + jobs.m_beyond);
    }

private:
    struct Added {
        std::string m_job;
        std::string m_team;
        std::int64_t m_at = 0;
    };

    static ShareMark valueAt(const std::map<JobId, ShareMark>& marks, const std::string& job)
    {
        const auto found = marks.find(JobId(job));
        return found == marks.end() ? ShareMark() : found->second;
    }

    void setTeams(const std::vector<std::pair<std::string, double>>& weights)
    {
        std::vector<TeamPolicy> teams;
        for (const auto& [team, weight] : weights)
            teams.push_back({ TeamId(team), weight, {} });
        m_shares.setTeams(teams);
        applyChanges();
    }

    void add(const std::string& team, std::int64_t at)
    {
        const std::string job = team + "-" + std::to_string(at) + "-" + std::to_string(++m_added);
        m_shares.add(JobId(job), TeamId(team), at);
        applyChanges();
    }

    void applyChanges()
    {
        for (const auto& [job, mark] : m_shares.takeMarkChanges())
            m_marks[job] = mark;
    }

    std::size_t beyond() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_marks.begin(), m_marks.end(), [](const auto& entry) { return entry.second.m_isBeyond; }));
    }

    TeamShares m_shares;
    std::map<JobId, ShareMark> m_marks;
    int m_added = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamSharesTest);

} // namespace sapphiredale::jobs
