// Log client over HTTP/1.1 and JSON.
#pragma once

#include "platform/HttpSettings.h"
#include "platform/LogService.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace sapphiredale::platform {

/// Uses one connection for appends and, for each stream, one for reads that wait and one for reads that do not, so that
/// a read-back is never queued behind a long poll. All functions may be called from any thread.
class HttpLogService {
public:
    HttpLogService(boost::asio::io_context&, HttpSettings);
    /// Outstanding calls end with an error.
    ~HttpLogService();
    HttpLogService(const HttpLogService&) = delete;
    HttpLogService& operator=(const HttpLogService&) = delete;

    void append(
        const std::string& stream, const std::vector<std::string>& records, Duration timeout, Handler<std::uint64_t>);
    void read(const std::string& stream, std::uint64_t from, std::uint32_t maxBytes, Duration wait, Duration timeout,
        Handler<LogPage>);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

static_assert(LogService<HttpLogService>);

} // namespace sapphiredale::platform
