// Host list client over HTTP/1.1 and JSON.
#pragma once

#include "platform/HostList.h"
#include "platform/HttpSettings.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace sapphiredale::platform {

class HttpChannel;

/// Uses one connection and asks for changes only: the whole list of 800 workers takes about 50 KB. All functions may be
/// called from any thread.
class HttpHostList {
public:
    HttpHostList(boost::asio::io_context&, const HttpSettings&);
    /// Outstanding calls end with an error.
    ~HttpHostList();
    HttpHostList(const HttpHostList&) = delete;
    HttpHostList& operator=(const HttpHostList&) = delete;

    void hosts(Duration timeout, Handler<HostSnapshot>);

private:
    struct Cache;

    std::shared_ptr<HttpChannel> m_channel;
    std::shared_ptr<Cache> m_cache;
};

static_assert(HostList<HttpHostList>);

} // namespace sapphiredale::platform
