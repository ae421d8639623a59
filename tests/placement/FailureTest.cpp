// Tests of failure handling: failing workers and jobs, wrong sizes and reports, infeasible jobs, cancellations.

#include "tests/placement/CellFixture.h"

namespace sapphiredale::placement {

class FailureTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FailureTest);
    CPPUNIT_TEST(failingWorkerIsQuarantinedAndReleasedWithOneTask);
    CPPUNIT_TEST(oneBadJobDoesNotQuarantineWorkers);
    CPPUNIT_TEST(olderTasksDoNotClearFailuresOfAWorker);
    CPPUNIT_TEST(absentTaskIsStartedAgain);
    CPPUNIT_TEST(policyChangesPreserveQuotaCharges);
    CPPUNIT_TEST(attemptsAreBounded);
    CPPUNIT_TEST(impossibleJobsAreRefusedWithTheConstraint);
    CPPUNIT_TEST(overuseEndsBeforeNeighboursSuffer);
    CPPUNIT_TEST(oneWrongReportIsNotTrusted);
    CPPUNIT_TEST(learnedSizeIsBoundedAndNeedsSeveralTasks);
    CPPUNIT_TEST(lateRepeatedAndCrossedReportsHaveNoEffect);
    CPPUNIT_TEST(olderAttemptThatReturnsIsStopped);
    CPPUNIT_TEST(massCancellationReleasesEverything);
    CPPUNIT_TEST(smallWorkDoesNotStarveLargeWork);
    CPPUNIT_TEST(teamsAreServedByTheirShares);
    CPPUNIT_TEST(rackSpreadIsKeptAndExplained);
    CPPUNIT_TEST_SUITE_END();

    static bool isQuarantined(const CellFixture& cell, const char* worker)
    {
        return cell.m_cell.workerLoad(WorkerId(worker)).m_quarantined;
    }

