// Tests of jobs whose records reach the limit of the store.

#include "controller/JobAppender.h"
#include "tests/controller/TermFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::controller {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LargeJobTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LargeJobTest);
    CPPUNIT_TEST(progressBeyondOneRecordIsStored);
    CPPUNIT_TEST(rejectedProgressStopsItsJobAlone);
    CPPUNIT_TEST(rejectedJobFailsAlone);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t tasks = 1000;

    /// A job of which every other task is done.
    struct Cell {
        Cell()
            : m_store(m_context)
            , m_worker(m_context, "", [this](const ServerRequest& request, const Responder& respond) {
                m_starts += request.m_target == "/-/run-start" ? 1 : 0;
                respond({ 200, R"({"clock_ms":1000,"born":1,"running":[],"finished":[]})" });
            })
        {
            jobs::JobRecord job = valueOf(jobs::decodeJobRecord(JobId("large"), jobText("large")));
            job.m_policy.m_service = "s";
            job.m_spec.m_steps[0].m_count = tasks;
            m_done.m_state = jobs::JobState::Running;
            for (std::uint32_t task = 0; task < tasks; task += 2)
                m_done.m_done.push_back({ 0, 0, task });
            m_store.put(jobTopic, 1, "large", jobs::encodeJobRecord(job));
            m_store.put(jobTopic, 1, "small", jobText("small"));
            m_store.put(jobTopic, 1, cancellationKey(JobId("small")), jobs::encodeCancellation({}));
            m_store.put(progressTopic, 0, "large", jobs::encodeProgress(m_done));
            m_store.put("keyed.servers", 0, "w", workerText(openOnFreePort(m_worker)));
        }

        bool isEndOfOtherJobStored()
        {
            for (std::uint32_t part = 0; part < progressPartitions; ++part) {
                const auto records = m_store.newest(progressTopic, part);
                const auto found = records.find("small");
                if (found != records.end()
                    && valueOf(jobs::decodeProgress(found->second)).m_state == jobs::JobState::Cancelled)
                    return true;
            }
            return false;
        }

        boost::asio::io_context m_context;
        StoreStandIn m_store;
        HttpListener m_worker;
        jobs::JobProgress m_done;
        int m_starts = 0;
    };

public:
    // Guards against a job whose progress is longer than a record, so that no progress of any job is stored any more.
    void progressBeyondOneRecordIsStored()
    {
        Cell cell;
        cell.m_store.m_maxRecordBytes = 4096;
        TermFixture fixture(cell.m_store, cell.m_context, 2, seconds(150), 0, 4096);
        fixture.m_term->start();
        runUntil(cell.m_context, [&] { return cell.isEndOfOtherJobStored() && cell.m_starts > 0; });
        jobs::JobProgress stored;
        for (const auto& [key, text] : cell.m_store.newest(progressTopic)) {
            if (jobs::jobOfProgressKey(key) == JobId("large"))
                jobs::mergeProgress(stored, valueOf(jobs::decodeProgress(text)));
        }
        CPPUNIT_ASSERT(stored.m_done == cell.m_done.m_done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stored.m_places.size());
        // A successor reads what is divided.
        TermFixture second(cell.m_store, cell.m_context, 3, seconds(150), 0, 4096);
        second.m_term->start();
        runUntil(cell.m_context, [&] { return second.m_term->isRecovered(); });
        second.m_term->recordStored(cancellationKey(JobId("large")), jobs::encodeCancellation({}));
        runUntil(cell.m_context, [&] { return cell.m_store.newest(progressTopic)["large"].starts_with("s 4"); });
        runUntil(cell.m_context, [&] { return !cell.m_store.newest(progressTopic).contains("large+0.0"); });
    }

    // Guards against a record that the store rejects and that keeps all others from it, for example since the limit of
    // the store is lower than the settings say.
    void rejectedProgressStopsItsJobAlone()
    {
        Cell cell;
        cell.m_store.m_maxRecordBytes = 2000;
        TermFixture fixture(cell.m_store, cell.m_context);
        fixture.m_term->start();
        runUntil(cell.m_context, [&] { return cell.isEndOfOtherJobStored(); });
        for (const TimePoint end = bootNow() + milliseconds(300); bootNow() < end;)
            cell.m_context.run_one_for(milliseconds(5));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("started without a record", 0, cell.m_starts);
        CPPUNIT_ASSERT(cell.m_store.part(progressTopic, 1).m_records.empty());
    }

    // Guards against callers that are refused since the record of another caller is taken for an outage of the store.
    void rejectedJobFailsAlone()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.m_maxRecordBytes = 100;
        JobAppender appender(context, store.address(), { jobTopic, 0 }, 4);
        std::map<std::string, StoreOutcome> outcomes;
        for (const char* key : { "a", "b", "large", "c" })
            appender.append(key, std::string(key == std::string("large") ? 200 : 10, 'x'), bootNow() + seconds(5),
                [&outcomes, key](StoreOutcome outcome) { outcomes[key] = outcome; });
        runUntil(context, [&] { return outcomes.size() == 4; });
        CPPUNIT_ASSERT(outcomes["large"] == StoreOutcome::NotStored);
        for (const char* key : { "a", "b", "c" })
            CPPUNIT_ASSERT_MESSAGE(key, outcomes[key] == StoreOutcome::Stored);
        CPPUNIT_ASSERT(!appender.isStoreUnavailable());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeJobTest);

} // namespace sapphiredale::controller
