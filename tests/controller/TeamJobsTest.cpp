// Tests of the jobs of teams in a term: records and cancellations of other teams under the ID of a known job, in the
// term and for its successors.

#include "tests/controller/TermFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <tuple>

namespace sapphiredale::controller {

using std::chrono::milliseconds;

class TeamJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TeamJobsTest);
    CPPUNIT_TEST(reusedIdChangesNoJobForAnySuccessor);
    CPPUNIT_TEST(reusedIdOfAnEndedJobChangesNothing);
    CPPUNIT_TEST(repeatedSubmissionIsNoReuse);
    CPPUNIT_TEST(reuseIsReportedOnce);
    CPPUNIT_TEST(recordOfAReusedIdMovesWithTheProgress);
    CPPUNIT_TEST(cancellationOfAnotherTeamIsIgnored);
    CPPUNIT_TEST(earlyCancellationsOfSeveralTeamsAreKept);
    CPPUNIT_TEST(cancellationsAreRead);
    CPPUNIT_TEST(teamAndLimitSurviveATakeover);
    CPPUNIT_TEST_SUITE_END();

    static jobs::JobRecord recordOf(const std::string& team, const std::string& payload)
    {
        jobs::JobRecord record = valueOf(jobs::decodeJobRecord(JobId("j"), jobText("j")));
        record.m_team = TeamId(team);
        record.m_teamLimit = { 4000, 0, 2 };
        record.m_spec.m_payload = payload;
        return record;
    }

    static std::string textOf(const std::string& team, const std::string& payload = "first")
    {
        return jobs::encodeJobRecord(recordOf(team, payload));
    }

    static std::string cancellationBy(const std::string& team)
    {
        return jobs::encodeCancellation({ true, TeamId(team) });
    }

    static std::string teamOf(const SchedulerTerm& term) { return term.teamOf(JobId("j")).value(); }

    /// The team of the record beside the progress; empty if there is none.
    static std::string keptTeam(StoreStandIn& store)
    {
        const auto records = store.newest(progressTopic);
        const auto found = records.find("=j");
        return found == records.end() ? std::string()
                                      : valueOf(jobs::decodeJobRecord(JobId("j"), found->second)).m_team.value();
    }

