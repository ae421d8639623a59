// Appends, reads, retention and faults of the simulated log.

#include "standin/LogStore.h"

#include "standin/Clock.h"

#include <algorithm>

namespace sapphiredale::standin {

LogStore::LogStore(LogSettings settings)
    : m_settings(settings)
    , m_allowance(settings.m_appendsPerSecond)
    , m_rateTime(currentTime())
{
}

LogStore::Stream& LogStore::streamOf(const std::string& name)
{
    {
        const std::shared_lock lock(m_streamsMutex);
        if (const auto found = m_streams.find(name); found != m_streams.end())
            return *found->second;
    }
    const std::unique_lock lock(m_streamsMutex);
    auto& stream = m_streams[name];
    if (!stream)
        stream = std::make_unique<Stream>();
    return *stream;
}

bool LogStore::takeAppend()
{
    if (m_settings.m_appendsPerSecond == 0)
        return true;
    const std::lock_guard lock(m_rateMutex);
    const TimePoint now = currentTime();
    const double elapsed = std::chrono::duration<double>(now - m_rateTime).count();
    const double limit = m_settings.m_appendsPerSecond;
    m_allowance = std::min(limit, m_allowance + elapsed * limit);
    m_rateTime = now;
    if (m_allowance < 1)
        return false;
    m_allowance -= 1;
    return true;
}

std::optional<std::uint64_t> LogStore::append(const std::string& name, std::vector<std::string> records)
{
    if (!takeAppend())
        return std::nullopt;
    Stream& stream = streamOf(name);
    const std::lock_guard lock(stream.m_mutex);
    const std::uint64_t first = stream.m_next;
    const WallTime now = currentWallTime();
    for (std::string& record : records)
        stream.m_records.push_back({ stream.m_next++, now, std::move(record) });
    applyRetention(stream);
    stream.m_signal.notify();
    return first;
}

void LogStore::applyRetention(Stream& stream) const
{
    auto& records = stream.m_records;
    if (m_settings.m_retainedRecords > 0) {
        while (records.size() > m_settings.m_retainedRecords)
            records.pop_front();
    }
    if (m_settings.m_retention > Duration::zero()) {
        const WallTime oldest
            = currentWallTime() - std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.m_retention);
        while (!records.empty() && records.front().m_time < oldest)
            records.pop_front();
    }
}

StoredPage LogStore::read(const std::string& name, std::uint64_t from, std::uint64_t maxBytes)
{
    Stream& stream = streamOf(name);
    const std::lock_guard lock(stream.m_mutex);
    applyRetention(stream);
    StoredPage page;
    page.m_earliest = stream.m_records.empty() ? stream.m_next : stream.m_records.front().m_offset;
    page.m_next = std::clamp(from, page.m_earliest, stream.m_next);
    std::uint64_t bytes = 0;
    while (page.m_next < stream.m_next) {
        const StoredRecord& record = stream.m_records[page.m_next - page.m_earliest];
        bytes += record.m_data.size();
        if (!page.m_records.empty() && bytes > maxBytes)
            break;
        page.m_records.push_back(record);
        ++page.m_next;
    }
    return page;
}

bool LogStore::hasRecords(const std::string& name, std::uint64_t from, Connection& connection)
{
    Stream& stream = streamOf(name);
    const std::lock_guard lock(stream.m_mutex);
    if (from < stream.m_next)
        return true;
    stream.m_signal.subscribe(connection);
    return false;
}

void LogStore::truncate(const std::string& name, std::uint64_t before)
{
    Stream& stream = streamOf(name);
    const std::lock_guard lock(stream.m_mutex);
    while (!stream.m_records.empty() && stream.m_records.front().m_offset < before)
        stream.m_records.pop_front();
}

std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> LogStore::extents() const
{
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> extents;
    const std::shared_lock lock(m_streamsMutex);
    for (const auto& [name, stream] : m_streams) {
        const std::lock_guard streamLock(stream->m_mutex);
        const std::uint64_t earliest = stream->m_records.empty() ? stream->m_next : stream->m_records.front().m_offset;
        extents[name] = { earliest, stream->m_next };
    }
    return extents;
}

void LogStore::setFaults(const LogFaults& faults)
{
    const std::lock_guard lock(m_faultsMutex);
    m_faults = faults;
    m_faultsSignal.notify();
}

LogFaults LogStore::faults() const
{
    const std::lock_guard lock(m_faultsMutex);
    return m_faults;
}

bool LogStore::takeLostAnswer()
{
    const std::lock_guard lock(m_faultsMutex);
    if (m_faults.m_loseAppendAnswers == 0)
        return false;
    --m_faults.m_loseAppendAnswers;
    return true;
}

bool LogStore::hangs(Connection& connection)
{
    const std::lock_guard lock(m_faultsMutex);
    if (m_faults.m_outage == LogOutage::Hang)
        m_faultsSignal.subscribe(connection);
    return m_faults.m_outage == LogOutage::Hang;
}

} // namespace sapphiredale::standin
