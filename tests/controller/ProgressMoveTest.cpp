// Tests of what a successor knows after a term has moved its progress to another partition of the store.

#include "tests/controller/TermFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::controller {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fault = StoreStandIn::Fault;

class ProgressMoveTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgressMoveTest);
    CPPUNIT_TEST(progressOfUnreadJobsMoves);
    CPPUNIT_TEST(progressOfUnreadJobsMovesAgainAfterATakeover);
    CPPUNIT_TEST(progressOfUnreadJobsIsRemovedOnceTheyAreKnownNotToExist);
    CPPUNIT_TEST(progressOfExpiredJobsMovesUntilTheirRecordsAreRemoved);
    CPPUNIT_TEST(recordOfAWaitingJobIsStoredAgainAfterAMove);
    CPPUNIT_TEST_SUITE_END();

    static std::string doneText() { return jobs::encodeProgress({ jobs::JobState::Done, {}, {}, {}, {} }); }

    /// Lets the term store a change while its partition of the progress refuses appends, until it has moved.
    static void moveProgress(
        StoreStandIn& store, boost::asio::io_context& context, TermFixture& fixture, std::uint32_t from)
    {
        runUntil(context, [&] { return fixture.m_term->isRecovered(); });
        store.part(progressTopic, from).m_fault = Fault::RefusesAppends;
        const std::string job = "trigger" + std::to_string(from);
        fixture.m_term->recordStored(job, jobText(job));
        fixture.m_term->recordStored(cancellationKey(JobId(job)), jobs::encodeCancellation({}));
        runUntil(context, [&] { return store.newest(progressTopic, from + 1).contains(job); });
        store.part(progressTopic, from).m_fault = Fault::None;
    }

    static bool isShownAs(const SchedulerTerm& term, const std::string& job, jobs::JobState expected)
    {
        const Result<jobs::JobState> state = term.state(JobId(job));
        return succeeded(state) && valueOf(state) == expected;
    }

public:
    // Guards against tasks that run again after a takeover, since a term that had not read the partition with their job
    // left its progress behind in a move.
    void progressOfUnreadJobsMoves()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        jobs::JobProgress open;
        open.m_state = jobs::JobState::Running;
        open.m_done = { { 0, 0, 0 } };
        open.m_failedRuns[{ 0, 0, 1 }] = { 3, 7 };
        open.m_crashes[{ 0, 0, 1 }] = 1;
        open.m_places[{ 0, 0 }] = { WorkerId("w") };
        store.put(jobTopic, 1, "ended", jobText("ended"));
        store.put(jobTopic, 1, "open", jobText("open"));
        store.put(progressTopic, 0, "ended", doneText());
        store.put(progressTopic, 0, "open", jobs::encodeProgress(open));
        store.part(jobTopic, 1).m_fault = Fault::Refuses;
        {
            TermFixture first(store, context);
            first.m_term->start();
            moveProgress(store, context, first, 0);
            CPPUNIT_ASSERT(!first.m_term->scheduler()->knows(JobId("ended")));
            store.part(jobTopic, 1).m_fault = Fault::None;
            runUntil(context, [&] { return isShownAs(*first.m_term, "ended", jobs::JobState::Done); });
        }
        CPPUNIT_ASSERT(store.newest(progressTopic, 1)["open"] == jobs::encodeProgress(open));
        TermFixture second(store, context, 3, seconds(150), 1);
        second.m_term->start();
        runUntil(context, [&] { return second.m_term->isRecovered(); });
        CPPUNIT_ASSERT(isShownAs(*second.m_term, "ended", jobs::JobState::Done));
    }

    // Guards against the same loss by a second term that does not read the partition either and moves once more.
    void progressOfUnreadJobsMovesAgainAfterATakeover()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "ended", jobText("ended"));
        store.put(progressTopic, 0, "ended", doneText());
        store.part(jobTopic, 1).m_fault = Fault::Refuses;
        for (std::uint32_t partition = 0; partition < 2; ++partition) {
            TermFixture fixture(store, context, 2 + partition, seconds(150), partition);
            fixture.m_term->start();
            moveProgress(store, context, fixture, partition);
        }
        store.part(jobTopic, 1).m_fault = Fault::None;
        TermFixture last(store, context, 4, seconds(150), 2);
        last.m_term->start();
        runUntil(context, [&] { return last.m_term->isRecovered(); });
        CPPUNIT_ASSERT(isShownAs(*last.m_term, "ended", jobs::JobState::Done));
    }

    // Guards against progress of jobs that no longer exist which is carried from partition to partition for ever.
    void progressOfUnreadJobsIsRemovedOnceTheyAreKnownNotToExist()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "ended", jobText("ended"));
        store.put(progressTopic, 0, "ended", doneText());
        store.put(progressTopic, 0, "left", doneText());
        store.part(jobTopic, 1).m_fault = Fault::Refuses;
        TermFixture fixture(store, context);
        fixture.m_term->start();
        moveProgress(store, context, fixture, 0);
        CPPUNIT_ASSERT(store.newest(progressTopic, 1).contains("left"));
        store.part(jobTopic, 1).m_fault = Fault::None;
        runUntil(context, [&] { return !store.newest(progressTopic, 1).contains("left"); });
        CPPUNIT_ASSERT(store.newest(progressTopic, 1).contains("ended"));
    }

    // Guards against an expired job that runs again after a move, since its record in the job topic has not been
    // removed yet.
    void progressOfExpiredJobsMovesUntilTheirRecordsAreRemoved()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "ended", jobText("ended"));
        store.put(progressTopic, 0, "ended", jobs::encodeProgress({ jobs::JobState::Failed, {}, {}, {}, {} }));
        store.part(jobTopic, 1).m_fault = Fault::RefusesAppends;
        {
            TermFixture first(store, context, 2, Duration::zero());
            first.m_term->start();
            runUntil(context,
                [&] { return first.m_term->isRecovered() && !first.m_term->scheduler()->knows(JobId("ended")); });
            moveProgress(store, context, first, 0);
        }
        TermFixture second(store, context, 3, seconds(150), 1);
        second.m_term->start();
        runUntil(context, [&] { return second.m_term->isRecovered(); });
        CPPUNIT_ASSERT(isShownAs(*second.m_term, "ended", jobs::JobState::Failed));
    }

    // Guards against a term that takes the record of a running job for stored although the partition to which the term
    // before has moved lacks it: a third term that cannot read the job would not know its runs.
    void recordOfAWaitingJobIsStoredAgainAfterAMove()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        HttpListener worker(context, "", [](const ServerRequest&, const Responder& respond) {
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[],"finished":[]})" });
        });
        jobs::JobRecord job = valueOf(jobs::decodeJobRecord(JobId("j"), jobText("j")));
        job.m_policy.m_service = "s";
        jobs::JobProgress waiting;
        waiting.m_state = jobs::JobState::Running;
        store.put(jobTopic, 1, "j", jobs::encodeJobRecord(job));
        store.put(progressTopic, 0, "j", jobs::encodeProgress(waiting));
        store.put("keyed.servers", 0, "w", workerText(openOnFreePort(worker)));
        TermFixture fixture(store, context);
        fixture.m_term->start();
        runUntil(context, [&] { return store.newest(progressTopic)["j"].find(" p ") != std::string::npos; });
        CPPUNIT_ASSERT(store.newest(progressTopic).contains("=j"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressMoveTest);

} // namespace sapphiredale::controller
