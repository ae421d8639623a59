// Claims of non-repeatable requests: appends and reads back claims whose home is this failure domain, and asks a daemon
// of the home domain for the others.
#pragma once

#include "configuration/ConfigurationFold.h"
#include "daemon/BatchAppender.h"
#include "daemon/PeerLink.h"
#include "daemon/Runtime.h"
#include "forwarding/RequestBackend.h"
#include "observability/EventLog.h"
#include "observability/MetricsRegistry.h"
#include "platform/PlatformTypes.h"
#include "routing/ClaimTable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace sapphiredale::daemon {

/// Claims of one daemon. All functions may be called from any thread.
class ClaimDriver {
public:
    /// requestEnd asks the follower of the domain's stream to read at once.
    ClaimDriver(Runtime&, const Settings&, std::uint64_t seed, PeerLink&, BatchAppender&,
        observability::MetricsRegistry&, std::function<void()> requestEnd);

    void configure(const configuration::FileInForce&);
    /// A record of this domain's stream was read, of whatever type.
    void recordRead(const platform::LogRecord&);

    void claim(const forwarding::ClaimRequest&, const forwarding::ClaimHandler&);
    void recordOutcome(const forwarding::ClaimOutcome&);

    /// ClaimRequest and ClaimOutcome of another daemon.
    void claimCalled(const peer::Envelope&);
    void outcomeCalled(const peer::ClaimOutcome&);

private:
    using VerdictHandler = std::function<void(Result<routing::ClaimVerdict>)>;
    struct Pending {
        std::string m_key;
        TimePoint m_deadline;
        VerdictHandler m_handler;
    };

    std::optional<FailureDomainId> homeOf(const std::string& key) const;
    void claimHere(const routing::ClaimRecord&, VerdictHandler);
    void claimRemotely(const FailureDomainId& home, const routing::ClaimRecord&, const forwarding::ClaimHandler&);
    void appended(const RecordId&, const Result<std::uint64_t>&);
    void expire();
    void append(const routing::OutcomeRecord&);
    RecordId newRecordId();
    void answer(const RecordId& claim, const Result<routing::ClaimVerdict>&, const forwarding::ClaimHandler&);

    Runtime& m_runtime;
    const Settings& m_settings;
    std::uint64_t m_seed;
    PeerLink& m_peers;
    BatchAppender& m_appender;
    observability::MetricsRegistry& m_metrics;
    std::function<void()> m_requestEnd;

    mutable std::mutex m_mutex;
    /// Guarded by m_mutex, as are the members below.
    routing::ClaimTable m_table;
    std::vector<FailureDomainId> m_domains;
    std::map<RecordId, Pending> m_pending;
    /// Claims that were given up before they were read back, with their keys: if one wins, its key is freed again.
    std::map<RecordId, std::string> m_abandoned;
    std::uint64_t m_nextRecord = 1;

    Alarm m_alarm;
};

} // namespace sapphiredale::daemon
