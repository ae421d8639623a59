// The operators' HTTP interface.

#include "daemon/OperatorApi.h"

#include "configuration/ClusterFileReader.h"
#include "ownership/HomeMap.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace sapphiredale::daemon {

namespace json = boost::json;
using forwarding::LocalHandler;
using forwarding::LocalRequest;
using forwarding::LocalResponse;

namespace {

    LocalResponse jsonResponse(unsigned status, const json::value& body)
    {
        return { status, { { "Content-Type", "application/json" } }, json::serialize(body) + "\n" };
    }

    /// Problem document with further members.
    LocalResponse problem(ErrorKind kind, std::string_view detail, const json::object& extensions)
    {
        LocalResponse response = forwarding::problemResponse(kind, detail);
        boost::system::error_code error;
        json::value body = json::parse(response.m_body, error);
        if (error || !body.is_object())
            return response;
        for (const auto& member : extensions)
            body.get_object()[member.key()] = member.value();
        response.m_body = json::serialize(body) + "\n";
        return response;
    }

    json::array toJson(const std::vector<configuration::FileError>& errors)
    {
        json::array array;
        for (const configuration::FileError& error : errors)
            array.push_back(
                { { "path", error.m_path }, { "problem", error.m_problem }, { "accepted", error.m_accepted } });
        return array;
    }

    json::array toJson(const std::vector<configuration::HistoryEntry>& entries)
    {
        json::array array;
        for (const configuration::HistoryEntry& entry : entries) {
            json::array changes;
            for (const std::string& change : entry.m_changes)
                changes.emplace_back(change);
            array.push_back({ { "version", entry.m_version }, { "author", entry.m_author },
                { "timeMs", entry.m_time.time_since_epoch().count() }, { "recordId", entry.m_recordId.value() },
                { "changes", std::move(changes) } });
        }
        return array;
    }

    json::object toJson(const Resources& resources)
    {
        return { { "cpus", static_cast<double>(resources.m_cpuMillis) / 1000 }, { "memoryMiB", resources.m_memoryMiB },
            { "accelerators", resources.m_accelerators } };
    }

    json::array toJson(const std::vector<FailureDomainId>& domains)
    {
        json::array array;
        for (const FailureDomainId& domain : domains)
            array.emplace_back(domain.value());
        return array;
    }

    /// The version in an entity tag such as "7"; none when it is something else.
    std::optional<std::uint64_t> versionOf(std::string_view tag)
    {
        if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"')
            tag = tag.substr(1, tag.size() - 2);
        std::uint64_t version = 0;
        const auto [end, code] = std::from_chars(tag.data(), tag.data() + tag.size(), version);
        if (tag.empty() || code != std::errc {} || end != tag.data() + tag.size())
            return std::nullopt;
        return version;
    }

    std::string tagOf(std::uint64_t version) { return '"' + std::to_string(version) + '"'; }

    std::string_view freshness(bool confirmed) { return confirmed ? "confirmed" : "unconfirmed"; }

