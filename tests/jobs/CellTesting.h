// What the tests over a simulated cell share.
#pragma once

#include "tests/jobs/SimulatedCell.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sapphiredale::jobs {

/// Fails with the first breach.
inline void assertNoBreach(const SimulatedCell& cell)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        cell.m_breaches.empty() ? "" : *cell.m_breaches.begin(), std::size_t(0), cell.m_breaches.size());
}

/// A cell whose first term has begun.
inline SimulatedCell startedCell(std::uint32_t workers, std::uint64_t seed = 1)
{
    SimulatedCell cell(workers, seed);
    cell.listAll();
    cell.takeOver();
    cell.run(milliseconds(50));
    return cell;
}

/// The first worker on which something runs.
inline WorkerId firstWorkerOf(const SimulatedCell& cell)
{
    for (const auto& [id, worker] : cell.m_workers) {
        if (!worker.m_running.empty())
            return id;
    }
    return {};
}

} // namespace sapphiredale::jobs
