// Tests of the order of waiting steps: by usefulness, priority and objective, and its change with the time.

#include "jobs/SchedulerState.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::jobs {

using std::chrono::seconds;

class StepQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StepQueueTest);
    CPPUNIT_TEST(ordersByPriorityThenObjective);
    CPPUNIT_TEST(stepsThatAreLateMoveBack);
    CPPUNIT_TEST(longRunningStepsKeepTheirPlace);
    CPPUNIT_TEST(erasedStepsDoNotReturn);
    CPPUNIT_TEST(stepsBeyondTheShareFollowUsefulOnesWithin);
    CPPUNIT_TEST(teamWithTheLeastExcessGoesFirst);
    CPPUNIT_TEST(markChangesMoveQueuedSteps);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (std::uint32_t i = 0; i < std::size(m_jobs); ++i) {
            Job& job = m_jobs[i];
            job.m_number = i;
            job.m_acceptedAt = start;
            job.m_objective = start + seconds(10 + i);
            job.m_usefulUntil = start + seconds(30);
            job.m_record.m_spec.m_steps.resize(1);
            Step& step = m_steps[i];
            step.m_job = &job;
            step.m_spec = job.m_record.m_spec.m_steps.data();
            step.m_criticalPath = seconds(4);
        }
    }

    void ordersByPriorityThenObjective()
    {
        m_jobs[0].m_record.m_policy.m_priority = 1;
        insertAll(start);
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 1, 2, 0 }) == order());
    }

    void stepsThatAreLateMoveBack()
    {
        insertAll(start);
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 0, 1, 2 }) == order());
        // Job 0 can meet its objective if it starts at 6 s at the latest.
        m_queue.update(start + seconds(6));
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 0, 1, 2 }) == order());
        m_queue.update(start + seconds(6) + std::chrono::milliseconds(1));
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 1, 2, 0 }) == order());
        m_jobs[1].m_record.m_policy.m_priority = 0;
        m_queue.update(start + seconds(31));
        for (const auto& [rank, step] : m_queue)
            CPPUNIT_ASSERT_EQUAL(2, rank.m_lateness);
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 0, 1, 2 }) == order());
    }

    void longRunningStepsKeepTheirPlace()
    {
        m_jobs[2].m_record.m_spec.m_steps[0].m_isLongRunning = true;
        m_jobs[2].m_record.m_policy.m_priority = 3;
        insertAll(start);
        m_queue.update(start + seconds(60));
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 2, 0, 1 }) == order());
    }

    void erasedStepsDoNotReturn()
    {
        insertAll(start);
        m_queue.erase(m_steps[1]);
        m_queue.erase(m_steps[1]);
        m_queue.erase(m_queue.begin());
        m_queue.update(start + seconds(60));
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 2 }) == order());
        CPPUNIT_ASSERT(!m_steps[0].m_isQueued);
        CPPUNIT_ASSERT(!m_steps[1].m_isQueued);
    }

    // A job that is urgent but beyond the share of its team delayed late jobs of the others that were still worth
    // something; jobs without worth must not delay it in turn.
    void stepsBeyondTheShareFollowUsefulOnesWithin()
    {
        m_jobs[0].m_share = { true, 1 };
        m_jobs[0].m_usefulUntil = start + seconds(60);
        m_jobs[1].m_record.m_policy.m_priority = 7;
        insertAll(start);
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 2, 1, 0 }) == order());
        // Job 1 has become late, and its result still has worth.
        m_queue.update(start + seconds(9));
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 2, 1, 0 }) == order());
        m_queue.update(start + seconds(31));
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 0, 2, 1 }) == order());
        // Without worth the mark has no meaning.
        m_queue.update(start + seconds(61));
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 0, 2, 1 }) == order());
        CPPUNIT_ASSERT_EQUAL(2U, m_steps[0].m_queueRank.m_group);
        CPPUNIT_ASSERT_EQUAL(0U, m_steps[0].m_queueRank.m_excessLevel);
    }

    // A small team that was just beyond its share waited behind the burst of a large one, by priority and objective.
    void teamWithTheLeastExcessGoesFirst()
    {
        m_jobs[0].m_share = { true, 5 };
        m_jobs[1].m_share = { true, 1 };
        m_jobs[2].m_share = { true, 1 };
        insertAll(start);
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 1, 2, 0 }) == order());
    }

    // Marks change after steps were queued, when a job that was accepted earlier arrives later; an entry under the old
    // rank would point to a step that is gone.
    void markChangesMoveQueuedSteps()
    {
        insertAll(start);
        m_jobs[0].m_share = { true, 1 };
        m_queue.refresh(m_steps[0], start);
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 1, 2, 0 }) == order());
        m_jobs[0].m_share = {};
        m_queue.refresh(m_steps[0], start);
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 0, 1, 2 }) == order());
        m_queue.erase(m_steps[1]);
        m_queue.refresh(m_steps[1], start);
        CPPUNIT_ASSERT((std::vector<std::uint64_t> { 0, 2 }) == order());
        m_queue.update(start + seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_queue.size());
    }

private:
    static constexpr TimePoint start = TimePoint(seconds(100));

    void insertAll(TimePoint now)
    {
        for (Step& step : m_steps)
            m_queue.insert(step, now);
    }

    std::vector<std::uint64_t> order() const
    {
        std::vector<std::uint64_t> jobs;
        for (const auto& [rank, step] : m_queue)
            jobs.push_back(step->m_job->m_number);
        return jobs;
    }

    Job m_jobs[3];
    Step m_steps[3];
    StepQueue m_queue;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepQueueTest);

} // namespace sapphiredale::jobs
