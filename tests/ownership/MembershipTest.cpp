// Tests of membership: differences, suspicion, restarts, contacts and partitions.

#include "ownership/Membership.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>

namespace sapphiredale::ownership {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Daemons that exchange heartbeats without delay.
    struct Cluster {
        TimePoint m_now { seconds(100) };
        std::map<DaemonId, Membership> m_members;
        std::set<DaemonId> m_dead;
        /// Lost if it returns true.
        std::function<bool(const DaemonId& from, const DaemonId& to)> m_cut;
        std::function<void(const DaemonId& from, const OutgoingHeartbeat&)> m_observe;

        Membership& add(const std::string& name, const std::string& domain, std::uint64_t process = 1)
        {
            MembershipSettings settings;
            settings.m_daemon = DaemonId(name);
            settings.m_process = process;
            settings.m_description = { { "127.0.0.1:1" }, FailureDomainId(domain), "1.0" };
            m_members.erase(settings.m_daemon);
            Membership& member = m_members.emplace(settings.m_daemon, Membership(settings, m_now)).first->second;
            member.setDomains({ FailureDomainId("hal"), FailureDomainId("lab"), FailureDomainId("lok") }, m_now);
            return member;
        }

        void list(const std::set<std::string>& gone = {})
        {
            std::vector<ListedHost> hosts;
            for (const auto& [name, member] : m_members)
                hosts.push_back({ name, gone.contains(name.value()) ? HostState::Gone : HostState::Live,
                    FailureDomainId(name.value().substr(0, 3)) });
            for (auto& [name, member] : m_members)
                member.hostsListed(hosts, m_now);
        }

        void run(Duration duration)
        {
            for (const TimePoint end = m_now + duration; m_now < end; m_now += milliseconds(100)) {
                for (auto& [name, member] : m_members) {
                    if (m_dead.contains(name))
                        continue;
                    for (const OutgoingHeartbeat& out : member.step(m_now)) {
                        if (m_observe)
                            m_observe(name, out);
                        if (!m_dead.contains(out.m_to) && (!m_cut || !m_cut(name, out.m_to)))
                            m_members.at(out.m_to).received(out.m_heartbeat, m_now);
                    }
                }
            }
        }

        Membership& at(const std::string& name) { return m_members.at(DaemonId(name)); }
    };

    std::size_t liveIn(Cluster& cluster, const std::string& observer, const std::string& domain)
    {
        return cluster.at(observer).liveDaemons(FailureDomainId(domain)).size();
    }

} // namespace

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(heartbeatsCarryOnlyDifferences);
    CPPUNIT_TEST(changesSurviveLostHeartbeats);
    CPPUNIT_TEST(deadDaemonIsSuspectedAndThenRemoved);
    CPPUNIT_TEST(hostListIsOnlyAHint);
    CPPUNIT_TEST(restartedDaemonIsTakenAsNew);
    CPPUNIT_TEST(partitionIsSeenFromBothSides);
    CPPUNIT_TEST(oneWayContactIsNotConfirmed);
    CPPUNIT_TEST_SUITE_END();

    static void addSix(Cluster& cluster)
    {
        for (const char* domain : { "hal", "lab", "lok" }) {
            cluster.add(std::string(domain) + "-1", domain);
            cluster.add(std::string(domain) + "-2", domain);
        }
        cluster.list();
        cluster.run(seconds(25));
    }

