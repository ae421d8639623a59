// Calls of the worker client.

#include "platform/HttpWorkerControl.h"

#include "platform/JsonCodec.h"

namespace sapphiredale::platform {

namespace {

    constexpr ErrorKind unreachable = ErrorKind::DomainUnreachable;

} // namespace

HttpWorkerControl::HttpWorkerControl(boost::asio::io_context& context, WorkerId worker, const HttpSettings& settings)
    : m_worker(std::move(worker))
    , m_leases(std::make_shared<HttpChannel>(context, settings, ClientKind::Worker, unreachable))
    , m_commands(std::make_shared<HttpChannel>(context, settings, ClientKind::Worker, unreachable))
{
}

HttpWorkerControl::~HttpWorkerControl() = default;

// A lease and commands are repeatable: the worker compares the epoch, and commands are idempotent for an attempt. A
// repeated release would be refused although the first one took effect.

void HttpWorkerControl::lease(const WorkerLeaseRequest& request, Duration timeout, Handler<WorkerLeaseAnswer> handler)
{
    m_leases->send({ "POST", "/v1/workers/" + m_worker.value() + "/lease", encode(request), timeout, true },
        [worker = m_worker, handler = std::move(handler)](const Result<HttpAnswer>& answer) {
            handler(succeeded(answer) ? decodeWorkerLease(valueOf(answer), worker, unreachable) : errorOf(answer));
        });
}

void HttpWorkerControl::release(const ReleaseRequest& request, Duration timeout, Handler<ReleaseAnswer> handler)
{
    m_commands->send({ "POST", "/v1/workers/" + m_worker.value() + "/release", encode(request), timeout, false },
        [handler = std::move(handler)](const Result<HttpAnswer>& answer) {
            handler(succeeded(answer) ? decodeRelease(valueOf(answer), unreachable) : errorOf(answer));
        });
}

void HttpWorkerControl::command(const CommandRequest& request, Duration timeout, Handler<CommandAnswer> handler)
{
    m_commands->send({ "POST", "/v1/workers/" + m_worker.value() + "/commands", encode(request), timeout, true },
        [request, handler = std::move(handler)](const Result<HttpAnswer>& answer) {
            handler(succeeded(answer) ? decodeCommands(valueOf(answer), request, unreachable) : errorOf(answer));
        });
}

} // namespace sapphiredale::platform
