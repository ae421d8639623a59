// What the stand-in recorded, read over its control listener.
#pragma once

#include "load/HistoryChecker.h"

namespace sapphiredale::load {

struct StandinRecords {
    std::vector<ObservedExecution> m_executions;
    std::vector<PlatformViolation> m_violations;
};

/// Reads all executions and violations from the control address (HOST:PORT).
Result<StandinRecords> readStandinRecords(const std::string& controlAddress);

} // namespace sapphiredale::load
