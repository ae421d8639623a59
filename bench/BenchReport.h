// Table and JSON records of benchmark measurements, shared by all benchmark programs. Each program defines the flags
// --only and --json and passes their values.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::bench {

/// A stated target. Targets come from the requirements and never from a run.
struct Target {
    enum class Kind : unsigned char { AtMost, AtLeast };
    Kind m_kind = Kind::AtMost;
    double m_value = 0;

    static Target atMost(double value) { return { Kind::AtMost, value }; }
    static Target atLeast(double value) { return { Kind::AtLeast, value }; }
    bool isMetBy(double value) const { return m_kind == Kind::AtMost ? value <= m_value : value >= m_value; }
};

/// One measured value.
struct Measurement {
    std::string m_name;
    double m_value = 0;
    std::string m_unit;
    std::optional<Target> m_target;
    /// The same quantity measured for a baseline in the same run.
    std::optional<double> m_baseline;
};

/// Collects the measurements of one program.
class BenchReport {
public:
    /// Only parts whose name contains the filter are run; an empty filter runs all.
    explicit BenchReport(std::string filter)
        : m_filter(std::move(filter))
    {
    }

    bool wants(const std::string& part) const { return part.find(m_filter) != std::string::npos; }

    void add(const std::string& name, double value, const std::string& unit, std::optional<Target> target = {},
        std::optional<double> baseline = {})
    {
        m_measurements.push_back({ name, value, unit, target, baseline });
    }

    /// Prints the table and writes one JSON record per line when a path is given. Returns the exit code of the
    /// program: 0, or 1 when the file cannot be written or nothing was measured. A missed target is shown as such
    /// and does not change the exit code.
    int finish(const std::string& jsonPath) const
    {
        printTable();
        if (m_measurements.empty()) {
            std::cerr << "no measurement matches the filter '" << m_filter << "'\n";
            return 1;
        }
        return jsonPath.empty() || writeJson(jsonPath) ? 0 : 1;
    }

private:
    void printTable() const
    {
        std::printf("%-58s %14s %-12s %12s %12s %s\n", "measurement", "value", "unit", "target", "baseline", "met");
        for (const Measurement& m : m_measurements) {
            const std::string target = m.m_target
                ? (m.m_target->m_kind == Target::Kind::AtMost ? "<= " : ">= ") + text(m.m_target->m_value)
                : "-";
            const char* met = !m.m_target ? "-" : m.m_target->isMetBy(m.m_value) ? "yes" : "NO";
            std::printf("%-58s %14s %-12s %12s %12s %s\n", m.m_name.c_str(), text(m.m_value).c_str(), m.m_unit.c_str(),
                target.c_str(), m.m_baseline ? text(*m.m_baseline).c_str() : "-", met);
        }
    }

    bool writeJson(const std::string& path) const
    {
        std::ofstream file(path);
        for (const Measurement& m : m_measurements) {
            boost::json::object record { { "name", m.m_name }, { "value", m.m_value }, { "unit", m.m_unit },
                { "target", nullptr }, { "baseline", nullptr }, { "met", nullptr } };
            if (m.m_target) {
                record["target"] = m.m_target->m_value;
                record["met"] = m.m_target->isMetBy(m.m_value);
            }
            if (m.m_baseline)
                record["baseline"] = *m.m_baseline;
            file << boost::json::serialize(record) << '\n';
        }
        file.flush();
        if (!file)
            std::cerr << "cannot write " << path << '\n';
        return bool(file);
    }

    static std::string text(double value)
    {
        char buffer[32];
        const int digits = std::abs(value) >= 1000 ? 0 : std::abs(value) >= 10 ? 1 : 3;
        std::snprintf(buffer, sizeof buffer, "%.*f", digits, value);
        return buffer;
    }

    std::string m_filter;
    std::vector<Measurement> m_measurements;
};

} // namespace sapphiredale::bench
