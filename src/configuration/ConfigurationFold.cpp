// Fold of the configuration stream.

#include "configuration/ConfigurationFold.h"

#include "configuration/ClusterFileDifference.h"
#include "model/Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <set>
#include <utility>

namespace sapphiredale::configuration {

namespace {

    constexpr std::size_t maxOutcomes = 512;
    constexpr std::size_t maxStoredErrors = 20;
    constexpr std::size_t maxRecentRecords = 4096;
    constexpr std::size_t maxRecentBytes = std::size_t { 4 } << 20U;
    /// Previous sets of domains that the file no longer declares.
    constexpr std::size_t maxAbsentDomains = 64;

    using WorkerSets = std::map<FailureDomainId, std::set<WorkerId>>;

    WorkerSets workersByDomain(const ClusterFile& file)
    {
        WorkerSets sets;
        for (const WorkerSpec& worker : file.m_workers)
            sets[worker.m_failureDomain].insert(worker.m_name);
        return sets;
    }

    void dropOldAbsentDomains(std::vector<PreviousWorkerSet>& previous, const ClusterFile& file)
    {
        std::set<FailureDomainId> declared;
        for (const FailureDomainSpec& domain : file.m_failureDomains)
            declared.insert(domain.m_name);
        const auto isAbsent = [&](const PreviousWorkerSet& set) { return !declared.contains(set.m_failureDomain); };
        while (static_cast<std::size_t>(std::count_if(previous.begin(), previous.end(), isAbsent)) > maxAbsentDomains) {
            auto oldest = previous.end();
            for (auto set = previous.begin(); set != previous.end(); ++set) {
                if (isAbsent(*set)
                    && (oldest == previous.end() || set->m_changedInVersion < oldest->m_changedInVersion))
                    oldest = set;
            }
            previous.erase(oldest);
        }
    }

    /// The previous sets after a change of the file. A domain that had no worker keeps its older entry: its former
    /// workers may still be leased.
    std::vector<PreviousWorkerSet> previousWorkersAfter(
        const FileInForce& before, const ClusterFile& after, std::uint64_t version, WallTime time)
    {
        std::vector<PreviousWorkerSet> previous = before.m_previousWorkers;
        const WorkerSets oldSets = workersByDomain(before.m_file);
        const WorkerSets newSets = workersByDomain(after);
        for (const auto& [domain, workers] : oldSets) {
            const auto found = newSets.find(domain);
            if (found != newSets.end() && found->second == workers)
                continue;
            PreviousWorkerSet entry { domain, version, time, { workers.begin(), workers.end() } };
            const auto known = std::find_if(previous.begin(), previous.end(),
                [&domain = domain](const PreviousWorkerSet& set) { return set.m_failureDomain == domain; });
            if (known == previous.end())
                previous.push_back(std::move(entry));
            else
                *known = std::move(entry);
        }
        dropOldAbsentDomains(previous, after);
        std::sort(previous.begin(), previous.end(), [](const PreviousWorkerSet& a, const PreviousWorkerSet& b) {
            return a.m_failureDomain < b.m_failureDomain;
        });
        return previous;
    }

    /// Cuts a text at a character boundary of UTF-8, because the codec refuses a broken character.
    void cutText(std::string& text, std::size_t maxBytes)
    {
        if (text.size() <= maxBytes)
            return;
        std::size_t end = maxBytes - 3;
        while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0) == 0x80)
            --end;
        text.resize(end);
        text += "...";
    }

    std::size_t bytesOf(const HistoryEntry& entry)
    {
        constexpr std::size_t overhead = 128;
        std::size_t bytes = overhead + entry.m_author.size() + entry.m_recordId.value().size();
        for (const std::string& change : entry.m_changes)
            bytes += change.size() + 4;
        return bytes;
    }

    void trimHistory(std::vector<HistoryEntry>& history)
    {
        std::size_t bytes = 0;
        std::size_t kept = 0;
        while (kept < history.size() && kept < maxHistoryEntries) {
            bytes += bytesOf(history[history.size() - 1 - kept]);
            if (bytes > maxHistoryBytes && kept > 0)
                break;
            ++kept;
        }
        history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(kept));
    }

    FileLimits foldLimits()
    {
        FileLimits limits;
        limits.m_errors = maxStoredErrors;
        return limits;
    }

} // namespace

ConfigurationFold::ConfigurationFold() = default;

void ConfigurationFold::expireBefore(std::uint64_t earliestOffset)
{
    if (earliestOffset <= m_nextOffset)
        return;
    m_anchored = false;
    m_nextOffset = earliestOffset;
    m_recent.clear();
    m_recentBytes = 0;
    m_recentFrom = earliestOffset;
}

