// A small deployment on loopback: the store, minions, and daemons of the project as separate processes.
#pragma once

#include "Minion.h"

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

inline constexpr const char* host = "review.example";
inline constexpr const char* service = "planner";

/// The daemon of one host, started with the command of the deploy file.
class Daemon {
public:
    Daemon(
        std::string name, std::string zone, std::string ip, std::string store, std::string adviser, std::string folder);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void start();
    void signal(int number) const;
    /// SIGKILL, and waits for the end.
    void kill();
    /// Whether the process has ended; its status is not collected twice.
    bool hasEnded();
    bool isReady() const;
    const std::string& callers() const { return m_callers; }
    const std::string& name() const { return m_name; }
    std::string logPath() const { return m_folder + '/' + m_name + ".log"; }

private:
    const std::string m_name;
    const std::string m_zone;
    const std::string m_ip;
    const std::string m_store;
    const std::string m_adviser;
    const std::string m_folder;
    std::string m_callers;
    std::string m_readiness;
    std::string m_inner;
    std::string m_operators;
    pid_t m_pid = -1;
};

struct CellSettings {
    int m_daemons = 3;
    int m_minions = 6;
    std::int64_t m_cpu = 16000;
    int m_maxAttempts = 3;
    /// Minions that the policy of the queue "advised" allows; none if there is no adviser.
    std::set<std::string> m_allowed {};
};

class Cell {
public:
    /// `folder` receives settings files and logs.
    Cell(const CellSettings&, const std::string& folder, const std::string& recordPath);
    ~Cell();
    Cell(const Cell&) = delete;
    Cell& operator=(const Cell&) = delete;

    /// Starts everything; false if no daemon accepts work within 20 s.
    bool start();
    Daemon& daemon(std::size_t i) { return *m_daemons[i]; }
    std::size_t daemons() const { return m_daemons.size(); }
    Minion& minion(std::size_t i) { return *m_minions[i]; }
    Minion* minionOf(const std::string& id);
    Store& store() { return m_store; }
    Runs& runs() { return m_runs; }
    Record& record() { return m_record; }
    /// Sends a request of a client and records it with its answer.
    Response request(std::size_t daemon, const std::string& method, const std::string& path, const std::string& body);
    /// Sends a request until it is answered with 2xx, at one daemon after the other.
    bool submit(const std::string& job, const std::string& body, const std::string& queue = "quick");
    /// State of the job, as the first daemon tells that answers with 200; the status of the answer else.
    std::string state(const std::string& job, const std::string& queue = "quick");
    /// Index of the daemon that holds the term; -1 if there is none.
    int holder();

private:
    Response advise(const Request&);

    const CellSettings m_settings;
    std::mutex m_adviserMutex;
    std::unique_ptr<Server> m_adviser;
    Store m_store;
    Runs m_runs;
    Record m_record;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

/// A job ID with this number.
std::string jobId(unsigned number);

} // namespace review
