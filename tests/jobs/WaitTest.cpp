// Tests of waits that the ordinary course of a cell might never end; docs/platform.md lists the waits and what ends
// them.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class WaitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WaitTest);
    CPPUNIT_TEST(workThatIsNeverStartedIsAViolation);
    CPPUNIT_TEST(workThatCannotRunIsNoViolation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a simulation that does not notice work which the scheduler has forgotten.
    void workThatIsNeverStartedIsAViolation()
    {
        SimulatedCell cell = startedCell(4);
        JobRecord job = SimulatedCell::job("j", { SimulatedCell::step(1, 1000, milliseconds(100)) });
        job.m_spec.m_steps.front().m_requiredLabel = "no-worker-has-it";
        cell.accept(job);
        // The scheduler has another idea of the job than its caller.
        cell.m_accepted.at(JobId("j")).m_spec.m_steps.front().m_requiredLabel.clear();
        cell.run(SimulatedCell::maxIdleWait - seconds(1));
        assertNoViolation(cell);
        cell.run(seconds(3));
        CPPUNIT_ASSERT(cell.m_violations.contains("could run and is not started: j, step 0.0"));
    }

    void workThatCannotRunIsNoViolation()
    {
        SimulatedCell cell = startedCell(4);
        JobRecord unplaceable = SimulatedCell::job("label", { SimulatedCell::step(1, 1000, milliseconds(100)) });
        unplaceable.m_spec.m_steps.front().m_requiredLabel = "no-worker-has-it";
        cell.accept(unplaceable);
        JobRecord refused = SimulatedCell::job("refused", { SimulatedCell::step(1, 1000, milliseconds(100)) });
        refused.m_policy.m_advice = AdvicePolicy { milliseconds(30), milliseconds(2), seconds(2) };
        cell.m_onlyAllowed[refused.m_job] = {};
        cell.accept(refused);
        cell.accept(SimulatedCell::job("large", { SimulatedCell::step(1, 33000, milliseconds(100)) }));
        JobRecord later = SimulatedCell::job("later", { SimulatedCell::step(1, 1000, milliseconds(100)) });
        later.m_spec.m_occurrences = 2;
        later.m_spec.m_firstDueMs = cell.wallMs() + 3600'000;
        later.m_spec.m_intervalMs = 1000;
        cell.accept(later);
        cell.run(SimulatedCell::maxIdleWait + seconds(3));
        assertNoViolation(cell);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitTest);

} // namespace sapphiredale::jobs
