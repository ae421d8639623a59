// Orders, leases and ends of a minion, as PROTOCOL.md tells them.

#include "Minion.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>

namespace review {

namespace json = boost::json;

namespace {

    constexpr std::int64_t heartbeatMs = 1500;
    constexpr std::int64_t longestHoldMs = 10000;
    constexpr std::int64_t longestWaitMs = 2000;
    constexpr std::int64_t stopMs = 100;
    constexpr std::size_t endsPerAnswer = 500;
    constexpr std::int64_t gangMs = 3000;

    /// The number that follows the name in the text; the fallback if there is none.
    std::int64_t numberAfter(const std::string& text, const std::string& name, std::int64_t fallback)
    {
        const std::size_t at = text.find(name);
        return at == std::string::npos ? fallback : std::stoll(text.substr(at + name.size()));
    }

    std::int64_t numberOf(const json::object& object, const char* name, std::int64_t fallback = 0)
    {
        const json::value* value = object.if_contains(name);
        return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : fallback;
    }

    std::string textOf(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
    }

} // namespace

Record::Record(const std::string& path)
    : m_path(path)
{
    std::ofstream(m_path, std::ios::trunc);
}

void Record::write(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    std::ofstream(m_path, std::ios::app) << nowMs() - m_startedAt << " ms  " << text << '\n';
}

std::size_t Runs::add(RunEvent run)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(run));
    return m_runs.size() - 1;
}

void Runs::end(std::size_t number, const std::string& how)
{
    const std::lock_guard lock(m_mutex);
    m_runs[number].m_endedAt = nowMs();
    m_runs[number].m_how = how;
}

std::vector<RunEvent> Runs::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::vector<RunEvent> Runs::ofJob(const std::string& job) const
{
    std::vector<RunEvent> runs = all();
    std::erase_if(runs, [&job](const RunEvent& run) { return !run.m_task.starts_with(job + '.'); });
    return runs;
}

std::vector<RunEvent> Runs::ofGang(const std::string& task, std::uint32_t number) const
{
    const std::string step = task.substr(0, task.rfind('.') + 1);
    std::vector<RunEvent> runs = all();
    std::erase_if(runs, [&](const RunEvent& run) { return run.m_run != number || !run.m_task.starts_with(step); });
    return runs;
}

Minion::Minion(MinionSettings settings, Store& store, Runs& runs, Record& record)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_runs(runs)
    , m_record(record)
    , m_server(std::make_unique<Server>(
          m_settings.m_ip, freePort(m_settings.m_ip), [this](const Request& request) { return handle(request); }))
{
}

Minion::~Minion()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_ended.notify_all();
    if (m_beater.joinable())
        m_beater.join();
    if (m_worker.joinable())
        m_worker.join();
    m_server->stop();
}

void Minion::start()
{
    restart();
    m_beater = std::thread([this] {
        for (std::int64_t next = nowMs();; sleepMs(10)) {
            {
                const std::lock_guard lock(m_mutex);
                if (m_isStopped)
                    return;
            }
            if (nowMs() < next)
                continue;
            beat();
            next = nowMs() + heartbeatMs;
        }
    });
    m_worker = std::thread([this] {
        for (;; sleepMs(5)) {
            const std::lock_guard lock(m_mutex);
            if (m_isStopped)
                return;
            work();
        }
    });
}

void Minion::crash()
{
    m_record.write("minion " + id() + " crashes");
    {
        const std::lock_guard lock(m_mutex);
        m_isUp = false;
        for (const auto& [task, run] : m_running) {
            m_runs.end(run.m_number, "lost");
            m_record.write("run of " + task + " (run " + std::to_string(run.m_run) + ") is lost with " + id());
        }
        m_running.clear();
        m_ends.clear();
        m_barred.clear();
    }
    m_ended.notify_all();
    m_server->stop();
}

void Minion::restart()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isUp = true;
        m_startedAt = nowMs();
        m_bornMs = wallMs();
        m_token = 0;
        m_until = 0;
        m_sequence = 0;
        m_lastEnd = 0;
    }
    m_server->start();
    m_record.write("minion " + id() + " is up");
    beat();
}

void Minion::setLosesAnswer(std::function<bool(const Request&)> losesAnswer)
{
    const std::lock_guard lock(m_mutex);
    m_losesAnswer = std::move(losesAnswer);
}

