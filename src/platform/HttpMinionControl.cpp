// Calls of the client of a minion's lease register.

#include "platform/HttpMinionControl.h"

#include "platform/JsonCodec.h"

namespace sapphiredale::platform {

HttpMinionControl::HttpMinionControl(boost::asio::io_context& context, const HttpSettings& settings)
    : m_channel(std::make_shared<HttpChannel>(context, settings, ClientKind::Minion, ErrorKind::NoMinion))
{
}

HttpMinionControl::~HttpMinionControl() = default;

void HttpMinionControl::lease(const MinionLeaseRequest& request, Duration timeout, Handler<MinionLeaseAnswer> handler)
{
    m_channel->send({ "POST", "/v1/minion/lease", encode(request), timeout, true },
        [handler = std::move(handler)](const Result<HttpAnswer>& answer) {
            handler(succeeded(answer) ? decodeMinionLease(valueOf(answer), ErrorKind::NoMinion) : errorOf(answer));
        });
}

} // namespace sapphiredale::platform
