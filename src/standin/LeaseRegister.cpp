// Grants, renewals and releases.

#include "standin/LeaseRegister.h"

namespace sapphiredale::standin {

bool LeaseRegister::acquire(const DaemonId& holder, std::uint64_t epoch, Duration ttl, TimePoint now)
{
    const bool renewal = obeys(holder, epoch);
    const bool vacant = m_released || now >= m_expires;
    if (!renewal && !(vacant && epoch > m_epoch))
        return false;
    m_holder = holder;
    m_epoch = epoch;
    m_expires = now + ttl;
    m_lastLength = ttl;
    m_released = false;
    return true;
}

void LeaseRegister::restart(TimePoint now)
{
    m_holder = DaemonId();
    m_epoch = 0;
    m_expires = now + m_lastLength;
    m_released = false;
}

bool LeaseRegister::release(const DaemonId& holder, std::uint64_t epoch)
{
    if (!obeys(holder, epoch))
        return false;
    m_released = true;
    return true;
}

bool LeaseRegister::obeys(const DaemonId& holder, std::uint64_t epoch) const
{
    return obeysEpoch(epoch) && holder == m_holder;
}

Duration LeaseRegister::expiresIn(TimePoint now) const
{
    return m_released || now >= m_expires ? Duration::zero() : m_expires - now;
}

} // namespace sapphiredale::standin
