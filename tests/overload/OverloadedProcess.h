// A daemon as a process of its own on loopback addresses, with readings of its memory and descriptors.
#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sapphiredale::overload {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/// Sanitizers multiply the memory of a process, so that a bound on it says nothing there.
inline constexpr bool boundsMemory = false;
#else
inline constexpr bool boundsMemory = true;
#endif

/// Peak resident memory that a daemon may reach. The smallest host has 120 MB; about half of it is left for the jobs
/// and tables of a cell, which are empty in these tests.
inline constexpr std::size_t maxPeakKb = std::size_t { 64 } * 1024;
/// The platform allows 3,000 connections per daemon; the rest are listeners, connections to the platform and timers.
inline constexpr std::size_t maxDescriptors = 3000 + 64;
/// Descriptors by which a process without clients may exceed its number before the crowd: a daemon that has just
/// started opens some 30 connections to the platform within seconds.
inline constexpr std::size_t spareDescriptors = 48;

/// Host name of the callers' requests.
inline constexpr const char* callersHost = "cell.example";

/// Path of a program of this build.
std::string programPath(const std::string& name);

/// "127.0.0.1:port" with a port that was free a moment ago.
std::string freeAddress();

/// Sends one request on a new connection. Returns the status, or 0 if there is no complete status line in time.
unsigned ask(const std::string& address, const std::string& method, const std::string& target,
    const std::string& body = {}, int timeoutMs = 3000);

/// Repeats a request until it is answered with the status; false after 30 s, which only a hang reaches.
bool isAnswered(const std::string& address, const std::string& method, const std::string& target,
    const std::string& body, unsigned status);

/// A process with a folder for its files; both end with this object.
class OverloadedProcess {
public:
    /// Writes `settings` to a file and starts `program` with `option` and the path of the file.
    OverloadedProcess(const std::string& program, const std::string& option, const std::string& settings);
    ~OverloadedProcess();
    OverloadedProcess(const OverloadedProcess&) = delete;
    OverloadedProcess& operator=(const OverloadedProcess&) = delete;

    bool isAlive();
    /// Highest resident memory so far, in KiB.
    std::size_t peakKb() const;
    std::size_t descriptors() const;
    /// Waits until the process has at most this number of descriptors; false after 60 s.
    bool waitForDescriptors(std::size_t most) const;

private:
    std::string m_folder;
    pid_t m_process = -1;
};

} // namespace sapphiredale::overload
