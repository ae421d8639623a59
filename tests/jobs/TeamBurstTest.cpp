// Replays of bursts of one team into a full simulated cell of 20 teams.

#include "tests/jobs/CellTesting.h"

#include <cmath>
#include <cstdlib>
#include <iostream>

namespace sapphiredale::jobs {

namespace {

    /// Load of a replay: 3 teams of 6 and 17 of 1.2 jobs per second, tasks of four cores that take 1.5 s.
    struct Load {
        std::uint64_t m_seed = 1;
        bool m_hasShares = true;
        /// Multiple of its usual rate that one of the large teams sends for 7 s.
        double m_burst = 1;
        bool m_hasTakeover = false;
        /// A long-running task on each worker.
        bool m_hasServices = true;
    };

    struct Outcome {
        /// Jobs of the teams that do not send the burst.
        std::uint32_t m_jobs = 0;
        std::uint32_t m_inTime = 0;
        std::uint32_t m_inTimeOfBurster = 0;
        std::uint32_t m_refused = 0;
        std::uint32_t m_refusedOfOthers = 0;
        /// Jobs that were accepted and are not done at the end.
        std::uint32_t m_open = 0;
        std::set<std::string> m_violations;

        double share() const { return static_cast<double>(m_inTime) / m_jobs; }
    };

    class Replay {
    public:
        explicit Replay(const Load& load)
            : m_load(load)
            , m_random(load.m_seed)
            , m_cell(startedCell(workerCount, load.m_seed))
        {
            for (int i = 0; i < teamCount; ++i)
                m_teams.push_back({ TeamId("t" + std::to_string(i)), i < largeTeams ? 6.0 : 1.2, {} });
            m_nextAt.resize(m_teams.size());
            setTeams();
        }

        Outcome run()
        {
            if (m_load.m_hasServices) {
                StepSpec service = SimulatedCell::step(workerCount, 4000, seconds(1));
                service.m_isLongRunning = true;
                service.m_maxPerWorker = 1;
                m_cell.accept(SimulatedCell::job("services", { service }));
                m_cell.run(seconds(1));
            }
            m_startedAt = m_cell.m_now;
            for (TimePoint& at : m_nextAt)
                at = m_startedAt;
            for (int i = 0; i < arrivalTime / SimulatedCell::tick; ++i) {
                if (m_load.m_hasTakeover && m_cell.m_now == m_startedAt + seconds(6)) {
                    m_cell.takeOver();
                    setTeams();
                }
                submitDue();
                m_cell.run(SimulatedCell::tick);
                collect();
            }
            for (int i = 0; i < drainTime / SimulatedCell::tick && m_open.size() > 0; ++i) {
                m_cell.run(SimulatedCell::tick);
                collect();
            }
            m_outcome.m_open = static_cast<std::uint32_t>(m_open.size());
            m_outcome.m_violations = m_cell.m_violations;
            return m_outcome;
        }

    private:
        static constexpr std::uint32_t workerCount = 9;
        static constexpr int teamCount = 20;
        static constexpr int largeTeams = 3;
        static constexpr std::size_t burster = 0;
        static constexpr Duration arrivalTime = seconds(16);
        static constexpr Duration drainTime = seconds(60);
        /// Ordinary demand as a part of the shares.
        static constexpr double usual = 0.9;

        void setTeams()
        {
            std::vector<TeamPolicy> teams = m_teams;
            for (TeamPolicy& team : teams)
                team.m_weight = m_load.m_hasShares ? team.m_weight : 0;
            m_cell.setTeams(teams);
        }

        double rateOf(std::size_t team) const
        {
            const Duration since = m_cell.m_now - m_startedAt;
            const bool isBurst = team == burster && since >= seconds(3) && since < seconds(10);
            return m_teams[team].m_weight * usual * (isBurst ? m_load.m_burst : 1);
        }

        void submitDue()
        {
            // Daemons learn of refused teams with the answer to their hello.
            if (m_nextHelloAt <= m_cell.m_now) {
                m_nextHelloAt = m_cell.m_now + seconds(1);
                m_refused.clear();
                for (const TeamRefusal& team : m_cell.m_scheduler->refusedTeams(m_cell.m_now))
                    m_refused.insert(team.m_team);
            }
            for (std::size_t team = 0; team < m_teams.size(); ++team) {
                while (m_nextAt[team] <= m_cell.m_now) {
                    const double draw = (static_cast<double>(m_random() % 1000000) + 1) / 1000001;
                    m_nextAt[team] += Duration(static_cast<Duration::rep>(-std::log(draw) / rateOf(team) * 1e6));
                    submit(team);
                }
            }
        }

