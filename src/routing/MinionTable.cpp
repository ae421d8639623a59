// Slot accounting, latency and health of the held minions.

#include "routing/MinionTable.h"

#include <cassert>

namespace sapphiredale::routing {

MinionTable::MinionTable(const MinionHealthSettings& settings)
    : m_settings(settings)
{
}

void MinionTable::set(const HeldMinion& lease, TimePoint now)
{
    const auto [place, isNew] = m_index.try_emplace(lease.m_minion, size());
    if (isNew)
        m_minions.emplace_back();
    MinionState& minion = m_minions[place->second];
    if (minion.m_lease.m_address != lease.m_address) {
        // Another process: what was learnt of the former one does not apply. Its slots stay counted until they end.
        MinionState fresh;
        fresh.m_outstanding = minion.m_outstanding;
        minion = fresh;
        minion.m_ejectedUntil = now;
    }
    minion.m_lease = lease;
    minion.m_held = true;
}

void MinionTable::drop(const MinionId& id)
{
    const auto place = m_index.find(id);
    if (place != m_index.end())
        m_minions[place->second].m_held = false;
}

SlotSerial MinionTable::occupy(std::uint32_t index, TimePoint now)
{
    MinionState& minion = m_minions[index];
    assert(available(minion, now));
    ++minion.m_outstanding;
    const SlotSerial serial = m_nextSerial++;
    m_slots.emplace(serial, SlotUse { index, now });
    return serial;
}

std::optional<std::uint32_t> MinionTable::release(SlotSerial serial)
{
    const auto use = m_slots.find(serial);
    if (use == m_slots.end())
        return std::nullopt;
    const std::uint32_t index = use->second.m_index;
    assert(m_minions[index].m_outstanding > 0);
    --m_minions[index].m_outstanding;
    m_slots.erase(use);
    return index;
}

MinionState* MinionTable::minionOf(SlotSerial serial)
{
    const auto use = m_slots.find(serial);
    return use == m_slots.end() ? nullptr : &m_minions[use->second.m_index];
}

void MinionTable::answered(SlotSerial serial, bool failedByMinion, TimePoint now)
{
    const auto use = m_slots.find(serial);
    if (use == m_slots.end())
        return;
    MinionState& minion = m_minions[use->second.m_index];
    if (failedByMinion) {
        noteFailure(minion, now);
        return;
    }
    // Only successes count as latency: a failure that returns at once must not look like a fast minion.
    noteLatency(minion, static_cast<double>((now - use->second.m_since).count()));
    noteSuccess(minion);
}

void MinionTable::noteLatency(MinionState& minion, double micros)
{
    // The few probes of a slow minion weigh more, so that a recovery shows after a handful of them.
    const double weight = minion.m_slow ? 0.5 : std::max(0.1, 1.0 / (minion.m_samples + 1));
    const double deviation = std::abs(micros - minion.m_latencyMicros);
    minion.m_latencyMicros += weight * (micros - minion.m_latencyMicros);
    if (minion.m_samples > 0)
        minion.m_deviationMicros += weight * (deviation - minion.m_deviationMicros);
    ++minion.m_samples;
    constexpr std::uint32_t answersPerUpdate = 32;
    if (minion.m_slow || ++m_sinceSlowUpdate >= answersPerUpdate)
        updateSlow();
}

void MinionTable::noteSuccess(MinionState& minion)
{
    minion.m_failuresInRow = 0;
    if (minion.m_allowance == unlimitedAllowance || ++minion.m_successesInRow < m_settings.m_successesToDouble)
        return;
    minion.m_successesInRow = 0;
    minion.m_allowance *= 2;
    if (minion.m_allowance >= minion.m_lease.m_slots) {
        minion.m_allowance = unlimitedAllowance;
        minion.m_ejections = 0;
    }
}

void MinionTable::noteFailure(MinionState& minion, TimePoint now)
{
    minion.m_successesInRow = 0;
    ++minion.m_failuresInRow;
    const bool onProbation = minion.m_allowance != unlimitedAllowance;
    if ((onProbation || minion.m_failuresInRow >= m_settings.m_failuresToEject) && mayEjectForAnswers(now))
        eject(minion, now);
}

void MinionTable::failedToConnect(SlotSerial serial, TimePoint now)
{
    if (MinionState* minion = minionOf(serial))
        eject(*minion, now);
}

void MinionTable::broke(SlotSerial serial, TimePoint now)
{
    if (MinionState* minion = minionOf(serial))
        noteFailure(*minion, now);
}

void MinionTable::refusedBusy(SlotSerial serial, TimePoint now)
{
    if (MinionState* minion = minionOf(serial))
        minion->m_ejectedUntil = std::max(minion->m_ejectedUntil, now + m_settings.m_busyPause);
}

void MinionTable::refusedLeaving(SlotSerial serial)
{
    if (MinionState* minion = minionOf(serial))
        minion->m_lease.m_leaving = true;
}

void MinionTable::refusedStaleEpoch(SlotSerial serial)
{
    if (MinionState* minion = minionOf(serial))
        minion->m_held = false;
}

void MinionTable::eject(MinionState& minion, TimePoint now)
{
    // Several requests fail at the same time when a minion dies; they are one reason for an ejection.
    if (now < minion.m_ejectedUntil)
        return;
    Duration length = m_settings.m_firstEjection;
    for (std::uint32_t i = 0; i < minion.m_ejections && length < m_settings.m_maxEjection; ++i)
        length *= 2;
    minion.m_ejectedUntil = now + std::min(length, m_settings.m_maxEjection);
    ++minion.m_ejections;
    ++m_ejectionCount;
    minion.m_allowance = 1;
    minion.m_failuresInRow = 0;
    minion.m_successesInRow = 0;
}

bool MinionTable::mayEjectForAnswers(TimePoint now) const
{
    // When most minions answer with failures the service itself is at fault, and ejections would only remove capacity.
    std::uint32_t held = 0;
    std::uint32_t ejected = 0;
    for (const MinionState& minion : m_minions) {
        held += minion.m_held ? 1 : 0;
        ejected += minion.m_held && now < minion.m_ejectedUntil ? 1 : 0;
    }
    return ejected + 1 <= held / 2;
}

bool MinionTable::available(const MinionState& minion, TimePoint now) const
{
    return minion.m_held && !minion.m_lease.m_leaving && now < minion.m_lease.m_leaseDeadline
        && now >= minion.m_ejectedUntil && minion.occupied() < minion.m_lease.m_slots
        && minion.m_outstanding < minion.m_allowance;
}

void MinionTable::collect(TimePoint now, bool slow, std::vector<Candidate>& result) const
{
    for (std::uint32_t i = 0; i < size(); ++i) {
        const MinionState& minion = m_minions[i];
        if (minion.m_slow == slow && available(minion, now))
            result.push_back(
                { i, minion.occupied(), minion.usableSlots(), static_cast<std::uint32_t>(minion.m_latencyMicros) });
    }
}

void MinionTable::candidates(TimePoint now, std::vector<Candidate>& result)
{
    result.clear();
    if (++m_sinceProbe >= m_settings.m_probeEvery) {
        m_sinceProbe = 0;
        collect(now, true, result);
    }
    if (result.empty())
        collect(now, false, result);
    if (result.empty())
        collect(now, true, result);
}

void MinionTable::updateSlow()
{
    m_sinceSlowUpdate = 0;
    m_scratch.clear();
    for (const MinionState& minion : m_minions) {
        if (minion.m_held && minion.m_samples >= m_settings.m_samplesForLatency)
            m_scratch.push_back(minion.m_latencyMicros);
    }
    constexpr std::size_t minionsForMedian = 3;
    if (m_scratch.size() < minionsForMedian)
        return;
    const auto middle = m_scratch.begin() + static_cast<std::ptrdiff_t>(m_scratch.size() / 2);
    std::nth_element(m_scratch.begin(), middle, m_scratch.end());
    const double limit = *middle * m_settings.m_slowFactor;
    for (MinionState& minion : m_minions) {
        // The lower limit for the way back avoids a change with every sample.
        const double ownLimit = minion.m_slow ? limit * 0.75 : limit;
        minion.m_slow = minion.m_samples >= m_settings.m_samplesForLatency && minion.m_latencyMicros > ownLimit;
    }
}

const MinionState* MinionTable::find(const MinionId& id) const
{
    const auto place = m_index.find(id);
    return place == m_index.end() ? nullptr : &m_minions[place->second];
}

std::uint32_t MinionTable::totalSlots(TimePoint now) const
{
    std::uint32_t total = 0;
    for (const MinionState& minion : m_minions) {
        if (minion.m_held && !minion.m_lease.m_leaving && now < minion.m_lease.m_leaseDeadline)
            total += minion.m_lease.m_slots;
    }
    return total;
}

std::uint32_t MinionTable::freeSlots(TimePoint now) const
{
    std::uint32_t total = 0;
    for (const MinionState& minion : m_minions) {
        if (available(minion, now))
            total += std::min(minion.m_lease.m_slots - minion.occupied(), minion.m_allowance - minion.m_outstanding);
    }
    return total;
}

namespace {

    /// Mean of a time over the minions, each weighted by the requests per second that it can serve.
    template <typename F> Duration weightedByThroughput(const std::vector<MinionState>& minions, F time)
    {
        double requests = 0;
        double sum = 0;
        for (const MinionState& minion : minions) {
            if (!minion.m_held || minion.m_latencyMicros <= 0)
                continue;
            const double throughput = minion.m_lease.m_slots / minion.m_latencyMicros;
            requests += throughput;
            sum += throughput * time(minion);
        }
        return Duration(requests > 0 ? static_cast<Duration::rep>(sum / requests) : 0);
    }

} // namespace

Duration MinionTable::serviceTime() const
{
    return weightedByThroughput(m_minions, [](const MinionState& minion) { return minion.m_latencyMicros; });
}

Duration MinionTable::highServiceTime() const
{
    return weightedByThroughput(
        m_minions, [](const MinionState& minion) { return minion.m_latencyMicros + 3 * minion.m_deviationMicros; });
}

} // namespace sapphiredale::routing
