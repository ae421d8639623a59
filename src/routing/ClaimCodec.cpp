// Text form of the claim and outcome records: one JSON object per record.

#include "routing/ClaimTable.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace sapphiredale::routing {

namespace {

    namespace json = boost::json;

    constexpr std::string_view claimType = "claim";
    constexpr std::string_view outcomeType = "outcome";
    constexpr std::string_view hexDigits = "0123456789abcdef";

    /// Bodies are arbitrary bytes, which a JSON string cannot carry.
    std::string toHex(std::string_view bytes)
    {
        std::string text;
        text.reserve(bytes.size() * 2);
        for (const char byte : bytes) {
            text += hexDigits[static_cast<unsigned char>(byte) >> 4];
            text += hexDigits[static_cast<unsigned char>(byte) & 15];
        }
        return text;
    }

    std::optional<std::string> fromHex(std::string_view text)
    {
        if (text.size() % 2 != 0)
            return std::nullopt;
        std::string bytes;
        bytes.reserve(text.size() / 2);
        for (std::size_t i = 0; i < text.size(); i += 2) {
            const std::size_t high = hexDigits.find(text[i]);
            const std::size_t low = hexDigits.find(text[i + 1]);
            if (high == std::string_view::npos || low == std::string_view::npos)
                return std::nullopt;
            bytes += static_cast<char>(high * 16 + low);
        }
        return bytes;
    }

    /// Reads members of an object; m_valid turns false at the first one that is missing or of another type.
    struct MemberReader {
        const json::object& m_object;
        bool m_valid = true;

        std::string text(std::string_view name)
        {
            const json::value* value = m_object.if_contains({ name.data(), name.size() });
            const json::string* string = value ? value->if_string() : nullptr;
            m_valid = m_valid && string;
            return string ? std::string(string->data(), string->size()) : std::string();
        }
        std::int64_t number(std::string_view name)
        {
            const json::value* value = m_object.if_contains({ name.data(), name.size() });
            const std::int64_t* integer = value ? value->if_int64() : nullptr;
            m_valid = m_valid && integer;
            return integer ? *integer : 0;
        }
        bool flag(std::string_view name)
        {
            const json::value* value = m_object.if_contains({ name.data(), name.size() });
            const bool* boolean = value ? value->if_bool() : nullptr;
            m_valid = m_valid && boolean;
            return boolean && *boolean;
        }
    };

    std::optional<ClaimStreamRecord> readClaim(MemberReader reader)
    {
        ClaimRecord record;
        record.m_id = RecordId(reader.text("id"));
        record.m_key = reader.text("key");
        // JSON numbers do not carry 64 unsigned bits everywhere; the two's complement does.
        record.m_fingerprint = static_cast<std::uint64_t>(reader.number("fingerprint"));
        record.m_deadline = WallTime(std::chrono::milliseconds(reader.number("deadlineMs")));
        if (!reader.m_valid || record.m_id.empty() || record.m_key.empty())
            return std::nullopt;
        return record;
    }

    std::optional<ClaimStreamRecord> readOutcome(MemberReader reader)
    {
        OutcomeRecord record;
        record.m_id = RecordId(reader.text("id"));
        record.m_claim = RecordId(reader.text("claim"));
        record.m_key = reader.text("key");
        record.m_notRun = reader.flag("notRun");
        const std::int64_t status = reader.number("status");
        record.m_status = static_cast<unsigned>(status);
        record.m_contentType = reader.text("contentType");
        record.m_complete = reader.flag("complete");
        std::optional<std::string> body = fromHex(reader.text("body"));
        if (!reader.m_valid || !body || body->size() > maxOutcomeBody || status < 0 || status > 999)
            return std::nullopt;
        record.m_body = *std::move(body);
        return record;
    }

} // namespace

std::string encodeClaimRecord(const ClaimStreamRecord& record)
{
    json::object object;
    if (const auto* claim = std::get_if<ClaimRecord>(&record)) {
        object["type"] = std::string(claimType);
        object["id"] = claim->m_id.value();
        object["key"] = claim->m_key;
        object["fingerprint"] = static_cast<std::int64_t>(claim->m_fingerprint);
        object["deadlineMs"] = static_cast<std::int64_t>(claim->m_deadline.time_since_epoch().count());
    } else {
        const auto& outcome = std::get<OutcomeRecord>(record);
        object["type"] = std::string(outcomeType);
        object["id"] = outcome.m_id.value();
        object["claim"] = outcome.m_claim.value();
        object["key"] = outcome.m_key;
        object["notRun"] = outcome.m_notRun;
        object["status"] = static_cast<std::int64_t>(outcome.m_status);
        object["contentType"] = outcome.m_contentType;
        object["complete"] = outcome.m_complete;
        object["body"] = toHex(outcome.m_body);
    }
    return json::serialize(object);
}

Result<std::optional<ClaimStreamRecord>> decodeClaimRecord(std::string_view text)
{
    boost::json::error_code error;
    const json::value value = json::parse({ text.data(), text.size() }, error);
    const json::object* object = error ? nullptr : value.if_object();
    if (!object)
        return Error { ErrorKind::InvalidRequest, "a record of the stream is not a JSON object" };
    MemberReader reader { *object };
    const std::string type = reader.text("type");
    if (type != claimType && type != outcomeType)
        return std::optional<ClaimStreamRecord>();
    std::optional<ClaimStreamRecord> record = type == claimType ? readClaim(reader) : readOutcome(reader);
    if (!record)
        return Error { ErrorKind::InvalidRequest, "a record of type " + type + " is malformed" };
    return record;
}

} // namespace sapphiredale::routing
