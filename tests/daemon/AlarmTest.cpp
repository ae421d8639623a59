// Tests of the alarms of the event loop.

#include "daemon/Runtime.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>

namespace sapphiredale::daemon {

class AlarmTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AlarmTest);
    CPPUNIT_TEST(anInstantWithoutEndDoesNotFire);
    CPPUNIT_TEST(aReplacedInstantFiresOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an overflow of TimePoint::max() that made idle daemons run in a loop: it used a whole core.
    void anInstantWithoutEndDoesNotFire()
    {
        Runtime runtime;
        std::atomic<int> fired { 0 };
        Alarm endless(runtime, [&] { ++fired; });
        std::promise<void> done;
        Alarm marker(runtime, [&] { done.set_value(); });
        runtime.start(2);
        endless.set(TimePoint::max());
        marker.set(now() + std::chrono::milliseconds(50));
        done.get_future().wait();
        CPPUNIT_ASSERT_EQUAL(0, fired.load());
    }

    // Guards against a call for an instant that was replaced while its handler waited.
    void aReplacedInstantFiresOnce()
    {
        Runtime runtime;
        std::promise<void> done;
        std::atomic<int> fired { 0 };
        Alarm alarm(runtime, [&] {
            if (++fired == 1)
                done.set_value();
        });
        alarm.set(now() + std::chrono::hours(1));
        alarm.set(now() + std::chrono::milliseconds(1));
        runtime.start(2);
        done.get_future().wait();
        std::promise<void> later;
        Alarm marker(runtime, [&] { later.set_value(); });
        marker.set(now() + std::chrono::milliseconds(30));
        later.get_future().wait();
        CPPUNIT_ASSERT_EQUAL(1, fired.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AlarmTest);

} // namespace sapphiredale::daemon
