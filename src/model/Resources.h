// Amounts of processor, memory and accelerators of a worker, a task, a team or a sum of them.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace sapphiredale {

/// Amounts of the three resource kinds. Differences may be negative.
struct Resources {
    /// Processor time in thousandths of a core.
    std::int64_t m_cpuMillis = 0;
    /// Memory in MiB.
    std::int64_t m_memoryMiB = 0;
    /// Whole accelerators.
    std::int64_t m_accelerators = 0;

    friend bool operator==(const Resources&, const Resources&) = default;

    Resources& operator+=(const Resources& other)
    {
        m_cpuMillis += other.m_cpuMillis;
        m_memoryMiB += other.m_memoryMiB;
        m_accelerators += other.m_accelerators;
        return *this;
    }

    Resources& operator-=(const Resources& other)
    {
        m_cpuMillis -= other.m_cpuMillis;
        m_memoryMiB -= other.m_memoryMiB;
        m_accelerators -= other.m_accelerators;
        return *this;
    }

    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend Resources operator*(const Resources& a, std::int64_t n)
    {
        return { a.m_cpuMillis * n, a.m_memoryMiB * n, a.m_accelerators * n };
    }

    /// True when every amount is at most that of capacity.
    bool fitsIn(const Resources& capacity) const
    {
        return m_cpuMillis <= capacity.m_cpuMillis && m_memoryMiB <= capacity.m_memoryMiB
            && m_accelerators <= capacity.m_accelerators;
    }

    bool isZero() const { return *this == Resources {}; }
    bool hasNegative() const { return m_cpuMillis < 0 || m_memoryMiB < 0 || m_accelerators < 0; }

    /// The larger amount of each kind.
    static Resources max(const Resources& a, const Resources& b)
    {
        return { std::max(a.m_cpuMillis, b.m_cpuMillis), std::max(a.m_memoryMiB, b.m_memoryMiB),
            std::max(a.m_accelerators, b.m_accelerators) };
    }
};

} // namespace sapphiredale
