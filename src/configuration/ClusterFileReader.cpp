// Conversion from JSON to the value types, with all faults and their paths.

#include "configuration/ClusterFileReader.h"

#include "configuration/ClusterFileValidator.h"
#include "configuration/EnumNames.h"
#include "configuration/FileErrorList.h"
#include "configuration/JsonStructure.h"
#include "configuration/WorkerGroup.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::configuration {

namespace {

    namespace json = boost::json;

    /// Values that a file of the greatest counts needs, with room for comments of the format.
    constexpr std::size_t maxValues = 200000;
    constexpr std::int64_t maxCpuMillis = 100'000'000;
    constexpr std::int64_t maxMemoryMiB = 10'000'000'000;
    constexpr std::int64_t maxAccelerators = 1'000'000;
    constexpr std::uint32_t maxSeconds = 400'000'000;

    std::string shown(const json::value& value)
    {
        constexpr std::size_t maxShown = 60;
        if (value.is_object())
            return "an object";
        if (value.is_array())
            return "an array";
        std::string text = json::serialize(value);
        if (text.size() > maxShown)
            text = text.substr(0, maxShown) + "...";
        return text;
    }

    /// Reads the members of one object. Every read names a member; finish() refuses the members that were not named.
    class ObjectReader {
    public:
        ObjectReader(const json::value* value, std::string path, const FileLimits& limits, FileErrorList& errors)
            : m_object(value ? value->if_object() : nullptr)
            , m_path(std::move(path))
            , m_limits(limits)
            , m_errors(errors)
        {
            if (value && !m_object)
                m_errors.add(m_path, shown(*value) + " is not an object", "an object");
        }

        const std::string& path() const { return m_path; }
        std::string pathOf(std::string_view name) const
        {
            return (m_path.empty() ? "" : m_path + '.') + std::string(name);
        }
        bool has(std::string_view name) const { return m_object && m_object->contains(name); }

        std::string text(std::string_view name, std::size_t maxBytes)
        {
            const json::value* value = required(name, "a string");
            if (!value)
                return {};
            const json::string* string = value->if_string();
            if (!string || string->size() > maxBytes || hasControlCharacter(*string)) {
                const std::string problem = string && string->size() > maxBytes
                    ? "the string has " + std::to_string(string->size()) + " bytes"
                    : shown(*value) + " is not a string of printable characters";
                refuse(name, problem, "a string of at most " + std::to_string(maxBytes) + " bytes");
                return {};
            }
            return std::string(string->data(), string->size());
        }

        template <typename Id> Id identifier(std::string_view name)
        {
            // Longer names reach the validator, which states what a name may be.
            return Id(text(name, m_limits.m_textBytes));
        }

        template <typename Integer>
        Integer integer(std::string_view name, std::optional<Integer> fallback, Integer minimum, Integer maximum)
        {
            const std::string accepted
                = "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
            const json::value* value = fallback ? optional(name) : required(name, accepted);
            if (!value)
                return fallback.value_or(minimum);
            const std::int64_t* number = value->if_int64();
            if (!number || *number < static_cast<std::int64_t>(minimum)
                || *number > static_cast<std::int64_t>(maximum)) {
                refuse(name, shown(*value) + " is out of range or not an integer", accepted);
                return fallback.value_or(minimum);
            }
            return static_cast<Integer>(*number);
        }

        /// A number with at most three decimals, in thousandths.
        std::int64_t thousandths(std::string_view name, std::optional<std::int64_t> fallback, std::int64_t maximum)
        {
            const std::string accepted
                = "a number from 0 to " + std::to_string(maximum / 1000) + " with at most three decimals";
            const json::value* value = fallback ? optional(name) : required(name, accepted);
            if (!value)
                return fallback.value_or(0);
            const std::optional<std::int64_t> number = thousandthsOf(*value, maximum);
            if (!number)
                refuse(name, shown(*value) + " is out of range or not such a number", accepted);
            return number.value_or(0);
        }

