// Selection of the daemon that sends a question to the adviser.

#include "controller/AdviceDispatcher.h"

#include "controller/Clock.h"
#include "controller/PeerCall.h"

#include <algorithm>

namespace sapphiredale::controller {

namespace {

    /// A daemon gets no questions once no hello has arrived for this long; hellos are sent once a second.
    constexpr Duration helloSilenceTimeout = std::chrono::milliseconds(2600);
    /// Time for which a daemon gets no questions after a failed one.
    constexpr Duration failureBackoff = std::chrono::milliseconds(800);
    /// Added to the time that the adviser needs.
    constexpr Duration answerMargin = std::chrono::milliseconds(350);

} // namespace

Duration adviceTimeout(const jobs::AdviceRequest& question)
{
    return question.m_expected + question.m_expected / 4 + answerMargin;
}

AdviceDispatcher::AdviceDispatcher(boost::asio::io_context& context, userplatform::AdviceConnection* own)
    : m_context(context)
    , m_ownConnection(own)
{
}

void AdviceDispatcher::helloReceived(const inner::Hello& hello)
{
    if (hello.m_isLeaving) {
        // The channel is kept, since the answer to a pending question is still used.
        if (const auto found = m_peers.find(hello.m_address); found != m_peers.end())
            found->second.m_lastHelloAt = {};
        return;
    }
    if (!hello.m_asksAdviser)
        return;
    Peer& peer = m_peers[hello.m_address];
    if (!peer.m_channel)
        peer.m_channel = openPeerChannel(m_context, hello.m_address);
    peer.m_lastHelloAt = bootNow();
}

bool AdviceDispatcher::isAvailable(const Peer& peer, TimePoint now)
{
    return now - peer.m_lastHelloAt < helloSilenceTimeout && peer.m_backoffUntil <= now;
}

jobs::AdviceCapacity AdviceDispatcher::capacity() const
{
    jobs::AdviceCapacity capacity;
    const TimePoint now = bootNow();
    for (const auto& [address, peer] : m_peers) {
        capacity.m_all += isAvailable(peer, now) ? 1 : 0;
        capacity.m_idle += isIdle(peer, now) ? 1 : 0;
    }
    if (m_ownConnection != nullptr && m_ownBackoffUntil <= now) {
        ++capacity.m_all;
        capacity.m_idle += m_isOwnBusy ? 0 : 1;
    }
    return capacity;
}

void AdviceDispatcher::ask(const jobs::AdviceRequest& question, AnswerHandler handler)
{
    // Round robin, starting after the peer that was used last.
    const auto take = [this, now = bootNow()](auto begin, auto end) {
        const auto found = std::find_if(begin, end, [now](const auto& entry) { return isIdle(entry.second, now); });
        return found == end ? m_peers.end() : found;
    };
    const auto behind = m_peers.upper_bound(m_lastPeer);
    auto chosen = take(behind, m_peers.end());
    if (chosen == m_peers.end())
        chosen = take(m_peers.begin(), behind);
    if (chosen != m_peers.end()) {
        m_lastPeer = chosen->first;
        return askThroughPeer(chosen->first, chosen->second, question, std::move(handler));
    }
    if (m_ownConnection != nullptr && !m_isOwnBusy)
        return askDirectly(question, std::move(handler));
    handler(Error { ErrorKind::Overloaded, "every daemon waits for the adviser" });
}

void AdviceDispatcher::askDirectly(const jobs::AdviceRequest& question, AnswerHandler handler)
{
    m_isOwnBusy = true;
    m_ownConnection->ask(question, adviceTimeout(question),
        [this, alive = m_isAlive, handler = std::move(handler)](const Result<jobs::Advice>& result) {
            if (!*alive)
                return;
            m_isOwnBusy = false;
            if (!succeeded(result))
                m_ownBackoffUntil = bootNow() + failureBackoff;
            handler(result);
        });
}

void AdviceDispatcher::askThroughPeer(
    const std::string& address, Peer& peer, const jobs::AdviceRequest& question, AnswerHandler handler)
{
    platform::HttpCall call = peerCall(inner::advisePath, inner::encode(question), adviceTimeout(question));
    // If the first attempt arrived, a repeated question would be queued behind it.
    call.m_repeatable = false;
    peer.m_isBusy = true;
    peer.m_channel->send(std::move(call),
        [this, alive = m_isAlive, address, handler = std::move(handler)](const Result<platform::HttpAnswer>& result) {
            if (!*alive)
                return;
            Peer& answered = m_peers[address];
            answered.m_isBusy = false;
            const bool isAnswer = succeeded(result) && valueOf(result).m_status == 200;
            Result<jobs::Advice> reply = isAnswer
                ? inner::decodeAdvice(valueOf(result).m_body)
                : Error { ErrorKind::NotReady,
                      succeeded(result) ? "the daemon did not ask" : errorOf(result).m_detail };
            if (!succeeded(reply))
                answered.m_backoffUntil = bootNow() + failureBackoff;
            handler(std::move(reply));
        });
}

} // namespace sapphiredale::controller
