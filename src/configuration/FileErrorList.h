// Bounded collection of the faults of one file.
#pragma once

#include "configuration/ClusterFileReader.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphiredale::configuration {

/// Keeps the first faults up to a bound and counts the others.
class FileErrorList {
public:
    explicit FileErrorList(std::size_t maxErrors)
        : m_maxErrors(maxErrors)
    {
    }

    void add(std::string path, std::string problem, std::string accepted)
    {
        if (m_errors.size() < m_maxErrors)
            m_errors.push_back({ std::move(path), std::move(problem), std::move(accepted) });
        else
            ++m_omitted;
    }

    /// Adds a fault that may only follow from an earlier one: it is dropped when the path, or a part that contains it,
    /// already has a fault.
    void addUnlessReported(std::string path, std::string problem, std::string accepted)
    {
        for (const FileError& error : m_errors) {
            if (contains(error.m_path, path))
                return;
        }
        add(std::move(path), std::move(problem), std::move(accepted));
    }

    /// True when a path that starts with the prefix has a fault.
    bool hasErrorUnder(std::string_view prefix) const
    {
        return std::any_of(m_errors.begin(), m_errors.end(),
            [prefix](const FileError& error) { return error.m_path.starts_with(prefix); });
    }

    bool empty() const { return m_errors.empty(); }
    std::size_t count() const { return m_errors.size() + m_omitted; }

    /// The faults; a last one without path states how many were left out.
    std::vector<FileError> take()
    {
        if (m_omitted > 0)
            m_errors.push_back({ "", std::to_string(m_omitted) + " more errors", "a file without the errors above" });
        return std::move(m_errors);
    }

private:
    static bool contains(std::string_view outer, std::string_view inner)
    {
        return !outer.empty() && inner.starts_with(outer)
            && (inner.size() == outer.size() || inner[outer.size()] == '.' || inner[outer.size()] == '[');
    }

    std::size_t m_maxErrors;
    std::vector<FileError> m_errors;
    std::size_t m_omitted = 0;
};

} // namespace sapphiredale::configuration
