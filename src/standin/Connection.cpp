// Waiting on a connection.

#include "standin/Connection.h"

#include "standin/Clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sapphiredale::standin {

namespace asio = boost::asio;

Connection::Connection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
}

asio::awaitable<void> Connection::waitUntil(TimePoint deadline)
{
    m_timer.expires_at(toSteady(deadline));
    co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> Connection::sleepUntil(TimePoint deadline)
{
    while (!m_peerClosed && currentTime() < deadline)
        co_await waitUntil(deadline);
}

asio::awaitable<void> Connection::delayUntil(TimePoint deadline)
{
    while (currentTime() < deadline)
        co_await waitUntil(deadline);
}

asio::awaitable<void> Connection::waitWhile(std::function<bool()> predicate)
{
    while (predicate())
        co_await waitUntil(currentTime() + std::chrono::hours(1));
}

void Connection::wake()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->m_timer.cancel(); });
}

void Connection::close()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_socket.close(ignored);
        self->m_peerClosed = true;
        self->m_timer.cancel();
    });
}

void Connection::watchPeer()
{
    m_watching = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        if (!self->m_watching || error == asio::error::operation_aborted)
            return;
        boost::system::error_code availableError;
        // Readable without data means that the peer has closed; data is a pipelined request.
        if (error || self->m_socket.available(availableError) == 0 || availableError) {
            self->m_peerClosed = true;
            self->m_timer.cancel();
        }
    });
}

void Connection::stopWatching()
{
    m_watching = false;
    boost::system::error_code ignored;
    if (m_socket.is_open())
        m_socket.cancel(ignored);
}

} // namespace sapphiredale::standin
