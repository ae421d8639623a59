// Claims of non-repeatable requests.

#include "daemon/ClaimDriver.h"

#include "model/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::daemon {

using observability::MetricName;
using Kind = routing::ClaimVerdict::Kind;

namespace {

    /// Longest time from the append of a claim until it is read back.
    constexpr Duration claimTimeout = std::chrono::seconds(5);
    /// A call to the home domain waits longer than the home does, so that its verdict is not lost.
    constexpr Duration callTimeout = std::chrono::seconds(6);
    constexpr std::size_t mostAbandoned = 10000;

    std::string_view nameOf(Kind kind)
    {
        constexpr std::string_view names[]
            = { "unread", "won", "replay", "may-have-run", "mismatch", "expired", "full" };
        return names[static_cast<std::size_t>(kind)];
    }

    Error errorFor(Kind kind)
    {
        switch (kind) {
        case Kind::MayHaveRun:
            return { ErrorKind::IdempotencyMayHaveRun, "the key was claimed before and no answer is recorded" };
        case Kind::Mismatch:
            return { ErrorKind::IdempotencyMismatch, "the key belongs to another request" };
        case Kind::Expired:
            return { ErrorKind::DeadlineExceeded, "the deadline has passed or lies too far ahead" };
        case Kind::Full:
            return { ErrorKind::Overloaded, "too many keys are remembered" };
        default:
            return { ErrorKind::LogUnavailable, "the claim could not be recorded" };
        }
    }

} // namespace

ClaimDriver::ClaimDriver(Runtime& runtime, const Settings& settings, std::uint64_t seed, PeerLink& peers,
    BatchAppender& appender, observability::MetricsRegistry& metrics, std::function<void()> requestEnd)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_seed(seed)
    , m_peers(peers)
    , m_appender(appender)
    , m_metrics(metrics)
    , m_requestEnd(std::move(requestEnd))
    , m_table(routing::ClaimTableSettings {})
    , m_alarm(runtime, [this] { expire(); })
{
}

void ClaimDriver::configure(const configuration::FileInForce& file)
{
    const std::lock_guard lock(m_mutex);
    m_domains.clear();
    // A lost domain keeps its keys: moving them would let a key that was claimed there run again.
    for (const FailureDomainSpec& domain : file.m_file.m_failureDomains)
        m_domains.push_back(domain.m_name);
}

void ClaimDriver::recordRead(const platform::LogRecord& record)
{
    const auto decoded = routing::decodeClaimRecord(record.m_data);
    std::vector<std::pair<VerdictHandler, routing::ClaimVerdict>> decided;
    std::vector<std::pair<RecordId, std::string>> freed;
    {
        const std::lock_guard lock(m_mutex);
        if (!succeeded(decoded) || !valueOf(decoded)) {
            m_table.advance(record.m_offset, record.m_time);
            return;
        }
        m_table.apply(record.m_offset, record.m_time, *valueOf(decoded));
        const auto* claim = std::get_if<routing::ClaimRecord>(&*valueOf(decoded));
        if (!claim)
            return;
        const routing::ClaimVerdict verdict = m_table.verdict(claim->m_id, claim->m_key);
        auto node = m_pending.extract(claim->m_id);
        if (!node.empty())
            decided.emplace_back(std::move(node.mapped().m_handler), verdict);
        else if (m_abandoned.erase(claim->m_id) > 0 && verdict.m_kind == Kind::Won)
            freed.emplace_back(claim->m_id, claim->m_key);
    }
    for (const auto& [handler, verdict] : decided) {
        m_metrics.counter(MetricName::ClaimsTotal, { nameOf(verdict.m_kind) }).add();
        handler(verdict);
    }
    for (const auto& [claim, key] : freed) {
        routing::OutcomeRecord outcome;
        outcome.m_claim = claim;
        outcome.m_key = key;
        outcome.m_notRun = true;
        append(outcome);
    }
}

void ClaimDriver::claim(const forwarding::ClaimRequest& request, const forwarding::ClaimHandler& handler)
{
    const std::optional<FailureDomainId> home = homeOf(request.m_key);
    if (!home) {
        forwarding::ClaimAnswer refused;
        refused.m_error = { ErrorKind::NotReady, "no file is in force" };
        m_runtime.post([handler, refused] { handler(refused); });
        return;
    }
    const routing::ClaimRecord record { newRecordId(), request.m_key, request.m_fingerprint, request.m_deadline };
    if (*home != m_settings.m_failureDomain) {
        claimRemotely(*home, record, handler);
        return;
    }
    claimHere(record, [this, id = record.m_id, handler](const Result<routing::ClaimVerdict>& verdict) {
        answer(id, verdict, handler);
    });
}