        bool boolean(std::string_view name, bool fallback)
        {
            const json::value* value = optional(name);
            if (!value)
                return fallback;
            if (!value->is_bool())
                refuse(name, shown(*value) + " is not a boolean", "true or false");
            return value->is_bool() ? value->as_bool() : fallback;
        }

        template <typename Enum, std::size_t count>
        Enum enumeration(std::string_view name, const EnumNames<Enum, count>& names, std::optional<Enum> fallback)
        {
            std::string accepted;
            for (const auto& [candidate, text] : names)
                accepted += (accepted.empty() ? "\"" : " or \"") + std::string(text) + '"';
            const json::value* value = fallback ? optional(name) : required(name, accepted);
            if (!value)
                return fallback.value_or(names.front().first);
            if (const json::string* string = value->if_string()) {
                for (const auto& [candidate, text] : names) {
                    if (std::string_view(string->data(), string->size()) == text)
                        return candidate;
                }
            }
            refuse(name, shown(*value) + " is not known", accepted);
            return fallback.value_or(names.front().first);
        }

        /// Reader of a member object; a missing optional object has no members and no faults.
        ObjectReader object(std::string_view name, bool isRequired)
        {
            return { isRequired ? required(name, "an object") : optional(name), pathOf(name), m_limits, m_errors };
        }

        /// Calls read for each element of a list. A list beyond its bound is refused without reading its elements.
        void list(std::string_view name, std::size_t maxCount,
            const std::function<void(const json::value&, const std::string& path)>& read)
        {
            const json::value* value = optional(name);
            if (!value)
                return;
            const json::array* array = value->if_array();
            if (!array || array->size() > maxCount) {
                const std::string problem = array ? "the list has " + std::to_string(array->size()) + " elements"
                                                  : shown(*value) + " is not a list";
                refuse(name, problem, "a list of at most " + std::to_string(maxCount) + " elements");
                return;
            }
            for (std::size_t i = 0; i < array->size(); ++i)
                read((*array)[i], pathOf(name) + '[' + std::to_string(i) + ']');
        }

        void finish()
        {
            if (!m_object)
                return;
            for (const auto& member : *m_object) {
                const std::string_view key(member.key().data(), member.key().size());
                if (std::find(m_known.begin(), m_known.end(), key) != m_known.end())
                    continue;
                std::string accepted;
                for (const std::string& name : m_known)
                    accepted += (accepted.empty() ? "" : ", ") + name;
                m_errors.add(
                    pathOf(key.substr(0, m_limits.m_nameBytes)), "the member is not known", "one of " + accepted);
            }
        }

    private:
        static bool hasControlCharacter(const json::string& text)
        {
            return std::any_of(
                text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
        }

        static std::optional<std::int64_t> thousandthsOf(const json::value& value, std::int64_t maximum)
        {
            if (const std::int64_t* integer = value.if_int64()) {
                return *integer >= 0 && *integer <= maximum / 1000 ? std::optional(*integer * 1000) : std::nullopt;
            }
            const double* number = value.if_double();
            if (!number || !std::isfinite(*number) || *number < 0 || *number > static_cast<double>(maximum) / 1000)
                return std::nullopt;
            // The tolerance covers the rounding of the parsed number, not further decimals.
            const double scaled = *number * 1000;
            const double rounded = std::round(scaled);
            return std::abs(scaled - rounded) < 1e-4 ? std::optional(static_cast<std::int64_t>(rounded)) : std::nullopt;
        }

        const json::value* optional(std::string_view name)
        {
            m_known.emplace_back(name);
            return m_object ? m_object->if_contains(name) : nullptr;
        }

        const json::value* required(std::string_view name, const std::string& accepted)
        {
            const json::value* value = optional(name);
            if (!value && m_object)
                m_errors.add(pathOf(name), "the member is missing", accepted);
            return value;
        }

        void refuse(std::string_view name, const std::string& problem, const std::string& accepted)
        {
            m_errors.add(pathOf(name), problem, accepted);
        }

        const json::object* m_object;
        std::string m_path;
        const FileLimits& m_limits;
        FileErrorList& m_errors;
        std::vector<std::string> m_known;
    };

