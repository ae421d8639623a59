// One accepted connection of the stand-in and the means by which a handler waits on it.
#pragma once

#include "model/Time.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace sapphiredale::standin {

/// A connection whose socket and timer belong to one strand. A handler that waits for a change subscribes the
/// connection to a ChangeSignal while it holds the lock of the state, and then waits: a wake-up that is posted in
/// between runs on the same strand only after the wait has begun, so it cannot be lost.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(boost::asio::ip::tcp::socket);

    /// Ends at the deadline, at a wake-up or when the peer closes, whichever is first. The caller tests its condition
    /// and peerClosed() before each call.
    boost::asio::awaitable<void> waitUntil(TimePoint deadline);
    /// Ends at the deadline or when the peer closes; ignores wake-ups.
    boost::asio::awaitable<void> sleepUntil(TimePoint deadline);
    /// Ends at the deadline and not before, for requests that are executed late although their sender has given up.
    boost::asio::awaitable<void> delayUntil(TimePoint deadline);
    /// Ends when the predicate, which subscribes the connection to the next change, is false; ignores the peer's close.
    boost::asio::awaitable<void> waitWhile(std::function<bool()> predicate);
    /// Ends the current wait. May be called from any thread.
    void wake();
    /// Closes the socket. May be called from any thread.
    void close();

    /// Starts to watch for the peer's close while an answer is being made.
    void watchPeer();
    void stopWatching();
    /// True when the peer has closed the connection; meaningful while watched.
    bool peerClosed() const { return m_peerClosed; }

    boost::asio::ip::tcp::socket& socket() { return m_socket; }
    /// "failureDomain/daemon" from the header Sapphire-Daemon; empty when none was sent.
    const std::string& daemon() const { return m_daemon; }
    void setDaemon(std::string daemon) { m_daemon = std::move(daemon); }

private:
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_daemon;
    bool m_watching = false;
    bool m_peerClosed = false;
};

} // namespace sapphiredale::standin
