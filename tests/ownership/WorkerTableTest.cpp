// Tests of the sessions with workers: crossed, repeated and missing reports and answers.

#include "ownership/WorkerTable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::ownership {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const WorkerId w("w");
    const TimePoint start { seconds(1) };

    TaskReport task(const std::string& name, std::uint32_t attempt, TaskState state)
    {
        TaskReport report;
        report.m_task = TaskId(name);
        report.m_attempt = attempt;
        report.m_state = state;
        return report;
    }

    WorkerReport report(
        std::uint64_t sequence, bool full, const std::vector<TaskReport>& tasks, const std::string& incarnation = "i1")
    {
        return { w, IncarnationId(incarnation), sequence, full, tasks };
    }

    WorkerCommand command(CommandOperation operation, const std::string& name, std::uint32_t attempt = 1)
    {
        WorkerCommand result;
        result.m_operation = operation;
        result.m_task = TaskId(name);
        result.m_attempt = attempt;
        return result;
    }

    WorkerTable table()
    {
        WorkerTable result({ .m_holder = "a" });
        result.setWorker({ w, FailureDomainId("hal"), RackId("k"), { 1000, 1000, 0 }, "127.0.0.1:1" });
        return result;
    }

    std::vector<TaskAttempt> dueAcknowledgements(WorkerTable& workers, TimePoint now)
    {
        SendLease lease;
        lease.m_worker = w;
        workers.complete(lease, now);
        return lease.m_acknowledged;
    }

} // namespace

class WorkerTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerTableTest);
    CPPUNIT_TEST(crossedAndRepeatedReportsChangeNothing);
    CPPUNIT_TEST(differenceWithoutAFullReportIsRefused);
    CPPUNIT_TEST(missingTaskIsNoticed);
    CPPUNIT_TEST(newIncarnationDropsCommandsAndTasks);
    CPPUNIT_TEST(oneBatchInFlightAndInOrder);
    CPPUNIT_TEST(stopOfAnUnsentStartRemovesBoth);
    CPPUNIT_TEST(lateStartDelaysTheAcknowledgement);
    CPPUNIT_TEST(lostAcknowledgementIsRepeated);
    CPPUNIT_TEST(answerOfAnotherLengthIsNotTrusted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a late report that moves a task back to an older state.
    void crossedAndRepeatedReportsChangeNothing()
    {
        WorkerTable workers = table();
        workers.merge(report(5, true, { task("a/0", 1, TaskState::Running) }), start);
        CPPUNIT_ASSERT(workers.merge(report(7, false, { task("a/0", 1, TaskState::Ended) }), start).m_merged);
        CPPUNIT_ASSERT(!workers.merge(report(6, false, { task("a/0", 1, TaskState::Running) }), start).m_merged);
        CPPUNIT_ASSERT(workers.merge(report(7, false, { task("a/0", 1, TaskState::Ended) }), start).m_changed.empty());
        CPPUNIT_ASSERT(!workers.workerRunning(TaskId("a/0")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, workers.counters().value(CountedReason::ReportOutOfOrder));
        // An older attempt in a newer report does not replace the newer attempt.
        workers.merge(report(8, false, { task("b/0", 3, TaskState::Running) }), start);
        CPPUNIT_ASSERT(workers.merge(report(9, false, { task("b/0", 2, TaskState::Ended) }), start).m_changed.empty());
        CPPUNIT_ASSERT(workers.workerRunning(TaskId("b/0")));
    }

    // Guards against taking a difference for the whole state of a worker after a takeover or a restart.
    void differenceWithoutAFullReportIsRefused()
    {
        WorkerTable workers = table();
        CPPUNIT_ASSERT(!workers.merge(report(5, false, {}), start).m_merged);
        CPPUNIT_ASSERT(!workers.hasReported(w));
        workers.merge(report(5, true, {}), start);
        const ReportChanges restarted = workers.merge(report(1, false, {}, "i2"), start);
        CPPUNIT_ASSERT(restarted.m_restarted && !restarted.m_merged);
        SendLease lease;
        lease.m_worker = w;
        workers.complete(lease, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, lease.m_since);
    }

    // Guards against a task that a worker has lost and the scheduler believes to be running for ever.
    void missingTaskIsNoticed()
    {
        WorkerTable workers = table();
        workers.merge(report(5, true, { task("a/0", 1, TaskState::Running), task("a/1", 1, TaskState::Ended) }), start);
        workers.acknowledge(w, { TaskId("a/1"), 1 }, start);
        const ReportChanges changes = workers.merge(report(6, true, {}), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, changes.m_missing.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a/0"), changes.m_missing[0].m_task.value());
        CPPUNIT_ASSERT(!workers.workerRunning(TaskId("a/0")));
    }

    // Guards against a command that was meant for tasks of an incarnation that no longer exists.
    void newIncarnationDropsCommandsAndTasks()
    {
        WorkerTable workers = table();
        workers.merge(report(5, true, { task("a/0", 1, TaskState::Running) }), start);
        workers.enqueue(w, command(CommandOperation::Stop, "a/0"), start);
        const auto batch = workers.nextBatch(w, 1, start);
        CPPUNIT_ASSERT(workers.merge(report(1, true, {}, "i2"), start).m_restarted);
        CPPUNIT_ASSERT(workers.handleAnswer(w, batch->m_request, std::vector<CommandResult>(1), start).empty());
        CPPUNIT_ASSERT(!workers.hasPendingCommands());
        CPPUNIT_ASSERT(!workers.workerRunning(TaskId("a/0")));
    }

    // Guards against a stop that overtakes the start of the same task in another connection.
    void oneBatchInFlightAndInOrder()
    {
        WorkerTable workers = table();
        workers.merge(report(1, true, {}), start);
        workers.enqueue(w, command(CommandOperation::Start, "a/0"), start);
        const auto first = workers.nextBatch(w, 1, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, first->m_commands.size());
        workers.enqueue(w, command(CommandOperation::Stop, "a/0"), start);
        CPPUNIT_ASSERT(!workers.nextBatch(w, 1, start));
        workers.handleTimeout(w, first->m_request, start + seconds(2));
        const auto second = workers.nextBatch(w, 1, start + seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, second->m_commands.size());
        CPPUNIT_ASSERT(second->m_commands[0] == first->m_commands[0]);
        CPPUNIT_ASSERT(workers.handleAnswer(w, first->m_request, std::vector<CommandResult>(1), start).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 2 }, workers.handleAnswer(w, second->m_request, std::vector<CommandResult>(2), start).size());
    }

    // Guards against sending a start whose task was stopped before, and against dropping one that was sent.
    void stopOfAnUnsentStartRemovesBoth()
    {
        WorkerTable workers = table();
        workers.merge(report(1, true, {}), start);
        workers.enqueue(w, command(CommandOperation::Start, "a/0"), start);
        CPPUNIT_ASSERT(workers.enqueue(w, command(CommandOperation::Stop, "a/0"), start).has_value());
        CPPUNIT_ASSERT(!workers.hasPendingCommands());
        workers.enqueue(w, command(CommandOperation::Start, "a/1"), start);
        const auto batch = workers.nextBatch(w, 1, start);
        workers.handleTimeout(w, batch->m_request, start + seconds(2));
        CPPUNIT_ASSERT(!workers.enqueue(w, command(CommandOperation::Stop, "a/1"), start + seconds(2)));
        CPPUNIT_ASSERT(workers.takeUnsentStarts(start + seconds(60)).empty());
    }

    // Guards against a worker that forgets an acknowledged task and then executes a late copy of its start.
    void lateStartDelaysTheAcknowledgement()
    {
        WorkerTable workers = table();
        workers.merge(report(1, true, {}), start);
        workers.enqueue(w, command(CommandOperation::Start, "a/0"), start);
        workers.handleTimeout(w, workers.nextBatch(w, 1, start)->m_request, start);
        workers.merge(report(2, false, { task("a/0", 1, TaskState::Ended) }), start);
        workers.acknowledge(w, { TaskId("a/0"), 1 }, start);
        CPPUNIT_ASSERT(dueAcknowledgements(workers, start + seconds(29)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dueAcknowledgements(workers, start + seconds(30)).size());
    }

    // Guards against a final state that a worker keeps for ever because one lease request was lost.
    void lostAcknowledgementIsRepeated()
    {
        WorkerTable workers = table();
        workers.merge(report(1, true, { task("a/0", 1, TaskState::Ended) }), start);
        workers.acknowledge(w, { TaskId("a/0"), 1 }, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dueAcknowledgements(workers, start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dueAcknowledgements(workers, start).size());
        workers.merge(report(1, false, {}), start);
        CPPUNIT_ASSERT(dueAcknowledgements(workers, start).empty());
        CPPUNIT_ASSERT(workers.tasks(w).empty());
    }

    // Guards against assigning results to the wrong commands.
    void answerOfAnotherLengthIsNotTrusted()
    {
        WorkerTable workers = table();
        workers.merge(report(1, true, {}), start);
        workers.enqueue(w, command(CommandOperation::Start, "a/0"), start);
        workers.enqueue(w, command(CommandOperation::Start, "a/1"), start);
        const auto batch = workers.nextBatch(w, 1, start);
        CPPUNIT_ASSERT(workers.handleAnswer(w, batch->m_request, std::vector<CommandResult>(1), start).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, workers.pendingCommands(w));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerTableTest);

} // namespace sapphiredale::ownership
