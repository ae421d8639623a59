// Behaviour of a simulated task, read from the program text of its start command.
#pragma once

#include "model/Time.h"

#include <optional>
#include <string_view>

namespace sapphiredale::standin {

/// Words such as "run=30s fail=0.1 usage=1.5 start=200ms checkpoint=1s". Unknown words are ignored.
struct ProgramText {
    /// Run time; absent for a task that runs until it is stopped.
    std::optional<Duration> m_run;
    /// Probability that the task fails at the end of its run time.
    double m_failProbability = 0;
    /// Use as a factor of the declared size; absent for a random one.
    std::optional<double> m_usageFactor;
    std::optional<Duration> m_startDelay;
    std::optional<Duration> m_checkpointTime;

    static ProgramText parse(std::string_view text);
};

/// Reads a number with the unit ms, s, m or h; a number without a unit is in seconds.
std::optional<Duration> parseDuration(std::string_view text);

} // namespace sapphiredale::standin
