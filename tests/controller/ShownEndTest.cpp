// Tests of what callers are told of the end of a job while the store does not take it, and of what a successor knows of
// it.

#include "tests/controller/TermFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace sapphiredale::controller {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fault = StoreStandIn::Fault;

class ShownEndTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShownEndTest);
    CPPUNIT_TEST(endIsShownOnlyOnceItIsStored);
    CPPUNIT_TEST(shownEndStandsWhenAllDaemonsAndItsWorkerAreLost);
    CPPUNIT_TEST(endIsKnownUntilTheRecordsOfItsJobAreRemoved);
    CPPUNIT_TEST_SUITE_END();

    /// The only worker, which runs the only task of job "j" from the beginning.
    struct WorkerStandIn {
        explicit WorkerStandIn(boost::asio::io_context& context)
            : m_listener(context, "",
                [this](const ServerRequest& request, const Responder& respond) { handle(request, respond); })
            , m_address(openOnFreePort(m_listener))
        {
        }

        void handle(const ServerRequest& request, const Responder& respond)
        {
            if (request.m_target == "/-/run-start") {
                ++m_starts;
                m_run = static_cast<int>(boost::json::parse(request.m_body).as_object().at("run").as_int64());
                m_isDone = true;
            }
            const std::string run = R"("j.0.0.0",)" + std::to_string(m_run);
            const std::string running = m_run == 0 || m_isDone ? "" : "[" + run + R"(,"",50])";
            const std::string finished = m_run != 0 && m_isDone ? "[1," + run + R"(,"done",""])" : "";
            respond({ 200,
                R"({"clock_ms":1000,"born":)" + std::to_string(m_bornMs) + R"(,"running":[)" + running
                    + R"(],"finished":[)" + finished + "]}" });
        }

        /// Another process begins, which knows nothing of the first one's runs and ends.
        void restart()
        {
            ++m_bornMs;
            m_run = 0;
            m_isDone = false;
        }

        int m_bornMs = 1;
        /// Run of the task, 0 if there is none; a run that was ordered ends at once.
        int m_run = 1;
        bool m_isDone = false;
        int m_starts = 0;
        HttpListener m_listener;
        const std::string m_address;
    };

    /// A term whose only job runs. The other daemon answers every message with success.
    struct Cell {
        Cell()
            : m_store(m_context)
            , m_worker(m_context)
            , m_daemon(m_context, "", [](const ServerRequest&, const Responder& respond) {
                respond({ 200, "{}" });
            })
        {
            jobs::JobRecord job = valueOf(jobs::decodeJobRecord(JobId("j"), jobText("j")));
            job.m_policy.m_service = "s";
            const std::string text = jobs::encodeJobRecord(job);
            m_store.put(jobTopic, 1, "j", text);
            m_store.put(progressTopic, 0, "j", runningText());
            m_store.put(progressTopic, 0, "=j", text);
            m_store.put("keyed.servers", 0, "w", workerText(m_worker.m_address));
            m_first.emplace(m_store, m_context, 2);
            m_first->m_adviceDispatcher.helloReceived({ DaemonId("d"), openOnFreePort(m_daemon), false });
            SchedulerTerm& term = *m_first->m_term;
            term.start();
            runUntil(m_context, [&] {
                const jobs::JobScheduler* scheduler = term.scheduler();
                const jobs::Worker* worker = scheduler == nullptr ? nullptr : scheduler->worker(WorkerId("w"));
                return worker != nullptr && worker->m_runs.size() == 1;
            });
        }

        void endJobInOutage(Fault fault)
        {
            for (std::uint32_t part = 0; part < progressPartitions; ++part)
                m_store.part(progressTopic, part).m_fault = fault;
            m_worker.m_isDone = true;
            runUntil(m_context, [&] { return m_first->m_term->scheduler()->counters().m_doneRuns == 1; });
        }

        void endOutage()
        {
            for (std::uint32_t part = 0; part < progressPartitions; ++part)
                m_store.part(progressTopic, part).m_fault = Fault::None;
        }

        /// Whether a caller is told that the job is done.
        static bool isShown(const SchedulerTerm& term)
        {
            const Result<jobs::JobState> state = term.state(JobId("j"));
            return succeeded(state) && valueOf(state) == jobs::JobState::Done;
        }

        /// Whether callers that ask for a second are told that the job is done.
        bool isShownWithinASecond(const SchedulerTerm& term)
        {
            for (const TimePoint end = bootNow() + seconds(1); bootNow() < end && !isShown(term);)
                m_context.run_one_for(milliseconds(5));
            return isShown(term);
        }

        bool isStored()
        {
            for (std::uint32_t part = 0; part < progressPartitions; ++part) {
                const auto records = m_store.newest(progressTopic, part);
                const auto found = records.find("j");
                if (found != records.end()
                    && valueOf(jobs::decodeProgress(found->second)).m_state == jobs::JobState::Done)
                    return true;
            }
            return false;
        }

        boost::asio::io_context m_context;
        StoreStandIn m_store;
        WorkerStandIn m_worker;
        HttpListener m_daemon;
        std::optional<TermFixture> m_first;
    };

