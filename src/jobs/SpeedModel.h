// Duration factors of workers, learned from the progress of their runs.
//
// Answers a cell whose machine types differ in speed, and workers that turn slow for some seconds. The logarithm of
// measured over estimated duration is the sum of the estimation error of the job, the value of the machine type, the
// deviation of the worker, and noise. The errors of jobs are eliminated: runs of one job on different types show the
// ratio of the types, and the errors average out over many jobs, which shows the level. A worker's deviation follows
// the residuals of its own runs. Free of I/O and clock; see docs/design/worker-speeds.md.
#pragma once

#include "jobs/RoomIndex.h"
#include "model/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphiredale::jobs {

/// See the head of the file. Functions that take `now` are called with times that do not decrease.
class SpeedModel {
public:
    /// Machine types of a pool that are told apart; workers of further ones have the factor 1.
    static constexpr std::size_t maxTypes = 8;

    /// A part of a run, between two points of its progress.
    struct Observation {
        WorkerNumber m_worker = 0;
        /// Number of the job in this term.
        std::uint64_t m_job = 0;
        /// Measured duration of this part as a multiple of its estimated duration.
        double m_ratio = 1;
        /// Completed work of this part in percent.
        double m_percent = 100;
    };

    /// A machine type whose factor is known for the first time, or has changed by a fifth.
    struct TypeChange {
        std::string m_service;
        std::string m_type;
        double m_factor = 1;

        friend bool operator==(const TypeChange&, const TypeChange&) = default;
    };

    /// Adds a worker or updates its machine type.
    void putWorker(WorkerNumber, PoolNumber, const std::string& service, const std::string& type);
    /// Forgets the deviation of the worker from its type; its process has begun anew.
    void resetWorker(WorkerNumber);
    void observe(const Observation&, TimePoint now);
    /// Derives the factors from the observations, at most once per interval.
    void update(TimePoint now);

    /// Expected duration on the worker as a multiple of that on the typical one; exactly 1 where no difference is
    /// known.
    double factor(WorkerNumber worker) const { return worker < m_workers.size() ? m_workers[worker].m_factor : 1.0; }
    /// Whether no worker of the pool is known to differ from the others; then all have the factor 1.
    bool isUniform(PoolNumber pool) const
    {
        return pool >= m_pools.size() || (!m_pools[pool].m_differs && m_pools[pool].m_deviatingWorkers == 0);
    }
    /// Factors of the fastest and of the slowest known type of the pool.
    double fastestFactor(PoolNumber pool) const { return pool < m_pools.size() ? m_pools[pool].m_fastest : 1.0; }
    double slowestFactor(PoolNumber pool) const { return pool < m_pools.size() ? m_pools[pool].m_slowest : 1.0; }

    /// Real duration of the tasks of a job on the typical worker as a multiple of their estimate: the expected value
    /// from its runs, and a bound that few jobs exceed.
    struct EstimationError {
        double m_expected = 1;
        double m_high = 1;
    };
    EstimationError errorOf(std::uint64_t job) const;

    /// Factors of the types by service and type.
    std::map<std::pair<std::string, std::string>, double> typeFactors() const;
    std::vector<TypeChange> takeTypeChanges() { return std::exchange(m_typeChanges, {}); }

private:
    using Vector = std::array<double, maxTypes>;
    using Matrix = std::array<Vector, maxTypes>;

    /// A mean with its variance, which grows while nothing is observed.
    struct Filter {
        double m_mean = 0;
        double m_variance = 0;
        TimePoint m_at {};
    };
    struct Type {
        std::string m_name;
        std::uint32_t m_observations = 0;
        /// Logarithm of the factor, and its variance.
        double m_value = 0;
        double m_variance = 0;
        double m_factor = 1;
        /// Factor of the last TypeChange; 0 before the first one.
        double m_announced = 0;
    };
    /// Sums of a machine type within one job.
    struct Cell {
        double m_count = 0;
        double m_sum = 0;
    };
    struct JobSums {
        PoolNumber m_pool = 0;
        double m_scale = 1;
        std::array<Cell, maxTypes> m_cells;
    };
    struct Pool {
        std::string m_service;
        std::vector<Type> m_types;
        /// Normal equations of the values of the types, with the errors of the jobs eliminated. Sums of later jobs are
        /// entered with a higher scale, so that earlier ones are forgotten.
        Matrix m_matrix {};
        Vector m_vector {};
        double m_scale = 1;
        TimePoint m_scaledAt {};
        bool m_hasNews = false;
        /// Whether the types are known to differ.
        bool m_differs = false;
        std::uint32_t m_deviatingWorkers = 0;
        double m_fastest = 1;
        double m_slowest = 1;
    };
    struct WorkerState {
        PoolNumber m_pool = 0;
        /// Index among the types of the pool; maxTypes for a type beyond the bound.
        std::size_t m_type = maxTypes;
        bool m_isKnown = false;
        Filter m_recent;
        Filter m_lasting;
        /// The worker has become much slower or faster than before.
        bool m_hasTurned = false;
        /// Logarithm of the factor relative to the type; 0 while none is certain.
        double m_deviation = 0;
        double m_factor = 1;
    };

    /// Logarithm of the estimation error of a job, and its variance.
    struct LogError {
        double m_mean = 0;
        double m_variance = 0;
    };

    static double weightOf(const Cell&);
    LogError logErrorOf(const JobSums&) const;
    static void follow(Filter&, double residual, double variance, double driftPerSecond, double limit, TimePoint now);
    /// Adds the part of the job in the normal equations of its pool, or removes it.
    void enter(const JobSums&, double sign);
    JobSums& sumsOf(std::uint64_t job, PoolNumber);
    void ageSums(Pool&, TimePoint now);
    void solve(Pool&);
    void deriveTypes(Pool&);
    void deriveWorker(WorkerState&);

    std::vector<Pool> m_pools;
    std::vector<WorkerState> m_workers;
    std::unordered_map<std::uint64_t, JobSums> m_jobs;
    /// Jobs in the order of their first observation.
    std::deque<std::uint64_t> m_jobOrder;
    TimePoint m_updatedAt {};
    std::vector<TypeChange> m_typeChanges;
};

} // namespace sapphiredale::jobs
