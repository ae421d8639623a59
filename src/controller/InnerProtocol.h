// Messages between the daemons of a cell: JSON over HTTP, served by each daemon on its inner listener.
#pragma once

#include "jobs/SchedulerTypes.h"
#include "jobs/TeamPolicy.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiredale::controller::inner {

// Paths. Status 200 carries the answer; 503 means that the daemon does not hold the newest term.
inline constexpr const char* statePath = "/inner/job-state";
inline constexpr const char* pendingPath = "/inner/pending";
inline constexpr const char* helloPath = "/inner/hello";
inline constexpr const char* storePath = "/inner/store";
inline constexpr const char* advisePath = "/inner/advise";

/// Tells the scheduler that the sending daemon is running, and whether it can ask the adviser.
struct Hello {
    DaemonId m_daemon;
    /// "address:port" of its inner listener.
    std::string m_address;
    bool m_isLeaving = false;
    /// True also if the message does not say so: earlier versions send hellos only with an adviser.
    bool m_asksAdviser = true;

    friend bool operator==(const Hello&, const Hello&) = default;
};

/// A job record that a daemon stores on behalf of another one that cannot reach the store.
struct StoreRequest {
    std::string m_key;
    std::string m_value;

    friend bool operator==(const StoreRequest&, const StoreRequest&) = default;
};

/// Answer to a query of a job's state.
struct StateAnswer {
    jobs::JobState m_state = jobs::JobState::Queued;
    /// Empty if the job has none, or the scheduler is an earlier version that does not name it.
    TeamId m_team;

    friend bool operator==(const StateAnswer&, const StateAnswer&) = default;
};

std::string encode(const Hello&);
std::string encode(const jobs::AdviceRequest&);
std::string encode(const jobs::Advice&);
std::string encode(const StoreRequest&);
/// A body with a single name, for queries by job or queue.
std::string encodeName(const std::string&);
std::string encode(const StateAnswer&);
/// Answer to a hello: the teams whose new jobs are refused, with the milliseconds that are left, as clocks differ.
std::string encodeRefusedTeams(const std::vector<jobs::TeamRefusal>&, TimePoint now);
std::string encodeCount(std::uint32_t);

// All fail with InvalidRequest when the text is not a valid encoding of the message.
Result<Hello> decodeHello(std::string_view);
Result<jobs::AdviceRequest> decodeQuestion(std::string_view);
Result<StoreRequest> decodeStoreRequest(std::string_view);
Result<jobs::Advice> decodeAdvice(std::string_view);
Result<std::string> decodeName(std::string_view);
Result<StateAnswer> decodeState(std::string_view);
Result<std::uint32_t> decodeCount(std::string_view);

/// An unreadable answer, and that of an earlier version, names none. Times are counted from `now`.
std::vector<jobs::TeamRefusal> decodeRefusedTeams(std::string_view, TimePoint now);

} // namespace sapphiredale::controller::inner
