// Normal equations of the machine types and filters of the workers' deviations.

#include "jobs/SpeedModel.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sapphiredale::jobs {

namespace {

    /// Deviation of a run from its job's estimate: tasks of a step differ by 15 %, and reports arrive late.
    constexpr double runVariance = 0.2 * 0.2;
    /// What remains however many runs of a job are averaged.
    constexpr double cellVariance = 0.08 * 0.08;
    /// Estimation error of a job: a factor of up to two in both directions.
    constexpr double jobVariance = 0.45 * 0.45;
    /// Standard deviations of the high estimation error: a factor of two for a job without runs.
    constexpr double highErrorDeviations = 1.5;
    /// Reports state whole percent; standard deviation of the difference of two of them.
    constexpr double percentDeviation = 0.6;
    /// Weight of the assumption that a type has the factor 1.
    constexpr double typePrecision = 1.0;
    /// Time in which the weight of observations of types falls to a third.
    constexpr double typeMemorySeconds = 60;
    /// The scales are divided out before they lose precision.
    constexpr double maxScale = 1e6;
    /// Jobs whose sums are kept; some 2 s of the starts of the largest cell.
    constexpr std::size_t maxJobs = 2048;
    /// Observations of a type before its factor may be used.
    constexpr std::uint32_t minObservations = 8;
    /// Types that differ by less than a tenth count as alike.
    const double alikeDifference = std::log(1.1);
    /// Standard deviations by which types, and a worker and its type, must differ.
    constexpr double significance = 4.0;
    constexpr double lastingSignificance = 4.5;
    /// A type that is known less precisely has the factor 1.
    constexpr double maxTypeVariance = 0.15 * 0.15;
    /// A residual beyond a factor of two comes from the worker, and counts for its type no further than that.
    const double maxTypeResidual = std::log(2.0);
    /// Deviations of a worker that count. A short one is larger than any estimation error of a job.
    const double recentDeviation = std::log(2.5);
    const double lastingDeviation = std::log(1.3);
    /// A deviation that is left out of the values of types although it is not certain.
    const double likelyDeviation = std::log(1.5);
    /// Variance of the error of a job below which a large residual is not the job's.
    constexpr double knownJobVariance = 0.2 * 0.2;
    /// A deviation that has fallen below this has ended.
    const double endedDeviation = std::log(1.25);
    /// Growth of the variances per second, and their limits. A worker that turns five times slower is noticed within
    /// about two reports by the recent deviation; the lasting one averages over a minute.
    constexpr double recentDrift = 0.06;
    constexpr double recentLimit = 0.25;
    constexpr double lastingDrift = 0.0004;
    constexpr double lastingLimit = 0.04;
    /// A worker without a measured run for this long counts as recovered.
    constexpr Duration maxSilence = std::chrono::seconds(3);
    constexpr Duration updateInterval = std::chrono::milliseconds(200);
    /// Relative change of a type's factor that is announced.
    constexpr double announcedChange = 0.2;

    double secondsBetween(TimePoint from, TimePoint to) { return std::chrono::duration<double>(to - from).count(); }

} // namespace

void SpeedModel::putWorker(
    WorkerNumber number, PoolNumber poolNumber, const std::string& service, const std::string& type)
{
    if (poolNumber >= m_pools.size())
        m_pools.resize(poolNumber + 1);
    if (number >= m_workers.size())
        m_workers.resize(number + 1);
    Pool& pool = m_pools[poolNumber];
    pool.m_service = service;
    auto found
        = std::find_if(pool.m_types.begin(), pool.m_types.end(), [&](const Type& each) { return each.m_name == type; });
    if (found == pool.m_types.end() && pool.m_types.size() < maxTypes) {
        pool.m_types.push_back({ type });
        found = std::prev(pool.m_types.end());
    }
    const auto index = found == pool.m_types.end() ? maxTypes : static_cast<std::size_t>(found - pool.m_types.begin());
    WorkerState& worker = m_workers[number];
    if (worker.m_isKnown && worker.m_pool == poolNumber && worker.m_type == index)
        return;
    worker = {};
    worker.m_isKnown = true;
    worker.m_pool = poolNumber;
    worker.m_type = index;
    deriveWorker(worker);
}

