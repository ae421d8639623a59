// Memory that the answers of servers take in this process while they are being received, with a limit.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace sapphiredale::platform {

/// Shared by all channels of the process. All functions may be called from several threads.
class AnswerBudget {
public:
    /// A quarter of the smallest host, 120 MB. Sixteen partitions of the store are read at once, and an answer of 1 MB
    /// takes 1.4 MB as it is received.
    static constexpr std::size_t defaultLimitBytes = std::size_t { 30 } << 20;
    /// Share of the host's memory for answers.
    static constexpr std::size_t memoryShare = 4;

    static AnswerBudget& ofProcess();

    void setLimit(std::size_t bytes) { m_limit = bytes; }
    /// Counts the bytes; false, without counting them, if they exceed the limit.
    bool add(std::size_t bytes);
    void remove(std::size_t bytes) { m_used -= bytes; }
    void countRefused() { ++m_refused; }
    std::size_t usedBytes() const { return m_used; }
    /// Answers that exceeded a limit: headers, trailers and chunk extensions, the body, or all answers together.
    std::uint64_t refusedAnswers() const { return m_refused; }

private:
    std::atomic<std::size_t> m_limit { defaultLimitBytes };
    std::atomic<std::size_t> m_used { 0 };
    std::atomic<std::uint64_t> m_refused { 0 };
};

} // namespace sapphiredale::platform
