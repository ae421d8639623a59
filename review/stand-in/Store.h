// Stand-in of the platform's metadata store, as PROTOCOL.md describes it: topics with partitions, conditional appends,
// producers with epochs, long polls, and the newest record of each key.
#pragma once

#include "Net.h"

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace review {

/// Figures of the site ibr-central.
struct StoreSettings {
    double m_answer = 0.004;
    double m_append = 0.003;
    std::size_t m_recordBytes = 262144;
    std::size_t m_callBytes = 2097152;
    std::size_t m_partBytes = 200 << 20;
    double m_partBytesPerSecond = 20 << 20;
};

class Store {
public:
    explicit Store(const StoreSettings& settings = {})
        : m_settings(settings)
    {
    }

    /// Answers a call of the daemon with this number.
    Response handle(const Request&, int daemon);
    /// A record written by the operator or by a minion; an empty optional removes the key.
    void put(const std::string& topic, const std::string& key, const std::optional<std::string>& value);
    /// Refuses every call of the daemons with 503 while set.
    void setBusy(bool isBusy) { m_isBusy = isBusy; }
    /// The daemon that wrote last under a condition.
    int lastConditionalWriter() const { return m_lastWriter; }
    /// Appends that were rejected because a record was longer than the limit.
    int oversizedAppends() const { return m_oversized; }

private:
    struct Producer {
        std::uint64_t m_epoch = 0;
        std::uint64_t m_sequence = 0;
        std::deque<std::pair<std::uint64_t, Response>> m_answers;
    };
    struct Part {
        std::mutex m_appending;
        std::deque<std::string> m_records; // as stored, without their length
        /// Offset of the first record that has not expired, and the bytes from there on.
        std::uint64_t m_first = 0;
        std::size_t m_bytes = 0;
        std::map<std::string, std::pair<std::uint64_t, std::string>> m_newest;
        std::map<std::string, Producer> m_producers;

        std::uint64_t end() const { return m_first + m_records.size(); }
    };

    Part& part(const std::string& topic, const std::string& number);
    void add(Part&, const std::string& topic, const std::string& record);
    Response append(const Request&, int daemon);
    Response read(const Request&);
    Response newest(const Request&);

    const StoreSettings m_settings;
    std::atomic<bool> m_isBusy { false };
    std::atomic<int> m_lastWriter { -1 };
    std::atomic<int> m_oversized { 0 };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Part>> m_parts;
};

} // namespace review
