// Life of an apply.

#include "configuration/ApplyTracker.h"

#include "configuration/ClusterFileWriter.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::configuration {

namespace {

    ApplyRefused refused(ErrorKind kind, std::string detail)
    {
        ApplyRefused refusal;
        refusal.m_kind = kind;
        refusal.m_detail = std::move(detail);
        return refusal;
    }

    ApplyRefused refusedFile(std::vector<FileError> errors)
    {
        ApplyRefused refusal
            = refused(ErrorKind::ConfigurationInvalid, "The file has " + std::to_string(errors.size()) + " error(s)");
        refusal.m_errors = std::move(errors);
        return refusal;
    }

    ApplyRefused conflict(std::uint64_t base, const ConfigurationFold& fold)
    {
        ApplyRefused refusal = refused(ErrorKind::VersionConflict,
            "The file was made from version " + std::to_string(base) + ", in force is version "
                + std::to_string(fold.version()));
        refusal.m_changes = fold.historySince(base);
        refusal.m_inForce = fold.version();
        return refusal;
    }

    /// Whether another record than this one became the version after its base, so that it can never be accepted.
    bool isOvertaken(const ApplyRecord& record, const ConfigurationFold& fold)
    {
        if (fold.version() <= record.m_base)
            return false;
        return std::any_of(fold.history().begin(), fold.history().end(), [&](const HistoryEntry& entry) {
            return entry.m_version == record.m_base + 1 && entry.m_recordId != record.m_id;
        });
    }

} // namespace

ApplyTracker::ApplyTracker(const ApplyTrackerSettings& settings, LogFollower& follower, ServiceCounters& counters)
    : m_settings(settings)
    , m_follower(follower)
    , m_counters(counters)
{
}

void ApplyTracker::submit(const ApplyRequest& request, const ConfigurationFold& fold, TimePoint now, WallTime wallNow,
    std::vector<ConfigurationAction>& actions)
{
    const auto refuse = [&](ApplyRefused refusal) { answer(request.m_token, std::move(refusal), actions); };
    if (m_pending.size() >= m_settings.m_maxPending)
        return refuse(refused(ErrorKind::Overloaded, "Too many applies are undecided on this daemon"));
    if (!request.m_base) {
        return refuse(refused(ErrorKind::PreconditionRequired,
            "If-Match must name the version that the file was made from, for example \""
                + std::to_string(fold.version()) + '"'));
    }
    if (request.m_author.empty() || request.m_author.size() > maxAuthorBytes)
        return refuse(refused(ErrorKind::InvalidRequest,
            "The author must be given with 1 to " + std::to_string(maxAuthorBytes) + " bytes"));
    if (!fold.isAnchored())
        return refuse(refused(ErrorKind::NotReady, "This daemon does not know the version in force"));

    ParseResult parsed = parseClusterFile(request.m_text);
    if (auto* errors = std::get_if<std::vector<FileError>>(&parsed))
        return refuse(refusedFile(std::move(*errors)));
    if (*request.m_base < fold.version())
        return refuse(conflict(*request.m_base, fold));

    Pending pending { request.m_token,
        { RecordId(m_settings.m_recordPrefix + std::to_string(m_nextRecord++)), *request.m_base, request.m_author,
            wallNow, writeClusterFile(std::get<ClusterFile>(parsed)) },
        {}, Phase::AppendDue, now + m_settings.m_applyTimeout, now, 0, false,
        Backoff(m_settings.m_retryMin, m_settings.m_retryMax, m_settings.m_seed + m_nextRecord) };
    if (pending.m_record.m_content.size() > maxContentBytes) {
        return refuse(refusedFile(
            { { "", "the canonical file has " + std::to_string(pending.m_record.m_content.size()) + " bytes",
                "at most " + std::to_string(maxContentBytes) + " bytes; declare workers as workerGroups" } }));
    }
    // A record that readers cannot decode, for example with an author that is not UTF-8, must not enter the log.
    pending.m_data = encodeRecord(pending.m_record);
    const auto decoded = decodeRecord(pending.m_data);
    const auto* record = std::get_if<ConfigurationRecord>(&decoded);
    if (!record || *record != ConfigurationRecord(pending.m_record))
        return refuse(refused(ErrorKind::InvalidRequest, "The author is not valid UTF-8 text"));

    if (*request.m_base > fold.version()) {
        pending.m_phase = Phase::CheckingBase;
        pending.m_ticket = m_follower.requestEnd();
    }
    m_pending.push_back(std::move(pending));
}

ApplyTracker::Pending* ApplyTracker::find(const RecordId& id)
{
    const auto found = std::find_if(
        m_pending.begin(), m_pending.end(), [&](const Pending& pending) { return pending.m_record.m_id == id; });
    return found == m_pending.end() ? nullptr : &*found;
}

void ApplyTracker::appendSucceeded(const AppendSucceeded& result, TimePoint now)
{
    if (Pending* pending = find(result.m_record)) {
        pending->m_phase = Phase::Appended;
        m_follower.hurry(now);
    }
}

