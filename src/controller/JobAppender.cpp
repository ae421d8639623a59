// Batching, retries and deadlines of JobAppender.

#include "controller/JobAppender.h"

#include <algorithm>

namespace sapphiredale::controller {

namespace {

    /// Limits of one append; the store accepts up to 2 MB.
    constexpr std::size_t maxRecords = 200;
    constexpr std::size_t maxBytes = 1 << 20;
    /// Timeout of one append; leaves time for another attempt when a connection does not answer.
    constexpr Duration appendTimeout = std::chrono::milliseconds(900);
    constexpr Duration retryInterval = std::chrono::milliseconds(100);
    /// Timeout of a probe; a slow store takes 0.25 s to answer.
    constexpr Duration probeTimeout = std::chrono::milliseconds(600);
    constexpr const char* probeName = "probe";
    /// Refused appends in a row after which the store counts as unavailable; a partial outage affects two of five
    /// partitions. An unanswered append counts twice, since it takes up most of the callers' time.
    constexpr std::uint32_t failuresUntilUnavailable = 4;
    constexpr std::uint32_t timeoutWeight = 2;

} // namespace

JobAppender::JobAppender(
    boost::asio::io_context& context, const std::string& store, userplatform::Partition first, std::uint32_t partitions)
    : m_store(context, store)
    , m_partition(std::move(first))
    , m_partitions(partitions)
    , m_retryTimer(context)
    , m_expiryTimer(context)
{
}

JobAppender::~JobAppender() { *m_isAlive = false; }

void JobAppender::append(
    const std::string& key, const std::string& value, TimePoint deadline, std::function<void(StoreOutcome)> handler)
{
    if (m_isUnavailable)
        return handler(StoreOutcome::NotStored);
    auto entry = std::make_shared<Entry>();
    entry->m_key = key;
    entry->m_value = value;
    entry->m_deadline = deadline;
    entry->m_handler = std::move(handler);
    m_queue.push_back(std::move(entry));
    armExpiryTimer();
    send();
}

void JobAppender::complete(const EntryPointer& entry, StoreOutcome outcome)
{
    if (!entry->m_handler)
        return;
    const auto handler = std::move(entry->m_handler);
    entry->m_handler = nullptr;
    handler(outcome);
}

void JobAppender::send()
{
    if (m_isSending || m_isProbing || m_queue.empty())
        return;
    std::vector<std::pair<std::string, std::optional<std::string>>> records;
    std::size_t bytes = 0;
    while (!m_queue.empty() && records.size() < maxRecords && bytes < maxBytes) {
        if (m_queue.front()->m_goesAlone && !records.empty())
            break;
        EntryPointer entry = std::move(m_queue.front());
        m_queue.pop_front();
        if (!entry->m_handler)
            continue;
        bytes += entry->m_value.size();
        records.emplace_back(entry->m_key, entry->m_value);
        m_sent.push_back(std::move(entry));
        if (m_sent.back()->m_goesAlone)
            break;
    }
    if (records.empty())
        return;
    m_isSending = true;
    m_store.append(
        m_partition, records, {}, appendTimeout, [this, alive = m_isAlive](const userplatform::AppendAnswer& answer) {
            if (!*alive)
                return;
            m_isSending = false;
            handleAnswer(std::exchange(m_sent, {}), answer);
        });
}

void JobAppender::handleAnswer(const std::vector<EntryPointer>& sent, const userplatform::AppendAnswer& answer)
{
    using Kind = userplatform::AppendAnswer::Kind;
    if (answer.m_kind == Kind::Appended) {
        m_failures = 0;
        for (const EntryPointer& entry : sent)
            complete(entry, StoreOutcome::Stored);
        return send();
    }
    if (answer.m_kind == Kind::Rejected) {
        handleRejection(sent);
        return send();
    }
    useNextPartition();
    m_failures += answer.m_kind == Kind::Unknown ? timeoutWeight : 1;
    const bool triesAnother = m_failures < failuresUntilUnavailable;
    const TimePoint now = bootNow();
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
        Entry& entry = **it;
        entry.m_mayBeStored = entry.m_mayBeStored || answer.m_kind == Kind::Unknown;
        if (entry.m_handler && now < entry.m_deadline && (triesAnother || entry.m_mayBeStored))
            m_queue.push_front(*it);
        else
            complete(*it, entry.m_mayBeStored ? StoreOutcome::Unknown : StoreOutcome::NotStored);
    }
    if (triesAnother) {
        armExpiryTimer();
        return send();
    }
    m_isUnavailable = true;
    m_isProbing = true;
    probe();
}

void JobAppender::handleRejection(const std::vector<EntryPointer>& sent)
{
    // One record may be at fault for all; no partition takes it.
    if (sent.size() == 1)
        return complete(sent.front(), sent.front()->m_mayBeStored ? StoreOutcome::Unknown : StoreOutcome::NotStored);
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
        (*it)->m_goesAlone = true;
        m_queue.push_front(*it);
    }
    armExpiryTimer();
}

void JobAppender::probe()
{
    m_retryTimer.expires_after(retryInterval);
    m_retryTimer.async_wait([this, alive = m_isAlive](boost::system::error_code error) {
        if (error || !*alive)
            return;
        // Without records the append changes nothing, whatever its outcome.
        userplatform::AppendCondition condition;
        condition.m_writer = probeName;
        m_store.append(m_partition, {}, condition, probeTimeout,
            [this, alive = m_isAlive](const userplatform::AppendAnswer& answer) {
                if (*alive)
                    handleProbeAnswer(answer);
            });
    });
}

void JobAppender::handleProbeAnswer(const userplatform::AppendAnswer& answer)
{
    using enum userplatform::AppendAnswer::Kind;
    if (answer.m_kind == NotAppended || answer.m_kind == Rejected || answer.m_kind == Unknown) {
        useNextPartition();
        return probe();
    }
    m_failures = 0;
    m_isUnavailable = false;
    m_isProbing = false;
    send();
}

void JobAppender::armExpiryTimer()
{
    TimePoint next = TimePoint::max();
    for (const EntryPointer& entry : m_queue) {
        if (entry->m_handler)
            next = std::min(next, entry->m_deadline);
    }
    for (const EntryPointer& entry : m_sent) {
        if (entry->m_handler)
            next = std::min(next, entry->m_deadline);
    }
    if (next == TimePoint::max())
        return;
    m_expiryTimer.expires_after(std::max<Duration>(next - bootNow(), std::chrono::milliseconds(1)));
    m_expiryTimer.async_wait([this, alive = m_isAlive](boost::system::error_code error) {
        if (!error && *alive)
            expire();
    });
}

void JobAppender::expire()
{
    const TimePoint now = bootNow();
    for (const EntryPointer& entry : m_sent) {
        if (entry->m_deadline <= now)
            complete(entry, StoreOutcome::Unknown);
    }
    std::vector<EntryPointer> expired;
    for (const EntryPointer& entry : m_queue) {
        if (entry->m_deadline <= now)
            expired.push_back(entry);
    }
    std::erase_if(m_queue, [now](const EntryPointer& entry) { return entry->m_deadline <= now; });
    for (const EntryPointer& entry : expired)
        complete(entry, entry->m_mayBeStored ? StoreOutcome::Unknown : StoreOutcome::NotStored);
    armExpiryTimer();
}

} // namespace sapphiredale::controller