        void submit(std::size_t team)
        {
            if (m_refused.contains(m_teams[team].m_team)) {
                ++m_outcome.m_refused;
                m_outcome.m_refusedOfOthers += team == burster ? 0 : 1;
                return;
            }
            const std::string id = m_teams[team].m_team.value() + "-" + std::to_string(++m_submitted);
            JobRecord record = SimulatedCell::job(id, { SimulatedCell::step(1, 4000, milliseconds(1500)) });
            record.m_team = m_teams[team].m_team;
            m_cell.accept(record);
            m_open[record.m_job] = team;
            m_outcome.m_jobs += team == burster ? 0 : 1;
        }

        void collect()
        {
            for (const EndedJob& ended : m_cell.m_scheduler->takeEnded()) {
                const auto found = m_open.find(ended.m_job);
                if (found == m_open.end() || ended.m_state != JobState::Done)
                    continue;
                if (ended.m_closedAt <= ended.m_objective)
                    ++(found->second == burster ? m_outcome.m_inTimeOfBurster : m_outcome.m_inTime);
                m_open.erase(found);
            }
        }

        const Load m_load;
        std::mt19937_64 m_random;
        SimulatedCell m_cell;
        std::vector<TeamPolicy> m_teams;
        std::vector<TimePoint> m_nextAt;
        TimePoint m_startedAt {};
        TimePoint m_nextHelloAt {};
        std::set<TeamId> m_refused;
        std::map<JobId, std::size_t> m_open;
        std::uint32_t m_submitted = 0;
        Outcome m_outcome;
    };

