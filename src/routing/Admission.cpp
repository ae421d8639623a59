// Queueing, fair choice between teams and early refusal.

#include "routing/Admission.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace sapphiredale::routing {

namespace {

    /// Advance of a team's virtual time per served request.
    constexpr std::uint64_t costOfRequest = 1;

} // namespace

Admission::Admission(const AdmissionSettings& settings)
    : m_settings(settings)
{
}

void Admission::setClassPriority(const ClassId& name, std::int32_t priority) { m_priorities[name] = priority; }

void Admission::setCapacity(std::uint32_t slots, Duration serviceTime, Duration highServiceTime)
{
    m_slots = std::max(slots, 1U);
    m_serviceTime = serviceTime;
    m_highServiceTime = highServiceTime;
}

Admission::ClassKey Admission::keyOf(const ClassId& name) const
{
    const auto priority = m_priorities.find(name);
    // Callers choose the class name; undeclared ones share one queue, so that they cannot multiply their share.
    return priority == m_priorities.end() ? ClassKey {} : ClassKey { -priority->second, name };
}

Admission::TeamQueue& Admission::queueOf(ClassQueue& queue, const TeamId& name, TeamId& usedName)
{
    usedName = name;
    const auto known = queue.m_teams.find(name);
    if (known != queue.m_teams.end())
        return known->second;
    if (queue.m_teams.size() >= m_settings.m_maxTeams) {
        std::erase_if(queue.m_teams, [&](const auto& team) {
            return team.second.m_waiting.empty() && team.second.m_virtualTime <= queue.m_virtualTime;
        });
        if (queue.m_teams.size() >= m_settings.m_maxTeams)
            usedName = TeamId();
    }
    return queue.m_teams[usedName];
}

Duration Admission::expectedWait(
    const ClassKey& key, const ClassQueue& queue, const TeamQueue& team, const Waiting& waiting) const
{
    std::size_t ahead = 0;
    for (const auto& [otherKey, other] : m_classes) {
        if (!(otherKey < key))
            break;
        ahead += other.m_waiting;
    }
    const bool isLast = team.m_waiting.empty() || *team.m_waiting.rbegin() < waiting;
    const std::size_t position = isLast
        ? team.m_waiting.size()
        : static_cast<std::size_t>(std::distance(team.m_waiting.begin(), team.m_waiting.lower_bound(waiting)));
    ahead += position;
    // While this team is served position + 1 times, every other waiting team is served at most as often.
    for (const auto& [name, other] : queue.m_teams) {
        if (&other != &team)
            ahead += std::min(other.m_waiting.size(), position + 1);
    }
    return m_serviceTime * static_cast<Duration::rep>(ahead) / m_slots;
}

std::optional<Admission::Refusal> Admission::enqueue(RequestTicket ticket, const RequestInfo& info, TimePoint now)
{
    const ClassKey key = keyOf(info.m_class);
    ClassQueue& queue = m_classes[key];
    TeamId name;
    TeamQueue& team = queueOf(queue, info.m_team, name);
    const Waiting waiting { info.m_deadline, ticket };
    if (now + expectedWait(key, queue, team, waiting) + m_highServiceTime > info.m_deadline)
        return Refusal { ticket, ErrorKind::Overloaded };

    std::optional<Refusal> displaced;
    if (team.m_waiting.size() >= m_settings.m_maxPerTeam) {
        const Waiting latest = *team.m_waiting.rbegin();
        if (!(waiting < latest))
            return Refusal { ticket, ErrorKind::QueueFull };
        displaced = Refusal { latest.m_ticket, ErrorKind::QueueFull };
        remove(latest.m_ticket);
    } else if (m_places.size() >= m_settings.m_maxTotal) {
        return Refusal { ticket, ErrorKind::QueueFull };
    }
    if (team.m_waiting.empty())
        team.m_virtualTime = std::max(team.m_virtualTime, queue.m_virtualTime);
    team.m_waiting.insert(waiting);
    ++queue.m_waiting;
    m_places.emplace(ticket, Place { key, name, info.m_deadline });
    return displaced;
}

void Admission::erase(RequestTicket ticket, const Place& place)
{
    ClassQueue& queue = m_classes[place.m_class];
    [[maybe_unused]] const std::size_t erased
        = queue.m_teams[place.m_team].m_waiting.erase({ place.m_deadline, ticket });
    assert(erased == 1 && queue.m_waiting > 0);
    --queue.m_waiting;
}

bool Admission::remove(RequestTicket ticket)
{
    const auto place = m_places.find(ticket);
    if (place == m_places.end())
        return false;
    erase(ticket, place->second);
    m_places.erase(place);
    return true;
}

void Admission::expire(TimePoint now, std::vector<RequestTicket>& expired)
{
    const TimePoint earliestUseful = now + m_highServiceTime;
    for (auto& [key, queue] : m_classes) {
        for (auto& [name, team] : queue.m_teams) {
            while (!team.m_waiting.empty() && team.m_waiting.begin()->m_deadline < earliestUseful) {
                const RequestTicket ticket = team.m_waiting.begin()->m_ticket;
                expired.push_back(ticket);
                remove(ticket);
            }
        }
    }
}

std::optional<RequestTicket> Admission::next(TimePoint now, std::vector<RequestTicket>& expired)
{
    if (m_places.empty())
        return std::nullopt;
    expire(now, expired);
    for (auto& [key, queue] : m_classes) {
        TeamQueue* best = nullptr;
        for (auto& [name, team] : queue.m_teams) {
            if (!team.m_waiting.empty() && (!best || team.m_virtualTime < best->m_virtualTime))
                best = &team;
        }
        if (!best)
            continue;
        queue.m_virtualTime = best->m_virtualTime;
        best->m_virtualTime += costOfRequest;
        const RequestTicket ticket = best->m_waiting.begin()->m_ticket;
        remove(ticket);
        return ticket;
    }
    return std::nullopt;
}

void Admission::servedDirectly(const RequestInfo& info)
{
    // Without waiting requests there is no competition, and virtual time has nothing to decide.
    if (m_places.empty())
        return;
    TeamId name;
    ClassQueue& queue = m_classes[keyOf(info.m_class)];
    queueOf(queue, info.m_team, name).m_virtualTime += costOfRequest;
}

} // namespace sapphiredale::routing
