// Calls, runs, leases and registry entry of a worker.

#include "tests/processes/RestartingWorker.h"

#include <algorithm>
#include <chrono>

namespace sapphiredale::processes {

namespace json = boost::json;

namespace {

    constexpr double entryInterval = 1.5; // seconds
    constexpr double stopTime = 0.1; // seconds
    constexpr std::int64_t longestLeaseMs = 10000;
    constexpr std::int64_t longestWaitMs = 2000;
    constexpr std::size_t endsPerReport = 500;
    constexpr double millisecondsPerSecond = 1000;

    std::int64_t numberOf(const json::object& body, const char* name, std::int64_t fallback = 0)
    {
        const json::value* value = body.if_contains(name);
        return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
    }

    std::string textOf(const json::object& body, const char* name)
    {
        const json::value* value = body.if_contains(name);
        return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    std::int64_t wallMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

} // namespace

RestartingWorker::RestartingWorker(review::Store& store, RunRecord& record, const WorkerSettings& settings)
    : m_store(store)
    , m_record(record)
    , m_settings(settings)
    , m_port(review::freePort(settings.m_ip))
{
    m_server = std::make_unique<review::Server>(
        settings.m_ip, m_port, [this](const review::Request& request) { return handle(request); });
    begin();
}

void RestartingWorker::begin()
{
    const std::lock_guard lock(m_mutex);
    ++m_process;
    m_beganAt = review::now();
    m_bornMs = wallMs();
    m_highestNumber = 0;
    m_leaseEndMs = 0;
    m_lastEnd = 0;
    m_sequence = 0;
    m_nextEntryAt = 0;
    m_isUp = true;
    review::note(
        "worker " + m_settings.m_id + " in " + m_settings.m_zone + " begins, process " + std::to_string(m_process));
    m_changed.notify_all();
}

void RestartingWorker::crash()
{
    const std::lock_guard lock(m_mutex);
    review::note("worker " + m_settings.m_id + " crashes");
    m_isUp = false;
    for (const auto& [task, run] : m_runs)
        m_record.ended(task, run.m_number, m_settings.m_id, false);
    m_runs.clear();
    m_barred.clear();
    m_ends.clear();
    m_changed.notify_all();
}

void RestartingWorker::setCut(bool isCut)
{
    const std::lock_guard lock(m_mutex);
    m_isCut = isCut;
    m_nextEntryAt = 0;
    m_server->setSilent(isCut);
}

std::int64_t RestartingWorker::clockMs() const
{
    return static_cast<std::int64_t>((review::now() - m_beganAt) * millisecondsPerSecond);
}

void RestartingWorker::writeEntry()
{
    const json::object entry { { "service", m_settings.m_service },
        { "address", m_settings.m_ip + ':' + std::to_string(m_port) }, { "zone", m_settings.m_zone },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
        { "capacity", { { "cpu", m_settings.m_cpuMillis }, { "mem_mb", m_settings.m_memoryMb }, { "gpu", 0 } } },
        { "labels", json::array { "a", m_settings.m_rack } }, { "born", m_bornMs }, { "sequence", ++m_sequence } };
    m_store.put("keyed.servers", m_settings.m_id, json::serialize(entry));
    m_nextEntryAt = review::now() + entryInterval;
    m_entryExpiresAt = review::now() + 3 * entryInterval;
}

void RestartingWorker::advance()
{
    const std::lock_guard lock(m_mutex);
    const double now = review::now();
    if (m_entryExpiresAt > 0 && m_entryExpiresAt <= now) {
        m_store.put("keyed.servers", m_settings.m_id, std::nullopt);
        m_entryExpiresAt = 0;
    }
    if (!m_isUp)
        return;
    if (!m_isCut && m_nextEntryAt <= now)
        writeEntry();
    const bool hasLapsed = clockMs() > m_leaseEndMs;
    if (hasLapsed) {
        for (End& open : m_ends)
            open.m_hasLapsed = true;
    }
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, run] : m_runs) {
        if (hasLapsed)
            due.emplace_back(task, "lapsed");
        else if (run.m_stopsAt > 0 && run.m_stopsAt <= now)
            due.emplace_back(task, "stopped");
        else if (run.m_endsAt <= now)
            due.emplace_back(task, "done");
    }
    for (const auto& [task, how] : due)
        end(task, how);
    if (!due.empty())
        m_changed.notify_all();
}

void RestartingWorker::end(const std::string& task, const std::string& how)
{
    const std::uint64_t run = m_runs.at(task).m_number;
    m_runs.erase(task);
    m_ends.push_back({ ++m_lastEnd, task, run, how });
    std::uint64_t& barred = m_barred[task];
    barred = std::max(barred, run);
    m_record.ended(task, run, m_settings.m_id, how == "done");
}

