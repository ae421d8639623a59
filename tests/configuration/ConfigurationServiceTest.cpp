// Tests of the configuration core of a daemon, with several daemons and a log in virtual time.

#include "configuration/ConfigurationService.h"
#include "configuration/ClusterFileWriter.h"
#include "tests/configuration/SampleFiles.h"
#include "tests/configuration/ServiceSimulation.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphiredale::configuration {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class ConfigurationServiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationServiceTest);
    CPPUNIT_TEST(appliesAreActiveEverywhereAndRacesHaveOneWinner);
    CPPUNIT_TEST(badRequestsAreRefusedWithoutAnAppend);
    CPPUNIT_TEST(lostAppendAnswersAreResolved);
    CPPUNIT_TEST(anUndecidedApplyIsReportedAsSuch);
    CPPUNIT_TEST(aRefusalDuringAnOutageIsFinal);
    CPPUNIT_TEST(readsAreConfirmedOrSayThatTheyAreNot);
    CPPUNIT_TEST(oneDaemonRefreshesAndTheFileOutlivesTheRetention);
    CPPUNIT_TEST(aDaemonStartsDuringAnOutageFromAPeer);
    CPPUNIT_TEST(theWholeFleetCanBeReplaced);
    CPPUNIT_TEST(randomFailuresNeverBreakAPromise);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a version that reaches only some daemons within the 4 s of the requirements, and against two
    // operators who are both told that their file is in force.
    void appliesAreActiveEverywhereAndRacesHaveOneWinner()
    {
        ServiceSimulation simulation(3, 1);
        simulation.run(seconds(1));
        CPPUNIT_ASSERT(simulation.service(0).readiness() == ConfigurationReadiness::NoFile);
        acceptedVersion(simulation, simulation.apply(0, fileWithInstances(1), 0), seconds(1));

        const RequestToken first = simulation.apply(1, fileWithInstances(2), 1);
        const RequestToken second = simulation.apply(2, fileWithInstances(3), 1);
        simulation.run(seconds(4));
        const bool firstWon = std::holds_alternative<ApplyAccepted>(simulation.applyAnswer(first)->m_answer);
        const ApplyRefused refusal = refused(simulation, firstWon ? second : first);
        CPPUNIT_ASSERT(refusal.m_kind == ErrorKind::VersionConflict);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, refusal.m_changes.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("operator ") + std::to_string(firstWon ? first : second), refusal.m_changes.front().m_author);
        CPPUNIT_ASSERT_EQUAL(std::string("workloads[front].instances: 1 -> ") + (firstWon ? "2" : "3"),
            refusal.m_changes.front().m_changes.front());
        for (std::size_t i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, simulation.service(i).fold().version());
            CPPUNIT_ASSERT(simulation.service(i).readiness() == ConfigurationReadiness::Ready);
        }
        // Stale bases are refused at once, without a record.
        const std::size_t records = simulation.allRecords().size();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 2 }, refused(simulation, simulation.apply(0, smallFile(), 0)).m_changes.size());
        CPPUNIT_ASSERT_EQUAL(records, simulation.allRecords().size());
    }

    // Guards against records that every reader refuses, and against an apply without a base.
    void badRequestsAreRefusedWithoutAnAppend()
    {
        ServiceSimulation simulation(1, 2);
        CPPUNIT_ASSERT(refused(simulation, simulation.apply(0, smallFile(), std::nullopt)).m_kind
            == ErrorKind::PreconditionRequired);
        simulation.run(seconds(1));
        const ApplyRefused invalid = refused(simulation, simulation.apply(0, "{\"format\": 1}", 0));
        CPPUNIT_ASSERT(invalid.m_kind == ErrorKind::ConfigurationInvalid && !invalid.m_errors.empty());
        const RequestToken ahead = simulation.apply(0, smallFile(), 7);
        simulation.run(seconds(1));
        CPPUNIT_ASSERT(refused(simulation, ahead).m_kind == ErrorKind::VersionConflict);

        ConfigurationServiceSettings settings;
        settings.m_daemon = DaemonId("d");
        for (const std::string& author : { std::string(), std::string("\xff\xfe"), std::string(200, 'a') }) {
            ConfigurationService service(settings);
            const auto actions = service.step(ApplyRequest { 1, smallFile(), 0, author }, {});
            const auto& answer = std::get<AnswerApply>(actions.front());
            CPPUNIT_ASSERT(std::get<ApplyRefused>(answer.m_answer).m_kind == ErrorKind::InvalidRequest);
        }
        CPPUNIT_ASSERT(simulation.allRecords().empty());
    }

    // Guards against an apply that is repeated as a second version, or given up, because an answer of the log was lost.
    void lostAppendAnswersAreResolved()
    {
        ServiceSimulation simulation(2, 3);
        simulation.run(seconds(1));
        simulation.m_fates = { AppendFate::AnswerLost };
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t { 1 }, acceptedVersion(simulation, simulation.apply(0, fileWithInstances(1), 0), seconds(4)));
        simulation.m_fates = { AppendFate::RecordLost, AppendFate::AnswerLost };
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t { 2 }, acceptedVersion(simulation, simulation.apply(0, fileWithInstances(2), 1), seconds(7)));
        simulation.run(minutes(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, simulation.allRecords().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, simulation.service(1).fold().version());
    }

    // Guards against "refused" or "accepted" while the record may or may not be in the log.
    void anUndecidedApplyIsReportedAsSuch()
    {
        ServiceSimulation simulation(2, 4);
        simulation.run(seconds(1));
        simulation.m_fates = { AppendFate::AnswerLost };
        const RequestToken token = simulation.apply(0, fileWithInstances(1), 0);
        // The record reaches the log, then the log fails before anyone reads it.
        simulation.m_isLogOut = true;
        simulation.run(seconds(10));
        const auto* undecided = std::get_if<ApplyUndecided>(&simulation.applyAnswer(token)->m_answer);
        CPPUNIT_ASSERT(undecided);
        CPPUNIT_ASSERT(
            std::holds_alternative<UnknownOutcome>(simulation.service(1).fold().outcomeOf(undecided->m_recordId)));
        simulation.m_isLogOut = false;
        simulation.run(seconds(10));
        for (std::size_t i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT(
                simulation.service(i).fold().outcomeOf(undecided->m_recordId) == RecordOutcome(Accepted { 1 }));
        }
    }

    // Guards against a file that comes into force after its operator was told that it was not applied.
    void aRefusalDuringAnOutageIsFinal()
    {
        ServiceSimulation simulation(1, 5);
        simulation.run(seconds(1));
        simulation.m_isLogOut = true;
        const RequestToken token = simulation.apply(0, fileWithInstances(1), 0);
        simulation.run(seconds(10));
        CPPUNIT_ASSERT(refused(simulation, token).m_kind == ErrorKind::LogUnavailable);
        CPPUNIT_ASSERT(simulation.service(0).isLogOut());
        simulation.m_isLogOut = false;
        simulation.run(minutes(5));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, simulation.service(0).fold().version());
        CPPUNIT_ASSERT(!simulation.service(0).isLogOut());
    }

    // Guards against a read that shows an older version than an earlier read through another daemon.
    void readsAreConfirmedOrSayThatTheyAreNot()
    {
        ServiceSimulation simulation(2, 6);
        simulation.run(seconds(1));
        const RequestToken token = simulation.apply(0, fileWithInstances(1), 0);
        while (!simulation.applyAnswer(token))
            simulation.run(milliseconds(1));
        const RequestToken read = simulation.read(1);
        simulation.run(milliseconds(100));
        CPPUNIT_ASSERT(simulation.readAnswer(read) == std::pair(true, std::uint64_t { 1 }));

        simulation.m_isLogOut = true;
        const RequestToken blind = simulation.read(1);
        simulation.run(seconds(2));
        CPPUNIT_ASSERT(simulation.readAnswer(blind) == std::pair(false, std::uint64_t { 1 }));
    }

    // Guards against a file that expires with its record, against 24 refreshes where one is enough, and against a fleet
    // that stops refreshing because the first candidate has failed.
    void oneDaemonRefreshesAndTheFileOutlivesTheRetention()
    {
        ServiceSimulation simulation(4, 7, hours(3));
        simulation.run(seconds(1));
        acceptedVersion(simulation, simulation.apply(0, fileWithInstances(1), 0), seconds(2));
        simulation.run(hours(6));
        // One record per hour, the third of the retention; the stagger may add a daemon whose poll was late.
        const std::size_t refreshes = simulation.allRecords().size() - 1;
        CPPUNIT_ASSERT(refreshes >= 5 && refreshes <= 7);

        for (std::size_t i = 0; i < 3; ++i)
            simulation.stop(i);
        simulation.run(hours(6));
        CPPUNIT_ASSERT(simulation.allRecords().size() - 1 >= refreshes + 5);
        simulation.start(0);
        simulation.stop(3);
        simulation.run(seconds(2));
        CPPUNIT_ASSERT(simulation.service(0).readiness() == ConfigurationReadiness::Ready);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, simulation.service(0).fold().version());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t { 2 }, acceptedVersion(simulation, simulation.apply(0, fileWithInstances(2), 1), seconds(2)));
    }

    // Guards against a daemon that serves without a file, or waits for the log although a peer has the file.
    void aDaemonStartsDuringAnOutageFromAPeer()
    {
        ServiceSimulation simulation(3, 8);
        simulation.run(seconds(1));
        acceptedVersion(simulation, simulation.apply(0, fileWithInstances(1), 0), seconds(2));
        simulation.stop(2);
        simulation.run(seconds(2));
        simulation.m_isLogOut = true;
        simulation.start(2);
        CPPUNIT_ASSERT(simulation.service(2).readiness() == ConfigurationReadiness::NotReady);
        simulation.run(seconds(4));
        CPPUNIT_ASSERT(simulation.service(2).readiness() == ConfigurationReadiness::Ready);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, simulation.service(2).fold().version());
        simulation.m_isLogOut = false;
        simulation.run(seconds(10));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t { 2 }, acceptedVersion(simulation, simulation.apply(2, fileWithInstances(2), 1), seconds(2)));
    }

    // Guards against a file that is lost with the last daemon that held it: with the log up, and during an outage.
    void theWholeFleetCanBeReplaced()
    {
        ServiceSimulation simulation(2, 9, hours(3));
        simulation.run(seconds(1));
        acceptedVersion(simulation, simulation.apply(0, fileWithInstances(1), 0), seconds(2));
        simulation.run(hours(10));
        for (const bool isLogOut : { false, true }) {
            simulation.m_isLogOut = isLogOut;
            simulation.stop(0);
            simulation.stop(1);
            simulation.run(minutes(1));
            simulation.start(0);
            simulation.start(1);
            simulation.run(isLogOut ? minutes(90) : minutes(1));
            if (isLogOut) {
                CPPUNIT_ASSERT(simulation.service(0).readiness() == ConfigurationReadiness::NotReady);
                CPPUNIT_ASSERT(!simulation.service(0).readinessDetail().empty());
                simulation.m_isLogOut = false;
                simulation.run(seconds(10));
            }
            for (std::size_t i = 0; i < 2; ++i) {
                CPPUNIT_ASSERT(simulation.service(i).readiness() == ConfigurationReadiness::Ready);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, simulation.service(i).fold().version());
            }
        }
    }

    // Guards against any order of outages, lost answers, restarts and racing operators that breaks a promise: an answer
    // that turns out to be false, a version that goes back, or daemons that end with different files.
    void randomFailuresNeverBreakAPromise()
    {
        std::map<std::string, int> outcomes;
        for (std::uint32_t seed = 1; seed <= 40; ++seed) {
            ServiceSimulation simulation(4, seed, minutes(40));
            std::vector<RequestToken> applies;
            std::vector<RequestToken> reads;
            for (int round = 0; round < 150; ++round)
                randomRound(simulation, applies, reads);

            simulation.m_isLogOut = false;
            simulation.m_fates.clear();
            for (std::size_t i = 0; i < 4; ++i) {
                if (!simulation.isRunning(i))
                    simulation.start(i);
            }
            simulation.run(minutes(2));
            verifyAnswers(simulation, applies, outcomes);
            verifyReads(simulation, reads);
        }
        // The run must have exercised every kind of answer.
        for (const char* kind : { "accepted", "refused", "undecided" })
            CPPUNIT_ASSERT_MESSAGE(kind + std::string(": ") + std::to_string(outcomes[kind]), outcomes[kind] > 40);
    }

