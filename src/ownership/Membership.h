// Group membership as one daemon sees it, from heartbeats and the platform's host list. The host list lags, so it is
// only a hint: it names peers to contact and shortens the suspicion timeout, but neither adds nor removes a live
// daemon.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"
#include "ownership/OwnershipActions.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiredale::ownership {

/// Description that a daemon announces of itself; it rarely changes.
struct DaemonDescription {
    std::vector<std::string> m_addresses;
    FailureDomainId m_failureDomain;
    std::string m_softwareVersion;

    friend bool operator==(const DaemonDescription&, const DaemonDescription&) = default;
};

/// Version and hash of the configuration that a daemon has.
struct ConfigurationMark {
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;

    friend bool operator==(const ConfigurationMark&, const ConfigurationMark&) = default;
};

/// Free slots of a service behind one daemon.
struct FreeSlots {
    WorkloadId m_workload;
    std::uint32_t m_free = 0;

    friend bool operator==(const FreeSlots&, const FreeSlots&) = default;
};

/// One-way message between daemons. Optional members and slots are present only when they changed after the last
/// heartbeat that the addressee has acknowledged.
struct Heartbeat {
    DaemonId m_daemon;
    /// Identity of this start of the process.
    std::uint64_t m_process = 0;
    std::uint64_t m_sequence = 0;
    /// Process and greatest sequence of the addressee that the sender has received; zero for none.
    std::uint64_t m_acknowledgedProcess = 0;
    std::uint64_t m_acknowledgedSequence = 0;
    bool m_leaving = false;
    /// Epoch of the sender's domain lease; zero when it is not the domain scheduler.
    std::uint64_t m_schedulerEpoch = 0;
    std::optional<DaemonDescription> m_description;
    std::optional<ConfigurationMark> m_configuration;
    std::vector<FreeSlots> m_slots;
    /// Domains that the sender has not heard for its contact window; empty in the usual case.
    std::vector<FailureDomainId> m_silentDomains;

    friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// A heartbeat with its addressee.
struct OutgoingHeartbeat {
    DaemonId m_to;
    Heartbeat m_heartbeat;
};

/// An entry host of the platform's host list.
struct ListedHost {
    DaemonId m_daemon;
    HostState m_state = HostState::Live;
    FailureDomainId m_failureDomain;
};

/// Settings of Membership.
struct MembershipSettings {
    DaemonId m_daemon;
    std::uint64_t m_process = 1;
    DaemonDescription m_description;
    /// Heartbeat interval to daemons of the same domain and to all others.
    Duration m_nearInterval = std::chrono::seconds(1);
    Duration m_farInterval = std::chrono::seconds(10);
    /// Missed intervals until a daemon is suspected, and until it is removed.
    std::uint32_t m_suspectAfter = 3;
    std::uint32_t m_removeAfter = 10;
    /// Maximum age of a contact with another domain that counts as recent: two far intervals and a margin.
    Duration m_contactWindow = std::chrono::seconds(25);
};

/// State of one other daemon.
struct DaemonView {
    enum class State : std::uint8_t { Live, Suspected };
    DaemonId m_daemon;
    State m_state = State::Live;
    bool m_leaving = false;
    DaemonDescription m_description;
    ConfigurationMark m_configuration;
    std::uint64_t m_schedulerEpoch = 0;
    std::map<WorkloadId, std::uint32_t> m_freeSlots;
    TimePoint m_heardAt {};
};

/// Connectivity of this daemon, for status pages and for the lapse rule of design 2.5.
struct PartitionState {
    bool m_cutOffFromLog = false;
    /// Domains of which no sign of life arrived in the contact window.
    std::vector<FailureDomainId> m_silentDomains;
    /// True when a majority of the domains, the own one included, confirmed a contact in the window.
    bool m_majorityReached = false;
};

/// Membership view of one daemon.
class Membership {
public:
    Membership(const MembershipSettings&, TimePoint now);

