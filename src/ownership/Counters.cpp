// Labels of the counters.

#include "ownership/Counters.h"

namespace sapphiredale::ownership {

namespace {

    constexpr std::array<std::string_view, countedReasonCount> names {
        "lease-granted",
        "lease-rejected-held",
        "lease-rejected-epoch",
        "lease-timeout",
        "late-lease-answer",
        "campaign-started",
        "campaign-split",
        "majority-won",
        "majority-lost",
        "report-out-of-order",
        "worker-restarted",
        "worker-end-proven",
        "command-timeout",
        "command-stale-epoch",
        "command-other-incarnation",
        "command-refused",
        "late-command-answer",
        "append-failed",
        "append-unknown",
        "record-repeated",
        "submission-not-scheduler",
        "submission-log-unavailable",
        "submission-outcome-unknown",
        "submission-refused",
        "submission-repeated",
        "duplicate-task-stopped",
        "undeclared-task-stopped",
        "task-held-for-unaccounted-worker",
        "task-held-for-home",
        "home-taken-over",
        "lapse-stop-assumed",
    };

    static_assert(!names.back().empty(), "every counted reason has a label");

} // namespace

std::string_view nameOf(CountedReason reason) { return names[static_cast<std::size_t>(reason)]; }

} // namespace sapphiredale::ownership
