// Measures the placement core at the planned size: decision latency, placements per second, growth with the number of
// workers, packing, waiting times, preemption, smoothing of usage reports, cancellations and memory.

#include "bench/BenchReport.h"
#include "bench/FakeWorkers.h"
#include "bench/PlacementBaselines.h"
#include "bench/PlacementLoad.h"

#include <chrono>
#include <gflags/gflags.h>
#include <malloc.h>

DEFINE_string(only, "", "run only the parts whose name contains this text");
DEFINE_string(json, "", "file for one JSON record per measurement");
DEFINE_uint64(seed, 20261204, "seed of the generated load");

namespace sapphiredale::bench {
namespace {

    using placement::Cell;
    using placement::CellSettings;
    using WallClock = std::chrono::steady_clock;

    double microsecondsSince(WallClock::time_point start)
    {
        return std::chrono::duration<double, std::micro>(WallClock::now() - start).count();
    }

    /// Bytes in use on the heap, large blocks included.
    std::size_t heapBytes()
    {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    double percentile(std::vector<double> values, double fraction)
    {
        if (values.empty())
            return 0;
        const auto rank = std::min(values.size() - 1, std::size_t(fraction * double(values.size())));
        std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(rank), values.end());
        return values[rank];
    }

    /// A cell that is filled with running tasks and whose tasks the benchmark ends by hand.
    class FilledCell {
    public:
        FilledCell(const CellShape& shape, std::uint64_t seed, std::uint32_t maxStartsPerStep)
            : m_generator(seed)
            , m_load(m_generator.file(shape, 4))
            , m_cell(settings(maxStartsPerStep))
        {
            m_cell.setPolicies(m_load.m_file, m_now);
            for (const WorkerSpec& worker : workersOf(shape)) {
                m_cell.setWorker(worker, m_now);
                m_cell.setWorkerAvailable(worker.m_name, true, m_now);
            }
        }

        /// Starts tasks until the number runs or no more fit: a fifth are instances of services.
        void fill(std::size_t tasks)
        {
            std::vector<std::size_t> instances(m_load.m_classOf.size());
            for (std::size_t i = 0; i < tasks; ++i) {
                if (i % 5 == 0) {
                    const std::size_t workload = pick(LoadClass::Monitor);
                    const WorkloadId& name = m_load.m_file.m_workloads[workload].m_name;
                    m_cell.submitInstance(
                        TaskId(name.value() + "/" + std::to_string(instances[workload]++)), name, m_now);
                } else {
                    submit(pick(i % 2 == 0 ? LoadClass::Score : LoadClass::Overnight));
                }
                if (i % 64 == 63)
                    settle();
            }
            settle();
        }

        void submit(std::size_t workload)
        {
            m_cell.submitJob(
                { JobId("j" + std::to_string(m_jobs++)), m_load.m_file.m_workloads[workload].m_name, 1 }, m_now);
        }

        std::size_t pick(LoadClass kind)
        {
            for (;;) {
                const std::size_t index = m_generator.random()() % m_load.m_classOf.size();
                if (m_load.m_classOf[index] == kind)
                    return index;
            }
        }

        /// One step; starts are reported as running and stops as stopped, outside of the measured time.
        double step()
        {
            const WallClock::time_point start = WallClock::now();
            const std::vector<placement::PlacementAction> actions = m_cell.step(m_now);
            const double elapsed = microsecondsSince(start);
            for (const placement::PlacementAction& action : actions)
                carryOut(action);
            return elapsed;
        }

        /// Steps until nothing can be decided without a further input; returns the starts.
        std::size_t settle(std::vector<double>* latencies = nullptr)
        {
            const std::size_t before = m_starts;
            do {
                const double elapsed = step();
                if (latencies)
                    latencies->push_back(elapsed);
            } while (m_cell.nextWake().value_or(TimePoint::max()) <= m_now);
            return m_starts - before;
        }

        void endOldest(std::size_t position)
        {
            if (m_running.empty())
                return;
            std::swap(m_running[position % m_running.size()], m_running.back());
            const placement::StartTask start = m_running.back();
            m_running.pop_back();
            report(start, TaskState::Ended, {});
        }

