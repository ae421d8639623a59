// Appends records to one stream in batches.

#include "daemon/BatchAppender.h"

#include <utility>

namespace sapphiredale::daemon {

using observability::MetricName;

namespace {

    constexpr Duration longestDelay = std::chrono::milliseconds(20);
    constexpr std::size_t batchBytes = std::size_t { 64 } << 10;
    constexpr std::size_t mostWaiting = 20000;
    constexpr Duration appendTimeout = std::chrono::seconds(4);

} // namespace

struct BatchAppender::State : std::enable_shared_from_this<State> {
    State(Runtime& runtime, platform::HttpLogService& log, std::string stream, observability::MetricsRegistry& metrics)
        : m_runtime(runtime)
        , m_log(log)
        , m_stream(std::move(stream))
        , m_metrics(metrics)
    {
    }

    struct Waiting {
        std::string m_record;
        Handler m_handler;
    };

    /// Sends what has collected, unless an append is under way. Called with m_mutex held.
    void send()
    {
        if (m_inFlight || m_waiting.empty())
            return;
        m_inFlight = true;
        std::vector<std::string> records;
        std::vector<Handler> handlers;
        std::size_t bytes = 0;
        std::size_t taken = 0;
        while (taken < m_waiting.size() && (taken == 0 || bytes + m_waiting[taken].m_record.size() <= batchBytes)) {
            bytes += m_waiting[taken].m_record.size();
            records.push_back(std::move(m_waiting[taken].m_record));
            handlers.push_back(std::move(m_waiting[taken].m_handler));
            ++taken;
        }
        m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(taken));
        m_bytes -= bytes;
        m_log.append(m_stream, records, appendTimeout,
            [self = shared_from_this(), handlers = std::move(handlers), sentAt = now()](
                const Result<std::uint64_t>& result) { self->appended(result, handlers, sentAt); });
    }

    void appended(const Result<std::uint64_t>& result, const std::vector<Handler>& handlers, TimePoint sentAt)
    {
        const bool success = succeeded(result);
        m_metrics.counter(MetricName::LogAppendsTotal, { "domain", success ? "appended" : "failed" }).add();
        m_metrics.distribution(MetricName::LogAppendSeconds)
            .record(std::chrono::duration<double>(now() - sentAt).count());
        for (std::size_t i = 0; i < handlers.size(); ++i) {
            if (success)
                handlers[i](valueOf(result) + i);
            else
                handlers[i](errorOf(result));
        }
        const std::lock_guard lock(m_mutex);
        m_inFlight = false;
        if (m_alarm)
            send();
    }

    Runtime& m_runtime;
    platform::HttpLogService& m_log;
    std::string m_stream;
    observability::MetricsRegistry& m_metrics;

    std::mutex m_mutex;
    /// Guarded by m_mutex, as are the members below.
    std::vector<Waiting> m_waiting;
    std::size_t m_bytes = 0;
    bool m_inFlight = false;
    std::unique_ptr<Alarm> m_alarm;
};

BatchAppender::BatchAppender(
    Runtime& runtime, platform::HttpLogService& log, std::string stream, observability::MetricsRegistry& metrics)
    : m_state(std::make_shared<State>(runtime, log, std::move(stream), metrics))
{
    m_state->m_alarm = std::make_unique<Alarm>(runtime, [weak = std::weak_ptr(m_state)] {
        if (const auto state = weak.lock()) {
            const std::lock_guard lock(state->m_mutex);
            state->send();
        }
    });
}

BatchAppender::~BatchAppender()
{
    const std::lock_guard lock(m_state->m_mutex);
    m_state->m_alarm.reset();
}

void BatchAppender::append(std::string record, Handler handler)
{
    const std::lock_guard lock(m_state->m_mutex);
    if (m_state->m_waiting.size() >= mostWaiting) {
        m_state->m_runtime.post([handler = std::move(handler)] {
            handler(Error { ErrorKind::Overloaded, "too many records wait for the log" });
        });
        return;
    }
    m_state->m_bytes += record.size();
    m_state->m_waiting.push_back({ std::move(record), std::move(handler) });
    if (m_state->m_bytes >= batchBytes)
        m_state->send();
    else if (m_state->m_waiting.size() == 1)
        m_state->m_alarm->set(now() + longestDelay);
}

} // namespace sapphiredale::daemon
