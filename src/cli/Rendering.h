// Text for people from the JSON answers of the daemon.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::cli {

/// A table with aligned columns; the first row is the heading.
std::string table(const std::vector<std::vector<std::string>>& rows);

/// UTC time as "2026-12-04 05:23:17Z".
std::string utcTime(std::int64_t timeMs);

// Each function takes the body of an answer. A body that is not the expected JSON is returned unchanged.

std::string renderHistory(std::string_view body);
std::string renderStatus(std::string_view body);
std::string renderTasks(std::string_view body);
std::string renderWorkers(std::string_view body);
std::string renderExplanation(std::string_view body);
std::string renderOutcome(std::string_view body);

/// A problem document with its file errors and conflicting changes.
std::string renderProblem(unsigned status, std::string_view body);

/// Domains that a list does not include because they could not be reached; empty when it is complete.
std::vector<std::string> unreachableDomains(std::string_view body);

/// What an answer says about its effect, as far as the client needs it.
struct AnswerFacts {
    std::uint64_t m_version = 0;
    std::string m_recordId;
    std::string m_detail;
    /// Member "outcome" of an application.
    std::string m_outcome;
    bool m_mayHaveRun = false;
    /// Whether the body is a problem document.
    bool m_isProblem = false;
};
AnswerFacts factsOf(std::string_view body);

} // namespace sapphiredale::cli
