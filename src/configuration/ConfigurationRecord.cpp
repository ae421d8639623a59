// JSON text of records and states.

#include "configuration/ConfigurationRecord.h"

#include <boost/json.hpp>
#include <utility>

namespace sapphiredale::configuration {

namespace {

    namespace json = boost::json;

    constexpr std::size_t maxRecordDepth = 8;
    constexpr std::size_t maxIdentifierBytes = 128;
    constexpr std::size_t maxPreviousSets = 256;
    constexpr std::size_t maxPreviousWorkers = 16384;

    std::int64_t millis(WallTime time) { return time.time_since_epoch().count(); }

    json::object toJson(const HistoryEntry& entry)
    {
        json::array changes;
        for (const std::string& change : entry.m_changes)
            changes.emplace_back(change);
        return { { "version", entry.m_version }, { "author", entry.m_author }, { "timeMs", millis(entry.m_time) },
            { "id", entry.m_recordId.value() }, { "changes", std::move(changes) } };
    }

    json::object toJson(const PreviousWorkerSet& set)
    {
        json::array workers;
        for (const WorkerId& worker : set.m_workers)
            workers.emplace_back(worker.value());
        return { { "failureDomain", set.m_failureDomain.value() }, { "changedInVersion", set.m_changedInVersion },
            { "changedAtMs", millis(set.m_changedAt) }, { "workers", std::move(workers) } };
    }

    json::object toJson(const ConfigurationState& state)
    {
        json::array history;
        for (const HistoryEntry& entry : state.m_history)
            history.emplace_back(toJson(entry));
        json::array previous;
        for (const PreviousWorkerSet& set : state.m_previousWorkers)
            previous.emplace_back(toJson(set));
        return { { "format", supportedRecordFormat }, { "version", state.m_version },
            { "nextOffset", state.m_nextOffset }, { "anchorTimeMs", millis(state.m_anchorTime) },
            { "content", state.m_content }, { "history", std::move(history) },
            { "previousWorkers", std::move(previous) } };
    }

    /// Reads members of known types. The first fault stays in m_error, later reads return empty values.
    class MemberReader {
    public:
        explicit MemberReader(const json::object& object, std::string& error)
            : m_object(object)
            , m_error(error)
        {
        }

        std::string text(const char* name, std::size_t maxBytes)
        {
            const json::value* value = m_object.if_contains(name);
            const json::string* string = value ? value->if_string() : nullptr;
            if (!string || string->size() > maxBytes) {
                fail(name);
                return {};
            }
            return std::string(string->data(), string->size());
        }

        std::uint64_t number(const char* name)
        {
            const json::value* value = m_object.if_contains(name);
            if (value && value->is_uint64())
                return value->as_uint64();
            if (value && value->is_int64() && value->as_int64() >= 0)
                return static_cast<std::uint64_t>(value->as_int64());
            fail(name);
            return 0;
        }

        WallTime time(const char* name)
        {
            const json::value* value = m_object.if_contains(name);
            if (!value || !value->is_int64()) {
                fail(name);
                return {};
            }
            return WallTime(std::chrono::milliseconds(value->as_int64()));
        }

        /// The elements of a list; empty after a fault.
        const json::array& list(const char* name, std::size_t maxCount)
        {
            static const json::array none;
            const json::value* value = m_object.if_contains(name);
            const json::array* array = value ? value->if_array() : nullptr;
            if (!array || array->size() > maxCount) {
                fail(name);
                return none;
            }
            return *array;
        }

        void fail(const std::string& name)
        {
            if (m_error.empty())
                m_error = "member \"" + name + "\" is missing, too large or of another type";
        }

    private:
        const json::object& m_object;
        std::string& m_error;
    };

    std::vector<std::string> readTexts(const json::array& array, std::size_t maxBytes, MemberReader& reader)
    {
        std::vector<std::string> texts;
        texts.reserve(array.size());
        for (const json::value& value : array) {
            const json::string* string = value.if_string();
            if (!string || string->size() > maxBytes) {
                reader.fail("list of strings");
                return {};
            }
            texts.emplace_back(string->data(), string->size());
        }
        return texts;
    }

    HistoryEntry readHistoryEntry(const json::object& object, std::string& error)
    {
        MemberReader reader(object, error);
        HistoryEntry entry;
        entry.m_version = reader.number("version");
        entry.m_author = reader.text("author", maxAuthorBytes);
        entry.m_time = reader.time("timeMs");
        entry.m_recordId = RecordId(reader.text("id", maxIdentifierBytes));
        entry.m_changes = readTexts(reader.list("changes", maxHistoryChanges), maxHistoryLineBytes, reader);
        return entry;
    }

    PreviousWorkerSet readPreviousWorkers(const json::object& object, std::string& error)
    {
        MemberReader reader(object, error);
        PreviousWorkerSet set;
        set.m_failureDomain = FailureDomainId(reader.text("failureDomain", maxIdentifierBytes));
        set.m_changedInVersion = reader.number("changedInVersion");
        set.m_changedAt = reader.time("changedAtMs");
        for (std::string& name : readTexts(reader.list("workers", maxPreviousWorkers), maxIdentifierBytes, reader))
            set.m_workers.emplace_back(std::move(name));
        return set;
    }

