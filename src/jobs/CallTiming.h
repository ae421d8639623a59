// Timeouts of the calls to workers, and the wait of their long polls.
//
// Answers times in which a part of the calls gets no answer although the workers run on: a lost start delays its job by
// the timeout, and a lost long poll hides the ends of all runs of a worker until the wait and the timeout are over. The
// timeout follows the measured response times, and long polls get shorter while answers are being lost. A worker that
// is down does not count, since it does not answer again.
#pragma once

#include "model/Time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace sapphiredale::jobs {

/// Bounds of the timing; the defaults fit calls within a region.
struct CallTimingSettings {
    Duration m_minTimeout = std::chrono::milliseconds(120);
    Duration m_maxTimeout = std::chrono::milliseconds(400);
    /// Wait of a long poll, usually and while answers are being lost.
    Duration m_reportWait = std::chrono::milliseconds(1000);
    Duration m_lossyReportWait = std::chrono::milliseconds(300);
    /// Time for which a lost answer has an effect.
    Duration m_lossMemory = std::chrono::seconds(4);

    friend bool operator==(const CallTimingSettings&, const CallTimingSettings&) = default;
};

/// Shared by all links of a term, so that it adapts within a few calls.
class CallTiming {
public:
    explicit CallTiming(const CallTimingSettings& settings = {})
        : m_settings(settings)
    {
    }

    /// Notes the response time of a call that is answered at once.
    void answered(Duration took)
    {
        const Duration deviation = took > m_mean ? took - m_mean : m_mean - took;
        m_mean = m_hasMean ? m_mean + (took - m_mean) / 8 : took;
        m_deviation = m_hasMean ? m_deviation + (deviation - m_deviation) / 4 : took / 2;
        m_hasMean = true;
        m_failuresInSequence = 0;
    }
    void unanswered() { ++m_failuresInSequence; }
    /// Notes that a worker answers again which had left a call unanswered.
    void answerWasLost(TimePoint now) { m_lossyUntil = now + m_settings.m_lossMemory; }

    /// Timeout of a call that is answered at once. The longest one while nothing is known, or when so many calls fail
    /// in sequence that this host may be too slow for a short one.
    Duration timeout() const
    {
        if (!m_hasMean || m_failuresInSequence >= maxFailuresInSequence)
            return m_settings.m_maxTimeout;
        return std::clamp(m_mean + m_deviation * 4, m_settings.m_minTimeout, m_settings.m_maxTimeout);
    }
    Duration reportWait(TimePoint now) const
    {
        return now < m_lossyUntil ? m_settings.m_lossyReportWait : m_settings.m_reportWait;
    }

private:
    static constexpr std::uint32_t maxFailuresInSequence = 8;

    CallTimingSettings m_settings;
    bool m_hasMean = false;
    Duration m_mean {};
    Duration m_deviation {};
    std::uint32_t m_failuresInSequence = 0;
    TimePoint m_lossyUntil {};
};

} // namespace sapphiredale::jobs
