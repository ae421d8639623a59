// Questions about tasks and workers of the whole cell.

#include "daemon/ClusterQueries.h"

#include "ownership/HomeMap.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::daemon {

namespace {

    constexpr Duration queryTimeout = std::chrono::seconds(3);

    std::string_view nameOf(placement::Explanation::State state)
    {
        constexpr std::string_view names[]
            = { "unknown", "waiting", "starting", "running", "stopping", "finished", "failed" };
        return names[static_cast<std::size_t>(state)];
    }

    Error notScheduler() { return { ErrorKind::NotScheduler, "this daemon is not the domain scheduler" }; }

    const TaskId& keyOf(const peer::TaskRow& row) { return row.m_task; }
    const WorkerId& keyOf(const peer::WorkerRow& row) { return row.m_worker; }

} // namespace

/// State of one question to all domains.
template <typename Query, typename Reply, typename Row> struct ClusterQueries::Gathering {
    std::mutex m_mutex;
    /// Guarded by m_mutex, as is m_open.
    CellRows<Row> m_result;
    /// Domains that have not answered completely.
    std::size_t m_open = 0;
    std::function<void(const CellRows<Row>&)> m_handler;

    void finish(const FailureDomainId* unreachable)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (unreachable)
                m_result.m_unreachable.push_back(*unreachable);
            if (--m_open > 0)
                return;
            std::sort(m_result.m_rows.begin(), m_result.m_rows.end(),
                [](const Row& a, const Row& b) { return keyOf(a) < keyOf(b); });
        }
        m_handler(m_result);
    }
};

ClusterQueries::ClusterQueries(
    const Settings& settings, PeerLink& peers, SchedulerDriver& scheduler, MinionDirectory& minions)
    : m_settings(settings)
    , m_peers(peers)
    , m_scheduler(scheduler)
    , m_minions(minions)
{
}

void ClusterQueries::configure(std::shared_ptr<const configuration::FileInForce> file)
{
    const std::lock_guard lock(m_mutex);
    m_file = std::move(file);
}

void ClusterQueries::tasks(TasksHandler handler)
{
    gather<peer::TasksQuery, peer::TasksReply, peer::TaskRow>(std::move(handler));
}

void ClusterQueries::workers(WorkersHandler handler)
{
    gather<peer::WorkersQuery, peer::WorkersReply, peer::WorkerRow>(std::move(handler));
}

template <typename Query, typename Reply, typename Row>
void ClusterQueries::gather(std::function<void(const CellRows<Row>&)> handler)
{
    const auto current = file();
    if (!current || current->m_file.m_failureDomains.empty()) {
        handler({});
        return;
    }
    auto gathering = std::make_shared<Gathering<Query, Reply, Row>>();
    gathering->m_handler = std::move(handler);
    gathering->m_open = current->m_file.m_failureDomains.size();
    for (const FailureDomainSpec& domain : current->m_file.m_failureDomains)
        gatherPage(gathering, domain.m_name, Query {});
}

template <typename Query, typename Reply, typename Row>
void ClusterQueries::gatherPage(
    const std::shared_ptr<Gathering<Query, Reply, Row>>& gathering, const FailureDomainId& domain, Query query)
{
    const auto take = [this, gathering, domain, query](const Reply& reply) {
        if (reply.m_error) {
            gathering->finish(&domain);
            return;
        }
        {
            const std::lock_guard lock(gathering->m_mutex);
            auto& rows = gathering->m_result.m_rows;
            rows.insert(rows.end(), reply.m_rows.begin(), reply.m_rows.end());
        }
        if (!reply.m_more || reply.m_rows.empty()) {
            gathering->finish(nullptr);
            return;
        }
        Query next = query;
        next.m_after = keyOf(reply.m_rows.back());
        gatherPage(gathering, domain, next);
    };
    if (domain == m_settings.m_failureDomain && m_scheduler.isScheduler()) {
        take(answer(query));
        return;
    }
    const std::optional<DaemonId> scheduler = remoteScheduler(domain);
    if (!scheduler) {
        gathering->finish(&domain);
        return;
    }
    m_peers.call(*scheduler, query, queryTimeout, [take](const Result<peer::Payload>& result) {
        if (succeeded(result)) {
            take(std::get<Reply>(valueOf(result)));
            return;
        }
        Reply failed;
        failed.m_error = errorOf(result);
        take(failed);
    });
}

void ClusterQueries::explain(const TaskId& task, ExplainHandler handler)
{
    const FailureDomainId home = homeOf(task);
    const peer::ExplainQuery query { task };
    if (home == m_settings.m_failureDomain && m_scheduler.isScheduler()) {
        handler(answer(query));
        return;
    }
    const std::optional<DaemonId> scheduler = remoteScheduler(home);
    if (!scheduler) {
        peer::ExplainReply reply;
        reply.m_error = Error { home.empty() ? ErrorKind::NotFound : ErrorKind::DomainUnreachable,
            home.empty() ? "no such task" : "no scheduler of " + home.value() + " can be reached" };
        handler(reply);
        return;
    }
    m_peers.call(*scheduler, query, queryTimeout, [handler = std::move(handler)](const Result<peer::Payload>& result) {
        if (succeeded(result)) {
            handler(std::get<peer::ExplainReply>(valueOf(result)));
            return;
        }
        peer::ExplainReply failed;
        failed.m_error = errorOf(result);
        handler(failed);
    });
}

