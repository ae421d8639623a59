// Tests of the occurrences and tasks that the scheduler holds in memory.

#include "jobs/OccurrenceSet.h"
#include "jobs/ProgressRecords.h"
#include "jobs/TaskList.h"
#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class OccurrenceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OccurrenceTest);
    CPPUNIT_TEST(dueOccurrencesWithoutWorkersTakeLittleMemory);
    CPPUNIT_TEST(wideStepsWithoutWorkersTakeLittleMemory);
    CPPUNIT_TEST(stepsWithoutWorkersDoNotKeepLateWorkFromWorkers);
    CPPUNIT_TEST(dueOccurrencesRunOnceInTheirOrder);
    CPPUNIT_TEST(finishedOccurrencesAreReleasedAndStoredAsRanges);
    CPPUNIT_TEST(stepWithoutWorkersDoesNotHoldUpIndependentSteps);
    CPPUNIT_TEST(laterStepWithoutWorkersDoesNotHoldUpEarlierSteps);
    CPPUNIT_TEST(successorsRunWhatIsNotFinished);
    CPPUNIT_TEST(successorsReadTheEarlierFormat);
    CPPUNIT_TEST(successorKnowsThatAllIsFinished);
    CPPUNIT_TEST(failedRunsCountInAllTerms);
    CPPUNIT_TEST(invalidProgressIsIgnored);
    CPPUNIT_TEST(allWaitingTasksAreCounted);
    CPPUNIT_TEST(occurrencesAreHeldAsRanges);
    CPPUNIT_TEST(tasksShareAState);
    CPPUNIT_TEST(rangesAreStored);
    CPPUNIT_TEST(anyPrefixOfAChangeToRangesIsValid);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t maxSteps = 1000;
    static constexpr std::size_t maxBytes = 262144 - 64;

    /// A job whose occurrences are all due.
    static JobRecord dueJob(const std::string& id, std::vector<StepSpec> steps, std::uint32_t occurrences)
    {
        JobRecord job = SimulatedCell::job(id, std::move(steps));
        job.m_spec.m_occurrences = occurrences;
        job.m_spec.m_intervalMs = 1;
        return job;
    }

    static StepSpec unplaceable(StepSpec step)
    {
        step.m_requiredLabel = "no-worker-has-it";
        return step;
    }

    static StepSpec smallStep() { return SimulatedCell::step(1, 1000, milliseconds(50)); }

    static std::vector<StepSpec> twoSteps()
    {
        std::vector<StepSpec> steps { smallStep(), smallStep() };
        steps[1].m_dependsOn = { 0 };
        return steps;
    }

    static std::uint64_t heldSteps(const SimulatedCell& cell) { return cell.m_scheduler->heldWork().m_steps; }

    /// Number of tasks of the step that the stored progress shows as finished.
    static std::size_t finishedIn(const SimulatedCell& cell, const std::string& job, std::uint32_t step)
    {
        const JobProgress& progress = cell.m_store.at(JobId(job));
        OccurrenceSet occurrences;
        for (const TaskIndex& task : progress.m_done) {
            if (task.m_step == step)
                occurrences.add(task.m_occurrence);
        }
        for (const FinishedRange& range : progress.m_finished) {
            if (range.m_step == step)
                occurrences.add(range.m_occurrences);
        }
        return occurrences.size();
    }

