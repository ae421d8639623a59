// Text from JSON answers. Unknown members are ignored, so that an older client works with a newer daemon.

#include "cli/Rendering.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>

namespace sapphiredale::cli {

namespace {

    namespace json = boost::json;

    json::object parseObject(std::string_view body)
    {
        json::error_code error;
        json::value value = json::parse(body, error);
        return !error && value.is_object() ? std::move(value.as_object()) : json::object();
    }

    std::string textOf(const json::value& value);

    std::string textOfObject(const json::object& object)
    {
        std::string text;
        for (const auto& member : object) {
            text += text.empty() ? "" : ", ";
            text.append(member.key().data(), member.key().size()).append(" ").append(textOf(member.value()));
        }
        return text.empty() ? "none" : text;
    }

    /// A value for people: strings without quotes, lists with commas, a double without a needless exponent.
    std::string textOf(const json::value& value)
    {
        if (const json::string* string = value.if_string())
            return std::string(string->data(), string->size());
        if (value.is_bool())
            return value.as_bool() ? "yes" : "no";
        if (value.is_null())
            return "-";
        if (const double* number = value.if_double()) {
            char buffer[32];
            std::snprintf(buffer, sizeof buffer, "%.6g", *number);
            return buffer;
        }
        if (const json::array* array = value.if_array()) {
            std::string text;
            for (const json::value& item : *array)
                text += (text.empty() ? "" : ", ") + textOf(item);
            return text.empty() ? "none" : text;
        }
        if (const json::object* object = value.if_object())
            return textOfObject(*object);
        return json::serialize(value);
    }

    std::string member(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains(name);
        return value ? textOf(*value) : std::string();
    }

    std::string memberOrDash(const json::object& object, std::string_view name)
    {
        const std::string text = member(object, name);
        return text.empty() ? "-" : text;
    }

    std::uint64_t numberOf(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains(name);
        if (value && value->is_int64())
            return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value->as_int64()));
        return value && value->is_uint64() ? value->as_uint64() : 0;
    }

    /// The objects of a member list; elements of another type are left out.
    std::vector<const json::object*> objectsOf(const json::object& object, std::string_view name)
    {
        std::vector<const json::object*> objects;
        const json::value* value = object.if_contains(name);
        const json::array* array = value ? value->if_array() : nullptr;
        if (!array)
            return objects;
        for (const json::value& item : *array) {
            if (const json::object* element = item.if_object())
                objects.push_back(element);
        }
        return objects;
    }

    std::string amount(const json::object& row, std::string_view name)
    {
        const json::value* value = row.if_contains(name);
        const json::object* object = value ? value->if_object() : nullptr;
        if (!object)
            return "-";
        std::string text = memberOrDash(*object, "cpus") + " cpus " + memberOrDash(*object, "memoryMiB") + " MiB";
        if (numberOf(*object, "accelerators") > 0)
            text += ' ' + member(*object, "accelerators") + " acc";
        return text;
    }

    void appendChanges(std::string& text, const json::object& entry)
    {
        text += "version " + memberOrDash(entry, "version") + "  "
            + utcTime(static_cast<std::int64_t>(numberOf(entry, "timeMs"))) + "  by " + memberOrDash(entry, "author")
            + "  record " + memberOrDash(entry, "recordId") + '\n';
        const json::value* changes = entry.if_contains("changes");
        if (!changes || !changes->is_array() || changes->as_array().empty()) {
            text += "  (no change)\n";
            return;
        }
        for (const json::value& change : changes->as_array())
            text += "  " + textOf(change) + '\n';
    }

    std::string renderRows(std::string_view body, std::string_view list,
        const std::vector<std::pair<std::string_view, std::string_view>>& columns)
    {
        const json::object object = parseObject(body);
        if (!object.contains(list))
            return std::string(body);
        std::vector<std::vector<std::string>> rows(1);
        for (const auto& [heading, name] : columns)
            rows.front().emplace_back(heading);
        for (const json::object* row : objectsOf(object, list)) {
            std::vector<std::string>& cells = rows.emplace_back();
            for (const auto& [heading, name] : columns) {
                const json::value* value = row->if_contains(name);
                cells.push_back(value && value->is_object() ? amount(*row, name) : memberOrDash(*row, name));
            }
        }
        return table(rows);
    }

    /// "name: value" lines with aligned values.
    std::string renderMembers(
        const json::object& object, const std::vector<std::pair<std::string_view, std::string_view>>& members)
    {
        std::size_t width = 0;
        for (const auto& [label, name] : members)
            width = std::max(width, label.size());
        std::string text;
        for (const auto& [label, name] : members) {
            if (object.contains(name))
                text += std::string(label) + ':' + std::string(width + 2 - label.size(), ' ')
                    + memberOrDash(object, name) + '\n';
        }
        return text;
    }

} // namespace

std::string table(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string>& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const std::vector<std::string>& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += row[i];
            if (i + 1 < row.size())
                text.append(widths[i] + 2 - row[i].size(), ' ');
        }
        text += '\n';
    }
    return text;
}

