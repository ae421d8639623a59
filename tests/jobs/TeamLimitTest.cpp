// Tests of the limits of teams: what counts as use, what waits for the limit, and what does not wait for another team.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class TeamLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TeamLimitTest);
    CPPUNIT_TEST(eachResourceIsLimitedAndZeroIsNone);
    CPPUNIT_TEST(workThatCanNeverRunIsRecognized);
    CPPUNIT_TEST(wideStepRunsInWaves);
    CPPUNIT_TEST(fillingTasksCountWithTheirWholeNeed);
    CPPUNIT_TEST(longRunningTasksCount);
    CPPUNIT_TEST(gangStartsOnlyAsAWhole);
    CPPUNIT_TEST(gangAtTheLimitKeepsNoWorkersFree);
    CPPUNIT_TEST(loweredLimitStopsNothing);
    CPPUNIT_TEST(raisedLimitTakesEffectWithTheNextStep);
    CPPUNIT_TEST(placedRunIsTakenBackAfterALowerLimit);
    CPPUNIT_TEST(placedGangIsTakenBackAsAWhole);
    CPPUNIT_TEST(jobsWithATeamWaitForTheFirstConfiguration);
    CPPUNIT_TEST(unnamedTeamGoesByTheStoredLimit);
    CPPUNIT_TEST(startThatWasGivenUpCountsUntilItCannotBegin);
    CPPUNIT_TEST(lateStartInALaterProcessCountsOnce);
    CPPUNIT_TEST(runsOnASilentWorkerCountUntilItsLeaseHasEnded);
    CPPUNIT_TEST(successorCountsWhatUnreportedWorkersMayRun);
    CPPUNIT_TEST(successorCountsEachReportedRunOnce);
    CPPUNIT_TEST(successorCountsRunsOfCancelledJobs);
    CPPUNIT_TEST(runsThatAreBeingStoppedCount);
    CPPUNIT_TEST(teamAtItsLimitDoesNotHoldUpAnother);
    CPPUNIT_TEST(stepAtTheLimitSendsNoAdviceRequest);
    CPPUNIT_TEST(stepsThatAskForTheLastPlaceHoldUpNoOtherTeam);
    CPPUNIT_TEST(claimEndsWithItsRequest);
    CPPUNIT_TEST(lateStartThatNobodySeesCountsUntilItsLeaseHasEnded);
    CPPUNIT_TEST(successorCountsCopiesAtTwoUnreportedWorkers);
    CPPUNIT_TEST(metricsNameTheTeamsOfTheConfigurationOnly);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t core = 1000;

    static TeamPolicy policy(const std::string& team, Resources limit) { return { TeamId(team), 1, limit }; }

    static JobRecord teamJob(const std::string& team, const std::string& id, StepSpec step)
    {
        JobRecord record = SimulatedCell::job(id, { std::move(step) });
        record.m_team = TeamId(team);
        return record;
    }

    static SimulatedCell cellWithLimit(std::uint32_t workers, Resources limit)
    {
        SimulatedCell cell = startedCell(workers);
        cell.setTeams({ policy("t", limit) });
        return cell;
    }

    static Resources countedUse(const SimulatedCell& cell)
    {
        for (const TeamUse& use : cell.m_scheduler->teamUses()) {
            if (use.m_team == TeamId("t"))
                return use.m_use;
        }
        return {};
    }

    /// A scheduler that this test drives by hand, with one worker of 32 cores that has reported.
    struct DrivenScheduler {
        explicit DrivenScheduler(std::uint32_t workers = 1)
        {
            SimulatedCell cell(workers);
            for (const auto& [id, worker] : cell.m_workers) {
                m_scheduler.workerListed(worker.m_description, m_now);
                m_scheduler.workerReported(id, { 1, m_now, {}, {} }, m_now);
            }
        }

        std::vector<SchedulerAction> step(AdviceCapacity advice = {}) { return m_scheduler.step(0, m_now, advice); }
        std::size_t starts()
        {
            const std::vector<SchedulerAction> actions = step();
            return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(),
                [](const auto& action) { return std::holds_alternative<StartOrder>(action); }));
        }
        void store() { m_scheduler.stored(m_scheduler.takeChanges().m_number); }

        TimePoint m_now { seconds(100) };
        JobScheduler m_scheduler { SchedulerSettings {} };
    };

