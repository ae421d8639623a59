// Transport between daemons over nng push/pull sockets: one pull listener, one push dialer per peer. Messages may be
// lost or arrive after a reconnection; they are never repeated by the transport, and none is sent twice.
#pragma once

#include "peer/MessageCodec.h"
#include "peer/Messages.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphiredale::peer {

/// A daemon and the address of its peer listener.
struct PeerAddress {
    DaemonId m_daemon;
    /// "address:port" with a numeric IP address.
    std::string m_address;

    friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

/// Settings that build a PeerTransport.
struct PeerTransportSettings {
    DaemonId m_daemon;
    /// Random number of this run of the daemon.
    std::uint64_t m_incarnation = 0;
    /// "address:port" to listen on; port 0 chooses a free port.
    std::string m_listenAddress;
    /// Most messages that wait for one peer; a message beyond it is dropped.
    std::uint32_t m_maxQueuedMessages = 256;
    /// Most bytes that wait for one peer. The default bounds 23 unreachable peers to 46 MiB, below the 128 MB budget.
    std::uint64_t m_maxQueuedBytes = std::uint64_t { 2 } << 20;
    /// A message that waits longer for a connection is dropped, so that a peer that returns does not get old messages.
    Duration m_maxQueueTime = std::chrono::seconds(5);
    /// Bounds of the wait between attempts to connect.
    Duration m_minReconnectWait = std::chrono::milliseconds(100);
    Duration m_maxReconnectWait = std::chrono::seconds(2);
    /// Whether a heartbeat of a daemon that is no peer yet is delivered, so that membership can add it.
    bool m_acceptIntroductions = false;
};

/// Counters since the start.
struct PeerTransportStatistics {
    /// Messages and bytes by MessageKind. A sent message was accepted by the connection; it may still be lost.
    std::array<std::uint64_t, messageKindCount> m_messagesSent {};
    std::array<std::uint64_t, messageKindCount> m_bytesSent {};
    std::array<std::uint64_t, messageKindCount> m_messagesReceived {};
    std::array<std::uint64_t, messageKindCount> m_bytesReceived {};
    /// Received messages that were refused, by DecodeError, and the bytes of all refused messages.
    std::array<std::uint64_t, decodeErrorCount> m_refused {};
    std::uint64_t m_bytesRefused = 0;
    /// Received messages whose sender is no peer.
    /// Connections closed because too many had sent no message of a peer.
    std::uint64_t m_refusedConnections = 0;
    std::uint64_t m_unknownSender = 0;
    /// Messages that were not sent: full queue, waited too long, no such peer, too large, connection closed by us.
    std::uint64_t m_droppedQueueFull = 0;
    std::uint64_t m_droppedExpired = 0;
    std::uint64_t m_droppedUnknownPeer = 0;
    std::uint64_t m_droppedTooLarge = 0;
    std::uint64_t m_droppedClosed = 0;
};

/// Sends envelopes to peers and delivers those of peers. All functions may be called from several threads.
class PeerTransport {
public:
    /// Called on the transport's receive thread, one message at a time. It must not call close().
    using Receiver = std::function<void(Envelope&&)>;

    /// Starts to listen. Fails with Internal and the reason when the address cannot be used.
    static Result<std::unique_ptr<PeerTransport>> open(const PeerTransportSettings&, Receiver);

    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// The address that peers can connect to, with the chosen port.
    const std::string& listenAddress() const;

    /// Adds a peer or changes its address; repeated calls with the same address have no effect.
    Result<Unit> addPeer(const PeerAddress&);
    /// Removes a peer; its waiting messages are dropped and its further messages are refused.
    void removePeer(const DaemonId&);
    std::vector<PeerAddress> peers() const;
    /// Closes the connection to a peer and connects anew; waiting messages are dropped. For a peer that is silent:
    /// after a partition the old connection may wait minutes for its next retransmission.
    void reconnect(const DaemonId&);

    /// Queues a message without waiting. Fails with DomainUnreachable for an unknown peer, QueueFull, BodyTooLarge or
    /// ShuttingDown; success does not mean that the message arrives.
    Result<Unit> send(
        const DaemonId& receiver, Payload, std::uint64_t correlation = 0, std::uint64_t replyToIncarnation = 0);
    /// Sends the reply to a received call.
    Result<Unit> reply(const Envelope& call, Payload);

    PeerTransportStatistics statistics() const;

    /// Stops to receive and to send. No receiver call is made after it has returned. Repeated calls have no effect.
    void close();

private:
    class Impl;
    explicit PeerTransport(std::unique_ptr<Impl>);

    std::unique_ptr<Impl> m_impl;
};

} // namespace sapphiredale::peer
