// Incremental reading of HTTP messages into bounded buffers.
#pragma once

#include "forwarding/EventLoop.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sapphiredale::forwarding {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using RequestParser = http::request_parser<http::buffer_body>;
using ResponseParser = http::response_parser<http::buffer_body>;

/// Bytes asked for by one read.
inline constexpr std::size_t readSize = 4096;

/// Declared length of the body, or none.
template <bool isRequest>
std::optional<std::uint64_t> contentLength(const http::parser<isRequest, http::buffer_body>& parser)
{
    const boost::optional<std::uint64_t> length = parser.content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

/// Reads until the header is complete. error is end_of_stream when the stream ended before its first byte.
template <bool isRequest>
Awaitable<void> readHeader(
    Socket& socket, beast::flat_buffer& buffer, http::parser<isRequest, http::buffer_body>& parser, error_code& error)
{
    for (;;) {
        error = {};
        while (buffer.size() > 0 && !parser.is_header_done() && !error)
            buffer.consume(parser.put(buffer.data(), error));
        if (error && error != http::error::need_more)
            co_return;
        error = {};
        if (parser.is_header_done())
            co_return;
        const auto space = buffer.prepare(readSize);
        const std::size_t received = co_await socket.async_read_some(space, asio::redirect_error(useAwaitable, error));
        if (error) {
            if (error == asio::error::eof)
                error = buffer.size() == 0 ? http::error::end_of_stream : http::error::partial_message;
            co_return;
        }
        buffer.commit(received);
    }
}

/// Reads body bytes to [out, out + capacity). Returns as soon as some arrived, or with fill only when the space is full
/// or the body ended. A stream that ends inside the body gives partial_message.
template <bool isRequest>
Awaitable<std::size_t> readBody(Socket& socket, beast::flat_buffer& buffer,
    http::parser<isRequest, http::buffer_body>& parser, char* out, std::size_t capacity, bool fill, error_code& error)
{
    auto& body = parser.get().body();
    body.data = out;
    body.size = capacity;
    for (;;) {
        error = {};
        while (buffer.size() > 0 && !parser.is_done() && !error)
            buffer.consume(parser.put(buffer.data(), error));
        const std::size_t produced = capacity - body.size;
        if (error && error != http::error::need_more && error != http::error::need_buffer)
            co_return produced;
        error = {};
        if (parser.is_done() || produced == capacity || (produced > 0 && !fill))
            co_return produced;
        const auto space = buffer.prepare(readSize);
        const std::size_t received = co_await socket.async_read_some(space, asio::redirect_error(useAwaitable, error));
        if (error) {
            if (error == asio::error::eof)
                error = http::error::partial_message;
            co_return produced;
        }
        buffer.commit(received);
    }
}

} // namespace sapphiredale::forwarding
