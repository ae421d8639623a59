// Orders, runs, leases and heartbeats of a minion.

#include "Minions.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <random>

namespace review {

namespace json = boost::json;

namespace {

    constexpr double heartbeat = 1.5;
    constexpr double startup = 0.3;
    constexpr std::size_t endsPerAnswer = 500;

    std::string newId()
    {
        static std::mutex mutex;
        static std::mt19937_64 random(std::random_device {}());
        const std::lock_guard lock(mutex);
        char text[16];
        std::snprintf(text, sizeof text, "i-%08x", static_cast<unsigned>(random()));
        return text;
    }

    json::object parse(const std::string& body)
    {
        boost::system::error_code error;
        json::value value = json::parse(body, error);
        return !error && value.is_object() ? value.get_object() : json::object();
    }

    std::int64_t whole(const json::object& object, const char* name, std::int64_t fallback = 0)
    {
        const json::value* value = object.if_contains(name);
        return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
    }

    std::string text(const json::object& object, const char* name)
    {
        const json::value* value = object.if_contains(name);
        return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
    }

} // namespace

Minion::Minion(Store& store, Watch& watch, const MinionSettings& settings)
    : m_store(store)
    , m_watch(watch)
    , m_settings(settings)
    , m_port(freePort(settings.m_ip))
{
    restart();
    m_advancer = std::thread([this] {
        while (!m_isOver) {
            advance();
            sleepFor(0.002);
        }
    });
    m_beater = std::thread([this] {
        while (!m_isOver) {
            beat();
            for (int i = 0; i < 30 && !m_isOver; ++i)
                sleepFor(heartbeat / 30);
        }
    });
}

Minion::~Minion()
{
    m_isOver = true;
    m_advancer.join();
    m_beater.join();
    crash();
}

std::string Minion::id() const
{
    const std::lock_guard lock(m_mutex);
    return m_id;
}

std::size_t Minion::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

void Minion::restart()
{
    const std::lock_guard lock(m_mutex);
    ++m_life;
    m_id = newId();
    m_bornAt = now();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_fence = 0;
    m_untilMs = 0;
    m_lastEnd = 0;
    m_sequence = 0;
    m_server = std::make_unique<Server>(
        m_settings.m_ip, m_port, [this, life = m_life](const Request& request) { return handle(request, life); });
    m_isUp = true;
    note("minion  " + m_id + " (kind " + m_settings.m_kind + ", rack " + m_settings.m_rack + ") is up");
}

void Minion::endAll()
{
    const std::lock_guard lock(m_watch.m_mutex);
    for (const auto& [task, run] : m_runs) {
        TaskHistory& seen = m_watch.m_tasks[task];
        seen.m_running.erase({ m_id, run.m_number });
        seen.m_lastSeen = now();
        note("minion  " + m_id + " crashed under " + task + " run " + std::to_string(run.m_number));
    }
}

void Minion::crash()
{
    std::unique_ptr<Server> server;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isUp)
            return;
        m_isUp = false;
        ++m_life;
        server = std::move(m_server);
        m_expiring[m_id] = now() + 3 * heartbeat;
        if (!m_isOver) {
            note("minion  " + m_id + " crashes");
            endAll();
        }
        m_runs.clear();
        m_barred.clear();
        m_ends.clear();
    }
    m_changed.notify_all();
    server->close();
}

std::int64_t Minion::clockMs() const { return static_cast<std::int64_t>((now() - m_bornAt) * 1000); }

void Minion::beat()
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_expiring.begin(); it != m_expiring.end();) {
        if (it->second > now()) {
            ++it;
            continue;
        }
        m_store.put("keyed.servers", it->first, std::nullopt);
        it = m_expiring.erase(it);
    }
    if (!m_isUp)
        return;
    const json::object entry { { "service", m_settings.m_service },
        { "address", m_settings.m_ip + ':' + std::to_string(m_port) }, { "zone", m_settings.m_zone },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
        { "capacity", { { "cpu", m_settings.m_cpu }, { "mem_mb", m_settings.m_memMb }, { "gpu", 0 } } },
        { "labels", json::array { m_settings.m_kind, m_settings.m_rack } }, { "clock_ms", clockMs() },
        { "born", m_born }, { "sequence", ++m_sequence } };
    m_store.put("keyed.servers", m_id, json::serialize(entry));
}

