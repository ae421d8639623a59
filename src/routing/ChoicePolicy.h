// Policies that choose among the minions or daemons that can take a request. They see candidates only, so that the
// same code runs in the router, in the benchmark's simulation and in the tests.
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace sapphiredale::routing {

/// Small deterministic random generator (SplitMix64); the core has no other source of randomness.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        std::uint64_t z = (m_state += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /// Uniform in [0, bound); bound must be positive.
    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>((static_cast<unsigned __int128>(next()) * bound) >> 64);
    }

    /// Uniform in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t m_state;
};

/// What a policy knows of one candidate.
struct Candidate {
    /// Position in the owner's table; stable between calls.
    std::uint32_t m_index = 0;
    /// Occupied slots, as far as known.
    std::uint32_t m_outstanding = 0;
    std::uint32_t m_slots = 1;
    /// Estimate of the service time in microseconds; zero when unknown.
    std::uint32_t m_latencyMicros = 0;
};

template <typename P>
concept ChoicePolicy = requires(P policy, std::span<const Candidate> candidates, Random& random)
{
    {
        policy.choose(candidates, random)
        } -> std::same_as<std::size_t>;
    {
        P::name()
        } -> std::convertible_to<std::string_view>;
};

/// Baseline: the candidates in turn, regardless of their load.
class RoundRobin {
public:
    static constexpr std::string_view name() { return "round-robin"; }
    std::size_t choose(std::span<const Candidate> candidates, Random&)
    {
        // The next index after the previous one; with a changing candidate list a plain counter would skip some.
        std::size_t best = candidates.size();
        std::size_t first = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].m_index < candidates[first].m_index)
                first = i;
            if (candidates[i].m_index > m_last
                && (best == candidates.size() || candidates[i].m_index < candidates[best].m_index))
                best = i;
        }
        const std::size_t chosen = best == candidates.size() ? first : best;
        m_last = candidates[chosen].m_index;
        return chosen;
    }

private:
    std::uint32_t m_last = 0xffffffff;
};

/// The candidate with the fewest outstanding requests; equal ones by chance.
class LeastOutstanding {
public:
    static constexpr std::string_view name() { return "least-outstanding"; }
    std::size_t choose(std::span<const Candidate> candidates, Random& random)
    {
        std::size_t best = 0;
        std::size_t equal = 1;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            if (candidates[i].m_outstanding < candidates[best].m_outstanding) {
                best = i;
                equal = 1;
            } else if (candidates[i].m_outstanding == candidates[best].m_outstanding && random.below(++equal) == 0) {
                best = i;
            }
        }
        return best;
    }
};

/// The less loaded of two candidates drawn by chance; robust when the load is known late.
class PowerOfTwoChoices {
public:
    static constexpr std::string_view name() { return "power-of-two"; }
    std::size_t choose(std::span<const Candidate> candidates, Random& random)
    {
        const std::size_t a = random.below(candidates.size());
        if (candidates.size() == 1)
            return a;
        std::size_t b = random.below(candidates.size() - 1);
        b += b >= a ? 1 : 0;
        const std::uint64_t loadA = std::uint64_t { candidates[a].m_outstanding } * candidates[b].m_slots;
        const std::uint64_t loadB = std::uint64_t { candidates[b].m_outstanding } * candidates[a].m_slots;
        return loadB < loadA ? b : a;
    }
};

/// The candidate with the shortest queue in time: outstanding requests, this one included, times the service time,
/// divided by the slots. Equal ones by chance.
class JoinShortestQueue {
public:
    static constexpr std::string_view name() { return "join-shortest-queue"; }
    std::size_t choose(std::span<const Candidate> candidates, Random& random)
    {
        std::size_t best = 0;
        std::size_t equal = 1;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            const std::uint64_t left = delay(candidates[i]) * candidates[best].m_slots;
            const std::uint64_t right = delay(candidates[best]) * candidates[i].m_slots;
            if (left < right) {
                best = i;
                equal = 1;
            } else if (left == right && random.below(++equal) == 0) {
                best = i;
            }
        }
        return best;
    }

private:
    static std::uint64_t delay(const Candidate& candidate)
    {
        return (std::uint64_t { candidate.m_outstanding } + 1) * (std::uint64_t { candidate.m_latencyMicros } + 1);
    }
};

static_assert(
    ChoicePolicy<
        RoundRobin> && ChoicePolicy<LeastOutstanding> && ChoicePolicy<PowerOfTwoChoices> && ChoicePolicy<JoinShortestQueue>);

} // namespace sapphiredale::routing
