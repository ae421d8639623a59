// Course of a term: execution of decisions, durable state, workers and queries.

#include "controller/SchedulerTerm.h"

#include "controller/TermObservers.h"
#include "jobs/ViewAge.h"
#include "platform/Documents.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace sapphiredale::controller {

using observability::LogEvent;

namespace {

    /// Interval between two scheduling steps; events in between are processed together.
    constexpr Duration stepInterval = std::chrono::milliseconds(4);
    constexpr Duration superviseInterval = std::chrono::milliseconds(50);
    /// Interval before a failed report request is repeated.
    constexpr Duration holdRetryInterval = std::chrono::milliseconds(200);
    /// Longest wait for ends to be stored before the next report request.
    constexpr Duration maxStoreWait = std::chrono::milliseconds(400);
    /// Steps that wait for longer than this are logged, a few at a time.
    constexpr Duration waitLogAge = std::chrono::seconds(4);
    constexpr Duration waitLogInterval = std::chrono::seconds(3);
    constexpr std::size_t waitLogLines = 12;
    constexpr Duration expiryInterval = std::chrono::seconds(5);
    /// Length of the longest key of the progress topic, with its length byte: a job ID, occurrence, step and part.
    constexpr std::size_t maxProgressKeyBytes = 64;
    /// Maximum number of workers whose lease a term record names; some 25 bytes each, in every renewal.
    constexpr std::size_t maxAnnouncedLeases = 64;
    /// Timeout for the removal of old records, on which no request depends.
    constexpr Duration removalTimeout = std::chrono::seconds(2);
    /// A job counts as nonexistent, and tasks start, only while the followers' view of the job topic is at most this
    /// old. Longer than two long polls, also while the store takes 0.4 s for each.
    constexpr Duration maxViewAge = std::chrono::milliseconds(2500);
    constexpr Duration jobReadWait = std::chrono::milliseconds(800);
    /// Two heartbeat intervals of 1.5 s; a registry entry expires after three.
    constexpr Duration maxFreshEntryAge = std::chrono::milliseconds(3000);

    /// Age of the registry view up to which tasks may start; the rest of the notice is left to the order.
    Duration maxRegistryAge(Duration drainNotice) { return drainNotice - drainNotice / 4; }

} // namespace

std::string cancellationKey(const JobId& job) { return cancellationPrefix + job.value(); }