    class FileReader {
    public:
        FileReader(const json::value& root, const FileLimits& limits, FileErrorList& errors)
            : m_root(&root, "", limits, errors)
            , m_limits(limits)
            , m_errors(errors)
        {
        }

        DeclaredFile read()
        {
            ClusterFile& file = m_declared.m_file;
            file.m_format = m_root.integer<std::uint32_t>("format", std::nullopt, 1, supportedFileFormat);
            if (m_errors.hasErrorUnder("format"))
                return {};
            file.m_cell = m_root.text("cell", m_limits.m_textBytes);
            file.m_placement = readWeights();
            m_root.list(
                "failureDomains", m_limits.m_failureDomains, [&](const json::value& value, const std::string& path) {
                    file.m_failureDomains.push_back(readFailureDomain(value, path));
                });
            m_root.list("workers", m_limits.m_workers,
                [&](const json::value& value, const std::string& path) { addWorker(readWorker(value, path), path); });
            m_root.list("workerGroups", m_limits.m_workers,
                [&](const json::value& value, const std::string& path) { readWorkerGroup(value, path); });
            m_root.list("teams", m_limits.m_teams, [&](const json::value& value, const std::string& path) {
                file.m_teams.push_back(readTeam(value, path));
            });
            m_root.list("classes", m_limits.m_classes, [&](const json::value& value, const std::string& path) {
                file.m_classes.push_back(readClass(value, path));
            });
            m_root.list("workloads", m_limits.m_workloads, [&](const json::value& value, const std::string& path) {
                file.m_workloads.push_back(readWorkload(value, path));
            });
            m_root.finish();
            return std::move(m_declared);
        }

    private:
        ObjectReader open(const json::value& value, const std::string& path)
        {
            return { &value, path, m_limits, m_errors };
        }

        PlacementWeights readWeights()
        {
            ObjectReader reader = m_root.object("placement", false);
            PlacementWeights weights;
            weights.m_waiting = static_cast<double>(reader.thousandths("waiting", 500, 1'000'000)) / 1000;
            weights.m_packing = static_cast<double>(reader.thousandths("packing", 500, 1'000'000)) / 1000;
            reader.finish();
            return weights;
        }

        FailureDomainSpec readFailureDomain(const json::value& value, const std::string& path)
        {
            ObjectReader reader = open(value, path);
            FailureDomainSpec domain;
            domain.m_name = reader.identifier<FailureDomainId>("name");
            domain.m_region = reader.identifier<RegionId>("region");
            domain.m_lost = reader.boolean("lost", false);
            reader.finish();
            return domain;
        }

        /// Amounts of a worker, a task or a quota. Optional amounts are zero when they are not given.
        static Resources readResources(ObjectReader reader, bool isRequired)
        {
            const std::optional<std::int64_t> fallback = isRequired ? std::nullopt : std::optional<std::int64_t>(0);
            Resources amount;
            amount.m_cpuMillis = reader.thousandths("cpus", fallback, maxCpuMillis);
            amount.m_memoryMiB = reader.integer<std::int64_t>("memoryMiB", fallback, 0, maxMemoryMiB);
            amount.m_accelerators = reader.integer<std::int64_t>("accelerators", 0, 0, maxAccelerators);
            reader.finish();
            return amount;
        }

        WorkerSpec readWorker(const json::value& value, const std::string& path)
        {
            ObjectReader reader = open(value, path);
            WorkerSpec worker;
            worker.m_name = reader.identifier<WorkerId>("name");
            worker.m_failureDomain = reader.identifier<FailureDomainId>("failureDomain");
            worker.m_rack = reader.identifier<RackId>("rack");
            worker.m_capacity = readResources(reader.object("capacity", true), true);
            worker.m_address = reader.text("address", m_limits.m_textBytes);
            reader.finish();
            return worker;
        }

