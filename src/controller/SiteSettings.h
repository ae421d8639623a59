// Settings of a daemon that runs on the users' platform: JSON with comments, validated as a whole.
#pragma once

#include "daemon/Settings.h"
#include "model/Time.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphiredale::controller {

/// Settings of one daemon; docs/platform.md describes the members of the file.
struct SiteSettings {
    DaemonId m_daemon;
    FailureDomainId m_failureDomain;
    /// Addresses of the listeners and of the store, each as "address:port".
    std::string m_callers;
    std::string m_readiness;
    std::string m_inner;
    std::string m_operators;
    std::string m_store;
    /// Empty if no queue has an adviser.
    std::string m_adviser;
    /// Capacity of this host; a daemon on a small host schedules only when no other one does.
    std::uint32_t m_coreMillis = 1000;
    std::uint32_t m_linkMbps = 1000;
    /// Memory of this host in MB; a part of it is the limit of what all connections hold together. The default is the
    /// smallest host of the platform.
    std::uint32_t m_memoryMb = 120;
    /// Maximum length of a record of the store, with its key, in bytes.
    std::uint32_t m_recordBytes = 262144;
    /// Longest lease that a worker grants.
    Duration m_longestLease = std::chrono::seconds(10);
    /// Time after the drain notice of a worker by which no task starts there any more.
    Duration m_drainNotice = std::chrono::seconds(2);
    /// Time from the stop signal until the process is killed.
    Duration m_grace = std::chrono::seconds(6);
    /// Factor by which tasks take longer away from their data rack or from each other; 1 if that makes no difference.
    double m_remoteFactor = 1.0;
    /// Whether tasks may wait for a place where they are faster.
    bool m_waitsForLocality = true;
    daemon::LogSettings m_log;

    friend bool operator==(const SiteSettings&, const SiteSettings&) = default;
};

using SiteSettingsResult = std::variant<SiteSettings, std::vector<daemon::SettingsFault>>;

/// Parses the settings and reports all faults together: missing, unknown and repeated members, wrong types and values
/// out of range.
SiteSettingsResult parseSiteSettings(std::string_view text);

} // namespace sapphiredale::controller
