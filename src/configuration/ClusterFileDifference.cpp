// Comparison of two files, element by element and member by member.

#include "configuration/ClusterFileDifference.h"

#include "configuration/Decimal.h"
#include "configuration/EnumNames.h"

#include <cmath>
#include <map>
#include <string_view>
#include <utility>

namespace sapphiredale::configuration {

namespace {

    /// Members of an element with their values as text, in a fixed order.
    using Fields = std::vector<std::pair<std::string, std::string>>;

    /// More added or removed elements of a list than this are summed up in one line.
    constexpr std::size_t maxSingleLines = 8;

    std::string textOf(bool value) { return value ? "true" : "false"; }

    std::string textOf(const Resources& amount)
    {
        std::string text
            = decimalOfThousandths(amount.m_cpuMillis) + " cpus, " + std::to_string(amount.m_memoryMiB) + " MiB";
        if (amount.m_accelerators > 0)
            text += ", " + std::to_string(amount.m_accelerators) + " accelerators";
        return text;
    }

    void addResources(Fields& fields, const std::string& name, const Resources& amount)
    {
        fields.emplace_back(name + ".cpus", decimalOfThousandths(amount.m_cpuMillis));
        fields.emplace_back(name + ".memoryMiB", std::to_string(amount.m_memoryMiB));
        fields.emplace_back(name + ".accelerators", std::to_string(amount.m_accelerators));
    }

    Fields fieldsOf(const FailureDomainSpec& domain)
    {
        return { { "region", domain.m_region.value() }, { "lost", textOf(domain.m_lost) } };
    }

    Fields fieldsOf(const WorkerSpec& worker)
    {
        Fields fields { { "failureDomain", worker.m_failureDomain.value() }, { "rack", worker.m_rack.value() } };
        addResources(fields, "capacity", worker.m_capacity);
        fields.emplace_back("address", worker.m_address);
        return fields;
    }

    Fields fieldsOf(const TeamSpec& team)
    {
        Fields fields;
        addResources(fields, "guaranteed", team.m_guaranteed);
        addResources(fields, "limit", team.m_limit);
        return fields;
    }

    Fields fieldsOf(const ClassPolicy& policy)
    {
        return {
            { "kind", std::string(nameIn(classKindNames, policy.m_kind)) },
            { "priority", std::to_string(policy.m_priority) },
            { "urgent", textOf(policy.m_urgent) },
            { "preemptible", textOf(policy.m_preemptible) },
            { "maxPreemptions", std::to_string(policy.m_maxPreemptions) },
            { "maxAttempts", std::to_string(policy.m_maxAttempts) },
            { "durability", std::string(nameIn(durabilityNames, policy.m_durability)) },
            { "onDomainLoss", std::string(nameIn(onDomainLossNames, policy.m_onDomainLoss)) },
            { "lapseStopSeconds", std::to_string(policy.m_lapseStopSeconds) },
            { "onOveruse", std::string(nameIn(onOveruseNames, policy.m_onOveruse)) },
            { "agingSeconds", std::to_string(policy.m_agingSeconds) },
        };
    }

    Fields fieldsOf(const WorkloadSpec& workload)
    {
        std::string domains;
        for (const FailureDomainId& domain : workload.m_failureDomains)
            domains += (domains.empty() ? "" : ", ") + domain.value();
        Fields fields {
            { "team", workload.m_team.value() },
            { "class", workload.m_class.value() },
            { "instances", std::to_string(workload.m_instances) },
        };
        addResources(fields, "resources", workload.m_resources);
        fields.emplace_back("failureDomains", domains.empty() ? "all" : domains);
        fields.emplace_back("maxPerRack", std::to_string(workload.m_maxPerRack));
        fields.emplace_back("maxRunSeconds", std::to_string(workload.m_maxRunSeconds));
        fields.emplace_back("program", workload.m_program);
        fields.emplace_back("minion.slots", workload.m_minion ? std::to_string(workload.m_minion->m_slots) : "none");
        fields.emplace_back(
            "minion.connections", workload.m_minion ? std::to_string(workload.m_minion->m_connections) : "none");
        return fields;
    }

