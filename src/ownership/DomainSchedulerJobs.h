// Implementation of BasicDomainScheduler: submissions, cancellations and records of the stream. Included by
// DomainSchedulerImpl.h only.
#pragma once

#include "ownership/DomainScheduler.h"

#include <algorithm>

namespace sapphiredale::ownership {

template <CellType Cell>
void BasicDomainScheduler<Cell>::endJob(const JobId& job, JobOutcome outcome, const std::string& detail, TimePoint now)
{
    if (m_memoryJobs.erase(job) > 0) {
        m_ledger.recordEnded({ job, outcome, detail });
        return;
    }
    if (!m_ledger.openJob(job) || !m_endingJobs.insert(job).second)
        return;
    append(JobEnded { job, outcome, detail }, now);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::appendFinished(const RecordId& id, AppendOutcome outcome, TimePoint now)
{
    const std::optional<StreamRecord> record = m_appends.handleResult(id, outcome, now);
    if (record) {
        handleConfirmed(*record, now);
        return;
    }
    if (outcome != AppendOutcome::Failed || m_appends.mayBeAppended(id))
        return;
    const auto submission = std::find_if(
        m_submissions.begin(), m_submissions.end(), [&](const auto& entry) { return entry.second.m_record == id; });
    if (submission != m_submissions.end()) {
        failSubmission(submission->second, ErrorKind::LogUnavailable, now);
        m_submissions.erase(submission);
    }
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::recordRead(
    const FailureDomainId& stream, const StreamRecord& record, TimePoint writtenAt, TimePoint now)
{
    applyHomeRecord(stream, record, now);
    const std::optional<StreamRecord> own = m_appends.handleReadBack(record.m_id);
    if (own)
        handleConfirmed(*own, now);
    if (stream != domain())
        return;
    if (!m_ledger.apply(record, writtenAt)) {
        m_counters.add(CountedReason::RecordRepeated, own ? 0 : 1);
        return;
    }
    if (inTerm())
        std::visit([&](const auto& body) { onRecorded(body, now); }, record.m_body);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::streamCaughtUp(const FailureDomainId& stream, TimePoint queriedAt, TimePoint)
{
    TimePoint& readAt = m_streamReadAt.try_emplace(stream, queriedAt).first->second;
    readAt = std::max(readAt, queriedAt);
    m_holdsChanged = true;
}

/// Applies an own record as soon as the log confirms it; reading it from the stream later has no further effect.
template <CellType Cell> void BasicDomainScheduler<Cell>::handleConfirmed(const StreamRecord& record, TimePoint now)
{
    if (record.m_id == m_presenceRecord) {
        m_presenceRecord = {};
        updateContact(m_presenceEmittedAt, now);
        if (!m_presentSince)
            m_presentSince = now;
        return;
    }
    // Homes follow log order only, which is known when the record is read.
    const bool isHome
        = std::holds_alternative<HomeReleased>(record.m_body) || std::holds_alternative<HomeTaken>(record.m_body);
    if (!isHome && m_ledger.apply(record, now) && inTerm())
        std::visit([&](const auto& body) { onRecorded(body, now); }, record.m_body);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::onRecorded(const JobAccepted& accepted, TimePoint now)
{
    const JobId& job = accepted.m_request.m_job;
    const auto submission = m_submissions.find(job);
    if (submission == m_submissions.end()) {
        m_heldJobs.insert(job);
        m_holdsChanged = true;
        return;
    }
    const Submission accepting = submission->second;
    m_submissions.erase(submission);
    const Result<Unit> entered = submitToCell(*m_ledger.openJob(job), now);
    if (!succeeded(entered)) {
        m_counters.add(CountedReason::SubmissionRefused);
        endJob(job, JobOutcome::Failed, errorOf(entered).m_detail, now);
    }
    reply(accepting.m_number, job, entered, true);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::onRecorded(const JobEnded& ended, TimePoint now)
{
    const JobId& job = ended.m_job;
    if (!m_endingJobs.erase(job) && m_jobsInCell.contains(job))
        m_cell.cancelJob(job, now);
    m_jobsInCell.erase(job);
    m_heldJobs.erase(job);
    stopTasksOf(job, now);
    for (const Cancellation& cancellation : m_cancellations) {
        if (cancellation.m_job == job)
            reply(cancellation.m_number, job, Unit {}, true);
    }
    std::erase_if(m_cancellations, [&](const Cancellation& cancellation) { return cancellation.m_job == job; });
}

template <CellType Cell> void BasicDomainScheduler<Cell>::onRecorded(const TaskEnded& ended, TimePoint now)
{
    const TaskAttempt attempt { ended.m_task, ended.m_attempt };
    const auto waiting = m_endsInAppend.find(attempt);
    if (waiting == m_endsInAppend.end())
        return;
    for (const WorkerId& worker : waiting->second) {
        m_workers.acknowledge(worker, attempt, now);
        m_lease.renewSoon(worker, now);
    }
    m_endsInAppend.erase(waiting);
}

template <CellType Cell>
std::optional<Error> BasicDomainScheduler<Cell>::submissionError(
    const placement::JobRequest& request, TimePoint now) const
{
    if (m_phase == Phase::Releasing || m_phase == Phase::Released)
        return Error { ErrorKind::ShuttingDown, "the domain scheduler hands over" };
    if (!isScheduler(now))
        return Error { ErrorKind::NotScheduler, "this daemon is not the scheduler of " + domain().value() };
    if (homeOfJob(request.m_job) != domain() || request.m_taskCount == 0)
        return Error { ErrorKind::InvalidRequest, "the job names another home domain or no tasks" };
    const WorkloadSpec* workload = findWorkload(request.m_workload);
    const ClassPolicy* policy = classOf(workload);
    if (!policy || policy->m_kind == ClassKind::Service)
        return Error { ErrorKind::UnknownWorkload, "no batch or group workload " + request.m_workload.value() };
    if (m_submissions.contains(request.m_job))
        return Error { ErrorKind::OutcomeUnknown, "an earlier submission of the job is being recorded" };
    if (m_submissions.size() >= m_settings.m_maxPendingSubmissions)
        return Error { ErrorKind::Overloaded, "too many submissions wait for the log" };
    return std::nullopt;
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::submitJob(SubmissionNumber number, const placement::JobRequest& request, TimePoint now)
{
    if (const std::optional<Error> error = submissionError(request, now)) {
        m_counters.add(error->m_kind == ErrorKind::NotScheduler ? CountedReason::SubmissionNotScheduler
                                                                : CountedReason::SubmissionRefused);
        reply(number, request.m_job, *error, false);
        return;
    }
    const bool recorded = m_ledger.openJob(request.m_job) || m_ledger.endedJob(request.m_job);
    if (recorded || m_memoryJobs.contains(request.m_job)) {
        m_counters.add(CountedReason::SubmissionRepeated);
        reply(number, request.m_job, Unit {}, recorded);
        return;
    }
    if (classOf(findWorkload(request.m_workload))->m_durability == Durability::Memory) {
        submitMemoryJob(number, request, now);
        return;
    }
    Submission submission { number, request, {}, now + m_settings.m_submissionTimeout };
    submission.m_record = m_appends.add(domain(), JobAccepted { request }, now);
    m_submissionOrder.emplace_back(submission.m_deadline, request.m_job);
    m_submissions.emplace(request.m_job, submission);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::submitMemoryJob(
    SubmissionNumber number, const placement::JobRequest& request, TimePoint now)
{
    const Result<Unit> entered = m_cell.submitJob(request, now);
    if (succeeded(entered))
        m_memoryJobs.emplace(request.m_job, request);
    else
        m_counters.add(CountedReason::SubmissionRefused);
    reply(number, request.m_job, entered, false);
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::cancelJob(SubmissionNumber number, const JobId& job, TimePoint now)
{
    if (!isScheduler(now)) {
        m_counters.add(CountedReason::SubmissionNotScheduler);
        reply(number, job, Error { ErrorKind::NotScheduler, "this daemon is not the scheduler" }, false);
    } else if (m_ledger.endedJob(job)) {
        reply(number, job, Unit {}, true);
    } else if (m_submissions.contains(job)) {
        reply(number, job, Error { ErrorKind::OutcomeUnknown, "the job is being recorded" }, false);
    } else if (m_memoryJobs.contains(job)) {
        m_cell.cancelJob(job, now);
        endJob(job, JobOutcome::Cancelled, "cancelled by the caller", now);
        reply(number, job, Unit {}, false);
    } else if (m_ledger.openJob(job)) {
        m_cancellations.push_back({ number, job, now + m_settings.m_submissionTimeout });
        if (m_jobsInCell.contains(job))
            m_cell.cancelJob(job, now);
        else
            stopTasksOf(job, now);
        endJob(job, JobOutcome::Cancelled, "cancelled by the caller", now);
    } else {
        reply(number, job, Error { ErrorKind::NotFound, "no such job in " + domain().value() }, false);
    }
}

template <CellType Cell> void BasicDomainScheduler<Cell>::expireSubmissions(TimePoint now)
{
    while (!m_submissionOrder.empty() && m_submissionOrder.front().first <= now) {
        const auto submission = m_submissions.find(m_submissionOrder.front().second);
        if (submission != m_submissions.end() && submission->second.m_deadline <= now) {
            failSubmission(submission->second, ErrorKind::LogUnavailable, now);
            m_submissions.erase(submission);
        }
        m_submissionOrder.pop_front();
    }
    std::erase_if(m_cancellations, [&](const Cancellation& cancellation) {
        if (cancellation.m_deadline > now)
            return false;
        m_counters.add(CountedReason::SubmissionOutcomeUnknown);
        reply(cancellation.m_number, cancellation.m_job,
            Error { ErrorKind::OutcomeUnknown, "the cancellation is not recorded yet" }, false);
        return true;
    });
}

template <CellType Cell>
void BasicDomainScheduler<Cell>::failSubmission(const Submission& submission, ErrorKind ifNotAppended, TimePoint)
{
    // "Not run" is true only if no copy of the record can be in the stream or on its way there.
    const bool mayBeAppended = m_appends.mayBeAppended(submission.m_record);
    m_appends.withdraw(submission.m_record);
    const ErrorKind kind = mayBeAppended ? ErrorKind::OutcomeUnknown : ifNotAppended;
    m_counters.add(mayBeAppended ? CountedReason::SubmissionOutcomeUnknown : CountedReason::SubmissionLogUnavailable);
    reply(submission.m_number, submission.m_request.m_job, Error { kind, "the log did not confirm the job" }, false);
}

template <CellType Cell> void BasicDomainScheduler<Cell>::rewriteOldJobs(TimePoint now)
{
    if (now < m_nextRewriteCheck)
        return;
    m_nextRewriteCheck = now + std::chrono::minutes(1);
    std::vector<JobId> old;
    for (const auto& [job, open] : m_ledger.openJobs()) {
        if (open.m_recordedAt + m_settings.m_rewriteAfter <= now && !m_endingJobs.contains(job))
            old.push_back(job);
    }
    for (const JobId& job : old) {
        const OpenJob* open = m_ledger.openJob(job);
        append(JobAccepted { open->m_request }, now);
        for (const auto& [task, end] : open->m_ends)
            append(TaskEnded { end }, now);
        m_ledger.markRewritten(job, now);
    }
}

} // namespace sapphiredale::ownership
