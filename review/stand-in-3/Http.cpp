// Sockets and parsing of Http.h.

#include "Http.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

namespace {

    sockaddr_in endpoint(const std::string& ip, int port)
    {
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
        return at;
    }

    /// Reads from a socket until the deadline; keeps what follows a message.
    class Reader {
    public:
        Reader(int socket, std::int64_t deadline)
            : m_socket(socket)
            , m_deadline(deadline)
        {
        }
        void setDeadline(std::int64_t deadline) { m_deadline = deadline; }

        bool line(std::string& text)
        {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill())
                    return false;
            }
            text = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return true;
        }
        bool bytes(std::size_t count, std::string& text)
        {
            while (m_buffer.size() < count) {
                if (!fill())
                    return false;
            }
            text = m_buffer.substr(0, count);
            m_buffer.erase(0, count);
            return true;
        }

    private:
        bool fill()
        {
            const std::int64_t left = m_deadline - nowMs();
            if (left <= 0)
                return false;
            pollfd wait { m_socket, POLLIN, 0 };
            if (poll(&wait, 1, static_cast<int>(left)) <= 0)
                return false;
            char chunk[65536];
            const ssize_t got = recv(m_socket, chunk, sizeof chunk, 0);
            if (got <= 0)
                return false;
            m_buffer.append(chunk, static_cast<std::size_t>(got));
            return true;
        }

        const int m_socket;
        std::int64_t m_deadline;
        std::string m_buffer;
    };

    bool sendAll(int socket, const std::string& text)
    {
        for (std::size_t sent = 0; sent < text.size();) {
            const ssize_t count = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    std::string lowered(std::string text)
    {
        for (char& c : text)
            c = static_cast<char>(tolower(c));
        return text;
    }

    bool readHeaders(Reader& reader, std::map<std::string, std::string>& headers)
    {
        for (std::string line; reader.line(line);) {
            if (line.empty())
                return true;
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            headers[lowered(line.substr(0, colon))] = value;
        }
        return false;
    }

    bool readRequest(Reader& reader, Request& request)
    {
        std::string line;
        if (!reader.line(line))
            return false;
        const std::size_t first = line.find(' ');
        const std::size_t second = line.find(' ', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            return false;
        request.m_method = line.substr(0, first);
        const std::string target = line.substr(first + 1, second - first - 1);
        const std::size_t mark = target.find('?');
        request.m_path = target.substr(0, mark);
        for (std::size_t at = mark; at != std::string::npos;) {
            const std::size_t next = target.find('&', at + 1);
            const std::string part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            const std::size_t equals = part.find('=');
            request.m_query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
            at = next;
        }
        if (!readHeaders(reader, request.m_headers))
            return false;
        const auto length = request.m_headers.find("content-length");
        return length == request.m_headers.end() || reader.bytes(std::stoul(length->second), request.m_body);
    }

    void noDelay(int socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

} // namespace

int freePort(const std::string& ip)
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at = endpoint(ip, 0);
    socklen_t size = sizeof at;
    if (bind(probe, reinterpret_cast<sockaddr*>(&at), size) != 0
        || getsockname(probe, reinterpret_cast<sockaddr*>(&at), &size) != 0)
        throw std::runtime_error("no free port at " + ip);
    close(probe);
    return ntohs(at.sin_port);
}

struct Server::Shared {
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::atomic<bool> m_isStopped { false };
    int m_listener = -1;
    Handler m_handler;
};

Server::Server(std::string ip, int port, Handler handler)
    : m_ip(std::move(ip))
    , m_port(port)
    , m_handler(std::move(handler))
{
}

void Server::start()
{
    m_shared = std::make_shared<Shared>();
    m_shared->m_handler = m_handler;
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = endpoint(m_ip, m_port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(listener, 256) != 0)
        throw std::runtime_error("cannot listen on " + address() + ": " + std::strerror(errno));
    m_shared->m_listener = listener;
    m_acceptor = std::thread([shared = m_shared] {
        while (!shared->m_isStopped) {
            const int connection = accept4(shared->m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                if (shared->m_isStopped)
                    return;
                sleepMs(5);
                continue;
            }
            noDelay(connection);
            {
                const std::lock_guard lock(shared->m_mutex);
                shared->m_connections.insert(connection);
            }
            std::thread(serve, shared, connection).detach();
        }
    });
}

void Server::stop()
{
    if (!m_shared)
        return;
    m_shared->m_isStopped = true;
    shutdown(m_shared->m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_shared->m_listener);
    {
        const std::lock_guard lock(m_shared->m_mutex);
        for (const int connection : m_shared->m_connections)
            shutdown(connection, SHUT_RDWR);
    }
    m_shared.reset();
}

void Server::serve(const std::shared_ptr<Shared>& shared, int connection)
{
    constexpr std::int64_t idleMs = 3'600'000;
    Reader reader(connection, nowMs() + idleMs);
    while (!shared->m_isStopped) {
        reader.setDeadline(nowMs() + idleMs);
        Request request;
        if (!readRequest(reader, request) || shared->m_isStopped)
            break;
        const Response response = shared->m_handler(request);
        if (response.m_isDropped || shared->m_isStopped)
            break;
        std::string text = "HTTP/1.1 " + std::to_string(response.m_status) + " X\r\n";
        for (const auto& [name, value] : response.m_headers)
            text += name + ": " + value + "\r\n";
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(response.m_body.size())
            + "\r\n\r\n" + response.m_body;
        if (!sendAll(connection, text))
            break;
    }
    const std::lock_guard lock(shared->m_mutex);
    shared->m_connections.erase(connection);
    close(connection);
}

Response call(const std::string& address, const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, int timeoutMs)
{
    Response none { 0, "" };
    const std::size_t colon = address.rfind(':');
    const sockaddr_in at = endpoint(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    noDelay(connection);
    Reader reader(connection, nowMs() + timeoutMs);
    const std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: " + host
        + "\r\nContent-Type: application/json\r\nX-Sapphiredale-Deadline-Ms: " + std::to_string(timeoutMs)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    Response response;
    std::string status;
    const bool isSent = connect(connection, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0
        && sendAll(connection, text) && reader.line(status) && readHeaders(reader, response.m_headers);
    bool isComplete = false;
    if (isSent) {
        const auto length = response.m_headers.find("content-length");
        isComplete = length == response.m_headers.end() || reader.bytes(std::stoul(length->second), response.m_body);
        response.m_status = std::stoi(status.substr(status.find(' ') + 1));
    }
    close(connection);
    return isComplete ? response : none;
}

} // namespace review
