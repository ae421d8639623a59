// The cluster file of the operators as value types. configuration::parseClusterFile reads it from JSON and validates
// it; every other package works on these types. Member names in JSON are the member names here without m_.
#pragma once

#include "model/Identifier.h"
#include "model/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale {

/// How tasks of a class are placed.
enum class ClassKind : std::uint8_t {
    /// A declared number of instances that always run.
    Service,
    /// Tasks of jobs, placed one by one.
    Batch,
    /// Tasks of jobs, all placed at once or none.
    Group,
};

/// What must be durable before a job is accepted.
enum class Durability : std::uint8_t {
    /// The job record is in the log.
    Log,
    /// Nothing; the job is lost if the domain scheduler dies before its tasks have started.
    Memory,
};

/// What happens to a task whose home failure domain is lost.
enum class OnDomainLoss : std::uint8_t {
    /// No other domain starts it before the home has released it or an operator has declared the home lost.
    Wait,
    /// The worker stops it on its own after its lease has lapsed; then another failure domain starts it.
    MoveAfterLoss,
};

/// What is done with a task that uses more than it declared.
enum class OnOveruse : std::uint8_t {
    Throttle,
    Checkpoint,
    Stop,
};

/// Policy of one class of work ("classes" in the file).
struct ClassPolicy {
    ClassId m_name;
    ClassKind m_kind = ClassKind::Batch;
    /// Greater is more important.
    std::int32_t m_priority = 0;
    /// Urgent work starts within 1.9 s, by preemption if needed.
    bool m_urgent = false;
    bool m_preemptible = true;
    /// A task that was preempted this many times is not preempted again.
    std::uint32_t m_maxPreemptions = 3;
    /// Starts of a task in all, the first included.
    std::uint32_t m_maxAttempts = 3;
    Durability m_durability = Durability::Log;
    OnDomainLoss m_onDomainLoss = OnDomainLoss::Wait;
    /// With MoveAfterLoss: seconds from the lapse of the lease until the worker stops the task on its own.
    std::uint32_t m_lapseStopSeconds = 60;
    OnOveruse m_onOveruse = OnOveruse::Throttle;
    /// Waiting time in seconds that raises the effective priority by one; zero turns aging off.
    std::uint32_t m_agingSeconds = 60;

    friend bool operator==(const ClassPolicy&, const ClassPolicy&) = default;
};

/// A team with its quota ("teams"). Zero amounts in the limit mean that the resource is not available to the team.
struct TeamSpec {
    TeamId m_name;
    /// Share that the team can always get, by preemption of borrowed shares if needed.
    Resources m_guaranteed;
    /// Most that the team may use, borrowed shares included.
    Resources m_limit;

    friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

/// Declaration that the instances of a service answer requests ("minion" of a workload).
struct MinionSpec {
    /// Requests in flight at the same time.
    std::uint32_t m_slots = 8;
    /// Open connections at the same time.
    std::uint32_t m_connections = 64;

    friend bool operator==(const MinionSpec&, const MinionSpec&) = default;
};

/// A template of tasks ("workloads").
struct WorkloadSpec {
    WorkloadId m_name;
    TeamId m_team;
    ClassId m_class;
    /// Number of instances of a service; zero for batch and group workloads.
    std::uint32_t m_instances = 0;
    /// Declared size of one task.
    Resources m_resources;
    /// Allowed failure domains; empty allows all.
    std::vector<FailureDomainId> m_failureDomains;
    /// Most tasks of one job or service on one rack; zero means no bound.
    std::uint32_t m_maxPerRack = 0;
    /// Declared longest run time in seconds; zero means unbounded.
    std::uint32_t m_maxRunSeconds = 0;
    /// Program that the worker runs, opaque to sapphiredale.
    std::string m_program;
    std::optional<MinionSpec> m_minion;

    friend bool operator==(const WorkloadSpec&, const WorkloadSpec&) = default;
};

/// A machine that runs tasks ("workers").
struct WorkerSpec {
    WorkerId m_name;
    FailureDomainId m_failureDomain;
    RackId m_rack;
    Resources m_capacity;
    /// "address:port" of the worker's control protocol.
    std::string m_address;

    friend bool operator==(const WorkerSpec&, const WorkerSpec&) = default;
};

/// A failure domain and the region that it lies in ("failureDomains").
struct FailureDomainSpec {
    FailureDomainId m_name;
    RegionId m_region;
    /// An operator has declared the domain permanently lost: its tasks may start elsewhere.
    bool m_lost = false;

    friend bool operator==(const FailureDomainSpec&, const FailureDomainSpec&) = default;
};

/// What placement weighs ("placement"); the weights are relative to their sum.
struct PlacementWeights {
    /// Weight of a short wait before placement.
    double m_waiting = 0.5;
    /// Weight of dense packing of workers.
    double m_packing = 0.5;

    friend bool operator==(const PlacementWeights&, const PlacementWeights&) = default;
};

/// A complete cluster file. Names are unique within each list and references resolve (verified by the validator).
struct ClusterFile {
    /// Version of the file format, at present 1.
    std::uint32_t m_format = 1;
    std::string m_cell;
    PlacementWeights m_placement;
    std::vector<FailureDomainSpec> m_failureDomains;
    std::vector<WorkerSpec> m_workers;
    std::vector<TeamSpec> m_teams;
    std::vector<ClassPolicy> m_classes;
    std::vector<WorkloadSpec> m_workloads;

    friend bool operator==(const ClusterFile&, const ClusterFile&) = default;
};

} // namespace sapphiredale
