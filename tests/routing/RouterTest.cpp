// Tests of the routing decisions, the slot accounting and the admission.

#include "routing/Router.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

namespace sapphiredale::routing {

namespace {

    constexpr TimePoint origin { std::chrono::seconds(100) };
    constexpr auto ms
        = [](std::int64_t n) { return std::chrono::duration_cast<Duration>(std::chrono::milliseconds(n)); };

    HeldMinion lease(const std::string& name, std::uint32_t slots, TimePoint until = TimePoint::max())
    {
        HeldMinion result;
        result.m_minion = MinionId(name);
        result.m_address = name + ":1";
        result.m_epoch = 1;
        result.m_leaseDeadline = until;
        result.m_slots = slots;
        result.m_connections = 64;
        return result;
    }

    RequestInfo request(TimePoint deadline, const std::string& team = "a", bool idempotent = true)
    {
        RequestInfo info;
        info.m_team = TeamId(team);
        info.m_deadline = deadline;
        info.m_idempotent = idempotent;
        return info;
    }

    const ForwardToMinion* toMinion(const RouteDecision& decision) { return std::get_if<ForwardToMinion>(&decision); }
    const ForwardToDaemon* toDaemon(const RouteDecision& decision) { return std::get_if<ForwardToDaemon>(&decision); }
    const Refuse* refusal(const RouteDecision& decision) { return std::get_if<Refuse>(&decision); }

} // namespace

class RouterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(slotsStayOccupiedUntilTheMinionIsDone);
    CPPUNIT_TEST(formerHoldersCountAsOccupied);
    CPPUNIT_TEST(leavingOrExpiredMinionGetsNothing);
    CPPUNIT_TEST(randomInterleavingsNeverExceedSlots);
    CPPUNIT_TEST(failFastMinionIsEjectedAndReadmittedSlowly);
    CPPUNIT_TEST(generalFailureEjectsAtMostHalf);
    CPPUNIT_TEST(slowMinionGetsFewRequests);
    CPPUNIT_TEST(retriesOnlyWhatIsHarmless);
    CPPUNIT_TEST(notRunIsSaidOnlyWhenNoAttemptMayHaveRun);
    CPPUNIT_TEST(retryStormIsBounded);
    CPPUNIT_TEST(peersOfTheOwnDomainFirstAndOneHop);
    CPPUNIT_TEST(daemonWithoutMinionsQueuesAtAHolder);
    CPPUNIT_TEST(floodOfOneTeamDoesNotDelayAnother);
    CPPUNIT_TEST(deadlineDecidesWithinATeam);
    CPPUNIT_TEST(overloadKeepsGoodput);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a slot that is handed out again while the minion still works on a request that was given up.
    void slotsStayOccupiedUntilTheMinionIsDone()
    {
        Router router { RouterSettings {} };
        router.setMinion(lease("m", 1), origin);
        const RouteDecision first = router.route(request(origin + ms(1000)), origin);
        CPPUNIT_ASSERT(toMinion(first));
        const RouteDecision second = router.route(request(origin + ms(9000)), origin);
        CPPUNIT_ASSERT(std::holds_alternative<Queue>(second));
        router.abandoned(toMinion(first)->m_ticket, origin + ms(10));
        router.tick(origin + ms(20));
        CPPUNIT_ASSERT(router.takeDispatches().empty());
        router.slotEnded(toMinion(first)->m_slot, origin + ms(30));
        const std::vector<Dispatch> dispatches = router.takeDispatches();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dispatches.size());
        CPPUNIT_ASSERT(toMinion(dispatches[0].m_decision));
        // A crossed answer says nothing about the own request either.
        router.failed(
            toMinion(dispatches[0].m_decision)->m_ticket, AttemptFailure::CrossedAnswer, false, origin + ms(40));
        CPPUNIT_ASSERT_EQUAL(0U, router.report(origin + ms(50)).m_freeSlots);
        router.slotEnded(toMinion(dispatches[0].m_decision)->m_slot, origin + ms(60));
        router.slotEnded(toMinion(dispatches[0].m_decision)->m_slot, origin + ms(60));
        CPPUNIT_ASSERT_EQUAL(1U, router.report(origin + ms(60)).m_freeSlots);
    }

    // Guards against more requests than slots after a takeover, while requests of the former holder still run.
    void formerHoldersCountAsOccupied()
    {
        Router router { RouterSettings {} };
        HeldMinion held = lease("m", 2);
        held.m_formerInFlight = 2;
        router.setMinion(held, origin);
        CPPUNIT_ASSERT(std::holds_alternative<Queue>(router.route(request(origin + ms(5000)), origin)));
        held.m_formerInFlight = 1;
        router.setMinion(held, origin + ms(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, router.takeDispatches().size());
        CPPUNIT_ASSERT_EQUAL(0U, router.report(origin + ms(10)).m_freeSlots);
    }

    // Guards against new work for a minion that is leaving, that said so in a refusal, or whose lease has lapsed.
    void leavingOrExpiredMinionGetsNothing()
    {
        Router router { RouterSettings {} };
        HeldMinion leaving = lease("leaving", 8);
        leaving.m_leaving = true;
        router.setMinion(leaving, origin);
        router.setMinion(lease("expired", 8, origin + ms(100)), origin);
        router.setMinion(lease("good", 8), origin);
        for (int i = 0; i < 8; ++i) {
            const RouteDecision decision = router.route(request(origin + ms(9000)), origin + ms(100));
            CPPUNIT_ASSERT(toMinion(decision));
            CPPUNIT_ASSERT_EQUAL(std::string("good"), toMinion(decision)->m_minion.value());
            if (i == 7) {
                const RouteDecision retried = router.failed(
                    toMinion(decision)->m_ticket, AttemptFailure::RefusedLeaving, true, origin + ms(100));
                CPPUNIT_ASSERT_EQUAL(ErrorKind::NoMinion, refusal(retried)->m_kind);
            }
        }
        CPPUNIT_ASSERT_EQUAL(
            ErrorKind::NoMinion, refusal(router.route(request(origin + ms(9000)), origin + ms(100)))->m_kind);
    }

    // Guards against an accounting error in any order of takeover, pause, cancellation, failure and late ends.
    void randomInterleavingsNeverExceedSlots()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed)
            interleave(seed);
    }

    // Guards against a minion that fails at once, looks idle for that reason, and attracts the work of the others.
    void failFastMinionIsEjectedAndReadmittedSlowly()
    {
        Router router { RouterSettings {} };
        router.setMinion(lease("bad", 4), origin);
        router.setMinion(lease("good", 4), origin);
        TimePoint now = origin;
        unsigned toBad = 0;
        for (int i = 0; i < 1000; ++i) {
            const RouteDecision decision = router.route(request(now + ms(9000)), now);
            const bool bad = toMinion(decision)->m_minion.value() == "bad";
            toBad += bad ? 1 : 0;
            now += bad ? Duration(100) : ms(4);
            router.completed(toMinion(decision)->m_ticket, bad, now);
        }
        // Five until the ejection, then one per readmission; pauses of 0.5, 1 and 2 s fit into 4 s.
        CPPUNIT_ASSERT(toBad >= 5 && toBad <= 9);
        // A recovered minion takes one request at a time at first, and its full share only after a run of successes.
        now += std::chrono::seconds(60);
        std::vector<RouteDecision> open;
        for (int i = 0; i < 5; ++i)
            open.push_back(router.route(request(now + ms(9000)), now));
        CPPUNIT_ASSERT_EQUAL(1L, std::count_if(open.begin(), open.end(), [](const RouteDecision& decision) {
            return toMinion(decision)->m_minion.value() == "bad";
        }));
        for (const RouteDecision& decision : open)
            router.completed(toMinion(decision)->m_ticket, false, now);
        for (int i = 0; i < 60; ++i) {
            const RouteDecision decision = router.route(request(now + ms(9000)), now);
            now += ms(4);
            router.completed(toMinion(decision)->m_ticket, false, now);
        }
        CPPUNIT_ASSERT_EQUAL(8U, router.report(now).m_freeSlots);
    }

    // Guards against ejections that remove the whole service when the service itself fails.
    void generalFailureEjectsAtMostHalf()
    {
        Router router { RouterSettings {} };
        for (int i = 0; i < 6; ++i)
            router.setMinion(lease("m" + std::to_string(i), 8), origin);
        for (int i = 0; i < 500; ++i) {
            const RouteDecision decision = router.route(request(origin + ms(9000)), origin + ms(i / 10));
            router.completed(toMinion(decision)->m_ticket, true, origin + ms(i / 10));
        }
        CPPUNIT_ASSERT_EQUAL(24U, router.report(origin + ms(50)).m_freeSlots);
    }

    // Guards against one slow minion that holds a share of all requests long enough to set the tail of the latency.
    void slowMinionGetsFewRequests()
    {
        Router router { RouterSettings {} };
        for (int i = 0; i < 10; ++i)
            router.setMinion(lease("m" + std::to_string(i), 8), origin);
        std::multimap<TimePoint, RequestTicket> ends;
        TimePoint now = origin;
        unsigned slow = 0;
        for (int i = 0; i < 20000; ++i) {
            now += Duration(250);
            while (!ends.empty() && ends.begin()->first <= now) {
                router.completed(ends.begin()->second, false, ends.begin()->first);
                ends.erase(ends.begin());
            }
            const RouteDecision decision = router.route(request(now + ms(9000)), now);
            const bool isSlow = toMinion(decision)->m_minion.value() == "m3";
            slow += isSlow && i >= 1000 ? 1 : 0;
            ends.emplace(now + (isSlow ? ms(100) : ms(10)), toMinion(decision)->m_ticket);
        }
        // Fewer than 1 in 100 leaves the 99th percentile to the others; more than none shows that it is probed.
        CPPUNIT_ASSERT(slow > 0 && slow < 190);
    }

    // Guards against a repetition of work that may have run, and against a refusal of what can safely be repeated.
    void retriesOnlyWhatIsHarmless()
    {
        for (std::size_t i = 0; i < attemptFailureCount; ++i) {
            for (const bool idempotent : { false, true }) {
                for (const bool replayable : { false, true }) {
                    const auto failure = static_cast<AttemptFailure>(i);
                    Router router { RouterSettings {} };
                    router.setMinion(lease("m0", 1), origin);
                    router.setMinion(lease("m1", 1), origin);
                    const RouteDecision first = router.route(request(origin + ms(1000), "a", idempotent), origin);
                    const RouteDecision next
                        = router.failed(toMinion(first)->m_ticket, failure, replayable, origin + ms(1));
                    const bool harmless = replayable && (provesNotStarted(failure) || idempotent);
                    CPPUNIT_ASSERT_EQUAL(harmless, refusal(next) == nullptr);
                    if (!harmless)
                        CPPUNIT_ASSERT_EQUAL(provesNotStarted(failure) ? RunState::NotRun : RunState::MayHaveRun,
                            answerFor(refusal(next)->m_kind).m_runState);
                }
            }
        }
    }

    // Guards against "not run" about a request whose first attempt may have run and whose last one did not start.
    void notRunIsSaidOnlyWhenNoAttemptMayHaveRun()
    {
        RouterSettings settings;
        settings.m_maxAttempts = 2;
        Router router(settings);
        router.setMinion(lease("m0", 1), origin);
        router.setMinion(lease("m1", 1), origin);
        RouteDecision decision = router.route(request(origin + ms(1000)), origin);
        decision = router.failed(toMinion(decision)->m_ticket, AttemptFailure::ClosedAfterSend, true, origin + ms(1));
        CPPUNIT_ASSERT(toMinion(decision));
        decision = router.failed(toMinion(decision)->m_ticket, AttemptFailure::ConnectFailed, true, origin + ms(2));
        CPPUNIT_ASSERT_EQUAL(ErrorKind::MinionFailedMayHaveRun, refusal(decision)->m_kind);
        // The same for a request that waits for its second attempt until the deadline.
        RouterSettings single;
        Router queueing(single);
        queueing.setMinion(lease("m0", 1), origin);
        const RouteDecision one = queueing.route(request(origin + ms(1000)), origin);
        CPPUNIT_ASSERT(std::holds_alternative<Queue>(queueing.route(request(origin + ms(5000)), origin)));
        const RouteDecision again
            = queueing.failed(toMinion(one)->m_ticket, AttemptFailure::CrossedAnswer, true, origin + ms(1));
        CPPUNIT_ASSERT(std::holds_alternative<Queue>(again));
        queueing.tick(origin + ms(1001));
        const std::vector<Dispatch> dispatches = queueing.takeDispatches();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dispatches.size());
        CPPUNIT_ASSERT_EQUAL(ErrorKind::DeadlineExceededMayHaveRun, refusal(dispatches[0].m_decision)->m_kind);
    }

    // Guards against retries that multiply the load of a service whose minions all fail.
    void retryStormIsBounded()
    {
        Router router { RouterSettings {} };
        for (int i = 0; i < 4; ++i)
            router.setMinion(lease("m" + std::to_string(i), 8), origin);
        unsigned attempts = 0;
        constexpr unsigned requests = 10000;
        for (unsigned i = 0; i < requests; ++i) {
            RouteDecision decision = router.route(request(origin + ms(9000)), origin);
            while (toMinion(decision)) {
                ++attempts;
                decision = router.failed(toMinion(decision)->m_ticket, AttemptFailure::ClosedAfterSend, true, origin);
            }
            CPPUNIT_ASSERT(refusal(decision));
        }
        CPPUNIT_ASSERT(attempts > requests);
        CPPUNIT_ASSERT(attempts <= requests + requests / 10 + 20);
    }

    // Guards against a request that leaves the domain needlessly, and against one that is passed on in circles.
    void peersOfTheOwnDomainFirstAndOneHop()
    {
        RouterSettings settings;
        settings.m_failureDomain = FailureDomainId("x");
        Router router(settings);
        router.setMinion(lease("m", 1), origin);
        router.setPeers({ { DaemonId("far"), FailureDomainId("y"), "far:1" },
                            { DaemonId("near"), FailureDomainId("x"), "near:1" } },
            origin);
        router.peerReport(DaemonId("far"), { 80, 80, 0 }, origin);
        router.peerReport(DaemonId("near"), { 8, 1, 0 }, origin);
        CPPUNIT_ASSERT(toMinion(router.route(request(origin + ms(1000)), origin)));
        RequestInfo hop = request(origin + ms(1000));
        hop.m_fromPeer = true;
        CPPUNIT_ASSERT(std::holds_alternative<Queue>(router.route(hop, origin)));
        Router other(settings);
        other.setPeers({ { DaemonId("far"), FailureDomainId("y"), "far:1" },
                           { DaemonId("near"), FailureDomainId("x"), "near:1" } },
            origin);
        other.peerReport(DaemonId("far"), { 80, 80, 0 }, origin);
        other.peerReport(DaemonId("near"), { 8, 1, 0 }, origin);
        const RouteDecision near = other.route(request(origin + ms(1000)), origin);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), toDaemon(near)->m_daemon.value());
        const RouteDecision far = other.route(request(origin + ms(1000)), origin);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), toDaemon(far)->m_daemon.value());
        CPPUNIT_ASSERT_EQUAL(ErrorKind::NoMinion, refusal(other.route(hop, origin))->m_kind);
        // A report that is too old says nothing about free slots.
        CPPUNIT_ASSERT(refusal(other.route(request(origin + ms(99000)), origin + ms(6000))));
    }

    // Guards against callers of a daemon without minions that never get one of the slots that become free elsewhere.
    void daemonWithoutMinionsQueuesAtAHolder()
    {
        Router router { RouterSettings {} };
        router.setPeers(
            { { DaemonId("p"), FailureDomainId(), "p:1" }, { DaemonId("q"), FailureDomainId(), "q:1" } }, origin);
        router.peerReport(DaemonId("p"), { 8, 0, 9 }, origin);
        router.peerReport(DaemonId("q"), { 8, 0, 2 }, origin);
        const RouteDecision decision = router.route(request(origin + ms(1000)), origin);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), toDaemon(decision)->m_daemon.value());
        const RouteDecision retried
            = router.failed(toDaemon(decision)->m_ticket, AttemptFailure::RefusedByPeer, true, origin + ms(1));
        CPPUNIT_ASSERT_EQUAL(std::string("p"), toDaemon(retried)->m_daemon.value());
    }

    // Guards against a flood of one team that makes the requests of the others wait.
    void floodOfOneTeamDoesNotDelayAnother()
    {
        const Duration alone = worstWait(0);
        const Duration flooded = worstWait(20);
        // One service time more: the slot that becomes free next may have been given to the flood just before.
        CPPUNIT_ASSERT(flooded <= alone + ms(10));
    }

    // Guards against a queue that serves by arrival and lets a tight deadline pass behind loose ones.
    void deadlineDecidesWithinATeam()
    {
        Router router { RouterSettings {} };
        router.setMinion(lease("m", 1), origin);
        const RouteDecision running = router.route(request(origin + ms(9000)), origin);
        router.route(request(origin + ms(8000)), origin);
        const RouteDecision tight = router.route(request(origin + ms(500)), origin);
        router.completed(toMinion(running)->m_ticket, false, origin + ms(10));
        CPPUNIT_ASSERT_EQUAL(std::get<Queue>(tight).m_ticket, router.takeDispatches().at(0).m_ticket);
    }

    // Guards against a collapse under overload: work whose deadline passes while it waits must not use the slots.
    void overloadKeepsGoodput()
    {
        const unsigned atCapacity = goodput(10);
        for (const unsigned load : { 15U, 20U, 30U })
            CPPUNIT_ASSERT(goodput(load) * 100 >= atCapacity * 95);
    }

