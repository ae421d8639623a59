// Tests of the records in which the progress of a job is stored.

#include "jobs/ProgressRecords.h"
#include "tests/jobs/SimulatedCell.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::jobs {

class ProgressRecordsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgressRecordsTest);
    CPPUNIT_TEST(shortProgressIsOneRecordOfTheEarlierFormat);
    CPPUNIT_TEST(longProgressIsDividedAndReadBack);
    CPPUNIT_TEST(longStepIsDivided);
    CPPUNIT_TEST(changeStoresOnlyTheStepsThatItConcerns);
    CPPUNIT_TEST(anyPrefixOfADivisionIsValid);
    CPPUNIT_TEST(anyPrefixOfAChangeOfALongStepIsValid);
    CPPUNIT_TEST(stateOfAnEndedJobIsStoredBeforeItsStepsAreRemoved);
    CPPUNIT_TEST(successorKnowsTheRecordsOfSteps);
    CPPUNIT_TEST(failedRunsAreCountedOnce);
    CPPUNIT_TEST(jobOnAllWorkersFitsIntoRecords);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t maxBytes = 262144 - 64;
    using Stored = std::map<std::string, std::string>;

    /// Progress of a job whose tasks in many steps run on many workers.
    static JobProgress wideProgress(std::uint32_t steps, std::uint32_t workers)
    {
        JobProgress progress;
        progress.m_state = JobState::Running;
        for (std::uint32_t step = 0; step < steps; ++step) {
            progress.m_done.push_back({ 0, step, 0 });
            progress.m_failedRuns[{ 0, step, 1 }] = { 1, 9 };
            progress.m_crashes[{ 0, step, 2 }] = 1;
            for (std::uint32_t worker = 0; worker < workers; ++worker)
                progress.m_places[{ 0, step }].insert(WorkerId("i-00000000" + std::to_string(worker)));
        }
        return progress;
    }

    static void apply(Stored& stored, const std::vector<KeyValue>& records, std::size_t count = std::string::npos)
    {
        for (std::size_t i = 0; i < std::min(count, records.size()); ++i) {
            if (records[i].second)
                stored[records[i].first] = *records[i].second;
            else
                stored.erase(records[i].first);
        }
    }

    static JobProgress read(const Stored& stored)
    {
        JobProgress progress;
        for (const auto& [key, text] : stored)
            mergeProgress(progress, valueOf(decodeProgress(text)));
        std::sort(progress.m_done.begin(), progress.m_done.end());
        progress.m_done.erase(std::unique(progress.m_done.begin(), progress.m_done.end()), progress.m_done.end());
        return progress;
    }

    static std::vector<KeyValue> changes(ProgressRecords& records, const JobProgress& progress)
    {
        std::vector<KeyValue> result;
        records.appendChanges(JobId("j"), progress, result);
        for (const auto& [key, value] : result)
            CPPUNIT_ASSERT_MESSAGE(key, key.size() < 64 && value.value_or("").size() <= maxBytes);
        return result;
    }

