// Tests of the order in which the records of ended jobs are removed.

#include "jobs/RecordRemoval.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::jobs {

class RecordRemovalTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordRemovalTest);
    CPPUNIT_TEST(progressGoesAfterTheLastRecord);
    CPPUNIT_TEST(recordThatIsReadDuringTheRemovalIsRemovedToo);
    CPPUNIT_TEST(failedPartitionDelaysNoOther);
    CPPUNIT_TEST_SUITE_END();

    using Batch = RecordRemoval::Batch;

public:
    // Guards against a job that a later term runs again, because it finds a record of the job and no progress.
    void progressGoesAfterTheLastRecord()
    {
        RecordRemoval removal;
        removal.recordFound(JobId("a"), 3);
        removal.recordFound(JobId("a"), 5);
        removal.recordFound(JobId("open"), 3);
        removal.begin({ JobId("a"), JobState::Done });
        CPPUNIT_ASSERT(removal.takeFinished().empty());
        const Batch first { 3, { JobId("a") } };
        CPPUNIT_ASSERT(removal.nextBatch(0) == first);
        removal.removed(first);
        CPPUNIT_ASSERT(removal.takeFinished().empty());
        CPPUNIT_ASSERT(removal.isRemoving(JobId("a")));
        const Batch second { 5, { JobId("a") } };
        CPPUNIT_ASSERT(removal.nextBatch(3) == second);
        removal.removed(second);
        CPPUNIT_ASSERT(removal.takeFinished() == std::vector<JobId> { JobId("a") });
        CPPUNIT_ASSERT(!removal.isRemoving(JobId("a")));
        CPPUNIT_ASSERT(!removal.nextBatch(0));
    }

    // Guards against a record that stays because a repeated append of the job arrives during the removal.
    void recordThatIsReadDuringTheRemovalIsRemovedToo()
    {
        RecordRemoval removal;
        removal.recordFound(JobId("a"), 1);
        removal.begin({ JobId("a"), JobState::Done });
        removal.recordFound(JobId("a"), 2);
        removal.removed({ 1, { JobId("a") } });
        CPPUNIT_ASSERT(removal.takeFinished().empty());
        CPPUNIT_ASSERT((removal.nextBatch(1) == Batch { 2, { JobId("a") } }));
    }

    // Guards against records that are never removed because those of another partition cannot be.
    void failedPartitionDelaysNoOther()
    {
        RecordRemoval removal;
        removal.recordFound(JobId("a"), 1);
        removal.recordFound(JobId("b"), 4);
        removal.begin({ JobId("a"), JobState::Done });
        removal.begin({ JobId("b"), JobState::Done });
        CPPUNIT_ASSERT_EQUAL(1U, removal.nextBatch(0)->m_partition);
        CPPUNIT_ASSERT_EQUAL(4U, removal.nextBatch(1)->m_partition);
        CPPUNIT_ASSERT_EQUAL(1U, removal.nextBatch(4)->m_partition);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordRemovalTest);

} // namespace sapphiredale::jobs