void Minion::end(const std::string& task, const std::string& how)
{
    const Run run = m_runs.at(task);
    m_runs.erase(task);
    m_ends.push_back({ ++m_lastEnd, task, run.m_number, how });
    std::uint64_t& barred = m_barred[task];
    barred = std::max(barred, run.m_number);
    const std::lock_guard lock(m_watch.m_mutex);
    TaskHistory& seen = m_watch.m_tasks[task];
    seen.m_running.erase({ m_id, run.m_number });
    seen.m_lastSeen = now();
    if (how == "failed")
        ++seen.m_failed;
    if (how == "done")
        m_watch.m_done.try_emplace(task, DoneEnd { m_id, m_lastEnd, now() });
    note("minion  " + m_id + " ends " + task + " run " + std::to_string(run.m_number) + ": " + how + " (number "
        + std::to_string(m_lastEnd) + ")");
}

void Minion::advance()
{
    bool hasChanged = false;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isUp)
            return;
        const bool hasLapsed = clockMs() > m_untilMs;
        std::vector<std::pair<std::string, std::string>> due;
        for (const auto& [task, run] : m_runs) {
            if (hasLapsed)
                due.emplace_back(task, "lapsed");
            else if (run.m_stopAt >= 0 && run.m_stopAt <= now())
                due.emplace_back(task, "stopped");
            else if (run.m_work >= 0 && run.m_startedAt + run.m_work <= now())
                due.emplace_back(task, run.m_how);
        }
        if (hasLapsed) {
            const std::lock_guard watched(m_watch.m_mutex);
            for (const End& open : m_ends) {
                const auto found = m_watch.m_done.find(open.m_task);
                if (found != m_watch.m_done.end() && found->second.m_minion == m_id)
                    found->second.m_hasLapsed = true;
            }
        }
        for (const auto& [task, how] : due)
            end(task, how);
        hasChanged = !due.empty();
    }
    if (hasChanged)
        m_changed.notify_all();
}

void Minion::extend(std::int64_t untilMs)
{
    const auto longest = clockMs() + static_cast<std::int64_t>(m_settings.m_maxHold * 1000);
    m_untilMs = std::max(m_untilMs, std::min(untilMs, longest));
}

std::optional<Response> Minion::handle(const Request& request, std::uint64_t life)
{
    const auto expected = request.m_headers.find("x-sapphiredale-expect-instance");
    {
        const std::lock_guard lock(m_mutex);
        if (m_life != life)
            return std::nullopt;
        if (expected != request.m_headers.end() && expected->second != m_id)
            return Response { 421 };
    }
    if (request.path() == "/-/run-start")
        return start(request);
    if (request.path() == "/-/run-stop")
        return stop(request);
    if (request.path() == "/-/hold")
        return hold(request, life);
    if (request.path() == "/-/pace")
        return Response { 200, json::serialize(json::object { { "clock_ms", clockMs() }, { "born", m_born } }) };
    return Response { request.path() == "/health" ? 200 : 404 };
}

Response Minion::start(const Request& request)
{
    const json::object body = parse(request.m_body);
    const std::string task = text(body, "task");
    const auto number = static_cast<std::uint64_t>(whole(body, "run"));
    const auto fence = static_cast<std::uint64_t>(whole(body, "fencing_token"));
    const std::int64_t until = whole(body, "until_ms", -1);
    const auto refuse = [&](const char* reason) {
        return Response { 409,
            json::serialize(json::object { { "clock_ms", clockMs() }, { "born", m_born }, { "reason", reason } }) };
    };
    const std::lock_guard lock(m_mutex);
    if (fence < m_fence)
        return refuse("fence");
    m_fence = fence;
    if (until >= 0 && until <= clockMs())
        return refuse("late");
    extend(until);
    const auto there = m_runs.find(task);
    const bool isSame = there != m_runs.end() && there->second.m_number == number;
    if (!isSame) {
        const auto barred = m_barred.find(task);
        if ((barred != m_barred.end() && number <= barred->second) || there != m_runs.end())
            return refuse("old");
        const std::string spec = text(body, "spec");
        const std::size_t blank = spec.find(' ');
        const std::string word = spec.substr(0, blank);
        const double work = blank == std::string::npos ? 1.0 : std::stod(spec.substr(blank + 1)) / 1000;
        m_runs[task] = { number, now(), word == "last" ? -1.0 : work, word, -1 };
        const std::lock_guard watched(m_watch.m_mutex);
        TaskHistory& seen = m_watch.m_tasks[task];
        note("minion  " + m_id + " starts " + task + " run " + std::to_string(number) + " (fencing token "
            + std::to_string(fence) + ')');
        if (!seen.m_running.empty())
            m_watch.m_twoAtOnce.push_back(task + " run " + std::to_string(number) + " on " + m_id);
        if (m_watch.m_done.contains(task))
            m_watch.m_startsAfterDone.push_back({ task, m_id, number, now() });
        ++seen.m_starts;
        seen.m_running.insert({ m_id, number });
        seen.m_lastSeen = now();
    }
    return { 200, json::serialize(json::object { { "clock_ms", clockMs() }, { "born", m_born } }) };
}

