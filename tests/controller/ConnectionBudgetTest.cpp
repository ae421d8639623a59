// Tests of the choice of the connections that give way.

#include "controller/ConnectionBudget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace sapphiredale::controller {

using std::chrono::milliseconds;

namespace {

    class FakeHolder final : public ConnectionBudget::Holder {
    public:
        bool canGiveWay() const override { return !m_isHandedOn; }
        bool isReading() const override { return m_isReading; }
        void giveWay() override { m_isClosed = true; }

        bool m_isHandedOn = false;
        bool m_isReading = true;
        bool m_isClosed = false;
    };

} // namespace

class ConnectionBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionBudgetTest);
    CPPUNIT_TEST(stalledOnesGiveWayFirst);
    CPPUNIT_TEST(newestGivesWayAmongActiveOnes);
    CPPUNIT_TEST(handedOnRequestsStay);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint start { milliseconds(1000000) };

public:
    // Guards against clients that hold incomplete requests and shut out every later one.
    void stalledOnesGiveWayFirst()
    {
        ConnectionBudget budget(1000);
        FakeHolder stalled;
        FakeHolder active;
        FakeHolder newest;
        budget.enter(stalled, start);
        budget.enter(active, start + milliseconds(900));
        budget.enter(newest, start + milliseconds(1000));
        CPPUNIT_ASSERT(budget.hold(stalled, 600, start));
        CPPUNIT_ASSERT(budget.hold(active, 300, start + milliseconds(1000)));
        CPPUNIT_ASSERT(budget.hold(newest, 300, start + milliseconds(1000)));
        CPPUNIT_ASSERT(stalled.m_isClosed && !active.m_isClosed && !newest.m_isClosed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(600), budget.usedBytes());
    }

    void newestGivesWayAmongActiveOnes()
    {
        ConnectionBudget budget(1000);
        FakeHolder first;
        FakeHolder second;
        budget.enter(first, start);
        budget.enter(second, start);
        CPPUNIT_ASSERT(budget.hold(first, 600, start));
        CPPUNIT_ASSERT(!budget.hold(second, 600, start));
        CPPUNIT_ASSERT(!first.m_isClosed && second.m_isClosed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(600), budget.usedBytes());
    }

    // Guards against the loss of an accepted request, and against a request that is handed on without room.
    void handedOnRequestsStay()
    {
        ConnectionBudget budget(1000);
        FakeHolder handedOn;
        FakeHolder other;
        handedOn.m_isHandedOn = true;
        other.m_isHandedOn = true;
        budget.enter(handedOn, start);
        budget.enter(other, start);
        CPPUNIT_ASSERT(budget.hold(handedOn, 900, start));
        CPPUNIT_ASSERT(!budget.hold(other, 900, start + milliseconds(5000)));
        CPPUNIT_ASSERT(!handedOn.m_isClosed && !other.m_isClosed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionBudgetTest);

} // namespace sapphiredale::controller
