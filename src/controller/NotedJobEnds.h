// Ends of jobs that a scheduler had this daemon note while the store was away, for the next scheduler.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

namespace sapphiredale::controller {

/// See the head of the file. Notes are hints: a scheduler that hears of none relies on what the workers report.
class NotedJobEnds {
public:
    /// `term` is that of the scheduler that asks; zero for notes that another daemon passes on.
    void add(std::uint64_t term, const std::vector<JobId>& jobs, TimePoint now)
    {
        std::erase_if(m_expiry, [now](const auto& entry) { return entry.second < now; });
        m_term = std::max(m_term, term);
        for (const JobId& job : jobs) {
            if (m_expiry.size() < maxNotedEnds)
                m_expiry[job] = now + lifetime;
        }
    }
    /// Newest term whose scheduler had something noted.
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
    /// Longer than any takeover with an outage of the store before it.
    static constexpr Duration lifetime = std::chrono::seconds(120);
    /// Ends of some minutes at the size to design for; 1 MB.
    static constexpr std::size_t maxNotedEnds = 10000;

    std::map<JobId, TimePoint> m_expiry;
    std::uint64_t m_term = 0;
};

} // namespace sapphiredale::controller
