// Tests of starts that stay unanswered and are carried out by a later process of their worker, which knows neither the
// run numbers that an earlier process had barred nor its leases.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class LateOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LateOrderTest);
    CPPUNIT_TEST(lateStartAfterARestartBehindACutRunsAlone);
    CPPUNIT_TEST(ticketBoundsTheWaitForALateStart);
    CPPUNIT_TEST(lateStartIsBarredInALaterProcessBeforeAnother);
    CPPUNIT_TEST(stopOfALateStartIsRepeatedUntilTheLaterProcessConfirmsIt);
    CPPUNIT_TEST(stopConfirmedByAnEarlierProcessBarsNothing);
    CPPUNIT_TEST(startStoppedBeforeItsTimeoutIsBarredInALaterProcess);
    CPPUNIT_TEST(lateStartOfALaterProcessIsReported);
    CPPUNIT_TEST(roomOfALateStartIsKeptOnALaterProcess);
    CPPUNIT_TEST(leaseFromALateOrderOutlastsThoseOfTheLaterProcess);
    CPPUNIT_TEST(lateRequestOfAnEarlierProcessExtendsNoLeaseAfterATakeover);
    CPPUNIT_TEST(restartedWorkerGetsNoTaskThatASuccessorWouldStartAgain);
    CPPUNIT_TEST(termAllowsForTheLongestLeaseBeforeItsFirstCall);
    CPPUNIT_TEST(workerGetsNoTaskWhileASuccessorWouldNotWaitForItsLease);
    CPPUNIT_TEST(onlyKnownWorkersMayHaveHadEarlierProcesses);
    CPPUNIT_TEST(runOfALaterProcessKeepsTheLeaseOfItsProcess);
    CPPUNIT_TEST(startAnsweredByAnUnknownProcessKeepsTheLeaseOfThatProcess);
    CPPUNIT_TEST(removalOfTheEntryOfAnEarlierProcessEndsNoRun);
    CPPUNIT_TEST(startThatItsSuccessorDoesNotKnowRunsAlone);
    CPPUNIT_TEST(startReadByANewProcessRunsAloneAfterATakeover);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Resources whole { 32000, 131072, 0 };

    /// Accepts a job of one task whose start its worker leaves unanswered, and returns that worker.
    static WorkerId orderLateStart(SimulatedCell& cell, const JobRecord& job)
    {
        for (auto& [id, worker] : cell.m_workers)
            worker.m_delaysStarts = true;
        cell.accept(job);
        cell.run(milliseconds(100));
        for (auto& [id, worker] : cell.m_workers)
            worker.m_delaysStarts = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.m_store.at(job.m_job).m_places.size());
        return *cell.m_store.at(job.m_job).m_places.begin()->second.begin();
    }

    /// Restarts the only worker that can be reached without a sign of it, and starts the only task of a job there.
    static void startOnAnUnnoticedProcess(SimulatedCell& cell)
    {
        cell.m_requestDelay = seconds(6);
        const WorkerId restarted = cell.m_workers.begin()->first;
        std::next(cell.m_workers.begin())->second.m_isReachable = false;
        cell.run(seconds(2));
        cell.restartWorkerSilently(restarted);
        cell.accept(singleTask(seconds(60)));
        runUntilStarted(cell, cell.m_workers.at(restarted));
    }

    /// Cuts the first of two workers off, while the second one can be reached again. Fails unless the task that runs on
    /// the first one goes on in one run.
    static void verifyCutOff(SimulatedCell& cell)
    {
        cell.m_workers.begin()->second.m_isReachable = false;
        std::next(cell.m_workers.begin())->second.m_isReachable = true;
        cell.run(seconds(30));
        assertNoViolation(cell);
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
    }

    /// Starts the only task of a job on a worker that has just restarted, as soon as the worker gets it, cuts the
    /// worker off and replaces the scheduler. Fails unless the task goes on in one run.
    static void verifyTakeoverBesideARestartedWorker(SimulatedCell& cell)
    {
        const WorkerId restarted = cell.m_workers.begin()->first;
        SimulatedWorker& other = std::next(cell.m_workers.begin())->second;
        other.m_isReachable = false;
        cell.run(seconds(2));
        cell.restartWorker(restarted, whole);
        cell.listAll();
        cell.accept(singleTask(seconds(60)));
        runUntilStarted(cell, cell.m_workers.at(restarted));
        cell.m_workers.at(restarted).m_isReachable = false;
        other.m_isReachable = true;
        cell.takeOver();
        cell.run(seconds(30));
        assertNoViolation(cell);
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
    }

    static void runUntilStarted(SimulatedCell& cell, const SimulatedWorker& worker)
    {
        for (const TimePoint end = cell.m_now + seconds(3); worker.m_running.empty() && cell.m_now < end;)
            cell.run(SimulatedCell::tick);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker.m_running.size());
    }

    static JobRecord singleTask(Duration estimate = seconds(3))
    {
        return SimulatedCell::job("j", { SimulatedCell::step(1, 1000, estimate) });
    }

