// Validation of submissions, their stored form, and chain lengths.

#include "jobs/JobSpec.h"

#include <algorithm>
#include <boost/json.hpp>

namespace sapphiredale::jobs {

namespace json = boost::json;

namespace {

    /// Cancellation by a call whose key was not examined.
    constexpr const char* unexaminedCancellation = "1";

    Error invalid(std::size_t step, const std::string& problem)
    {
        return { ErrorKind::InvalidRequest, "steps[" + std::to_string(step) + "]: " + problem };
    }

    /// Adds a member unless it has its default value; most members of most steps do.
    template <typename T> void put(json::object& object, const char* name, const T& value)
    {
        if (value != T {})
            object[name] = value;
    }

    json::object encodeStep(const StepSpec& step)
    {
        json::object object;
        put(object, "count", step.m_count);
        put(object, "cpuMillis", step.m_need.m_cpuMillis);
        put(object, "memoryMiB", step.m_need.m_memoryMiB);
        put(object, "accelerators", step.m_need.m_accelerators);
        put(object, "estimateMicros", step.m_estimate.count());
        if (!step.m_dependsOn.empty())
            object["dependsOn"] = json::array(step.m_dependsOn.begin(), step.m_dependsOn.end());
        put(object, "savesCheckpoints", step.m_savesCheckpoints);
        put(object, "gang", step.m_isGang);
        put(object, "rackLocal", step.m_isRackLocal);
        put(object, "copies", step.m_allowsCopies);
        put(object, "longRunning", step.m_isLongRunning);
        put(object, "filling", step.m_isFilling);
        put(object, "requiredLabel", step.m_requiredLabel);
        put(object, "dataRack", step.m_dataRack);
        put(object, "maxPerWorker", step.m_maxPerWorker);
        put(object, "imageName", step.m_image);
        put(object, "responseTargetMicros", step.m_responseTarget.count());
        put(object, "maxAway", step.m_maxAway);
        return object;
    }

    /// Reads the members of an object that this program wrote; a member that is missing has its default value.
    class Reader {
    public:
        explicit Reader(const json::object& object)
            : m_object(object)
        {
        }

        std::int64_t number(const char* name) const
        {
            const json::value* value = m_object.if_contains(name);
            return value != nullptr && value->is_int64() ? value->get_int64()
                : value != nullptr && value->is_uint64() ? static_cast<std::int64_t>(value->get_uint64())
                                                         : 0;
        }
        std::uint32_t count(const char* name) const { return static_cast<std::uint32_t>(number(name)); }
        bool flag(const char* name) const
        {
            const json::value* value = m_object.if_contains(name);
            return value != nullptr && value->is_bool() && value->get_bool();
        }
        std::string text(const char* name) const
        {
            const json::value* value = m_object.if_contains(name);
            return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
        }
        double real(const char* name) const
        {
            const json::value* value = m_object.if_contains(name);
            return value != nullptr && value->is_number() ? value->to_number<double>() : 0.0;
        }
        const json::array* list(const char* name) const
        {
            const json::value* value = m_object.if_contains(name);
            return value == nullptr ? nullptr : value->if_array();
        }
        const json::object* object(const char* name) const
        {
            const json::value* value = m_object.if_contains(name);
            return value == nullptr ? nullptr : value->if_object();
        }

    private:
        const json::object& m_object;
    };

    StepSpec decodeStep(const json::object& object)
    {
        const Reader reader(object);
        StepSpec step;
        step.m_count = reader.count("count");
        step.m_need = { reader.number("cpuMillis"), reader.number("memoryMiB"), reader.number("accelerators") };
        step.m_estimate = Duration(reader.number("estimateMicros"));
        if (const json::array* list = reader.list("dependsOn")) {
            // An entry that is no step number is rejected by validate().
            for (const json::value& entry : *list)
                step.m_dependsOn.push_back(
                    entry.is_int64() && entry.get_int64() >= 0 && entry.get_int64() < std::int64_t { maxSteps }
                        ? static_cast<std::uint32_t>(entry.get_int64())
                        : std::uint32_t { maxSteps });
        }
        step.m_savesCheckpoints = reader.flag("savesCheckpoints");
        step.m_isGang = reader.flag("gang");
        step.m_isRackLocal = reader.flag("rackLocal");
        step.m_allowsCopies = reader.flag("copies");
        step.m_isLongRunning = reader.flag("longRunning");
        step.m_isFilling = reader.flag("filling");
        step.m_requiredLabel = reader.text("requiredLabel");
        step.m_dataRack = reader.text("dataRack");
        step.m_maxPerWorker = reader.count("maxPerWorker");
        step.m_image = reader.text("imageName");
        step.m_responseTarget = Duration(reader.number("responseTargetMicros"));
        step.m_maxAway = reader.count("maxAway");
        return step;
    }