public:
    // Guards against a worker that fails all its tasks at once and therefore attracts ever more of them.
    void failingWorkerIsQuarantinedAndReleasedWithOneTask()
    {
        ClusterFile file = testFile();
        file.m_classes[1].m_maxAttempts = 10;
        addWorkload(file, "small", "batch", "red", { 1000, 4096, 0 });
        CellFixture cell(file, 4);
        int failures = 0;
        int next = 0;
        std::size_t onProbation = 0;
        for (int round = 0; round < 3000; ++round) {
            if (round % 4 == 0)
                cell.submit(("j" + std::to_string(next++)).c_str(), "small");
            const bool probation = cell.m_cell.workerLoad(WorkerId("w0")).m_onProbation;
            cell.step(std::chrono::milliseconds(100));
            std::size_t startsHere = 0;
            for (const StartTask& start : cell.all<StartTask>()) {
                const bool here = start.m_worker == WorkerId("w0");
                startsHere += here ? 1 : 0;
                failures += here ? 1 : 0;
                cell.report(start.m_task.value(), TaskState::Running);
                if (!here || !probation)
                    cell.report(start.m_task.value(), here ? TaskState::Failed : TaskState::Ended);
            }
            if (probation) {
                CPPUNIT_ASSERT(startsHere <= 1);
                onProbation += startsHere;
            }
            if (onProbation > 0)
                break;
        }
        CPPUNIT_ASSERT(failures >= 3 && failures <= 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), onProbation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cell.counted(Reason::WorkerQuarantined));
        CPPUNIT_ASSERT(!isQuarantined(cell, "w1") && !isQuarantined(cell, "w2"));
    }

    // Guards against a bad job, or many jobs of one bad program, that take good workers out of service.
    void oneBadJobDoesNotQuarantineWorkers()
    {
        ClusterFile file = testFile();
        file.m_classes[1].m_maxAttempts = 20;
        addWorkload(file, "bad", "batch", "red", { 1000, 4096, 0 });
        CellFixture cell(file, 6);
        for (int i = 0; i < 6; ++i)
            cell.submit(("bad" + std::to_string(i)).c_str(), "bad", i == 0 ? 20 : 1);
        for (int round = 0; round < 600; ++round) {
            cell.step(std::chrono::milliseconds(500));
            for (const StartTask& start : cell.all<StartTask>())
                cell.report(start.m_task.value(), TaskState::Failed);
        }
        CPPUNIT_ASSERT(cell.counted(Reason::TaskFailed) > 100);
        CPPUNIT_ASSERT(cell.counted(Reason::WorkerQuarantined) <= 1);
    }

    // Guards against a worker that fails every new start but counts as healthy because older tasks still run there.
    void olderTasksDoNotClearFailuresOfAWorker()
    {
        ClusterFile file = testFile();
        file.m_classes[1].m_maxAttempts = 20;
        addWorkload(file, "small", "batch", "red", { 500, 1000, 0 });
        CellFixture cell(file, 6);
        cell.submit("old", "small");
        cell.step();
        const WorkerId failing = cell.m_started.at("old/0").m_worker;
        cell.report("old/0", TaskState::Running);
        for (int round = 0; round < 60 && !isQuarantined(cell, failing.value().c_str()); ++round) {
            cell.submit(("j" + std::to_string(round)).c_str(), "small");
            cell.step(std::chrono::seconds(10));
            cell.report("old/0", TaskState::Running, { 500, 1000, 0 });
            for (const StartTask& start : cell.all<StartTask>())
                cell.report(start.m_task.value(), start.m_worker == failing ? TaskState::Failed : TaskState::Ended);
        }
        CPPUNIT_ASSERT(isQuarantined(cell, failing.value().c_str()));
        CPPUNIT_ASSERT(cell.explain("old/0").m_state == Explanation::State::Running);
    }

    // Guards against a task that waits indefinitely after its start command was lost.
    void absentTaskIsStartedAgain()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 500, 1000, 0 });
        CellFixture cell(file, 2);
        cell.submit("j", "small");
        cell.step();
        const StartTask first = cell.m_started.at("j/0");
        cell.m_cell.taskAbsent(first.m_worker, TaskId("j/0"), first.m_attempt, cell.m_now);
        cell.m_cell.taskAbsent(first.m_worker, TaskId("j/0"), first.m_attempt, cell.m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cell.counted(Reason::TaskAbsent));
        CPPUNIT_ASSERT_EQUAL(std::string("retry-backoff"), cell.explain("j/0").m_reason);
        cell.step(std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(first.m_attempt + 1, cell.m_started.at("j/0").m_attempt);
    }

    // Guards against quotas that drift when a file moves a workload to another team or class while its tasks run.
    void policyChangesPreserveQuotaCharges()
    {
        ClusterFile file = testFile();
        file.m_teams[1].m_limit = { 4000, 16384, 0 };
        addWorkload(file, "moved", "firm", "red", { 2000, 1000, 0 });
        addWorkload(file, "other", "batch", "blue", { 2000, 1000, 0 });
        CellFixture cell(file, 4);
        cell.submit("m", "moved", 2);
        cell.step();
        file.m_workloads[0].m_team = TeamId("blue");
        file.m_workloads[0].m_class = ClassId("batch");
        cell.m_cell.setPolicies(file, cell.m_now);
        cell.submit("o", "other", 1);
        cell.step();
        // Blue's limit is used up by the tasks that are now its own.
        CPPUNIT_ASSERT_EQUAL(std::string("quota"), cell.explain("o/0").m_reason);
        cell.report("m/0", TaskState::Ended);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StartTask>().size());
        // A workload that the file drops takes no new jobs, and its accepted work goes on.
        file.m_workloads.erase(file.m_workloads.begin());
        cell.m_cell.setPolicies(file, cell.m_now);
        CPPUNIT_ASSERT(!succeeded(cell.submit("n", "moved")));
        cell.report("m/1", TaskState::Ended);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<FinishJob>().size());
        cell.assertCapacity();
    }

    // Guards against endless retries of a task that cannot succeed, and against retries on the worker that failed.
    void attemptsAreBounded()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 1000, 4096, 0 });
        CellFixture cell(file, 3);
        cell.submit("j", "small", 2);
        std::size_t starts = 0;
        std::size_t failed = 0;
        WorkerId last;
        for (int round = 0; round < 100; ++round) {
            cell.step(std::chrono::seconds(1));
            failed += cell.all<FailJob>().size();
            for (const StartTask& start : cell.all<StartTask>()) {
                if (start.m_task != TaskId("j/0"))
                    continue;
                ++starts;
                CPPUNIT_ASSERT(start.m_worker != last);
                last = start.m_worker;
                cell.report("j/0", TaskState::Failed);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), failed);
        CPPUNIT_ASSERT(cell.explain("j/1").m_state == Explanation::State::Stopping);
    }

    // Guards against jobs that wait for ever because no worker, rack spread or quota can ever hold them.
    void impossibleJobsAreRefusedWithTheConstraint()
    {
        ClusterFile file = testFile();
        addWorkload(file, "huge", "batch", "red", { 1000, 20000, 0 });
        addWorkload(file, "gang", "group", "red", { 4000, 8000, 0 });
        addWorkload(file, "spread", "group", "red", { 1000, 1000, 0 }).m_maxPerRack = 1;
        addWorkload(file, "accelerated", "batch", "red", { 1000, 1000, 1 });
        addWorkload(file, "service", "service", "red", { 1000, 1000, 0 });
        file.m_teams[1].m_limit = { 1000, 100000, 0 };
        addWorkload(file, "over-limit", "batch", "blue", { 2000, 1000, 0 });
        CellFixture cell(file, 4);
        const auto refusal = [&](const char* workload, std::uint32_t count) {
            const Result<Unit> result = cell.submit("j", workload, count);
            CPPUNIT_ASSERT(!succeeded(result));
            return errorOf(result);
        };
        const auto names
            = [](const Error& error, const char* text) { return error.m_detail.find(text) != std::string::npos; };
        CPPUNIT_ASSERT(refusal("huge", 1).m_kind == ErrorKind::NeverFits && names(refusal("huge", 1), "memoryMiB"));
        CPPUNIT_ASSERT(names(refusal("accelerated", 1), "binding constraint is accelerators"));
        CPPUNIT_ASSERT(names(refusal("gang", 5), "hold 4"));
        CPPUNIT_ASSERT(names(refusal("spread", 3), "maxPerRack 1"));
        CPPUNIT_ASSERT(refusal("over-limit", 1).m_kind == ErrorKind::QuotaExceeded);
        CPPUNIT_ASSERT(names(refusal("over-limit", 1), "binding constraint is cpuMillis"));
        CPPUNIT_ASSERT(refusal("none", 1).m_kind == ErrorKind::UnknownWorkload);
        CPPUNIT_ASSERT(refusal("service", 1).m_kind == ErrorKind::InvalidRequest);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), cell.counted(Reason::NeverFits));
        CPPUNIT_ASSERT(succeeded(cell.submit("j", "gang", 4)));
    }

    // Guards against a task that exceeds its declared size at the expense of other tasks on the worker.
    void overuseEndsBeforeNeighboursSuffer()
    {
        ClusterFile file = testFile();
        addWorkload(file, "half", "batch", "red", { 2000, 8000, 0 });
        CellFixture cell(file, 1);
        cell.submit("a", "half");
        cell.submit("b", "half");
        cell.step();
        cell.report("a/0", TaskState::Running, { 2000, 8000, 0 });
        cell.report("b/0", TaskState::Running, { 2500, 8000, 0 });
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<ThrottleTask>().size());
        CPPUNIT_ASSERT(cell.all<ThrottleTask>()[0].m_task == TaskId("b/0"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2000), cell.all<ThrottleTask>()[0].m_cpuMillis);
        cell.report("b/0", TaskState::Running, { 2000, 8000, 0 });
        cell.assertCapacity();
        // A limit on processor time cannot return memory.
        cell.report("a/0", TaskState::Running, { 2000, 9000, 0 });
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<CheckpointTask>().size());
        CPPUNIT_ASSERT(cell.all<CheckpointTask>()[0].m_task == TaskId("a/0"));
    }

    // Guards against one wrong report that makes a task reserve a whole worker.
    void oneWrongReportIsNotTrusted()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 500, 1000, 0 });
        CellFixture cell(file, 1);
        cell.submit("a", "small");
        cell.step();
        cell.report("a/0", TaskState::Running, { 4000, 16000, 0 });
        CPPUNIT_ASSERT((cell.m_cell.workerLoad(WorkerId("w0")).m_reserved == Resources { 1000, 2000, 0 }));
        cell.m_now += std::chrono::seconds(60);
        cell.report("a/0", TaskState::Running, { 300, 600, 0 });
        const Resources reserved = cell.m_cell.workerLoad(WorkerId("w0")).m_reserved;
        CPPUNIT_ASSERT(reserved.m_cpuMillis <= 510 && reserved.m_memoryMiB <= 1020);
    }

    // Guards against declared sizes that are far too small, and against unbounded trust in measured usage.
    void learnedSizeIsBoundedAndNeedsSeveralTasks()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 100, 1000, 0 });
        CellFixture cell(file, 20);
        for (int i = 0; i < 30; ++i) {
            const std::string job = "j" + std::to_string(i);
            cell.submit(job.c_str(), "small");
            cell.step();
            const Resources size = cell.m_started.at(job + "/0").m_resources;
            if (i < 3)
                CPPUNIT_ASSERT((size == Resources { 100, 1000, 0 }));
            for (int k = 0; k < 4; ++k)
                cell.report(job + "/0", TaskState::Running, { 100, 9000, 0 });
            cell.report(job + "/0", TaskState::Ended);
        }
        const Resources learned = cell.m_started.at("j29/0").m_resources;
        CPPUNIT_ASSERT(learned.m_memoryMiB > 3500 && learned.m_memoryMiB <= 4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100), learned.m_cpuMillis);
    }

    // Guards against reports of an older attempt, or of a state already left, that change the present attempt.
    void lateRepeatedAndCrossedReportsHaveNoEffect()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 2000, 8000, 0 });
        CellFixture cell(file, 2);
        cell.submit("j", "small");
        cell.step();
        const StartTask first = cell.m_started.at("j/0");
        cell.report("j/0", TaskState::Failed);
        cell.report("j/0", TaskState::Failed);
        cell.step(std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), cell.m_started.at("j/0").m_attempt);
        cell.report("j/0", TaskState::Running);
        TaskReport late { TaskId("j/0"), 1, TaskState::Failed, {}, first.m_resources, {}, {} };
        cell.m_cell.taskReported(first.m_worker, late, cell.m_now);
        late.m_state = TaskState::Running;
        cell.m_cell.taskReported(first.m_worker, late, cell.m_now);
        cell.report("j/0", TaskState::Starting);
        cell.step();
        CPPUNIT_ASSERT(cell.m_actions.empty());
        CPPUNIT_ASSERT(cell.explain("j/0").m_state == Explanation::State::Running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cell.counted(Reason::TaskFailed));
        cell.report("j/0", TaskState::Ended);
        cell.report("j/0", TaskState::Ended);
        cell.report("j/0", TaskState::Running);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<FinishJob>().size());
        CPPUNIT_ASSERT(cell.m_cell.workerLoad(first.m_worker).m_reserved.isZero());
    }

    // Guards against a task that runs twice after its worker was given up and came back.
    void olderAttemptThatReturnsIsStopped()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 2000, 8000, 0 });
        CellFixture cell(file, 2);
        cell.submit("j", "small");
        cell.step();
        const StartTask first = cell.m_started.at("j/0");
        cell.m_cell.removeWorker(first.m_worker, cell.m_now);
        cell.step(std::chrono::seconds(2));
        const StartTask second = cell.m_started.at("j/0");
        CPPUNIT_ASSERT(second.m_attempt == 2 && second.m_worker != first.m_worker);
        cell.addWorker(first.m_worker.value(), { 4000, 16384, 0 }, "r0");
        const TaskReport old { TaskId("j/0"), 1, TaskState::Running, {}, first.m_resources, {}, {} };
        cell.m_cell.taskReported(first.m_worker, old, cell.m_now);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StopTask>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), cell.all<StopTask>()[0].m_attempt);
        CPPUNIT_ASSERT(cell.m_cell.workerLoad(first.m_worker).m_reserved == first.m_resources);
        const TaskReport gone { TaskId("j/0"), 1, TaskState::Stopped, {}, first.m_resources, {}, {} };
        cell.m_cell.taskReported(first.m_worker, gone, cell.m_now);
        CPPUNIT_ASSERT(cell.m_cell.workerLoad(first.m_worker).m_reserved.isZero());
        CPPUNIT_ASSERT(cell.explain("j/0").m_worker == second.m_worker);
    }

    // Guards against queue entries, quota charges and reservations that remain after thousands of jobs are cancelled.
    void massCancellationReleasesEverything()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 1000, 4096, 0 });
        CellFixture cell(file, 10);
        for (int i = 0; i < 3000; ++i)
            cell.submit(("j" + std::to_string(i)).c_str(), "small");
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), cell.all<StartTask>().size());
        for (int i = 0; i < 3000; ++i)
            CPPUNIT_ASSERT(cell.m_cell.cancelJob(JobId("j" + std::to_string(i)), cell.m_now));
        cell.step();
        const auto stops = cell.all<StopTask>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), stops.size());
        for (const StopTask& stop : stops)
            cell.report(stop.m_task.value(), TaskState::Stopped);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(0U, cell.m_cell.summary().m_waitingTasks);
        CPPUNIT_ASSERT(cell.m_cell.summary().m_reserved.isZero());
        for (int i = 0; i < 60; ++i)
            cell.step(std::chrono::seconds(20));
        CPPUNIT_ASSERT(cell.explain("j5/0").m_state == Explanation::State::Unknown);
    }

    // Guards against a large task that never finds its amount free because small tasks always take it first.
    void smallWorkDoesNotStarveLargeWork()
    {
        ClusterFile file = testFile();
        addWorkload(file, "small", "batch", "red", { 1000, 4096, 0 }).m_maxRunSeconds = 8;
        addWorkload(file, "large", "batch", "red", { 4000, 16384, 0 });
        CellFixture cell(file, 2);
        cell.submit("s", "small", 8);
        cell.step();
        std::vector<std::string> running;
        int waited = 0;
        cell.submit("l", "large");
        for (; waited < 600 && !cell.m_started.contains("l/0"); ++waited) {
            for (const StartTask& start : cell.all<StartTask>())
                running.push_back(start.m_task.value());
            // One small task ends each second, the oldest first, and another one arrives.
            cell.report(running.front(), TaskState::Ended);
            running.erase(running.begin());
            cell.submit(("s" + std::to_string(waited)).c_str(), "small");
            cell.step(std::chrono::seconds(1));
        }
        // Two aging intervals of a minute, then the time that a worker takes to drain.
        CPPUNIT_ASSERT(waited < 300);
    }

    // Guards against a team that crowds out another one of the same priority.
    void teamsAreServedByTheirShares()
    {
        ClusterFile file = testFile();
        file.m_teams[1].m_guaranteed = { 2000, 8192, 0 };
        addWorkload(file, "red-work", "batch", "red", { 500, 1024, 0 });
        addWorkload(file, "blue-work", "batch", "blue", { 500, 1024, 0 });
        CellFixture cell(file, 5);
        cell.submit("r", "red-work", 100);
        cell.submit("b", "blue-work", 100);
        cell.step();
        std::map<std::string, int> starts;
        for (const StartTask& start : cell.all<StartTask>())
            ++starts[start.m_workload.value()];
        // The shares are four to one, and forty tasks fit.
        CPPUNIT_ASSERT(starts["red-work"] >= 31 && starts["red-work"] <= 33);
        CPPUNIT_ASSERT_EQUAL(40, starts["red-work"] + starts["blue-work"]);
    }

    // Guards against several tasks of a job on one rack, which may fail at once.
    void rackSpreadIsKeptAndExplained()
    {
        ClusterFile file = testFile();
        addWorkload(file, "spread", "batch", "red", { 1000, 1024, 0 }).m_maxPerRack = 1;
        CellFixture cell(file, 6);
        cell.submit("j", "spread", 4);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cell.all<StartTask>().size());
        const Explanation waiting = cell.explain("j/3");
        CPPUNIT_ASSERT_EQUAL(std::string("rack-spread"), waiting.m_reason);
        CPPUNIT_ASSERT(waiting.m_detail.find("maxPerRack") != std::string::npos && !waiting.m_release.empty());
        cell.report("j/0", TaskState::Ended);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StartTask>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureTest);

} // namespace sapphiredale::placement