std::optional<FailureDomainId> ClaimDriver::homeOf(const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const FailureDomainId* home = rendezvousChoice<FailureDomainId>(key, m_domains);
    return home ? std::optional(*home) : std::nullopt;
}

void ClaimDriver::claimHere(const routing::ClaimRecord& record, VerdictHandler handler)
{
    {
        const std::lock_guard lock(m_mutex);
        m_pending.emplace(record.m_id, Pending { record.m_key, now() + claimTimeout, std::move(handler) });
        m_alarm.set(m_pending.size() == 1 ? now() + claimTimeout : now() + claimTimeout / 4);
    }
    m_appender.append(routing::encodeClaimRecord(record),
        [this, id = record.m_id](const Result<std::uint64_t>& result) { appended(id, result); });
}

void ClaimDriver::appended(const RecordId& id, const Result<std::uint64_t>& result)
{
    if (succeeded(result)) {
        m_requestEnd();
        return;
    }
    // A lost answer leaves the claim pending: it is read back, or given up at its deadline.
    if (!platform::definitelyNotRun(errorOf(result)))
        return;
    VerdictHandler handler;
    {
        const std::lock_guard lock(m_mutex);
        auto node = m_pending.extract(id);
        if (!node.empty())
            handler = std::move(node.mapped().m_handler);
    }
    if (handler)
        handler(Error { ErrorKind::LogUnavailable, "the log did not take the claim" });
}

void ClaimDriver::expire()
{
    std::vector<VerdictHandler> expired;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint instant = now();
        std::optional<TimePoint> next;
        for (auto it = m_pending.begin(); it != m_pending.end();) {
            if (it->second.m_deadline <= instant) {
                expired.push_back(std::move(it->second.m_handler));
                if (m_abandoned.size() < mostAbandoned)
                    m_abandoned.emplace(it->first, it->second.m_key);
                it = m_pending.erase(it);
            } else {
                next = std::min(next.value_or(it->second.m_deadline), it->second.m_deadline);
                ++it;
            }
        }
        if (next)
            m_alarm.set(*next);
    }
    for (const VerdictHandler& handler : expired)
        handler(Error { ErrorKind::LogUnavailable, "the claim could not be read back in time" });
}

void ClaimDriver::claimRemotely(
    const FailureDomainId& home, const routing::ClaimRecord& record, const forwarding::ClaimHandler& handler)
{
    const std::vector<DaemonId> daemons
        = m_peers.withMembership([&](const ownership::Membership& membership) { return membership.liveDaemons(home); });
    forwarding::ClaimAnswer refused;
    refused.m_claim = record.m_id;
    if (daemons.empty()) {
        refused.m_error = { ErrorKind::DomainUnreachable, "no daemon of " + home.value() + " can be reached" };
        m_runtime.post([handler, refused] { handler(refused); });
        return;
    }
    const DaemonId& daemon = *rendezvousChoice<DaemonId>(record.m_key, daemons);
    const peer::ClaimRequest call { record.m_key, record.m_id, record.m_deadline, record.m_fingerprint };
    m_peers.call(daemon, call, callTimeout, [refused, handler](const Result<peer::Payload>& result) mutable {
        if (!succeeded(result)) {
            // The request was not forwarded by anyone, whatever became of the claim.
            refused.m_error = { ErrorKind::DomainUnreachable, errorOf(result).m_detail };
            handler(refused);
            return;
        }
        const auto& reply = std::get<peer::ClaimReply>(valueOf(result));
        forwarding::ClaimAnswer answer = refused;
        answer.m_error = reply.m_error.value_or(Error { ErrorKind::LogUnavailable, "the claim was refused" });
        if (reply.m_verdict == peer::ClaimVerdict::Won)
            answer.m_kind = forwarding::ClaimAnswer::Kind::Won;
        if (reply.m_verdict == peer::ClaimVerdict::MayHaveRun)
            answer.m_error = errorFor(Kind::MayHaveRun);
        if (reply.m_verdict == peer::ClaimVerdict::Recorded && reply.m_outcome) {
            answer.m_kind = forwarding::ClaimAnswer::Kind::Replay;
            answer.m_status = reply.m_outcome->m_httpStatus;
            answer.m_contentType = reply.m_outcome->m_contentType;
            answer.m_body = reply.m_outcome->m_body;
        }
        handler(answer);
    });
}

