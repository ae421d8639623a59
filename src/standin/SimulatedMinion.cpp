// Lease, admission, execution and faults of a simulated minion.

#include "standin/SimulatedMinion.h"

#include "standin/Clock.h"
#include "standin/JsonFields.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace sapphiredale::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    /// Longest wait of a lease call while the minion is leaving or runs requests of a former holder: a lost answer must
    /// not delay this news by a whole long poll.
    constexpr Duration urgentWait = std::chrono::seconds(1);
    constexpr std::size_t maxAnswerBytes = 64 << 20;

    HttpReply refusal(unsigned status, const std::string& reason, const std::string& requestId)
    {
        HttpReply reply;
        reply.m_status = status;
        reply.m_headers.emplace_back("Sapphire-Refusal", reason);
        reply.m_headers.emplace_back("Sapphire-Request-Id", requestId);
        return reply;
    }

    std::uint64_t parseEpoch(const std::string& text)
    {
        std::uint64_t epoch = 0;
        std::from_chars(text.data(), text.data() + text.size(), epoch);
        return epoch;
    }

    /// The request identifier repeated up to a length, so that a caller can tell its own answer from another one.
    std::string pattern(const std::string& requestId, std::size_t length)
    {
        const std::string unit = (requestId.empty() ? "-" : requestId) + ' ';
        std::string text;
        text.reserve(length + unit.size());
        while (text.size() < length)
            text += unit;
        text.resize(length);
        return text;
    }

    bool takeOne(std::uint32_t& count)
    {
        if (count == 0)
            return false;
        --count;
        return true;
    }

} // namespace

SimulatedMinion::SimulatedMinion(
    TaskId task, FailureDomainId failureDomain, MinionShape shape, MinionSurroundings surroundings)
    : m_task(std::move(task))
    , m_failureDomain(std::move(failureDomain))
    , m_shape(shape)
    , m_surroundings(surroundings)
{
}

Result<Unit> SimulatedMinion::open(asio::io_context& context, const std::string& address)
{
    // The server must not own the minion, which owns the server; a request in progress keeps the minion alive.
    const std::weak_ptr<SimulatedMinion> weak = weak_from_this();
    HttpServer::Hooks hooks;
    hooks.m_opened = [weak](Connection& connection) {
        const auto self = weak.lock();
        return self && self->connectionOpened(connection);
    };
    hooks.m_closed = [weak](Connection& connection) {
        if (const auto self = weak.lock())
            self->connectionClosed(connection);
    };
    const auto handler = [weak](const HttpRequest& request, Connection& connection) -> asio::awaitable<HttpReply> {
        const auto self = weak.lock();
        if (!self)
            co_return HttpReply::dropped();
        co_return co_await self->handle(request, connection);
    };
    m_server = std::make_shared<HttpServer>(context, handler, std::move(hooks));
    auto bound = m_server->listen(address, 0);
    if (!succeeded(bound))
        return errorOf(bound);
    m_address = valueOf(std::move(bound));
    return Unit {};
}

std::uint32_t SimulatedMinion::inFlight() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::uint32_t>(m_running.size());
}

void SimulatedMinion::news()
{
    ++m_news;
    m_signal.notify();
}

void SimulatedMinion::leave()
{
    const std::lock_guard lock(m_mutex);
    m_leaving = true;
    news();
}

bool SimulatedMinion::isLeaving() const
{
    const std::lock_guard lock(m_mutex);
    return m_leaving;
}

void SimulatedMinion::close() { m_server->close(); }

void SimulatedMinion::setFaults(const MinionFaults& faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

bool SimulatedMinion::connectionOpened(Connection& connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_connections.size() >= m_shape.m_connections) {
        m_surroundings.m_violations.add("connections-exceeded", m_task.value() + " refused a connection");
        return false;
    }
    m_connections[&connection] = 0;
    return true;
}

