// Bounded translation between envelopes and bytes.

#include "peer/MessageCodec.h"

#include "peer/WireConversion.h"

#include <array>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

namespace sapphiredale::peer {

namespace {

    using google::protobuf::internal::WireFormatLite;
    using google::protobuf::io::CodedInputStream;

    constexpr std::array<std::string_view, decodeErrorCount> errorNames { "too-large", "malformed", "too-many-elements",
        "wrong-protocol-version", "unknown-payload", "invalid-field" };

    /// Most fields of all payloads of a message: maxRows and room for the fields of newer versions. Decoding allocates
    /// more than a hundred bytes for a row that needs two, so rows are counted before.
    constexpr std::size_t maxPayloadFields = 2 * maxRows;
    /// First field number of the payloads in the envelope.
    constexpr int firstPayloadField = 16;
    constexpr int maxNesting = 8;

    /// Counts the fields of a message; false when the bytes are malformed or the count exceeds the limit.
    bool countFields(CodedInputStream& stream, std::size_t& fields)
    {
        while (const std::uint32_t tag = stream.ReadTag()) {
            if (++fields > maxPayloadFields || !WireFormatLite::SkipField(&stream, tag))
                return false;
        }
        return stream.ConsumedEntireMessage();
    }

    std::optional<DecodeError> checkElements(const std::uint8_t* data, int size)
    {
        CodedInputStream stream(data, size);
        std::size_t fields = 0;
        while (const std::uint32_t tag = stream.ReadTag()) {
            const bool isPayload = WireFormatLite::GetTagFieldNumber(tag) >= firstPayloadField
                && WireFormatLite::GetTagWireType(tag) == WireFormatLite::WIRETYPE_LENGTH_DELIMITED;
            if (!isPayload) {
                if (!WireFormatLite::SkipField(&stream, tag))
                    return DecodeError::Malformed;
                continue;
            }
            std::uint32_t length = 0;
            if (!stream.ReadVarint32(&length) || length > static_cast<std::uint32_t>(size - stream.CurrentPosition()))
                return DecodeError::Malformed;
            const auto limit = stream.PushLimit(static_cast<int>(length));
            if (!countFields(stream, fields))
                return fields > maxPayloadFields ? DecodeError::TooManyElements : DecodeError::Malformed;
            stream.PopLimit(limit);
        }
        return stream.ConsumedEntireMessage() ? std::nullopt : std::optional(DecodeError::Malformed);
    }

} // namespace

std::string_view nameOf(DecodeError error) { return errorNames[static_cast<std::size_t>(error)]; }

Result<std::string> MessageCodec::encode(const Envelope& envelope)
{
    wire::Envelope message;
    message.set_protocol_version(protocolVersion);
    message.set_sender(envelope.m_sender.value());
    message.set_sender_incarnation(envelope.m_senderIncarnation);
    message.set_sequence(envelope.m_sequence);
    message.set_correlation(envelope.m_correlation);
    message.set_reply_to_incarnation(envelope.m_replyToIncarnation);
    writePayload(envelope.m_payload, message);
    const std::size_t size = message.ByteSizeLong();
    if (size > maxMessageBytes)
        return Error { ErrorKind::BodyTooLarge,
            std::string(nameOf(kindOf(envelope))) + " has " + std::to_string(size) + " bytes, at most "
                + std::to_string(maxMessageBytes) + " are allowed" };
    return message.SerializeAsString();
}

std::variant<Envelope, DecodeError> MessageCodec::decode(std::span<const std::byte> bytes)
{
    if (bytes.size() > maxMessageBytes)
        return DecodeError::TooLarge;
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const int size = static_cast<int>(bytes.size());
    if (const std::optional<DecodeError> error = checkElements(data, size))
        return *error;

    wire::Envelope message;
    CodedInputStream stream(data, size);
    stream.SetRecursionLimit(maxNesting);
    if (!message.ParseFromCodedStream(&stream) || !stream.ConsumedEntireMessage())
        return DecodeError::Malformed;
    if (message.protocol_version() != protocolVersion)
        return DecodeError::WrongProtocolVersion;
    if (message.sender().empty() || message.sender().size() > 1024)
        return DecodeError::InvalidField;

    Envelope envelope;
    envelope.m_sender = DaemonId(std::move(*message.mutable_sender()));
    envelope.m_senderIncarnation = message.sender_incarnation();
    envelope.m_sequence = message.sequence();
    envelope.m_correlation = message.correlation();
    envelope.m_replyToIncarnation = message.reply_to_incarnation();
    switch (readPayload(message, envelope.m_payload)) {
    case ReadResult::Ok:
        return envelope;
    case ReadResult::UnknownPayload:
        return DecodeError::UnknownPayload;
    case ReadResult::InvalidField:
        break;
    }
    return DecodeError::InvalidField;
}

} // namespace sapphiredale::peer
