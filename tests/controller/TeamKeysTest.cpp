// Tests of teams in the callers' interface: keys, the team of a job, and refusals because of a team's limit or share.

#include "controller/Gateway.h"
#include "tests/controller/StoreStandIn.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <unistd.h>

namespace sapphiredale::controller {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fault = StoreStandIn::Fault;

class TeamKeysTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TeamKeysTest);
    CPPUNIT_TEST(callsNeedTheKeyOfATeam);
    CPPUNIT_TEST(checksAreMadeInOrder);
    CPPUNIT_TEST(keysAreNotExaminedWithoutTenants);
    CPPUNIT_TEST(publicRouteServesCallsWithoutKey);
    CPPUNIT_TEST(newestConfigurationDecides);
    CPPUNIT_TEST(daemonWithAnOldViewDoesNotDenyThatAKeyExists);
    CPPUNIT_TEST(recordCarriesTeamAndLimit);
    CPPUNIT_TEST(jobOfAnotherTeamIsNeitherReadNorCancelled);
    CPPUNIT_TEST(jobWithoutTeamIsOpenToAllTeams);
    CPPUNIT_TEST(cancellationCarriesItsTeam);
    CPPUNIT_TEST(keysAppearNowhere);
    CPPUNIT_TEST(workThatNeverFitsTheLimitIsRefused);
    CPPUNIT_TEST(refusedTeamIsToldWhenToReturn);
    CPPUNIT_TEST(refusalOnlyAppliesToNewJobsOfItsTeam);
    CPPUNIT_TEST(noTeamIsRefusedWithoutAScheduler);
    CPPUNIT_TEST(listOfRefusedTeamsExpires);
    CPPUNIT_TEST(jobThatMayBeStoredIsNotRefused);
    CPPUNIT_TEST(openAppendsAreForgotten);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* job = "0123456789abcdef";
    static constexpr const char* submission = R"({"spec":"","steps":[{"count":3,"cpu":1000,"mem_mb":100}]})";
    static constexpr const char* tenants = R"([{"name":"a","api_keys":["key-a","key-a2"],"priority":1,"weight":2.5,
        "max_count":{"cpu":2000,"mem_mb":0,"gpu":0}},{"name":"b","api_keys":["key-b"],"weight":1}])";

    static std::string configurationText(int version, const std::string& tenantsMember)
    {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[
            {"name":"q","host":"h","path_prefix":"/q/","timeout_ms":60000,"service":"s"},
            {"name":"p","host":"h","path_prefix":"/p/","timeout_ms":60000,"service":"s","public":true}])"
            + (tenantsMember.empty() ? "" : R"(,"tenants":)" + tenantsMember) + "}";
    }

    /// A gateway, a store, and a stand-in for the scheduler's daemon that answers queries of states.
    struct Fixture {
        Fixture()
            : m_store(m_context)
            , m_schedulerDaemon(m_context, "",
                  [this](const ServerRequest& request, const Responder& respond) {
                      if (request.m_target == inner::storePath)
                          return respond({ 503, "{}" });
                      ++m_queries;
                      respond({ m_stateStatus, request.m_target == inner::pendingPath ? R"({"value":5})" : m_state });
                  })
            , m_logFile((std::filesystem::temp_directory_path()
                  / ("sapphire-team-keys-" + std::to_string(::getpid()) + ".log"))
                            .string())
        {
            m_place.m_address = openOnFreePort(m_schedulerDaemon);
            m_site.m_store = m_store.address();
            observability::EventLogSettings settings;
            settings.m_file = m_logFile;
            m_log = valueOf(observability::EventLog::open(settings));
            m_gateway = std::make_unique<Gateway>(m_context, m_site, *m_log, m_metrics, [this] { return m_place; });
            configure(1, tenants);
        }

        ~Fixture()
        {
            std::error_code ignored;
            std::filesystem::remove(m_logFile, ignored);
        }

        bool configure(int version, const std::string& tenantsMember)
        {
            return m_gateway->configure(std::make_shared<const userplatform::Configuration>(
                valueOf(userplatform::decodeConfiguration(configurationText(version, tenantsMember)))));
        }

        /// The job as the scheduler knows it; an empty team is not named, as by an earlier version.
        void setKnown(const std::string& team)
        {
            m_stateStatus = 200;
            m_state = inner::encode(inner::StateAnswer { jobs::JobState::Running, TeamId(team) });
        }

        std::shared_ptr<std::optional<ServerResponse>> begin(const std::string& method,
            const std::string& authorization, const std::string& target = std::string("/q/") + job,
            const std::string& body = submission)
        {
            auto answer = std::make_shared<std::optional<ServerResponse>>();
            ServerRequest request { method, target, "h", method == "POST" ? body : "", "", bootNow(), authorization };
            m_gateway->handle(std::move(request), [answer](ServerResponse response) { *answer = std::move(response); });
            return answer;
        }

        ServerResponse call(const std::string& method, const std::string& authorization,
            const std::string& target = std::string("/q/") + job, const std::string& body = submission)
        {
            const auto answer = begin(method, authorization, target, body);
            runUntil(m_context, [&] { return answer->has_value(); });
            return **answer;
        }

        unsigned status(const std::string& method, const std::string& authorization,
            const std::string& target = std::string("/q/") + job)
        {
            return call(method, authorization, target).m_status;
        }

        /// All records with the key in the job topic.
        std::vector<std::string> stored(const std::string& key)
        {
            std::vector<std::string> values;
            for (std::uint32_t part = 0; part < jobPartitions; ++part) {
                for (const StoreStandIn::Record& record : m_store.part(jobTopic, part).m_records) {
                    if (record.m_key == key)
                        values.push_back(record.m_value.value_or(""));
                }
            }
            return values;
        }

        jobs::JobRecord storedJob()
        {
            const std::vector<std::string> records = stored(job);
            CPPUNIT_ASSERT(!records.empty());
            return valueOf(jobs::decodeJobRecord(JobId(job), records.back()));
        }

        void setFault(Fault fault)
        {
            for (std::uint32_t part = 0; part < jobPartitions; ++part)
                m_store.part(jobTopic, part).m_fault = fault;
        }

        void refuseTeam(const std::string& team, Duration left)
        {
            m_gateway->setRefusedTeams({ { TeamId(team), bootNow() + left } }, bootNow());
        }

        boost::asio::io_context m_context;
        StoreStandIn m_store;
        unsigned m_stateStatus = 404;
        std::string m_state = "{}";
        int m_queries = 0;
        HttpListener m_schedulerDaemon;
        SchedulerLocation m_place;
        SiteSettings m_site;
        const std::string m_logFile;
        std::unique_ptr<observability::EventLog> m_log;
        observability::MetricsRegistry m_metrics;
        std::unique_ptr<Gateway> m_gateway;
    };

    static constexpr const char* methods[] = { "POST", "GET", "DELETE" };

