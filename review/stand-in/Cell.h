// A small deployment on loopback: the store, minions, an adviser, and the project's daemons as separate processes.
#pragma once

#include "Minions.h"

#include <sys/types.h>

namespace review {

/// A queue of the configuration.
struct Queue {
    std::string m_name;
    int m_priority = 0;
    int m_maxAttempts = 4;
    double m_slack = 1.5;
    int m_latencyMs = 250;

    std::string path(const std::string& job) const { return '/' + m_name + '/' + job; }
};

struct CellSettings {
    int m_daemons = 4;
    std::vector<MinionSettings> m_minions;
    std::vector<Queue> m_queues;
    StoreSettings m_store;
};

/// Minions of the kinds a, a, b in racks of 8, spread over three zones, as on ibr-central.
std::vector<MinionSettings> minions(int count);

inline constexpr const char* hostName = "nony24.example";
inline constexpr const char* serviceName = "returns-desk";

class Cell {
public:
    explicit Cell(const CellSettings&);
    ~Cell();
    Cell(const Cell&) = delete;
    Cell& operator=(const Cell&) = delete;

    /// Starts the daemons, and waits until they are ready and one of them schedules.
    bool start();

    Store& store() { return m_store; }
    Watch& watch() { return m_watch; }
    std::vector<std::unique_ptr<Minion>>& minions() { return m_minions; }
    int daemons() const { return static_cast<int>(m_daemons.size()); }
    /// Cuts a daemon from the store, or heals the cut: its calls get no answer.
    void setCut(int daemon, bool isCut);
    /// Whether the process of every daemon still runs.
    bool areDaemonsRunning();

    /// A client's request to a daemon; recorded.
    Response ask(int daemon, const std::string& method, const std::string& path, const std::string& body = {},
        double timeout = 3.0);
    /// Hands a job in: tries other daemons after no answer, 502 or 504, and after 429 or 503 later again, as the
    /// clients of the site do (4 retries). Returns the last status.
    int submit(int daemon, const Queue&, const std::string& job, const std::string& body);
    /// The state that a daemon shows; empty when there is no answer with a state, "410" when the job is said not to
    /// exist.
    std::string state(int daemon, const Queue&, const std::string& job);
    /// Share of the minions' processor time that runs use, if each run uses `cpu`.
    double use(std::int64_t cpu) const;

private:
    struct Daemon {
        pid_t m_process = -1;
        std::string m_callers;
        std::string m_readiness;
        std::unique_ptr<Server> m_store;
    };

    void startDaemon(int number);

    const CellSettings m_settings;
    std::string m_folder;
    Store m_store;
    Watch m_watch;
    std::unique_ptr<Server> m_adviser;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<Daemon> m_daemons;
};

/// A new job id: 16 hexadecimal digits.
std::string newJobId();
/// A job of one step. `extra` holds further members of the step, for example R"(,"long_running":true)".
std::string oneStep(const std::string& spec, int count, int cpu, int memMb, int estimateMs, const std::string& extra);

/// Outcome of a play, and exit status of a case.
enum Outcome : int { Held = 0, Broken = 1, NotPlayed = 2 };

/// Main function of a case: `record` is the first argument; the disruption is left out with TROUBLE=0 in the
/// environment. A play that takes longer than 118 s counts as not played.
int play(int argc, char** argv, const std::function<Outcome(bool hasTrouble)>&);

} // namespace review
