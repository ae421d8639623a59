// One connection of a caller or of a peer daemon: reads its requests in turn and answers each before the next.
#pragma once

#include "forwarding/HttpHeaders.h"
#include "forwarding/MessageReader.h"
#include "forwarding/ServerContext.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::forwarding {

/// A session; it belongs to one event loop.
class Session final : public Swept, public std::enable_shared_from_this<Session> {
public:
    Session(ServerContext&, EventLoop&, Socket, bool fromPeer);
    ~Session() override;

    /// Serves the connection until it ends.
    Awaitable<void> run();
    void sweep(TimePoint now) override;

private:
    /// What the session waits for; decides which deadlines a sweep checks.
    enum class Wait : std::uint8_t { None, NextRequest, Caller, Upstream, Event };
    /// Why a sweep ended the wait.
    enum class Stop : std::uint8_t { None, CallerGone, CallerTimeout, Deadline, UpstreamTimeout };
    enum class AttemptEnd : std::uint8_t {
        /// The answer was passed to the caller, or the caller went away while it was.
        Answered,
        /// No answer; the router decides what follows.
        Failed,
        /// A sweep ended the wait (m_stop).
        Stopped,
        /// The answer broke off after a part of it was passed to the caller.
        Cut,
    };
    struct AttemptResult {
        AttemptEnd m_end = AttemptEnd::Failed;
        routing::AttemptFailure m_failure = routing::AttemptFailure::NothingSent;
    };
    /// Where an attempt goes.
    struct Target {
        std::string m_address;
        std::uint32_t m_connections = 1;
        /// Slot at a minion; zero for a peer daemon.
        routing::SlotSerial m_slot = 0;
        std::uint64_t m_epoch = 0;

        bool isPeer() const { return m_slot == 0; }
    };
    /// State of the request being served.
    struct Exchange {
        std::shared_ptr<ServiceRouting> m_routing;
        routing::RequestTicket m_ticket = 0;
        std::string m_requestId;
        std::string m_service;
        std::string m_path;
        std::string m_deadlineText;
        /// First bytes of the body; the whole body when m_bodyRead.
        std::vector<char> m_first;
        bool m_bodyRead = false;
        /// False once bytes after m_first were read: the request cannot be sent a second time.
        bool m_replayable = true;
        bool m_mayHaveRun = false;
        bool m_headerSent = false;
        TimePoint m_started;
        std::unique_ptr<ClaimOutcome> m_claim;
    };

    /// \name Session.cpp: requests and their answers
    /// @{
    Awaitable<bool> readRequest();
    Awaitable<void> serve();
    Awaitable<void> serveLocal();
    Awaitable<void> respond(LocalResponse);
    Awaitable<void> respondError(ErrorKind, std::string detail);
    Awaitable<void> closeGracefully();
    Awaitable<bool> continueBody();
    template <std::size_t count> Awaitable<bool> writeCaller(std::array<asio::const_buffer, count> buffers);
    Awaitable<void> waitForEvent();
    bool keepAlive() const;
    bool callerIsGone();
    /// Sets what the request holds beside the connection itself. False if it does not fit.
    bool hold(std::size_t bytes);
    void holdAlways(std::size_t bytes);
    void release();
    /// Answers that the request has not run, and closes the connection.
    Awaitable<void> respondNoMemory();
    void begin(Wait, TimePoint deadline);
    bool end();
    void stop(Stop);
    /// Breaks the connection so that the caller cannot take what it received for a complete answer.
    void abort();
    /// @}

    /// \name Forwarding.cpp: requests to services
    /// @{
    Awaitable<void> serveService(ServiceTarget);
    Awaitable<bool> claimRequest(WallTime deadline);
    Awaitable<bool> readFirst();
    Awaitable<void> forward(routing::RouteDecision);
    Awaitable<bool> waitForDispatch(routing::RouteDecision&);
    Awaitable<void> finishStopped();
    Awaitable<void> refuse(const routing::Refuse&);
    DispatchHandler dispatchHandler();
    void deliver(const std::shared_ptr<ServiceRouting>&, routing::RouteDecision);
    void recordOutcome(unsigned status, bool complete);
    /// @}

    /// \name Attempt.cpp: one attempt at a minion or a peer daemon
    /// @{
    Awaitable<AttemptResult> attempt(Target);
    Awaitable<AttemptResult> exchange(const Target&);
    Awaitable<bool> connect();
    Awaitable<std::optional<AttemptResult>> sendRequest(const Target&);
    Awaitable<std::optional<AttemptResult>> sendRestOfBody();
    Awaitable<std::optional<AttemptResult>> readAnswerHeader(const Target&);
    std::optional<routing::AttemptFailure> refusalOf(const Target&) const;
    Awaitable<AttemptResult> relayAnswer(const Target&);
    Awaitable<bool> relayRest(std::vector<char>& buffer, bool chunked);
    std::string requestHeader(const Target&) const;
    std::string answerHeader(std::optional<std::uint64_t> length) const;
    AttemptResult failure(routing::AttemptFailure);
    void answerReceived(const Target&);
    /// Keeps the slot occupied until the connection shows that the minion is done with the request.
    void leaveBehind(const Target&, bool untilClosed);
    /// @}

    ServerContext& m_server;
    EventLoop& m_loop;
    Socket m_socket;
    Timer m_event;
    bool m_fromPeer;
    beast::flat_buffer m_buffer;
    std::unique_ptr<RequestParser> m_request;
    std::unique_ptr<Exchange> m_exchange;
    /// Connection of the attempt under way.
    UpstreamPointer m_upstream;
    std::unique_ptr<ResponseParser> m_answer;
    std::optional<routing::RouteDecision> m_dispatched;
    bool m_eventReady = false;
    bool m_close = false;

    /// Bytes counted in the budget.
    std::size_t m_heldBytes = 0;
    /// False while a request is handed on: the connection is not closed for lack of memory then.
    bool m_canGiveWay = true;
    TimePoint m_waitStart = TimePoint::max();
    /// Time by which a request that the daemon handles itself must have been received.
    TimePoint m_receiveDeadline = TimePoint::max();

    Wait m_wait = Wait::None;
    Stop m_stop = Stop::None;
    TimePoint m_waitDeadline = TimePoint::max();
    /// The caller's deadline, until the header of the answer has arrived.
    TimePoint m_requestDeadline = TimePoint::max();
};

} // namespace sapphiredale::forwarding
