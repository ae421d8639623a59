// Settings of one daemon: read from a JSON file with comments, verified as a whole before anything is started.
#pragma once

#include "model/Identifier.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphiredale::daemon {

/// A network address of this daemon or of a service that it uses.
struct Endpoint {
    std::string m_address;
    std::uint16_t m_port = 0;

    /// "address:port", with brackets around an IPv6 address.
    std::string text() const;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// Parses "address:port" with a numeric IP address; false when the text is anything else.
bool parseEndpoint(std::string_view text, Endpoint& endpoint);

/// Addresses on which this daemon listens.
struct ListenerSettings {
    /// Callers' requests and jobs (HTTP).
    Endpoint m_callers;
    /// Administration API, health and metrics (HTTP).
    Endpoint m_operators;
    /// Messages from other daemons (nng).
    Endpoint m_peers;
    /// Requests that other daemons forward to minions leased by this daemon (HTTP).
    Endpoint m_relay;

    friend bool operator==(const ListenerSettings&, const ListenerSettings&) = default;
};

/// The platform's services.
struct PlatformSettings {
    Endpoint m_log;
    Endpoint m_hostList;
    /// Stream of the operators' files.
    std::string m_configurationStream = "configuration";
    /// Time for which the log keeps a record.
    std::uint32_t m_retentionSeconds = 86400;

    friend bool operator==(const PlatformSettings&, const PlatformSettings&) = default;
};

/// Lengths of leases and their long polls; docs/design.md section 2.10 derives the defaults.
struct LeaseSettings {
    std::uint32_t m_workerTtlMs = 20000;
    std::uint32_t m_workerWaitMs = 7000;
    std::uint32_t m_minionTtlMs = 8000;
    std::uint32_t m_minionWaitMs = 3000;
    /// Allowance for the difference of clock rates and the time to send a command.
    std::uint32_t m_marginMs = 1000;

    friend bool operator==(const LeaseSettings&, const LeaseSettings&) = default;
};

/// Bounds on what callers may ask for.
struct LimitSettings {
    std::uint64_t m_maxBodyBytes = 64ULL << 20;
    std::uint32_t m_maxHeaderBytes = 16384;
    std::uint32_t m_headerTimeoutMs = 10000;
    /// From the first byte to the last of a request that the daemon handles itself.
    std::uint32_t m_requestTimeoutMs = 30000;
    /// Memory of the host in MB, from which the limits on what all connections hold together follow.
    std::uint32_t m_memoryMb = 120;
    std::uint32_t m_defaultRequestDeadlineMs = 30000;
    std::uint32_t m_maxRequestDeadlineMs = 600000;
    std::uint32_t m_maxQueuedRequestsPerTeam = 1000;
    std::uint32_t m_maxTasksPerJob = 10000;
    /// Time that a planned stop waits for requests in flight.
    std::uint32_t m_drainMs = 30000;

    friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

/// Output of log events.
struct LogSettings {
    /// One of "debug", "info", "warning", "error".
    std::string m_level = "info";
    /// Path of the log file; empty writes to standard error.
    std::string m_file;

    friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

/// Another daemon that this daemon contacts at its start.
struct PeerSettings {
    DaemonId m_daemon;
    FailureDomainId m_failureDomain;
    /// Its peer listener.
    Endpoint m_address;

    friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

/// All settings of a daemon.
struct Settings {
    DaemonId m_daemon;
    FailureDomainId m_failureDomain;
    RegionId m_region;
    ListenerSettings m_listeners;
    /// Other daemons; at least one must be reachable for this daemon to join the others. Further ones introduce
    /// themselves.
    std::vector<PeerSettings> m_peers;
    PlatformSettings m_platform;
    LeaseSettings m_leases;
    LimitSettings m_limits;
    LogSettings m_log;
    std::uint32_t m_threads = 2;

    friend bool operator==(const Settings&, const Settings&) = default;
};

/// One fault of a settings file.
struct SettingsFault {
    /// Path in the file, for example "/listeners/callers".
    std::string m_path;
    std::string m_problem;

    friend bool operator==(const SettingsFault&, const SettingsFault&) = default;
};

using SettingsResult = std::variant<Settings, std::vector<SettingsFault>>;

/// Reads settings from JSON text; comments and trailing commas are allowed, unknown members are refused. All faults are
/// reported together.
SettingsResult parseSettings(std::string_view text);

/// One message that lists all faults, a line each.
std::string describe(const std::vector<SettingsFault>&);

} // namespace sapphiredale::daemon