void Minion::beat()
{
    json::object entry;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isUp)
            return;
        entry
            = { { "service", m_settings.m_service }, { "address", m_server->address() }, { "zone", m_settings.m_zone },
                  { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
                  { "capacity", { { "cpu", m_settings.m_cpu }, { "mem_mb", m_settings.m_memoryMb }, { "gpu", 0 } } },
                  { "labels", json::array { "a", m_settings.m_rack } }, { "clock_ms", clockMs() }, { "born", m_bornMs },
                  { "sequence", ++m_sequence } };
    }
    m_store.put("keyed.servers", id(), json::serialize(entry));
}

void Minion::endRun(const std::string& task, const std::string& how)
{
    const auto found = m_running.find(task);
    const Running run = found->second;
    m_running.erase(found);
    m_runs.end(run.m_number, how);
    m_record.write("run of " + task + " (run " + std::to_string(run.m_run) + ") ends on " + id() + ": " + how);
    m_ends.push_back({ ++m_lastEnd, task, run.m_run, how });
    m_barred[task] = std::max(m_barred[task], run.m_run);
    m_ended.notify_all();
}

std::string Minion::endOf(const std::string& task, Running& run) const
{
    if (run.m_stopAt >= 0 && nowMs() >= run.m_stopAt)
        return "stopped";
    if (clockMs() > m_until)
        return "lapsed";
    if (run.m_gang > 0) {
        const std::vector<RunEvent> members = m_runs.ofGang(task, run.m_run);
        const auto hasEnded = [&](bool isDone) {
            return std::any_of(members.begin(), members.end(), [isDone](const RunEvent& member) {
                return member.m_endedAt >= 0 && (member.m_how == "done") == isDone;
            });
        };
        if (hasEnded(true))
            return "done";
        if (hasEnded(false))
            return "broken";
        std::int64_t completeAt = 0;
        for (const RunEvent& member : members)
            completeAt = std::max(completeAt, member.m_startedAt);
        if (members.size() < run.m_gang)
            return nowMs() - run.m_startedAt > gangMs ? "alone" : "";
        return nowMs() - completeAt >= run.m_durationMs ? "done" : "";
    }
    if (run.m_durationMs >= 0 && nowMs() - run.m_startedAt >= run.m_durationMs)
        return run.m_fails ? "failed" : "done";
    return "";
}

void Minion::work()
{
    std::map<std::string, std::string> over;
    for (auto& [task, run] : m_running) {
        if (const std::string how = endOf(task, run); !how.empty())
            over[task] = how;
    }
    for (const auto& [task, how] : over)
        endRun(task, how);
}

std::string Minion::ticket(std::int64_t untilMs)
{
    const std::lock_guard lock(m_mutex);
    return std::to_string(m_bornMs) + '-' + std::to_string(untilMs);
}

std::string Minion::clockAnswer(const std::string& reason) const
{
    json::object answer { { "clock_ms", clockMs() }, { "born", m_bornMs } };
    if (!reason.empty())
        answer["reason"] = reason;
    return json::serialize(answer);
}

void Minion::extend(std::int64_t untilMs)
{
    if (untilMs > 0)
        m_until = std::max(m_until, std::min(untilMs, clockMs() + longestHoldMs));
}

Response Minion::handle(const Request& request)
{
    const auto instance = request.m_headers.find("x-sapphiredale-expect-instance");
    if (instance != request.m_headers.end() && instance->second != id())
        return { 421, "{}" };
    if (request.m_method == "GET")
        return { 200, "{}", { { "X-Sapphiredale-Instance-Id", id() } } };
    Response response { 404, "{}" };
    if (request.m_path == "/-/run-start")
        response = startRun(request);
    else if (request.m_path == "/-/run-stop")
        response = stopRun(request);
    else if (request.m_path == "/-/hold")
        response = hold(request);
    std::function<bool(const Request&)> losesAnswer;
    {
        const std::lock_guard lock(m_mutex);
        losesAnswer = m_losesAnswer;
    }
    if (losesAnswer && losesAnswer(request)) {
        sleepMs(3000);
        response.m_isDropped = true;
    }
    return response;
}

