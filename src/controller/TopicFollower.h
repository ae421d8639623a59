// Follows a partition of a keyed topic of the store: first the newest record of each key, then every record as it is
// appended.
#pragma once

#include "controller/Clock.h"
#include "platform/Store.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace sapphiredale::controller {

/// What is followed and how often.
struct FollowerSettings {
    userplatform::Partition m_partition;
    /// Time for which a read waits for a record; short, so that a connection that went silent is noticed.
    Duration m_wait = std::chrono::milliseconds(1000);
    /// Pause between two reads; records that arrive meanwhile are read together.
    Duration m_pause {};
    /// Time for the store to answer, beside the wait.
    Duration m_answerTimeout = std::chrono::milliseconds(700);
};

/// Receives the records; calls come from the event loop.
class FollowerObserver {
public:
    virtual ~FollowerObserver() = default;
    /// A listing of all keys begins or has ended; keys that were not part of it are gone.
    virtual void listingBegan() { }
    virtual void listingEnded() { }
    virtual void recordRead(const userplatform::KeyedRecord&) = 0;
    /// All records before `end` have been delivered, as of a call that was sent at askedAt.
    virtual void caughtUp(std::uint64_t /*end*/, TimePoint /*askedAt*/) { }
    virtual void readFailed(const Error&) { }
};

/// One connection that reads one partition until the follower is destroyed.
class TopicFollower {
public:
    TopicFollower(boost::asio::io_context&, const std::string& store, const FollowerSettings&, FollowerObserver&);
    ~TopicFollower();
    TopicFollower(const TopicFollower&) = delete;
    TopicFollower& operator=(const TopicFollower&) = delete;

    void start();
    /// When the call was sent that brought the newest state; the epoch before the first.
    TimePoint caughtUpAt() const;
    /// Whether the last call failed.
    bool isFailing() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace sapphiredale::controller