void ConfigurationFold::apply(std::string_view recordText, std::uint64_t offset, WallTime logTime)
{
    if (offset < m_nextOffset)
        return;
    expireBefore(offset);
    m_nextOffset = offset + 1;
    if (m_anchored && !m_anchorTime)
        m_anchorTime = logTime;

    RecentRecord recent { offset, logTime, std::nullopt };
    std::variant<ConfigurationRecord, RecordError> decoded = decodeRecord(recordText);
    if (const auto* error = std::get_if<RecordError>(&decoded)) {
        ++(error->m_kind == RecordError::Kind::NewerFormat ? m_counters.m_newerFormat : m_counters.m_malformed);
        if (error->m_id)
            setOutcome(*error->m_id, RefusedUnreadable { *error });
    } else if (auto* refresh = std::get_if<RefreshRecord>(&std::get<ConfigurationRecord>(decoded))) {
        foldRefresh(*refresh, offset, logTime);
    } else {
        auto& record = std::get<ApplyRecord>(std::get<ConfigurationRecord>(decoded));
        if (m_anchored)
            foldApply(record);
        recent.m_apply = std::move(record);
    }
    remember(std::move(recent));
}

void ConfigurationFold::foldApply(const ApplyRecord& record)
{
    if (record.m_base != version()) {
        ++m_counters.m_staleBase;
        setOutcome(record.m_id, RefusedStaleBase { record.m_base, version(), {} });
        return;
    }
    ParseResult parsed = parseClusterFile(record.m_content, foldLimits());
    if (auto* errors = std::get_if<std::vector<FileError>>(&parsed)) {
        ++m_counters.m_invalidContent;
        setOutcome(record.m_id, RefusedInvalid { std::move(*errors) });
        return;
    }

    static const FileInForce nothing;
    const FileInForce& before = m_inForce ? *m_inForce : nothing;
    auto next = std::make_shared<FileInForce>();
    next->m_version = version() + 1;
    next->m_hash = stableHash(record.m_content);
    next->m_content = record.m_content;
    next->m_file = std::move(std::get<ClusterFile>(parsed));
    next->m_previousWorkers = previousWorkersAfter(before, next->m_file, next->m_version, record.m_time);

    HistoryEntry entry { next->m_version, record.m_author, record.m_time, record.m_id,
        differenceOf(before.m_file, next->m_file, maxHistoryChanges) };
    for (std::string& change : entry.m_changes)
        cutText(change, maxHistoryLineBytes);
    std::vector<HistoryEntry> history = m_history;
    history.push_back(std::move(entry));
    trimHistory(history);

    // A state that does not fit into a refresh record could not outlive the retention of the log.
    const auto encodedSize = [&] {
        return encodeState({ next->m_version, next->m_content, m_nextOffset, {}, history, next->m_previousWorkers })
            .size();
    };
    std::size_t bytes = encodedSize();
    while (bytes > maxStateBytes && history.size() > 1) {
        history.erase(history.begin());
        bytes = encodedSize();
    }
    if (bytes > maxStateBytes) {
        ++m_counters.m_invalidContent;
        setOutcome(record.m_id,
            RefusedInvalid { { { "", "the file with its history has " + std::to_string(bytes) + " bytes in the log",
                "at most " + std::to_string(maxStateBytes) + " bytes; declare workers as workerGroups" } } });
        return;
    }

    ++m_counters.m_accepted;
    setOutcome(record.m_id, Accepted { next->m_version });
    m_history = std::move(history);
    m_inForce = std::move(next);
}

void ConfigurationFold::foldRefresh(const RefreshRecord& record, std::uint64_t offset, WallTime logTime)
{
    ++m_counters.m_refreshes;
    const ConfigurationState& state = record.m_state;
    if (state.m_version < version())
        ++m_counters.m_staleRefreshes;
    if (state.m_version == version() && m_inForce && state.m_content != m_inForce->m_content) {
        ++m_counters.m_divergentRefreshes;
        return;
    }
    // Records between the state and this one must all be known, because the author had not folded them.
    const bool isUsable = state.m_nextOffset >= m_recentFrom && state.m_nextOffset <= offset;
    if (m_anchored && state.m_version > version())
        m_anchored = false;
    if (!isUsable || (!m_anchored && !takeOver(state)))
        return;
    const WallTime time = timeOfFirstRecordFrom(state.m_nextOffset, logTime);
    m_anchorTime = m_anchorTime ? std::max(*m_anchorTime, time) : time;
    while (!m_recent.empty() && m_recent.front().m_offset < state.m_nextOffset)
        dropOldestRecent();
    m_recentFrom = std::max(m_recentFrom, state.m_nextOffset);
}

bool ConfigurationFold::load(const ConfigurationState& state)
{
    if (state.m_version == 0) {
        m_inForce.reset();
        m_history.clear();
        return true;
    }
    ParseResult parsed = parseClusterFile(state.m_content, foldLimits());
    if (!std::holds_alternative<ClusterFile>(parsed))
        return false;
    auto file = std::make_shared<FileInForce>();
    file->m_version = state.m_version;
    file->m_hash = stableHash(state.m_content);
    file->m_content = state.m_content;
    file->m_file = std::move(std::get<ClusterFile>(parsed));
    file->m_previousWorkers = state.m_previousWorkers;
    m_inForce = std::move(file);
    m_history = state.m_history;
    return true;
}