        void addWorker(WorkerSpec worker, std::string path)
        {
            m_declared.m_file.m_workers.push_back(std::move(worker));
            m_declared.m_workerPaths.push_back(std::move(path));
        }

        void readWorkerGroup(const json::value& value, const std::string& path)
        {
            ObjectReader reader = open(value, path);
            const std::size_t errorsBefore = m_errors.count();
            const auto maxWorkers = static_cast<std::uint32_t>(m_limits.m_workers);
            WorkerGroup group;
            group.m_namePrefix = reader.text("namePrefix", m_limits.m_nameBytes);
            group.m_first = reader.integer<std::uint32_t>("first", 1, 0, maxGroupFirst);
            group.m_count = reader.integer<std::uint32_t>("count", std::nullopt, 1, maxWorkers);
            group.m_perRack = reader.integer<std::uint32_t>("perRack", std::nullopt, 1, maxWorkers);
            group.m_failureDomain = reader.identifier<FailureDomainId>("failureDomain");
            group.m_capacity = readResources(reader.object("capacity", true), true);
            group.m_addressTemplate = reader.text("addressTemplate", m_limits.m_textBytes);
            reader.finish();
            if (m_errors.count() > errorsBefore)
                return;
            if (group.m_count + m_declared.m_file.m_workers.size() > m_limits.m_workers) {
                m_errors.add(path + ".count",
                    "the file declares more than " + std::to_string(m_limits.m_workers) + " workers",
                    "at most " + std::to_string(m_limits.m_workers) + " workers in all");
                return;
            }
            for (std::uint32_t i = 0; i < group.m_count; ++i)
                addWorker(workerAt(group, i), path);
        }

        TeamSpec readTeam(const json::value& value, const std::string& path)
        {
            ObjectReader reader = open(value, path);
            TeamSpec team;
            team.m_name = reader.identifier<TeamId>("name");
            team.m_guaranteed = readResources(reader.object("guaranteed", false), false);
            team.m_limit = readResources(reader.object("limit", true), true);
            reader.finish();
            return team;
        }

        ClassPolicy readClass(const json::value& value, const std::string& path)
        {
            ObjectReader reader = open(value, path);
            ClassPolicy policy;
            policy.m_name = reader.identifier<ClassId>("name");
            policy.m_kind = reader.enumeration<ClassKind>("kind", classKindNames, std::nullopt);
            policy.m_priority = reader.integer<std::int32_t>("priority", policy.m_priority, -1000, 1000);
            policy.m_urgent = reader.boolean("urgent", policy.m_urgent);
            policy.m_preemptible = reader.boolean("preemptible", policy.m_preemptible);
            policy.m_maxPreemptions = reader.integer<std::uint32_t>("maxPreemptions", policy.m_maxPreemptions, 0, 1000);
            policy.m_maxAttempts = reader.integer<std::uint32_t>("maxAttempts", policy.m_maxAttempts, 1, 1000);
            policy.m_durability = reader.enumeration<Durability>("durability", durabilityNames, policy.m_durability);
            policy.m_onDomainLoss
                = reader.enumeration<OnDomainLoss>("onDomainLoss", onDomainLossNames, policy.m_onDomainLoss);
            // A renewal may take 7 s and one retry 7 s more; a shorter lapse would stop tasks of a healthy domain.
            policy.m_lapseStopSeconds
                = reader.integer<std::uint32_t>("lapseStopSeconds", policy.m_lapseStopSeconds, 20, 86400);
            policy.m_onOveruse = reader.enumeration<OnOveruse>("onOveruse", onOveruseNames, policy.m_onOveruse);
            policy.m_agingSeconds = reader.integer<std::uint32_t>("agingSeconds", policy.m_agingSeconds, 0, 86400);
            reader.finish();
            return policy;
        }

