// Stand-in of a minion (PROTOCOL.md, "Running tasks" and "Service discovery"). The text of a job says what its tasks
// do: "ms=N" works for N milliseconds, "lasts" works until it is stopped.
#pragma once

#include "Store.h"

#include <vector>

namespace review2 {

struct WorkerSettings {
    std::string m_ip;
    std::string m_zone;
    std::string m_kind = "a";
    std::string m_rack;
    std::int64_t m_cpuMillis = 32000;
    std::int64_t m_memoryMb = 131072;
};

/// What a minion has begun or ended.
struct RunEvent {
    std::int64_t m_atMs = 0;
    std::string m_task;
    std::uint64_t m_run = 0;
    std::string m_worker;
    /// "start", the word of the end, "lost" when the minion has crashed, or "acknowledged" and the word of the end.
    std::string m_what;
};

class Worker {
public:
    static constexpr std::int64_t heartbeatMs = 1500;
    static constexpr std::int64_t maxHoldMs = 10000;
    static constexpr std::int64_t stopMs = 100;
    static constexpr const char* service = "desk";

    Worker(asio::io_context& context, Store& store, std::vector<RunEvent>& events, const WorkerSettings& settings,
        std::string id)
        : m_context(context)
        , m_store(store)
        , m_events(events)
        , m_settings(settings)
        , m_timer(context)
        , m_server(context, settings.m_ip, 0,
              [this](const Request& request, const Respond& respond) { handle(request, respond); })
    {
        begin(std::move(id));
        tick();
    }

    const std::string& id() const { return m_id; }
    bool isUp() const { return m_isUp; }
    const WorkerSettings& settings() const { return m_settings; }
    std::size_t running() const { return m_runs.size(); }
    bool runs(const std::string& task) const { return m_runs.contains(task); }

    /// Ends the process: its connections are closed, and what it ran is lost.
    void crash()
    {
        m_isUp = false;
        m_server.close();
        for (const auto& [task, run] : m_runs)
            m_events.push_back({ nowMs(), task, run.m_number, m_id, "lost" });
        m_runs.clear();
        m_barred.clear();
        m_ends.clear();
        m_waiting.clear();
    }
    /// Ends the process: its connections are closed, and calls on new ones get no answer until the next process begins.
    void crashSilently()
    {
        crash();
        m_server.open();
    }
    /// Begins the next process under the id that the minion had.
    void beginAgain() { begin(m_id); }
    /// Cuts the minion off from the daemons and the store, or ends that. Its runs go on.
    void setCut(bool isCut)
    {
        m_isCut = isCut;
        m_nextEntryAt = 0;
        if (isCut)
            m_waiting.clear();
    }
    /// While it is set, each third start gets no answer and is carried out this many milliseconds later.
    void setLate(std::int64_t delayMs) { m_lateMs = delayMs; }

    /// Begins a new incarnation under another id at the same address.
    void restart(std::string id)
    {
        m_server.open();
        begin(std::move(id));
    }

private:
    struct Run {
        std::uint64_t m_number = 0;
        std::int64_t m_beganAt = 0;
        /// 0 if the task lasts.
        std::int64_t m_workMs = 0;
        std::int64_t m_stopsAt = 0;
    };
    struct End {
        std::uint64_t m_number = 0;
        std::string m_task;
        std::uint64_t m_run = 0;
        std::string m_how;
    };
    struct Waiting {
        std::int64_t m_until = 0;
        Respond m_respond;
    };

    void begin(std::string id)
    {
        m_id = std::move(id);
        m_isUp = true;
        m_beganAt = nowMs();
        m_bornMs = wallMs();
        m_leaseEnd = 0;
        m_token = 0;
        m_lastEnd = 0;
        m_sequence = 0;
        m_nextEntryAt = 0;
    }

    std::int64_t clock() const { return nowMs() - m_beganAt; }

