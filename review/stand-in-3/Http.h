// Blocking HTTP/1.1 over TCP for stand-ins: a server with a thread for each connection, and a client.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Request {
    std::string m_method;
    std::string m_path;
    std::map<std::string, std::string> m_query;
    std::map<std::string, std::string> m_headers;
    std::string m_body;
};

struct Response {
    int m_status = 200;
    std::string m_body;
    std::map<std::string, std::string> m_headers {};
    /// The connection is closed without an answer.
    bool m_isDropped = false;
};

/// Milliseconds on the steady clock.
std::int64_t nowMs();
/// Milliseconds since 1970.
std::int64_t wallMs();
void sleepMs(std::int64_t);

/// A port of the address on which nothing listens.
int freePort(const std::string& ip);

/// Serves requests until it is stopped. Stopping resets all connections, as the end of a process does.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;
    Server(std::string ip, int port, Handler);
    ~Server() { stop(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    void start();
    void stop();
    std::string address() const { return m_ip + ':' + std::to_string(m_port); }

private:
    struct Shared;
    static void serve(const std::shared_ptr<Shared>&, int socket);

    const std::string m_ip;
    const int m_port;
    const Handler m_handler;
    std::shared_ptr<Shared> m_shared;
    std::thread m_acceptor;
};

/// Sends one request over a connection of its own. The status is 0 when there is no complete answer in time.
Response call(const std::string& address, const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, int timeoutMs);

} // namespace review
