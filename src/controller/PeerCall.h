// HTTP calls to the inner listeners of other daemons.
#pragma once

#include "platform/Http.h"
#include "platform/HttpChannelPool.h"

#include <memory>
#include <string>

namespace sapphiredale::controller {

/// Creates a channel to the inner listener at "address:port".
inline std::shared_ptr<platform::HttpChannel> openPeerChannel(
    boost::asio::io_context& context, const std::string& address)
{
    return std::make_shared<platform::HttpChannel>(context.get_executor(), userplatform::channelSettings(address),
        platform::ClientKind::HostList, ErrorKind::NotScheduler);
}

/// Creates several channels to it, for calls that take long and should not delay each other.
inline std::shared_ptr<platform::HttpChannelPool> openPeerChannels(
    boost::asio::io_context& context, const std::string& address, std::size_t count)
{
    return std::make_shared<platform::HttpChannelPool>(context.get_executor(), userplatform::channelSettings(address),
        platform::ClientKind::HostList, ErrorKind::NotScheduler, count);
}

/// Creates a call that may be repeated when a persistent connection turns out to be closed.
inline platform::HttpCall peerCall(const char* path, std::string body, Duration timeout)
{
    platform::HttpCall call;
    call.m_method = "POST";
    call.m_target = path;
    call.m_body = std::move(body);
    call.m_timeout = timeout;
    call.m_repeatable = true;
    return call;
}

} // namespace sapphiredale::controller
