// Tests of the election: single holder, takeover after silence, lost replies, restarts and releases.

#include "jobs/Election.h"
#include "jobs/JobProgress.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace sapphiredale::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ElectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ElectionTest);
    CPPUNIT_TEST(firstDaemonHoldsTheTermAndRenewsIt);
    CPPUNIT_TEST(silentHolderIsReplacedAndLosesTheTerm);
    CPPUNIT_TEST(claimWithALostAnswerCountsOnceItIsRead);
    CPPUNIT_TEST(repeatedClaimCountsOnceItIsRead);
    CPPUNIT_TEST(restartedHolderClaimsAtOnce);
    CPPUNIT_TEST(releasedTermIsClaimedAtOnce);
    CPPUNIT_TEST(holderThatIsCutOffOutlastsTwoTakeovers);
    CPPUNIT_TEST(recordsWithoutLeasesCountAsALease);
    CPPUNIT_TEST(noLeaseIsGrantedBeforeItIsAnnounced);
    CPPUNIT_TEST(termThatGrantedNothingDoesNotLengthenTheWait);
    CPPUNIT_TEST(lateLeasesCountOnceTheyAreStored);
    CPPUNIT_TEST(endsOfSingleLeasesOutliveTheirTerm);
    CPPUNIT_TEST(namedLeaseIsWithheldUntilARecordWithoutItIsStored);
    CPPUNIT_TEST(authorityEndsWithoutRenewals);
    CPPUNIT_TEST(announcedPartitionOutlivesItsTerm);
    CPPUNIT_TEST(weakHostsWaitForStrongerOnesOnly);
    CPPUNIT_TEST(strongerHostGoesFirstAfterAnOutage);
    CPPUNIT_TEST(strongerHostGoesFirstAfterAWeakHolder);
    CPPUNIT_TEST(outageDoesNotDelayTheNextTakeover);
    CPPUNIT_TEST(recordsAreReversible);
    CPPUNIT_TEST_SUITE_END();

    /// The topic of the records, shared by the daemons of a test.
    struct Topic {
        std::vector<TermRecord> m_records;

        AppendOutcome append(const Election::Append& append)
        {
            if (append.m_end != m_records.size())
                return AppendOutcome::EndDiffers;
            m_records.push_back(append.m_record);
            return AppendOutcome::Appended;
        }
    };

    struct Daemon {
        Daemon(const std::string& name, Topic& topic, Duration weakness = {})
            : m_election(settingsOf(name, weakness))
            , m_topic(topic)
        {
        }

        static ElectionSettings settingsOf(const std::string& name, Duration weakness)
        {
            ElectionSettings settings { DaemonId(name), name + ":1" };
            settings.m_weakHostDelay = weakness;
            return settings;
        }

        void read(TimePoint now)
        {
            for (; m_read < m_topic.m_records.size(); ++m_read)
                m_election.recordRead(m_read, m_topic.m_records[m_read], now);
            m_election.caughtUp(m_read, now);
        }

        void step(TimePoint now)
        {
            read(now);
            if (const auto append = m_election.takeDueAppend(now)) {
                const AppendOutcome outcome = m_topic.append(*append);
                m_election.appendEnded(outcome, m_topic.m_records.size() - 1, now);
            }
        }

        /// Claims the term and begins to grant leases.
        void grant(TimePoint now)
        {
            step(now);
            m_election.grantLeases();
            step(now);
            CPPUNIT_ASSERT(m_election.leaseLimit() > now);
        }

        Election m_election;
        Topic& m_topic;
        std::uint64_t m_read = 0;
    };

    /// Lets the daemon take the term of a holder that is silent from now on.
    static void takeOver(Daemon& daemon, TimePoint& now)
    {
        for (; !daemon.m_election.isNewestTerm(); now += milliseconds(50))
            daemon.step(now);
    }

