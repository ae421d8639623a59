// Tests of the history check: a correct history passes, and each rule broken on purpose is found with its lines.

#include "load/HistoryChecker.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace sapphiredale::load {

namespace {

    /// Histories and records that a test changes at one place.
    struct Sample {
        std::vector<HistoryEntry> m_history;
        std::vector<ObservedExecution> m_executions;
        std::vector<PlatformViolation> m_violations;

        HistoryEntry& add(OperationKind kind, OperationOutcome outcome)
        {
            HistoryEntry& entry = m_history.emplace_back();
            entry.m_line = m_history.size();
            entry.m_kind = kind;
            entry.m_outcome = outcome;
            entry.m_party = "party-1";
            entry.m_operation = "operation-" + std::to_string(entry.m_line);
            entry.m_invokedUs = static_cast<std::int64_t>(entry.m_line) * 100;
            entry.m_completedUs = entry.m_invokedUs + 50;
            return entry;
        }

        HistoryEntry& addAnswer(const std::string& requestId, const std::string& key = "")
        {
            HistoryEntry& entry = add(OperationKind::Request, OperationOutcome::Answered);
            entry.m_status = 200;
            entry.m_requestId = requestId;
            entry.m_key = key;
            entry.m_expectedBody = entry.m_body = digestOf("body of " + requestId);
            return entry;
        }

        HistoryEntry& addRefusal(const std::string& requestId, const std::string& runState, const std::string& key = "")
        {
            HistoryEntry& entry = add(OperationKind::Request, OperationOutcome::Refused);
            entry.m_status = 503;
            entry.m_problem = "no-minion";
            entry.m_runState = runState;
            entry.m_requestId = requestId;
            entry.m_key = key;
            return entry;
        }

        HistoryEntry& addRead(std::uint64_t version, const std::string& hash, bool confirmed = true)
        {
            HistoryEntry& entry = add(OperationKind::Read, OperationOutcome::Answered);
            entry.m_status = 200;
            entry.m_version = version;
            entry.m_hash = hash;
            entry.m_confirmed = confirmed;
            return entry;
        }

        void execute(const std::string& request, const std::string& key = "")
        {
            m_executions.push_back({ m_executions.size() + 1, request, key, "trial-planner/0" });
        }

        std::vector<Finding> check() const { return HistoryChecker(m_history, m_executions, m_violations).check(); }
    };

    /// Requests, a key with a lost and a replayed response, a refused key, reads and an unconfirmed older read.
    Sample correctSample()
    {
        Sample sample;
        sample.addAnswer("r1"); // line 1
        sample.execute("r1");
        HistoryEntry& lost = sample.add(OperationKind::Request, OperationOutcome::Lost); // line 2
        lost.m_key = "k1";
        sample.execute("r2", "k1");
        HistoryEntry& replay = sample.addAnswer("r3", "k1"); // line 3
        replay.m_replayed = true;
        sample.addRefusal("r4", "not-run", "k2"); // line 4
        sample.addRefusal("r5", "may-have-run", "k3"); // line 5
        sample.execute("r5", "k3");
        sample.addRead(1, "h1"); // line 6
        sample.addRead(2, "h2"); // line 7
        sample.addRead(1, "h1", false); // line 8
        sample.addRead(2, "h2"); // line 9
        return sample;
    }

    void assertFound(const Sample& sample, const std::string& rule, const std::vector<std::size_t>& lines)
    {
        const std::vector<Finding> findings = sample.check();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, findings.size());
        CPPUNIT_ASSERT_EQUAL(rule, findings[0].m_rule);
        CPPUNIT_ASSERT(findings[0].m_lines == lines);
    }

} // namespace

class HistoryCheckerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HistoryCheckerTest);
    CPPUNIT_TEST(passesACorrectHistory);
    CPPUNIT_TEST(findsAnAnswerToAnotherRequest);
    CPPUNIT_TEST(findsAnAnswerGivenTwice);
    CPPUNIT_TEST(findsAnAnswerThatNoMinionGave);
    CPPUNIT_TEST(findsAReplayOfAKeyThatNeverRan);
    CPPUNIT_TEST(findsAKeyExecutedTwice);
    CPPUNIT_TEST(findsAnExecutionOfARefusedRequest);
    CPPUNIT_TEST(findsAnExecutionOfAKeyWhoseAttemptsAllSayNotRun);
    CPPUNIT_TEST(findsAViolationOfThePlatform);
    CPPUNIT_TEST(findsAVersionThatWentBackForOneReader);
    CPPUNIT_TEST(findsAVersionThatWentBackBetweenReaders);
    CPPUNIT_TEST(allowsOverlappingReadsInAnyOrder);
    CPPUNIT_TEST(findsTwoContentsOfOneVersion);
    CPPUNIT_TEST(findsMissingExecutions);
    CPPUNIT_TEST(findsAnEmptyHistory);
    CPPUNIT_TEST(findsAHistoryWithoutAnswers);
    CPPUNIT_TEST(readsWhatWasWritten);
    CPPUNIT_TEST(refusesAnUnreadableLine);
    CPPUNIT_TEST(readsTheRecordsOfTheStandin);
    CPPUNIT_TEST_SUITE_END();

