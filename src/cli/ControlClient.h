// Synchronous HTTP client of the operators' interface.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sapphiredale::cli {

struct HttpRequest {
    std::string m_method;
    std::string m_target;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
};

struct HttpAnswer {
    unsigned m_status = 0;
    /// Version from the entity tag, without quotes; empty when there is none.
    std::string m_entityTag;
    /// Value of Sapphire-Freshness.
    std::string m_freshness;
    std::string m_body;
};

/// No complete answer was received.
struct TransportError {
    /// False only when no part of the request can have reached the daemon.
    bool m_mayHaveBeenSent = false;
    std::string m_detail;
};

using HttpResult = std::variant<HttpAnswer, TransportError>;
/// Sends one request; tests replace it.
using HttpFunction = std::function<HttpResult(const HttpRequest&)>;

/// Sends one request on a connection of its own and waits for the answer, in all for at most the timeout.
HttpResult sendHttp(const std::string& host, const std::string& port, std::uint32_t timeoutSeconds, const HttpRequest&);

} // namespace sapphiredale::cli
