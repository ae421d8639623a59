// Several configuration services, a log and a network in virtual time.
#pragma once

#include "configuration/ConfigurationService.h"

#include <cppunit/TestAssert.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::configuration {

/// What happens to an append.
enum class AppendFate : std::uint8_t { Answered, AnswerLost, RecordLost, ConnectionRefused };

class ServiceSimulation {
public:
    ServiceSimulation(std::size_t daemons, std::uint32_t seed, Duration retention = std::chrono::hours(24))
        : m_retention(retention)
        , m_random(seed)
        , m_daemons(daemons)
    {
        for (std::size_t i = 0; i < daemons; ++i)
            start(i);
        heartbeat();
    }

    void start(std::size_t index)
    {
        ConfigurationServiceSettings settings;
        settings.m_daemon = idOf(index);
        settings.m_seed = ++m_starts;
        settings.m_retention = m_retention;
        m_daemons[index].m_service = std::make_unique<ConfigurationService>(settings);
        m_daemons[index].m_start = m_starts;
        m_daemons[index].m_activated = 0;
        announceLive();
        step(index, Tick {});
    }

    void stop(std::size_t index)
    {
        m_daemons[index].m_service.reset();
        announceLive();
    }

    RequestToken apply(std::size_t index, const std::string& text, std::optional<std::uint64_t> base)
    {
        step(index, ApplyRequest { ++m_lastToken, text, base, "operator " + std::to_string(m_lastToken) });
        return m_lastToken;
    }

    RequestToken read(std::size_t index)
    {
        step(index, ReadRequest { ++m_lastToken });
        return m_lastToken;
    }

    /// Handles everything that happens within a time.
    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (true) {
            const TimePoint wake = nextWake();
            const TimePoint event = m_events.empty() ? TimePoint::max() : m_events.begin()->first;
            if (std::min(wake, event) > end)
                break;
            if (event <= wake) {
                m_now = std::max(m_now, event);
                const std::function<void()> handler = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                handler();
            } else {
                m_now = std::max(m_now, wake);
                for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                    if (m_daemons[i].m_service
                        && m_daemons[i].m_service->nextWake().value_or(TimePoint::max()) <= m_now)
                        step(i, Tick {});
                }
            }
        }
        m_now = end;
    }

    ConfigurationService& service(std::size_t index) { return *m_daemons[index].m_service; }
    bool isRunning(std::size_t index) const { return m_daemons[index].m_service != nullptr; }
    const AnswerApply* applyAnswer(RequestToken token) const
    {
        const auto found = m_applyAnswers.find(token);
        return found == m_applyAnswers.end() ? nullptr : &found->second;
    }
    /// Freshness and version of an answered read.
    std::optional<std::pair<bool, std::uint64_t>> readAnswer(RequestToken token) const
    {
        const auto found = m_readAnswers.find(token);
        return found == m_readAnswers.end() ? std::nullopt : std::optional(found->second);
    }
    TimePoint now() const { return m_now; }
    WallTime wall() const
    {
        return WallTime(std::chrono::hours(500000))
            + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
    }
    /// Records in the log, with those that have expired.
    const std::vector<LogRecord>& allRecords() const { return m_records; }
    std::mt19937& random() { return m_random; }

    bool m_isLogOut = false;
    /// Fate of the next appends, Answered when empty.
    std::deque<AppendFate> m_fates;

