// The log as the daemon uses it.
#pragma once

#include "platform/PlatformTypes.h"

#include <concepts>

namespace sapphiredale::platform {

/// Append-only streams with offsets. The timeout covers the whole call and must exceed the wait of a read.
template <typename T>
concept LogService = requires(T& log, std::string stream, std::vector<std::string> records, std::uint64_t from,
    std::uint32_t maxBytes, Duration wait, Duration timeout, Handler<std::uint64_t> appended, Handler<LogPage> read)
{
    /// Appends all records at consecutive offsets; the result is the offset of the first one.
    {
        log.append(stream, records, timeout, appended)
        } -> std::same_as<void>;
    /// Reads from an offset; waits up to `wait` for a record when there is none yet.
    {
        log.read(stream, from, maxBytes, wait, timeout, read)
        } -> std::same_as<void>;
};

} // namespace sapphiredale::platform
