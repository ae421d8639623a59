// Life of a term: carrying out of decisions, durable state, workers and queries.

#include "controller/SchedulerTerm.h"

#include "controller/TermObservers.h"
#include "platform/Documents.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace sapphiredale::controller {

using observability::LogEvent;

namespace {

    /// Pause between two passes of placement; what arrives meanwhile is decided together.
    constexpr Duration stepInterval = std::chrono::milliseconds(4);
    constexpr Duration superviseInterval = std::chrono::milliseconds(50);
    /// Pause after a hold that failed.
    constexpr Duration holdRetry = std::chrono::milliseconds(200);
    /// Longest wait for ends to be stored before the next hold.
    constexpr Duration storeWait = std::chrono::milliseconds(400);
    /// Steps that wait for longer are named in the log, a few at a time.
    constexpr Duration waitLogAge = std::chrono::seconds(4);
    constexpr Duration waitLogInterval = std::chrono::seconds(3);
    constexpr std::size_t waitLogLines = 3;
    constexpr Duration forgetInterval = std::chrono::seconds(5);
    /// Patience with the removal of old records, which nobody waits for.
    constexpr Duration cleanTimeout = std::chrono::seconds(2);
    /// Jobs for which the follower's view may be this old: a younger answer "unknown" is certain.
    constexpr Duration certainView = std::chrono::milliseconds(2000);

    void addRecords(ProgressWriter::Records& records, const jobs::ProgressRecord& record)
    {
        records.emplace_back(record.m_job.value(), jobs::encodeProgress(record.m_progress));
        if (record.m_record)
            records.emplace_back(runningJobMark + record.m_job.value(), jobs::encodeJobRecord(*record.m_record));
        else if (record.m_removesRecord)
            records.emplace_back(runningJobMark + record.m_job.value(), std::nullopt);
    }

} // namespace

std::string cancellationKey(const JobId& job) { return cancellationMark + job.value(); }

struct SchedulerTerm::LinkState {
    std::unique_ptr<WorkerLink> m_link;
    bool m_isHolding = false;
    TimePoint m_nextHoldAt {};
    /// Ends up to this number were reported when the last hold ended.
    bool m_awaitsStore = false;
};

SchedulerTerm::SchedulerTerm(boost::asio::io_context& context, const SiteSettings& site, const TermSettings& settings,
    AdviceDesk& desk, const EndNotes& notes, observability::EventLog& log, TermAuthority authority)
    : m_context(context)
    , m_site(site)
    , m_settings(settings)
    , m_desk(desk)
    , m_notes(notes)
    , m_log(log)
    , m_authority(std::move(authority))
    , m_writer(std::make_shared<ProgressWriter>(context, site.m_store,
          ProgressWriter::Term { settings.m_term, settings.m_progressPartition, [this] { return allProgress(); },
              m_authority.m_announceProgress, m_authority.m_isProgressAnnounced }))
    , m_workerObserver(std::make_unique<WorkerObserver>(*this))
    , m_progressObserver(std::make_unique<ProgressObserver>(*this))
    , m_discloser(context, desk, log, settings.m_term)
    , m_cleaner(context, site.m_store)
    , m_stepTimer(context)
    , m_superviseTimer(context)
{
}

SchedulerTerm::~SchedulerTerm()
{
    *m_isAlive = false;
    m_writer->stop();
}

void SchedulerTerm::start()
{
    m_log.write(LogEvent::SchedulerBecame, { { "term", m_settings.m_term } });
    FollowerSettings workers { { userplatform::workerTopic } };
    // Heartbeats of all workers arrive all the time; they are read together.
    workers.m_wait = Duration::zero();
    workers.m_pause = std::chrono::milliseconds(400);
    m_workerFollower = std::make_unique<TopicFollower>(m_context, m_site.m_store, workers, *m_workerObserver);
    m_workerFollower->start();
    // Earlier terms must not add to what is read now.
    m_writer->open([this, alive = m_isAlive](bool isOpen) {
        if (!*alive)
            return;
        if (!isOpen)
            return depose();
        m_progressFollower = std::make_unique<TopicFollower>(m_context, m_site.m_store,
            FollowerSettings { { progressTopic, m_settings.m_progressPartition } }, *m_progressObserver);
        m_progressFollower->start();
        for (std::uint32_t part = 0; part < jobPartitions; ++part) {
            m_jobObservers.push_back(std::make_unique<JobObserver>(*this, part));
            m_jobFollowers.push_back(std::make_unique<TopicFollower>(
                m_context, m_site.m_store, FollowerSettings { { jobTopic, part } }, *m_jobObservers.back()));
            m_jobFollowers.back()->start();
        }
    });
}

