// JSON form of the platform's protocols; included by .cpp files only.
#pragma once

#include "platform/HttpChannel.h"
#include "platform/PlatformTypes.h"

#include <string>
#include <vector>

namespace sapphiredale::platform {

std::string encodeRecords(const std::vector<std::string>&);
/// Members with their default value are left out, because control traffic is limited.
std::string encode(const WorkerLeaseRequest&);
std::string encode(const ReleaseRequest&);
std::string encode(const CommandRequest&);
std::string encode(const MinionLeaseRequest&);

/// Each decoder takes a complete answer. Another status or a malformed body is an error: NotRun for a rejection by
/// status 4xx or 503, with `unavailable` as the kind of 429 and 503; MayHaveRun for everything else.
Result<std::uint64_t> decodeAppended(const HttpAnswer&, ErrorKind unavailable);
Result<LogPage> decodePage(const HttpAnswer&, ErrorKind unavailable);
Result<HostSnapshot> decodeHosts(const HttpAnswer&, ErrorKind unavailable);
Result<WorkerLeaseAnswer> decodeWorkerLease(const HttpAnswer&, const WorkerId&, ErrorKind unavailable);
Result<ReleaseAnswer> decodeRelease(const HttpAnswer&, ErrorKind unavailable);
Result<CommandAnswer> decodeCommands(const HttpAnswer&, const CommandRequest&, ErrorKind unavailable);
Result<MinionLeaseAnswer> decodeMinionLease(const HttpAnswer&, ErrorKind unavailable);

} // namespace sapphiredale::platform
