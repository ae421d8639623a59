// Decoding of answers. Nothing in an answer is trusted: types and ranges are verified.

#include "platform/JsonCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <stdexcept>

namespace sapphiredale::platform {

namespace json = boost::json;

namespace {

    /// Durations beyond a day in an answer are malformed; the bound keeps sums of time points from overflowing.
    constexpr std::int64_t maxMilliseconds = 24LL * 3600 * 1000;

    class Malformed : public std::runtime_error {
    public:
        using std::runtime_error::runtime_error;
    };

    json::object parseObject(const std::string& text)
    {
        json::error_code error;
        json::value value = json::parse(text, error);
        if (error || !value.is_object())
            throw Malformed("the answer is not a JSON object");
        return std::move(value.as_object());
    }

    template <typename Number> Number number(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains({ name.data(), name.size() });
        json::error_code error;
        const Number result = value ? value->to_number<Number>(error) : Number {};
        if (!value || error)
            throw Malformed("the answer has no valid \"" + std::string(name) + '"');
        return result;
    }

    template <typename Number> Number numberOr(const json::object& object, std::string_view name, Number otherwise)
    {
        return object.contains({ name.data(), name.size() }) ? number<Number>(object, name) : otherwise;
    }

    std::string text(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains({ name.data(), name.size() });
        if (!value || !value->is_string())
            throw Malformed("the answer has no valid \"" + std::string(name) + '"');
        return std::string(value->as_string());
    }

    std::string textOr(const json::object& object, std::string_view name)
    {
        return object.contains({ name.data(), name.size() }) ? text(object, name) : std::string();
    }

    bool flag(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains({ name.data(), name.size() });
        if (value && !value->is_bool())
            throw Malformed("the answer has no valid \"" + std::string(name) + '"');
        return value && value->as_bool();
    }

    const json::object& objectIn(const json::value& value)
    {
        if (!value.is_object())
            throw Malformed("the answer contains something else than an object");
        return value.as_object();
    }

    /// The elements of an array; none when it is absent and may be.
    std::vector<const json::object*> objects(const json::object& object, std::string_view name, bool required)
    {
        const json::value* value = object.if_contains({ name.data(), name.size() });
        if ((!value && required) || (value && !value->is_array()))
            throw Malformed("the answer has no valid \"" + std::string(name) + '"');
        std::vector<const json::object*> result;
        if (value) {
            for (const json::value& element : value->as_array())
                result.push_back(&objectIn(element));
        }
        return result;
    }

    WallTime wallTime(const json::object& object, std::string_view name)
    {
        return WallTime(std::chrono::milliseconds(number<std::int64_t>(object, name)));
    }

    Duration milliseconds(const json::object& object, std::string_view name)
    {
        const auto value = number<std::int64_t>(object, name);
        if (value < 0 || value > maxMilliseconds)
            throw Malformed("the answer has no valid \"" + std::string(name) + '"');
        return std::chrono::milliseconds(value);
    }

    Resources resources(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains({ name.data(), name.size() });
        if (!value)
            return {};
        const json::object& fields = objectIn(*value);
        return { numberOr<std::int64_t>(fields, "cpuMillis", 0), numberOr<std::int64_t>(fields, "memoryMiB", 0),
            numberOr<std::int64_t>(fields, "accelerators", 0) };
    }

    TaskState taskState(const json::object& object)
    {
        const std::string name = text(object, "state");
        for (const TaskState state : { TaskState::Starting, TaskState::Running, TaskState::Checkpointing,
                 TaskState::Ended, TaskState::Failed, TaskState::Stopped }) {
            if (nameOf(state) == name)
                return state;
        }
        throw Malformed("the answer has the unknown task state \"" + name + '"');
    }

    HostState hostState(const json::object& object)
    {
        const std::string name = text(object, "state");
        if (name == "live")
            return HostState::Live;
        if (name == "leaving")
            return HostState::Leaving;
        if (name == "gone")
            return HostState::Gone;
        throw Malformed("the answer has the unknown host state \"" + name + '"');
    }

    TaskReport taskReport(const json::object& object)
    {
        TaskReport report;
        report.m_task = TaskId(text(object, "id"));
        report.m_attempt = number<std::uint32_t>(object, "attempt");
        report.m_state = taskState(object);
        report.m_usage = resources(object, "usage");
        report.m_declared = resources(object, "declared");
        report.m_address = textOr(object, "address");
        report.m_reason = textOr(object, "reason");
        return report;
    }

    LeaseRefusal leaseRefusal(const json::object& body)
    {
        return { DaemonId(text(body, "holder")), number<std::uint64_t>(body, "epoch"),
            milliseconds(body, "expiresInMs") };
    }

    Error errorOfStatus(const HttpAnswer& answer, ErrorKind unavailable)
    {
        constexpr std::size_t shownBytes = 200;
        const std::string detail
            = "status " + std::to_string(answer.m_status) + ": " + answer.m_body.substr(0, shownBytes);
        if (answer.m_status == 429 || answer.m_status == 503)
            return { unavailable, detail };
        if (answer.m_status == 404)
            return { ErrorKind::NotFound, detail };
        if (answer.m_status >= 400 && answer.m_status < 500)
            return { ErrorKind::InvalidRequest, detail };
        return { ErrorKind::OutcomeUnknown, detail };
    }

