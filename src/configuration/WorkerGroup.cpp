// Expansion of worker groups and their recovery from a list of workers.

#include "configuration/WorkerGroup.h"

#include <array>
#include <charconv>

namespace sapphiredale::configuration {

namespace {

    struct SplitName {
        std::string_view m_prefix;
        std::string_view m_digits;
    };

    SplitName splitName(std::string_view name)
    {
        const std::size_t lastOther = name.find_last_not_of("0123456789");
        const std::size_t digits = lastOther == std::string_view::npos ? 0 : lastOther + 1;
        return { name.substr(0, digits), name.substr(digits) };
    }

    std::string_view withoutLeadingZeros(std::string_view digits)
    {
        const std::size_t first = digits.find_first_not_of('0');
        return first == std::string_view::npos ? digits.substr(digits.size()) : digits.substr(first);
    }

    /// The number of a group member; names with leading zeros are not members of a group.
    std::optional<std::uint32_t> groupNumber(std::string_view digits)
    {
        if (digits.empty() || (digits.size() > 1 && digits.front() == '0'))
            return std::nullopt;
        std::uint32_t number = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (error != std::errc() || end != digits.data() + digits.size() || number > maxGroupFirst)
            return std::nullopt;
        return number;
    }

    void replaceAll(std::string& text, std::string_view from, std::string_view to)
    {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }

    /// Templates that may describe the address of a worker and those of its neighbours.
    std::array<std::string, 2> candidateTemplates(const WorkerSpec& worker, std::string_view digits)
    {
        std::string byNumber = worker.m_address;
        const std::size_t colon = byNumber.rfind(':');
        const std::size_t start = colon == std::string::npos || colon < digits.size() ? 0 : colon - digits.size();
        if (colon != std::string::npos && byNumber.compare(start, digits.size(), digits) == 0)
            byNumber.replace(start, digits.size(), "{number}");
        return { worker.m_address, byNumber };
    }

    std::uint32_t matchingCount(const WorkerGroup& group, std::span<const WorkerSpec> workers)
    {
        std::uint32_t count = 0;
        while (count < workers.size() && workerAt(group, count) == workers[count])
            ++count;
        return count;
    }

} // namespace

WorkerSpec workerAt(const WorkerGroup& group, std::uint32_t index)
{
    const std::string number = std::to_string(group.m_first + index);
    const std::uint32_t firstOfRack = group.m_first + index / group.m_perRack * group.m_perRack;

    WorkerSpec worker;
    worker.m_name = WorkerId(group.m_namePrefix + number);
    worker.m_failureDomain = group.m_failureDomain;
    worker.m_rack = RackId(group.m_namePrefix + "rack-" + std::to_string(firstOfRack));
    worker.m_capacity = group.m_capacity;
    worker.m_address = group.m_addressTemplate;
    replaceAll(worker.m_address, "{number}", number);
    return worker;
}

bool workerNameLess(std::string_view a, std::string_view b)
{
    const SplitName splitA = splitName(a);
    const SplitName splitB = splitName(b);
    if (splitA.m_prefix != splitB.m_prefix)
        return splitA.m_prefix < splitB.m_prefix;
    const std::string_view numberA = withoutLeadingZeros(splitA.m_digits);
    const std::string_view numberB = withoutLeadingZeros(splitB.m_digits);
    if (numberA.size() != numberB.size())
        return numberA.size() < numberB.size();
    if (numberA != numberB)
        return numberA < numberB;
    return a < b;
}

std::optional<WorkerGroup> leadingGroup(std::span<const WorkerSpec> workers)
{
    if (workers.empty())
        return std::nullopt;
    const WorkerSpec& first = workers.front();
    const SplitName name = splitName(first.m_name.value());
    const std::optional<std::uint32_t> number = groupNumber(name.m_digits);
    if (!number)
        return std::nullopt;

    WorkerGroup group;
    group.m_namePrefix = std::string(name.m_prefix);
    group.m_first = *number;
    group.m_failureDomain = first.m_failureDomain;
    group.m_capacity = first.m_capacity;
    group.m_perRack = 0;
    for (const WorkerSpec& worker : workers) {
        if (worker.m_rack != first.m_rack)
            break;
        ++group.m_perRack;
    }

    std::uint32_t best = 1;
    WorkerGroup result;
    for (const std::string& addressTemplate : candidateTemplates(first, name.m_digits)) {
        group.m_addressTemplate = addressTemplate;
        const std::uint32_t count = matchingCount(group, workers);
        if (count > best) {
            best = count;
            result = group;
            result.m_count = count;
            result.m_perRack = std::min(group.m_perRack, count);
        }
    }
    return best > 1 ? std::optional(result) : std::nullopt;
}

} // namespace sapphiredale::configuration
