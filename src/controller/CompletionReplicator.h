// Lets callers see ends of jobs while the store is unavailable: the other daemons note each end before it is shown.
#pragma once

#include "controller/AdviceDispatcher.h"
#include "jobs/CompletionQuorum.h"
#include "jobs/JobScheduler.h"
#include "observability/EventLog.h"

#include <memory>

namespace sapphiredale::controller {

/// Sends the ends that are not stored to the other daemons; belongs to one term.
class CompletionReplicator {
public:
    CompletionReplicator(
        boost::asio::io_context&, const AdviceDispatcher&, observability::EventLog&, std::uint64_t term);
    ~CompletionReplicator() { *m_isAlive = false; }
    CompletionReplicator(const CompletionReplicator&) = delete;
    CompletionReplicator& operator=(const CompletionReplicator&) = delete;

    /// Sends unstored ends to the other daemons while the store fails. Called periodically; the scheduler must outlive
    /// this object.
    void advance(jobs::JobScheduler&, bool isStoreFailing);

private:
    struct Peer {
        std::shared_ptr<platform::HttpChannel> m_channel;
        bool m_isBusy = false;
        TimePoint m_nextAt {};
    };

    void ask(jobs::JobScheduler&, const std::string& address, Peer&);

    boost::asio::io_context& m_context;
    const AdviceDispatcher& m_adviceDispatcher;
    observability::EventLog& m_log;
    const std::uint64_t m_term;
    jobs::CompletionQuorum m_quorum;
    std::map<std::string, Peer> m_peers;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace sapphiredale::controller
