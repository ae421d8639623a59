// One simulated minion: listener, slots, lease register and faults.
#pragma once

#include "standin/ChangeSignal.h"
#include "standin/Executions.h"
#include "standin/FaultBoard.h"
#include "standin/HttpServer.h"
#include "standin/LeaseRegister.h"
#include "standin/MinionPort.h"

#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace sapphiredale::standin {

/// Shared parts that outlive the minions.
struct MinionSurroundings {
    FaultBoard& m_faults;
    Executions& m_executions;
    Violations& m_violations;
};

/// Faults of one minion.
struct MinionFaults {
    /// Added to the service time of each request.
    Duration m_delay {};
    /// Number of next answers that are cut in the middle of their body.
    std::uint32_t m_cutAnswers = 0;
    /// Number of next requests that are executed and whose connection is closed without an answer.
    std::uint32_t m_loseAnswers = 0;
    /// Number of next answers that are exchanged for the previous answer of this minion, request identifier included.
    std::uint32_t m_swapAnswers = 0;
};

/// Thread-safe under a lock of its own.
class SimulatedMinion final : public MinionPort, public std::enable_shared_from_this<SimulatedMinion> {
public:
    SimulatedMinion(TaskId, FailureDomainId, MinionShape, MinionSurroundings);

    /// Opens the listener on a free port of the address.
    Result<Unit> open(boost::asio::io_context&, const std::string& address);

    std::string address() const override { return m_address; }
    std::uint32_t inFlight() const override;
    void leave() override;
    void close() override;

    const TaskId& task() const { return m_task; }
    void setFaults(const MinionFaults&);
    bool isLeaving() const;

private:
    struct Running {
        std::uint64_t m_epoch = 0;
        /// The connection closed before the answer.
        bool m_abandoned = false;
    };
    using RunningList = std::list<Running>;

    bool connectionOpened(Connection&);
    void connectionClosed(Connection&);
    boost::asio::awaitable<HttpReply> handle(const HttpRequest&, Connection&);
    boost::asio::awaitable<HttpReply> handleLease(const HttpRequest&, Connection&);
    boost::asio::awaitable<HttpReply> handleRequest(const HttpRequest&, Connection&);
    std::optional<std::string> admit(
        std::uint64_t epoch, const std::string& requestId, const Connection&, RunningList::iterator&);
    void abandon(RunningList::iterator);
    void endRun(RunningList::iterator);
    HttpReply answer(const HttpRequest&, std::string& outcome);
    bool needsAnswerAtOnce(std::uint64_t epoch, Connection&);
    std::string leaseBody();
    std::uint32_t formerInFlight() const;
    std::uint32_t formerConnections() const;
    void news();

    const TaskId m_task;
    const FailureDomainId m_failureDomain;
    const MinionShape m_shape;
    const MinionSurroundings m_surroundings;
    std::string m_address;
    std::shared_ptr<HttpServer> m_server;

    mutable std::mutex m_mutex;
    LeaseRegister m_register;
    RunningList m_running;
    /// Epoch that each open connection last carried; zero before its first request.
    std::map<const Connection*, std::uint64_t> m_connections;
    bool m_leaving = false;
    MinionFaults m_faults;
    /// Grows with every change that a holder must learn.
    std::uint64_t m_news = 1;
    /// The news that the last lease answer contained.
    std::uint64_t m_answeredNews = 0;
    std::optional<HttpReply> m_previousAnswer;
    ChangeSignal m_signal;
};

} // namespace sapphiredale::standin
