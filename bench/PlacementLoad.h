// Generated load of the placement benchmark: workers, teams, classes, workloads and jobs from a seed.
//
// Distributions (all bounded, drawn from a 64-bit Mersenne twister with a fixed seed):
//   processors of a task    Pareto, exponent 1.3, from 1/40 to 1/2 of a worker (rounded to 50 millis): heavy tail
//   memory of a task        processors * the worker's memory per processor * lognormal(0, 0.5), at most 1/2 of a worker
//   declared run time       lognormal with a median per class and sigma 1.2, at most 50 medians: heavy tail
//   real run time           declared * exp(uniform(-ln 10, ln 10)): off by up to 10 times; from 1 s to 15 min, so that
//                           the run of the benchmark sees the ends of nearly all tasks
//   real size               declared * exp(uniform(-ln 4, ln 4)) per kind and workload: off by up to 4 times
//   arrivals                Poisson, with a burst of 40 jobs of one workload in 1 % of the arrivals
#pragma once

#include "placement/Cell.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace sapphiredale::bench {

/// Shape of a cell; the two from the design page and their scaled versions.
struct CellShape {
    std::string m_name;
    Resources m_worker;
    std::uint32_t m_workers = 50;
    PlacementWeights m_weights;
    std::uint32_t m_workersPerRack = 8;
};

inline CellShape vandermeulen(std::uint32_t workers = 50)
{
    return { "vandermeulen", { 64000, 262144, 0 }, workers, { 0.8, 0.2 } };
}

inline CellShape ileBague(std::uint32_t workers = 50)
{
    return { "ile-bague", { 32000, 131072, 0 }, workers, { 0.2, 0.8 } };
}

constexpr std::uint32_t teamCount = 26;
constexpr double longestRunSeconds = 900;

/// Classes of the load in the order of their index.
enum class LoadClass : unsigned char { Monitor, Urgent, Score, Group, Overnight };
constexpr const char* loadClassNames[] = { "monitor", "urgent", "score", "group", "overnight" };

/// One job of the generated load with its actual run time.
struct LoadJob {
    TimePoint m_at;
    JobId m_job;
    std::size_t m_workload = 0;
    std::uint32_t m_tasks = 1;
    LoadClass m_class = LoadClass::Score;
    double m_runSeconds = 0;
};

/// A generated file with the actual sizes of its workloads.
struct Load {
    ClusterFile m_file;
    std::vector<LoadClass> m_classOf;
    /// Real size of a task of the workload.
    std::vector<Resources> m_realSize;
    std::vector<LoadJob> m_jobs;
};

/// Generates random loads.
class LoadGenerator {
public:
    explicit LoadGenerator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_random); }
    std::mt19937_64& random() { return m_random; }

    Resources taskSize(const Resources& worker)
    {
        const double lowest = double(worker.m_cpuMillis) / 40;
        const double highest = double(worker.m_cpuMillis) / 2;
        // Inverse of the bounded Pareto distribution.
        const double exponent = 1.3;
        const double ratio = std::pow(lowest / highest, exponent);
        const double cpu = lowest / std::pow(1 - uniform(0, 1) * (1 - ratio), 1 / exponent);
        const double perCpu = double(worker.m_memoryMiB) / double(worker.m_cpuMillis);
        const double memory = cpu * perCpu * std::lognormal_distribution<double>(0, 0.5)(m_random);
        return { std::max<std::int64_t>(50, std::int64_t(cpu / 50) * 50),
            std::clamp<std::int64_t>(std::int64_t(memory), 64, worker.m_memoryMiB / 2), 0 };
    }

    /// Classes, teams and workloads; perTeam workloads of each class except monitors and urgent work (one each).
    Load file(const CellShape& shape, unsigned perTeam)
    {
        Load load;
        load.m_file.m_placement = shape.m_weights;
        addClass(load, "monitor", ClassKind::Service, 50, false);
        addClass(load, "urgent", ClassKind::Batch, 100, true);
        addClass(load, "score", ClassKind::Batch, 60, false);
        addClass(load, "group", ClassKind::Group, 40, false);
        addClass(load, "overnight", ClassKind::Batch, 10, false);
        const Resources total = shape.m_worker * shape.m_workers;
        for (std::uint32_t t = 0; t < teamCount; ++t) {
            // Nine tenths of the cell are guaranteed; a team may use up to two fifths.
            const auto part
                = [&](std::int64_t whole, double fraction) { return std::int64_t(double(whole) * fraction); };
            load.m_file.m_teams.push_back({ TeamId("team" + std::to_string(t)),
                { part(total.m_cpuMillis, 0.9 / teamCount), part(total.m_memoryMiB, 0.9 / teamCount), 0 },
                { part(total.m_cpuMillis, 0.4), part(total.m_memoryMiB, 0.4), 0 } });
            for (const LoadClass kind :
                { LoadClass::Monitor, LoadClass::Urgent, LoadClass::Score, LoadClass::Group, LoadClass::Overnight }) {
                const bool single = kind == LoadClass::Monitor || kind == LoadClass::Urgent;
                for (unsigned i = 0; i < (single ? 1 : perTeam); ++i)
                    addWorkload(load, shape, kind, t);
            }
        }
        return load;
    }

    /// Jobs over the horizon whose real processor time or memory, the larger, is the given fraction of the cell's.
    void addJobs(Load& load, const CellShape& shape, double horizonSeconds, double offered)
    {
        const double cells = shape.m_workers * horizonSeconds;
        double processors = 0;
        double memory = 0;
        while (std::max(processors, memory) < cells * offered) {
            const double at = uniform(0, horizonSeconds);
            const LoadClass kind = drawClass();
            const std::size_t workload = drawWorkload(load, kind);
            const int burst = kind == LoadClass::Score && uniform(0, 1) < 0.01 ? 40 : 1;
            for (int i = 0; i < burst; ++i) {
                LoadJob job;
                job.m_at = TimePoint(Duration(std::int64_t(at * 1e6)));
                job.m_job = JobId("job" + std::to_string(load.m_jobs.size()));
                job.m_workload = workload;
                job.m_class = kind;
                job.m_tasks = kind == LoadClass::Group ? 4 + std::uint32_t(uniform(0, 13)) : 1;
                // The actual run time differs from the declared one by a factor of up to ten.
                const double declared = load.m_file.m_workloads[workload].m_maxRunSeconds;
                job.m_runSeconds
                    = std::clamp(declared * std::exp(uniform(-std::log(10.0), std::log(10.0))), 1.0, longestRunSeconds);
                const Resources& real = load.m_realSize[workload];
                const double run = job.m_runSeconds * job.m_tasks;
                processors += run * double(real.m_cpuMillis) / double(shape.m_worker.m_cpuMillis);
                memory += run * double(real.m_memoryMiB) / double(shape.m_worker.m_memoryMiB);
                load.m_jobs.push_back(std::move(job));
            }
        }
        std::stable_sort(
            load.m_jobs.begin(), load.m_jobs.end(), [](const LoadJob& a, const LoadJob& b) { return a.m_at < b.m_at; });
    }

