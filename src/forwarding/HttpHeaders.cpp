// Header rules of the data path.

#include "forwarding/HttpHeaders.h"

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace sapphiredale::forwarding {

namespace {

    bool isHopByHop(http::field name)
    {
        switch (name) {
        case http::field::connection:
        case http::field::keep_alive:
        case http::field::proxy_authenticate:
        case http::field::proxy_authorization:
        case http::field::proxy_connection:
        case http::field::te:
        case http::field::trailer:
        case http::field::transfer_encoding:
        case http::field::content_length:
        case http::field::upgrade:
        case http::field::expect:
            // Content-Length is written by appendFraming; Expect is answered by this daemon.
            return true;
        default:
            return false;
        }
    }

    bool isSetByEachHop(std::string_view name)
    {
        constexpr std::string_view prefix = "sapphire-";
        if (name.size() < prefix.size()
            || !boost::beast::iequals(toBeast(name.substr(0, prefix.size())), toBeast(prefix)))
            return false;
        for (const std::string_view own : { requestIdField, epochField, hopField, refusalField, deadlineField }) {
            if (boost::beast::iequals(toBeast(name), toBeast(own)))
                return true;
        }
        return false;
    }

} // namespace

std::optional<ServiceTarget> parseServiceTarget(std::string_view target)
{
    constexpr std::string_view prefix = "/v1/services/";
    if (!target.starts_with(prefix))
        return std::nullopt;
    target.remove_prefix(prefix.size());
    const std::size_t end = target.find_first_of("/?");
    if (end == 0 || target.empty())
        return std::nullopt;
    if (end == std::string_view::npos)
        return ServiceTarget { target, "/" };
    if (target[end] == '?')
        return std::nullopt;
    return ServiceTarget { target.substr(0, end), target.substr(end) };
}

std::optional<std::int64_t> parseMilliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    // The bound keeps sums with settings far from an overflow.
    constexpr std::int64_t latest = std::int64_t { 1 } << 50;
    if (error != std::errc {} || end != text.data() + text.size() || value < 0 || value > latest)
        return std::nullopt;
    return value;
}

void appendField(std::string_view name, std::string_view value, std::string& block)
{
    block += name;
    block += ": ";
    block += value;
    block += "\r\n";
}

void appendEndToEndFields(const http::fields& fields, std::string& block)
{
    const auto connection = fields.find(http::field::connection);
    for (const auto& field : fields) {
        const std::string_view name = toView(field.name_string());
        if (isHopByHop(field.name()) || isSetByEachHop(name))
            continue;
        if (connection != fields.end() && http::token_list { connection->value() }.exists(field.name_string()))
            continue;
        appendField(name, toView(field.value()), block);
    }
}

void appendFraming(std::optional<std::uint64_t> length, std::string& block)
{
    if (length)
        appendField("Content-Length", std::to_string(*length), block);
    else
        appendField("Transfer-Encoding", "chunked", block);
}

bool isIdempotent(http::verb method)
{
    switch (method) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::options:
    case http::verb::trace:
        return true;
    default:
        return false;
    }
}

} // namespace sapphiredale::forwarding
