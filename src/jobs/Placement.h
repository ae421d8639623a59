// One pass of placement: the waiting steps in order of what their callers lose, the best worker for each task, and the
// questions to the adviser for steps that lack tickets.
//
// It answers a cell whose demand exceeds its room for seconds: the order decides who is late, and only the head of the
// order spends the adviser's time.
#pragma once

#include "jobs/JobScheduler.h"

namespace sapphiredale::jobs {

/// Works on the records of a scheduler, within one of its calls.
class Placement {
public:
    Placement(JobScheduler& scheduler, TimePoint now)
        : m_scheduler(scheduler)
        , m_now(now)
    {
    }

    /// Places what fits and asks as many questions as there are idle daemons. Questions that take long leave some
    /// daemons to the short ones, whose callers wait for less time than one long question takes.
    void pass(AdviceCapacity);
    /// Gives back the room that the open question of the step has pledged.
    void withdrawPledges(Step&);
    /// Whether the worker may still take the tasks of the step that were placed on it.
    bool mayStart(const Worker& worker, const Step& step) const
    {
        return isEligible(worker, step) && (!step.m_job->m_record.m_policy.m_advice || hasTicket(worker, step));
    }

    /// Why tasks of the step wait, for the log: counts of workers by the first thing that stands against them.
    std::string explain(const Step&) const;

private:
    /// What decides between two waiting steps; the smaller goes first.
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

    std::vector<Rank> order() const;
    Rank rankOf(Step&) const;
    /// What keeps the worker from new work of the step, whatever its room and permissions; null when nothing does.
    const char* obstacleOf(const Worker&, const Step&) const;
    bool isEligible(const Worker& worker, const Step& step) const { return obstacleOf(worker, step) == nullptr; }
    bool hasTicket(const Worker&, const Step&) const;
    bool fits(const Worker&, const Step&, const Resources& free) const;
    std::uint32_t runsOn(const Worker&, const Step&) const;
    double cost(const Worker&, const Step&, const Task&, const RackId& rack) const;
    Worker* choose(const Step&, const Task&, const RackId& rack);
    void placeTasks(Step&);
    void placeGang(Step&);
    /// Reserves a worker for every task, on one rack if one is given; none when they don't fit together.
    std::vector<Worker*> chooseTogether(Step&, const RackId& rack);
    RackId rackWithMostRoom(const Step&) const;
    /// Keeps the tasks of a job in one failure domain while it has room for them.
    void chooseDomain(Step&);
    void start(Step&, std::uint32_t task, Worker&, std::uint32_t run);
    /// Asks the adviser for the tasks of the step that still wait; false when there is nobody to ask about.
    bool ask(Step&);
    std::uint32_t slots(const Worker&, const Step&, const Resources& free) const;

    JobScheduler& m_scheduler;
    const TimePoint m_now;
};

} // namespace sapphiredale::jobs
