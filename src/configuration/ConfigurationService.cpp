// Dispatch of inputs to the parts of the configuration core.

#include "configuration/ConfigurationService.h"

#include "configuration/ApplyTracker.h"
#include "configuration/LogFollower.h"
#include "configuration/PeerCatchUp.h"
#include "configuration/RefreshSchedule.h"

#include <algorithm>
#include <utility>

namespace sapphiredale::configuration {

namespace {

    std::string hexOf(std::uint64_t value)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text(16, '0');
        for (std::size_t i = 0; i < text.size(); ++i)
            text[text.size() - 1 - i] = digits[(value >> (4 * i)) & 15];
        return text;
    }

    LogFollowerSettings followerSettings(const ConfigurationServiceSettings& settings)
    {
        return { settings.m_pollWait, settings.m_logTimeout, settings.m_retryMin, settings.m_retryMax,
            settings.m_readMaxBytes, settings.m_seed };
    }

    ApplyTrackerSettings applySettings(const ConfigurationServiceSettings& settings)
    {
        return { settings.m_daemon.value() + '-' + hexOf(settings.m_seed) + '-', settings.m_applyTimeout,
            settings.m_logTimeout, settings.m_retryMin, settings.m_retryMax, settings.m_maxPendingApplies,
            settings.m_seed };
    }

    PeerCatchUpSettings peerSettings(const ConfigurationServiceSettings& settings)
    {
        return { settings.m_daemon, settings.m_peerTimeout, settings.m_peerPatience, settings.m_retryMin,
            settings.m_retryMax, settings.m_seed };
    }

} // namespace

class ConfigurationService::Impl {
public:
    explicit Impl(const ConfigurationServiceSettings& settings)
        : m_settings(settings)
        , m_follower(followerSettings(settings), m_counters)
        , m_applies(applySettings(settings), m_follower, m_counters)
        , m_peers(peerSettings(settings), m_counters)
        , m_refresh({ settings.m_daemon, settings.m_retention, settings.m_refreshStagger })
    {
    }

    std::vector<ConfigurationAction> step(const ConfigurationInput& input, const StepTime& time)
    {
        std::vector<ConfigurationAction> actions;
        m_follower.tick(time.m_now);
        m_peers.tick(time.m_now);
        std::visit([&](const auto& message) { handle(message, time, actions); }, input);
        announceFile(actions);
        m_applies.advance(m_fold, time.m_now, actions);
        answerReads(time.m_now, actions);
        refreshWhenDue(time, actions);
        m_peers.issue(m_fold, m_follower.isOut(), readiness() == ConfigurationReadiness::Ready, time.m_now, actions);
        m_follower.issue(m_fold, time.m_now, actions);
        return actions;
    }

    std::optional<TimePoint> nextWake() const
    {
        std::optional<TimePoint> wake = m_follower.nextWake();
        const auto consider = [&wake](std::optional<TimePoint> at) {
            if (at && (!wake || *at < *wake))
                wake = at;
        };
        consider(m_applies.nextWake());
        consider(m_peers.nextWake());
        if (canRefresh())
            consider(m_refresh.attemptAt());
        for (const PendingRead& read : m_reads)
            consider(read.m_deadline);
        return wake;
    }

    ConfigurationReadiness readiness() const
    {
        const bool isKnown = m_follower.hasReachedEnd() || m_hasPeerState;
        if (m_fold.version() > 0)
            return isKnown ? ConfigurationReadiness::Ready : ConfigurationReadiness::NotReady;
        return isKnown && m_fold.isAnchored() ? ConfigurationReadiness::NoFile : ConfigurationReadiness::NotReady;
    }

    std::string readinessDetail() const
    {
        if (readiness() != ConfigurationReadiness::NotReady)
            return {};
        if (!m_fold.isAnchored())
            return "the log holds no usable refresh of the file, and no peer has sent it";
        return m_follower.isOut() ? "the log cannot be read, and no peer has sent the file"
                                  : "the log has not been read to its end";
    }

    ConfigurationServiceSettings m_settings;
    ServiceCounters m_counters;
    ConfigurationFold m_fold;
    LogFollower m_follower;

private:
    struct PendingRead {
        RequestToken m_token = 0;
        LogFollower::Ticket m_ticket = 0;
        TimePoint m_deadline;
    };

