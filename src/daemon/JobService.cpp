// Jobs of callers.

#include "daemon/JobService.h"

#include "model/Rendezvous.h"
#include "ownership/HomeMap.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace sapphiredale::daemon {

namespace json = boost::json;
using observability::MetricName;

namespace {

    constexpr std::string_view prefix = "/v1/jobs";
    /// Longer than the scheduler waits for the log, so that its answer is not lost.
    constexpr Duration callTimeout = std::chrono::seconds(12);

    std::string_view nameOf(peer::JobState state)
    {
        constexpr std::string_view names[] = { "unknown", "waiting", "running", "finished", "failed", "cancelled" };
        return names[static_cast<std::size_t>(state)];
    }

    forwarding::LocalResponse jsonResponse(unsigned status, const json::value& body)
    {
        return { status, { { "Content-Type", "application/json" } }, json::serialize(body) + "\n" };
    }

    void answerError(const forwarding::LocalHandler& handler, const Error& error)
    {
        handler(forwarding::problemResponse(error.m_kind, error.m_detail));
    }

    void answerStatus(const forwarding::LocalHandler& handler, const peer::JobStatusReply& reply)
    {
        if (reply.m_error) {
            answerError(handler, *reply.m_error);
            return;
        }
        if (reply.m_state == peer::JobState::Unknown) {
            answerError(handler, { ErrorKind::NotFound, "no job " + reply.m_job.value() + " is known" });
            return;
        }
        handler(jsonResponse(200,
            { { "job", reply.m_job.value() }, { "state", nameOf(reply.m_state) },
                { "workload", reply.m_workload.value() },
                { "tasks",
                    { { "waiting", reply.m_waitingTasks }, { "running", reply.m_runningTasks },
                        { "finished", reply.m_finishedTasks } } },
                { "detail", reply.m_detail } }));
    }

    std::string toHex(std::uint64_t value)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text(16, '0');
        for (std::size_t i = 16; i-- > 0; value >>= 4)
            text[i] = digits[value & 15];
        return text;
    }

} // namespace

JobService::JobService(const Settings& settings, std::uint64_t seed, PeerLink& peers, SchedulerDriver& scheduler,
    observability::MetricsRegistry& metrics)
    : m_settings(settings)
    , m_seed(seed)
    , m_peers(peers)
    , m_scheduler(scheduler)
    , m_metrics(metrics)
{
}

void JobService::configure(std::shared_ptr<const configuration::FileInForce> file)
{
    const std::lock_guard lock(m_mutex);
    m_file = std::move(file);
}

void JobService::handle(const forwarding::LocalRequest& request, const forwarding::LocalHandler& handler)
{
    const std::string_view target = request.m_target;
    if (target == prefix) {
        if (request.m_method == "POST")
            submit(request, handler);
        else
            answerError(handler, { ErrorKind::MethodNotAllowed, "use POST" });
        return;
    }
    if (!target.starts_with(prefix) || target.size() < prefix.size() + 2 || target[prefix.size()] != '/') {
        answerError(handler, { ErrorKind::NotFound, "no such path" });
        return;
    }
    const JobId job { std::string(target.substr(prefix.size() + 1)) };
    if (request.m_method == "GET")
        status(job, handler);
    else if (request.m_method == "DELETE")
        cancel(job, handler);
    else
        answerError(handler, { ErrorKind::MethodNotAllowed, "use GET or DELETE" });
}

Result<JobService::Submission> JobService::parse(const forwarding::LocalRequest& request) const
{
    boost::system::error_code error;
    const json::value body = json::parse(request.m_body, error);
    if (error || !body.is_object())
        return Error { ErrorKind::InvalidRequest, "the body must be a JSON object with workload and tasks" };
    Submission submission;
    for (const auto& member : body.get_object()) {
        if (member.key() == "workload" && member.value().is_string())
            submission.m_workload = WorkloadId(std::string(member.value().get_string()));
        else if (member.key() == "tasks" && member.value().is_int64() && member.value().get_int64() >= 1
            && member.value().get_int64() <= m_settings.m_limits.m_maxTasksPerJob)
            submission.m_taskCount = static_cast<std::uint32_t>(member.value().get_int64());
        else
            return Error { ErrorKind::InvalidRequest,
                "member " + std::string(member.key())
                    + " is unknown or out of range; accepted are workload (string) and" + " tasks (1 to "
                    + std::to_string(m_settings.m_limits.m_maxTasksPerJob) + ")" };
    }
    if (submission.m_workload.empty())
        return Error { ErrorKind::InvalidRequest, "member workload is missing" };
    submission.m_key = request.header("Idempotency-Key");
    return submission;
}

