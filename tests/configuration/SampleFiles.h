// Operators' files for the tests.
#pragma once

#include "configuration/ClusterFileReader.h"

#include <cppunit/TestAssert.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphiredale::configuration {

/// A valid file with two workers, a service and a batch workload.
inline std::string smallFile()
{
    return R"({
  "format": 1, "cell": "test",
  "failureDomains": [{"name": "d", "region": "r", "lost": false}],
  "workers": [
    {"name": "w1", "failureDomain": "d", "rack": "k", "capacity": {"cpus": 4, "memoryMiB": 100}, "address": "127.0.0.1:7100"},
    {"name": "w2", "failureDomain": "d", "rack": "l", "capacity": {"cpus": 4, "memoryMiB": 100}, "address": "127.0.0.1:7100"},
  ],
  "teams": [{"name": "t", "guaranteed": {"cpus": 4, "memoryMiB": 50}, "limit": {"cpus": 8, "memoryMiB": 200}}],
  "classes": [{"name": "service", "kind": "service"}, {"name": "batch", "kind": "batch"}], // comment
  "workloads": [
    {"name": "front", "team": "t", "class": "service", "instances": 3, "resources": {"cpus": 1, "memoryMiB": 10}, "program": "p"},
    {"name": "score", "team": "t", "class": "batch", "resources": {"cpus": 0.5, "memoryMiB": 10}, "program": "q"},
  ],
})";
}

/// Replaces the first occurrence, which must exist.
inline void replace(std::string& text, std::string_view from, std::string_view to)
{
    const std::size_t at = text.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    text.replace(at, from.size(), to);
}

/// A valid file that differs from others by the number of instances.
inline std::string fileWithInstances(int instances)
{
    std::string text = smallFile();
    replace(text, "\"instances\": 3", "\"instances\": " + std::to_string(instances));
    return text;
}

/// The file of a text that must be valid.
inline ClusterFile parsed(const std::string& text)
{
    ParseResult result = parseClusterFile(text);
    if (const auto* errors = std::get_if<std::vector<FileError>>(&result))
        CPPUNIT_FAIL(errors->front().m_path + ": " + errors->front().m_problem);
    return std::get<ClusterFile>(std::move(result));
}

/// The faults of a text that must not be valid.
inline std::vector<FileError> errorsOf(const std::string& text)
{
    ParseResult result = parseClusterFile(text);
    CPPUNIT_ASSERT(std::holds_alternative<std::vector<FileError>>(result));
    return std::get<std::vector<FileError>>(std::move(result));
}

} // namespace sapphiredale::configuration
