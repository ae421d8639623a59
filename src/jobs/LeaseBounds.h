// Times by which the leases that terms granted to the workers have ended.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <map>

namespace sapphiredale::jobs {

/// See the head of the file.
struct LeaseBounds {
    /// End of the leases of all workers that m_byWorker does not name.
    TimePoint m_end {};
    std::map<WorkerId, TimePoint> m_byWorker;

    TimePoint endFor(const WorkerId& worker) const
    {
        const auto found = m_byWorker.find(worker);
        return found == m_byWorker.end() ? m_end : found->second;
    }

    friend bool operator==(const LeaseBounds&, const LeaseBounds&) = default;
};

} // namespace sapphiredale::jobs
