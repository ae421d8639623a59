// A minion: one listener, its registration in the store, and the tasks that it runs.
#pragma once

#include "Http.h"
#include "Store.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

/// What happened, in the order in which it happened; written to the record.
class Record {
public:
    explicit Record(const std::string& path);
    void write(const std::string& text);

private:
    std::mutex m_mutex;
    std::string m_path;
    std::int64_t m_startedAt = nowMs();
};

/// A run of a task on a minion.
struct RunEvent {
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_minion;
    std::int64_t m_startedAt = 0;
    /// -1 while it runs.
    std::int64_t m_endedAt = -1;
    /// How it ended; "lost" with a crash of its minion.
    std::string m_how;
    std::string m_spec;
};

/// The runs of all minions.
class Runs {
public:
    std::size_t add(RunEvent);
    void end(std::size_t number, const std::string& how);
    std::vector<RunEvent> all() const;
    std::vector<RunEvent> ofJob(const std::string& job) const;
    /// The runs of a step with this number: the members of a gang.
    std::vector<RunEvent> ofGang(const std::string& task, std::uint32_t run) const;

private:
    mutable std::mutex m_mutex;
    std::vector<RunEvent> m_runs;
};

/// What a minion is. The spec of a task says what it does: "ms=" is followed by its duration, "gang=" by the size of
/// its gang, and "advised" means that its queue has advice.
struct MinionSettings {
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_rack;
    std::string m_ip;
    std::int64_t m_cpu = 16000;
    std::int64_t m_memoryMb = 32768;
};

class Minion {
public:
    Minion(MinionSettings, Store&, Runs&, Record&);
    ~Minion();
    Minion(const Minion&) = delete;
    Minion& operator=(const Minion&) = delete;

    void start();
    /// Ends the process: its runs are over, its connections are reset and its port refuses connections.
    void crash();
    /// Begins a new life at the same address, under the same id.
    void restart();
    const std::string& id() const { return m_settings.m_id; }
    /// A ticket for the present life of the minion, valid until the time (milliseconds on the steady clock).
    std::string ticket(std::int64_t untilMs);
    /// Orders for which this returns true are carried out and not answered.
    void setLosesAnswer(std::function<bool(const Request&)>);

private:
    struct Running {
        std::uint32_t m_run = 0;
        std::size_t m_number = 0;
        std::int64_t m_startedAt = 0;
        std::int64_t m_durationMs = 0;
        bool m_fails = false;
        std::int64_t m_stopAt = -1;
        std::size_t m_gang = 0;
    };

    Response handle(const Request&);
    Response startRun(const Request&);
    Response stopRun(const Request&);
    Response hold(const Request&);
    std::string clockAnswer(const std::string& reason) const;
    std::int64_t clockMs() const { return nowMs() - m_startedAt; }
    void extend(std::int64_t untilMs);
    void beat();
    void work();
    /// How the run has ended; empty while it goes on. A gang begins to work once all its members are present.
    std::string endOf(const std::string& task, Running&) const;
    void endRun(const std::string& task, const std::string& how);

    const MinionSettings m_settings;
    Store& m_store;
    Runs& m_runs;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::unique_ptr<Server> m_server;
    std::function<bool(const Request&)> m_losesAnswer;
    bool m_isUp = false;
    bool m_isStopped = false;
    std::int64_t m_startedAt = 0;
    std::int64_t m_bornMs = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_until = 0;
    std::map<std::string, Running> m_running;
    struct End {
        std::uint64_t m_number = 0;
        std::string m_task;
        std::uint32_t m_run = 0;
        std::string m_how;
    };
    std::vector<End> m_ends;
    std::uint64_t m_lastEnd = 0;
    /// Highest run of each task that ended or was stopped here.
    std::map<std::string, std::uint32_t> m_barred;
    std::thread m_beater;
    std::thread m_worker;
};

} // namespace review
