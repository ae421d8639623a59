// Tests of tasks that crash the workers that start them: such a task is given up after few crashes, and the others are
// not.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class CrashTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashTest);
    CPPUNIT_TEST(taskThatCrashesEachWorkerIsGivenUp);
    CPPUNIT_TEST(tasksBesideOneThatCrashesWorkersAreKept);
    CPPUNIT_TEST(crashesCountOverATakeover);
    CPPUNIT_TEST(gangThatCrashesWorkersIsGivenUp);
    CPPUNIT_TEST(longRunningTaskThatCrashesWorkersIsGivenUp);
    CPPUNIT_TEST(suspectSharesItsWorkerWithNoOtherStart);
    CPPUNIT_TEST(workersThatCrashForOtherCausesGiveNoTaskUp);
    CPPUNIT_TEST(provenTaskIsNoSuspect);
    CPPUNIT_TEST(startThatWasNotAnsweredIsNoSuspect);
    CPPUNIT_TEST(gangThatLosesTwoWorkersAtOnceIsKept);
    CPPUNIT_TEST(runOfALaterProcessIsNoSuspect);
    CPPUNIT_TEST(runThatALaterProcessEndedIsNoSuspect);
    CPPUNIT_TEST(taskWhoseWorkerCrashedStartsBesideSteadyWork);
    CPPUNIT_TEST_SUITE_END();

    static TaskName task(const std::string& job, std::uint32_t index) { return { JobId(job), { 0, 0, index } }; }

