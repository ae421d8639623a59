// Bounded queues of the requests that wait for a slot, per class and team. Classes are served by priority, teams of a
// class in fair shares, requests of a team by deadline. Work that can no longer meet its deadline is refused early.
#pragma once

#include "model/ErrorKind.h"
#include "model/Identifier.h"
#include "model/Time.h"
#include "routing/RoutingTypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace sapphiredale::routing {

/// Settings that build an Admission.
struct AdmissionSettings {
    /// Most requests that wait per class and team.
    std::uint32_t m_maxPerTeam = 512;
    /// Most requests that wait in all.
    std::uint32_t m_maxTotal = 8192;
    /// Most distinct teams with a queue; names beyond it share one queue, because callers choose the name.
    std::uint32_t m_maxTeams = 256;
};

/// Queues of one service.
class Admission {
public:
    explicit Admission(const AdmissionSettings&);

    /// Priority of a class; greater is served first. Unknown classes have priority zero.
    void setClassPriority(const ClassId&, std::int32_t priority);
    /// Present capacity: slots that serve this queue, the usual service time and one that few requests exceed.
    void setCapacity(std::uint32_t slots, Duration serviceTime, Duration highServiceTime);

    /// A queued request that loses its place, or a new one that is not accepted.
    struct Refusal {
        RequestTicket m_ticket = 0;
        ErrorKind m_kind = ErrorKind::Overloaded;
    };

    /// Queues the request. Refuses it with Overloaded when it would probably not be served in time, with QueueFull when
    /// the queue is full of requests with earlier deadlines; otherwise the latest one of a full queue is displaced.
    std::optional<Refusal> enqueue(RequestTicket, const RequestInfo&, TimePoint now);
    /// The request to serve next; entries that can no longer meet their deadline are appended to expired.
    std::optional<RequestTicket> next(TimePoint now, std::vector<RequestTicket>& expired);
    /// Removes entries whose deadline cannot be met any more.
    void expire(TimePoint now, std::vector<RequestTicket>& expired);
    /// Removes a request, for example one whose caller is gone. False when it does not wait.
    bool remove(RequestTicket);
    /// Accounts a request of the team that was served without waiting.
    void servedDirectly(const RequestInfo&);

    std::size_t size() const { return m_places.size(); }
    bool empty() const { return m_places.empty(); }

private:
    struct Waiting {
        TimePoint m_deadline;
        RequestTicket m_ticket = 0;

        friend auto operator<=>(const Waiting&, const Waiting&) = default;
    };
    /// Requests of one team in one class.
    struct TeamQueue {
        std::set<Waiting> m_waiting;
        /// Start tag of the next request in the fair queueing; never less than the class's virtual time when served.
        std::uint64_t m_virtualTime = 0;
    };
    struct ClassQueue {
        std::map<TeamId, TeamQueue> m_teams;
        std::size_t m_waiting = 0;
        std::uint64_t m_virtualTime = 0;
    };
    /// Greater priority first.
    struct ClassKey {
        std::int32_t m_negatedPriority = 0;
        ClassId m_class;

        friend auto operator<=>(const ClassKey&, const ClassKey&) = default;
    };
    struct Place {
        ClassKey m_class;
        TeamId m_team;
        TimePoint m_deadline;
    };

    ClassKey keyOf(const ClassId&) const;
    TeamQueue& queueOf(ClassQueue&, const TeamId&, TeamId& usedName);
    Duration expectedWait(const ClassKey&, const ClassQueue&, const TeamQueue&, const Waiting&) const;
    void erase(RequestTicket, const Place&);

    AdmissionSettings m_settings;
    std::unordered_map<ClassId, std::int32_t> m_priorities;
    std::map<ClassKey, ClassQueue> m_classes;
    std::unordered_map<RequestTicket, Place> m_places;
    std::uint32_t m_slots = 1;
    Duration m_serviceTime {};
    Duration m_highServiceTime {};
};

} // namespace sapphiredale::routing