std::string utcTime(std::int64_t timeMs)
{
    using namespace std::chrono;
    const sys_seconds time = floor<seconds>(sys_time<milliseconds>(milliseconds(timeMs)));
    const sys_days day = floor<days>(time);
    const year_month_day date(day);
    const hh_mm_ss clock(time - day);
    char buffer[64];
    std::snprintf(buffer, sizeof buffer, "%04d-%02u-%02u %02d:%02d:%02dZ", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
        static_cast<int>(clock.minutes().count()), static_cast<int>(clock.seconds().count()));
    return buffer;
}

std::string renderHistory(std::string_view body)
{
    const json::object object = parseObject(body);
    if (!object.contains("entries"))
        return std::string(body);
    std::string text;
    for (const json::object* entry : objectsOf(object, "entries"))
        appendChanges(text, *entry);
    return text.empty() ? "no version was applied yet\n" : text;
}

std::string renderStatus(std::string_view body)
{
    const json::object object = parseObject(body);
    if (!object.contains("daemon"))
        return std::string(body);
    std::string text = renderMembers(object,
        { { "daemon", "daemon" }, { "failure domain", "failureDomain" }, { "software", "version" },
            { "ready", "ready" }, { "domain scheduler", "scheduler" }, { "phase", "phase" }, { "epoch", "epoch" },
            { "configuration version", "configurationVersion" }, { "cut off from", "cutOff" },
            { "counts", "counts" } });
    if (!objectsOf(object, "daemons").empty()) {
        text += '\n'
            + renderRows(body, "daemons",
                { { "DAEMON", "daemon" }, { "FAILURE DOMAIN", "failureDomain" }, { "STATE", "state" },
                    { "LEAVING", "leaving" }, { "CONFIGURATION", "configurationVersion" },
                    { "SCHEDULER EPOCH", "schedulerEpoch" } });
    }
    return text;
}

std::string renderTasks(std::string_view body)
{
    return renderRows(body, "tasks",
        { { "TASK", "task" }, { "STATE", "state" }, { "WORKER", "worker" }, { "CLASS", "class" }, { "TEAM", "team" },
            { "ATTEMPT", "attempt" }, { "REASON", "reason" } });
}

std::string renderWorkers(std::string_view body)
{
    return renderRows(body, "workers",
        { { "WORKER", "worker" }, { "FAILURE DOMAIN", "failureDomain" }, { "RACK", "rack" }, { "STATE", "state" },
            { "CAPACITY", "capacity" }, { "ASSIGNED", "used" }, { "TASKS", "tasks" } });
}

std::string renderExplanation(std::string_view body)
{
    const json::object object = parseObject(body);
    if (!object.contains("state"))
        return std::string(body);
    return renderMembers(object,
        { { "task", "task" }, { "state", "state" }, { "worker", "worker" }, { "reason", "reason" },
            { "explanation", "detail" }, { "released by", "release" } });
}

std::string renderOutcome(std::string_view body)
{
    const json::object object = parseObject(body);
    if (!object.contains("outcome"))
        return std::string(body);
    std::string text = renderMembers(object,
        { { "record", "recordId" }, { "outcome", "outcome" }, { "version", "version" }, { "reason", "reason" },
            { "made from version", "base" }, { "in force then", "inForce" }, { "detail", "detail" } });
    for (const json::object* entry : objectsOf(object, "changes"))
        appendChanges(text, *entry);
    return text;
}

std::string renderProblem(unsigned status, std::string_view body)
{
    const json::object object = parseObject(body);
    if (!object.contains("title"))
        return "the daemon answered with status " + std::to_string(status) + '\n';
    std::string text = member(object, "title");
    if (const std::string detail = member(object, "detail"); !detail.empty())
        text += ": " + detail;
    text += '\n';
    for (const json::object* error : objectsOf(object, "errors")) {
        const std::string path = member(*error, "path");
        text += "  " + (path.empty() ? "file" : path) + ": " + member(*error, "problem")
            + "; accepted: " + member(*error, "accepted") + '\n';
    }
    for (const json::object* entry : objectsOf(object, "changes"))
        appendChanges(text, *entry);
    return text;
}

std::vector<std::string> unreachableDomains(std::string_view body)
{
    const json::object object = parseObject(body);
    const json::value* value = object.if_contains("unreachable");
    std::vector<std::string> domains;
    if (value && value->is_array()) {
        for (const json::value& domain : value->as_array())
            domains.push_back(textOf(domain));
    }
    return domains;
}

AnswerFacts factsOf(std::string_view body)
{
    const json::object object = parseObject(body);
    AnswerFacts facts;
    facts.m_version = numberOf(object, "version");
    facts.m_recordId = member(object, "recordId");
    facts.m_detail = member(object, "detail");
    facts.m_outcome = member(object, "outcome");
    facts.m_isProblem = object.contains("title");
    facts.m_mayHaveRun = member(object, "runState") == "may-have-run";
    return facts;
}

} // namespace sapphiredale::cli
