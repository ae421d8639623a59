// Tests of the placement on workers of unlike speeds. The cell is that of the second customer on a small scale: workers
// of 16 cores, a third of them takes 1.7 units of time per unit of work, the others 0.7; estimates are off by up to
// two, and tasks of a step differ by 15 %. Times are simulated.

#include "tests/jobs/CellTesting.h"

#include <cmath>

namespace sapphiredale::jobs {

class SpeedPlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SpeedPlacementTest);
    CPPUNIT_TEST(unlikeTypesAreLearnedWithinSecondsOfLoad);
    CPPUNIT_TEST(alikeWorkersStayAtExactlyOne);
    CPPUNIT_TEST(typesOfAlikeWorkersDoNotChangeDecisions);
    CPPUNIT_TEST(urgentJobsMeetTheirObjectivesUnderLoadWithRoom);
    CPPUNIT_TEST(workWithSlackTakesSlowWorkers);
    CPPUNIT_TEST(longRunningTasksTakeSlowWorkers);
    CPPUNIT_TEST(stepThatWouldBeLateGetsTheFastWorker);
    CPPUNIT_TEST(urgentTaskWaitsForAFastWorkerNoLongerThanThatPays);
    CPPUNIT_TEST(gangRunsOnAlikeWorkers);
    CPPUNIT_TEST(gangWithAdviceRunsOnFastWorkers);
    CPPUNIT_TEST(slowWorkerIsAvoidedAndUsedAgain);
    CPPUNIT_TEST(lateRunIsCopiedOnce);
    CPPUNIT_TEST(lateRunWithoutCopiesIsMoved);
    CPPUNIT_TEST(runsWithSlackStay);
    CPPUNIT_TEST(successorLearnsAgain);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t workers = 24;
    static constexpr double fast = 0.7;
    static constexpr double slow = 1.7;

    static bool isSlowWorker(std::uint32_t index) { return index % 3 == 1; }

    static SimulatedCell unlikeCell(std::uint64_t seed = 1)
    {
        SimulatedCell cell(workers, seed);
        std::uint32_t index = 0;
        for (auto& [id, worker] : cell.m_workers) {
            worker.m_description.m_labels.front() = isSlowWorker(index) ? "a100" : index % 2 == 0 ? "b100" : "b200";
            // Every domain has workers of all types.
            worker.m_description.m_failureDomain = FailureDomainId("d" + std::to_string(index / 8));
            worker.m_description.m_capacity = { 16000, 65536, 0 };
            worker.m_speedFactor = isSlowWorker(index) ? slow : fast;
            ++index;
        }
        cell.m_taskSpread = 0.15;
        cell.m_allowedShare = 0.7;
        start(cell);
        return cell;
    }

    static void start(SimulatedCell& cell)
    {
        cell.listAll();
        cell.takeOver();
        cell.run(milliseconds(50));
    }

    static JobRecord urgentJob(const std::string& id, std::uint32_t steps = 1)
    {
        JobRecord record = SimulatedCell::job(id, {});
        for (std::uint32_t i = 0; i < steps; ++i) {
            record.m_spec.m_steps.push_back(SimulatedCell::step(1, 2200, milliseconds(680)));
            if (i > 0)
                record.m_spec.m_steps.back().m_dependsOn = { i - 1 };
        }
        record.m_policy.m_queue = "urgent";
        record.m_policy.m_slackFactor = 1.5;
        record.m_policy.m_latencyTarget = milliseconds(300);
        record.m_policy.m_advice = AdvicePolicy { milliseconds(20), milliseconds(1), milliseconds(2500) };
        return record;
    }

    static JobRecord batchJob(const std::string& id, std::uint32_t tasks)
    {
        JobRecord record = SimulatedCell::job(id, { SimulatedCell::step(tasks, 3000, seconds(5)) });
        record.m_policy.m_queue = "batch";
        record.m_policy.m_priority = 2;
        record.m_policy.m_slackFactor = 2.2;
        return record;
    }

    /// A factor between a half and two that averages about one in the logarithm.
    static double errorOf(std::uint32_t number) { return std::exp2(static_cast<double>(number * 8 % 21) / 10.0 - 1.0); }

    /// What became of the urgent jobs of a load.
    struct Outcome {
        std::uint32_t m_urgent = 0;
        std::uint32_t m_late = 0;
        std::uint32_t m_startsOnFast = 0;
        std::uint32_t m_starts = 0;
        std::uint32_t m_batchStarts = 0;
        std::uint32_t m_batchStartsOnSlow = 0;
    };

    /// An urgent job each 60 ms and a batch job of three tasks each 0.6 s: about half of the capacity. Late is what
    /// misses the objective that follows from the real run times.
    static Outcome play(SimulatedCell& cell, Duration time, Duration warmUp)
    {
        Outcome outcome;
        std::map<JobId, TimePoint> objectives;
        std::set<RunName> seen;
        const TimePoint begin = cell.m_now;
        for (std::uint32_t i = 0; cell.m_now < begin + time; ++i) {
            const bool counts = cell.m_now >= begin + warmUp;
            const std::string name = std::to_string(10000 + i) + "t" + std::to_string(cell.m_term);
            const double error = errorOf(i);
            const JobRecord urgent = urgentJob("u" + name);
            cell.m_jobTimeFactors[urgent.m_job] = error;
            if (counts) {
                const Duration work = scaled(urgent.m_spec.m_steps.front().m_estimate, error) + milliseconds(50);
                objectives[urgent.m_job] = cell.m_now + scaled(work, 1.5) + milliseconds(300);
            }
            cell.accept(urgent);
            if (i % 10 == 0) {
                const JobRecord batch = batchJob("b" + name, 3);
                cell.m_jobTimeFactors[batch.m_job] = errorOf(i / 10);
                cell.accept(batch);
            }
            for (int k = 0; k < 6; ++k) {
                cell.run(milliseconds(10));
                count(cell, seen, objectives, counts, outcome);
            }
        }
        for (int k = 0; k < 500; ++k) {
            cell.run(milliseconds(10));
            count(cell, seen, objectives, false, outcome);
        }
        outcome.m_late += static_cast<std::uint32_t>(objectives.size());
        return outcome;
    }

    static void count(SimulatedCell& cell, std::set<RunName>& seen, std::map<JobId, TimePoint>& objectives, bool counts,
        Outcome& outcome)
    {
        for (const auto& [id, worker] : cell.m_workers) {
            for (const auto& [name, run] : worker.m_running) {
                if (!seen.insert(name).second || !counts)
                    continue;
                const bool isSlow = worker.m_speedFactor > 1;
                if (name.m_task.m_job.value().front() == 'u') {
                    ++outcome.m_starts;
                    outcome.m_startsOnFast += isSlow ? 0 : 1;
                } else {
                    ++outcome.m_batchStarts;
                    outcome.m_batchStartsOnSlow += isSlow ? 1 : 0;
                }
            }
        }
        for (const EndedJob& ended : cell.m_scheduler->takeEnded()) {
            const auto objective = objectives.find(ended.m_job);
            if (objective == objectives.end())
                continue;
            ++outcome.m_urgent;
            outcome.m_late += ended.m_closedAt > objective->second ? 1 : 0;
            objectives.erase(objective);
        }
    }

    static double factorOf(const SimulatedCell& cell, bool isSlow)
    {
        const auto& factors = cell.m_scheduler->speeds().typeFactors();
        return factors.at({ "pool", isSlow ? "a100" : "b100" });
    }

    static void assertLearned(const SimulatedCell& cell)
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, factorOf(cell, false) / fast, 0.25);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, factorOf(cell, true) / slow, 0.25);
    }

    static std::uint32_t runningOn(const SimulatedCell& cell, const std::string& job, bool isSlow)
    {
        std::uint32_t count = 0;
        for (const auto& [id, worker] : cell.m_workers) {
            for (const auto& [name, run] : worker.m_running)
                count += name.m_task.m_job.value() == job && (worker.m_speedFactor > 1) == isSlow ? 1 : 0;
        }
        return count;
    }

    /// A cell that has learned the speeds and is idle.
    static SimulatedCell learnedCell()
    {
        SimulatedCell cell = unlikeCell();
        play(cell, seconds(12), seconds(12));
        cell.run(seconds(12));
        assertLearned(cell);
        return cell;
    }

    /// Jobs that keep all workers of a speed busy until about the given time from now.
    static void occupy(SimulatedCell& cell, bool isSlow, Duration time)
    {
        std::uint32_t index = 0;
        for (const auto& [id, worker] : cell.m_workers) {
            if ((worker.m_speedFactor > 1) == isSlow) {
                StepSpec step = SimulatedCell::step(1, 16000, scaled(time, 1.0 / worker.m_speedFactor));
                step.m_requiredLabel = worker.m_description.m_labels.front();
                JobRecord record = SimulatedCell::job("o" + std::to_string(index) + (isSlow ? "s" : "f"), { step });
                cell.accept(record);
            }
            ++index;
        }
        cell.run(milliseconds(100));
    }