    void tick()
    {
        const std::int64_t now = nowMs();
        if (m_isUp && !m_isCut && m_nextEntryAt <= now)
            writeEntry();
        if ((!m_isUp || m_isCut) && m_entryExpiresAt != 0 && m_entryExpiresAt <= now) {
            m_store.put("keyed.servers", m_entryId, std::nullopt);
            m_entryExpiresAt = 0;
        }
        if (m_isUp) {
            std::vector<std::pair<std::string, const char*>> due;
            for (const auto& [task, run] : m_runs) {
                if (clock() > m_leaseEnd)
                    due.emplace_back(task, "lapsed");
                else if (run.m_stopsAt != 0 && run.m_stopsAt <= now)
                    due.emplace_back(task, "stopped");
                else if (run.m_workMs != 0 && run.m_beganAt + run.m_workMs <= now)
                    due.emplace_back(task, "done");
            }
            for (const auto& [task, how] : due)
                end(task, how);
            answerWaiting();
        }
        m_timer.expires_after(Milliseconds(10));
        m_timer.async_wait([this](error_code error) {
            if (!error)
                tick();
        });
    }

    void writeEntry()
    {
        const json::object entry { { "service", service }, { "address", m_server.address() },
            { "zone", m_settings.m_zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "cold_remaining_ms", 0 }, { "sequence", ++m_sequence }, { "born", m_bornMs },
            { "capacity", { { "cpu", m_settings.m_cpuMillis }, { "mem_mb", m_settings.m_memoryMb }, { "gpu", 0 } } },
            { "labels", json::array { m_settings.m_kind, m_settings.m_rack } } };
        if (m_entryExpiresAt != 0 && m_entryId != m_id)
            m_store.put("keyed.servers", m_entryId, std::nullopt);
        m_store.put("keyed.servers", m_id, json::serialize(entry));
        m_entryId = m_id;
        m_nextEntryAt = nowMs() + heartbeatMs;
        m_entryExpiresAt = nowMs() + 3 * heartbeatMs;
    }

    void end(const std::string& task, const std::string& how)
    {
        const Run run = m_runs.at(task);
        m_runs.erase(task);
        m_barred[task] = std::max(m_barred[task], run.m_number);
        m_ends.push_back({ ++m_lastEnd, task, run.m_number, how });
        m_events.push_back({ nowMs(), task, run.m_number, m_id, how });
    }

    void answer(const Respond& respond, unsigned status, json::object body = {}) const
    {
        body["clock_ms"] = clock();
        respond(status, json::serialize(body));
    }

    static std::int64_t numberOf(const json::object& body, const char* name, std::int64_t fallback)
    {
        const json::value* value = body.if_contains(name);
        return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
    }
    static std::string textOf(const json::object& body, const char* name)
    {
        const json::value* value = body.if_contains(name);
        return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    void handle(const Request& request, const Respond& respond)
    {
        if (!m_isUp || m_isCut)
            return;
        if (!request.m_expectedInstance.empty() && request.m_expectedInstance != m_id)
            return respond(421, "{}");
        if (request.m_method == "GET" && request.path() == "/health")
            return respond(200, "{}");
        error_code error;
        const json::value value = json::parse(request.m_body, error);
        if (error || !value.is_object())
            return answer(respond, 400);
        const json::object& body = value.get_object();
        const auto token = static_cast<std::uint64_t>(numberOf(body, "fencing_token", 0));
        if (token < m_token)
            return answer(respond, 409, { { "reason", "fence" } });
        m_token = token;
        if (request.path() == "/-/run-start") {
            if (m_lateMs == 0 || ++m_starts % 3 != 0)
                return start(body, respond);
            return carryOutLate(body);
        }
        if (request.path() == "/-/run-stop")
            return stop(body, respond);
        if (request.path() == "/-/hold")
            return hold(body, respond);
        answer(respond, request.path() == "/-/pace" ? 200 : 404);
    }

    /// Carries a start out later, by the process that runs then, without an answer.
    void carryOutLate(const json::object& body)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, Milliseconds(m_lateMs));
        timer->async_wait([this, timer, body](error_code error) {
            if (error || !m_isUp)
                return;
            const auto token = static_cast<std::uint64_t>(numberOf(body, "fencing_token", 0));
            if (token < m_token)
                return;
            m_token = token;
            start(body, [](unsigned, const std::string&) {});
        });
    }

