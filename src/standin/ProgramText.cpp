// Reading of the program text.

#include "standin/ProgramText.h"

#include <algorithm>
#include <charconv>

namespace sapphiredale::standin {

namespace {

    std::optional<double> parseNumber(std::string_view text, std::string_view& unit)
    {
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || !(value >= 0) || value > 1e9)
            return std::nullopt;
        unit = text.substr(static_cast<std::size_t>(end - text.data()));
        return value;
    }

    std::optional<double> parseFactor(std::string_view text)
    {
        std::string_view unit;
        const auto value = parseNumber(text, unit);
        return unit.empty() ? value : std::nullopt;
    }

    void readWord(ProgramText& program, std::string_view word)
    {
        const std::size_t equals = word.find('=');
        if (equals == std::string_view::npos)
            return;
        const std::string_view key = word.substr(0, equals);
        const std::string_view value = word.substr(equals + 1);
        if (key == "run")
            program.m_run = parseDuration(value);
        else if (key == "start")
            program.m_startDelay = parseDuration(value);
        else if (key == "checkpoint")
            program.m_checkpointTime = parseDuration(value);
        else if (key == "usage")
            program.m_usageFactor = parseFactor(value);
        else if (key == "fail")
            program.m_failProbability = parseFactor(value).value_or(0);
    }

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    std::string_view unit;
    const auto value = parseNumber(text, unit);
    if (!value)
        return std::nullopt;
    double seconds = 0;
    if (unit == "ms")
        seconds = *value / 1000;
    else if (unit == "s" || unit.empty())
        seconds = *value;
    else if (unit == "m")
        seconds = *value * 60;
    else if (unit == "h")
        seconds = *value * 3600;
    else
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

ProgramText ProgramText::parse(std::string_view text)
{
    ProgramText program;
    while (!text.empty()) {
        const std::string_view word = text.substr(0, text.find(' '));
        text.remove_prefix(std::min(text.size(), word.size() + 1));
        readWord(program, word);
    }
    return program;
}

} // namespace sapphiredale::standin
