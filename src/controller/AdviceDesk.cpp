// Choice of the daemon that asks.

#include "controller/AdviceDesk.h"

#include "controller/Clock.h"
#include "controller/PeerCall.h"

#include <algorithm>

namespace sapphiredale::controller {

namespace {

    /// A daemon that was not heard for this long gets no questions; it says hello once a second.
    constexpr Duration helperSilence = std::chrono::milliseconds(2600);
    /// A daemon that was not heard for this long has been replaced or removed; cuts are shorter.
    constexpr Duration daemonMemory = std::chrono::seconds(60);
    /// Pause after a question that was not answered.
    constexpr Duration helperPause = std::chrono::milliseconds(800);
    /// Allowance beyond the time that the adviser needs.
    constexpr Duration answerSlack = std::chrono::milliseconds(350);

} // namespace

Duration adviceTimeout(const jobs::AdviceRequest& question)
{
    return question.m_expected + question.m_expected / 4 + answerSlack;
}

AdviceDesk::AdviceDesk(boost::asio::io_context& context, userplatform::AdviceConnection* own)
    : m_context(context)
    , m_own(own)
{
}

void AdviceDesk::heard(const inner::Hello& hello)
{
    if (hello.m_isLeaving) {
        // The answer to a question that is under way still counts, so the channel stays.
        if (const auto found = m_helpers.find(hello.m_address); found != m_helpers.end())
            found->second.m_heardAt = {};
        return;
    }
    Helper& helper = m_helpers[hello.m_address];
    if (!helper.m_channel)
        helper.m_channel = openPeerChannel(m_context, hello.m_address);
    helper.m_heardAt = bootNow();
}

bool AdviceDesk::isPresent(const Helper& helper) const
{
    const TimePoint now = bootNow();
    return now - helper.m_heardAt < helperSilence && helper.m_avoidUntil <= now;
}

std::vector<std::string> AdviceDesk::daemons() const
{
    std::vector<std::string> addresses;
    const TimePoint now = bootNow();
    for (const auto& [address, helper] : m_helpers) {
        if (now - helper.m_heardAt < daemonMemory)
            addresses.push_back(address);
    }
    return addresses;
}

jobs::AdviceCapacity AdviceDesk::capacity() const
{
    jobs::AdviceCapacity capacity;
    for (const auto& [address, helper] : m_helpers) {
        capacity.m_all += isPresent(helper) ? 1 : 0;
        capacity.m_idle += isIdle(helper) ? 1 : 0;
    }
    if (m_own != nullptr && m_avoidOwnUntil <= bootNow()) {
        ++capacity.m_all;
        capacity.m_idle += m_isOwnBusy ? 0 : 1;
    }
    return capacity;
}

void AdviceDesk::ask(const jobs::AdviceRequest& question, AnswerHandler handler)
{
    // Takes the helpers in turn, starting behind the last one.
    const auto take = [&](auto begin, auto end) {
        const auto found = std::find_if(begin, end, [this](const auto& entry) { return isIdle(entry.second); });
        return found == end ? m_helpers.end() : found;
    };
    const auto behind = m_helpers.upper_bound(m_lastHelper);
    auto chosen = take(behind, m_helpers.end());
    if (chosen == m_helpers.end())
        chosen = take(m_helpers.begin(), behind);
    if (chosen != m_helpers.end()) {
        m_lastHelper = chosen->first;
        return askHelper(chosen->first, chosen->second, question, std::move(handler));
    }
    if (m_own != nullptr && !m_isOwnBusy)
        return askOwn(question, std::move(handler));
    handler(Error { ErrorKind::Overloaded, "every daemon waits for the adviser" });
}

void AdviceDesk::askOwn(const jobs::AdviceRequest& question, AnswerHandler handler)
{
    m_isOwnBusy = true;
    m_own->ask(question, adviceTimeout(question),
        [this, alive = m_isAlive, handler = std::move(handler)](const Result<jobs::Advice>& result) {
            if (!*alive)
                return;
            m_isOwnBusy = false;
            if (!succeeded(result))
                m_avoidOwnUntil = bootNow() + helperPause;
            handler(result);
        });
}

void AdviceDesk::askHelper(
    const std::string& address, Helper& helper, const jobs::AdviceRequest& question, AnswerHandler handler)
{
    platform::HttpCall call = peerCall(inner::advisePath, inner::encode(question), adviceTimeout(question));
    // A second question would wait behind the first, if that arrived.
    call.m_repeatable = false;
    helper.m_isBusy = true;
    helper.m_channel->send(std::move(call),
        [this, alive = m_isAlive, address, handler = std::move(handler)](const Result<platform::HttpAnswer>& result) {
            if (!*alive)
                return;
            Helper& answered = m_helpers[address];
            answered.m_isBusy = false;
            const bool isAnswer = succeeded(result) && valueOf(result).m_status == 200;
            Result<jobs::Advice> reply = isAnswer
                ? inner::decodeAdvice(valueOf(result).m_body)
                : Error { ErrorKind::NotReady,
                      succeeded(result) ? "the daemon did not ask" : errorOf(result).m_detail };
            if (!succeeded(reply))
                answered.m_avoidUntil = bootNow() + helperPause;
            handler(std::move(reply));
        });
}

} // namespace sapphiredale::controller