    Outcome play(const char* name, const Load& load)
    {
        Outcome outcome = Replay(load).run();
        // For figures in docs/design/team-shares.md.
        if (std::getenv("SAPPHIRE_PRINT_REPLAYS") != nullptr)
            std::cerr << name << " seed " << load.m_seed << ": " << outcome.m_inTime << " of " << outcome.m_jobs
                      << " jobs of the others in time, " << outcome.m_inTimeOfBurster << " of the burster, "
                      << outcome.m_refused << " refused, " << outcome.m_open << " open\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), outcome.m_violations.size());
        CPPUNIT_ASSERT_EQUAL(0U, outcome.m_open);
        return outcome;
    }

} // namespace

class TeamBurstTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TeamBurstTest);
    CPPUNIT_TEST(othersAreServedAsBefore);
    CPPUNIT_TEST(ordinaryLoadIsNotRefused);
    CPPUNIT_TEST(successorServesOthersAsBefore);
    CPPUNIT_TEST(workBeyondTheShareLeavesHeadroom);
    CPPUNIT_TEST(largeWorkBeyondTheShareStarts);
    CPPUNIT_TEST(stepThatCanNeverRunRefusesNobody);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: 9 workers, 0.72 of their processor time used by jobs of 20 teams and an eighth by services; one large team
    // sends ten times its usual rate for 7 s. Guards against jobs of the other teams that wait behind the burst, and
    // against accepted work that never ends. Without shares the same load makes many of them late.
    void othersAreServedAsBefore()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const Outcome calm = play("calm", { seed, true, 1, false, true });
            const Outcome burst = play("burst", { seed, true, 10, false, true });
            const Outcome without = play("burst without shares", { seed, false, 10, false, true });
            CPPUNIT_ASSERT(calm.share() > 0.95);
            CPPUNIT_ASSERT(burst.share() > calm.share() - 0.03);
            CPPUNIT_ASSERT(without.share() < calm.share() - 0.1);
            CPPUNIT_ASSERT_EQUAL(0U, burst.m_refusedOfOthers);
            CPPUNIT_ASSERT(burst.m_refused > 0);
            // The team itself gets its share, too.
            CPPUNIT_ASSERT(burst.m_inTimeOfBurster > calm.m_inTimeOfBurster / 2);
        }
    }

    // Load: ordinary demand. Guards against refusals of teams that keep to their share, whose arrivals come in
    // clusters.
    void ordinaryLoadIsNotRefused() { CPPUNIT_ASSERT_EQUAL(0U, play("calm", { 4, true, 1, false, true }).m_refused); }

    // Load: the burst, with a takeover in its midst. Guards against a successor that serves the burst first, as it has
    // not seen the jobs arrive.
    void successorServesOthersAsBefore()
    {
        const Outcome calm = play("calm, takeover", { 5, true, 1, true, true });
        const Outcome burst = play("burst, takeover", { 5, true, 10, true, true });
        CPPUNIT_ASSERT(burst.share() > calm.share() - 0.03);
        CPPUNIT_ASSERT_EQUAL(0U, burst.m_refusedOfOthers);
    }

    // Load: more tasks beyond the share than the pool holds, and nothing else. Guards against a pool that is full of
    // tasks of seconds when work within the shares arrives.
    void workBeyondTheShareLeavesHeadroom()
    {
        SimulatedCell cell = startedCell(10);
        cell.setTeams({ { TeamId("a"), 0.001, {} }, { TeamId("b"), 1.0, {} } });
        acceptBurst(cell, 200, SimulatedCell::step(1, 4000, seconds(4)));
        cell.run(seconds(1));
        // 80 tasks fit; eight would use the headroom of a tenth.
        CPPUNIT_ASSERT_EQUAL(std::size_t(72), runningRuns(cell));
        CPPUNIT_ASSERT(cell.m_scheduler->counters().m_headroomPasses > 0);
        for (int i = 0; i < 8; ++i) {
            JobRecord job = SimulatedCell::job("w" + std::to_string(i), { SimulatedCell::step(1, 4000, seconds(1)) });
            cell.accept(job);
        }
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(80), runningRuns(cell));
        cell.run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(cell.m_scheduler->openJobCount(), std::size_t(0));
        assertNoViolation(cell);
    }

    // Load: a gang beyond the share that needs more of the pool than the headroom leaves, and tasks that need a whole
    // worker, beside work within the shares that uses most of the pool all the time. Guards against accepted work that
    // never starts since it would use the headroom.
    void largeWorkBeyondTheShareStarts()
    {
        SimulatedCell cell = startedCell(4);
        cell.setTeams({ { TeamId("a"), 0.001, {} }, { TeamId("b"), 1.0, {} } });
        StepSpec gang = SimulatedCell::step(4, 32000, seconds(1));
        gang.m_isGang = true;
        acceptBurst(cell, 3, gang);
        cell.run(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), cell.m_scheduler->openJobCount());
        // 0.9 of the pool is used without a break.
        StepSpec service = SimulatedCell::step(4, 28800, seconds(1));
        service.m_isLongRunning = true;
        cell.accept(SimulatedCell::job("service", { service }));
        cell.run(seconds(1));
        acceptBurst(cell, 10, SimulatedCell::step(1, 3200, seconds(1)));
        cell.run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.m_scheduler->openJobCount());
        assertNoViolation(cell);
    }

    // Load: a burst into an idle pool, and a task that no worker can hold. Guards against teams that are refused for
    // long since one step waits for ever.
    void stepThatCanNeverRunRefusesNobody()
    {
        SimulatedCell cell = startedCell(4);
        cell.setTeams({ { TeamId("a"), 1.0, {} } });
        acceptBurst(cell, 30, SimulatedCell::step(1, 100, milliseconds(200)));
        acceptBurst(cell, 1, SimulatedCell::step(1, 64000, milliseconds(200)));
        cell.run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.m_scheduler->openJobCount());
        acceptBurst(cell, 30, SimulatedCell::step(1, 100, milliseconds(200)));
        cell.run(seconds(1));
        CPPUNIT_ASSERT(cell.m_scheduler->refusedTeams(cell.m_now).empty());
    }

private:
    /// Accepts jobs of team a at once.
    void acceptBurst(SimulatedCell& cell, int jobs, const StepSpec& step)
    {
        for (int i = 0; i < jobs; ++i) {
            JobRecord job = SimulatedCell::job("a" + std::to_string(++m_accepted), { step });
            job.m_team = TeamId("a");
            cell.accept(job);
        }
    }

    static std::size_t runningRuns(const SimulatedCell& cell)
    {
        std::size_t runs = 0;
        for (const auto& [id, worker] : cell.m_workers)
            runs += worker.m_running.size();
        return runs;
    }

    int m_accepted = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamBurstTest);

} // namespace sapphiredale::jobs
