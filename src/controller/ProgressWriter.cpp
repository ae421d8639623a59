// Retries of the progress writer.

#include "controller/ProgressWriter.h"

namespace sapphiredale::controller {

namespace {

    constexpr Duration appendTimeout = std::chrono::milliseconds(900); // many times a usual answer
    constexpr Duration retryPause = std::chrono::milliseconds(100);
    constexpr const char* writerName = "scheduler";

} // namespace

ProgressWriter::ProgressWriter(boost::asio::io_context& context, const std::string& store, std::uint64_t term)
    : m_store(context, store)
    , m_timer(context)
    , m_term(term)
{
}

void ProgressWriter::open(std::function<void(bool)> handler) { write({}, std::move(handler)); }

void ProgressWriter::write(Records records, std::function<void(bool)> handler)
{
    m_isBusy = true;
    m_records = std::move(records);
    m_handler = std::move(handler);
    if (!m_records.empty())
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
    condition.m_epoch = m_term;
    condition.m_sequence = m_sequence;
    m_store.append({ progressTopic }, m_records, condition, appendTimeout,
        [self = shared_from_this()](const userplatform::AppendAnswer& answer) { self->answered(answer); });
}

void ProgressWriter::answered(const userplatform::AppendAnswer& answer)
{
    using enum userplatform::AppendAnswer::Kind;
    if (m_isStopped)
        return;
    switch (answer.m_kind) {
    case Appended:
        return finish(true);
    case Fenced:
        return finish(false);
    case OutOfSequence:
        // An append whose answer was lost is known to the store; only this writer uses the epoch.
        if (answer.m_expected == m_sequence + 1)
            return finish(true);
        m_sequence = answer.m_expected;
        break;
    case EndDiffers:
    case NotDone:
    case Unknown:
        break;
    }
    m_timer.expires_after(retryPause);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_isStopped)
            self->send();
    });
}

void ProgressWriter::finish(bool isWritten)
{
    m_isBusy = false;
    const auto handler = std::move(m_handler);
    m_handler = nullptr;
    handler(isWritten);
}

} // namespace sapphiredale::controller
