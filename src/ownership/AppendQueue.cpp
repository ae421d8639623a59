// Appends in flight, their retries and confirmations.

#include "ownership/AppendQueue.h"

namespace sapphiredale::ownership {

AppendQueue::AppendQueue(const AppendQueueSettings& settings)
    : m_settings(settings)
    , m_jitter(settings.m_seed)
{
}

void AppendQueue::schedule(const RecordId& id, Entry& entry, TimePoint wake)
{
    m_wakes.erase({ entry.m_wake, id });
    entry.m_wake = wake;
    m_wakes.emplace(wake, id);
}

RecordId AppendQueue::add(const FailureDomainId& stream, StreamRecordBody body, TimePoint now)
{
    RecordId id(m_settings.m_author + '-' + std::to_string(m_nextNumber++));
    Entry& entry = m_records[id];
    entry.m_stream = stream;
    entry.m_record = { id, std::move(body) };
    schedule(id, entry, now);
    return id;
}

void AppendQueue::withdraw(const RecordId& id)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    m_wakes.erase({ found->second.m_wake, id });
    m_records.erase(found);
}

void AppendQueue::clear()
{
    m_records.clear();
    m_wakes.clear();
}

std::optional<StreamRecord> AppendQueue::handleResult(const RecordId& id, AppendOutcome outcome, TimePoint now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return std::nullopt;
    if (outcome == AppendOutcome::Appended)
        return handleReadBack(id);

    Entry& entry = found->second;
    m_counters.add(outcome == AppendOutcome::Failed ? CountedReason::AppendFailed : CountedReason::AppendUnknown);
    entry.m_unknown = entry.m_unknown || outcome == AppendOutcome::Unknown;
    entry.m_inFlight = false;
    schedule(id, entry, now + entry.m_backoff.next(m_settings.m_retry, m_jitter));
    return std::nullopt;
}

std::optional<StreamRecord> AppendQueue::handleReadBack(const RecordId& id)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return std::nullopt;
    StreamRecord record = std::move(found->second.m_record);
    m_wakes.erase({ found->second.m_wake, id });
    m_records.erase(found);
    return record;
}

bool AppendQueue::mayBeAppended(const RecordId& id) const
{
    const auto found = m_records.find(id);
    return found != m_records.end() && (found->second.m_unknown || found->second.m_inFlight);
}

std::vector<AppendRecord> AppendQueue::takeDue(TimePoint now)
{
    std::vector<AppendRecord> due;
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        const RecordId id = m_wakes.begin()->second;
        Entry& entry = m_records.at(id);
        if (entry.m_inFlight) {
            handleResult(id, AppendOutcome::Unknown, now);
            continue;
        }
        entry.m_inFlight = true;
        due.push_back({ entry.m_stream, entry.m_record });
        schedule(id, entry, now + m_settings.m_answerTimeout);
    }
    return due;
}

std::optional<TimePoint> AppendQueue::nextWake() const
{
    return m_wakes.empty() ? std::nullopt : std::optional(m_wakes.begin()->first);
}

} // namespace sapphiredale::ownership
