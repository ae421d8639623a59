// A set of occurrences of a job, held as ranges: a job may have a hundred thousand of them, most of which end in order.
#pragma once

#include <algorithm>
#include <boost/icl/interval_set.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sapphiredale::jobs {

/// Occurrences from m_first to m_last.
struct OccurrenceRange {
    std::uint32_t m_first = 0;
    std::uint32_t m_last = 0;

    friend bool operator==(const OccurrenceRange&, const OccurrenceRange&) = default;
    friend auto operator<=>(const OccurrenceRange&, const OccurrenceRange&) = default;
};

/// See the head of the file. Takes memory in proportion to the number of ranges.
class OccurrenceSet {
public:
    void add(OccurrenceRange range) { m_ranges.add(Ranges::interval_type::closed(range.m_first, range.m_last)); }
    void add(std::uint32_t occurrence) { add({ occurrence, occurrence }); }
    void remove(std::uint32_t occurrence) { m_ranges.erase(occurrence); }
    /// Removes the occurrences of the other set, or those that are not in it.
    void remove(const OccurrenceSet& others) { m_ranges -= others.m_ranges; }
    void keep(const OccurrenceSet& others) { m_ranges &= others.m_ranges; }

    bool contains(std::uint32_t occurrence) const { return boost::icl::contains(m_ranges, occurrence); }
    /// Number of occurrences.
    std::size_t size() const { return boost::icl::cardinality(m_ranges); }

    /// The first occurrence from `from` that is in the set.
    std::optional<std::uint32_t> firstFrom(std::uint32_t from) const
    {
        const auto range = rangeAtOrAfter(from);
        if (range == m_ranges.end())
            return std::nullopt;
        return std::max(from, boost::icl::first(*range));
    }
    /// The first occurrence from `from` that is not in the set.
    std::uint32_t firstMissingFrom(std::uint32_t from) const
    {
        const auto range = rangeAtOrAfter(from);
        const bool isContained = range != m_ranges.end() && boost::icl::first(*range) <= from;
        return isContained ? boost::icl::last(*range) + 1 : from;
    }
    /// Calls the function with each range in ascending order. No two of them touch.
    template <typename Function> void visitRanges(Function function) const
    {
        for (const auto& range : m_ranges)
            function(OccurrenceRange { boost::icl::first(range), boost::icl::last(range) });
    }

private:
    using Ranges = boost::icl::interval_set<std::uint32_t>;

    Ranges::const_iterator rangeAtOrAfter(std::uint32_t from) const
    {
        return m_ranges.lower_bound(Ranges::interval_type::closed(from, from));
    }

    Ranges m_ranges;
};

} // namespace sapphiredale::jobs
