// The parties of a load.

#include "load/LoadRun.h"

#include "load/HttpConnection.h"

#include <boost/json.hpp>
#include <charconv>
#include <random>
#include <thread>

namespace sapphiredale::load {

namespace json = boost::json;
using Steady = std::chrono::steady_clock;

namespace {

    constexpr std::uint32_t maxAttempts = 4;
    /// Pause before a request is sent again, so that a refusal by every address does not use up the attempts at once.
    constexpr std::chrono::milliseconds retryPause { 200 };
    /// Every so many requests have a body that spans several buffers of a daemon.
    constexpr std::uint64_t largeBodyInterval = 50;
    constexpr std::size_t largeBodyBytes = 100000;

    std::int64_t nowUs()
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(Steady::now().time_since_epoch()).count();
    }

    std::int64_t wallMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    /// A text of a length that starts with a name and repeats it after spaces, as the minions of the stand-in do.
    std::string repeated(const std::string& name, std::size_t length)
    {
        std::string text;
        text.reserve(length + name.size() + 1);
        while (text.size() < length)
            text += name + ' ';
        text.resize(length);
        return text;
    }

    /// Fills in what every kind of operation takes from a response.
    void readProblem(const HttpAnswer& answer, HistoryEntry& entry)
    {
        entry.m_status = answer.m_status;
        entry.m_requestId = std::string(answer.header("Sapphire-Request-Id"));
        if (answer.header("Content-Type") != "application/problem+json") {
            entry.m_outcome = OperationOutcome::Answered;
            return;
        }
        entry.m_outcome = OperationOutcome::Refused;
        boost::system::error_code error;
        const json::value document = json::parse(answer.m_body, error);
        if (error || !document.is_object())
            return;
        const json::object& object = document.get_object();
        if (const json::value* type = object.if_contains("type"); type && type->is_string()) {
            const std::string text(type->get_string());
            entry.m_problem = text.substr(text.rfind(':') + 1);
        }
        if (const json::value* state = object.if_contains("runState"); state && state->is_string())
            entry.m_runState = std::string(state->get_string());
    }

    bool mayBeSentAgain(const HistoryEntry& entry)
    {
        return entry.m_outcome == OperationOutcome::Lost || entry.m_outcome == OperationOutcome::Unsent
            || (entry.m_outcome == OperationOutcome::Refused && entry.m_runState == "not-run");
    }

} // namespace

HistoryRecorder::HistoryRecorder(std::ostream& stream)
    : m_stream(stream)
{
}

void HistoryRecorder::record(HistoryEntry entry)
{
    const std::lock_guard lock(m_mutex);
    m_stream << toLine(entry) << '\n';
    entry.m_line = m_entries.size() + 1;
    m_entries.push_back(std::move(entry));
}

/// Connections to a list of addresses and a random source of one thread.
class LoadRun::Party {
public:
    Party(LoadRun& run, std::string name, const std::vector<std::string>& addresses, std::uint64_t seed)
        : m_run(run)
        , m_name(std::move(name))
        , m_random(seed)
        // The time makes names unique among the runs against one stand-in.
        , m_operationPrefix(m_name + '-' + std::to_string(wallMs()) + '-')
    {
        for (const std::string& address : addresses)
            m_connections.emplace_back(address, run.m_settings.m_timeout);
        m_next = seed % m_connections.size();
    }

protected:
    std::string nextOperation() { return m_operationPrefix + std::to_string(++m_operations); }

    HistoryEntry entryOf(OperationKind kind, const std::string& operation) const
    {
        HistoryEntry entry;
        entry.m_kind = kind;
        entry.m_party = m_name;
        entry.m_operation = operation;
        return entry;
    }

    /// Sends through the next address and fills in the entry; the response is empty when it was lost.
    HttpAnswer send(const HttpCall& call, HistoryEntry& entry)
    {
        HttpConnection& connection = m_connections[m_next++ % m_connections.size()];
        entry.m_address = connection.address();
        entry.m_invokedUs = nowUs();
        HttpResult result = connection.call(call);
        entry.m_completedUs = nowUs();
        if (const auto* failure = std::get_if<HttpFailure>(&result)) {
            entry.m_outcome = failure->m_isSent ? OperationOutcome::Lost : OperationOutcome::Unsent;
            return {};
        }
        readProblem(std::get<HttpAnswer>(result), entry);
        return std::get<HttpAnswer>(std::move(result));
    }

    LoadRun& m_run;
    std::string m_name;
    std::mt19937_64 m_random;
    std::uint64_t m_operations = 0;

private:
    std::string m_operationPrefix;
    std::vector<HttpConnection> m_connections;
    std::size_t m_next = 0;
};

/// Sends requests one after the other.
class LoadRun::Caller : Party {
public:
    using Party::Party;

    void run()
    {
        const LoadSettings& settings = m_run.m_settings;
        while (!m_run.isOver() && m_run.m_started.fetch_add(1) < settings.m_requests) {
            if (std::uniform_real_distribution<>()(m_random) < settings.m_nonRepeatable)
                sendNonRepeatable();
            else
                sendRepeatable();
            std::this_thread::sleep_for(settings.m_pause);
        }
    }

private:
    std::string target() const
    {
        const LoadSettings& settings = m_run.m_settings;
        return "/v1/services/" + settings.m_service + "/echo?ms=" + std::to_string(settings.m_serviceTime.count());
    }

    std::size_t bodyLength()
    {
        if (m_operations % largeBodyInterval == 0)
            return largeBodyBytes;
        return std::uniform_int_distribution<std::size_t>(40, 400)(m_random);
    }

