// The platform's metadata store as a log of topics, in memory; one listener for each daemon, so that a daemon can be
// turned away while others are served.
#pragma once

#include "Http.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

class Store {
public:
    struct Record {
        std::string m_key;
        std::optional<std::string> m_value;
        std::string m_bytes;
    };
    /// What happens to a call.
    enum class Fault { None, Refuse, Silent, LoseAnswer };
    /// Asked for each call, with the number of the listener.
    using FaultOf = std::function<Fault(int listener, const Request&)>;

    void setFaults(FaultOf faults);
    /// Adds a listener and returns its address.
    std::string open(const std::string& ip);
    /// Writes a record as the operator or a minion does.
    void put(const std::string& topic, const std::string& key, const std::optional<std::string>& value);
    /// The newest value of each key.
    std::map<std::string, std::string> newest(const std::string& topic, unsigned part);
    void stop();

private:
    struct Writer {
        std::uint64_t m_epoch = 0;
        std::optional<std::uint64_t> m_sequence;
        std::deque<std::pair<std::uint64_t, std::string>> m_answers;
    };
    struct Part {
        std::vector<Record> m_records;
        std::map<std::string, Writer> m_writers;
    };

    Response handle(int listener, const Request&);
    Response append(const Request&);
    Response read(const Request&);
    Response newestPage(const Request&);
    Part& part(const Request&);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, unsigned>, Part> m_parts;
    FaultOf m_faults;
    bool m_isStopped = false;
    std::vector<std::unique_ptr<Server>> m_servers;
};

} // namespace review
