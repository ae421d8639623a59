// The stand-in for the platform: log, host list, workers and minions in one process, with faults by request.
#pragma once

#include "model/Result.h"
#include "standin/StandinSettings.h"

#include <memory>
#include <string>

namespace sapphiredale::standin {

/// Serves all protocols of the platform on loopback ports with its own threads; docs/API.md describes them.
class Standin {
public:
    explicit Standin(StandinSettings);
    /// Stops when still running.
    ~Standin();
    Standin(const Standin&) = delete;
    Standin& operator=(const Standin&) = delete;

    /// Opens all listeners and starts the threads; fails when a port is taken or the address is not a loopback address.
    Result<Unit> start();
    /// Closes all listeners and connections and joins the threads.
    void stop();

    /// "address:port" of each listener; valid after a successful start.
    std::string logAddress() const;
    std::string hostsAddress() const;
    std::string workersAddress() const;
    std::string controlAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace sapphiredale::standin
