// Tests of placement with waits for near places: a rack whose only worker is busy, beside another rack with room.

#include "tests/jobs/CellTesting.h"

namespace sapphiredale::jobs {

class LocalityPlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LocalityPlacementTest);
    CPPUNIT_TEST(taskWaitsForANearWorkerThatIsFreeInAMoment);
    CPPUNIT_TEST(taskDoesNotWaitForALongRun);
    CPPUNIT_TEST(drainingWorkerIsNotWaitedFor);
    CPPUNIT_TEST(waitEndsWhenTheRunGoesOn);
    CPPUNIT_TEST(jobWithoutSlackStartsElsewhere);
    CPPUNIT_TEST(contendedRackHoldsAsManyTasksAsItWillHaveRoomFor);
    CPPUNIT_TEST(gangWaitsAsAWhole);
    CPPUNIT_TEST(waitsCanBeSwitchedOff);
    CPPUNIT_TEST(refusedWorkerIsNotWaitedFor);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that runs twice as long elsewhere because its rack was busy for another 200 ms.
    void taskWaitsForANearWorkerThatIsFreeInAMoment()
    {
        Replay replay;
        replay.occupyNear(milliseconds(1000), 80);
        replay.submit("j");
        CPPUNIT_ASSERT(replay.starts().empty());
        replay.endNear();
        CPPUNIT_ASSERT(replay.starts() == std::vector<WorkerId> { Replay::near });
        const LocalityCounters& counters = replay.m_scheduler.localityCounters();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, counters.m_begun);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, counters.m_endedNear);
    }

    // Guards against waits for a place that does not become free in time.
    void taskDoesNotWaitForALongRun()
    {
        Replay replay;
        replay.occupyNear(seconds(10), 10);
        replay.submit("j");
        CPPUNIT_ASSERT(replay.starts() == std::vector<WorkerId> { Replay::far });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, replay.m_scheduler.localityCounters().m_begun);
    }

    // Guards against a wait for a worker that begins to drain while it is waited for.
    void drainingWorkerIsNotWaitedFor()
    {
        Replay replay;
        replay.occupyNear(milliseconds(1000), 80);
        replay.submit("j");
        CPPUNIT_ASSERT(replay.starts().empty());
        replay.drainNear();
        replay.m_now += milliseconds(60);
        CPPUNIT_ASSERT(replay.starts() == std::vector<WorkerId> { Replay::far });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, replay.m_scheduler.localityCounters().m_endedElsewhere);
    }

    // Guards against a wait without end for a run that is always about to end.
    void waitEndsWhenTheRunGoesOn()
    {
        Replay replay;
        replay.occupyNear(milliseconds(1000), 80);
        replay.submit("j");
        for (int i = 0; i < 9; ++i) {
            CPPUNIT_ASSERT(replay.starts().empty());
            replay.m_now += milliseconds(50);
            replay.reportNear(99);
        }
        replay.m_now += milliseconds(110);
        replay.reportNear(99);
        CPPUNIT_ASSERT(replay.starts() == std::vector<WorkerId> { Replay::far });
    }

    // Guards against a job that misses its objective because it waited.
    void jobWithoutSlackStartsElsewhere()
    {
        Replay replay;
        replay.occupyNear(milliseconds(1000), 80);
        replay.submit("j", 1, 1.0);
        CPPUNIT_ASSERT(replay.starts() == std::vector<WorkerId> { Replay::far });
    }

    // Load: many jobs want one rack. Guards against all of them waiting for the one place there.
    void contendedRackHoldsAsManyTasksAsItWillHaveRoomFor()
    {
        Replay replay(6);
        replay.occupyNear(milliseconds(1000), 80);
        for (int i = 0; i < 6; ++i)
            replay.submit("j" + std::to_string(i));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), replay.starts().size());
        replay.endNear();
        CPPUNIT_ASSERT(replay.starts() == std::vector<WorkerId> { Replay::near });
    }

    // Guards against a gang of which a part waits for the rack while the rest starts elsewhere.
    void gangWaitsAsAWhole()
    {
        Replay replay(2);
        replay.occupyNear(milliseconds(1000), 80);
        StepSpec gang = SimulatedCell::step(2, 16000, milliseconds(1000));
        gang.m_isGang = true;
        replay.submit("g", gang);
        CPPUNIT_ASSERT(replay.starts().empty());
        replay.endNear();
        CPPUNIT_ASSERT((replay.starts() == std::vector<WorkerId> { Replay::near, Replay::near }));
    }

    // Guards against a switch without effect.
    void waitsCanBeSwitchedOff()
    {
        Replay replay(1, false);
        replay.occupyNear(milliseconds(1000), 80);
        replay.submit("j");
        CPPUNIT_ASSERT(replay.starts() == std::vector<WorkerId> { Replay::far });
    }

    // Guards against a wait for a rack whose only worker the adviser has refused.
    void refusedWorkerIsNotWaitedFor()
    {
        Replay replay;
        const StepSpec step = SimulatedCell::step(1, 32000, milliseconds(1000));
        replay.submit("j", step, 20, AdvicePolicy { milliseconds(20), milliseconds(1), seconds(2) });
        CPPUNIT_ASSERT(replay.answerAdvice({ Replay::far }) == std::vector<WorkerId> { Replay::near });
        // The next decision about the wait.
        replay.m_now += milliseconds(60);
        CPPUNIT_ASSERT(replay.answerAdvice({ Replay::far }) == std::vector<WorkerId> { Replay::far });
        CPPUNIT_ASSERT(replay.starts() == std::vector<WorkerId> { Replay::far });
    }

