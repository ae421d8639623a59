// Sockets, parsing and the record.

#include "Net.h"

#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    const auto started = std::chrono::steady_clock::now();
    std::mutex recordMutex;
    std::ofstream record;

    sockaddr_in addressOf(const std::string& ip, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    /// Reads more bytes; false when the connection ends or the time is over.
    bool readMore(int socket, std::string& buffer, double deadline)
    {
        const double left = deadline - now();
        pollfd entry { socket, POLLIN, 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool sendAll(int socket, const std::string& bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Takes one message from the connection: its first line, headers and body.
    bool readMessage(int socket, std::string& buffer, double deadline, std::string& first,
        std::map<std::string, std::string>& headers, std::string& body)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(socket, buffer, deadline))
                return false;
        }
        const std::string head = buffer.substr(0, end + 2);
        buffer.erase(0, end + 4);
        headers.clear();
        std::size_t at = head.find("\r\n");
        first = head.substr(0, at);
        for (at += 2; at < head.size();) {
            const std::size_t next = head.find("\r\n", at);
            const std::string line = head.substr(at, next - at);
            at = next + 2;
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            for (char& letter : name)
                letter = static_cast<char>(std::tolower(letter));
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        const auto length = headers.find("content-length");
        const std::size_t bytes = length == headers.end() ? 0 : std::stoul(length->second);
        while (buffer.size() < bytes) {
            if (!readMore(socket, buffer, deadline))
                return false;
        }
        body = buffer.substr(0, bytes);
        buffer.erase(0, bytes);
        return true;
    }

} // namespace

double now() { return std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count(); }

void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void openRecord(const std::string& path) { record.open(path, std::ios::trunc); }

void note(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", now());
    const std::lock_guard lock(recordMutex);
    record << time << line << '\n';
    record.flush();
}

std::string Request::query(const std::string& name) const
{
    std::size_t at = m_target.find('?');
    while (at != std::string::npos) {
        const std::size_t next = m_target.find('&', at + 1);
        const std::string pair = m_target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (pair.rfind(name + '=', 0) == 0)
            return pair.substr(name.size() + 1);
        at = next;
    }
    return {};
}

std::string Request::path() const { return m_target.substr(0, m_target.find('?')); }

Server::Server(const std::string& ip, int port, Handler handler)
    : m_ip(ip)
    , m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = addressOf(ip, port);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || ::listen(m_listener, 512) != 0) {
        std::perror(("cannot listen on " + ip).c_str());
        std::_Exit(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    close();
    while (m_threads > 0)
        sleepFor(0.005);
}

std::string Server::address() const { return m_ip + ':' + std::to_string(m_port); }

void Server::setSilent(bool isSilent) { m_isSilent = isSilent; }

void Server::close()
{
    if (m_isClosed.exchange(true))
        return;
    ::shutdown(m_listener, SHUT_RDWR);
    if (m_acceptor.joinable())
        m_acceptor.join();
    ::close(m_listener);
    const std::lock_guard lock(m_mutex);
    for (const int socket : m_sockets)
        ::shutdown(socket, SHUT_RDWR);
}

void Server::accept()
{
    while (!m_isClosed) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            if (!m_isClosed)
                sleepFor(0.01);
            continue;
        }
        const int yes = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(socket);
        }
        ++m_threads;
        std::thread([this, socket] {
            serve(socket);
            {
                const std::lock_guard lock(m_mutex);
                m_sockets.erase(socket);
            }
            ::close(socket);
            --m_threads;
        }).detach();
    }
}

void Server::serve(int socket)
{
    std::string buffer;
    std::string first;
    // A connection that was silent once stays silent.
    bool isSilent = false;
    while (!m_isClosed) {
        Request request;
        if (!readMessage(socket, buffer, now() + 600, first, request.m_headers, request.m_body))
            return;
        const std::size_t blank = first.find(' ');
        request.m_method = first.substr(0, blank);
        request.m_target = first.substr(blank + 1, first.rfind(' ') - blank - 1);
        isSilent = isSilent || m_isSilent;
        if (isSilent)
            continue;
        const std::optional<Response> response = m_handler(request);
        isSilent = isSilent || m_isSilent;
        if (!response || isSilent)
            continue;
        const std::string text = "HTTP/1.1 " + std::to_string(response->m_status)
            + " X\r\nContent-Type: " + response->m_type
            + "\r\nContent-Length: " + std::to_string(response->m_body.size()) + "\r\n\r\n" + response->m_body;
        if (!sendAll(socket, text))
            return;
    }
}

Response call(const std::string& address, const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, double timeout)
{
    const double deadline = now() + timeout;
    const std::size_t colon = address.rfind(':');
    const sockaddr_in endpoint = addressOf(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    Response answer { 0, "", "" };
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) == 0) {
        const int yes = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: " + host
            + "\r\nContent-Type: application/json\r\nX-Sapphiredale-Deadline-Ms: "
            + std::to_string(static_cast<int>(timeout * 1000)) + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        std::string buffer;
        std::string first;
        std::map<std::string, std::string> headers;
        if (sendAll(socket, text) && readMessage(socket, buffer, deadline, first, headers, answer.m_body))
            answer.m_status = std::stoi(first.substr(first.find(' ') + 1));
    }
    ::close(socket);
    return answer;
}

int freePort(const std::string& ip)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = addressOf(ip, 0);
    socklen_t size = sizeof address;
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

} // namespace review
