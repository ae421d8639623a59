// Labels of the counters.

#include "configuration/ServiceCounters.h"

namespace sapphiredale::configuration {

namespace {

    constexpr std::array<std::string_view, serviceReasonCount> labels { "apply-accepted", "apply-undecided",
        "refused-invalid-request", "refused-precondition-required", "refused-configuration-invalid",
        "refused-version-conflict", "refused-log-unavailable", "refused-not-ready", "refused-overloaded",
        "refused-other", "retry-append-not-appended", "retry-append-unanswered", "retry-log-read",
        "retry-log-read-without-progress", "retry-peer-fetch", "retry-refresh", "refresh-appended", "read-unconfirmed",
        "peer-state-refused", "peer-hash-differs" };

    static_assert(!labels.back().empty(), "every reason has a label");

} // namespace

void ServiceCounters::countRefusal(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidRequest:
        return count(ServiceReason::RefusedInvalidRequest);
    case ErrorKind::PreconditionRequired:
        return count(ServiceReason::RefusedPreconditionRequired);
    case ErrorKind::ConfigurationInvalid:
        return count(ServiceReason::RefusedConfigurationInvalid);
    case ErrorKind::VersionConflict:
        return count(ServiceReason::RefusedVersionConflict);
    case ErrorKind::LogUnavailable:
        return count(ServiceReason::RefusedLogUnavailable);
    case ErrorKind::NotReady:
        return count(ServiceReason::RefusedNotReady);
    case ErrorKind::Overloaded:
        return count(ServiceReason::RefusedOverloaded);
    default:
        return count(ServiceReason::RefusedOther);
    }
}

std::vector<ReasonCount> ServiceCounters::list(const FoldCounters& fold) const
{
    std::vector<ReasonCount> counts;
    for (std::size_t i = 0; i < serviceReasonCount; ++i)
        counts.push_back({ labels[i], m_counts[i] });
    counts.push_back({ "record-accepted", fold.m_accepted });
    counts.push_back({ "record-refused-stale-base", fold.m_staleBase });
    counts.push_back({ "record-refused-invalid-content", fold.m_invalidContent });
    counts.push_back({ "record-refused-malformed", fold.m_malformed });
    counts.push_back({ "record-refused-newer-format", fold.m_newerFormat });
    counts.push_back({ "record-refresh", fold.m_refreshes });
    counts.push_back({ "record-refresh-stale", fold.m_staleRefreshes });
    counts.push_back({ "record-refresh-divergent", fold.m_divergentRefreshes });
    counts.push_back({ "state-adopted", fold.m_adopted });
    return counts;
}

} // namespace sapphiredale::configuration
