// Tests of the failures that are counted against a worker, and of its quarantines.

#include "jobs/WorkerHealth.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WorkerHealthTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerHealthTest);
    CPPUNIT_TEST(oneJobNeverLeadsToAQuarantine);
    CPPUNIT_TEST(successBetweenFailuresSparesTheWorker);
    CPPUNIT_TEST(quarantinesGrowAndAreForgotten);
    CPPUNIT_TEST(withdrawnFailuresEndTheQuarantine);
    CPPUNIT_TEST(withdrawnQuarantineDoesNotLengthenTheNext);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint start = TimePoint(seconds(100));
    static TaskIndex task(std::uint32_t index) { return { 0, 0, index }; }

public:
    // Guards against a job with many failing tasks that counts like many jobs.
    void oneJobNeverLeadsToAQuarantine()
    {
        WorkerHealth health;
        for (std::uint32_t i = 0; i < 20; ++i)
            health.runFailed(1, task(i), start);
        CPPUNIT_ASSERT(!health.needsQuarantine(start));
        health.runFailed(2, task(0), start);
        CPPUNIT_ASSERT(health.needsQuarantine(start));
    }

    // Guards against a quarantine for failures that are far apart.
    void successBetweenFailuresSparesTheWorker()
    {
        WorkerHealth health;
        health.runFailed(1, task(0), start);
        health.runSucceeded();
        health.runFailed(2, task(0), start);
        CPPUNIT_ASSERT(!health.needsQuarantine(start));
    }

    // Guards against failures during a quarantine that lengthen it, and against long quarantines for ever after.
    void quarantinesGrowAndAreForgotten()
    {
        WorkerHealth health;
        health.runFailed(1, task(0), start);
        health.runFailed(2, task(0), start);
        health.beginQuarantine(start);
        health.runFailed(3, task(0), start + seconds(1));
        CPPUNIT_ASSERT(!health.needsQuarantine(start + seconds(1)));
        CPPUNIT_ASSERT(health.quarantineEnd() == start + seconds(4));
        TimePoint now = start + seconds(5);
        // One job is enough after a quarantine.
        health.runFailed(4, task(0), now);
        CPPUNIT_ASSERT(health.needsQuarantine(now));
        health.beginQuarantine(now);
        CPPUNIT_ASSERT(health.quarantineEnd() == now + seconds(8));
        now += seconds(8) + seconds(40);
        health.runFailed(5, task(0), now);
        health.beginQuarantine(now);
        CPPUNIT_ASSERT(health.quarantineEnd() == now + seconds(4));
    }

    // Guards against a sound worker that stays in quarantine after its jobs have failed elsewhere too.
    void withdrawnFailuresEndTheQuarantine()
    {
        WorkerHealth health;
        health.runFailed(1, task(0), start);
        health.runFailed(1, task(1), start);
        health.runFailed(2, task(0), start);
        health.beginQuarantine(start);
        CPPUNIT_ASSERT(!health.withdraw(3, task(0), start));
        CPPUNIT_ASSERT(!health.withdraw(1, task(0), start));
        CPPUNIT_ASSERT(health.withdraw(1, task(1), start + milliseconds(300)));
        CPPUNIT_ASSERT(!health.isQuarantined(start + milliseconds(300)));
        CPPUNIT_ASSERT(!health.needsQuarantine(start + milliseconds(300)));
        // The other job still counts.
        health.runFailed(4, task(0), start + seconds(1));
        CPPUNIT_ASSERT(health.needsQuarantine(start + seconds(1)));
    }

    // Guards against quarantines that grow although each of them was withdrawn.
    void withdrawnQuarantineDoesNotLengthenTheNext()
    {
        WorkerHealth health;
        for (std::uint64_t round = 0; round < 3; ++round) {
            const TimePoint now = start + seconds(round);
            health.runFailed(2 * round, task(0), now);
            health.runFailed(2 * round + 1, task(0), now);
            health.beginQuarantine(now);
            CPPUNIT_ASSERT(health.quarantineEnd() == now + seconds(4));
            CPPUNIT_ASSERT(health.withdraw(2 * round, task(0), now));
            CPPUNIT_ASSERT(!health.withdraw(2 * round + 1, task(0), now));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerHealthTest);

} // namespace sapphiredale::jobs
