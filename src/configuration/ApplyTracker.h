// The applies of operators from their request to their outcome.
#pragma once

#include "configuration/Backoff.h"
#include "configuration/ConfigurationMessages.h"
#include "configuration/LogFollower.h"
#include "configuration/ServiceCounters.h"
#include "model/Identifier.h"
#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphiredale::configuration {

/// Settings that build an ApplyTracker.
struct ApplyTrackerSettings {
    /// Start of every record identifier; unique for each run of a daemon.
    std::string m_recordPrefix;
    Duration m_applyTimeout {};
    Duration m_appendTimeout {};
    Duration m_retryMin {};
    Duration m_retryMax {};
    std::uint32_t m_maxPending = 0;
    std::uint64_t m_seed = 1;
};

/// Turns an apply into an append and answers it when the fold has decided the record. An append without an answer may
/// have reached the log: the stream is read back, and the same record is appended again when it is not found. The
/// repetition is harmless, because a base is accepted once. A refusal is only given when the record can never be
/// accepted; otherwise the answer at the deadline is that the outcome is unknown.
class ApplyTracker {
public:
    ApplyTracker(const ApplyTrackerSettings&, LogFollower&, ServiceCounters&);

    void submit(const ApplyRequest&, const ConfigurationFold&, TimePoint now, WallTime wallNow,
        std::vector<ConfigurationAction>&);
    void appendSucceeded(const AppendSucceeded&, TimePoint now);
    void appendFailed(const AppendFailed&, TimePoint now);
    /// Answers what is decided or overdue and issues the appends that are due.
    void advance(const ConfigurationFold&, TimePoint now, std::vector<ConfigurationAction>&);
    std::optional<TimePoint> nextWake() const;

private:
    enum class Phase : std::uint8_t {
        /// The base is newer than the version known here: the end of the log is read first.
        CheckingBase,
        /// An append has to be sent at m_wakeAt.
        AppendDue,
        /// An append is on its way until m_wakeAt.
        Appending,
        /// The stream is read back after an append without an answer.
        ReadingBack,
        /// The record is in the log and has not been folded yet.
        Appended,
    };

    struct Pending {
        RequestToken m_token = 0;
        ApplyRecord m_record;
        std::string m_data;
        Phase m_phase = Phase::AppendDue;
        /// The apply is answered at the latest at this time.
        TimePoint m_deadline;
        TimePoint m_wakeAt;
        /// Read that CheckingBase and ReadingBack wait for.
        LogFollower::Ticket m_ticket = 0;
        /// True once an append may have reached the log; then the apply is never refused as not run by a failure.
        bool m_mayBeInLog = false;
        Backoff m_backoff;
    };

    using Answer = std::variant<ApplyAccepted, ApplyRefused, ApplyUndecided>;

    Pending* find(const RecordId&);
    std::optional<Answer> answerFor(Pending&, const ConfigurationFold&, TimePoint now);
    std::optional<Answer> advancePhase(
        Pending&, const ConfigurationFold&, TimePoint now, std::vector<ConfigurationAction>&);
    void unanswered(Pending&);
    void answer(RequestToken, Answer, std::vector<ConfigurationAction>&);

    ApplyTrackerSettings m_settings;
    LogFollower& m_follower;
    ServiceCounters& m_counters;
    std::vector<Pending> m_pending;
    std::uint64_t m_nextRecord = 1;
};

} // namespace sapphiredale::configuration
