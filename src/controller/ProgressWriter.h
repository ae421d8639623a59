// Stores the progress of jobs: one append at a time, by a writer whose epoch is the number of the term, so that what an
// earlier term sends late is refused.
#pragma once

#include "platform/Store.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sapphiredale::controller {

inline constexpr const char* progressTopic = "keyed.progress";

/// Writer of one term.
class ProgressWriter : public std::enable_shared_from_this<ProgressWriter> {
public:
    using Records = std::vector<std::pair<std::string, std::optional<std::string>>>;

    ProgressWriter(boost::asio::io_context&, const std::string& store, std::uint64_t term);

    /// Refuses appends of earlier terms from the call of the handler on. Tries until the store answers; the handler
    /// receives false when a later term has written.
    void open(std::function<void(bool)>);
    bool isBusy() const { return m_isBusy; }
    /// Appends records; one call at a time. Tries until the store answers; the handler receives false when a later term
    /// has written.
    void write(Records, std::function<void(bool)>);
    void stop();

private:
    void send();
    void answered(const userplatform::AppendAnswer&);
    void finish(bool);

    userplatform::StoreConnection m_store;
    boost::asio::steady_timer m_timer;
    const std::uint64_t m_term;
    std::uint64_t m_sequence = 0;
    bool m_isBusy = false;
    bool m_isStopped = false;
    Records m_records;
    std::function<void(bool)> m_handler;
};

} // namespace sapphiredale::controller