    /// Bounds of a stored policy. A damaged record must not let objectives overflow.
    constexpr double maxSlackFactor = 1000;
    constexpr Duration maxLatencyTarget = std::chrono::hours(24 * 1000);
    constexpr Duration maxAdviceTime = std::chrono::hours(24);

    Duration boundedTime(std::int64_t micros, Duration most)
    {
        return Duration(std::clamp<std::int64_t>(micros, -most.count(), most.count()));
    }

} // namespace

Result<Unit> validate(const JobSpec& spec)
{
    if (spec.m_payload.size() > maxPayloadBytes)
        return Error { ErrorKind::InvalidRequest, "the payload is longer than 4000 bytes" };
    if (spec.m_steps.empty() || spec.m_steps.size() > maxSteps)
        return Error { ErrorKind::InvalidRequest, "a job has 1 to 256 steps" };
    if (spec.m_intervalMs < 0 || spec.m_intervalMs > maxOccurrenceIntervalMs || spec.m_firstDueMs < 0
        || spec.m_firstDueMs > maxFirstDueMs)
        return Error { ErrorKind::InvalidRequest, "the due times of the occurrences are out of range" };
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.m_steps.size(); ++i) {
        const StepSpec& step = spec.m_steps[i];
        if (step.m_count == 0 || step.m_count > maxTasksPerStep)
            return invalid(i, "a step has 1 to 10000 tasks");
        tasks += std::uint64_t { step.m_count } * spec.occurrenceCount();
        if (tasks > maxTasksPerJob)
            return invalid(i, "a job has at most 100000 tasks in all its occurrences");
        if (step.m_need.hasNegative() || !step.m_need.fitsIn({ maxNeed, maxNeed, maxNeed }))
            return invalid(i, "a need is out of range");
        if (step.m_estimate < Duration::zero() || step.m_estimate > maxEstimate)
            return invalid(i, "an estimate is longer than 100 days");
        const auto isLater = [i](std::uint32_t dependency) { return dependency >= i; };
        if (std::any_of(step.m_dependsOn.begin(), step.m_dependsOn.end(), isLater))
            return invalid(i, "depends on a step that is not before it");
    }
    return Unit {};
}

std::string encodeJobRecord(const JobRecord& record)
{
    json::array steps;
    for (const StepSpec& step : record.m_spec.m_steps)
        steps.push_back(encodeStep(step));
    const QueuePolicy& policy = record.m_policy;
    json::object object { { "queue", policy.m_queue }, { "pool", policy.m_service },
        { "payload", record.m_spec.m_payload }, { "steps", std::move(steps) }, { "acceptedMs", record.m_acceptedMs },
        { "maxAttempts", policy.m_maxAttempts }, { "slack", policy.m_slackFactor },
        { "latencyTargetMicros", policy.m_latencyTarget.count() } };
    put(object, "priority", policy.m_priority);
    put(object, "occurrences", record.m_spec.m_occurrences);
    put(object, "firstDueMs", record.m_spec.m_firstDueMs);
    put(object, "intervalMs", record.m_spec.m_intervalMs);
    if (!record.m_team.value().empty()) {
        object["team"] = record.m_team.value();
        object["teamLimit"] = { { "cpuMillis", record.m_teamLimit.m_cpuMillis },
            { "memoryMiB", record.m_teamLimit.m_memoryMiB }, { "accelerators", record.m_teamLimit.m_accelerators } };
    }
    if (policy.m_advice) {
        object["advice"] = { { "baseMicros", policy.m_advice->m_base.count() },
            { "perWorkerMicros", policy.m_advice->m_perWorker.count() },
            { "validityMicros", policy.m_advice->m_validity.count() } };
    }
    return json::serialize(object);
}

