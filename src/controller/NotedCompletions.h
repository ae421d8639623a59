// Job ends that this daemon has noted for a scheduler during an outage of the store, to be passed to the next
// scheduler.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

namespace sapphiredale::controller {

/// Noted job ends with their expiry. They are hints: a scheduler that receives none relies on the reports of the
/// workers.
class NotedCompletions {
public:
    /// `term` is the term of the requesting scheduler; zero for ends that another daemon passes on.
    void add(std::uint64_t term, const std::vector<JobId>& jobs, TimePoint now)
    {
        std::erase_if(m_expiry, [now](const auto& entry) { return entry.second < now; });
        m_term = std::max(m_term, term);
        for (const JobId& job : jobs) {
            if (m_expiry.size() < maxNotedEnds)
                m_expiry[job] = now + lifetime;
        }
    }
    /// Newest term whose scheduler has had ends noted.
    std::uint64_t term() const { return m_term; }
    std::vector<JobId> jobs() const
    {
        std::vector<JobId> jobs;
        jobs.reserve(m_expiry.size());
        for (const auto& [job, expiry] : m_expiry)
            jobs.push_back(job);
        return jobs;
    }

private:
    /// Longer than an outage of the store and the takeover that follows it.
    static constexpr Duration lifetime = std::chrono::seconds(120);
    /// Job ends of several minutes at the design load; 1 MB.
    static constexpr std::size_t maxNotedEnds = 10000;

    std::map<JobId, TimePoint> m_expiry;
    std::uint64_t m_term = 0;
};

} // namespace sapphiredale::controller