Response Minion::startRun(const Request& request)
{
    const json::object body = json::parse(request.m_body).as_object();
    const std::string task = textOf(body, "task");
    const auto run = static_cast<std::uint32_t>(numberOf(body, "run"));
    const std::lock_guard lock(m_mutex);
    const auto token = static_cast<std::uint64_t>(numberOf(body, "fencing_token"));
    if (token < m_token)
        return { 409, clockAnswer("fence") };
    m_token = token;
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.m_run == run) {
        extend(numberOf(body, "until_ms"));
        return { 200, clockAnswer("") };
    }
    const auto barred = m_barred.find(task);
    if (present != m_running.end() || (barred != m_barred.end() && run <= barred->second)) {
        extend(numberOf(body, "until_ms"));
        return { 409, clockAnswer("old") };
    }
    extend(numberOf(body, "until_ms"));
    if (m_until <= clockMs())
        return { 409, clockAnswer("late") };
    const std::string spec = textOf(body, "spec");
    if (spec.find("advised") != std::string::npos) {
        const std::string ticket = textOf(body, "ticket");
        const std::string life = std::to_string(m_bornMs) + '-';
        if (!ticket.starts_with(life) || std::stoll(ticket.substr(life.size())) < nowMs())
            return { 409, clockAnswer("ticket") };
    }
    Running started { run, 0, nowMs(), numberAfter(spec, "ms=", -1), spec.find("fails") != std::string::npos, -1,
        static_cast<std::size_t>(numberAfter(spec, "gang=", 0)) };
    started.m_number = m_runs.add({ task, run, id(), nowMs(), -1, "", spec });
    m_record.write("run of " + task + " (run " + std::to_string(run) + ") starts on " + id());
    m_running[task] = started;
    return { 200, clockAnswer("") };
}

Response Minion::stopRun(const Request& request)
{
    const json::object body = json::parse(request.m_body).as_object();
    const std::string task = textOf(body, "task");
    const auto run = static_cast<std::uint32_t>(numberOf(body, "run"));
    const std::lock_guard lock(m_mutex);
    const auto token = static_cast<std::uint64_t>(numberOf(body, "fencing_token"));
    if (token < m_token)
        return { 409, clockAnswer("fence") };
    m_token = token;
    m_barred[task] = std::max(m_barred[task], run);
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.m_run <= run && present->second.m_stopAt < 0)
        present->second.m_stopAt = nowMs() + stopMs;
    return { 200, clockAnswer("") };
}

Response Minion::hold(const Request& request)
{
    const json::object body = json::parse(request.m_body).as_object();
    std::unique_lock lock(m_mutex);
    const auto token = static_cast<std::uint64_t>(numberOf(body, "fencing_token"));
    if (token < m_token)
        return { 409, clockAnswer("fence") };
    m_token = token;
    extend(numberOf(body, "until_ms"));
    const auto acknowledged = static_cast<std::uint64_t>(numberOf(body, "ack_cursor"));
    std::erase_if(m_ends, [acknowledged](const End& end) { return end.m_number <= acknowledged; });
    const std::int64_t wait = std::clamp<std::int64_t>(numberOf(body, "wait_ms"), 0, longestWaitMs);
    const std::int64_t life = m_startedAt;
    m_ended.wait_for(lock, std::chrono::milliseconds(wait),
        [&] { return m_isStopped || !m_isUp || life != m_startedAt || !m_ends.empty(); });
    // A process that has ended sends nothing.
    if (!m_isUp || life != m_startedAt)
        return { 503, "", {}, true };
    json::array running;
    for (const auto& [task, run] : m_running) {
        const std::int64_t percent = run.m_durationMs > 0 ? (nowMs() - run.m_startedAt) * 100 / run.m_durationMs : 100;
        running.push_back(json::array { task, run.m_run, "", std::min<std::int64_t>(percent, 100), 0 });
    }
    json::array finished;
    for (std::size_t i = 0; i < std::min(endsPerAnswer, m_ends.size()); ++i)
        finished.push_back(json::array { m_ends[i].m_number, m_ends[i].m_task, m_ends[i].m_run, m_ends[i].m_how, "" });
    return { 200,
        json::serialize(json::object { { "clock_ms", clockMs() }, { "born", m_bornMs },
            { "running", std::move(running) }, { "finished", std::move(finished) } }) };
}

} // namespace review
