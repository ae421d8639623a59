// Clients that send endless or slow input or read nothing, and a server that answers in the same ways. All are bounded
// in number, bytes and time.
#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace sapphiredale::overload {

/// Connects to "address:port" and returns the socket, or -1.
int connectTo(const std::string& address, int receiveBuffer = 0);

/// `count` copies of a text.
std::string repeated(const std::string& text, std::size_t count);

/// What each client of a crowd sends: the beginning once, then the filler again and again up to `m_bytes` in all.
struct Input {
    std::string m_beginning;
    std::string m_filler;
    std::size_t m_bytes = 0;
};

class ClientCrowd {
public:
    /// Opens `count` connections. A receive buffer other than 0 limits what the system takes for a client.
    ClientCrowd(const std::string& address, std::size_t count, int receiveBuffer = 0);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    /// Sends on all connections at once until each client has sent its bytes or was disconnected, at most 15 s.
    void send(const Input&);
    /// Sends the beginning, then one byte on each connection now and then for the time.
    void drip(const std::string& beginning, std::size_t seconds);
    /// Bytes that the system has accepted from all clients.
    std::size_t sentBytes() const { return m_sentBytes; }

private:
    struct Client {
        int m_socket = -1;
        std::size_t m_sent = 0;
    };

    /// Sends what the system accepts; false when the client is done or disconnected.
    bool advance(Client&, const Input&);

    std::vector<Client> m_clients;
    std::size_t m_sentBytes = 0;
};

/// Accepts connections and answers the first bytes on each with the input; at most 64 connections.
class EndlessServer {
public:
    explicit EndlessServer(Input);
    ~EndlessServer();
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    const std::string& address() const { return m_address; }
    /// Waits until this number of connections was answered; false after 30 s.
    bool waitForAnswers(std::size_t count) const;

private:
    void serve();
    void answer(int socket);

    const Input m_input;
    int m_listener = -1;
    std::string m_address;
    std::atomic<bool> m_isStopping { false };
    std::atomic<std::size_t> m_answers { 0 };
    std::thread m_thread;
};

} // namespace sapphiredale::overload