    /// The part of the path after a prefix and before a suffix; empty when the path does not match.
    std::string_view between(std::string_view path, std::string_view prefix, std::string_view suffix)
    {
        if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) || !path.ends_with(suffix))
            return {};
        return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    }

    std::string decodePercent(std::string_view text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned value = 0;
            if (text[i] == '%' && i + 2 < text.size() + 0
                && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
                result.push_back(static_cast<char>(value));
                i += 2;
            } else {
                result.push_back(text[i]);
            }
        }
        return result;
    }

    struct OutcomeWriter {
        const RecordId& m_record;

        LocalResponse operator()(const configuration::UnknownOutcome&) const
        {
            return problem(ErrorKind::NotFound, "the outcome of this application is not known", {});
        }
        LocalResponse operator()(const configuration::Accepted& accepted) const
        {
            return jsonResponse(200,
                { { "recordId", m_record.value() }, { "outcome", "accepted" }, { "version", accepted.m_version } });
        }
        LocalResponse operator()(const configuration::RefusedStaleBase& refused) const
        {
            return jsonResponse(200,
                { { "recordId", m_record.value() }, { "outcome", "refused" }, { "reason", "version-conflict" },
                    { "base", refused.m_base }, { "inForce", refused.m_inForce },
                    { "changes", toJson(refused.m_since) } });
        }
        LocalResponse operator()(const configuration::RefusedInvalid& refused) const
        {
            return jsonResponse(200,
                { { "recordId", m_record.value() }, { "outcome", "refused" }, { "reason", "configuration-invalid" },
                    { "errors", toJson(refused.m_errors) } });
        }
        LocalResponse operator()(const configuration::RefusedUnreadable& refused) const
        {
            return jsonResponse(200,
                { { "recordId", m_record.value() }, { "outcome", "refused" }, { "reason", "unreadable" },
                    { "detail", refused.m_error.m_detail } });
        }
    };

    LocalResponse toResponse(const configuration::ApplyAccepted& accepted)
    {
        LocalResponse response
            = jsonResponse(200, { { "version", accepted.m_version }, { "recordId", accepted.m_recordId.value() } });
        response.m_headers.emplace_back("ETag", tagOf(accepted.m_version));
        return response;
    }

    LocalResponse toResponse(const configuration::ApplyRefused& refused)
    {
        json::object extensions;
        if (!refused.m_errors.empty())
            extensions["errors"] = toJson(refused.m_errors);
        if (refused.m_kind == ErrorKind::VersionConflict) {
            extensions["inForce"] = refused.m_inForce;
            extensions["changes"] = toJson(refused.m_changes);
        }
        return problem(refused.m_kind, refused.m_detail, extensions);
    }

    LocalResponse toResponse(const configuration::ApplyUndecided& undecided)
    {
        LocalResponse response
            = jsonResponse(202, { { "recordId", undecided.m_recordId.value() }, { "detail", undecided.m_detail } });
        response.m_headers.emplace_back("Location", "/v1/configuration/applications/" + undecided.m_recordId.value());
        return response;
    }

} // namespace

/// One row of the path table.
struct OperatorApi::Route {
    std::string_view m_method;
    std::string_view m_path;
    void (OperatorApi::*m_function)(const LocalRequest&, const LocalHandler&);
};

OperatorApi::OperatorApi(const Settings& settings, ConfigurationDriver& configuration, PeerLink& peers,
    SchedulerDriver& scheduler, ClusterQueries& queries, observability::MetricsRegistry& metrics)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_peers(peers)
    , m_scheduler(scheduler)
    , m_queries(queries)
    , m_metrics(metrics)
{
}

void OperatorApi::handle(const LocalRequest& request, const LocalHandler& handler)
{
    static constexpr Route routes[] = {
        { "PUT", "/v1/configuration", &OperatorApi::putConfiguration },
        { "GET", "/v1/configuration", &OperatorApi::getConfiguration },
        { "POST", "/v1/configuration/validate", &OperatorApi::validate },
        { "GET", "/v1/configuration/history", &OperatorApi::history },
        { "GET", "/v1/status", &OperatorApi::status },
        { "GET", "/v1/tasks", &OperatorApi::tasks },
        { "GET", "/v1/workers", &OperatorApi::workers },
        { "GET", "/healthz", &OperatorApi::health },
        { "GET", "/readyz", &OperatorApi::ready },
        { "GET", "/metrics", &OperatorApi::metrics },
    };
    bool knownPath = false;
    for (const Route& route : routes) {
        if (route.m_path != request.m_target)
            continue;
        knownPath = true;
        if (route.m_method == request.m_method) {
            (this->*route.m_function)(request, handler);
            return;
        }
    }
    if (request.m_method == "GET" && request.m_target.starts_with("/v1/configuration/applications/"))
        application(request, handler);
    else if (request.m_method == "GET" && !between(request.m_target, "/v1/tasks/", "/explanation").empty())
        explanation(request, handler);
    else if (knownPath)
        handler(forwarding::problemResponse(ErrorKind::MethodNotAllowed, "the path has other methods"));
    else
        handler(forwarding::problemResponse(ErrorKind::NotFound, "no such path; docs/API.md lists all"));
}

void OperatorApi::refused(ErrorKind kind)
{
    m_metrics.counter(observability::MetricName::RefusalsTotal, { answerFor(kind).m_name }).add();
}

