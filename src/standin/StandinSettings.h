// Settings of the stand-in program; examples/standin.jsonc shows them all.
#pragma once

#include "model/Identifier.h"
#include "model/Resources.h"
#include "model/Result.h"
#include "model/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::standin {

/// Retention and rate limit of the log. Every limit of zero is off.
struct LogSettings {
    /// Records older than this are dropped.
    Duration m_retention = std::chrono::hours(1);
    /// Records of a stream beyond this number are dropped, oldest first.
    std::uint64_t m_retainedRecords = 0;
    /// Appends per second over all streams; further ones get 429.
    std::uint32_t m_appendsPerSecond = 400;
};

/// A group of workers with consecutive names: prefix followed by a number of two digits or more, from 1.
struct WorkerGroup {
    std::string m_prefix;
    std::uint32_t m_count = 0;
    /// Racks are named after the prefix, "<prefix>rack-1" and so on.
    std::uint32_t m_perRack = 8;
    FailureDomainId m_failureDomain;
    Resources m_capacity;
};

/// Behaviour of tasks for which the program text says nothing else.
struct TaskSettings {
    /// Time from the command to the state "running".
    Duration m_startDelay = std::chrono::milliseconds(20);
    /// Time after which a change of use shows in the report.
    Duration m_usageLag = std::chrono::seconds(5);
    /// Use is the declared size times a factor drawn from this range.
    double m_minUsageFactor = 0.5;
    double m_maxUsageFactor = 1.5;
    Duration m_checkpointTime = std::chrono::milliseconds(200);
};

/// An entry of the host list that is no worker, for example an entry host.
struct ExtraHost {
    std::string m_name;
    FailureDomainId m_failureDomain;
};

/// Settings of the whole stand-in. A port of zero takes any free port.
struct StandinSettings {
    /// Loopback address of all listeners.
    std::string m_address = "127.0.0.1";
    std::uint16_t m_logPort = 0;
    std::uint16_t m_hostsPort = 0;
    std::uint16_t m_workersPort = 0;
    std::uint16_t m_controlPort = 0;
    std::uint32_t m_threads = 2;
    /// Seed of every random choice: usage factors, failures, incarnations.
    std::uint64_t m_seed = 1;
    /// Delay until a change of a host shows in the host list.
    Duration m_hostListLag = std::chrono::seconds(2);
    LogSettings m_log;
    TaskSettings m_tasks;
    std::vector<WorkerGroup> m_workers;
    std::vector<ExtraHost> m_hosts;
    /// Executions that GET /v1/control/executions retains, oldest dropped first.
    std::uint32_t m_retainedExecutions = 200000;
};

/// Reads settings from JSON with comments; the detail of an error names the member.
Result<StandinSettings> parseStandinSettings(std::string_view text);

} // namespace sapphiredale::standin
