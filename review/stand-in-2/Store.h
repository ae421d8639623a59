// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"): topics with partitions,
// appends one at a time with a condition or a producer, long-polling reads, and listings of the newest records.
#pragma once

#include "Net.h"
#include "Record.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace review2 {

namespace json = boost::json;

class Store {
public:
    /// `settings.platform` of a small deployment.
    static constexpr std::size_t recordBytes = 262144;
    static constexpr std::size_t callBytes = 2097152;
    static constexpr std::int64_t appendMs = 3;

    Store(asio::io_context& context, Record& record)
        : m_context(context)
        , m_record(record)
        , m_server(context, "127.0.0.1", 0,
              [this](const Request& request, const Respond& respond) { handle(request, respond); })
    {
    }

    std::string address() const { return m_server.address(); }

    /// Appends a record as the operator or a minion; without a value the key is dropped.
    void put(const std::string& topic, const std::string& key, const std::optional<std::string>& value)
    {
        std::string raw(1, static_cast<char>(key.size()));
        raw += key + value.value_or("");
        part(topic, 0).m_records.push_back(std::move(raw));
        wake({ topic, 0 });
    }

    /// Replaces the fault: partitions for which it returns true answer 503 to all calls.
    void setDown(std::function<bool(const std::string& topic, std::uint32_t part)> isDown)
    {
        m_isDown = std::move(isDown);
        // Reads that wait are answered as well.
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            const auto waiting = it++;
            if (!isDownAt(waiting->m_place))
                continue;
            const Respond respond = waiting->m_respond;
            m_waiting.erase(waiting);
            respond(503, "{}");
        }
    }
    /// Number of records in each partition of the topic.
    std::map<std::uint32_t, std::size_t> partitions(const std::string& topic) const
    {
        std::map<std::uint32_t, std::size_t> counts;
        for (const auto& [place, part] : m_parts) {
            if (place.first == topic && !part.m_records.empty())
                counts[place.second] = part.m_records.size();
        }
        return counts;
    }
    /// The newest record that was appended on a condition, as text.
    const std::string& newestConditional() const { return m_newestConditional; }

    /// Largest record of each topic that was refused because it is longer than record_bytes.
    const std::map<std::string, std::size_t>& tooLarge() const { return m_tooLarge; }

