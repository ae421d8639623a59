// Distributes adviser questions over the daemons, since the adviser answers only one call per host at a time.
#pragma once

#include "controller/InnerProtocol.h"
#include "platform/Workers.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphiredale::controller {

/// Sends each question of the scheduler through an idle daemon; this daemon is used when no other one is idle.
class AdviceDispatcher {
public:
    using AnswerHandler = std::function<void(Result<jobs::Advice>)>;

    AdviceDispatcher(boost::asio::io_context&, userplatform::AdviceConnection* own);

    /// Registers the sender of a hello, or stops using it when it is leaving.
    void helloReceived(const inner::Hello&);
    jobs::AdviceCapacity capacity() const;
    /// Sends the question through an idle daemon; fails with Overloaded when there is none.
    void ask(const jobs::AdviceRequest&, AnswerHandler);

private:
    struct Peer {
        std::shared_ptr<platform::HttpChannel> m_channel;
        bool m_isBusy = false;
        TimePoint m_lastHelloAt {};
        TimePoint m_backoffUntil {};
    };

    static bool isAvailable(const Peer&, TimePoint now);
    static bool isIdle(const Peer& peer, TimePoint now) { return !peer.m_isBusy && isAvailable(peer, now); }
    void askDirectly(const jobs::AdviceRequest&, AnswerHandler);
    void askThroughPeer(const std::string& address, Peer&, const jobs::AdviceRequest&, AnswerHandler);

    boost::asio::io_context& m_context;
    /// Null if no adviser is configured.
    userplatform::AdviceConnection* m_ownConnection;
    bool m_isOwnBusy = false;
    TimePoint m_ownBackoffUntil {};
    std::map<std::string, Peer> m_peers;
    std::string m_lastPeer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);

public:
    ~AdviceDispatcher() { *m_isAlive = false; }
    AdviceDispatcher(const AdviceDispatcher&) = delete;
    AdviceDispatcher& operator=(const AdviceDispatcher&) = delete;
};

/// Timeout for the answer to a question.
Duration adviceTimeout(const jobs::AdviceRequest&);

} // namespace sapphiredale::controller