void ApplyTracker::appendFailed(const AppendFailed& result, TimePoint now)
{
    Pending* pending = find(result.m_record);
    if (!pending || pending->m_phase != Phase::Appending)
        return;
    if (!result.m_certainlyNotAppended)
        return unanswered(*pending);
    m_counters.count(ServiceReason::RetryAppendNotAppended);
    pending->m_phase = Phase::AppendDue;
    pending->m_wakeAt = pending->m_backoff.next(now);
    // The open poll may notice an outage only at the end of its wait; a read shows it now.
    m_follower.requestEnd();
}

void ApplyTracker::unanswered(Pending& pending)
{
    m_counters.count(ServiceReason::RetryAppendUnanswered);
    pending.m_mayBeInLog = true;
    pending.m_phase = Phase::ReadingBack;
    pending.m_ticket = m_follower.requestEnd();
}

void ApplyTracker::advance(const ConfigurationFold& fold, TimePoint now, std::vector<ConfigurationAction>& actions)
{
    std::vector<Pending> open;
    open.reserve(m_pending.size());
    for (Pending& pending : m_pending) {
        std::optional<Answer> decided = answerFor(pending, fold, now);
        if (!decided)
            decided = advancePhase(pending, fold, now, actions);
        if (decided)
            answer(pending.m_token, std::move(*decided), actions);
        else
            open.push_back(std::move(pending));
    }
    m_pending = std::move(open);
}

std::optional<ApplyTracker::Answer> ApplyTracker::answerFor(
    Pending& pending, const ConfigurationFold& fold, TimePoint now)
{
    const RecordOutcome outcome = fold.outcomeOf(pending.m_record.m_id);
    if (const auto* accepted = std::get_if<Accepted>(&outcome))
        return ApplyAccepted { accepted->m_version, pending.m_record.m_id };
    if (std::holds_alternative<RefusedStaleBase>(outcome) || isOvertaken(pending.m_record, fold))
        return conflict(pending.m_record.m_base, fold);
    if (const auto* invalid = std::get_if<RefusedInvalid>(&outcome))
        return refusedFile(invalid->m_errors);
    if (const auto* unreadable = std::get_if<RefusedUnreadable>(&outcome))
        return refused(ErrorKind::Internal, unreadable->m_error.m_detail);
    if (now < pending.m_deadline)
        return std::nullopt;

    const bool mayBeInLog
        = pending.m_mayBeInLog || pending.m_phase == Phase::Appending || pending.m_phase == Phase::Appended;
    if (!mayBeInLog)
        return refused(ErrorKind::LogUnavailable, "The log took no record; the file was not applied");
    return ApplyUndecided { pending.m_record.m_id,
        "The log did not confirm the record in time; ask for the outcome by its identifier" };
}

std::optional<ApplyTracker::Answer> ApplyTracker::advancePhase(
    Pending& pending, const ConfigurationFold& fold, TimePoint now, std::vector<ConfigurationAction>& actions)
{
    if (pending.m_phase == Phase::CheckingBase) {
        const LogFollower::TicketState state = m_follower.stateOf(pending.m_ticket);
        if (state == LogFollower::TicketState::Failed)
            return refused(
                ErrorKind::LogUnavailable, "The base is newer than the version known here, and the log cannot be read");
        if (state == LogFollower::TicketState::Waiting)
            return std::nullopt;
        if (pending.m_record.m_base != fold.version())
            return conflict(pending.m_record.m_base, fold);
        pending.m_phase = Phase::AppendDue;
        pending.m_wakeAt = now;
    }
    if (pending.m_phase == Phase::ReadingBack) {
        const LogFollower::TicketState state = m_follower.stateOf(pending.m_ticket);
        if (state == LogFollower::TicketState::Waiting)
            return std::nullopt;
        // Not found yet. The lost append may still arrive, therefore the same record is sent again.
        pending.m_phase = Phase::AppendDue;
        pending.m_wakeAt = pending.m_backoff.next(now);
    }
    if (pending.m_phase == Phase::Appending && now >= pending.m_wakeAt)
        unanswered(pending);
    if (pending.m_phase == Phase::AppendDue && now >= pending.m_wakeAt) {
        pending.m_phase = Phase::Appending;
        pending.m_wakeAt = now + m_settings.m_appendTimeout;
        actions.emplace_back(AppendRecord { pending.m_record.m_id, pending.m_data, pending.m_wakeAt });
    }
    return std::nullopt;
}

void ApplyTracker::answer(RequestToken token, Answer result, std::vector<ConfigurationAction>& actions)
{
    if (const auto* refusal = std::get_if<ApplyRefused>(&result))
        m_counters.countRefusal(refusal->m_kind);
    else
        m_counters.count(std::holds_alternative<ApplyAccepted>(result) ? ServiceReason::ApplyAccepted
                                                                       : ServiceReason::ApplyUndecided);
    actions.emplace_back(AnswerApply { token, std::move(result) });
}

std::optional<TimePoint> ApplyTracker::nextWake() const
{
    std::optional<TimePoint> wake;
    for (const Pending& pending : m_pending) {
        TimePoint at = pending.m_deadline;
        if (pending.m_phase == Phase::AppendDue || pending.m_phase == Phase::Appending)
            at = std::min(at, pending.m_wakeAt);
        wake = wake ? std::min(*wake, at) : at;
    }
    return wake;
}

} // namespace sapphiredale::configuration