public:
    void firstDaemonHoldsTheTermAndRenewsIt()
    {
        Topic topic;
        Daemon a("a", topic);
        Daemon b("b", topic);
        TimePoint now(seconds(100));
        for (int i = 0; i < 100; ++i, now += milliseconds(50)) {
            a.step(now);
            b.step(now);
            CPPUNIT_ASSERT(!b.m_election.holdsTerm(now));
        }
        CPPUNIT_ASSERT(a.m_election.holdsTerm(now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), a.m_election.term());
        CPPUNIT_ASSERT_EQUAL(std::string("a:1"), b.m_election.holderAddress());
    }

    void silentHolderIsReplacedAndLosesTheTerm()
    {
        Topic topic;
        Daemon a("a", topic);
        Daemon b("b", topic);
        TimePoint now(seconds(100));
        a.grant(now);
        b.step(now);
        for (; !b.m_election.holdsTerm(now) && now < TimePoint(seconds(110)); now += milliseconds(50))
            b.step(now);
        CPPUNIT_ASSERT(now < TimePoint(seconds(102)));
        CPPUNIT_ASSERT(b.m_election.term() > 1);
        // The earlier holder may have granted leases up to its limit.
        CPPUNIT_ASSERT(a.m_election.leaseLimit() == TimePoint(seconds(100)) + ElectionSettings().m_leaseReach);
        CPPUNIT_ASSERT(
            b.m_election.earlierLeases().m_end >= a.m_election.leaseLimit() + ElectionSettings().m_leaseMargin);
        a.read(now);
        CPPUNIT_ASSERT(!a.m_election.isNewestTerm());
    }

    void claimWithALostAnswerCountsOnceItIsRead()
    {
        Topic topic;
        Daemon a("a", topic);
        const TimePoint now(seconds(100));
        a.read(now);
        const auto append = a.m_election.takeDueAppend(now);
        CPPUNIT_ASSERT(append.has_value());
        topic.append(*append);
        a.m_election.appendEnded(AppendOutcome::Unknown, 0, now);
        CPPUNIT_ASSERT(!a.m_election.holdsTerm(now));
        a.read(now + milliseconds(20));
        CPPUNIT_ASSERT(a.m_election.holdsTerm(now + milliseconds(20)));
    }

    // Guards against a daemon that waits for a term which it holds, because the repeated claim differs from the one
    // that the store has.
    void repeatedClaimCountsOnceItIsRead()
    {
        Topic topic;
        Daemon a("a", topic);
        Daemon b("b", topic);
        TimePoint now(seconds(100));
        a.step(now);
        b.read(now);
        now += seconds(2);
        b.read(now);
        const auto claim = b.m_election.takeDueAppend(now);
        CPPUNIT_ASSERT(claim.has_value());
        topic.append(*claim);
        const TimePoint othersCountFrom = now;
        b.m_election.appendEnded(AppendOutcome::Unknown, 0, now);
        now += milliseconds(700);
        CPPUNIT_ASSERT(b.m_election.takeDueAppend(now).has_value());
        b.m_election.appendEnded(AppendOutcome::EndDiffers, 0, now);
        b.read(now);
        CPPUNIT_ASSERT(b.m_election.holdsTerm(now));
        // A lease from the repetition on would last longer than other daemons assume.
        CPPUNIT_ASSERT(!b.m_election.holdsTerm(othersCountFrom + ElectionSettings().m_termLease));
    }

    void restartedHolderClaimsAtOnce()
    {
        Topic topic;
        TimePoint now(seconds(100));
        Daemon(std::string("a"), topic).step(now);
        Daemon restarted("a", topic);
        now += milliseconds(10);
        restarted.step(now);
        CPPUNIT_ASSERT(restarted.m_election.holdsTerm(now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), restarted.m_election.term());
    }

    void releasedTermIsClaimedAtOnce()
    {
        Topic topic;
        Daemon a("a", topic);
        Daemon b("b", topic);
        TimePoint now(seconds(100));
        a.grant(now);
        b.step(now);
        a.m_election.leave();
        now += seconds(1);
        a.step(now);
        CPPUNIT_ASSERT(a.m_election.isReleased());
        b.step(now);
        CPPUNIT_ASSERT(b.m_election.holdsTerm(now));
        const ElectionSettings settings;
        CPPUNIT_ASSERT(b.m_election.earlierLeases().m_end == now + settings.m_workerLease + settings.m_leaseMargin);
    }

    // The first holder is cut off from the store. The next one takes over and gives its term up soon after, or its
    // daemon is restarted. Guards against a third term that starts tasks a second time while the first holder still
    // extends the leases of its workers.
    void holderThatIsCutOffOutlastsTwoTakeovers()
    {
        const auto secondTakeover = [](bool isRestart, Duration pause) {
            Topic topic;
            Daemon cutOff("a", topic);
            Daemon second("b", topic);
            TimePoint now(seconds(100));
            cutOff.grant(now);
            const ElectionSettings settings;
            const Duration wait = settings.m_leaseReach + settings.m_leaseMargin;
            const TimePoint leaseEnd = now + wait;
            for (; !second.m_election.isNewestTerm(); now += milliseconds(50))
                second.step(now);
            for (const TimePoint end = now + pause; now < end; now += milliseconds(50))
                second.step(now);
            if (!isRestart) {
                second.m_election.leave();
                second.step(now + seconds(1));
                now += seconds(1);
                CPPUNIT_ASSERT(second.m_election.isReleased());
            }
            Daemon third(isRestart ? "b" : "c", topic);
            third.step(now);
            CPPUNIT_ASSERT(third.m_election.holdsTerm(now));
            const TimePoint earlierEnd = third.m_election.earlierLeases().m_end;
            CPPUNIT_ASSERT(earlierEnd >= std::max(leaseEnd, now));
            return earlierEnd - now;
        };
        const Duration wait = ElectionSettings().m_leaseReach + ElectionSettings().m_leaseMargin;
        for (const bool isRestart : { true, false }) {
            CPPUNIT_ASSERT(secondTakeover(isRestart, milliseconds(500)) < wait);
            CPPUNIT_ASSERT_EQUAL(Duration::zero().count(), secondTakeover(isRestart, seconds(12)).count());
        }
    }

    // Guards against a lease that a successor does not know of, because its term's only record is the claim.
    void noLeaseIsGrantedBeforeItIsAnnounced()
    {
        Topic topic;
        Daemon a("a", topic);
        TimePoint now(seconds(100));
        a.step(now);
        CPPUNIT_ASSERT(a.m_election.holdsTerm(now));
        CPPUNIT_ASSERT(a.m_election.leaseLimit() <= now);
        a.m_election.grantLeases();
        const auto announcement = a.m_election.takeDueAppend(now);
        CPPUNIT_ASSERT(announcement.has_value());
        topic.append(*announcement);
        a.m_election.appendEnded(AppendOutcome::Unknown, 0, now);
        CPPUNIT_ASSERT(a.m_election.leaseLimit() <= now);
        now += milliseconds(200);
        a.step(now);
        CPPUNIT_ASSERT(a.m_election.leaseLimit() == now + ElectionSettings().m_leaseReach);
    }

    // Guards against a wait that begins anew with each daemon that takes the term and fails before it can use it.
    void termThatGrantedNothingDoesNotLengthenTheWait()
    {
        Topic topic;
        Daemon a("a", topic);
        Daemon b("b", topic);
        Daemon c("c", topic);
        TimePoint now(seconds(100));
        a.grant(now);
        c.read(now);
        takeOver(b, now);
        takeOver(c, now);
        const ElectionSettings settings;
        const TimePoint end = TimePoint(seconds(100)) + settings.m_leaseReach + settings.m_leaseMargin;
        CPPUNIT_ASSERT(c.m_election.earlierLeases().m_end >= end);
        CPPUNIT_ASSERT(c.m_election.earlierLeases().m_end <= end + milliseconds(100));
    }

    // Guards against a worker that gets a task before successors know of its lease, and against a successor that does
    // not wait for it.
    void lateLeasesCountOnceTheyAreStored()
    {
        Topic topic;
        Daemon a("a", topic);
        TimePoint now(seconds(100));
        a.grant(now);
        const ElectionSettings settings;
        const TimePoint end = now + milliseconds(10305);
        a.m_election.announceLateLeases(end);
        CPPUNIT_ASSERT(a.m_election.successorWaitEnd(now) == now + settings.m_workerLease + settings.m_leaseMargin);
        now += settings.m_renewInterval;
        a.step(now);
        CPPUNIT_ASSERT(a.m_election.successorWaitEnd(now) == end);
        Daemon restarted("a", topic);
        restarted.step(now);
        CPPUNIT_ASSERT(restarted.m_election.holdsTerm(now));
        CPPUNIT_ASSERT(restarted.m_election.earlierLeases().m_end >= end);
    }

    // Guards against a wait for a worker that was lost in an earlier term which begins anew with each takeover.
    void endsOfSingleLeasesOutliveTheirTerm()
    {
        Topic topic;
        Daemon a("a", topic);
        Daemon b("b", topic);
        Daemon c("c", topic);
        TimePoint now(seconds(100));
        a.grant(now);
        const TimePoint end = now + seconds(5);
        a.m_election.announceLeaseEnds({ { WorkerId("lost"), end } });
        now += milliseconds(300);
        a.step(now);
        takeOver(b, now);
        b.m_election.grantLeases();
        b.step(now);
        CPPUNIT_ASSERT(b.m_election.isLeaseWithheld(WorkerId("lost")));
        takeOver(c, now);
        const LeaseBounds& leases = c.m_election.earlierLeases();
        CPPUNIT_ASSERT(leases.endFor(WorkerId("lost")) >= end);
        CPPUNIT_ASSERT(leases.endFor(WorkerId("lost")) <= end + milliseconds(200));
        CPPUNIT_ASSERT(leases.endFor(WorkerId("other")) > now + seconds(8));
    }

    // Guards against a lease that is extended after a successor may have read when it ends.
    void namedLeaseIsWithheldUntilARecordWithoutItIsStored()
    {
        Topic topic;
        Daemon a("a", topic);
        const WorkerId worker("i-1");
        TimePoint now(seconds(100));
        a.grant(now);
        a.m_election.announceLeaseEnds({ { worker, now + seconds(5) } });
        CPPUNIT_ASSERT(a.m_election.isLeaseWithheld(worker));
        now += milliseconds(300);
        const auto naming = a.m_election.takeDueAppend(now);
        CPPUNIT_ASSERT(naming.has_value());
        topic.append(*naming);
        a.m_election.announceLeaseEnds({});
        a.m_election.appendEnded(AppendOutcome::Unknown, 0, now);
        CPPUNIT_ASSERT(a.m_election.isLeaseWithheld(worker));
        now += milliseconds(300);
        const auto refused = a.m_election.takeDueAppend(now);
        CPPUNIT_ASSERT(refused.has_value());
        a.m_election.appendEnded(AppendOutcome::NotAppended, 0, now);
        CPPUNIT_ASSERT(a.m_election.isLeaseWithheld(worker));
        now += milliseconds(300);
        a.step(now);
        CPPUNIT_ASSERT(!a.m_election.isLeaseWithheld(worker));
    }

    void recordsWithoutLeasesCountAsALease()
    {
        Topic topic;
        topic.m_records.push_back({ TermRecord::Kind::Release, 1, DaemonId("a"), "a:1", 0, {}, std::nullopt });
        Daemon b("b", topic);
        const TimePoint now(seconds(100));
        b.step(now);
        CPPUNIT_ASSERT(b.m_election.holdsTerm(now));
        const ElectionSettings settings;
        CPPUNIT_ASSERT(b.m_election.earlierLeases().m_end
            == now + settings.m_termLease + settings.m_workerLease + settings.m_leaseMargin);
    }

    void authorityEndsWithoutRenewals()
    {
        Topic topic;
        Daemon a("a", topic);
        const TimePoint now(seconds(100));
        a.step(now);
        CPPUNIT_ASSERT(a.m_election.holdsTerm(now + milliseconds(6900)));
        CPPUNIT_ASSERT(!a.m_election.holdsTerm(now + milliseconds(7100)));
    }

    // Guards against a successor that reads the progress from a partition that the holder no longer writes.
    void announcedPartitionOutlivesItsTerm()
    {
        Topic topic;
        Daemon a("a", topic);
        Daemon b("b", topic);
        TimePoint now(seconds(10));
        for (; !a.m_election.holdsTerm(now); now += milliseconds(50))
            a.step(now);
        b.read(now);
        a.m_election.announceProgress(3);
        CPPUNIT_ASSERT_EQUAL(0U, a.m_election.progressPartition());
        a.step(now);
        CPPUNIT_ASSERT_EQUAL(3U, a.m_election.progressPartition());
        for (; !b.m_election.holdsTerm(now); now += milliseconds(50))
            b.step(now);
        CPPUNIT_ASSERT_EQUAL(3U, b.m_election.progressPartition());
        now += seconds(1);
        b.step(now);
        CPPUNIT_ASSERT_EQUAL(3U, topic.m_records.back().m_progressPartition);
    }

    // Guards against a delay of 0.8 s at each takeover in a cell that has only weak hosts.
    void weakHostsWaitForStrongerOnesOnly()
    {
        const auto takeover = [](Duration holderWeakness) {
            Topic topic;
            Daemon holder("a", topic, holderWeakness);
            Daemon weak("b", topic, milliseconds(800));
            TimePoint now(seconds(10));
            for (; !holder.m_election.holdsTerm(now); now += milliseconds(10))
                holder.step(now);
            const TimePoint lost = now;
            for (; !weak.m_election.holdsTerm(now); now += milliseconds(10))
                weak.step(now);
            return now - lost;
        };
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t { 800 }, millisecondsOf(takeover(milliseconds(0)) - takeover(milliseconds(800))));
    }

    /// Steps the weak daemons before the strong one until one of them holds the term.
    static bool strongHostWins(const std::vector<Daemon*>& weak, Daemon& strong, TimePoint now)
    {
        for (const TimePoint end = now + seconds(10); now < end; now += milliseconds(10)) {
            for (Daemon* each : weak) {
                each->step(now);
                if (each->m_election.holdsTerm(now))
                    return false;
            }
            strong.step(now);
            if (strong.m_election.holdsTerm(now))
                return true;
        }
        return false;
    }

    // All claims are overdue when a store returns whose outage the holder has not survived. A weak host that reads
    // first took the term, and could not finish the recovery before others claimed it.
    void strongerHostGoesFirstAfterAnOutage()
    {
        Topic topic;
        Daemon holder("a", topic);
        Daemon weak("b", topic, milliseconds(800));
        Daemon strong("c", topic);
        for (TimePoint now(seconds(10)); now < TimePoint(seconds(12)); now += milliseconds(10)) {
            holder.step(now);
            weak.read(now);
            strong.read(now);
        }
        CPPUNIT_ASSERT(holder.m_election.isNewestTerm());
        CPPUNIT_ASSERT(strongHostWins({ &weak }, strong, TimePoint(seconds(17))));
    }

    // Weak hosts that fail one after the other used to leave no turn to a strong one, which is one of many.
    void strongerHostGoesFirstAfterAWeakHolder()
    {
        Topic topic;
        Daemon first("a", topic);
        Daemon holder("b", topic, milliseconds(800));
        Daemon weak("c", topic, milliseconds(800));
        Daemon strong("d", topic);
        TimePoint now(seconds(10));
        for (; !first.m_election.isNewestTerm(); now += milliseconds(10))
            first.step(now);
        for (; !holder.m_election.isNewestTerm(); now += milliseconds(10)) {
            holder.step(now);
            weak.read(now);
            strong.read(now);
        }
        CPPUNIT_ASSERT(strongHostWins({ &weak }, strong, now));
    }

    // Guards against a takeover that takes a second longer when the holder fails just after a store outage of 4 s.
    void outageDoesNotDelayTheNextTakeover()
    {
        const auto takeover = [](Duration outage) {
            Topic topic;
            Daemon holder("a", topic);
            Daemon other("b", topic);
            TimePoint now(seconds(10));
            for (; now < TimePoint(seconds(14)); now += milliseconds(10)) {
                holder.step(now);
                if (topic.m_records.empty() || topic.m_records.front().m_daemon == DaemonId("a"))
                    other.read(now);
            }
            now += outage;
            holder.step(now);
            const TimePoint lost = now;
            for (; !other.m_election.holdsTerm(now); now += milliseconds(10))
                other.step(now);
            return now - lost;
        };
        CPPUNIT_ASSERT(takeover(seconds(4)) <= takeover(milliseconds(300)));
    }

    void recordsAreReversible()
    {
        TermRecord record { TermRecord::Kind::Renewal, 12, DaemonId("a"), "10.0.0.1:7720", 3, milliseconds(800),
            std::nullopt };
        CPPUNIT_ASSERT(valueOf(decodeTermRecord(encodeTermRecord(record))) == record);
        record.m_leases = { true, milliseconds(5300), { { WorkerId("i-1"), milliseconds(0) } } };
        CPPUNIT_ASSERT(valueOf(decodeTermRecord(encodeTermRecord(record))) == record);
        record.m_leases->m_byWorker[WorkerId("i-2")] = std::chrono::hours(1000000);
        CPPUNIT_ASSERT(!succeeded(decodeTermRecord(encodeTermRecord(record))));
        record.m_leases = { false, std::chrono::hours(1000000), {} };
        CPPUNIT_ASSERT(!succeeded(decodeTermRecord(encodeTermRecord(record))));
        CPPUNIT_ASSERT(!succeeded(decodeTermRecord("{}")));
        const JobProgress progress { JobState::Running, { { 0, 0, 1 }, { 0, 0, 2 }, { 0, 1, 0 } },
            { { { 0, 1, 3 }, { 4, 9 } } }, { { { 0, 1, 4 }, 2 } },
            { { { 0, 1 }, { WorkerId("i-1"), WorkerId("i-2") } } } };
        CPPUNIT_ASSERT(valueOf(decodeProgress(encodeProgress(progress))) == progress);
        CPPUNIT_ASSERT(!succeeded(decodeProgress("s 9")));
        CPPUNIT_ASSERT(!succeeded(decodeProgress("x 1 2 3 4")));
        JobRecord job;
        job.m_job = JobId("5c0e7a21d94b36f8");
        job.m_policy = { "q", "s", 2, 3, 1.5, milliseconds(250),
            AdvicePolicy { milliseconds(28), milliseconds(1), seconds(2) } };
        job.m_spec.m_payload = "text";
        job.m_spec.m_steps.resize(2);
        job.m_spec.m_steps[1].m_dependsOn = { 0 };
        job.m_spec.m_steps[1].m_isGang = true;
        job.m_acceptedMs = 1700000000000;
        CPPUNIT_ASSERT(valueOf(decodeJobRecord(job.m_job, encodeJobRecord(job))) == job);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ElectionTest);

} // namespace sapphiredale::jobs
