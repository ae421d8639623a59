// The closed list of metrics. docs/METRICS.md describes each of them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sapphiredale::observability {

enum class MetricType : std::uint8_t { Counter, Gauge, Histogram };

/// Name of the type in the Prometheus text.
std::string_view nameOf(MetricType);

/// Every metric; the table in MetricName.cpp has the same order.
enum class MetricName : std::uint8_t {
    RefusalsTotal,
    RefusalReasonsTotal,
    RetriesTotal,
    RetryBudgetExhaustedTotal,
    DecisionSeconds,
    Tasks,
    IsScheduler,
    SchedulerEpoch,
    ControlBytesTotal,
    PeerMessagesTotal,
    LogAppendsTotal,
    LogAppendSeconds,
    LogAvailable,
    ConfigurationVersion,
    ConfigurationApplicationsTotal,
    Peers,
    JobsTotal,
    RequestsTotal,
    RequestSeconds,
    RequestsInFlight,
    RequestsQueued,
    Slots,
    ClaimsTotal,
    CallerConnections,
    ConnectionBytes,
    ConnectionEndsTotal,
    LogLinesSuppressedTotal,
};

inline constexpr std::size_t metricCount = static_cast<std::size_t>(MetricName::LogLinesSuppressedTotal) + 1;

/// Description of a metric.
struct MetricEntry {
    MetricName m_metric;
    MetricType m_type;
    /// Name in the Prometheus text; its suffix tells the unit.
    std::string_view m_name;
    /// Names of the labels; unused places are empty.
    std::array<std::string_view, 2> m_labels;
    std::string_view m_help;

    std::size_t labelCount() const { return m_labels[0].empty() ? 0 : m_labels[1].empty() ? 1 : 2; }
};

/// The entry of a metric; the table is complete, which is verified at compile time.
const MetricEntry& entryOf(MetricName);

} // namespace sapphiredale::observability