SchedulerTerm::SchedulerTerm(boost::asio::io_context& context, const SiteSettings& site, const TermSettings& settings,
    AdviceDispatcher& adviceDispatcher, observability::EventLog& log, TermAuthority authority)
    : m_context(context)
    , m_site(site)
    , m_settings(settings)
    , m_adviceDispatcher(adviceDispatcher)
    , m_log(log)
    , m_authority(std::move(authority))
    , m_writer(std::make_shared<ProgressWriter>(context, site.m_store,
          ProgressWriter::Term { settings.m_term, settings.m_progressPartition, [this] { return progressSnapshot(); },
              m_authority.m_announceProgressPartition, m_authority.m_isProgressPartitionAnnounced,
              [this](const ProgressWriter::Records& records, const userplatform::AppendAnswer& answer) {
                  logFailedAppend(records, answer);
              },
              [this](const std::string& key) { noteRejectedRecord(key); } }))
    , m_progressRecords(site.m_recordBytes - maxProgressKeyBytes)
    , m_workerObserver(std::make_unique<WorkerObserver>(*this))
    , m_progressObserver(std::make_unique<ProgressObserver>(*this))
    , m_removalStore(context, site.m_store)
    , m_entryFreshness(maxFreshEntryAge)
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
    // Heartbeats of the workers arrive continuously; they are read in batches.
    workers.m_wait = Duration::zero();
    workers.m_pause = std::chrono::milliseconds(400);
    m_workerFollower = std::make_unique<TopicFollower>(m_context, m_site.m_store, workers, *m_workerObserver);
    m_workerFollower->start();
    // Accepted jobs are read while earlier terms are being fenced; a slow store takes long for both.
    for (std::uint32_t part = 0; part < jobPartitions; ++part) {
        FollowerSettings jobs { { jobTopic, part } };
        jobs.m_wait = jobReadWait;
        m_jobObservers.push_back(std::make_unique<JobObserver>(*this, part));
        m_jobFollowers.push_back(
            std::make_unique<TopicFollower>(m_context, m_site.m_store, jobs, *m_jobObservers.back()));
        m_jobFollowers.back()->start();
    }
    // Earlier terms are fenced before the recovery reads their progress.
    m_writer->open([this, alive = m_isAlive](bool isOpen) {
        if (!*alive)
            return;
        if (!isOpen)
            return stepDown();
        m_progressFollower = std::make_unique<TopicFollower>(m_context, m_site.m_store,
            FollowerSettings { { progressTopic, m_settings.m_progressPartition } }, *m_progressObserver);
        m_progressFollower->start();
        // The leases are announced while the progress is read.
        m_authority.m_grantLeases();
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
    if (!m_scheduler || m_hasSteppedDown)
        return;
    m_lastStepAt = bootNow();
    if (!m_isHandingOver && m_authority.m_mayIssueOrders()) {
        m_scheduler->setStoreUnavailable(m_writer->isFailing());
        updateStartGate(m_lastStepAt);
        for (const jobs::SchedulerAction& action :
            m_scheduler->step(wallNowMs(), m_lastStepAt, m_adviceDispatcher.capacity()))
            executeAction(action);
        for (const WorkerId& gone : m_scheduler->takeGoneWorkers())
            closeLink(gone);
    }
    logRuns();
    logCrashes();
    logQuarantines();
    logWorkers();
    logTeams();
    logReusedIds();
    writeProgress();
}

void SchedulerTerm::updateStartGate(TimePoint now)
{
    const auto isOld = [this, now](const TopicFollower& follower, Duration maxAge) {
        return jobs::isTooOld({ follower.caughtUpAt(), follower.consecutiveFailures(), follower.consecutiveRefusals() },
            maxAge, m_writer->isFailing(), now);
    };
    bool isHeld = isOld(*m_workerFollower, maxRegistryAge(m_site.m_drainNotice));
    for (std::size_t part = 0; part < m_jobFollowers.size(); ++part) {
        // The term may begin before all partitions are listed.
        isHeld = isHeld || (m_jobObservers[part]->m_isListed && isOld(*m_jobFollowers[part], maxViewAge));
    }
    // A start grants a lease.
    const bool hasNoLease = now >= m_authority.m_leaseLimit();
    m_scheduler->setStartsHeld(isHeld || hasNoLease);
    m_authority.m_announceLateLeases(m_scheduler->latestLateLease());
    m_scheduler->setSuccessorWaitEnd(m_authority.m_successorWaitEnd());
    const bool isUnread = m_workerFollower->consecutiveFailures() >= jobs::failuresOfUnavailableStore;
    if (std::exchange(m_isRegistryUnread, isUnread) != isUnread)
        logView(isUnread, "registry", now);
    if (std::exchange(m_areStartsHeld, isHeld) != isHeld)
        logView(isHeld, "view of workers and cancellations", now);
    if (std::exchange(m_hasNoLease, hasNoLease) != hasNoLease)
        logView(hasNoLease, "announcement of leases", now);
}

void SchedulerTerm::logView(bool isLost, const char* dependency, TimePoint now)
{
    m_log.write(isLost ? LogEvent::DependencyLost : LogEvent::DependencyRegained,
        { { "dependency", dependency }, { "term", m_settings.m_term },
            { "registryAgeMs", millisecondsOf(now - m_workerFollower->caughtUpAt()) },
            { "failures", std::uint64_t { m_workerFollower->consecutiveFailures() } },
            { "detail", m_workerObserver->m_lastError } });
}

void SchedulerTerm::executeAction(const jobs::SchedulerAction& action)
{
    std::visit([this](const auto& order) { execute(order); }, action);
}

WorkerLink* SchedulerTerm::link(const WorkerId& worker)
{
    const auto found = m_links.find(worker);
    return found == m_links.end() ? nullptr : found->second.get();
}

void SchedulerTerm::openLink(const WorkerId& id)
{
    const jobs::Worker* worker = m_scheduler->worker(id);
    if (worker == nullptr)
        return;
    const std::string& address = worker->m_description.m_address;
    std::unique_ptr<WorkerLink>& link = m_links[id];
    if (link && link->address() == address)
        return;
    const LinkSettings settings { m_settings.m_lease, m_site.m_longestLease };
    const auto leaseLimit
        = [this, id] { return m_authority.m_isLeaseWithheld(id) ? TimePoint() : m_authority.m_leaseLimit(); };
    link = std::make_unique<WorkerLink>(
        m_context, settings, LinkAuthority { leaseLimit, m_authority.m_newestNumber }, m_callTiming, id, address);
    m_reportSchedule.add(id, bootNow());
}

void SchedulerTerm::closeLink(const WorkerId& id)
{
    m_links.erase(id);
    m_reportSchedule.remove(id);
}

void SchedulerTerm::execute(const jobs::StartOrder& order)
{
    WorkerLink* target = link(order.m_worker);
    if (target == nullptr)
        return m_scheduler->startAnswered(order.m_worker, order.m_run, jobs::StartOutcome::Refused, bootNow());
    const std::int64_t bornMs = m_scheduler->worker(order.m_worker)->m_description.m_bornMs;
    target->start(order,
        [this, worker = order.m_worker, run = order.m_run, bornMs, sentAt = bootNow()](
            const userplatform::StartAnswer& answer) {
            const bool isFromUnknownProcess = answer.m_outcome == jobs::StartOutcome::StartedInUnknownProcess;
            const bool isConfirmed = answer.m_outcome == jobs::StartOutcome::Started || isFromUnknownProcess;
            if (isConfirmed)
                m_log.write(LogEvent::RunStarted,
                    { { "worker", worker.value() }, { "job", run.m_task.m_job.value() },
                        { "step", std::uint64_t { run.m_task.m_index.m_step } },
                        { "task", std::uint64_t { run.m_task.m_index.m_task } }, { "run", std::uint64_t { run.m_run } },
                        { "term", m_settings.m_term }, { "process", bornMs }, { "restarted", isFromUnknownProcess },
                        { "answerMs", millisecondsOf(bootNow() - sentAt) } });
            else
                m_log.write(LogEvent::OrderNotObeyed,
                    { { "worker", worker.value() }, { "job", run.m_task.m_job.value() },
                        { "step", std::uint64_t { run.m_task.m_index.m_step } },
                        { "task", std::uint64_t { run.m_task.m_index.m_task } }, { "run", std::uint64_t { run.m_run } },
                        { "detail", answer.m_detail } });
            if (answer.m_outcome == jobs::StartOutcome::RefusedForTerm)
                return stepDown();
            m_scheduler->startAnswered(worker, run, answer.m_outcome, bootNow());
            if (answer.m_outcome != jobs::StartOutcome::Started)
                scheduleStep();
        });
    m_scheduler->leaseExtended(order.m_worker, target->leaseEnd());
}

void SchedulerTerm::execute(const jobs::StopOrder& order)
{
    WorkerLink* target = link(order.m_worker);
    if (target == nullptr)
        return;
    target->stop(order, [this, order, askedAt = bootNow()](bool confirmed) {
        m_scheduler->stopAnswered(order.m_worker, order.m_run, confirmed, askedAt, bootNow());
        scheduleStep();
    });
}

void SchedulerTerm::execute(const jobs::ReportOrder& order)
{
    WorkerLink* target = link(order.m_worker);
    if (target == nullptr)
        return;
    target->fetchReport(m_scheduler->storedEnd(order.m_worker),
        [this, worker = order.m_worker](const Result<jobs::WorkerReport>& result) {
            if (usesReports() && succeeded(result))
                m_scheduler->workerReported(worker, valueOf(result), bootNow());
            else if (usesReports() && errorOf(result).m_kind == ErrorKind::NotFound)
                m_scheduler->workerReplaced(worker, bootNow());
            scheduleStep();
        });
    m_scheduler->leaseExtended(order.m_worker, target->leaseEnd());
}

void SchedulerTerm::execute(const jobs::ThrottleOrder& order)
{
    if (WorkerLink* target = link(order.m_worker))
        target->throttle(order, [](bool) {});
}

void SchedulerTerm::execute(const jobs::AdviceRequest& question)
{
    m_adviceDispatcher.ask(question, [this, alive = m_isAlive, question](const Result<jobs::Advice>& result) {
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
    if (m_writer->isBusy() || !m_scheduler || m_hasSteppedDown)
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
            return stepDown();
        m_scheduler->stored(m_openBatch, std::exchange(m_rejectedJobs, {}));
        logEnded();
        for (const WorkerId& worker : m_reportSchedule.takeStored())
            awaitReport(worker);
        scheduleStep();
    };
    if (records.empty())
        return stored(true);
    m_writer->write(std::move(records), stored);
}

ProgressWriter::Records SchedulerTerm::progressSnapshot()
{
    const jobs::JobScheduler::Batch batch = m_scheduler->takeEverything(m_openBatch);
    m_openBatch = batch.m_number;
    m_rejectedJobs.clear();
    m_progressRecords.clear();
    const auto& unmatched = m_progressObserver->unmatched();
    m_log.write(LogEvent::ProgressMoves,
        { { "term", m_settings.m_term }, { "partition", std::uint64_t { m_writer->partition() } },
            { "jobs", std::uint64_t { batch.m_records.size() } },
            { "unlistedPartitions", std::uint64_t { unlistedPartitionCount() } },
            { "inheritedRecords", std::uint64_t { unmatched.size() } } });
    // A successor reads the new partition only. Jobs that the scheduler does not know have records in the job topic
    // too: those that this term has not read yet, and those whose records are being removed.
    ProgressWriter::Records records(unmatched.begin(), unmatched.end());
    for (const auto& [job, state] : m_recordRemoval.ended())
        addRecords(records, { job, { state, {}, {}, {}, {} }, std::nullopt, false });
    for (const jobs::ProgressRecord& record : batch.m_records)
        addRecords(records, record);
    return records;
}

void SchedulerTerm::addRecords(ProgressWriter::Records& records, const jobs::ProgressRecord& record)
{
    m_progressRecords.appendChanges(record.m_job, record.m_progress, records);
    if (record.m_record)
        records.emplace_back(runningJobPrefix + record.m_job.value(), jobs::encodeJobRecord(*record.m_record));
    else if (record.m_removesRecord)
        records.emplace_back(runningJobPrefix + record.m_job.value(), std::nullopt);
}

void SchedulerTerm::noteRejectedRecord(const std::string& key)
{
    const bool isRunningJob = key.front() == runningJobPrefix;
    const JobId job = isRunningJob ? JobId(key.substr(1)) : jobs::jobOfProgressKey(key);
    m_log.write(LogEvent::RecordRejected, { { "job", job.value() }, { "key", key }, { "term", m_settings.m_term } });
    m_rejectedJobs.insert(job);
}

void SchedulerTerm::logFailedAppend(const ProgressWriter::Records& records, const userplatform::AppendAnswer& answer)
{
    std::size_t bytes = 0;
    std::size_t largestBytes = 0;
    std::string largestKey;
    for (const auto& [key, value] : records) {
        const std::size_t size = key.size() + value.value_or("").size();
        bytes += size;
        if (size > largestBytes) {
            largestBytes = size;
            largestKey = key;
        }
    }
    m_log.write(LogEvent::ProgressAppendFailed,
        { { "term", m_settings.m_term }, { "partition", std::uint64_t { m_writer->partition() } },
            { "records", std::uint64_t { records.size() } }, { "bytes", std::uint64_t { bytes } },
            { "largestKey", largestKey }, { "largestBytes", std::uint64_t { largestBytes } },
            { "detail", answer.m_detail } });
}

void SchedulerTerm::logEnded()
{
    const TimePoint now = bootNow();
    for (const jobs::EndedJob& job : m_scheduler->takeEnded()) {
        const jobs::JobHistory& history = job.m_history;
        m_log.write(LogEvent::JobEnded,
            { { "job", job.m_job.value() }, { "state", jobs::nameOf(job.m_state) }, { "term", m_settings.m_term },
                { "tookMs", millisecondsOf(now - job.m_acceptedAt) },
                { "unstoredMs", millisecondsOf(now - job.m_closedAt) },
                { "objectiveMs", millisecondsOf(job.m_objective - job.m_acceptedAt) }, { "starts", history.m_starts },
                { "failed", history.m_failedRuns }, { "stalled", history.m_stalledRuns },
                { "lost", history.m_lostRuns }, { "questions", history.m_questions },
                { "waitMs", millisecondsOf(history.m_longestWait) },
                { "recordMs", millisecondsOf(history.m_longestRecord) },
                { "startMs", millisecondsOf(history.m_longestStart) },
                { "localityMs", millisecondsOf(history.m_longestLocalityWait) } });
    }
}

void SchedulerTerm::logRuns()
{
    for (const jobs::LostRun& lost : m_scheduler->takeLostRuns())
        m_log.write(LogEvent::RunLost,
            { { "worker", lost.m_worker.value() }, { "job", lost.m_run.m_task.m_job.value() },
                { "step", std::uint64_t { lost.m_run.m_task.m_index.m_step } },
                { "task", std::uint64_t { lost.m_run.m_task.m_index.m_task } },
                { "run", std::uint64_t { lost.m_run.m_run } }, { "reason", jobs::nameOf(lost.m_reason) },
                { "orderedMs", millisecondsOf(lost.m_at - lost.m_orderedAt) }, { "unanswered", lost.m_isUnanswered },
                { "leaseMs", millisecondsOf(lost.m_leaseEnd - lost.m_at) }, { "process", lost.m_bornMs },
                { "listedBy", lost.m_listedBornMs } });
    for (const jobs::UnexpectedRun& listed : m_scheduler->takeUnexpectedRuns()) {
        const Duration sinceLoss = listed.m_loss ? m_lastStepAt - listed.m_loss->m_at : Duration::zero();
        const Duration sinceOrder = listed.m_loss ? m_lastStepAt - listed.m_loss->m_orderedAt : Duration::zero();
        m_log.write(LogEvent::RunUnexpected,
            { { "worker", listed.m_worker.value() }, { "job", listed.m_run.m_task.m_job.value() },
                { "step", std::uint64_t { listed.m_run.m_task.m_index.m_step } },
                { "task", std::uint64_t { listed.m_run.m_task.m_index.m_task } },
                { "run", std::uint64_t { listed.m_run.m_run } }, { "otherRuns", std::uint64_t { listed.m_otherRuns } },
                { "lost", listed.m_loss ? jobs::nameOf(listed.m_loss->m_reason) : "not ordered in this term" },
                { "lostMs", millisecondsOf(sinceLoss) }, { "orderedMs", millisecondsOf(sinceOrder) },
                { "unanswered", listed.m_loss && listed.m_loss->m_isUnanswered },
                { "laterProcess", listed.m_loss && listed.m_loss->m_bornMs < listed.m_bornMs },
                { "process", listed.m_bornMs } });
    }
    for (const jobs::RunOfLaterProcess& begun : m_scheduler->takeRunsOfLaterProcesses())
        m_log.write(LogEvent::RunInLaterProcess,
            { { "worker", begun.m_worker.value() }, { "job", begun.m_run.m_task.m_job.value() },
                { "step", std::uint64_t { begun.m_run.m_task.m_index.m_step } },
                { "task", std::uint64_t { begun.m_run.m_task.m_index.m_task } },
                { "run", std::uint64_t { begun.m_run.m_run } }, { "orderedTo", begun.m_orderedBornMs },
                { "process", begun.m_bornMs }, { "answered", begun.m_wasAnswered } });
}

void SchedulerTerm::logCrashes()
{
    for (const jobs::CrashUnderRun& crash : m_scheduler->takeCrashes())
        m_log.write(LogEvent::CrashUnderRun,
            { { "worker", crash.m_worker.value() }, { "job", crash.m_run.m_task.m_job.value() },
                { "step", std::uint64_t { crash.m_run.m_task.m_index.m_step } },
                { "task", std::uint64_t { crash.m_run.m_task.m_index.m_task } },
                { "run", std::uint64_t { crash.m_run.m_run } }, { "process", crash.m_bornMs },
                { "crashes", std::uint64_t { crash.m_crashes } }, { "jobGivenUp", crash.m_isGivenUp } });
}

void SchedulerTerm::logQuarantines()
{
    for (const jobs::QuarantineChange& change : m_scheduler->takeQuarantineChanges()) {
        if (change.m_end > change.m_at)
            m_log.write(LogEvent::WorkerQuarantined,
                { { "worker", change.m_worker.value() }, { "forMs", millisecondsOf(change.m_end - change.m_at) } });
        else
            m_log.write(LogEvent::QuarantineWithdrawn, { { "worker", change.m_worker.value() } });
    }
}

void SchedulerTerm::logWorkers()
{
    for (const jobs::WorkerRestart& restart : m_scheduler->takeRestarts())
        m_log.write(LogEvent::WorkerRestarted,
            { { "worker", restart.m_worker.value() }, { "term", m_settings.m_term },
                { "silentMs", millisecondsOf(restart.m_at - restart.m_lastReportAt) },
                { "unanswered", restart.m_hasUnanswered },
                { "leaseMs", millisecondsOf(restart.m_lateLeaseEnd - restart.m_at) },
                { "earlierProcess", restart.m_earlierBornMs }, { "process", restart.m_bornMs } });
    for (const jobs::ExpiredPlace& place : m_scheduler->takeExpiredPlaces())
        m_log.write(LogEvent::InheritedRunsOver,
            { { "worker", place.m_worker.value() }, { "term", m_settings.m_term },
                { "leaseMs", millisecondsOf(place.m_at - place.m_leaseEnd) } });
    for (const jobs::SpeedModel::TypeChange& change : m_scheduler->takeSpeedChanges())
        m_log.write(LogEvent::MachineTypeSpeed,
            { { "service", change.m_service }, { "type", change.m_type }, { "factor", change.m_factor } });
}

void SchedulerTerm::logTeams()
{
    for (const jobs::TeamRefusalChange& change : m_scheduler->takeRefusalChanges()) {
        if (change.m_isRefused)
            m_log.write(LogEvent::TeamRefused,
                { { "team", change.m_team.value() }, { "term", m_settings.m_term },
                    { "untilMs", millisecondsOf(change.m_until - change.m_at) } });
        else
            m_log.write(LogEvent::TeamAdmitted, { { "team", change.m_team.value() }, { "term", m_settings.m_term } });
    }
}

void SchedulerTerm::logReusedIds()
{
    for (const jobs::ReusedId& reused : m_scheduler->takeReusedIds())
        m_log.write(LogEvent::JobIdReused,
            { { "job", reused.m_job.value() }, { "team", reused.m_team.value() },
                { "otherTeam", reused.m_otherTeam.value() }, { "term", m_settings.m_term } });
}

void SchedulerTerm::removeExpiredJobs(const std::vector<jobs::ExpiredJob>& jobs)
{
    for (const jobs::ExpiredJob& job : jobs)
        m_recordRemoval.begin(job);
    removeStoredJobs();
}

void SchedulerTerm::removeStoredJobs()
{
    for (const JobId& job : m_recordRemoval.takeFinished()) {
        m_removals.emplace_back(runningJobPrefix + job.value(), std::nullopt);
        m_progressRecords.appendRemoval(job, m_removals);
    }
    const std::optional<jobs::RecordRemoval::Batch> batch = m_recordRemoval.nextBatch(m_lastRemovalPartition);
    if (m_isRemoving || !batch)
        return;
    m_isRemoving = true;
    ProgressWriter::Records records;
    for (const JobId& job : batch->m_jobs) {
        records.emplace_back(job.value(), std::nullopt);
        records.emplace_back(cancellationKey(job), std::nullopt);
    }
    m_removalStore.append({ jobTopic, batch->m_partition }, records, {}, removalTimeout,
        [this, alive = m_isAlive, batch = *batch](const userplatform::AppendAnswer& answer) {
            if (!*alive)
                return;
            m_isRemoving = false;
            m_lastRemovalPartition = batch.m_partition;
            // Removals are idempotent; a failed one is repeated at the next check for expired jobs.
            if (answer.m_kind != userplatform::AppendAnswer::Kind::Appended)
                return;
            m_recordRemoval.removed(batch);
            removeStoredJobs();
        });
}

// Workers

void SchedulerTerm::superviseWorkers()
{
    const TimePoint now = bootNow();
    for (auto it = m_missingEntries.begin(); it != m_missingEntries.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        m_scheduler->workerDelisted(it->first, now);
        it = m_missingEntries.erase(it);
    }
    announceLeaseEnds(now);
    for (const WorkerId& worker : m_reportSchedule.due(now))
        awaitReport(worker);
    if (m_nextWaitLogAt <= now) {
        m_nextWaitLogAt = now + waitLogInterval;
        for (const jobs::JobScheduler::Wait& wait : m_scheduler->takeLongWaits(waitLogAge, waitLogLines, now))
            m_log.write(LogEvent::StepWaits,
                { { "job", wait.m_step.m_job.value() }, { "step", std::uint64_t { wait.m_step.m_step } },
                    { "reason", wait.m_reason } });
    }
    // A partition that is not listed may have records of expired jobs.
    if (m_nextExpiryAt <= now && unlistedPartitionCount() == 0) {
        m_nextExpiryAt = now + expiryInterval;
        removeExpiredJobs(m_scheduler->takeExpired(now));
    }
    scheduleStep();
    m_superviseTimer.expires_after(superviseInterval);
    m_superviseTimer.async_wait([this, alive = m_isAlive](boost::system::error_code error) {
        if (!error && *alive && !m_hasSteppedDown)
            superviseWorkers();
    });
}

void SchedulerTerm::announceLeaseEnds(TimePoint now)
{
    m_authority.m_announceLeaseEnds(m_scheduler->leaseEndsOfUnreachable(maxAnnouncedLeases, now));
    std::set<WorkerId> withheld;
    for (const auto& [id, worker] : m_scheduler->workers()) {
        if (m_authority.m_isLeaseWithheld(id))
            withheld.insert(id);
    }
    m_scheduler->setWithheldLeases(withheld, now);
}

void SchedulerTerm::awaitReport(const WorkerId& id)
{
    WorkerLink* target = link(id);
    if (target == nullptr || m_hasSteppedDown || m_isHandingOver)
        return;
    if (!m_authority.m_mayIssueOrders())
        return m_reportSchedule.ended(id, bootNow() + superviseInterval);
    if (!m_reportSchedule.beginRequest(id))
        return;
    target->awaitReport(m_scheduler->storedEnd(id),
        [this, id](const Result<jobs::WorkerReport>& result) { handleHoldResult(id, result); });
    m_scheduler->leaseExtended(id, target->leaseEnd());
}

void SchedulerTerm::handleHoldResult(const WorkerId& id, const Result<jobs::WorkerReport>& result)
{
    if (!usesReports())
        return;
    const TimePoint now = bootNow();
    m_reportSchedule.ended(id, now);
    if (!succeeded(result)) {
        if (errorOf(result).m_kind == ErrorKind::StaleEpoch)
            return stepDown();
        m_scheduler->reportFailed(id, now);
        if (errorOf(result).m_kind == ErrorKind::NotFound) {
            m_scheduler->workerReplaced(id, now);
            scheduleStep();
        }
        // A refused connection fails at once; a lost answer has taken long enough.
        if (errorOf(result).m_kind == ErrorKind::DeadlineExceededMayHaveRun)
            return awaitReport(id);
        return m_reportSchedule.ended(id, now + holdRetryInterval);
    }
    m_scheduler->workerReported(id, valueOf(result), now);
    scheduleStep();
    const WorkerLink* target = link(id);
    if (target != nullptr && !target->hasNumber())
        return m_reportSchedule.ended(id, now + holdRetryInterval);
    // A report request is answered at once while there are unacknowledged ends, so these are stored first.
    const jobs::Worker* worker = m_scheduler->worker(id);
    if (worker != nullptr && worker->m_storedEnd < worker->m_seenEnd)
        return m_reportSchedule.endedBeforeStore(id, now + maxStoreWait);
    awaitReport(id);
}

// End of the term

void SchedulerTerm::beginHandover()
{
    m_isHandingOver = true;
    scheduleStep();
}

bool SchedulerTerm::isHandedOver() const
{
    return m_isHandingOver && !m_writer->isBusy() && (!m_scheduler || !m_scheduler->hasChanges());
}

void SchedulerTerm::stepDown()
{
    if (std::exchange(m_hasSteppedDown, true))
        return;
    m_log.write(LogEvent::SchedulerCeased, { { "term", m_settings.m_term } });
    boost::asio::post(m_context, [this, alive = m_isAlive] {
        if (*alive)
            m_authority.m_steppedDown();
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
        [](const auto& observer) { return bootNow() - observer->m_caughtUpAt <= maxViewAge; });
    if (!isFresh)
        return Error { ErrorKind::NotReady, "the stored jobs were not read for a while" };
    return Error { ErrorKind::NotFound, "no such job" };
}

TeamId SchedulerTerm::teamOf(const JobId& job) const
{
    return m_scheduler && m_scheduler->knows(job) ? m_scheduler->teamOf(job) : TeamId();
}

std::vector<jobs::TeamRefusal> SchedulerTerm::refusedTeams() const
{
    return m_scheduler ? m_scheduler->refusedTeams(bootNow()) : std::vector<jobs::TeamRefusal>();
}

void SchedulerTerm::setTeams(std::vector<jobs::TeamPolicy> teams)
{
    m_teams = std::move(teams);
    if (!m_scheduler)
        return;
    m_scheduler->setTeams(*m_teams, bootNow());
    scheduleStep();
}

Result<std::uint32_t> SchedulerTerm::pending(const std::string& queue) const
{
    if (!m_scheduler)
        return Error { ErrorKind::NotReady, "the scheduler reads the stored jobs" };
    return m_scheduler->pending(queue);
}

} // namespace sapphiredale::controller