// Decisions

void SchedulerTerm::scheduleStep()
{
    if (!m_scheduler || m_isStepScheduled)
        return;
    m_isStepScheduled = true;
    const Duration wait = m_lastStepAt + stepInterval - bootNow();
    if (wait.count() <= 0) {
        boost::asio::post(m_context, [this, alive = m_isAlive] {
            if (*alive)
                step();
        });
        return;
    }
    m_stepTimer.expires_after(wait);
    m_stepTimer.async_wait([this, alive = m_isAlive](boost::system::error_code error) {
        if (!error && *alive)
            step();
    });
}

void SchedulerTerm::step()
{
    m_isStepScheduled = false;
    if (!m_scheduler || m_isDeposed)
        return;
    m_lastStepAt = bootNow();
    if (!m_isHandingOver && m_authority.m_mayOrder()) {
        m_scheduler->setStoreUnavailable(m_writer->isFailing());
        for (const jobs::SchedulerAction& action : m_scheduler->step(wallNowMs(), m_lastStepAt, m_desk.capacity()))
            carryOut(action);
    }
    writeProgress();
}

void SchedulerTerm::carryOut(const jobs::SchedulerAction& action)
{
    std::visit([this](const auto& order) { this->order(order); }, action);
}

WorkerLink* SchedulerTerm::link(const WorkerId& worker)
{
    const auto found = m_links.find(worker);
    return found == m_links.end() ? nullptr : found->second.m_link.get();
}

void SchedulerTerm::order(const jobs::StartOrder& order)
{
    WorkerLink* target = link(order.m_worker);
    if (target == nullptr)
        return m_scheduler->startAnswered(order.m_worker, order.m_run, jobs::StartOutcome::Refused, bootNow());
    target->start(order, [this, worker = order.m_worker, run = order.m_run](const userplatform::StartAnswer& answer) {
        if (answer.m_outcome != jobs::StartOutcome::Started)
            m_log.write(LogEvent::OrderNotObeyed,
                { { "worker", worker.value() }, { "job", run.m_task.m_job.value() },
                    { "step", std::uint64_t { run.m_task.m_index.m_step } },
                    { "task", std::uint64_t { run.m_task.m_index.m_task } }, { "run", std::uint64_t { run.m_run } },
                    { "detail", answer.m_detail } });
        if (answer.m_outcome == jobs::StartOutcome::RefusedForTerm)
            return depose();
        m_scheduler->startAnswered(worker, run, answer.m_outcome, bootNow());
        if (answer.m_outcome != jobs::StartOutcome::Started)
            scheduleStep();
    });
    m_scheduler->leaseExtended(order.m_worker, target->leaseEnd());
}

void SchedulerTerm::order(const jobs::StopOrder& order)
{
    WorkerLink* target = link(order.m_worker);
    if (target == nullptr)
        return;
    target->stop(order, [this, order](bool confirmed) {
        m_scheduler->stopAnswered(order.m_worker, order.m_run, confirmed, bootNow());
        scheduleStep();
    });
}

void SchedulerTerm::order(const jobs::ReportOrder& order)
{
    WorkerLink* target = link(order.m_worker);
    if (target == nullptr)
        return;
    target->look(m_scheduler->storedEnd(order.m_worker),
        [this, worker = order.m_worker](const Result<jobs::WorkerReport>& result) {
            if (succeeded(result) && !m_isDeposed)
                m_scheduler->workerReported(worker, valueOf(result), bootNow());
            scheduleStep();
        });
    m_scheduler->leaseExtended(order.m_worker, target->leaseEnd());
}

void SchedulerTerm::order(const jobs::ThrottleOrder& order)
{
    if (WorkerLink* target = link(order.m_worker))
        target->pace(order, [](bool) {});
}

void SchedulerTerm::order(const jobs::AdviceRequest& question)
{
    m_desk.ask(question, [this, alive = m_isAlive, question](const Result<jobs::Advice>& result) {
        if (!*alive)
            return;
        const TimePoint now = bootNow();
        if (succeeded(result)) {
            const jobs::Advice& reply = valueOf(result);
            m_scheduler->adviceAnswered(question, reply.m_tickets, now, reply.m_validity, now);
        } else {
            m_log.write(LogEvent::AdviceFailed,
                { { "job", question.m_step.m_job.value() }, { "detail", errorOf(result).m_detail } });
            m_scheduler->adviceFailed(question, now);
        }
        scheduleStep();
    });
}

