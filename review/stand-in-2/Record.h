// The record of a case: what was sent, answered and run, with the time since its start.
#pragma once

#include "Net.h"

#include <cstdio>
#include <fstream>
#include <string>

namespace review2 {

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_startedAt(nowMs())
    {
    }
    std::int64_t elapsedMs() const { return nowMs() - m_startedAt; }
    void note(const std::string& line)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(elapsedMs()) / 1000.0);
        m_file << time << line << std::endl;
    }

private:
    std::ofstream m_file;
    std::int64_t m_startedAt;
};

} // namespace review2
