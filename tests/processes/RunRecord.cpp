// Judges the runs of a play.

#include "tests/processes/RunRecord.h"

#include "Net.h"

namespace sapphiredale::processes {

namespace {

    std::string describe(const std::string& task, std::uint64_t run, const std::string& worker)
    {
        return task + " run " + std::to_string(run) + " on " + worker;
    }

} // namespace

void RunRecord::began(const std::string& task, std::uint64_t run, const std::string& worker)
{
    const std::lock_guard lock(m_mutex);
    Task& seen = m_tasks[task];
    ++m_starts;
    review::note("worker begins " + describe(task, run, worker));
    if (!seen.m_running.empty()) {
        const auto& [otherWorker, otherRun] = *seen.m_running.begin();
        m_violations.push_back("two runs at once: " + describe(task, run, worker) + " beside run "
            + std::to_string(otherRun) + " on " + otherWorker);
        review::note("VIOLATION " + m_violations.back());
    }
    if (seen.m_isAcknowledged) {
        m_violations.push_back("again after its acknowledged end: " + describe(task, run, worker));
        review::note("VIOLATION " + m_violations.back());
    }
    seen.m_followed = seen.m_done;
    seen.m_running.emplace(worker, run);
}

void RunRecord::ended(const std::string& task, std::uint64_t run, const std::string& worker, bool isDone)
{
    const std::lock_guard lock(m_mutex);
    Task& seen = m_tasks[task];
    seen.m_running.erase({ worker, run });
    if (isDone)
        seen.m_done.insert(run);
    m_doneRuns += isDone ? 1 : 0;
    review::note("worker ends " + describe(task, run, worker) + (isDone ? ": done" : ""));
}

void RunRecord::acknowledged(const std::string& task, std::uint64_t run)
{
    const std::lock_guard lock(m_mutex);
    Task& seen = m_tasks[task];
    if (seen.m_followed.contains(run)) {
        m_violations.push_back(
            "again before the acknowledgement of the end of run " + std::to_string(run) + ": " + task);
        review::note("VIOLATION " + m_violations.back());
    }
    seen.m_isAcknowledged = true;
}

std::vector<std::string> RunRecord::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::uint64_t RunRecord::starts() const
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

std::uint64_t RunRecord::doneRuns() const
{
    const std::lock_guard lock(m_mutex);
    return m_doneRuns;
}

} // namespace sapphiredale::processes