public:
    // Guards against a caller that is told of an end which only the memory of daemons and workers holds.
    void endIsShownOnlyOnceItIsStored()
    {
        for (const Fault fault : { Fault::Refuses, Fault::IsSilent }) {
            Cell cell;
            cell.endJobInOutage(fault);
            CPPUNIT_ASSERT(!cell.isShownWithinASecond(*cell.m_first->m_term));
            CPPUNIT_ASSERT(!cell.isStored());
            cell.endOutage();
            runUntil(cell.m_context, [&] { return Cell::isShown(*cell.m_first->m_term); });
            CPPUNIT_ASSERT(cell.isStored());
        }
    }

    // Guards against a job that runs again after its caller was told that it is done, when all daemons end in an outage
    // of the store and the worker that lists the end is lost.
    void shownEndStandsWhenAllDaemonsAndItsWorkerAreLost()
    {
        Cell cell;
        cell.endJobInOutage(Fault::Refuses);
        const bool isShown = cell.isShownWithinASecond(*cell.m_first->m_term);
        cell.m_first.reset();
        cell.m_worker.restart();
        cell.m_store.put("keyed.servers", 0, "w", workerText(cell.m_worker.m_address, "ready", 2));
        cell.endOutage();
        TermFixture second(cell.m_store, cell.m_context, 3);
        second.m_term->start();
        runUntil(cell.m_context, [&] { return Cell::isShown(*second.m_term); });
        CPPUNIT_ASSERT_MESSAGE("started again after it was shown", !isShown || cell.m_worker.m_starts == 0);
        // The end is lost with the worker and the daemons, so the scenario provokes the fault.
        CPPUNIT_ASSERT_EQUAL(1, cell.m_worker.m_starts);
    }

    // Guards against a job that runs again after its retention time, since its progress is removed while a partition of
    // the job topic, or a record of running jobs, still has it.
    void endIsKnownUntilTheRecordsOfItsJobAreRemoved()
    {
        boost::asio::io_context context;
        StoreStandIn store(context);
        store.put(jobTopic, 1, "j", jobText("j"));
        store.put(jobTopic, 2, "j", jobText("j"));
        store.put(progressTopic, 0, "j", jobs::encodeProgress({ jobs::JobState::Done, {}, {}, {}, {} }));
        store.put(progressTopic, 0, "=j", jobText("j"));
        store.part(jobTopic, 1).m_fault = Fault::RefusesAppends;
        {
            TermFixture first(store, context, 2, Duration::zero());
            first.m_term->start();
            runUntil(context, [&] { return !store.newest(jobTopic, 2).contains("j"); });
            for (const TimePoint end = bootNow() + milliseconds(300); bootNow() < end;)
                context.run_one_for(milliseconds(5));
            CPPUNIT_ASSERT(store.newest(jobTopic, 1).contains("j"));
            CPPUNIT_ASSERT(store.newest(progressTopic).contains("j"));
            // The job topic is read again, as after a loss of the store's history.
            store.part(jobTopic, 1).m_isTrimmed = true;
            const std::uint32_t calls = store.part(jobTopic, 1).m_calls;
            runUntil(context, [&] { return store.part(jobTopic, 1).m_calls > calls + 2; });
            CPPUNIT_ASSERT(!first.m_term->scheduler()->knows(JobId("j")));
        }
        {
            TermFixture second(store, context, 3);
            second.m_term->start();
            runUntil(context, [&] { return Cell::isShown(*second.m_term); });
        }
        store.part(jobTopic, 1).m_fault = Fault::None;
        TermFixture third(store, context, 4, Duration::zero());
        third.m_term->start();
        runUntil(context, [&] { return !store.newest(jobTopic, 1).contains("j"); });
        runUntil(context, [&] { return store.newest(progressTopic).empty(); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShownEndTest);

} // namespace sapphiredale::controller
