// One placement pass: ranks the waiting steps, chooses the best worker for each task, and sends advice requests for
// steps that lack tickets.
//
// Demand can exceed the capacity of the cluster for seconds. The ranking decides which jobs are late, and only the
// highest-ranked steps use the adviser's time.
#pragma once

#include "jobs/JobScheduler.h"

namespace sapphiredale::jobs {

/// Capacity that an advice request should yield, as a multiple of the need.
inline constexpr double adviceRequestMargin = 1.6;
/// Maximum number of workers in one advice request; the adviser accepts no more.
inline constexpr std::size_t maxWorkersPerAdviceRequest = 100;

/// When the run is expected to end on a worker with this duration factor; max() if it does not end by itself.
TimePoint expectedEnd(const Run&, double speedFactor, TimePoint now);

/// Operates on the state of a scheduler, within one of its calls.
class PlacementPass {
public:
    PlacementPass(JobScheduler& scheduler, TimePoint now)
        : m_scheduler(scheduler)
        , m_now(now)
    {
    }

    /// Places the tasks that fit and sends at most one advice request per idle daemon. Slow requests leave some daemons
    /// to fast ones, whose callers' deadlines are shorter than one slow request.
    void run(AdviceCapacity);
    /// Releases the capacity that the open advice request of the step has tentatively reserved.
    void releaseTentativeReservations(Step&);
    /// Ends the reservation of workers for the gang, if it has one.
    void endReservation(Step&);
    /// Whether the tasks of the step that were placed on the worker may still start there. Its capacity and the limit
    /// of the team may have shrunk since.
    bool mayStart(const Worker& worker, const Step& step) const
    {
        return isEligible(worker, step) && worker.m_reserved.fitsIn(worker.m_description.m_capacity)
            && m_scheduler.isWithinTeamLimit(step)
            && (!step.m_job->m_record.m_policy.m_advice || hasTicket(worker, step));
    }

    /// Whether a worker with at most this duration factor may have room for a task of the step.
    bool hasFastRoom(const Step&, double limit) const;
    /// Explains for the log why tasks of the step wait: counts of workers by the first obstacle.
    std::string explain(const Step&) const;

private:
    /// A worker for the next task of a step; the one with the lowest cost is taken.
    struct Candidate {
        double m_cost = 0;
        Worker* m_worker = nullptr;
    };

    /// What the speed of workers means for a step.
    struct SpeedPreference {
        /// False where all workers are alike.
        bool m_matters = false;
        /// Greatest duration factor with which the job meets its objective.
        double m_limit = 0;
        /// The job would be late on the slowest workers.
        bool m_isUrgent = false;
        /// The step waits for faster workers, until they have had time to become free.
        bool m_waits = false;
        double m_fastest = 1;
        double m_slowest = 1;
    };

    /// \name Speeds of workers; see docs/design/worker-speeds.md
    /// @{
    SpeedPreference speedPreferenceOf(const Step&) const;
    /// Whether the worker is one of those that the step should take: fast enough, and no faster than needed.
    bool isPreferred(const Worker&) const;
    /// Whether the step waits for a faster worker instead.
    bool isTooSlow(const Worker& worker) const { return m_speed.m_waits && !isPreferred(worker); }
    double speedCost(const Worker&) const;
    /// @}

    /// Whether nothing can be done for the step now because of the limit of its team. Takes constant time.
    bool waitsForTeamLimit(const Step&) const;
    /// Why the worker must not get tasks of the step, regardless of its capacity and tickets; null when it may.
    const char* ineligibilityReason(const Worker&, const Step&) const;
    bool isEligible(const Worker& worker, const Step& step) const
    {
        return ineligibilityReason(worker, step) == nullptr;
    }
    AdviceState adviceState(const Worker&, const Step&) const;
    /// Whether the adviser has refused the worker, which no later answer changes.
    bool isRefused(const Worker& worker, const Step& step) const
    {
        return adviceState(worker, step) == AdviceState::Refused;
    }
    /// Whether the step may start on the worker with the ticket that is known.
    bool hasTicket(const Worker& worker, const Step& step) const
    {
        return adviceState(worker, step) == AdviceState::TicketValid;
    }
    /// Calls the visitor for the workers that the adviser lets run the step, whatever their tickets. The visitor
    /// returns whether to go on.
    template <typename Visitor> void visitAllowedWorkers(const Step& step, Visitor visitor) const
    {
        for (const auto& [number, permission] : step.m_permissions) {
            Worker* worker = permission.m_isAllowed ? m_scheduler.findWorker(number) : nullptr;
            if (worker != nullptr && !visitor(*worker))
                return;
        }
    }
    bool fits(const Worker&, const Step&, const Resources& free) const;
    /// Removes and returns the candidate with the least work that has started nothing lately, for a task under which a
    /// worker has crashed; null if there is none.
    static Worker* takeTrialWorker(std::vector<Candidate>&);
    /// Keeps a worker free for a task under which a worker has crashed, if it has waited for long; removes the worker
    /// from the candidates.
    void reserveTrialWorker(Step&, const Task&, std::vector<Candidate>&);
    std::uint32_t runsOn(const Worker&, const Step&) const;
    double cost(const Worker&, const Step&, const RackId& rack) const;
    /// Calls the visitor for the workers on which tasks of the step may start now; a task may be too large for them.
    /// The visitor returns whether to go on.
    template <typename Visitor> void visitUsableWorkers(const Step&, Visitor) const;
    /// Usable workers with room for a task, enough of them for the waiting tasks.
    std::vector<Candidate> candidatesFor(const Step&, const RackId& rack) const;
    /// Places tasks, those that wait for near places on these only.
    void placeTasks(Step&);
    void placeGang(Step&);
    /// Chooses a worker for every task of a gang, on one rack if one is given; empty when they do not fit together.
    std::vector<Worker*> chooseGangWorkers(const Step&, const RackId& rack) const;
    /// The same among preferred workers only, or among all that the step does not avoid.
    std::vector<Worker*> chooseGangWorkers(const Step&, const RackId& rack, bool isOnlyPreferred) const;
    RackId rackWithMostRoom(const Step&) const;
    /// Chooses the failure domain for the job's tasks and keeps it while it has capacity for them.
    void chooseDomain(Step&);
    /// The failure domains, that of the job first, then those with the most room for the step.
    std::vector<DomainNumber> domainsByRoom(const Step&) const;
    void start(Step&, std::uint32_t task, Worker&, std::uint32_t run);
    /// Requests advice for the waiting tasks of the step; false when there is no candidate worker.
    bool requestAdvice(Step&);
    std::uint32_t slotsFor(const Worker&, const Step&, const Resources& free) const;

