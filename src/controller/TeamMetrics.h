// The metrics of teams in the Prometheus text format.
#pragma once

#include "jobs/TeamLimits.h"

#include <string>
#include <vector>

namespace sapphiredale::controller {

/// A label value in quotes; the format escapes backslashes, quotes and line feeds.
std::string quotedLabel(const std::string&);

/// One series a team for its waiting tasks, and one a team and resource for its use and its limit. The teams are those
/// of the configuration, which bounds the number of series.
std::string teamMetricsText(const std::vector<jobs::TeamUse>&);

} // namespace sapphiredale::controller
