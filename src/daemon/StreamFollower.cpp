// Follows one stream of the log.

#include "daemon/StreamFollower.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::daemon {

namespace {

    constexpr Duration pollWait = std::chrono::seconds(20);
    constexpr Duration answerTimeout = std::chrono::seconds(3);
    constexpr Duration firstRetry = std::chrono::milliseconds(200);
    constexpr Duration longestRetry = std::chrono::seconds(5);
    constexpr std::uint32_t pageBytes = 256 * 1024;

} // namespace

struct StreamFollower::State : std::enable_shared_from_this<State> {
    State(Runtime& runtime, platform::HttpLogService& log, std::string stream, StreamObserver& observer)
        : m_runtime(runtime)
        , m_log(log)
        , m_stream(std::move(stream))
        , m_observer(&observer)
    {
    }

    void poll()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_observer)
            return;
        const Duration wait = m_behind ? Duration::zero() : pollWait;
        m_log.read(m_stream, m_next, pageBytes, wait, wait + answerTimeout,
            [self = shared_from_this(), sentAt = now()](
                const Result<platform::LogPage>& result) { self->polled(result, sentAt); });
    }

    void polled(const Result<platform::LogPage>& result, TimePoint sentAt)
    {
        if (succeeded(result)) {
            take(valueOf(result), sentAt);
            poll();
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (!m_observer)
            return;
        m_out = true;
        m_retry = std::clamp(m_retry * 2, firstRetry, longestRetry);
        m_alarm->set(now() + m_retry);
    }

    void readEnd()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_observer)
            return;
        m_log.read(m_stream, m_next, pageBytes, Duration::zero(), answerTimeout,
            [self = shared_from_this(), sentAt = now()](const Result<platform::LogPage>& result) {
                if (succeeded(result) && !self->take(valueOf(result), sentAt))
                    self->readEnd();
                else
                    self->m_endRead = false;
            });
    }

    /// Passes the records on; true when the page shows the end of the stream.
    bool take(const platform::LogPage& page, TimePoint sentAt)
    {
        // The calls to the observer keep the order of the offsets, also when both reads return at once.
        const std::lock_guard delivery(m_delivery);
        StreamObserver* observer = nullptr;
        std::uint64_t next = 0;
        {
            const std::lock_guard lock(m_mutex);
            observer = m_observer;
            next = m_next;
            m_out = false;
            m_retry = Duration::zero();
        }
        if (!observer)
            return true;
        if (page.m_earliest > next) {
            observer->recordsExpired(m_stream, next, page.m_earliest);
            next = page.m_earliest;
        }
        for (const platform::LogRecord& record : page.m_records) {
            if (record.m_offset < next)
                continue;
            observer->recordRead(m_stream, record);
            next = record.m_offset + 1;
        }
        const bool isEnd = page.m_records.empty();
        if (isEnd)
            observer->caughtUp(m_stream, sentAt);
        const std::lock_guard lock(m_mutex);
        m_next = std::max(next, m_next);
        m_behind = !isEnd;
        return isEnd;
    }

    Runtime& m_runtime;
    platform::HttpLogService& m_log;
    std::string m_stream;
    std::mutex m_delivery;
    std::atomic<bool> m_endRead { false };

    std::mutex m_mutex;
    /// Guarded by m_mutex, as are the members below. Null once the follower was destroyed.
    StreamObserver* m_observer;
    std::uint64_t m_next = 0;
    /// True when the last page had records, so that the end is not known yet.
    bool m_behind = true;
    bool m_out = false;
    Duration m_retry {};
    std::unique_ptr<Alarm> m_alarm;
};

StreamFollower::StreamFollower(
    Runtime& runtime, platform::HttpLogService& log, std::string stream, StreamObserver& observer)
    : m_state(std::make_shared<State>(runtime, log, std::move(stream), observer))
{
    m_state->m_alarm = std::make_unique<Alarm>(runtime, [weak = std::weak_ptr(m_state)] {
        if (const auto state = weak.lock())
            state->poll();
    });
}

StreamFollower::~StreamFollower()
{
    const std::lock_guard delivery(m_state->m_delivery);
    const std::lock_guard lock(m_state->m_mutex);
    m_state->m_observer = nullptr;
    m_state->m_alarm.reset();
}

void StreamFollower::start() { m_state->poll(); }

void StreamFollower::requestEnd()
{
    if (!m_state->m_endRead.exchange(true))
        m_state->readEnd();
}

std::uint64_t StreamFollower::nextOffset() const
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_next;
}

bool StreamFollower::isLogOut() const
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_out;
}

} // namespace sapphiredale::daemon
