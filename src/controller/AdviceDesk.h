// Puts questions to the adviser, which answers one call of a host at a time: spreads them over the daemons.
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

/// The daemons that ask on behalf of the scheduler, this one among them.
class AdviceDesk {
public:
    using AnswerHandler = std::function<void(Result<jobs::Advice>)>;

    AdviceDesk(boost::asio::io_context&, userplatform::AdviceConnection* own);

    void heard(const inner::Hello&);
    jobs::AdviceCapacity capacity() const;
    /// Inner addresses of the other daemons that were there lately and have not left, reachable or not.
    std::vector<std::string> daemons() const;
    /// Hands the question to an idle daemon; fails with Overloaded when there is none.
    void ask(const jobs::AdviceRequest&, AnswerHandler);

private:
    struct Helper {
        std::shared_ptr<platform::HttpChannel> m_channel;
        bool m_isBusy = false;
        TimePoint m_heardAt {};
        TimePoint m_avoidUntil {};
    };

    bool isPresent(const Helper&) const;
    bool isIdle(const Helper& helper) const { return !helper.m_isBusy && isPresent(helper); }
    void askOwn(const jobs::AdviceRequest&, AnswerHandler);
    void askHelper(const std::string& address, Helper&, const jobs::AdviceRequest&, AnswerHandler);

    boost::asio::io_context& m_context;
    /// Null where there is no adviser.
    userplatform::AdviceConnection* m_own;
    bool m_isOwnBusy = false;
    TimePoint m_avoidOwnUntil {};
    std::map<std::string, Helper> m_helpers;
    std::string m_lastHelper;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);

public:
    ~AdviceDesk() { *m_isAlive = false; }
    AdviceDesk(const AdviceDesk&) = delete;
    AdviceDesk& operator=(const AdviceDesk&) = delete;
};

/// Time to wait for the answer to a question.
Duration adviceTimeout(const jobs::AdviceRequest&);

} // namespace sapphiredale::controller
