// Leases on the minions of a failure domain that this daemon should hold. Rendezvous hashing over the live daemons of
// the domain names one preferred daemon per minion; the table acquires, renews and releases accordingly.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::routing {

/// Settings that build a MinionLeaseTable.
struct MinionLeaseSettings {
    DaemonId m_self;
    /// Length of a lease, counted from the moment the request is sent.
    Duration m_lease = std::chrono::seconds(8);
    /// Time for which a minion may hold back the response of a renewal that changes nothing (long poll).
    Duration m_wait = std::chrono::seconds(3);
    /// Subtracted from the lease, for the difference of the clock rates.
    Duration m_clockMargin = std::chrono::milliseconds(500);
    /// Pause before a request is repeated after a failure or a rejection without an expiry.
    Duration m_retryPause = std::chrono::milliseconds(250);
    /// Least time between two requests to one minion, against a minion that answers every long poll at once.
    Duration m_minInterval = std::chrono::milliseconds(50);
};

/// A minion as its worker reports it.
struct MinionEndpoint {
    MinionId m_minion;
    /// "address:port".
    std::string m_address;
    std::uint32_t m_slots = 0;
    std::uint32_t m_connections = 0;

    friend bool operator==(const MinionEndpoint&, const MinionEndpoint&) = default;
};

/// Lease request to send to a minion (POST /v1/minion/lease). A time to live of zero releases the lease.
struct MinionLeaseRequest {
    MinionId m_minion;
    std::string m_address;
    std::uint64_t m_epoch = 0;
    Duration m_ttl {};
    Duration m_wait {};
    /// Returned with the response, so that a response to an older request is recognized.
    std::uint64_t m_sequence = 0;

    bool isRelease() const { return m_ttl == Duration::zero(); }
};

/// Response 200 of a minion. The counts are those of former holders: requests in flight and open connections.
struct MinionLeaseGrant {
    std::uint64_t m_epoch = 0;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_connections = 0;
    std::uint32_t m_slots = 0;
    bool m_leaving = false;
};

/// Response 409 of a minion.
struct MinionLeaseRejection {
    DaemonId m_holder;
    std::uint64_t m_epoch = 0;
    /// Remaining time of the other holder's lease.
    Duration m_expiresIn {};
};

/// A lease that this daemon holds; input of Router::setMinion.
struct HeldMinion {
    MinionId m_minion;
    std::string m_address;
    std::uint64_t m_epoch = 0;
    /// Nothing is sent to the minion at or after this instant.
    TimePoint m_leaseDeadline;
    std::uint32_t m_slots = 0;
    /// Most connections that the minion accepts from all holders together.
    std::uint32_t m_connections = 0;
    /// Requests of former holders that had not ended at the latest report.
    std::uint32_t m_formerInFlight = 0;
    /// Connections of former holders that were open at the latest report.
    std::uint32_t m_formerConnections = 0;
    /// True when the minion finishes its requests and takes no new ones.
    bool m_leaving = false;

    friend bool operator==(const HeldMinion&, const HeldMinion&) = default;
};

/// Decides which minion leases this daemon requests, and knows which it holds.
class MinionLeaseTable {
public:
    explicit MinionLeaseTable(const MinionLeaseSettings&);

    /// Live daemons of the failure domain, this daemon included.
    void setLiveDaemons(std::vector<DaemonId>, TimePoint now);
    /// Running minions of the failure domain. A minion with another address is a new process: its lease starts anew.
    void setMinions(const std::vector<MinionEndpoint>&, TimePoint now);
    /// Releases everything and requests nothing more (planned stop).
    void stop(TimePoint now);

    /// Requests that are due. Each must be answered with granted(), rejected() or failed().
    std::vector<MinionLeaseRequest> step(TimePoint now);
    /// Instant at which step() has work again, at the earliest.
    TimePoint nextStep() const;

    void granted(const MinionLeaseRequest&, const MinionLeaseGrant&, TimePoint now);
    void rejected(const MinionLeaseRequest&, const MinionLeaseRejection&, TimePoint now);
    /// No response, or one that is not valid.
    void failed(const MinionLeaseRequest&, TimePoint now);

    /// Minions whose state changed since the last call; use held() for the new state, none means lost.
    std::vector<MinionId> takeChanges();
    /// The lease on a minion, when this daemon holds it now.
    std::optional<HeldMinion> held(const MinionId&, TimePoint now) const;
    std::vector<HeldMinion> allHeld(TimePoint now) const;
    /// True when this daemon is the preferred holder.
    bool isPreferred(const MinionId&) const;
    /// True after stop() when no lease is held and no release is under way.
    bool isDrained(TimePoint now) const;

private:
    struct Entry {
        MinionEndpoint m_endpoint;
        bool m_preferred = false;
        /// False once the minion is no longer listed; the entry lasts until its release was sent.
        bool m_listed = true;
        /// True between the grant and the loss or release of the lease.
        bool m_held = false;
        /// Valid while m_held.
        HeldMinion m_lease;
        /// Greatest epoch that was seen or granted.
        std::uint64_t m_epoch = 0;
        TimePoint m_nextRequest;
        /// Instant at which the request under way was sent; none when no request is under way.
        std::optional<TimePoint> m_sentAt;
        std::uint64_t m_sequence = 0;
    };

    void lose(Entry&);
    void updatePreference(TimePoint now);
    bool wanted(const Entry&) const;
    MinionLeaseRequest makeRequest(Entry&, bool release, TimePoint now);
    Entry* current(const MinionLeaseRequest&);

    MinionLeaseSettings m_settings;
    std::vector<DaemonId> m_daemons;
    std::map<MinionId, Entry> m_entries;
    std::vector<MinionId> m_changes;
    std::uint64_t m_nextSequence = 1;
    bool m_stopped = false;
};

} // namespace sapphiredale::routing
