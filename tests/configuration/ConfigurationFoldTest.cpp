// Tests of the fold of the configuration stream and of the codec of its records.

#include "configuration/ConfigurationFold.h"
#include "configuration/ClusterFileWriter.h"
#include "tests/configuration/SampleFiles.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace sapphiredale::configuration {

namespace {

    WallTime at(std::int64_t seconds) { return WallTime(std::chrono::seconds(seconds)); }

    std::string applyText(const std::string& id, std::uint64_t base, const std::string& content)
    {
        return encodeRecord(ApplyRecord { RecordId(id), base, "author of " + id, at(1), content });
    }

    std::string refreshText(const std::string& id, const ConfigurationState& state)
    {
        return encodeRecord(RefreshRecord { RecordId(id), "daemon", at(2), state });
    }

    std::string canonical(int instances) { return writeClusterFile(parsed(fileWithInstances(instances))); }

    bool isSame(const ConfigurationFold& a, const ConfigurationFold& b)
    {
        return a.version() == b.version() && a.history() == b.history()
            && (a.version() == 0
                || (a.inForce()->m_content == b.inForce()->m_content && a.inForce()->m_hash == b.inForce()->m_hash
                    && a.inForce()->m_previousWorkers == b.inForce()->m_previousWorkers));
    }

} // namespace

class ConfigurationFoldTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationFoldTest);
    CPPUNIT_TEST(racingAppliesHaveOneWinner);
    CPPUNIT_TEST(unreadableAndInvalidRecordsAreRefusedEverywhere);
    CPPUNIT_TEST(aLateRefreshOfAnOldVersionDoesNotMislead);
    CPPUNIT_TEST(aReaderThatLostRecordsAcceptsNothing);
    CPPUNIT_TEST(previousWorkerSetsSurviveARefresh);
    CPPUNIT_TEST(historyAndRecordsStayWithinTheirBounds);
    CPPUNIT_TEST(hostileRecordsAreRefused);
    CPPUNIT_TEST(allReadersOfRandomStreamsAgree);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two operators who are both told that their file is in force.
    void racingAppliesHaveOneWinner()
    {
        ConfigurationFold fold;
        fold.apply(applyText("a", 0, canonical(1)), 0, at(10));
        fold.apply(applyText("b", 1, canonical(2)), 1, at(11));
        fold.apply(applyText("c", 1, canonical(3)), 2, at(12));
        fold.apply(applyText("b", 1, canonical(2)), 3, at(13));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, fold.version());
        CPPUNIT_ASSERT_EQUAL(canonical(2), fold.inForce()->m_content);
        CPPUNIT_ASSERT(fold.outcomeOf(RecordId("b")) == RecordOutcome(Accepted { 2 }));
        CPPUNIT_ASSERT(fold.outcomeOf(RecordId("x")) == RecordOutcome(UnknownOutcome {}));

        const RecordOutcome lost = fold.outcomeOf(RecordId("c"));
        const auto& stale = std::get<RefusedStaleBase>(lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, stale.m_since.size());
        CPPUNIT_ASSERT_EQUAL(std::string("author of b"), stale.m_since[0].m_author);
        CPPUNIT_ASSERT(stale.m_since[0].m_changes == std::vector<std::string> { "workloads[front].instances: 1 -> 2" });
    }

    // Guards against daemons that disagree on a version because one of them skipped or half-read a record.
    void unreadableAndInvalidRecordsAreRefusedEverywhere()
    {
        std::string newer = applyText("n", 1, canonical(4));
        replace(newer, "\"format\":1", "\"format\":2");
        std::string unknownKind = applyText("k", 1, canonical(4));
        replace(unknownKind, "\"apply\"", "\"merge\"");
        std::string extraMember = applyText("e", 1, canonical(5));
        replace(extraMember, "{", "{\"added\":[{}],");

        ConfigurationFold fold;
        fold.apply(applyText("a", 0, canonical(1)), 0, at(10));
        fold.apply(newer, 1, at(11));
        fold.apply(unknownKind, 2, at(12));
        fold.apply(applyText("i", 1, "{\"format\": 1}"), 3, at(13));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fold.version());
        const RecordOutcome refused = fold.outcomeOf(RecordId("n"));
        CPPUNIT_ASSERT(std::get<RefusedUnreadable>(refused).m_error.m_kind == RecordError::Kind::NewerFormat);
        CPPUNIT_ASSERT(std::holds_alternative<RefusedUnreadable>(fold.outcomeOf(RecordId("k"))));
        CPPUNIT_ASSERT(std::holds_alternative<RefusedInvalid>(fold.outcomeOf(RecordId("i"))));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, fold.counters().m_newerFormat);

        fold.apply(extraMember, 4, at(14));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, fold.version());
    }

    // Guards against a fork: a reader that starts after the records before offset 2 expired sees a refresh of version
    // 1, written by a daemon that had not read version 2, and then an apply on version 1.
    void aLateRefreshOfAnOldVersionDoesNotMislead()
    {
        ConfigurationFold slow;
        slow.apply(applyText("a", 0, canonical(1)), 0, at(10));
        const std::string lateRefresh = refreshText("r1", slow.state());

        ConfigurationFold full;
        ConfigurationFold late;
        const std::vector<std::string> records { applyText("a", 0, canonical(1)), applyText("b", 1, canonical(2)),
            lateRefresh, applyText("c", 1, canonical(3)) };
        late.expireBefore(2);
        for (std::size_t i = 0; i < records.size(); ++i) {
            full.apply(records[i], i, at(20));
            late.apply(records[i], i, at(20));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, full.version());
        CPPUNIT_ASSERT(!late.isAnchored());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, late.version());

        // The next refresh was written after record 2 was folded; record 3 is then judged from the kept records.
        ConfigurationState state = full.state();
        state.m_nextOffset = 3;
        late.apply(refreshText("r2", state), 4, at(30));
        full.apply(refreshText("r2", state), 4, at(30));
        CPPUNIT_ASSERT(late.isAnchored());
        CPPUNIT_ASSERT(isSame(full, late));
        CPPUNIT_ASSERT(std::holds_alternative<RefusedStaleBase>(late.outcomeOf(RecordId("c"))));
    }

    // Guards against a daemon that was cut off for longer than the retention: it keeps its file, accepts nothing on its
    // own, and follows again by a peer or a refresh.
    void aReaderThatLostRecordsAcceptsNothing()
    {
        ConfigurationFold cutOff;
        cutOff.apply(applyText("a", 0, canonical(1)), 0, at(10));
        ConfigurationFold full = cutOff;
        full.apply(applyText("b", 1, canonical(2)), 1, at(11));

        cutOff.apply(applyText("c", 1, canonical(3)), 2, at(12));
        full.apply(applyText("c", 1, canonical(3)), 2, at(12));
        CPPUNIT_ASSERT(!cutOff.isAnchored());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, cutOff.version());

        ConfigurationFold byPeer = cutOff;
        CPPUNIT_ASSERT(byPeer.adopt(full.state()));
        CPPUNIT_ASSERT(isSame(byPeer, full));
        CPPUNIT_ASSERT(!byPeer.adopt(ConfigurationFold().state()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, byPeer.version());

        cutOff.apply(refreshText("r", full.state()), 3, at(13));
        CPPUNIT_ASSERT(cutOff.isAnchored() && isSame(cutOff, full));
    }

    // Guards against two domain schedulers after a change of the workers: a new daemon must learn the former set.
    void previousWorkerSetsSurviveARefresh()
    {
        std::string other = smallFile();
        replace(other, "\"name\": \"w2\"", "\"name\": \"w3\"");
        ConfigurationFold fold;
        fold.apply(applyText("a", 0, canonical(1)), 0, at(10));
        CPPUNIT_ASSERT(fold.inForce()->m_previousWorkers.empty());
        fold.apply(applyText("b", 1, writeClusterFile(parsed(other))), 1, at(11));
        other = writeClusterFile(parsed(other));
        replace(other, "\"instances\": 3", "\"instances\": 2");
        fold.apply(applyText("c", 2, other), 2, at(12));

        ConfigurationFold fresh;
        fresh.expireBefore(3);
        fresh.apply(refreshText("r", fold.state()), 3, at(13));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, fresh.version());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fresh.inForce()->m_previousWorkers.size());
        const PreviousWorkerSet& set = fresh.inForce()->m_previousWorkers.front();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, set.m_changedInVersion);
        CPPUNIT_ASSERT((set.m_workers == std::vector<WorkerId> { WorkerId("w1"), WorkerId("w2") }));
    }

    // Guards against a history that grows until no refresh record fits, and against a cut inside a UTF-8 character.
    void historyAndRecordsStayWithinTheirBounds()
    {
        ConfigurationFold fold;
        for (std::uint64_t i = 0; i < 150; ++i) {
            std::string program;
            while (program.size() < 1000)
                program += i % 2 == 0 ? "\xc3\xa9" : "\xe2\x82\xac";
            std::string text = fileWithInstances(1);
            replace(text, "\"program\": \"p\"", "\"program\": \"" + std::string(i % 3, 'x') + program + '"');
            fold.apply(applyText("a" + std::to_string(i), i, writeClusterFile(parsed(text))), i, at(10));
            CPPUNIT_ASSERT_EQUAL(i + 1, fold.version());
        }
        CPPUNIT_ASSERT_EQUAL(maxHistoryEntries, fold.history().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 150 }, fold.history().back().m_version);
        const auto decoded = decodeRecord(refreshText("r", fold.state()));
        const auto& refresh = std::get<RefreshRecord>(std::get<ConfigurationRecord>(decoded));
        CPPUNIT_ASSERT(refresh.m_state == fold.state());
        CPPUNIT_ASSERT(std::get<ConfigurationState>(decodeState(encodeState(fold.state()))) == fold.state());
    }

    // Guards against a record that stops or exhausts every daemon that reads the stream.
    void hostileRecordsAreRefused()
    {
        const std::string good = applyText("a", 0, canonical(1));
        std::vector<std::string> texts { "", "7", "[]", "{}", std::string(1000000, '['), std::string(2000000, ' '),
            "{\"format\":-1}", "{\"format\":1e99}", "{\"format\":1,\"kind\":\"apply\"}",
            "{\"format\":1,\"kind\":\"refresh\",\"id\":\"r\",\"author\":\"\",\"timeMs\":0,\"state\":[]}" };
        for (std::size_t cut = 1; cut < good.size(); cut += 7)
            texts.push_back(good.substr(0, cut));
        std::mt19937 random(20261204);
        for (int i = 0; i < 2000; ++i) {
            std::string text = good;
            text[random() % 80] = static_cast<char>(random());
            texts.push_back(text);
        }
        ConfigurationFold fold;
        std::uint64_t offset = 0;
        for (const std::string& text : texts) {
            fold.apply(text, offset++, at(10));
            decodeState(text);
        }
        CPPUNIT_ASSERT(fold.isAnchored());
        CPPUNIT_ASSERT(fold.version() <= 1);
    }

    // Guards against any order of applies, late refreshes, expired records and peer states in which two readers
    // disagree or a version goes back. The reader of everything is the reference.
    void allReadersOfRandomStreamsAgree()
    {
        std::uint64_t anchoredLate = 0;
        for (std::uint32_t seed = 1; seed <= 60; ++seed) {
            std::mt19937 random(seed);
            ConfigurationFold full;
            std::vector<ConfigurationState> states { full.state() };
            std::vector<std::string> records;
            std::vector<ConfigurationFold> readers(4);
            for (std::uint64_t offset = 0; offset < 120; ++offset) {
                records.push_back(randomRecord(random, full, states));
                full.apply(records.back(), offset, at(static_cast<std::int64_t>(offset)));
                states.push_back(full.state());
                for (ConfigurationFold& reader : readers)
                    advanceReader(random, reader, records, states, full);
            }
            for (ConfigurationFold& reader : readers) {
                readFrom(reader, records, records.size());
                anchoredLate += reader.isAnchored() && reader.counters().m_adopted > 0;
            }
        }
        // The run must have exercised the late readers.
        CPPUNIT_ASSERT(anchoredLate > 100);
    }

