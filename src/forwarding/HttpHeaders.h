// Header rules of the data path: which fields pass, which are replaced, and how header blocks are written.
#pragma once

#include "model/Identifier.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphiredale::forwarding {

namespace http = boost::beast::http;

/// Names of the fields that daemons and minions exchange.
inline constexpr std::string_view requestIdField = "Sapphire-Request-Id";
inline constexpr std::string_view epochField = "Sapphire-Epoch";
inline constexpr std::string_view hopField = "Sapphire-Hop";
inline constexpr std::string_view refusalField = "Sapphire-Refusal";
inline constexpr std::string_view deadlineField = "Sapphire-Deadline";
inline constexpr std::string_view teamField = "Sapphire-Team";
inline constexpr std::string_view classField = "Sapphire-Class";
inline constexpr std::string_view idempotencyField = "Idempotency-Key";
/// Value of Sapphire-Refusal in a peer daemon's refusal of a request that was not run.
inline constexpr std::string_view peerRefusal = "not-run";

inline std::string_view toView(boost::beast::string_view text) { return { text.data(), text.size() }; }
inline boost::beast::string_view toBeast(std::string_view text) { return { text.data(), text.size() }; }

/// Value of a field; empty when missing.
inline std::string_view fieldOf(const http::fields& fields, std::string_view name)
{
    const auto field = fields.find(toBeast(name));
    return field == fields.end() ? std::string_view {} : toView(field->value());
}

/// Path "/v1/services/{workload}/{path}" taken apart.
struct ServiceTarget {
    std::string_view m_workload;
    /// "/{path}" with its query.
    std::string_view m_path;
};

/// The parts of a target below /v1/services/, or none for other targets.
std::optional<ServiceTarget> parseServiceTarget(std::string_view target);

/// Milliseconds since the Unix epoch in decimal; none for other text.
std::optional<std::int64_t> parseMilliseconds(std::string_view);

/// Appends the end-to-end fields: without hop-by-hop fields, those that Connection names, and the fields of this
/// protocol that each hop sets anew (request identifier, epoch, hop, refusal, deadline).
void appendEndToEndFields(const http::fields&, std::string& block);
/// Appends one field.
void appendField(std::string_view name, std::string_view value, std::string& block);
/// Appends the field that frames a body: its length, or chunked when the length is unknown.
void appendFraming(std::optional<std::uint64_t> length, std::string& block);

/// True for methods whose repetition is harmless (RFC 9110, 9.2.2).
bool isIdempotent(http::verb);

} // namespace sapphiredale::forwarding