public:
    // Guards against a task that crashes one worker after the other for as long as its job is open.
    void taskThatCrashesEachWorkerIsGivenUp()
    {
        SimulatedCell cell = startedCell(4);
        cell.m_crashingTasks.insert(task("j", 1));
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(3, 1000, milliseconds(800)) }));
        cell.run(seconds(20));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Failed);
        CPPUNIT_ASSERT(cell.m_crashes <= 3);
        std::size_t givenUp = 0;
        for (const CrashUnderRun& crash : cell.m_scheduler->takeCrashes())
            givenUp += crash.m_isGivenUp && crash.m_run.m_task == task("j", 1) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), givenUp);
        assertNoViolation(cell);
    }

    // Guards against jobs that are given up because their tasks were started beside one that crashes its workers.
    void tasksBesideOneThatCrashesWorkersAreKept()
    {
        SimulatedCell cell = startedCell(8);
        constexpr int jobs = 12;
        for (int i = 0; i < jobs; ++i) {
            const std::string name = "j" + std::to_string(i);
            if (i % 4 == 0)
                cell.m_crashingTasks.insert(task(name, 0));
            cell.accept(SimulatedCell::job(name, { SimulatedCell::step(6, 4000, milliseconds(900)) }));
            cell.run(milliseconds(200));
        }
        cell.run(seconds(40));
        for (int i = 0; i < jobs; ++i)
            CPPUNIT_ASSERT(cell.state("j" + std::to_string(i)) == (i % 4 == 0 ? JobState::Failed : JobState::Done));
        CPPUNIT_ASSERT(cell.m_crashes <= 3 * (jobs / 4));
        assertNoViolation(cell);
    }

    // Guards against a new count of the crashes in each term.
    void crashesCountOverATakeover()
    {
        SimulatedCell cell = startedCell(4);
        cell.m_crashingTasks.insert(task("j", 0));
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(1, 1000, milliseconds(800)) }));
        cell.run(SimulatedCell::crashTime + milliseconds(800));
        CPPUNIT_ASSERT(cell.m_crashes > 0);
        CPPUNIT_ASSERT_EQUAL(1U, cell.m_store.at(JobId("j")).m_crashes.at({ 0, 0, 0 }));
        cell.takeOver();
        cell.run(seconds(30));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Failed);
        CPPUNIT_ASSERT(cell.m_crashes <= 3);
        assertNoViolation(cell);
    }

    void gangThatCrashesWorkersIsGivenUp()
    {
        SimulatedCell cell = startedCell(4);
        StepSpec gang = SimulatedCell::step(4, 20000, seconds(1));
        gang.m_isGang = true;
        cell.m_crashingTasks.insert(task("gang", 2));
        cell.accept(SimulatedCell::job("gang", { gang }));
        cell.run(seconds(40));
        CPPUNIT_ASSERT(cell.state("gang") == JobState::Failed);
        CPPUNIT_ASSERT(cell.m_crashes <= 3);
    }

    // Tasks that last have no limit of failed runs.
    void longRunningTaskThatCrashesWorkersIsGivenUp()
    {
        SimulatedCell cell = startedCell(4);
        StepSpec lasting = SimulatedCell::step(3, 1000, milliseconds(100));
        lasting.m_isLongRunning = true;
        cell.m_crashingTasks.insert(task("j", 0));
        cell.accept(SimulatedCell::job("j", { lasting }));
        cell.run(seconds(30));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Failed);
        CPPUNIT_ASSERT(cell.m_crashes <= 3);
        assertNoViolation(cell);
    }

    // Guards against a crash that several starts explain, so that the wrong task is given up.
    void suspectSharesItsWorkerWithNoOtherStart()
    {
        SimulatedCell cell = startedCell(2);
        cell.m_crashingTasks.insert(task("j", 0));
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(1, 1000, milliseconds(800)) }));
        for (int i = 0; i < 100; ++i) {
            cell.accept(
                SimulatedCell::job("k" + std::to_string(i), { SimulatedCell::step(1, 1000, milliseconds(300)) }));
            cell.run(milliseconds(100));
            for (const auto& [id, worker] : cell.m_scheduler->workers())
                CPPUNIT_ASSERT(worker.m_trials == 0 || worker.m_unprovenRuns == 1);
        }
        cell.run(seconds(20));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Failed);
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(cell.state("k" + std::to_string(i)) == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against jobs that are given up after the loss of a rack or a domain.
    void workersThatCrashForOtherCausesGiveNoTaskUp()
    {
        SimulatedCell cell = startedCell(6);
        for (int i = 0; i < 8; ++i)
            cell.accept(SimulatedCell::job("j" + std::to_string(i), { SimulatedCell::step(6, 2000, seconds(2)) }));
        for (int crash = 0; crash < 3; ++crash) {
            cell.run(milliseconds(1200));
            for (auto it = cell.m_workers.begin(); it != cell.m_workers.end(); std::advance(it, 2))
                cell.crashWorker(it->first);
            cell.run(seconds(5));
        }
        cell.run(seconds(30));
        for (int i = 0; i < 8; ++i)
            CPPUNIT_ASSERT(cell.state("j" + std::to_string(i)) == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against a long-running task that is given up because workers under it were lost at times.
    void provenTaskIsNoSuspect()
    {
        SimulatedCell cell = startedCell(3);
        StepSpec lasting = SimulatedCell::step(1, 1000, milliseconds(100));
        lasting.m_isLongRunning = true;
        cell.accept(SimulatedCell::job("j", { lasting }));
        for (int i = 0; i < 5; ++i) {
            cell.run(milliseconds(100));
            const WorkerId first = firstWorkerOf(cell);
            if (!first.empty())
                cell.crashWorker(first);
            cell.run(seconds(8));
            const WorkerId second = firstWorkerOf(cell);
            CPPUNIT_ASSERT(!second.empty());
        }
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
    }

    // Guards against a job that is given up because its starts were sent to workers that had crashed before.
    void startThatWasNotAnsweredIsNoSuspect()
    {
        SimulatedCell cell = startedCell(4);
        cell.m_crashingTasks.insert(task("deadly", 0));
        cell.accept(SimulatedCell::job("deadly", { SimulatedCell::step(1, 1000, seconds(1)) }));
        for (auto& [id, worker] : cell.m_workers)
            worker.m_delaysStarts = true;
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(8, 4000, seconds(1)) }));
        cell.run(milliseconds(300));
        for (auto& [id, worker] : cell.m_workers) {
            worker.m_delaysStarts = false;
            cell.crashWorker(id);
        }
        cell.run(seconds(4));
        for (const CrashUnderRun& crash : cell.m_scheduler->takeCrashes())
            CPPUNIT_ASSERT(crash.m_run.m_task.m_job == JobId("deadly"));
        cell.run(seconds(30));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against a gang that is given up after one run, because several of its workers were lost together.
    void gangThatLosesTwoWorkersAtOnceIsKept()
    {
        SimulatedCell cell = startedCell(6);
        StepSpec gang = SimulatedCell::step(4, 20000, seconds(2));
        gang.m_isGang = true;
        cell.accept(SimulatedCell::job("gang", { gang }));
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(4U, cell.running("gang"));
        std::vector<WorkerId> members;
        for (const auto& [id, worker] : cell.m_workers) {
            if (!worker.m_running.empty())
                members.push_back(id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), members.size());
        cell.crashWorker(members[0]);
        cell.crashWorker(members[1]);
        cell.run(seconds(20));
        CPPUNIT_ASSERT(cell.state("gang") == JobState::Done);
    }

    // Guards against a job that is given up for the crash of a process which ended before its task was ordered: the
    // restart is noticed once the later process has begun the run.
    void runOfALaterProcessIsNoSuspect()
    {
        SimulatedCell cell = startedCell(2);
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(1, 1000, seconds(3)) }));
        startAgainOnAnUnnoticedProcess(cell);
        cell.run(SimulatedCell::requestTimeout);
        CPPUNIT_ASSERT(cell.m_scheduler->takeCrashes().empty());
        cell.run(seconds(5));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // The same for a run that has ended in the later process before the restart is noticed.
    void runThatALaterProcessEndedIsNoSuspect()
    {
        SimulatedCell cell = startedCell(2);
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(1, 1000, milliseconds(300)) }));
        startAgainOnAnUnnoticedProcess(cell);
        cell.run(SimulatedCell::requestTimeout + seconds(1));
        CPPUNIT_ASSERT(cell.m_scheduler->takeCrashes().empty());
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

