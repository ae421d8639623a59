// Client of a minion's lease register over HTTP/1.1 and JSON.
#pragma once

#include "platform/HttpSettings.h"
#include "platform/MinionControl.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace sapphiredale::platform {

class HttpChannel;

/// Uses one connection, which counts against the minion's connection limit. May be called from any thread.
class HttpMinionControl {
public:
    HttpMinionControl(boost::asio::io_context&, const HttpSettings&);
    /// An outstanding call ends with an error.
    ~HttpMinionControl();
    HttpMinionControl(const HttpMinionControl&) = delete;
    HttpMinionControl& operator=(const HttpMinionControl&) = delete;

    void lease(const MinionLeaseRequest&, Duration timeout, Handler<MinionLeaseAnswer>);

private:
    std::shared_ptr<HttpChannel> m_channel;
};

static_assert(MinionControl<HttpMinionControl>);

} // namespace sapphiredale::platform
