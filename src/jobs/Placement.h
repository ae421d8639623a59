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

    /// Explains for the log why tasks of the step wait: counts of workers by the first obstacle.
    std::string explain(const Step&) const;

private:
    /// A worker for the next task of a step; the one with the lowest cost is taken.
    struct Candidate {
        double m_cost = 0;
        Worker* m_worker = nullptr;
    };

    /// Whether nothing can be done for the step now because of the limit of its team. Takes constant time.
    bool waitsForTeamLimit(const Step&) const;
    /// Why the worker must not get tasks of the step, regardless of its capacity and tickets; null when it may.
    const char* ineligibilityReason(const Worker&, const Step&) const;
    bool isEligible(const Worker& worker, const Step& step) const
    {
        return ineligibilityReason(worker, step) == nullptr;
    }
    bool isValid(const Permission&, const Worker&) const;
    bool hasTicket(const Worker&, const Step&) const;
    bool fits(const Worker&, const Step&, const Resources& free) const;
    /// Removes and returns the candidate with the least work that has started nothing lately, for a task under which a
    /// worker has crashed; null if there is none.
    static Worker* takeTrialWorker(std::vector<Candidate>&);
    std::uint32_t runsOn(const Worker&, const Step&) const;
    double cost(const Worker&, const Step&, const RackId& rack) const;
    /// Calls the visitor for the workers on which tasks of the step may start now; a task may be too large for them.
    /// The visitor returns whether to go on.
    template <typename Visitor> void visitUsableWorkers(const Step&, Visitor) const;
    /// Usable workers with room for a task, enough of them for the waiting tasks.
    std::vector<Candidate> candidatesFor(const Step&, const RackId& rack) const;
    void placeTasks(Step&);
    void placeGang(Step&);
    /// Chooses a worker for every task of a gang, on one rack if one is given; empty when they do not fit together.
    std::vector<Worker*> chooseGangWorkers(const Step&, const RackId& rack) const;
    RackId rackWithMostRoom(const Step&) const;
    /// Chooses the failure domain for the job's tasks and keeps it while it has capacity for them.
    void chooseDomain(Step&);
    /// The failure domains, that of the job first, then those with the most room for the step.
    std::vector<DomainNumber> domainsByRoom(const Step&) const;
    void start(Step&, std::uint32_t task, Worker&, std::uint32_t run);
    /// Requests advice for the waiting tasks of the step; false when there is no candidate worker.
    bool requestAdvice(Step&);
    std::uint32_t slotsFor(const Worker&, const Step&, const Resources& free) const;

    /// \name Reservations for gangs; see GangReservations.cpp
    /// @{
    /// Ends the reservations that are over or no longer needed.
    void endReservations();
    /// Keeps workers free for a gang that does not fit now.
    void reserveWorkers(Step&);
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

    JobScheduler& m_scheduler;
    const TimePoint m_now;
};

} // namespace sapphiredale::jobs