        void report(const placement::StartTask& start, TaskState state, const Resources& usage)
        {
            m_cell.taskReported(start.m_worker,
                TaskReport { start.m_task, start.m_attempt, state, usage, start.m_resources, {}, {} }, m_now);
        }

        LoadGenerator m_generator;
        Load m_load;
        Cell m_cell;
        TimePoint m_now { std::chrono::hours(1) };
        /// Running tasks of jobs; instances of services are not ended.
        std::vector<placement::StartTask> m_running;
        std::size_t m_starts = 0;
        std::size_t m_jobs = 0;

    private:
        static CellSettings settings(std::uint32_t maxStartsPerStep)
        {
            CellSettings settings;
            settings.m_maxStartsPerStep = maxStartsPerStep;
            return settings;
        }

        void carryOut(const placement::PlacementAction& action)
        {
            if (const auto* start = std::get_if<placement::StartTask>(&action)) {
                ++m_starts;
                report(*start, TaskState::Running, {});
                if (start->m_task.value()[0] == 'j')
                    m_running.push_back(*start);
                return;
            }
            const auto stopped = [&](const TaskId& task) {
                const auto entry = std::find_if(m_running.begin(), m_running.end(),
                    [&](const placement::StartTask& start) { return start.m_task == task; });
                if (entry == m_running.end())
                    return;
                const placement::StartTask start = *entry;
                *entry = m_running.back();
                m_running.pop_back();
                report(start, TaskState::Stopped, {});
            };
            if (const auto* checkpoint = std::get_if<placement::CheckpointTask>(&action))
                stopped(checkpoint->m_task);
            else if (const auto* stop = std::get_if<placement::StopTask>(&action))
                stopped(stop->m_task);
        }
    };

    /// Steps are bounded to this many starts, as a daemon sets it.
    constexpr std::uint32_t startsPerStep = 32;

    void measureLatency(BenchReport& report)
    {
        FilledCell cell(vandermeulen(800), FLAGS_seed, startsPerStep);
        cell.fill(10000);
        const std::size_t filled = cell.m_cell.summary().m_activeTasks;
        while (cell.m_cell.summary().m_waitingTasks < 5000) {
            for (int i = 0; i < 100; ++i)
                cell.submit(cell.pick(i % 2 == 0 ? LoadClass::Score : LoadClass::Overnight));
            cell.settle();
        }
        report.add("latency: running tasks at the start", double(filled), "tasks", Target::atLeast(9500));
        report.add("latency: queue at the start", cell.m_cell.summary().m_waitingTasks, "tasks", Target::atLeast(5000));

        std::vector<double> latencies;
        double usageMicroseconds = 0;
        std::size_t usageReports = 0;
        const std::size_t startsBefore = cell.m_starts;
        constexpr int ticks = 60000;
        for (int tick = 0; tick < ticks; ++tick) {
            // 91 starts per second: one end and one arrival in 11 ms; 10,000 tasks report their usage every 7 s.
            cell.m_now += std::chrono::microseconds(10989);
            const WallClock::time_point start = WallClock::now();
            for (int i = 0; i < 16; ++i, ++usageReports) {
                const placement::StartTask& task = cell.m_running[cell.m_generator.random()() % cell.m_running.size()];
                cell.report(task, TaskState::Running, task.m_resources);
            }
            usageMicroseconds += microsecondsSince(start);
            cell.endOldest(cell.m_generator.random()());
            const double draw = cell.m_generator.uniform(0, 1);
            cell.submit(cell.pick(draw < 0.1 ? LoadClass::Urgent
                    : draw < 0.8             ? LoadClass::Score
                                             : LoadClass::Overnight));
            // Every 5 s a burst: 250 small tasks within 50 ms, which is 5,000 per second.
            if (tick % 455 < 5) {
                for (int i = 0; i < 50; ++i)
                    cell.submit(cell.pick(LoadClass::Urgent));
            }
            cell.settle(&latencies);
            // The tasks of the burst are short; they make room again. The queue is kept at its planned length.
            if (tick % 455 > 200 && tick % 455 <= 450)
                cell.endOldest(cell.m_running.size() - 1);
            while (tick % 91 == 0 && cell.m_cell.summary().m_waitingTasks < 5000)
                cell.submit(cell.pick(LoadClass::Overnight));
        }
        report.add("latency: decision p50", percentile(latencies, 0.5) / 1000, "ms");
        report.add("latency: decision p99", percentile(latencies, 0.99) / 1000, "ms", Target::atMost(1));
        report.add("latency: decision p99.9", percentile(latencies, 0.999) / 1000, "ms");
        report.add("latency: decision maximum", *std::max_element(latencies.begin(), latencies.end()) / 1000, "ms");
        report.add("latency: starts in the run", double(cell.m_starts - startsBefore), "tasks");
        report.add("latency: usage report mean", usageMicroseconds / double(usageReports), "us");
        report.add("latency: queue at the end", cell.m_cell.summary().m_waitingTasks, "tasks");
    }

