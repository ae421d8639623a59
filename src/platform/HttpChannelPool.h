// Several connections to one server, so that an unanswered call delays few others.
#pragma once

#include "platform/HttpChannel.h"

#include <cstdint>
#include <vector>

namespace sapphiredale::platform {

/// A call takes the channel with the fewest unanswered calls. Not for use by several threads.
class HttpChannelPool {
public:
    /// As for HttpChannel; `size` is the number of channels.
    HttpChannelPool(
        const boost::asio::any_io_executor&, const HttpSettings&, ClientKind, ErrorKind unreachable, std::size_t size);

    void send(HttpCall, HttpChannel::AnswerHandler);

private:
    struct Entry {
        std::unique_ptr<HttpChannel> m_channel;
        /// Unanswered calls; shared with their handlers, which may run after the pool has been destroyed.
        std::shared_ptr<std::uint32_t> m_pending;
    };

    std::vector<Entry> m_channels;
};

} // namespace sapphiredale::platform
