// Worker client over HTTP/1.1 and JSON.
#pragma once

#include "platform/HttpSettings.h"
#include "platform/WorkerControl.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace sapphiredale::platform {

class HttpChannel;

/// Client of one worker. Leases have a connection of their own; commands and the release share another one, so that
/// they are not queued behind a long poll. All functions may be called from any thread.
class HttpWorkerControl {
public:
    HttpWorkerControl(boost::asio::io_context&, WorkerId, const HttpSettings&);
    /// Outstanding calls end with an error.
    ~HttpWorkerControl();
    HttpWorkerControl(const HttpWorkerControl&) = delete;
    HttpWorkerControl& operator=(const HttpWorkerControl&) = delete;

    void lease(const WorkerLeaseRequest&, Duration timeout, Handler<WorkerLeaseAnswer>);
    void release(const ReleaseRequest&, Duration timeout, Handler<ReleaseAnswer>);
    void command(const CommandRequest&, Duration timeout, Handler<CommandAnswer>);

private:
    WorkerId m_worker;
    std::shared_ptr<HttpChannel> m_leases;
    std::shared_ptr<HttpChannel> m_commands;
};

static_assert(WorkerControl<HttpWorkerControl>);

} // namespace sapphiredale::platform
