// Appends, retries and moves to other partitions.

#include "controller/ProgressWriter.h"

#include <algorithm>

namespace sapphiredale::controller {

namespace {

    constexpr Duration appendTimeout = std::chrono::milliseconds(900); // many times the usual response time
    constexpr Duration retryInterval = std::chrono::milliseconds(100);
    constexpr Duration announcementPoll = std::chrono::milliseconds(5);
    constexpr const char* writerName = "scheduler";
    /// Consecutive failed appends after which the writer moves to another partition.
    constexpr std::uint32_t failuresBeforeMove = 2;
    /// Size limit of one append; the store accepts up to 2 MB.
    constexpr std::size_t maxBytes = 1 << 20;
    /// Range of the epoch that is reserved for the openings of one term.
    constexpr std::uint64_t openingsPerTerm = 1 << 16;

} // namespace

ProgressWriter::ProgressWriter(boost::asio::io_context& context, const std::string& store, Term term)
    : m_store(context, store)
    , m_timer(context)
    , m_term(std::move(term))
{
}

void ProgressWriter::open(std::function<void(bool)> handler)
{
    m_stage = Stage::Opening;
    m_handler = std::move(handler);
    send();
}

void ProgressWriter::write(Records records, std::function<void(bool)> handler)
{
    m_stage = Stage::Writing;
    m_records = std::move(records);
    m_position = 0;
    m_maxRecords = std::numeric_limits<std::size_t>::max();
    m_handler = std::move(handler);
    ++m_sequence;
    send();
}

void ProgressWriter::stop()
{
    m_isStopped = true;
    m_handler = nullptr;
    m_timer.cancel();
}

void ProgressWriter::send()
{
    userplatform::AppendCondition condition;
    condition.m_writer = writerName;
    condition.m_epoch = m_term.m_number * openingsPerTerm + m_openings;
    condition.m_sequence = m_sequence;
    Records part;
    m_sentEnd = m_position;
    if (m_stage == Stage::Writing) {
        for (std::size_t bytes = 0; m_sentEnd < m_records.size() && bytes < maxBytes && part.size() < m_maxRecords;
             ++m_sentEnd) {
            part.push_back(m_records[m_sentEnd]);
            bytes += part.back().first.size() + part.back().second.value_or("").size();
        }
    }
    m_store.append({ progressTopic, m_term.m_partition }, part, condition, appendTimeout,
        [weak = weak_from_this()](const userplatform::AppendAnswer& answer) {
            if (const auto self = weak.lock())
                self->handleAnswer(answer);
        });
}

void ProgressWriter::handleAnswer(const userplatform::AppendAnswer& answer)
{
    using enum userplatform::AppendAnswer::Kind;
    if (m_isStopped)
        return;
    switch (answer.m_kind) {
    case Appended:
        return advance();
    case Fenced:
        return finish(false);
    case OutOfSequence:
        // The store has the append and its answer was lost, since no other writer uses this epoch.
        if (answer.m_expected == m_sequence + 1)
            return advance();
        m_sequence = answer.m_expected;
        return runAfter(retryInterval, &ProgressWriter::send);
    case Rejected:
        return m_stage == Stage::Writing ? handleRejection(answer) : handleFailure(answer);
    case EndDiffers:
    case NotAppended:
    case Unknown:
        return handleFailure(answer);
    }
}

void ProgressWriter::advance()
{
    m_failures = 0;
    if (m_stage == Stage::Opening) {
        if (!m_isMoving)
            return finish(true);
        write(m_term.m_snapshot(), std::move(m_handler));
        return;
    }
    m_position = m_sentEnd;
    if (m_position < m_records.size()) {
        ++m_sequence;
        return send();
    }
    completeWrite();
}

void ProgressWriter::completeWrite()
{
    if (!m_isMoving)
        return finish(true);
    m_stage = Stage::Announcing;
    m_term.m_announcePartition(m_term.m_partition);
    awaitAnnouncement();
}

void ProgressWriter::reportFailure(const userplatform::AppendAnswer& answer) const
{
    const auto at = [this](std::size_t position) { return m_records.begin() + static_cast<std::ptrdiff_t>(position); };
    m_term.m_appendFailed({ at(m_position), at(m_stage == Stage::Writing ? m_sentEnd : m_position) }, answer);
}

void ProgressWriter::handleRejection(const userplatform::AppendAnswer& answer)
{
    reportFailure(answer);
    const std::size_t count = m_sentEnd - m_position;
    m_maxRecords = std::max<std::size_t>(count / 2, 1);
    if (count == 1) {
        m_term.m_recordRejected(m_records[m_position].first);
        m_records.erase(m_records.begin() + static_cast<std::ptrdiff_t>(m_position));
        m_maxRecords = std::numeric_limits<std::size_t>::max();
        if (m_position == m_records.size())
            return completeWrite();
    }
    // A number that the store has not used up is corrected by its answer; one that is used again would be taken for a
    // repetition.
    ++m_sequence;
    send();
}

void ProgressWriter::handleFailure(const userplatform::AppendAnswer& answer)
{
    reportFailure(answer);
    // Before the first write there is no progress to store in another partition.
    const bool canMove = m_isMoving || m_stage == Stage::Writing;
    if (++m_failures >= failuresBeforeMove && canMove)
        moveToNextPartition();
    runAfter(retryInterval, &ProgressWriter::send);
}

void ProgressWriter::moveToNextPartition()
{
    m_term.m_partition = (m_term.m_partition + 1) % progressPartitions;
    m_isMoving = true;
    m_stage = Stage::Opening;
    m_position = 0;
    m_failures = 0;
    m_sequence = 0;
    ++m_openings;
}

void ProgressWriter::awaitAnnouncement()
{
    if (!m_term.m_isPartitionAnnounced(m_term.m_partition))
        return runAfter(announcementPoll, &ProgressWriter::awaitAnnouncement);
    m_isMoving = false;
    finish(true);
}

void ProgressWriter::runAfter(Duration pause, void (ProgressWriter::*function)())
{
    m_timer.expires_after(pause);
    m_timer.async_wait([self = shared_from_this(), function](boost::system::error_code error) {
        if (!error && !self->m_isStopped)
            (self.get()->*function)();
    });
}

void ProgressWriter::finish(bool isWritten)
{
    const auto handler = std::move(m_handler);
    m_handler = nullptr;
    handler(isWritten);
}

} // namespace sapphiredale::controller