Response Minion::stop(const Request& request)
{
    const json::object body = parse(request.m_body);
    const std::string task = text(body, "task");
    const auto number = static_cast<std::uint64_t>(whole(body, "run"));
    const auto fence = static_cast<std::uint64_t>(whole(body, "fencing_token"));
    const std::lock_guard lock(m_mutex);
    if (fence < m_fence)
        return { 409,
            json::serialize(json::object { { "clock_ms", clockMs() }, { "born", m_born }, { "reason", "fence" } }) };
    m_fence = fence;
    std::uint64_t& barred = m_barred[task];
    barred = std::max(barred, number);
    const auto run = m_runs.find(task);
    if (run != m_runs.end() && run->second.m_number <= number && run->second.m_stopAt < 0)
        run->second.m_stopAt = now() + m_settings.m_stop;
    return { 200, json::serialize(json::object { { "clock_ms", clockMs() }, { "born", m_born } }) };
}

std::optional<Response> Minion::hold(const Request& request, std::uint64_t life)
{
    const json::object body = parse(request.m_body);
    const auto fence = static_cast<std::uint64_t>(whole(body, "fencing_token"));
    const auto acknowledged = static_cast<std::uint64_t>(whole(body, "ack_cursor"));
    const std::int64_t wait = std::min<std::int64_t>(whole(body, "wait_ms"), 2000);
    std::unique_lock lock(m_mutex);
    if (fence < m_fence)
        return Response { 409,
            json::serialize(json::object { { "clock_ms", clockMs() }, { "born", m_born }, { "reason", "fence" } }) };
    m_fence = fence;
    extend(whole(body, "until_ms", 0));
    std::erase_if(m_ends, [&](const End& end) {
        if (end.m_number > acknowledged)
            return false;
        const std::lock_guard watched(m_watch.m_mutex);
        const auto found = m_watch.m_done.find(end.m_task);
        if (found != m_watch.m_done.end() && found->second.m_minion == m_id && found->second.m_acknowledgedAt < 0)
            found->second.m_acknowledgedAt = now();
        return true;
    });
    m_changed.wait_for(
        lock, std::chrono::milliseconds(wait), [&] { return !m_ends.empty() || !m_isUp || m_life != life; });
    if (!m_isUp || m_life != life)
        return std::nullopt;
    json::array running;
    for (const auto& [task, run] : m_runs) {
        const double share = run.m_work < 0 ? (now() - run.m_startedAt) / startup
            : run.m_work == 0               ? 1.0
                                            : (now() - run.m_startedAt) / run.m_work;
        const auto percent = static_cast<int>(std::clamp(share, 0.0, 1.0) * 100);
        running.push_back(json::array { task, run.m_number, "", run.m_work < 0 ? percent : std::min(percent, 99), 0 });
    }
    json::array finished;
    for (const End& end : m_ends) {
        if (finished.size() == endsPerAnswer)
            break;
        finished.push_back(json::array { end.m_number, end.m_task, end.m_run, end.m_how, "" });
    }
    return Response { 200,
        json::serialize(json::object { { "clock_ms", clockMs() }, { "born", m_born }, { "running", std::move(running) },
            { "finished", std::move(finished) } }) };
}

} // namespace review
