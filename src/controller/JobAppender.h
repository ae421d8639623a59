// Stores accepted jobs and cancellations: what arrives while an append is under way goes into the next one. A store
// that is partly down serves some partitions of a topic and not others, so a refused record is offered to the next
// partition.
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

/// Appends to one partition of a topic until that fails, then to the next. A record is a key and a value, so storing it
/// twice is harmless, also in two partitions.
class JobAppender {
public:
    /// `first` is the partition that is used at first, of `partitions`.
    JobAppender(
        boost::asio::io_context&, const std::string& store, userplatform::Partition first, std::uint32_t partitions);
    ~JobAppender();
    JobAppender(const JobAppender&) = delete;
    JobAppender& operator=(const JobAppender&) = delete;

    /// Calls the handler once, at the deadline at the latest. Refusals of several partitions end a record that was
    /// never under way at once; one that was is sent again until its deadline.
    void append(
        const std::string& key, const std::string& value, TimePoint deadline, std::function<void(StoreOutcome)>);
    /// Whether several partitions have turned an append away or left it unanswered and none has answered since. Records
    /// are refused at once meanwhile, so that it stays certain that they are not stored.
    bool isStoreUnavailable() const { return m_isUnavailable; }

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
    void handleAnswer(const std::vector<EntryPointer>&, const userplatform::AppendAnswer&);
    void expire();
    void probe();
    void handleProbeAnswer(const userplatform::AppendAnswer&);
    void armExpiryTimer();
    static void complete(const EntryPointer&, StoreOutcome);

    void useNextPartition() { m_partition.m_number = (m_partition.m_number + 1) % m_partitions; }

    userplatform::StoreConnection m_store;
    userplatform::Partition m_partition;
    const std::uint32_t m_partitions;
    /// Appends without success since the last one that was done; one without an answer counts twice.
    std::uint32_t m_failures = 0;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_expiryTimer;
    std::deque<EntryPointer> m_queue;
    std::vector<EntryPointer> m_sent;
    bool m_isSending = false;
    bool m_isProbing = false;
    bool m_isUnavailable = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace sapphiredale::controller