void SimulatedMinion::connectionClosed(Connection& connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(&connection);
    const bool isFormer = found->second != 0 && found->second != m_register.epoch();
    m_connections.erase(found);
    if (isFormer)
        news();
}

asio::awaitable<HttpReply> SimulatedMinion::handle(const HttpRequest& request, Connection& connection)
{
    const HttpHandler inner = [this](const HttpRequest& inside, Connection& its) {
        return inside.m_path == "/v1/minion/lease" ? handleLease(inside, its) : handleRequest(inside, its);
    };
    co_return co_await m_surroundings.m_faults.guard(
        PlatformPart::Minions, m_failureDomain.value(), request, connection, inner);
}

asio::awaitable<HttpReply> SimulatedMinion::handleLease(const HttpRequest& request, Connection& connection)
{
    HttpReply reply;
    const json::object body = parseObject(request.m_body);
    const DaemonId holder(stringField(body, "holder"));
    const std::uint64_t epoch = countField(body, "epoch", 0);
    const TimePoint arrival = currentTime();
    const Duration ttl = millisecondsField(body, "ttlMs", Duration::zero());
    TimePoint answerAt = arrival + millisecondsField(body, "waitMs", Duration::zero());
    bool granted = false;
    {
        const std::lock_guard lock(m_mutex);
        const bool isNew = epoch != m_register.epoch();
        granted = m_register.acquire(holder, epoch, ttl, arrival);
        if (granted)
            m_connections[&connection] = epoch;
        if (granted && isNew)
            news();
        // A time to live of zero gives the lease back.
        if (granted && ttl == Duration::zero()) {
            m_register.release(holder, epoch);
            reply.m_body = leaseBody();
            co_return reply;
        }
        if (m_leaving || formerInFlight() > 0)
            answerAt = std::min(answerAt, arrival + urgentWait);
    }
    while (granted && !connection.peerClosed() && currentTime() < answerAt && !needsAnswerAtOnce(epoch, connection))
        co_await connection.waitUntil(answerAt);
    const std::lock_guard lock(m_mutex);
    if (!granted || !m_register.obeys(holder, epoch)) {
        reply.m_status = 409;
        reply.m_body = json::serialize(json::object { { "holder", m_register.holder().value() },
            { "epoch", m_register.epoch() }, { "expiresInMs", toMilliseconds(m_register.expiresIn(currentTime())) } });
        co_return reply;
    }
    m_answeredNews = m_news;
    reply.m_body = leaseBody();
    co_return reply;
}

bool SimulatedMinion::needsAnswerAtOnce(std::uint64_t epoch, Connection& connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_news != m_answeredNews || epoch != m_register.epoch())
        return true;
    m_signal.subscribe(connection);
    return false;
}

std::string SimulatedMinion::leaseBody()
{
    return json::serialize(json::object { { "epoch", m_register.epoch() }, { "inFlight", formerInFlight() },
        { "connections", formerConnections() }, { "slots", m_shape.m_slots }, { "leaving", m_leaving } });
}

std::uint32_t SimulatedMinion::formerInFlight() const
{
    return static_cast<std::uint32_t>(std::count_if(m_running.begin(), m_running.end(),
        [this](const Running& running) { return running.m_abandoned || running.m_epoch != m_register.epoch(); }));
}

std::uint32_t SimulatedMinion::formerConnections() const
{
    return static_cast<std::uint32_t>(std::count_if(m_connections.begin(), m_connections.end(),
        [this](const auto& entry) { return entry.second != 0 && entry.second != m_register.epoch(); }));
}

std::optional<std::string> SimulatedMinion::admit(
    std::uint64_t epoch, const std::string& requestId, const Connection& connection, RunningList::iterator& admitted)
{
    const std::lock_guard lock(m_mutex);
    m_connections[&connection] = epoch;
    if (!m_register.obeysEpoch(epoch))
        return "stale-epoch";
    if (m_leaving)
        return "leaving";
    if (m_running.size() >= m_shape.m_slots) {
        m_surroundings.m_violations.add("slots-exceeded", m_task.value() + " refused request " + requestId);
        return "busy";
    }
    admitted = m_running.insert(m_running.end(), { epoch, false });
    return std::nullopt;
}

