// Shows ends of jobs to their callers while the store is away: has the other daemons note them first.
#pragma once

#include "controller/AdviceDesk.h"
#include "jobs/EndDisclosure.h"
#include "jobs/JobScheduler.h"
#include "observability/EventLog.h"

#include <memory>

namespace sapphiredale::controller {

/// Part of one term.
class EndDiscloser {
public:
    EndDiscloser(boost::asio::io_context&, const AdviceDesk&, observability::EventLog&, std::uint64_t term);
    ~EndDiscloser() { *m_isAlive = false; }
    EndDiscloser(const EndDiscloser&) = delete;
    EndDiscloser& operator=(const EndDiscloser&) = delete;

    /// Has ends noted that the store does not take. Called regularly; the scheduler must outlive this object.
    void advance(jobs::JobScheduler&, bool isStoreFailing);

private:
    struct Witness {
        std::shared_ptr<platform::HttpChannel> m_channel;
        bool m_isBusy = false;
        TimePoint m_nextAt {};
    };

    void ask(jobs::JobScheduler&, const std::string& address, Witness&);

    boost::asio::io_context& m_context;
    const AdviceDesk& m_desk;
    observability::EventLog& m_log;
    const std::uint64_t m_term;
    jobs::CompletionQuorum m_disclosure;
    std::map<std::string, Witness> m_witnesses;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace sapphiredale::controller