public:
    // Guards against a job that is replaced by one of another team: the store keeps only the newest record of a key, so
    // a successor would find that of the other team alone.
    void reusedIdChangesNoJobForAnySuccessor()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "j", textOf("a"));
        {
            TermFixture first(store, context, 2);
            first.m_term->start();
            runUntil(context, [&] { return first.m_term->isRecovered(); });
            store.put(jobTopic, 1, "j", textOf("b", "second"));
            runUntil(context, [&] { return !keptTeam(store).empty(); });
            CPPUNIT_ASSERT_EQUAL(std::string("a"), teamOf(*first.m_term));
        }
        CPPUNIT_ASSERT(store.newest(jobTopic, 1).at("j") == textOf("b", "second"));
        CPPUNIT_ASSERT(store.newest(progressTopic).at("=j") == textOf("a"));
        for (const std::uint64_t number : { 3, 4 }) {
            TermFixture later(store, context, number);
            later.m_term->start();
            runUntil(context, [&] { return later.m_term->isRecovered(); });
            CPPUNIT_ASSERT_EQUAL(std::string("a"), teamOf(*later.m_term));
            CPPUNIT_ASSERT(valueOf(later.m_term->state(JobId("j"))) == jobs::JobState::Queued);
        }
        CPPUNIT_ASSERT(store.newest(progressTopic).at("=j") == textOf("a"));
    }

    // Guards against a team that reads the outcome of another team's job once it has ended, as its record is no longer
    // kept beside the progress then.
    void reusedIdOfAnEndedJobChangesNothing()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "j", textOf("a"));
        {
            TermFixture first(store, context, 2);
            first.m_term->start();
            runUntil(context, [&] { return first.m_term->isRecovered(); });
            store.put(jobTopic, 1, cancellationKey(JobId("j")), cancellationBy("a"));
            const auto isCancelled = [&] {
                const Result<jobs::JobState> state = first.m_term->state(JobId("j"));
                return succeeded(state) && valueOf(state) == jobs::JobState::Cancelled;
            };
            runUntil(context, isCancelled);
            CPPUNIT_ASSERT_EQUAL(std::string(), keptTeam(store));
            store.put(jobTopic, 1, "j", textOf("b", "second"));
            runUntil(context, [&] { return !keptTeam(store).empty(); });
            CPPUNIT_ASSERT(isCancelled());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("a"), keptTeam(store));
        TermFixture second(store, context, 3);
        second.m_term->start();
        runUntil(context, [&] { return second.m_term->isRecovered(); });
        CPPUNIT_ASSERT_EQUAL(std::string("a"), teamOf(*second.m_term));
        CPPUNIT_ASSERT(valueOf(second.m_term->state(JobId("j"))) == jobs::JobState::Cancelled);
    }

    // Guards against an append of progress for each submission that is repeated or stored twice.
    void repeatedSubmissionIsNoReuse()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "j", textOf("a"));
        TermFixture fixture(store, context, 2);
        fixture.m_term->start();
        runUntil(context, [&] { return fixture.m_term->isRecovered(); });
        fixture.m_term->recordStored("j", textOf("a", "again"));
        store.put(jobTopic, 1, "j", textOf("a", "again"));
        store.put(jobTopic, 1, "k", jobText("k"));
        runUntil(context, [&] { return fixture.m_term->scheduler()->knows(JobId("k")); });
        CPPUNIT_ASSERT(!fixture.m_term->scheduler()->hasChanges());
        CPPUNIT_ASSERT(store.newest(progressTopic).empty());
    }

    // Guards against a log line for each time that a record is read: a listing of the topic reads all of them again.
    void reuseIsReportedOnce()
    {
        jobs::JobScheduler scheduler { jobs::SchedulerSettings() };
        const TimePoint now { std::chrono::seconds(100) };
        scheduler.addJob(recordOf("a", ""), {}, 0, now);
        scheduler.addJob(recordOf("a", "x"), {}, 0, now);
        CPPUNIT_ASSERT(scheduler.takeReusedIds().empty());
        for (const char* team : { "b", "b", "c", "" })
            scheduler.addJob(recordOf(team, ""), {}, 0, now);
        CPPUNIT_ASSERT(
            scheduler.takeReusedIds() == (std::vector<jobs::ReusedId> { { JobId("j"), TeamId("a"), TeamId("b") } }));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), scheduler.teamOf(JobId("j")).value());
    }

    // Guards against a record that is left behind when the progress moves to another partition.
    void recordOfAReusedIdMovesWithTheProgress()
    {
        jobs::JobScheduler scheduler { jobs::SchedulerSettings() };
        const TimePoint now { std::chrono::seconds(100) };
        scheduler.addJob(recordOf("a", ""), {}, 0, now);
        scheduler.addJob(recordOf("b", ""), {}, 0, now);
        const auto keepsRecord = [](const jobs::JobScheduler::Batch& batch) {
            const jobs::ProgressRecord& record = batch.m_records.at(0);
            return record.m_record && record.m_record->m_team == TeamId("a") && !record.m_removesRecord;
        };
        const jobs::JobScheduler::Batch first = scheduler.takeChanges();
        CPPUNIT_ASSERT(keepsRecord(first));
        const jobs::JobScheduler::Batch second = scheduler.takeEverything(first.m_number);
        CPPUNIT_ASSERT(keepsRecord(second));
        scheduler.stored(second.m_number);
        scheduler.cancelJob(JobId("j"), now);
        const jobs::JobScheduler::Batch end = scheduler.takeChanges();
        CPPUNIT_ASSERT(!end.m_records.at(0).m_removesRecord);
        CPPUNIT_ASSERT(keepsRecord(scheduler.takeEverything(end.m_number)));
    }

    // Guards against a team that stops jobs of other teams.
    void cancellationOfAnotherTeamIsIgnored()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        // One cancellation is read before the job, one after it, and one with the recovery.
        store.put(jobTopic, 1, cancellationKey(JobId("j")), cancellationBy("b"));
        store.put(jobTopic, 2, "j", textOf("a"));
        TermFixture fixture(store, context, 2);
        SchedulerTerm& term = *fixture.m_term;
        term.start();
        runUntil(context, [&] { return term.isRecovered(); });
        for (const std::string& text : { cancellationBy("b"), cancellationBy(""), std::string("{") })
            term.recordStored(cancellationKey(JobId("j")), text);
        CPPUNIT_ASSERT(valueOf(term.state(JobId("j"))) == jobs::JobState::Queued);
        term.recordStored(cancellationKey(JobId("j")), cancellationBy("a"));
        CPPUNIT_ASSERT(term.scheduler()->state(JobId("j")) == jobs::JobState::Cancelled);
        // The other team's job of this ID comes after its cancellation; it does not bring the first one back.
        term.recordStored("j", textOf("b"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), teamOf(term));
        CPPUNIT_ASSERT(term.scheduler()->state(JobId("j")) == jobs::JobState::Cancelled);
        // Jobs without a team, and cancellations of daemons that do not examine keys.
        for (const auto& [job, team, cancellation] :
            { std::tuple("k", "", cancellationBy("b")), { "l", "a", std::string("1") } }) {
            term.recordStored(job, textOf(team));
            CPPUNIT_ASSERT(term.scheduler()->state(JobId(job)) == jobs::JobState::Queued);
            term.recordStored(cancellationKey(JobId(job)), cancellation);
            CPPUNIT_ASSERT(term.scheduler()->state(JobId(job)) == jobs::JobState::Cancelled);
        }
    }

    // Guards against a cancellation that is lost because another team has cancelled an unknown job of this ID too.
    void earlyCancellationsOfSeveralTeamsAreKept()
    {
        const TimePoint now { std::chrono::seconds(100) };
        jobs::SchedulerSettings settings;
        jobs::JobScheduler scheduler { settings };
        scheduler.cancelJob(JobId("j"), now, { true, TeamId("b") });
        scheduler.cancelJob(JobId("j"), now, { true, TeamId("a") });
        scheduler.cancelJob(JobId("j"), now, { true, TeamId("c") });
        scheduler.addJob(recordOf("a", ""), {}, 0, now);
        CPPUNIT_ASSERT(scheduler.state(JobId("j")) == jobs::JobState::Cancelled);
        jobs::JobScheduler other { settings };
        other.cancelJob(JobId("j"), now, { true, TeamId("b") });
        other.addJob(recordOf("a", ""), {}, 0, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), other.openJobCount());
        other.cancelJob(JobId("u"), now, { true, TeamId("b") });
        const std::vector<jobs::ExpiredJob> expired = other.takeExpired(now + settings.m_retention + milliseconds(1));
        CPPUNIT_ASSERT((expired == std::vector<jobs::ExpiredJob> { { JobId("u"), jobs::JobState::Cancelled } }));
    }

    // Guards against cancellations that an upgrade makes unreadable.
    void cancellationsAreRead()
    {
        for (const jobs::Canceller& canceller :
            { jobs::Canceller {}, jobs::Canceller { true, TeamId("a \"b\"") }, jobs::Canceller { true, TeamId() } })
            CPPUNIT_ASSERT(jobs::decodeCancellation(jobs::encodeCancellation(canceller)) == canceller);
        CPPUNIT_ASSERT(!jobs::decodeCancellation("1").m_isExamined);
        for (const char* text : { "", "{", "[]", "7", R"({"team":5})" })
            CPPUNIT_ASSERT((jobs::decodeCancellation(text) == jobs::Canceller { true, TeamId() }));
    }

    // Guards against a job that loses its team, or stops, when its key is removed and another daemon schedules.
    void teamAndLimitSurviveATakeover()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "j", textOf("a"));
        for (const std::uint64_t number : { 2, 3 }) {
            TermFixture fixture(store, context, number);
            fixture.m_term->setTeams({});
            fixture.m_term->start();
            runUntil(context, [&] { return fixture.m_term->isRecovered(); });
            fixture.m_term->setTeams({ { TeamId("b"), 1, {} } });
            CPPUNIT_ASSERT_EQUAL(std::string("a"), teamOf(*fixture.m_term));
            CPPUNIT_ASSERT(valueOf(fixture.m_term->state(JobId("j"))) == jobs::JobState::Queued);
        }
        const jobs::JobRecord record = recordOf("a", "first");
        CPPUNIT_ASSERT(valueOf(jobs::decodeJobRecord(JobId("j"), jobs::encodeJobRecord(record))) == record);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamJobsTest);

} // namespace sapphiredale::controller
