// Daemons as processes of their own, each with its own way to the stand-in of the store.
#pragma once

#include "Store.h"

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sapphiredale::processes {

/// See the head of the file. The processes end with this object.
class DaemonProcesses {
public:
    /// `program` is the path of sapphired; logs and settings go to `folder`.
    DaemonProcesses(review::Store&, std::string program, const std::string& folder, int count);
    ~DaemonProcesses();
    DaemonProcesses(const DaemonProcesses&) = delete;
    DaemonProcesses& operator=(const DaemonProcesses&) = delete;

    int count() const { return static_cast<int>(m_daemons.size()); }
    /// Starts a daemon that does not run.
    void start(int daemon);
    /// Kills a daemon that runs.
    void kill(int daemon);
    /// Waits until all daemons are ready; false after `seconds`.
    bool waitUntilReady(double seconds) const;
    /// A caller's request; the status is 0 if there is no answer.
    review::Response ask(int daemon, const std::string& method, const std::string& path, const std::string& body) const;

private:
    struct Daemon {
        pid_t m_process = -1;
        std::string m_callers;
        std::string m_readiness;
        std::string m_settings;
        std::string m_log;
        std::unique_ptr<review::Server> m_store;
    };

    const std::string m_program;
    std::vector<Daemon> m_daemons;
};

/// Host name of the callers' requests.
inline constexpr const char* callersHost = "cell.example";

} // namespace sapphiredale::processes
