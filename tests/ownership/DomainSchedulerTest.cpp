// Tests of the domain scheduler with simulated workers, network and log; each brings about one failure. The simulation
// itself fails a test when two daemons are the scheduler or a task runs in two places at any instant.

#include "tests/ownership/World.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::ownership {

namespace {

    /// Lease length and takeover target of the design.
    constexpr Duration takeoverBound = seconds(25);

    placement::JobRequest job(const std::string& name, std::uint32_t tasks = 1, const std::string& workload = "score")
    {
        return { JobId("hal." + name), WorkloadId(workload), tasks };
    }

    const TaskId monitor("monitor/0");

    template <typename AnyWorld> void startTwo(AnyWorld& world, std::uint32_t workers)
    {
        world.addNode("a");
        world.addNode("b");
        world.configure(World::file(workers), 1);
        world.run(seconds(8));
        CPPUNIT_ASSERT(!world.owner().empty());
    }

    std::string otherThan(const std::string& name) { return name == "a" ? "b" : "a"; }

    template <typename AnyWorld> Result<Unit> submit(AnyWorld& world, const placement::JobRequest& request)
    {
        static SubmissionNumber number = 0;
        const std::string owner = world.owner();
        world.scheduler(owner).submitJob(++number, request, world.m_now);
        world.run(seconds(12));
        return world.m_nodes.at(owner).m_replies.at(number).m_result;
    }

    ErrorKind kindOf(const Result<Unit>& result)
    {
        CPPUNIT_ASSERT(!succeeded(result));
        return errorOf(result).m_kind;
    }

} // namespace

class DomainSchedulerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DomainSchedulerTest);
    CPPUNIT_TEST(jobsRunAndTheirEndsAreRecordedBeforeAcknowledgement);
    CPPUNIT_TEST(pausedOwnerIsFencedByTheWorkers);
    CPPUNIT_TEST(shortPauseHasNoEffect);
    CPPUNIT_TEST(successorNeitherRepeatsNorLosesTasks<FakeCell>);
    CPPUNIT_TEST(successorNeitherRepeatsNorLosesTasks<placement::Cell>);
    CPPUNIT_TEST(successorWithoutLogDoesNotRepeatEndedTasks);
    CPPUNIT_TEST(survivorServesDuringALogOutage);
    CPPUNIT_TEST(lostAnswerToAStartRepeatsItOnTheSameWorker);
    CPPUNIT_TEST(unknownStartIsNotMovedBeforeTheWorkersEndIsProven);
    CPPUNIT_TEST(lostAppendAnswerIsResolvedByReadingBack);
    CPPUNIT_TEST(endedMemoryJobIsRememberedAndNotRepeated);
    CPPUNIT_TEST(refusalDuringLogOutageIsTruthful);
    CPPUNIT_TEST(cancelledJobStaysCancelledAfterTakeover);
    CPPUNIT_TEST(restartedWorkerLosesItsTasksOnce<FakeCell>);
    CPPUNIT_TEST(restartedWorkerLosesItsTasksOnce<placement::Cell>);
    CPPUNIT_TEST(unaccountedWorkerHoldsItsSingletons);
    CPPUNIT_TEST(wholeFleetIsReplaced);
    CPPUNIT_TEST(fleetIsReplacedAfterTheOldOneIsGone);
    CPPUNIT_TEST(plannedStopHandsOverAtOnce);
    CPPUNIT_TEST(openJobsAreWrittenAgainBeforeTheRetentionEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task end that is acknowledged, and so forgotten by the worker, before the log has it.
    void jobsRunAndTheirEndsAreRecordedBeforeAcknowledgement()
    {
        World world;
        world.addNode("a");
        world.configure(World::file(3), 1);
        world.run(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(monitor));
        CPPUNIT_ASSERT(succeeded(submit(world, job("j1", 2))));
        const TaskId first("hal.j1/0");
        const TaskId second("hal.j1/1");
        FakeWorker& worker = world.m_workers.at(world.workerOf(first));

        world.m_logUp = false;
        worker.finish(first, TaskState::Ended);
        world.run(seconds(60));
        CPPUNIT_ASSERT(worker.m_tasks.contains(first));
        world.m_logUp = true;
        world.run(seconds(30));
        CPPUNIT_ASSERT(!worker.m_tasks.contains(first));
        CPPUNIT_ASSERT(!world.scheduler("a").jobs().endedJob(JobId("hal.j1")));

        world.m_workers.at(world.workerOf(second)).finish(second, TaskState::Ended);
        world.run(seconds(20));
        CPPUNIT_ASSERT(world.scheduler("a").jobs().endedJob(JobId("hal.j1")));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(first));
    }

    // Guards against a former owner whose commands, decided before a long pause, still take effect after a takeover.
    void pausedOwnerIsFencedByTheWorkers()
    {
        World world;
        startTwo(world, 3);
        const std::string former = world.owner();
        world.m_nodes.at(former).m_pauseBeforeCommands = true;
        world.scheduler(former).submitJob(1, job("late", 1, "quick"), world.m_now);
        world.run(takeoverBound);
        CPPUNIT_ASSERT(world.m_nodes.at(former).m_paused);
        CPPUNIT_ASSERT_EQUAL(otherThan(former), world.owner());
        CPPUNIT_ASSERT_EQUAL(0, world.m_fencedCommands);

        world.resume(former);
        world.run(seconds(30));
        CPPUNIT_ASSERT(world.m_fencedCommands > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.executedStarts(TaskId("hal.late/0")));
        CPPUNIT_ASSERT_EQUAL(otherThan(former), world.owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(monitor));
    }

    // Guards against a takeover because of a pause that the lease length is meant to cover (below 6 s).
    void shortPauseHasNoEffect()
    {
        World world;
        startTwo(world, 5);
        world.run(seconds(30));
        const std::string owner = world.owner();
        const std::uint64_t epoch = world.scheduler(owner).schedulerEpoch(world.m_now);
        for (int i = 0; i < 5; ++i) {
            world.m_nodes.at(owner).m_paused = true;
            world.run(milliseconds(5900));
            world.resume(owner);
            world.run(milliseconds(9300));
        }
        CPPUNIT_ASSERT_EQUAL(owner, world.owner());
        CPPUNIT_ASSERT_EQUAL(epoch, world.scheduler(owner).schedulerEpoch(world.m_now));
    }

    // Guards against a successor that runs an ended task again, disturbs a running one, or forgets a waiting one.
    template <typename Cell> void successorNeitherRepeatsNorLosesTasks()
    {
        BasicWorld<Cell> world;
        startTwo(world, 2);
        CPPUNIT_ASSERT(succeeded(submit(world, job("j1", 8))));
        const TaskId ended("hal.j1/0");
        const TaskId running("hal.j1/1");
        world.m_workers.at(world.workerOf(ended)).finish(ended, TaskState::Ended);
        world.run(seconds(10));
        std::size_t waiting = 0;
        for (int i = 0; i < 8; ++i)
            waiting += world.executedStarts(TaskId("hal.j1/" + std::to_string(i))) == 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, waiting);

        const std::string former = world.owner();
        world.kill(former);
        world.run(takeoverBound);
        CPPUNIT_ASSERT_EQUAL(otherThan(former), world.owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(monitor));
        for (int i = 0; i < 8; ++i) {
            const TaskId task("hal.j1/" + std::to_string(i));
            if (world.running(task))
                world.m_workers.at(world.workerOf(task)).finish(task, TaskState::Ended);
        }
        world.run(seconds(20));
        for (int i = 0; i < 8; ++i) {
            const TaskId task("hal.j1/" + std::to_string(i));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(task.value(), std::size_t { 1 }, world.executedStarts(task));
            if (world.running(task))
                world.m_workers.at(world.workerOf(task)).finish(task, TaskState::Ended);
        }
        world.run(seconds(20));
        CPPUNIT_ASSERT(world.scheduler(world.owner()).jobs().endedJob(JobId("hal.j1")));
    }

    // Guards against a successor that cannot read the log and starts a task whose recorded end it has not read.
    void successorWithoutLogDoesNotRepeatEndedTasks()
    {
        World world;
        startTwo(world, 3);
        CPPUNIT_ASSERT(succeeded(submit(world, job("j1", 2))));
        const std::string former = world.owner();
        const std::string successor = otherThan(former);
        const TaskId ended("hal.j1/0");
        FakeWorker& worker = world.m_workers.at(world.workerOf(ended));

        world.m_nodes.at(successor).m_cutOff = true;
        worker.finish(ended, TaskState::Ended);
        world.run(seconds(10));
        CPPUNIT_ASSERT(!worker.m_tasks.contains(ended));
        world.kill(former);
        world.m_logUp = false;
        world.m_nodes.at(successor).m_cutOff = false;
        world.run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(successor, world.owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.scheduler(successor).snapshot(world.m_now).m_heldJobs);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(monitor));

        world.m_logUp = true;
        world.run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.scheduler(successor).snapshot(world.m_now).m_heldJobs);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(ended));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(TaskId("hal.j1/1")));
    }

    // Guards against a domain of two daemons that stops serving when one dies during a long log outage.
    void survivorServesDuringALogOutage()
    {
        World world;
        startTwo(world, 3);
        const std::string former = world.owner();
        world.m_logUp = false;
        world.run(seconds(600));
        world.kill(former);
        world.run(takeoverBound);
        const std::string survivor = otherThan(former);
        CPPUNIT_ASSERT_EQUAL(survivor, world.owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(monitor));
        CPPUNIT_ASSERT(succeeded(submit(world, job("m", 1, "quick"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(TaskId("hal.m/0")));
        CPPUNIT_ASSERT(kindOf(submit(world, job("l"))) == ErrorKind::LogUnavailable);
        world.run(seconds(3600));
        CPPUNIT_ASSERT_EQUAL(survivor, world.owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(monitor));
    }

    // Guards against a start whose answer was lost being repeated as a new attempt or on another worker.
    void lostAnswerToAStartRepeatsItOnTheSameWorker()
    {
        World world;
        startTwo(world, 3);
        int lost = 0;
        world.m_loseAnswer = [&](const OwnershipAction& action) {
            return std::holds_alternative<SendCommands>(action) && ++lost <= 3;
        };
        CPPUNIT_ASSERT(succeeded(submit(world, job("j1"))));
        CPPUNIT_ASSERT(lost > 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(TaskId("hal.j1/0")));
        CPPUNIT_ASSERT(world.scheduler(world.owner()).counted(CountedReason::CommandTimeout) >= 3);
    }

    // Guards against moving a task whose start may have been executed on a worker that cannot be reached.
    void unknownStartIsNotMovedBeforeTheWorkersEndIsProven()
    {
        World world;
        startTwo(world, 3);
        const std::string owner = world.owner();
        const TaskId task("hal.j1/0");
        WorkerId target;
        world.m_loseAnswer = [&](const OwnershipAction& action) {
            const auto* batch = std::get_if<SendCommands>(&action);
            if (!batch)
                return false;
            target = batch->m_worker;
            world.cut("a", target);
            world.cut("b", target);
            return true;
        };
        CPPUNIT_ASSERT(succeeded(submit(world, job("j1"))));
        world.m_loseAnswer = {};
        world.run(seconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(task));
        CPPUNIT_ASSERT(world.workerOf(task) == target);

        world.m_deadWorkers.insert(target);
        world.scheduler(owner).workerListed(target, HostState::Gone, world.m_now);
        world.run(seconds(19));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.running(task));
        world.run(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(task));
        CPPUNIT_ASSERT(world.workerOf(task) != target);
    }

    // Guards against a job that is reported as lost although its record is in the log, and against running it twice.
    void lostAppendAnswerIsResolvedByReadingBack()
    {
        World world;
        startTwo(world, 3);
        world.m_loseAnswer = [](const OwnershipAction& action) { return std::holds_alternative<AppendRecord>(action); };
        const std::string owner = world.owner();
        world.scheduler(owner).submitJob(7, job("j1"), world.m_now);
        world.run(seconds(3));
        CPPUNIT_ASSERT(succeeded(world.m_nodes.at(owner).m_replies.at(7).m_result));
        CPPUNIT_ASSERT(world.m_nodes.at(owner).m_replies.at(7).m_durable);
        // The same record arrives a second time, as after a repeated append.
        world.m_streams[FailureDomainId("hal")].push_back(world.m_streams[FailureDomainId("hal")].front());
        world.run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(TaskId("hal.j1/0")));
        CPPUNIT_ASSERT(world.scheduler(owner).counted(CountedReason::RecordRepeated) > 0);
    }

    // Guards against a job without a record that is forgotten at its end: its state could not be asked for, and a
    // repeated submission ran it again.
    void endedMemoryJobIsRememberedAndNotRepeated()
    {
        World world;
        startTwo(world, 3);
        CPPUNIT_ASSERT(succeeded(submit(world, job("q", 1, "quick"))));
        const TaskId task("hal.q/0");
        world.m_workers.at(world.workerOf(task)).finish(task, TaskState::Ended);
        world.run(seconds(20));
        const JobEnded* ended = world.scheduler(world.owner()).jobs().endedJob(JobId("hal.q"));
        CPPUNIT_ASSERT(ended && ended->m_outcome == JobOutcome::Finished);
        CPPUNIT_ASSERT(succeeded(submit(world, job("q", 1, "quick"))));
        world.run(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(task));
    }

    // Guards against a job that was refused as not run and is run when the log is back.
    void refusalDuringLogOutageIsTruthful()
    {
        World world;
        startTwo(world, 3);
        world.m_logUp = false;
        CPPUNIT_ASSERT(kindOf(submit(world, job("j1"))) == ErrorKind::LogUnavailable);
        world.m_logUp = true;
        world.run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.executedStarts(TaskId("hal.j1/0")));
        CPPUNIT_ASSERT(succeeded(submit(world, job("j1"))));
    }

    // Guards against a successor that continues a job whose cancellation was confirmed to the caller.
    void cancelledJobStaysCancelledAfterTakeover()
    {
        World world;
        startTwo(world, 2);
        CPPUNIT_ASSERT(succeeded(submit(world, job("j1", 9))));
        const std::string former = world.owner();
        world.scheduler(former).cancelJob(50, JobId("hal.j1"), world.m_now);
        world.run(milliseconds(500));
        CPPUNIT_ASSERT(succeeded(world.m_nodes.at(former).m_replies.at(50).m_result));
        const std::size_t starts = world.executedStarts(TaskId("hal.j1/8"));
        world.kill(former);
        world.run(takeoverBound + seconds(20));
        for (int i = 0; i < 9; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.running(TaskId("hal.j1/" + std::to_string(i))));
        CPPUNIT_ASSERT_EQUAL(starts, world.executedStarts(TaskId("hal.j1/8")));
    }

    // Guards against tasks of a restarted worker that are never started again, or are commanded in its old incarnation.
    template <typename Cell> void restartedWorkerLosesItsTasksOnce()
    {
        BasicWorld<Cell> world;
        startTwo(world, 3);
        const WorkerId worker = world.workerOf(monitor);
        world.m_workers.at(worker).restart("i2");
        world.run(seconds(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(monitor));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, world.executedStarts(monitor));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t { 1 }, world.scheduler(world.owner()).counted(CountedReason::WorkerRestarted));
    }

    // Guards against a successor that starts a singleton while it still runs on a worker the successor cannot reach.
    void unaccountedWorkerHoldsItsSingletons()
    {
        World world;
        startTwo(world, 3);
        const std::string former = world.owner();
        const std::string successor = otherThan(former);
        const WorkerId worker = world.workerOf(monitor);
        world.cut(successor, worker);
        world.kill(former);
        world.run(seconds(120));
        CPPUNIT_ASSERT_EQUAL(successor, world.owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(monitor));
        CPPUNIT_ASSERT_EQUAL(
            std::string("unaccounted-worker"), world.scheduler(successor).explain(monitor, world.m_now).m_reason);
        CPPUNIT_ASSERT(succeeded(submit(world, job("new"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(TaskId("hal.new/0")));

        world.m_deadWorkers.insert(worker);
        world.scheduler(successor).workerListed(worker, HostState::Gone, world.m_now);
        world.run(seconds(19));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.running(monitor));
        world.run(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(monitor));
    }

    // Guards against two owners, or two copies of a task, while the whole set of workers changes with one version.
    void wholeFleetIsReplaced()
    {
        World world;
        startTwo(world, 3);
        const ClusterFile older = World::file(3);
        ClusterFile newer = older;
        for (WorkerSpec& worker : newer.m_workers)
            worker.m_name = WorkerId("new-" + worker.m_name.value());
        // One daemon learns of the new version much later than the other.
        const std::string first = otherThan(world.owner());
        for (const WorkerSpec& worker : newer.m_workers)
            world.m_workers.try_emplace(worker.m_name);
        world.scheduler(first).configure({ newer, 2, older.m_workers, {} }, world.m_now);
        world.run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(otherThan(first), world.owner());
        world.configure(newer, 2, older.m_workers);
        world.run(seconds(90));
        CPPUNIT_ASSERT(!world.owner().empty());
        CPPUNIT_ASSERT_EQUAL(std::string("new-"), world.workerOf(monitor).value().substr(0, 4));
    }

    // Guards against a domain that stays without an owner because its whole former fleet no longer exists.
    void fleetIsReplacedAfterTheOldOneIsGone()
    {
        World world;
        startTwo(world, 3);
        const ClusterFile older = World::file(3);
        ClusterFile newer = older;
        for (WorkerSpec& worker : newer.m_workers) {
            world.m_deadWorkers.insert(worker.m_name);
            for (const char* node : { "a", "b" })
                world.scheduler(node).workerListed(worker.m_name, HostState::Gone, world.m_now);
            worker.m_name = WorkerId("new-" + worker.m_name.value());
        }
        world.configure(newer, 2, older.m_workers);
        world.run(seconds(60));
        CPPUNIT_ASSERT(!world.owner().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.running(monitor));
    }

    // Guards against a planned stop that leaves the domain without an owner until the leases expire.
    void plannedStopHandsOverAtOnce()
    {
        World world;
        startTwo(world, 5);
        const std::string former = world.owner();
        world.scheduler(former).beginRelease(world.m_now);
        world.run(seconds(5));
        CPPUNIT_ASSERT(world.scheduler(former).phase() == World::TestScheduler::Phase::Released);
        CPPUNIT_ASSERT_EQUAL(otherThan(former), world.owner());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.executedStarts(monitor));
    }

    // Guards against a long job whose record leaves the log by retention, so that a new daemon does not know it.
    void openJobsAreWrittenAgainBeforeTheRetentionEnds()
    {
        World world;
        startTwo(world, 2);
        CPPUNIT_ASSERT(succeeded(submit(world, job("j1", 2))));
        auto& stream = world.m_streams[FailureDomainId("hal")];
        const TaskId ended("hal.j1/0");
        world.m_workers.at(world.workerOf(ended)).finish(ended, TaskState::Ended);
        world.run(std::chrono::hours(9));
        // Everything of the first eight hours is lost by retention; a new daemon reads the rest.
        std::size_t accepted = 0;
        JobLedger fresh;
        for (auto record = stream.begin(); record != stream.end(); ++record) {
            accepted += std::holds_alternative<JobAccepted>(record->m_body);
            if (accepted >= 2)
                fresh.apply(*record, world.m_now);
        }
        CPPUNIT_ASSERT(fresh.openJob(JobId("hal.j1")));
        CPPUNIT_ASSERT(fresh.hasEnd({ ended, 1 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainSchedulerTest);

} // namespace sapphiredale::ownership
