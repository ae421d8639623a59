// Counting of the confirmations of each completion.

#include "jobs/CompletionQuorum.h"

#include <algorithm>

namespace sapphiredale::jobs {

std::vector<JobId> CompletionQuorum::unconfirmed(
    const std::string& daemon, const std::set<JobId>& unstoredEnds, std::size_t most) const
{
    std::vector<JobId> ends;
    for (const JobId& job : unstoredEnds) {
        const auto found = m_confirmations.find(job);
        if (found != m_confirmations.end() && found->second.contains(daemon))
            continue;
        if (ends.size() == most)
            break;
        ends.push_back(job);
    }
    return ends;
}

std::vector<JobId> CompletionQuorum::confirmed(
    const std::string& daemon, const std::vector<JobId>& ends, std::size_t daemons)
{
    std::vector<JobId> shown;
    for (const JobId& job : ends) {
        std::set<std::string>& known = m_confirmations[job];
        known.insert(daemon);
        if ((known.size() + 1) * 2 > daemons)
            shown.push_back(job);
    }
    return shown;
}

void CompletionQuorum::keep(const std::set<JobId>& unstoredEnds)
{
    std::erase_if(m_confirmations, [&](const auto& entry) { return !unstoredEnds.contains(entry.first); });
}

} // namespace sapphiredale::jobs
