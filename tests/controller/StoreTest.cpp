// Tests of the storage of accepted jobs and progress, and of the recovery of a term, while the store serves only some
// partitions.

#include "controller/JobAppender.h"
#include "controller/ProgressWriter.h"
#include "tests/controller/TermFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <thread>

namespace sapphiredale::controller {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fault = StoreStandIn::Fault;

class StoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreTest);
    CPPUNIT_TEST(refusedRecordGoesToTheNextPartition);
    CPPUNIT_TEST(unansweredRecordGoesToTheNextPartition);
    CPPUNIT_TEST(unresponsiveStoreIsUnavailableAfterTwoPartitions);
    CPPUNIT_TEST(progressMovesToAvailablePartition);
    CPPUNIT_TEST(writeCompletesOnceMoveIsAnnounced);
    CPPUNIT_TEST(laterTermStopsTheWriter);
    CPPUNIT_TEST(termBeginsWithoutUnavailablePartition);
    CPPUNIT_TEST(recordsThatArriveDuringRecoveryAreKept);
    CPPUNIT_TEST(progressOfUnknownJobsIsRemoved);
    CPPUNIT_TEST(viewIsCompleteSoonAfterOutage);
    CPPUNIT_TEST(longBacklogIsReadInParts);
    CPPUNIT_TEST(handoverEndsThoughWorkersReport);
    CPPUNIT_TEST(pausedSchedulerReadsTheRegistryBeforeItStarts);
    CPPUNIT_TEST(entryThatLapsedInAnOutageEndsNoRun);
    CPPUNIT_TEST(entryThatIsListedAgainEndsNoRun);
    CPPUNIT_TEST(workerReplacedAtItsAddressEndsItsRuns);
    CPPUNIT_TEST(malformedRecordsDelayNoOthers);
    CPPUNIT_TEST(storedRecordIsTakenUpBeforeItIsRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusedRecordGoesToTheNextPartition()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.part("keyed.jobs", 3).m_fault = Fault::Refuses;
        store.part("keyed.jobs", 0).m_fault = Fault::Refuses;
        JobAppender appender(context, store.address(), { "keyed.jobs", 3 }, 4);
        std::optional<StoreOutcome> outcome;
        appender.append("a", "1", bootNow() + seconds(3), [&](StoreOutcome known) { outcome = known; });
        runUntil(context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome == StoreOutcome::Stored);
        CPPUNIT_ASSERT(!appender.isStoreUnavailable());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.newest("keyed.jobs", 1).count("a"));
    }

    void unansweredRecordGoesToTheNextPartition()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.part("keyed.jobs", 0).m_fault = Fault::LosesAnswers;
        JobAppender appender(context, store.address(), { "keyed.jobs", 0 }, 4);
        std::optional<StoreOutcome> outcome;
        appender.append("a", "1", bootNow() + seconds(3), [&](StoreOutcome known) { outcome = known; });
        runUntil(context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome == StoreOutcome::Stored);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.newest("keyed.jobs", 0).count("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.newest("keyed.jobs", 1).count("a"));
    }

    // Guards against callers that wait for one unresponsive partition after the other until their deadlines.
    void unresponsiveStoreIsUnavailableAfterTwoPartitions()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        for (std::uint32_t part = 0; part < 4; ++part)
            store.part("keyed.jobs", part).m_fault = Fault::IsSilent;
        JobAppender appender(context, store.address(), { "keyed.jobs", 0 }, 4);
        appender.append("a", "1", bootNow() + seconds(30), [](StoreOutcome) {});
        runUntil(context, [&] { return appender.isStoreUnavailable(); });
        CPPUNIT_ASSERT_EQUAL(1U, store.part("keyed.jobs", 0).m_calls);
        CPPUNIT_ASSERT_EQUAL(1U, store.part("keyed.jobs", 1).m_calls);
        CPPUNIT_ASSERT_EQUAL(0U, store.part("keyed.jobs", 2).m_calls);
    }

    void progressMovesToAvailablePartition()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        std::vector<std::uint32_t> announced;
        ProgressWriter::Term term;
        term.m_number = 5;
        term.m_snapshot = [] { return ProgressWriter::Records { { "a", "newest" }, { "b", "old" } }; };
        term.m_announcePartition = [&](std::uint32_t partition) { announced.push_back(partition); };
        term.m_isPartitionAnnounced = [](std::uint32_t) { return true; };
        const auto writer = std::make_shared<ProgressWriter>(context, store.address(), term);
        std::optional<bool> isOpen;
        writer->open([&](bool result) { isOpen = result; });
        runUntil(context, [&] { return isOpen.has_value(); });
        store.part(progressTopic, 0).m_fault = Fault::Refuses;
        store.part(progressTopic, 1).m_fault = Fault::Refuses;
        std::optional<bool> isWritten;
        writer->write({ { "a", "new" } }, [&](bool result) { isWritten = result; });
        runUntil(context, [&] { return isWritten.has_value(); });
        CPPUNIT_ASSERT(isWritten == true);
        CPPUNIT_ASSERT(announced == std::vector<std::uint32_t> { 2 });
        CPPUNIT_ASSERT((store.newest(progressTopic, 2)
            == std::map<std::string, std::string> { { "a", "newest" }, { "b", "old" } }));
        // The epoch increases with each opening, so that late appends from before it are refused.
        CPPUNIT_ASSERT(store.part(progressTopic, 2).m_writers.begin()->second.first
            > store.part(progressTopic, 0).m_writers.begin()->second.first);
        isWritten.reset();
        writer->write({ { "a", "later" } }, [&](bool result) { isWritten = result; });
        runUntil(context, [&] { return isWritten.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("later"), store.newest(progressTopic, 2).at("a"));
        writer->stop();
    }

    // Guards against acknowledging a write before successors know which partition holds it.
    void writeCompletesOnceMoveIsAnnounced()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        bool isAnnounced = false;
        ProgressWriter::Term term;
        term.m_snapshot = [] { return ProgressWriter::Records { { "a", "1" } }; };
        term.m_announcePartition = [](std::uint32_t) {};
        term.m_isPartitionAnnounced = [&](std::uint32_t) { return isAnnounced; };
        const auto writer = std::make_shared<ProgressWriter>(context, store.address(), term);
        store.part(progressTopic, 0).m_fault = Fault::Refuses;
        bool isWritten = false;
        writer->write({ { "a", "1" } }, [&](bool) { isWritten = true; });
        runUntil(context, [&] { return store.newest(progressTopic, 1).contains("a"); });
        for (int i = 0; i < 20; ++i)
            context.run_one_for(milliseconds(5));
        CPPUNIT_ASSERT(!isWritten);
        isAnnounced = true;
        runUntil(context, [&] { return isWritten; });
        writer->stop();
    }

    void laterTermStopsTheWriter()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        const auto open = [&](std::uint64_t number) {
            ProgressWriter::Term term;
            term.m_number = number;
            auto writer = std::make_shared<ProgressWriter>(context, store.address(), term);
            bool isOpen = false;
            writer->open([&](bool result) { isOpen = result; });
            runUntil(context, [&] { return isOpen; });
            return writer;
        };
        const auto earlier = open(7);
        const auto later = open(8);
        std::optional<bool> isWritten;
        earlier->write({ { "a", "1" } }, [&](bool result) { isWritten = result; });
        runUntil(context, [&] { return isWritten.has_value(); });
        CPPUNIT_ASSERT(isWritten == false);
        CPPUNIT_ASSERT(store.newest(progressTopic).empty());
        earlier->stop();
        later->stop();
    }

    // Guards against a takeover that waits for unavailable partitions; a partial outage affects two of five.
    void termBeginsWithoutUnavailablePartition()
    {
        boost::asio::io_context context;
        StoreStandIn store(context, 2);
        store.put(jobTopic, 4, "running", jobText("running"));
        store.put(jobTopic, 4, "queued", jobText("queued"));
        store.put(jobTopic, 5, "other", jobText("other"));
        store.put(progressTopic, 0, "running", runningText());
        store.put(progressTopic, 0, "=running", jobText("running"));
        store.part(jobTopic, 4).m_fault = Fault::Refuses;
        TermFixture fixture(store, context);
        SchedulerTerm& term = *fixture.m_term;
        term.start();
        runUntil(context, [&] { return term.isRecovered(); });
        CPPUNIT_ASSERT(valueOf(term.state(JobId("running"))) == jobs::JobState::Running);
        CPPUNIT_ASSERT(succeeded(term.state(JobId("other"))));
        // A job must not be reported as nonexistent while it may be in the unavailable partition.
        CPPUNIT_ASSERT(errorOf(term.state(JobId("queued"))).m_kind == ErrorKind::NotReady);
        store.part(jobTopic, 4).m_fault = Fault::None;
        runUntil(context, [&] { return succeeded(term.state(JobId("queued"))); });
        CPPUNIT_ASSERT(valueOf(term.state(JobId("running"))) == jobs::JobState::Running);
    }

    // Guards against dropping records that are read while other partitions are still being listed.
    void recordsThatArriveDuringRecoveryAreKept()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "first", jobText("first"));
        store.part("keyed.servers").m_fault = Fault::Refuses;
        TermFixture fixture(store, context);
        SchedulerTerm& term = *fixture.m_term;
        term.start();
        runUntil(context, [&] { return store.part(jobTopic, 1).m_calls >= 2; });
        store.put(jobTopic, 1, "second", jobText("second"));
        runUntil(context, [&] { return store.part(jobTopic, 1).m_calls >= 3; });
        CPPUNIT_ASSERT(!term.isRecovered());
        store.part("keyed.servers").m_fault = Fault::None;
        runUntil(context, [&] { return term.isRecovered(); });
        CPPUNIT_ASSERT(succeeded(term.state(JobId("first"))));
        CPPUNIT_ASSERT(succeeded(term.state(JobId("second"))));
    }

    // Guards against a scheduler that lost power during an outage of the store being replaced only after the full wait
    // of a read once the store has recovered.
    void viewIsCompleteSoonAfterOutage()
    {
        struct Observer final : FollowerObserver {
            void recordRead(const userplatform::KeyedRecord&) override { }
            void caughtUp(std::uint64_t, TimePoint) override { ++m_caughtUp; }
            void readFailed(const Error&) override { ++m_failures; }
            int m_caughtUp = 0;
            int m_failures = 0;
        };
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put("keyed.term", 0, "term", "a");
        Observer observer;
        TopicFollower follower(context, store.address(), { { "keyed.term" } }, observer);
        follower.start();
        StoreStandIn::Part& part = store.part("keyed.term");
        runUntil(context, [&] { return part.m_waitMs == 1000; });
        part.m_fault = Fault::Refuses;
        runUntil(context, [&] { return observer.m_failures > 0; });
        const int before = observer.m_caughtUp;
        part.m_fault = Fault::None;
        runUntil(context, [&] { return part.m_waitMs == 400; });
        runUntil(context, [&] { return observer.m_caughtUp > before; });
        runUntil(context, [&] { return part.m_waitMs == 1000; });
    }

    // A reader that fell behind used to ask for everything at once; an answer that takes longer than its timeout was
    // asked for again and again while the backlog grew, and a scheduler went on with a registry view of several seconds
    // ago.
    void longBacklogIsReadInParts()
    {
        struct Observer final : FollowerObserver {
            void recordRead(const userplatform::KeyedRecord& record) override { m_last = record.m_key; }
            std::string m_last;
        };
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put("keyed.servers", 0, "first", "a");
        Observer observer;
        FollowerSettings settings { { "keyed.servers" } };
        settings.m_wait = Duration::zero();
        settings.m_pause = milliseconds(400);
        settings.m_answerTimeout = milliseconds(200);
        TopicFollower follower(context, store.address(), settings, observer);
        follower.start();
        runUntil(context, [&] { return observer.m_last == "first"; });
        store.part("keyed.servers").m_mostBytes = 100 << 10;
        for (int i = 0; i < 2000; ++i)
            store.put("keyed.servers", 0, "w" + std::to_string(i), std::string(500, 'x'));
        store.put("keyed.servers", 0, "last", "a");
        const TimePoint before = bootNow();
        runUntil(context, [&] { return observer.m_last == "last"; });
        CPPUNIT_ASSERT(follower.caughtUpAt() > before);
    }

    // With many workers some end is reported at any moment. Each used to add a change to store, and a planned stop left
    // the cell without a scheduler until the last pending report had arrived, 1 s later.
    void handoverEndsThoughWorkersReport()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "j", jobText("j"));
        store.put(progressTopic, 0, "j", runningText());
        store.put(progressTopic, 0, "=j", jobText("j"));
        bool isHeld = false;
        std::vector<Responder> held;
        HttpListener worker(context, "", [&](const ServerRequest&, const Responder& respond) {
            if (isHeld)
                return held.push_back(respond);
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[["j.0.0.0",1,"",50]],"finished":[]})" });
        });
        store.put("keyed.servers", 0, "w", workerText(openOnFreePort(worker)));
        TermFixture fixture(store, context);
        SchedulerTerm& term = *fixture.m_term;
        term.start();
        runUntil(context, [&] { return term.isRecovered() && term.scheduler()->worker(WorkerId("w")) != nullptr; });
        runUntil(context, [&] { return term.scheduler()->worker(WorkerId("w"))->m_runs.size() == 1; });
        isHeld = true;
        runUntil(context, [&] { return !held.empty(); });
        term.beginHandover();
        runUntil(context, [&] { return term.isHandedOver(); });
        held.front()({ 200, R"({"clock_ms":1000,"born":1,"running":[],"finished":[[1,"j.0.0.0",1,"done",""]]})" });
        for (int i = 0; i < 20; ++i) {
            context.run_one_for(milliseconds(5));
            CPPUNIT_ASSERT(term.isHandedOver());
        }
        // The end is left to the successor.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), term.scheduler()->worker(WorkerId("w"))->m_runs.size());
        held.clear();
    }

    // A scheduler that was paused holds its term still, but its view of the registry ends before the pause: a worker
    // may have announced meanwhile that it drains.
    void pausedSchedulerReadsTheRegistryBeforeItStarts()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        jobs::JobRecord record;
        record.m_job = JobId("j");
        record.m_policy.m_queue = "q";
        record.m_policy.m_service = "s";
        record.m_spec.m_steps.resize(1);
        record.m_spec.m_steps[0].m_count = 1;
        store.put(jobTopic, 1, "j", jobs::encodeJobRecord(record));
        int starts = 0;
        HttpListener worker(context, "", [&](const ServerRequest& request, const Responder& respond) {
            starts += request.m_target == "/-/run-start" ? 1 : 0;
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[],"finished":[]})" });
        });
        const std::string address = openOnFreePort(worker);
        store.put("keyed.servers", 0, "w", workerText(address));
        TermFixture fixture(store, context);
        fixture.m_site.m_drainNotice = milliseconds(800);
        SchedulerTerm& term = *fixture.m_term;
        term.start();
        const auto isReported = [&] {
            const jobs::Worker* known = term.isRecovered() ? term.scheduler()->worker(WorkerId("w")) : nullptr;
            return known != nullptr && known->m_hasReported;
        };
        runUntil(context, isReported);
        fixture.m_mayIssueOrders = false;
        runUntil(context, [&] { return term.scheduler()->knows(JobId("j")); });
        starts = 0;
        const std::uint32_t calls = store.part("keyed.servers").m_calls;
        store.part("keyed.servers").m_fault = Fault::IsSilent;
        runUntil(context, [&] { return store.part("keyed.servers").m_calls > calls; });
        store.put("keyed.servers", 0, "w", workerText(address, "draining"));
        std::this_thread::sleep_for(seconds(1));
        store.part("keyed.servers").m_fault = Fault::None;
        fixture.m_mayIssueOrders = true;
        term.requestStep();
        runUntil(context, [&] { return term.scheduler()->worker(WorkerId("w"))->m_description.m_isDraining; });
        CPPUNIT_ASSERT_EQUAL(0, starts);
    }

    // A draining worker that the store did not serve for a while runs on, though its entry has lapsed. Its heartbeat
    // and the removal are read together after the outage, which used to count as the end of the worker, so that its
    // tasks were started a second time.
    void entryThatLapsedInAnOutageEndsNoRun()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "j", jobText("j"));
        store.put(progressTopic, 0, "j", runningText());
        HttpListener worker(context, "", [&](const ServerRequest&, const Responder& respond) {
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[["j.0.0.0",1,"",10]],"finished":[]})" });
        });
        const std::string address = openOnFreePort(worker);
        const std::string draining = workerText(address, "draining");
        store.put("keyed.servers", 0, "w", draining);
        TermFixture fixture(store, context);
        SchedulerTerm& term = *fixture.m_term;
        const auto known
            = [&](const char* id) { return term.isRecovered() ? term.scheduler()->worker(WorkerId(id)) : nullptr; };
        term.start();
        runUntil(context, [&] { return known("w") != nullptr && known("w")->m_hasReported; });
        StoreStandIn::Part& registry = store.part("keyed.servers");
        const std::uint32_t calls = registry.m_calls;
        registry.m_fault = Fault::Refuses;
        runUntil(context, [&] { return registry.m_calls > calls + 1; });
        store.put("keyed.servers", 0, "w", draining);
        store.put("keyed.servers", 0, "w", std::nullopt);
        store.put("keyed.servers", 0, "w2", workerText(address));
        registry.m_fault = Fault::None;
        runUntil(context, [&] { return known("w2") != nullptr; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), known("w")->m_runs.size());
    }

    // Guards against a second run of a task whose draining worker is cut off from the store: its entry is old, but was
    // read again when the topic was listed anew, and expires then.
    void entryThatIsListedAgainEndsNoRun()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "j", jobText("j"));
        store.put(progressTopic, 0, "j", runningText());
        HttpListener worker(context, "", [&](const ServerRequest&, const Responder& respond) {
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[["j.0.0.0",1,"",10]],"finished":[]})" });
        });
        const std::string address = openOnFreePort(worker);
        store.put("keyed.servers", 0, "w", workerText(address, "draining"));
        TermFixture fixture(store, context);
        SchedulerTerm& term = *fixture.m_term;
        const auto known
            = [&](const char* id) { return term.isRecovered() ? term.scheduler()->worker(WorkerId(id)) : nullptr; };
        term.start();
        runUntil(context, [&] { return known("w") != nullptr && known("w")->m_hasReported; });
        store.part("keyed.servers").m_isTrimmed = true;
        store.put("keyed.servers", 0, "w2", workerText(address));
        runUntil(context, [&] { return known("w2") != nullptr && !store.part("keyed.servers").m_isTrimmed; });
        store.put("keyed.servers", 0, "w", std::nullopt);
        store.put("keyed.servers", 0, "w3", workerText(address));
        runUntil(context, [&] { return known("w3") != nullptr; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), known("w")->m_runs.size());
    }

    // Guards against tasks that wait for the lease of a crashed worker although the worker that came after it answers
    // at its address.
    void workerReplacedAtItsAddressEndsItsRuns()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "j", jobText("j"));
        store.put(progressTopic, 0, "j", runningText());
        bool isReplaced = false;
        HttpListener worker(context, "", [&](const ServerRequest&, const Responder& respond) {
            if (isReplaced)
                return respond({ 421, "{}" });
            respond({ 200, R"({"clock_ms":1000,"born":1,"running":[["j.0.0.0",1,"",10]],"finished":[]})" });
        });
        const std::string address = openOnFreePort(worker);
        store.put("keyed.servers", 0, "w", workerText(address));
        TermFixture fixture(store, context);
        SchedulerTerm& term = *fixture.m_term;
        const auto known = [&] { return term.isRecovered() ? term.scheduler()->worker(WorkerId("w")) : nullptr; };
        term.start();
        runUntil(context, [&] { return known() != nullptr && known()->m_runs.size() == 1; });
        isReplaced = true;
        runUntil(context, [&] { return known()->m_isReplaced; });
        // Not later, when the lease ends.
        CPPUNIT_ASSERT(known()->m_runs.empty());
    }

    // While the store is slow, its scheduler used to learn of a job a quarter of a second after it had stored it.
    void storedRecordIsTakenUpBeforeItIsRead()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        TermFixture fixture(store, context);
        SchedulerTerm& term = *fixture.m_term;
        term.recordStored("early", jobText("early")); // not recovered yet: the recovery will read it
        term.start();
        runUntil(context, [&] { return term.isRecovered(); });
        CPPUNIT_ASSERT(!term.scheduler()->knows(JobId("early")));
        store.part(jobTopic, 0).m_fault = Fault::IsSilent;
        term.recordStored("j", jobText("j"));
        term.recordStored("cancelled", jobText("cancelled"));
        term.recordStored(cancellationKey(JobId("cancelled")), "1");
        term.recordStored("damaged", "{");
        CPPUNIT_ASSERT(term.scheduler()->knows(JobId("j")));
        CPPUNIT_ASSERT(term.scheduler()->state(JobId("cancelled")) == jobs::JobState::Cancelled);
        CPPUNIT_ASSERT(!term.scheduler()->knows(JobId("damaged")));
    }

    // Records of other writers, or damaged ones, concern only their own keys.
    void malformedRecordsDelayNoOthers()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        for (const char* text : { "", "7", "[]", "{", R"({"steps":[{"count":1,"dependsOn":["x"]}]})",
                 R"({"steps":[{"count":1},{"count":1,"dependsOn":[-1]}]})", R"({"steps":[{"count":4294967295}]})",
                 R"({"steps":[{"count":1,"estimateMicros":9223372036854775807}]})",
                 R"({"occurrences":4294967295,"steps":[{"count":10000}]})" })
            store.put(jobTopic, 1, std::string("bad") + text, text);
        store.put(jobTopic, 1, "", "{}");
        store.put(jobTopic, 1, "-", "1");
        for (const char* text : { "x", "s 9", "d 0 0 0", "d 0 0 4294967290 4294967295", "p 0", "f 0 0 x 1" })
            store.put(progressTopic, 0, std::string("=") + text, text);
        store.put(progressTopic, 0, "", "s 1");
        store.put(jobTopic, 1, "good", jobText("good"));
        TermFixture fixture(store, context);
        fixture.m_term->start();
        runUntil(context,
            [&] { return fixture.m_term->isRecovered() && fixture.m_term->scheduler()->knows(JobId("good")); });
    }

    void progressOfUnknownJobsIsRemoved()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "known", jobText("known"));
        store.put(progressTopic, 0, "known", runningText());
        store.put(progressTopic, 0, "left", jobs::encodeProgress({ jobs::JobState::Done, {}, {}, {}, {} }));
        TermFixture fixture(store, context);
        fixture.m_term->start();
        runUntil(context, [&] { return !store.newest(progressTopic).contains("left"); });
        CPPUNIT_ASSERT(store.newest(progressTopic).contains("known"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);

} // namespace sapphiredale::controller