    /// Microseconds per placement in bursts on a half-full cell, submission included.
    double burstMicroseconds(std::uint32_t workers, std::uint64_t seed)
    {
        FilledCell cell(vandermeulen(workers), seed, startsPerStep);
        cell.fill(std::size_t(workers) * 25 / 4);
        const std::size_t burst = std::size_t(workers) * 25 / 4;
        double elapsed = 0;
        std::size_t placed = 0;
        for (int round = 0; placed < 100000 && round < 400; ++round) {
            std::vector<std::size_t> workloads;
            for (std::size_t i = 0; i < burst; ++i)
                workloads.push_back(cell.pick(LoadClass::Urgent));
            const WallClock::time_point start = WallClock::now();
            for (const std::size_t workload : workloads)
                cell.submit(workload);
            elapsed += microsecondsSince(start);
            std::vector<double> latencies;
            placed += cell.settle(&latencies);
            for (const double latency : latencies)
                elapsed += latency;
            for (std::size_t i = 0; i < burst; ++i)
                cell.endOldest(cell.m_running.size() - 1);
            cell.m_now += std::chrono::seconds(1);
        }
        return elapsed / double(placed);
    }

    void measureThroughput(BenchReport& report)
    {
        report.add("throughput: placements per second, one core", 1e6 / burstMicroseconds(800, FLAGS_seed), "1/s",
            Target::atLeast(20000));
    }

    void measureSlope(BenchReport& report)
    {
        double first = 0;
        double last = 0;
        for (const std::uint32_t workers : { 50U, 200U, 800U, 3200U }) {
            last = burstMicroseconds(workers, FLAGS_seed);
            first = first > 0 ? first : last;
            report.add("slope: placement at " + std::to_string(workers) + " workers", last, "us");
        }
        // Exponent of the cost as a power of the number of workers; 1 is proportional growth.
        report.add("slope: exponent from 50 to 3200 workers", std::log(last / first) / std::log(64.0), "",
            Target::atMost(0.99));
    }

    /// Reports every start as running.
    void reportStarts(Cell& cell, const std::vector<placement::PlacementAction>& actions, TimePoint now)
    {
        for (const placement::PlacementAction& action : actions) {
            if (const auto* start = std::get_if<placement::StartTask>(&action)) {
                cell.taskReported(start->m_worker,
                    TaskReport { start->m_task, start->m_attempt, TaskState::Running, {}, start->m_resources, {}, {} },
                    now);
            }
        }
    }

