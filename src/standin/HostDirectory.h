// The simulated host list, whose view lags behind the truth.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sapphiredale::standin {

enum class ListedState : std::uint8_t { Live, Leaving, Gone };

struct ListedHost {
    std::string m_name;
    ListedState m_state = ListedState::Live;
    FailureDomainId m_failureDomain;
};

struct HostView {
    /// Time whose state the view shows.
    WallTime m_asOf;
    std::vector<ListedHost> m_hosts;
};

/// Thread-safe. A change shows after the lag; changes show in their order.
class HostDirectory {
public:
    explicit HostDirectory(Duration lag)
        : m_lag(lag)
    {
    }

    /// Adds a host that shows at once.
    void add(const std::string& name, const FailureDomainId&);
    /// False when there is no such host.
    bool set(const std::string& name, ListedState, TimePoint now);
    HostView view(TimePoint now, WallTime wallNow);
    /// All hosts live at once.
    void reset();

private:
    struct Change {
        TimePoint m_showsAt;
        std::string m_name;
        ListedState m_state;
    };

    const Duration m_lag;
    std::mutex m_mutex;
    std::map<std::string, ListedHost> m_hosts;
    std::deque<Change> m_changes;
};

} // namespace sapphiredale::standin