void SpeedModel::resetWorker(WorkerNumber number)
{
    if (number >= m_workers.size())
        return;
    WorkerState& worker = m_workers[number];
    worker.m_recent = {};
    worker.m_lasting = {};
    worker.m_hasTurned = false;
    deriveWorker(worker);
}

double SpeedModel::weightOf(const Cell& cell)
{
    return cell.m_count > 0 ? 1.0 / (runVariance / cell.m_count + cellVariance) : 0.0;
}

SpeedModel::LogError SpeedModel::logErrorOf(const JobSums& job) const
{
    const Pool& pool = m_pools[job.m_pool];
    double precision = 1.0 / jobVariance;
    double sum = 0;
    for (std::size_t i = 0; i < pool.m_types.size(); ++i) {
        const Cell& cell = job.m_cells[i];
        const double weight = weightOf(cell);
        precision += weight;
        sum += weight > 0 ? weight * (cell.m_sum / cell.m_count - pool.m_types[i].m_value) : 0.0;
    }
    return { sum / precision, 1.0 / precision };
}

SpeedModel::EstimationError SpeedModel::errorOf(std::uint64_t job) const
{
    const auto found = m_jobs.find(job);
    const LogError error = found == m_jobs.end() ? LogError { 0, jobVariance } : logErrorOf(found->second);
    return { std::exp(error.m_mean), std::exp(error.m_mean + highErrorDeviations * std::sqrt(error.m_variance)) };
}

void SpeedModel::enter(const JobSums& job, double sign)
{
    Pool& pool = m_pools[job.m_pool];
    Vector weights {};
    double weightSum = 0;
    double valueSum = 0;
    for (std::size_t i = 0; i < maxTypes; ++i) {
        const Cell& cell = job.m_cells[i];
        weights[i] = weightOf(cell);
        weightSum += weights[i];
        valueSum += weights[i] > 0 ? weights[i] * cell.m_sum / cell.m_count : 0.0;
    }
    const double whole = weightSum + 1.0 / jobVariance;
    const double scale = sign * job.m_scale;
    for (std::size_t i = 0; i < maxTypes; ++i) {
        if (weights[i] == 0)
            continue;
        const Cell& cell = job.m_cells[i];
        pool.m_vector[i] += scale * weights[i] * (cell.m_sum / cell.m_count - valueSum / whole);
        pool.m_matrix[i][i] += scale * weights[i];
        for (std::size_t j = 0; j < maxTypes; ++j)
            pool.m_matrix[i][j] -= scale * weights[i] * weights[j] / whole;
    }
}

SpeedModel::JobSums& SpeedModel::sumsOf(std::uint64_t number, PoolNumber pool)
{
    const auto [found, isNew] = m_jobs.try_emplace(number);
    if (isNew) {
        found->second.m_pool = pool;
        found->second.m_scale = m_pools[pool].m_scale;
        m_jobOrder.push_back(number);
        if (m_jobOrder.size() > maxJobs) {
            // Its part stays in the normal equations.
            m_jobs.erase(m_jobOrder.front());
            m_jobOrder.pop_front();
        }
    }
    return m_jobs.at(number);
}

void SpeedModel::follow(
    Filter& filter, double residual, double variance, double driftPerSecond, double limit, TimePoint now)
{
    const double seconds = filter.m_at == TimePoint() ? 1e3 : secondsBetween(filter.m_at, now);
    filter.m_at = now;
    const double before = std::min(limit, filter.m_variance + driftPerSecond * seconds);
    const double gain = before / (before + variance);
    filter.m_mean += gain * (residual - filter.m_mean);
    filter.m_variance = (1 - gain) * before;
}

