// Verifies the invariants of docs/design.md, section 1.2, that callers and operators can observe, on a recorded history
// and on what the stand-in says was executed.
#pragma once

#include "load/HistoryEntry.h"

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::load {

/// A request that a minion of the stand-in started.
struct ObservedExecution {
    std::uint64_t m_sequence = 0;
    std::string m_request;
    std::string m_key;
    std::string m_minion;
};

struct PlatformViolation {
    std::string m_kind;
    std::string m_detail;
};

/// A broken rule with the lines of the history that show it.
struct Finding {
    /// Stable name of the rule, in lower case with hyphens.
    std::string m_rule;
    std::string m_detail;
    std::vector<std::size_t> m_lines;
};

/// Reads the answers of GET /v1/control/executions and /v1/control/violations.
Result<std::vector<ObservedExecution>> parseExecutions(std::string_view);
Result<std::vector<PlatformViolation>> parseViolations(std::string_view);

/// Reads a history file; an unreadable line is an error.
Result<std::vector<HistoryEntry>> readHistory(std::istream&);

/// Rules: incomplete-history, foreign-answer, answer-reused, answer-without-execution, executed-twice,
/// run-after-refusal, platform-violation, version-went-back, version-disagreement.
class HistoryChecker {
public:
    HistoryChecker(
        const std::vector<HistoryEntry>&, const std::vector<ObservedExecution>&, const std::vector<PlatformViolation>&);

    /// All broken rules; empty for a correct history.
    std::vector<Finding> check();

private:
    void checkCompleteness();
    void checkAnswers();
    void checkKeys();
    void checkRefusals();
    void checkVersionOrder();
    void checkVersionContents();
    void report(std::string rule, std::string detail, std::vector<std::size_t> lines);
    std::vector<std::size_t> linesOfKey(const std::string& key) const;

    const std::vector<HistoryEntry>& m_history;
    const std::vector<ObservedExecution>& m_executions;
    const std::vector<PlatformViolation>& m_violations;
    std::vector<Finding> m_findings;
};

} // namespace sapphiredale::load
