// The rules of the history check.

#include "load/HistoryChecker.h"

#include <algorithm>
#include <boost/json.hpp>
#include <exception>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace sapphiredale::load {

namespace json = boost::json;

namespace {

    constexpr std::string_view notRun = "not-run";

    bool isAnsweredRequest(const HistoryEntry& entry)
    {
        return entry.m_kind == OperationKind::Request && entry.m_outcome == OperationOutcome::Answered;
    }

    /// The attempt cannot have led to an execution, according to what its sender was told.
    bool saysNotRun(const HistoryEntry& entry)
    {
        return entry.m_outcome == OperationOutcome::Unsent
            || (entry.m_outcome == OperationOutcome::Refused && entry.m_runState == notRun);
    }

    /// Applies a function to each member of a list in a JSON document.
    template <typename T, typename Function>
    Result<std::vector<T>> parseList(std::string_view text, std::string_view name, Function convert)
    {
        try {
            const json::value document = json::parse({ text.data(), text.size() });
            std::vector<T> result;
            for (const json::value& member : document.as_object().at(name).as_array())
                result.push_back(convert(member.as_object()));
            return result;
        } catch (const std::exception& error) {
            return Error { ErrorKind::InvalidRequest, std::string(name) + ": " + error.what() };
        }
    }

    std::string member(const json::object& object, std::string_view name)
    {
        return json::value_to<std::string>(object.at(name));
    }

} // namespace

Result<std::vector<ObservedExecution>> parseExecutions(std::string_view text)
{
    return parseList<ObservedExecution>(text, "executions", [](const json::object& object) {
        return ObservedExecution { object.at("seq").to_number<std::uint64_t>(), member(object, "request"),
            member(object, "idempotencyKey"), member(object, "minion") };
    });
}

Result<std::vector<PlatformViolation>> parseViolations(std::string_view text)
{
    return parseList<PlatformViolation>(text, "violations", [](const json::object& object) {
        return PlatformViolation { member(object, "kind"), member(object, "detail") };
    });
}

Result<std::vector<HistoryEntry>> readHistory(std::istream& stream)
{
    std::vector<HistoryEntry> history;
    std::string line;
    while (std::getline(stream, line)) {
        Result<HistoryEntry> entry = parseLine(line, history.size() + 1);
        if (!succeeded(entry))
            return errorOf(entry);
        history.push_back(valueOf(std::move(entry)));
    }
    return history;
}

HistoryChecker::HistoryChecker(const std::vector<HistoryEntry>& history,
    const std::vector<ObservedExecution>& executions, const std::vector<PlatformViolation>& violations)
    : m_history(history)
    , m_executions(executions)
    , m_violations(violations)
{
}

std::vector<Finding> HistoryChecker::check()
{
    m_findings.clear();
    checkCompleteness();
    checkAnswers();
    checkKeys();
    checkRefusals();
    checkVersionOrder();
    checkVersionContents();
    for (const PlatformViolation& violation : m_violations)
        report("platform-violation", violation.m_kind + ": " + violation.m_detail, {});
    return std::exchange(m_findings, {});
}

void HistoryChecker::report(std::string rule, std::string detail, std::vector<std::size_t> lines)
{
    m_findings.push_back({ std::move(rule), std::move(detail), std::move(lines) });
}

std::vector<std::size_t> HistoryChecker::linesOfKey(const std::string& key) const
{
    std::vector<std::size_t> lines;
    for (const HistoryEntry& entry : m_history) {
        if (entry.m_key == key)
            lines.push_back(entry.m_line);
    }
    return lines;
}

void HistoryChecker::checkCompleteness()
{
    // A cell that answers nothing breaks none of the other rules.
    if (std::none_of(m_history.begin(), m_history.end(), isAnsweredRequest))
        report("incomplete-history", "no request was answered", {});
    // The stand-in retains a bounded number of executions; a missing one could hide a second execution.
    std::uint64_t expected = 1;
    for (const ObservedExecution& execution : m_executions) {
        if (execution.m_sequence != expected) {
            report("incomplete-history", "execution " + std::to_string(expected) + " is not in the list", {});
            return;
        }
        ++expected;
    }
}

