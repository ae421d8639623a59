// Reader of the stand-in's settings.

#include "standin/StandinSettings.h"

#include "standin/JsonFields.h"

namespace sapphiredale::standin {

namespace json = boost::json;

namespace {

    template <typename T>
    T boundedCount(
        const json::object& object, std::string_view name, T otherwise, T max = std::numeric_limits<T>::max())
    {
        const std::uint64_t value = countField(object, name, otherwise);
        if (value > max)
            throw FieldError('"' + std::string(name) + "\" must be at most " + std::to_string(max));
        return static_cast<T>(value);
    }

    LogSettings readLog(const json::object& object)
    {
        requireKnown(object, { "retentionMs", "retainedRecords", "appendsPerSecond" });
        LogSettings log;
        log.m_retention = millisecondsField(object, "retentionMs", log.m_retention);
        log.m_retainedRecords = countField(object, "retainedRecords", log.m_retainedRecords);
        log.m_appendsPerSecond = boundedCount(object, "appendsPerSecond", log.m_appendsPerSecond);
        return log;
    }

    TaskSettings readTasks(const json::object& object)
    {
        requireKnown(object, { "startDelayMs", "usageLagMs", "minUsageFactor", "maxUsageFactor", "checkpointMs" });
        TaskSettings tasks;
        tasks.m_startDelay = millisecondsField(object, "startDelayMs", tasks.m_startDelay);
        tasks.m_usageLag = millisecondsField(object, "usageLagMs", tasks.m_usageLag);
        tasks.m_minUsageFactor = numberField(object, "minUsageFactor", tasks.m_minUsageFactor);
        tasks.m_maxUsageFactor = numberField(object, "maxUsageFactor", tasks.m_maxUsageFactor);
        tasks.m_checkpointTime = millisecondsField(object, "checkpointMs", tasks.m_checkpointTime);
        if (!(tasks.m_minUsageFactor >= 0 && tasks.m_minUsageFactor <= tasks.m_maxUsageFactor
                && tasks.m_maxUsageFactor <= 1000))
            throw FieldError("\"minUsageFactor\" and \"maxUsageFactor\" must be ordered and between 0 and 1000");
        return tasks;
    }

    WorkerGroup readGroup(const json::object& object)
    {
        requireKnown(object, { "prefix", "count", "perRack", "failureDomain", "capacity" });
        WorkerGroup group;
        group.m_prefix = stringField(object, "prefix");
        group.m_count = boundedCount<std::uint32_t>(object, "count", 0, 10000);
        group.m_perRack = boundedCount(object, "perRack", group.m_perRack);
        group.m_failureDomain = FailureDomainId(stringField(object, "failureDomain"));
        group.m_capacity = resourcesField(object, "capacity");
        if (group.m_prefix.empty() || group.m_prefix.find('/') != std::string::npos)
            throw FieldError("\"prefix\" must be a text without \"/\"");
        return group;
    }

    StandinSettings readSettings(const json::object& object)
    {
        requireKnown(object,
            { "address", "logPort", "hostsPort", "workersPort", "controlPort", "threads", "seed", "hostListLagMs",
                "retainedExecutions", "log", "tasks", "workers", "hosts" });
        StandinSettings settings;
        settings.m_address = stringField(object, "address", settings.m_address);
        settings.m_logPort = boundedCount(object, "logPort", settings.m_logPort);
        settings.m_hostsPort = boundedCount(object, "hostsPort", settings.m_hostsPort);
        settings.m_workersPort = boundedCount(object, "workersPort", settings.m_workersPort);
        settings.m_controlPort = boundedCount(object, "controlPort", settings.m_controlPort);
        settings.m_threads = boundedCount<std::uint32_t>(object, "threads", settings.m_threads, 64);
        settings.m_seed = countField(object, "seed", settings.m_seed);
        settings.m_hostListLag = millisecondsField(object, "hostListLagMs", settings.m_hostListLag);
        settings.m_retainedExecutions = boundedCount(object, "retainedExecutions", settings.m_retainedExecutions);
        if (const json::object* log = objectField(object, "log"))
            settings.m_log = readLog(*log);
        if (const json::object* tasks = objectField(object, "tasks"))
            settings.m_tasks = readTasks(*tasks);
        for (const json::object* group : objectsField(object, "workers"))
            settings.m_workers.push_back(readGroup(*group));
        for (const json::object* host : objectsField(object, "hosts")) {
            requireKnown(*host, { "name", "failureDomain" });
            settings.m_hosts.push_back(
                { stringField(*host, "name"), FailureDomainId(stringField(*host, "failureDomain")) });
        }
        return settings;
    }

} // namespace

Result<StandinSettings> parseStandinSettings(std::string_view text)
{
    try {
        return readSettings(parseObject(text));
    } catch (const FieldError& error) {
        return Error { ErrorKind::InvalidRequest, error.what() };
    }
}

} // namespace sapphiredale::standin