void OperatorApi::putConfiguration(const LocalRequest& request, const LocalHandler& handler)
{
    const std::string_view tag = request.header("If-Match");
    const std::optional<std::uint64_t> base = versionOf(tag);
    if (!tag.empty() && !base) {
        handler(problem(ErrorKind::InvalidRequest, "If-Match must be the version in quotes, for example \"7\"", {}));
        return;
    }
    std::string author(request.header("Sapphire-Author"));
    m_configuration.apply(
        request.m_body, base, author.empty() ? "unnamed" : std::move(author), [this, handler](const auto& answer) {
            constexpr std::string_view outcomes[] = { "accepted", "refused", "undecided" };
            m_metrics.counter(observability::MetricName::ConfigurationApplicationsTotal, { outcomes[answer.index()] })
                .add();
            handler(std::visit([](const auto& concrete) { return toResponse(concrete); }, answer));
        });
}

void OperatorApi::getConfiguration(const LocalRequest&, const LocalHandler& handler)
{
    m_configuration.read(RecordId(), [handler](const ConfigurationView& view) {
        if (!view.m_file) {
            handler(problem(ErrorKind::NotFound, "no file is in force", {}));
            return;
        }
        LocalResponse response { 200, { { "Content-Type", "application/json" } }, view.m_file->m_content };
        response.m_headers.emplace_back("ETag", tagOf(view.m_file->m_version));
        response.m_headers.emplace_back("Sapphire-Freshness", std::string(freshness(view.m_confirmed)));
        handler(std::move(response));
    });
}

void OperatorApi::validate(const LocalRequest& request, const LocalHandler& handler)
{
    const configuration::ParseResult result = configuration::parseClusterFile(request.m_body);
    if (const auto* errors = std::get_if<std::vector<configuration::FileError>>(&result))
        handler(problem(ErrorKind::ConfigurationInvalid, std::to_string(errors->size()) + " errors",
            { { "errors", toJson(*errors) } }));
    else
        handler(jsonResponse(200, { { "valid", true } }));
}

void OperatorApi::history(const LocalRequest&, const LocalHandler& handler)
{
    m_configuration.read(RecordId(), [handler](const ConfigurationView& view) {
        LocalResponse response = jsonResponse(200, { { "entries", toJson(view.m_history) } });
        response.m_headers.emplace_back("Sapphire-Freshness", std::string(freshness(view.m_confirmed)));
        handler(std::move(response));
    });
}

void OperatorApi::application(const LocalRequest& request, const LocalHandler& handler)
{
    const RecordId record { decodePercent(between(request.m_target, "/v1/configuration/applications/", "")) };
    m_configuration.read(record, [handler, record](const ConfigurationView& view) {
        handler(std::visit(OutcomeWriter { record }, view.m_outcome));
    });
}

void OperatorApi::status(const LocalRequest&, const LocalHandler& handler)
{
    const auto [view, partition] = m_peers.withMembership([](const ownership::Membership& membership) {
        return std::pair(membership.view(), membership.partition(now()));
    });
    json::array daemons;
    for (const ownership::DaemonView& daemon : view) {
        daemons.push_back(
            { { "daemon", daemon.m_daemon.value() }, { "failureDomain", daemon.m_description.m_failureDomain.value() },
                { "state", daemon.m_state == ownership::DaemonView::State::Live ? "live" : "suspected" },
                { "leaving", daemon.m_leaving }, { "softwareVersion", daemon.m_description.m_softwareVersion },
                { "configurationVersion", daemon.m_configuration.m_version },
                { "schedulerEpoch", daemon.m_schedulerEpoch } });
    }
    json::array cutOff = toJson(partition.m_silentDomains);
    if (m_configuration.isLogOut())
        cutOff.emplace_back("log");
    const ownership::DomainSnapshot snapshot = m_scheduler.snapshot();
    const auto file = m_configuration.inForce();
    const bool isScheduler = m_scheduler.isScheduler();
    std::map<std::string, std::uint64_t> states;
    for (const ownership::TaskStatus& task : snapshot.m_tasks)
        ++states[task.m_state];
    json::object tasks;
    for (const auto& [state, count] : states)
        tasks[state] = count;
    handler(jsonResponse(200,
        { { "daemon", m_settings.m_daemon.value() }, { "failureDomain", m_settings.m_failureDomain.value() },
            { "version", "0.1.0" }, { "scheduler", isScheduler }, { "phase", snapshot.m_phase },
            { "epoch", snapshot.m_epoch }, { "ready", m_configuration.isReady() && !m_leaving },
            { "cutOff", std::move(cutOff) }, { "configurationVersion", file ? file->m_version : 0 },
            { "daemons", std::move(daemons) },
            { "counts",
                { { "workers", snapshot.m_workers.size() }, { "tasks", std::move(tasks) },
                    { "openJobs", snapshot.m_openJobs }, { "pendingAppends", snapshot.m_pendingAppends } } } }));
}

