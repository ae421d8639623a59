// Listing, reading and retries of TopicFollower.

#include "controller/TopicFollower.h"

#include <algorithm>

namespace sapphiredale::controller {

namespace {

    /// Pause after a failed call, and between reads of a topic without records.
    constexpr Duration retryInterval = std::chrono::milliseconds(100);
    /// Limit of one answer, and of those after a failed read: a backlog that takes longer than the timeout would grow
    /// with each attempt.
    constexpr std::uint32_t maxReadKiB = 512;
    constexpr std::uint32_t maxReadKiBAfterFailure = 64;
    /// Longest wait of the first read after a failed one, so that a complete view is confirmed early. A running
    /// scheduler renews its term sooner, since it retries after 0.1 s.
    constexpr Duration waitAfterFailure = std::chrono::milliseconds(400);

} // namespace

class TopicFollower::Impl : public std::enable_shared_from_this<TopicFollower::Impl> {
public:
    Impl(boost::asio::io_context& context, const std::string& store, const FollowerSettings& settings,
        FollowerObserver& observer)
        : m_settings(settings)
        , m_observer(&observer)
        , m_store(context, store)
        , m_timer(context)
    {
    }

    void start() { list({}); }
    void stop()
    {
        m_observer = nullptr;
        m_timer.cancel();
    }
    TimePoint caughtUpAt() const { return m_caughtUpAt; }
    std::uint32_t consecutiveFailures() const { return m_failures; }
    std::uint32_t consecutiveRefusals() const { return m_refusals; }

private:
    void list(const std::string& after)
    {
        const TimePoint askedAt = bootNow();
        // A listing does not wait for records, but a slow store takes long for the first pages.
        m_store.readNewest(m_settings.m_partition, after, m_settings.m_wait + m_settings.m_answerTimeout,
            [weak = weak_from_this(), after, askedAt](const Result<userplatform::NewestPage>& result) {
                if (const auto self = weak.lock())
                    self->handlePage(after, askedAt, result);
            });
    }

    void handlePage(const std::string& after, TimePoint askedAt, const Result<userplatform::NewestPage>& result)
    {
        if (m_observer == nullptr)
            return;
        if (!succeeded(result)) {
            return handleFailure(errorOf(result), [this] { list({}); });
        }
        const userplatform::NewestPage& page = valueOf(result);
        if (after.empty()) {
            // Pages are not a consistent snapshot: changes during the listing are read again from this offset.
            m_next = page.m_end;
            m_observer->listingBegan();
        }
        for (const userplatform::KeyedRecord& record : page.m_records) {
            if (m_observer == nullptr)
                return;
            m_observer->recordRead(record);
        }
        if (m_observer == nullptr)
            return;
        if (page.m_hasMore && !page.m_nextKey.empty())
            return list(page.m_nextKey);
        m_caughtUpAt = askedAt;
        m_observer->listingEnded();
        if (m_observer == nullptr)
            return;
        m_observer->caughtUp(m_next, askedAt);
        read();
    }

    void read()
    {
        if (m_observer == nullptr)
            return;
        const TimePoint askedAt = bootNow();
        const Duration wait = m_failures > 0 ? std::min(m_settings.m_wait, waitAfterFailure) : m_settings.m_wait;
        const std::uint32_t maxKiB = m_isCatchingUp ? maxReadKiBAfterFailure : maxReadKiB;
        m_store.read(m_settings.m_partition, m_next, maxKiB, wait, wait + m_settings.m_answerTimeout,
            [weak = weak_from_this(), askedAt](const Result<userplatform::ReadAnswer>& result) {
                if (const auto self = weak.lock())
                    self->handleRead(askedAt, result);
            });
    }

    void handleRead(TimePoint askedAt, const Result<userplatform::ReadAnswer>& result)
    {
        if (m_observer == nullptr)
            return;
        if (!succeeded(result)) {
            m_isCatchingUp = true;
            return handleFailure(errorOf(result), [this] { read(); });
        }
        m_failures = 0;
        m_refusals = 0;
        const userplatform::ReadAnswer& answer = valueOf(result);
        if (answer.m_isTrimmed)
            return list({});
        for (const userplatform::KeyedRecord& record : answer.m_records) {
            if (m_observer == nullptr)
                return;
            m_observer->recordRead(record);
        }
        if (m_observer == nullptr)
            return;
        m_next = answer.m_next;
        if (m_next < answer.m_end)
            return read();
        m_isCatchingUp = false;
        m_caughtUpAt = askedAt;
        m_observer->caughtUp(m_next, askedAt);
        // The store answers a read of a topic without records at once.
        const bool isIdle = answer.m_records.empty() && bootNow() - askedAt < m_settings.m_wait / 2;
        const Duration pause = isIdle ? std::max(m_settings.m_pause, retryInterval) : m_settings.m_pause;
        if (pause.count() > 0)
            return runAfter(pause, [this] { read(); });
        read();
    }

    template <typename Function> void handleFailure(const Error& error, Function retry)
    {
        const bool isTimeout
            = error.m_kind == ErrorKind::DeadlineExceeded || error.m_kind == ErrorKind::DeadlineExceededMayHaveRun;
        ++m_failures;
        m_refusals += isTimeout ? 0 : 1;
        m_observer->readFailed(error);
        runAfter(retryInterval, retry);
    }

    template <typename Function> void runAfter(Duration pause, Function function)
    {
        m_timer.expires_after(pause);
        m_timer.async_wait([self = shared_from_this(), function](boost::system::error_code error) {
            if (!error && self->m_observer != nullptr)
                function();
        });
    }

    const FollowerSettings m_settings;
    /// Null once the follower is stopped.
    FollowerObserver* m_observer;
    userplatform::StoreConnection m_store;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_next = 0;
    TimePoint m_caughtUpAt {};
    std::uint32_t m_failures = 0;
    std::uint32_t m_refusals = 0;
    /// A read has failed since the end of the partition was last reached.
    bool m_isCatchingUp = false;
};

TopicFollower::TopicFollower(boost::asio::io_context& context, const std::string& store,
    const FollowerSettings& settings, FollowerObserver& observer)
    : m_impl(std::make_shared<Impl>(context, store, settings, observer))
{
}

TopicFollower::~TopicFollower() { m_impl->stop(); }

void TopicFollower::start() { m_impl->start(); }

TimePoint TopicFollower::caughtUpAt() const { return m_impl->caughtUpAt(); }

std::uint32_t TopicFollower::consecutiveFailures() const { return m_impl->consecutiveFailures(); }

std::uint32_t TopicFollower::consecutiveRefusals() const { return m_impl->consecutiveRefusals(); }

} // namespace sapphiredale::controller
