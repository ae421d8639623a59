// Submissions of which a record may be in the store although the scheduler has not read it. They must not be refused
// as unknown: the job may run.
#pragma once

#include "controller/StoreRoute.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace sapphiredale::controller {

/// See the head of the file. No I/O, clock or threads.
class OpenAppends {
public:
    /// Time after which an append without an answer is not carried out any more; a bound of the platform.
    static constexpr Duration maxAppendDelay = std::chrono::seconds(13);
    /// Time after which the scheduler, if it says that a job does not exist, has read a record that was stored: the
    /// greatest age of its view, and the time of its answer.
    static constexpr Duration maxReadDelay = std::chrono::milliseconds(3500);

    void began(const std::string& key, TimePoint now)
    {
        forgetOld(now);
        ++m_appends[key].m_open;
    }

    void ended(const std::string& key, StoreOutcome outcome, TimePoint now)
    {
        const auto found = m_appends.find(key);
        if (found == m_appends.end())
            return;
        Append& append = found->second;
        --append.m_open;
        if (outcome == StoreOutcome::NotStored) {
            if (append.m_open == 0 && append.m_until <= now)
                m_appends.erase(found);
            return;
        }
        const bool isStored = outcome == StoreOutcome::Stored;
        const TimePoint until = now + (isStored ? maxReadDelay : maxAppendDelay);
        append.m_until = std::max(append.m_until, until);
        (isStored ? m_stored : m_unknown).emplace_back(until, key);
    }

    /// Whether an append with the key may have been or may still be carried out unseen by the scheduler.
    bool mayBeStored(const std::string& key, TimePoint now) const
    {
        const auto found = m_appends.find(key);
        return found != m_appends.end() && (found->second.m_open > 0 || now < found->second.m_until);
    }

    std::size_t size() const { return m_appends.size(); }

private:
    struct Append {
        std::uint32_t m_open = 0;
        TimePoint m_until {};
    };
    /// Ends of the times for which keys are kept, in ascending order.
    using Ends = std::deque<std::pair<TimePoint, std::string>>;

    void forgetOld(TimePoint now)
    {
        for (Ends* ends : { &m_stored, &m_unknown }) {
            for (; !ends->empty() && ends->front().first <= now; ends->pop_front()) {
                const auto found = m_appends.find(ends->front().second);
                if (found != m_appends.end() && found->second.m_open == 0 && found->second.m_until <= now)
                    m_appends.erase(found);
            }
        }
    }

    std::unordered_map<std::string, Append> m_appends;
    Ends m_stored;
    Ends m_unknown;
};

} // namespace sapphiredale::controller
