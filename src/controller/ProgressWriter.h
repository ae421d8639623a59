// Stores the progress of jobs: one append at a time, by a writer whose epoch rises with the term and with each
// partition that it opens, so that what was sent before and arrives late is refused.
//
// While the store is partly down, some partitions refuse every append. The writer then stores everything that the term
// knows in another partition and has it announced with the next renewal of the term; a successor reads only the
// partition that was announced last.
#pragma once

#include "platform/Store.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::controller {

inline constexpr const char* progressTopic = "keyed.progress";
/// Partitions among which a writer chooses.
inline constexpr std::uint32_t progressPartitions = 8;

/// Writer of one term.
class ProgressWriter : public std::enable_shared_from_this<ProgressWriter> {
public:
    using Records = std::vector<std::pair<std::string, std::optional<std::string>>>;

    /// What the writer needs from its term.
    struct Term {
        std::uint64_t m_number = 1;
        /// Partition that the newest record of the election announces.
        std::uint32_t m_partition = 0;
        /// Returns all that is to be stored, instead of the records of the write under way.
        std::function<Records()> m_snapshot;
        /// Has another partition announced; m_isPartitionAnnounced tells when the store has the announcement.
        std::function<void(std::uint32_t)> m_announcePartition;
        std::function<bool(std::uint32_t)> m_isPartitionAnnounced;
    };

    ProgressWriter(boost::asio::io_context&, const std::string& store, Term);

    /// Refuses appends of earlier terms from the call of the handler on. Tries until the store answers; the handler
    /// receives false when a later term has written.
    void open(std::function<void(bool)>);
    bool isBusy() const { return m_handler != nullptr; }
    /// Appends records; one call at a time. Tries until they are stored, if need be in another partition; the handler
    /// receives false when a later term has written.
    void write(Records, std::function<void(bool)>);
    void stop();
    /// Whether the store has not done the last append yet that was tried.
    bool isFailing() const { return m_failures > 0 || m_isMoving; }
    std::uint32_t partition() const { return m_term.m_partition; }

private:
    enum class Stage : std::uint8_t { Opening, Writing, Announcing };

    void send();
    void handleAnswer(const userplatform::AppendAnswer&);
    void advance();
    void handleFailure();
    void moveToNextPartition();
    void awaitAnnouncement();
    void runAfter(Duration, void (ProgressWriter::*function)());
    void finish(bool);

    userplatform::StoreConnection m_store;
    boost::asio::steady_timer m_timer;
    Term m_term;
    Stage m_stage = Stage::Opening;
    /// Whether the partition is not announced yet.
    bool m_isMoving = false;
    bool m_isStopped = false;
    /// Partitions opened so far in this term; part of the epoch.
    std::uint64_t m_openings = 0;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_failures = 0;
    Records m_records;
    /// Records before this one are stored; those up to m_sentEnd are under way.
    std::size_t m_position = 0;
    std::size_t m_sentEnd = 0;
    std::function<void(bool)> m_handler;
};

} // namespace sapphiredale::controller