private:
    void addClass(Load& load, const char* name, ClassKind kind, int priority, bool urgent)
    {
        ClassPolicy policy;
        policy.m_name = ClassId(name);
        policy.m_kind = kind;
        policy.m_priority = priority;
        policy.m_urgent = urgent;
        load.m_file.m_classes.push_back(policy);
    }

    void addWorkload(Load& load, const CellShape& shape, LoadClass kind, std::uint32_t team)
    {
        static constexpr double medianRun[] = { 0, 10, 40, 60, 240 };
        WorkloadSpec spec;
        spec.m_name = WorkloadId("workload" + std::to_string(load.m_file.m_workloads.size()));
        spec.m_team = TeamId("team" + std::to_string(team));
        spec.m_class = ClassId(loadClassNames[unsigned(kind)]);
        spec.m_resources = taskSize(shape.m_worker);
        if (kind == LoadClass::Urgent) {
            // A match or a panel request: small.
            spec.m_resources = { shape.m_worker.m_cpuMillis / 36, shape.m_worker.m_memoryMiB / 36, 0 };
        }
        const double median = medianRun[unsigned(kind)];
        if (median > 0) {
            const double run = median * std::min(50.0, std::lognormal_distribution<double>(0, 1.2)(m_random));
            spec.m_maxRunSeconds = std::max(2U, std::uint32_t(run));
        }
        const auto off = [&] { return std::exp(uniform(-std::log(4.0), std::log(4.0))); };
        Resources real = spec.m_resources;
        real.m_cpuMillis = std::int64_t(double(real.m_cpuMillis) * off());
        real.m_memoryMiB = std::min(std::int64_t(double(real.m_memoryMiB) * off()), shape.m_worker.m_memoryMiB);
        load.m_classOf.push_back(kind);
        load.m_realSize.push_back(real);
        load.m_file.m_workloads.push_back(std::move(spec));
    }

    LoadClass drawClass()
    {
        const double draw = uniform(0, 1);
        return draw < 0.10 ? LoadClass::Urgent
            : draw < 0.80  ? LoadClass::Score
            : draw < 0.83  ? LoadClass::Group
                           : LoadClass::Overnight;
    }

    std::size_t drawWorkload(const Load& load, LoadClass kind)
    {
        for (;;) {
            const std::size_t index
                = std::uniform_int_distribution<std::size_t>(0, load.m_classOf.size() - 1)(m_random);
            if (load.m_classOf[index] == kind)
                return index;
        }
    }

    std::mt19937_64 m_random;
};

/// The workers of a shape.
inline std::vector<WorkerSpec> workersOf(const CellShape& shape)
{
    std::vector<WorkerSpec> workers;
    for (std::uint32_t i = 0; i < shape.m_workers; ++i) {
        WorkerSpec spec;
        spec.m_name = WorkerId("w" + std::to_string(i));
        spec.m_rack = RackId("rack" + std::to_string(i / shape.m_workersPerRack));
        spec.m_capacity = shape.m_worker;
        workers.push_back(std::move(spec));
    }
    return workers;
}

} // namespace sapphiredale::bench
