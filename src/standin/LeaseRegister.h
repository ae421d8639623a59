// The lease register of a worker or a minion (docs/design.md, section 2.2).
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <cstdint>

namespace sapphiredale::standin {

/// Grants a lease to one holder at a time. The lock of its owner guards it.
class LeaseRegister {
public:
    /// Grants an epoch that is greater than any granted before when no lease is active, and renews the lease of the
    /// same holder and epoch unless that was released. Returns false otherwise.
    bool acquire(const DaemonId& holder, std::uint64_t epoch, Duration ttl, TimePoint now);
    /// The worker has restarted and lost its memory: grants nothing for the length of the last lease, because the
    /// former holder may still count on it.
    void restart(TimePoint now);
    /// Ends the lease of the holder and epoch; false when that is not the one on record.
    bool release(const DaemonId& holder, std::uint64_t epoch);
    /// True when commands with this holder and epoch are to be obeyed. An expired lease that nobody else has acquired
    /// is still obeyed: the register fences by epoch, and the holder's own deadline covers the rest.
    bool obeys(const DaemonId& holder, std::uint64_t epoch) const;
    bool obeysEpoch(std::uint64_t epoch) const { return !m_released && epoch != 0 && epoch == m_epoch; }

    const DaemonId& holder() const { return m_holder; }
    std::uint64_t epoch() const { return m_epoch; }
    /// Rest of the lease; zero when none is active.
    Duration expiresIn(TimePoint now) const;

private:
    DaemonId m_holder;
    /// Greatest epoch granted; never decreases.
    std::uint64_t m_epoch = 0;
    TimePoint m_expires {};
    /// Length of the last lease that was granted.
    Duration m_lastLength {};
    bool m_released = true;
};

} // namespace sapphiredale::standin
