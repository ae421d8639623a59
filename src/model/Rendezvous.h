// Rendezvous (highest random weight) hashing: every daemon computes the same choice from the same candidates without
// communication, and the removal of one candidate moves only the keys that had chosen it.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace sapphiredale {

/// Stable 64-bit hash of a text; it is the same on every host and in every version (FNV-1a with a final mix).
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Weight of a candidate for a key; the candidate with the greatest weight is chosen.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// The chosen candidate, or nullptr when there is none. Id is an Identifier; equal weights are ordered by name.
template <typename Id> const Id* rendezvousChoice(std::string_view key, std::span<const Id> candidates)
{
    const Id* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const Id& candidate : candidates) {
        const std::uint64_t weight = rendezvousWeight(key, candidate.value());
        if (!best || weight > bestWeight || (weight == bestWeight && candidate < *best)) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace sapphiredale