void SpeedModel::observe(const Observation& observation, TimePoint now)
{
    if (observation.m_worker >= m_workers.size() || observation.m_ratio <= 0 || observation.m_percent <= 0)
        return;
    WorkerState& worker = m_workers[observation.m_worker];
    if (!worker.m_isKnown || worker.m_type == maxTypes)
        return;
    Pool& pool = m_pools[worker.m_pool];
    ageSums(pool, now);
    JobSums& job = sumsOf(observation.m_job, worker.m_pool);
    if (job.m_pool != worker.m_pool)
        return;
    // The job's own error as far as its other runs show it.
    const LogError error = logErrorOf(job);
    Type& type = pool.m_types[worker.m_type];
    double value = std::log(observation.m_ratio);
    const double expected = type.m_value + error.m_mean;
    const double residual = value - expected;
    const double reading = percentDeviation / observation.m_percent;
    const double variance = runVariance + reading * reading + error.m_variance;
    // While the type itself is unknown, its error must not be taken for that of the worker.
    const bool isTypeKnown
        = type.m_observations >= minObservations && type.m_variance > 0 && type.m_variance < maxTypeVariance;
    if (isTypeKnown) {
        follow(worker.m_recent, residual, variance, recentDrift, recentLimit, now);
        // Runs of one job share its error, and parts of one run theirs: for a lasting deviation each job has to count
        // as one observation, since a few jobs are no proof.
        const double jobShare = std::min(1.0, observation.m_percent / 100.0);
        if (!worker.m_hasTurned && std::abs(residual) < recentDeviation)
            follow(worker.m_lasting, residual, (runVariance + jobVariance) / jobShare, lastingDrift, lastingLimit, now);
        // A deviation that is known belongs to the worker alone.
        const bool isRecent = std::abs(worker.m_recent.m_mean) > likelyDeviation;
        value -= isRecent ? worker.m_recent.m_mean : worker.m_deviation;
        const bool isJobKnown = error.m_variance < knownJobVariance;
        if (isJobKnown && std::abs(residual) > maxTypeResidual)
            return;
        value = std::clamp(value, expected - maxTypeResidual, expected + maxTypeResidual);
    }
    enter(job, -1);
    Cell& cell = job.m_cells[worker.m_type];
    const double share = std::min(1.0, observation.m_percent / 100.0);
    cell.m_count += share;
    cell.m_sum += share * value;
    enter(job, 1);
    ++type.m_observations;
    pool.m_hasNews = true;
}

void SpeedModel::ageSums(Pool& pool, TimePoint now)
{
    if (pool.m_scaledAt != TimePoint())
        pool.m_scale *= std::exp(secondsBetween(pool.m_scaledAt, now) / typeMemorySeconds);
    pool.m_scaledAt = now;
    if (pool.m_scale < maxScale)
        return;
    const double scale = std::exchange(pool.m_scale, 1.0);
    for (Vector& row : pool.m_matrix) {
        for (double& entry : row)
            entry /= scale;
    }
    for (double& entry : pool.m_vector)
        entry /= scale;
    const auto number = static_cast<PoolNumber>(&pool - m_pools.data());
    for (auto& [id, job] : m_jobs)
        job.m_scale /= job.m_pool == number ? scale : 1.0;
}

void SpeedModel::solve(Pool& pool)
{
    const std::size_t size = pool.m_types.size();
    // Gauss-Jordan elimination; the matrix is symmetric and positive definite. The inverse holds the variances.
    Matrix left {};
    Matrix inverse {};
    for (std::size_t i = 0; i < size; ++i) {
        for (std::size_t j = 0; j < size; ++j)
            left[i][j] = pool.m_matrix[i][j] / pool.m_scale;
        left[i][i] += typePrecision;
        inverse[i][i] = 1;
    }
    for (std::size_t i = 0; i < size; ++i) {
        const double pivot = left[i][i];
        for (std::size_t j = 0; j < size; ++j) {
            left[i][j] /= pivot;
            inverse[i][j] /= pivot;
        }
        for (std::size_t k = 0; k < size; ++k) {
            const double times = left[k][i];
            if (k == i || times == 0)
                continue;
            for (std::size_t j = 0; j < size; ++j) {
                left[k][j] -= times * left[i][j];
                inverse[k][j] -= times * inverse[i][j];
            }
        }
    }
    for (std::size_t i = 0; i < size; ++i) {
        double value = 0;
        for (std::size_t j = 0; j < size; ++j)
            value += inverse[i][j] * pool.m_vector[j] / pool.m_scale;
        pool.m_types[i].m_value = value;
        pool.m_types[i].m_variance = inverse[i][i];
    }
    // Widest difference between two types that is certain.
    bool differs = false;
    for (std::size_t i = 0; i < size; ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const Type& a = pool.m_types[i];
            const Type& b = pool.m_types[j];
            const double difference = std::abs(a.m_value - b.m_value);
            const double deviation
                = std::sqrt(std::max(0.0, a.m_variance + b.m_variance - inverse[i][j] - inverse[j][i]));
            const bool areKnown = a.m_observations >= minObservations && b.m_observations >= minObservations;
            const double needed = pool.m_differs ? 0.0 : significance * deviation;
            differs = differs || (areKnown && difference > alikeDifference && difference > needed);
        }
    }
    pool.m_differs = differs;
}

