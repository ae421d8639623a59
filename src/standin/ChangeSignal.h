// Wakes the connections that wait for a change of one piece of state.
#pragma once

#include "standin/Connection.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace sapphiredale::standin {

/// List of waiting connections. The lock of the state that it belongs to guards it.
class ChangeSignal {
public:
    /// Wakes the connection at the next change.
    void subscribe(Connection& connection)
    {
        std::erase_if(m_waiting, [](const std::weak_ptr<Connection>& waiting) { return waiting.expired(); });
        const std::weak_ptr<Connection> added = connection.weak_from_this();
        const auto same = [&](const std::weak_ptr<Connection>& waiting) {
            return !waiting.owner_before(added) && !added.owner_before(waiting);
        };
        if (std::none_of(m_waiting.begin(), m_waiting.end(), same))
            m_waiting.push_back(added);
    }

    void notify()
    {
        for (const std::weak_ptr<Connection>& waiting : m_waiting) {
            if (const auto connection = waiting.lock())
                connection->wake();
        }
        m_waiting.clear();
    }

private:
    std::vector<std::weak_ptr<Connection>> m_waiting;
};

} // namespace sapphiredale::standin
