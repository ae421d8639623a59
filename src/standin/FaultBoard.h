// Network partitions between daemons and the parts of the platform.
#pragma once

#include "standin/ChangeSignal.h"
#include "standin/HttpServer.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::standin {

/// Part of the platform that a connection leads to.
enum class PlatformPart : std::uint8_t { Log, Hosts, Workers, Minions };

enum class PartitionMode : std::uint8_t {
    /// Requests and answers are lost; the connection stays silent until the partition ends and is closed then.
    Drop,
    /// Requests are held back and executed when the partition ends, as after a retransmission.
    Delay,
    /// Requests are executed and their answers are lost.
    LoseAnswers,
};

/// Which daemons are cut off from which parts. Each empty list stands for all.
struct Partition {
    std::string m_name;
    /// Daemons by name or failure domain. Only daemons that have sent Sapphire-Daemon can be named.
    std::vector<std::string> m_daemons;
    std::vector<std::string> m_daemonDomains;
    std::vector<PlatformPart> m_parts;
    /// Failure domains of the workers or minions. The log and the host list have none and match only an empty list.
    std::vector<std::string> m_targetDomains;
    PartitionMode m_mode = PartitionMode::Drop;
};

/// Thread-safe set of partitions by name.
class FaultBoard {
public:
    void set(Partition);
    bool heal(const std::string& name);
    void clear();
    std::vector<Partition> list() const;

    /// Makes the answer with `inner` unless a partition interferes before or after.
    boost::asio::awaitable<HttpReply> guard(
        PlatformPart, std::string targetDomain, const HttpRequest&, Connection&, const HttpHandler& inner);

private:
    std::optional<PartitionMode> modeFor(PlatformPart, const std::string& targetDomain, Connection&);
    boost::asio::awaitable<void> waitForHealing(
        PlatformPart, const std::string& targetDomain, Connection&, bool beyondClose);

    mutable std::mutex m_mutex;
    std::vector<Partition> m_partitions;
    ChangeSignal m_signal;
};

} // namespace sapphiredale::standin
