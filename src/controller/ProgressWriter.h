// Stores the progress of jobs, one append at a time. The epoch of the writer increases with the term and with each
// partition that it opens, so that the store refuses earlier appends that arrive late.
//
// In a partial outage of the store some partitions refuse every append. The writer then stores a snapshot of the term's
// progress in another partition, which is announced with the next renewal of the term; a successor reads only the
// partition that was announced last.
//
// A record that the store rejects is left out, so that it does not keep the others from the store; the handler of the
// write is called once these are stored.
#pragma once

#include "platform/Store.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::controller {

inline constexpr const char* progressTopic = "keyed.progress";
/// Number of partitions of the progress topic.
inline constexpr std::uint32_t progressPartitions = 8;

/// Stores the progress of one term.
class ProgressWriter : public std::enable_shared_from_this<ProgressWriter> {
public:
    using Records = std::vector<std::pair<std::string, std::optional<std::string>>>;

    /// The term that the writer belongs to.
    struct Term {
        std::uint64_t m_number = 1;
        /// Partition that the newest record of the election announces.
        std::uint32_t m_partition = 0;
        /// Returns the complete progress, which replaces the records of the current write.
        std::function<Records()> m_snapshot;
        /// Requests the announcement of a partition; m_isPartitionAnnounced tells whether the announcement is stored.
        std::function<void(std::uint32_t)> m_announcePartition;
        std::function<bool(std::uint32_t)> m_isPartitionAnnounced;
        /// Called after each append that was not confirmed, with its records and the answer.
        std::function<void(const Records&, const userplatform::AppendAnswer&)> m_appendFailed
            = [](const Records&, const userplatform::AppendAnswer&) {};
        /// Called for a record that is left out of the write.
        std::function<void(const std::string& key)> m_recordRejected = [](const std::string&) {};
    };

    ProgressWriter(boost::asio::io_context&, const std::string& store, Term);

    /// Fences the writers of earlier terms: the store refuses their appends once the handler has been called. Retries
    /// until the store answers; the handler receives false when a later term has written.
    void open(std::function<void(bool)>);
    bool isBusy() const { return m_handler != nullptr; }
    /// Appends records; only one write may be pending. Retries until they are stored, in another partition if
    /// necessary; the handler receives false when a later term has written.
    void write(Records, std::function<void(bool)>);
    void stop();
    /// Whether the last append failed or a move to another partition is not complete.
    bool isFailing() const { return m_failures > 0 || m_isMoving; }
    std::uint32_t partition() const { return m_term.m_partition; }

private:
    enum class Stage : std::uint8_t { Opening, Writing, Announcing };

    void send();
    void handleAnswer(const userplatform::AppendAnswer&);
    void advance();
    /// Ends a write whose records are stored.
    void completeWrite();
    void handleRejection(const userplatform::AppendAnswer&);
    void reportFailure(const userplatform::AppendAnswer&) const;
    void handleFailure(const userplatform::AppendAnswer&);
    void moveToNextPartition();
    void awaitAnnouncement();
    void runAfter(Duration, void (ProgressWriter::*function)());
    void finish(bool);

    userplatform::StoreConnection m_store;
    boost::asio::steady_timer m_timer;
    Term m_term;
    Stage m_stage = Stage::Opening;
    /// Whether the writer has moved to a partition that is not announced yet.
    bool m_isMoving = false;
    bool m_isStopped = false;
    /// Number of partitions to which the writer has moved in this term; part of the epoch.
    std::uint64_t m_openings = 0;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_failures = 0;
    Records m_records;
    /// Records before this position are stored; those from here to m_sentEnd are being appended.
    std::size_t m_position = 0;
    std::size_t m_sentEnd = 0;
    /// Maximum number of records in one append; reduced to find a record that the store rejects.
    std::size_t m_maxRecords = std::numeric_limits<std::size_t>::max();
    std::function<void(bool)> m_handler;
};

} // namespace sapphiredale::controller