void HistoryChecker::checkAnswers()
{
    std::unordered_set<std::string> executedRequests;
    std::unordered_set<std::string> executedKeys;
    for (const ObservedExecution& execution : m_executions) {
        executedRequests.insert(execution.m_request);
        if (!execution.m_key.empty())
            executedKeys.insert(execution.m_key);
    }
    std::unordered_map<std::string, const HistoryEntry*> answered;
    for (const HistoryEntry& entry : m_history) {
        if (!isAnsweredRequest(entry))
            continue;
        if (entry.m_body != entry.m_expectedBody)
            report("foreign-answer",
                entry.m_operation + " expected the body " + entry.m_expectedBody + " and got " + entry.m_body,
                { entry.m_line });
        const bool executed
            = entry.m_replayed ? executedKeys.contains(entry.m_key) : executedRequests.contains(entry.m_requestId);
        if (!executed)
            report("answer-without-execution", entry.m_operation + " was answered as request " + entry.m_requestId,
                { entry.m_line });
        const auto [other, isNew] = answered.emplace(entry.m_requestId, &entry);
        if (!isNew)
            report("answer-reused", "request identifier " + entry.m_requestId + " is in two answers",
                { other->second->m_line, entry.m_line });
    }
}

void HistoryChecker::checkKeys()
{
    std::map<std::string, std::vector<const ObservedExecution*>> byKey;
    for (const ObservedExecution& execution : m_executions) {
        if (!execution.m_key.empty())
            byKey[execution.m_key].push_back(&execution);
    }
    for (const auto& [key, executions] : byKey) {
        if (executions.size() < 2)
            continue;
        std::string detail = "key " + key + " was executed as";
        for (const ObservedExecution* execution : executions)
            detail += ' ' + execution->m_request + " on " + execution->m_minion;
        report("executed-twice", detail, linesOfKey(key));
    }
}

void HistoryChecker::checkRefusals()
{
    std::unordered_set<std::string> executedRequests;
    std::unordered_set<std::string> executedKeys;
    for (const ObservedExecution& execution : m_executions) {
        executedRequests.insert(execution.m_request);
        executedKeys.insert(execution.m_key);
    }
    // An attempt speaks only for itself; a key did not run when every one of its attempts says so.
    std::map<std::string, bool> keyNotRun;
    for (const HistoryEntry& entry : m_history) {
        if (entry.m_kind != OperationKind::Request)
            continue;
        if (!entry.m_key.empty()) {
            bool& allNotRun = keyNotRun.emplace(entry.m_key, true).first->second;
            allNotRun = allNotRun && saysNotRun(entry);
        }
        if (saysNotRun(entry) && !entry.m_requestId.empty() && executedRequests.contains(entry.m_requestId))
            report("run-after-refusal",
                entry.m_operation + " was refused as not run and executed as " + entry.m_requestId, { entry.m_line });
    }
    for (const auto& [key, allNotRun] : keyNotRun) {
        if (allNotRun && executedKeys.contains(key))
            report("run-after-refusal", "every attempt of key " + key + " says not run, but it was executed",
                linesOfKey(key));
    }
}

void HistoryChecker::checkVersionOrder()
{
    std::vector<const HistoryEntry*> byInvocation;
    for (const HistoryEntry& entry : m_history) {
        if (entry.m_kind == OperationKind::Read && entry.m_outcome == OperationOutcome::Answered && entry.m_confirmed)
            byInvocation.push_back(&entry);
    }
    std::vector<const HistoryEntry*> byCompletion = byInvocation;
    std::stable_sort(byInvocation.begin(), byInvocation.end(),
        [](const HistoryEntry* a, const HistoryEntry* b) { return a->m_invokedUs < b->m_invokedUs; });
    std::stable_sort(byCompletion.begin(), byCompletion.end(),
        [](const HistoryEntry* a, const HistoryEntry* b) { return a->m_completedUs < b->m_completedUs; });
    // A read must show at least the greatest version of all confirmed reads, of any reader, that ended before it began.
    std::size_t completed = 0;
    const HistoryEntry* newest = nullptr;
    for (const HistoryEntry* read : byInvocation) {
        for (; completed < byCompletion.size() && byCompletion[completed]->m_completedUs <= read->m_invokedUs;
             ++completed) {
            if (!newest || byCompletion[completed]->m_version > newest->m_version)
                newest = byCompletion[completed];
        }
        if (newest && read->m_version < newest->m_version)
            report("version-went-back",
                read->m_party + " read version " + std::to_string(read->m_version) + " from " + read->m_address
                    + " after " + newest->m_party + " had read version " + std::to_string(newest->m_version) + " from "
                    + newest->m_address,
                { newest->m_line, read->m_line });
    }
}

void HistoryChecker::checkVersionContents()
{
    std::map<std::uint64_t, const HistoryEntry*> first;
    for (const HistoryEntry& entry : m_history) {
        if (entry.m_kind != OperationKind::Read || entry.m_outcome != OperationOutcome::Answered)
            continue;
        const auto [known, isNew] = first.emplace(entry.m_version, &entry);
        if (!isNew && known->second->m_hash != entry.m_hash)
            report("version-disagreement",
                "version " + std::to_string(entry.m_version) + " has the contents " + known->second->m_hash + " and "
                    + entry.m_hash,
                { known->second->m_line, entry.m_line });
    }
}

} // namespace sapphiredale::load
