// Tests of the minion leases of one daemon, and of several daemons against a model of the minion.

#include "routing/MinionLeaseTable.h"
#include "routing/ChoicePolicy.h"
#include "routing/Router.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>

namespace sapphiredale::routing {

namespace {

    constexpr TimePoint origin { std::chrono::seconds(100) };
    constexpr Duration ms(std::int64_t n) { return std::chrono::milliseconds(n); }

    /// The minion's side of the lease register, as design 2.7 states it.
    struct ModelMinion {
        DaemonId m_holder;
        std::uint64_t m_epoch = 0;
        TimePoint m_expiry;
        bool m_leaving = false;
        /// Running requests by the epoch under which they were accepted.
        std::multimap<std::uint64_t, int> m_running;

        std::uint32_t formerInFlight() const
        {
            return static_cast<std::uint32_t>(m_running.size() - m_running.count(m_epoch));
        }
    };

    MinionLeaseSettings settingsOf(const std::string& daemon)
    {
        MinionLeaseSettings settings;
        settings.m_self = DaemonId(daemon);
        return settings;
    }

} // namespace

class MinionLeaseTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MinionLeaseTableTest);
    CPPUNIT_TEST(deadlineCountsFromTheSending);
    CPPUNIT_TEST(plannedStopReleasesEverything);
    CPPUNIT_TEST(lateResponseToAnOlderRequestIsIgnored);
    CPPUNIT_TEST(everyMinionIsWantedByOneDaemon);
    CPPUNIT_TEST(slotsHoldThroughTakeoverPauseAndDeath);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lease that the holder believes in for longer than the minion does, after a slow response or a
    // pause.
    void deadlineCountsFromTheSending()
    {
        MinionLeaseTable table(settingsOf("a"));
        table.setMinions({ { MinionId("m"), "m:1", 8, 64 } }, origin);
        MinionLeaseRequest request = table.step(origin).at(0);
        CPPUNIT_ASSERT(request.m_wait == Duration::zero());
        table.granted(request, { 1, 0, 0, 8, false }, origin + ms(2000));
        CPPUNIT_ASSERT(table.held(MinionId("m"), origin + ms(7499)));
        CPPUNIT_ASSERT(!table.held(MinionId("m"), origin + ms(7500)));
        request = table.step(origin + ms(2000)).at(0);
        CPPUNIT_ASSERT(request.m_wait == ms(3000));
        // The process was paused while the response was on its way.
        table.granted(request, { 1, 0, 0, 8, false }, origin + ms(60000));
        CPPUNIT_ASSERT(!table.held(MinionId("m"), origin + ms(60000)));
        CPPUNIT_ASSERT(table.step(origin + ms(60000)).at(0).m_epoch > 1);
    }

    // Guards against a planned stop after which the successor has to wait for the lease to expire.
    void plannedStopReleasesEverything()
    {
        MinionLeaseTable table(settingsOf("a"));
        table.setMinions({ { MinionId("m"), "m:1", 8, 64 } }, origin);
        table.granted(table.step(origin).at(0), { 1, 0, 0, 8, false }, origin);
        table.takeChanges();
        table.step(origin + ms(50));
        table.stop(origin + ms(60));
        const std::vector<MinionLeaseRequest> requests = table.step(origin + ms(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, requests.size());
        CPPUNIT_ASSERT(requests[0].isRelease() && requests[0].m_epoch == 1);
        CPPUNIT_ASSERT(!table.held(MinionId("m"), origin + ms(60)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, table.takeChanges().size());
        CPPUNIT_ASSERT(!table.isDrained(origin + ms(60)));
        table.granted(requests[0], { 1, 0, 0, 8, false }, origin + ms(70));
        CPPUNIT_ASSERT(table.isDrained(origin + ms(70)) && table.step(origin + ms(9000)).empty());
    }

    // Guards against a grant of a former process of the minion that is taken for one of the present process.
    void lateResponseToAnOlderRequestIsIgnored()
    {
        MinionLeaseTable table(settingsOf("a"));
        table.setMinions({ { MinionId("m"), "m:1", 8, 64 } }, origin);
        const MinionLeaseRequest old = table.step(origin).at(0);
        table.setMinions({ { MinionId("m"), "m:2", 8, 64 } }, origin + ms(10));
        const MinionLeaseRequest fresh = table.step(origin + ms(10)).at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("m:2"), fresh.m_address);
        table.granted(old, { 1, 0, 0, 8, false }, origin + ms(20));
        CPPUNIT_ASSERT(!table.held(MinionId("m"), origin + ms(20)));
        // Former counts only fall: a response that was overtaken by a newer one must not raise them again.
        table.granted(fresh, { 2, 3, 5, 8, false }, origin + ms(20));
        table.granted(table.step(origin + ms(100)).at(0), { 2, 1, 1, 8, false }, origin + ms(110));
        table.granted(table.step(origin + ms(200)).at(0), { 2, 3, 5, 8, false }, origin + ms(210));
        CPPUNIT_ASSERT_EQUAL(1U, table.held(MinionId("m"), origin + ms(210))->m_formerInFlight);
    }

    // Guards against two live daemons that compete for a minion without end, and against one that nobody requests.
    void everyMinionIsWantedByOneDaemon()
    {
        const std::vector<DaemonId> daemons { DaemonId("a"), DaemonId("b"), DaemonId("c") };
        std::vector<MinionEndpoint> minions;
        for (int i = 0; i < 60; ++i)
            minions.push_back({ MinionId("m" + std::to_string(i)), "x:1", 8, 64 });
        std::map<MinionId, int> wanted;
        for (const DaemonId& daemon : daemons) {
            MinionLeaseTable table(settingsOf(daemon.value()));
            table.setLiveDaemons(daemons, origin);
            table.setMinions(minions, origin);
            for (const MinionLeaseRequest& request : table.step(origin))
                ++wanted[request.m_minion];
        }
        CPPUNIT_ASSERT_EQUAL(minions.size(), wanted.size());
        for (const auto& [minion, count] : wanted)
            CPPUNIT_ASSERT_EQUAL(1, count);
    }

    // Guards against more requests on a minion than slots, or a request under a stale epoch that starts, in any order
    // of takeovers, pauses longer than the lease, deaths, lost messages and late ends.
    void slotsHoldThroughTakeoverPauseAndDeath()
    {
        unsigned started = 0;
        unsigned changes = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const auto [startedNow, changesNow] = takeovers(seed);
            started += startedNow;
            changes += changesNow;
        }
        CPPUNIT_ASSERT(started > 10000 && changes > 300);
    }

