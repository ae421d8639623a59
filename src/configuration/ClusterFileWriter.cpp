// Canonical text of the operators' file.

#include "configuration/ClusterFileWriter.h"

#include "configuration/Decimal.h"
#include "configuration/EnumNames.h"
#include "configuration/WorkerGroup.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <cmath>
#include <span>
#include <string_view>
#include <vector>

namespace sapphiredale::configuration {

namespace {

    std::string quoted(std::string_view text) { return boost::json::serialize(boost::json::string(text)); }
    std::string weight(double value) { return decimalOfThousandths(std::llround(value * 1000)); }

    /// Builds one JSON object on one line.
    class ObjectWriter {
    public:
        ObjectWriter& raw(std::string_view name, std::string_view value)
        {
            m_text.append(m_text.empty() ? "{\"" : ", \"").append(name).append("\": ").append(value);
            return *this;
        }
        ObjectWriter& text(std::string_view name, std::string_view value) { return raw(name, quoted(value)); }
        ObjectWriter& number(std::string_view name, std::int64_t value) { return raw(name, std::to_string(value)); }
        ObjectWriter& boolean(std::string_view name, bool value) { return raw(name, value ? "true" : "false"); }
        std::string finish() { return m_text + '}'; }

    private:
        std::string m_text;
    };

    std::string textOf(const Resources& amount)
    {
        return ObjectWriter()
            .raw("cpus", decimalOfThousandths(amount.m_cpuMillis))
            .number("memoryMiB", amount.m_memoryMiB)
            .number("accelerators", amount.m_accelerators)
            .finish();
    }

    std::string textOf(const FailureDomainSpec& domain)
    {
        return ObjectWriter()
            .text("name", domain.m_name.value())
            .text("region", domain.m_region.value())
            .boolean("lost", domain.m_lost)
            .finish();
    }

    std::string textOf(const WorkerSpec& worker)
    {
        return ObjectWriter()
            .text("name", worker.m_name.value())
            .text("failureDomain", worker.m_failureDomain.value())
            .text("rack", worker.m_rack.value())
            .raw("capacity", textOf(worker.m_capacity))
            .text("address", worker.m_address)
            .finish();
    }

    std::string textOf(const WorkerGroup& group)
    {
        return ObjectWriter()
            .text("namePrefix", group.m_namePrefix)
            .number("first", group.m_first)
            .number("count", group.m_count)
            .number("perRack", group.m_perRack)
            .text("failureDomain", group.m_failureDomain.value())
            .raw("capacity", textOf(group.m_capacity))
            .text("addressTemplate", group.m_addressTemplate)
            .finish();
    }

    std::string textOf(const TeamSpec& team)
    {
        return ObjectWriter()
            .text("name", team.m_name.value())
            .raw("guaranteed", textOf(team.m_guaranteed))
            .raw("limit", textOf(team.m_limit))
            .finish();
    }

    std::string textOf(const ClassPolicy& policy)
    {
        return ObjectWriter()
            .text("name", policy.m_name.value())
            .text("kind", nameIn(classKindNames, policy.m_kind))
            .number("priority", policy.m_priority)
            .boolean("urgent", policy.m_urgent)
            .boolean("preemptible", policy.m_preemptible)
            .number("maxPreemptions", policy.m_maxPreemptions)
            .number("maxAttempts", policy.m_maxAttempts)
            .text("durability", nameIn(durabilityNames, policy.m_durability))
            .text("onDomainLoss", nameIn(onDomainLossNames, policy.m_onDomainLoss))
            .number("lapseStopSeconds", policy.m_lapseStopSeconds)
            .text("onOveruse", nameIn(onOveruseNames, policy.m_onOveruse))
            .number("agingSeconds", policy.m_agingSeconds)
            .finish();
    }

    std::string textOf(const WorkloadSpec& workload)
    {
        std::string domains = "[";
        for (const FailureDomainId& domain : workload.m_failureDomains)
            domains += (domains.size() > 1 ? ", " : "") + quoted(domain.value());
        ObjectWriter writer;
        writer.text("name", workload.m_name.value())
            .text("team", workload.m_team.value())
            .text("class", workload.m_class.value())
            .number("instances", workload.m_instances)
            .raw("resources", textOf(workload.m_resources))
            .raw("failureDomains", domains + ']')
            .number("maxPerRack", workload.m_maxPerRack)
            .number("maxRunSeconds", workload.m_maxRunSeconds)
            .text("program", workload.m_program);
        if (workload.m_minion) {
            writer.raw("minion",
                ObjectWriter()
                    .number("slots", workload.m_minion->m_slots)
                    .number("connections", workload.m_minion->m_connections)
                    .finish());
        }
        return writer.finish();
    }

    void appendList(std::string& text, std::string_view name, const std::vector<std::string>& elements)
    {
        text.append(",\n  \"").append(name).append("\": [");
        for (std::size_t i = 0; i < elements.size(); ++i)
            text.append(i == 0 ? "\n    " : ",\n    ").append(elements[i]);
        text.append(elements.empty() ? "]" : "\n  ]");
    }

    template <typename Spec> std::vector<std::string> textsOf(const std::vector<Spec>& list)
    {
        std::vector<std::string> texts;
        texts.reserve(list.size());
        for (const Spec& spec : list)
            texts.push_back(textOf(spec));
        return texts;
    }

    void appendWorkers(std::string& text, std::span<const WorkerSpec> workers)
    {
        std::vector<std::string> singles;
        std::vector<std::string> groups;
        while (!workers.empty()) {
            if (const std::optional<WorkerGroup> group = leadingGroup(workers)) {
                groups.push_back(textOf(*group));
                workers = workers.subspan(group->m_count);
            } else {
                singles.push_back(textOf(workers.front()));
                workers = workers.subspan(1);
            }
        }
        appendList(text, "workers", singles);
        appendList(text, "workerGroups", groups);
    }

} // namespace

std::string writeClusterFile(const ClusterFile& file)
{
    std::string text = "{\n  \"format\": " + std::to_string(file.m_format) + ",\n  \"cell\": " + quoted(file.m_cell)
        + ",\n  \"placement\": "
        + ObjectWriter()
              .raw("waiting", weight(file.m_placement.m_waiting))
              .raw("packing", weight(file.m_placement.m_packing))
              .finish();
    appendList(text, "failureDomains", textsOf(file.m_failureDomains));
    appendWorkers(text, file.m_workers);
    appendList(text, "teams", textsOf(file.m_teams));
    appendList(text, "classes", textsOf(file.m_classes));
    appendList(text, "workloads", textsOf(file.m_workloads));
    return text + "\n}\n";
}

} // namespace sapphiredale::configuration
