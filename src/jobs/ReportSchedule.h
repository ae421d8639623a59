// When each worker of a term is asked for its next report. A deterministic state machine without I/O, clock or threads.
//
// Answers cells of a thousand workers, of which a few report at any moment: a check costs per report that is due, not
// per worker.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphiredale::jobs {

/// Each worker has one open request or a time for the next one. Calls for unknown workers have no effect.
class ReportSchedule {
public:
    /// Adds a worker, or resets one that is reached in another way now: the next request is due at the time.
    void add(const WorkerId&, TimePoint nextAt);
    void remove(const WorkerId&);

    /// Notes that a request is about to be sent; none is due until it ends. Returns false if one is open already, and
    /// for unknown workers.
    bool beginRequest(const WorkerId&);
    /// The request has ended, or was not sent; the next one is due at the time.
    void ended(const WorkerId&, TimePoint nextAt);
    /// The request has ended; the next one is due once the ends that it reported are stored, at the latest at the time.
    void endedBeforeStore(const WorkerId&, TimePoint latest);

    /// Workers whose next request is due. They are due again until beginRequest() or ended() is called.
    std::vector<WorkerId> due(TimePoint now) const;
    /// Removes and returns the workers whose next request still waits for the store, which has the ends now.
    std::vector<WorkerId> takeStored();

private:
    struct Entry {
        bool m_isRequested = false;
        /// The place in m_due while no request is open.
        TimePoint m_nextAt {};
    };

    void setNext(const WorkerId&, Entry&, TimePoint nextAt);

    std::unordered_map<WorkerId, Entry> m_entries;
    /// Workers without an open request.
    std::set<std::pair<TimePoint, WorkerId>> m_due;
    std::set<WorkerId> m_beforeStore;
};

} // namespace sapphiredale::jobs