void ClusterQueries::called(const peer::Envelope& call)
{
    if (const auto* tasks = std::get_if<peer::TasksQuery>(&call.m_payload))
        m_peers.reply(call, answer(*tasks));
    else if (const auto* workers = std::get_if<peer::WorkersQuery>(&call.m_payload))
        m_peers.reply(call, answer(*workers));
    else if (const auto* explanation = std::get_if<peer::ExplainQuery>(&call.m_payload))
        m_peers.reply(call, answer(*explanation));
    else if (const auto* minions = std::get_if<peer::MinionsQuery>(&call.m_payload))
        m_peers.reply(call, m_minions.list(minions->m_knownGeneration));
}

peer::TasksReply ClusterQueries::answer(const peer::TasksQuery& query)
{
    peer::TasksReply reply;
    if (!m_scheduler.isScheduler()) {
        reply.m_error = notScheduler();
        return reply;
    }
    const std::size_t limit = query.m_limit == 0 ? peer::maxRows : std::min<std::size_t>(query.m_limit, peer::maxRows);
    ownership::DomainSnapshot snapshot = m_scheduler.snapshot();
    std::sort(snapshot.m_tasks.begin(), snapshot.m_tasks.end(),
        [](const ownership::TaskStatus& a, const ownership::TaskStatus& b) { return a.m_task < b.m_task; });
    for (const ownership::TaskStatus& task : snapshot.m_tasks) {
        const WorkloadId workload { std::string(ownership::ownerOfTask(task.m_task)) };
        if (!(query.m_after < task.m_task) || (!query.m_workload.empty() && query.m_workload != workload))
            continue;
        if (reply.m_rows.size() == limit) {
            reply.m_more = true;
            break;
        }
        reply.m_rows.push_back({ task.m_task, workload, task.m_worker.value_or(WorkerId()), task.m_attempt,
            task.m_state, task.m_reason, task.m_declared, task.m_usage });
    }
    return reply;
}

peer::WorkersReply ClusterQueries::answer(const peer::WorkersQuery& query)
{
    peer::WorkersReply reply;
    const auto current = file();
    if (!m_scheduler.isScheduler() || !current) {
        reply.m_error = notScheduler();
        return reply;
    }
    const std::size_t limit = query.m_limit == 0 ? peer::maxRows : std::min<std::size_t>(query.m_limit, peer::maxRows);
    const ownership::DomainSnapshot snapshot = m_scheduler.snapshot();
    std::map<WorkerId, peer::WorkerRow> rows;
    for (const ownership::WorkerStatus& worker : snapshot.m_workers) {
        peer::WorkerRow& row = rows[worker.m_worker];
        row.m_worker = worker.m_worker;
        row.m_state = worker.m_available ? "available" : worker.m_leaseHeld ? "held" : "unreachable";
        row.m_tasks = static_cast<std::uint32_t>(worker.m_tasks);
    }
    for (const WorkerSpec& worker : current->m_file.m_workers) {
        const auto row = rows.find(worker.m_name);
        if (row != rows.end()) {
            row->second.m_rack = worker.m_rack;
            row->second.m_capacity = worker.m_capacity;
        }
    }
    for (const ownership::TaskStatus& task : snapshot.m_tasks) {
        const auto row = task.m_worker ? rows.find(*task.m_worker) : rows.end();
        if (row != rows.end()) {
            row->second.m_assigned += task.m_declared;
            row->second.m_usage += task.m_usage;
        }
    }
    for (const auto& [worker, row] : rows) {
        if (!(query.m_after < worker))
            continue;
        if (reply.m_rows.size() == limit) {
            reply.m_more = true;
            break;
        }
        reply.m_rows.push_back(row);
    }
    return reply;
}

peer::ExplainReply ClusterQueries::answer(const peer::ExplainQuery& query)
{
    peer::ExplainReply reply;
    reply.m_task = query.m_task;
    if (!m_scheduler.isScheduler()) {
        reply.m_error = notScheduler();
        return reply;
    }
    const placement::Explanation explanation = m_scheduler.explain(query.m_task);
    if (explanation.m_state == placement::Explanation::State::Unknown) {
        reply.m_error = Error { ErrorKind::NotFound, "no task " + query.m_task.value() + " is known" };
        return reply;
    }
    reply.m_state = nameOf(explanation.m_state);
    reply.m_worker = explanation.m_worker.value_or(WorkerId());
    reply.m_reason = explanation.m_reason;
    reply.m_detail = explanation.m_detail;
    reply.m_release = explanation.m_release;
    return reply;
}

std::shared_ptr<const configuration::FileInForce> ClusterQueries::file() const
{
    const std::lock_guard lock(m_mutex);
    return m_file;
}

std::optional<DaemonId> ClusterQueries::remoteScheduler(const FailureDomainId& domain)
{
    const auto view = m_peers.withMembership(
        [&](const ownership::Membership& membership) { return membership.domainScheduler(domain); });
    return view ? std::optional(view->m_daemon) : std::nullopt;
}

FailureDomainId ClusterQueries::homeOf(const TaskId& task) const
{
    const std::string owner(ownership::ownerOfTask(task));
    if (const auto current = file()) {
        for (const WorkloadSpec& workload : current->m_file.m_workloads) {
            if (workload.m_name.value() == owner)
                return ownership::homeOfInstance(current->m_file, workload, task).value_or(FailureDomainId());
        }
    }
    return ownership::homeOfJob(JobId(owner));
}

} // namespace sapphiredale::daemon