    /// Domains of the active file that are not declared lost.
    void setDomains(const std::vector<FailureDomainId>&, TimePoint now);
    /// Sets the own configuration; a new version is announced to every peer at the next step.
    void setConfiguration(const ConfigurationMark&);
    void setFreeSlots(const WorkloadId&, std::uint32_t free);
    void setLeaving();
    void setSchedulerEpoch(std::uint64_t epoch);
    /// Processes the platform's host list.
    void hostsListed(const std::vector<ListedHost>&, TimePoint now);
    /// Notes that the log confirmed a request that was sent at sentAt.
    void logContact(TimePoint sentAt);
    /// Processes a heartbeat. Late, repeated and own heartbeats have no effect.
    void received(const Heartbeat&, TimePoint now);

    /// Heartbeats that are due.
    std::vector<OutgoingHeartbeat> step(TimePoint now);
    TimePoint nextWake() const;

    /// Daemons that are live and not leaving, the own one included, in the order of their names.
    std::vector<DaemonId> liveDaemons(const FailureDomainId&) const;
    /// Every daemon in the view except the own one.
    std::vector<DaemonView> view() const;
    /// Daemon of the own domain that says it is the scheduler, with the greatest epoch; nothing when it is not live.
    std::optional<DaemonView> domainScheduler(const FailureDomainId&) const;
    /// Daemon that has a configuration newer than version; nothing when there is none.
    std::optional<DaemonId> newerConfiguration(std::uint64_t version) const;
    PartitionState partition(TimePoint now) const;
    /// Last sign of life of a domain, own or reported by a third domain; the start time when there was none.
    TimePoint lastEvidence(const FailureDomainId&) const;
    /// Time of the last contact with a majority of the domains that those domains can confirm.
    std::optional<TimePoint> majorityContact() const;

private:
    struct Peer {
        FailureDomainId m_failureDomain;
        bool m_heard = false;
        bool m_suspected = false;
        bool m_listedGone = false;
        bool m_listed = false;
        DaemonView m_view;
        std::uint64_t m_process = 0;
        /// Process that m_process replaced; its late messages are ignored.
        std::uint64_t m_formerProcess = 0;
        std::uint64_t m_sequence = 0;
        /// Greatest own sequence that the peer acknowledged.
        std::uint64_t m_acknowledged = 0;
        TimePoint m_nextSend {};
        /// Send times of own heartbeats that are not acknowledged yet, by sequence; bounded.
        std::map<std::uint64_t, TimePoint> m_sent;
        /// Send time of the newest own heartbeat that the peer acknowledged.
        std::optional<TimePoint> m_contactAt;
    };

    Duration intervalTo(const Peer&) const;
    void learn(Peer&, const Heartbeat&, TimePoint now);
    void sendSoon();
    void noteEvidence(const Peer&, const Heartbeat&, TimePoint now);
    Heartbeat heartbeatFor(Peer&, TimePoint now);
    void updateSuspicion(TimePoint now);
    std::vector<FailureDomainId> silentDomains(TimePoint now) const;

    MembershipSettings m_settings;
    TimePoint m_startedAt;
    std::vector<FailureDomainId> m_domains;
    std::map<DaemonId, Peer> m_peers;
    /// Last direct sign of life of each domain, and the last one including what other daemons report.
    std::map<FailureDomainId, TimePoint> m_direct;
    std::map<FailureDomainId, TimePoint> m_evidence;
    ConfigurationMark m_configuration;
    std::uint64_t m_configurationChangedAt = 1;
    std::map<WorkloadId, std::pair<std::uint32_t, std::uint64_t>> m_slots;
    bool m_leaving = false;
    std::uint64_t m_schedulerEpoch = 0;
    /// Sequence of the next heartbeat; one sequence for all peers.
    std::uint64_t m_sequence = 1;
    std::optional<TimePoint> m_logContact;
};

} // namespace sapphiredale::ownership