    std::string summaryOf(const FailureDomainSpec& domain) { return "region " + domain.m_region.value(); }
    std::string summaryOf(const WorkerSpec& worker)
    {
        return worker.m_failureDomain.value() + ", " + textOf(worker.m_capacity);
    }
    std::string summaryOf(const TeamSpec& team) { return "limit " + textOf(team.m_limit); }
    std::string summaryOf(const ClassPolicy& policy) { return std::string(nameIn(classKindNames, policy.m_kind)); }
    std::string summaryOf(const WorkloadSpec& workload)
    {
        std::string text
            = workload.m_class.value() + ", team " + workload.m_team.value() + ", " + textOf(workload.m_resources);
        return workload.m_instances > 0 ? text + ", " + std::to_string(workload.m_instances) + " instances" : text;
    }

    class Difference {
    public:
        explicit Difference(std::size_t maxLines)
            : m_maxLines(maxLines)
        {
        }

        void value(const std::string& path, const std::string& before, const std::string& after)
        {
            if (before != after)
                add(path + ": " + before + " -> " + after);
        }

        template <typename Spec>
        void list(const std::string& name, const std::vector<Spec>& before, const std::vector<Spec>& after)
        {
            std::map<std::string_view, const Spec*> old;
            for (const Spec& spec : before)
                old.emplace(spec.m_name.value(), &spec);

            std::vector<const Spec*> added;
            for (const Spec& spec : after) {
                const auto found = old.find(spec.m_name.value());
                if (found == old.end()) {
                    added.push_back(&spec);
                    continue;
                }
                element(name + '[' + spec.m_name.value() + ']', fieldsOf(*found->second), fieldsOf(spec));
                old.erase(found);
            }
            std::vector<const Spec*> removed;
            for (const Spec& spec : before) {
                if (old.contains(spec.m_name.value()))
                    removed.push_back(&spec);
            }
            elements(name, added, "added");
            elements(name, removed, "removed");
        }

        std::vector<std::string> take()
        {
            if (m_omitted > 0)
                m_lines.push_back("and " + std::to_string(m_omitted) + " more changes");
            return std::move(m_lines);
        }

    private:
        void element(const std::string& path, const Fields& before, const Fields& after)
        {
            for (std::size_t i = 0; i < after.size(); ++i)
                value(path + '.' + after[i].first, before[i].second, after[i].second);
        }

        template <typename Spec>
        void elements(const std::string& name, const std::vector<const Spec*>& specs, const std::string& what)
        {
            if (specs.size() <= maxSingleLines) {
                for (const Spec* spec : specs) {
                    std::string line = name;
                    line.append("[").append(spec->m_name.value()).append("]: ").append(what);
                    add(line.append(" (").append(summaryOf(*spec)).append(")"));
                }
                return;
            }
            std::string line = name;
            line.append(": ").append(std::to_string(specs.size())).append(" ").append(what).append(", ");
            add(line.append(specs.front()->m_name.value()).append(" to ").append(specs.back()->m_name.value()));
        }

        /// The last of maxLines lines is kept free for the number of omitted lines.
        void add(std::string line)
        {
            if (m_lines.size() + 1 < m_maxLines)
                m_lines.push_back(std::move(line));
            else
                ++m_omitted;
        }

        std::size_t m_maxLines;
        std::vector<std::string> m_lines;
        std::size_t m_omitted = 0;
    };

    std::string weight(double value) { return decimalOfThousandths(std::llround(value * 1000)); }

} // namespace

std::vector<std::string> differenceOf(const ClusterFile& before, const ClusterFile& after, std::size_t maxLines)
{
    Difference difference(maxLines);
    difference.value("format", std::to_string(before.m_format), std::to_string(after.m_format));
    difference.value("cell", before.m_cell, after.m_cell);
    difference.value("placement.waiting", weight(before.m_placement.m_waiting), weight(after.m_placement.m_waiting));
    difference.value("placement.packing", weight(before.m_placement.m_packing), weight(after.m_placement.m_packing));
    difference.list("failureDomains", before.m_failureDomains, after.m_failureDomains);
    difference.list("workers", before.m_workers, after.m_workers);
    difference.list("teams", before.m_teams, after.m_teams);
    difference.list("classes", before.m_classes, after.m_classes);
    difference.list("workloads", before.m_workloads, after.m_workloads);
    return difference.take();
}

} // namespace sapphiredale::configuration