private:
    static std::string randomRecord(
        std::mt19937& random, const ConfigurationFold& full, const std::vector<ConfigurationState>& states)
    {
        const std::string id = std::to_string(random() % 500);
        const std::uint64_t version = full.version();
        switch (random() % 8) {
        case 0:
            return "no record";
        case 1:
            return applyText(id, version, "no file");
        case 2:
        case 3:
            // A refresher lags by up to ten records.
            return refreshText(
                "r" + id, states[states.size() - 1 - random() % std::min<std::size_t>(10, states.size())]);
        default:
            return applyText(id, version - std::min<std::uint64_t>(version, random() % 3),
                canonical(static_cast<int>(random() % 8)));
        }
    }

    static void readFrom(ConfigurationFold& reader, const std::vector<std::string>& records, std::size_t end)
    {
        for (std::uint64_t offset = reader.nextOffset(); offset < end; ++offset)
            reader.apply(records[offset], offset, at(static_cast<std::int64_t>(offset)));
    }

    static void advanceReader(std::mt19937& random, ConfigurationFold& reader, const std::vector<std::string>& records,
        const std::vector<ConfigurationState>& states, const ConfigurationFold& full)
    {
        const std::uint64_t before = reader.version();
        switch (random() % 20) {
        case 0:
            reader = ConfigurationFold();
            reader.expireBefore(random() % records.size());
            return;
        case 1:
            reader.expireBefore(reader.nextOffset() + random() % 4);
            break;
        case 2:
            reader.adopt(states[random() % states.size()]);
            break;
        case 3:
        case 4:
        case 5:
            readFrom(reader, records, records.size());
            if (reader.isAnchored())
                CPPUNIT_ASSERT(isSame(reader, full));
            break;
        default:
            break;
        }
        CPPUNIT_ASSERT(reader.version() >= before);
        if (reader.isAnchored() && reader.nextOffset() < states.size())
            CPPUNIT_ASSERT_EQUAL(states[reader.nextOffset()].m_version, reader.version());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFoldTest);

} // namespace sapphiredale::configuration