public:
    // Guards against a task that starts elsewhere once the lease of its silent worker has ended, while the first start
    // is carried out by a later process of that worker.
    void lateStartAfterARestartBehindACutRunsAlone()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            SimulatedCell cell = startedCell(2, seed);
            const WorkerId cut = orderLateStart(cell, singleTask(seconds(8)));
            cell.m_workers.at(cut).m_isReachable = false;
            cell.run(seconds(1));
            cell.restartWorker(cut, whole);
            cell.run(seconds(26));
            cell.endFaults();
            cell.run(seconds(12));
            CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
            assertNoViolation(cell);
        }
    }

    // Guards against a wait for late orders that is longer than they can be carried out: a worker refuses a start whose
    // ticket has expired.
    void ticketBoundsTheWaitForALateStart()
    {
        SimulatedCell cell = startedCell(2);
        cell.m_allowedShare = 1.0;
        JobRecord job = singleTask(seconds(60));
        job.m_policy.m_advice = AdvicePolicy { milliseconds(10), milliseconds(1), SimulatedCell::ticketValidity };
        const WorkerId lost = orderLateStart(cell, job);
        cell.m_workers.at(lost).m_isUp = false;
        cell.run(SimulatedCell::ticketValidity + SimulatedCell::longestLease + seconds(2));
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        assertNoViolation(cell);
    }

    // Guards against a task that starts anew although a later process of the worker that it was first ordered to may
    // still carry that start out: the confirmation of the earlier process does not bind the later one.
    void lateStartIsBarredInALaterProcessBeforeAnother()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            SimulatedCell cell = startedCell(3, seed);
            const WorkerId first = orderLateStart(cell, singleTask(seconds(20)));
            cell.run(milliseconds(1200));
            const WorkerId second = firstWorkerOf(cell);
            cell.m_workers.at(first).m_isReachable = false;
            cell.restartWorker(first, whole);
            cell.listAll();
            cell.run(milliseconds(100));
            cell.restartWorker(second, whole);
            cell.listAll();
            cell.run(seconds(26));
            cell.endFaults();
            cell.run(seconds(30));
            CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
            assertNoViolation(cell);
        }
    }

    // Guards against a start that a later process carries out because the only stop sent to it was lost.
    void stopOfALateStartIsRepeatedUntilTheLaterProcessConfirmsIt()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            SimulatedCell cell = startedCell(2, seed);
            const WorkerId first = orderLateStart(cell, singleTask(seconds(20)));
            cell.run(milliseconds(1200));
            CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
            cell.restartWorker(first, whole);
            cell.m_workers.at(first).m_losesStops = true;
            cell.run(milliseconds(800));
            cell.m_workers.at(first).m_losesStops = false;
            cell.run(seconds(15));
            assertNoViolation(cell);
            CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
        }
    }

    // Guards against a confirmation by the ended process that is read after a report of the later one: it does not keep
    // the later process from carrying the start out.
    void stopConfirmedByAnEarlierProcessBarsNothing()
    {
        SchedulerSettings settings;
        JobScheduler scheduler(settings);
        TimePoint now(seconds(100));
        SimulatedCell cell(1);
        const WorkerDescription worker = cell.m_workers.begin()->second.m_description;
        const WorkerId id = worker.m_worker;
        scheduler.workerListed(worker, now);
        scheduler.workerReported(id, { 1, now, {}, {} }, now);
        scheduler.addJob(singleTask(), {}, 0, now);
        scheduler.step(0, now, {});
        scheduler.stored(scheduler.takeChanges().m_number);
        const auto orders = scheduler.step(0, now, {});
        const RunName run = std::get<StartOrder>(orders.at(0)).m_run;
        scheduler.startAnswered(id, run, StartOutcome::Unknown, now);
        now += milliseconds(10);
        scheduler.workerReported(id, { 1, now, {}, {} }, now);
        const TimePoint stopSentAt = now;
        now += milliseconds(10);
        scheduler.workerReported(id, { 2, now, {}, {} }, now);
        scheduler.stopAnswered(id, run, true, stopSentAt, now);
        now += milliseconds(10);
        scheduler.workerReported(id, { 2, now, {}, {} }, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler.worker(id)->m_runs.size());
        scheduler.stopAnswered(id, run, true, now, now);
        now += milliseconds(10);
        scheduler.workerReported(id, { 2, now, {}, {} }, now);
        CPPUNIT_ASSERT(scheduler.worker(id)->m_runs.empty());
    }

    // Guards against a start that is forgotten because its run was stopped before the order timed out.
    void startStoppedBeforeItsTimeoutIsBarredInALaterProcess()
    {
        SimulatedCell cell = startedCell(1);
        const WorkerId only = orderLateStart(cell, singleTask());
        cell.cancel(JobId("j"));
        cell.run(milliseconds(400));
        CPPUNIT_ASSERT(cell.m_scheduler->worker(only)->m_runs.empty());
        cell.restartWorker(only, whole);
        cell.m_workers.at(only).m_losesStops = true;
        cell.run(milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.m_scheduler->worker(only)->m_runs.size());
        cell.m_workers.at(only).m_losesStops = false;
        cell.run(seconds(15));
        CPPUNIT_ASSERT(cell.m_scheduler->worker(only)->m_runs.empty());
        assertNoViolation(cell);
    }

    // Guards against a late start of which the log says nothing because the scheduler is about to stop it.
    void lateStartOfALaterProcessIsReported()
    {
        SimulatedCell cell = startedCell(2);
        const WorkerId first = orderLateStart(cell, singleTask(seconds(20)));
        cell.run(milliseconds(1200));
        cell.restartWorker(first, whole);
        // A call to the later process would bar the start.
        cell.m_workers.at(first).m_isReachable = false;
        cell.m_workers.at(first).m_losesStops = true;
        for (const TimePoint end = cell.m_now + seconds(13);
             cell.m_workers.at(first).m_running.empty() && cell.m_now < end;)
            cell.run(SimulatedCell::tick);
        cell.m_workers.at(first).m_isReachable = true;
        cell.run(seconds(1));
        const std::vector<UnexpectedRun> unexpected = cell.m_scheduler->takeUnexpectedRuns();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), unexpected.size());
        CPPUNIT_ASSERT(unexpected[0].m_loss && unexpected[0].m_loss->m_isUnanswered);
        CPPUNIT_ASSERT(unexpected[0].m_loss->m_bornMs < unexpected[0].m_bornMs);
    }

    // Guards against more work than a restarted worker can carry: a start that it may still carry out needs room.
    void roomOfALateStartIsKeptOnALaterProcess()
    {
        SimulatedCell cell = startedCell(1);
        const WorkerId only
            = orderLateStart(cell, SimulatedCell::job("j", { SimulatedCell::step(1, whole.m_cpuMillis, seconds(3)) }));
        cell.run(milliseconds(1000));
        cell.cancel(JobId("j"));
        cell.run(milliseconds(700));
        cell.restartWorker(only, whole);
        cell.m_workers.at(only).m_losesStops = true;
        cell.listAll();
        cell.run(milliseconds(1200));
        cell.accept(SimulatedCell::job("next", { SimulatedCell::step(1, whole.m_cpuMillis, seconds(10)) }));
        cell.run(seconds(12));
        cell.m_workers.at(only).m_losesStops = false;
        cell.run(seconds(20));
        assertNoViolation(cell);
        CPPUNIT_ASSERT(cell.state("next") == JobState::Done);
    }

    // Guards against a run that counts as over too early: an order to the earlier process, carried out late, grants the
    // later one its longest lease.
    void leaseFromALateOrderOutlastsThoseOfTheLaterProcess()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            SimulatedCell cell = startedCell(2, seed);
            const WorkerId first = orderLateStart(cell, singleTask());
            cell.cancel(JobId("j"));
            cell.restartWorker(first, whole);
            cell.m_workers.at(first).m_losesStops = true;
            cell.listAll();
            cell.run(milliseconds(700));
            // The next task runs on the restarted worker, as the other one cannot be reached.
            const WorkerId other = std::prev(cell.m_workers.end())->first == first
                ? cell.m_workers.begin()->first
                : std::prev(cell.m_workers.end())->first;
            cell.m_workers.at(other).m_isReachable = false;
            cell.run(seconds(2));
            cell.accept(SimulatedCell::job("other", { SimulatedCell::step(1, 1000, seconds(60)) }));
            cell.run(milliseconds(300));
            CPPUNIT_ASSERT_EQUAL(1U, cell.running("other"));
            cell.m_workers.at(other).m_isReachable = true;
            cell.m_workers.at(first).m_isReachable = false;
            cell.run(seconds(30));
            cell.endFaults();
            cell.run(seconds(5));
            assertNoViolation(cell);
        }
    }

    // Guards against a second run of a task on a worker that restarted before a takeover: a request for a report that
    // was sent to its earlier process extends the lease while the successor waits for the end of it.
    void lateRequestOfAnEarlierProcessExtendsNoLeaseAfterATakeover()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            SimulatedCell cell = startedCell(2, seed);
            verifyTakeoverBesideARestartedWorker(cell);
        }
    }

    // Guards against the same where that request arrived before any call to the later process.
    void restartedWorkerGetsNoTaskThatASuccessorWouldStartAgain()
    {
        SimulatedCell cell = startedCell(2);
        cell.m_requestDelay = Duration::zero();
        verifyTakeoverBesideARestartedWorker(cell);
    }

    // Guards against a second run of a task on a worker that restarted beside a takeover, where the new term knows of
    // no earlier process: a request that was sent to one arrived before the term's first call.
    void termAllowsForTheLongestLeaseBeforeItsFirstCall()
    {
        SimulatedCell cell = startedCell(2);
        cell.m_requestDelay = seconds(1);
        SimulatedWorker& restarted = cell.m_workers.begin()->second;
        SimulatedWorker& other = std::next(cell.m_workers.begin())->second;
        other.m_isReachable = false;
        cell.run(seconds(2));
        restarted.m_isReachable = false;
        cell.restartWorker(cell.m_workers.begin()->first, whole);
        cell.listAll();
        cell.takeOver();
        cell.run(seconds(1));
        restarted.m_isReachable = true;
        cell.accept(singleTask(seconds(60)));
        runUntilStarted(cell, restarted);
        restarted.m_isReachable = false;
        other.m_isReachable = true;
        cell.run(seconds(30));
        assertNoViolation(cell);
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
    }

    // Guards against a task on a young process whose lease may outlast the wait of a successor, and against workers
    // that stay idle after each takeover although no call to an earlier process can still arrive.
    void workerGetsNoTaskWhileASuccessorWouldNotWaitForItsLease()
    {
        const SchedulerSettings settings;
        for (const Duration age : { Duration::zero(), maxOrderDelay + settings.m_longestLease }) {
            JobScheduler scheduler(settings);
            const TimePoint now(seconds(100));
            SimulatedCell cell(1);
            const WorkerDescription worker = cell.m_workers.begin()->second.m_description;
            scheduler.setInheritedLeases({}, 0, now);
            scheduler.workerListed(worker, now);
            scheduler.workerReported(worker.m_worker, { 1, now, {}, {}, true, true, age }, now);
            scheduler.addJob(singleTask(), {}, 0, now);
            scheduler.setSuccessorWaitEnd(now + settings.m_longestLease - milliseconds(1));
            scheduler.step(0, now, {});
            CPPUNIT_ASSERT_EQUAL(age > Duration::zero(), scheduler.hasChanges());
            scheduler.setSuccessorWaitEnd(now + settings.m_longestLease);
            scheduler.step(0, now + milliseconds(50), {});
            CPPUNIT_ASSERT(scheduler.hasChanges());
        }
    }

    // Guards against new workers that stay idle in a term in which no call to an earlier process of theirs can arrive,
    // and against tasks on one that came back soon after it had been forgotten.
    void onlyKnownWorkersMayHaveHadEarlierProcesses()
    {
        JobScheduler scheduler({});
        TimePoint now(seconds(100));
        SimulatedCell cell(1);
        const WorkerDescription worker = cell.m_workers.begin()->second.m_description;
        const auto lateLease = [&] { return scheduler.worker(worker.m_worker)->m_lateLeaseEnd > now; };
        scheduler.setInheritedLeases({}, 0, now);
        now += maxOrderDelay;
        scheduler.workerListed(worker, now);
        CPPUNIT_ASSERT(!lateLease());
        scheduler.workerDelisted(worker.m_worker, now);
        now += seconds(1);
        scheduler.step(0, now, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler.takeGoneWorkers().size());
        scheduler.workerListed(worker, now);
        CPPUNIT_ASSERT(lateLease());
    }

    // Guards against a second run of a task that the later process of a worker began before its restart was noticed:
    // the run counted as one of the earlier process, whose lease ends sooner.
    void runOfALaterProcessKeepsTheLeaseOfItsProcess()
    {
        for (const bool isListed : { false, true }) {
            SimulatedCell cell = startedCell(2);
            startOnAnUnnoticedProcess(cell);
            if (isListed)
                cell.run(SimulatedCell::requestTimeout);
            else
                cell.listAll();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.m_scheduler->takeRestarts().size());
            verifyCutOff(cell);
        }
    }

    // Guards against the same where the worker is cut off before its restart is noticed: the end of the lease in the
    // start was a time on the clock of the earlier process.
    void startAnsweredByAnUnknownProcessKeepsTheLeaseOfThatProcess()
    {
        SimulatedCell cell = startedCell(2);
        startOnAnUnnoticedProcess(cell);
        CPPUNIT_ASSERT(cell.m_scheduler->takeRestarts().empty());
        verifyCutOff(cell);
    }

    // Guards against a second run of a task that a later process has begun: the registry entry of the earlier process,
    // which was draining, is removed after the first report of the later one.
    void removalOfTheEntryOfAnEarlierProcessEndsNoRun()
    {
        JobScheduler scheduler({});
        const TimePoint now(seconds(100));
        SimulatedCell cell(1);
        WorkerDescription worker = cell.m_workers.begin()->second.m_description;
        scheduler.addJob(singleTask(), {}, 0, now);
        worker.m_isDraining = true;
        scheduler.workerListed(worker, now);
        scheduler.workerReported(worker.m_worker, { 1, now, {}, {} }, now);
        const RunReport late { { { JobId("j"), {} }, 1 }, {}, 50, 0 };
        scheduler.workerReported(worker.m_worker, { 2, now, { late }, {} }, now);
        scheduler.workerLeft(worker.m_worker, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler.worker(worker.m_worker)->m_runs.size());
    }

    // Guards against a second run of a task whose start had no answer when the holder of the term ended: its worker has
    // restarted unnoticed, carries the start out on its new clock, and cannot be reached by the successor, which counts
    // only the leases that the earlier term granted on the old clock.
    void startThatItsSuccessorDoesNotKnowRunsAlone()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            SimulatedCell cell = startedCell(3, seed);
            const WorkerId first = orderLateStart(cell, singleTask(seconds(60)));
            cell.restartWorkerSilently(first);
            cell.listAll();
            cell.m_workers.at(first).m_isReachable = false;
            cell.takeOver();
            cell.run(seconds(40));
            assertNoViolation(cell);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + ": "
                    + (cell.m_unbarredViolations.empty() ? "" : *cell.m_unbarredViolations.begin()),
                std::size_t(0), cell.m_unbarredViolations.size());
        }
    }

    // Guards against the same where the start waited in a connection while the worker was down: the holder ends and the
    // worker is cut off just after its next process has read the start. Its entry expires while the successor waits.
    void startReadByANewProcessRunsAloneAfterATakeover()
    {
        SimulatedCell cell = startedCell(3);
        cell.m_startDelay = milliseconds(300);
        const WorkerId first = orderLateStart(cell, singleTask(seconds(60)));
        cell.m_workers.at(first).m_isReachable = false;
        cell.restartWorkerSilently(first);
        cell.listAll();
        runUntilStarted(cell, cell.m_workers.at(first));
        cell.takeOver();
        cell.run(seconds(5));
        cell.m_registry.erase(first);
        cell.m_scheduler->workerDelisted(first, cell.m_now);
        cell.run(seconds(25));
        assertNoViolation(cell);
        CPPUNIT_ASSERT(cell.m_unbarredViolations.empty());
        CPPUNIT_ASSERT_EQUAL(1U, cell.running("j"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateOrderTest);

} // namespace sapphiredale::jobs