private:
    static ApplyRefused refused(const ServiceSimulation& simulation, RequestToken token)
    {
        const AnswerApply* answer = simulation.applyAnswer(token);
        CPPUNIT_ASSERT(answer && std::holds_alternative<ApplyRefused>(answer->m_answer));
        return std::get<ApplyRefused>(answer->m_answer);
    }

    static std::uint64_t acceptedVersion(ServiceSimulation& simulation, RequestToken token, Duration within)
    {
        simulation.run(within);
        const AnswerApply* answer = simulation.applyAnswer(token);
        CPPUNIT_ASSERT(answer && std::holds_alternative<ApplyAccepted>(answer->m_answer));
        return std::get<ApplyAccepted>(answer->m_answer).m_version;
    }

    static void randomRound(
        ServiceSimulation& simulation, std::vector<RequestToken>& applies, std::vector<RequestToken>& reads)
    {
        std::mt19937& random = simulation.random();
        const std::size_t index = random() % 4;
        const unsigned event = random() % 20;
        if (event == 0 || event > 16)
            simulation.m_isLogOut = false;
        else if (event == 1 && simulation.isRunning(index))
            simulation.stop(index);
        else if (event == 2)
            simulation.run(minutes(random() % 12));
        else if (event < 7)
            simulation.m_fates.push_back(static_cast<AppendFate>(random() % 4));
        if (!simulation.isRunning(index) && random() % 2 == 0)
            simulation.start(index);
        if (simulation.isRunning(index)) {
            const std::uint64_t base = simulation.service(index).fold().version();
            if (random() % 2 == 0)
                applies.push_back(simulation.apply(index, fileWithInstances(static_cast<int>(random() % 8)), base));
            else
                reads.push_back(simulation.read(index));
        }
        // An outage that begins while a record is on its way leaves its outcome open.
        if (event == 6 || event == 7)
            simulation.m_isLogOut = true;
        simulation.run(milliseconds(random() % (event == 7 ? 15000 : 3000)));
    }

    static void verifyAnswers(const ServiceSimulation& simulation, const std::vector<RequestToken>& applies,
        std::map<std::string, int>& outcomes)
    {
        ConfigurationFold reference;
        std::map<RecordId, std::uint64_t> accepted;
        for (const LogRecord& record : simulation.allRecords()) {
            reference.apply(record.m_data, record.m_offset, record.m_time);
            if (!reference.history().empty())
                accepted.emplace(reference.history().back().m_recordId, reference.version());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, reference.counters().m_divergentRefreshes);

        std::set<std::string> authors;
        for (const RequestToken token : applies) {
            const AnswerApply* answer = simulation.applyAnswer(token);
            // A daemon that was stopped owes no answer.
            if (!answer)
                continue;
            if (const auto* yes = std::get_if<ApplyAccepted>(&answer->m_answer)) {
                ++outcomes["accepted"];
                CPPUNIT_ASSERT(accepted.contains(yes->m_recordId));
                CPPUNIT_ASSERT_EQUAL(accepted[yes->m_recordId], yes->m_version);
            } else if (std::holds_alternative<ApplyRefused>(answer->m_answer)) {
                ++outcomes["refused"];
                authors.insert("operator " + std::to_string(token));
            } else {
                ++outcomes["undecided"];
            }
        }
        for (const HistoryEntry& entry : reference.history())
            CPPUNIT_ASSERT(!authors.contains(entry.m_author));
    }

    static void verifyReads(ServiceSimulation& simulation, const std::vector<RequestToken>& reads)
    {
        std::uint64_t newest = 0;
        for (const RequestToken token : reads) {
            const auto answer = simulation.readAnswer(token);
            if (!answer || !answer->first)
                continue;
            CPPUNIT_ASSERT(answer->second >= newest);
            newest = answer->second;
        }
        for (std::size_t i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT_EQUAL(simulation.service(0).fold().version(), simulation.service(i).fold().version());
            CPPUNIT_ASSERT(simulation.service(i).fold().isAnchored());
            if (simulation.service(0).fold().inForce()) {
                CPPUNIT_ASSERT_EQUAL(simulation.service(0).fold().inForce()->m_content,
                    simulation.service(i).fold().inForce()->m_content);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationServiceTest);

} // namespace sapphiredale::configuration