public:
    // Guards against a call that is served although no configuration ever held its key.
    void callsNeedTheKeyOfATeam()
    {
        Fixture fixture;
        for (const char* method : methods) {
            for (const char* authorization : { "", "Bearer", "Bearer ", "Bearer key-c", "Bearer key-a key-b",
                     "Basic key-a", "key-a", "Bearerkey-a", "Bearer key-", "Bearer Key-a" }) {
                const ServerResponse answer = fixture.call(method, authorization);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(method) + authorization, 401U, answer.m_status);
                CPPUNIT_ASSERT_EQUAL(std::string("Bearer"), answer.m_authenticate);
            }
        }
        CPPUNIT_ASSERT_EQUAL(401U, fixture.status("GET", "Bearer key-c", "/q/"));
        CPPUNIT_ASSERT_EQUAL(0, fixture.m_queries);
        CPPUNIT_ASSERT(fixture.stored(job).empty() && fixture.stored(cancellationKey(JobId(job))).empty());
        for (const char* authorization : { "Bearer key-a", "Bearer key-a2", "bearer key-b", "BEARER  key-b" })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(authorization, 200U, fixture.status("POST", authorization));
        CPPUNIT_ASSERT_EQUAL(410U, fixture.status("GET", "Bearer key-a"));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("DELETE", "Bearer key-a"));
        fixture.m_stateStatus = 200;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("GET", "Bearer key-b", "/q/"));
    }

    // Guards against an answer that tells a caller without a key more than whether a route exists.
    void checksAreMadeInOrder()
    {
        Fixture fixture;
        CPPUNIT_ASSERT_EQUAL(404U, fixture.status("POST", "", "/other/x"));
        CPPUNIT_ASSERT_EQUAL(404U, fixture.status("POST", "Bearer key-c", "/other/x"));
        CPPUNIT_ASSERT_EQUAL(401U, fixture.status("POST", "", "/q/x"));
        CPPUNIT_ASSERT_EQUAL(401U, fixture.status("PUT", "Bearer key-c"));
        CPPUNIT_ASSERT_EQUAL(401U, fixture.call("POST", "", std::string("/q/") + job, "{").m_status);
        CPPUNIT_ASSERT_EQUAL(400U, fixture.status("POST", "Bearer key-a", "/q/x"));
        CPPUNIT_ASSERT_EQUAL(405U, fixture.status("PUT", "Bearer key-a"));
        CPPUNIT_ASSERT_EQUAL(400U, fixture.call("POST", "Bearer key-a", std::string("/q/") + job, "{").m_status);
        fixture.m_gateway = std::make_unique<Gateway>(fixture.m_context, fixture.m_site, *fixture.m_log,
            fixture.m_metrics, [&fixture] { return fixture.m_place; });
        CPPUNIT_ASSERT_EQUAL(503U, fixture.status("POST", "Bearer key-c", "/other/x"));
    }

    // Guards against a deployment without tenants that is served differently, also one that had tenants before.
    void keysAreNotExaminedWithoutTenants()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(fixture.configure(2, ""));
        for (const char* authorization : { "", "Bearer key-a", "Basic x" }) {
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", authorization));
            CPPUNIT_ASSERT(fixture.storedJob().m_team.empty());
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("DELETE", authorization));
            CPPUNIT_ASSERT_EQUAL(std::string("1"), fixture.stored(cancellationKey(JobId(job))).back());
        }
        fixture.setKnown("a");
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("GET", ""));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("DELETE", ""));
        // An empty list is another case: no key exists.
        CPPUNIT_ASSERT(fixture.configure(3, "[]"));
        CPPUNIT_ASSERT_EQUAL(401U, fixture.status("POST", "Bearer key-a"));
    }

    // Guards against a public route that refuses calls without a key, or takes the team from those that have one.
    void publicRouteServesCallsWithoutKey()
    {
        Fixture fixture;
        const std::string target = std::string("/p/") + job;
        for (const char* authorization : { "", "Bearer key-c", "Basic x" }) {
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", authorization, target));
            CPPUNIT_ASSERT(fixture.storedJob().m_team.empty());
        }
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-b", target));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), fixture.storedJob().m_team.value());
        fixture.setKnown("");
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("GET", "", target));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("DELETE", "", target));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("GET", "", "/p/"));
    }

    // Guards against a removed key that goes on to work, a new one that does not, and an older version that returns.
    void newestConfigurationDecides()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(fixture.configure(5, R"([{"name":"a","api_keys":["key-new"]}])"));
        CPPUNIT_ASSERT_EQUAL(401U, fixture.status("POST", "Bearer key-a"));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-new"));
        CPPUNIT_ASSERT(!fixture.configure(4, tenants));
        CPPUNIT_ASSERT(!fixture.configure(5, tenants));
        CPPUNIT_ASSERT_EQUAL(401U, fixture.status("POST", "Bearer key-a"));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-new"));
    }

    // Guards against 401, 403 and 404 from a daemon that is cut off from the store, although a newer configuration has
    // the key and the route. Calls that its own configuration allows go on.
    void daemonWithAnOldViewDoesNotDenyThatAKeyExists()
    {
        Fixture fixture;
        TimePoint seenAt = bootNow() - milliseconds(2500);
        fixture.m_gateway->setConfigurationView([&seenAt] { return seenAt; });
        CPPUNIT_ASSERT_EQUAL(401U, fixture.status("POST", "Bearer key-new"));
        CPPUNIT_ASSERT_EQUAL(404U, fixture.status("POST", "Bearer key-a", "/new/x"));
        fixture.setKnown("b");
        CPPUNIT_ASSERT_EQUAL(403U, fixture.status("GET", "Bearer key-a"));
        seenAt = bootNow() - milliseconds(3100);
        const ServerResponse answer = fixture.call("POST", "Bearer key-new");
        CPPUNIT_ASSERT_EQUAL(503U, answer.m_status);
        CPPUNIT_ASSERT(answer.m_retryAfterSeconds > 0 && answer.m_authenticate.empty());
        CPPUNIT_ASSERT_EQUAL(503U, fixture.status("POST", "Bearer key-a", "/new/x"));
        CPPUNIT_ASSERT_EQUAL(503U, fixture.status("GET", "Bearer key-a"));
        CPPUNIT_ASSERT_EQUAL(503U, fixture.status("DELETE", "Bearer key-a"));
        CPPUNIT_ASSERT(fixture.stored(job).empty() && fixture.stored(cancellationKey(JobId(job))).empty());
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("GET", "Bearer key-b"));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-b"));
        CPPUNIT_ASSERT(fixture.configure(2, ""));
        CPPUNIT_ASSERT_EQUAL(404U, fixture.status("POST", "", "/new/x"));
    }

    // Guards against a successor that does not know to which team a job belongs, or what the limit was.
    void recordCarriesTeamAndLimit()
    {
        Fixture fixture;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-a2"));
        const jobs::JobRecord record = fixture.storedJob();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), record.m_team.value());
        CPPUNIT_ASSERT((record.m_teamLimit == Resources { 2000, 0, 0 }));
    }

    // Guards against a team that reads or cancels jobs of another one.
    void jobOfAnotherTeamIsNeitherReadNorCancelled()
    {
        Fixture fixture;
        fixture.setKnown("a");
        for (const char* method : { "GET", "DELETE" }) {
            const ServerResponse answer = fixture.call(method, "Bearer key-b");
            CPPUNIT_ASSERT_EQUAL(403U, answer.m_status);
            CPPUNIT_ASSERT(answer.m_body.find("running") == std::string::npos);
            CPPUNIT_ASSERT_EQUAL(403U, fixture.status(method, "Bearer key-b", std::string("/p/") + job));
            // A public route does not open the jobs of other routes.
            CPPUNIT_ASSERT_EQUAL(401U, fixture.status(method, "", std::string("/p/") + job));
        }
        CPPUNIT_ASSERT(fixture.stored(cancellationKey(JobId(job))).empty());
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("GET", "Bearer key-a"));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("DELETE", "Bearer key-a2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.stored(cancellationKey(JobId(job))).size());
    }

    // Guards against jobs that nobody can read or cancel: those of public routes, those accepted before the
    // configuration had tenants, and all while an earlier version schedules.
    void jobWithoutTeamIsOpenToAllTeams()
    {
        Fixture fixture;
        fixture.m_stateStatus = 200;
        fixture.m_state = R"({"value":1})";
        for (const char* key : { "Bearer key-a", "Bearer key-b" }) {
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("GET", key));
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("DELETE", key));
        }
    }

    // Guards against a cancellation that stops the job of another team: the daemon stores it without knowing the job's
    // team while the scheduler has not read the job or does not answer.
    void cancellationCarriesItsTeam()
    {
        Fixture fixture;
        const auto cancel = [&fixture](const char* authorization, const char* prefix) {
            CPPUNIT_ASSERT_EQUAL(200U, fixture.status("DELETE", authorization, std::string(prefix) + job));
            return jobs::decodeCancellation(fixture.stored(cancellationKey(JobId(job))).back());
        };
        const TeamId a("a");
        const TeamId b("b");
        const jobs::Canceller ofB = cancel("Bearer key-b", "/q/");
        CPPUNIT_ASSERT(ofB.mayCancel(b) && ofB.mayCancel(TeamId()) && !ofB.mayCancel(a));
        const jobs::Canceller withoutKey = cancel("", "/p/");
        CPPUNIT_ASSERT(withoutKey.mayCancel(TeamId()) && !withoutKey.mayCancel(a));
        CPPUNIT_ASSERT(fixture.configure(2, ""));
        const jobs::Canceller unexamined = cancel("", "/q/");
        CPPUNIT_ASSERT(unexamined.mayCancel(TeamId()) && unexamined.mayCancel(a));
    }

    // Guards against keys in the log, in metrics and in answers, and against refusals that are not counted by reason.
    void keysAppearNowhere()
    {
        Fixture fixture;
        std::string answers;
        for (const char* method : methods) {
            for (const char* authorization : { "Bearer key-a", "Bearer key-unknown", "Basic key-unknown" })
                answers += fixture.call(method, authorization).m_body;
        }
        fixture.setKnown("a");
        answers += fixture.call("GET", "Bearer key-b").m_body;
        std::ifstream file(fixture.m_logFile);
        const std::string log { std::istreambuf_iterator<char>(file), {} };
        const std::string metrics = fixture.m_metrics.prometheusText();
        for (const std::string& text : { answers, log, metrics })
            CPPUNIT_ASSERT_MESSAGE(text, text.find("key-") == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(log, log.find(R"("reason":"unauthenticated")") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(log, log.find(R"("reason":"forbidden")") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(
            metrics, metrics.find(R"(sapphire_refusals_total{error="unauthenticated"} 6)") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(
            metrics, metrics.find(R"(sapphire_refusals_total{error="forbidden"} 1)") != std::string::npos);
    }

    // Guards against accepted jobs that can never run, and against 400 for a document that is right.
    void workThatNeverFitsTheLimitIsRefused()
    {
        Fixture fixture;
        const std::string target = std::string("/q/") + job;
        const std::string wide = R"({"spec":"","steps":[{"count":1},{"count":1,"cpu":2001}]})";
        const std::string gang = R"({"spec":"","steps":[{"count":3,"cpu":1000,"gang":true}]})";
        for (const std::string& body : { wide, gang }) {
            const ServerResponse answer = fixture.call("POST", "Bearer key-a", target, body);
            CPPUNIT_ASSERT_EQUAL(429U, answer.m_status);
            CPPUNIT_ASSERT(answer.m_retryAfterSeconds > 0);
            CPPUNIT_ASSERT_MESSAGE(answer.m_body, answer.m_body.find("limit of the team") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(200U, fixture.call("POST", "Bearer key-b", "/q/0123456789abcde0", body).m_status);
        }
        CPPUNIT_ASSERT(fixture.stored(job).empty());
        CPPUNIT_ASSERT(fixture.m_metrics.prometheusText().find(
                           R"(sapphire_refusal_reasons_total{component="submission",reason="team-limit"} 2)")
            != std::string::npos);
        // Steps that are wider than the limit run in waves, and an amount of zero is no limit.
        const std::string fits = R"({"spec":"","steps":[{"count":50,"cpu":2000,"mem_mb":1000000,"gpu":8}]})";
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call("POST", "Bearer key-a", target, fits).m_status);
    }

    // Guards against a Retry-After that is zero, or so long that a team stays away after it is within its share again.
    void refusedTeamIsToldWhenToReturn()
    {
        Fixture fixture;
        const std::pair<Duration, unsigned> cases[]
            = { { milliseconds(50), 1 }, { milliseconds(2900), 3 }, { seconds(60), 10 } };
        for (const auto& [left, expected] : cases) {
            fixture.refuseTeam("a", left);
            const ServerResponse answer = fixture.call("POST", "Bearer key-a");
            CPPUNIT_ASSERT_EQUAL(429U, answer.m_status);
            CPPUNIT_ASSERT_EQUAL(expected, answer.m_retryAfterSeconds);
            CPPUNIT_ASSERT(answer.m_body.find("quota-exceeded") != std::string::npos);
        }
        CPPUNIT_ASSERT(fixture.stored(job).empty());
        fixture.refuseTeam("a", -milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-a"));
    }

    // Guards against a refusal of other teams, of queries and cancellations, and of a repeated submission whose first
    // attempt was stored.
    void refusalOnlyAppliesToNewJobsOfItsTeam()
    {
        Fixture fixture;
        fixture.refuseTeam("a", seconds(5));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-b"));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "", std::string("/p/") + job));
        fixture.setKnown("a");
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("GET", "Bearer key-a"));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("DELETE", "Bearer key-a"));
        const std::string other = "/q/0123456789abcde0";
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-a", other));
        CPPUNIT_ASSERT(fixture.stored("0123456789abcde0").empty());
        fixture.setKnown("b");
        CPPUNIT_ASSERT_EQUAL(403U, fixture.status("POST", "Bearer key-a", other));
    }

    // Guards against refusals because of a share while nobody can say that the job is unknown.
    void noTeamIsRefusedWithoutAScheduler()
    {
        Fixture fixture;
        fixture.refuseTeam("a", seconds(5));
        fixture.m_stateStatus = 503;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-a"));
        fixture.m_stateStatus = 404;
        fixture.m_place.m_address.clear();
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-a", "/q/0123456789abcde0"));
    }

    // Guards against a daemon that refuses a team by a list which the scheduler withdrew long ago.
    void listOfRefusedTeamsExpires()
    {
        Fixture fixture;
        const TimePoint now = bootNow();
        fixture.m_gateway->setRefusedTeams({ { TeamId("a"), now + seconds(9) } }, now - milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(429U, fixture.status("POST", "Bearer key-a"));
        fixture.m_gateway->setRefusedTeams({ { TeamId("a"), now + seconds(9) } }, now - milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-a"));
    }

    // Guards against "not run" for a job that runs: an earlier attempt is in flight, had no answer, or is stored and
    // not read by the scheduler.
    void jobThatMayBeStoredIsNotRefused()
    {
        Fixture fixture;
        fixture.setFault(Fault::IsSilent);
        fixture.m_place.m_isAnswering = false;
        const auto first = fixture.begin("POST", "Bearer key-a");
        fixture.refuseTeam("a", seconds(60));
        const auto second = fixture.begin("POST", "Bearer key-a");
        CPPUNIT_ASSERT_EQUAL(429U, fixture.status("POST", "Bearer key-a", "/q/0123456789abcde0"));
        CPPUNIT_ASSERT(!first->has_value() && !second->has_value());
        CPPUNIT_ASSERT_EQUAL(1, fixture.m_queries);
        fixture.setFault(Fault::None);
        runUntil(fixture.m_context, [&] { return first->has_value() && second->has_value(); });
        CPPUNIT_ASSERT_EQUAL(200U, (*first)->m_status);
        CPPUNIT_ASSERT_EQUAL(200U, (*second)->m_status);
        fixture.refuseTeam("a", seconds(60));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.status("POST", "Bearer key-a"));
        CPPUNIT_ASSERT_EQUAL(429U, fixture.status("POST", "Bearer key-a", "/q/0123456789abcde0"));
    }

    // Guards against a memory that grows with each submission, and against one that forgets an append too early.
    void openAppendsAreForgotten()
    {
        OpenAppends appends;
        const TimePoint start { seconds(100) };
        appends.began("a", start);
        appends.began("a", start);
        appends.ended("a", StoreOutcome::NotStored, start);
        CPPUNIT_ASSERT(appends.mayBeStored("a", start + seconds(60)));
        appends.ended("a", StoreOutcome::NotStored, start + seconds(60));
        CPPUNIT_ASSERT(!appends.mayBeStored("a", start + seconds(60)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), appends.size());
        const TimePoint later = start + seconds(60);
        for (const auto& [key, outcome] : { std::pair("s", StoreOutcome::Stored), { "u", StoreOutcome::Unknown } }) {
            appends.began(key, later);
            appends.ended(key, outcome, later);
        }
        CPPUNIT_ASSERT(appends.mayBeStored("s", later + seconds(3)) && !appends.mayBeStored("s", later + seconds(4)));
        CPPUNIT_ASSERT(appends.mayBeStored("u", later + seconds(12)));
        CPPUNIT_ASSERT(!appends.mayBeStored("u", later + seconds(13)));
        appends.began("x", later + seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), appends.size());
        appends.began("x", later + seconds(13));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), appends.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamKeysTest);

} // namespace sapphiredale::controller
