// Decides which completed jobs a scheduler may report as done before the store has recorded it.
//
// While the store is unavailable nothing can be recorded for seconds, and every job that completes meanwhile would
// reach its caller late. Workers keep completions until they are acknowledged, but a worker may be lost together with
// the scheduler, and a successor would then run the tasks again. A completion is therefore published once a majority of
// the daemons has noted it and also finds the store unavailable: a successor needs the store, and learns of the note
// from one of these daemons.
#pragma once

#include "model/Identifier.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphiredale::jobs {

/// Counts the daemons that have noted each completion. Free of I/O.
class CompletionQuorum {
public:
    /// Completions that the daemon has not confirmed, at most `most` of them.
    std::vector<JobId> unconfirmed(
        const std::string& daemon, const std::set<JobId>& unstoredEnds, std::size_t most) const;
    /// Records that the daemon has noted the completions and finds the store unavailable. Returns those that a majority
    /// of `daemons` has noted by now, counting this daemon.
    std::vector<JobId> confirmed(const std::string& daemon, const std::vector<JobId>&, std::size_t daemons);
    /// Drops the completions that are not in the set.
    void keep(const std::set<JobId>& unstoredEnds);

private:
    /// Daemons that have confirmed each completion, not counting this one.
    std::map<JobId, std::set<std::string>> m_confirmations;
};

} // namespace sapphiredale::jobs
