// One simulated worker: lease register, tasks, report and faults.
#pragma once

#include "model/Identifier.h"
#include "model/Resources.h"
#include "model/TaskReport.h"
#include "standin/ChangeSignal.h"
#include "standin/LeaseRegister.h"
#include "standin/MinionPort.h"
#include "standin/ProgramText.h"
#include "standin/StandinSettings.h"
#include "standin/TaskRegistry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::standin {

/// Identity and size of a worker.
struct WorkerIdentity {
    WorkerId m_name;
    FailureDomainId m_failureDomain;
    RackId m_rack;
    Resources m_capacity;
};

/// Shared parts that outlive the workers.
struct WorkerSurroundings {
    const TaskSettings& m_tasks;
    std::uint64_t m_seed;
    TaskRegistry& m_registry;
    Violations& m_violations;
    MinionLauncher& m_launcher;
};

/// A start of a task; the key of everything that a worker knows.
using AttemptKey = std::pair<TaskId, std::uint32_t>;

struct WorkerLeaseCall {
    DaemonId m_holder;
    std::uint64_t m_epoch = 0;
    Duration m_ttl {};
    bool m_externalContact = false;
    std::vector<AttemptKey> m_acknowledged;
};

struct StartCall {
    Resources m_resources;
    std::string m_program;
    std::uint32_t m_lapseStopSeconds = 0;
    std::optional<MinionShape> m_minion;
};

struct CommandOutcome {
    bool m_ok = false;
    std::string m_reason;
};

/// Why a batch of commands is rejected as a whole.
enum class Fence : std::uint8_t { None, StaleEpoch, OtherIncarnation };

/// State of the lease register as a refusal shows it.
struct LeaseView {
    DaemonId m_holder;
    std::uint64_t m_epoch = 0;
    Duration m_expiresIn {};
};

/// Faults of one worker.
struct WorkerFaults {
    bool m_frozen = false;
    /// Every start ends in "failed".
    bool m_failStarts = false;
    /// Delay before a request is handled.
    Duration m_delay {};
};

/// Thread-safe under a lock of its own; the time is an argument, so that its behaviour does not depend on a clock.
class SimulatedWorker {
public:
    SimulatedWorker(WorkerIdentity, WorkerSurroundings);

    const WorkerIdentity& identity() const { return m_identity; }

    /// Grants or renews the lease and forgets the acknowledged final states; false when refused.
    bool lease(const WorkerLeaseCall&, TimePoint now);
    bool release(const DaemonId& holder, std::uint64_t epoch);
    LeaseView leaseView(TimePoint now) const;
    IncarnationId incarnation() const;
    /// True when a change after the sequence number is worth an answer at once; subscribes the connection otherwise.
    /// A change of use alone is not: it waits for the next answer.
    bool hasNews(std::uint64_t since, Connection&);
    /// Changes after a sequence number, or everything when the number is zero or unknown.
    WorkerReport report(std::uint64_t since) const;

    Fence fence(const DaemonId& holder, std::uint64_t epoch, const IncarnationId&) const;
    /// Commands. Each verifies holder, epoch and incarnation again under the lock that protects its effect.
    struct Sender {
        DaemonId m_holder;
        std::uint64_t m_epoch = 0;
        IncarnationId m_incarnation;
    };
    CommandOutcome start(const Sender&, const AttemptKey&, const StartCall&, TimePoint now);
    CommandOutcome stop(const Sender&, const AttemptKey&, TimePoint now);
    CommandOutcome checkpoint(const Sender&, const AttemptKey&, TimePoint now);
    CommandOutcome throttle(const Sender&, const AttemptKey&, std::int64_t cpuMillis, TimePoint now);

    /// Performs everything that is due: starts, ends, lagging use, checkpoints, drained minions, lapse stops.
    void advance(TimePoint now);

    /// Host failure: every task is gone at once and nothing answers until restart().
    void kill();
    /// Starts again with a new incarnation, an empty register and no tasks; kills a running one first.
    void restart(TimePoint now);
    /// Loses the register but keeps incarnation and tasks: breaks the assumption of section 2.2 on purpose.
    void forgetEpoch();
    /// Lets every minion of the worker refuse new requests.
    void leaveMinions();
    /// Ends a task by force, for example because its minion died.
    bool failTask(const TaskId&, const std::string& reason);
    void setFaults(const WorkerFaults&);
    WorkerFaults faults() const;
    bool isAlive() const;
    /// True when the worker is frozen; subscribes the connection to the next change of faults then.
    bool isFrozen(Connection&);
    Resources assigned() const;

private:
    struct Task {
        TaskReport m_report;
        ProgramText m_program;
        /// Sequence number of the last change.
        std::uint64_t m_sequence = 0;
        /// When the task reaches "running"; the time of the start command until then.
        TimePoint m_runningAt {};
        /// Times of what is due next; TimePoint::max() when nothing is.
        TimePoint m_endsAt = TimePoint::max();
        TimePoint m_usageAt = TimePoint::max();
        TimePoint m_checkpointEndsAt = TimePoint::max();
        TimePoint m_drainEndsAt = TimePoint::max();
        /// Use that the report shows from m_usageAt on.
        Resources m_trueUsage;
        double m_usageFactor = 1;
        std::uint32_t m_lapseStopSeconds = 0;
        std::optional<MinionShape> m_minionShape;
        std::shared_ptr<MinionPort> m_minion;
    };
    using Tasks = std::map<AttemptKey, Task>;

    std::string refusalOf(const Sender&) const;
    std::string startRefusal(const AttemptKey&, const StartCall&) const;
    void enter(const AttemptKey&, const StartCall&, TimePoint now);
    void advanceTask(Task&, TimePoint now);
    void beginRun(Task&, TimePoint now);
    void finish(Task&, TaskState, const std::string& reason);
    bool lapsed(const Task&, TimePoint now) const;
    double draw(const AttemptKey&, std::string_view purpose) const;
    void changed(Task&, bool isNews);
    void endEverything();
    void chooseIncarnation();
    void lookAgainAt(TimePoint time) { m_nextDue = std::min(m_nextDue, time); }

    const WorkerIdentity m_identity;
    const WorkerSurroundings m_surroundings;
    mutable std::mutex m_mutex;
    LeaseRegister m_register;
    IncarnationId m_incarnation;
    std::uint64_t m_incarnations = 0;
    /// Grows with every change of the report.
    std::uint64_t m_sequence = 1;
    /// Sequence number of the last change that ends a long poll.
    std::uint64_t m_newsSequence = 1;
    Tasks m_tasks;
    /// Declared sizes of all tasks that have not ended.
    Resources m_assigned;
    TimePoint m_lastExternalContact {};
    TimePoint m_nextDue = TimePoint::max();
    WorkerFaults m_faults;
    bool m_alive = true;
    ChangeSignal m_signal;
};

} // namespace sapphiredale::standin
