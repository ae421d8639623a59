// Table of the metrics.

#include "observability/MetricName.h"

namespace sapphiredale::observability {

namespace {

    using enum MetricName;
    using enum MetricType;

    constexpr std::array<MetricEntry, metricCount> entries { {
        { RefusalsTotal, Counter, "sapphire_refusals_total", { "error" }, "Refusals, by error kind." },
        { RefusalReasonsTotal, Counter, "sapphire_refusal_reasons_total", { "component", "reason" },
            "Refusals and rejections, by component and reason." },
        { RetriesTotal, Counter, "sapphire_retries_total", { "reason" }, "Retries of requests, by reason." },
        { RetryBudgetExhaustedTotal, Counter, "sapphire_retry_budget_exhausted_total", { "service" },
            "Retries that the retry budget did not allow, by service." },
        { DecisionSeconds, Histogram, "sapphire_decision_seconds", {}, "Time of one scheduling step." },
        { Tasks, Gauge, "sapphire_tasks", { "state" }, "Tasks of the domain, by state." },
        { IsScheduler, Gauge, "sapphire_is_scheduler", {}, "1 while this daemon is the domain scheduler." },
        { SchedulerEpoch, Gauge, "sapphire_scheduler_epoch", {}, "Epoch of the domain lease." },
        { ControlBytesTotal, Counter, "sapphire_control_bytes_total", { "kind", "direction" },
            "Bytes of control traffic, by kind and direction (sent, received)." },
        { PeerMessagesTotal, Counter, "sapphire_peer_messages_total", { "kind", "direction" },
            "Messages between daemons, by kind and direction." },
        { LogAppendsTotal, Counter, "sapphire_log_appends_total", { "stream", "outcome" },
            "Appends to the log, by stream kind and outcome." },
        { LogAppendSeconds, Histogram, "sapphire_log_append_seconds", {}, "Time from an append to its response." },
        { LogAvailable, Gauge, "sapphire_log_available", {}, "1 while the log responds." },
        { ConfigurationVersion, Gauge, "sapphire_configuration_version", {}, "Active version of the configuration." },
        { ConfigurationApplicationsTotal, Counter, "sapphire_configuration_applications_total", { "outcome" },
            "Applied files, by outcome." },
        { Peers, Gauge, "sapphire_peers", { "state" }, "Other daemons, by state." },
        { JobsTotal, Counter, "sapphire_jobs_total", { "outcome" }, "Jobs, by outcome." },
        { RequestsTotal, Counter, "sapphire_requests_total", { "service", "outcome" },
            "Requests of callers, by service and outcome." },
        { RequestSeconds, Histogram, "sapphire_request_seconds", { "service" },
            "Time from the request to the end of its response, by service." },
        { RequestsInFlight, Gauge, "sapphire_requests_in_flight", { "service" }, "Requests in flight, by service." },
        { RequestsQueued, Gauge, "sapphire_requests_queued", { "service" },
            "Requests that wait for a slot, by service." },
        { Slots, Gauge, "sapphire_slots", { "service", "state" },
            "Slots of the leased minions, by service and state (free, busy)." },
        { ClaimsTotal, Counter, "sapphire_claims_total", { "verdict" }, "Claims of idempotency keys, by verdict." },
        { CallerConnections, Gauge, "sapphire_caller_connections", {}, "Open connections of callers." },
        { ConnectionBytes, Gauge, "sapphire_connection_bytes", {}, "Memory that connections hold together." },
        { ConnectionEndsTotal, Counter, "sapphire_connection_ends_total", { "reason" },
            "Connections closed and requests refused because of a limit on connections, by reason." },
        { LogLinesSuppressedTotal, Counter, "sapphire_log_lines_suppressed_total", {},
            "Log lines held back by the rate limit." },
    } };

    constexpr bool isComplete()
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (static_cast<std::size_t>(entries[i].m_metric) != i || entries[i].m_name.empty())
                return false;
        }
        return true;
    }

    static_assert(isComplete(), "the table lists every metric once, in the order of the enumeration");

} // namespace

const MetricEntry& entryOf(MetricName metric) { return entries[static_cast<std::size_t>(metric)]; }

std::string_view nameOf(MetricType type)
{
    switch (type) {
    case Counter:
        return "counter";
    case Gauge:
        return "gauge";
    case Histogram:
        return "histogram";
    }
    return "untyped";
}

} // namespace sapphiredale::observability