public:
    // Guards against heartbeats that repeat what the addressee already has.
    void heartbeatsCarryOnlyDifferences()
    {
        Cluster cluster;
        addSix(cluster);
        cluster.at("hal-1").setConfiguration({ 7, 99 });
        for (int i = 0; i < 50; ++i)
            cluster.at("hal-1").setFreeSlots(WorkloadId("s" + std::to_string(i)), 3);
        cluster.run(seconds(25));
        CPPUNIT_ASSERT_EQUAL(DaemonId("hal-1").value(), cluster.at("lok-2").newerConfiguration(6)->value());
        std::size_t slots = 0;
        std::size_t heartbeats = 0;
        cluster.m_observe = [&](const DaemonId& from, const OutgoingHeartbeat& out) {
            CPPUNIT_ASSERT(!out.m_heartbeat.m_description && !out.m_heartbeat.m_configuration);
            CPPUNIT_ASSERT(out.m_heartbeat.m_silentDomains.empty());
            slots += out.m_heartbeat.m_slots.size();
            heartbeats += from == DaemonId("hal-1");
        };
        cluster.run(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, slots);
        // One near peer each second and four far ones every ten seconds.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 28 }, heartbeats);
        cluster.at("hal-1").setFreeSlots(WorkloadId("s3"), 2);
        cluster.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, slots);
    }

    // Guards against a change that never arrives because the one heartbeat that carried it was lost.
    void changesSurviveLostHeartbeats()
    {
        Cluster cluster;
        addSix(cluster);
        int lost = 0;
        cluster.m_cut = [&](const DaemonId& from, const DaemonId&) { return from == DaemonId("hal-1") && ++lost % 3; };
        cluster.at("hal-1").setConfiguration({ 8, 1 });
        cluster.at("hal-1").setFreeSlots(WorkloadId("s"), 5);
        cluster.run(seconds(60));
        for (const char* name : { "hal-2", "lab-1", "lok-2" }) {
            for (const DaemonView& view : cluster.at(name).view()) {
                if (view.m_daemon != DaemonId("hal-1"))
                    continue;
                CPPUNIT_ASSERT_EQUAL(std::uint64_t { 8 }, view.m_configuration.m_version);
                CPPUNIT_ASSERT_EQUAL(5U, view.m_freeSlots.at(WorkloadId("s")));
            }
        }
    }

    // Guards against a daemon that is dropped after one lost heartbeat, or stays a candidate after its death.
    void deadDaemonIsSuspectedAndThenRemoved()
    {
        Cluster cluster;
        addSix(cluster);
        cluster.m_dead.insert(DaemonId("hal-2"));
        cluster.run(milliseconds(1900));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, liveIn(cluster, "hal-1", "hal"));
        cluster.run(milliseconds(2100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, liveIn(cluster, "hal-1", "hal"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, cluster.at("hal-1").view().size());
        cluster.run(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, cluster.at("hal-1").view().size());
        cluster.m_dead.clear();
        cluster.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, liveIn(cluster, "hal-1", "hal"));
    }

    // Guards against removing a daemon that answers, or keeping a dead one, because of a host list that lags.
    void hostListIsOnlyAHint()
    {
        Cluster cluster;
        addSix(cluster);
        cluster.list({ "hal-2" });
        cluster.run(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, liveIn(cluster, "hal-1", "hal"));
        cluster.m_dead.insert(DaemonId("hal-2"));
        cluster.run(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, liveIn(cluster, "hal-1", "hal"));
        cluster.list();
        cluster.run(seconds(12));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, liveIn(cluster, "hal-1", "hal"));
    }

    // Guards against a restarted daemon whose heartbeats are dropped as old, and against late ones of its past.
    void restartedDaemonIsTakenAsNew()
    {
        Cluster cluster;
        addSix(cluster);
        Heartbeat late;
        cluster.m_observe = [&](const DaemonId& from, const OutgoingHeartbeat& out) {
            if (from == DaemonId("hal-2") && out.m_to == DaemonId("hal-1"))
                late = out.m_heartbeat;
        };
        cluster.at("hal-2").setSchedulerEpoch(12);
        cluster.run(seconds(2));
        CPPUNIT_ASSERT(cluster.at("hal-1").domainScheduler(FailureDomainId("hal")));
        cluster.m_observe = {};
        cluster.add("hal-2", "hal", 2);
        cluster.list();
        cluster.run(seconds(2));
        CPPUNIT_ASSERT(!cluster.at("hal-1").domainScheduler(FailureDomainId("hal")));
        late.m_sequence += 1000;
        cluster.at("hal-1").received(late, cluster.m_now);
        CPPUNIT_ASSERT(!cluster.at("hal-1").domainScheduler(FailureDomainId("hal")));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, liveIn(cluster, "hal-2", "hal"));
    }

    // Guards against a cut-off domain that believes it has contact, and against others that believe it is alive.
    void partitionIsSeenFromBothSides()
    {
        Cluster cluster;
        addSix(cluster);
        const FailureDomainId hal("hal");
        const FailureDomainId lok("lok");
        // lok loses hal only: lab still reports a sign of life of hal.
        cluster.m_cut = [](const DaemonId& from, const DaemonId& to) {
            const std::string pair = from.value().substr(0, 3) + to.value().substr(0, 3);
            return pair == "hallok" || pair == "lokhal";
        };
        cluster.run(seconds(120));
        CPPUNIT_ASSERT(cluster.at("lok-1").lastEvidence(hal) + seconds(15) > cluster.m_now);
        CPPUNIT_ASSERT(cluster.at("hal-1").partition(cluster.m_now).m_majorityReached);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, cluster.at("hal-1").partition(cluster.m_now).m_silentDomains.size());

        const TimePoint cutAt = cluster.m_now;
        cluster.m_cut = [](const DaemonId& from, const DaemonId& to) {
            return (from.value().substr(0, 3) == "hal") != (to.value().substr(0, 3) == "hal");
        };
        cluster.run(seconds(120));
        CPPUNIT_ASSERT(!cluster.at("hal-1").partition(cluster.m_now).m_majorityReached);
        CPPUNIT_ASSERT(*cluster.at("hal-1").majorityContact() <= cutAt);
        CPPUNIT_ASSERT(cluster.at("hal-1").partition(cluster.m_now).m_cutOffFromLog);
        CPPUNIT_ASSERT(cluster.at("lok-1").partition(cluster.m_now).m_majorityReached);
        // What lok knows of hal ends after hal's last confirmed contact, never before it.
        CPPUNIT_ASSERT(cluster.at("lok-1").lastEvidence(hal) >= *cluster.at("hal-1").majorityContact());
        CPPUNIT_ASSERT(cluster.at("lok-1").lastEvidence(hal) <= cutAt + seconds(40));
        CPPUNIT_ASSERT(cluster.at("hal-1").lastEvidence(lok) <= cutAt + seconds(40));
    }

    // Guards against a domain that keeps its tasks because it hears others who do not hear it.
    void oneWayContactIsNotConfirmed()
    {
        Cluster cluster;
        addSix(cluster);
        const TimePoint cutAt = cluster.m_now;
        cluster.m_cut = [](const DaemonId& from, const DaemonId& to) {
            return from.value().starts_with("hal") && !to.value().starts_with("hal");
        };
        cluster.run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, liveIn(cluster, "hal-1", "lab"));
        CPPUNIT_ASSERT(*cluster.at("hal-1").majorityContact() <= cutAt);
        CPPUNIT_ASSERT(!cluster.at("hal-1").partition(cluster.m_now).m_majorityReached);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace sapphiredale::ownership
