// The minions of one service that this daemon holds: occupied slots, latency and health. Selection uses it; it makes no
// decision about requests.
#pragma once

#include "model/Time.h"
#include "routing/ChoicePolicy.h"
#include "routing/MinionLeaseTable.h"
#include "routing/RoutingTypes.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sapphiredale::routing {

/// Settings of health and latency tracking.
struct MinionHealthSettings {
    /// Failed answers in a row that eject a minion; a failed connection ejects at once.
    std::uint32_t m_failuresToEject = 5;
    /// First ejection; doubled for each further one up to the maximum.
    Duration m_firstEjection = std::chrono::milliseconds(500);
    Duration m_maxEjection = std::chrono::seconds(30);
    /// Answers in a row after which a readmitted minion may take twice as many requests as before.
    std::uint32_t m_successesToDouble = 4;
    /// A minion is slow when its latency exceeds this multiple of the median minion's.
    std::uint32_t m_slowFactor = 2;
    /// Answers needed before a minion can be called slow.
    std::uint32_t m_samplesForLatency = 8;
    /// A slow minion gets one request in this many while others are free, which shows whether it has recovered.
    std::uint32_t m_probeEvery = 400;
    /// Pause of a minion that rejected a request as busy although a slot was free by this daemon's count.
    Duration m_busyPause = std::chrono::milliseconds(20);
};

inline constexpr std::uint32_t unlimitedAllowance = 0xffffffff;

/// One held minion.
struct MinionState {
    HeldMinion m_lease;
    /// False when the lease is lost; the entry lasts while slots are occupied.
    bool m_held = false;
    /// Slots occupied by attempts of this daemon, under any epoch.
    std::uint32_t m_outstanding = 0;
    /// Moving average of the service time in microseconds.
    double m_latencyMicros = 0;
    /// Moving average of the absolute deviation from it.
    double m_deviationMicros = 0;
    std::uint32_t m_samples = 0;
    std::uint32_t m_failuresInRow = 0;
    std::uint32_t m_successesInRow = 0;
    /// Number of ejections without a full recovery between them.
    std::uint32_t m_ejections = 0;
    /// The minion gets nothing before this instant.
    TimePoint m_ejectedUntil;
    /// Most slots used after a readmission; unlimited when healthy.
    std::uint32_t m_allowance = unlimitedAllowance;
    bool m_slow = false;

    /// Slots occupied by this daemon and by former holders.
    std::uint32_t occupied() const { return m_outstanding + m_lease.m_formerInFlight; }
    std::uint32_t usableSlots() const { return std::min(m_lease.m_slots, m_allowance); }
};

/// All minions of one service known to this daemon.
class MinionTable {
public:
    explicit MinionTable(const MinionHealthSettings&);

    /// A lease that is held, new or renewed.
    void set(const HeldMinion&, TimePoint now);
    /// A lease that is lost or released.
    void drop(const MinionId&);

    /// Occupies a slot of the minion at a table index.
    SlotSerial occupy(std::uint32_t index, TimePoint now);
    /// Frees a slot; unknown serials are ignored. Returns the index of its minion.
    std::optional<std::uint32_t> release(SlotSerial);

    /// An answer arrived: frees nothing, updates latency and health.
    void answered(SlotSerial, bool failedByMinion, TimePoint now);
    void failedToConnect(SlotSerial, TimePoint now);
    /// The connection broke or the answer was invalid.
    void broke(SlotSerial, TimePoint now);
    void refusedBusy(SlotSerial, TimePoint now);
    void refusedLeaving(SlotSerial);
    void refusedStaleEpoch(SlotSerial);

    /// Minions with a free slot now. Slow ones are left out while others are free, except for a probe now and then.
    void candidates(TimePoint now, std::vector<Candidate>&);
    const MinionState& at(std::uint32_t index) const { return m_minions[index]; }
    const MinionState* find(const MinionId&) const;
    std::uint32_t size() const { return static_cast<std::uint32_t>(m_minions.size()); }

    /// Slots of held minions that are not leaving, and those of them that are free now.
    std::uint32_t totalSlots(TimePoint now) const;
    std::uint32_t freeSlots(TimePoint now) const;
    /// Service time of the held minions, weighted by their throughput; zero when unknown.
    Duration serviceTime() const;
    /// Service time that few requests exceed: the mean and three times the mean deviation.
    Duration highServiceTime() const;
    std::uint64_t ejections() const { return m_ejectionCount; }

private:
    struct SlotUse {
        std::uint32_t m_index = 0;
        TimePoint m_since;
    };

    MinionState* minionOf(SlotSerial);
    bool available(const MinionState&, TimePoint now) const;
    void eject(MinionState&, TimePoint now);
    void noteFailure(MinionState&, TimePoint now);
    void noteSuccess(MinionState&);
    void noteLatency(MinionState&, double micros);
    bool mayEjectForAnswers(TimePoint now) const;
    void updateSlow();
    void collect(TimePoint now, bool slow, std::vector<Candidate>&) const;

    MinionHealthSettings m_settings;
    std::vector<MinionState> m_minions;
    std::unordered_map<MinionId, std::uint32_t> m_index;
    std::unordered_map<SlotSerial, SlotUse> m_slots;
    SlotSerial m_nextSerial = 1;
    std::uint64_t m_ejectionCount = 0;
    std::uint32_t m_sinceProbe = 0;
    std::uint32_t m_sinceSlowUpdate = 0;
    std::vector<double> m_scratch;
};

} // namespace sapphiredale::routing
