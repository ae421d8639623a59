// The cases of the third review.
#pragma once

#include <string>

namespace review {

struct CaseInput {
    /// For settings files and logs.
    std::string m_folder;
    std::string m_record;
    bool m_hasTrouble = true;
};

/// A job with one occurrence that is due later.
int playOneOccurrence(const CaseInput&);
/// One of the minions that may run a gang crashes and is back under its id.
int playGangAfterRestart(const CaseInput&);

} // namespace review
