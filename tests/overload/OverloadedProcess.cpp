// Start, observation and end of the process.

#include "tests/overload/OverloadedProcess.h"

#include "tests/overload/ClientCrowd.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace sapphiredale::overload {

using std::chrono::steady_clock;

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(50);

    /// Whether the condition holds within the time.
    template <typename Condition> bool waitUntil(std::chrono::seconds time, Condition condition)
    {
        const auto end = steady_clock::now() + time;
        while (!condition()) {
            if (steady_clock::now() >= end)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
        return true;
    }

} // namespace

std::string programPath(const std::string& name) { return std::string(SAPPHIRE_PROGRAM_FOLDER) + '/' + name; }

std::string freeAddress()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const bool isBound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0
        && ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    ::close(socket);
    if (!isBound)
        throw std::runtime_error("no port is free on the loopback interface");
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

unsigned ask(const std::string& address, const std::string& method, const std::string& target, const std::string& body,
    int timeoutMs)
{
    const int socket = connectTo(address);
    if (socket < 0)
        return 0;
    const std::string request = method + ' ' + target + " HTTP/1.1\r\nHost: " + callersHost
        + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string answer;
    if (::send(socket, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())) {
        const auto end = steady_clock::now() + std::chrono::milliseconds(timeoutMs);
        while (answer.find("\r\n") == std::string::npos) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - steady_clock::now()).count();
            pollfd waiting { socket, POLLIN, 0 };
            char bytes[512];
            if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
                break;
            const ssize_t size = ::recv(socket, bytes, sizeof(bytes), 0);
            if (size <= 0)
                break;
            answer.append(bytes, static_cast<std::size_t>(size));
        }
    }
    ::close(socket);
    constexpr std::size_t statusAt = sizeof("HTTP/1.1 ") - 1;
    return answer.find("\r\n") == std::string::npos || answer.size() < statusAt + 3
        ? 0
        : static_cast<unsigned>(std::strtoul(answer.substr(statusAt, 3).c_str(), nullptr, 10));
}

bool isAnswered(const std::string& address, const std::string& method, const std::string& target,
    const std::string& body, unsigned status)
{
    return waitUntil(std::chrono::seconds(30), [&] { return ask(address, method, target, body) == status; });
}

OverloadedProcess::OverloadedProcess(const std::string& program, const std::string& option, const std::string& settings)
{
    std::string folder = std::filesystem::temp_directory_path() / "sapphire-overload-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr)
        return;
    m_folder = folder;
    const std::string path = m_folder + "/settings.json";
    const std::string log = m_folder + "/output";
    std::ofstream(path) << settings;
    const std::string programFile = programPath(program);
    m_process = ::fork();
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl(programFile.c_str(), programFile.c_str(), option.c_str(), path.c_str(), nullptr);
        ::_exit(127);
    }
}

OverloadedProcess::~OverloadedProcess()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
    if (!m_folder.empty())
        std::filesystem::remove_all(m_folder);
}

bool OverloadedProcess::isAlive()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = -1;
    return m_process > 0;
}

std::size_t OverloadedProcess::peakKb() const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
    for (std::string word; file >> word;) {
        std::size_t value = 0;
        if (word == "VmHWM:" && file >> value)
            return value;
    }
    return 0;
}

std::size_t OverloadedProcess::descriptors() const
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator it("/proc/" + std::to_string(m_process) + "/fd", error), end;
         !error && it != end; it.increment(error))
        ++count;
    return count;
}

bool OverloadedProcess::waitForDescriptors(std::size_t most) const
{
    // Only ends a test that fails: with sanitizers the daemon needs over a minute for what the crowd has sent.
    return waitUntil(std::chrono::seconds(300), [&] { return descriptors() <= most; });
}

} // namespace sapphiredale::overload
