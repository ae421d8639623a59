// Stores accepted jobs and cancellations: what arrives while an append is under way goes into the next one.
#pragma once

#include "controller/Clock.h"
#include "platform/Store.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphiredale::controller {

/// What is known of a record at its deadline or before.
enum class StoreOutcome : std::uint8_t {
    Stored,
    /// The record was not stored and will not be.
    NotStored,
    /// The record may have been stored or may be later.
    Unknown,
};

/// Appends to one partition. A record is a key and a value, so storing it twice is harmless.
class JobAppender {
public:
    JobAppender(boost::asio::io_context&, const std::string& store, userplatform::Partition);
    ~JobAppender();
    JobAppender(const JobAppender&) = delete;
    JobAppender& operator=(const JobAppender&) = delete;

    /// Calls the handler once, at the deadline at the latest. A refusal of the store ends a record that was never under
    /// way at once; one that was is sent again until its deadline.
    void append(
        const std::string& key, const std::string& value, TimePoint deadline, std::function<void(StoreOutcome)>);
    /// Whether the store has turned an append away or left it unanswered and has not answered since. Records are
    /// refused at once meanwhile, so that it stays certain that they are not stored.
    bool isStoreAway() const { return m_isAway; }

private:
    struct Entry {
        std::string m_key;
        std::string m_value;
        TimePoint m_deadline {};
        std::function<void(StoreOutcome)> m_handler;
        /// An append with this record had no answer.
        bool m_mayBeStored = false;
    };
    using EntryPointer = std::shared_ptr<Entry>;

    void send();
    void answered(const std::vector<EntryPointer>&, const userplatform::AppendAnswer&);
    void expire();
    void probe();
    void probed(const userplatform::AppendAnswer&);
    void armExpiry();
    static void finish(const EntryPointer&, StoreOutcome);

    userplatform::StoreConnection m_store;
    const userplatform::Partition m_partition;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_expiryTimer;
    std::deque<EntryPointer> m_queue;
    std::vector<EntryPointer> m_sent;
    bool m_isSending = false;
    bool m_isWaiting = false;
    bool m_isAway = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace sapphiredale::controller