        WorkloadSpec readWorkload(const json::value& value, const std::string& path)
        {
            ObjectReader reader = open(value, path);
            WorkloadSpec workload;
            workload.m_name = reader.identifier<WorkloadId>("name");
            workload.m_team = reader.identifier<TeamId>("team");
            workload.m_class = reader.identifier<ClassId>("class");
            workload.m_instances = reader.integer<std::uint32_t>("instances", 0, 0, m_limits.m_instances);
            workload.m_resources = readResources(reader.object("resources", true), true);
            reader.list(
                "failureDomains", m_limits.m_failureDomains, [&](const json::value& item, const std::string& itemPath) {
                    if (const json::string* name = item.if_string())
                        workload.m_failureDomains.emplace_back(std::string(name->data(), name->size()));
                    else
                        m_errors.add(itemPath, shown(item) + " is not a string", "the name of a failure domain");
                });
            workload.m_maxPerRack = reader.integer<std::uint32_t>("maxPerRack", 0, 0, m_limits.m_instances);
            workload.m_maxRunSeconds = reader.integer<std::uint32_t>("maxRunSeconds", 0, 0, maxSeconds);
            workload.m_program = reader.text("program", m_limits.m_textBytes);
            if (reader.has("minion")) {
                ObjectReader minionReader = reader.object("minion", true);
                MinionSpec minion;
                minion.m_slots = minionReader.integer<std::uint32_t>("slots", minion.m_slots, 1, 1024);
                minion.m_connections
                    = minionReader.integer<std::uint32_t>("connections", minion.m_connections, 2, 65536);
                minionReader.finish();
                workload.m_minion = minion;
            } else {
                reader.object("minion", false);
            }
            reader.finish();
            return workload;
        }

        ObjectReader m_root;
        const FileLimits& m_limits;
        FileErrorList& m_errors;
        DeclaredFile m_declared;
    };

    template <typename Spec> void sortByName(std::vector<Spec>& list)
    {
        std::sort(list.begin(), list.end(), [](const Spec& a, const Spec& b) { return a.m_name < b.m_name; });
    }

    void sortLists(ClusterFile& file)
    {
        sortByName(file.m_failureDomains);
        std::sort(file.m_workers.begin(), file.m_workers.end(), [](const WorkerSpec& a, const WorkerSpec& b) {
            return workerNameLess(a.m_name.value(), b.m_name.value());
        });
        sortByName(file.m_teams);
        sortByName(file.m_classes);
        sortByName(file.m_workloads);
        for (WorkloadSpec& workload : file.m_workloads)
            std::sort(workload.m_failureDomains.begin(), workload.m_failureDomains.end());
    }

    std::optional<json::value> readDocument(std::string_view text, const FileLimits& limits, FileErrorList& errors)
    {
        if (text.size() > limits.m_bytes) {
            errors.add("", "the text has " + std::to_string(text.size()) + " bytes",
                "at most " + std::to_string(limits.m_bytes) + " bytes");
            return std::nullopt;
        }
        if (!checkJsonStructure(text, limits.m_depth, maxValues, errors))
            return std::nullopt;
        json::parse_options options;
        options.allow_comments = true;
        options.allow_trailing_commas = true;
        options.max_depth = limits.m_depth;
        json::error_code error;
        json::value document = json::parse(text, error, {}, options);
        if (error) {
            errors.add("", "invalid JSON: " + error.message(), "JSON");
            return std::nullopt;
        }
        return document;
    }

} // namespace

ParseResult parseClusterFile(std::string_view text, const FileLimits& limits)
{
    FileErrorList errors(limits.m_errors);
    const std::optional<json::value> document = readDocument(text, limits, errors);
    if (!document)
        return errors.take();
    DeclaredFile declared = FileReader(*document, limits, errors).read();
    if (!errors.hasErrorUnder("format") && document->is_object())
        validateClusterFile(declared, limits, errors);
    if (!errors.empty())
        return errors.take();
    sortLists(declared.m_file);
    return std::move(declared.m_file);
}

} // namespace sapphiredale::configuration
