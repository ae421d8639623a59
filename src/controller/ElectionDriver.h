// Connects the election to the store: follows the topic of the term records and appends claims and renewals.
#pragma once

#include "controller/TopicFollower.h"
#include "jobs/Election.h"

#include <functional>

namespace sapphiredale::controller {

inline constexpr const char* termTopic = "keyed.term";

/// Runs the election of one daemon and owns its state.
class ElectionDriver final : private FollowerObserver {
public:
    /// `changed` is called after every event that may have changed the state of the election.
    ElectionDriver(boost::asio::io_context&, const std::string& store, const jobs::ElectionSettings&,
        std::function<void()> changed);

    void start() { m_follower.start(); }
    const jobs::Election& election() const { return m_election; }
    /// Gives up the term because a later one exists.
    void stepDown() { m_election.depose(); }
    /// Renews the term at once with a record that names the partition of the job progress.
    void announceProgressPartition(std::uint32_t partition);
    /// Renews the term at once with a record that announces leases of the workers.
    void grantLeases();
    /// See Election::announceLeaseEnds().
    void announceLeaseEnds(std::map<WorkerId, TimePoint> ends) { m_election.announceLeaseEnds(std::move(ends)); }
    /// See Election::announceLateLeases().
    void announceLateLeases(TimePoint end) { m_election.announceLateLeases(end); }
    /// Releases the term if this daemon holds it.
    void releaseTerm();

private:
    void recordRead(const userplatform::KeyedRecord&) override;
    void caughtUp(std::uint64_t end, TimePoint askedAt) override;
    void advance();

    jobs::Election m_election;
    std::function<void()> m_changed;
    userplatform::StoreConnection m_store;
    boost::asio::steady_timer m_timer;
    TopicFollower m_follower;
};

} // namespace sapphiredale::controller
