// Follows a partition of a keyed topic of the store: lists the newest record of each key, then reads every record that
// is appended.
#pragma once

#include "controller/Clock.h"
#include "platform/Store.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace sapphiredale::controller {

/// The partition to follow, and the timing of the reads.
struct FollowerSettings {
    userplatform::Partition m_partition;
    /// Long-poll wait of a read; short, so that a stalled connection is noticed.
    Duration m_wait = std::chrono::milliseconds(1000);
    /// Pause between two reads; records that arrive in between are read together.
    Duration m_pause {};
    /// Timeout for the answer of the store, in addition to the wait.
    Duration m_answerTimeout = std::chrono::milliseconds(700);
};

/// Receives the records; called from the event loop.
class FollowerObserver {
public:
    virtual ~FollowerObserver() = default;
    /// A listing of all keys begins or has ended; keys that it did not contain no longer exist.
    virtual void listingBegan() { }
    virtual void listingEnded() { }
    virtual void recordRead(const userplatform::KeyedRecord&) = 0;
    /// All records before `end` have been delivered, as of a call that was sent at `askedAt`.
    virtual void caughtUp(std::uint64_t /*end*/, TimePoint /*askedAt*/) { }
    virtual void readFailed(const Error&) { }
};

/// Reads one partition over one connection until the follower is destroyed.
class TopicFollower {
public:
    TopicFollower(boost::asio::io_context&, const std::string& store, const FollowerSettings&, FollowerObserver&);
    ~TopicFollower();
    TopicFollower(const TopicFollower&) = delete;
    TopicFollower& operator=(const TopicFollower&) = delete;

    void start();
    /// Time at which the last call was sent that reached the end of the partition; zero before the first.
    TimePoint caughtUpAt() const;
    /// Number of calls that have failed since the last one that succeeded.
    std::uint32_t consecutiveFailures() const;
    /// Number of those that were refused in place of left unanswered.
    std::uint32_t consecutiveRefusals() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace sapphiredale::controller