    void extendLease(const json::object& body)
    {
        m_leaseEnd = std::max(m_leaseEnd, std::min(numberOf(body, "until_ms", 0), clock() + maxHoldMs));
    }

    void start(const json::object& body, const Respond& respond)
    {
        extendLease(body);
        if (m_leaseEnd <= clock())
            return answer(respond, 409, { { "reason", "late" } });
        const std::string task = textOf(body, "task");
        const auto number = static_cast<std::uint64_t>(numberOf(body, "run", 0));
        const auto present = m_runs.find(task);
        if (present != m_runs.end() && present->second.m_number == number)
            return answer(respond, 200);
        const auto barred = m_barred.find(task);
        if (present != m_runs.end() || (barred != m_barred.end() && number <= barred->second))
            return answer(respond, 409, { { "reason", "old" } });
        const std::string spec = textOf(body, "spec");
        const std::int64_t work = spec.starts_with("ms=") ? std::stoll(spec.substr(3)) : 0;
        m_runs[task] = { number, nowMs(), work, 0 };
        m_events.push_back({ nowMs(), task, number, m_id, "start" });
        answer(respond, 200);
    }

    void stop(const json::object& body, const Respond& respond)
    {
        const std::string task = textOf(body, "task");
        const auto number = static_cast<std::uint64_t>(numberOf(body, "run", 0));
        m_barred[task] = std::max(m_barred[task], number);
        const auto run = m_runs.find(task);
        if (run != m_runs.end() && run->second.m_number <= number && run->second.m_stopsAt == 0)
            run->second.m_stopsAt = nowMs() + stopMs;
        answer(respond, 200);
    }

    void hold(const json::object& body, const Respond& respond)
    {
        extendLease(body);
        const auto acknowledged = static_cast<std::uint64_t>(numberOf(body, "ack_cursor", 0));
        std::erase_if(m_ends, [&](const End& each) {
            if (each.m_number > acknowledged)
                return false;
            m_events.push_back({ nowMs(), each.m_task, each.m_run, m_id, "acknowledged " + each.m_how });
            return true;
        });
        const std::int64_t wait = std::min<std::int64_t>(numberOf(body, "wait_ms", 0), 2000);
        m_waiting.push_back({ nowMs() + wait, respond });
        answerWaiting();
    }

    void answerWaiting()
    {
        const std::int64_t now = nowMs();
        std::vector<Respond> due;
        std::erase_if(m_waiting, [&](const Waiting& waiting) {
            const bool isDue = !m_ends.empty() || waiting.m_until <= now;
            if (isDue)
                due.push_back(waiting.m_respond);
            return isDue;
        });
        for (const Respond& respond : due)
            report(respond);
    }

    void report(const Respond& respond) const
    {
        json::array running;
        for (const auto& [task, run] : m_runs) {
            const std::int64_t age = nowMs() - run.m_beganAt;
            const std::int64_t percent = run.m_workMs == 0 ? (age > 300 ? 100 : age / 3)
                                                           : std::min<std::int64_t>(99, age * 100 / run.m_workMs);
            running.push_back(json::array { task, run.m_number, "", percent, 0 });
        }
        json::array finished;
        for (const End& each : m_ends) {
            if (finished.size() == 500)
                break;
            finished.push_back(json::array { each.m_number, each.m_task, each.m_run, each.m_how, "" });
        }
        answer(respond, 200,
            { { "born", m_bornMs }, { "running", std::move(running) }, { "finished", std::move(finished) } });
    }

    asio::io_context& m_context;
    Store& m_store;
    std::vector<RunEvent>& m_events;
    const WorkerSettings m_settings;
    std::string m_id;
    std::string m_entryId;
    bool m_isUp = false;
    std::int64_t m_beganAt = 0;
    std::int64_t m_bornMs = 0;
    std::int64_t m_leaseEnd = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    std::int64_t m_nextEntryAt = 0;
    std::int64_t m_entryExpiresAt = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_barred;
    std::vector<End> m_ends;
    std::vector<Waiting> m_waiting;
    bool m_isCut = false;
    std::int64_t m_lateMs = 0;
    std::uint64_t m_starts = 0;
    asio::steady_timer m_timer;
    Server m_server;
};

} // namespace review2
