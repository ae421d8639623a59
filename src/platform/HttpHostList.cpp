// Calls of the host list client.

#include "platform/HttpHostList.h"

#include "platform/JsonCodec.h"

namespace sapphiredale::platform {

HttpHostList::HttpHostList(boost::asio::io_context& context, const HttpSettings& settings)
    : m_channel(std::make_shared<HttpChannel>(context, settings, ClientKind::HostList, ErrorKind::DomainUnreachable))
{
}

HttpHostList::~HttpHostList() = default;

void HttpHostList::hosts(Duration timeout, Handler<HostSnapshot> handler)
{
    m_channel->send(
        { "GET", "/v1/hosts", "", timeout, true }, [handler = std::move(handler)](const Result<HttpAnswer>& answer) {
            handler(succeeded(answer) ? decodeHosts(valueOf(answer), ErrorKind::DomainUnreachable) : errorOf(answer));
        });
}

} // namespace sapphiredale::platform
