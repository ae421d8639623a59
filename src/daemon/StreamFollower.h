// Follows one stream of the log: passes its records on in order and tells when everything up to an instant was read.
#pragma once

#include "daemon/Runtime.h"
#include "platform/HttpLogService.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace sapphiredale::daemon {

/// Receives what a StreamFollower reads; called on the event loop, one call at a time.
class StreamObserver {
public:
    virtual ~StreamObserver() = default;
    virtual void recordRead(const std::string& stream, const platform::LogRecord&) = 0;
    /// Every record that the stream held at queriedAt was passed to recordRead.
    virtual void caughtUp(const std::string& stream, TimePoint queriedAt) = 0;
    /// Records before earliest are no longer available and were not read.
    virtual void recordsExpired(const std::string& stream, std::uint64_t from, std::uint64_t earliest) = 0;
};

/// A reader with one long poll; requestEnd() adds an immediate read. All functions may be called from any thread.
class StreamFollower {
public:
    StreamFollower(Runtime&, platform::HttpLogService&, std::string stream, StreamObserver&);
    ~StreamFollower();
    StreamFollower(const StreamFollower&) = delete;
    StreamFollower& operator=(const StreamFollower&) = delete;

    void start();
    /// Reads now; caughtUp follows when the end was reached. Repeated calls while such a read is open have no effect.
    void requestEnd();
    /// The first offset that was not read yet.
    std::uint64_t nextOffset() const;
    bool isLogOut() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace sapphiredale::daemon