    /// Tasks of many sizes that arrive one by one until the sum reaches a part of the cell.
    void measurePacking(BenchReport& report, const CellShape& shape)
    {
        double used = 0;
        double bound = 0;
        double firstFit = 0;
        double random = 0;
        std::size_t unplaced = 0;
        const int runs = shape.m_workers > 100 ? 3 : 20;
        for (int run = 0; run < runs; ++run) {
            LoadGenerator generator(FLAGS_seed + std::uint64_t(run));
            Load load = generator.file(shape, 8);
            for (TeamSpec& team : load.m_file.m_teams)
                team.m_limit = shape.m_worker * shape.m_workers;
            Cell cell { CellSettings {} };
            TimePoint now { std::chrono::hours(1) };
            cell.setPolicies(load.m_file, now);
            for (const WorkerSpec& worker : workersOf(shape)) {
                cell.setWorker(worker, now);
                cell.setWorkerAvailable(worker.m_name, true, now);
            }
            const Resources total = shape.m_worker * shape.m_workers;
            Resources sum;
            std::vector<Resources> tasks;
            while (sum.m_cpuMillis * 10 < total.m_cpuMillis * 7 && sum.m_memoryMiB * 10 < total.m_memoryMiB * 7) {
                std::size_t workload = generator.random()() % load.m_classOf.size();
                if (load.m_classOf[workload] != LoadClass::Score && load.m_classOf[workload] != LoadClass::Overnight)
                    continue;
                const WorkloadSpec& spec = load.m_file.m_workloads[workload];
                cell.submitJob({ JobId("p" + std::to_string(tasks.size())), spec.m_name, 1 }, now);
                tasks.push_back(spec.m_resources);
                sum += spec.m_resources;
                // 5,000 arrivals per second, and a step every 50 ms.
                now += std::chrono::microseconds(200);
                if (tasks.size() % 250 == 0)
                    reportStarts(cell, cell.step(now), now);
            }
            reportStarts(cell, cell.step(now), now);
            unplaced += cell.summary().m_waitingTasks;
            for (const WorkerSpec& worker : workersOf(shape))
                used += cell.workerLoad(worker.m_name).m_tasks > 0 ? 1 : 0;
            bound += std::ceil(std::max(double(sum.m_cpuMillis) / double(shape.m_worker.m_cpuMillis),
                double(sum.m_memoryMiB) / double(shape.m_worker.m_memoryMiB)));
            firstFit += firstFitWorkers(tasks, shape.m_worker);
            random += randomWorkers(tasks, shape.m_worker, FLAGS_seed + std::uint64_t(run));
        }
        const std::string name = "packing: " + shape.m_name + " " + std::to_string(shape.m_workers) + " workers, ";
        const auto excess = [&](double workers) { return (workers / bound - 1) * 100; };
        report.add(name + "above bound (first fit)", excess(used), "%", Target::atMost(5), excess(firstFit));
        report.add(name + "above bound (random)", excess(used), "%", Target::atMost(5), excess(random));
        report.add(name + "lead over the better baseline", excess(std::min(firstFit, random)) - excess(used), "points",
            Target::atLeast(0.01));
        report.add(name + "tasks not placed", double(unplaced), "tasks", Target::atMost(0));
    }

    template <typename Scheduler> void submitMonitors(Scheduler& scheduler, const Load& load)
    {
        for (std::size_t i = 0; i < load.m_classOf.size(); ++i) {
            const WorkloadId& name = load.m_file.m_workloads[i].m_name;
            if (load.m_classOf[i] == LoadClass::Monitor)
                scheduler.submitInstance(TaskId(name.value() + "/0"), name, TimePoint {});
        }
    }

    constexpr double waitingHorizon = 3600;

    Load waitingLoad(const CellShape& shape, double offered)
    {
        LoadGenerator generator(FLAGS_seed);
        Load load = generator.file(shape, 4);
        generator.addJobs(load, shape, waitingHorizon, offered);
        return load;
    }

    /// Number of tasks that ended early on their worker, by reason.
    void addReasons(BenchReport& report, const std::string& name, const placement::Counters& counters)
    {
        using placement::Reason;
        for (const Reason reason :
            { Reason::Preempted, Reason::ReclaimedShare, Reason::GroupMemberLost, Reason::OveruseCheckpoint,
                Reason::CheckpointTooSlow, Reason::Throttled, Reason::TaskFailed, Reason::WorkerQuarantined })
            report.add(name + "reason " + std::string(nameOf(reason)), double(counters.value(reason)), "");
    }

