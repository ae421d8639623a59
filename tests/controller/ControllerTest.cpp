// Tests of the settings, the messages between daemons, the listener, the worker link, and the appender against a store
// that refuses appends, loses answers and recovers.

#include "controller/AdviceDispatcher.h"
#include "controller/GuardedLoop.h"
#include "controller/HttpListener.h"
#include "controller/InnerProtocol.h"
#include "controller/JobAppender.h"
#include "controller/SiteSettings.h"
#include "controller/WorkerLink.h"
#include "tests/controller/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <stdexcept>
#include <thread>

namespace sapphiredale::controller {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ControllerTest);
    CPPUNIT_TEST(settingsAreRead);
    CPPUNIT_TEST(allFaultsOfSettingsAreReported);
    CPPUNIT_TEST(innerMessagesRoundTrip);
    CPPUNIT_TEST(messagesOfEarlierVersionsAreRead);
    CPPUNIT_TEST(daemonWithoutAdviserGetsNoQuestions);
    CPPUNIT_TEST(authorizationReachesTheHandler);
    CPPUNIT_TEST(refusedRecordFailsAtOnceAndStoreIsProbed);
    CPPUNIT_TEST(unansweredRecordIsRetried);
    CPPUNIT_TEST(leaseOfUnresponsiveWorkerIsNotExtended);
    CPPUNIT_TEST(answerOfAnEarlierProcessDoesNotSetTheClock);
    CPPUNIT_TEST(lateCallsToAnEarlierProcessAreRejectedByTheLaterOne);
    CPPUNIT_TEST(rejectionByAnotherCallOfTheTermDoesNotEndIt);
    CPPUNIT_TEST(callAfterAnUnansweredOneAcknowledgesNothing);
    CPPUNIT_TEST(clockOfAStartTellsThatTheWorkerHasRestarted);
    CPPUNIT_TEST(malformedRowFailsTheReport);
    CPPUNIT_TEST(lostOrderDelaysNoOtherOne);
    CPPUNIT_TEST(listenerOpensAfterAddressInUse);
    CPPUNIT_TEST(orderIsNotSentAfterItsTime);
    CPPUNIT_TEST(startIsNotSentAgainAfterItsConnectionBroke);
    CPPUNIT_TEST(exceptionEndsOneHandler);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* settings = R"({
        // A daemon of a test.
        "daemon": "d1", "failureDomain": "z1",
        "listeners": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "inner": "127.0.0.1:3", "operators": "127.0.0.1:4"},
        "store": "127.0.0.1:5", "host": {"cores": 0.25, "linkMbps": 10, "memoryMb": 256},
    })";

    static inline const LinkAuthority unlimited { [] { return TimePoint::max(); }, [] { return std::uint64_t { 1 }; } };

    /// Sends a start of the run, whose outcome is none until it is known.
    static void sendStart(WorkerLink& link, std::uint32_t run, std::optional<jobs::StartOutcome>& outcome)
    {
        outcome.reset();
        link.start({ WorkerId("i-1"), { { JobId("j"), {} }, run }, "", "", "" },
            [&outcome](const userplatform::StartAnswer& answer) { outcome = answer.m_outcome; });
    }

