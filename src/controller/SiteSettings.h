// Settings of a daemon that runs on the users' platform: JSON with comments, verified as a whole.
#pragma once

#include "daemon/Settings.h"
#include "model/Time.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphiredale::controller {

/// See docs/platform.md for the members of the file.
struct SiteSettings {
    DaemonId m_daemon;
    FailureDomainId m_failureDomain;
    /// "address:port" each.
    std::string m_callers;
    std::string m_readiness;
    std::string m_inner;
    std::string m_operators;
    std::string m_store;
    /// Empty where no queue has an adviser.
    std::string m_adviser;
    /// What this host can bear; a host that bears little schedules only when no other one does.
    std::uint32_t m_coreMillis = 1000;
    std::uint32_t m_linkMbps = 1000;
    /// Longest lease that a worker grants.
    Duration m_longestLease = std::chrono::seconds(10);
    /// Time from the request to stop until the process is ended.
    Duration m_grace = std::chrono::seconds(6);
    daemon::LogSettings m_log;

    friend bool operator==(const SiteSettings&, const SiteSettings&) = default;
};

using SiteSettingsResult = std::variant<SiteSettings, std::vector<daemon::SettingsFault>>;

/// Reports all faults together: missing, unknown and repeated members, wrong types and ranges.
SiteSettingsResult parseSiteSettings(std::string_view text);

} // namespace sapphiredale::controller
