// A bounded load on a cell: callers that send requests, a submitter of jobs and readers of the configuration. Each
// party is a thread with its own connections, and records its operations.
#pragma once

#include "load/HistoryEntry.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <ostream>
#include <string>
#include <vector>

namespace sapphiredale::load {

struct LoadSettings {
    std::vector<std::string> m_callerAddresses;
    std::vector<std::string> m_operatorAddresses;
    std::string m_service;
    std::string m_team;
    /// Workload of the submitted jobs; empty for none.
    std::string m_jobWorkload;
    std::uint32_t m_callers = 4;
    std::uint32_t m_readers = 2;
    /// Operations of all callers together; the run ends with the last one or with the time.
    std::uint64_t m_requests = 10000;
    std::chrono::milliseconds m_time { 10000 };
    /// Pause of a caller between two operations.
    std::chrono::milliseconds m_pause { 5 };
    std::chrono::milliseconds m_jobPause { 500 };
    std::chrono::milliseconds m_readPause { 100 };
    /// Service time that the minion is asked for.
    std::chrono::milliseconds m_serviceTime { 5 };
    /// Time after which a response counts as lost.
    std::chrono::milliseconds m_timeout { 5000 };
    /// Sapphire-Deadline of non-repeatable requests, from their first attempt.
    std::chrono::milliseconds m_deadline { 10000 };
    /// Share of operations that are non-repeatable, 0 to 1.
    double m_nonRepeatable = 0.2;
    std::uint64_t m_seed = 1;
};

/// Records entries of several threads: one line each in the file, and all of them in memory.
class HistoryRecorder {
public:
    explicit HistoryRecorder(std::ostream&);

    void record(HistoryEntry);
    /// All entries in the order of their completion. Call it after the threads have ended.
    const std::vector<HistoryEntry>& entries() const { return m_entries; }

private:
    std::mutex m_mutex;
    std::ostream& m_stream;
    std::vector<HistoryEntry> m_entries;
};

class LoadRun {
public:
    LoadRun(LoadSettings, HistoryRecorder&);

    /// Runs the load to its end; called once.
    void run();

private:
    class Party;
    class Caller;
    class Submitter;
    class Reader;

    bool isOver() const;

    LoadSettings m_settings;
    HistoryRecorder& m_recorder;
    std::chrono::steady_clock::time_point m_end;
    /// Callers have ended; submitters and readers end with them.
    std::atomic<bool> m_callersEnded { false };
    std::atomic<std::uint64_t> m_started { 0 };
};

/// Requests per second, latency percentiles, and counts per status and per problem type, as text.
std::string summarize(const std::vector<HistoryEntry>&);

} // namespace sapphiredale::load