    /// \name Waits for near places; see LocalityPlacement.cpp
    /// @{
    /// The rack on which tasks of the step are fast; empty if there is none.
    RackId nearRack(const Step&) const;
    const std::vector<Worker*>& workersOnRack(const RackId&);
    /// When places for tasks of the step are expected on the rack, earliest first; at most `most`.
    std::vector<TimePoint> expectedNearPlaces(const Step&, const RackId&, std::size_t most);
    /// Decides how many tasks of the step wait for near places. Called for the steps in the order of the queue.
    void updateLocalityWait(Step&);
    /// Whether the next waiting task of the step must not start on the worker, since it waits for a near place.
    static bool mustWaitForNearPlace(const Step& step, const Worker& worker)
    {
        return step.m_waitingTasks <= step.m_locality.m_held && worker.m_description.m_rack != step.m_locality.m_rack;
    }
    /// Counts the begin of a wait, after the placement of the step.
    void noteLocalityWait(Step&);
    /// Counts the start of a task on the worker if the step has waited.
    void noteStartAfterWait(Step&, const Worker&);
    /// @}

    /// \name Reservations; see GangReservations.cpp, and reserveTrialWorker() for those of other steps
    /// @{
    /// Ends the reservations that are over or no longer needed.
    void endReservations();
    /// Keeps workers free for a gang that does not fit now.
    void reserveWorkers(Step&);
    /// Whether the step may reserve workers now: it has none, and neither its pause nor the limit of its pool forbids
    /// it.
    bool mayReserve(const Step&) const;
    /// Keeps the workers free for the step until `time` after they should have room.
    void reserve(Step&, const std::vector<Worker*>&, TimePoint readyAt, Duration time);
    /// When a task of the step fits on the worker if its runs end as expected; max() if none ever does.
    TimePoint expectedRoomAt(const Worker&, const Step&) const;
    bool isReservedForOther(const Worker& worker, const Step& step) const
    {
        return worker.m_reservedFor != nullptr && worker.m_reservedFor != &step && !step.m_spec->m_isLongRunning;
    }
    /// Requests advice for a gang: about its reserved workers shortly before they have room, or, while too few workers
    /// are known that may run it, about others whether they have room or not.
    bool requestGangAdvice(Step&);
    void sendAdviceRequest(Step&, AdviceRequest);
    /// @}

    /// \name Headroom that work beyond the share of its team leaves free
    /// @{
    /// Room of a pool during the pass.
    struct PoolRoom {
        Resources m_free;
        Resources m_headroom;
    };
    PoolRoom& roomOf(PoolNumber);
    /// Whether this many tasks of the step may start without using the headroom.
    bool respectsHeadroom(const Step&, std::uint32_t tasks);
    /// Whether the step waits since it is beyond the share of its team.
    bool isHeldByHeadroom(const Step& step)
    {
        return step.m_job->m_share.m_isBeyond
            && !respectsHeadroom(step, step.m_spec->m_isGang ? static_cast<std::uint32_t>(step.m_tasks.size()) : 1);
    }
    /// Notes that the step waits for room.
    void noteRoomWait(const Step&);
    /// @}

    JobScheduler& m_scheduler;
    const TimePoint m_now;
    /// Pools whose room has been needed, in this pass.
    std::map<PoolNumber, PoolRoom> m_poolRoom;
    bool m_hasHeldForHeadroom = false;
    /// For the step that is being placed.
    SpeedPreference m_speed;
    /// Workers by rack; filled when it is first needed.
    std::map<RackId, std::vector<Worker*>> m_workersByRack;
    bool m_areRacksListed = false;
    /// Tasks of the steps before in the queue that wait for a place on the rack.
    std::map<RackId, std::uint32_t> m_heldByRack;
};

} // namespace sapphiredale::jobs