public:
    // The load of the incident: the steps of all due occurrences were held, at a kilobyte each, in each term.
    void dueOccurrencesWithoutWorkersTakeLittleMemory()
    {
        SimulatedCell cell = startedCell(4);
        for (int i = 0; i < 4; ++i)
            cell.accept(dueJob("large" + std::to_string(i), { unplaceable(smallStep()) }, 100000));
        for (int i = 0; i < 100; ++i)
            cell.accept(SimulatedCell::job("j" + std::to_string(i), { smallStep() }));
        cell.run(seconds(3));
        CPPUNIT_ASSERT(heldSteps(cell) < maxSteps);
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(cell.state("j" + std::to_string(i)) == JobState::Done);
        cell.takeOver();
        cell.run(seconds(3));
        CPPUNIT_ASSERT(heldSteps(cell) < maxSteps);
        CPPUNIT_ASSERT(cell.state("large0") == JobState::Queued);
        cell.cancel(JobId("large0"));
        cell.run(seconds(1));
        CPPUNIT_ASSERT(cell.state("large0") == JobState::Cancelled);
        assertNoViolation(cell);
    }

    // Guards against the same by the tasks of single occurrences, which take some 180 bytes each.
    void wideStepsWithoutWorkersTakeLittleMemory()
    {
        SimulatedCell cell = startedCell(4);
        const std::vector<StepSpec> steps(10, unplaceable(SimulatedCell::step(maxTasksPerStep, 10, milliseconds(50))));
        for (int i = 0; i < 15; ++i)
            cell.accept(SimulatedCell::job("wide" + std::to_string(i), steps));
        cell.accept(SimulatedCell::job("j", { smallStep() }));
        cell.run(seconds(2));
        CPPUNIT_ASSERT(cell.m_scheduler->heldWork().m_tasks < maxSteps);
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        cell.takeOver();
        cell.run(seconds(2));
        CPPUNIT_ASSERT(cell.m_scheduler->heldWork().m_tasks < maxSteps);
        assertNoViolation(cell);
    }

    // Guards against accepted jobs that never run: a placement pass ended with the steps that find no worker.
    void stepsWithoutWorkersDoNotKeepLateWorkFromWorkers()
    {
        SimulatedCell cell = startedCell(4);
        for (int i = 0; i < 20; ++i)
            cell.accept(dueJob("large" + std::to_string(i), { unplaceable(smallStep()) }, 1000));
        std::vector<StepSpec> steps(100, smallStep());
        for (std::uint32_t i = 1; i < steps.size(); ++i)
            steps[i].m_dependsOn = { i - 1 };
        // Its result has no value long before its last step.
        JobRecord late = SimulatedCell::job("late", steps);
        late.m_policy.m_slackFactor = 0.1;
        cell.accept(late);
        cell.run(seconds(15));
        CPPUNIT_ASSERT(cell.state("late") == JobState::Done);
        assertNoViolation(cell);
    }

    void dueOccurrencesRunOnceInTheirOrder()
    {
        SimulatedCell cell = startedCell(4);
        cell.accept(dueJob("j", twoSteps(), 500));
        for (int i = 0; i < 300 && cell.state("j") != JobState::Done; ++i) {
            cell.run(milliseconds(100));
            CPPUNIT_ASSERT(heldSteps(cell) < maxSteps);
            std::uint32_t lowest = 500;
            std::uint32_t highest = 0;
            for (const auto& [id, worker] : cell.m_workers) {
                for (const auto& [name, run] : worker.m_running) {
                    lowest = std::min(lowest, name.m_task.m_index.m_occurrence);
                    highest = std::max(highest, name.m_task.m_index.m_occurrence);
                }
            }
            CPPUNIT_ASSERT(lowest > highest || highest - lowest < 250);
        }
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), cell.m_starts);
        assertNoViolation(cell);
    }

    // Guards against a job that takes more memory, and longer records, with each occurrence that has ended.
    void finishedOccurrencesAreReleasedAndStoredAsRanges()
    {
        SimulatedCell cell = startedCell(8);
        cell.accept(dueJob("j", { smallStep(), unplaceable(smallStep()) }, 3000));
        cell.run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3000), finishedIn(cell, "j", 0));
        CPPUNIT_ASSERT(heldSteps(cell) < maxSteps);
        CPPUNIT_ASSERT(encodeProgress(cell.m_store.at(JobId("j"))).size() < 1000);
        assertNoViolation(cell);
    }

    // Guards against steps that never run, since their occurrences were released for the sake of a step before them.
    void stepWithoutWorkersDoesNotHoldUpIndependentSteps()
    {
        SimulatedCell cell = startedCell(1);
        cell.accept(dueJob("j", { unplaceable(smallStep()), smallStep() }, 2000));
        cell.run(seconds(1));
        // Takes the worker from the job for a while.
        cell.accept(SimulatedCell::job("other", { SimulatedCell::step(32, 1000, seconds(2)) }));
        cell.run(seconds(30));
        CPPUNIT_ASSERT(cell.state("other") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2000), finishedIn(cell, "j", 1));
        CPPUNIT_ASSERT(heldSteps(cell) < maxSteps);
        assertNoViolation(cell);
    }

    void laterStepWithoutWorkersDoesNotHoldUpEarlierSteps()
    {
        SimulatedCell cell = startedCell(4);
        std::vector<StepSpec> steps = twoSteps();
        steps[1].m_requiredLabel = "late";
        cell.accept(dueJob("j", steps, 400));
        cell.run(seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(400), finishedIn(cell, "j", 0));
        CPPUNIT_ASSERT(heldSteps(cell) < 400);
        SimulatedWorker& worker = cell.m_workers.begin()->second;
        worker.m_description.m_labels.push_back("late");
        cell.listAll();
        cell.run(seconds(10));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(800), cell.m_starts);
        assertNoViolation(cell);
    }

    // Guards against occurrences that run again, or never, after a takeover.
    void successorsRunWhatIsNotFinished()
    {
        SimulatedCell cell = startedCell(1);
        cell.accept(dueJob("j", twoSteps(), 2000));
        for (int term = 0; term < 3; ++term) {
            cell.run(seconds(1));
            CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
            cell.takeOver();
            CPPUNIT_ASSERT(heldSteps(cell) < maxSteps);
        }
        cell.run(seconds(60));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    void successorsReadTheEarlierFormat()
    {
        SimulatedCell cell = startedCell(1);
        cell.accept(dueJob("j", twoSteps(), 2000));
        cell.run(seconds(5));
        JobProgress& stored = cell.m_store.at(JobId("j"));
        CPPUNIT_ASSERT(!stored.m_finished.empty());
        for (const FinishedRange& range : std::exchange(stored.m_finished, {})) {
            for (std::uint32_t i = range.m_occurrences.m_first; i <= range.m_occurrences.m_last; ++i)
                stored.m_done.push_back({ i, range.m_step, 0 });
        }
        cell.takeOver();
        CPPUNIT_ASSERT(cell.state("j") == JobState::Running);
        CPPUNIT_ASSERT(heldSteps(cell) < maxSteps);
        cell.run(seconds(20));
        CPPUNIT_ASSERT(cell.state("j") == JobState::Done);
        assertNoViolation(cell);
    }

    // Guards against a job that stays open, since its end was not stored with its last steps.
    void successorKnowsThatAllIsFinished()
    {
        JobScheduler scheduler { SchedulerSettings() };
        const JobRecord job = dueJob("j", twoSteps(), 5);
        const JobProgress progress { JobState::Running, { { 4, 1, 0 }, { 4, 1, 0 } }, {}, {}, {},
            { { 0, { 0, 4 } }, { 1, { 0, 3 } } } };
        scheduler.addJob(job, progress, 1000000, TimePoint(seconds(1000)));
        scheduler.stored(scheduler.takeChanges().m_number);
        CPPUNIT_ASSERT(scheduler.state(JobId("j")) == JobState::Done);
    }

    // Guards against attempts that are forgotten with their occurrence.
    void failedRunsCountInAllTerms()
    {
        SimulatedCell cell = startedCell(4);
        cell.m_failingJobs.insert(JobId("j"));
        JobRecord job = dueJob("j", { SimulatedCell::step(1, 1000, seconds(1)) }, 2000);
        job.m_policy.m_maxAttempts = 1000;
        cell.accept(job);
        std::size_t failures = 0;
        for (int term = 0; term < 3; ++term) {
            cell.run(seconds(3));
            std::size_t stored = 0;
            for (const auto& [task, runs] : cell.m_store.at(JobId("j")).m_failedRuns)
                stored += runs.size();
            CPPUNIT_ASSERT(stored > failures);
            failures = stored;
            cell.takeOver();
        }
        CPPUNIT_ASSERT(heldSteps(cell) < maxSteps);
        assertNoViolation(cell);
    }

    void invalidProgressIsIgnored()
    {
        JobScheduler scheduler { SchedulerSettings() };
        const JobProgress progress { JobState::Running, { { 5, 0, 0 }, { 0, 2, 0 }, { 0, 0, 1 }, { 0, 0, 9 } },
            { { { 7, 0, 0 }, { 1 } } }, { { { 0, 9, 0 }, 1 } }, {},
            { { 0, { 0, 5 } }, { 2, { 0, 0 } }, { 1, { 4, 4 } } } };
        scheduler.addJob(dueJob("j", twoSteps(), 5), progress, 1000000, TimePoint(seconds(1000)));
        CPPUNIT_ASSERT(scheduler.state(JobId("j")) == JobState::Running);
        const auto batch = scheduler.takeChanges();
        CPPUNIT_ASSERT((batch.m_records.front().m_progress.m_done == std::vector<TaskIndex> { { 4, 1, 0 } }));
    }

    // Guards against a team whose waiting work cannot be seen, since it is not held.
    void allWaitingTasksAreCounted()
    {
        SimulatedCell cell = startedCell(4);
        cell.setTeams({ { TeamId("t"), 1, {} } });
        std::vector<StepSpec> steps = twoSteps();
        steps[1] = unplaceable(steps[1]);
        steps[1].m_count = 3;
        JobRecord job = dueJob("j", steps, 300);
        job.m_team = TeamId("t");
        cell.accept(job);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(300), cell.m_scheduler->teamUses().front().m_waitingTasks);
        cell.run(seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(900), cell.m_scheduler->teamUses().front().m_waitingTasks);
        CPPUNIT_ASSERT(heldSteps(cell) < 300);
        assertNoViolation(cell);
    }

    void occurrencesAreHeldAsRanges()
    {
        OccurrenceSet set;
        CPPUNIT_ASSERT_EQUAL(0U, set.firstMissingFrom(0));
        CPPUNIT_ASSERT(!set.firstFrom(0));
        set.add(3);
        set.add(5);
        set.add({ 7, 9 });
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), set.size());
        CPPUNIT_ASSERT(set.contains(8) && !set.contains(4) && !set.contains(10));
        CPPUNIT_ASSERT_EQUAL(4U, set.firstMissingFrom(3));
        CPPUNIT_ASSERT_EQUAL(10U, set.firstMissingFrom(7));
        CPPUNIT_ASSERT_EQUAL(11U, set.firstMissingFrom(11));
        CPPUNIT_ASSERT_EQUAL(7U, *set.firstFrom(6));
        CPPUNIT_ASSERT_EQUAL(8U, *set.firstFrom(8));
        CPPUNIT_ASSERT(!set.firstFrom(10));
        set.add(4);
        set.add({ 6, 20 });
        std::vector<OccurrenceRange> ranges;
        set.visitRanges([&ranges](const OccurrenceRange& range) { ranges.push_back(range); });
        CPPUNIT_ASSERT((ranges == std::vector<OccurrenceRange> { { 3, 20 } }));
        OccurrenceSet others;
        others.add({ 5, 30 });
        set.remove(10);
        set.keep(others);
        CPPUNIT_ASSERT_EQUAL(std::size_t(15), set.size());
        others.remove(6);
        set.remove(others);
        CPPUNIT_ASSERT(set.size() == 1 && set.contains(6));
    }

    void tasksShareAState()
    {
        TaskList<int> tasks(200, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(200), tasks.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tasks.stateCount());
        tasks.own(199) = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), tasks.stateCount());
        CPPUNIT_ASSERT_EQUAL(1, std::as_const(tasks)[199]);
        CPPUNIT_ASSERT_EQUAL(7, std::as_const(tasks)[198]);
        std::size_t sevens = 0;
        tasks.visit([&sevens](int state, std::size_t count) { sevens += state == 7 ? count : 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(199), sevens);
        CPPUNIT_ASSERT(tasks.anyOf([](int state) { return state == 1; }));
        CPPUNIT_ASSERT(!tasks.anyOf([](int state) { return state == 2; }));
    }

    void rangesAreStored()
    {
        const JobProgress progress { JobState::Running, { { 9, 0, 0 } }, {}, {}, {},
            { { 0, { 0, 8 } }, { 1, { 3, 70000 } } } };
        CPPUNIT_ASSERT_EQUAL(std::string("s 1 o 0 0 8 o 1 3 70000 d 9 0 0 0"), encodeProgress(progress));
        CPPUNIT_ASSERT(valueOf(decodeProgress(encodeProgress(progress))) == progress);
        for (const char* text : { "o 0 5 4", "o 0 0 100000", "o 0 1", "o 0 -1 4" })
            CPPUNIT_ASSERT_MESSAGE(text, !succeeded(decodeProgress(text)));
    }

    // Guards against finished occurrences that a successor does not know, since the term ended between two appends.
    void anyPrefixOfAChangeToRangesIsValid()
    {
        const auto progressOf = [](std::uint32_t finished, bool isByTask) {
            JobProgress progress;
            progress.m_state = JobState::Running;
            for (std::uint32_t occurrence = 0; occurrence < finished; occurrence += 2) {
                if (isByTask)
                    progress.m_done.push_back({ occurrence, 0, 0 });
                else
                    progress.m_finished.push_back({ 0, { occurrence, occurrence } });
                if (occurrence < 600)
                    progress.m_places[{ occurrence, 0 }]
                        = { WorkerId(std::string(100, 'a')), WorkerId(std::string(100, 'b')) };
            }
            return progress;
        };
        const auto finishedIn = [](const std::map<std::string, std::string>& stored) {
            JobProgress progress;
            for (const auto& [key, text] : stored)
                mergeProgress(progress, valueOf(decodeProgress(text)));
            OccurrenceSet finished;
            for (const TaskIndex& task : progress.m_done)
                finished.add(task.m_occurrence);
            for (const FinishedRange& range : progress.m_finished)
                finished.add(range.m_occurrences);
            return finished.size();
        };
        ProgressRecords records(maxBytes);
        std::map<std::string, std::string> stored;
        std::size_t known = 0;
        for (const JobProgress& progress :
            { progressOf(500, true), progressOf(600, false), progressOf(20000, false) }) {
            std::vector<KeyValue> changes;
            records.appendChanges(JobId("j"), progress, changes);
            for (const auto& [key, value] : changes) {
                CPPUNIT_ASSERT(value.value_or("").size() <= maxBytes);
                if (value)
                    stored[key] = *value;
                else
                    stored.erase(key);
                CPPUNIT_ASSERT(finishedIn(stored) >= known);
            }
            known = finishedIn(stored);
            CPPUNIT_ASSERT_EQUAL(progress.m_done.size() + progress.m_finished.size(), known);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OccurrenceTest);

} // namespace sapphiredale::jobs
