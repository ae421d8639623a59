// Memory that all connections of a process hold together, with a limit, and the connections that give way to others.
#pragma once

#include "model/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_set>

namespace sapphiredale::controller {

/// Why a connection was closed or a request was refused before it was handed on.
enum class ConnectionEnd : std::uint8_t { Memory, ConnectionLimit, HeaderLimit, BodyLimit, RequestTime, AnswerTime };

inline constexpr std::size_t connectionEndCount = 6;

/// Stable name in lower case with hyphens, for metrics and log lines.
std::string_view nameOf(ConnectionEnd);

/// Belongs to one event loop.
class ConnectionBudget {
public:
    /// Share of the host's memory for connections. The smallest host, 120 MB, is left with 100 MB for its tables.
    static constexpr std::size_t memoryShare = 6;

    /// A connection.
    class Holder {
    public:
        virtual ~Holder() = default;
        /// Whether no request of the connection has been handed on and not been answered completely.
        virtual bool canGiveWay() const = 0;
        /// Whether a part of a request has been received.
        virtual bool isReading() const = 0;
        /// Closes the connection. The holder asks for no more bytes.
        virtual void giveWay() = 0;

    private:
        friend class ConnectionBudget;

        std::size_t m_bytes = 0;
        /// Position in the order in which the connections were opened.
        std::uint64_t m_serial = 0;
        TimePoint m_lastActive {};
    };

    using Observer = std::function<void(ConnectionEnd)>;

    explicit ConnectionBudget(std::size_t limitBytes);

    std::size_t limit() const { return m_limit; }
    std::size_t usedBytes() const { return m_used; }
    /// Called for each connection that is closed and each request that is refused because of a limit.
    void setObserver(Observer observer) { m_observer = std::move(observer); }
    void report(ConnectionEnd) const;

    void enter(Holder&, TimePoint now);
    void leave(Holder&);
    /// Records that bytes were received from the connection.
    void touch(Holder& holder, TimePoint now) { holder.m_lastActive = now; }
    /// Sets what the connection holds. Above the limit connections give way: first those whose request has not
    /// progressed for a time, the longest first, then the newest. False when the bytes do not fit all the same, or when
    /// the connection itself has given way.
    bool hold(Holder&, std::size_t bytes, TimePoint now);
    /// Whether the connection has received nothing for a time.
    bool isQuiet(const Holder&, TimePoint now) const;
    TimePoint lastActive(const Holder& holder) const { return holder.m_lastActive; }

private:
    void makeRoom(TimePoint now);

    const std::size_t m_limit;
    std::size_t m_used = 0;
    std::uint64_t m_lastSerial = 0;
    std::unordered_set<Holder*> m_holders;
    Observer m_observer;
};

} // namespace sapphiredale::controller
