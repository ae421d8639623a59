// Text form of stream records: one JSON object per record, as the log stores it.
#pragma once

#include "model/Result.h"
#include "ownership/StreamRecord.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace sapphiredale::ownership {

/// Greatest size of a record's text in bytes; details that would exceed it are cut off.
inline constexpr std::size_t maxRecordBytes = 8192;

/// The record as JSON without line breaks, at most maxRecordBytes long.
std::string encodeRecord(const StreamRecord&);

/// Reads a record. Members that are not known are ignored. Fails with InvalidRequest for text that is too long or not a
/// record, and with NotFound for a record type that this version does not know; readers skip the latter.
Result<StreamRecord> decodeRecord(std::string_view text);

} // namespace sapphiredale::ownership
