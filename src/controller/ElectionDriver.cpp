// Appends of term records and the handling of their outcomes.

#include "controller/ElectionDriver.h"

#include <algorithm>

namespace sapphiredale::controller {

namespace {

    /// Timeout of an append; shorter than the time without a renewal after which other daemons claim the term.
    constexpr Duration appendTimeout = std::chrono::milliseconds(600);
    constexpr const char* termKey = "term";
    /// Longest interval between two checks; a term without a holder is checked again after it.
    constexpr Duration maxWakeInterval = std::chrono::seconds(1);

    jobs::AppendOutcome outcomeOf(userplatform::AppendAnswer::Kind kind)
    {
        using enum userplatform::AppendAnswer::Kind;
        switch (kind) {
        case Appended:
            return jobs::AppendOutcome::Appended;
        case EndDiffers:
            return jobs::AppendOutcome::EndDiffers;
        case Fenced:
        case OutOfSequence:
        case NotAppended:
        case Rejected:
            return jobs::AppendOutcome::NotAppended;
        case Unknown:
            break;
        }
        return jobs::AppendOutcome::Unknown;
    }

} // namespace

ElectionDriver::ElectionDriver(boost::asio::io_context& context, const std::string& store,
    const jobs::ElectionSettings& settings, std::function<void()> changed)
    : m_election(settings)
    , m_changed(std::move(changed))
    , m_store(context, store)
    , m_timer(context)
    , m_follower(context, store, { { termTopic } }, *this)
{
}

void ElectionDriver::releaseTerm()
{
    m_election.leave();
    advance();
}

void ElectionDriver::announceProgressPartition(std::uint32_t partition)
{
    m_election.announceProgress(partition);
    advance();
}

void ElectionDriver::grantLeases()
{
    m_election.grantLeases();
    advance();
}

void ElectionDriver::recordRead(const userplatform::KeyedRecord& record)
{
    if (record.m_key != termKey || !record.m_value)
        return;
    // An undecodable record belongs to no term of this program; the end offset in the condition of a claim accounts for
    // it.
    if (const Result<jobs::TermRecord> term = jobs::decodeTermRecord(*record.m_value); succeeded(term))
        m_election.recordRead(record.m_offset, valueOf(term), bootNow());
}

void ElectionDriver::caughtUp(std::uint64_t end, TimePoint askedAt)
{
    m_election.caughtUp(end, askedAt);
    advance();
    m_changed();
}

void ElectionDriver::advance()
{
    const TimePoint now = bootNow();
    if (const auto append = m_election.takeDueAppend(now)) {
        userplatform::AppendCondition condition;
        condition.m_expectedEnd = append->m_end;
        m_store.append({ termTopic }, { { termKey, jobs::encodeTermRecord(append->m_record) } }, condition,
            appendTimeout, [this, now](const userplatform::AppendAnswer& answer) {
                m_election.appendEnded(outcomeOf(answer.m_kind), answer.m_offset, now);
                advance();
                m_changed();
            });
    }
    const TimePoint wake = std::min(m_election.nextWake(), now + maxWakeInterval);
    m_timer.expires_after(std::max<Duration>(wake - now, std::chrono::milliseconds(5)));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        advance();
        m_changed();
    });
}

} // namespace sapphiredale::controller
