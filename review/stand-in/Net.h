// Small HTTP/1.1 server and client for the stand-ins: blocking sockets, one thread for each connection.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

/// Seconds since the program started, by the steady clock.
double now();
void sleepFor(double seconds);

/// Writes one line with the time to the record of the play. Safe to call from any thread.
void note(const std::string& line);
void openRecord(const std::string& path);

struct Request {
    std::string m_method;
    std::string m_target;
    std::map<std::string, std::string> m_headers; // names in lower case
    std::string m_body;

    /// Value of a member of the query; empty if it is missing.
    std::string query(const std::string& name) const;
    std::string path() const;
};

struct Response {
    int m_status = 200;
    std::string m_body = "{}";
    std::string m_type = "application/json";
};

/// Answers requests on one address. A handler that returns nothing leaves the request without an answer.
class Server {
public:
    using Handler = std::function<std::optional<Response>(const Request&)>;

    Server(const std::string& ip, int port, Handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::string address() const;
    /// While silent, requests are not carried out, and nothing is answered, on open and on new connections. Connections
    /// that were open then stay silent.
    void setSilent(bool);
    /// Refuses new connections and closes the open ones, as a process that was killed.
    void close();

private:
    void accept();
    void serve(int socket);

    const std::string m_ip;
    const Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isSilent { false };
    std::atomic<bool> m_isClosed { false };
    std::mutex m_mutex;
    std::set<int> m_sockets;
    std::thread m_acceptor;
    std::atomic<int> m_threads { 0 };
};

/// Sends one request on a new connection. The status is 0 if there is no complete answer in time.
Response call(const std::string& address, const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, double timeout);

/// A port of the address that was free a moment ago.
int freePort(const std::string& ip);

} // namespace review