// Durable state

void SchedulerTerm::writeProgress()
{
    if (m_writer->isBusy() || !m_scheduler || m_isDeposed)
        return;
    if (!m_scheduler->hasChanges() && m_removals.empty())
        return;
    const jobs::JobScheduler::Batch batch = m_scheduler->takeChanges();
    m_openBatch = batch.m_number;
    ProgressWriter::Records records = std::exchange(m_removals, {});
    for (const jobs::ProgressRecord& record : batch.m_records)
        addRecords(records, record);
    const auto stored = [this, alive = m_isAlive](bool isWritten) {
        if (!*alive)
            return;
        if (!isWritten)
            return depose();
        m_scheduler->stored(m_openBatch);
        logEnded();
        for (auto& [id, state] : m_links) {
            if (std::exchange(state.m_awaitsStore, false) && !state.m_isHolding)
                hold(id);
        }
        scheduleStep();
    };
    if (records.empty())
        return stored(true);
    m_writer->write(std::move(records), stored);
}

ProgressWriter::Records SchedulerTerm::allProgress()
{
    const jobs::JobScheduler::Batch batch = m_scheduler->takeEverything(m_openBatch);
    m_openBatch = batch.m_number;
    m_log.write(LogEvent::ProgressMoves,
        { { "term", m_settings.m_term }, { "partition", std::uint64_t { m_writer->partition() } },
            { "jobs", std::uint64_t { batch.m_records.size() } } });
    ProgressWriter::Records records;
    records.reserve(batch.m_records.size());
    for (const jobs::ProgressRecord& record : batch.m_records)
        addRecords(records, record);
    return records;
}

void SchedulerTerm::logEnded()
{
    const TimePoint now = bootNow();
    for (const jobs::EndedJob& job : m_scheduler->takeEnded()) {
        const jobs::JobHistory& history = job.m_history;
        m_log.write(LogEvent::JobEnded,
            { { "job", job.m_job.value() }, { "state", jobs::nameOf(job.m_state) },
                { "tookMs", millisecondsOf(now - job.m_acceptedAt) },
                { "objectiveMs", millisecondsOf(job.m_objective - job.m_acceptedAt) }, { "starts", history.m_starts },
                { "failed", history.m_failedRuns }, { "stalled", history.m_stalledRuns },
                { "lost", history.m_lostRuns }, { "questions", history.m_questions },
                { "waitMs", millisecondsOf(history.m_longestWait) },
                { "recordMs", millisecondsOf(history.m_longestRecord) },
                { "startMs", millisecondsOf(history.m_longestStart) } });
    }
}

void SchedulerTerm::forget(const std::vector<JobId>& jobs)
{
    for (const JobId& job : jobs) {
        m_removals.emplace_back(job.value(), std::nullopt);
        const auto partitions = m_jobPartitions.extract(job);
        if (partitions.empty())
            continue;
        for (const std::uint32_t partition : partitions.mapped()) {
            m_jobRemovals[partition].emplace_back(job.value(), std::nullopt);
            m_jobRemovals[partition].emplace_back(cancellationKey(job), std::nullopt);
        }
    }
    removeStoredJobs();
}

void SchedulerTerm::removeStoredJobs()
{
    if (m_isCleaning || m_jobRemovals.empty())
        return;
    m_isCleaning = true;
    const auto batch = m_jobRemovals.extract(m_jobRemovals.begin());
    const std::uint32_t partition = batch.key();
    m_cleaner.append({ jobTopic, partition }, batch.mapped(), {}, cleanTimeout,
        [this, alive = m_isAlive, partition, records = batch.mapped()](const userplatform::AppendAnswer& answer) {
            if (!*alive)
                return;
            m_isCleaning = false;
            if (answer.m_kind == userplatform::AppendAnswer::Kind::Appended)
                return removeStoredJobs();
            // A removal may be repeated; it is tried again with the next jobs that are forgotten.
            ProgressWriter::Records& kept = m_jobRemovals[partition];
            kept.insert(kept.end(), records.begin(), records.end());
        });
}

// Workers