    RunResult runCell(const CellShape& shape, const Load& load, const CellSettings& settings,
        BenchReport* report = nullptr, const std::string& name = {})
    {
        Cell cell(settings);
        cell.setPolicies(load.m_file, TimePoint {});
        for (const WorkerSpec& worker : workersOf(shape)) {
            cell.setWorker(worker, TimePoint {});
            cell.setWorkerAvailable(worker.m_name, true, TimePoint {});
        }
        submitMonitors(cell, load);
        FakeWorkers<Cell> workers(cell, load, shape, FLAGS_seed);
        RunResult result = workers.run(waitingHorizon);
        if (report)
            addReasons(*report, name, cell.counters());
        return result;
    }

    void measureWaiting(BenchReport& report, const CellShape& shape, double offered)
    {
        const Load load = waitingLoad(shape, offered);
        const std::string name
            = "waiting: " + shape.m_name + " " + std::to_string(int(std::lround(offered * 100))) + "%, ";
        const RunResult result = runCell(shape, load, CellSettings {}, &report, name);
        FirstComeFirstServed baseline(load, shape);
        submitMonitors(baseline, load);
        FakeWorkers<FirstComeFirstServed> baselineWorkers(baseline, load, shape, FLAGS_seed);
        const RunResult base = baselineWorkers.run(waitingHorizon);
        for (unsigned c = unsigned(LoadClass::Urgent); c < 5; ++c) {
            const std::string part = name + loadClassNames[c];
            report.add(part + " p50", percentile(result.m_waits[c], 0.5), "s", {}, percentile(base.m_waits[c], 0.5));
            const bool urgent = c == unsigned(LoadClass::Urgent);
            report.add(part + " p99", percentile(result.m_waits[c], 0.99), "s",
                urgent ? std::optional(Target::atMost(1.9)) : std::nullopt, percentile(base.m_waits[c], 0.99));
            report.add(
                part + " started", double(result.m_waits[c].size()), "tasks", {}, double(base.m_waits[c].size()));
            report.add(part + " never started", double(result.m_neverStarted[c]), "tasks",
                urgent ? std::optional(Target::atMost(5)) : std::nullopt, double(base.m_neverStarted[c]));
        }
        report.add(name + "starts", double(result.m_starts), "", {}, double(base.m_starts));
        report.add(name + "checkpoints and stops", double(result.m_preemptions), "", {}, double(base.m_preemptions));
        const double whole = waitingHorizon * shape.m_workers * double(shape.m_worker.m_cpuMillis) / 1000;
        report.add(name + "wasted work", 100 * result.m_wastedWork / result.m_reservedWork, "% of held", {},
            100 * base.m_wastedWork / base.m_reservedWork);
        report.add(name + "tasks killed for memory", double(result.m_memoryKills), "", {}, double(base.m_memoryKills));
        report.add(name + "failed jobs", double(result.m_failedJobs), "");
        report.add(name + "reserved above capacity", double(result.m_capacityViolations), "starts", Target::atMost(0));
        report.add(
            name + "held", 100 * result.m_reservedWork / whole, "% of cell", {}, 100 * base.m_reservedWork / whole);
        report.add(
            name + "work done", 100 * result.m_usefulWork / whole, "% of cell", {}, 100 * base.m_usefulWork / whole);
    }

    void measureSmoothing(BenchReport& report, const CellShape& shape)
    {
        const Load load = waitingLoad(shape, 0.75);
        CellSettings raw;
        raw.m_usageHalfLife = Duration::zero();
        const RunResult with = runCell(shape, load, CellSettings {});
        const RunResult without = runCell(shape, load, raw);
        const std::string name = "smoothing: " + shape.m_name + ", ";
        const auto add = [&](const char* part, const char* unit, auto&& value) {
            report.add(name + part, value(with), unit, {}, value(without));
        };
        add("checkpoints and stops (baseline: off)", "", [](const RunResult& r) { return double(r.m_preemptions); });
        add("throttles (baseline: off)", "", [](const RunResult& r) { return double(r.m_throttles); });
        add("wasted work (baseline: off)", "%",
            [](const RunResult& r) { return 100 * r.m_wastedWork / r.m_reservedWork; });
        add("tasks killed for memory (baseline: off)", "", [](const RunResult& r) { return double(r.m_memoryKills); });
        add("urgent p99 (baseline: off)", "s", [](const RunResult& r) { return percentile(r.m_waits[1], 0.99); });
        add("score p99 (baseline: off)", "s", [](const RunResult& r) { return percentile(r.m_waits[2], 0.99); });
        add("starts (baseline: off)", "", [](const RunResult& r) { return double(r.m_starts); });
    }