public:
    void settingsAreRead()
    {
        const SiteSettingsResult result = parseSiteSettings(settings);
        const auto* read = std::get_if<SiteSettings>(&result);
        CPPUNIT_ASSERT(read != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:5"), read->m_store);
        CPPUNIT_ASSERT_EQUAL(250U, read->m_coreMillis);
        CPPUNIT_ASSERT_EQUAL(10U, read->m_linkMbps);
        CPPUNIT_ASSERT_EQUAL(256U, read->m_memoryMb);
    }

    void allFaultsOfSettingsAreReported()
    {
        const SiteSettingsResult result = parseSiteSettings(
            R"({"daemon": "", "daemon": "d", "listeners": {"callers": 5}, "store": "x", "host": {"cores": -1, "memoryMb": 1}, "more": 1})");
        const auto* faults = std::get_if<std::vector<daemon::SettingsFault>>(&result);
        CPPUNIT_ASSERT(faults != nullptr);
        // The repeated member, failureDomain, four listeners, store, cores, memory and the unknown member.
        CPPUNIT_ASSERT_EQUAL_MESSAGE(daemon::describe(*faults), std::size_t(10), faults->size());
    }

    void innerMessagesRoundTrip()
    {
        const inner::Hello hello { DaemonId("d"), "127.0.0.1:1", true };
        CPPUNIT_ASSERT(valueOf(inner::decodeHello(inner::encode(hello))) == hello);
        const jobs::AdviceRequest question { { JobId("j"), 1, 2 }, { WorkerId("a"), WorkerId("b") }, milliseconds(40) };
        CPPUNIT_ASSERT(valueOf(inner::decodeQuestion(inner::encode(question))) == question);
        const jobs::Advice reply { { { WorkerId("a"), "t" } }, milliseconds(2000) };
        CPPUNIT_ASSERT(valueOf(inner::decodeAdvice(inner::encode(reply))) == reply);
        const inner::StoreRequest record { "k", "v" };
        CPPUNIT_ASSERT(valueOf(inner::decodeStoreRequest(inner::encode(record))) == record);
        CPPUNIT_ASSERT(!succeeded(inner::decodeHello("{}")));
        CPPUNIT_ASSERT(!succeeded(inner::decodeAdvice(R"({"tickets":[1],"validityMicros":1})")));
        CPPUNIT_ASSERT(!succeeded(inner::decodeState(R"({"value":9})")));
        const inner::StateAnswer state { jobs::JobState::Running, TeamId("a \"b\"") };
        CPPUNIT_ASSERT(valueOf(inner::decodeState(inner::encode(state))) == state);
        const TimePoint now { seconds(100) };
        const std::vector<jobs::TeamRefusal> refused { { TeamId("a"), now + milliseconds(1500) },
            { TeamId("b"), now + seconds(9) } };
        // The clocks of the two daemons differ.
        const auto decoded = inner::decodeRefusedTeams(inner::encodeRefusedTeams(refused, now), now + seconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decoded.size());
        CPPUNIT_ASSERT(decoded[0].m_team == TeamId("a") && decoded[0].m_until == now + milliseconds(1001500));
        CPPUNIT_ASSERT(decoded[1].m_team == TeamId("b") && decoded[1].m_until == now + seconds(1009));
    }

    // Guards against daemons that cannot talk to each other while a cell is being upgraded, and against refusals that
    // come from an unreadable answer.
    void messagesOfEarlierVersionsAreRead()
    {
        CPPUNIT_ASSERT((
            valueOf(inner::decodeState(R"({"value":1})")) == inner::StateAnswer { jobs::JobState::Running, TeamId() }));
        CPPUNIT_ASSERT(valueOf(inner::decodeHello(R"({"daemon":"d","address":"x","leaving":false})")).m_asksAdviser);
        const TimePoint now { seconds(100) };
        for (const char* text : { "", "{}", "[]", R"({"refused":7})", R"({"refused":[7,{"team":"a"},{"untilMs":5}]})",
                 R"({"refused":[{"team":"","untilMs":5},{"team":"a","untilMs":"x"}]})" })
            CPPUNIT_ASSERT_MESSAGE(text, inner::decodeRefusedTeams(text, now).empty());
        const auto extreme = inner::decodeRefusedTeams(
            R"({"refused":[{"team":"a","untilMs":9223372036854775807},{"team":"b","untilMs":-5}]})", now);
        CPPUNIT_ASSERT(extreme.at(0).m_until <= now + std::chrono::hours(1) && extreme.at(1).m_until == now);
    }

    // Guards against questions to daemons that say hello only to learn of refused teams.
    void daemonWithoutAdviserGetsNoQuestions()
    {
        boost::asio::io_context context;
        AdviceDispatcher dispatcher(context, nullptr);
        dispatcher.helloReceived({ DaemonId("a"), "127.0.0.1:1", false, false });
        CPPUNIT_ASSERT_EQUAL(0U, static_cast<unsigned>(dispatcher.capacity().m_all));
        dispatcher.helloReceived({ DaemonId("b"), "127.0.0.1:2", false, true });
        CPPUNIT_ASSERT_EQUAL(1U, static_cast<unsigned>(dispatcher.capacity().m_all));
    }

    // Guards against keys that the listener does not pass on, against a second header that is overlooked, and against
    // a 401 that does not name the scheme.
    void authorizationReachesTheHandler()
    {
        boost::asio::io_context context;
        std::vector<std::string> seen;
        HttpListener listener(context, "", [&](const ServerRequest& request, const Responder& respond) {
            seen.push_back(request.m_authorization);
            ServerResponse answer { 401, "{}" };
            answer.m_authenticate = "Bearer";
            respond(std::move(answer));
        });
        const std::string address = openOnFreePort(listener);
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        std::string answers;
        for (const char* headers :
            { "", "authorization:  Bearer k \r\n", "Authorization: Bearer k\r\nAuthorization: Bearer l\r\n" }) {
            boost::asio::ip::tcp::socket socket(context);
            socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
            boost::asio::write(socket,
                boost::asio::buffer(
                    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + std::string(headers) + "\r\n"));
            bool isEnded = false;
            std::string answer;
            boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n\r\n",
                [&](boost::system::error_code, std::size_t) { isEnded = true; });
            runUntil(context, [&] { return isEnded; });
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("WWW-Authenticate: Bearer\r\n") != std::string::npos);
        }
        CPPUNIT_ASSERT((seen == std::vector<std::string> { "", "Bearer k", "" }));
    }

    void refusedRecordFailsAtOnceAndStoreIsProbed()
    {
        boost::asio::io_context context;
        bool isUnavailable = true;
        HttpListener store(context, "", [&](const ServerRequest&, const Responder& respond) {
            respond({ isUnavailable ? 503U : 200U, R"({"offset":0,"end":1})" });
        });
        JobAppender appender(context, openOnFreePort(store), { "keyed.jobs" }, 4);
        std::optional<StoreOutcome> first;
        appender.append("a", "1", bootNow() + std::chrono::seconds(5), [&](StoreOutcome outcome) { first = outcome; });
        runUntil(context, [&] { return first.has_value(); });
        CPPUNIT_ASSERT(first == StoreOutcome::NotStored);
        CPPUNIT_ASSERT(appender.isStoreUnavailable());
        // Refused without a call to the store, so the record is certainly not stored.
        std::optional<StoreOutcome> second;
        appender.append("b", "1", bootNow() + std::chrono::seconds(5), [&](StoreOutcome outcome) { second = outcome; });
        CPPUNIT_ASSERT(second == StoreOutcome::NotStored);
        isUnavailable = false;
        runUntil(context, [&] { return !appender.isStoreUnavailable(); });
        std::optional<StoreOutcome> third;
        appender.append("c", "1", bootNow() + std::chrono::seconds(5), [&](StoreOutcome outcome) { third = outcome; });
        runUntil(context, [&] { return third.has_value(); });
        CPPUNIT_ASSERT(third == StoreOutcome::Stored);
    }

    void unansweredRecordIsRetried()
    {
        boost::asio::io_context context;
        std::vector<Responder> held;
        HttpListener store(context, "", [&](const ServerRequest&, const Responder& respond) {
            // The answer to the first append never comes.
            if (held.empty())
                return held.push_back(respond);
            respond({ 200, R"({"offset":0,"end":1})" });
        });
        JobAppender appender(context, openOnFreePort(store), { "keyed.jobs" }, 4);
        std::optional<StoreOutcome> outcome;
        appender.append("a", "1", bootNow() + std::chrono::seconds(6), [&](StoreOutcome known) { outcome = known; });
        runUntil(context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome == StoreOutcome::Stored);
        held.clear();
    }

    // Guards against extending the lease of a worker that no longer answers, which would then never end.
    void leaseOfUnresponsiveWorkerIsNotExtended()
    {
        boost::asio::io_context context;
        bool answers = true;
        std::vector<Responder> held;
        HttpListener worker(context, "", [&](const ServerRequest&, const Responder& respond) {
            if (!answers)
                return held.push_back(respond);
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[],"finished":[]})" });
        });
        LinkSettings link;
        link.m_maxReportAge = milliseconds(0);
        jobs::CallTiming timing;
        WorkerLink workerLink(context, link, unlimited, timing, WorkerId("i-1"), openOnFreePort(worker));
        bool hasReported = false;
        workerLink.awaitReport(0, [&](const Result<jobs::WorkerReport>& report) { hasReported = succeeded(report); });
        runUntil(context, [&] { return hasReported; });
        const TimePoint before = workerLink.leaseEnd();
        answers = false;
        workerLink.awaitReport(0, [](const Result<jobs::WorkerReport>&) {});
        runUntil(context, [&] { return !held.empty(); });
        CPPUNIT_ASSERT(workerLink.leaseEnd() == before);
        held.clear();
    }

    // Guards against a lease that is reckoned with the clock of a worker's earlier process, whose answer was read after
    // one of the later process. It would be far longer than the scheduler assumes.
    void answerOfAnEarlierProcessDoesNotSetTheClock()
    {
        boost::asio::io_context context;
        std::string answer = R"({"clock_ms":1000,"born":2,"running":[],"finished":[]})";
        std::int64_t runUntilMs = 0;
        HttpListener worker(context, "", [&](const ServerRequest& request, const Responder& respond) {
            const boost::json::value body = boost::json::parse(request.m_body);
            if (const boost::json::value* until = body.as_object().if_contains("until_ms"))
                runUntilMs = until->as_int64();
            respond({ 200, answer });
        });
        jobs::CallTiming timing;
        const LinkSettings link;
        WorkerLink workerLink(context, link, unlimited, timing, WorkerId("i-1"), openOnFreePort(worker));
        const auto fetch = [&] {
            bool hasReported = false;
            workerLink.fetchReport(0, [&](const Result<jobs::WorkerReport>&) { hasReported = true; });
            runUntil(context, [&] { return hasReported; });
        };
        fetch();
        answer = R"({"clock_ms":500000,"born":1,"running":[],"finished":[]})";
        fetch();
        fetch();
        const std::int64_t mostMs = 1000 + millisecondsOf(link.m_lease + link.m_maxReportAge);
        CPPUNIT_ASSERT(runUntilMs > 0);
        CPPUNIT_ASSERT_MESSAGE("until " + std::to_string(runUntilMs), runUntilMs <= mostMs);
    }

    // Guards against a call to a worker's earlier process that the later one carries out after calls that were meant
    // for it: workers compare the numbers of calls, so those to the later process need a higher one.
    void lateCallsToAnEarlierProcessAreRejectedByTheLaterOne()
    {
        boost::asio::io_context context;
        int bornMs = 1;
        std::int64_t number = 0;
        std::uint64_t newestNumber = 7;
        HttpListener worker(context, "", [&](const ServerRequest& request, const Responder& respond) {
            number = boost::json::parse(request.m_body).as_object().at("fencing_token").as_int64();
            respond(
                { 200, R"({"clock_ms":1000,"born":)" + std::to_string(bornMs) + R"(,"running":[],"finished":[]})" });
        });
        jobs::CallTiming timing;
        WorkerLink workerLink(context, {}, { unlimited.m_leaseLimit, [&] { return newestNumber; } }, timing,
            WorkerId("i-1"), openOnFreePort(worker));
        const auto fetch = [&] {
            bool hasReported = false;
            workerLink.fetchReport(0, [&](const Result<jobs::WorkerReport>&) { hasReported = true; });
            runUntil(context, [&] { return hasReported; });
        };
        fetch();
        const std::int64_t numberOfEarlierProcess = number;
        newestNumber = 9;
        fetch();
        CPPUNIT_ASSERT_EQUAL(numberOfEarlierProcess, number);
        bornMs = 2;
        fetch();
        fetch();
        CPPUNIT_ASSERT(number > numberOfEarlierProcess);
    }

    // Guards against a worker that restarted and forgets the ends of its later process, which no report has listed,
    // because a call acknowledges as many ends of the earlier one: their tasks would run again.
    void callAfterAnUnansweredOneAcknowledgesNothing()
    {
        boost::asio::io_context context;
        bool answers = true;
        std::int64_t acknowledged = -1;
        std::vector<Responder> held;
        HttpListener worker(context, "", [&](const ServerRequest& request, const Responder& respond) {
            if (!answers)
                return held.push_back(respond);
            const boost::json::value body = boost::json::parse(request.m_body);
            if (const boost::json::value* cursor = body.as_object().if_contains("ack_cursor"))
                acknowledged = cursor->as_int64();
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[],"finished":[]})" });
        });
        jobs::CallTiming timing;
        WorkerLink workerLink(context, {}, unlimited, timing, WorkerId("i-1"), openOnFreePort(worker));
        const auto fetch = [&] {
            bool hasEnded = false;
            workerLink.fetchReport(57, [&](const Result<jobs::WorkerReport>&) { hasEnded = true; });
            runUntil(context, [&] { return hasEnded; });
        };
        fetch();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(57), acknowledged);
        answers = false;
        fetch();
        answers = true;
        // An answer to another call does not name the process.
        bool hasStopped = false;
        workerLink.stop({ WorkerId("i-1"), {} }, [&](bool) { hasStopped = true; });
        runUntil(context, [&] { return hasStopped; });
        fetch();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), acknowledged);
        fetch();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(57), acknowledged);
        held.clear();
    }

    // Guards against a start by a later process of its worker that counts as one by the earlier process: the lease and
    // the numbers of its ends are others.
    void clockOfAStartTellsThatTheWorkerHasRestarted()
    {
        boost::asio::io_context context;
        std::int64_t clockMs = 500000;
        std::int64_t acknowledged = -1;
        HttpListener worker(context, "", [&](const ServerRequest& request, const Responder& respond) {
            const boost::json::value body = boost::json::parse(request.m_body);
            if (const boost::json::value* cursor = body.as_object().if_contains("ack_cursor"))
                acknowledged = cursor->as_int64();
            respond({ 200, R"({"clock_ms":)" + std::to_string(clockMs) + R"(,"born":1,"running":[],"finished":[]})" });
        });
        jobs::CallTiming timing;
        WorkerLink workerLink(context, {}, unlimited, timing, WorkerId("i-1"), openOnFreePort(worker));
        const auto fetch = [&] {
            bool hasEnded = false;
            workerLink.fetchReport(57, [&](const Result<jobs::WorkerReport>&) { hasEnded = true; });
            runUntil(context, [&] { return hasEnded; });
        };
        const auto start = [&] {
            std::optional<jobs::StartOutcome> outcome;
            workerLink.start({ WorkerId("i-1"), {}, {}, {}, {} },
                [&](const userplatform::StartAnswer& answer) { outcome = answer.m_outcome; });
            runUntil(context, [&] { return outcome.has_value(); });
            return *outcome;
        };
        fetch();
        CPPUNIT_ASSERT(start() == jobs::StartOutcome::Started);
        clockMs = 700;
        CPPUNIT_ASSERT(start() == jobs::StartOutcome::StartedInUnknownProcess);
        fetch();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), acknowledged);
        CPPUNIT_ASSERT(start() == jobs::StartOutcome::Started);
    }

    // Guards against a term that ends because a worker rejects a call with a lower number than another call of the same
    // term, for example one to a worker that was at this address before.
    void rejectionByAnotherCallOfTheTermDoesNotEndIt()
    {
        boost::asio::io_context context;
        std::int64_t highest = 9;
        std::uint64_t newestNumber = 7;
        HttpListener worker(context, "", [&](const ServerRequest& request, const Responder& respond) {
            if (boost::json::parse(request.m_body).as_object().at("fencing_token").as_int64() < highest)
                return respond({ 409, R"({"clock_ms":1000,"reason":"fence"})" });
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[],"finished":[]})" });
        });
        jobs::CallTiming timing;
        WorkerLink workerLink(context, {}, { unlimited.m_leaseLimit, [&] { return newestNumber; } }, timing,
            WorkerId("i-1"), openOnFreePort(worker));
        const auto failureOfFetch = [&] {
            std::optional<std::optional<ErrorKind>> kind;
            workerLink.fetchReport(0, [&](const Result<jobs::WorkerReport>& report) {
                kind = succeeded(report) ? std::nullopt : std::optional(errorOf(report).m_kind);
            });
            runUntil(context, [&] { return kind.has_value(); });
            return *kind;
        };
        std::optional<jobs::StartOutcome> outcome;
        newestNumber = 9;
        sendStart(workerLink, 1, outcome);
        runUntil(context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(*outcome == jobs::StartOutcome::Refused);
        CPPUNIT_ASSERT(!failureOfFetch());
        highest = 11;
        newestNumber = 10;
        CPPUNIT_ASSERT(failureOfFetch() == ErrorKind::NoMinion);
        CPPUNIT_ASSERT(failureOfFetch() == ErrorKind::StaleEpoch);
    }

    // A row that cannot be read used to be left out, so that a run counted as ended and was started again elsewhere.
    void malformedRowFailsTheReport()
    {
        boost::asio::io_context context;
        const std::string good = R"(["j.0.0.0",1,"",50])";
        std::string running;
        std::string finished;
        HttpListener worker(context, "", [&](const ServerRequest&, const Responder& respond) {
            respond(
                { 200, R"({"clock_ms":1000,"born":1,"running":[)" + running + R"(],"finished":[)" + finished + "]}" });
        });
        jobs::CallTiming timing;
        WorkerLink workerLink(context, {}, unlimited, timing, WorkerId("i-1"), openOnFreePort(worker));
        const auto isAccepted = [&] {
            std::optional<bool> accepted;
            workerLink.fetchReport(0, [&](const Result<jobs::WorkerReport>& report) { accepted = succeeded(report); });
            runUntil(context, [&] { return accepted.has_value(); });
            return *accepted;
        };
        running = good;
        finished = R"([1,"j.0.0.1",1,"done",""])";
        CPPUNIT_ASSERT(isAccepted());
        for (const char* row : { "7", "[]", R"(["j.0.0",1,"",50])", R"(["j.0.0.0",-1,"",50])", R"(["j.0.0.0","x"])",
                 R"(["j.0.0.99999999999",1])", R"(["j.0.0.0",1e300])" }) {
            running = good + ',' + row;
            CPPUNIT_ASSERT_MESSAGE(row, !isAccepted());
        }
        running = good;
        for (const char* row : { "7", "[]", R"([1e300,"j.0.0.1",1,"done",""])", R"([-1,"j.0.0.1",1,"done",""])",
                 R"(["1","j.0.0.1",1,"done",""])", R"([1,"j",1,"done",""])" }) {
            finished = row;
            CPPUNIT_ASSERT_MESSAGE(row, !isAccepted());
        }
    }

    // Orders to a worker share two connections; those behind a lost order used to wait until its timeout.
    void lostOrderDelaysNoOtherOne()
    {
        boost::asio::io_context context;
        std::vector<Responder> lost;
        int confirmed = 0;
        HttpListener worker(context, "", [&](const ServerRequest& request, const Responder& respond) {
            if (request.m_body.find("lost") != std::string::npos)
                return lost.push_back(respond);
            respond({ 200, R"({"clock_ms":1000,"born":1})" });
        });
        jobs::CallTiming timing;
        WorkerLink workerLink(context, {}, unlimited, timing, WorkerId("i-1"), openOnFreePort(worker));
        const auto stop = [&](const char* job) {
            workerLink.stop({ WorkerId("i-1"), { { JobId(job), {} }, 1 } },
                [&](bool isConfirmed) { confirmed += isConfirmed ? 1 : 0; });
        };
        stop("lost");
        runUntil(context, [&] { return !lost.empty(); });
        for (int i = 1; i <= 6; ++i) {
            stop("other");
            runUntil(context, [&] { return confirmed == i || lost.size() > 1; });
        }
        // None of them has waited for the timeout of the first one, which is still unanswered.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lost.size());
        lost.clear();
    }

    // An order that waited in a process which was paused or busy used to be sent when the process went on, although the
    // permission behind it had run out.
    void orderIsNotSentAfterItsTime()
    {
        boost::asio::io_context context;
        int starts = 0;
        HttpListener worker(context, "", [&](const ServerRequest& request, const Responder& respond) {
            starts += request.m_target == "/-/run-start" ? 1 : 0;
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[],"finished":[]})" });
        });
        jobs::CallTiming timing;
        WorkerLink workerLink(context, {}, unlimited, timing, WorkerId("i-1"), openOnFreePort(worker));
        std::optional<jobs::StartOutcome> outcome;
        sendStart(workerLink, 1, outcome);
        runUntil(context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome == jobs::StartOutcome::Started);
        sendStart(workerLink, 2, outcome);
        std::this_thread::sleep_for(2 * timing.timeout());
        runUntil(context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome == jobs::StartOutcome::NotSent);
        CPPUNIT_ASSERT_EQUAL(1, starts);
        // The connection is as good as before.
        sendStart(workerLink, 3, outcome);
        runUntil(context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome == jobs::StartOutcome::Started);
    }

    // Guards against two copies of a start, of which the scheduler knows the second one only: the first may be carried
    // out seconds later, after the run has ended.
    void startIsNotSentAgainAfterItsConnectionBroke()
    {
        namespace asio = boost::asio;
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
        const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        int starts = 0;
        // Counts the next start that arrives on the connection, and leaves it unanswered.
        const auto receive = [&](asio::ip::tcp::socket& socket, std::string& input) {
            input.clear();
            asio::async_read_until(socket, asio::dynamic_buffer(input), '}',
                [&](boost::system::error_code error, std::size_t) { starts += error ? 0 : 1; });
        };
        asio::ip::tcp::socket first(context);
        std::string input;
        acceptor.async_accept(first, [&](boost::system::error_code) { receive(first, input); });
        jobs::CallTiming timing;
        WorkerLink workerLink(context, {}, unlimited, timing, WorkerId("i-1"), address);
        std::optional<jobs::StartOutcome> outcome;
        sendStart(workerLink, 1, outcome);
        runUntil(context, [&] { return starts == 1; });
        asio::write(first,
            asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"clock_ms\":1000,\"born\":1}")));
        runUntil(context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome == jobs::StartOutcome::Started);
        asio::ip::tcp::socket second(context);
        std::string laterInput;
        acceptor.async_accept(second, [&](boost::system::error_code) { receive(second, laterInput); });
        receive(first, input);
        sendStart(workerLink, 2, outcome);
        runUntil(context, [&] { return starts == 2; });
        first.close();
        runUntil(context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT_EQUAL(2, starts);
        CPPUNIT_ASSERT(outcome == jobs::StartOutcome::Unknown);
    }

    void exceptionEndsOneHandler()
    {
        boost::asio::io_context context;
        std::vector<std::string> seen;
        boost::asio::post(context, [] { throw std::runtime_error("out of range"); });
        boost::asio::post(context, [&] { seen.emplace_back("next handler"); });
        runGuarded(context, [&](const char* error) { seen.emplace_back(error); });
        CPPUNIT_ASSERT((seen == std::vector<std::string> { "out of range", "next handler" }));
    }

    // Guards against an acceptor that stays open after a failed bind, so that no other address can be opened.
    void listenerOpensAfterAddressInUse()
    {
        boost::asio::io_context context;
        const auto ignore = [](const ServerRequest&, const Responder&) {};
        HttpListener first(context, "", ignore);
        const std::string taken = openOnFreePort(first);
        HttpListener second(context, "", ignore);
        CPPUNIT_ASSERT(!succeeded(second.open(taken)));
        CPPUNIT_ASSERT(openOnFreePort(second) != taken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControllerTest);

} // namespace sapphiredale::controller
