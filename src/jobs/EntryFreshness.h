// Tells a worker that has left from one that was silent when its entry is removed from the registry.
//
// An entry expires after three heartbeats of silence, and possibly sooner while the store is away; its worker may run
// on. An entry that is removed sooner was removed because its worker has ended, and its runs with it. Entries carry no
// time of their own, and a reader that was paused or that lags reads old heartbeats and their removal at once. So an
// entry counts as written when the reader last knew the end of the topic, not when it was read.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <unordered_map>

namespace sapphiredale::jobs {

class EntryFreshness {
public:
    /// `maxAge` is less than the three heartbeats after which an entry expires.
    explicit EntryFreshness(Duration maxAge)
        : m_maxAge(maxAge)
    {
    }

    /// Notes an entry that was not in the topic at readUpTo, when the reader last had all of its records.
    void written(const WorkerId& worker, TimePoint readUpTo) { m_notBefore[worker] = readUpTo; }

    /// Notes that the topic could not be read: entries of that time may have expired sooner.
    void readFailed(TimePoint now) { m_lastFailureAt = now; }

    /// Forgets the entry. Returns whether it was written so recently that only the end of its worker explains the
    /// removal.
    bool removed(const WorkerId& worker, TimePoint now)
    {
        const auto found = m_notBefore.find(worker);
        if (found == m_notBefore.end())
            return false;
        const bool isFresh = now - found->second < m_maxAge && found->second > m_lastFailureAt;
        m_notBefore.erase(found);
        return isFresh;
    }

private:
    const Duration m_maxAge;
    /// Time after which the newest entry of each worker was written.
    std::unordered_map<WorkerId, TimePoint> m_notBefore;
    TimePoint m_lastFailureAt {};
};

} // namespace sapphiredale::jobs
