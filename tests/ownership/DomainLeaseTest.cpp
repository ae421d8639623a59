// Tests of the majority lease alone: candidates, workers' lease registers and clocks.

#include "ownership/DomainLease.h"
#include "tests/ownership/World.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::ownership {

namespace {

    /// Several leases and workers that exchange messages without delay; polls are answered at once.
    struct LeaseRing {
        TimePoint m_now { seconds(100) };
        std::map<std::string, DomainLease> m_leases;
        std::map<WorkerId, FakeWorker> m_workers;
        /// Lost if it returns true.
        std::function<bool(const std::string&, const WorkerId&)> m_cut;
        int m_requests = 0;

        static std::vector<WorkerId> names(int count, const std::string& prefix = "w")
        {
            std::vector<WorkerId> workers;
            for (int i = 0; i < count; ++i)
                workers.emplace_back(prefix + std::to_string(i));
            return workers;
        }

        DomainLease& add(const std::string& name, const std::vector<WorkerId>& workers, Duration rankDelay = {})
        {
            DomainLeaseSettings settings;
            settings.m_failureDomain = FailureDomainId("hal");
            settings.m_daemon = DaemonId(name);
            settings.m_holder = name;
            settings.m_rankDelay = rankDelay;
            DomainLease& lease = m_leases.emplace(name, DomainLease(settings)).first->second;
            lease.setWorkers(workers, {}, m_now);
            for (const WorkerId& worker : workers)
                m_workers.try_emplace(worker);
            return lease;
        }

        void exchange(const std::string& name, DomainLease& lease, const LeaseAction& action)
        {
            if (const auto* release = std::get_if<LeaseRelease>(&action)) {
                if (!m_cut || !m_cut(name, release->m_worker))
                    m_workers.at(release->m_worker).release({ release->m_worker, {}, name, release->m_epoch });
                return;
            }
            const LeaseRequest& request = *std::get_if<LeaseRequest>(&action);
            ++m_requests;
            if (m_cut && m_cut(name, request.m_worker))
                return;
            SendLease sent;
            sent.m_worker = request.m_worker;
            sent.m_holder = name;
            sent.m_epoch = request.m_epoch;
            sent.m_ttl = request.m_ttl;
            const auto answer = m_workers.at(request.m_worker).lease(sent, m_now);
            if (const auto* grant = std::get_if<LeaseGrant>(&answer))
                lease.handleGrant(request.m_worker, request.m_request, grant->m_epoch, m_now);
            else
                lease.handleRejection(
                    request.m_worker, request.m_request, *std::get_if<LeaseRejection>(&answer), m_now);
        }

        std::vector<std::string> holders() const
        {
            std::vector<std::string> holders;
            for (const auto& [name, lease] : m_leases) {
                if (lease.isScheduler(m_now))
                    holders.push_back(name);
            }
            CPPUNIT_ASSERT(holders.size() <= 1);
            return holders;
        }

        void run(Duration duration, Duration tick = milliseconds(10))
        {
            for (const TimePoint end = m_now + duration; m_now < end; m_now += tick) {
                std::vector<std::pair<std::string, LeaseAction>> actions;
                for (auto& [name, lease] : m_leases) {
                    for (const LeaseAction& action : lease.step(m_now))
                        actions.emplace_back(name, action);
                }
                // Requests of different candidates reach the workers alternately.
                std::stable_sort(actions.begin(), actions.end(),
                    [](const auto& a, const auto& b) { return rank(a.second) < rank(b.second); });
                for (const auto& [name, action] : actions)
                    exchange(name, m_leases.at(name), action);
                holders();
            }
        }

        static std::uint64_t rank(const LeaseAction& action)
        {
            const auto* request = std::get_if<LeaseRequest>(&action);
            return request ? request->m_request : 0;
        }
    };

} // namespace

class DomainLeaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DomainLeaseTest);
    CPPUNIT_TEST(splitVoteEndsWithOneOwner);
    CPPUNIT_TEST(evenSplitGivesNoMajority);
    CPPUNIT_TEST(majorityOfThePreviousSetIsNeeded);
    CPPUNIT_TEST(endedWorkersDoNotCount);
    CPPUNIT_TEST(storedDeadlineIsBeforeTheWorkersExpiry);
    CPPUNIT_TEST(lateGrantIsReleased);
    CPPUNIT_TEST(workerWithAGreaterEpochIsWonBack);
    CPPUNIT_TEST(silentSchedulerIsReplacedAtLeaseEnd);
    CPPUNIT_TEST(eightDaemonsCauseNoStorm);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against candidates that take each other's votes for ever after a split vote.
    void splitVoteEndsWithOneOwner()
    {
        for (int seed = 0; seed < 20; ++seed) {
            LeaseRing ring;
            const auto workers = LeaseRing::names(4);
            // Both reach only half of the workers in the first seconds, and both start at the same time.
            const TimePoint start = ring.m_now;
            ring.m_cut = [&](const std::string& name, const WorkerId& worker) {
                const bool upper = worker.value() >= "w2";
                return ring.m_now < start + seconds(4) && (name < "n") != upper;
            };
            ring.add("a" + std::to_string(seed), workers);
            ring.add("z" + std::to_string(seed), workers);
            ring.run(seconds(4));
            CPPUNIT_ASSERT(ring.holders().empty());
            for (const auto& [name, lease] : ring.m_leases)
                CPPUNIT_ASSERT(lease.counters().value(CountedReason::CampaignSplit) > 0);
            ring.run(seconds(12));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, ring.holders().size());
        }
    }

    // Guards against an owner with exactly half of the workers: two of them could exist.
    void evenSplitGivesNoMajority()
    {
        LeaseRing ring;
        ring.m_cut = [](const std::string&, const WorkerId& worker) { return worker.value() >= "w2"; };
        ring.add("a", LeaseRing::names(4));
        ring.run(seconds(60));
        CPPUNIT_ASSERT(ring.holders().empty());
    }

    // Guards against two owners of which one knows only the older and one only the newer worker set.
    void majorityOfThePreviousSetIsNeeded()
    {
        LeaseRing ring;
        const auto older = LeaseRing::names(3);
        const auto newer = LeaseRing::names(3, "x");
        ring.add("lagging", older);
        ring.run(seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, ring.holders().size());
        DomainLease& candidate = ring.add("candidate", newer);
        candidate.setWorkers(newer, older, ring.m_now);
        ring.run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::string("lagging"), ring.holders().at(0));

        ring.m_leases.at("lagging").release(ring.m_now);
        ring.run(seconds(25));
        CPPUNIT_ASSERT_EQUAL(std::string("candidate"), ring.holders().at(0));
    }

    // Guards against a domain without an owner because most of its workers no longer exist.
    void endedWorkersDoNotCount()
    {
        LeaseRing ring;
        ring.m_cut = [](const std::string&, const WorkerId& worker) { return worker.value() >= "w1"; };
        DomainLease& lease = ring.add("a", LeaseRing::names(4));
        ring.run(seconds(30));
        CPPUNIT_ASSERT(ring.holders().empty());
        for (const char* name : { "w1", "w2", "w3" })
            lease.setEnded(WorkerId(name), true);
        ring.run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, ring.holders().size());
        lease.setEnded(WorkerId("w0"), true);
        CPPUNIT_ASSERT(!lease.isScheduler(ring.m_now));
    }

    // Guards against an owner that still decides although a worker with a faster clock has let its lease expire.
    void storedDeadlineIsBeforeTheWorkersExpiry()
    {
        for (const double rate : { 0.98, 1.0, 1.02 }) {
            LeaseRing ring;
            DomainLease& lease = ring.add("a", LeaseRing::names(3));
            for (auto& [name, worker] : ring.m_workers)
                worker.m_clockRate = rate;
            ring.run(seconds(40));
            CPPUNIT_ASSERT(lease.isScheduler(ring.m_now));
            ring.m_cut = [](const std::string&, const WorkerId&) { return true; };
            while (lease.isScheduler(ring.m_now)) {
                ring.run(milliseconds(10));
                for (const auto& [name, worker] : ring.m_workers)
                    CPPUNIT_ASSERT(!lease.holds(name, ring.m_now) || worker.m_expires > ring.m_now);
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, lease.epochOn(WorkerId("w0"), ring.m_now));
        }
    }

    // Guards against a grant that nobody knows of and that keeps other candidates from a worker.
    void lateGrantIsReleased()
    {
        LeaseRing ring;
        DomainLease& lease = ring.add("a", LeaseRing::names(1));
        lease.step(ring.m_now);
        const auto requests = lease.step(ring.m_now + seconds(2));
        const LeaseRequest request = std::get<LeaseRequest>(requests.at(0));
        lease.step(ring.m_now + seconds(10));
        CPPUNIT_ASSERT(
            !lease.handleGrant(request.m_worker, request.m_request, request.m_epoch, ring.m_now + seconds(10)));
        bool released = false;
        for (const LeaseAction& action : lease.step(ring.m_now + seconds(10))) {
            const auto* release = std::get_if<LeaseRelease>(&action);
            released = released || (release && release->m_epoch == request.m_epoch);
        }
        CPPUNIT_ASSERT(released);
        CPPUNIT_ASSERT(!lease.isScheduler(ring.m_now + seconds(10)));
    }

    // Guards against a worker that is lost to its owner because a failed campaign of another daemon raised its epoch.
    void workerWithAGreaterEpochIsWonBack()
    {
        LeaseRing ring;
        DomainLease& lease = ring.add("a", LeaseRing::names(3));
        ring.run(seconds(5));
        FakeWorker& worker = ring.m_workers.at(WorkerId("w0"));
        worker.m_holder = "other";
        worker.m_epoch = 40;
        worker.m_expires = ring.m_now + seconds(5);
        ring.run(seconds(8));
        CPPUNIT_ASSERT(lease.holds(WorkerId("w0"), ring.m_now));
        CPPUNIT_ASSERT(lease.isScheduler(ring.m_now));
        CPPUNIT_ASSERT(lease.epoch() > 40);
    }

    // Guards against a takeover that takes more than 5 s after the end of the leases, the target of the design.
    void silentSchedulerIsReplacedAtLeaseEnd()
    {
        for (int lastRenewal = 0; lastRenewal < 7; ++lastRenewal) {
            LeaseRing ring;
            const auto workers = LeaseRing::names(9);
            ring.add("a", workers);
            ring.run(seconds(10) + seconds(lastRenewal));
            const TimePoint end = *ring.m_leases.at("a").leaseEnd();
            ring.m_cut = [](const std::string& name, const WorkerId&) { return name == "a"; };
            ring.add("b", workers).schedulerSeen(DaemonId("a"), 1, ring.m_now);
            ring.run(end + seconds(5) - ring.m_now);
            CPPUNIT_ASSERT_EQUAL(std::string("b"), ring.holders().at(0));
        }
    }

    // Guards against a storm of campaigns when all daemons of a domain start together: 5 KB/s and daemon at about
    // 220 bytes per exchange allow 23 exchanges per second.
    void eightDaemonsCauseNoStorm()
    {
        World world;
        std::map<std::string, int> requests;
        for (int i = 0; i < 8; ++i)
            world.addNode("d" + std::to_string(i));
        world.m_observe = [&](const std::string& name, const OwnershipAction& action) {
            requests[name] += std::holds_alternative<SendLease>(action) || std::holds_alternative<SendRelease>(action);
        };
        world.configure(World::file(100), 1);
        world.run(seconds(5));
        const std::string owner = world.owner();
        CPPUNIT_ASSERT(!owner.empty());
        world.run(seconds(55));
        CPPUNIT_ASSERT_EQUAL(owner, world.owner());
        for (const auto& [name, count] : requests) {
            CPPUNIT_ASSERT(count <= 23 * 60);
            if (name != owner)
                CPPUNIT_ASSERT_EQUAL(0, count);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainLeaseTest);

} // namespace sapphiredale::ownership
