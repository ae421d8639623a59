// Which ends of jobs a scheduler may show before the store has them.
//
// While the store is away nothing can be stored for seconds, and every job that ends in that time would reach its
// caller late. The workers keep the ends until they are acknowledged, but a worker may be lost together with the
// scheduler, and a successor would then start the tasks again. So an end is shown once a majority of the daemons has
// noted it and sees the store away as well: a successor needs the store and hears of the note from one of them.
#pragma once

#include "model/Identifier.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphiredale::jobs {

/// Counts the daemons that have noted each end. Pure: answers and lists come from outside.
class CompletionQuorum {
public:
    /// Ends that this daemon has not confirmed, at most `most` of them.
    std::vector<JobId> unconfirmed(
        const std::string& daemon, const std::set<JobId>& unstoredEnds, std::size_t most) const;
    /// The daemon has noted the ends and sees the store away. Returns those that a majority of `daemons` has now, this
    /// daemon counted among them.
    std::vector<JobId> confirmed(const std::string& daemon, const std::vector<JobId>&, std::size_t daemons);
    /// Forgets the ends that are not in the list any more.
    void keep(const std::set<JobId>& unstoredEnds);

private:
    /// Daemons that have confirmed, without this one.
    std::map<JobId, std::set<std::string>> m_confirmations;
};

} // namespace sapphiredale::jobs
