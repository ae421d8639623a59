// Problem documents and the defaults of the hooks.

#include "forwarding/RequestBackend.h"

#include <boost/beast/core/string.hpp>

namespace sapphiredale::forwarding {

namespace {

    /// Text as the content of a JSON string.
    std::string escapeJson(std::string_view text)
    {
        constexpr std::string_view hex = "0123456789abcdef";
        std::string result;
        for (const char character : text) {
            const auto code = static_cast<unsigned char>(character);
            if (character == '"' || character == '\\') {
                result += '\\';
                result += character;
            } else if (code < 0x20 || code >= 0x7f) {
                // Details may quote bytes of a request that are no valid UTF-8.
                result += "\\u00";
                result += hex[code >> 4];
                result += hex[code & 15];
            } else {
                result += character;
            }
        }
        return result;
    }

} // namespace

std::string_view LocalRequest::header(std::string_view name) const
{
    for (const auto& [key, value] : m_headers) {
        if (boost::beast::iequals(key, boost::beast::string_view(name.data(), name.size())))
            return value;
    }
    return {};
}

void RequestHooks::handle(const LocalRequest& request, const LocalHandler& handler)
{
    handler(problemResponse(ErrorKind::NotFound, request.m_target));
}

LocalResponse problemResponse(ErrorKind kind, std::string_view detail)
{
    const ErrorAnswer& answer = answerFor(kind);
    LocalResponse response;
    response.m_status = answer.m_httpStatus;
    response.m_headers.emplace_back("Content-Type", "application/problem+json");
    if (answer.m_retryAfterSeconds > 0)
        response.m_headers.emplace_back("Retry-After", std::to_string(answer.m_retryAfterSeconds));
    response.m_body = "{\"type\":\"urn:sapphiredale:error:" + std::string(answer.m_name) + "\",\"title\":\""
        + std::string(answer.m_title) + "\",\"status\":" + std::to_string(answer.m_httpStatus) + ",\"detail\":\""
        + escapeJson(detail) + "\",\"runState\":\""
        + (answer.m_runState == RunState::NotRun ? "not-run" : "may-have-run") + "\"}";
    return response;
}

} // namespace sapphiredale::forwarding
