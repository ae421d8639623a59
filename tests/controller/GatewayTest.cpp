// Tests of the callers' interface. The load pattern: submissions while neither the store nor the scheduler's daemon
// takes records.

#include "controller/Gateway.h"
#include "tests/controller/StoreStandIn.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace sapphiredale::controller {

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(recordsGoThroughTheSchedulersDaemon);
    CPPUNIT_TEST(deadSchedulerIsNotWaitedFor);
    CPPUNIT_TEST(schedulerThatCouldNotStoreIsNotAskedAgain);
    CPPUNIT_TEST_SUITE_END();

    /// A gateway whose own appends are refused, and the scheduler's daemon beside it.
    struct Fixture {
        Fixture()
            : m_store(m_context)
            , m_elsewhere(m_context, "", [this](const ServerRequest&, const Responder& respond) {
                ++m_elsewhereCalls;
                respond({ m_elsewhereStatus, "{}" });
            })
        {
            m_place.m_address = openOnFreePort(m_elsewhere);
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
            for (std::uint32_t part = 0; part < jobPartitions; ++part)
                m_store.part(jobTopic, part).m_fault = StoreStandIn::Fault::Refuses;
        }

        /// Status and Retry-After of the answer to a submission.
        std::pair<unsigned, unsigned> submit()
        {
            std::optional<ServerResponse> answer;
            ServerRequest request { "POST", "/q/0123456789abcdef", "h", R"({"spec":"","steps":[{"count":1}]})", "",
                bootNow() };
            m_gateway->handle(std::move(request), [&](ServerResponse response) { answer = std::move(response); });
            runUntil(m_context, [&] { return answer.has_value(); });
            return { answer->m_status, answer->m_retryAfterSeconds };
        }

        boost::asio::io_context m_context;
        StoreStandIn m_store;
        unsigned m_elsewhereStatus = 200;
        int m_elsewhereCalls = 0;
        HttpListener m_elsewhere;
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
        CPPUNIT_ASSERT_EQUAL(1, fixture.m_elsewhereCalls);
    }

    // Callers waited until their deadlines for a scheduler that had lost power during an outage of the store, and could
    // not come back.
    void deadSchedulerIsNotWaitedFor()
    {
        Fixture fixture;
        fixture.m_place.m_isAnswering = false;
        const auto [status, retryAfter] = fixture.submit();
        CPPUNIT_ASSERT_EQUAL(503U, status);
        CPPUNIT_ASSERT(retryAfter > 0);
        CPPUNIT_ASSERT_EQUAL(0, fixture.m_elsewhereCalls);
    }

    void schedulerThatCouldNotStoreIsNotAskedAgain()
    {
        Fixture fixture;
        fixture.m_elsewhereStatus = 503;
        CPPUNIT_ASSERT_EQUAL(503U, fixture.submit().first);
        CPPUNIT_ASSERT_EQUAL(503U, fixture.submit().first);
        CPPUNIT_ASSERT_EQUAL(1, fixture.m_elsewhereCalls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace sapphiredale::controller