bool ConfigurationFold::takeOver(const ConfigurationState& state)
{
    ConfigurationFold trial;
    if (!trial.load(state))
        return false;
    for (const RecentRecord& recent : m_recent) {
        if (recent.m_apply && recent.m_offset >= state.m_nextOffset) {
            trial.m_nextOffset = recent.m_offset + 1;
            trial.foldApply(*recent.m_apply);
        }
    }
    if (trial.version() < version())
        return false;

    m_anchored = true;
    m_inForce = std::move(trial.m_inForce);
    m_history = std::move(trial.m_history);
    for (const RecordId& id : trial.m_outcomeOrder)
        setOutcome(id, std::move(trial.m_outcomes.at(id)));
    m_counters.m_accepted += trial.m_counters.m_accepted;
    m_counters.m_staleBase += trial.m_counters.m_staleBase;
    m_counters.m_invalidContent += trial.m_counters.m_invalidContent;
    ++m_counters.m_adopted;
    return true;
}

bool ConfigurationFold::adopt(const ConfigurationState& state)
{
    if (state.m_version < version() || (m_anchored && state.m_nextOffset <= m_nextOffset))
        return false;
    if (state.m_nextOffset < m_recentFrom) {
        // Records between the peer's state and the log's earliest record are lost to both: the file is good for use,
        // but nothing can be accepted before a refresh.
        if (state.m_version == version() || !load(state))
            return false;
        ++m_counters.m_adopted;
        return true;
    }
    if (!takeOver(state))
        return false;
    m_anchorTime = state.m_anchorTime;
    if (state.m_nextOffset > m_nextOffset) {
        m_nextOffset = state.m_nextOffset;
        m_recent.clear();
        m_recentBytes = 0;
        m_recentFrom = state.m_nextOffset;
    }
    return true;
}

std::vector<HistoryEntry> ConfigurationFold::historySince(std::uint64_t version) const
{
    std::vector<HistoryEntry> entries;
    for (const HistoryEntry& entry : m_history) {
        if (entry.m_version > version)
            entries.push_back(entry);
    }
    return entries;
}

RecordOutcome ConfigurationFold::outcomeOf(const RecordId& id) const
{
    if (const auto found = m_outcomes.find(id); found != m_outcomes.end()) {
        RecordOutcome outcome = found->second;
        if (auto* stale = std::get_if<RefusedStaleBase>(&outcome)) {
            for (const HistoryEntry& entry : historySince(stale->m_base)) {
                if (entry.m_version <= stale->m_inForce)
                    stale->m_since.push_back(entry);
            }
        }
        return outcome;
    }
    for (const HistoryEntry& entry : m_history) {
        if (entry.m_recordId == id)
            return Accepted { entry.m_version };
    }
    return UnknownOutcome {};
}

ConfigurationState ConfigurationFold::state() const
{
    assert(m_anchored);
    ConfigurationState state;
    state.m_version = version();
    state.m_nextOffset = m_nextOffset;
    state.m_anchorTime = m_anchorTime.value_or(WallTime());
    state.m_history = m_history;
    if (m_inForce) {
        state.m_content = m_inForce->m_content;
        state.m_previousWorkers = m_inForce->m_previousWorkers;
    }
    return state;
}

void ConfigurationFold::remember(RecentRecord record)
{
    m_recentBytes += record.m_apply ? record.m_apply->m_content.size() : 0;
    m_recent.push_back(std::move(record));
    while (m_recent.size() > maxRecentRecords || m_recentBytes > maxRecentBytes)
        dropOldestRecent();
}

void ConfigurationFold::dropOldestRecent()
{
    const RecentRecord& oldest = m_recent.front();
    m_recentBytes -= oldest.m_apply ? oldest.m_apply->m_content.size() : 0;
    m_recentFrom = oldest.m_offset + 1;
    m_recent.pop_front();
}

void ConfigurationFold::setOutcome(const RecordId& id, RecordOutcome outcome)
{
    if (!m_outcomes.emplace(id, std::move(outcome)).second)
        return;
    m_outcomeOrder.push_back(id);
    if (m_outcomeOrder.size() > maxOutcomes) {
        m_outcomes.erase(m_outcomeOrder.front());
        m_outcomeOrder.pop_front();
    }
}

WallTime ConfigurationFold::timeOfFirstRecordFrom(std::uint64_t offset, WallTime fallback) const
{
    for (const RecentRecord& record : m_recent) {
        if (record.m_offset >= offset)
            return record.m_logTime;
    }
    return fallback;
}

} // namespace sapphiredale::configuration
