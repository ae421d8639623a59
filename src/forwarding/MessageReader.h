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
#include <functional>
#include <optional>

namespace sapphiredale::forwarding {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Parser that also limits the extensions of all chunks of a message; the parser of the library limits neither these
/// nor the trailers. readHeader() and readBody() bound the trailers by the size of the buffer.
template <bool isRequest> class BoundedParser : public http::parser<isRequest, http::buffer_body> {
public:
    BoundedParser() { this->on_chunk_header(m_chunkHeaderHandler); }
    BoundedParser(const BoundedParser&) = delete;
    BoundedParser& operator=(const BoundedParser&) = delete;

    /// Most bytes of the header, of the trailers, and of the extensions of all chunks.
    void setHeaderLimit(std::uint32_t limit)
    {
        m_headerLimit = limit;
        http::parser<isRequest, http::buffer_body>::header_limit(limit);
    }
    std::size_t headerLimit() const { return m_headerLimit; }

private:
    std::size_t m_headerLimit = 8192; // the default of the library
    std::size_t m_extensionBytes = 0;
    std::function<void(std::uint64_t, beast::string_view, error_code&)> m_chunkHeaderHandler
        = [this](std::uint64_t, beast::string_view extensions, error_code& error) {
              m_extensionBytes += extensions.size();
              if (m_extensionBytes > m_headerLimit)
                  error = http::error::header_limit;
          };
};

using RequestParser = BoundedParser<true>;
using ResponseParser = BoundedParser<false>;

/// Bytes asked for by one read.
inline constexpr std::size_t readSize = 4096;

/// Whether the buffer holds more than a message within its limits leaves there unparsed.
template <bool isRequest> bool isFull(const beast::flat_buffer& buffer, const BoundedParser<isRequest>& parser)
{
    return buffer.size() > parser.headerLimit() + readSize;
}

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
    Socket& socket, beast::flat_buffer& buffer, BoundedParser<isRequest>& parser, error_code& error)
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
        if (isFull(buffer, parser)) {
            error = http::error::header_limit;
            co_return;
        }
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
Awaitable<std::size_t> readBody(Socket& socket, beast::flat_buffer& buffer, BoundedParser<isRequest>& parser, char* out,
    std::size_t capacity, bool fill, error_code& error)
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
        if (isFull(buffer, parser)) {
            error = http::error::header_limit;
            co_return produced;
        }
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
