// Connects the election to the store: follows its topic and appends claims and renewals.
#pragma once

#include "controller/TopicFollower.h"
#include "jobs/Election.h"

#include <functional>

namespace sapphiredale::controller {

inline constexpr const char* termTopic = "keyed.term";

/// Runs the election of one daemon.
class ElectionDriver final : private FollowerObserver {
public:
    /// `changed` is called after everything that may have changed the election's state.
    ElectionDriver(boost::asio::io_context&, const std::string& store, const jobs::ElectionSettings&,
        std::function<void()> changed);

    void start() { m_follower.start(); }
    const jobs::Election& election() const { return m_election; }
    /// Whether the last read of the term records failed.
    bool isStoreFailing() const { return m_follower.isFailing(); }
    void stepDown() { m_election.depose(); }
    /// Names the partition of the progress with a renewal that is due at once.
    void announceProgressPartition(std::uint32_t partition);
    /// Gives the term up, if this daemon holds it.
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
