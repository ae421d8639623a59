// What the workers of a play have seen of each task: its runs, and its ends.
#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::processes {

/// See the head of the file. Functions may be called from several threads.
class RunRecord {
public:
    void began(const std::string& task, std::uint64_t run, const std::string& worker);
    void ended(const std::string& task, std::uint64_t run, const std::string& worker, bool isDone);
    /// An end `done` was acknowledged while the lease of its worker had not lapsed since.
    void acknowledged(const std::string& task, std::uint64_t run);
    /// Tasks of which two runs went on at once, and starts after an acknowledged end `done`.
    std::vector<std::string> violations() const;
    std::uint64_t starts() const;
    std::uint64_t doneRuns() const;

private:
    struct Task {
        std::set<std::pair<std::string, std::uint64_t>> m_running;
        /// Runs that ended `done`, and those of them after which another run began. The latter must not be
        /// acknowledged.
        std::set<std::uint64_t> m_done;
        std::set<std::uint64_t> m_followed;
        bool m_isAcknowledged = false;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Task> m_tasks;
    std::vector<std::string> m_violations;
    std::uint64_t m_starts = 0;
    std::uint64_t m_doneRuns = 0;
};

} // namespace sapphiredale::processes
