// Tests of the job life cycle: order of steps, attempts, gangs, cancellation, lost orders, advice and faulty workers.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class JobSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobSchedulerTest);
    CPPUNIT_TEST(stepsRunInOrder);
    CPPUNIT_TEST(tasksOfAVanishedWorkerRunAgainAfterItsLease);
    CPPUNIT_TEST(runPlacedWhileAnotherRecordIsStoredStarts);
    CPPUNIT_TEST(newLifeIsUsedOnceItIsDescribed);
    CPPUNIT_TEST(lateStartIsBarredBeforeAnother);
    CPPUNIT_TEST(startWithLostAnswerIsAdopted);
    CPPUNIT_TEST(placedJobIsPendingUntilAWorkerHasBegunIt);
    CPPUNIT_TEST(gangStartsTogetherWithOneRunNumber);
    CPPUNIT_TEST(cancelledJobIsStoppedAndNotStarted);
    CPPUNIT_TEST(cancellationsOfUnknownJobsExpire);
    CPPUNIT_TEST(jobIsShownAsDoneOnceThatIsStored);
    CPPUNIT_TEST(adviserIsAskedAndRefusalsAreKept);
    CPPUNIT_TEST(shortQuestionsDoNotWaitForLongOnes);
    CPPUNIT_TEST(stalledRunMovesToAnotherWorker);
    CPPUNIT_TEST(workerThatLeavesAnOrderUnansweredGetsNoMore);
    CPPUNIT_TEST(tasksOfAJobStayInOneDomain);
    CPPUNIT_TEST(drainingWorkerThatLeftFreesItsTasksAtOnce);
    CPPUNIT_TEST(longRunningTasksRunAgainHoweverTheyEnd);
    CPPUNIT_TEST(occurrencesRunWhenTheyAreDue);
    CPPUNIT_TEST(everyLongWaitIsExplained);
    CPPUNIT_TEST(runsThatAreGivenUpAndListedAgainAreReported);
    CPPUNIT_TEST(shrunkWorkerGetsWorkOnceItHasRoomAgain);
    CPPUNIT_TEST(placedRunIsNotStartedOverShrunkCapacity);
    CPPUNIT_TEST(placedGangIsNotStartedOverShrunkCapacity);
    CPPUNIT_TEST(stoppingRunCountsOnShrunkWorker);
    CPPUNIT_TEST(fillingTaskIsNotStartedOnOverloadedWorker);
    CPPUNIT_TEST_SUITE_END();

