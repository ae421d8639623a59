// One placement pass: ranks the waiting steps, chooses the best worker for each task, and sends advice requests for
// steps that lack tickets.
//
// Demand can exceed the capacity of the cluster for seconds. The ranking decides which jobs are late, and only the
// highest-ranked steps use the adviser's time.
#pragma once

#include "jobs/JobScheduler.h"

namespace sapphiredale::jobs {

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
    /// Whether the tasks of the step that were placed on the worker may still start there.
    bool mayStart(const Worker& worker, const Step& step) const
    {
        return isEligible(worker, step) && (!step.m_job->m_record.m_policy.m_advice || hasTicket(worker, step));
    }

    /// Explains for the log why tasks of the step wait: counts of workers by the first obstacle.
    std::string explain(const Step&) const;

private:
    /// Sort key of a waiting step; smaller ranks go first.
    struct Rank {
        /// 0 while the objective can be met, 1 while a late result is worth something, 2 afterwards.
        int m_lateness = 0;
        std::uint32_t m_priority = 0;
        TimePoint m_deadline {};
        Step* m_step = nullptr;

        friend bool operator<(const Rank& a, const Rank& b)
        {
            if (a.m_lateness != b.m_lateness)
                return a.m_lateness < b.m_lateness;
            if (a.m_priority != b.m_priority)
                return a.m_priority < b.m_priority;
            if (a.m_deadline != b.m_deadline)
                return a.m_deadline < b.m_deadline;
            return a.m_step->m_name < b.m_step->m_name;
        }
    };

    std::vector<Rank> rankedSteps() const;
    Rank rankOf(Step&) const;
    /// Why the worker must not get tasks of the step, regardless of its capacity and tickets; null when it may.
    const char* ineligibilityReason(const Worker&, const Step&) const;
    bool isEligible(const Worker& worker, const Step& step) const
    {
        return ineligibilityReason(worker, step) == nullptr;
    }
    bool hasTicket(const Worker&, const Step&) const;
    bool fits(const Worker&, const Step&, const Resources& free) const;
    std::uint32_t runsOn(const Worker&, const Step&) const;
    double cost(const Worker&, const Step&, const Task&, const RackId& rack) const;
    Worker* chooseWorker(const Step&, const Task&, const RackId& rack);
    void placeTasks(Step&);
    void placeGang(Step&);
    /// Chooses a worker for every task of a gang, on one rack if one is given; empty when they do not fit together.
    std::vector<Worker*> chooseGangWorkers(Step&, const RackId& rack);
    RackId rackWithMostRoom(const Step&) const;
    /// Chooses the failure domain for the job's tasks and keeps it while it has capacity for them.
    void chooseDomain(Step&);
    void start(Step&, std::uint32_t task, Worker&, std::uint32_t run);
    /// Requests advice for the waiting tasks of the step; false when there is no candidate worker.
    bool requestAdvice(Step&);
    std::uint32_t slotsFor(const Worker&, const Step&, const Resources& free) const;

    JobScheduler& m_scheduler;
    const TimePoint m_now;
};

} // namespace sapphiredale::jobs
