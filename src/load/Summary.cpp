// Summary of a history.

#include "load/LoadRun.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>
#include <sstream>

namespace sapphiredale::load {

namespace {

    constexpr std::array<std::string_view, 3> kindTitles { "requests", "jobs", "reads" };

    void writeKind(const std::vector<HistoryEntry>& history, OperationKind kind, std::ostream& out)
    {
        std::vector<std::int64_t> latencies;
        std::map<std::string, std::uint64_t> counts;
        std::int64_t begin = 0;
        std::int64_t end = 0;
        std::size_t operations = 0;
        std::size_t repeatedAttempts = 0;
        std::size_t confirmed = 0;
        for (const HistoryEntry& entry : history) {
            if (entry.m_kind != kind)
                continue;
            begin = operations == 0 ? entry.m_invokedUs : std::min(begin, entry.m_invokedUs);
            end = std::max(end, entry.m_completedUs);
            ++operations;
            repeatedAttempts += entry.m_attempt > 1 ? 1 : 0;
            confirmed += entry.m_confirmed ? 1 : 0;
            if (entry.m_outcome == OperationOutcome::Answered) {
                latencies.push_back(entry.m_completedUs - entry.m_invokedUs);
                ++counts["status " + std::to_string(entry.m_status) + (entry.m_replayed ? " (replayed)" : "")];
            } else if (entry.m_outcome == OperationOutcome::Refused) {
                ++counts["status " + std::to_string(entry.m_status) + ' ' + entry.m_problem];
            } else {
                ++counts[entry.m_outcome == OperationOutcome::Lost ? "response lost" : "not connected"];
            }
        }
        if (operations == 0)
            return;
        const double seconds = static_cast<double>(std::max<std::int64_t>(end - begin, 1)) / 1e6;
        out << kindTitles[static_cast<std::size_t>(kind)] << ": " << operations << " in " << std::fixed
            << std::setprecision(1) << seconds << " s, " << static_cast<double>(operations) / seconds << "/s\n";
        std::sort(latencies.begin(), latencies.end());
        if (!latencies.empty()) {
            const auto at = [&](std::size_t perMille) {
                return static_cast<double>(latencies[(latencies.size() - 1) * perMille / 1000]) / 1000;
            };
            out << "  latency of answered in ms: p50 " << at(500) << ", p90 " << at(900) << ", p99 " << at(990)
                << ", max " << at(1000) << '\n';
        }
        if (kind == OperationKind::Request)
            out << "  sent again through another address: " << repeatedAttempts << '\n';
        if (kind == OperationKind::Read)
            out << "  confirmed by the log: " << confirmed << '\n';
        for (const auto& [name, count] : counts)
            out << "  " << name << ": " << count << '\n';
    }

} // namespace

std::string summarize(const std::vector<HistoryEntry>& history)
{
    std::ostringstream out;
    for (const OperationKind kind : { OperationKind::Request, OperationKind::Job, OperationKind::Read })
        writeKind(history, kind, out);
    return out.str();
}

} // namespace sapphiredale::load
