// Tests of groups: all-or-nothing start, freedom from deadlock, and use of the capacity while a group waits.

#include "tests/placement/CellFixture.h"

#include <set>

namespace sapphiredale::placement {

class GroupTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GroupTest);
    CPPUNIT_TEST(groupStartsAtOnceOrNotAtAll);
    CPPUNIT_TEST(twoGroupsDoNotBlockEachOther);
    CPPUNIT_TEST(backfillDoesNotDelayTheGroup);
    CPPUNIT_TEST(lossOfAMemberRestartsTheGroup);
    CPPUNIT_TEST(cancelledHolderReleasesItsClaims);
    CPPUNIT_TEST_SUITE_END();

    static ClusterFile groupFile()
    {
        ClusterFile file = testFile();
        // Nothing is borrowed here, so that no share is reclaimed.
        file.m_teams[0].m_guaranteed = file.m_teams[1].m_guaranteed = { 16000, 65536, 0 };
        addWorkload(file, "gang", "group", "red", { 4000, 8000, 0 });
        addWorkload(file, "gang-blue", "group", "blue", { 4000, 8000, 0 });
        addWorkload(file, "long", "batch", "blue", { 4000, 8000, 0 }).m_maxRunSeconds = 1000;
        addWorkload(file, "short", "batch", "blue", { 4000, 8000, 0 }).m_maxRunSeconds = 10;
        return file;
    }

public:
    // Guards against a group that holds a part of its tasks while it waits for the rest.
    void groupStartsAtOnceOrNotAtAll()
    {
        CellFixture cell(groupFile(), 4);
        cell.submit("l", "long", 2);
        cell.step();
        cell.submit("g", "gang", 3);
        for (int i = 0; i < 20; ++i) {
            cell.step();
            CPPUNIT_ASSERT(cell.all<StartTask>().empty());
        }
        CPPUNIT_ASSERT(cell.explain("g/2").m_state == Explanation::State::Waiting);
        cell.report("l/0", TaskState::Ended);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cell.all<StartTask>().size());
        cell.assertCapacity();
    }

    // Guards against a deadlock of two groups that each hold half of the capacity that they need.
    void twoGroupsDoNotBlockEachOther()
    {
        CellFixture cell(groupFile(), 4);
        cell.submit("l", "long", 4);
        cell.step();
        for (const StartTask& start : cell.all<StartTask>())
            cell.report(start.m_task.value(), TaskState::Running);
        cell.submit("g1", "gang", 3);
        cell.submit("g2", "gang-blue", 3);
        std::set<std::string> finished;
        for (int i = 0; i < 400 && finished.size() < 3; ++i) {
            cell.step(std::chrono::seconds(1));
            for (const StartTask& start : cell.all<StartTask>())
                cell.report(start.m_task.value(), TaskState::Running);
            for (const FinishJob& finish : cell.all<FinishJob>())
                finished.insert(finish.m_job.value());
            if (i % 20 != 19)
                continue;
            // Tasks end one at a time, so that a group never finds all of its capacity free by chance.
            const std::map<std::string, StartTask> started = cell.m_started;
            for (const auto& [task, start] : started) {
                if (cell.explain(task.c_str()).m_state != Explanation::State::Running)
                    continue;
                cell.report(task, TaskState::Ended);
                break;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), finished.size());
    }

    // Guards against workers that stay idle under the claims of a group, and against backfill that delays the group:
    // long tasks are not admitted as backfill, and short tasks that exceed their run time are preempted.
    void backfillDoesNotDelayTheGroup()
    {
        CellFixture cell(groupFile(), 3);
        cell.submit("l", "long", 1);
        cell.step();
        cell.report("l/0", TaskState::Running);
        cell.submit("g", "gang", 3);
        cell.step();
        cell.submit("more", "long", 2);
        cell.submit("s", "short", 2);
        cell.step();
        cell.step();
        CPPUNIT_ASSERT(cell.m_started.contains("s/0") && cell.m_started.contains("s/1"));
        CPPUNIT_ASSERT(!cell.m_started.contains("more/0"));
        CPPUNIT_ASSERT_EQUAL(std::string("backfill"), cell.explain("s/0").m_reason);
        cell.report("s/0", TaskState::Running);
        cell.report("s/1", TaskState::Running);
        cell.report("l/0", TaskState::Ended);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cell.all<CheckpointTask>().size());
        cell.report("s/0", TaskState::Stopped);
        cell.report("s/1", TaskState::Stopped);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cell.all<StartTask>().size());
        CPPUNIT_ASSERT(cell.explain("g/0").m_state == Explanation::State::Starting);
    }

    // Guards against a group that goes on with a part of its tasks.
    void lossOfAMemberRestartsTheGroup()
    {
        CellFixture cell(groupFile(), 4);
        cell.submit("g", "gang", 3);
        cell.step();
        for (const char* task : { "g/0", "g/1", "g/2" })
            cell.report(task, TaskState::Running);
        cell.report("g/1", TaskState::Failed);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cell.all<CheckpointTask>().size());
        cell.step(std::chrono::seconds(5));
        CPPUNIT_ASSERT(cell.all<StartTask>().empty());
        cell.report("g/0", TaskState::Stopped);
        cell.report("g/2", TaskState::Stopped);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cell.all<StartTask>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), cell.m_started.at("g/0").m_attempt);
    }

    // Guards against claims that outlive their job and keep workers empty.
    void cancelledHolderReleasesItsClaims()
    {
        CellFixture cell(groupFile(), 2);
        cell.submit("l", "long", 1);
        cell.step();
        cell.submit("g", "gang", 2);
        cell.step();
        cell.submit("more", "long", 1);
        cell.step();
        CPPUNIT_ASSERT(cell.all<StartTask>().empty());
        cell.m_cell.cancelJob(JobId("g"), cell.m_now);
        cell.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.all<StartTask>().size());
        CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), cell.explain("g/0").m_reason);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupTest);

} // namespace sapphiredale::placement
