// Conversion between the messages and their protobuf form; used by MessageCodec only.
#pragma once

#include "peer/Messages.h"
#include "peer/generated/peer.pb.h"

namespace sapphiredale::peer {

/// Fills the payload of a protobuf envelope.
void writePayload(const Payload&, wire::Envelope&);

enum class ReadResult : std::uint8_t { Ok, UnknownPayload, InvalidField };

/// Reads the payload of a protobuf envelope; texts are moved out of it.
ReadResult readPayload(wire::Envelope&, Payload&);

} // namespace sapphiredale::peer