private:
    struct Daemon {
        std::unique_ptr<ConfigurationService> m_service;
        std::uint64_t m_start = 0;
        std::uint64_t m_activated = 0;
    };

    static DaemonId idOf(std::size_t index) { return DaemonId("daemon-" + std::to_string(index)); }

    void after(Duration delay, std::function<void()> handler) { m_events.emplace(m_now + delay, std::move(handler)); }

    /// Delivers an input later, unless the daemon was restarted meanwhile.
    void send(std::size_t index, Duration delay, ConfigurationInput input)
    {
        after(delay, [this, index, start = m_daemons[index].m_start, input = std::move(input)] {
            if (m_daemons[index].m_service && m_daemons[index].m_start == start)
                step(index, input);
        });
    }

    Duration latency() { return std::chrono::microseconds(500 + m_random() % 3000); }

    void step(std::size_t index, const ConfigurationInput& input)
    {
        for (ConfigurationAction& action : m_daemons[index].m_service->step(input, { m_now, wall() }))
            std::visit([&](auto& request) { carryOut(index, request); }, action);
    }

    void carryOut(std::size_t index, ReadLog& request)
    {
        if (m_isLogOut)
            return send(index, latency(), LogReadFailed { request.m_read });
        if (request.m_wait > Duration::zero() && m_records.size() <= request.m_from) {
            const TimePoint end = m_now + request.m_wait;
            m_waiting.push_back({ index, m_daemons[index].m_start, request.m_read, request.m_from, end });
            return after(request.m_wait, [this] { answerWaiting(false); });
        }
        answerRead(index, request.m_read, request.m_from);
    }

    void answerRead(std::size_t index, ReadId read, std::uint64_t from)
    {
        LogReadSucceeded result { read, earliest(), m_records.size(), {} };
        for (std::uint64_t offset = std::max(from, result.m_earliest); offset < m_records.size(); ++offset)
            result.m_records.push_back(m_records[offset]);
        send(index, latency(), std::move(result));
    }

    void answerWaiting(bool isAppended)
    {
        std::vector<Waiting> waiting = std::exchange(m_waiting, {});
        for (const Waiting& entry : waiting) {
            if (!m_daemons[entry.m_daemon].m_service || m_daemons[entry.m_daemon].m_start != entry.m_start)
                continue;
            if (isAppended || m_now >= entry.m_end)
                m_isLogOut ? send(entry.m_daemon, latency(), LogReadFailed { entry.m_read })
                           : answerRead(entry.m_daemon, entry.m_read, entry.m_from);
            else
                m_waiting.push_back(entry);
        }
    }

    std::uint64_t earliest()
    {
        while (m_earliest < m_records.size() && m_records[m_earliest].m_time + m_retention < wall())
            ++m_earliest;
        return m_earliest;
    }

    void carryOut(std::size_t index, AppendRecord& request)
    {
        AppendFate fate = m_isLogOut ? AppendFate::ConnectionRefused : AppendFate::Answered;
        if (!m_isLogOut && !m_fates.empty()) {
            fate = m_fates.front();
            m_fates.pop_front();
        }
        if (fate == AppendFate::ConnectionRefused)
            return send(index, latency(), AppendFailed { request.m_record, true });
        after(latency(), [this, index, start = m_daemons[index].m_start, fate, request] {
            if (fate != AppendFate::RecordLost) {
                m_records.push_back({ m_records.size(), wall(), request.m_data });
                answerWaiting(true);
            }
            if (m_daemons[index].m_start == start && fate == AppendFate::Answered)
                send(index, latency(), AppendSucceeded { request.m_record, m_records.size() - 1 });
        });
    }

    void carryOut(std::size_t index, FetchFromPeer& request)
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (idOf(i) == request.m_daemon && m_daemons[i].m_service)
                send(index, latency(), PeerStateReceived { request.m_daemon, m_daemons[i].m_service->stateForPeer() });
        }
    }

    void carryOut(std::size_t, AnswerApply& answer)
    {
        CPPUNIT_ASSERT(m_applyAnswers.emplace(answer.m_token, answer).second);
    }

    void carryOut(std::size_t index, AnswerRead& answer)
    {
        const std::pair<bool, std::uint64_t> shown { answer.m_confirmed, service(index).fold().version() };
        CPPUNIT_ASSERT(m_readAnswers.emplace(answer.m_token, shown).second);
    }

    void carryOut(std::size_t index, FileActivated& activated)
    {
        CPPUNIT_ASSERT(activated.m_file->m_version > m_daemons[index].m_activated);
        m_daemons[index].m_activated = activated.m_file->m_version;
    }

    void announceLive()
    {
        LiveDaemons live;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i].m_service)
                live.m_daemons.push_back(idOf(i));
        }
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i].m_service)
                send(i, latency(), live);
        }
    }

    void heartbeat()
    {
        for (std::size_t from = 0; from < m_daemons.size(); ++from) {
            for (std::size_t to = 0; to < m_daemons.size() && m_daemons[from].m_service; ++to) {
                if (to != from && m_daemons[to].m_service)
                    send(to, latency(), m_daemons[from].m_service->advertisement());
            }
        }
        after(std::chrono::seconds(1), [this] { heartbeat(); });
    }

    TimePoint nextWake() const
    {
        TimePoint wake = TimePoint::max();
        for (const Daemon& daemon : m_daemons) {
            if (daemon.m_service)
                wake = std::min(wake, daemon.m_service->nextWake().value_or(TimePoint::max()));
        }
        return wake;
    }

    struct Waiting {
        std::size_t m_daemon;
        std::uint64_t m_start;
        ReadId m_read;
        std::uint64_t m_from;
        TimePoint m_end;
    };

    Duration m_retention;
    std::mt19937 m_random;
    std::vector<Daemon> m_daemons;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Waiting> m_waiting;
    std::vector<LogRecord> m_records;
    std::uint64_t m_earliest = 0;
    TimePoint m_now {};
    std::uint64_t m_starts = 0;
    RequestToken m_lastToken = 0;
    std::map<RequestToken, AnswerApply> m_applyAnswers;
    std::map<RequestToken, std::pair<bool, std::uint64_t>> m_readAnswers;
};

} // namespace sapphiredale::configuration
