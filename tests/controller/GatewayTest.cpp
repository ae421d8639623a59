// Tests of the callers' interface: submissions while the store, the scheduler's daemon or both do not take records.

#include "controller/Gateway.h"
#include "tests/controller/StoreStandIn.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace sapphiredale::controller {

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(recordsGoThroughTheSchedulersDaemon);
    CPPUNIT_TEST(failedSchedulerIsNotAwaited);
    CPPUNIT_TEST(schedulerThatCouldNotStoreIsNotAskedAgain);
    CPPUNIT_TEST(slowStoreIsBypassedWithoutFurtherAppends);
    CPPUNIT_TEST(recordIsStoredThoughTheSchedulerDoesNotAnswer);
    CPPUNIT_TEST(cancellationOfAJobThatTheSchedulerDoesNotKnowIsStored);
    CPPUNIT_TEST(jobThatNoRecordHoldsIsRefusedAtOnce);
    CPPUNIT_TEST_SUITE_END();

    /// A gateway whose direct appends are refused, and a stand-in for the scheduler's daemon.
    struct Fixture {
        Fixture()
            : m_store(m_context)
            , m_schedulerDaemon(m_context, "", [this](const ServerRequest&, const Responder& respond) {
                ++m_schedulerCalls;
                if (m_isSchedulerSilent)
                    return m_held.push_back(respond);
                respond({ m_schedulerStatus, "{}" });
            })
        {
            m_place.m_address = openOnFreePort(m_schedulerDaemon);
            m_site.m_store = m_store.address();
            observability::EventLogSettings settings;
            settings.m_minimum = observability::Severity::Error;
            m_log = valueOf(observability::EventLog::open(settings));
            m_gateway = std::make_unique<Gateway>(m_context, m_site, *m_log, m_metrics, [this] { return m_place; });
            userplatform::Configuration configuration;
            configuration.m_routes.resize(1);
            configuration.m_routes[0].m_host = "h";
            configuration.m_routes[0].m_pathPrefix = "/q/";
            configuration.m_routes[0].m_timeout = std::chrono::seconds(60);
            m_gateway->configure(std::make_shared<const userplatform::Configuration>(configuration));
            setFault(StoreStandIn::Fault::Refuses);
        }

        void setFault(StoreStandIn::Fault fault)
        {
            for (std::uint32_t part = 0; part < jobPartitions; ++part)
                m_store.part(jobTopic, part).m_fault = fault;
        }

        std::uint32_t storeCalls()
        {
            std::uint32_t calls = 0;
            for (std::uint32_t part = 0; part < jobPartitions; ++part)
                calls += m_store.part(jobTopic, part).m_calls;
            return calls;
        }

        /// Status and Retry-After of the answer to a submission.
        std::pair<unsigned, unsigned> submit() { return call("POST", R"({"spec":"","steps":[{"count":1}]})"); }

        std::pair<unsigned, unsigned> call(const std::string& method, const std::string& body)
        {
            std::optional<ServerResponse> answer;
            ServerRequest request { method, "/q/0123456789abcdef", "h", body, "", bootNow() };
            m_gateway->handle(std::move(request), [&](ServerResponse response) { answer = std::move(response); });
            runUntil(m_context, [&] { return answer.has_value(); });
            return { answer->m_status, answer->m_retryAfterSeconds };
        }

        boost::asio::io_context m_context;
        StoreStandIn m_store;
        unsigned m_schedulerStatus = 200;
        int m_schedulerCalls = 0;
        bool m_isSchedulerSilent = false;
        std::vector<Responder> m_held;
        HttpListener m_schedulerDaemon;
        SchedulerLocation m_place;
        SiteSettings m_site;
        std::unique_ptr<observability::EventLog> m_log;
        observability::MetricsRegistry m_metrics;
        std::unique_ptr<Gateway> m_gateway;
    };