public:
    // Guards against a format that daemons of the earlier version, which are replaced one by one, cannot read.
    void shortProgressIsOneRecordOfTheEarlierFormat()
    {
        ProgressRecords records(maxBytes);
        const JobProgress progress = wideProgress(5, 50);
        const std::vector<KeyValue> expected { { "j", encodeProgress(progress) } };
        CPPUNIT_ASSERT(changes(records, progress) == expected);
        CPPUNIT_ASSERT(changes(records, progress) == expected);
    }

    // Guards against one job whose progress exceeds a record of the store, so that no progress of any job is stored.
    void longProgressIsDividedAndReadBack()
    {
        ProgressRecords records(maxBytes);
        const JobProgress progress = wideProgress(250, 100);
        CPPUNIT_ASSERT(encodeProgress(progress).size() > maxBytes);
        Stored stored;
        apply(stored, changes(records, progress));
        CPPUNIT_ASSERT(read(stored) == progress);
        CPPUNIT_ASSERT_EQUAL(std::string("s 1"), stored.at("j"));
    }

    // Guards against the same by a single step.
    void longStepIsDivided()
    {
        ProgressRecords records(maxBytes);
        JobProgress progress;
        progress.m_state = JobState::Running;
        for (std::uint32_t task = 0; task < maxTasksPerStep; ++task)
            progress.m_failedRuns[{ 99999, 255, task }] = { 4000000001, 4000000002, 4000000003 };
        Stored stored;
        apply(stored, changes(records, progress));
        CPPUNIT_ASSERT(read(stored) == progress);
        progress.m_failedRuns.clear();
        progress.m_done = { { 99999, 255, 7 } };
        apply(stored, changes(records, progress));
        CPPUNIT_ASSERT(read(stored) == progress);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), stored.size());
    }

    // Guards against a large job that stores all of its progress again with each task that starts or ends.
    void changeStoresOnlyTheStepsThatItConcerns()
    {
        ProgressRecords records(maxBytes);
        JobProgress progress = wideProgress(250, 100);
        changes(records, progress);
        CPPUNIT_ASSERT(changes(records, progress).empty());
        progress.m_done.push_back({ 0, 17, 3 });
        std::sort(progress.m_done.begin(), progress.m_done.end());
        const std::vector<KeyValue> changed = changes(records, progress);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("j+0.17"), changed.front().first);
        // In another partition nothing is stored yet.
        records.clear();
        Stored stored;
        apply(stored, changes(records, progress));
        CPPUNIT_ASSERT(read(stored) == progress);
    }

    // Guards against ended tasks that a successor does not know, since the term ended between two appends.
    void anyPrefixOfADivisionIsValid()
    {
        ProgressRecords records(maxBytes);
        Stored whole;
        const JobProgress before = wideProgress(5, 50);
        apply(whole, changes(records, before));
        const std::vector<KeyValue> division = changes(records, wideProgress(250, 100));
        for (std::size_t count = 0; count <= division.size(); ++count) {
            Stored stored = whole;
            apply(stored, division, count);
            const JobProgress known = read(stored);
            CPPUNIT_ASSERT(known.m_state == JobState::Running);
            CPPUNIT_ASSERT(
                std::includes(known.m_done.begin(), known.m_done.end(), before.m_done.begin(), before.m_done.end()));
            CPPUNIT_ASSERT(known.m_failedRuns.size() >= before.m_failedRuns.size());
        }
    }

    // Guards against the same, since an entry moved from one record of its step to another.
    void anyPrefixOfAChangeOfALongStepIsValid()
    {
        ProgressRecords records(maxBytes);
        const auto doneTasks = [](std::uint32_t first, std::uint32_t interval) {
            JobProgress progress;
            progress.m_state = JobState::Running;
            for (std::uint32_t task = first; task < maxTasksPerStep; task += interval)
                progress.m_done.push_back({ 99999, 0, task });
            return progress;
        };
        for (const auto& [before, after] :
            { std::pair { doneTasks(4000, 2), doneTasks(0, 2) }, std::pair { doneTasks(0, 2), doneTasks(0, 1) } }) {
            Stored whole;
            apply(whole, changes(records, before));
            const std::vector<KeyValue> change = changes(records, after);
            for (std::size_t count = 0; count <= change.size(); ++count) {
                Stored stored = whole;
                apply(stored, change, count);
                const JobProgress known = read(stored);
                CPPUNIT_ASSERT(std::includes(
                    known.m_done.begin(), known.m_done.end(), before.m_done.begin(), before.m_done.end()));
            }
            records.clear();
        }
    }

    // Guards against a job that runs again since its steps were removed and its end was not stored.
    void stateOfAnEndedJobIsStoredBeforeItsStepsAreRemoved()
    {
        ProgressRecords records(maxBytes);
        Stored stored;
        apply(stored, changes(records, wideProgress(250, 100)));
        const std::vector<KeyValue> end = changes(records, { JobState::Done, {}, {}, {}, {} });
        CPPUNIT_ASSERT((end.front() == KeyValue { "j", "s 2" }));
        apply(stored, end);
        CPPUNIT_ASSERT((stored == Stored { { "j", "s 2" } }));
        std::vector<KeyValue> removal;
        records.appendRemoval(JobId("j"), removal);
        apply(stored, removal);
        CPPUNIT_ASSERT(stored.empty());
    }

    // Guards against records of steps that stay in the store for ever, or are stored again, after a takeover.
    void successorKnowsTheRecordsOfSteps()
    {
        ProgressRecords first(maxBytes);
        Stored stored;
        apply(stored, changes(first, wideProgress(250, 100)));
        ProgressRecords second(maxBytes);
        for (const auto& [key, text] : stored) {
            if (key != "j")
                second.noteStored(key, text);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes(second, wideProgress(250, 100)).size());
        // Short progress keeps the form, whose records the store has.
        apply(stored, changes(second, wideProgress(1, 1)));
        CPPUNIT_ASSERT(read(stored) == wideProgress(1, 1));
        apply(stored, changes(second, { JobState::Cancelled, {}, {}, {}, {} }));
        CPPUNIT_ASSERT((stored == Stored { { "j", "s 4" } }));
    }

    // Guards against attempts that are counted twice, since the undivided record has them too.
    void failedRunsAreCountedOnce()
    {
        JobProgress progress = wideProgress(2, 2);
        mergeProgress(progress, wideProgress(2, 2));
        CPPUNIT_ASSERT(progress.m_failedRuns == wideProgress(2, 2).m_failedRuns);
        CPPUNIT_ASSERT(progress.m_crashes == wideProgress(2, 2).m_crashes);
    }

    // The load of the incident: occurrences overlap, and each step has a small task on each worker.
    void jobOnAllWorkersFitsIntoRecords()
    {
        SimulatedCell cell(48);
        cell.takeOver();
        cell.listAll();
        cell.run(seconds(1));
        JobRecord job = SimulatedCell::job("j", {});
        for (int i = 0; i < 16; ++i) {
            job.m_spec.m_steps.push_back(SimulatedCell::step(48, 20, seconds(60)));
            job.m_spec.m_steps.back().m_need.m_memoryMiB = 10;
            job.m_spec.m_steps.back().m_maxPerWorker = 1;
        }
        job.m_spec.m_occurrences = 20;
        job.m_spec.m_firstDueMs = cell.wallMs();
        job.m_spec.m_intervalMs = 50;
        cell.accept(job);
        cell.run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(16U * 48U * 20U, cell.running("j"));
        const JobProgress progress = cell.m_store.at(JobId("j"));
        CPPUNIT_ASSERT(encodeProgress(progress).size() > 150000);
        ProgressRecords records(maxBytes);
        Stored stored;
        apply(stored, changes(records, progress));
        CPPUNIT_ASSERT(read(stored) == progress);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressRecordsTest);

} // namespace sapphiredale::jobs
