// Rules that differ between service, batch and group work, as one policy type per kind of class.
#pragma once

#include "model/ClusterFile.h"

#include <concepts>

namespace sapphiredale::placement {

/// What a policy type of a kind of class must state.
template <typename Rules>
concept ClassRules = requires
{
    /// Whether all waiting tasks of a job start together or not at all.
    {
        Rules::startsTogether
        } -> std::convertible_to<bool>;
    /// Whether the loss of one running task stops the other tasks of its job.
    {
        Rules::stopsTogether
        } -> std::convertible_to<bool>;
    /// Whether a task that ended by itself is started again, without a bound on attempts.
    {
        Rules::runsForever
        } -> std::convertible_to<bool>;
};

struct ServiceRules {
    static constexpr bool startsTogether = false;
    static constexpr bool stopsTogether = false;
    static constexpr bool runsForever = true;
};

struct BatchRules {
    static constexpr bool startsTogether = false;
    static constexpr bool stopsTogether = false;
    static constexpr bool runsForever = false;
};

struct GroupRules {
    static constexpr bool startsTogether = true;
    static constexpr bool stopsTogether = true;
    static constexpr bool runsForever = false;
};

static_assert(ClassRules<ServiceRules> && ClassRules<BatchRules> && ClassRules<GroupRules>);

/// Calls the visitor with the policy type of the kind.
template <typename Visitor> decltype(auto) visitRules(ClassKind kind, Visitor&& visitor)
{
    switch (kind) {
    case ClassKind::Service:
        return visitor(ServiceRules {});
    case ClassKind::Group:
        return visitor(GroupRules {});
    case ClassKind::Batch:
        break;
    }
    return visitor(BatchRules {});
}

inline bool startsTogether(ClassKind kind)
{
    return visitRules(kind, [](auto rules) { return bool(decltype(rules)::startsTogether); });
}

inline bool stopsTogether(ClassKind kind)
{
    return visitRules(kind, [](auto rules) { return bool(decltype(rules)::stopsTogether); });
}

inline bool runsForever(ClassKind kind)
{
    return visitRules(kind, [](auto rules) { return bool(decltype(rules)::runsForever); });
}

} // namespace sapphiredale::placement
