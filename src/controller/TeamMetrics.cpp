// Text of the metrics of teams.

#include "controller/TeamMetrics.h"

namespace sapphiredale::controller {

namespace {

    void putAmounts(std::string& text, const std::string& name, const TeamId& team, const Resources& amounts)
    {
        const auto put = [&](const char* resource, std::int64_t value) {
            text += name + "{team=" + quotedLabel(team.value()) + ",resource=\"" + resource + "\"} "
                + std::to_string(value) + '\n';
        };
        put("cpu_millis", amounts.m_cpuMillis);
        put("memory_mib", amounts.m_memoryMiB);
        put("accelerators", amounts.m_accelerators);
    }

} // namespace

std::string quotedLabel(const std::string& value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '\\' || c == '"')
            text += '\\';
        text += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return text + '"';
}

std::string teamMetricsText(const std::vector<jobs::TeamUse>& uses)
{
    std::string text;
    for (const jobs::TeamUse& use : uses)
        putAmounts(text, "sapphire_team_use", use.m_team, use.m_use);
    for (const jobs::TeamUse& use : uses)
        putAmounts(text, "sapphire_team_limit", use.m_team, use.m_limit);
    for (const jobs::TeamUse& use : uses)
        text += "sapphire_team_waiting_tasks{team=" + quotedLabel(use.m_team.value()) + "} "
            + std::to_string(use.m_waitingTasks) + '\n';
    return text;
}

} // namespace sapphiredale::controller
