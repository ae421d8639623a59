// Connections to minions and peer daemons. Each address has a bound on its open connections; idle ones are reused, by
// the thread that used them if possible.
#pragma once

#include "forwarding/EventLoop.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphiredale::forwarding {

class UpstreamPool;

/// One connection to a minion or peer daemon; it leaves the pool's count when it is destroyed.
class UpstreamConnection {
public:
    UpstreamConnection(UpstreamPool&, std::string address, EventLoop&);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    const std::string& address() const { return m_address; }
    /// True when neither data nor the end of the stream waits to be read: only then it may be reused.
    bool isQuiet();

    Socket m_socket;
    boost::beast::flat_buffer m_buffer;
    /// True once the connection was established.
    bool m_connected = false;

private:
    friend class UpstreamPool;

    /// Moves the idle connection to another thread's loop. False when the system refuses.
    bool moveTo(EventLoop&);

    UpstreamPool& m_pool;
    std::string m_address;
    TimePoint m_idleSince;
};

using UpstreamPointer = std::unique_ptr<UpstreamConnection>;

/// All connections to minions and peer daemons. All functions may be called from any thread.
class UpstreamPool {
public:
    UpstreamPool(std::size_t loops, Duration idleLifetime);

    /// An idle connection, or a new one that is not connected; none when the address has reached its limit.
    UpstreamPointer take(const std::string& address, std::uint32_t limit, EventLoop&);
    /// Returns a connection whose exchange ended completely.
    void give(UpstreamPointer, EventLoop&);
    /// Closes idle connections of the loop that are old or that the other side has closed.
    void trim(EventLoop&, TimePoint now);
    /// Closes all idle connections of the loop.
    void clear(EventLoop&);

private:
    friend class UpstreamConnection;

    struct Upstream {
        std::uint32_t m_open = 0;
        /// Idle connections by the index of their loop.
        std::vector<std::vector<UpstreamPointer>> m_idle;
    };

    UpstreamPointer takeIdle(Upstream&, EventLoop&, std::vector<UpstreamPointer>& unusable);
    void closed(const std::string& address);

    std::size_t m_loops;
    Duration m_idleLifetime;
    std::mutex m_mutex;
    std::unordered_map<std::string, Upstream> m_upstreams;
};

/// The endpoint of "address:port", with brackets around an IPv6 address; none for other text.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view);

} // namespace sapphiredale::forwarding
