// Home failure domains of service instances and jobs (design 2.5), and the two-step move of an instance whose home
// changes with the file.
#pragma once

#include "model/ClusterFile.h"
#include "model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::ownership {

/// Task identifier of an instance of a service.
TaskId instanceTask(const WorkloadId&, std::uint32_t index);
/// The part of a task identifier before the last slash: a workload or a job.
std::string_view ownerOfTask(const TaskId&);

/// Job identifier "domain.unique"; unique must not contain a dot.
JobId makeJobId(const FailureDomainId& home, std::string_view unique);
/// Home of a job's tasks; empty when the identifier has no home.
FailureDomainId homeOfJob(const JobId&);

/// Home of a service instance: rendezvous hashing over the allowed domains that are not declared lost. Nothing when no
/// domain is left.
std::optional<FailureDomainId> homeOfInstance(const ClusterFile&, const WorkloadSpec&, const TaskId&);

/// Change of the home of one instance.
struct HomeMove {
    TaskId m_task;
    FailureDomainId m_from;
    /// Empty when the newer file does not declare the instance.
    FailureDomainId m_to;
    /// Configuration version that caused the move.
    std::uint64_t m_version = 0;

    friend bool operator==(const HomeMove&, const HomeMove&) = default;
};

/// Moves between two consecutive files; version is that of the newer file. An instance that the newer file no longer
/// declares moves to no domain, so that a later version that declares it again waits for the release. An instance that
/// the older file does not declare, or whose old home the newer file declares lost or leaves out, does not move.
std::vector<HomeMove> homeMoves(const ClusterFile& older, const ClusterFile& newer, std::uint64_t version);

/// Moves that are not finished. It is fed with the moves of every version and with the release records of all streams,
/// in any order.
class HomeMap {
public:
    /// Adds moves; repeated ones have no effect.
    void addMoves(const std::vector<HomeMove>&);
    /// A release record was read. It finishes the move of this version.
    void released(const FailureDomainId& from, const TaskId&, std::uint64_t version);
    /// An operator declared the domain lost: it owes no release any more.
    void declareLost(const FailureDomainId&);
    /// A domain took over the instance of a lost home, or gave it back. Repeated records have no effect.
    void taken(const FailureDomainId& taker, const TaskId&, std::uint64_t takeover);
    void takeoverReleased(const FailureDomainId& taker, const TaskId&, std::uint64_t takeover);
    /// Domain that has taken the instance over and not given it back, with the number of the takeover.
    std::optional<std::pair<FailureDomainId, std::uint64_t>> takenBy(const TaskId&) const;
    /// Number of the next takeover of the instance.
    std::uint64_t nextTakeover(const TaskId&) const;

    /// True when no unfinished move stands before a start of the instance at its home.
    bool mayStart(const TaskId&) const;
    /// The unfinished move that an instance waits for, or nullptr.
    const HomeMove* pendingMove(const TaskId&) const;
    /// Moves whose release this domain owes now: it is the origin of the oldest unfinished move of the instance.
    std::vector<HomeMove> owedBy(const FailureDomainId&) const;
    std::vector<HomeMove> pending() const;

private:
    /// Unfinished moves of an instance by version.
    std::map<TaskId, std::map<std::uint64_t, HomeMove>> m_pending;
    /// Greatest version released by each origin, so that a move that becomes known after its release is not pending.
    std::map<std::pair<TaskId, FailureDomainId>, std::uint64_t> m_released;
    struct Takeover {
        FailureDomainId m_taker;
        std::uint64_t m_number = 0;
        bool m_ended = false;
    };
    /// Newest takeover of each instance.
    std::map<TaskId, Takeover> m_takeovers;
};

} // namespace sapphiredale::ownership
