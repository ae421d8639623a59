// Names of the reasons.

#include "placement/Reason.h"

namespace sapphiredale::placement {

namespace {

    constexpr std::array<std::string_view, reasonCount> names { "none", "invalid-request", "unknown-workload",
        "never-fits", "quota-never-fits", "queue-full", "queued", "no-workers", "no-capacity", "quota",
        "unreclaimable-share", "rack-spread", "group-incomplete", "waiting-for-claim", "retry-backoff", "task-failed",
        "start-refused", "worker-removed", "task-absent", "stopped-unasked", "preempted", "group-member-lost",
        "throttled", "overuse-checkpoint", "overuse-stop", "cancelled", "reclaimed-share", "checkpoint-too-slow",
        "stray-stopped", "worker-quarantined", "worker-on-probation", "report-outdated", "attempts-used-up", "placed",
        "finished" };

    static_assert(!names.back().empty(), "the table names every reason");

} // namespace

std::string_view nameOf(Reason reason) { return names[static_cast<std::size_t>(reason)]; }

} // namespace sapphiredale::placement