std::optional<review::Response> RestartingWorker::handle(const review::Request& request)
{
    const auto expected = request.m_headers.find("x-sapphiredale-expect-instance");
    if (expected != request.m_headers.end() && expected->second != m_settings.m_id)
        return review::Response { 421 };
    boost::system::error_code error;
    const json::value value = json::parse(request.m_body, error);
    const json::object body = !error && value.is_object() ? value.get_object() : json::object();
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_isUp; });
        if (Outcome outcome = carryOut(request.path(), body, lock))
            return outcome;
    }
}

RestartingWorker::Outcome RestartingWorker::carryOut(
    const std::string& path, const json::object& body, std::unique_lock<std::mutex>& lock)
{
    if (path == "/-/run-start")
        return start(body);
    if (path == "/-/run-stop")
        return stop(body);
    if (path == "/-/hold")
        return report(body, lock);
    return answer(path == "/-/pace" ? 200 : 404);
}

review::Response RestartingWorker::answer(unsigned status, json::object body) const
{
    body["clock_ms"] = clockMs();
    return { static_cast<int>(status), json::serialize(body) };
}

bool RestartingWorker::admits(const json::object& body)
{
    const auto number = static_cast<std::uint64_t>(numberOf(body, "fencing_token"));
    if (number < m_highestNumber)
        return false;
    m_highestNumber = number;
    return true;
}

void RestartingWorker::extendLease(const json::object& body)
{
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(numberOf(body, "until_ms"), clockMs() + longestLeaseMs));
}

review::Response RestartingWorker::start(const json::object& body)
{
    if (!admits(body))
        return answer(409, { { "reason", "fence" } });
    const std::int64_t until = numberOf(body, "until_ms", -1);
    if (until >= 0 && until <= clockMs())
        return answer(409, { { "reason", "late" } });
    extendLease(body);
    const std::string task = textOf(body, "task");
    const auto number = static_cast<std::uint64_t>(numberOf(body, "run"));
    const auto present = m_runs.find(task);
    if (present != m_runs.end() && present->second.m_number == number)
        return answer(200);
    const auto barred = m_barred.find(task);
    if (present != m_runs.end() || (barred != m_barred.end() && number <= barred->second))
        return answer(409, { { "reason", "old" } });
    // The text of a job is the work of its tasks in milliseconds.
    const double now = review::now();
    m_runs[task] = { number, now, now + std::stod(textOf(body, "spec")) / millisecondsPerSecond, 0 };
    m_record.began(task, number, m_settings.m_id);
    return answer(200);
}

review::Response RestartingWorker::stop(const json::object& body)
{
    if (!admits(body))
        return answer(409, { { "reason", "fence" } });
    const std::string task = textOf(body, "task");
    const auto number = static_cast<std::uint64_t>(numberOf(body, "run"));
    std::uint64_t& barred = m_barred[task];
    barred = std::max(barred, number);
    const auto run = m_runs.find(task);
    if (run != m_runs.end() && run->second.m_number <= number && run->second.m_stopsAt == 0)
        run->second.m_stopsAt = review::now() + stopTime;
    return answer(200);
}

RestartingWorker::Outcome RestartingWorker::report(const json::object& body, std::unique_lock<std::mutex>& lock)
{
    if (!admits(body))
        return answer(409, { { "reason", "fence" } });
    extendLease(body);
    const auto acknowledged = static_cast<std::uint64_t>(numberOf(body, "ack_cursor"));
    std::erase_if(m_ends, [&](const End& end) {
        if (end.m_number > acknowledged)
            return false;
        if (end.m_how == "done" && !end.m_hasLapsed)
            m_record.acknowledged(end.m_task, end.m_run);
        return true;
    });
    const std::uint64_t process = m_process;
    const std::chrono::milliseconds wait(std::min(numberOf(body, "wait_ms"), longestWaitMs));
    m_changed.wait_for(lock, wait, [&] { return !m_ends.empty() || !m_isUp || m_process != process; });
    if (!m_isUp || m_process != process)
        return std::nullopt;
    json::array running;
    const double now = review::now();
    for (const auto& [task, run] : m_runs) {
        const double share = (now - run.m_beganAt) / (run.m_endsAt - run.m_beganAt);
        running.push_back(json::array { task, run.m_number, "", static_cast<int>(share * 99), 0 });
    }
    json::array finished;
    for (const End& end : m_ends) {
        if (finished.size() == endsPerReport)
            break;
        finished.push_back(json::array { end.m_number, end.m_task, end.m_run, end.m_how, "" });
    }
    return answer(
        200, { { "born", m_bornMs }, { "running", std::move(running) }, { "finished", std::move(finished) } });
}

} // namespace sapphiredale::processes
