// Translation between envelopes and bytes (protobuf). Decoding is bounded: size, number of elements and length of texts
// are checked before anything is allocated for them.
#pragma once

#include "peer/Messages.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace sapphiredale::peer {

/// Why a message was refused.
enum class DecodeError : std::uint8_t {
    /// Longer than maxMessageBytes.
    TooLarge,
    /// Not a protobuf message of this protocol, or truncated.
    Malformed,
    /// More elements than a valid message has.
    TooManyElements,
    WrongProtocolVersion,
    /// A payload that this version does not know.
    UnknownPayload,
    /// A value out of its range, or a missing sender.
    InvalidField,
};

inline constexpr std::size_t decodeErrorCount = static_cast<std::size_t>(DecodeError::InvalidField) + 1;

/// Stable name in lower case with hyphens, a counter label.
std::string_view nameOf(DecodeError);

/// Encodes and decodes envelopes. Stateless; every function may be called from several threads.
class MessageCodec {
public:
    /// The bytes of an envelope, or BodyTooLarge when they would exceed maxMessageBytes.
    static Result<std::string> encode(const Envelope&);

    /// The envelope, or the reason why the bytes are refused. Unknown fields are skipped.
    static std::variant<Envelope, DecodeError> decode(std::span<const std::byte>);
};

} // namespace sapphiredale::peer