void JobService::submit(const forwarding::LocalRequest& request, const forwarding::LocalHandler& handler)
{
    const Result<Submission> parsed = parse(request);
    if (!succeeded(parsed)) {
        answerError(handler, errorOf(parsed));
        return;
    }
    const Submission& submission = valueOf(parsed);
    const auto current = file();
    const auto& workloads = current->m_file.m_workloads;
    const auto workload = std::find_if(workloads.begin(), workloads.end(),
        [&](const WorkloadSpec& spec) { return spec.m_name == submission.m_workload; });
    if (workload == workloads.end()) {
        answerError(handler, { ErrorKind::UnknownWorkload, "no workload " + submission.m_workload.value() });
        return;
    }
    const std::optional<FailureDomainId> home = chooseHome(current->m_file, *workload, submission.m_key);
    if (!home) {
        answerError(
            handler, { ErrorKind::DomainUnreachable, "no scheduler of an allowed failure domain can be reached" });
        return;
    }
    const placement::JobRequest job { ownership::makeJobId(*home, uniquePart(submission.m_key)), submission.m_workload,
        submission.m_taskCount };
    submitTo(*home, job, [this, handler, job](const Result<bool>& result) {
        m_metrics.counter(MetricName::JobsTotal, { succeeded(result) ? "accepted" : "refused" }).add();
        if (!succeeded(result)) {
            answerError(handler, errorOf(result));
            return;
        }
        forwarding::LocalResponse response = jsonResponse(
            201, { { "job", job.m_job.value() }, { "tasks", job.m_taskCount }, { "durable", valueOf(result) } });
        response.m_headers.emplace_back("Location", std::string(prefix) + "/" + job.m_job.value());
        handler(std::move(response));
    });
}

std::optional<FailureDomainId> JobService::chooseHome(
    const ClusterFile& file, const WorkloadSpec& workload, const std::string& key)
{
    std::vector<FailureDomainId> allowed;
    for (const FailureDomainSpec& domain : file.m_failureDomains) {
        const bool isListed = workload.m_failureDomains.empty()
            || std::find(workload.m_failureDomains.begin(), workload.m_failureDomains.end(), domain.m_name)
                != workload.m_failureDomains.end();
        if (isListed && !domain.m_lost)
            allowed.push_back(domain.m_name);
    }
    if (!key.empty()) {
        // A repeated submission must reach the same domain, whichever daemon receives it.
        const FailureDomainId* home = rendezvousChoice<FailureDomainId>(key, allowed);
        return home ? std::optional(*home) : std::nullopt;
    }
    std::vector<FailureDomainId> reachable;
    for (const FailureDomainId& domain : allowed) {
        if (schedulerOf(domain))
            reachable.push_back(domain);
    }
    if (std::find(reachable.begin(), reachable.end(), m_settings.m_failureDomain) != reachable.end())
        return m_settings.m_failureDomain;
    if (reachable.empty())
        return std::nullopt;
    const std::lock_guard lock(m_mutex);
    return reachable[m_nextJob % reachable.size()];
}

std::optional<DaemonId> JobService::schedulerOf(const FailureDomainId& domain)
{
    if (domain == m_settings.m_failureDomain && m_scheduler.isScheduler())
        return m_settings.m_daemon;
    const auto view = m_peers.withMembership(
        [&](const ownership::Membership& membership) { return membership.domainScheduler(domain); });
    return view ? std::optional(view->m_daemon) : std::nullopt;
}

void JobService::submitTo(
    const FailureDomainId& home, const placement::JobRequest& job, SchedulerDriver::SubmitHandler handler)
{
    const std::optional<DaemonId> scheduler = schedulerOf(home);
    if (!scheduler) {
        handler(Error { ErrorKind::DomainUnreachable, "no scheduler of " + home.value() + " can be reached" });
        return;
    }
    if (*scheduler == m_settings.m_daemon) {
        m_scheduler.submit(job, std::move(handler));
        return;
    }
    const peer::SubmitJob message { job.m_job, job.m_workload, job.m_taskCount, wallNow() + std::chrono::seconds(10) };
    m_peers.call(*scheduler, message, callTimeout, [handler = std::move(handler)](const Result<peer::Payload>& result) {
        if (!succeeded(result)) {
            handler(errorOf(result));
            return;
        }
        const auto& reply = std::get<peer::SubmitJobReply>(valueOf(result));
        if (reply.m_error)
            handler(*reply.m_error);
        else
            handler(reply.m_durable);
    });
}

