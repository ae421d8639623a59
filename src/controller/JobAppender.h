// Stores accepted jobs and cancellations in batches: records that arrive during an append form the next one. In a
// partial outage the store serves only some partitions of a topic, so a refused record is sent to the next partition.
#pragma once

#include "controller/Clock.h"
#include "controller/StoreRoute.h"
#include "platform/Store.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphiredale::controller {

/// Appends to one partition of a topic until that fails, then to the next. A record is a key and a value, so storing it
/// twice is harmless, also in two partitions.
class JobAppender {
public:
    /// `first` is the initial partition; `partitions` is the number of partitions of the topic.
    JobAppender(
        boost::asio::io_context&, const std::string& store, userplatform::Partition first, std::uint32_t partitions);
    ~JobAppender();
    JobAppender(const JobAppender&) = delete;
    JobAppender& operator=(const JobAppender&) = delete;

    /// Calls the handler exactly once, at the deadline at the latest. After refusals of several partitions a record
    /// that is certainly not stored fails at once; one whose append had no answer is retried until its deadline.
    void append(
        const std::string& key, const std::string& value, TimePoint deadline, std::function<void(StoreOutcome)>);
    /// Whether several partitions in a row have refused an append or left it unanswered, and no probe has been answered
    /// since. Meanwhile records are refused without a call, so that they are certainly not stored.
    bool isStoreUnavailable() const { return m_isUnavailable; }

private:
    struct Entry {
        std::string m_key;
        std::string m_value;
        TimePoint m_deadline {};
        std::function<void(StoreOutcome)> m_handler;
        /// Whether an append with this record had no answer.
        bool m_mayBeStored = false;
        /// The store has rejected an append of several records with this one among them.
        bool m_goesAlone = false;
    };
    using EntryPointer = std::shared_ptr<Entry>;

    void send();
    void handleAnswer(const std::vector<EntryPointer>&, const userplatform::AppendAnswer&);
    /// Repeats records that were rejected together, each alone; one that was rejected alone fails.
    void handleRejection(const std::vector<EntryPointer>&);
    void expire();
    void probe();
    void handleProbeAnswer(const userplatform::AppendAnswer&);
    void armExpiryTimer();
    static void complete(const EntryPointer&, StoreOutcome);

    void useNextPartition() { m_partition.m_number = (m_partition.m_number + 1) % m_partitions; }

    userplatform::StoreConnection m_store;
    userplatform::Partition m_partition;
    const std::uint32_t m_partitions;
    /// Failed appends since the last successful one; one without an answer counts twice.
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
