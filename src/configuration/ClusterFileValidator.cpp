// Rules of the operators' file that concern more than one member.

#include "configuration/ClusterFileValidator.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace sapphiredale::configuration {

namespace {

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.';
    }

    bool isName(std::string_view text, std::size_t maxBytes)
    {
        return !text.empty() && text.size() <= maxBytes && std::all_of(text.begin(), text.end(), isNameCharacter)
            && text.front() != '.' && text.front() != '-';
    }

    bool isPort(std::string_view text)
    {
        int port = 0;
        for (const char c : text) {
            if (c < '0' || c > '9')
                return false;
            port = port * 10 + (c - '0');
            if (port > 65535)
                return false;
        }
        return port > 0 && text.size() <= 5;
    }

    bool isIpv4(std::string_view text)
    {
        int parts = 0;
        while (true) {
            const std::size_t dot = text.find('.');
            const std::string_view part = text.substr(0, dot);
            if (part.empty() || part.size() > 3 || part.find_first_not_of("0123456789") != std::string_view::npos
                || std::stoi(std::string(part)) > 255)
                return false;
            ++parts;
            if (dot == std::string_view::npos)
                return parts == 4;
            text.remove_prefix(dot + 1);
        }
    }

    bool isBracketedIpv6(std::string_view text)
    {
        return text.size() >= 4 && text.size() <= 47 && text.front() == '[' && text.back() == ']'
            && text.find(':') != std::string_view::npos
            && text.substr(1, text.size() - 2).find_first_not_of("0123456789abcdefABCDEF:.") == std::string_view::npos;
    }

    bool isAddress(std::string_view text)
    {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return false;
        const std::string_view host = text.substr(0, colon);
        return (isIpv4(host) || isBracketedIpv6(host)) && isPort(text.substr(colon + 1));
    }

    std::string element(std::string_view list, std::size_t index)
    {
        return std::string(list) + '[' + std::to_string(index) + ']';
    }

    std::string quoted(std::string_view text) { return '"' + std::string(text) + '"'; }

    std::string describe(const Resources& amount)
    {
        return std::to_string(amount.m_cpuMillis) + " cpu millis, " + std::to_string(amount.m_memoryMiB) + " MiB, "
            + std::to_string(amount.m_accelerators) + " accelerators";
    }

    /// Names of a list for an error message; long lists are cut.
    template <typename Range, typename Name> std::string listNames(const Range& range, Name name)
    {
        constexpr std::size_t maxNames = 8;
        std::string text;
        std::size_t count = 0;
        for (const auto& item : range) {
            if (count++ == maxNames)
                return text + ", ...";
            text += (text.empty() ? "" : ", ") + name(item);
        }
        return text.empty() ? "nothing, because the list is empty" : text;
    }

    class Validator {
    public:
        Validator(const DeclaredFile& declared, const FileLimits& limits, FileErrorList& errors)
            : m_declared(declared)
            , m_file(declared.m_file)
            , m_limits(limits)
            , m_errors(errors)
        {
        }

        void run()
        {
            checkName("cell", m_file.m_cell);
            if (m_file.m_placement.m_waiting + m_file.m_placement.m_packing <= 0)
                m_errors.addUnlessReported("placement", "both weights are zero", "at least one weight above zero");
            checkFailureDomains();
            checkWorkers();
            checkTeams();
            checkClasses();
            checkWorkloads();
        }

    private:
        void checkName(const std::string& path, std::string_view name)
        {
            if (!isName(name, m_limits.m_nameBytes)) {
                m_errors.addUnlessReported(path, "the name " + quoted(name.substr(0, 80)) + " is not valid",
                    "1 to " + std::to_string(m_limits.m_nameBytes)
                        + " letters, digits, '-', '_' and '.', not starting with '-' or '.'");
            }
        }

        template <typename Id> void checkUniqueName(const std::string& path, const Id& name, std::set<Id>& seen)
        {
            checkName(path, name.value());
            if (!name.empty() && !seen.insert(name).second)
                m_errors.addUnlessReported(path, quoted(name.value()) + " is declared twice", "a unique name");
        }

        template <typename Id>
        void checkReference(
            const std::string& path, const Id& name, const std::set<Id>& declared, std::string_view kind)
        {
            if (declared.contains(name))
                return;
            m_errors.addUnlessReported(path, "there is no " + std::string(kind) + ' ' + quoted(name.value()),
                "one of " + listNames(declared, [](const Id& id) { return id.value(); }));
        }

        void checkFailureDomains()
        {
            if (m_file.m_failureDomains.empty())
                m_errors.addUnlessReported("failureDomains", "the list is empty", "at least one failure domain");
            for (std::size_t i = 0; i < m_file.m_failureDomains.size(); ++i) {
                const FailureDomainSpec& domain = m_file.m_failureDomains[i];
                const std::string path = element("failureDomains", i);
                checkUniqueName(path + ".name", domain.m_name, m_domains);
                checkName(path + ".region", domain.m_region.value());
            }
        }

        void checkWorkers()
        {
            std::set<WorkerId> names;
            for (std::size_t i = 0; i < m_file.m_workers.size(); ++i) {
                const WorkerSpec& worker = m_file.m_workers[i];
                const std::string& path = m_declared.m_workerPaths[i];
                checkUniqueName(path + ".name", worker.m_name, names);
                checkReference(path + ".failureDomain", worker.m_failureDomain, m_domains, "failure domain");
                checkName(path + ".rack", worker.m_rack.value());
                checkNotZero(path + ".capacity", worker.m_capacity);
                if (!isAddress(worker.m_address)) {
                    m_errors.addUnlessReported(path + ".address",
                        quoted(worker.m_address.substr(0, 80)) + " is not an address",
                        "an IPv4 or bracketed IPv6 address and a port, for example \"10.0.0.7:7100\"");
                }
                m_capacity += worker.m_capacity;
            }
            groupWorkers();
        }

        void checkNotZero(const std::string& path, const Resources& amount)
        {
            if (amount.m_cpuMillis <= 0)
                m_errors.addUnlessReported(path + ".cpus", "the amount is zero", "a number above zero");
            if (amount.m_memoryMiB <= 0)
                m_errors.addUnlessReported(path + ".memoryMiB", "the amount is zero", "a number above zero");
        }

        void checkTeams()
        {
            std::set<TeamId> names;
            Resources guaranteed;
            for (std::size_t i = 0; i < m_file.m_teams.size(); ++i) {
                const TeamSpec& team = m_file.m_teams[i];
                const std::string path = element("teams", i);
                checkUniqueName(path + ".name", team.m_name, names);
                if (!team.m_guaranteed.fitsIn(team.m_limit)) {
                    m_errors.addUnlessReported(path + ".guaranteed",
                        "the guaranteed share (" + describe(team.m_guaranteed) + ") is above the limit",
                        "at most " + describe(team.m_limit));
                }
                guaranteed += team.m_guaranteed;
                m_teams.emplace(team.m_name, &team);
            }
            if (!m_errors.hasErrorUnder("worker") && !guaranteed.fitsIn(m_capacity)) {
                m_errors.addUnlessReported("teams",
                    "the guaranteed shares sum to " + describe(guaranteed) + ", which is above the capacity",
                    "a sum of at most " + describe(m_capacity));
            }
        }

        void checkClasses()
        {
            std::set<ClassId> names;
            for (std::size_t i = 0; i < m_file.m_classes.size(); ++i) {
                checkUniqueName(element("classes", i) + ".name", m_file.m_classes[i].m_name, names);
                m_classes.emplace(m_file.m_classes[i].m_name, &m_file.m_classes[i]);
            }
        }

        void checkWorkloads()
        {
            std::set<WorkloadId> names;
            std::set<TeamId> teams;
            std::set<ClassId> classes;
            for (const auto& [name, team] : m_teams)
                teams.insert(name);
            for (const auto& [name, policy] : m_classes)
                classes.insert(name);
            for (std::size_t i = 0; i < m_file.m_workloads.size(); ++i) {
                const WorkloadSpec& workload = m_file.m_workloads[i];
                const std::string path = element("workloads", i);
                checkUniqueName(path + ".name", workload.m_name, names);
                checkReference(path + ".team", workload.m_team, teams, "team");
                checkReference(path + ".class", workload.m_class, classes, "class");
                checkNotZero(path + ".resources", workload.m_resources);
                checkAllowedDomains(path + ".failureDomains", workload);
                if (workload.m_program.empty())
                    m_errors.addUnlessReported(path + ".program", "the program is empty", "the program to run");
                checkKind(path, workload);
                const bool hasSize = workload.m_resources.m_cpuMillis > 0 && workload.m_resources.m_memoryMiB > 0;
                if (hasSize && !m_errors.hasErrorUnder(path) && !m_errors.hasErrorUnder("worker")) {
                    checkTeamLimit(path, workload);
                    checkCanBeCarried(path, workload);
                }
            }
        }

        void checkAllowedDomains(const std::string& path, const WorkloadSpec& workload)
        {
            std::set<FailureDomainId> seen;
            for (std::size_t i = 0; i < workload.m_failureDomains.size(); ++i) {
                const FailureDomainId& domain = workload.m_failureDomains[i];
                checkReference(element(path, i), domain, m_domains, "failure domain");
                if (!seen.insert(domain).second)
                    m_errors.addUnlessReported(
                        element(path, i), quoted(domain.value()) + " is given twice", "each once");
            }
        }

        void checkKind(const std::string& path, const WorkloadSpec& workload)
        {
            const auto found = m_classes.find(workload.m_class);
            if (found == m_classes.end())
                return;
            const bool isService = found->second->m_kind == ClassKind::Service;
            if (!isService && workload.m_instances != 0) {
                m_errors.addUnlessReported(path + ".instances",
                    std::to_string(workload.m_instances) + " instances of a workload whose class is not a service",
                    "0, or a class of kind \"service\"");
            }
            if (!isService && workload.m_minion) {
                m_errors.addUnlessReported(path + ".minion", "the class of the workload is not a service",
                    "no minion, or a class of kind \"service\"");
            }
            if (workload.m_minion && workload.m_minion->m_connections <= workload.m_minion->m_slots) {
                // The lease holder uses one connection per slot and one for the lease.
                m_errors.addUnlessReported(path + ".minion.connections",
                    std::to_string(workload.m_minion->m_connections) + " connections are too few",
                    "more connections than slots");
            }
        }

        void checkTeamLimit(const std::string& path, const WorkloadSpec& workload)
        {
            const auto found = m_teams.find(workload.m_team);
            if (found == m_teams.end())
                return;
            const std::int64_t tasks = std::max<std::int64_t>(1, workload.m_instances);
            if ((workload.m_resources * tasks).fitsIn(found->second->m_limit))
                return;
            m_errors.addUnlessReported(path + (tasks > 1 ? ".instances" : ".resources"),
                std::to_string(tasks) + " task(s) need " + describe(workload.m_resources * tasks)
                    + ", which is above the limit of team " + quoted(workload.m_team.value()),
                "at most " + describe(found->second->m_limit));
        }

        /// Refuses tasks that no allowed worker can carry, and services of which all allowed workers together cannot
        /// carry the declared instances even when they run nothing else.
        void checkCanBeCarried(const std::string& path, const WorkloadSpec& workload)
        {
            Resources largest;
            std::vector<std::int64_t> tasksPerRack(m_rackCount);
            for (const EqualWorkers& workers : m_equalWorkers) {
                if (!isAllowed(workload, *workers.m_failureDomain))
                    continue;
                largest = Resources::max(largest, workers.m_capacity);
                tasksPerRack[workers.m_rack]
                    += workers.m_count * tasksThatFit(workload.m_resources, workers.m_capacity);
            }
            std::int64_t total = 0;
            for (const std::int64_t tasks : tasksPerRack)
                total += workload.m_maxPerRack ? std::min<std::int64_t>(tasks, workload.m_maxPerRack) : tasks;

            if (total == 0) {
                m_errors.addUnlessReported(path + ".resources",
                    "no allowed worker can carry one task of " + describe(workload.m_resources),
                    "a size that fits on one worker; the largest allowed amounts are " + describe(largest));
            } else if (total < workload.m_instances) {
                m_errors.addUnlessReported(path + ".instances",
                    std::to_string(workload.m_instances) + " instances do not fit on the allowed workers",
                    "at most " + std::to_string(total) + " instances of this size");
            }
        }

        /// Groups the workers, so that the check of a workload does not visit every worker.
        void groupWorkers()
        {
            std::map<std::pair<FailureDomainId, RackId>, std::size_t> racks;
            for (const WorkerSpec& worker : m_file.m_workers) {
                const std::size_t rack
                    = racks.try_emplace({ worker.m_failureDomain, worker.m_rack }, racks.size()).first->second;
                if (!m_equalWorkers.empty() && m_equalWorkers.back().m_rack == rack
                    && m_equalWorkers.back().m_capacity == worker.m_capacity)
                    ++m_equalWorkers.back().m_count;
                else
                    m_equalWorkers.push_back({ &worker.m_failureDomain, rack, worker.m_capacity, 1 });
            }
            m_rackCount = racks.size();
        }

        static bool isAllowed(const WorkloadSpec& workload, const FailureDomainId& domain)
        {
            return workload.m_failureDomains.empty()
                || std::find(workload.m_failureDomains.begin(), workload.m_failureDomains.end(), domain)
                != workload.m_failureDomains.end();
        }

        static std::int64_t tasksThatFit(const Resources& task, const Resources& capacity)
        {
            std::int64_t count
                = std::min(capacity.m_cpuMillis / task.m_cpuMillis, capacity.m_memoryMiB / task.m_memoryMiB);
            if (task.m_accelerators > 0)
                count = std::min(count, capacity.m_accelerators / task.m_accelerators);
            return count;
        }

        /// Workers of one rack with the same capacity.
        struct EqualWorkers {
            const FailureDomainId* m_failureDomain;
            std::size_t m_rack;
            Resources m_capacity;
            std::int64_t m_count;
        };

        const DeclaredFile& m_declared;
        const ClusterFile& m_file;
        const FileLimits& m_limits;
        FileErrorList& m_errors;
        std::set<FailureDomainId> m_domains;
        std::map<TeamId, const TeamSpec*> m_teams;
        std::map<ClassId, const ClassPolicy*> m_classes;
        Resources m_capacity;
        std::vector<EqualWorkers> m_equalWorkers;
        std::size_t m_rackCount = 0;
    };

} // namespace

void validateClusterFile(const DeclaredFile& declared, const FileLimits& limits, FileErrorList& errors)
{
    Validator(declared, limits, errors).run();
}

} // namespace sapphiredale::configuration
