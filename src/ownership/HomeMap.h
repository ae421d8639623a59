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

/// Tracks unfinished moves and takeovers of instances. Moves of every version and release records of all streams may be
/// added in any order.
class HomeMap {
public:
    /// Adds moves; repeated ones have no effect.
    void addMoves(const std::vector<HomeMove>&);
    /// Applies a release record, which completes the moves from this domain up to this version.
    void released(const FailureDomainId& from, const TaskId&, std::uint64_t version);
    /// Notes that an operator declared the domain lost; its moves no longer wait for a release.
    void declareLost(const FailureDomainId&);
    /// Apply the record of a takeover of an instance whose home is lost, or of its return. Repeated records have no
    /// effect.
    void taken(const FailureDomainId& taker, const TaskId&, std::uint64_t takeover);
    void takeoverReleased(const FailureDomainId& taker, const TaskId&, std::uint64_t takeover);
    /// Domain that has taken over the instance and not returned it, with the number of the takeover.
    std::optional<std::pair<FailureDomainId, std::uint64_t>> takenBy(const TaskId&) const;
    /// Number of the next takeover of the instance.
    std::uint64_t nextTakeover(const TaskId&) const;

    /// Whether the instance may start at its home, that is, no unfinished move of it is pending.
    bool mayStart(const TaskId&) const;
    /// The unfinished move that an instance waits for, or nullptr.
    const HomeMove* pendingMove(const TaskId&) const;
    /// Moves for which this domain has to write the release record next: it is the origin of the oldest unfinished move
    /// of the instance.
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
