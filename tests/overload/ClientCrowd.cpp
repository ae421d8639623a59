// Sockets of the crowd and of the server.

#include "tests/overload/ClientCrowd.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphiredale::overload {

using std::chrono::steady_clock;

namespace {

    constexpr auto sendTime = std::chrono::seconds(15);
    constexpr std::size_t answeredConnections = 64;

    /// The part of the input that begins at `sent`; it ends with the beginning or with a filler.
    std::string_view next(const Input& input, std::size_t sent)
    {
        if (sent < input.m_beginning.size())
            return std::string_view(input.m_beginning).substr(sent);
        if (sent >= input.m_bytes || input.m_filler.empty())
            return {};
        const std::size_t at = (sent - input.m_beginning.size()) % input.m_filler.size();
        return std::string_view(input.m_filler).substr(at, input.m_bytes - sent);
    }

} // namespace

int connectTo(const std::string& address, int receiveBuffer)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0)
        return socket;
    ::close(socket);
    return -1;
}

std::string repeated(const std::string& text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

ClientCrowd::ClientCrowd(const std::string& address, std::size_t count, int receiveBuffer)
{
    for (std::size_t i = 0; i < count; ++i) {
        const int socket = connectTo(address, receiveBuffer);
        if (socket < 0)
            continue;
        ::fcntl(socket, F_SETFL, O_NONBLOCK);
        m_clients.push_back({ socket });
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const Client& client : m_clients)
        ::close(client.m_socket);
}

bool ClientCrowd::advance(Client& client, const Input& input)
{
    for (;;) {
        const std::string_view bytes = next(input, client.m_sent);
        if (bytes.empty())
            return false;
        const ssize_t sent = ::send(client.m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0)
            return errno == EAGAIN || errno == EINTR;
        client.m_sent += static_cast<std::size_t>(sent);
        m_sentBytes += static_cast<std::size_t>(sent);
        if (static_cast<std::size_t>(sent) < bytes.size())
            return true;
    }
}

void ClientCrowd::send(const Input& input)
{
    std::vector<Client*> open;
    for (Client& client : m_clients)
        open.push_back(&client);
    const auto end = steady_clock::now() + sendTime;
    while (!open.empty() && steady_clock::now() < end) {
        std::erase_if(open, [&](Client* client) { return !advance(*client, input); });
        std::vector<pollfd> waiting;
        for (const Client* client : open)
            waiting.push_back({ client->m_socket, POLLOUT, 0 });
        ::poll(waiting.data(), waiting.size(), 100);
    }
}

void ClientCrowd::drip(const std::string& beginning, std::size_t seconds)
{
    const auto end = steady_clock::now() + std::chrono::seconds(seconds);
    for (Client& client : m_clients)
        advance(client, { beginning, "", beginning.size() });
    while (steady_clock::now() < end) {
        for (const Client& client : m_clients)
            m_sentBytes += ::send(client.m_socket, "a", 1, MSG_NOSIGNAL) == 1 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
}

EndlessServer::EndlessServer(Input input)
    : m_input(std::move(input))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || ::listen(m_listener, SOMAXCONN) != 0
        || ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        throw std::runtime_error("cannot listen on the loopback interface");
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_thread = std::thread([this] { serve(); });
}

EndlessServer::~EndlessServer()
{
    m_isStopping = true;
    m_thread.join();
    ::close(m_listener);
}

bool EndlessServer::waitForAnswers(std::size_t count) const
{
    const auto end = steady_clock::now() + std::chrono::seconds(30);
    while (m_answers < count && steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return m_answers >= count;
}

void EndlessServer::serve()
{
    std::vector<std::thread> threads;
    while (!m_isStopping && threads.size() < answeredConnections) {
        pollfd waiting { m_listener, POLLIN, 0 };
        if (::poll(&waiting, 1, 100) <= 0)
            continue;
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (socket >= 0)
            threads.emplace_back([this, socket] { answer(socket); });
    }
    for (std::thread& thread : threads)
        thread.join();
}

void EndlessServer::answer(int socket)
{
    const auto end = steady_clock::now() + sendTime;
    const auto waitFor = [&](short event) {
        pollfd waiting { socket, event, 0 };
        ::poll(&waiting, 1, 100);
        return (waiting.revents & event) != 0;
    };
    while (!m_isStopping && steady_clock::now() < end && !waitFor(POLLIN)) { }
    std::size_t sent = 0;
    while (!m_isStopping && steady_clock::now() < end) {
        const std::string_view bytes = next(m_input, sent);
        const ssize_t size = bytes.empty() ? -1 : ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size > 0)
            sent += static_cast<std::size_t>(size);
        else if (bytes.empty() || (errno != EAGAIN && errno != EINTR))
            break;
        else
            waitFor(POLLOUT);
    }
    ++m_answers;
    ::close(socket);
}

} // namespace sapphiredale::overload
