// Pending calls to other daemons. A stepped core: it matches replies to calls, finds calls whose deadline has passed,
// and refuses late, repeated and mismatched replies. It needs no transport: every type that satisfies CorrelatedReply
// works.
#pragma once

#include "model/Identifier.h"
#include "model/Time.h"

#include <algorithm>
#include <cassert>
#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace sapphiredale::peer {

/// A message that may answer a call; kindOf is found by argument-dependent lookup.
template <typename T>
concept CorrelatedReply = requires(const T& message)
{
    {
        message.m_sender
        } -> std::convertible_to<const DaemonId&>;
    {
        message.m_correlation
        } -> std::convertible_to<std::uint64_t>;
    {
        message.m_replyToIncarnation
        } -> std::convertible_to<std::uint64_t>;
    kindOf(message);
};

/// Why a reply was refused.
enum class ReplyRefusal : std::uint8_t {
    /// The deadline of the call has passed.
    Late,
    /// The call was already answered.
    Repeated,
    /// No such call, another sender than the callee, or another kind than the expected one.
    Mismatched,
    /// The reply is for an earlier incarnation of this daemon.
    OtherIncarnation,
};

inline constexpr std::size_t replyRefusalCount = static_cast<std::size_t>(ReplyRefusal::OtherIncarnation) + 1;

/// Settings that build a CorrelationTable.
struct CorrelationSettings {
    /// Incarnation of this daemon, which replies must repeat.
    std::uint64_t m_incarnation = 0;
    /// Most pending calls; open() refuses a call beyond it.
    std::size_t m_maxPending = 10000;
    /// Number of closed calls that are remembered to tell late, repeated and mismatched replies apart.
    std::size_t m_remembered = 4096;
};

/// Pending calls with their deadlines. Context is what the caller needs to continue; Reply is the message type.
template <typename Context, CorrelatedReply Reply> class CorrelationTable {
public:
    using Kind = decltype(kindOf(std::declval<const Reply&>()));

    /// A call that ended without a reply.
    struct Unanswered {
        std::uint64_t m_correlation = 0;
        DaemonId m_callee;
        Context m_context;
    };

    explicit CorrelationTable(const CorrelationSettings& settings)
        : m_settings(settings)
    {
    }

    /// Opens a call; returns its number for the envelope, or none when too many calls are pending.
    std::optional<std::uint64_t> open(const DaemonId& callee, Kind expectedReply, Context context, TimePoint deadline)
    {
        if (m_pending.size() >= m_settings.m_maxPending)
            return std::nullopt;
        const std::uint64_t number = m_next++;
        m_deadlines.emplace(deadline, number);
        m_pending.emplace(number, Call { callee, expectedReply, deadline, std::move(context) });
        return number;
    }

    /// Takes a reply: the context of its call, which is then closed, or the reason of the refusal. A refused reply
    /// changes no call.
    std::variant<Context, ReplyRefusal> take(const Reply& reply, TimePoint now)
    {
        if (reply.m_replyToIncarnation != m_settings.m_incarnation)
            return refuse(ReplyRefusal::OtherIncarnation);
        const auto found = m_pending.find(reply.m_correlation);
        if (found == m_pending.end()) {
            const auto closed = m_closed.find(reply.m_correlation);
            return refuse(closed == m_closed.end() ? ReplyRefusal::Mismatched : closed->second);
        }
        Call& call = found->second;
        if (call.m_callee != reply.m_sender || call.m_expectedReply != kindOf(reply))
            return refuse(ReplyRefusal::Mismatched);
        if (now >= call.m_deadline)
            return refuse(ReplyRefusal::Late);
        Context context = std::move(call.m_context);
        erase(found, ReplyRefusal::Repeated);
        return context;
    }

    /// Closes a call of which the caller no longer wants the reply. False when it is not pending.
    bool cancel(std::uint64_t number)
    {
        const auto found = m_pending.find(number);
        if (found == m_pending.end())
            return false;
        erase(found, ReplyRefusal::Late);
        return true;
    }

    /// Closes and returns the calls whose deadline has passed, in the order of their deadlines.
    std::vector<Unanswered> step(TimePoint now)
    {
        std::vector<Unanswered> result;
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
            result.push_back(closeUnanswered(m_pending.find(m_deadlines.begin()->second)));
        return result;
    }

    /// Closes and returns the calls to a daemon that left or restarted, in the order in which they were opened.
    std::vector<Unanswered> calleeLost(const DaemonId& callee)
    {
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, call] : m_pending) {
            if (call.m_callee == callee)
                numbers.push_back(number);
        }
        std::sort(numbers.begin(), numbers.end());
        std::vector<Unanswered> result;
        result.reserve(numbers.size());
        for (const std::uint64_t number : numbers)
            result.push_back(closeUnanswered(m_pending.find(number)));
        return result;
    }

    /// The earliest deadline of a pending call.
    std::optional<TimePoint> nextWake() const
    {
        return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
    }

    std::size_t pending() const { return m_pending.size(); }
    /// Number of replies refused for a reason.
    std::uint64_t refused(ReplyRefusal reason) const { return m_refused[static_cast<std::size_t>(reason)]; }

private:
    struct Call {
        DaemonId m_callee;
        Kind m_expectedReply;
        TimePoint m_deadline;
        Context m_context;
    };
    using Pending = std::unordered_map<std::uint64_t, Call>;

    ReplyRefusal refuse(ReplyRefusal reason)
    {
        ++m_refused[static_cast<std::size_t>(reason)];
        return reason;
    }

    Unanswered closeUnanswered(typename Pending::iterator found)
    {
        assert(found != m_pending.end());
        Unanswered result { found->first, found->second.m_callee, std::move(found->second.m_context) };
        erase(found, ReplyRefusal::Late);
        return result;
    }

    /// Removes a call and remembers how a further reply to it is counted.
    void erase(typename Pending::iterator found, ReplyRefusal furtherReply)
    {
        const std::uint64_t number = found->first;
        m_deadlines.erase({ found->second.m_deadline, number });
        m_pending.erase(found);
        m_closed.emplace(number, furtherReply);
        m_closedOrder.push_back(number);
        if (m_closedOrder.size() > m_settings.m_remembered) {
            m_closed.erase(m_closedOrder.front());
            m_closedOrder.pop_front();
        }
    }

    CorrelationSettings m_settings;
    std::uint64_t m_next = 1;
    Pending m_pending;
    /// One entry for each pending call.
    std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
    /// Closed calls that are still remembered; the deque has the same numbers in the order of closing.
    std::unordered_map<std::uint64_t, ReplyRefusal> m_closed;
    std::deque<std::uint64_t> m_closedOrder;
    std::uint64_t m_refused[replyRefusalCount] {};
};

} // namespace sapphiredale::peer