public:
    // Guards against a limit of one resource that is missed since another one has none, and against a zero that is
    // taken for "nothing".
    void eachResourceIsLimitedAndZeroIsNone()
    {
        TeamLimits limits;
        limits.setTeams({ policy("t", { 0, 2048, 1 }) });
        const TeamNumber team = limits.numberOf(TeamId("t"));
        CPPUNIT_ASSERT(limits.allows(team, {}, { 1'000'000 * core, 2048, 1 }));
        CPPUNIT_ASSERT(!limits.allows(team, {}, { 0, 2049, 0 }));
        CPPUNIT_ASSERT(!limits.allows(team, {}, { 0, 0, 2 }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), limits.claimableSlots(team, {}, { core, 1024, 0 }));
        limits.charge(team, { core, 1024, 0 });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), limits.claimableSlots(team, {}, { core, 1024, 0 }));
        limits.claim(team, { core, 1024, 0 });
        CPPUNIT_ASSERT(!limits.mayClaim(team, {}, { 0, 1, 0 }));
        CPPUNIT_ASSERT(limits.allows(team, {}, { core, 1024, 0 }));
        limits.unclaim(team, { core, 1024, 0 });
        limits.refund(team, { core, 1024, 0 });
        CPPUNIT_ASSERT(limits.use(team).isZero());
        CPPUNIT_ASSERT_EQUAL(noTeam, limits.numberOf(TeamId()));
        CPPUNIT_ASSERT(limits.allows(noTeam, {}, { 1'000'000 * core, 0, 0 }));
    }

    // Guards against an accepted job that waits forever since a task, or a whole gang, is larger than the limit.
    void workThatCanNeverRunIsRecognized()
    {
        JobSpec spec;
        spec.m_steps = { SimulatedCell::step(100, 4 * core, seconds(1)), SimulatedCell::step(3, 4 * core, seconds(1)) };
        CPPUNIT_ASSERT(succeeded(checkLimit(spec, { 4 * core, 0, 0 })));
        CPPUNIT_ASSERT(succeeded(checkLimit(spec, {})));
        CPPUNIT_ASSERT(errorOf(checkLimit(spec, { 4 * core - 1, 0, 0 })).m_detail.starts_with("steps[0]"));
        spec.m_steps[1].m_isGang = true;
        CPPUNIT_ASSERT(errorOf(checkLimit(spec, { 11 * core, 0, 0 })).m_detail.starts_with("steps[1]"));
        CPPUNIT_ASSERT(succeeded(checkLimit(spec, { 12 * core, 0, 0 })));
    }

    // Guards against a step wider than its team's limit that exceeds it, or that never ends.
    void wideStepRunsInWaves()
    {
        SimulatedCell cell = cellWithLimit(4, { 8 * core, 0, 0 });
        cell.accept(teamJob("t", "j", SimulatedCell::step(10, 2 * core, seconds(1))));
        cell.run(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(4U, cell.running("j"));
        cell.run(seconds(4));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT(countedUse(cell).isZero());
        assertNoViolation(cell);
    }

    // Guards against filling tasks that escape the limit since they reserve no processor time.
    void fillingTasksCountWithTheirWholeNeed()
    {
        SimulatedCell cell = cellWithLimit(4, { 6 * core, 0, 0 });
        StepSpec filling = SimulatedCell::step(10, 2 * core, seconds(5));
        filling.m_isFilling = true;
        cell.accept(teamJob("t", "j", filling));
        cell.run(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(3U, cell.running("j"));
        assertNoViolation(cell);
    }

    // Guards against long-running tasks that leave a team's limit to its other jobs.
    void longRunningTasksCount()
    {
        SimulatedCell cell = cellWithLimit(4, { 8 * core, 0, 0 });
        StepSpec lasting = SimulatedCell::step(3, 2 * core, milliseconds(100));
        lasting.m_isLongRunning = true;
        cell.accept(teamJob("t", "lasting", lasting));
        cell.run(milliseconds(300));
        cell.accept(teamJob("t", "j", SimulatedCell::step(4, 2 * core, seconds(1))));
        cell.run(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(3U, cell.running("lasting"));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        cell.run(seconds(5));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(3U, cell.running("lasting"));
        assertNoViolation(cell);
    }

    // Guards against a gang of which only the members that fit in the limit start, and wait for the others.
    void gangStartsOnlyAsAWhole()
    {
        SimulatedCell cell = cellWithLimit(4, { 8 * core, 0, 0 });
        cell.accept(teamJob("t", "first", SimulatedCell::step(1, 4 * core, seconds(1))));
        cell.run(milliseconds(100));
        StepSpec gang = SimulatedCell::step(3, 2 * core, seconds(1));
        gang.m_isGang = true;
        cell.accept(teamJob("t", "gang", gang));
        cell.run(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("gang"));
        cell.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(3U, cell.running("gang"));
        cell.run(seconds(2));
        CPPUNIT_ASSERT(cell.state("gang") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against workers that stay idle for a gang which its team's limit holds back: they are lost to other teams.
    void gangAtTheLimitKeepsNoWorkersFree()
    {
        SimulatedCell cell = cellWithLimit(4, { 64 * core, 0, 0 });
        // Workers with room at once are reserved for a gang that does not fit now.
        cell.accept(SimulatedCell::job("full", { SimulatedCell::step(4, 32 * core, milliseconds(400)) }));
        cell.run(milliseconds(150));
        StepSpec gang = SimulatedCell::step(2, 32 * core, seconds(5));
        gang.m_isGang = true;
        cell.accept(teamJob("t", "gang", gang));
        cell.run(milliseconds(150));
        cell.setTeams({ policy("t", { 32 * core, 0, 0 }) });
        cell.accept(SimulatedCell::job("other", { SimulatedCell::step(4, 32 * core, seconds(1)) }));
        cell.run(milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(4U, cell.running("other"));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("gang"));
        assertNoViolation(cell);
    }

    // Guards against a lower limit that ends running tasks, and against one that is ignored while they run.
    void loweredLimitStopsNothing()
    {
        SimulatedCell cell = cellWithLimit(4, { 8 * core, 0, 0 });
        cell.accept(teamJob("t", "j", SimulatedCell::step(6, 2 * core, seconds(1))));
        cell.run(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(4U, cell.running("j"));
        cell.setTeams({ policy("t", { 2 * core, 0, 0 }) });
        cell.run(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(4U, cell.running("j"));
        cell.run(milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        cell.run(seconds(2));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), cell.m_starts);
        assertNoViolation(cell);
    }

    // Guards against a higher limit that takes effect only when a task of the team ends.
    void raisedLimitTakesEffectWithTheNextStep()
    {
        DrivenScheduler driven;
        JobScheduler& scheduler = driven.m_scheduler;
        scheduler.setTeams({ policy("t", { 2 * core, 0, 0 }) }, driven.m_now);
        scheduler.addJob(teamJob("t", "j", SimulatedCell::step(4, 2 * core, seconds(9))), {}, 0, driven.m_now);
        driven.step();
        driven.store();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), driven.starts());
        scheduler.setTeams({ policy("t", { 8 * core, 0, 0 }) }, driven.m_now);
        driven.step();
        driven.store();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), driven.starts());
    }

    // Guards against a run that is sent after the limit was lowered, since it had been placed before; and against one
    // that is taken back although the use without others that are taken back is within the limit.
    void placedRunIsTakenBackAfterALowerLimit()
    {
        DrivenScheduler driven;
        JobScheduler& scheduler = driven.m_scheduler;
        scheduler.setTeams({ policy("t", { 8 * core, 0, 0 }) }, driven.m_now);
        scheduler.addJob(teamJob("t", "j", SimulatedCell::step(4, 2 * core, seconds(9))), {}, 0, driven.m_now);
        driven.step();
        CPPUNIT_ASSERT(scheduler.teamUses().front().m_use == Resources({ 8 * core, 4096, 0 }));
        scheduler.setTeams({ policy("t", { 3 * core, 0, 0 }) }, driven.m_now);
        driven.store();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), driven.starts());
        CPPUNIT_ASSERT(scheduler.teamUses().front().m_use == Resources({ 2 * core, 1024, 0 }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), scheduler.teamUses().front().m_waitingTasks);
    }

    // Guards against a gang of which a part is sent after the limit was lowered.
    void placedGangIsTakenBackAsAWhole()
    {
        DrivenScheduler driven;
        JobScheduler& scheduler = driven.m_scheduler;
        StepSpec gang = SimulatedCell::step(3, 2 * core, seconds(9));
        gang.m_isGang = true;
        scheduler.setTeams({ policy("t", { 8 * core, 0, 0 }) }, driven.m_now);
        scheduler.addJob(teamJob("t", "j", gang), {}, 0, driven.m_now);
        driven.step();
        scheduler.setTeams({ policy("t", { 4 * core, 0, 0 }) }, driven.m_now);
        driven.store();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), driven.starts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), driven.starts());
    }

    // Guards against starts beyond a limit that a new scheduler does not know yet, and against jobs without a team that
    // wait for a configuration.
    void jobsWithATeamWaitForTheFirstConfiguration()
    {
        SimulatedCell cell = startedCell(2);
        JobRecord record = teamJob("t", "j", SimulatedCell::step(1, core, seconds(1)));
        record.m_teamLimit = { 8 * core, 0, 0 };
        cell.accept(record);
        cell.accept(SimulatedCell::job("free", { SimulatedCell::step(1, core, seconds(1)) }));
        cell.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("j"));
        CPPUNIT_ASSERT(cell.state("free") == JobState::Done);
        const auto waits = cell.m_scheduler->takeLongWaits(seconds(1), 10, cell.m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), waits.size());
        CPPUNIT_ASSERT(waits.front().m_reason.find("teamLimit unknown") != std::string::npos);
        cell.setTeams({});
        cell.run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
    }

    // Guards against accepted jobs of a removed team that never end, or that nothing limits.
    void unnamedTeamGoesByTheStoredLimit()
    {
        SimulatedCell cell = cellWithLimit(4, { 8 * core, 0, 0 });
        JobRecord record = teamJob("removed", "j", SimulatedCell::step(4, 2 * core, seconds(1)));
        record.m_teamLimit = { 4 * core, 0, 0 };
        cell.accept(record);
        cell.run(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("j"));
        cell.run(seconds(3));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against a team that exceeds its limit since a start that got no answer is carried out by a later process
    // of its worker while another task has its place.
    void startThatWasGivenUpCountsUntilItCannotBegin()
    {
        DrivenScheduler driven(2);
        JobScheduler& scheduler = driven.m_scheduler;
        scheduler.setTeams({ policy("t", { 2 * core, 0, 0 }) }, driven.m_now);
        scheduler.addJob(teamJob("t", "a", SimulatedCell::step(1, 2 * core, seconds(9))), {}, 0, driven.m_now);
        driven.step();
        driven.store();
        const std::vector<SchedulerAction> actions = driven.step();
        const auto& order = std::get<StartOrder>(actions.front());
        const TimePoint orderedAt = driven.m_now;
        const auto report = [&] {
            driven.m_now += milliseconds(300);
            for (const auto& [id, worker] : scheduler.workers())
                scheduler.workerReported(id, { 1, driven.m_now - milliseconds(1), {}, {} }, driven.m_now);
        };
        scheduler.startAnswered(order.m_worker, order.m_run, StartOutcome::Unknown, driven.m_now);
        report();
        scheduler.stopAnswered(order.m_worker, order.m_run, true, driven.m_now, driven.m_now);
        report();
        CPPUNIT_ASSERT(scheduler.worker(order.m_worker)->m_runs.empty());
        scheduler.cancelJob(JobId("a"), driven.m_now);
        scheduler.addJob(teamJob("t", "b", SimulatedCell::step(1, 2 * core, seconds(9))), {}, 0, driven.m_now);
        while (driven.m_now + milliseconds(300) <= orderedAt + maxOrderDelay) {
            driven.step();
            driven.store();
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), driven.starts());
            CPPUNIT_ASSERT(scheduler.teamUses().front().m_use == Resources({ 2 * core, 1024, 0 }));
            report();
        }
        report();
        driven.step();
        driven.store();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), driven.starts());
        CPPUNIT_ASSERT(scheduler.teamUses().front().m_use == Resources({ 2 * core, 1024, 0 }));
    }

    // Guards against a start that is charged twice, as given up and as a run that a later process is to stop; the team
    // would then lose a part of its limit for good.
    void lateStartInALaterProcessCountsOnce()
    {
        SimulatedCell cell = cellWithLimit(1, { 2 * core, 0, 0 });
        SimulatedWorker& worker = cell.m_workers.begin()->second;
        cell.m_startDelay = seconds(6);
        worker.m_delaysStarts = true;
        cell.accept(teamJob("t", "j", SimulatedCell::step(1, 2 * core, seconds(1))));
        cell.run(milliseconds(100));
        worker.m_delaysStarts = false;
        cell.run(seconds(2));
        CPPUNIT_ASSERT(cell.m_workers.begin()->second.m_running.empty());
        cell.restartWorker(worker.m_description.m_worker, worker.m_description.m_capacity);
        cell.listAll();
        for (int i = 0; i < 400; ++i) {
            cell.run(milliseconds(100));
            CPPUNIT_ASSERT(countedUse(cell).fitsIn({ 2 * core, 1024, 0 }));
        }
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT(countedUse(cell).isZero());
        assertNoViolation(cell);
    }

    // Guards against a copy that starts beyond the limit while the first run goes on at a worker that is cut off.
    void runsOnASilentWorkerCountUntilItsLeaseHasEnded()
    {
        SimulatedCell cell = cellWithLimit(3, { 4 * core, 0, 0 });
        StepSpec step = SimulatedCell::step(1, 4 * core, seconds(30));
        step.m_allowsCopies = true;
        cell.accept(teamJob("t", "j", step));
        cell.run(milliseconds(200));
        const WorkerId cut = firstWorkerOf(cell);
        cell.m_workers.at(cut).m_isReachable = false;
        cell.run(seconds(6));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        CPPUNIT_ASSERT(countedUse(cell) == Resources({ 4 * core, 1024, 0 }));
        cell.run(seconds(6));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        CPPUNIT_ASSERT(cell.m_workers.at(cut).m_running.empty());
        assertNoViolation(cell);
    }

    // Guards against a successor that starts up to the limit beside tasks of its predecessor at a worker that it cannot
    // reach, and against one that counts them for longer than their lease.
    void successorCountsWhatUnreportedWorkersMayRun()
    {
        SimulatedCell cell = cellWithLimit(3, { 4 * core, 0, 0 });
        cell.accept(teamJob("t", "running", SimulatedCell::step(1, 4 * core, seconds(30))));
        cell.run(milliseconds(200));
        const WorkerId cut = firstWorkerOf(cell);
        cell.m_workers.at(cut).m_isReachable = false;
        cell.takeOver();
        cell.accept(teamJob("t", "waiting", SimulatedCell::step(1, 4 * core, seconds(1))));
        cell.accept(SimulatedCell::job("other", { SimulatedCell::step(1, 4 * core, seconds(1)) }));
        cell.run(seconds(4));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("running"));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("waiting"));
        CPPUNIT_ASSERT(cell.state("other") == JobState::Done);
        CPPUNIT_ASSERT(countedUse(cell) == Resources({ 4 * core, 1024, 0 }));
        cell.run(seconds(60));
        CPPUNIT_ASSERT(cell.state("running") == JobState::Done);
        CPPUNIT_ASSERT(cell.state("waiting") == JobState::Done);
        CPPUNIT_ASSERT(countedUse(cell).isZero());
        assertNoViolation(cell);
    }

    // Guards against a task that a successor counts both as a run that a report lists and as one that may run at
    // another place of its step that has not reported.
    void successorCountsEachReportedRunOnce()
    {
        SimulatedCell cell = cellWithLimit(3, {});
        StepSpec step = SimulatedCell::step(3, 4 * core, seconds(30));
        step.m_maxPerWorker = 1;
        cell.accept(teamJob("t", "j", step));
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(3U, cell.running("j"));
        cell.m_workers.begin()->second.m_isReachable = false;
        cell.takeOver();
        cell.run(seconds(1));
        CPPUNIT_ASSERT(countedUse(cell) == Resources({ 12 * core, 3072, 0 }));
        cell.m_workers.begin()->second.m_isReachable = true;
        cell.run(seconds(1));
        CPPUNIT_ASSERT(countedUse(cell) == Resources({ 12 * core, 3072, 0 }));
        assertNoViolation(cell);
    }

    // Guards against a successor that does not count a run of a cancelled job at a worker that nobody can reach: the
    // record of an ended job named no places.
    void successorCountsRunsOfCancelledJobs()
    {
        for (const bool isAcceptedTopicUnavailable : { false, true }) {
            SimulatedCell cell = cellWithLimit(3, { 4 * core, 0, 0 });
            cell.accept(teamJob("t", "cancelled", SimulatedCell::step(1, 4 * core, seconds(30))));
            cell.run(milliseconds(200));
            cell.m_workers.at(firstWorkerOf(cell)).m_isReachable = false;
            cell.cancel(JobId("cancelled"));
            cell.run(milliseconds(300));
            CPPUNIT_ASSERT(cell.m_store.at(JobId("cancelled")).m_state == JobState::Cancelled);
            cell.m_isAcceptedTopicUnavailable = isAcceptedTopicUnavailable;
            cell.takeOver();
            cell.accept(teamJob("t", "waiting", SimulatedCell::step(1, 4 * core, seconds(1))));
            cell.run(seconds(4));
            CPPUNIT_ASSERT_EQUAL(1U, cell.running("cancelled"));
            CPPUNIT_ASSERT_EQUAL(0U, cell.running("waiting"));
            cell.run(seconds(12));
            CPPUNIT_ASSERT(cell.state("waiting") == JobState::Done);
            // Nothing of the ended job stays in the store but its state.
            CPPUNIT_ASSERT(cell.m_store.at(JobId("cancelled")).m_places.empty());
            CPPUNIT_ASSERT(cell.m_keptRecords.empty());
            assertNoViolation(cell);
        }
    }

    // Guards against a team that starts more while tasks of its cancelled job are still being stopped.
    void runsThatAreBeingStoppedCount()
    {
        SimulatedCell cell = cellWithLimit(2, { 4 * core, 0, 0 });
        cell.accept(teamJob("t", "cancelled", SimulatedCell::step(2, 2 * core, seconds(30))));
        cell.run(milliseconds(200));
        cell.accept(teamJob("t", "next", SimulatedCell::step(2, 2 * core, seconds(1))));
        cell.cancel(JobId("cancelled"));
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("cancelled"));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("next"));
        cell.run(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("next"));
        assertNoViolation(cell);
    }

    // Guards against a team whose waiting steps use up the steps that a pass examines, so that other teams with room
    // get nothing. Load: 600 jobs of 2 tasks of a team whose limit is 2 tasks, and one job of another team each 50 ms.
    void teamAtItsLimitDoesNotHoldUpAnother()
    {
        SimulatedCell cell = startedCell(4);
        cell.setTeams({ policy("t", { 4 * core, 0, 0 }), policy("other", { 64 * core, 0, 0 }) });
        for (int i = 0; i < 600; ++i) {
            JobRecord record = teamJob("t", "t" + std::to_string(i), SimulatedCell::step(2, 2 * core, seconds(2)));
            record.m_policy.m_priority = 0;
            if (i % 2 == 0)
                record.m_policy.m_advice = AdvicePolicy { milliseconds(30), milliseconds(2), seconds(2) };
            cell.accept(record);
        }
        cell.run(milliseconds(300));
        for (int i = 0; i < 60; ++i) {
            JobRecord record
                = teamJob("other", "o" + std::to_string(i), SimulatedCell::step(1, core, milliseconds(200)));
            record.m_policy.m_priority = 5;
            cell.accept(record);
            cell.run(milliseconds(50));
        }
        cell.run(milliseconds(400));
        for (int i = 0; i < 60; ++i)
            CPPUNIT_ASSERT(cell.state("o" + std::to_string(i)) == JobState::Done);
        CPPUNIT_ASSERT(cell.usedBy(TeamId("t")).m_cpuMillis <= 4 * core);
        assertNoViolation(cell);
    }

    // Guards against steps that wait for their team's limit and take the adviser's time from others, and against
    // requests for more workers than the limit leaves tasks to start.
    void stepAtTheLimitSendsNoAdviceRequest()
    {
        DrivenScheduler driven(40);
        JobScheduler& scheduler = driven.m_scheduler;
        JobRecord record = teamJob("t", "j", SimulatedCell::step(30, 20 * core, seconds(1)));
        record.m_policy.m_advice = AdvicePolicy { milliseconds(30), milliseconds(2), seconds(2) };
        scheduler.setTeams({ policy("t", { 10 * core, 0, 0 }) }, driven.m_now);
        scheduler.addJob(record, {}, 0, driven.m_now);
        CPPUNIT_ASSERT(driven.step({ 4, 4 }).empty());
        scheduler.setTeams({ policy("t", { 40 * core, 0, 0 }) }, driven.m_now);
        const std::vector<SchedulerAction> actions = driven.step({ 4, 4 });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        // Two tasks fit; the adviser is expected to allow half of the workers.
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), std::get<AdviceRequest>(actions.front()).m_workers.size());
    }

    // Guards against hundreds of steps of a team that all ask the adviser for its last place: they take the adviser's
    // time and the steps that a pass examines from other teams. Load: 400 jobs of one task, a limit of one task.
    void stepsThatAskForTheLastPlaceHoldUpNoOtherTeam()
    {
        DrivenScheduler driven(40);
        JobScheduler& scheduler = driven.m_scheduler;
        const AdvicePolicy advice { milliseconds(30), milliseconds(2), seconds(2) };
        scheduler.setTeams({ policy("t", { 2 * core, 0, 0 }), policy("other", {}) }, driven.m_now);
        for (int i = 0; i < 400; ++i) {
            JobRecord record = teamJob("t", "t" + std::to_string(i), SimulatedCell::step(1, 2 * core, seconds(1)));
            record.m_policy.m_advice = advice;
            scheduler.addJob(record, {}, 0, driven.m_now);
        }
        JobRecord other = teamJob("other", "o", SimulatedCell::step(1, 2 * core, seconds(1)));
        other.m_policy.m_advice = advice;
        other.m_policy.m_priority = 5;
        scheduler.addJob(other, {}, 0, driven.m_now);
        std::set<std::string> asked;
        for (const SchedulerAction& action : driven.step({ 4, 4 }))
            asked.insert(std::get<AdviceRequest>(action).m_step.m_job.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), asked.size());
        CPPUNIT_ASSERT(asked.contains("o"));
        const auto waits = scheduler.takeLongWaits(-seconds(1), 2, driven.m_now);
        CPPUNIT_ASSERT(waits.back().m_reason.find("teamLimit") != std::string::npos);
    }

    // Guards against a team that can ask for less and less since claims of requests outlast them.
    void claimEndsWithItsRequest()
    {
        DrivenScheduler driven(4);
        JobScheduler& scheduler = driven.m_scheduler;
        scheduler.setTeams({ policy("t", { 2 * core, 0, 0 }) }, driven.m_now);
        for (int i = 0; i < 3; ++i) {
            JobRecord record = teamJob("t", "t" + std::to_string(i), SimulatedCell::step(1, 2 * core, seconds(1)));
            record.m_policy.m_advice = AdvicePolicy { milliseconds(30), milliseconds(2), seconds(2) };
            scheduler.addJob(record, {}, 0, driven.m_now);
        }
        const auto ask = [&] {
            const std::vector<SchedulerAction> actions = driven.step({ 4, 4 });
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
            return std::get<AdviceRequest>(actions.front());
        };
        scheduler.adviceFailed(ask(), driven.m_now);
        const AdviceRequest second = ask();
        CPPUNIT_ASSERT(driven.step({ 4, 4 }).empty());
        scheduler.cancelJob(second.m_step.m_job, driven.m_now);
        scheduler.adviceAnswered(second, {}, driven.m_now, seconds(2), driven.m_now);
        const AdviceRequest third = ask();
        scheduler.adviceAnswered(
            third, { { third.m_workers.front(), "ticket" } }, driven.m_now, seconds(2), driven.m_now);
        driven.step({ 4, 4 });
        CPPUNIT_ASSERT(scheduler.teamUses().front().m_use == Resources({ 2 * core, 1024, 0 }));
    }

    // Guards against a team that exceeds its limit since a start without an answer is carried out in the last moment,
    // by a later process of its worker that cannot be reached: what runs there ends with the lease that it counts
    // itself.
    void lateStartThatNobodySeesCountsUntilItsLeaseHasEnded()
    {
        SimulatedCell cell = cellWithLimit(2, { 2 * core, 0, 0 });
        cell.m_startDelay = milliseconds(12500);
        // A later request would extend the lease of the later process beyond what the scheduler allows for an unseen
        // one.
        cell.m_requestDelay = milliseconds(500);
        for (auto& [id, worker] : cell.m_workers)
            worker.m_delaysStarts = true;
        cell.accept(teamJob("t", "late", SimulatedCell::step(1, 2 * core, seconds(60))));
        cell.run(milliseconds(100));
        WorkerId ordered;
        for (auto& [id, worker] : cell.m_workers) {
            worker.m_delaysStarts = false;
            if (!cell.m_scheduler->worker(id)->m_runs.empty())
                ordered = id;
        }
        cell.run(seconds(3));
        CPPUNIT_ASSERT(cell.m_scheduler->worker(ordered)->m_runs.empty());
        cell.cancel(JobId("late"));
        cell.restartWorkerSilently(ordered);
        cell.m_workers.at(ordered).m_isReachable = false;
        cell.accept(teamJob("t", "next", SimulatedCell::step(1, 2 * core, seconds(1))));
        cell.run(seconds(12));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("late"));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("next"));
        cell.run(seconds(14));
        CPPUNIT_ASSERT(cell.state("next") == JobState::Done);
        assertNoViolation(cell);
        for (const std::string& violation : cell.m_unbarredViolations)
            CPPUNIT_FAIL(violation);
    }

    // Guards against a successor that counts a task once of which two runs go on, at two workers that it cannot reach.
    void successorCountsCopiesAtTwoUnreportedWorkers()
    {
        SimulatedCell cell = cellWithLimit(4, { 8 * core, 0, 0 });
        StepSpec step = SimulatedCell::step(1, 4 * core, seconds(30));
        step.m_allowsCopies = true;
        cell.accept(teamJob("t", "j", step));
        cell.run(milliseconds(200));
        cell.m_workers.at(firstWorkerOf(cell)).m_isReachable = false;
        cell.run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("j"));
        for (auto& [id, worker] : cell.m_workers)
            worker.m_isReachable = worker.m_isReachable && worker.m_running.empty();
        cell.takeOver();
        cell.accept(teamJob("t", "waiting", SimulatedCell::step(1, 4 * core, seconds(1))));
        cell.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("j"));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("waiting"));
        cell.run(seconds(20));
        CPPUNIT_ASSERT(cell.state("waiting") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against metrics whose number of series grows with the teams of accepted jobs, and against wrong values.
    void metricsNameTheTeamsOfTheConfigurationOnly()
    {
        SimulatedCell cell = startedCell(2);
        CPPUNIT_ASSERT(cell.m_scheduler->teamUses().empty());
        cell.setTeams({ policy("t", { 2 * core, 0, 0 }), policy("idle", { 0, 512, 0 }) });
        cell.accept(teamJob("t", "j", SimulatedCell::step(3, 2 * core, seconds(5))));
        cell.accept(teamJob("removed", "r", SimulatedCell::step(1, 2 * core, seconds(5))));
        cell.accept(SimulatedCell::job("free", { SimulatedCell::step(1, 2 * core, seconds(5)) }));
        cell.run(milliseconds(200));
        const std::vector<TeamUse> expected { { TeamId("t"), { 2 * core, 1024, 0 }, { 2 * core, 0, 0 }, 2 },
            { TeamId("idle"), {}, { 0, 512, 0 }, 0 } };
        CPPUNIT_ASSERT(cell.m_scheduler->teamUses() == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamLimitTest);

} // namespace sapphiredale::jobs
