// Hash functions of rendezvous hashing.

#include "model/Rendezvous.h"

namespace sapphiredale {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offsetBasis ^ seed;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= prime;
    }
    // FNV-1a alone leaves the high bits of short texts weakly mixed; rendezvous hashing compares exactly these.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return hash;
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return stableHash(candidate, stableHash(key));
}

} // namespace sapphiredale