public:
    // Guards against types that are told apart only after minutes, from 3 s of the mixed load with wrong estimates.
    void unlikeTypesAreLearnedWithinSecondsOfLoad()
    {
        SimulatedCell cell = unlikeCell();
        play(cell, seconds(3), seconds(3));
        assertLearned(cell);
        assertNoViolation(cell);
    }

    // Guards against differences that are read out of wrong estimates and different tasks of a step.
    void alikeWorkersStayAtExactlyOne()
    {
        SimulatedCell cell = unlikeCell();
        for (auto& [id, worker] : cell.m_workers)
            worker.m_speedFactor = 1.1;
        play(cell, seconds(15), seconds(15));
        CPPUNIT_ASSERT(cell.m_scheduler->speeds().isUniform(0));
        for (const auto& [id, worker] : cell.m_scheduler->workers())
            CPPUNIT_ASSERT_EQUAL(1.0, cell.m_scheduler->speeds().factor(worker.m_number));
        assertNoViolation(cell);
    }

    // Guards against decisions that differ from those without speeds while all workers are alike, down to the last tie:
    // the mixed load on workers with three machine types and with one.
    void typesOfAlikeWorkersDoNotChangeDecisions()
    {
        std::vector<std::vector<std::pair<RunName, WorkerId>>> starts;
        for (const bool hasTypes : { true, false }) {
            SimulatedCell cell = unlikeCell();
            for (auto& [id, worker] : cell.m_workers) {
                worker.m_speedFactor = 1;
                if (!hasTypes)
                    worker.m_description.m_labels.clear();
            }
            start(cell);
            auto& placed = starts.emplace_back();
            std::set<RunName> seen;
            for (std::uint32_t i = 0; i < 100; ++i) {
                cell.accept(urgentJob("u" + std::to_string(1000 + i), 1 + i % 3));
                cell.m_jobTimeFactors[JobId("u" + std::to_string(1000 + i))] = errorOf(i);
                if (i % 10 == 0)
                    cell.accept(batchJob("b" + std::to_string(1000 + i), 3));
                for (int k = 0; k < 6; ++k) {
                    cell.run(milliseconds(10));
                    for (const auto& [id, worker] : cell.m_workers) {
                        for (const auto& [name, run] : worker.m_running) {
                            if (seen.insert(name).second)
                                placed.emplace_back(name, id);
                        }
                    }
                }
            }
        }
        CPPUNIT_ASSERT(starts.front().size() > 200);
        CPPUNIT_ASSERT(starts.front() == starts.back());
    }

    // Guards against short urgent jobs that are late on slow workers while fast ones have room: 284 of 975 on the quiet
    // day of the second customer. About half of the capacity is used.
    void urgentJobsMeetTheirObjectivesUnderLoadWithRoom()
    {
        SimulatedCell cell = unlikeCell();
        const Outcome outcome = play(cell, seconds(15), seconds(4));
        CPPUNIT_ASSERT(outcome.m_starts > 150);
        const std::string seen = std::to_string(outcome.m_late) + " late of " + std::to_string(outcome.m_urgent) + ", "
            + std::to_string(outcome.m_startsOnFast) + " of " + std::to_string(outcome.m_starts) + " on fast workers";
        CPPUNIT_ASSERT_MESSAGE(seen, outcome.m_startsOnFast * 100 >= outcome.m_starts * 95);
        CPPUNIT_ASSERT_MESSAGE(seen, outcome.m_late * 100 <= outcome.m_urgent * 2);
        assertNoViolation(cell);
    }

    // Guards against batch work that fills the fast workers while slow ones, on which it meets its objective, are free.
    void workWithSlackTakesSlowWorkers()
    {
        SimulatedCell cell = learnedCell();
        // As many tasks as the slow workers of one failure domain hold: a job is kept in one domain.
        cell.accept(batchJob("batch", 10));
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(10U, runningOn(cell, "batch", true));
        // What they cannot hold spreads to the fast ones.
        cell.accept(batchJob("large", 60));
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT(runningOn(cell, "large", true) >= 10U);
        CPPUNIT_ASSERT_EQUAL(60U, cell.running("large"));
        cell.run(seconds(12));
        CPPUNIT_ASSERT(cell.state("batch") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against long-running tasks, which gain nothing from speed, on fast workers.
    void longRunningTasksTakeSlowWorkers()
    {
        SimulatedCell cell = learnedCell();
        JobRecord record = batchJob("service", 6);
        record.m_spec.m_steps.front().m_isLongRunning = true;
        record.m_policy.m_advice = urgentJob("x").m_policy.m_advice;
        cell.accept(record);
        cell.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(6U, runningOn(cell, "service", true));
        assertNoViolation(cell);
    }

    // Guards against scarce fast workers that go to the step that asks first: one fast worker is free, work with slack
    // and an urgent task of the same priority arrive in this order.
    void stepThatWouldBeLateGetsTheFastWorker()
    {
        SimulatedCell cell = learnedCell();
        occupy(cell, false, seconds(3));
        cell.cancel(JobId("o0f"));
        cell.run(milliseconds(600));
        JobRecord relaxed = SimulatedCell::job("relaxed", { SimulatedCell::step(1, 16000, seconds(1)) });
        relaxed.m_policy.m_slackFactor = 4;
        cell.accept(relaxed);
        JobRecord urgent = SimulatedCell::job("urgent", { SimulatedCell::step(1, 16000, seconds(1)) });
        urgent.m_policy.m_slackFactor = 1.6;
        cell.accept(urgent);
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(1U, runningOn(cell, "relaxed", true));
        CPPUNIT_ASSERT_EQUAL(1U, runningOn(cell, "urgent", false));
        assertNoViolation(cell);
    }

    // Guards against an urgent task that starts on a slow worker a moment before a fast one becomes free, and against
    // one that waits for fast workers which stay busy.
    void urgentTaskWaitsForAFastWorkerNoLongerThanThatPays()
    {
        for (const bool isFreeSoon : { true, false }) {
            SimulatedCell cell = learnedCell();
            occupy(cell, false, isFreeSoon ? milliseconds(400) : seconds(5));
            JobRecord urgent = SimulatedCell::job("urgent", { SimulatedCell::step(1, 2200, seconds(1)) });
            urgent.m_policy.m_slackFactor = 1.7;
            cell.accept(urgent);
            cell.run(milliseconds(200));
            CPPUNIT_ASSERT_EQUAL(0U, cell.running("urgent"));
            cell.run(milliseconds(700));
            CPPUNIT_ASSERT_EQUAL(1U, runningOn(cell, "urgent", !isFreeSoon));
            assertNoViolation(cell);
        }
    }

    // Guards against a gang whose fast members wait for one on a slow worker.
    void gangRunsOnAlikeWorkers()
    {
        SimulatedCell cell = learnedCell();
        StepSpec step = SimulatedCell::step(6, 9000, seconds(2));
        step.m_isGang = true;
        JobRecord urgent = SimulatedCell::job("urgent", { step });
        urgent.m_policy.m_slackFactor = 1.6;
        cell.accept(urgent);
        cell.run(milliseconds(100));
        JobRecord relaxed = SimulatedCell::job("relaxed", { step });
        relaxed.m_policy.m_slackFactor = 4;
        cell.accept(relaxed);
        cell.run(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(6U, runningOn(cell, "urgent", false));
        CPPUNIT_ASSERT_EQUAL(6U, runningOn(cell, "relaxed", true));
        assertNoViolation(cell);
    }

    // Guards against an urgent gang whose adviser is asked about slow workers, so that it lacks tickets for fast ones.
    void gangWithAdviceRunsOnFastWorkers()
    {
        SimulatedCell cell = learnedCell();
        StepSpec step = SimulatedCell::step(4, 9000, seconds(2));
        step.m_isGang = true;
        JobRecord urgent = SimulatedCell::job("urgent", { step });
        urgent.m_policy.m_slackFactor = 1.6;
        urgent.m_policy.m_advice = urgentJob("x").m_policy.m_advice;
        cell.accept(urgent);
        cell.run(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(4U, runningOn(cell, "urgent", false));
        assertNoViolation(cell);
    }

    // Guards against a worker that is five times slower for 6 s and gets work as before, and against one that is
    // avoided after that. The mixed load goes on; alike workers otherwise.
    void slowWorkerIsAvoidedAndUsedAgain()
    {
        SimulatedCell cell = unlikeCell();
        for (auto& [id, worker] : cell.m_workers)
            worker.m_speedFactor = 1;
        play(cell, seconds(4), seconds(4));
        const WorkerId disturbed = cell.m_workers.begin()->first;
        const auto load = [&](int count, const std::string& prefix) {
            for (int i = 0; i < count; ++i) {
                cell.accept(urgentJob("u" + prefix + std::to_string(i)));
                if (i % 5 == 0)
                    cell.accept(batchJob("b" + prefix + std::to_string(i), 8));
                cell.run(milliseconds(50));
            }
        };
        const auto factor
            = [&] { return cell.m_scheduler->speeds().factor(cell.m_scheduler->worker(disturbed)->m_number); };
        load(60, "x");
        CPPUNIT_ASSERT(!cell.m_workers.at(disturbed).m_running.empty());
        cell.setSpeed(disturbed, 5);
        load(45, "y");
        CPPUNIT_ASSERT(factor() > 2.5);
        load(75, "z");
        cell.setSpeed(disturbed, 1);
        load(60, "v");
        CPPUNIT_ASSERT_EQUAL(1.0, factor());
        assertNoViolation(cell);
    }

    /// A job of four tasks of 4 s on fast workers, of which the first turns five times slower.
    static WorkerId startDisturbedJob(SimulatedCell& cell, StepSpec step, double slack)
    {
        step.m_maxPerWorker = 1;
        JobRecord record = SimulatedCell::job("job", { step });
        record.m_policy.m_slackFactor = slack;
        cell.accept(record);
        cell.run(milliseconds(1000));
        WorkerId disturbed = firstWorkerOf(cell);
        cell.setSpeed(disturbed, cell.m_workers.at(disturbed).m_speedFactor * 5);
        return disturbed;
    }

    // Guards against a job that is late because one of its tasks runs on a worker that turns slow while others have
    // room, and against copies of copies.
    void lateRunIsCopiedOnce()
    {
        SimulatedCell cell = learnedCell();
        StepSpec step = SimulatedCell::step(4, 2000, seconds(4));
        step.m_allowsCopies = true;
        startDisturbedJob(cell, step, 1.6);
        cell.run(milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cell.m_scheduler->counters().m_copiedRuns);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cell.m_scheduler->counters().m_movedRuns);
        cell.run(milliseconds(3300));
        CPPUNIT_ASSERT(cell.state("job") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cell.m_scheduler->counters().m_copiedRuns);
        cell.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(0U, cell.running("job"));
        assertNoViolation(cell);
    }

    // Guards against a task that may not be copied and stays on a worker that turns slow, and against a second run of
    // it before the end of the first is proven: the cell notes that as a violation.
    void lateRunWithoutCopiesIsMoved()
    {
        SimulatedCell cell = learnedCell();
        StepSpec step = SimulatedCell::step(4, 2000, seconds(4));
        step.m_savesCheckpoints = true;
        startDisturbedJob(cell, step, 1.6);
        cell.run(milliseconds(6500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cell.m_scheduler->counters().m_movedRuns);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cell.m_scheduler->counters().m_copiedRuns);
        CPPUNIT_ASSERT(cell.state("job") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against copies and moves that gain nothing: of runs that meet their objective all the same, and of runs
    // without checkpoints that have done a good part of their work.
    void runsWithSlackStay()
    {
        for (const bool hasSlack : { true, false }) {
            SimulatedCell cell = learnedCell();
            StepSpec step = SimulatedCell::step(4, 2000, seconds(4));
            step.m_allowsCopies = hasSlack;
            startDisturbedJob(cell, step, hasSlack ? 8 : 1.6);
            cell.run(seconds(4));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cell.m_scheduler->counters().m_copiedRuns);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cell.m_scheduler->counters().m_movedRuns);
            assertNoViolation(cell);
        }
    }

    // Guards against a successor that places urgent work by chance for longer than a few seconds.
    void successorLearnsAgain()
    {
        SimulatedCell cell = learnedCell();
        cell.takeOver();
        CPPUNIT_ASSERT(cell.m_scheduler->speeds().isUniform(0));
        cell.run(milliseconds(1000));
        const Outcome outcome = play(cell, seconds(10), seconds(4));
        assertLearned(cell);
        CPPUNIT_ASSERT(outcome.m_startsOnFast * 100 >= outcome.m_starts * 95);
        assertNoViolation(cell);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpeedPlacementTest);

} // namespace sapphiredale::jobs