    HttpCall callWith(std::string method, std::string callTarget) const
    {
        return { std::move(method), std::move(callTarget), { { "Sapphire-Team", m_run.m_settings.m_team } }, {} };
    }

    /// A PUT, whose response is its own body, or a GET, whose response repeats its request identifier.
    void sendRepeatable()
    {
        HistoryEntry entry = entryOf(OperationKind::Request, nextOperation());
        const std::size_t length = bodyLength();
        const bool isPut = m_random() % 2 == 0;
        HttpCall call = callWith(isPut ? "PUT" : "GET", target());
        if (isPut)
            call.m_body = repeated(entry.m_operation, length);
        else
            call.m_target += "&bytes=" + std::to_string(length);
        const HttpAnswer answer = send(call, entry);
        if (entry.m_outcome == OperationOutcome::Answered) {
            entry.m_expectedBody = digestOf(isPut ? call.m_body : repeated(entry.m_requestId, length));
            entry.m_body = digestOf(answer.m_body);
        }
        m_run.m_recorder.record(std::move(entry));
    }

    void sendNonRepeatable()
    {
        const LoadSettings& settings = m_run.m_settings;
        const std::string operation = nextOperation();
        const Steady::time_point deadline = Steady::now() + settings.m_deadline;
        // All attempts are equal: a key with another target, body or deadline is another request.
        HttpCall call = callWith("POST", target());
        call.m_headers.emplace_back("Idempotency-Key", operation);
        call.m_headers.emplace_back("Sapphire-Deadline", std::to_string(wallMs() + settings.m_deadline.count()));
        call.m_body = repeated(operation, bodyLength());
        for (std::uint32_t attempt = 1; attempt <= maxAttempts && Steady::now() < deadline; ++attempt) {
            HistoryEntry entry = entryOf(OperationKind::Request, operation);
            entry.m_attempt = attempt;
            entry.m_key = operation;
            const HttpAnswer answer = send(call, entry);
            if (entry.m_outcome == OperationOutcome::Answered) {
                entry.m_replayed = !answer.header("Sapphire-Replayed").empty();
                entry.m_expectedBody = digestOf(call.m_body);
                entry.m_body = digestOf(answer.m_body);
            }
            const bool again = mayBeSentAgain(entry);
            m_run.m_recorder.record(std::move(entry));
            if (!again)
                return;
            std::this_thread::sleep_for(retryPause);
        }
    }
};

/// Submits jobs of one task.
class LoadRun::Submitter : Party {
public:
    using Party::Party;

    void run()
    {
        const LoadSettings& settings = m_run.m_settings;
        HttpCall call { "POST", "/v1/jobs", {}, {} };
        call.m_body = json::serialize(json::object { { "workload", settings.m_jobWorkload }, { "tasks", 1 } });
        while (!m_run.m_callersEnded) {
            HistoryEntry entry = entryOf(OperationKind::Job, nextOperation());
            const HttpAnswer answer = send(call, entry);
            boost::system::error_code error;
            const json::value document = json::parse(answer.m_body, error);
            if (!error && document.is_object()) {
                if (const json::value* job = document.get_object().if_contains("job"); job && job->is_string())
                    entry.m_job = std::string(job->get_string());
            }
            m_run.m_recorder.record(std::move(entry));
            std::this_thread::sleep_for(settings.m_jobPause);
        }
    }
};

/// Reads the configuration from one operator address after the other.
class LoadRun::Reader : Party {
public:
    using Party::Party;

    void run()
    {
        while (!m_run.m_callersEnded) {
            HistoryEntry entry = entryOf(OperationKind::Read, nextOperation());
            const HttpAnswer answer = send({ "GET", "/v1/configuration", {}, {} }, entry);
            if (entry.m_outcome == OperationOutcome::Answered) {
                std::string tag(answer.header("ETag"));
                std::erase(tag, '"');
                std::from_chars(tag.data(), tag.data() + tag.size(), entry.m_version);
                entry.m_hash = digestOf(answer.m_body);
                entry.m_confirmed = answer.header("Sapphire-Freshness") == "confirmed";
            }
            m_run.m_recorder.record(std::move(entry));
            std::this_thread::sleep_for(m_run.m_settings.m_readPause);
        }
    }
};

LoadRun::LoadRun(LoadSettings settings, HistoryRecorder& recorder)
    : m_settings(std::move(settings))
    , m_recorder(recorder)
{
}

bool LoadRun::isOver() const { return Steady::now() >= m_end; }

void LoadRun::run()
{
    m_end = Steady::now() + m_settings.m_time;
    std::uint64_t seed = m_settings.m_seed * 1000;
    std::vector<std::jthread> observers;
    if (!m_settings.m_jobWorkload.empty())
        observers.emplace_back(
            [this, mySeed = seed++] { Submitter(*this, "submitter-1", m_settings.m_callerAddresses, mySeed).run(); });
    for (std::uint32_t i = 1; i <= m_settings.m_readers && !m_settings.m_operatorAddresses.empty(); ++i)
        observers.emplace_back([this, i, mySeed = seed++] {
            Reader(*this, "reader-" + std::to_string(i), m_settings.m_operatorAddresses, mySeed).run();
        });
    {
        std::vector<std::jthread> callers;
        for (std::uint32_t i = 1; i <= m_settings.m_callers; ++i)
            callers.emplace_back([this, i, mySeed = seed++] {
                Caller(*this, "caller-" + std::to_string(i), m_settings.m_callerAddresses, mySeed).run();
            });
    }
    m_callersEnded = true;
}

} // namespace sapphiredale::load