    void measureCancellation(BenchReport& report)
    {
        double perCancel[2] = {};
        const int queues[2] = { 10000, 100000 };
        for (int i = 0; i < 2; ++i) {
            FilledCell cell(vandermeulen(800), FLAGS_seed, startsPerStep);
            cell.fill(10000);
            const std::size_t first = cell.m_jobs;
            for (int k = 0; k < queues[i]; ++k)
                cell.submit(cell.pick(LoadClass::Overnight));
            cell.settle();
            const WallClock::time_point start = WallClock::now();
            for (int k = 0; k < 10000; ++k)
                cell.m_cell.cancelJob(JobId("j" + std::to_string(first + std::size_t(k))), cell.m_now);
            cell.m_cell.step(cell.m_now);
            perCancel[i] = microsecondsSince(start) / 10000;
        }
        report.add("cancellation: wave of 10,000, queue of 10,000", perCancel[0], "us each");
        report.add("cancellation: wave of 10,000, queue of 100,000", perCancel[1], "us each");
        // The cost of a wave is its own size: ten times the queue must not cost ten times as much.
        report.add("cancellation: cost ratio of the queues", perCancel[1] / perCancel[0], "", Target::atMost(3));
    }

    void measureMemory(BenchReport& report)
    {
        FilledCell cell(vandermeulen(800), FLAGS_seed, 0);
        CellSettings settings;
        const std::size_t empty = heapBytes();
        Cell other(settings);
        other.setPolicies(cell.m_load.m_file, cell.m_now);
        const std::size_t policies = heapBytes();
        const std::vector<WorkerSpec> workers = workersOf(vandermeulen(800));
        const std::size_t before = heapBytes();
        for (const WorkerSpec& worker : workers) {
            other.setWorker(worker, cell.m_now);
            other.setWorkerAvailable(worker.m_name, true, cell.m_now);
        }
        const std::size_t after = heapBytes();
        report.add("memory: policies of 26 teams, 364 workloads", double(policies - empty) / 1024, "KiB");
        report.add("memory: per worker, index included", double(after - before) / 800, "B");
        const std::size_t beforeTasks = heapBytes();
        cell.fill(10000);
        for (int i = 0; i < 5000; ++i)
            cell.submit(cell.pick(LoadClass::Overnight));
        const placement::CellSummary summary = cell.m_cell.summary();
        const std::size_t tasks = summary.m_activeTasks + summary.m_waitingTasks;
        const std::size_t harness = cell.m_running.capacity() * sizeof(placement::StartTask);
        report.add("memory: per task, job and timers included",
            double(heapBytes() - beforeTasks - harness) / double(tasks), "B");
        report.add("memory: all tasks and workers",
            double(heapBytes() - beforeTasks - harness + after - before) / 1048576, "MiB", Target::atMost(128));
    }

    int run()
    {
        BenchReport report(FLAGS_only);
        if (report.wants("latency"))
            measureLatency(report);
        if (report.wants("throughput"))
            measureThroughput(report);
        if (report.wants("slope"))
            measureSlope(report);
        if (report.wants("packing")) {
            for (const CellShape& shape : { vandermeulen(), ileBague(), vandermeulen(800), ileBague(800) })
                measurePacking(report, shape);
        }
        if (report.wants("waiting")) {
            // Real work of 75 % of the cell, and more than the cell can do.
            for (const double offered : { 0.75, 1.2 }) {
                measureWaiting(report, vandermeulen(), offered);
                measureWaiting(report, ileBague(), offered);
            }
        }
        if (report.wants("smoothing")) {
            measureSmoothing(report, vandermeulen());
            measureSmoothing(report, ileBague());
        }
        if (report.wants("cancellation"))
            measureCancellation(report);
        if (report.wants("memory"))
            measureMemory(report);
        return report.finish(FLAGS_json);
    }

} // namespace
} // namespace sapphiredale::bench

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return sapphiredale::bench::run();
}
