// Division of a configuration file into messages and its assembly.

#include "peer/ConfigurationChunks.h"

#include <algorithm>

namespace sapphiredale::peer {

ConfigurationTransfer chunkFor(
    const ConfigurationRequest& request, std::uint64_t version, std::uint64_t hash, std::string_view content)
{
    const bool wanted = request.m_version == 0 || request.m_version == version;
    if (version == 0 || !wanted || request.m_offset > content.size())
        return {};
    return { version, hash, content.size(), request.m_offset,
        std::string(content.substr(request.m_offset, maxChunkBytes)) };
}

void ConfigurationAssembly::start(std::uint64_t version) { *this = ConfigurationAssembly {}, m_wanted = version; }

ConfigurationRequest ConfigurationAssembly::next() const
{
    // Later chunks must be of the version whose first chunk has arrived, not of the newest one.
    return { m_version ? m_version : m_wanted, m_content.size() };
}

ConfigurationAssembly::Progress ConfigurationAssembly::take(const ConfigurationTransfer& transfer)
{
    const bool first = m_version == 0;
    const bool sameFile = first
        ? transfer.m_version != 0 && (m_wanted == 0 || transfer.m_version == m_wanted)
        : transfer.m_version == m_version && transfer.m_hash == m_hash && transfer.m_totalBytes == m_totalBytes;
    const std::uint64_t missing
        = transfer.m_totalBytes - std::min<std::uint64_t>(transfer.m_totalBytes, m_content.size());
    const bool continues = transfer.m_totalBytes <= maxTransferBytes && transfer.m_offset == m_content.size()
        && transfer.m_chunk.size() <= missing && (!transfer.m_chunk.empty() || missing == 0);
    if (!sameFile || !continues) {
        start(m_wanted);
        return Progress::Restarted;
    }
    m_version = transfer.m_version;
    m_hash = transfer.m_hash;
    m_totalBytes = transfer.m_totalBytes;
    m_content += transfer.m_chunk;
    return m_content.size() == m_totalBytes ? Progress::Complete : Progress::Continue;
}

} // namespace sapphiredale::peer
