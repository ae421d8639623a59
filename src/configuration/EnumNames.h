// Names of the enumerations in the operators' file.
#pragma once

#include "model/ClusterFile.h"

#include <array>
#include <cassert>
#include <string_view>
#include <utility>

namespace sapphiredale::configuration {

template <typename Enum, std::size_t count> using EnumNames = std::array<std::pair<Enum, std::string_view>, count>;

inline constexpr EnumNames<ClassKind, 3> classKindNames { {
    { ClassKind::Service, "service" },
    { ClassKind::Batch, "batch" },
    { ClassKind::Group, "group" },
} };
inline constexpr EnumNames<Durability, 2> durabilityNames { {
    { Durability::Log, "log" },
    { Durability::Memory, "memory" },
} };
inline constexpr EnumNames<OnDomainLoss, 2> onDomainLossNames { {
    { OnDomainLoss::Wait, "wait" },
    { OnDomainLoss::MoveAfterLoss, "moveAfterLoss" },
} };
inline constexpr EnumNames<OnOveruse, 3> onOveruseNames { {
    { OnOveruse::Throttle, "throttle" },
    { OnOveruse::Checkpoint, "checkpoint" },
    { OnOveruse::Stop, "stop" },
} };

template <typename Enum, std::size_t count> std::string_view nameIn(const EnumNames<Enum, count>& names, Enum value)
{
    for (const auto& [candidate, name] : names) {
        if (candidate == value)
            return name;
    }
    assert(false);
    return {};
}

} // namespace sapphiredale::configuration
