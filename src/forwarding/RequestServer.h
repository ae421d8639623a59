// HTTP data path: listeners for callers and for peer daemons, their sessions, and the connections to minions and peer
// daemons. Each thread runs its own event loop; a session stays on one thread.
#pragma once

#include "forwarding/RequestBackend.h"
#include "forwarding/RequestBudget.h"
#include "model/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace sapphiredale::forwarding {

/// Settings that build a RequestServer.
struct RequestServerSettings {
    /// "address:port" for callers; port 0 chooses one. Empty opens no listener.
    std::string m_callerAddress = "127.0.0.1:0";
    /// "address:port" for peer daemons. Empty opens no listener.
    std::string m_peerAddress;
    unsigned m_threads = 2;
    /// Most open connections of callers and peers; further ones are closed at once.
    std::uint32_t m_maxConnections = 20000;
    /// Longest request or response header, in bytes.
    std::uint32_t m_maxHeader = 16 * 1024;
    /// Longest forwarded body, in bytes; bodies are streamed and never held as a whole.
    std::uint64_t m_maxBody = std::uint64_t { 64 } * 1024 * 1024;
    /// Longest body of a request that the daemon serves itself, in bytes.
    std::uint64_t m_maxLocalBody = std::uint64_t { 1024 } * 1024;
    /// Buffer per direction of an exchange, in bytes. Bodies up to this size can be sent again on a retry.
    std::uint32_t m_bufferSize = 16 * 1024;
    /// Time in which a caller must send a whole header after its first byte.
    Duration m_headerTimeout = std::chrono::seconds(10);
    /// Time from the first byte of a request that the daemon handles itself to its last.
    Duration m_requestTimeout = std::chrono::seconds(30);
    /// Time between two requests on one connection.
    Duration m_idleTimeout = std::chrono::seconds(60);
    /// Time without progress after which a caller that sends its body or reads its answer is disconnected.
    Duration m_stallTimeout = std::chrono::seconds(20);
    /// Time in which a connection to a minion or peer must be established.
    Duration m_connectTimeout = std::chrono::seconds(1);
    /// Deadline of a request without Sapphire-Deadline, and the furthest that is accepted.
    Duration m_defaultDeadline = std::chrono::seconds(30);
    Duration m_maxDeadline = std::chrono::minutes(10);
    /// Most connections to one minion; requests take one per slot, and the lease has its own.
    std::uint32_t m_connectionsPerMinion = 63;
    std::uint32_t m_connectionsPerPeer = 1024;
    /// Shared by the servers of the process; the default fits a host with 120 MB.
    std::shared_ptr<RequestBudget> m_budget
        = std::make_shared<RequestBudget>((std::size_t { 120 } << 20) / RequestBudget::memoryShare);
    /// Name of this daemon, part of the request identifiers that it creates.
    DaemonId m_daemon;
};

/// Counters of the data path; all grow monotonically except m_openConnections and m_activeRequests.
struct RequestServerCounters {
    std::uint64_t m_accepted = 0;
    std::uint64_t m_openConnections = 0;
    std::uint64_t m_activeRequests = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_callerGone = 0;
    std::uint64_t m_callerTimeouts = 0;
    /// Connections closed and requests refused because the connections hold too much together.
    std::uint64_t m_memoryEnds = 0;
    /// Requests whose header, chunk extensions or trailers were too long.
    std::uint64_t m_headerEnds = 0;
    std::uint64_t m_crossedAnswers = 0;
    std::uint64_t m_truncatedAnswers = 0;
    std::uint64_t m_upstreamConnects = 0;
};

/// The running data path.
class RequestServer {
public:
    RequestServer(const RequestServerSettings&, RequestHooks&);
    /// Stops at once; call drain() before for a planned stop.
    ~RequestServer();
    RequestServer(const RequestServer&) = delete;
    RequestServer& operator=(const RequestServer&) = delete;

    /// Opens the listeners and starts the threads. Internal with the system's message when an address cannot be opened.
    Result<Unit> start();
    /// Stops accepting, finishes every request that has begun, closes idle connections. Returns true when all ended
    /// before the limit. New requests on open connections are refused with ShuttingDown.
    bool drain(Duration limit);
    /// Closes everything and joins the threads.
    void stop();

    std::uint16_t callerPort() const;
    std::uint16_t peerPort() const;
    RequestServerCounters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace sapphiredale::forwarding