Result<JobRecord> decodeJobRecord(const JobId& job, std::string_view text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error || !document.is_object())
        return Error { ErrorKind::InvalidRequest, "the record of job " + job.value() + " is not a JSON object" };
    const Reader reader(document.get_object());
    JobRecord record;
    record.m_job = job;
    record.m_policy.m_queue = reader.text("queue");
    record.m_policy.m_service = reader.text("pool");
    record.m_policy.m_priority = reader.count("priority");
    record.m_policy.m_maxAttempts = std::max(1U, reader.count("maxAttempts"));
    record.m_policy.m_slackFactor = std::clamp(reader.real("slack"), 0.0, maxSlackFactor);
    record.m_policy.m_latencyTarget = boundedTime(reader.number("latencyTargetMicros"), maxLatencyTarget);
    if (const json::object* object = reader.object("advice")) {
        const Reader advice(*object);
        record.m_policy.m_advice = AdvicePolicy { boundedTime(advice.number("baseMicros"), maxAdviceTime),
            boundedTime(advice.number("perWorkerMicros"), maxAdviceTime),
            boundedTime(advice.number("validityMicros"), maxAdviceTime) };
    }
    record.m_team = TeamId(reader.text("team"));
    if (const json::object* object = reader.object("teamLimit")) {
        const Reader limit(*object);
        record.m_teamLimit = { limit.number("cpuMillis"), limit.number("memoryMiB"), limit.number("accelerators") };
    }
    record.m_spec.m_payload = reader.text("payload");
    record.m_spec.m_occurrences = reader.count("occurrences");
    record.m_spec.m_firstDueMs = reader.number("firstDueMs");
    record.m_spec.m_intervalMs = reader.number("intervalMs");
    record.m_acceptedMs = std::clamp<std::int64_t>(reader.number("acceptedMs"), 0, maxFirstDueMs);
    if (const json::array* steps = reader.list("steps")) {
        for (const json::value& step : *steps) {
            if (step.is_object())
                record.m_spec.m_steps.push_back(decodeStep(step.get_object()));
        }
    }
    if (const Result<Unit> valid = validate(record.m_spec); !succeeded(valid))
        return errorOf(valid);
    return record;
}

Result<Unit> checkLimit(const JobSpec& spec, const Resources& limit)
{
    const auto exceeds = [](std::int64_t need, std::int64_t most) { return most > 0 && need > most; };
    for (std::size_t i = 0; i < spec.m_steps.size(); ++i) {
        const StepSpec& step = spec.m_steps[i];
        const Resources need = step.m_isGang ? step.m_need * step.m_count : step.m_need;
        const char* amount = exceeds(need.m_cpuMillis, limit.m_cpuMillis) ? "processor"
            : exceeds(need.m_memoryMiB, limit.m_memoryMiB)                ? "memory"
            : exceeds(need.m_accelerators, limit.m_accelerators)          ? "accelerators"
                                                                          : nullptr;
        if (amount != nullptr)
            return Error { ErrorKind::QuotaExceeded,
                "steps[" + std::to_string(i) + "]: a " + (step.m_isGang ? "gang" : "task") + " needs more " + amount
                    + " than the limit of the team" };
    }
    return Unit {};
}

std::string encodeCancellation(const Canceller& canceller)
{
    if (!canceller.m_isExamined)
        return unexaminedCancellation;
    return json::serialize(json::object { { "team", canceller.m_team.value() } });
}

Canceller decodeCancellation(std::string_view text)
{
    if (text == unexaminedCancellation)
        return {};
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error || !document.is_object())
        return { true, TeamId() };
    return { true, TeamId(Reader(document.get_object()).text("team")) };
}

std::vector<Duration> criticalPaths(const JobSpec& spec)
{
    std::vector<Duration> result(spec.m_steps.size());
    // Steps depend on earlier ones only.
    for (std::size_t i = spec.m_steps.size(); i-- > 0;) {
        result[i] += spec.m_steps[i].m_estimate;
        for (const std::uint32_t dependency : spec.m_steps[i].m_dependsOn)
            result[dependency] = std::max(result[dependency], result[i]);
    }
    return result;
}

Duration criticalPathLength(const JobSpec& spec)
{
    const std::vector<Duration> all = criticalPaths(spec);
    return all.empty() ? Duration::zero() : *std::max_element(all.begin(), all.end());
}

} // namespace sapphiredale::jobs
