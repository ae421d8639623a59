// Distinct string identifier types, so that a worker name cannot be passed where a task name is expected.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace sapphiredale {

/// Identifier of one kind of object; Tag makes the kinds distinct types.
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    /// The text of the identifier.
    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const Identifier&, const Identifier&) = default;
    friend std::strong_ordering operator<=>(const Identifier& a, const Identifier& b)
    {
        return a.m_value.compare(b.m_value) <=> 0;
    }

private:
    std::string m_value;
};

using FailureDomainId = Identifier<struct FailureDomainTag>;
using RegionId = Identifier<struct RegionTag>;
using RackId = Identifier<struct RackTag>;
using WorkerId = Identifier<struct WorkerTag>;
/// Random identity that a worker chooses when it starts.
using IncarnationId = Identifier<struct IncarnationTag>;
using DaemonId = Identifier<struct DaemonTag>;
using TeamId = Identifier<struct TeamTag>;
using ClassId = Identifier<struct ClassTag>;
using WorkloadId = Identifier<struct WorkloadTag>;
using JobId = Identifier<struct JobTag>;
/// "workload/index" for an instance of a service, "job/index" for a task of a job.
using TaskId = Identifier<struct TaskTag>;
using MinionId = Identifier<struct MinionTag>;
using RequestId = Identifier<struct RequestTag>;
/// Unique identifier of a log record, chosen by its author.
using RecordId = Identifier<struct RecordTag>;

} // namespace sapphiredale

template <typename Tag> struct std::hash<sapphiredale::Identifier<Tag>> {
    std::size_t operator()(const sapphiredale::Identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string_view> {}(id.value());
    }
};