private:
    /// One minion table against a model of the minions that counts what really runs there.
    static void interleave(std::uint64_t seed)
    {
        Random random(seed);
        RouterSettings settings;
        settings.m_seed = seed;
        Router router(settings);
        struct Run {
            std::string m_minion;
            RequestTicket m_ticket = 0;
            SlotSerial m_slot = 0;
            bool m_given = false;
        };
        std::map<std::string, unsigned> running;
        std::map<std::string, HeldMinion> leases;
        std::vector<Run> runs;
        std::set<RequestTicket> queued;
        TimePoint now = origin;
        const auto start = [&](const RouteDecision& decision) {
            if (const ForwardToMinion* forward = toMinion(decision)) {
                const std::string& minion = forward->m_minion.value();
                CPPUNIT_ASSERT(++running[minion] <= leases[minion].m_slots);
                CPPUNIT_ASSERT(now < leases[minion].m_leaseDeadline && !leases[minion].m_leaving);
                runs.push_back({ minion, forward->m_ticket, forward->m_slot, false });
            } else if (const Queue* queue = std::get_if<Queue>(&decision)) {
                queued.insert(queue->m_ticket);
            }
        };
        const auto takeDispatches = [&] {
            for (const Dispatch& dispatch : router.takeDispatches()) {
                CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, queued.erase(dispatch.m_ticket));
                start(dispatch.m_decision);
            }
        };
        for (int step = 0; step < 2000; ++step) {
            now += ms(static_cast<std::int64_t>(random.below(20)));
            const std::string minion = "m" + std::to_string(random.below(3));
            const std::size_t action = random.below(10);
            if (action < 4) {
                start(router.route(request(now + ms(200)), now));
            } else if (action < 8 && !runs.empty()) {
                const std::size_t index = random.below(runs.size());
                const std::size_t kind = random.below(6);
                if (kind == 0 && !runs[index].m_given) {
                    router.abandoned(runs[index].m_ticket, now);
                    runs[index].m_given = true;
                } else {
                    const Run ended = runs[index];
                    runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(index));
                    --running[ended.m_minion];
                    if (ended.m_given)
                        router.slotEnded(ended.m_slot, now);
                    else if (kind < 3)
                        start(router.failed(ended.m_ticket, static_cast<AttemptFailure>(random.below(8)), true, now));
                    else
                        router.completed(ended.m_ticket, kind == 3, now);
                }
            } else if (action == 8) {
                // A takeover: the requests of the former holder run on the minion and are reported as such.
                HeldMinion& held = leases[minion];
                const unsigned former = static_cast<unsigned>(random.below(3));
                const unsigned own = running[minion] - held.m_formerInFlight;
                running[minion] = own + former;
                const std::uint64_t epoch = held.m_epoch + 1;
                held = lease(minion, 4, now + ms(static_cast<std::int64_t>(random.below(400))));
                held.m_epoch = epoch;
                held.m_formerInFlight = former;
                held.m_leaving = random.below(8) == 0;
                // Requests of both may exceed the slots before the grant; only new ones are this router's decision.
                router.setMinion(held, now);
            } else if (random.below(4) == 0) {
                leases[minion].m_leaseDeadline = now;
                router.dropMinion(MinionId(minion), now);
            }
            router.tick(now);
            takeDispatches();
        }
        for (const RequestTicket ticket : queued)
            router.abandoned(ticket, now);
        for (const Run& run : runs) {
            if (!run.m_given)
                router.abandoned(run.m_ticket, now);
            router.slotEnded(run.m_slot, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, router.active());
        for (const auto& [name, held] : leases)
            CPPUNIT_ASSERT_EQUAL(0U, router.minions().find(MinionId(name))->m_outstanding);
    }

    /// Worst wait of a team that uses a tenth of the capacity, beside a team that sends flood requests per service
    /// time.
    static Duration worstWait(unsigned flood)
    {
        Router router { RouterSettings {} };
        router.setMinion(lease("m", 4), origin);
        std::multimap<TimePoint, RequestTicket> ends;
        std::map<RequestTicket, TimePoint> waiting;
        Duration worst {};
        const auto serve = [&](const RouteDecision& decision, TimePoint now) {
            if (toMinion(decision))
                ends.emplace(now + ms(10), toMinion(decision)->m_ticket);
        };
        for (TimePoint now = origin; now < origin + ms(5000); now += ms(1)) {
            while (!ends.empty() && ends.begin()->first <= now) {
                const RequestTicket ticket = ends.begin()->second;
                ends.erase(ends.begin());
                router.completed(ticket, false, now);
                for (const Dispatch& dispatch : router.takeDispatches()) {
                    serve(dispatch.m_decision, now);
                    const auto since = waiting.find(dispatch.m_ticket);
                    if (since != waiting.end())
                        worst = std::max(worst, now - since->second);
                }
            }
            for (unsigned i = 0; i < flood; i += 10)
                serve(router.route(request(now + ms(60000), "flood"), now), now);
            if ((now - origin).count() % 25000 == 0) {
                const RouteDecision decision = router.route(request(now + ms(60000), "small"), now);
                serve(decision, now);
                if (const Queue* queue = std::get_if<Queue>(&decision))
                    waiting[queue->m_ticket] = now;
                CPPUNIT_ASSERT(!refusal(decision));
            }
        }
        return worst;
    }

    /// Requests answered in time in 5 s at load tenths of the capacity, with exponential service times.
    static unsigned goodput(unsigned load)
    {
        Router router { RouterSettings {} };
        router.setMinion(lease("m", 20), origin);
        Random random(load);
        struct Run {
            RequestTicket m_ticket = 0;
            TimePoint m_deadline;
        };
        std::multimap<TimePoint, Run> ends;
        std::map<RequestTicket, TimePoint> deadlines;
        unsigned good = 0;
        const auto serve = [&](const RouteDecision& decision, TimePoint now) {
            if (const ForwardToMinion* forward = toMinion(decision)) {
                const auto service = static_cast<std::int64_t>(-10000.0 * std::log(1.0 - random.unit()));
                ends.emplace(now + Duration(service), Run { forward->m_ticket, deadlines.at(forward->m_ticket) });
            }
        };
        for (TimePoint now = origin; now < origin + ms(5000); now += Duration(500)) {
            while (!ends.empty() && ends.begin()->first <= now) {
                const Run run = ends.begin()->second;
                good += ends.begin()->first <= run.m_deadline ? 1 : 0;
                ends.erase(ends.begin());
                router.completed(run.m_ticket, false, now);
                for (const Dispatch& dispatch : router.takeDispatches())
                    serve(dispatch.m_decision, now);
            }
            router.tick(now);
            for (const Dispatch& dispatch : router.takeDispatches())
                serve(dispatch.m_decision, now);
            for (unsigned i = 0; i < load; ++i) {
                if (random.below(10) != 0)
                    continue;
                const TimePoint deadline = now + ms(100);
                const RouteDecision decision = router.route(request(deadline), now);
                if (const Queue* queue = std::get_if<Queue>(&decision))
                    deadlines[queue->m_ticket] = deadline;
                else if (const ForwardToMinion* forward = toMinion(decision))
                    deadlines[forward->m_ticket] = deadline;
                serve(decision, now);
            }
        }
        return good;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace sapphiredale::routing