    void handle(const ApplyRequest& request, const StepTime& time, std::vector<ConfigurationAction>& actions)
    {
        m_applies.submit(request, m_fold, time.m_now, time.m_wall, actions);
    }
    void handle(const ReadRequest& request, const StepTime& time, std::vector<ConfigurationAction>&)
    {
        m_reads.push_back({ request.m_token, m_follower.requestEnd(), time.m_now + m_settings.m_readTimeout });
    }
    void handle(const LogReadSucceeded& result, const StepTime& time, std::vector<ConfigurationAction>&)
    {
        m_follower.readSucceeded(result, m_fold, time.m_now);
        updateRefresh(time);
    }
    void handle(const LogReadFailed& result, const StepTime& time, std::vector<ConfigurationAction>&)
    {
        m_follower.readFailed(result.m_read, time.m_now);
    }
    void handle(const AppendSucceeded& result, const StepTime& time, std::vector<ConfigurationAction>&)
    {
        if (m_openRefresh == result.m_record) {
            m_openRefresh.reset();
            m_counters.count(ServiceReason::RefreshAppended);
            m_refresh.appended(time.m_now);
        }
        m_applies.appendSucceeded(result, time.m_now);
    }
    void handle(const AppendFailed& result, const StepTime& time, std::vector<ConfigurationAction>&)
    {
        if (m_openRefresh == result.m_record) {
            m_openRefresh.reset();
            m_counters.count(ServiceReason::RetryRefresh);
        }
        m_applies.appendFailed(result, time.m_now);
    }
    void handle(const PeerAdvertised& peer, const StepTime&, std::vector<ConfigurationAction>&)
    {
        m_peers.advertised(peer, m_fold);
    }
    void handle(const PeerStateReceived& message, const StepTime& time, std::vector<ConfigurationAction>&)
    {
        if (m_peers.received(message, m_fold, time.m_now)) {
            m_hasPeerState = true;
            updateRefresh(time);
        }
    }
    void handle(const LiveDaemons& live, const StepTime& time, std::vector<ConfigurationAction>&)
    {
        m_live = live.m_daemons;
        m_peers.setLive(m_live);
        updateRefresh(time);
    }
    void handle(const Tick&, const StepTime&, std::vector<ConfigurationAction>&) { }

    void announceFile(std::vector<ConfigurationAction>& actions)
    {
        if (m_fold.version() == m_announcedVersion)
            return;
        m_announcedVersion = m_fold.version();
        actions.emplace_back(FileActivated { m_fold.inForce() });
    }

    void answerReads(TimePoint now, std::vector<ConfigurationAction>& actions)
    {
        std::erase_if(m_reads, [&](const PendingRead& read) {
            const LogFollower::TicketState state = m_follower.stateOf(read.m_ticket);
            const bool isConfirmed = state == LogFollower::TicketState::Reached && m_fold.isAnchored();
            if (!isConfirmed && state == LogFollower::TicketState::Waiting && now < read.m_deadline)
                return false;
            if (!isConfirmed)
                m_counters.count(ServiceReason::ReadUnconfirmed);
            actions.emplace_back(AnswerRead { read.m_token, isConfirmed });
            return true;
        });
    }

    bool canRefresh() const { return m_fold.isAnchored() && m_follower.hasReachedEnd() && !m_follower.isOut(); }

    void updateRefresh(const StepTime& time)
    {
        m_refresh.update(m_fold.version(), m_fold.anchorTime(), m_live, time.m_now, time.m_wall);
    }

    void refreshWhenDue(const StepTime& time, std::vector<ConfigurationAction>& actions)
    {
        const std::optional<TimePoint> attemptAt = m_refresh.attemptAt();
        if (!canRefresh() || !attemptAt || time.m_now < *attemptAt)
            return;
        RefreshRecord record;
        record.m_id = RecordId(m_settings.m_daemon.value() + '-' + hexOf(m_settings.m_seed) + "-refresh-"
            + std::to_string(m_nextRefresh++));
        record.m_author = m_settings.m_daemon.value().substr(0, maxAuthorBytes);
        record.m_time = time.m_wall;
        record.m_state = m_fold.state();
        m_openRefresh = record.m_id;
        m_refresh.attempted(time.m_now);
        actions.emplace_back(AppendRecord { record.m_id, encodeRecord(record), time.m_now + m_settings.m_logTimeout });
    }

    ApplyTracker m_applies;
    PeerCatchUp m_peers;
    RefreshSchedule m_refresh;
    std::vector<DaemonId> m_live;
    std::vector<PendingRead> m_reads;
    std::optional<RecordId> m_openRefresh;
    std::uint64_t m_nextRefresh = 1;
    std::uint64_t m_announcedVersion = 0;
    /// True once the state of a peer was taken over.
    bool m_hasPeerState = false;
};

ConfigurationService::ConfigurationService(const ConfigurationServiceSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

ConfigurationService::~ConfigurationService() = default;
ConfigurationService::ConfigurationService(ConfigurationService&&) noexcept = default;
ConfigurationService& ConfigurationService::operator=(ConfigurationService&&) noexcept = default;

std::vector<ConfigurationAction> ConfigurationService::step(const ConfigurationInput& input, const StepTime& time)
{
    return m_impl->step(input, time);
}

std::optional<TimePoint> ConfigurationService::nextWake() const { return m_impl->nextWake(); }

const ConfigurationFold& ConfigurationService::fold() const { return m_impl->m_fold; }

PeerAdvertised ConfigurationService::advertisement() const
{
    const ConfigurationFold& fold = m_impl->m_fold;
    return { m_impl->m_settings.m_daemon, fold.version(), fold.inForce() ? fold.inForce()->m_hash : 0,
        fold.nextOffset() };
}

std::string ConfigurationService::stateForPeer() const
{
    const ConfigurationFold& fold = m_impl->m_fold;
    return fold.isAnchored() && fold.version() > 0 ? encodeState(fold.state()) : std::string();
}

ConfigurationReadiness ConfigurationService::readiness() const { return m_impl->readiness(); }
std::string ConfigurationService::readinessDetail() const { return m_impl->readinessDetail(); }
bool ConfigurationService::isLogOut() const { return m_impl->m_follower.isOut(); }

std::vector<ReasonCount> ConfigurationService::counters() const
{
    return m_impl->m_counters.list(m_impl->m_fold.counters());
}

} // namespace sapphiredale::configuration
