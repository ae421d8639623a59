// Tests of the pending calls: late, repeated, crossed and misdirected replies.

#include "peer/CorrelationTable.h"
#include "peer/Messages.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace sapphiredale::peer {

namespace {

    using Table = CorrelationTable<std::string, Envelope>;

    TimePoint at(int seconds) { return TimePoint(std::chrono::seconds(seconds)); }

    Envelope replyOf(const char* sender, std::uint64_t correlation, Payload payload = SubmitJobReply {},
        std::uint64_t incarnation = 7)
    {
        return { DaemonId(sender), 1, 1, correlation, incarnation, std::move(payload) };
    }

    std::uint64_t openCall(Table& table, const char* context, TimePoint deadline)
    {
        const auto number = table.open(DaemonId("b"), MessageKind::SubmitJobReply, context, deadline);
        CPPUNIT_ASSERT(number.has_value());
        return number.value_or(0);
    }

    CorrelationSettings settings(std::size_t maxPending = 100, std::size_t remembered = 100)
    {
        return { 7, maxPending, remembered };
    }

} // namespace

class CorrelationTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CorrelationTableTest);
    CPPUNIT_TEST(crossedRepliesReachTheirOwnCalls);
    CPPUNIT_TEST(repeatedAndLateRepliesAreRefused);
    CPPUNIT_TEST(replyOfAnotherDaemonOrKindIsRefused);
    CPPUNIT_TEST(replyToARestartedCallerIsRefused);
    CPPUNIT_TEST(callsToALostDaemonEndAtOnce);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static bool refusedAs(ReplyRefusal reason, const std::variant<std::string, ReplyRefusal>& result)
    {
        return result == std::variant<std::string, ReplyRefusal>(reason);
    }

public:
    // Guards against a caller that gets the response to another caller's request (invariant 3).
    void crossedRepliesReachTheirOwnCalls()
    {
        Table table(settings());
        const auto first = openCall(table, "first", at(10));
        const auto second = openCall(table, "second", at(5));
        CPPUNIT_ASSERT(table.nextWake() == at(5));
        CPPUNIT_ASSERT(std::get<std::string>(table.take(replyOf("b", second), at(1))) == "second");
        CPPUNIT_ASSERT(std::get<std::string>(table.take(replyOf("b", first), at(1))) == "first");
        CPPUNIT_ASSERT(!table.nextWake() && table.pending() == 0);
    }

    // Guards against a call that is answered twice, and a reply that is used after its caller was told of the failure.
    void repeatedAndLateRepliesAreRefused()
    {
        Table table(settings());
        const auto answered = openCall(table, "answered", at(10));
        const auto expired = openCall(table, "expired", at(10));
        const auto cancelled = openCall(table, "cancelled", at(10));
        table.take(replyOf("b", answered), at(9));
        CPPUNIT_ASSERT(refusedAs(ReplyRefusal::Repeated, table.take(replyOf("b", answered), at(9))));
        CPPUNIT_ASSERT(table.cancel(cancelled) && !table.cancel(cancelled));
        CPPUNIT_ASSERT(refusedAs(ReplyRefusal::Late, table.take(replyOf("b", cancelled), at(9))));
        // At its deadline the call is over, whether or not step() has seen it.
        CPPUNIT_ASSERT(refusedAs(ReplyRefusal::Late, table.take(replyOf("b", expired), at(10))));
        const auto ended = table.step(at(10));
        CPPUNIT_ASSERT(ended.size() == 1 && ended[0].m_context == "expired" && ended[0].m_correlation == expired);
        CPPUNIT_ASSERT(refusedAs(ReplyRefusal::Late, table.take(replyOf("b", expired), at(11))));
        CPPUNIT_ASSERT(table.step(at(20)).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, table.refused(ReplyRefusal::Repeated));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, table.refused(ReplyRefusal::Late));
    }

    // Guards against a faulty daemon that ends the calls to others; the right reply must still be accepted.
    void replyOfAnotherDaemonOrKindIsRefused()
    {
        Table table(settings());
        const auto call = openCall(table, "call", at(10));
        CPPUNIT_ASSERT(refusedAs(ReplyRefusal::Mismatched, table.take(replyOf("c", call), at(1))));
        CPPUNIT_ASSERT(refusedAs(ReplyRefusal::Mismatched, table.take(replyOf("b", call, CancelJobReply {}), at(1))));
        CPPUNIT_ASSERT(refusedAs(ReplyRefusal::Mismatched, table.take(replyOf("b", call + 1), at(1))));
        CPPUNIT_ASSERT(std::get<std::string>(table.take(replyOf("b", call), at(1))) == "call");
    }

    // Guards against a reply to the former run of this daemon that is taken for the reply to a new call with its
    // number.
    void replyToARestartedCallerIsRefused()
    {
        Table table(settings());
        const auto call = openCall(table, "call", at(10));
        CPPUNIT_ASSERT(
            refusedAs(ReplyRefusal::OtherIncarnation, table.take(replyOf("b", call, SubmitJobReply {}, 6), at(1))));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, table.pending());
    }

    // Guards against callers that wait for the deadline of a call whose callee is known to be gone.
    void callsToALostDaemonEndAtOnce()
    {
        Table table(settings());
        for (const char* callee : { "b", "c", "b" })
            table.open(DaemonId(callee), MessageKind::SubmitJobReply, callee, at(10));
        const auto ended = table.calleeLost(DaemonId("b"));
        CPPUNIT_ASSERT(ended.size() == 2 && ended[0].m_correlation < ended[1].m_correlation);
        CPPUNIT_ASSERT(refusedAs(ReplyRefusal::Late, table.take(replyOf("b", ended[0].m_correlation), at(1))));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, table.pending());
    }

    // Guards against growth without bound when a peer answers nothing or many calls are closed.
    void memoryIsBounded()
    {
        Table table(settings(2, 3));
        const auto first = openCall(table, "x", at(10));
        table.open(DaemonId("b"), MessageKind::SubmitJobReply, "x", at(10));
        CPPUNIT_ASSERT(!table.open(DaemonId("b"), MessageKind::SubmitJobReply, "x", at(10)));
        table.cancel(first);
        for (int i = 0; i < 3; ++i)
            table.cancel(openCall(table, "x", at(10)));
        // The first call is forgotten: its reply is refused all the same.
        CPPUNIT_ASSERT(refusedAs(ReplyRefusal::Mismatched, table.take(replyOf("b", first), at(1))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CorrelationTableTest);

} // namespace sapphiredale::peer