void ClaimDriver::answer(
    const RecordId& claim, const Result<routing::ClaimVerdict>& verdict, const forwarding::ClaimHandler& handler)
{
    forwarding::ClaimAnswer answer;
    answer.m_claim = claim;
    if (!succeeded(verdict)) {
        answer.m_error = errorOf(verdict);
    } else if (valueOf(verdict).m_kind == Kind::Won) {
        answer.m_kind = forwarding::ClaimAnswer::Kind::Won;
    } else if (valueOf(verdict).m_kind == Kind::Replay && valueOf(verdict).m_outcome) {
        const routing::OutcomeRecord& outcome = *valueOf(verdict).m_outcome;
        answer.m_kind = forwarding::ClaimAnswer::Kind::Replay;
        answer.m_status = outcome.m_status;
        answer.m_contentType = outcome.m_contentType;
        answer.m_body = outcome.m_body;
    } else {
        answer.m_error = errorFor(valueOf(verdict).m_kind);
    }
    handler(answer);
}

void ClaimDriver::claimCalled(const peer::Envelope& call)
{
    const auto& request = std::get<peer::ClaimRequest>(call.m_payload);
    const routing::ClaimRecord record { request.m_claim, request.m_key, request.m_requestHash, request.m_deadline };
    claimHere(record, [this, call, id = record.m_id](const Result<routing::ClaimVerdict>& verdict) {
        answer(id, verdict, [&](const forwarding::ClaimAnswer& answer) {
            peer::ClaimReply reply;
            reply.m_claim = id;
            if (answer.m_kind == forwarding::ClaimAnswer::Kind::Won)
                reply.m_verdict = peer::ClaimVerdict::Won;
            else if (answer.m_kind == forwarding::ClaimAnswer::Kind::Replay) {
                reply.m_verdict = peer::ClaimVerdict::Recorded;
                reply.m_outcome = { answer.m_status, answer.m_contentType, answer.m_body };
            } else if (answer.m_error.m_kind == ErrorKind::IdempotencyMayHaveRun)
                reply.m_verdict = peer::ClaimVerdict::MayHaveRun;
            else
                reply.m_error = answer.m_error;
            m_peers.reply(call, reply);
        });
    });
}

void ClaimDriver::recordOutcome(const forwarding::ClaimOutcome& outcome)
{
    const std::optional<FailureDomainId> home = homeOf(outcome.m_key);
    if (home && *home != m_settings.m_failureDomain) {
        const std::vector<DaemonId> daemons = m_peers.withMembership(
            [&](const ownership::Membership& membership) { return membership.liveDaemons(*home); });
        const peer::ClaimOutcome message { outcome.m_key, outcome.m_claim,
            { outcome.m_status, outcome.m_contentType, outcome.m_body }, outcome.m_notRun, !outcome.m_complete };
        if (!daemons.empty())
            m_peers.notify(*rendezvousChoice<DaemonId>(outcome.m_key, daemons), message);
        return;
    }
    routing::OutcomeRecord record;
    record.m_claim = outcome.m_claim;
    record.m_key = outcome.m_key;
    record.m_notRun = outcome.m_notRun;
    record.m_status = outcome.m_status;
    record.m_contentType = outcome.m_contentType;
    record.m_body = outcome.m_body;
    record.m_complete = outcome.m_complete;
    append(record);
}

void ClaimDriver::outcomeCalled(const peer::ClaimOutcome& message)
{
    routing::OutcomeRecord record;
    record.m_claim = message.m_claim;
    record.m_key = message.m_key;
    record.m_notRun = message.m_notRun;
    record.m_status = message.m_outcome.m_httpStatus;
    record.m_contentType = message.m_outcome.m_contentType;
    record.m_body = message.m_outcome.m_body;
    record.m_complete = !message.m_incomplete;
    append(record);
}

void ClaimDriver::append(const routing::OutcomeRecord& outcome)
{
    routing::OutcomeRecord record = outcome;
    record.m_id = newRecordId();
    // An outcome that is lost leaves the claim without an answer: a repeated request is told that it may have run.
    m_appender.append(routing::encodeClaimRecord(record), [](const Result<std::uint64_t>&) {});
}

RecordId ClaimDriver::newRecordId()
{
    const std::lock_guard lock(m_mutex);
    return RecordId(m_settings.m_daemon.value() + "." + std::to_string(m_seed) + "." + std::to_string(m_nextRecord++));
}

} // namespace sapphiredale::daemon