void SimulatedMinion::abandon(RunningList::iterator running)
{
    const std::lock_guard lock(m_mutex);
    running->m_abandoned = true;
    news();
}

void SimulatedMinion::endRun(RunningList::iterator running)
{
    const std::lock_guard lock(m_mutex);
    const bool isNews = running->m_abandoned || running->m_epoch != m_register.epoch();
    m_running.erase(running);
    if (isNews)
        news();
}

asio::awaitable<HttpReply> SimulatedMinion::handleRequest(const HttpRequest& request, Connection& connection)
{
    const std::string requestId = request.header("Sapphire-Request-Id");
    const std::uint64_t epoch = parseEpoch(request.header("Sapphire-Epoch"));
    RunningList::iterator running;
    if (const auto reason = admit(epoch, requestId, connection, running))
        co_return refusal(*reason == "stale-epoch" ? 409 : 503, *reason, requestId);

    Execution execution;
    execution.m_request = RequestId(requestId);
    execution.m_idempotencyKey = request.header("Idempotency-Key");
    execution.m_minion = m_task;
    execution.m_epoch = epoch;
    const std::uint64_t sequence = m_surroundings.m_executions.begin(std::move(execution));
    Duration service = std::chrono::milliseconds(std::min<std::uint64_t>(request.number("ms", 0), 3600000));
    {
        const std::lock_guard lock(m_mutex);
        service += m_faults.m_delay;
    }
    const bool hangs = request.number("hang", 0) != 0;
    const TimePoint endsAt = currentTime() + (hangs ? Duration(std::chrono::hours(24)) : service);
    co_await connection.sleepUntil(endsAt);
    std::string outcome;
    HttpReply reply;
    if (connection.peerClosed()) {
        // The work goes on without its caller and keeps the slot until it ends.
        abandon(running);
        asio::steady_timer timer(connection.socket().get_executor());
        timer.expires_at(toSteady(hangs ? currentTime() : endsAt));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        outcome = "abandoned";
        reply = HttpReply::dropped();
    } else {
        reply = answer(request, outcome);
    }
    m_surroundings.m_executions.end(sequence, outcome);
    endRun(running);
    co_return reply;
}

HttpReply SimulatedMinion::answer(const HttpRequest& request, std::string& outcome)
{
    const std::string requestId = request.header("Sapphire-Request-Id");
    const std::size_t bytes = request.number("bytes", 0);
    HttpReply reply;
    reply.m_status = static_cast<unsigned>(std::clamp<std::uint64_t>(request.number("status", 200), 200, 599));
    reply.m_headers.emplace_back("Sapphire-Request-Id", requestId);
    reply.m_body = bytes > 0 ? pattern(requestId, std::min(bytes, maxAnswerBytes)) : request.m_body;
    reply.m_chunked = request.number("chunked", 0) != 0;
    if (const std::uint64_t cut = request.number("cut", UINT64_MAX); cut != UINT64_MAX)
        reply.m_cutAfter = cut;

    const std::lock_guard lock(m_mutex);
    HttpReply own = reply;
    if (m_previousAnswer && takeOne(m_faults.m_swapAnswers))
        reply = *m_previousAnswer;
    m_previousAnswer = std::move(own);
    if (takeOne(m_faults.m_cutAnswers))
        reply.m_cutAfter = reply.m_body.size() / 2;
    if (request.number("drop", 0) != 0 || takeOne(m_faults.m_loseAnswers))
        reply = HttpReply::dropped();
    outcome = reply.m_drop ? "lost" : reply.m_cutAfter ? "cut" : "answered";
    return reply;
}

} // namespace sapphiredale::standin
