// Division of a configuration file into messages and its assembly. The receiver pulls: one request, one chunk, so that
// a lost message is repeated by the ordinary deadline of a call.
#pragma once

#include "peer/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphiredale::peer {

/// Most bytes of a transferred file; it bounds the memory that a faulty peer can occupy.
inline constexpr std::uint64_t maxTransferBytes = std::uint64_t { 16 } << 20;

/// The chunk that answers a request; a version of zero when the wanted version or offset does not exist.
ConfigurationTransfer chunkFor(
    const ConfigurationRequest&, std::uint64_t version, std::uint64_t hash, std::string_view content);

/// Assembles the chunks of one file. The caller verifies the hash of the content.
class ConfigurationAssembly {
public:
    enum class Progress : std::uint8_t {
        /// Send next().
        Continue,
        Complete,
        /// The chunk does not continue the file, or the sender no longer has it: the assembly started over.
        Restarted,
    };

    /// Starts over with a request for a version; zero takes the newest one.
    void start(std::uint64_t version = 0);
    /// The request for the next missing chunk.
    ConfigurationRequest next() const;
    /// Takes a chunk. Continue and Complete mean that it was used.
    Progress take(const ConfigurationTransfer&);

    /// Version, hash and content; meaningful after Complete.
    std::uint64_t version() const { return m_version; }
    std::uint64_t hash() const { return m_hash; }
    const std::string& content() const { return m_content; }

private:
    std::uint64_t m_wanted = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_totalBytes = 0;
    std::string m_content;
};

} // namespace sapphiredale::peer
