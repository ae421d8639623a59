// Stand-ins of the minions, as PROTOCOL.md describes them, and the registry entries that they write.
//
// The `spec` of a job tells what its tasks do: "WORD MS" for every step, where WORD is how the task ends (done or
// failed) and MS how long it works. Tasks that last have the word "last"; they end only when they are stopped.
#pragma once

#include "Store.h"

#include <set>

namespace review {

/// What was seen of one task, on all minions.
struct TaskHistory {
    int m_starts = 0;
    int m_failed = 0;
    /// Numbers of runs that are there now.
    std::set<std::pair<std::string, std::uint64_t>> m_running;
    /// Last time at which a run was there.
    double m_lastSeen = -1;
};

/// The end `done` of a run, and starts of its task after that.
struct DoneEnd {
    std::string m_minion;
    std::uint64_t m_number = 0;
    double m_at = 0;
    /// When ack_cursor reached it; negative before. `m_hasLapsed`: the minion's lease had lapsed before that.
    double m_acknowledgedAt = -1;
    bool m_hasLapsed = false;
};

struct StartAfterDone {
    std::string m_task;
    std::string m_minion;
    std::uint64_t m_run = 0;
    double m_at = 0;
};

/// What all minions of a play have seen.
struct Watch {
    std::mutex m_mutex;
    std::map<std::string, TaskHistory> m_tasks;
    std::map<std::string, DoneEnd> m_done;
    std::vector<StartAfterDone> m_startsAfterDone;
    /// Starts of a task while another run of it was there.
    std::vector<std::string> m_twoAtOnce;

    TaskHistory task(const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        return m_tasks[name];
    }
};

struct MinionSettings {
    std::string m_ip;
    std::string m_service;
    std::string m_zone;
    std::string m_kind;
    std::string m_rack;
    std::int64_t m_cpu = 32000;
    std::int64_t m_memMb = 131072;
    double m_stop = 0.1;
    double m_maxHold = 10.0;
};

/// One minion: a life after the other.
class Minion {
public:
    Minion(Store&, Watch&, const MinionSettings&);
    ~Minion();
    Minion(const Minion&) = delete;
    Minion& operator=(const Minion&) = delete;

    /// Ends like a killed process: connections break, runs and state are gone, the registry entry expires.
    void crash();
    /// Begins a new life under a new id, at the same address.
    void restart();
    bool isUp() const { return m_isUp; }
    std::string id() const;
    const MinionSettings& settings() const { return m_settings; }
    /// Processor time that runs reserve now, in thousandths of a core, by the demand of each task in `demand`.
    std::size_t runs() const;

private:
    struct Run {
        std::uint64_t m_number = 0;
        double m_startedAt = 0;
        double m_work = 0; // seconds; negative: lasts
        std::string m_how;
        double m_stopAt = -1;
    };
    struct End {
        std::uint64_t m_number = 0;
        std::string m_task;
        std::uint64_t m_run = 0;
        std::string m_how;
    };

    std::optional<Response> handle(const Request&, std::uint64_t life);
    Response start(const Request&);
    Response stop(const Request&);
    std::optional<Response> hold(const Request&, std::uint64_t life);
    std::int64_t clockMs() const;
    void extend(std::int64_t untilMs);
    void end(const std::string& task, const std::string& how);
    void advance();
    void beat();
    void endAll();

    Store& m_store;
    Watch& m_watch;
    const MinionSettings m_settings;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isUp { false };
    std::atomic<bool> m_isOver { false };
    std::unique_ptr<Server> m_server;
    int m_port = 0;
    std::uint64_t m_life = 0;
    std::string m_id;
    std::int64_t m_born = 0;
    double m_bornAt = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_untilMs = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_barred;
    std::vector<End> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    /// Entries of earlier lives, with the time at which they expire.
    std::map<std::string, double> m_expiring;
    std::thread m_advancer;
    std::thread m_beater;
};

} // namespace review