public:
    void passesACorrectHistory() { CPPUNIT_ASSERT(correctSample().check().empty()); }

    void findsAnAnswerToAnotherRequest()
    {
        Sample sample = correctSample();
        sample.m_history[0].m_body = digestOf("body of r2");
        assertFound(sample, "foreign-answer", { 1 });
    }

    void findsAnAnswerGivenTwice()
    {
        Sample sample = correctSample();
        sample.addAnswer("r1");
        assertFound(sample, "answer-reused", { 1, 10 });
    }

    void findsAnAnswerThatNoMinionGave()
    {
        Sample sample = correctSample();
        sample.addAnswer("r9");
        assertFound(sample, "answer-without-execution", { 10 });
    }

    void findsAReplayOfAKeyThatNeverRan()
    {
        Sample sample = correctSample();
        sample.addAnswer("r9", "k9").m_replayed = true;
        assertFound(sample, "answer-without-execution", { 10 });
    }

    void findsAKeyExecutedTwice()
    {
        Sample sample = correctSample();
        sample.execute("r3", "k1");
        assertFound(sample, "executed-twice", { 2, 3 });
    }

    void findsAnExecutionOfARefusedRequest()
    {
        Sample sample = correctSample();
        sample.addRefusal("r9", "not-run");
        sample.execute("r9");
        assertFound(sample, "run-after-refusal", { 10 });
    }

    void findsAnExecutionOfAKeyWhoseAttemptsAllSayNotRun()
    {
        Sample sample = correctSample();
        sample.addRefusal("r9", "not-run", "k2");
        sample.execute("r10", "k2");
        assertFound(sample, "run-after-refusal", { 4, 10 });
    }

    void findsAViolationOfThePlatform()
    {
        Sample sample = correctSample();
        sample.m_violations.push_back({ "slots-exceeded", "trial-planner/0" });
        assertFound(sample, "platform-violation", {});
    }

    void findsAVersionThatWentBackForOneReader()
    {
        Sample sample = correctSample();
        sample.addRead(1, "h1");
        assertFound(sample, "version-went-back", { 7, 10 });
    }

    void findsAVersionThatWentBackBetweenReaders()
    {
        Sample sample = correctSample();
        sample.addRead(1, "h1").m_party = "party-2";
        assertFound(sample, "version-went-back", { 7, 10 });
    }

    void allowsOverlappingReadsInAnyOrder()
    {
        Sample sample = correctSample();
        sample.addRead(3, "h3").m_completedUs = 1150;
        sample.addRead(2, "h2").m_party = "party-2";
        CPPUNIT_ASSERT(sample.check().empty());
    }

    void findsTwoContentsOfOneVersion()
    {
        Sample sample = correctSample();
        sample.addRead(2, "h9", false);
        assertFound(sample, "version-disagreement", { 7, 10 });
    }

    void findsMissingExecutions()
    {
        Sample sample = correctSample();
        for (ObservedExecution& execution : sample.m_executions)
            ++execution.m_sequence;
        assertFound(sample, "incomplete-history", {});
    }

    void findsAnEmptyHistory() { assertFound({}, "incomplete-history", {}); }

    void findsAHistoryWithoutAnswers()
    {
        Sample sample;
        sample.add(OperationKind::Request, OperationOutcome::Lost);
        sample.addRead(1, "h1");
        assertFound(sample, "incomplete-history", {});
    }

    void readsWhatWasWritten()
    {
        const Sample sample = correctSample();
        std::stringstream file;
        for (const HistoryEntry& entry : sample.m_history)
            file << toLine(entry) << '\n';
        const auto history = readHistory(file);
        CPPUNIT_ASSERT(succeeded(history));
        CPPUNIT_ASSERT(valueOf(history) == sample.m_history);
    }

    void refusesAnUnreadableLine()
    {
        std::stringstream file(toLine(correctSample().m_history[0]) + "\n{\"kind\":\"request\"}\n");
        const auto history = readHistory(file);
        CPPUNIT_ASSERT(!succeeded(history));
        CPPUNIT_ASSERT(errorOf(history).m_detail.starts_with("line 2: "));
    }

    void readsTheRecordsOfTheStandin()
    {
        const auto executions = parseExecutions(R"({"executions":[{"seq":1,"request":"r1","idempotencyKey":"k1",)"
                                                R"("minion":"tp/0","epoch":1,"startMs":1,"endMs":2,"outcome":""}]})");
        CPPUNIT_ASSERT(succeeded(executions));
        CPPUNIT_ASSERT_EQUAL(std::string("k1"), valueOf(executions).at(0).m_key);
        const auto violations = parseViolations(R"({"counts":{},"violations":[{"kind":"a","detail":"b","timeMs":1}]})");
        CPPUNIT_ASSERT(succeeded(violations));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), valueOf(violations).at(0).m_kind);
        // A document of another shape must not pass as an empty list.
        CPPUNIT_ASSERT(!succeeded(parseExecutions("{}")));
        CPPUNIT_ASSERT(!succeeded(parseViolations("[]")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTest);

} // namespace sapphiredale::load