    /// Runs a decoder for an answer that has one of its statuses.
    template <typename T, typename Decoder>
    Result<T> decode(
        const HttpAnswer& answer, ErrorKind unavailable, std::initializer_list<unsigned> statuses, Decoder decoder)
    {
        if (std::find(statuses.begin(), statuses.end(), answer.m_status) == statuses.end())
            return errorOfStatus(answer, unavailable);
        try {
            return decoder(parseObject(answer.m_body));
        } catch (const std::exception& exception) {
            return Error { ErrorKind::OutcomeUnknown, exception.what() };
        }
    }

} // namespace

Result<std::uint64_t> decodeAppended(const HttpAnswer& answer, ErrorKind unavailable)
{
    return decode<std::uint64_t>(answer, unavailable, { 200 },
        [](const json::object& body) -> Result<std::uint64_t> { return number<std::uint64_t>(body, "firstOffset"); });
}

Result<LogPage> decodePage(const HttpAnswer& answer, ErrorKind unavailable)
{
    return decode<LogPage>(answer, unavailable, { 200 }, [](const json::object& body) -> Result<LogPage> {
        LogPage page;
        page.m_earliest = number<std::uint64_t>(body, "earliest");
        page.m_next = number<std::uint64_t>(body, "next");
        for (const json::object* record : objects(body, "records", true))
            page.m_records.push_back(
                { number<std::uint64_t>(*record, "offset"), wallTime(*record, "timeMs"), text(*record, "data") });
        return page;
    });
}

Result<HostSnapshot> decodeHosts(const HttpAnswer& answer, ErrorKind unavailable)
{
    return decode<HostSnapshot>(answer, unavailable, { 200 }, [](const json::object& body) -> Result<HostSnapshot> {
        HostSnapshot snapshot;
        snapshot.m_asOf = wallTime(body, "asOfMs");
        snapshot.m_generation = body.contains("generation") ? number<std::uint64_t>(body, "generation") : 0;
        snapshot.m_unchanged = body.contains("unchanged") && flag(body, "unchanged");
        if (snapshot.m_unchanged)
            return snapshot;
        for (const json::object* host : objects(body, "hosts", true))
            snapshot.m_hosts.push_back(
                { text(*host, "name"), hostState(*host), FailureDomainId(text(*host, "failureDomain")) });
        return snapshot;
    });
}

Result<WorkerLeaseAnswer> decodeWorkerLease(const HttpAnswer& answer, const WorkerId& worker, ErrorKind unavailable)
{
    const auto decoder = [&](const json::object& body) -> Result<WorkerLeaseAnswer> {
        if (answer.m_status == 409)
            return WorkerLeaseAnswer(leaseRefusal(body));
        WorkerLeaseGrant grant;
        grant.m_epoch = number<std::uint64_t>(body, "epoch");
        grant.m_report.m_worker = worker;
        grant.m_report.m_incarnation = IncarnationId(text(body, "incarnation"));
        grant.m_report.m_sequence = number<std::uint64_t>(body, "seq");
        grant.m_report.m_full = flag(body, "full");
        for (const json::object* task : objects(body, "tasks", false))
            grant.m_report.m_tasks.push_back(taskReport(*task));
        return WorkerLeaseAnswer(std::move(grant));
    };
    return decode<WorkerLeaseAnswer>(answer, unavailable, { 200, 409 }, decoder);
}

Result<ReleaseAnswer> decodeRelease(const HttpAnswer& answer, ErrorKind unavailable)
{
    return decode<ReleaseAnswer>(
        answer, unavailable, { 200, 409 }, [&](const json::object& body) -> Result<ReleaseAnswer> {
            if (answer.m_status == 409)
                return ReleaseAnswer(leaseRefusal(body));
            return ReleaseAnswer(Unit {});
        });
}

Result<CommandAnswer> decodeCommands(const HttpAnswer& answer, const CommandRequest& request, ErrorKind unavailable)
{
    const auto decoder = [&](const json::object& body) -> Result<CommandAnswer> {
        if (answer.m_status == 410)
            return CommandAnswer(IncarnationRefusal { IncarnationId(text(body, "incarnation")) });
        if (answer.m_status == 409)
            return CommandAnswer(
                StaleEpochRefusal { DaemonId(text(body, "holder")), number<std::uint64_t>(body, "epoch") });
        std::vector<CommandResult> results;
        for (const json::object* result : objects(body, "results", true))
            results.push_back({ TaskId(text(*result, "task")), flag(*result, "ok"), textOr(*result, "reason") });
        if (results.size() != request.m_commands.size())
            throw Malformed("the answer has another number of results than the request has commands");
        for (std::size_t i = 0; i < results.size(); ++i) {
            if (results[i].m_task != request.m_commands[i].m_target.m_task)
                throw Malformed("the answer has results of other tasks");
        }
        return CommandAnswer(std::move(results));
    };
    return decode<CommandAnswer>(answer, unavailable, { 200, 409, 410 }, decoder);
}

Result<MinionLeaseAnswer> decodeMinionLease(const HttpAnswer& answer, ErrorKind unavailable)
{
    const auto decoder = [&](const json::object& body) -> Result<MinionLeaseAnswer> {
        if (answer.m_status == 409)
            return MinionLeaseAnswer(leaseRefusal(body));
        MinionLeaseGrant grant;
        grant.m_epoch = number<std::uint64_t>(body, "epoch");
        grant.m_inFlight = number<std::uint32_t>(body, "inFlight");
        grant.m_connections = number<std::uint32_t>(body, "connections");
        grant.m_slots = number<std::uint32_t>(body, "slots");
        grant.m_leaving = flag(body, "leaving");
        return MinionLeaseAnswer(grant);
    };
    return decode<MinionLeaseAnswer>(answer, unavailable, { 200, 409 }, decoder);
}

} // namespace sapphiredale::platform
