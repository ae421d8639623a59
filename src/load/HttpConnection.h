// HTTP/1.1 client for one server: one call sends a request and waits for the whole response, with a time limit.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace sapphiredale::load {

struct HttpCall {
    std::string m_method = "GET";
    std::string m_target;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
};

struct HttpAnswer {
    unsigned m_status = 0;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;

    /// Value of a header, compared without case; empty when missing.
    std::string_view header(std::string_view name) const;
};

struct HttpFailure {
    /// False when no connection was made, so that the server cannot have received anything.
    bool m_isSent = false;
    std::string m_detail;
};

using HttpResult = std::variant<HttpAnswer, HttpFailure>;

/// Keeps its connection between calls and opens a new one after a failure. Not safe for use by several threads.
class HttpConnection {
public:
    /// The address is HOST:PORT with a numeric host.
    HttpConnection(std::string address, std::chrono::milliseconds timeout);
    ~HttpConnection();
    HttpConnection(HttpConnection&&) noexcept;

    const std::string& address() const { return m_address; }
    HttpResult call(const HttpCall&);

private:
    struct Connection;

    std::string m_address;
    std::chrono::milliseconds m_timeout;
    std::unique_ptr<Connection> m_connection;
};

} // namespace sapphiredale::load