public:
    void stepsRunInOrder()
    {
        SimulatedCell cell = startedCell(4);
        StepSpec second = SimulatedCell::step(3, 1000, milliseconds(500));
        second.m_dependsOn = { 0 };
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(6, 2000, milliseconds(1000)), second }));
        cell.run(milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(6U, cell.running("j"));
        cell.run(milliseconds(1000));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against runs that keep their reservation on a worker that never returns.
    void tasksOfAVanishedWorkerRunAgainAfterItsLease()
    {
        SimulatedCell cell = startedCell(2);
        StepSpec lasting = SimulatedCell::step(2, 1000, milliseconds(100));
        lasting.m_isLongRunning = true;
        lasting.m_maxPerWorker = 2;
        cell.accept(SimulatedCell::job("j", { lasting }));
        cell.run(seconds(1));
        const WorkerId gone = firstWorkerOf(cell);
        cell.m_workers.at(gone).m_isUp = false;
        cell.m_scheduler->workerDelisted(gone, cell.m_now);
        cell.run(SimulatedCell::lease + seconds(2));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("j"));
        CPPUNIT_ASSERT(cell.m_scheduler->worker(gone) == nullptr);
    }

    // Guards against a run that waits forever because the record in flight did not name its worker.
    void runPlacedWhileAnotherRecordIsStoredStarts()
    {
        SchedulerSettings settings;
        JobScheduler scheduler(settings);
        TimePoint now(seconds(100));
        SimulatedCell cell(1);
        const WorkerDescription worker = cell.m_workers.begin()->second.m_description;
        scheduler.workerListed(worker, now);
        scheduler.workerReported(worker.m_worker, { 1, now, {}, {} }, now);
        scheduler.addJob(SimulatedCell::job("j", { SimulatedCell::step(2, 32000, milliseconds(500)) }), {}, 0, now);
        const auto starts = [&] {
            std::vector<RunName> runs;
            for (const SchedulerAction& action : scheduler.step(0, now, {})) {
                if (const auto* start = std::get_if<StartOrder>(&action))
                    runs.push_back(start->m_run);
            }
            return runs;
        };
        CPPUNIT_ASSERT(starts().empty());
        scheduler.stored(scheduler.takeChanges().m_number);
        const std::vector<RunName> first = starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.size());
        scheduler.startAnswered(worker.m_worker, first[0], StartOutcome::Started, now);
        now += milliseconds(500);
        scheduler.workerReported(worker.m_worker, { 1, now, {}, { { 1, first[0], RunEnd::Done, {} } } }, now);
        // The record with the end names no place; the next task is placed before it is stored.
        const JobScheduler::Batch batch = scheduler.takeChanges();
        CPPUNIT_ASSERT(batch.m_records.at(0).m_progress.m_places.empty());
        CPPUNIT_ASSERT(starts().empty());
        scheduler.stored(batch.m_number);
        CPPUNIT_ASSERT(starts().empty());
        CPPUNIT_ASSERT(scheduler.hasChanges());
        scheduler.stored(scheduler.takeChanges().m_number);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts().size());
    }

    // Guards against placing work on a restarted worker by the capacity it had before.
    void newLifeIsUsedOnceItIsDescribed()
    {
        SimulatedCell cell = startedCell(1);
        const WorkerId id = cell.m_workers.begin()->first;
        cell.restartWorker(id, { 4000, 8192, 0 });
        cell.run(milliseconds(600));
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(4, 2000, seconds(1)) }));
        cell.run(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("j"));
        cell.listAll();
        cell.run(seconds(4));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against a second run of a task whose first start is carried out seconds later.
    void lateStartIsBarredBeforeAnother()
    {
        SimulatedCell cell = startedCell(2);
        for (auto& [id, worker] : cell.m_workers)
            worker.m_delaysStarts = true;
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(4, 1000, seconds(3)) }));
        cell.run(milliseconds(400));
        for (auto& [id, worker] : cell.m_workers)
            worker.m_delaysStarts = false;
        cell.run(seconds(6));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    void startWithLostAnswerIsAdopted()
    {
        SimulatedCell cell = startedCell(2);
        for (auto& [id, worker] : cell.m_workers)
            worker.m_losesAnswers = true;
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(4, 1000, seconds(2)) }));
        cell.run(seconds(3));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), cell.m_starts);
        assertNoViolation(cell);
    }

    // Guards against a successor that reports a job as started because its placement was stored.
    void placedJobIsPendingUntilAWorkerHasBegunIt()
    {
        SimulatedCell cell = startedCell(1);
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(1, 1000, seconds(2)) }));
        cell.run(SimulatedCell::tick);
        cell.m_workers.begin()->second.m_isReachable = false;
        cell.run(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.m_store.size());
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("j"));
        cell.takeOver();
        cell.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(1U, cell.m_scheduler->pending("queue"));
        cell.m_workers.begin()->second.m_isReachable = true;
        cell.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(0U, cell.m_scheduler->pending("queue"));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
    }

    void gangStartsTogetherWithOneRunNumber()
    {
        SimulatedCell cell = startedCell(2);
        cell.accept(SimulatedCell::job("fill", { SimulatedCell::step(1, 30000, seconds(2)) }));
        cell.run(milliseconds(100));
        StepSpec gang = SimulatedCell::step(5, 10000, seconds(1));
        gang.m_isGang = true;
        cell.accept(SimulatedCell::job("gang", { gang }));
        cell.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("gang"));
        cell.run(milliseconds(1300));
        CPPUNIT_ASSERT_EQUAL(5U, cell.running("gang"));
        std::set<std::uint32_t> numbers;
        for (const auto& [id, worker] : cell.m_workers) {
            for (const auto& [name, run] : worker.m_running)
                numbers.insert(name.m_run);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), numbers.size());
        cell.run(seconds(2));
        CPPUNIT_ASSERT(cell.state("gang") == JobState::Done);
    }

    void cancelledJobIsStoppedAndNotStarted()
    {
        SimulatedCell cell = startedCell(1);
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(4, 16000, seconds(5)) }));
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("j"));
        cell.cancel(JobId("j"));
        cell.run(milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("j"));
        const std::uint64_t starts = cell.m_starts;
        cell.takeOver();
        cell.run(seconds(10));
        CPPUNIT_ASSERT_EQUAL(starts, cell.m_starts);
        CPPUNIT_ASSERT(cell.state("j") == JobState::Cancelled);
        // A cancellation that is read before its job ends the job as well.
        cell.cancel(JobId("later"));
        cell.accept(SimulatedCell::job("later", { SimulatedCell::step(1, 1000, seconds(1)) }));
        cell.run(seconds(1));
        CPPUNIT_ASSERT(cell.state("later") == JobState::Cancelled);
    }

    // Guards against a job that was reported as done and runs again after a takeover.
    // Guards against cancellations of jobs that do not exist which stay in the store for ever.
    void cancellationsOfUnknownJobsExpire()
    {
        const SchedulerSettings settings;
        JobScheduler scheduler(settings);
        const TimePoint now(seconds(100));
        const JobRecord late = SimulatedCell::job("late", { SimulatedCell::step(1, 1000, seconds(1)) });
        scheduler.cancelJob(late.m_job, now);
        scheduler.cancelJob(JobId("unknown"), now);
        scheduler.addJob(late, {}, 0, now);
        CPPUNIT_ASSERT(scheduler.state(late.m_job) == JobState::Cancelled);
        CPPUNIT_ASSERT(scheduler.takeExpired(now + settings.m_retention).empty());
        const std::vector<ExpiredJob> expired = scheduler.takeExpired(now + settings.m_retention + seconds(1));
        CPPUNIT_ASSERT((expired == std::vector<ExpiredJob> { { JobId("unknown"), JobState::Cancelled } }));
    }

    void jobIsShownAsDoneOnceThatIsStored()
    {
        SimulatedCell cell = startedCell(1);
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(1, 1000, milliseconds(300)) }));
        cell.run(milliseconds(200));
        cell.m_isStoreUp = false;
        cell.run(seconds(1));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
        cell.m_isStoreUp = true;
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        cell.takeOver();
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cell.m_starts);
    }

    void adviserIsAskedAndRefusalsAreKept()
    {
        SimulatedCell cell = startedCell(8);
        cell.m_allowedShare = 0.4;
        JobRecord job = SimulatedCell::job("j", { SimulatedCell::step(12, 8000, seconds(1)) });
        job.m_policy.m_advice = AdvicePolicy { milliseconds(30), milliseconds(1), seconds(2) };
        cell.accept(job);
        cell.run(seconds(6));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        // Bounded number of advice requests once every worker's answer is known.
        CPPUNIT_ASSERT(cell.m_scheduler->counters().m_questions <= 8);
        assertNoViolation(cell);
    }

    // Guards against urgent steps that wait after a takeover: all steps have lost their tickets, and slow advice
    // requests occupy every daemon.
    void shortQuestionsDoNotWaitForLongOnes()
    {
        SimulatedCell cell = startedCell(12);
        cell.m_adviceDaemons = 6;
        for (int i = 0; i < 30; ++i) {
            JobRecord slow
                = SimulatedCell::job("slow" + std::to_string(i), { SimulatedCell::step(1, 1000, seconds(6)) });
            slow.m_policy.m_priority = 2;
            slow.m_policy.m_advice = AdvicePolicy { milliseconds(450), milliseconds(6), seconds(2) };
            cell.accept(slow);
        }
        cell.run(milliseconds(100));
        JobRecord urgent = SimulatedCell::job("urgent", { SimulatedCell::step(4, 1000, seconds(1)) });
        urgent.m_policy.m_advice = AdvicePolicy { milliseconds(30), milliseconds(1), seconds(2) };
        cell.accept(urgent);
        cell.run(milliseconds(150));
        CPPUNIT_ASSERT_EQUAL(4U, cell.running("urgent"));
    }

    void stalledRunMovesToAnotherWorker()
    {
        SimulatedCell cell = startedCell(4);
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(2, 1000, seconds(1)) }));
        cell.run(milliseconds(200));
        const WorkerId stuck = firstWorkerOf(cell);
        cell.m_workers.at(stuck).m_isStuck = true;
        cell.run(seconds(5));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT(cell.m_scheduler->counters().m_stalledRuns > 0);
        assertNoViolation(cell);
    }

    // Guards against sending more orders to a partitioned worker before it counts as silent.
    void workerThatLeavesAnOrderUnansweredGetsNoMore()
    {
        SimulatedCell cell = startedCell(2);
        const WorkerId cut = cell.m_workers.begin()->first;
        cell.m_workers.at(cut).m_isReachable = false;
        cell.accept(SimulatedCell::job("first", { SimulatedCell::step(12, 5000, seconds(1)) }));
        cell.run(milliseconds(700));
        const std::size_t lost = cell.m_scheduler->worker(cut)->m_runs.size();
        CPPUNIT_ASSERT(lost > 0);
        cell.accept(SimulatedCell::job("second", { SimulatedCell::step(2, 1000, milliseconds(500)) }));
        cell.run(seconds(2));
        CPPUNIT_ASSERT(cell.state("second") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(lost, cell.m_scheduler->worker(cut)->m_runs.size());
    }

    // Guards against jobs that are spread over domains, so that the loss of one domain would hit all of them.
    void tasksOfAJobStayInOneDomain()
    {
        SimulatedCell cell = startedCell(12);
        JobRecord job = SimulatedCell::job("j", { SimulatedCell::step(6, 4000, seconds(2)) });
        job.m_policy.m_advice = AdvicePolicy { milliseconds(30), milliseconds(1), seconds(2) };
        cell.accept(job);
        cell.run(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(6U, cell.running("j"));
        std::set<FailureDomainId> domains;
        for (const auto& [id, worker] : cell.m_workers) {
            if (!worker.m_running.empty())
                domains.insert(worker.m_description.m_failureDomain);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), domains.size());
    }

    void drainingWorkerThatLeftFreesItsTasksAtOnce()
    {
        SimulatedCell cell = startedCell(2);
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(1, 1000, seconds(3)) }));
        cell.run(milliseconds(200));
        const WorkerId leaving = firstWorkerOf(cell);
        cell.m_workers.at(leaving).m_description.m_isDraining = true;
        cell.listAll();
        cell.run(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        cell.m_workers.at(leaving).m_isUp = false;
        cell.m_scheduler->workerLeft(leaving, cell.m_now);
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        assertNoViolation(cell);
    }

    void longRunningTasksRunAgainHoweverTheyEnd()
    {
        SimulatedCell cell = startedCell(3);
        StepSpec lasting = SimulatedCell::step(2, 1000, milliseconds(100));
        lasting.m_isLongRunning = true;
        cell.accept(SimulatedCell::job("j", { lasting }));
        cell.run(milliseconds(300));
        const WorkerId failing = firstWorkerOf(cell);
        cell.m_workers.at(failing).m_failsTasks = true;
        cell.run(seconds(3));
        cell.m_workers.at(failing).m_failsTasks = false;
        cell.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("j"));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
    }

    void occurrencesRunWhenTheyAreDue()
    {
        SimulatedCell cell = startedCell(1);
        JobRecord job = SimulatedCell::job("j", { SimulatedCell::step(1, 1000, milliseconds(2500)) });
        job.m_spec.m_occurrences = 3;
        job.m_spec.m_firstDueMs = cell.wallMs() + 1000;
        job.m_spec.m_intervalMs = 1000;
        cell.accept(job);
        cell.run(milliseconds(990));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("j"));
        cell.run(milliseconds(2200));
        CPPUNIT_ASSERT_EQUAL(3U, cell.running("j"));
        cell.takeOver();
        cell.run(seconds(4));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), cell.m_starts);
        assertNoViolation(cell);
    }

    // Guards against a job that waits for long without a line that says why, because others wait longer.
    void everyLongWaitIsExplained()
    {
        SimulatedCell cell = startedCell(1);
        constexpr int jobs = 10;
        for (int i = 0; i < jobs; ++i)
            cell.accept(SimulatedCell::job("j" + std::to_string(i), { SimulatedCell::step(1, 64000, seconds(1)) }));
        cell.run(seconds(5));
        std::set<JobId> explained;
        for (int i = 0; i < 4; ++i) {
            for (const JobScheduler::Wait& wait : cell.m_scheduler->takeLongWaits(seconds(4), 3, cell.m_now)) {
                explained.insert(wait.m_step.m_job);
                CPPUNIT_ASSERT(wait.m_reason.find("noRoom 1") != std::string::npos);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(jobs), explained.size());
        CPPUNIT_ASSERT(cell.m_scheduler->takeLongWaits(seconds(4), 3, cell.m_now).empty());
        cell.run(seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cell.m_scheduler->takeLongWaits(seconds(4), 3, cell.m_now).size());
    }

    // Guards against a task that runs twice without a line in the log that says why its first run was given up.
    void runsThatAreGivenUpAndListedAgainAreReported()
    {
        SimulatedCell cell = startedCell(2);
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(1, 1000, seconds(30)) }));
        cell.run(milliseconds(200));
        const WorkerId silent = firstWorkerOf(cell);
        const RunName first = cell.m_workers.at(silent).m_running.begin()->first;
        cell.m_workers.at(silent).m_isReachable = false;
        cell.run(SimulatedCell::lease + seconds(1));
        const std::vector<LostRun> lost = cell.m_scheduler->takeLostRuns();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lost.size());
        CPPUNIT_ASSERT(lost[0].m_worker == silent && lost[0].m_run == first);
        CPPUNIT_ASSERT(lost[0].m_reason == RunLossReason::LeaseEnded);
        CPPUNIT_ASSERT(cell.m_scheduler->takeUnexpectedRuns().empty());
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        // A worker whose lease has lasted longer than was assumed.
        cell.m_scheduler->workerReported(silent, { 1, cell.m_now, { { first, {}, 50, 0 } }, {} }, cell.m_now);
        const std::vector<UnexpectedRun> unexpected = cell.m_scheduler->takeUnexpectedRuns();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), unexpected.size());
        CPPUNIT_ASSERT_EQUAL(1U, unexpected[0].m_otherRuns);
        CPPUNIT_ASSERT(unexpected[0].m_loss == lost[0]);
    }

    // Guards against starts on a worker whose runs take more than its capacity, and against a worker that gets no
    // work after it has grown again.
    void shrunkWorkerGetsWorkOnceItHasRoomAgain()
    {
        SimulatedCell cell = startedCell(1);
        const WorkerId id = cell.m_workers.begin()->first;
        cell.accept(SimulatedCell::job("old", { SimulatedCell::step(2, 12000, seconds(10)) }));
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("old"));
        cell.resizeWorker(id, { 8000, 131072, 0 });
        cell.accept(SimulatedCell::job("new", { SimulatedCell::step(1, 1000, seconds(1)) }));
        cell.run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("old"));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("new"));
        cell.resizeWorker(id, { 32000, 131072, 0 });
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("new"));
        cell.run(seconds(9));
        CPPUNIT_ASSERT(cell.state("old") == JobState::Done);
        CPPUNIT_ASSERT(cell.state("new") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against starting a run whose place was chosen, but not yet stored, when its worker shrank.
    void placedRunIsNotStartedOverShrunkCapacity()
    {
        SimulatedCell cell = startedCell(1);
        const WorkerId id = cell.m_workers.begin()->first;
        cell.accept(SimulatedCell::job("j", { SimulatedCell::step(4, 8000, seconds(1)) }));
        cell.run(SimulatedCell::tick);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), cell.m_scheduler->worker(id)->m_runs.size());
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("j"));
        cell.resizeWorker(id, { 17000, 131072, 0 });
        cell.run(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(2U, cell.running("j"));
        assertNoViolation(cell);
        cell.resizeWorker(id, { 32000, 131072, 0 });
        cell.run(seconds(2));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against starting the members of a gang over the capacity of a worker that shrank after the placement.
    void placedGangIsNotStartedOverShrunkCapacity()
    {
        SimulatedCell cell = startedCell(2);
        const WorkerId id = cell.m_workers.begin()->first;
        StepSpec gang = SimulatedCell::step(4, 16000, seconds(1));
        gang.m_isGang = true;
        cell.accept(SimulatedCell::job("gang", { gang }));
        cell.run(SimulatedCell::tick);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cell.m_scheduler->worker(id)->m_runs.size());
        cell.resizeWorker(id, { 20000, 131072, 0 });
        cell.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("gang"));
        assertNoViolation(cell);
        cell.resizeWorker(id, { 32000, 131072, 0 });
        cell.run(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(4U, cell.running("gang"));
        cell.run(seconds(2));
        CPPUNIT_ASSERT(cell.state("gang") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against counting the capacity of a run as free while it is being stopped.
    void stoppingRunCountsOnShrunkWorker()
    {
        SimulatedCell cell = startedCell(1);
        const WorkerId id = cell.m_workers.begin()->first;
        cell.accept(SimulatedCell::job("old", { SimulatedCell::step(1, 16000, seconds(10)) }));
        cell.run(milliseconds(200));
        cell.resizeWorker(id, { 20000, 131072, 0 });
        cell.cancel(JobId("old"));
        cell.accept(SimulatedCell::job("new", { SimulatedCell::step(1, 16000, seconds(1)) }));
        cell.run(SimulatedCell::stopTime - milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("old"));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("new"));
        cell.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("old"));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("new"));
        assertNoViolation(cell);
    }

    // A filling task reserves no processor time, so it would fit on a worker whose other runs exceed its capacity.
    void fillingTaskIsNotStartedOnOverloadedWorker()
    {
        for (const bool isPlacedBefore : { false, true }) {
            SimulatedCell cell = startedCell(1);
            const WorkerId id = cell.m_workers.begin()->first;
            cell.accept(SimulatedCell::job("old", { SimulatedCell::step(2, 8000, seconds(10)) }));
            cell.run(milliseconds(200));
            StepSpec filling = SimulatedCell::step(1, 2000, seconds(1));
            filling.m_isFilling = true;
            if (!isPlacedBefore)
                cell.resizeWorker(id, { 12000, 131072, 0 });
            cell.accept(SimulatedCell::job("fill", { filling }));
            cell.run(SimulatedCell::tick);
            if (isPlacedBefore)
                cell.resizeWorker(id, { 12000, 131072, 0 });
            cell.run(seconds(1));
            CPPUNIT_ASSERT_EQUAL(0U, cell.running("fill"));
            cell.resizeWorker(id, { 32000, 131072, 0 });
            cell.run(milliseconds(200));
            CPPUNIT_ASSERT_EQUAL(1U, cell.running("fill"));
            assertNoViolation(cell);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobSchedulerTest);

} // namespace sapphiredale::jobs
