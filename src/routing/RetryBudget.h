// Budget of retries: a share of the first attempts, so that a failing service receives little more load than its
// callers send.
#pragma once

#include <algorithm>
#include <cstdint>

namespace sapphiredale::routing {

/// Settings that build a RetryBudget, in thousandths of a retry.
struct RetryBudgetSettings {
    /// Earned by each first attempt.
    std::uint32_t m_earnMillis = 100;
    /// Most that is saved, also the initial amount; it allows the retries after one minion failed.
    std::uint32_t m_capacityMillis = 20000;
};

/// Counts how many retries may still be made.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetSettings& settings)
        : m_settings(settings)
        , m_millis(settings.m_capacityMillis)
    {
    }

    void firstAttempt() { m_millis = std::min(m_settings.m_capacityMillis, m_millis + m_settings.m_earnMillis); }

    /// Takes one retry from the budget; false when it is used up.
    bool takeRetry()
    {
        if (m_millis < 1000)
            return false;
        m_millis -= 1000;
        return true;
    }

private:
    RetryBudgetSettings m_settings;
    std::uint32_t m_millis;
};

} // namespace sapphiredale::routing
