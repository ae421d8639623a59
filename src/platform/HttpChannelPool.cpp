// Choice of a channel.

#include "platform/HttpChannelPool.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::platform {

HttpChannelPool::HttpChannelPool(const boost::asio::any_io_executor& executor, const HttpSettings& settings,
    ClientKind kind, ErrorKind unreachable, std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i)
        m_channels.push_back({ std::make_unique<HttpChannel>(executor, settings, kind, unreachable),
            std::make_shared<std::uint32_t>(0) });
}

void HttpChannelPool::send(HttpCall call, HttpChannel::AnswerHandler handler)
{
    Entry& chosen = *std::min_element(
        m_channels.begin(), m_channels.end(), [](const auto& a, const auto& b) { return *a.m_pending < *b.m_pending; });
    ++*chosen.m_pending;
    chosen.m_channel->send(
        std::move(call), [pending = chosen.m_pending, handler = std::move(handler)](const Result<HttpAnswer>& result) {
            --*pending;
            handler(result);
        });
}

} // namespace sapphiredale::platform
