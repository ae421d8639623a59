// What the fuzz programs share: commands as small numbers that every state accepts, so that RapidCheck can shrink a
// failing list, a deterministic source of faults, and the run of a property with its negative check.
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <ostream>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>
#include <string>
#include <vector>

namespace sapphiredale::fuzz {

/// One command; its program interprets the operands modulo the number of objects.
struct Command {
    std::uint32_t m_kind = 0;
    std::uint32_t m_a = 0;
    std::uint32_t m_b = 0;

    friend std::ostream& operator<<(std::ostream& out, const Command& command)
    {
        return out << '{' << command.m_kind << ' ' << command.m_a << ' ' << command.m_b << '}';
    }
};

inline rc::Gen<std::vector<Command>> commands(std::uint32_t kinds)
{
    const auto operand = rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1000));
    return rc::gen::scale(2.0,
        rc::gen::container<std::vector<Command>>(rc::gen::build<Command>(
            rc::gen::set(&Command::m_kind, rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, kinds))),
            rc::gen::set(&Command::m_a, operand), rc::gen::set(&Command::m_b, operand))));
}

/// Events in the order of their time; equal times keep the order of their insertion.
class EventQueue {
public:
    void at(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }
    bool isDue(TimePoint now) const { return !m_events.empty() && m_events.begin()->first <= now; }
    TimePoint nextOr(TimePoint other) const
    {
        return m_events.empty() ? other : std::min(other, m_events.begin()->first);
    }
    void runNext()
    {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }

private:
    std::multimap<TimePoint, std::function<void()>> m_events;
};

/// A clock that runs at another rate than the simulated time.
struct LocalClock {
    /// Difference of the rate in parts per thousand.
    std::int64_t m_perMille = 0;

    TimePoint local(TimePoint time) const
    {
        return TimePoint(scaled(time.time_since_epoch(), 1000 + m_perMille, 1000));
    }
    /// First simulated instant at which the local clock shows at least this time.
    TimePoint global(TimePoint time) const
    {
        return TimePoint(scaled(time.time_since_epoch(), 1000, 1000 + m_perMille) + Duration(1));
    }

private:
    static Duration scaled(Duration duration, std::int64_t by, std::int64_t from)
    {
        return Duration(duration.count() / from * by + duration.count() % from * by / from);
    }
};

/// Runs a property, which draws its values itself and may fail by RC_ASSERT, RC_FAIL or an exception. With mustFail it
/// breaks a rule on purpose, and the result is good only when the oracle has seen it. `count` tells how many commands
/// were run.
inline bool runTestable(
    const std::string& name, bool mustFail, const std::function<void()>& property, const std::uint64_t* count = nullptr)
{
    auto parameters = rc::detail::configuration().testParams;
    parameters.disableShrinking = parameters.disableShrinking || mustFail;
    rc::detail::TestMetadata metadata;
    // The default listener asks to reproduce every failure, also an expected one.
    rc::detail::TestListenerAdapter listener;
    metadata.id = name;
    const rc::detail::TestResult result = rc::detail::checkTestable(property, metadata, parameters, listener);
    rc::detail::SuccessResult success;
    const bool passed = result.match(success);
    std::cout << name << ": seed " << parameters.seed << ", ";
    if (count != nullptr)
        std::cout << *count << " commands, ";
    std::cout << (passed ? "no fault" : "fault found") << (mustFail ? " (a fault is expected)" : "") << std::endl;
    if (!passed && !mustFail) {
        rc::detail::printResultMessage(result, std::cout);
        std::cout << std::endl;
    }
    return passed != mustFail;
}

/// The same for a property of random command lists.
inline bool runProperty(const std::string& name, std::uint32_t kinds, bool mustFail,
    const std::function<void(const std::vector<Command>&)>& property)
{
    std::uint64_t total = 0;
    const auto draw = [&] {
        const std::vector<Command> list = *commands(kinds);
        total += list.size();
        property(list);
    };
    return runTestable(name, mustFail, draw, &total);
}

/// Runs a property on the list of a fault that was found before and corrected.
inline bool runList(const std::string& name, const std::vector<Command>& list,
    const std::function<void(const std::vector<Command>&)>& property)
{
    bool passed = true;
    try {
        property(list);
    } catch (const rc::detail::CaseResult& failure) {
        passed = false;
        std::cout << failure.description << std::endl;
    }
    std::cout << name << ": " << list.size() << " commands, " << (passed ? "no fault" : "fault found") << std::endl;
    return passed;
}

} // namespace sapphiredale::fuzz