void SchedulerTerm::superviseLinks()
{
    const TimePoint now = bootNow();
    for (auto it = m_vanished.begin(); it != m_vanished.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        m_scheduler->workerDelisted(it->first, now);
        it = m_vanished.erase(it);
    }
    for (const auto& [id, worker] : m_scheduler->workers()) {
        LinkState& state = m_links[id];
        if (!state.m_link || state.m_link->address() != worker.m_description.m_address) {
            const LinkSettings settings { m_settings.m_term, m_settings.m_lease, m_site.m_longestLease };
            state.m_link = std::make_unique<WorkerLink>(m_context, settings, id, worker.m_description.m_address);
            state.m_isHolding = false;
        }
        if (!state.m_isHolding && state.m_nextHoldAt <= now)
            hold(id);
    }
    std::erase_if(m_links, [this](const auto& entry) { return m_scheduler->worker(entry.first) == nullptr; });
    if (m_nextWaitLogAt <= now) {
        m_nextWaitLogAt = now + waitLogInterval;
        for (const jobs::JobScheduler::Wait& wait : m_scheduler->longWaits(waitLogAge, waitLogLines, now))
            m_log.write(LogEvent::StepWaits,
                { { "job", wait.m_step.m_job.value() }, { "step", std::uint64_t { wait.m_step.m_step } },
                    { "reason", wait.m_reason } });
    }
    m_discloser.advance(*m_scheduler, m_writer->isFailing());
    if (m_nextForgetAt <= now) {
        m_nextForgetAt = now + forgetInterval;
        forget(m_scheduler->takeExpired(now));
    }
    scheduleStep();
    m_superviseTimer.expires_after(superviseInterval);
    m_superviseTimer.async_wait([this, alive = m_isAlive](boost::system::error_code error) {
        if (!error && *alive && !m_isDeposed)
            superviseLinks();
    });
}

void SchedulerTerm::hold(const WorkerId& id)
{
    if (m_isDeposed || m_isHandingOver || !m_authority.m_mayOrder())
        return;
    LinkState& state = m_links.at(id);
    state.m_isHolding = true;
    state.m_link->hold(
        m_scheduler->storedEnd(id), [this, id](const Result<jobs::WorkerReport>& result) { held(id, result); });
    m_scheduler->leaseExtended(id, state.m_link->leaseEnd());
}

void SchedulerTerm::held(const WorkerId& id, const Result<jobs::WorkerReport>& result)
{
    const auto found = m_links.find(id);
    if (found == m_links.end() || m_isDeposed)
        return;
    LinkState& state = found->second;
    state.m_isHolding = false;
    const TimePoint now = bootNow();
    if (!succeeded(result)) {
        if (errorOf(result).m_kind == ErrorKind::StaleEpoch)
            return depose();
        m_scheduler->reportFailed(id, now);
        state.m_nextHoldAt = now + holdRetry;
        return;
    }
    m_scheduler->workerReported(id, valueOf(result), now);
    scheduleStep();
    // An answer comes at once while there are ends that are not acknowledged, so these are stored first.
    const jobs::Worker* worker = m_scheduler->worker(id);
    if (worker != nullptr && worker->m_storedEnd < worker->m_seenEnd) {
        state.m_awaitsStore = true;
        state.m_nextHoldAt = now + storeWait;
        return;
    }
    hold(id);
}

// End of the term

void SchedulerTerm::beginHandover() { m_isHandingOver = true; }

bool SchedulerTerm::isHandedOver() const
{
    return m_isHandingOver && !m_writer->isBusy() && (!m_scheduler || !m_scheduler->hasChanges());
}

void SchedulerTerm::depose()
{
    if (std::exchange(m_isDeposed, true))
        return;
    m_log.write(LogEvent::SchedulerCeased, { { "term", m_settings.m_term } });
    boost::asio::post(m_context, [this, alive = m_isAlive] {
        if (*alive)
            m_authority.m_deposed();
    });
}

// Queries

Result<jobs::JobState> SchedulerTerm::state(const JobId& job) const
{
    if (!m_scheduler)
        return Error { ErrorKind::NotReady, "the scheduler reads the stored jobs" };
    if (m_scheduler->knows(job))
        return m_scheduler->state(job);
    const bool isFresh = std::all_of(m_jobObservers.begin(), m_jobObservers.end(),
        [](const auto& observer) { return bootNow() - observer->m_caughtUpAt <= certainView; });
    if (!isFresh)
        return Error { ErrorKind::NotReady, "the stored jobs were not read for a while" };
    return Error { ErrorKind::NotFound, "no such job" };
}

Result<std::uint32_t> SchedulerTerm::pending(const std::string& queue) const
{
    if (!m_scheduler)
        return Error { ErrorKind::NotReady, "the scheduler reads the stored jobs" };
    return m_scheduler->pending(queue);
}

} // namespace sapphiredale::controller
