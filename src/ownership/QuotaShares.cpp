// Largest-remainder division of quotas.

#include "ownership/QuotaShares.h"

#include <algorithm>
#include <numeric>

namespace sapphiredale::ownership {

namespace {

    __extension__ using Wide = __int128;

    std::vector<std::int64_t> capacities(const std::vector<Resources>& capacity, std::int64_t Resources::*member)
    {
        std::vector<std::int64_t> weights;
        weights.reserve(capacity.size());
        for (const Resources& resources : capacity)
            weights.push_back(resources.*member);
        return weights;
    }

    Resources partOf(const Resources& total, const std::vector<Resources>& capacity, std::size_t index)
    {
        Resources part;
        for (const auto member : { &Resources::m_cpuMillis, &Resources::m_memoryMiB, &Resources::m_accelerators })
            part.*member = divideByLargestRemainder(total.*member, capacities(capacity, member))[index];
        return part;
    }

} // namespace

std::vector<std::int64_t> divideByLargestRemainder(std::int64_t total, const std::vector<std::int64_t>& weights)
{
    std::vector<std::int64_t> parts(weights.size(), 0);
    const Wide sum = std::accumulate(weights.begin(), weights.end(), Wide { 0 });
    if (sum == 0)
        return parts;

    std::vector<std::pair<Wide, std::size_t>> remainders;
    std::int64_t rest = total;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const Wide product = static_cast<Wide>(total) * weights[i];
        parts[i] = static_cast<std::int64_t>(product / sum);
        rest -= parts[i];
        remainders.emplace_back(-(product % sum), i);
    }
    // Fewer units are left than parts have a remainder, so one unit each is enough.
    std::sort(remainders.begin(), remainders.end());
    for (std::size_t i = 0; rest > 0; ++i, --rest)
        ++parts[remainders[i].second];
    return parts;
}

Resources declaredCapacity(const ClusterFile& file, const FailureDomainId& domain)
{
    Resources sum;
    for (const WorkerSpec& worker : file.m_workers) {
        if (worker.m_failureDomain == domain)
            sum += worker.m_capacity;
    }
    return sum;
}

ClusterFile fileForDomain(const ClusterFile& file, const FailureDomainId& domain)
{
    std::vector<FailureDomainId> domains;
    for (const FailureDomainSpec& spec : file.m_failureDomains) {
        if (!spec.m_lost)
            domains.push_back(spec.m_name);
    }
    // Every daemon must divide in the same order, whatever the order in the file.
    std::sort(domains.begin(), domains.end());
    std::vector<Resources> capacity;
    capacity.reserve(domains.size());
    for (const FailureDomainId& name : domains)
        capacity.push_back(declaredCapacity(file, name));

    const auto own = std::find(domains.begin(), domains.end(), domain);
    ClusterFile result = file;
    for (TeamSpec& team : result.m_teams) {
        if (own == domains.end()) {
            team.m_guaranteed = {};
            team.m_limit = {};
            continue;
        }
        const auto index = static_cast<std::size_t>(own - domains.begin());
        team.m_guaranteed = partOf(team.m_guaranteed, capacity, index);
        team.m_limit = partOf(team.m_limit, capacity, index);
    }
    return result;
}

} // namespace sapphiredale::ownership