private:
    struct Daemon {
        explicit Daemon(const std::string& name)
            : m_name(name)
            , m_leases(settingsOf(name))
            , m_router(RouterSettings {})
        {
        }
        DaemonId m_name;
        MinionLeaseTable m_leases;
        Router m_router;
        TimePoint m_pausedUntil;
        std::vector<MinionLeaseRequest> m_requests;
        /// Forwards that were decided and have not reached the minion.
        std::vector<ForwardToMinion> m_forwards;
    };
    struct Running {
        std::size_t m_daemon = 0;
        std::uint64_t m_epoch = 0;
        RequestTicket m_ticket = 0;
    };

    static void leaseStep(Daemon& daemon, ModelMinion& minion, Random& random, TimePoint now)
    {
        for (const MinionLeaseRequest& request : daemon.m_leases.step(now))
            daemon.m_requests.push_back(request);
        while (!daemon.m_requests.empty() && random.below(3) != 0) {
            const MinionLeaseRequest request = daemon.m_requests.front();
            daemon.m_requests.erase(daemon.m_requests.begin());
            answerLease(daemon, minion, request, random.below(10) == 0, now);
        }
        for (const MinionId& id : daemon.m_leases.takeChanges()) {
            if (const std::optional<HeldMinion> held = daemon.m_leases.held(id, now))
                daemon.m_router.setMinion(*held, now);
            else
                daemon.m_router.dropMinion(id, now);
        }
    }

    static void answerLease(
        Daemon& daemon, ModelMinion& minion, const MinionLeaseRequest& request, bool lost, TimePoint now)
    {
        const bool renews
            = request.m_epoch == minion.m_epoch && minion.m_holder == daemon.m_name && now < minion.m_expiry;
        const bool acquires = request.m_epoch > minion.m_epoch && now >= minion.m_expiry && !request.isRelease();
        if (renews || acquires) {
            minion.m_holder = daemon.m_name;
            minion.m_epoch = request.m_epoch;
            minion.m_expiry = now + request.m_ttl;
        }
        if (lost)
            daemon.m_leases.failed(request, now);
        else if (renews || acquires)
            daemon.m_leases.granted(request, { minion.m_epoch, minion.formerInFlight(), 0, 4, minion.m_leaving }, now);
        else
            daemon.m_leases.rejected(
                request, { minion.m_holder, minion.m_epoch, std::max(Duration::zero(), minion.m_expiry - now) }, now);
    }

    /// Returns the requests that started and the changes of the holder.
    static std::pair<unsigned, unsigned> takeovers(std::uint64_t seed)
    {
        Random random(seed);
        ModelMinion minion;
        std::vector<std::unique_ptr<Daemon>> daemons;
        std::vector<DaemonId> names;
        for (const std::string name : { "a", "b", "c" }) {
            daemons.push_back(std::make_unique<Daemon>(name));
            daemons.back()->m_leases.setMinions({ { MinionId("m"), "m:1", 4, 64 } }, origin);
            names.emplace_back(name);
        }
        std::vector<Running> running;
        TimePoint now = origin;
        unsigned started = 0;
        unsigned takeoverCount = 0;
        DaemonId lastHolder;
        for (int step = 0; step < 3000; ++step) {
            now += ms(static_cast<std::int64_t>(random.below(60)));
            if (random.below(40) == 0) {
                // Each daemon has its own and possibly wrong view of who is alive.
                std::vector<DaemonId> view = names;
                std::erase_if(view, [&](const DaemonId&) { return random.below(3) == 0; });
                daemons[random.below(daemons.size())]->m_leases.setLiveDaemons(view, now);
            }
            const std::size_t index = random.below(daemons.size());
            Daemon& daemon = *daemons[index];
            if (random.below(150) == 0)
                daemon.m_pausedUntil = now + ms(static_cast<std::int64_t>(random.below(12000)));
            if (now < daemon.m_pausedUntil)
                continue;
            leaseStep(daemon, minion, random, now);
            const RouteDecision decision
                = daemon.m_router.route({ TeamId(), ClassId(), now + ms(1), true, false }, now);
            if (const auto* forward = std::get_if<ForwardToMinion>(&decision))
                daemon.m_forwards.push_back(*forward);
            else if (const auto* queue = std::get_if<Queue>(&decision))
                daemon.m_router.abandoned(queue->m_ticket, now);
            takeoverCount += minion.m_holder == lastHolder ? 0 : 1;
            lastHolder = minion.m_holder;
            arrive(daemon, index, minion, running, random, started, now);
            finish(daemons, minion, running, random, now);
        }
        return { started, takeoverCount };
    }

    static void arrive(Daemon& daemon, std::size_t index, ModelMinion& minion, std::vector<Running>& running,
        Random& random, unsigned& started, TimePoint now)
    {
        // A forward may have been sent before a pause and arrive long after the lease went to another daemon.
        while (!daemon.m_forwards.empty() && random.below(2) != 0) {
            const ForwardToMinion forward = daemon.m_forwards.front();
            daemon.m_forwards.erase(daemon.m_forwards.begin());
            if (forward.m_epoch != minion.m_epoch) {
                daemon.m_router.failed(forward.m_ticket, AttemptFailure::RefusedStaleEpoch, false, now);
                continue;
            }
            ++started;
            minion.m_running.emplace(forward.m_epoch, 0);
            CPPUNIT_ASSERT(minion.m_running.size() <= 4);
            running.push_back({ index, forward.m_epoch, forward.m_ticket });
        }
    }

    static void finish(std::vector<std::unique_ptr<Daemon>>& daemons, ModelMinion& minion,
        std::vector<Running>& running, Random& random, TimePoint now)
    {
        if (running.empty() || random.below(3) != 0)
            return;
        const std::size_t chosen = random.below(running.size());
        const Running ended = running[chosen];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(chosen));
        minion.m_running.erase(minion.m_running.find(ended.m_epoch));
        daemons[ended.m_daemon]->m_router.completed(ended.m_ticket, false, now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MinionLeaseTableTest);

} // namespace sapphiredale::routing
