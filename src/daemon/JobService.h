// Jobs of callers: submission, status and cancellation, here or at the scheduler of the job's home domain.
#pragma once

#include "configuration/ConfigurationFold.h"
#include "daemon/PeerLink.h"
#include "daemon/Runtime.h"
#include "daemon/SchedulerDriver.h"
#include "forwarding/RequestBackend.h"
#include "observability/MetricsRegistry.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::daemon {

/// The paths under /v1/jobs and the calls of other daemons about jobs. All functions may be called from any thread.
class JobService {
public:
    JobService(const Settings&, std::uint64_t seed, PeerLink&, SchedulerDriver&, observability::MetricsRegistry&);

    void configure(std::shared_ptr<const configuration::FileInForce>);

    /// POST /v1/jobs, GET and DELETE /v1/jobs/{job}.
    void handle(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    /// SubmitJob, CancelJob and JobStatus of another daemon.
    void called(const peer::Envelope&);

private:
    struct Submission {
        WorkloadId m_workload;
        std::uint32_t m_taskCount = 1;
        std::string m_key;
    };

    void submit(const forwarding::LocalRequest&, const forwarding::LocalHandler&);
    void status(const JobId&, const forwarding::LocalHandler&);
    void cancel(const JobId&, const forwarding::LocalHandler&);
    Result<Submission> parse(const forwarding::LocalRequest&) const;
    /// Home of a new job: fixed by the key if there is one, else the nearest allowed domain with a scheduler.
    std::optional<FailureDomainId> chooseHome(const ClusterFile&, const WorkloadSpec&, const std::string& key);
    void submitTo(const FailureDomainId& home, const placement::JobRequest&, SchedulerDriver::SubmitHandler);
    std::optional<DaemonId> schedulerOf(const FailureDomainId&);
    std::string uniquePart(const std::string& key);
    std::shared_ptr<const configuration::FileInForce> file() const;

    const Settings& m_settings;
    std::uint64_t m_seed;
    PeerLink& m_peers;
    SchedulerDriver& m_scheduler;
    observability::MetricsRegistry& m_metrics;

    mutable std::mutex m_mutex;
    /// Guarded by m_mutex, as are the members below.
    std::shared_ptr<const configuration::FileInForce> m_file;
    std::uint64_t m_nextJob = 1;
};

} // namespace sapphiredale::daemon