void OperatorApi::tasks(const LocalRequest&, const LocalHandler& handler)
{
    m_queries.tasks([this, handler](const CellRows<peer::TaskRow>& result) {
        const auto file = m_configuration.inForce();
        json::array rows;
        for (const peer::TaskRow& row : result.m_rows) {
            json::object object { { "task", row.m_task.value() }, { "state", row.m_state },
                { "worker", row.m_worker.value() }, { "workload", row.m_workload.value() },
                { "attempt", row.m_attempt }, { "reason", row.m_reason }, { "declared", toJson(row.m_declared) },
                { "usage", toJson(row.m_usage) } };
            const auto workload = file ? std::find_if(file->m_file.m_workloads.begin(), file->m_file.m_workloads.end(),
                                      [&](const WorkloadSpec& spec) { return spec.m_name == row.m_workload; })
                                       : std::vector<WorkloadSpec>::const_iterator {};
            const bool isKnown = file && workload != file->m_file.m_workloads.end();
            object["class"] = isKnown ? workload->m_class.value() : "";
            object["team"] = isKnown ? workload->m_team.value() : "";
            rows.push_back(std::move(object));
        }
        handler(jsonResponse(200, { { "tasks", std::move(rows) }, { "unreachable", toJson(result.m_unreachable) } }));
    });
}

void OperatorApi::explanation(const LocalRequest& request, const LocalHandler& handler)
{
    const TaskId task { decodePercent(between(request.m_target, "/v1/tasks/", "/explanation")) };
    m_queries.explain(task, [handler](const peer::ExplainReply& reply) {
        if (reply.m_error) {
            handler(problem(reply.m_error->m_kind, reply.m_error->m_detail, {}));
            return;
        }
        handler(jsonResponse(200,
            { { "task", reply.m_task.value() }, { "state", reply.m_state }, { "worker", reply.m_worker.value() },
                { "reason", reply.m_reason }, { "detail", reply.m_detail }, { "release", reply.m_release } }));
    });
}

void OperatorApi::workers(const LocalRequest&, const LocalHandler& handler)
{
    m_queries.workers([this, handler](const CellRows<peer::WorkerRow>& result) {
        std::map<WorkerId, FailureDomainId> domains;
        if (const auto file = m_configuration.inForce()) {
            for (const WorkerSpec& worker : file->m_file.m_workers)
                domains.emplace(worker.m_name, worker.m_failureDomain);
        }
        json::array rows;
        for (const peer::WorkerRow& row : result.m_rows) {
            rows.push_back({ { "worker", row.m_worker.value() }, { "failureDomain", domains[row.m_worker].value() },
                { "rack", row.m_rack.value() }, { "state", row.m_state }, { "capacity", toJson(row.m_capacity) },
                { "used", toJson(row.m_assigned) }, { "usage", toJson(row.m_usage) }, { "tasks", row.m_tasks } });
        }
        handler(jsonResponse(200, { { "workers", std::move(rows) }, { "unreachable", toJson(result.m_unreachable) } }));
    });
}

void OperatorApi::health(const LocalRequest&, const LocalHandler& handler)
{
    handler(jsonResponse(200, { { "status", "ok" } }));
}

void OperatorApi::ready(const LocalRequest&, const LocalHandler& handler)
{
    const auto partition
        = m_peers.withMembership([](const ownership::Membership& membership) { return membership.partition(now()); });
    if (m_leaving) {
        handler(problem(ErrorKind::ShuttingDown, "the daemon is leaving", {}));
        return;
    }
    if (!m_configuration.isReady()) {
        handler(problem(ErrorKind::NotReady, m_configuration.readinessDetail(), {}));
        return;
    }
    // A daemon that is cut off goes on serving its own domain, so it stays ready and only reports the state.
    handler(jsonResponse(200,
        { { "status", "ready" }, { "logAvailable", !m_configuration.isLogOut() },
            { "silentDomains", toJson(partition.m_silentDomains) } }));
}

void OperatorApi::metrics(const LocalRequest&, const LocalHandler& handler)
{
    if (m_collect)
        m_collect();
    handler({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.prometheusText() });
}

} // namespace sapphiredale::daemon