void JobService::status(const JobId& job, const forwarding::LocalHandler& handler)
{
    const FailureDomainId home = ownership::homeOfJob(job);
    const std::optional<DaemonId> scheduler = schedulerOf(home);
    if (!scheduler) {
        answerError(handler, { ErrorKind::DomainUnreachable, "no scheduler of the job's domain can be reached" });
        return;
    }
    if (*scheduler == m_settings.m_daemon) {
        answerStatus(handler, m_scheduler.jobStatus(job));
        return;
    }
    m_peers.call(*scheduler, peer::JobStatus { job }, callTimeout, [handler](const Result<peer::Payload>& result) {
        if (succeeded(result))
            answerStatus(handler, std::get<peer::JobStatusReply>(valueOf(result)));
        else
            answerError(handler, errorOf(result));
    });
}

void JobService::cancel(const JobId& job, const forwarding::LocalHandler& handler)
{
    const std::optional<DaemonId> scheduler = schedulerOf(ownership::homeOfJob(job));
    if (!scheduler) {
        answerError(handler, { ErrorKind::DomainUnreachable, "no scheduler of the job's domain can be reached" });
        return;
    }
    const auto answer = [handler, job](const Result<bool>& result) {
        if (succeeded(result))
            handler(jsonResponse(202, { { "job", job.value() }, { "state", "cancelling" } }));
        else
            answerError(handler, errorOf(result));
    };
    if (*scheduler == m_settings.m_daemon) {
        m_scheduler.cancel(job, answer);
        return;
    }
    m_peers.call(*scheduler, peer::CancelJob { job }, callTimeout, [answer](const Result<peer::Payload>& result) {
        if (!succeeded(result)) {
            answer(errorOf(result));
            return;
        }
        const auto& reply = std::get<peer::CancelJobReply>(valueOf(result));
        if (reply.m_error)
            answer(*reply.m_error);
        else
            answer(true);
    });
}

void JobService::called(const peer::Envelope& call)
{
    if (const auto* submission = std::get_if<peer::SubmitJob>(&call.m_payload)) {
        if (submission->m_deadline && wallNow() > *submission->m_deadline) {
            m_peers.reply(call,
                peer::SubmitJobReply {
                    submission->m_job, false, Error { ErrorKind::DeadlineExceeded, "arrived late" } });
            return;
        }
        m_scheduler.submit({ submission->m_job, submission->m_workload, submission->m_taskCount },
            [this, call, job = submission->m_job](const Result<bool>& result) {
                peer::SubmitJobReply reply { job, false, std::nullopt };
                if (succeeded(result))
                    reply.m_durable = valueOf(result);
                else
                    reply.m_error = errorOf(result);
                m_peers.reply(call, reply);
            });
    } else if (const auto* cancellation = std::get_if<peer::CancelJob>(&call.m_payload)) {
        m_scheduler.cancel(cancellation->m_job, [this, call, job = cancellation->m_job](const Result<bool>& result) {
            peer::CancelJobReply reply { job, succeeded(result), std::nullopt };
            if (!succeeded(result))
                reply.m_error = errorOf(result);
            m_peers.reply(call, reply);
        });
    } else if (const auto* query = std::get_if<peer::JobStatus>(&call.m_payload)) {
        m_peers.reply(call, m_scheduler.jobStatus(query->m_job));
    }
}

std::string JobService::uniquePart(const std::string& key)
{
    if (!key.empty())
        return "k" + toHex(stableHash(key)) + toHex(stableHash(key, 1));
    const std::lock_guard lock(m_mutex);
    return toHex(m_seed) + "-" + std::to_string(m_nextJob++);
}

std::shared_ptr<const configuration::FileInForce> JobService::file() const
{
    const std::lock_guard lock(m_mutex);
    return m_file;
}

} // namespace sapphiredale::daemon
