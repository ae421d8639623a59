// Calls to the daemons that note ends.

#include "controller/EndDiscloser.h"

#include "controller/Clock.h"
#include "controller/PeerCall.h"

namespace sapphiredale::controller {

namespace {

    constexpr Duration noteTimeout = std::chrono::milliseconds(300); // many times a usual answer
    /// Pause after a daemon that did not confirm: its own view of the store lags by up to one read.
    constexpr Duration notePause = std::chrono::milliseconds(200);
    constexpr std::size_t maxJobsPerCall = 500; // 10 KB

} // namespace

EndDiscloser::EndDiscloser(
    boost::asio::io_context& context, const AdviceDesk& desk, observability::EventLog& log, std::uint64_t term)
    : m_context(context)
    , m_desk(desk)
    , m_log(log)
    , m_term(term)
{
}

void EndDiscloser::advance(jobs::JobScheduler& scheduler, bool isStoreFailing)
{
    m_disclosure.keep(scheduler.unstoredCompletions());
    if (!isStoreFailing || scheduler.unstoredCompletions().empty())
        return;
    for (const std::string& address : m_desk.daemons()) {
        Witness& witness = m_witnesses[address];
        if (!witness.m_isBusy && witness.m_nextAt <= bootNow())
            ask(scheduler, address, witness);
    }
}

void EndDiscloser::ask(jobs::JobScheduler& scheduler, const std::string& address, Witness& witness)
{
    const std::vector<JobId> ends = m_disclosure.unconfirmed(address, scheduler.unstoredCompletions(), maxJobsPerCall);
    if (ends.empty())
        return;
    if (!witness.m_channel)
        witness.m_channel = openPeerChannel(m_context, address);
    witness.m_isBusy = true;
    witness.m_channel->send(peerCall(inner::noteEndsPath, inner::encode(inner::NoteEnds { m_term, ends }), noteTimeout),
        [this, alive = m_isAlive, &scheduler, address, ends](const Result<platform::HttpAnswer>& result) {
            if (!*alive)
                return;
            Witness& asked = m_witnesses[address];
            asked.m_isBusy = false;
            if (!succeeded(result) || valueOf(result).m_status != 200) {
                asked.m_nextAt = bootNow() + notePause;
                return;
            }
            const std::size_t daemons = m_desk.daemons().size() + 1;
            for (const JobId& job : m_disclosure.confirmed(address, ends, daemons)) {
                if (scheduler.publishCompletion(job))
                    m_log.write(observability::LogEvent::EndShown,
                        { { "job", job.value() }, { "term", m_term }, { "daemons", std::uint64_t { daemons } } });
            }
        });
}

} // namespace sapphiredale::controller
