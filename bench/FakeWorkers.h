// Fake workers for the placement benchmark: they run tasks in virtual time, report late and with noise, checkpoint,
// throttle and stop, slow down when their processors are overcommitted, and kill the largest task when their memory is
// exhausted. Templated on the scheduler, so that the placement core and a baseline face the same events.
#pragma once

#include "bench/PlacementLoad.h"

#include <array>
#include <queue>
#include <unordered_map>
#include <variant>

namespace sapphiredale::bench {

/// What a run of the fake workers showed.
struct RunResult {
    /// Waiting time in seconds before the first start, by class.
    std::array<std::vector<double>, 5> m_waits;
    std::array<std::size_t, 5> m_neverStarted {};
    std::size_t m_starts = 0;
    std::size_t m_preemptions = 0;
    std::size_t m_throttles = 0;
    std::size_t m_memoryKills = 0;
    /// Processor-seconds that were reserved, and the part of them spent on checkpoints or lost by stops.
    double m_reservedWork = 0;
    double m_wastedWork = 0;
    /// Processor-seconds, at the declared size, of the tasks that ended with success.
    double m_usefulWork = 0;
    std::size_t m_failedJobs = 0;
    /// Worker-seconds during which the real memory of the tasks exceeded the worker.
    double m_overloadedSeconds = 0;
    std::size_t m_capacityViolations = 0;
};

/// Runs a load against a scheduler with submitJob, submitInstance, taskReported, step and nextWake.
template <typename Scheduler> class FakeWorkers {
public:
    FakeWorkers(Scheduler& scheduler, const Load& load, const CellShape& shape, std::uint64_t seed)
        : m_scheduler(scheduler)
        , m_load(load)
        , m_shape(shape)
        , m_random(seed)
        , m_reserved(shape.m_workers)
        , m_realMemory(shape.m_workers)
        , m_overloadedSince(shape.m_workers, -1)
    {
        for (std::size_t i = 0; i < load.m_file.m_workloads.size(); ++i)
            m_workloads.emplace(load.m_file.m_workloads[i].m_name, i);
        for (const LoadJob& job : load.m_jobs)
            m_jobs.emplace(job.m_job.value(), &job);
        const std::vector<WorkerSpec> workers = workersOf(shape);
        for (std::uint32_t i = 0; i < shape.m_workers; ++i)
            m_workerIndex.emplace(workers[i].m_name, i);
    }

    /// Submits the jobs at their times and runs until the horizon.
    RunResult run(double horizonSeconds)
    {
        std::size_t nextJob = 0;
        const TimePoint horizon { Duration(std::int64_t(horizonSeconds * 1e6)) };
        while (true) {
            TimePoint next = horizon;
            if (nextJob < m_load.m_jobs.size())
                next = std::min(next, m_load.m_jobs[nextJob].m_at);
            if (!m_events.empty())
                next = std::min(next, m_events.top().m_at);
            if (const std::optional<TimePoint> wake = m_scheduler.nextWake())
                next = std::min(next, std::max(*wake, m_now + std::chrono::milliseconds(1)));
            m_now = std::max(next, m_now);
            if (m_now >= horizon)
                break;
            for (; nextJob < m_load.m_jobs.size() && m_load.m_jobs[nextJob].m_at <= m_now; ++nextJob)
                submit(m_load.m_jobs[nextJob]);
            while (!m_events.empty() && m_events.top().m_at <= m_now) {
                const Event event = m_events.top();
                m_events.pop();
                handle(event);
            }
            carryOut(m_scheduler.step(m_now));
        }
        for (const auto& [name, task] : m_waiting)
            ++m_result.m_neverStarted[unsigned(task.second)];
        for (std::uint32_t i = 0; i < m_shape.m_workers; ++i)
            trackOverload(i);
        for (const auto& [name, task] : m_running)
            m_result.m_reservedWork += heldBy(task);
        return m_result;
    }

private:
    struct Running {
        std::uint32_t m_attempt = 0;
        std::uint32_t m_worker = 0;
        WorkerId m_workerId;
        std::size_t m_workload = 0;
        Resources m_reserved;
        Resources m_real;
        /// Seconds of run time left at m_since.
        double m_left = 0;
        /// Part of the processor time it wants that the task gets: 1 without throttle and contention.
        double m_speed = 1;
        double m_throttle = 1;
        TimePoint m_since;
        TimePoint m_started;
        std::uint32_t m_generation = 0;
        bool m_stopping = false;
        /// Past the start: uses memory and processors.
        bool m_usesMemory = false;
        bool m_hasEnd = false;
    };

    struct Event {
        enum class Kind : unsigned char { Run, End, Usage, Checkpointed, Stopped, Deliver };
        TimePoint m_at;
        Kind m_kind;
        std::string m_task;
        std::uint32_t m_generation;
        TaskReport m_report;
        WorkerId m_worker;

        friend bool operator<(const Event& a, const Event& b) { return a.m_at > b.m_at; }
    };

    Duration seconds(double value) const { return Duration(std::int64_t(value * 1e6)); }
    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_random); }

    void submit(const LoadJob& job)
    {
        const WorkloadId& workload = m_load.m_file.m_workloads[job.m_workload].m_name;
        if (!succeeded(m_scheduler.submitJob({ job.m_job, workload, job.m_tasks }, m_now)))
            return;
        for (std::uint32_t i = 0; i < job.m_tasks; ++i)
            m_waiting.emplace(job.m_job.value() + "/" + std::to_string(i), std::pair(m_now, job.m_class));
    }

    void schedule(Duration delay, typename Event::Kind kind, const std::string& task, std::uint32_t generation)
    {
        m_events.push({ m_now + delay, kind, task, generation, {}, {} });
    }

    /// A report arrives after 20 to 60 ms, and one in fifty after up to 2 s.
    void report(const std::string& name, const Running& task, TaskState state, const Resources& usage)
    {
        const double delay = uniform(0, 1) < 0.02 ? uniform(0.06, 2) : uniform(0.02, 0.06);
        TaskReport message { TaskId(name), task.m_attempt, state, usage, task.m_reserved, {}, {} };
        m_events.push({ m_now + seconds(delay), Event::Kind::Deliver, name, 0, std::move(message), task.m_workerId });
    }

    void carryOut(const std::vector<placement::PlacementAction>& actions)
    {
        for (const placement::PlacementAction& action : actions) {
            if (const auto* start = std::get_if<placement::StartTask>(&action))
                startTask(*start);
            else if (const auto* checkpoint = std::get_if<placement::CheckpointTask>(&action))
                stopTask(checkpoint->m_task.value(), checkpoint->m_attempt, true);
            else if (const auto* stop = std::get_if<placement::StopTask>(&action))
                stopTask(stop->m_task.value(), stop->m_attempt, false);
            else if (std::holds_alternative<placement::FailJob>(action))
                ++m_result.m_failedJobs;
            else if (const auto* throttle = std::get_if<placement::ThrottleTask>(&action))
                throttleTask(*throttle);
        }
    }

    void startTask(const placement::StartTask& start)
    {
        const std::string& name = start.m_task.value();
        ++m_result.m_starts;
        Running task;
        task.m_attempt = start.m_attempt;
        task.m_workerId = start.m_worker;
        task.m_worker = m_workerIndex.at(start.m_worker);
        task.m_workload = m_workloads.at(start.m_workload);
        task.m_reserved = start.m_resources;
        task.m_real = m_load.m_realSize[task.m_workload];
        task.m_since = task.m_started = m_now;
        task.m_generation = ++m_generation;
        const auto waiting = m_waiting.find(name);
        if (waiting != m_waiting.end()) {
            m_result.m_waits[unsigned(waiting->second.second)].push_back(
                double((m_now - waiting->second.first).count()) / 1e6);
            m_waiting.erase(waiting);
        }
        const auto progress = m_leftAtCheckpoint.find(name);
        const auto job = m_jobs.find(name.substr(0, name.rfind('/')));
        task.m_left = progress != m_leftAtCheckpoint.end() ? progress->second
            : job != m_jobs.end()                          ? job->second->m_runSeconds
                                                           : 1e9;
        m_reserved[task.m_worker] += start.m_resources;
        if (!m_reserved[task.m_worker].fitsIn(m_shape.m_worker))
            ++m_result.m_capacityViolations;
        m_running[name] = task;
        m_tasksOf[task.m_worker].push_back(name);
        schedule(seconds(uniform(0.05, 0.3)), Event::Kind::Run, name, task.m_generation);
    }

    void handle(const Event& event)
    {
        if (event.m_kind == Event::Kind::Deliver) {
            m_scheduler.taskReported(event.m_worker, event.m_report, m_now);
            return;
        }
        const auto entry = m_running.find(event.m_task);
        if (entry == m_running.end() || entry->second.m_generation != event.m_generation)
            return;
        Running& task = entry->second;
        switch (event.m_kind) {
        case Event::Kind::Run:
            task.m_since = m_now;
            changeMemory(task, 1);
            task.m_usesMemory = true;
            report(event.m_task, task, TaskState::Running, {});
            share(task.m_worker);
            schedule(seconds(1), Event::Kind::Usage, event.m_task, task.m_generation);
            killLargest(task.m_worker);
            break;
        case Event::Kind::Usage:
            reportUsage(event.m_task, task);
            break;
        case Event::Kind::End:
            // An event from before a throttle may fire early.
            if (leftNow(task) < 0.001)
                finish(event.m_task, TaskState::Ended);
            break;
        case Event::Kind::Checkpointed:
            m_leftAtCheckpoint[event.m_task] = leftNow(task);
            finish(event.m_task, TaskState::Stopped);
            break;
        case Event::Kind::Stopped:
            finish(event.m_task, TaskState::Stopped);
            break;
        case Event::Kind::Deliver:
            break;
        }
    }

    double heldBy(const Running& task) const
    {
        return double((m_now - task.m_started).count()) / 1e6 * double(task.m_reserved.m_cpuMillis) / 1000;
    }

    double runSecondsOf(const std::string& name) const
    {
        const auto job = m_jobs.find(name.substr(0, name.rfind('/')));
        return job != m_jobs.end() ? job->second->m_runSeconds : 0;
    }

    double leftNow(const Running& task) const
    {
        return std::max(0.0, task.m_left - task.m_speed * double((m_now - task.m_since).count()) / 1e6);
    }

    void reportUsage(const std::string& name, Running& task)
    {
        // Measured usage fluctuates by a quarter around the truth.
        Resources usage = task.m_real;
        usage.m_cpuMillis = std::int64_t(double(usage.m_cpuMillis) * uniform(0.75, 1.25) * task.m_speed);
        usage.m_memoryMiB = std::int64_t(double(usage.m_memoryMiB) * uniform(0.9, 1.1));
        report(name, task, task.m_stopping ? TaskState::Checkpointing : TaskState::Running, usage);
        schedule(seconds(7), Event::Kind::Usage, name, task.m_generation);
    }

    void finish(const std::string& name, TaskState state)
    {
        const Running task = m_running.at(name);
        m_reserved[task.m_worker] -= task.m_reserved;
        if (task.m_usesMemory)
            changeMemory(task, -1);
        std::erase(m_tasksOf[task.m_worker], name);
        const double held = heldBy(task);
        if (state == TaskState::Ended)
            m_result.m_usefulWork += runSecondsOf(name)
                * double(m_load.m_file.m_workloads[task.m_workload].m_resources.m_cpuMillis) / 1000;
        m_result.m_reservedWork += held;
        if (state != TaskState::Ended && m_lost.contains(name))
            m_result.m_wastedWork += held;
        m_lost.erase(name);
        report(name, task, state, {});
        m_running.erase(name);
        share(task.m_worker);
    }

    void stopTask(const std::string& name, std::uint32_t attempt, bool checkpoint)
    {
        const auto entry = m_running.find(name);
        if (entry == m_running.end() || entry->second.m_attempt != attempt)
            return;
        Running& task = entry->second;
        ++m_result.m_preemptions;
        task.m_stopping = true;
        if (!checkpoint) {
            m_lost.insert({ name, true });
            schedule(seconds(uniform(0.05, 0.2)), Event::Kind::Stopped, name, task.m_generation);
            return;
        }
        // A checkpoint takes a median of 0.4 s with a heavy tail; the task makes no progress meanwhile.
        const double length = std::min(20.0, 0.4 * std::lognormal_distribution<double>(0, 0.8)(m_random));
        task.m_left = leftNow(task);
        task.m_since = m_now;
        task.m_throttle = task.m_speed = 0;
        m_result.m_wastedWork += length * double(task.m_reserved.m_cpuMillis) / 1000;
        schedule(seconds(length), Event::Kind::Checkpointed, name, task.m_generation);
    }

    void throttleTask(const placement::ThrottleTask& throttle)
    {
        const auto entry = m_running.find(throttle.m_task.value());
        if (entry == m_running.end() || entry->second.m_attempt != throttle.m_attempt)
            return;
        Running& task = entry->second;
        ++m_result.m_throttles;
        task.m_throttle = std::min(
            task.m_throttle, double(throttle.m_cpuMillis) / double(std::max<std::int64_t>(1, task.m_real.m_cpuMillis)));
        share(task.m_worker);
    }

    /// Divides the processors of a worker among its tasks when they want more than it has.
    void share(std::uint32_t worker)
    {
        double wanted = 0;
        for (const std::string& name : m_tasksOf[worker])
            wanted += double(m_running.at(name).m_real.m_cpuMillis) * m_running.at(name).m_throttle;
        const double factor = std::min(1.0, double(m_shape.m_worker.m_cpuMillis) / std::max(1.0, wanted));
        for (const std::string& name : m_tasksOf[worker]) {
            Running& task = m_running.at(name);
            const double speed = task.m_throttle * factor;
            if (!task.m_usesMemory || (speed == task.m_speed && task.m_hasEnd))
                continue;
            task.m_left = leftNow(task);
            task.m_since = m_now;
            task.m_speed = speed;
            task.m_hasEnd = true;
            if (speed > 0)
                schedule(seconds(task.m_left / speed), Event::Kind::End, name, task.m_generation);
        }
    }

    /// A worker whose memory is exhausted kills the task that exceeds its reservation most; its progress is lost.
    void killLargest(std::uint32_t worker)
    {
        while (m_realMemory[worker] > m_shape.m_worker.m_memoryMiB) {
            std::string largest;
            std::int64_t most = 0;
            for (const std::string& name : m_tasksOf[worker]) {
                const Running& task = m_running.at(name);
                const std::int64_t excess = task.m_real.m_memoryMiB - task.m_reserved.m_memoryMiB;
                if (task.m_usesMemory && (excess > most || (excess == most && name < largest))) {
                    largest = name;
                    most = excess;
                }
            }
            if (largest.empty())
                return;
            ++m_result.m_memoryKills;
            m_lost.insert({ largest, true });
            finish(largest, TaskState::Failed);
        }
    }

    void changeMemory(const Running& task, int sign)
    {
        trackOverload(task.m_worker);
        m_realMemory[task.m_worker] += sign * task.m_real.m_memoryMiB;
        m_overloadedSince[task.m_worker] = m_realMemory[task.m_worker] > m_shape.m_worker.m_memoryMiB
            ? double(m_now.time_since_epoch().count()) / 1e6
            : -1;
    }

    void trackOverload(std::uint32_t worker)
    {
        if (m_overloadedSince[worker] >= 0)
            m_result.m_overloadedSeconds += double(m_now.time_since_epoch().count()) / 1e6 - m_overloadedSince[worker];
    }

    Scheduler& m_scheduler;
    const Load& m_load;
    const CellShape& m_shape;
    std::mt19937_64 m_random;
    RunResult m_result;
    TimePoint m_now {};
    std::uint32_t m_generation = 0;
    std::priority_queue<Event> m_events;
    std::unordered_map<std::string, Running> m_running;
    std::unordered_map<std::string, std::pair<TimePoint, LoadClass>> m_waiting;
    std::unordered_map<std::string, double> m_leftAtCheckpoint;
    std::unordered_map<std::string, bool> m_lost;
    std::unordered_map<std::string, const LoadJob*> m_jobs;
    std::unordered_map<WorkloadId, std::size_t> m_workloads;
    std::unordered_map<WorkerId, std::uint32_t> m_workerIndex;
    std::vector<std::vector<std::string>> m_tasksOf = std::vector<std::vector<std::string>>(m_shape.m_workers);
    std::vector<Resources> m_reserved;
    std::vector<std::int64_t> m_realMemory;
    std::vector<double> m_overloadedSince;
};

} // namespace sapphiredale::bench