    ConfigurationState readState(const json::object& object, std::string& error)
    {
        MemberReader reader(object, error);
        ConfigurationState state;
        state.m_version = reader.number("version");
        state.m_nextOffset = reader.number("nextOffset");
        state.m_anchorTime = reader.time("anchorTimeMs");
        state.m_content = reader.text("content", maxContentBytes);
        for (const json::value& value : reader.list("history", maxHistoryEntries)) {
            if (const json::object* entry = value.if_object())
                state.m_history.push_back(readHistoryEntry(*entry, error));
            else
                reader.fail("history");
        }
        for (const json::value& value : reader.list("previousWorkers", maxPreviousSets)) {
            if (const json::object* set = value.if_object())
                state.m_previousWorkers.push_back(readPreviousWorkers(*set, error));
            else
                reader.fail("previousWorkers");
        }
        return state;
    }

    ApplyRecord readApply(const json::object& object, std::string& error)
    {
        MemberReader reader(object, error);
        ApplyRecord record;
        record.m_id = RecordId(reader.text("id", maxIdentifierBytes));
        record.m_base = reader.number("base");
        record.m_author = reader.text("author", maxAuthorBytes);
        record.m_time = reader.time("timeMs");
        record.m_content = reader.text("content", maxContentBytes);
        return record;
    }

    RefreshRecord readRefresh(const json::object& object, std::string& error)
    {
        MemberReader reader(object, error);
        RefreshRecord record;
        record.m_id = RecordId(reader.text("id", maxIdentifierBytes));
        record.m_author = reader.text("author", maxAuthorBytes);
        record.m_time = reader.time("timeMs");
        const json::value* state = object.if_contains("state");
        if (state && state->is_object())
            record.m_state = readState(state->as_object(), error);
        else
            reader.fail("state");
        return record;
    }

    /// The object of a text of a readable format, or why it is none.
    std::variant<json::object, RecordError> readEnvelope(std::string_view text)
    {
        RecordError failure;
        if (text.size() > maxRecordBytes) {
            failure.m_detail = "the record has " + std::to_string(text.size()) + " bytes";
            return failure;
        }
        json::parse_options options;
        options.max_depth = maxRecordDepth;
        json::error_code error;
        json::value value = json::parse(text, error, {}, options);
        if (error || !value.is_object()) {
            failure.m_detail = error ? "invalid JSON: " + error.message() : "not an object";
            return failure;
        }
        json::object& object = value.as_object();
        std::string ignored;
        const std::string id
            = object.contains("id") ? MemberReader(object, ignored).text("id", maxIdentifierBytes) : std::string();
        if (!id.empty())
            failure.m_id = RecordId(id);
        std::string formatError;
        const std::uint64_t format = MemberReader(object, formatError).number("format");
        if (!formatError.empty() || format == 0) {
            failure.m_detail = "no format number";
            return failure;
        }
        if (format > supportedRecordFormat) {
            failure.m_kind = RecordError::Kind::NewerFormat;
            failure.m_detail
                = "format " + std::to_string(format) + ", supported up to " + std::to_string(supportedRecordFormat);
            return failure;
        }
        return std::move(object);
    }

} // namespace

std::string encodeState(const ConfigurationState& state) { return json::serialize(toJson(state)); }

std::variant<ConfigurationState, RecordError> decodeState(std::string_view text)
{
    auto envelope = readEnvelope(text);
    if (auto* failure = std::get_if<RecordError>(&envelope))
        return std::move(*failure);
    RecordError failure;
    ConfigurationState state = readState(std::get<json::object>(envelope), failure.m_detail);
    if (!failure.m_detail.empty())
        return failure;
    return state;
}

std::string encodeRecord(const ConfigurationRecord& record)
{
    if (const auto* apply = std::get_if<ApplyRecord>(&record)) {
        return json::serialize(json::object { { "format", supportedRecordFormat }, { "kind", "apply" },
            { "id", apply->m_id.value() }, { "base", apply->m_base }, { "author", apply->m_author },
            { "timeMs", millis(apply->m_time) }, { "content", apply->m_content } });
    }
    const auto& refresh = std::get<RefreshRecord>(record);
    return json::serialize(json::object { { "format", supportedRecordFormat }, { "kind", "refresh" },
        { "id", refresh.m_id.value() }, { "author", refresh.m_author }, { "timeMs", millis(refresh.m_time) },
        { "state", toJson(refresh.m_state) } });
}

std::variant<ConfigurationRecord, RecordError> decodeRecord(std::string_view text)
{
    auto envelope = readEnvelope(text);
    if (auto* failure = std::get_if<RecordError>(&envelope))
        return std::move(*failure);
    const json::object& object = std::get<json::object>(envelope);

    RecordError failure;
    const std::string kind = MemberReader(object, failure.m_detail).text("kind", maxIdentifierBytes);
    ConfigurationRecord record;
    if (kind == "apply")
        record = readApply(object, failure.m_detail);
    else if (kind == "refresh")
        record = readRefresh(object, failure.m_detail);
    else if (failure.m_detail.empty()) {
        failure.m_kind = RecordError::Kind::NewerFormat;
        failure.m_detail = "unknown kind \"" + kind + '"';
    }
    if (failure.m_detail.empty())
        return record;

    std::string ignored;
    if (object.contains("id"))
        failure.m_id = RecordId(MemberReader(object, ignored).text("id", maxIdentifierBytes));
    return failure;
}

} // namespace sapphiredale::configuration
