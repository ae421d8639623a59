// Tests of the value types that every package shares.

#include "model/ClusterFile.h"
#include "model/Rendezvous.h"
#include "model/Result.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>
#include <vector>

namespace sapphiredale {

class ModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ModelTest);
    CPPUNIT_TEST(errorNamesAreUnique);
    CPPUNIT_TEST(refusalsThatMayHaveRunAreNotRetriedByStatus);
    CPPUNIT_TEST(rendezvousMovesOnlyTheKeysOfARemovedCandidate);
    CPPUNIT_TEST(resourcesFitOnlyWhenEveryKindFits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two error kinds that share a counter label or a problem type.
    void errorNamesAreUnique()
    {
        std::set<std::string_view> names;
        for (std::size_t i = 0; i < errorKindCount; ++i)
            CPPUNIT_ASSERT(names.insert(answerFor(static_cast<ErrorKind>(i)).m_name).second);
    }

    // Guards against a Retry-After on an answer that leaves open whether the work ran: a client that obeys it could run
    // the work twice. OutcomeUnknown is the exception: there the client asks for the outcome of its identifier.
    void refusalsThatMayHaveRunAreNotRetriedByStatus()
    {
        for (std::size_t i = 0; i < errorKindCount; ++i) {
            const ErrorAnswer& answer = answerFor(static_cast<ErrorKind>(i));
            if (answer.m_runState == RunState::MayHaveRun && answer.m_kind != ErrorKind::OutcomeUnknown)
                CPPUNIT_ASSERT_EQUAL(0U, answer.m_retryAfterSeconds);
        }
    }

    // Guards against a reshuffle of all homes or owners when one candidate disappears.
    void rendezvousMovesOnlyTheKeysOfARemovedCandidate()
    {
        const std::vector<DaemonId> all { DaemonId("a"), DaemonId("b"), DaemonId("c"), DaemonId("d") };
        const std::vector<DaemonId> withoutC { all[0], all[1], all[3] };
        std::map<DaemonId, int> load;
        for (int i = 0; i < 4000; ++i) {
            const std::string key = "task/" + std::to_string(i);
            const DaemonId before = *rendezvousChoice<DaemonId>(key, all);
            const DaemonId after = *rendezvousChoice<DaemonId>(key, withoutC);
            ++load[before];
            if (before != all[2])
                CPPUNIT_ASSERT(before == after);
        }
        for (const DaemonId& daemon : all)
            CPPUNIT_ASSERT(load[daemon] > 850 && load[daemon] < 1150);
    }

    // Guards against a comparison that accepts a task because one resource kind fits.
    void resourcesFitOnlyWhenEveryKindFits()
    {
        const Resources capacity { 4000, 1024, 1 };
        CPPUNIT_ASSERT((Resources { 4000, 1024, 1 }).fitsIn(capacity));
        CPPUNIT_ASSERT(!(Resources { 4001, 0, 0 }).fitsIn(capacity));
        CPPUNIT_ASSERT(!(Resources { 0, 1025, 0 }).fitsIn(capacity));
        CPPUNIT_ASSERT(!(Resources { 0, 0, 2 }).fitsIn(capacity));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelTest);

} // namespace sapphiredale
