// Learning of sizes and run times from usage reports.

#include "placement/UsageLearning.h"

#include <algorithm>
#include <cmath>

namespace sapphiredale::placement {

namespace {

    std::int64_t smoothed(
        std::int64_t previous, std::int64_t reported, std::int64_t declared, double keep, std::int64_t maxGrowth)
    {
        // Growth takes effect at once, since a delay would affect other tasks on the worker; a decrease is smoothed.
        const std::int64_t bounded = std::min(reported, std::max(previous, declared) * maxGrowth);
        if (bounded >= previous)
            return std::max(bounded, declared);
        const double decayed = double(bounded) + keep * double(previous - bounded);
        return std::max(static_cast<std::int64_t>(decayed), declared);
    }

} // namespace

Resources UsageLearning::trustedUsage(const Task& task, const Resources& usage, TimePoint now) const
{
    double keep = 0;
    const Duration halfLife = m_state.m_settings.m_usageHalfLife;
    if (halfLife > Duration::zero()) {
        // A report that is delivered again at the same instant changes nothing.
        const double elapsed = double(std::max(now - task.m_usageReportedAt, Duration::zero()).count());
        keep = std::exp2(-elapsed / double(halfLife.count()));
    }
    const Resources& previous = task.m_reserved;
    const Resources& declared = task.m_declared;
    Resources result = declared;
    result.m_cpuMillis
        = smoothed(previous.m_cpuMillis, usage.m_cpuMillis, declared.m_cpuMillis, keep, maxGrowthPerReport);
    result.m_memoryMiB
        = smoothed(previous.m_memoryMiB, usage.m_memoryMiB, declared.m_memoryMiB, keep, maxGrowthPerReport);
    // The worker enforces the processor limit of a throttled task.
    if (task.m_throttled && usage.m_cpuMillis <= declared.m_cpuMillis)
        result.m_cpuMillis = declared.m_cpuMillis;
    return result;
}

void UsageLearning::applyUsageReport(Task& task, const Resources& usage, TimePoint now)
{
    const Resources reserved = trustedUsage(task, usage, now);
    task.m_usageReportedAt = now;
    const bool overuses = !reserved.fitsIn(task.m_declared);
    Worker& worker = m_state.m_workers.mutableAt(task.m_worker);
    if (overuses != task.m_overuses)
        worker.m_overusingTasks += overuses ? 1 : std::uint32_t(-1);
    task.m_overuses = overuses;
    if (reserved != task.m_reserved) {
        if (task.m_workload != noIndex) {
            m_state.m_quotas.adjust(m_state.m_workloads[task.m_workload].m_team, reserved - task.m_reserved,
                task.m_chargedAsNonPreemptible);
        }
        m_state.m_workers.resize(task, reserved);
    }
    if (overuses) {
        m_state.m_workers.markDirty(task.m_worker);
        if (task.m_workload != noIndex)
            learnSize(task, m_state.m_workloads[task.m_workload]);
    }
}

void UsageLearning::learnSize(Task& task, Workload& workload)
{
    // Each attempt counts once as support, however often its usage is reported.
    if (!task.m_sampled) {
        task.m_sampled = true;
        ++workload.m_samples;
    }
    const Resources& declared = workload.m_spec.m_resources;
    Resources bound = declared * maxLearnedFactor;
    const Resources& limit = m_state.m_quotas.at(workload.m_team).m_spec.m_limit;
    const Resources& capacity = m_state.m_workers.at(task.m_worker).m_spec.m_capacity;
    // A learned size must not make the workload unplaceable.
    bound.m_cpuMillis = std::min({ bound.m_cpuMillis, limit.m_cpuMillis, capacity.m_cpuMillis });
    bound.m_memoryMiB = std::min({ bound.m_memoryMiB, limit.m_memoryMiB, capacity.m_memoryMiB });
    Resources seen = task.m_reserved;
    seen.m_cpuMillis = std::min(seen.m_cpuMillis, bound.m_cpuMillis);
    seen.m_memoryMiB = std::min(seen.m_memoryMiB, bound.m_memoryMiB);
    seen.m_accelerators = declared.m_accelerators;
    // Processor time can be throttled: a start does not wait for more than half a worker of what it did not declare.
    if (m_state.policyOf(workload).m_onOveruse == OnOveruse::Throttle)
        seen.m_cpuMillis = std::min(seen.m_cpuMillis, std::max(declared.m_cpuMillis, capacity.m_cpuMillis / 2));
    // Moves a quarter of the way to what the overusing tasks need: the typical overuse counts, not the largest.
    const auto approach
        = [](std::int64_t from, std::int64_t to) { return to > from ? from + (to - from + 3) / 4 : from; };
    const Resources start = Resources::max(workload.m_peak, declared);
    workload.m_peak = { approach(start.m_cpuMillis, seen.m_cpuMillis), approach(start.m_memoryMiB, seen.m_memoryMiB),
        declared.m_accelerators };
    if (workload.m_samples >= minSampledTasks)
        workload.m_learnedSize = workload.m_peak;
}

void UsageLearning::recordRunTime(const Task& task, TimePoint now)
{
    if (task.m_workload == noIndex)
        return;
    Workload& workload = m_state.m_workloads[task.m_workload];
    const double seconds = double((now - task.m_startedAt).count()) / 1e6;
    if (workload.m_meanRunSeconds < 0) {
        workload.m_meanRunSeconds = seconds;
        workload.m_runSecondsDeviation = seconds / 2;
        return;
    }
    const double error = seconds - workload.m_meanRunSeconds;
    workload.m_meanRunSeconds += error / 8;
    workload.m_runSecondsDeviation += (std::abs(error) - workload.m_runSecondsDeviation) / 4;
}

} // namespace sapphiredale::placement
