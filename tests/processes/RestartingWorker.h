// A stand-in of a worker that begins again under its id. The calls that arrive while it is down, and the requests for
// reports that its earlier process had not answered, are carried out by its later process.
#pragma once

#include "Store.h"
#include "tests/processes/RunRecord.h"

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::processes {

/// A worker as its registry entry describes it.
struct WorkerSettings {
    std::string m_id;
    std::string m_ip;
    std::string m_service;
    std::string m_zone;
    std::string m_rack;
    std::int64_t m_cpuMillis = 32000;
    std::int64_t m_memoryMb = 131072;

    friend bool operator==(const WorkerSettings&, const WorkerSettings&) = default;
};

/// See the head of the file.
class RestartingWorker {
public:
    RestartingWorker(review::Store&, RunRecord&, const WorkerSettings&);
    RestartingWorker(const RestartingWorker&) = delete;
    RestartingWorker& operator=(const RestartingWorker&) = delete;

    const WorkerSettings& settings() const { return m_settings; }
    /// Ends the process without a sign: connections stay open and silent.
    void crash();
    /// Begins the next process, which knows nothing of the earlier one.
    void begin();
    /// Cuts the worker off from the daemons and the store, or ends that. Its runs go on.
    void setCut(bool isCut);
    /// Ends runs that are due, and writes the registry entry. Called every few milliseconds.
    void advance();

private:
    struct Run {
        std::uint64_t m_number = 0;
        double m_beganAt = 0; // seconds of review::now()
        double m_endsAt = 0;
        double m_stopsAt = 0; // 0 while no stop was received
    };
    struct End {
        std::uint64_t m_number = 0;
        std::string m_task;
        std::uint64_t m_run = 0;
        std::string m_how;
        bool m_hasLapsed = false;
    };
    /// What a call led to; none if the process ended before its answer.
    using Outcome = std::optional<review::Response>;

    std::optional<review::Response> handle(const review::Request&);
    Outcome carryOut(const std::string& path, const boost::json::object& body, std::unique_lock<std::mutex>&);
    review::Response start(const boost::json::object& body);
    review::Response stop(const boost::json::object& body);
    Outcome report(const boost::json::object& body, std::unique_lock<std::mutex>&);
    review::Response answer(unsigned status, boost::json::object body = {}) const;
    /// Raises the highest number of a call; false if the call has a lower one.
    bool admits(const boost::json::object& body);
    void extendLease(const boost::json::object& body);
    void end(const std::string& task, const std::string& how);
    /// The steady clock of the process.
    std::int64_t clockMs() const;
    void writeEntry();

    review::Store& m_store;
    RunRecord& m_record;
    const WorkerSettings m_settings;
    const int m_port;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isUp = false;
    bool m_isCut = false;
    /// Counts the processes.
    std::uint64_t m_process = 0;
    double m_beganAt = 0;
    std::int64_t m_bornMs = 0;
    std::uint64_t m_highestNumber = 0;
    std::int64_t m_leaseEndMs = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_barred;
    std::vector<End> m_ends;
    double m_nextEntryAt = 0;
    /// When the entry expires if it is not written again; 0 if there is none.
    double m_entryExpiresAt = 0;
    std::unique_ptr<review::Server> m_server;
};

} // namespace sapphiredale::processes