private:
    using Place = std::pair<std::string, std::uint32_t>;

    struct Producer {
        std::uint64_t m_epoch = 0;
        std::optional<std::uint64_t> m_sequence;
        std::deque<std::pair<std::uint64_t, std::string>> m_last;
    };
    struct Part {
        std::vector<std::string> m_records;
        std::map<std::string, Producer> m_producers;
        std::int64_t m_freeAt = 0;
    };
    struct Waiting {
        Place m_place;
        std::size_t m_from = 0;
        std::size_t m_maxBytes = 0;
        Respond m_respond;
        std::unique_ptr<asio::steady_timer> m_timer;
    };

    bool isDownAt(const Place& place) const { return m_isDown && m_isDown(place.first, place.second); }

    Part& part(const std::string& topic, std::uint32_t number) { return m_parts[{ topic, number }]; }

    void handle(const Request& request, const Respond& respond)
    {
        const Place place { request.parameter("topic"), static_cast<std::uint32_t>(request.number("part")) };
        if (isDownAt(place))
            return respond(503, "{}");
        const std::string path = request.path();
        if (path == "/-/log-append")
            return append(place, request, respond);
        if (path == "/-/log-read")
            return read(place, request, respond);
        if (path == "/-/log-newest")
            return respond(200, newest(place, request.parameter("depends_on")));
        respond(404, "{}");
    }

    void append(const Place& place, const Request& request, const Respond& respond)
    {
        if (place.first == "keyed.op" || place.first == "keyed.servers")
            return respond(403, "{}");
        // A partition processes its appends one at a time.
        Part& target = m_parts[place];
        const std::int64_t now = nowMs();
        if (target.m_freeAt - now > 2000)
            return respond(503, "{}");
        target.m_freeAt = std::max(target.m_freeAt, now) + appendMs;
        const auto timer = std::make_shared<asio::steady_timer>(m_context, Milliseconds(target.m_freeAt - now));
        timer->async_wait([this, timer, place, request, respond](error_code error) {
            if (error)
                return;
            if (isDownAt(place))
                return respond(503, "{}");
            const auto [status, body] = carryOut(place, request);
            respond(status, body);
            wake(place);
        });
    }

    std::pair<unsigned, std::string> carryOut(const Place& place, const Request& request)
    {
        Part& target = m_parts[place];
        std::vector<std::string> records;
        if (request.m_body.size() > callBytes + 4096)
            return { 400, "{}" };
        for (std::size_t at = 0; at < request.m_body.size();) {
            if (request.m_body.size() - at < 4)
                return { 400, "{}" };
            std::size_t length = 0;
            for (std::size_t i = 0; i < 4; ++i)
                length = (length << 8) | static_cast<unsigned char>(request.m_body[at + i]);
            at += 4;
            if (request.m_body.size() - at < length)
                return { 400, "{}" };
            if (length > recordBytes) {
                std::size_t& largest = m_tooLarge[place.first];
                if (length > largest)
                    m_record.note("store: " + place.first + " refuses a record of " + std::to_string(length)
                        + " bytes, more than record_bytes");
                largest = std::max(largest, length);
                return { 400, "{}" };
            }
            records.push_back(request.m_body.substr(at, length));
            at += length;
        }
        const std::string asOf = request.parameter("as_of");
        if (!asOf.empty() && std::stoull(asOf) != target.m_records.size())
            return { 412, json::serialize(json::object { { "end", target.m_records.size() } }) };
        const std::string name = request.parameter("producer");
        std::string answer = json::serialize(json::object {
            { "offset", target.m_records.size() }, { "end", target.m_records.size() + records.size() } });
        if (!name.empty()) {
            Producer& producer = target.m_producers[name];
            const std::uint64_t epoch = request.number("epoch");
            const std::uint64_t sequence = request.number("sequence");
            if (epoch < producer.m_epoch)
                return { 409, R"({"reason":"fenced"})" };
            if (epoch > producer.m_epoch)
                producer = { epoch, std::nullopt, {} };
            for (const auto& [number, first] : producer.m_last) {
                if (number == sequence && !records.empty())
                    return { 200, first };
            }
            if (!records.empty()) {
                if (producer.m_sequence && sequence != *producer.m_sequence + 1)
                    return { 409,
                        json::serialize(
                            json::object { { "reason", "seq" }, { "sequence", *producer.m_sequence + 1 } }) };
                producer.m_sequence = sequence;
                producer.m_last.emplace_back(sequence, answer);
                if (producer.m_last.size() > 5)
                    producer.m_last.pop_front();
            }
        }
        if (!asOf.empty() && !records.empty())
            m_newestConditional = records.back();
        for (std::string& record : records)
            target.m_records.push_back(std::move(record));
        return { 200, answer };
    }

    static void putNumber(std::string& bytes, std::uint64_t number, int size)
    {
        for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
            bytes += static_cast<char>((number >> shift) & 0xff);
    }

    std::string recordsFrom(const Place& place, std::size_t from, std::size_t maxBytes)
    {
        const Part& source = m_parts[place];
        std::string bytes;
        putNumber(bytes, source.m_records.size(), 8);
        putNumber(bytes, 0, 8);
        for (; from < source.m_records.size(); ++from) {
            if (bytes.size() > 16 && bytes.size() + source.m_records[from].size() > maxBytes)
                break;
            putNumber(bytes, source.m_records[from].size(), 4);
            bytes += source.m_records[from];
        }
        return bytes;
    }

    void read(const Place& place, const Request& request, const Respond& respond)
    {
        const std::size_t from = request.number("from");
        const std::uint64_t wait = request.number("wait_ms");
        const std::size_t maxBytes = request.number("max_kb", 1024) << 10;
        if (wait == 0 || from < m_parts[place].m_records.size())
            return respond(200, recordsFrom(place, from, maxBytes));
        const auto waiting = m_waiting.insert(m_waiting.end(),
            { place, from, maxBytes, respond, std::make_unique<asio::steady_timer>(m_context, Milliseconds(wait)) });
        waiting->m_timer->async_wait([this, waiting](error_code error) {
            if (!error)
                finish(waiting);
        });
    }

    void finish(std::list<Waiting>::iterator waiting)
    {
        const Respond respond = waiting->m_respond;
        std::string body = recordsFrom(waiting->m_place, waiting->m_from, waiting->m_maxBytes);
        m_waiting.erase(waiting);
        respond(200, std::move(body));
    }

    void wake(const Place& place)
    {
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            const auto waiting = it++;
            if (waiting->m_place == place && waiting->m_from < m_parts[place].m_records.size())
                finish(waiting);
        }
    }

    std::string newest(const Place& place, const std::string& after)
    {
        namespace base64 = beast::detail::base64;
        struct Newest {
            std::size_t m_offset = 0;
            std::string m_value;
        };
        std::map<std::string, Newest> values;
        const Part& source = m_parts[place];
        for (std::size_t i = 0; i < source.m_records.size(); ++i) {
            const std::string& raw = source.m_records[i];
            const std::size_t length = raw.empty() ? 0 : static_cast<unsigned char>(raw.front());
            if (raw.size() < 1 + length)
                continue;
            const std::string key = raw.substr(1, length);
            if (raw.size() == 1 + length)
                values.erase(key);
            else
                values[key] = { i, raw.substr(1 + length) };
        }
        json::array items;
        std::size_t bytes = 0;
        auto at = after.empty() ? values.begin() : values.upper_bound(after);
        for (; at != values.end() && items.size() < 500 && bytes < (1 << 20); ++at) {
            const std::string& value = at->second.m_value;
            std::string text(base64::encoded_size(value.size()), '\0');
            text.resize(base64::encode(text.data(), value.data(), value.size()));
            bytes += value.size();
            items.push_back(
                json::object { { "key", at->first }, { "value", text }, { "offset", at->second.m_offset } });
        }
        return json::serialize(json::object {
            { "items", std::move(items) }, { "more", at != values.end() }, { "end", source.m_records.size() } });
    }

    asio::io_context& m_context;
    Record& m_record;
    std::map<Place, Part> m_parts;
    std::list<Waiting> m_waiting;
    std::map<std::string, std::size_t> m_tooLarge;
    std::function<bool(const std::string&, std::uint32_t)> m_isDown;
    std::string m_newestConditional;
    Server m_server;
};

} // namespace review2
