// Helpers for the tests that use a simulated cell.
#pragma once

#include "tests/jobs/SimulatedCell.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::jobs {

/// Fails with the first violation, if there is any.
inline void assertNoViolation(const SimulatedCell& cell)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        cell.m_violations.empty() ? "" : *cell.m_violations.begin(), std::size_t(0), cell.m_violations.size());
}

/// A cell with a scheduler in its first term.
inline SimulatedCell startedCell(std::uint32_t workers, std::uint64_t seed = 1)
{
    SimulatedCell cell(workers, seed);
    cell.listAll();
    cell.takeOver();
    cell.run(milliseconds(50));
    return cell;
}

/// The first worker that runs a task.
inline WorkerId firstWorkerOf(const SimulatedCell& cell)
{
    for (const auto& [id, worker] : cell.m_workers) {
        if (!worker.m_running.empty())
            return id;
    }
    return {};
}

} // namespace sapphiredale::jobs
