// State test of the configuration core: several daemons, one log with retention, lost and late answers, outages,
// pauses, restarts, partitions and clocks of different rates.

#include "configuration/ClusterFileReader.h"
#include "configuration/ClusterFileWriter.h"
#include "configuration/ConfigurationService.h"
#include "fuzz/Fuzzing.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <set>

namespace sapphiredale::fuzz {

namespace {

    using namespace configuration;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::size_t daemonCount = 4;
    constexpr Duration retention = seconds(240);

    std::string fileText(std::uint32_t instances)
    {
        return R"({"format": 1, "cell": "fuzz",
  "failureDomains": [{"name": "d", "region": "r", "lost": false}],
  "workers": [{"name": "w1", "failureDomain": "d", "rack": "k", "capacity": {"cpus": 64, "memoryMiB": 1000},
    "address": "127.0.0.1:7100"}],
  "teams": [{"name": "t", "guaranteed": {"cpus": 4, "memoryMiB": 50}, "limit": {"cpus": 64, "memoryMiB": 1000}}],
  "classes": [{"name": "service", "kind": "service"}],
  "workloads": [{"name": "front", "team": "t", "class": "service", "instances": )"
            + std::to_string(instances) + R"(, "resources": {"cpus": 1, "memoryMiB": 10}, "program": "p"}]})";
    }

    enum class Sabotage : std::uint8_t {
        None,
        /// One daemon reads neighbouring records in the other order.
        ReorderedLog,
        /// A daemon's fold starts anew without a restart, so its version goes back.
        ForgottenFile,
    };

    /// The records and the truth about them: a fold that reads every record at once and is never restarted.
    struct Log {
        std::vector<LogRecord> m_records;
        std::uint64_t m_earliest = 0;
        ConfigurationFold m_truth;
        /// Hash of each accepted version, by version - 1.
        std::vector<std::uint64_t> m_hashes;
        std::set<std::string> m_acceptedAuthors;
        bool m_up = true;

        void append(std::string data, WallTime time)
        {
            m_records.push_back({ m_records.size(), time, std::move(data) });
            m_truth.apply(m_records.back().m_data, m_records.back().m_offset, time);
            if (m_truth.version() > m_hashes.size()) {
                m_hashes.push_back(m_truth.inForce()->m_hash);
                m_acceptedAuthors.insert(m_truth.history().back().m_author);
            }
        }

        void expire(WallTime now)
        {
            while (m_earliest < m_records.size()
                && m_records[m_earliest].m_time + std::chrono::duration_cast<milliseconds>(retention) < now)
                ++m_earliest;
        }
    };

    struct Daemon {
        std::unique_ptr<ConfigurationService> m_service;
        LocalClock m_clock;
        std::uint64_t m_life = 0;
        bool m_paused = false;
        bool m_cut = false;
        std::uint64_t m_lastVersion = 0;
        std::vector<ConfigurationInput> m_inbox;
        /// A poll that waits for records.
        std::optional<ReadLog> m_waiting;

        bool runs() const { return m_service && !m_paused; }
    };

    /// Faults of the next append of any daemon.
    enum class AppendFault : std::uint8_t { None, LostRequest, LostAnswer, LateEffect, Count };

    class World {
    public:
        explicit World(Sabotage sabotage)
            : m_sabotage(sabotage)
        {
            for (std::size_t i = 0; i < daemonCount; ++i) {
                m_daemons[i].m_clock.m_perMille = static_cast<std::int64_t>(i) * 7 - 10;
                start(i);
            }
        }

        void execute(const Command& command)
        {
            const std::size_t i = command.m_a % daemonCount;
            Daemon& daemon = m_daemons[i];
            switch (command.m_kind) {
            case 0:
            case 1:
                return apply(i, command.m_b);
            case 2:
                return read(i);
            case 3:
            case 4:
                return advance(milliseconds(command.m_b * 5));
            case 5:
                return advance(seconds(command.m_b % 90));
            case 6:
                return setLog(command.m_b % 3 != 0);
            case 7:
                m_fault = static_cast<AppendFault>(command.m_b % static_cast<std::uint32_t>(AppendFault::Count));
                return;
            case 8:
                daemon.m_paused = true;
                return;
            case 9:
                return resume(i);
            case 10:
                daemon.m_service.reset();
                daemon.m_inbox.clear();
                daemon.m_waiting.reset();
                return;
            case 11:
                return start(i);
            case 12:
                daemon.m_cut = command.m_b % 2 == 0;
                return;
            case 13:
                if (m_log.m_up)
                    append(command.m_b % 2 ? "no record" : R"({"format":99,"kind":"apply"})");
                return;
            case 14:
                if (m_log.m_up && !m_log.m_records.empty())
                    append(m_log.m_records[command.m_b % m_log.m_records.size()].m_data);
                return;
            default:
                m_readDelay = milliseconds(command.m_b % 4 * 700);
                return;
            }
        }

        /// Everything works again: all daemons agree with the log, and a further file is active everywhere within 4 s.
        void finish()
        {
            heal();
            advance(seconds(60));
            for (const Daemon& daemon : m_daemons)
                RC_ASSERT(daemon.m_service->fold().version() == m_log.m_truth.version());
            const std::uint64_t before = m_log.m_truth.version();
            apply(0, 3000);
            advance(seconds(4));
            RC_ASSERT(m_log.m_truth.version() == before + 1);
            for (const Daemon& daemon : m_daemons)
                RC_ASSERT(daemon.m_service->fold().version() == before + 1);
        }

    private:
        StepTime timeOf(const Daemon& daemon) const { return { daemon.m_clock.local(m_now), wall() }; }
        WallTime wall() const { return WallTime(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch())); }

        void start(std::size_t i)
        {
            Daemon& daemon = m_daemons[i];
            if (daemon.m_service)
                return;
            ConfigurationServiceSettings settings;
            settings.m_daemon = DaemonId("d" + std::to_string(i));
            settings.m_seed = ++m_seed;
            settings.m_retention = retention;
            settings.m_refreshStagger = seconds(2);
            settings.m_pollWait = seconds(5);
            daemon.m_service = std::make_unique<ConfigurationService>(settings);
            daemon.m_paused = false;
            daemon.m_lastVersion = 0;
            ++daemon.m_life;
            input(i, Tick {});
        }

        void resume(std::size_t i)
        {
            Daemon& daemon = m_daemons[i];
            daemon.m_paused = false;
            for (const ConfigurationInput& waiting : std::exchange(daemon.m_inbox, {}))
                input(i, waiting);
        }

        void setLog(bool up)
        {
            m_log.m_up = up;
            if (!up) {
                for (std::size_t i = 0; i < daemonCount; ++i) {
                    if (const auto poll = std::exchange(m_daemons[i].m_waiting, std::nullopt))
                        later(i, milliseconds(1), LogReadFailed { poll->m_read });
                }
            }
        }

        void heal()
        {
            setLog(true);
            m_fault = AppendFault::None;
            m_readDelay = Duration::zero();
            for (std::size_t i = 0; i < daemonCount; ++i) {
                m_daemons[i].m_cut = false;
                resume(i);
                start(i);
            }
        }

        void apply(std::size_t i, std::uint32_t choice)
        {
            if (!m_daemons[i].runs())
                return;
            const std::uint64_t version = m_daemons[i].m_service->fold().version();
            ApplyRequest request { ++m_token, fileText(m_token % 50), version, "author-" + std::to_string(m_token) };
            if (choice % 8 == 1)
                request.m_base = version ? version - 1 : 5;
            else if (choice % 8 == 2)
                request.m_text = "{";
            input(i, request);
        }

        void read(std::size_t i)
        {
            if (!m_daemons[i].runs())
                return;
            m_readFloor[++m_token] = m_log.m_up ? m_log.m_truth.version() : 0;
            input(i, ReadRequest { m_token });
        }

        /// Advances the time. The file survives only while some daemon can refresh it, so an outage that would last
        /// longer than a third of the retention is ended before.
        void advance(Duration duration)
        {
            const TimePoint end = m_now + duration;
            while (m_now < end) {
                TimePoint next = m_events.nextOr(std::min(end, m_nextHeartbeat));
                for (const Daemon& daemon : m_daemons) {
                    if (!daemon.runs())
                        continue;
                    if (const auto wake = daemon.m_service->nextWake())
                        next = std::min(next, daemon.m_clock.global(*wake));
                }
                const Duration step = std::max(next - m_now, Duration(1));
                const bool canRefresh = m_log.m_up
                    && std::any_of(m_daemons.begin(), m_daemons.end(), [](const Daemon& d) { return d.runs(); });
                m_outage = canRefresh ? Duration::zero() : m_outage + step;
                if (m_outage > retention / 3) {
                    heal();
                    continue;
                }
                m_now += step;
                m_log.expire(wall());
                while (m_events.isDue(m_now))
                    m_events.runNext();
                if (m_now >= m_nextHeartbeat)
                    heartbeat();
                for (std::size_t i = 0; i < daemonCount; ++i) {
                    const Daemon& daemon = m_daemons[i];
                    if (daemon.runs() && daemon.m_service->nextWake() <= std::optional(daemon.m_clock.local(m_now)))
                        input(i, Tick {});
                }
            }
        }

        void heartbeat()
        {
            m_nextHeartbeat = m_now + seconds(1);
            for (std::size_t i = 0; i < daemonCount; ++i) {
                LiveDaemons live;
                for (std::size_t other = 0; other < daemonCount; ++other) {
                    const bool reached = m_daemons[other].runs() && reaches(i, other);
                    if (reached)
                        live.m_daemons.emplace_back("d" + std::to_string(other));
                    if (reached && other != i)
                        later(i, milliseconds(1), m_daemons[other].m_service->advertisement());
                }
                later(i, milliseconds(1), live);
            }
        }

        bool reaches(std::size_t a, std::size_t b) const
        {
            return a == b || (!m_daemons[a].m_cut && !m_daemons[b].m_cut);
        }

        void later(std::size_t i, Duration delay, ConfigurationInput message)
        {
            m_events.at(m_now + delay, [this, i, life = m_daemons[i].m_life, message = std::move(message)] {
                if (m_daemons[i].m_life == life)
                    input(i, message);
            });
        }

        void input(std::size_t i, const ConfigurationInput& message)
        {
            Daemon& daemon = m_daemons[i];
            if (!daemon.m_service)
                return;
            if (daemon.m_paused) {
                daemon.m_inbox.push_back(message);
                return;
            }
            for (const ConfigurationAction& action : daemon.m_service->step(message, timeOf(daemon)))
                std::visit([&](const auto& typed) { perform(i, typed); }, action);
            verify(daemon);
        }

        /// The oracle of every step: a version never goes back and is the same file for all.
        void verify(Daemon& daemon)
        {
            std::uint64_t version = daemon.m_service->fold().version();
            if (m_sabotage == Sabotage::ForgottenFile && version > 2)
                version = 1;
            RC_ASSERT(version >= daemon.m_lastVersion);
            daemon.m_lastVersion = version;
            RC_ASSERT(version <= m_log.m_hashes.size());
            if (version > 0 && m_sabotage != Sabotage::ForgottenFile)
                RC_ASSERT(daemon.m_service->fold().inForce()->m_hash == m_log.m_hashes[version - 1]);
            RC_ASSERT(daemon.m_service->fold().counters().m_divergentRefreshes == 0U);
        }

        void perform(std::size_t i, const ReadLog& request)
        {
            if (!m_log.m_up) {
                later(i, milliseconds(5), LogReadFailed { request.m_read });
            } else if (request.m_from < m_log.m_records.size() || request.m_wait == Duration::zero()) {
                answer(i, request);
            } else {
                m_daemons[i].m_waiting = request;
                m_events.at(m_now + request.m_wait, [this, i, life = m_daemons[i].m_life, read = request.m_read] {
                    auto& waiting = m_daemons[i].m_waiting;
                    if (m_daemons[i].m_life == life && waiting && waiting->m_read == read)
                        answer(i, *std::exchange(waiting, std::nullopt));
                });
            }
        }

        void answer(std::size_t i, const ReadLog& request)
        {
            LogReadSucceeded result { request.m_read, m_log.m_earliest, m_log.m_records.size(), {} };
            std::size_t bytes = 0;
            for (std::uint64_t at = std::max(request.m_from, m_log.m_earliest);
                 at < m_log.m_records.size() && bytes <= request.m_maxBytes; ++at) {
                result.m_records.push_back(m_log.m_records[at]);
                bytes += m_log.m_records[at].m_data.size();
            }
            if (m_sabotage == Sabotage::ReorderedLog && i == 0 && result.m_records.size() > 1)
                std::swap(result.m_records[0].m_data, result.m_records[1].m_data);
            later(i, milliseconds(2) + m_readDelay, result);
        }

        void append(const std::string& data)
        {
            m_log.append(data, wall());
            for (std::size_t i = 0; i < daemonCount; ++i) {
                if (const auto poll = std::exchange(m_daemons[i].m_waiting, std::nullopt))
                    answer(i, *poll);
            }
        }

        void perform(std::size_t i, const AppendRecord& request)
        {
            const Duration timeout = request.m_deadline - m_daemons[i].m_clock.local(m_now);
            if (!m_log.m_up)
                return later(i, milliseconds(5), AppendFailed { request.m_record, true });
            const AppendFault fault = std::exchange(m_fault, AppendFault::None);
            if (fault != AppendFault::None)
                later(i, timeout, AppendFailed { request.m_record, false });
            if (fault == AppendFault::LostRequest)
                return;
            const Duration delay = fault == AppendFault::LateEffect ? Duration(seconds(7)) : Duration(milliseconds(1));
            m_events.at(m_now + delay, [this, i, life = m_daemons[i].m_life, request, fault] {
                const std::uint64_t offset = m_log.m_records.size();
                append(request.m_data);
                if (fault == AppendFault::None && m_daemons[i].m_life == life)
                    later(i, milliseconds(1), AppendSucceeded { request.m_record, offset });
            });
        }

        void perform(std::size_t i, const FetchFromPeer& request)
        {
            const std::size_t peer = static_cast<std::size_t>(request.m_daemon.value()[1] - '0');
            const bool reached = m_daemons[peer].runs() && reaches(i, peer);
            const Duration timeout = request.m_deadline - m_daemons[i].m_clock.local(m_now);
            later(i, reached ? Duration(milliseconds(2)) : timeout,
                PeerStateReceived { request.m_daemon, reached ? m_daemons[peer].m_service->stateForPeer() : "" });
        }

        void perform(std::size_t, const AnswerApply& answer)
        {
            const std::string author = "author-" + std::to_string(answer.m_token);
            if (const auto* accepted = std::get_if<ApplyAccepted>(&answer.m_answer)) {
                RC_ASSERT(m_log.m_acceptedAuthors.contains(author));
                RC_ASSERT(accepted->m_version <= m_log.m_truth.version());
            } else if (std::holds_alternative<ApplyRefused>(answer.m_answer)) {
                m_refusedAuthors.insert(author);
            }
            for (const std::string& refused : m_refusedAuthors)
                RC_ASSERT(!m_log.m_acceptedAuthors.contains(refused));
        }

        void perform(std::size_t i, const AnswerRead& answer)
        {
            if (answer.m_confirmed)
                RC_ASSERT(m_daemons[i].m_service->fold().version() >= m_readFloor[answer.m_token]);
        }

        void perform(std::size_t, const FileActivated&) { }

        const Sabotage m_sabotage;
        TimePoint m_now { seconds(100000) };
        EventQueue m_events;
        Log m_log;
        std::array<Daemon, daemonCount> m_daemons;
        AppendFault m_fault = AppendFault::None;
        Duration m_readDelay {};
        Duration m_outage {};
        TimePoint m_nextHeartbeat { seconds(100000) };
        std::uint64_t m_seed = 0;
        RequestToken m_token = 0;
        /// Version in the log when a read was requested.
        std::map<RequestToken, std::uint64_t> m_readFloor;
        std::set<std::string> m_refusedAuthors;
    };

    void run(const std::vector<Command>& list, Sabotage sabotage)
    {
        World world(sabotage);
        for (const Command& command : list)
            world.execute(command);
        world.finish();
    }

} // namespace

} // namespace sapphiredale::fuzz

int main()
{
    using namespace sapphiredale::fuzz;
    constexpr std::uint32_t kinds = 16;
    const auto with = [](Sabotage sabotage) { return [sabotage](const auto& list) { run(list, sabotage); }; };
    bool good = runProperty("configuration", kinds, false, with(Sabotage::None));
    good = runProperty("configuration, records of one daemon reordered", kinds, true, with(Sabotage::ReorderedLog))
        && good;
    good = runProperty("configuration, a version goes back", kinds, true, with(Sabotage::ForgottenFile)) && good;
    return good ? 0 : 1;
}
