// Log and host list clients against the stand-in, and the channel against servers that misbehave.

#include "platform/HttpChannel.h"
#include "standin/Clock.h"
#include "standin/HttpServer.h"
#include "tests/platform/StandinFixture.h"

namespace sapphiredale::platform {

class LogClientTest : public StandinFixture {
    CPPUNIT_TEST_SUITE(LogClientTest);
    CPPUNIT_TEST(anAppendWhoseAnswerIsLostIsReadBack);
    CPPUNIT_TEST(aReadThatWaitsEndsWithAnAppend);
    CPPUNIT_TEST(readsShowLostRecordsAndTheEnd);
    CPPUNIT_TEST(anOutageIsReportedAsNotRun);
    CPPUNIT_TEST(aSlowLogHitsTheDeadline);
    CPPUNIT_TEST(aQueuedCallThatExpiresWasNotSent);
    CPPUNIT_TEST(concurrentAppendsGetTheirOwnAnswers);
    CPPUNIT_TEST(theHostListShowsLeavingAndGoneHosts);
    CPPUNIT_TEST(aServerThatIsNotThereIsReportedAsNotRun);
    CPPUNIT_TEST(cutAndMalformedAndLargeAnswersAreErrors);
    CPPUNIT_TEST(aLateAnswerIsNotGivenToTheNextCall);
    CPPUNIT_TEST(closingTheClientEndsItsCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lost answer that is taken for a failed append, and against a client that appends twice.
    void anAppendWhoseAnswerIsLostIsReadBack()
    {
        HttpLogService log(m_clients->m_context, settings(m_standin->logAddress()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), valueOf(append(log, { "first" })));
        control("log", R"({"loseAppendAnswers":1})");
        const auto lost = append(log, { "batch-17" });
        CPPUNIT_ASSERT(!succeeded(lost));
        CPPUNIT_ASSERT(errorOf(lost).m_kind == ErrorKind::OutcomeUnknown);
        const LogPage page = valueOf(read(log, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), page.m_records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("batch-17"), page.m_records.front().m_data);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), valueOf(append(log, { "next" })));
    }