void SpeedModel::deriveTypes(Pool& pool)
{
    std::vector<Type*> known;
    for (Type& type : pool.m_types) {
        type.m_factor = 1;
        if (pool.m_differs && type.m_observations >= minObservations && type.m_variance < maxTypeVariance)
            known.push_back(&type);
    }
    std::sort(known.begin(), known.end(), [](const Type* a, const Type* b) { return a->m_value < b->m_value; });
    // Types next to each other that differ by less than a tenth have one factor, so that none of them is preferred.
    for (std::size_t i = 0; i < known.size();) {
        std::size_t end = i;
        double precision = 0;
        double sum = 0;
        for (; end < known.size() && (end == i || known[end]->m_value - known[end - 1]->m_value < alikeDifference);
             ++end) {
            precision += 1.0 / known[end]->m_variance;
            sum += known[end]->m_value / known[end]->m_variance;
        }
        for (; i < end; ++i)
            known[i]->m_factor = std::exp(sum / precision);
    }
    pool.m_fastest = known.empty() ? 1.0 : known.front()->m_factor;
    pool.m_slowest = known.empty() ? 1.0 : known.back()->m_factor;
    pool.m_differs = pool.m_fastest != pool.m_slowest;
    for (Type& type : pool.m_types) {
        if (!pool.m_differs)
            type.m_factor = 1;
        const double before = type.m_announced == 0 ? 1.0 : type.m_announced;
        const bool isFirst = type.m_announced == 0 && type.m_factor != 1;
        if (!isFirst && std::abs(type.m_factor / before - 1) < announcedChange)
            continue;
        type.m_announced = type.m_factor;
        m_typeChanges.push_back({ pool.m_service, type.m_name, type.m_factor });
    }
}

void SpeedModel::deriveWorker(WorkerState& worker)
{
    const Pool& pool = m_pools[worker.m_pool];
    const double factor = worker.m_type == maxTypes ? 1.0 : pool.m_types[worker.m_type].m_factor;
    const auto isCertain = [](const Filter& filter, double difference, double deviations) {
        return std::abs(filter.m_mean) > difference
            && std::abs(filter.m_mean) > deviations * std::sqrt(filter.m_variance);
    };
    worker.m_hasTurned = isCertain(worker.m_recent, recentDeviation, significance)
        || (worker.m_hasTurned && std::abs(worker.m_recent.m_mean) >= endedDeviation);
    const bool isLasting = isCertain(worker.m_lasting, lastingDeviation, lastingSignificance);
    worker.m_deviation = worker.m_hasTurned ? worker.m_recent.m_mean : isLasting ? worker.m_lasting.m_mean : 0.0;
    worker.m_factor = worker.m_deviation == 0 ? factor : factor * std::exp(worker.m_deviation);
}

void SpeedModel::update(TimePoint now)
{
    if (now - m_updatedAt < updateInterval)
        return;
    m_updatedAt = now;
    for (Pool& pool : m_pools) {
        pool.m_deviatingWorkers = 0;
        if (!std::exchange(pool.m_hasNews, false))
            continue;
        ageSums(pool, now);
        solve(pool);
        deriveTypes(pool);
    }
    for (WorkerState& worker : m_workers) {
        if (!worker.m_isKnown)
            continue;
        // A worker that turned slow gets little work, which could show its recovery.
        if (worker.m_hasTurned && now - worker.m_recent.m_at > maxSilence) {
            worker.m_recent = {};
            worker.m_hasTurned = false;
        }
        deriveWorker(worker);
        m_pools[worker.m_pool].m_deviatingWorkers += worker.m_deviation != 0 ? 1 : 0;
    }
}

std::map<std::pair<std::string, std::string>, double> SpeedModel::typeFactors() const
{
    std::map<std::pair<std::string, std::string>, double> factors;
    for (const Pool& pool : m_pools) {
        for (const Type& type : pool.m_types)
            factors[{ pool.m_service, type.m_name }] = type.m_factor;
    }
    return factors;
}

} // namespace sapphiredale::jobs
