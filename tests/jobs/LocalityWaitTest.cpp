// Tests of the decision how long tasks wait for places near their data or near each other.

#include "jobs/LocalityWait.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LocalityWaitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LocalityWaitTest);
    CPPUNIT_TEST(waitsForAPlaceThatIsFreeInAMoment);
    CPPUNIT_TEST(doesNotWaitForAPlaceThatNeverBecomesFree);
    CPPUNIT_TEST(waitEndsWhileExpectationsAreNotMet);
    CPPUNIT_TEST(tasksBeyondThePlacesOfAContendedRackStartElsewhere);
    CPPUNIT_TEST(stepsAheadTakeTheFirstPlaces);
    CPPUNIT_TEST(jobWithoutSlackDoesNotWait);
    CPPUNIT_TEST(gangWaitsAsAWhole);
    CPPUNIT_TEST(drainedRackEndsTheWait);
    CPPUNIT_TEST(nothingWaitsWhereNothingIsGained);
    CPPUNIT_TEST(successorDoesNotExtendAWaitBeyondTheSlack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a short task that runs far from its data because its rack was full for another moment.
    void waitsForAPlaceThatIsFreeInAMoment()
    {
        const LocalityDecision decision = decideLocalityWait(question({ milliseconds(100) }));
        CPPUNIT_ASSERT_EQUAL(1U, decision.m_held);
        CPPUNIT_ASSERT(decision.m_until == now() + milliseconds(500));
    }

    // Guards against waits for a rack that is full of work which lasts.
    void doesNotWaitForAPlaceThatNeverBecomesFree()
    {
        CPPUNIT_ASSERT_EQUAL(0U, decideLocalityWait(question({})).m_held);
        CPPUNIT_ASSERT_EQUAL(0U, decideLocalityWait(question({ seconds(3) })).m_held);
    }

    // Guards against a wait that is renewed for ever as places are always expected to become free in a moment.
    void waitEndsWhileExpectationsAreNotMet()
    {
        LocalityQuestion asked = question({ milliseconds(50) });
        std::uint32_t decisions = 0;
        for (; decideLocalityWait(asked).m_held > 0; ++decisions) {
            CPPUNIT_ASSERT(decisions < 100);
            asked.m_now += milliseconds(50);
            asked.m_nearPlaces = { asked.m_now + milliseconds(50) };
        }
        CPPUNIT_ASSERT(asked.m_now <= now() + milliseconds(500));
    }

    // Load: 40 tasks of one step want a rack on which three places become free. Guards against idle workers elsewhere
    // while a rack is overloaded.
    void tasksBeyondThePlacesOfAContendedRackStartElsewhere()
    {
        LocalityQuestion asked = question({ milliseconds(10), milliseconds(20), milliseconds(400), seconds(2) });
        asked.m_tasks = 40;
        CPPUNIT_ASSERT_EQUAL(3U, decideLocalityWait(asked).m_held);
    }

    // Load: many jobs want one rack. Guards against all of them waiting for the same places.
    void stepsAheadTakeTheFirstPlaces()
    {
        LocalityQuestion asked = question({ milliseconds(10), milliseconds(20), milliseconds(400) });
        asked.m_tasks = 2;
        asked.m_tasksAhead = 2;
        CPPUNIT_ASSERT_EQUAL(1U, decideLocalityWait(asked).m_held);
        asked.m_tasksAhead = 30;
        CPPUNIT_ASSERT_EQUAL(0U, decideLocalityWait(asked).m_held);
    }

    // Guards against a job that misses its objective because it waited for a near place.
    void jobWithoutSlackDoesNotWait()
    {
        LocalityQuestion asked = question({ milliseconds(100) });
        asked.m_latestNearStart = now() + milliseconds(50);
        CPPUNIT_ASSERT_EQUAL(0U, decideLocalityWait(asked).m_held);
        asked.m_latestNearStart = now() - seconds(1);
        CPPUNIT_ASSERT_EQUAL(0U, decideLocalityWait(asked).m_held);
    }

    // Guards against a gang of which a part waits for a rack while the rest could never join it.
    void gangWaitsAsAWhole()
    {
        LocalityQuestion asked = question({ milliseconds(100), milliseconds(200), milliseconds(300) });
        asked.m_needsAll = true;
        asked.m_tasks = 3;
        CPPUNIT_ASSERT_EQUAL(3U, decideLocalityWait(asked).m_held);
        asked.m_tasks = 4;
        CPPUNIT_ASSERT_EQUAL(0U, decideLocalityWait(asked).m_held);
    }

    // Guards against a wait for a rack whose workers have begun to drain since it began: they offer no place any more.
    void drainedRackEndsTheWait()
    {
        LocalityQuestion asked = question({ milliseconds(100), milliseconds(200) });
        CPPUNIT_ASSERT_EQUAL(1U, decideLocalityWait(asked).m_held);
        asked.m_now += milliseconds(50);
        asked.m_nearPlaces.clear();
        CPPUNIT_ASSERT_EQUAL(0U, decideLocalityWait(asked).m_held);
    }

    // Guards against waits on deployments whose tasks run everywhere alike.
    void nothingWaitsWhereNothingIsGained()
    {
        LocalityQuestion asked = question({ milliseconds(1) });
        for (const double factor : { 1.0, 0.5, 0.0 }) {
            asked.m_remoteFactor = factor;
            CPPUNIT_ASSERT_EQUAL(0U, decideLocalityWait(asked).m_held);
        }
    }

    // Guards against a wait that each takeover begins anew: the objective follows from the acceptance of the job.
    void successorDoesNotExtendAWaitBeyondTheSlack()
    {
        LocalityQuestion asked = question({ milliseconds(100) });
        asked.m_latestNearStart = now() + milliseconds(900);
        for (int takeover = 0; takeover < 10; ++takeover) {
            asked.m_now += milliseconds(300);
            asked.m_readySince = asked.m_now;
            asked.m_nearPlaces = { asked.m_now + milliseconds(100) };
            const LocalityDecision decision = decideLocalityWait(asked);
            CPPUNIT_ASSERT(decision.m_held == 0 || decision.m_until <= asked.m_latestNearStart);
        }
        CPPUNIT_ASSERT_EQUAL(0U, decideLocalityWait(asked).m_held);
    }

private:
    static TimePoint now() { return TimePoint(seconds(100)); }

    /// A task of 1 s that takes twice as long elsewhere and has slack, and places that become free after these times.
    static LocalityQuestion question(const std::vector<Duration>& places)
    {
        LocalityQuestion asked { now(), now(), seconds(1), 2.0, now() + seconds(10), 1, 0, false, {} };
        for (const Duration place : places)
            asked.m_nearPlaces.push_back(now() + place);
        return asked;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LocalityWaitTest);

} // namespace sapphiredale::jobs
