// History entries as JSON lines.

#include "load/HistoryEntry.h"

#include "model/Rendezvous.h"

#include <array>
#include <boost/json.hpp>
#include <exception>

namespace sapphiredale::load {

namespace json = boost::json;

namespace {

    constexpr std::array<std::string_view, 3> kindNames { "request", "job", "read" };
    constexpr std::array<std::string_view, 4> outcomeNames { "answered", "refused", "lost", "unsent" };

    template <std::size_t count>
    std::size_t indexOf(const std::array<std::string_view, count>& names, std::string_view name)
    {
        std::size_t index = 0;
        while (index < count && names[index] != name)
            ++index;
        return index;
    }

    std::string text(const json::object& object, std::string_view name)
    {
        return json::value_to<std::string>(object.at(name));
    }

} // namespace

std::string digestOf(std::string_view body)
{
    return std::to_string(body.size()) + '-' + std::to_string(stableHash(body));
}

std::string toLine(const HistoryEntry& entry)
{
    return json::serialize(json::object { { "kind", kindNames[static_cast<std::size_t>(entry.m_kind)] },
        { "party", entry.m_party }, { "operation", entry.m_operation }, { "attempt", entry.m_attempt },
        { "address", entry.m_address }, { "key", entry.m_key }, { "invokedUs", entry.m_invokedUs },
        { "completedUs", entry.m_completedUs }, { "outcome", outcomeNames[static_cast<std::size_t>(entry.m_outcome)] },
        { "status", entry.m_status }, { "problem", entry.m_problem }, { "runState", entry.m_runState },
        { "requestId", entry.m_requestId }, { "replayed", entry.m_replayed }, { "expectedBody", entry.m_expectedBody },
        { "body", entry.m_body }, { "version", entry.m_version }, { "hash", entry.m_hash },
        { "confirmed", entry.m_confirmed }, { "job", entry.m_job } });
}

Result<HistoryEntry> parseLine(std::string_view line, std::size_t number)
{
    const auto invalid = [number](const std::string& detail) {
        return Error { ErrorKind::InvalidRequest, "line " + std::to_string(number) + ": " + detail };
    };
    try {
        const json::value value = json::parse({ line.data(), line.size() });
        const json::object& object = value.as_object();
        const std::size_t kind = indexOf(kindNames, text(object, "kind"));
        const std::size_t outcome = indexOf(outcomeNames, text(object, "outcome"));
        if (kind == kindNames.size() || outcome == outcomeNames.size())
            return invalid("unknown kind or outcome");
        HistoryEntry entry;
        entry.m_line = number;
        entry.m_kind = static_cast<OperationKind>(kind);
        entry.m_outcome = static_cast<OperationOutcome>(outcome);
        entry.m_party = text(object, "party");
        entry.m_operation = text(object, "operation");
        entry.m_attempt = object.at("attempt").to_number<std::uint32_t>();
        entry.m_address = text(object, "address");
        entry.m_key = text(object, "key");
        entry.m_invokedUs = object.at("invokedUs").to_number<std::int64_t>();
        entry.m_completedUs = object.at("completedUs").to_number<std::int64_t>();
        entry.m_status = object.at("status").to_number<unsigned>();
        entry.m_problem = text(object, "problem");
        entry.m_runState = text(object, "runState");
        entry.m_requestId = text(object, "requestId");
        entry.m_replayed = object.at("replayed").as_bool();
        entry.m_expectedBody = text(object, "expectedBody");
        entry.m_body = text(object, "body");
        entry.m_version = object.at("version").to_number<std::uint64_t>();
        entry.m_hash = text(object, "hash");
        entry.m_confirmed = object.at("confirmed").as_bool();
        entry.m_job = text(object, "job");
        return entry;
    } catch (const std::exception& error) {
        return invalid(error.what());
    }
}

} // namespace sapphiredale::load