    // Guards against a long poll that sleeps through an append, and against an immediate read queued behind it.
    void aReadThatWaitsEndsWithAnAppend()
    {
        HttpLogService log(m_clients->m_context, settings(m_standin->logAddress()));
        auto poll = start<LogPage>([&](auto handler) { log.read("s", 0, 1000, forever, forever * 2, handler); });
        CPPUNIT_ASSERT(valueOf(read(log, 0)).m_records.empty());
        valueOf(append(log, { "a", "b" }));
        const auto page = poll.get();
        CPPUNIT_ASSERT(succeeded(page));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), valueOf(page).m_records.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), valueOf(page).m_next);
    }

    // Guards against records that vanish without a sign, and against reads beyond the limit of bytes.
    void readsShowLostRecordsAndTheEnd()
    {
        HttpLogService log(m_clients->m_context, settings(m_standin->logAddress()));
        valueOf(append(log, { "0", "1", "2", "3", "4" }));
        control("log", R"({"truncate":{"stream":"s","before":2}})");
        const LogPage page = valueOf(read(log, 0, 2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), page.m_earliest);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), page.m_next);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), page.m_records.front().m_offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), valueOf(read(log, 1000000)).m_next);
    }

    // Guards against "may have run" for an append that the log rejected.
    void anOutageIsReportedAsNotRun()
    {
        HttpLogService log(m_clients->m_context, settings(m_standin->logAddress()));
        control("log", R"({"outage":"refuse"})");
        const auto refused = append(log, { "a" });
        CPPUNIT_ASSERT(!succeeded(refused));
        CPPUNIT_ASSERT(errorOf(refused).m_kind == ErrorKind::LogUnavailable);
        control("log", R"({"outage":"close"})");
        const auto closed = append(log, { "a" });
        CPPUNIT_ASSERT(!succeeded(closed));
        CPPUNIT_ASSERT(!definitelyNotRun(errorOf(closed)));
        control("log", R"({"outage":"none"})");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), valueOf(append(log, { "a" })));
    }

    // Guards against calls that wait for a slow server without end, and against "not run" for what runs late.
    void aSlowLogHitsTheDeadline()
    {
        HttpLogService log(m_clients->m_context, settings(m_standin->logAddress()));
        control("log", R"({"outage":"hang"})");
        const auto slow = append(log, { "late" }, std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(!succeeded(slow));
        CPPUNIT_ASSERT(errorOf(slow).m_kind == ErrorKind::DeadlineExceededMayHaveRun);
        control("log", R"({"outage":"none"})");
        const auto late = await<LogPage>([&](auto handler) { log.read("s", 0, 1000, forever, forever * 2, handler); });
        CPPUNIT_ASSERT_EQUAL(std::string("late"), valueOf(late).m_records.front().m_data);
    }

    // Guards against "may have run" for a call that never left the queue.
    void aQueuedCallThatExpiresWasNotSent()
    {
        HttpLogService log(m_clients->m_context, settings(m_standin->logAddress()));
        control("log", R"({"outage":"hang"})");
        auto first = start<std::uint64_t>([&](auto handler) { log.append("s", { "1" }, forever, handler); });
        const auto queued = append(log, { "2" }, std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(!succeeded(queued));
        CPPUNIT_ASSERT(errorOf(queued).m_kind == ErrorKind::DeadlineExceeded);
        control("log", R"({"outage":"none"})");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), valueOf(first.get()));
    }

    // Guards against answers that are given to another call under load.
    void concurrentAppendsGetTheirOwnAnswers()
    {
        HttpSettings shared = settings(m_standin->logAddress());
        shared.m_maxQueuedCalls = 400;
        HttpLogService one(m_clients->m_context, shared);
        HttpLogService two(m_clients->m_context, shared);
        std::vector<std::future<Result<std::uint64_t>>> calls;
        for (int i = 0; i < 400; ++i)
            calls.push_back(start<std::uint64_t>(
                [&](auto handler) { (i % 2 == 0 ? one : two).append("s", { std::to_string(i) }, forever, handler); }));
        std::vector<std::uint64_t> offsets;
        for (auto& call : calls)
            offsets.push_back(valueOf(call.get()));
        const LogPage page = valueOf(read(one, 0, 1000000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(400), page.m_records.size());
        for (std::size_t i = 0; i < offsets.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), page.m_records[offsets[i]].m_data);
    }

    // Guards against a host state that is read as another one.
    void theHostListShowsLeavingAndGoneHosts()
    {
        HttpHostList list(m_clients->m_context, settings(m_standin->hostsAddress()));
        control("hosts", R"({"hosts":["w1"],"state":"leaving"})");
        control("hosts", R"({"hosts":["w2"],"state":"gone"})");
        const auto answer = await<HostSnapshot>([&](auto handler) { list.hosts(forever, handler); });
        CPPUNIT_ASSERT(succeeded(answer));
        const std::vector<HostEntry> expected { { "w1", HostState::Leaving, FailureDomainId("lokeren") },
            { "w2", HostState::Gone, FailureDomainId("lokeren") } };
        CPPUNIT_ASSERT(expected == valueOf(answer).m_hosts);
    }

    // Guards against "may have run" where no connection existed.
    void aServerThatIsNotThereIsReportedAsNotRun()
    {
        const std::string address = m_standin->logAddress();
        m_standin.reset();
        HttpLogService log(m_clients->m_context, settings(address));
        for (int i = 0; i < 3; ++i) {
            const auto answer = append(log, { "a" });
            CPPUNIT_ASSERT(!succeeded(answer));
            CPPUNIT_ASSERT(errorOf(answer).m_kind == ErrorKind::LogUnavailable);
        }
        HttpLogService badAddress(m_clients->m_context, settings("no address"));
        CPPUNIT_ASSERT(errorOf(append(badAddress, { "a" })).m_kind == ErrorKind::InvalidRequest);
    }

    // Guards against a partial, foreign or unbounded answer that is taken for a complete one.
    void cutAndMalformedAndLargeAnswersAreErrors()
    {
        standin::HttpReply reply;
        const auto server = std::make_shared<standin::HttpServer>(m_clients->m_context,
            [&reply](const standin::HttpRequest&, standin::Connection&) -> boost::asio::awaitable<standin::HttpReply> {
                co_return reply;
            });
        HttpSettings limited = settings(valueOf(server->listen("127.0.0.1", 0)));
        limited.m_maxResponseBytes = 1000;
        HttpLogService log(m_clients->m_context, limited);
        const auto kindFor = [&](std::string body, std::optional<std::size_t> cutAfter) {
            reply.m_body = std::move(body);
            reply.m_cutAfter = cutAfter;
            const auto answer = append(log, { "a" });
            CPPUNIT_ASSERT(!succeeded(answer));
            return errorOf(answer).m_kind;
        };
        CPPUNIT_ASSERT(kindFor(R"({"firstOffset":1})", 8) == ErrorKind::AnswerTruncated);
        CPPUNIT_ASSERT(kindFor(R"({"firstOffset":-1})", std::nullopt) == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(kindFor(R"([])", std::nullopt) == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(kindFor("{", std::nullopt) == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(kindFor(std::string(2000, ' '), std::nullopt) == ErrorKind::AnswerTruncated);
        server->close();
    }

    // Guards against an answer that arrives after its call's deadline and is given to the next call.
    void aLateAnswerIsNotGivenToTheNextCall()
    {
        const auto server = std::make_shared<standin::HttpServer>(m_clients->m_context,
            [](const standin::HttpRequest& request,
                standin::Connection& its) -> boost::asio::awaitable<standin::HttpReply> {
                if (request.m_path == "/late")
                    co_await its.delayUntil(standin::currentTime() + std::chrono::milliseconds(100));
                standin::HttpReply reply;
                reply.m_body = request.m_path;
                co_return reply;
            });
        HttpChannel channel(m_clients->m_context, settings(valueOf(server->listen("127.0.0.1", 0))), ClientKind::Log,
            ErrorKind::LogUnavailable);
        const auto get = [&](const std::string& path, Duration timeout) {
            return await<HttpAnswer>([&](auto handler) { channel.send({ "GET", path, "", timeout, true }, handler); });
        };
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(!succeeded(get("/late", std::chrono::milliseconds(20))));
            const auto next = get("/next", forever);
            CPPUNIT_ASSERT(succeeded(next));
            CPPUNIT_ASSERT_EQUAL(std::string("/next"), valueOf(next).m_body);
        }
        server->close();
    }

    // Guards against handlers that are never called after the end of a client.
    void closingTheClientEndsItsCalls()
    {
        control("log", R"({"outage":"hang"})");
        auto log = std::make_unique<HttpLogService>(m_clients->m_context, settings(m_standin->logAddress()));
        auto first = start<std::uint64_t>([&](auto handler) { log->append("s", { "1" }, forever, handler); });
        auto second = start<std::uint64_t>([&](auto handler) { log->append("s", { "2" }, forever, handler); });
        log.reset();
        CPPUNIT_ASSERT(!succeeded(first.get()));
        CPPUNIT_ASSERT(errorOf(second.get()).m_kind == ErrorKind::ShuttingDown);
    }

private:
    static Result<std::uint64_t> append(
        HttpLogService& log, const std::vector<std::string>& records, Duration timeout = forever)
    {
        return await<std::uint64_t>([&](auto handler) { log.append("s", records, timeout, handler); });
    }

    static Result<LogPage> read(HttpLogService& log, std::uint64_t from, std::uint32_t maxBytes = 1000)
    {
        return await<LogPage>([&](auto handler) { log.read("s", from, maxBytes, Duration::zero(), forever, handler); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogClientTest);

} // namespace sapphiredale::platform
