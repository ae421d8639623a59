// Pool of the connections to minions and peer daemons.

#include "forwarding/UpstreamPool.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>

namespace sapphiredale::forwarding {

UpstreamConnection::UpstreamConnection(UpstreamPool& pool, std::string address, EventLoop& loop)
    : m_socket(loop.context())
    , m_pool(pool)
    , m_address(std::move(address))
{
}

UpstreamConnection::~UpstreamConnection()
{
    error_code ignored;
    m_socket.close(ignored);
    m_pool.closed(m_address);
}

bool UpstreamConnection::isQuiet()
{
    if (m_buffer.size() > 0)
        return false;
    char byte = 0;
    const ssize_t received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool UpstreamConnection::moveTo(EventLoop& loop)
{
    error_code error;
    const auto protocol = m_socket.local_endpoint(error).protocol();
    if (error)
        return false;
    const auto handle = m_socket.release(error);
    if (error)
        return false;
    Socket moved(loop.context());
    moved.assign(protocol, handle, error);
    if (error) {
        ::close(handle);
        return false;
    }
    m_socket = std::move(moved);
    return true;
}

UpstreamPool::UpstreamPool(std::size_t loops, Duration idleLifetime)
    : m_loops(loops)
    , m_idleLifetime(idleLifetime)
{
}

UpstreamPointer UpstreamPool::takeIdle(Upstream& upstream, EventLoop& loop, std::vector<UpstreamPointer>& unusable)
{
    std::vector<UpstreamPointer>& own = upstream.m_idle[loop.index()];
    while (!own.empty()) {
        UpstreamPointer connection = std::move(own.back());
        own.pop_back();
        if (connection->isQuiet())
            return connection;
        unusable.push_back(std::move(connection));
    }
    return nullptr;
}

UpstreamPointer UpstreamPool::take(const std::string& address, std::uint32_t limit, EventLoop& loop)
{
    // Destroyed after the lock is released: the destructor of a connection takes it.
    std::vector<UpstreamPointer> unusable;
    const std::lock_guard lock(m_mutex);
    Upstream& upstream = m_upstreams[address];
    upstream.m_idle.resize(m_loops);
    if (UpstreamPointer connection = takeIdle(upstream, loop, unusable))
        return connection;
    if (upstream.m_open - unusable.size() < limit) {
        ++upstream.m_open;
        return std::make_unique<UpstreamConnection>(*this, address, loop);
    }
    for (std::vector<UpstreamPointer>& idle : upstream.m_idle) {
        while (!idle.empty()) {
            UpstreamPointer connection = std::move(idle.back());
            idle.pop_back();
            if (connection->isQuiet() && connection->moveTo(loop))
                return connection;
            unusable.push_back(std::move(connection));
        }
    }
    if (upstream.m_open - unusable.size() >= limit)
        return nullptr;
    ++upstream.m_open;
    return std::make_unique<UpstreamConnection>(*this, address, loop);
}

void UpstreamPool::give(UpstreamPointer connection, EventLoop& loop)
{
    connection->m_idleSince = steadyNow();
    const std::lock_guard lock(m_mutex);
    Upstream& upstream = m_upstreams[connection->m_address];
    upstream.m_idle.resize(m_loops);
    upstream.m_idle[loop.index()].push_back(std::move(connection));
}

void UpstreamPool::trim(EventLoop& loop, TimePoint now)
{
    std::vector<UpstreamPointer> unusable;
    const std::lock_guard lock(m_mutex);
    for (auto& [address, upstream] : m_upstreams) {
        if (upstream.m_idle.size() <= loop.index())
            continue;
        std::erase_if(upstream.m_idle[loop.index()], [&](UpstreamPointer& connection) {
            if (now - connection->m_idleSince < m_idleLifetime && connection->isQuiet())
                return false;
            unusable.push_back(std::move(connection));
            return true;
        });
    }
    std::erase_if(m_upstreams, [](const auto& entry) { return entry.second.m_open == 0; });
}

void UpstreamPool::clear(EventLoop& loop)
{
    std::vector<UpstreamPointer> unusable;
    const std::lock_guard lock(m_mutex);
    for (auto& [address, upstream] : m_upstreams) {
        if (upstream.m_idle.size() <= loop.index())
            continue;
        std::move(
            upstream.m_idle[loop.index()].begin(), upstream.m_idle[loop.index()].end(), std::back_inserter(unusable));
        upstream.m_idle[loop.index()].clear();
    }
}

void UpstreamPool::closed(const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    const auto upstream = m_upstreams.find(address);
    if (upstream != m_upstreams.end() && upstream->second.m_open > 0)
        --upstream->second.m_open;
}

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, portError] = std::from_chars(text.data() + colon + 1, end, port);
    error_code error;
    const asio::ip::address address = asio::ip::make_address(std::string(host), error);
    if (portError != std::errc {} || parsed != end || error)
        return std::nullopt;
    return asio::ip::tcp::endpoint(address, port);
}

} // namespace sapphiredale::forwarding