private:
    /// Crashes the worker of the job's only task; the task starts again on the other worker, which has restarted just
    /// before, unknown to the scheduler.
    static void startAgainOnAnUnnoticedProcess(SimulatedCell& cell)
    {
        cell.run(milliseconds(200));
        const WorkerId first = firstWorkerOf(cell);
        CPPUNIT_ASSERT(!first.empty());
        cell.crashWorker(first);
        cell.run(SimulatedCell::crashTime - milliseconds(100));
        for (const auto& [id, worker] : cell.m_workers) {
            if (id != first)
                cell.restartWorkerSilently(id);
        }
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        CPPUNIT_ASSERT(firstWorkerOf(cell) != first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.m_scheduler->takeCrashes().size());
    }

    // Guards against a task that waits for a worker which has started nothing lately for as long as others start on all
    // of them. A crash that nothing else explains would give the task up.
    void taskWhoseWorkerCrashedStartsBesideSteadyWork()
    {
        for (const bool isAdvised : { false, true }) {
            constexpr std::uint32_t workers = 4;
            SimulatedCell cell = startedCell(workers);
            cell.m_allowedShare = 1;
            std::uint32_t number = 0;
            const auto runBesideWork = [&](Duration time) {
                for (const TimePoint end = cell.m_now + time; cell.m_now < end; cell.run(milliseconds(100))) {
                    StepSpec step = SimulatedCell::step(2 * workers, 1000, milliseconds(250));
                    step.m_maxPerWorker = 2;
                    cell.accept(SimulatedCell::job("steady" + std::to_string(number++), { step }));
                }
            };
            runBesideWork(seconds(1));
            JobRecord job = SimulatedCell::job("j", { SimulatedCell::step(1, 2000, seconds(3)) });
            if (isAdvised)
                job.m_policy.m_advice = AdvicePolicy { milliseconds(30), milliseconds(2), seconds(2) };
            cell.accept(job);
            cell.run(milliseconds(200));
            CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
            const auto runsIt = [](const auto& entry) {
                return std::ranges::any_of(
                    entry.second.m_running, [](const auto& run) { return run.first.m_task.m_job.value() == "j"; });
            };
            cell.crashWorker(std::ranges::find_if(cell.m_workers, runsIt)->first);
            runBesideWork(SimulatedCell::crashTime + seconds(10));
            CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
            assertNoViolation(cell);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

} // namespace sapphiredale::jobs