public:
    void recordsGoThroughTheSchedulersDaemon()
    {
        Fixture fixture;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.submit().first);
        CPPUNIT_ASSERT_EQUAL(1, fixture.m_schedulerCalls);
    }

    // Guards against a caller that repeats a submission which the store never takes.
    void jobThatNoRecordHoldsIsRefusedAtOnce()
    {
        Fixture fixture;
        fixture.setFault(StoreStandIn::Fault::None);
        const std::string label(fixture.m_site.m_recordBytes, 'x');
        const auto [status, retryAfter]
            = fixture.call("POST", R"({"spec":"","steps":[{"count":1,"requires":")" + label + R"("}]})");
        CPPUNIT_ASSERT_EQUAL(413U, status);
        CPPUNIT_ASSERT_EQUAL(0U, retryAfter);
        CPPUNIT_ASSERT_EQUAL(0U, fixture.storeCalls());
        CPPUNIT_ASSERT_EQUAL(200U, fixture.submit().first);
    }

    // Guards against callers that wait until their deadlines, too late to retry, for a scheduler that lost power during
    // an outage of the store.
    void failedSchedulerIsNotAwaited()
    {
        Fixture fixture;
        fixture.m_place.m_isAnswering = false;
        const auto [status, retryAfter] = fixture.submit();
        CPPUNIT_ASSERT_EQUAL(503U, status);
        CPPUNIT_ASSERT(retryAfter > 0);
        CPPUNIT_ASSERT_EQUAL(0, fixture.m_schedulerCalls);
    }

    void schedulerThatCouldNotStoreIsNotAskedAgain()
    {
        Fixture fixture;
        fixture.m_schedulerStatus = 503;
        CPPUNIT_ASSERT_EQUAL(503U, fixture.submit().first);
        CPPUNIT_ASSERT_EQUAL(503U, fixture.submit().first);
        CPPUNIT_ASSERT_EQUAL(1, fixture.m_schedulerCalls);
    }

    // A daemon whose append took long used to repeat it on the next partition. With a hundred daemons that kept a slow
    // store full, and most submissions were refused.
    void slowStoreIsBypassedWithoutFurtherAppends()
    {
        Fixture fixture;
        fixture.setFault(StoreStandIn::Fault::IsSilent);
        CPPUNIT_ASSERT_EQUAL(200U, fixture.submit().first);
        CPPUNIT_ASSERT_EQUAL(200U, fixture.submit().first);
        CPPUNIT_ASSERT_EQUAL(2, fixture.m_schedulerCalls);
        CPPUNIT_ASSERT_EQUAL(1U, fixture.storeCalls());
    }

    // Guards against an unknown outcome although the store has been back for long.
    void recordIsStoredThoughTheSchedulerDoesNotAnswer()
    {
        Fixture fixture;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.submit().first);
        fixture.setFault(StoreStandIn::Fault::None);
        fixture.m_isSchedulerSilent = true;
        // The next records go through the scheduler's daemon, until one is not answered and a probe finds the store.
        runUntil(fixture.m_context, [&] { return !fixture.m_gateway->isStoreUnavailable(); });
        CPPUNIT_ASSERT_EQUAL(200U, fixture.submit().first);
        CPPUNIT_ASSERT_EQUAL(2, fixture.m_schedulerCalls);
        fixture.m_held.clear();
    }

    // Guards against a job that runs on after it was cancelled, because the scheduler had not read its acceptance yet
    // and the cancellation was stored nowhere.
    void cancellationOfAJobThatTheSchedulerDoesNotKnowIsStored()
    {
        Fixture fixture;
        fixture.setFault(StoreStandIn::Fault::None);
        fixture.m_schedulerStatus = 404;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call("DELETE", "").first);
        std::size_t stored = 0;
        for (std::uint32_t part = 0; part < jobPartitions; ++part)
            stored += fixture.m_store.newest(jobTopic, part).count(cancellationKey(JobId("0123456789abcdef")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stored);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace sapphiredale::controller
