// Tests of the claims of non-repeatable requests.

#include "routing/ClaimTable.h"
#include "routing/ChoicePolicy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace sapphiredale::routing {

namespace {

    constexpr WallTime origin { std::chrono::hours(500000) };
    constexpr std::chrono::seconds seconds(int n) { return std::chrono::seconds(n); }

    ClaimRecord claim(const std::string& id, const std::string& key, WallTime deadline = origin + seconds(60))
    {
        return { RecordId(id), key, 42, deadline };
    }

    OutcomeRecord outcome(const std::string& claimId, const std::string& key, std::string body = "done")
    {
        return { RecordId("o" + claimId), RecordId(claimId), key, false, 200, "text/plain", std::move(body), true };
    }

} // namespace

class ClaimTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClaimTableTest);
    CPPUNIT_TEST(firstClaimWinsAndItsOutcomeIsReplayed);
    CPPUNIT_TEST(otherRequestOrDeadlineIsAMismatch);
    CPPUNIT_TEST(notRunFreesTheKey);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(atMostOneWinnerRunsInAnyOrder);
    CPPUNIT_TEST(codecRoundTripAndRejection);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two winners, and against a loser that learns less than the table knows.
    void firstClaimWinsAndItsOutcomeIsReplayed()
    {
        ClaimTable table { ClaimTableSettings {} };
        CPPUNIT_ASSERT(table.verdict(RecordId("a"), "k").m_kind == ClaimVerdict::Kind::Unread);
        table.apply(0, origin, claim("a", "k"));
        table.apply(1, origin, claim("b", "k"));
        // The same append twice, because its response was lost.
        table.apply(2, origin, claim("a", "k"));
        CPPUNIT_ASSERT(table.verdict(RecordId("a"), "k").m_kind == ClaimVerdict::Kind::Won);
        CPPUNIT_ASSERT(table.verdict(RecordId("b"), "k").m_kind == ClaimVerdict::Kind::MayHaveRun);
        // An outcome by somebody who did not win changes nothing.
        table.apply(3, origin, outcome("b", "k", "forged"));
        table.apply(4, origin, outcome("a", "k"));
        const ClaimVerdict verdict = table.verdict(RecordId("b"), "k");
        CPPUNIT_ASSERT(verdict.m_kind == ClaimVerdict::Kind::Replay);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), verdict.m_outcome->m_body);
    }

    // Guards against the answer of another request, and against a retry that outlives the memory of the first claim.
    void otherRequestOrDeadlineIsAMismatch()
    {
        ClaimTable table { ClaimTableSettings {} };
        table.apply(0, origin, claim("a", "k"));
        ClaimRecord other = claim("b", "k");
        other.m_fingerprint = 43;
        table.apply(1, origin, other);
        table.apply(2, origin, claim("c", "k", origin + seconds(61)));
        CPPUNIT_ASSERT(table.verdict(RecordId("b"), "k").m_kind == ClaimVerdict::Kind::Mismatch);
        CPPUNIT_ASSERT(table.verdict(RecordId("c"), "k").m_kind == ClaimVerdict::Kind::Mismatch);
        // A claim that reaches the log after its deadline never wins, also when nobody claimed the key before.
        table.apply(3, origin + seconds(60), claim("d", "other"));
        CPPUNIT_ASSERT(table.verdict(RecordId("d"), "other").m_kind == ClaimVerdict::Kind::Expired);
    }

    // Guards against a request that was refused as not run and can then never be run.
    void notRunFreesTheKey()
    {
        ClaimTable table { ClaimTableSettings {} };
        table.apply(0, origin, claim("a", "k"));
        OutcomeRecord notRun = outcome("a", "k");
        notRun.m_notRun = true;
        table.apply(1, origin, notRun);
        table.apply(2, origin, claim("b", "k"));
        CPPUNIT_ASSERT(table.verdict(RecordId("a"), "k").m_kind != ClaimVerdict::Kind::Won);
        CPPUNIT_ASSERT(table.verdict(RecordId("b"), "k").m_kind == ClaimVerdict::Kind::Won);
    }

    // Guards against memory that grows with the number of keys, bodies or losing claims.
    void memoryIsBounded()
    {
        ClaimTableSettings settings;
        settings.m_maxKeys = 100;
        settings.m_maxBodyBytes = 1000;
        ClaimTable table(settings);
        for (int i = 0; i < 500; ++i) {
            const std::string id = std::to_string(i);
            table.apply(2 * static_cast<std::uint64_t>(i), origin, claim(id, "k" + id));
            table.apply(2 * static_cast<std::uint64_t>(i) + 1, origin, outcome(id, "k" + id, std::string(100, 'x')));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 100 }, table.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1000 }, table.bodyBytes());
        CPPUNIT_ASSERT(table.verdict(RecordId("499"), "k499").m_kind == ClaimVerdict::Kind::Full);
        // An outcome without its body cannot be repeated.
        table.apply(1000, origin, claim("again", "k99"));
        CPPUNIT_ASSERT(table.verdict(RecordId("again"), "k99").m_kind == ClaimVerdict::Kind::MayHaveRun);
        table.advance(1001, origin + seconds(91));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, table.size() + table.bodyBytes());
    }

    // Guards against a second run of one request, whatever the order of claims, outcomes, duplicates and expiry.
    void atMostOneWinnerRunsInAnyOrder()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            Random random(seed);
            ClaimTable table { ClaimTableSettings {} };
            ClaimTable second { ClaimTableSettings {} };
            std::set<std::string> ran;
            std::vector<ClaimRecord> appended;
            WallTime now = origin;
            for (std::uint64_t offset = 0; offset < 300; ++offset) {
                now += std::chrono::milliseconds(random.below(1000));
                ClaimRecord record = claim(std::to_string(offset), "k" + std::to_string(random.below(5)));
                if (!appended.empty() && random.below(4) == 0)
                    record = appended[random.below(appended.size())];
                appended.push_back(record);
                table.apply(offset, now, record);
                second.apply(offset, now, record);
                // Each key names one request; its deadline is the same in every retry.
                const bool won = table.verdict(record.m_id, record.m_key).m_kind == ClaimVerdict::Kind::Won;
                const bool isNew = appended.size() == offset + 1 && record.m_id.value() == std::to_string(offset);
                if (won && isNew)
                    CPPUNIT_ASSERT(ran.insert(record.m_key).second);
                CPPUNIT_ASSERT(table.verdict(record.m_id, record.m_key).m_kind
                    == second.verdict(record.m_id, record.m_key).m_kind);
            }
            CPPUNIT_ASSERT(!ran.empty() && table.size() == 0);
        }
    }

    // Guards against records that another version reads differently, and against a crash on any text in the stream.
    void codecRoundTripAndRejection()
    {
        ClaimRecord record = claim("a", "key \"\\ \n");
        record.m_fingerprint = 0xffffffffffffff01ULL;
        OutcomeRecord result = outcome("a", "k", std::string("\0\xff\"binary", 9));
        for (const ClaimStreamRecord& original : { ClaimStreamRecord(record), ClaimStreamRecord(result) }) {
            const std::string text = encodeClaimRecord(original);
            const auto decoded = decodeClaimRecord(text);
            CPPUNIT_ASSERT(succeeded(decoded) && valueOf(decoded) == original);
            for (std::size_t i = 0; i < text.size(); ++i)
                CPPUNIT_ASSERT(!succeeded(decodeClaimRecord(text.substr(0, i))));
        }
        const auto other = decodeClaimRecord(R"({"type":"job","id":"x"})");
        CPPUNIT_ASSERT(succeeded(other) && !valueOf(other));
        CPPUNIT_ASSERT(!succeeded(decodeClaimRecord(R"({"type":"claim","id":"x","key":3})")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTableTest);

} // namespace sapphiredale::routing