private:
    /// One worker on the near rack and some on another one; each has room for one task.
    struct Replay {
        inline static const WorkerId near { "near" };
        inline static const WorkerId far { "far0" };

        explicit Replay(int farWorkers = 1, bool waits = true)
            : m_scheduler(settings(waits))
        {
            list(near, "r1");
            for (int i = 0; i < farWorkers; ++i)
                list(WorkerId("far" + std::to_string(i)), "r2");
        }

        static SchedulerSettings settings(bool waits)
        {
            SchedulerSettings settings;
            settings.m_remoteFactor = 2;
            settings.m_waitsForLocality = waits;
            return settings;
        }

        void list(const WorkerId& id, const std::string& rack)
        {
            WorkerDescription worker = SimulatedCell(1).m_workers.begin()->second.m_description;
            worker.m_worker = id;
            worker.m_rack = RackId(rack);
            worker.m_labels = { "a", rack };
            m_workers[id] = worker;
            m_scheduler.workerListed(worker, m_now);
            m_scheduler.workerReported(id, { 1, m_now, {}, {} }, m_now);
        }

        void submit(const std::string& name, StepSpec step, double slack = 20,
            const std::optional<AdvicePolicy>& advice = std::nullopt)
        {
            step.m_dataRack = "r1";
            JobRecord job = SimulatedCell::job(name, { step });
            job.m_policy.m_slackFactor = slack;
            job.m_policy.m_advice = advice;
            m_scheduler.addJob(job, {}, 0, m_now);
        }

        void submit(const std::string& name, std::uint32_t tasks = 1, double slack = 20)
        {
            submit(name, SimulatedCell::step(tasks, 32000, milliseconds(1000)), slack);
        }

        /// Starts a task of this duration on the near worker that has done a part of it.
        void occupyNear(Duration duration, int percent)
        {
            submit("first", SimulatedCell::step(1, 32000, duration));
            CPPUNIT_ASSERT(starts() == std::vector<WorkerId> { near });
            m_nearRun = m_lastRun;
            m_scheduler.startAnswered(near, m_nearRun, StartOutcome::Started, m_now);
            m_now += duration * percent / 100;
            reportNear(percent);
        }

        void reportNear(double percent)
        {
            reportOthers();
            m_scheduler.workerReported(near, { 1, m_now, { { m_nearRun, {}, percent, 0 } }, {} }, m_now);
        }

        void endNear()
        {
            m_now += milliseconds(100);
            reportOthers();
            m_scheduler.workerReported(near, { 1, m_now, {}, { { 1, m_nearRun, RunEnd::Done, {} } } }, m_now);
        }

        void drainNear()
        {
            WorkerDescription draining = m_workers.at(near);
            draining.m_isDraining = true;
            m_scheduler.workerListed(draining, m_now);
        }

        /// Workers that do not report for long get no tasks.
        void reportOthers()
        {
            for (const auto& [id, worker] : m_workers) {
                if (id != near && !m_used.contains(id))
                    m_scheduler.workerReported(id, { 1, m_now, {}, {} }, m_now);
            }
        }

        /// Workers on which tasks start once the store has their places.
        std::vector<WorkerId> starts()
        {
            std::vector<WorkerId> workers;
            for (int i = 0; i < 3; ++i) {
                for (const SchedulerAction& action : m_scheduler.step(0, m_now, {})) {
                    if (const auto* start = std::get_if<StartOrder>(&action)) {
                        m_lastRun = start->m_run;
                        m_used.insert(start->m_worker);
                        workers.push_back(start->m_worker);
                    }
                }
                m_scheduler.stored(m_scheduler.takeChanges().m_number);
            }
            return workers;
        }

        /// Lets the scheduler ask the adviser, which allows these workers; returns those that it is asked about.
        std::vector<WorkerId> answerAdvice(const std::vector<WorkerId>& allowed)
        {
            std::vector<WorkerId> asked;
            for (const SchedulerAction& action : m_scheduler.step(0, m_now, { 1, 1 })) {
                const auto* question = std::get_if<AdviceRequest>(&action);
                if (question == nullptr)
                    continue;
                asked = question->m_workers;
                std::vector<Ticket> tickets;
                for (const WorkerId& id : asked) {
                    if (std::find(allowed.begin(), allowed.end(), id) != allowed.end())
                        tickets.push_back({ id, "ticket" });
                }
                m_scheduler.adviceAnswered(*question, tickets, m_now, seconds(2), m_now);
            }
            return asked;
        }

        TimePoint m_now { seconds(100) };
        JobScheduler m_scheduler;
        std::map<WorkerId, WorkerDescription> m_workers;
        std::set<WorkerId> m_used;
        RunName m_lastRun;
        RunName m_nearRun;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LocalityPlacementTest);

} // namespace sapphiredale::jobs
